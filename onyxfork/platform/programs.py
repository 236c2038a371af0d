"""The programs that run on the platform: entry, agent and control instance."""

import asyncio
import gc
import logging
import os
import signal
import sys
import threading
from contextlib import asynccontextmanager

from onyxfork.addresses import Address
from onyxfork.direct.connection_budget import ConnectionBudget
from onyxfork.direct.telemetry import Telemetry
from onyxfork.errors import OnyxforkError, SettingsError
from onyxfork.logs import start_rate_limited_logging
from onyxfork.platform.http import Response, json_response, run_server
from onyxfork.platform.settings import (
    AGENT_PORT,
    ENTRY_PORT,
    load_platform_settings,
)
from onyxfork.utils import clock_for

__all__ = ["main"]

log = logging.getLogger(__name__)

METRICS_PORT = 9464
"""Equals the port of ``metrics`` in deploy/system.toml."""

SETTINGS_POLL_INTERVAL_S = 1.0
"""The settings file is polled because it may change without a SIGHUP."""

EXIT_RESERVE_S = 0.15
"""Last part of the grace period: a process that still runs at its start exits at once."""

EXIT_USAGE = 2
EXIT_FAILED = 3


@asynccontextmanager
async def run_entry_program(settings, telemetry, budget):
    """Run an entry while the context is open.

    Yields a function that takes the control instances from new settings, and a coroutine function
    that stops the entry.
    """
    from onyxfork.direct.entry import DirectEntry, run_entry
    from onyxfork.platform.callers import CallerHandler

    own_settings = settings.direct_settings(ENTRY_PORT)
    entry = DirectEntry(own_settings, clock_for(own_settings.clock_file), telemetry)
    callers = CallerHandler(entry)

    def reload(new_settings):
        own_settings.control = new_settings.control_instances()

    async with (
        run_entry(entry),
        run_server(
            callers.handle_ready,
            settings.readiness,
            budget=budget,
            limits=settings.client_limits.for_other_listener(),
        ),
        run_server(
            callers.handle,
            settings.callers,
            callers.read_limits,
            budget,
            settings.client_limits,
            hangup_watch=entry.hangup_watch,
        ),
    ):
        yield reload, entry.stop


@asynccontextmanager
async def run_agent_program(settings, telemetry, budget):
    """Run an agent while the context is open.

    Yields a function that takes the control instances from new settings, and a coroutine function
    that stops the agent.
    """
    from onyxfork.direct.agent import DirectAgent, run_agent
    from onyxfork.platform.reports import ReportHandler
    from onyxfork.platform.workers import open_worker_client

    own_settings = settings.direct_settings(AGENT_PORT)

    def reload(new_settings):
        own_settings.control = new_settings.control_instances()

    async with open_worker_client(settings.worker) as client:
        agent = DirectAgent(own_settings, client, clock_for(own_settings.clock_file), telemetry)
        reports = ReportHandler(agent, settings.service)
        server = run_server(
            reports.handle,
            settings.reports,
            budget=budget,
            limits=settings.client_limits.for_other_listener(),
        )
        async with run_agent(agent), server:
            yield reload, agent.stop


@asynccontextmanager
async def run_control_program(settings, telemetry, budget):
    """Run a control instance while the context is open.

    Yields a function that takes the control instances from new settings, and a coroutine function
    that prepares for the stop by transferring the leadership.
    """
    from onyxfork.control.identity import initial_identity
    from onyxfork.control.replica import run_replica
    from onyxfork.control.storage import open_storage
    from onyxfork.direct.control import DocumentReplica
    from onyxfork.platform.operators import OperatorHandler

    own_settings = settings.control_settings()
    identity, members = initial_identity(own_settings, settings.is_first_member())

    def reload(new_settings):
        own_settings.members = new_settings.control_settings().members
        replica.zones = new_settings.zones

    async def stop():
        await replica.transfer_leadership()

    storage_context = open_storage(
        own_settings.data_folder, own_settings.cluster, own_settings.node, identity, members
    )
    with storage_context as storage:
        telemetry.gauge("disk_full", lambda: int(storage.is_full))
        replica = DocumentReplica.from_config(own_settings, storage, telemetry)
        replica.zones = settings.zones
        async with run_replica(replica) as driver:
            driver.add_done_callback(exit_on_failure)
            server = run_server(
                OperatorHandler(replica).handle,
                settings.reports,
                budget=budget,
                limits=settings.client_limits.for_other_listener(),
            )
            async with server:
                yield reload, stop


