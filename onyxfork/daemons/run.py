"""Run a daemon until it receives a stop signal."""

import asyncio
import logging
import signal
from contextlib import asynccontextmanager, contextmanager

from onyxfork.daemons.agent import Agent, run_agent
from onyxfork.daemons.control import run_control
from onyxfork.daemons.entry import Entry, run_entry
from onyxfork.logs import start_logging
from onyxfork.upstreams.standin import StandInUpstream, run_upstream

__all__ = ["run_daemon", "stop_signal"]

log = logging.getLogger(__name__)


@asynccontextmanager
async def stop_signal():
    """Yield an event that is set by SIGTERM or SIGINT."""
    event = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, event.set)
    try:
        yield event
    finally:
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.remove_signal_handler(signal_number)


def reload_on_hangup(tls):
    """Reload certificates and keys on SIGHUP."""

    def reload():
        result = tls.reload()
        if result.is_err():
            log.error("certificates not reloaded", extra={"reason": result.err_value})
        else:
            log.info("certificates reloaded")

    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reload)


async def serve_entry(settings, stop):
    """Run an entry until `stop` is set, then perform a planned stop."""
    async with run_entry(Entry.from_config(settings)) as entry:
        reload_on_hangup(entry.tls)
        log.info("started", extra={"port": entry.port, "http_port": entry.http_port})
        await stop.wait()
        await entry.stop()


async def serve_agent(settings, stop):
    """Run an agent until `stop` is set, then perform a planned stop."""
    async with run_agent(Agent.from_config(settings)) as agent:
        reload_on_hangup(agent.tls)
        log.info("started", extra={"port": agent.port, "http_port": agent.http_port})
        await stop.wait()
        await agent.stop()


async def serve_control(settings, stop, bootstrap):
    """Run a control instance until `stop` is set or its disk fails."""
    async with run_control(settings, bootstrap) as (daemon, driver):
        reload_on_hangup(daemon.replica.tls)
        log.info("started", extra={"port": daemon.replica.port, "http_port": daemon.http_port})
        stopping = asyncio.create_task(stop.wait())
        await asyncio.wait([stopping, driver], return_when=asyncio.FIRST_COMPLETED)
        stopping.cancel()
        if driver.done():
            driver.result()


@contextmanager
def open_journal(path):
    """Yield a journal file opened for appending, or None without a path."""
    if not path:
        yield None
        return
    with open(path, "a", encoding="utf-8") as journal:
        yield journal


async def serve_upstream(settings, stop):
    """Run a stand-in upstream until `stop` is set; running tasks end first."""
    with open_journal(settings.journal) as journal:
        upstream = StandInUpstream.from_config(settings, journal)
        async with run_upstream(upstream) as session:
            log.info("started", extra={"http_port": upstream.port})
            await stop.wait()
            await upstream.leave(session)


SERVERS = {
    "entry": serve_entry,
    "agent": serve_agent,
    "control": serve_control,
    "upstream": serve_upstream,
}


def run_daemon(settings, **options):
    """Run the daemon for the given settings until it receives a stop signal.

    Parameters
    ----------
    settings : EntrySettings, AgentSettings, ControlSettings or UpstreamSettings
    **options
        Passed to the daemon.

    Raises
    ------
    OnyxforkError
        When the daemon cannot start, or fails later.
    """
    zone = getattr(settings, "zone", "")
    start_logging(settings.role, settings.node, zone, settings.log_level)

    async def main():
        async with stop_signal() as stop:
            await SERVERS[settings.role](settings, stop, **options)
        log.info("stopped")

    asyncio.run(main())
