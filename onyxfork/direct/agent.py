"""The agent of direct dispatch: drives an `Arbiter` between entries and one worker."""

import asyncio
import logging
from contextlib import asynccontextmanager

from onyxfork.direct.arbiter import Arbiter
from onyxfork.direct.lease import FencingToken, Lease, WorkerClock
from onyxfork.direct.links import ControlLinks
from onyxfork.direct.messages import (
    DirectoryNode,
    Place,
    Recall,
    Resume,
    Sighted,
    TaskEvents,
    Withdraw,
)
from onyxfork.direct.runs import RUNNING, STOPPING
from onyxfork.errors import OnyxforkError, ProtocolError
from onyxfork.messages import open_connection, serve
from onyxfork.utils import owned_tasks

__all__ = ["DirectAgent", "run_agent"]

log = logging.getLogger(__name__)

TICK_S = 0.05
TIGHT_STATUS_DELAY_S = 0.004
STATUS_DELAY_S = 0.015
"""Reports to entries within this time leave as one: at once, nearly, while room is short, and later
while there is plenty and a report changes no decision."""

TIGHT_SHARE = 0.5
"""Room is short below this share of the worker's processors."""

HOLD_WAIT_MS = 100
"""How long the worker may wait for an end before it answers a renewal; bounds how old the
progress of its runs gets."""

HOLD_TIMEOUT_S = 0.25
"""A renewal that is not answered this long after its wait is sent again on a new connection."""

SUSPECT_MISSES = 2
"""Unanswered renewals in a row after which entries are told that the worker does not answer."""

RETRY_PAUSE_S = 0.05
LONGEST_RETRY_PAUSES = 4
STOP_TRIES = 40
"""Orders to stop are sent again until answered; the lease ends the run long before the last."""

DIAL_BACK_S = 0.3
DIAL_BACK_FOR_S = 120.0
"""An entry that has gone may have restarted while control is away; it is told where this agent is
for this long."""


