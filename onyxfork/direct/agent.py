"""Agent of direct dispatch: connects an `Arbiter` with the entries and with one worker."""

import asyncio
import logging
from contextlib import asynccontextmanager

from onyxfork.addresses import Address
from onyxfork.direct.answer_times import AnswerTimes
from onyxfork.direct.arbiter import Arbiter
from onyxfork.direct.lease import FencingToken, Lease, WorkerClock
from onyxfork.direct.links import ControlLinks
from onyxfork.direct.messages import (
    AgentAnnounced,
    DirectoryNode,
    PlaceTasks,
    Recall,
    Resume,
    TaskEvents,
    Withdraw,
)
from onyxfork.direct.worker_driver import WorkerDriver
from onyxfork.errors import OnyxforkError, ProtocolError
from onyxfork.messages import open_connection, serve
from onyxfork.utils import owned_tasks

__all__ = ["DirectAgent", "run_agent"]

log = logging.getLogger(__name__)

TICK_S = 0.05
NEARLY_FULL_STATUS_DELAY_S = 0.004
"""Replaces `STATUS_DELAY_S` while the worker is nearly full, because a report affects decisions of
entries only then."""

STATUS_DELAY_S = 0.015
"""Status changes within this delay are sent to entries as one report."""

NEARLY_FULL_FREE_SHARE = 0.5
"""A worker counts as nearly full if less than this share of its cores is free."""

MIN_SUSPENSION_S = 0.1
"""Shorter suspensions of the machine are ignored: the network may delay orders as much."""

ANNOUNCE_INTERVAL_S = 0.3
"""Interval between announcements to an entry without a session."""

ANNOUNCE_DURATION_S = 120.0
"""How long the agent announces its address to an entry without a session, which may have restarted
while control is unavailable."""


