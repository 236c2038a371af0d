"""The agent of direct dispatch: drives an `Arbiter` between entries and one worker."""

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
TIGHT_STATUS_DELAY_S = 0.004
STATUS_DELAY_S = 0.015
"""Reports to entries within this time leave as one: at once, nearly, while room is short, and later
while there is plenty and a report changes no decision."""

TIGHT_SHARE = 0.5
"""Room is short below this share of the worker's processors."""

SUSPENSION_S = 0.1
"""A shorter suspension delays orders no more than the network may."""

DIAL_BACK_S = 0.3
DIAL_BACK_FOR_S = 120.0
"""An entry that has gone may have restarted while control is away; it is told where this agent is
for this long."""


class DirectAgent(WorkerDriver):
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
        self.answer_times = AnswerTimes()
        self.last_end = 0
        self.misses = 0
        self.settled = asyncio.Event()
        self.worker_known = asyncio.Event()
        self.control = ControlLinks(settings, clock, self.hello, telemetry)
        self.stopping = False
        self.flush_due = False
        self.spawn = None
        self.suspended_s = clock.suspended_s()

    def hello(self):
        """Return what this process says of itself."""
        return self.settings.hello("agent", self.clock.now())

    def after_change(self):
        """Carry out what the arbiter asks for and let entries know."""
        arbiter = self.arbiter
        for session in arbiter.sessions.values():
            if session.connection is not None:
                session.note_heard(session.connection.latest_echo)
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
        now = self.clock.now()
        for session in self.arbiter.sessions.values():
            if session.connection is not None:
                session.connection.send(self.arbiter.status(session, now))

    # Entries

    async def accept(self, connection):
        """Serve a connection that an entry opened."""
        if connection.peer.role != "entry":
            raise ProtocolError(f"an agent serves entries, not {connection.peer.role}")
        peer = connection.peer
        session = self.arbiter.connect(peer.node, peer.incarnation, connection)
        log.info("entry connected", extra={"entry": peer.node, "incarnation": peer.incarnation})
        try:
            reason = await connection.run(
                lambda connection, item: self.on_message(session, connection, item)
            )
            log.info("entry disconnected", extra={"entry": peer.node, "reason": reason})
        finally:
            self.arbiter.disconnect(session, connection, self.clock.now())

    def on_message(self, session, connection, message):
        """Take one message of an entry.

        The first message of a newer connection has settled what the entry wants; what is left to
        read of an older one may hold orders that the entry has given up since.
        """
        if session.connection is not connection:
            log.info("message of an older connection ignored", extra={"entry": session.entry})
            return
        self.look_for_suspension()
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
        self.after_change()

    async def keep_time(self):
        """Let the arbiter see time pass."""
        while True:
            await asyncio.sleep(TICK_S)
            self.look_for_suspension()
            self.arbiter.tick(self.clock.now())
            self.after_change()

    def look_for_suspension(self):
        """Notice that the machine was suspended, which the monotonic clock does not show."""
        suspended_s = self.clock.suspended_s()
        if suspended_s - self.suspended_s > SUSPENSION_S:
            gap_s = round(suspended_s - self.suspended_s, 2)
            log.warning("machine was suspended", extra={"seconds": gap_s})
            self.arbiter.note_suspension(self.clock.now())
        self.suspended_s = suspended_s

    async def dial_back(self):
        """Tell entries that have gone where this agent is, in case control can not."""
        gone = {}
        while True:
            await asyncio.sleep(DIAL_BACK_S)
            now = self.clock.now()
            here = {session.entry for session in self.arbiter.sessions.values()}
            for node in self.control.nodes_with_role("entry"):
                if node.node in here:
                    gone.pop(node.node, None)
                elif now - gone.setdefault(node.node, now) < DIAL_BACK_FOR_S:
                    self.spawn(self.tell_sighted(node))

    async def tell_sighted(self, node):
        """Tell one entry where this agent is."""
        settings = self.settings
        mine = DirectoryNode(settings.node, "agent", settings.zone, str(settings.address))
        try:
            async with open_connection(
                Address.from_text(node.address).host_and_port, self.hello(), settings.timing
            ) as connection:
                connection.send(AgentAnnounced(mine, self.control.document))
                connection.flush()
                await asyncio.sleep(TICK_S)
        except (OSError, OnyxforkError) as error:
            log.debug("entry not reached", extra={"entry": node.node, "reason": str(error)})

    async def stop(self):
        """Stop as planned: take nothing new and let what has been ordered end."""
        self.stopping = True
        arbiter = self.arbiter
        if arbiter.worker is not None:
            arbiter.worker.state = "draining"
            arbiter.return_queued("draining", self.clock.now())
            arbiter.changed = True
        self.after_change()
        until = self.clock.now() + self.settings.drain_s
        while self.clock.now() < until and arbiter.runs:
            await asyncio.sleep(TICK_S)


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
        agent.control.set_own_address(str(settings.address))
        yield agent


async def serve_when_settled(agent):
    """Listen for entries once nothing of an earlier agent runs."""
    listen = agent.settings.listen
    await agent.settled.wait()
    log.info("worker settled", extra={"token": agent.token.value})
    async with serve(listen.host, listen.port, agent.hello, agent.settings.timing, agent.accept):
        await asyncio.Event().wait()
