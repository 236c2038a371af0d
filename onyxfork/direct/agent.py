"""Agent of direct dispatch: connects an `Arbiter` with the entries and with one worker."""

import asyncio
import logging
from contextlib import asynccontextmanager
from itertools import count

from attrs import evolve

from onyxfork.addresses import Address
from onyxfork.direct.announcements import LostEntries
from onyxfork.direct.answer_times import AnswerTimes
from onyxfork.direct.arbiter import RESUME_TIMEOUT_S, Arbiter
from onyxfork.direct.arbiter_entries import STOP_WITHOUT_CONTACT_S
from onyxfork.direct.documents import compress_document
from onyxfork.direct.lease import FencingToken, Lease, WorkerClock
from onyxfork.direct.links import ControlLinks
from onyxfork.direct.list_polls import ListPolls
from onyxfork.direct.messages import (
    AgentAnnounced,
    CrashReport,
    DirectoryNode,
    EvacuationsAnnounced,
    FetchDocument,
    PlaceTasks,
    Recall,
    Resume,
    TaskEvents,
    Withdraw,
    restore_specs,
)
from onyxfork.direct.runs import DRAINING
from onyxfork.direct.worker_driver import WorkerDriver
from onyxfork.errors import OnyxforkError, ProtocolError
from onyxfork.messages import open_connection, serve
from onyxfork.messages.connection import UNREAD_GRACE_S
from onyxfork.utils import logged_failures, owned_tasks

__all__ = ["DirectAgent", "run_agent"]

log = logging.getLogger(__name__)

TICK_S = 0.1
"""Interval of the arbiter's ticks and of the check for announcements that are due."""

STATUS_DELAY_S = 0.1
"""Status changes within this delay are sent to entries as one report. The entry whose run has ended
gets a report with the event."""

NEARLY_FULL_STATUS_DELAY_S = 0.015
"""Replaces `STATUS_DELAY_S` while the worker is nearly full, because entries wait for capacity."""

NEARLY_FULL_FREE_SHARE = 0.3
"""A worker counts as nearly full if less than this share of its cores is free."""

STARTED_EVENT_DELAY_S = 0.01
"""Start events within this delay are sent as one message, or with the next end of a run."""

UNCHANGED_STATUS_INTERVAL_S = 0.15
"""A report that would repeat the latest one is sent only after this long, to renew the clock value
in it."""

MIN_SUSPENSION_S = 0.1
"""Shorter suspensions of the machine are ignored: the network may delay orders as much."""

LISTEN_RETRY_S = 0.5
"""Pause before another attempt to listen, for instance while a former process still ends."""

WAKE_MARGIN_S = 0.001
"""Added to the delay after which a run starts that had to start apart from others."""