class DirectAgent:
    """An agent.

    Parameters
    ----------
    settings : DirectSettings
    client : WorkerClient
    clock : Clock
    telemetry : Telemetry
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
        self.last_end = 0
        self.misses = 0
        self.settled = asyncio.Event()
        self.worker_known = asyncio.Event()
        self.control = ControlLinks(settings, clock, self.hello, telemetry)
        self.stopping = False
        self.flush_due = False
        self.spawn = None

    def hello(self):
        """Return what this process says of itself."""
        return self.settings.hello("agent", self.clock.now())

    # Worker's reports

    def on_report(self, worker):
        """Take a report of the worker.

        Parameters
        ----------
        worker : Worker

        Returns
        -------
        bool
            Whether the report may be acknowledged; one of an earlier lifetime may as well.
        """
        known = self.arbiter.worker
        same = known is not None and (known.id, known.born_ms) == (worker.id, worker.born_ms)
        before = known.state if known is not None else ""
        if not self.arbiter.take_worker(worker, self.clock.now()):
            return True
        if not same:
            self.last_end = 0
            self.misses = 0
            self.worker_clock = WorkerClock()
        if not same or before != worker.state:
            fields = {"worker": worker.id, "state": worker.state, "sequence": worker.sequence}
            log.info("worker reported", extra=fields)
        self.worker_known.set()
        self.after_change()
        return True

    def on_leave(self, worker_id):
        """Note that the worker has ended as planned."""
        known = self.arbiter.worker
        if known is not None and known.id == worker_id:
            log.info("worker left", extra={"worker": worker_id})
            self.arbiter.end_lifetime("the worker has left", self.clock.now())
            self.after_change()

    # Worker's lease and lists

    async def keep_lease(self):
        """Renew the lease and read the lists for as long as there is a worker."""
        while True:
            worker = self.arbiter.worker
            if worker is None:
                self.worker_known.clear()
                await self.worker_known.wait()
                continue
            if not await self.hold(worker):
                await asyncio.sleep(RETRY_PAUSE_S)

    async def hold(self, worker):
        """Renew once; return whether the worker answered as hoped."""
        sent_at = self.clock.now()
        token = self.token.value
        until_ms = None
        # A renewal that may have been lost is not repeated, or the lease would never lapse.
        if self.worker_clock.read_at and not self.misses:
            until_ms = int(self.worker_clock.at(sent_at) + self.lease.length_ms)
            self.lease.renewed_at = sent_at
        wait_ms = HOLD_WAIT_MS if self.settled.is_set() and not self.misses else 0
        fresh = self.misses > 0
        reply = await self.client.hold(worker, until_ms, token, self.last_end, wait_ms, fresh)
        now = self.clock.now()
        if not self.is_same_life(worker):
            return True
        if reply.answer != "ok":
            self.on_missed_hold(reply, token, now)
            return False
        self.worker_clock.note(reply.clock_ms, max(sent_at, now - 0.002), now)
        self.note_answer(now)
        if not self.token.accepted():
            return True
        if reply.born_ms > worker.born_ms:
            self.arbiter.end_lifetime("the worker has restarted", now)
            self.after_change()
            return True
        self.take_lists(reply, sent_at, now)
        return True

    def on_missed_hold(self, reply, token, now):
        """Act on a renewal that was refused or not answered."""
        if reply.answer == "fence":
            self.token.refused(token)
            log.warning("fencing token refused", extra={"token": token, "next": self.token.value})
            return
        self.misses += 1
        if self.misses == SUSPECT_MISSES:
            log.warning("worker does not answer", extra={"answer": reply.answer})
        if self.misses >= SUSPECT_MISSES:
            self.arbiter.set_answers(False, now)
        if self.lease.has_lapsed(now):
            self.arbiter.lease_lapsed(now)
        self.after_change()

    def note_answer(self, now):
        """Note that the worker answers again."""
        if self.misses >= SUSPECT_MISSES:
            log.info("worker answers again", extra={"misses": self.misses})
        self.misses = 0
        self.arbiter.set_answers(True, now)

    def take_lists(self, reply, asked_at, now):
        """Take what the worker lists as ended and running."""
        if reply.ends:
            self.last_end = max(self.last_end, reply.last_end)
            self.arbiter.take_ends(reply.ends, now)
        unknown = self.arbiter.take_running(reply.running, asked_at, now)
        for ref in unknown:
            log.warning("stopping a run nobody here ordered", extra={"task": task_name(ref)})
            self.spawn(self.stop_ref(ref))
        if not self.settled.is_set() and not unknown:
            self.settled.set()
        self.after_change()

    # Starts and stops

    async def start(self, run):
        """Carry out an order to start."""
        worker = self.arbiter.worker
        answer = "returned"
        if worker is not None:
            answer = await self.start_at(worker, run)
        if answer not in ("started", "returned"):
            fields = {"task": task_name(run.order.ref), "run": run.order.run, "answer": answer}
            log.info("start not carried out", extra=fields)
        self.arbiter.start_answered(run, answer, self.clock.now())
        self.after_change()

    async def start_at(self, worker, run):
        """Order a start, again with a newer token when the old one is refused."""
        for _ in range(2):
            sent_at = self.clock.now()
            token = self.token.value
            until_ms = int(self.worker_clock.at(sent_at) + self.lease.length_ms)
            self.lease.renewed_at = max(self.lease.renewed_at, sent_at)
            reply = await self.client.start(worker, run.order, until_ms, token)
            self.worker_clock.note(reply.clock_ms, sent_at, self.clock.now())
            if reply.answer != "fence":
                return "started" if reply.answer == "ok" else reply.answer
            self.token.refused(token)
        return "fence"

    async def stop_run(self, run):
        """Carry out an order to stop, until the worker has answered."""
        await self.stop_ref(run.order.ref)
        self.arbiter.stop_answered(run, self.clock.now())
        if run.doubtful:
            await self.look()

    def is_same_life(self, worker):
        """Return whether a worker's lifetime is still the present one."""
        known = self.arbiter.worker
        return known is not None and (known.id, known.born_ms) == (worker.id, worker.born_ms)

    async def look(self):
        """Ask for the lists now: a run in doubt has ended when they do not hold it."""
        worker = self.arbiter.worker
        if worker is None:
            return
        asked_at = self.clock.now()
        reply = await self.client.hold(worker, None, self.token.value, self.last_end, 0, False)
        if reply.answer == "ok" and self.is_same_life(worker):
            self.take_lists(reply, asked_at, self.clock.now())

    async def stop_ref(self, ref):
        """Order a stop until the worker has answered."""
        for attempt in range(STOP_TRIES):
            worker = self.arbiter.worker
            if worker is None:
                return
            token = self.token.value
            reply = await self.client.stop(worker, ref, token)
            if reply.answer == "fence":
                self.token.refused(token)
            elif reply.answer != "unanswered" and reply.answer != "unhealthy":
                return
            else:
                await asyncio.sleep(RETRY_PAUSE_S * min(attempt, LONGEST_RETRY_PAUSES))
        log.warning("stop never answered", extra={"task": task_name(ref)})

    def after_change(self):
        """Carry out what the arbiter asks for and let entries know."""
        arbiter = self.arbiter
        arbiter.schedule(self.clock.now())
        starts, arbiter.starts = arbiter.starts, []
        stops, arbiter.stops = arbiter.stops, []
        for run in starts:
            self.spawn(self.start(run))
        for run in stops:
            self.spawn(self.stop_run(run))
        self.send_events()
        if arbiter.changed and not self.flush_due:
            self.flush_due = True
            delay_s = TIGHT_STATUS_DELAY_S if arbiter.is_tight(TIGHT_SHARE) else STATUS_DELAY_S
            asyncio.get_running_loop().call_later(delay_s, self.send_status)

    def send_events(self):
        """Send entries the news of their runs."""
        for session in self.arbiter.sessions.values():
            if session.events and session.connection is not None:
                events, session.events = session.events, []
                self.count_events(events)
                session.connection.send(TaskEvents(events))

    def count_events(self, events):
        """Count news of runs and log those that ended badly."""
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
        """Send every entry the state and room of the worker."""
        self.flush_due = False
        self.arbiter.changed = False
        for session in self.arbiter.sessions.values():
            if session.connection is not None:
                session.connection.send(self.arbiter.status(session))

    # Entries

    async def accept(self, connection):
        """Serve a connection that an entry opened."""
        if connection.peer.role != "entry":
            raise ProtocolError(f"an agent serves entries, not {connection.peer.role}")
        peer = connection.peer
        session = self.arbiter.connect(peer.node, peer.incarnation, connection)
        log.info("entry connected", extra={"entry": peer.node, "incarnation": peer.incarnation})
        try:
            reason = await connection.run(lambda _, item: self.on_message(session, item))
            log.info("entry disconnected", extra={"entry": peer.node, "reason": reason})
        finally:
            self.arbiter.disconnect(session, connection, self.clock.now())

    def on_message(self, session, message):
        """Take one message of an entry."""
        now = self.clock.now()
        if isinstance(message, Place):
            self.arbiter.place(session, message.orders, now)
        elif isinstance(message, Withdraw):
            self.arbiter.withdraw(session, message.refs, now)
        elif isinstance(message, Recall):
            self.arbiter.recall(session, message.refs, now)
        elif isinstance(message, Resume):
            self.arbiter.resume(session, message.refs, now)
        else:
            raise ProtocolError(f"unexpected {type(message).__name__}")
        self.after_change()

    async def keep_time(self):
        """Let the arbiter see time pass."""
        while True:
            await asyncio.sleep(TICK_S)
            self.arbiter.tick(self.clock.now())
            self.after_change()

    async def dial_back(self):
        """Tell entries that have gone where this agent is, in case control can not."""
        gone = {}
        while True:
            await asyncio.sleep(DIAL_BACK_S)
            now = self.clock.now()
            here = {session.entry for session in self.arbiter.sessions.values()}
            for node in self.control.nodes_of("entry"):
                if node.node in here:
                    gone.pop(node.node, None)
                elif now - gone.setdefault(node.node, now) < DIAL_BACK_FOR_S:
                    self.spawn(self.tell_sighted(node))

    async def tell_sighted(self, node):
        """Tell one entry where this agent is."""
        settings = self.settings
        mine = DirectoryNode(settings.node, "agent", settings.zone, str(settings.listen))
        host, _, port = node.address.rpartition(":")
        try:
            async with open_connection(
                (host, int(port)), self.hello(), settings.timing
            ) as connection:
                connection.send(Sighted(mine, self.control.document))
                connection.flush()
                await asyncio.sleep(TICK_S)
        except (OSError, OnyxforkError) as error:
            log.debug("entry not reached", extra={"entry": node.node, "reason": str(error)})

    async def stop(self):
        """Stop as planned: take nothing new and let what runs end."""
        self.stopping = True
        arbiter = self.arbiter
        if arbiter.worker is not None:
            arbiter.worker.state = "draining"
            arbiter.return_queued("draining", self.clock.now())
            arbiter.changed = True
        self.after_change()
        until = self.clock.now() + self.settings.drain_s
        while self.clock.now() < until and any(
            run.state in (RUNNING, STOPPING) for run in arbiter.runs.values()
        ):
            await asyncio.sleep(TICK_S)


def task_name(ref):
    """Return a task's name for logs."""
    return f"{ref.job}.{ref.step}.{ref.index}"


@asynccontextmanager
async def run_agent(agent):
    """Run an agent while the context is open.

    Entries are let in once the worker runs nothing that an earlier agent has ordered.

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
        spawn(agent.keep_time())
        spawn(agent.dial_back())
        spawn(agent.control.run(spawn))
        spawn(serve_when_settled(agent))
        agent.control.register(str(settings.listen))
        yield agent


async def serve_when_settled(agent):
    """Listen for entries once nothing of an earlier agent runs."""
    listen = agent.settings.listen
    await agent.settled.wait()
    log.info("worker settled", extra={"token": agent.token.value})
    async with serve(listen.host, listen.port, agent.hello, agent.settings.timing, agent.accept):
        await asyncio.Event().wait()