def exit_on_failure(driver):
    """Exit the process when the control instance has failed, for example because of its disk."""
    if not driver.cancelled() and driver.exception() is not None:
        log.error("control failed", extra={"reason": str(driver.exception())})
        os._exit(EXIT_FAILED)


PROGRAMS = {
    "entry": run_entry_program,
    "agent": run_agent_program,
    "control": run_control_program,
}


async def serve_metrics(settings, telemetry, budget, stopped):
    """Serve the process's metrics over HTTP until the event `stopped` is set."""

    async def handle(request):
        if request.path != "/metrics":
            return json_response(404, {"error": "no such resource"})
        body, content_type = telemetry.render()
        return Response(body=body, content_type=content_type)

    try:
        address = Address(settings.host, METRICS_PORT)
        limits = settings.client_limits.for_other_listener()
        async with run_server(handle, address, budget=budget, limits=limits):
            await stopped.wait()
    except OSError as error:
        log.warning("cannot serve metrics", extra={"reason": str(error)})


async def watch_settings(settings, reload, hangup):
    """Load the settings file on SIGHUP and at regular intervals, and apply it if it has changed.

    A file that cannot be loaded is logged, and the previous settings stay in use.

    Parameters
    ----------
    settings : PlatformSettings
        The settings in use.
    reload : callable
        Takes the new `PlatformSettings` and applies them to the program.
    hangup : asyncio.Event
        Set by SIGHUP.
    """
    while True:
        try:
            async with asyncio.timeout(SETTINGS_POLL_INTERVAL_S):
                await hangup.wait()
        except TimeoutError:
            pass
        hangup.clear()
        try:
            new_settings = load_platform_settings()
        except SettingsError as error:
            log.error("settings not reloaded", extra={"reason": str(error)})
            continue
        if new_settings != settings:
            log.info("settings reloaded", extra={"seeds": new_settings.seeds})
            settings = new_settings
            reload(new_settings)


def exit_when_overdue(delay_s):
    """Exit the process after a delay, also if a disk that hangs blocks its event loop or a thread.

    What is not synced by then has not been acknowledged.
    """

    def end():
        log.error("stop is overdue; exiting")
        os._exit(EXIT_FAILED)

    timer = threading.Timer(delay_s, end)
    timer.daemon = True
    timer.start()


def handle_stop_signal(loop, stop_requested, max_stop_s):
    """Begin a planned stop on SIGTERM, and bound its duration from the arrival of the signal.

    The handler runs between two instructions of the main thread, also while the event loop is busy.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
    stop_requested : asyncio.Event
    max_stop_s : float
        After this time the process exits in any case.
    """

    def handle(_, __):
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        exit_when_overdue(max_stop_s)
        loop.call_soon_threadsafe(stop_requested.set)

    signal.signal(signal.SIGTERM, handle)


async def run(role):
    """Run the program of a role until SIGTERM."""
    settings = load_platform_settings()
    start_rate_limited_logging(role, settings.node, settings.zone, incarnation=settings.incarnation)
    telemetry = Telemetry(role, settings.node, settings.zone)
    budget = ConnectionBudget(settings.client_limits.held_bytes, telemetry)
    stop_requested, hangup = asyncio.Event(), asyncio.Event()
    loop = asyncio.get_running_loop()
    handle_stop_signal(loop, stop_requested, settings.grace_s - EXIT_RESERVE_S)
    loop.add_signal_handler(signal.SIGHUP, hangup.set)
    async with PROGRAMS[role](settings, telemetry, budget) as (reload, stop_program):
        log.info(
            "started",
            extra={
                "host": settings.host,
                "seeds": settings.seeds,
                "max_connections": settings.client_limits.connections,
                "max_held_bytes": settings.client_limits.held_bytes,
                "max_held_tasks": settings.client_limits.held_tasks,
            },
        )
        watch_task = asyncio.create_task(watch_settings(settings, reload, hangup))
        stopped = asyncio.Event()
        metrics_task = asyncio.create_task(serve_metrics(settings, telemetry, budget, stopped))
        # The start-up is over: exempt its objects from garbage collection, which `__main__` has
        # disabled until here.
        gc.freeze()
        gc.enable()
        await stop_requested.wait()
        log.info("stopping")
        await stop_program()
        watch_task.cancel()
        stopped.set()
        await asyncio.gather(watch_task, metrics_task, return_exceptions=True)
    log.info("stopped")


def main(arguments):
    """Run the program of the role on the command line.

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