RESUME_CHECK_MARGIN_S = 0.001
"""Added to the delay after which the session of a disconnected entry is checked."""


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
    open_stops : int
        Orders to stop that the worker has not answered yet.
    unknown_stops : set of TaskRef
        Runs that are being stopped although this agent has not ordered them.
    list_polls : ListPolls
        Requests for the worker's lists of runs.
    missed_renewals : int
        Renewals of the lease without an answer since the latest answer.
    lost_entries : LostEntries
        Entries that have lost their connection to this agent.
    takeover_complete : asyncio.Event
        Set once the worker runs nothing that an earlier agent ordered.
    lifetime_begun : asyncio.Event
        Set when a lifetime of the worker begins.
    successor_known : asyncio.Event
        Set when another lifetime of the worker may have begun.
    port : int or None
        Port at which entries are accepted, None before that.
    connection_numbers : iterator of int
        Numbers of accepted connections, in the order of their handshakes.
    status_timer : asyncio.TimerHandle or None
        Timer of the next status report.
    wake_timer : asyncio.TimerHandle or None
        Timer of the next start of a run that waits to start apart from others.
    reported_state : str
        State of the worker in the latest report to all entries.
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
        self.list_polls = ListPolls(client, clock, telemetry)
        self.last_end = 0
        self.open_stops = 0
        self.unknown_stops = set()
        self.missed_renewals = 0
        self.takeover_complete = asyncio.Event()
        self.lifetime_begun = asyncio.Event()
        self.successor_known = asyncio.Event()
        self.port = None
        self.connection_numbers = count(1)
        self.control = ControlLinks(settings, clock, self.hello, telemetry)
        telemetry.gauge("runs_held", lambda: len(self.arbiter.runs))
        self.control.evacuation_listeners.append(self.apply_evacuations)
        self.lost_entries = LostEntries()
        self.stopping = False
        self.status_timer = None
        self.wake_timer = None
        self.reported_state = self.arbiter.state
        self.spawn = None
        self.suspended_s = clock.suspended_s()

    def hello(self):
        """Return the `Hello` that introduces this process to a peer."""
        return self.settings.hello("agent", self.clock.now())

    def apply_decisions(self):
        """Let the arbiter schedule runs, carry out its starts and stops, and report to entries."""
        arbiter = self.arbiter
        self.update_contacts()
        arbiter.schedule(self.clock.now())
        starts, arbiter.starts = arbiter.starts, []
        stops, arbiter.stops = arbiter.stops, []
        if arbiter.wake_at is not None:
            self.schedule_wake(arbiter.wake_at)
        for run in starts:
            self.spawn(self.start(run))
        for run in stops:
            self.spawn(self.stop_run(run))
        if arbiter.crash_counts:
            self.send_crash_counts()
        self.send_events()
        if arbiter.changed:
            self.schedule_status()

    def update_contacts(self):
        """Date the latest contact with each connected entry by the clock value that it echoed."""
        for session in self.arbiter.sessions.values():
            if session.connection is not None:
                session.update_agent_clock(session.connection.latest_echo)

    def schedule_wake(self, at):
        """Schedule the next call of `apply_decisions` for a run that waits to start."""
        if self.wake_timer is None:
            delay_s = max(0.0, at - self.clock.now()) + WAKE_MARGIN_S
            self.wake_timer = asyncio.get_running_loop().call_later(delay_s, self.wake)

    def wake(self):
        """Start runs that have waited to start apart from others."""
        self.wake_timer = None
        self.apply_decisions()

    def send_crash_counts(self):
        """Send the counts of a crash to every connected entry."""
        counts, self.arbiter.crash_counts = self.arbiter.crash_counts, []
        self.telemetry.count("worker_crashes")
        self.telemetry.count("runs_lost_in_crashes", len(counts))
        for session in self.arbiter.sessions.values():
            if session.connection is not None:
                session.connection.send(CrashReport(counts))

    def schedule_status(self):
        """Schedule a status report, or bring it forward: a change of state is reported at once."""
        if self.arbiter.state != self.reported_state:
            delay_s = 0.0
        elif self.arbiter.is_nearly_full(NEARLY_FULL_FREE_SHARE):
            delay_s = NEARLY_FULL_STATUS_DELAY_S
        else:
            delay_s = STATUS_DELAY_S
        loop = asyncio.get_running_loop()
        due_at = loop.time() + delay_s
        if self.status_timer is not None:
            if self.status_timer.when() <= due_at:
                return
            self.status_timer.cancel()
        self.status_timer = loop.call_at(due_at, self.send_status)

    def send_events(self):
        """Send pending events to the connected entries; starts alone may wait a little."""
        for session in self.arbiter.sessions.values():
            if not session.events or session.connection is None:
                continue
            if any(event.kind != "started" for event in session.events):
                self.send_events_to(session)
                self.send_status_to(session)
            elif not session.events_scheduled:
                session.events_scheduled = True
                loop = asyncio.get_running_loop()
                loop.call_later(STARTED_EVENT_DELAY_S, self.send_start_events, session)

    def send_start_events(self, session):
        """Send the start events that have waited for `STARTED_EVENT_DELAY_S`."""
        session.events_scheduled = False
        if session.events and session.connection is not None:
            self.send_events_to(session)

    def send_events_to(self, session):
        """Send its pending events to one connected entry."""
        events, session.events = session.events, []
        self.count_events(events)
        session.connection.send(TaskEvents(events))

    def count_events(self, events):
        """Count events of runs."""
        for event in events:
            self.telemetry.count("task_events", kind=event.kind)
            if event.kind == "done":
                self.telemetry.observe("run_ms", event.run_ms)
                self.telemetry.observe("queue_ms", event.queue_ms)

    def send_status(self):
        """Send every connected entry the state and free capacity of the worker."""
        self.status_timer = None
        self.arbiter.changed = False
        self.reported_state = self.arbiter.state
        for session in self.arbiter.sessions.values():
            if session.connection is not None:
                self.send_status_to(session)

    def send_status_to(self, session):
        """Send one entry a status report, unless it repeats a recent one."""
        now = self.clock.now()
        status = self.arbiter.status(session, now)
        if session.latest_status is not None:
            is_repeated = evolve(session.latest_status, clock=now) == status
            if is_repeated and now - session.latest_status.clock < UNCHANGED_STATUS_INTERVAL_S:
                return
        session.latest_status = status
        session.connection.send(status)

    # Evacuations

    def apply_evacuations(self):
        """Stop or allow starts after a change of the evacuated zones, and notify entries."""
        evacuations = self.control.evacuations
        self.arbiter.set_evacuated(self.settings.zone in evacuations.zones, self.clock.now())
        for session in self.arbiter.sessions.values():
            if session.connection is not None:
                evacuations.announce(session.connection)
        self.apply_decisions()

    # Entries

    async def accept(self, connection):
        """Serve a connection that an entry has opened.

        `on_entry_message` gives it to the entry's session.
        """
        if connection.peer.role != "entry":
            raise ProtocolError(f"an agent serves entries, not {connection.peer.role}")
        peer = connection.peer
        number = next(self.connection_numbers)
        log.info("entry connected", extra={"entry": peer.node, "incarnation": peer.incarnation})
        self.control.evacuations.announce(connection)
        try:
            reason = await connection.run(
                lambda connection, message: self.on_entry_message(number, connection, message)
            )
            log.info("entry disconnected", extra={"entry": peer.node, "reason": reason})
        finally:
            session = self.arbiter.sessions.get(peer.node)
            if session is not None and session.connection is connection:
                self.on_disconnected(session, connection)

    def on_disconnected(self, session, connection):
        """Detach a closed connection from its session; check later whether the entry is back."""
        now = self.clock.now()
        closed_at = now if connection.closed_at is None else connection.closed_at
        self.arbiter.disconnect(session, connection, closed_at)
        self.lost_entries.on_disconnected(session.entry, now)
        delay_s = session.disconnected_at + RESUME_TIMEOUT_S + RESUME_CHECK_MARGIN_S - now
        asyncio.get_running_loop().call_later(max(0.0, delay_s), self.tick)

    def on_entry_message(self, number, connection, message):
        """Attach a connection to its entry's session with `Resume`, then process the message.

        An entry that finds another agent at an address than it expects sends no `Resume`. A
        connection never replaces one that was accepted later.
        """
        peer = connection.peer
        session = self.arbiter.sessions.get(peer.node)
        is_newer = session is None or number > session.connection_number
        if isinstance(message, Resume) and is_newer:
            session = self.arbiter.connect(peer.node, peer.incarnation, connection)
            session.connection_number = number
        if session is not None:
            self.on_message(session, connection, message)

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
            restore_specs(message.orders)
            self.arbiter.place(session, message.orders, now, message.agent_clock)
        elif isinstance(message, Withdraw):
            self.arbiter.withdraw(session, message.refs, now)
        elif isinstance(message, Recall):
            self.arbiter.recall(session, message.refs, now)
        elif isinstance(message, Resume):
            self.lost_entries.on_connected(session.entry, message.address)
            counts = self.arbiter.crash_table.recent(now)
            if counts:
                connection.send(CrashReport(counts))
            self.arbiter.resume(session, message.refs, now)
        elif isinstance(message, FetchDocument):
            if self.control.document is not None:
                connection.send(compress_document(self.control.document))
            return
        elif isinstance(message, EvacuationsAnnounced):
            self.control.adopt_evacuations(message, session.entry)
        else:
            raise ProtocolError(f"unexpected {type(message).__name__}")
        self.apply_decisions()
        if isinstance(message, Resume):
            # The entry places nothing here before its first report.
            self.send_status_to(session)

    async def tick_periodically(self):
        """Call the arbiter's `tick` at a fixed interval."""
        while True:
            await asyncio.sleep(TICK_S)
            with logged_failures(log, "tick failed"):
                self.tick()
                for address in self.lost_entries.take_due(self.clock.now()):
                    self.spawn(self.announce_to_entry(address))

    def tick(self):
        """Apply the arbiter's changes that depend on time alone."""
        self.detect_suspension()
        self.arbiter.tick(self.clock.now())
        self.apply_decisions()
        self.schedule_contact_check()

    def schedule_contact_check(self):
        """Schedule the stop of runs whose entry will be out of contact before the next tick."""
        due_at = self.arbiter.earliest_contact() + STOP_WITHOUT_CONTACT_S
        delay_s = max(0.0, due_at - self.clock.now())
        if delay_s < TICK_S:
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s + UNREAD_GRACE_S, self.check_contacts)

    def check_contacts(self):
        """Stop the runs of entries that are out of contact; what has arrived was read before."""
        self.update_contacts()
        self.arbiter.stop_runs_without_contact(self.clock.now())
        self.apply_decisions()

    def detect_suspension(self):
        """Detect a suspension of the machine, during which the monotonic clock stops."""
        suspended_s = self.clock.suspended_s()
        if suspended_s - self.suspended_s > MIN_SUSPENSION_S:
            gap_s = round(suspended_s - self.suspended_s, 2)
            log.warning("machine was suspended", extra={"seconds": gap_s})
            self.arbiter.record_suspension(self.clock.now(), suspended_s - self.suspended_s)
        self.suspended_s = suspended_s

    async def announce_to_entry(self, address):
        """Announce this agent's address to one entry over a connection of its own.

        The entry, which it was connected to before, may have restarted while control is
        unavailable.
        """
        settings = self.settings
        own_node = DirectoryNode(settings.node, "agent", settings.zone, str(settings.address))
        try:
            async with open_connection(
                Address.from_text(address).host_and_port, self.hello(), settings.timing
            ) as connection:
                connection.send(AgentAnnounced(own_node))
                connection.flush()
                await asyncio.sleep(TICK_S)
        except (OSError, OnyxforkError) as error:
            log.debug("connecting to entry failed", extra={"entry": address, "reason": str(error)})

    async def stop(self):
        """Drain the agent: return queued runs, accept no orders and let started runs end.

        Return after `drain_s` at the latest.
        """
        self.stopping = True
        arbiter = self.arbiter
        if arbiter.worker is not None:
            arbiter.worker.state = DRAINING
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
        spawn(agent.watch_lists())
        spawn(agent.watch_successor())
        spawn(agent.tick_periodically())
        spawn(agent.control.run(spawn))
        spawn(serve_after_takeover(agent))
        agent.control.set_own_address(str(settings.address))
        yield agent


async def serve_after_takeover(agent):
    """Accept entries once the worker runs nothing that an earlier agent ordered."""
    listen = agent.settings.listen
    await agent.takeover_complete.wait()
    log.info("worker takeover complete", extra={"token": agent.token.value})
    counter = agent.telemetry.make_message_counter("entry")
    while True:
        try:
            async with serve(
                listen.host, listen.port, agent.hello, agent.settings.timing, agent.accept, counter
            ) as port:
                agent.port = port
                await asyncio.Event().wait()
        except OSError as error:
            log.error("cannot listen", extra={"address": str(listen), "reason": str(error)})
            await asyncio.sleep(LISTEN_RETRY_S)
