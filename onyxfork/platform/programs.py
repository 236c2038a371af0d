"""The programs that run on the platform: entry, agent, control."""

import asyncio
import gc
import logging
import os
import signal
import sys
from contextlib import asynccontextmanager

from onyxfork.addresses import Address
from onyxfork.direct.telemetry import Telemetry
from onyxfork.errors import OnyxforkError, SettingsError
from onyxfork.logs import start_rate_limited_logging
from onyxfork.platform.http import json_response, run_server
from onyxfork.platform.settings import (
    AGENT_PORT,
    ENTRY_PORT,
    load_platform_settings,
)
from onyxfork.utils import clock_for

__all__ = ["main"]

log = logging.getLogger(__name__)

METRICS_PORT = 9464
"""As `metrics` in deploy/system.toml."""

SETTINGS_POLL_INTERVAL_S = 1.0
"""The settings file may change without a signal."""

EXIT_USAGE = 2
EXIT_FAILED = 3


@asynccontextmanager
async def run_entry_program(settings, telemetry):
    """Run an entry while the context is open; yield what to reload and how to stop."""
    from onyxfork.direct.entry import DirectEntry, run_entry
    from onyxfork.platform.callers import CallerHandler

    own = settings.direct_settings(ENTRY_PORT)
    entry = DirectEntry(own, clock_for(own.clock_file), telemetry)
    callers = CallerHandler(entry)

    def reload(fresh):
        own.control = fresh.control_instances()

    async with (
        run_entry(entry),
        run_server(callers.handle_ready, settings.readiness),
        run_server(callers.handle, settings.callers),
    ):
        yield reload, entry.stop


@asynccontextmanager
async def run_agent_program(settings, telemetry):
    """Run an agent while the context is open; yield what to reload and how to stop."""
    from onyxfork.direct.agent import DirectAgent, run_agent
    from onyxfork.platform.reports import ReportHandler
    from onyxfork.platform.workers import open_worker_client

    own = settings.direct_settings(AGENT_PORT)

    def reload(fresh):
        own.control = fresh.control_instances()

    async with open_worker_client(settings.worker) as client:
        agent = DirectAgent(own, client, clock_for(own.clock_file), telemetry)
        reports = ReportHandler(agent, settings.service)
        async with run_agent(agent), run_server(reports.handle, settings.reports):
            yield reload, agent.stop


@asynccontextmanager
async def run_control_program(settings, telemetry):
    """Run a control instance while the context is open; yield what to reload and how to stop."""
    from onyxfork.control.identity import initial_identity
    from onyxfork.control.replica import run_replica
    from onyxfork.control.storage import open_storage
    from onyxfork.direct.control import DocumentReplica
    from onyxfork.platform.operators import OperatorHandler

    own = settings.control_settings()
    identity, members = initial_identity(own, settings.is_first_member())

    def reload(fresh):
        own.members = fresh.control_settings().members

    async def stop():
        await replica.transfer_leadership()

    opened = open_storage(own.data_folder, own.cluster, own.node, identity, members)
    with opened as storage:
        replica = DocumentReplica.from_config(own, storage, telemetry)
        async with run_replica(replica) as driver:
            driver.add_done_callback(exit_on_failure)
            async with run_server(OperatorHandler(replica).handle, settings.reports):
                yield reload, stop


def exit_on_failure(driver):
    """End the process when a control instance can not go on."""
    if not driver.cancelled() and driver.exception() is not None:
        log.error("control failed", extra={"reason": str(driver.exception())})
        os._exit(EXIT_FAILED)


PROGRAMS = {
    "entry": run_entry_program,
    "agent": run_agent_program,
    "control": run_control_program,
}


async def serve_metrics(settings, telemetry, stopped):
    """Serve the process's metrics until `stopped` is set."""

    async def handle(request):
        if request.path != "/metrics":
            return json_response(404, {"error": "no such resource"})
        from aiohttp import web

        body, content_type = telemetry.render()
        return web.Response(body=body, headers={"Content-Type": content_type})

    try:
        async with run_server(handle, Address(settings.host, METRICS_PORT)):
            await stopped.wait()
    except OSError as error:
        log.warning("metrics not served", extra={"reason": str(error)})


async def watch_settings(settings, reload, hangup):
    """Take changed settings, announced by a signal or not."""
    while True:
        try:
            async with asyncio.timeout(SETTINGS_POLL_INTERVAL_S):
                await hangup.wait()
        except TimeoutError:
            pass
        hangup.clear()
        try:
            fresh = load_platform_settings()
        except SettingsError as error:
            log.error("settings not reloaded", extra={"reason": str(error)})
            continue
        if fresh != settings:
            log.info("settings reloaded", extra={"seeds": fresh.seeds})
            settings = fresh
            reload(fresh)


async def run(role):
    """Run a program until it is told to stop."""
    settings = load_platform_settings()
    start_rate_limited_logging(role, settings.node, settings.zone)
    telemetry = Telemetry(role, settings.node, settings.zone)
    stop, hangup = asyncio.Event(), asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGHUP, hangup.set)
    async with PROGRAMS[role](settings, telemetry) as (reload, finish):
        log.info("started", extra={"host": settings.host, "seeds": settings.seeds})
        watching = asyncio.create_task(watch_settings(settings, reload, hangup))
        stopped = asyncio.Event()
        metrics = asyncio.create_task(serve_metrics(settings, telemetry, stopped))
        gc.freeze()
        gc.enable()
        await stop.wait()
        log.info("stopping")
        await finish()
        watching.cancel()
        stopped.set()
        await asyncio.gather(watching, metrics, return_exceptions=True)
    log.info("stopped")


def main(arguments):
    """Run the program that the command line names.

    Returns
    -------
    int
        Exit status.
    """
    if len(arguments) != 1 or arguments[0] not in PROGRAMS:
        print(f"usage: python -m onyxfork.platform {'|'.join(PROGRAMS)}", file=sys.stderr)
        return EXIT_USAGE
    try:
        asyncio.run(run(arguments[0]))
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_USAGE
    except OnyxforkError as error:
        print(error, file=sys.stderr)
        return EXIT_FAILED
    return 0