class DirectAgent(WorkerDriver):
    """Agent of one worker.

    Parameters
    ----------
    settings : DirectSettings
    client : WorkerClient
    clock : Clock
    telemetry : Telemetry

    Attributes
    ----------
    last_end : int
        Number of the latest ended run that the worker has reported.
    missed_renewals : int
        Renewals of the lease without an answer since the latest answer.
    takeover_complete : asyncio.Event
        Set once the worker runs nothing that an earlier agent ordered.
    status_scheduled : bool
        Whether a status report is due to be sent.
    """

    def __init__(self, settings, client, clock, telemetry):
        self.settings = settings
        self.client = client
        self.clock = clock
        self.telemetry = telemetry
        self.arbiter = Arbiter()
        self.token = FencingToken(clock.wall_ms())
        self.worker_clock = WorkerClock()
        self.lease = Lease(settings.lease_ms)
        self.answer_times = AnswerTimes()
        self.last_end = 0
        self.missed_renewals = 0
        self.takeover_complete = asyncio.Event()
        self.worker_known = asyncio.Event()
        self.control = ControlLinks(settings, clock, self.hello, telemetry)
        self.stopping = False
        self.status_scheduled = False
        self.spawn = None
        self.suspended_s = clock.suspended_s()

    def hello(self):
        """Return the `Hello` that introduces this process to a peer."""
        return self.settings.hello("agent", self.clock.now())

    def apply_decisions(self):
        """Let the arbiter schedule runs, carry out its starts and stops, and report to entries."""
        arbiter = self.arbiter
        for session in arbiter.sessions.values():
            if session.connection is not None:
                session.update_agent_clock(session.connection.latest_echo)
        arbiter.schedule(self.clock.now())
        starts, arbiter.starts = arbiter.starts, []
        stops, arbiter.stops = arbiter.stops, []
        for run in starts:
            self.spawn(self.start(run))
        for run in stops:
            self.spawn(self.stop_run(run))
        self.send_events()
        if arbiter.changed and not self.status_scheduled:
            self.status_scheduled = True
            delay_s = (
                NEARLY_FULL_STATUS_DELAY_S
                if arbiter.is_nearly_full(NEARLY_FULL_FREE_SHARE)
                else STATUS_DELAY_S
            )
            asyncio.get_running_loop().call_later(delay_s, self.send_status)

    def send_events(self):
        """Send pending events to the connected entries."""
        for session in self.arbiter.sessions.values():
            if session.events and session.connection is not None:
                events, session.events = session.events, []
                self.count_events(events)
                session.connection.send(TaskEvents(events))

    def count_events(self, events):
        """Count events of runs and log the runs that ended without success."""
        for event in events:
            self.telemetry.count("task_events", kind=event.kind)
            if event.kind == "done":
                self.telemetry.observe("run_ms", event.run_ms)
                self.telemetry.observe("queue_ms", event.queue_ms)
            elif event.kind != "started":
                fields = {
                    "job": event.job,
                    "task": f"{event.step}.{event.index}",
                    "run": event.run,
                    "outcome": event.kind,
                    "reason": event.reason,
                    "run_ms": round(event.run_ms),
                }
                log.info("run ended", extra=fields)

    def send_status(self):
        """Send every connected entry the state and free capacity of the worker."""
        self.status_scheduled = False
        self.arbiter.changed = False
        now = self.clock.now()
        for session in self.arbiter.sessions.values():
            if session.connection is not None:
                session.connection.send(self.arbiter.status(session, now))

    # Entries

    async def accept(self, connection):
        """Serve a connection that an entry has opened."""
        if connection.peer.role != "entry":
            raise ProtocolError(f"an agent serves entries, not {connection.peer.role}")
        peer = connection.peer
        session = self.arbiter.connect(peer.node, peer.incarnation, connection)
        log.info("entry connected", extra={"entry": peer.node, "incarnation": peer.incarnation})
        try:
            reason = await connection.run(
                lambda connection, message: self.on_message(session, connection, message)
            )
            log.info("entry disconnected", extra={"entry": peer.node, "reason": reason})
        finally:
            self.arbiter.disconnect(session, connection, self.clock.now())

    def on_message(self, session, connection, message):
        """Process one message of an entry.

        Messages of a connection that has been replaced are ignored: the first message on the newer
        connection has reconciled the runs, and the older connection may still deliver orders that
        the entry has placed elsewhere since.
        """
        if session.connection is not connection:
            log.info("message of an older connection ignored", extra={"entry": session.entry})
            return
        self.detect_suspension()
        now = self.clock.now()
        if isinstance(message, PlaceTasks):
            self.arbiter.place(session, message.orders, now, message.agent_clock)
        elif isinstance(message, Withdraw):
            self.arbiter.withdraw(session, message.refs, now)
        elif isinstance(message, Recall):
            self.arbiter.recall(session, message.refs, now)
        elif isinstance(message, Resume):
            self.arbiter.resume(session, message.refs, now)
        else:
            raise ProtocolError(f"unexpected {type(message).__name__}")
        self.apply_decisions()

    async def tick_periodically(self):
        """Call the arbiter's `tick` at a fixed interval."""
        while True:
            await asyncio.sleep(TICK_S)
            self.detect_suspension()
            self.arbiter.tick(self.clock.now())
            self.apply_decisions()

    def detect_suspension(self):
        """Detect a suspension of the machine, during which the monotonic clock stops."""
        suspended_s = self.clock.suspended_s()
        if suspended_s - self.suspended_s > MIN_SUSPENSION_S:
            gap_s = round(suspended_s - self.suspended_s, 2)
            log.warning("machine was suspended", extra={"seconds": gap_s})
            self.arbiter.record_suspension(self.clock.now())
        self.suspended_s = suspended_s

    async def announce_to_missing_entries(self):
        """Announce this agent to entries without a session, in case control is unavailable."""
        missing_since = {}
        while True:
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)
            now = self.clock.now()
            present = {session.entry for session in self.arbiter.sessions.values()}
            for node in self.control.nodes_with_role("entry"):
                if node.node in present:
                    missing_since.pop(node.node, None)
                elif now - missing_since.setdefault(node.node, now) < ANNOUNCE_DURATION_S:
                    self.spawn(self.announce_to_entry(node))

    async def announce_to_entry(self, node):
        """Announce this agent's address to one entry over a connection of its own."""
        settings = self.settings
        own_node = DirectoryNode(settings.node, "agent", settings.zone, str(settings.address))
        try:
            async with open_connection(
                Address.from_text(node.address).host_and_port, self.hello(), settings.timing
            ) as connection:
                connection.send(AgentAnnounced(own_node, self.control.document))
                connection.flush()
                await asyncio.sleep(TICK_S)
        except (OSError, OnyxforkError) as error:
            log.debug(
                "connecting to entry failed", extra={"entry": node.node, "reason": str(error)}
            )

    async def stop(self):
        """Drain the agent: return queued runs, accept no orders and let started runs end.

        Return after `drain_s` at the latest.
        """
        self.stopping = True
        arbiter = self.arbiter
        if arbiter.worker is not None:
            arbiter.worker.state = "draining"
            arbiter.return_queued("draining", self.clock.now())
            arbiter.changed = True
        self.apply_decisions()
        drain_until = self.clock.now() + self.settings.drain_s
        while self.clock.now() < drain_until and arbiter.runs:
            await asyncio.sleep(TICK_S)


@asynccontextmanager
async def run_agent(agent):
    """Run an agent while the context is open.

    The agent accepts entries once the worker runs nothing that an earlier agent ordered.

    Parameters
    ----------
    agent : DirectAgent

    Yields
    ------
    DirectAgent
    """
    settings = agent.settings
    async with owned_tasks() as spawn:
        agent.spawn = spawn
        spawn(agent.keep_lease())
        spawn(agent.tick_periodically())
        spawn(agent.announce_to_missing_entries())
        spawn(agent.control.run(spawn))
        spawn(serve_after_takeover(agent))
        agent.control.set_own_address(str(settings.address))
        yield agent


async def serve_after_takeover(agent):
    """Accept entries once the worker runs nothing that an earlier agent ordered."""
    listen = agent.settings.listen
    await agent.takeover_complete.wait()
    log.info("worker takeover complete", extra={"token": agent.token.value})
    async with serve(listen.host, listen.port, agent.hello, agent.settings.timing, agent.accept):
        await asyncio.Event().wait()
