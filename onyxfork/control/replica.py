"""One control instance: the driver of a replica, its peers and its followers.

The driver feeds messages and time into :class:`Raft`, makes entries durable in a thread, applies
what is committed and answers who waits for it. Writes that arrive while a sync is under way share
the next one.
"""

import asyncio
import logging
from concurrent.futures import ThreadPoolExecutor
from contextlib import asynccontextmanager
from random import Random

from onyxfork.control.commands import Elapsed
from onyxfork.control.fanout import Fanout
from onyxfork.control.feed import (
    Follow,
    InForce,
    Propose,
    Proposed,
    ReadIndex,
    ReadIndexed,
    Renew,
    Renewed,
)
from onyxfork.control.leases import LeaseTable
from onyxfork.control.raft import Raft, RaftTiming
from onyxfork.control.raft_messages import (
    COMMAND,
    Append,
    AppendReply,
    InstallSnapshot,
    Join,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from onyxfork.control.replica_peers import Peers
from onyxfork.control.replica_requests import Requests
from onyxfork.control.state import ControlState
from onyxfork.errors import ProtocolError, StorageError
from onyxfork.messages import PROTOCOL_VERSION, Hello, Timing, serve
from onyxfork.tls import TlsContexts
from onyxfork.utils import clock_for, owned_tasks

__all__ = ["Replica", "run_replica"]

log = logging.getLogger(__name__)

RAFT_MESSAGES = (VoteRequest, VoteReply, Append, AppendReply, InstallSnapshot, TimeoutNow)
LOG_TIME_INTERVAL_S = 10.0


class Replica(Requests, Peers):
    """A control instance.

    Parameters
    ----------
    settings : ControlSettings
    storage : Storage
    metrics : Metrics
    clock : Clock
    """

    def __init__(self, settings, storage, metrics, clock=None):
        recovered = storage.recovered
        self.settings = settings
        self.storage = storage
        self.metrics = metrics
        self.tls = TlsContexts.from_config(settings)
        self.clock = clock or clock_for(settings.clock_file)
        self.rng = Random(f"{recovered.identity}{self.clock.wall_ms()}")
        self.state = self.load_state(recovered.state)
        self.raft = Raft(
            recovered.identity,
            recovered.members,
            recovered.log,
            recovered.term,
            recovered.vote,
            rng=self.rng,
            timing=RaftTiming(),
            now=self.clock.now(),
            max_voters=settings.most_voters,
        )
        self.fanout = self.make_fanout()
        self.leases = LeaseTable(
            settings.cells, settings.lease_s, self.raft.timing.max_election_timeout_s
        )
        self.executor = ThreadPoolExecutor(max_workers=1)
        self.wake = asyncio.Event()
        self.known_role = self.raft.role
        self.waiting = {}
        self.read_waiters = {}
        self.next_token = 0
        self.peers = {}
        self.forwarded = {}
        self.announcements = {}
        self.port = None
        self.fatal = None
        self.stopping = False
        self.spawn = None

    @classmethod
    def from_config(cls, settings, storage, metrics):
        """Return a replica on an open data folder."""
        return cls(settings, storage, metrics)

    @staticmethod
    def load_state(snapshot):
        """Return the state in a snapshot, or an empty one."""
        return ControlState() if snapshot is None else ControlState.from_snapshot(snapshot)

    def make_fanout(self):
        """Return what feeds the nodes that follow this instance."""
        return Fanout(self.state, self.settings.node, self.clock)

    @property
    def has_quorum_contact(self):
        """Whether this instance is surely in touch with a quorum."""
        now = self.clock.now()
        if self.raft.is_leader:
            return self.raft.has_quorum_contact_since(now - self.raft.timing.max_election_timeout_s)
        return now - self.raft.last_leader_contact_at < self.raft.timing.max_election_timeout_s

    def hello(self):
        """Return what this process says of itself."""
        return Hello(
            version=PROTOCOL_VERSION,
            cluster=self.settings.cluster,
            role="control",
            node=self.settings.node,
            incarnation=self.raft.identity,
            zone=self.settings.zone,
            clock=self.clock.now(),
        )

    def timing(self):
        """Return the timing of connections."""
        given = self.settings.timing
        return Timing(given.heartbeat_s, given.suspect_s, given.silent_s, given.connect_s)

    # Driver

    async def drive(self):
        """Run the replica until it is stopped or its disk fails."""
        while self.fatal is None:
            delay = max(0.0, self.raft.next_tick_at() - self.clock.now())
            await wait_for_event(self.wake, delay)
            self.wake.clear()
            self.raft.tick(self.clock.now())
            while self.raft.has_ready() and self.fatal is None:
                await self.process(self.raft.take_ready())
            self.note_role()
            self.reassign_cells()
        raise StorageError(self.fatal)

    def note_role(self):
        """Log a change of role, and let go of what only a leader can answer."""
        if self.raft.role == self.known_role:
            return
        if self.known_role == "leader":
            self.fail_waiting()
        self.known_role = self.raft.role
        fields = {"role_now": self.raft.role, "term": self.raft.term, "leader": self.raft.leader}
        log.info("role changed", extra=fields)

    async def process(self, ready):
        """Carry out one `Ready`."""
        self.send_all(ready.send_now)
        if ready.must_sync and not await self.make_durable(ready):
            return
        self.send_all(ready.send_after_sync)
        if ready.snapshot is not None:
            self.load_snapshot(ready.snapshot)
        for entry in ready.committed:
            self.apply(entry)
        for token, confirmed in ready.reads:
            waiter = self.read_waiters.pop(token, None)
            if waiter is not None and not waiter.done():
                waiter.set_result(confirmed)
        if ready.committed or ready.snapshot:
            self.fanout.flush()
        if self.storage.log_bytes > self.settings.snapshot_bytes:
            await self.compact()

    async def make_durable(self, ready):
        """Write and sync what `ready` holds; return whether it succeeded."""
        loop = asyncio.get_running_loop()
        if ready.snapshot is not None:
            taken = ready.snapshot
            hard_state = (self.raft.term, self.raft.vote)
            arguments = (taken.index, taken.entry_term, taken.members, taken.state, hard_state, [])
            work = loop.run_in_executor(self.executor, self.storage.save_snapshot, *arguments)
        else:
            arguments = (ready.hard_state, ready.entries)
            work = loop.run_in_executor(self.executor, self.storage.write, *arguments)
        result = await work
        if result.is_err():
            self.fatal = f"{self.storage.folder}: {result.err_value}"
            log.error("durable write failed, stopping", extra={"reason": self.fatal})
            self.wake.set()
            return False
        if ready.entries:
            last = ready.entries[-1]
            self.raft.mark_durable(last.index, last.term, self.clock.now())
        return True

    def apply(self, entry):
        """Apply one committed entry and answer who waits for it."""
        result = None
        if entry.kind == COMMAND:
            result = self.state.apply(entry.index, entry.data)
        self.state.applied = entry.index
        waiter = self.waiting.pop(entry.index, None)
        if waiter is not None and not waiter[1].done():
            waiter[1].set_result(result if waiter[0] == entry.term else None)

    def load_snapshot(self, message):
        """Replace the state by one received from the leader."""
        self.state = self.load_state(message.state)
        self.fanout.replace_state(self.state)

    async def compact(self):
        """Write a snapshot and drop the log before it."""
        index = self.state.applied
        term = self.raft.log.term_at(index)
        if term is None or index <= self.raft.log.base_index:
            return
        body = self.state.to_snapshot()
        members = self.raft.compact(index)
        hard_state = (self.raft.term, self.raft.vote)
        tail = list(self.raft.log.entries)
        loop = asyncio.get_running_loop()
        arguments = (index, term, members, body, hard_state, tail)
        work = loop.run_in_executor(self.executor, self.storage.save_snapshot, *arguments)
        result = await work
        if result.is_err():
            self.fatal = f"{self.storage.folder}: {result.err_value}"
        for last in tail[-1:]:
            self.raft.mark_durable(last.index, last.term, self.clock.now())
        log.info("snapshot written", extra={"index": index, "bytes": len(body)})

    def send_all(self, messages):
        """Send messages to peers; one for a peer that is not connected is dropped."""
        for identity, message in messages:
            connection = self.peers.get(identity)
            if connection is None or not connection.is_open:
                continue
            if message is None:
                message = self.make_snapshot_message()
            connection.send(message)

    def make_snapshot_message(self):
        """Return a snapshot of the applied state for a peer that lags."""
        index = self.state.applied
        term = self.raft.log.term_at(index)
        members = self.raft.members_at(index)
        return self.raft.snapshot_message(index, term, members, self.state.to_snapshot())

    # Connections

    async def accept(self, connection):
        """Serve a connection that a peer, node or operator's tool opened."""
        connection.counter = self.metrics.make_message_counter(connection.peer.role)
        try:
            await connection.run(self.on_message)
        finally:
            self.fanout.drop(connection)

    def on_message(self, connection, message):
        """Dispatch one message by its type."""
        if isinstance(message, RAFT_MESSAGES):
            self.raft.receive(message, self.clock.now())
            self.wake.set()
        elif isinstance(message, Propose):
            self.spawn(self.answer_proposal(connection, message))
        elif isinstance(message, Renew):
            self.spawn(self.answer_renewal(connection, message))
        elif isinstance(message, Follow):
            self.fanout.follow(connection, message, self.has_quorum_contact)
        elif isinstance(message, InForce):
            self.fanout.note_in_force(connection, message)
        elif isinstance(message, ReadIndex):
            self.spawn(self.answer_read(connection, message))
        elif isinstance(message, (Proposed, Renewed, ReadIndexed)):
            self.resolve_forwarded(message)
        elif isinstance(message, Join):
            self.handle_join(message)
        else:
            raise ProtocolError(f"unexpected {type(message).__name__}")

    # Leases, heartbeats

    def reassign_cells(self):
        """As the leader, give cells without a living owner to another entry."""
        now = self.clock.now()
        for command in self.leases.due_assignments(
            self.raft, self.state, now, self.clock.wall_ms()
        ):
            self.spawn(self.propose(command))

    async def advance_log_time(self):
        """As the leader, let the log's time advance with the monotonic clock.

        A proposal whose outcome is unknown is not made up for: the log's time may lag, never lead.
        """
        before = None
        while True:
            await asyncio.sleep(LOG_TIME_INTERVAL_S)
            now = self.clock.now()
            since, before = before, now if self.raft.is_leader else None
            if since is not None and before is not None:
                await self.propose(Elapsed(int((now - since) * 1000)))

    async def keep_followers(self):
        """Tell followers the version, collect announcements, and declare nodes lost."""
        while True:
            await asyncio.sleep(self.fanout.interval_s)
            self.fanout.send_updates(self.has_quorum_contact)
            lost = self.fanout.find_lost(self.settings.lost_after_s)
            if lost is not None:
                await self.propose(lost)

    async def transfer_leadership(self):
        """Give the lead away before a planned stop."""
        if self.raft.transfer_leadership(self.clock.now()):
            self.wake.set()
            deadline = self.clock.now() + self.raft.timing.max_election_timeout_s
            while self.raft.is_leader and self.clock.now() < deadline:
                await asyncio.sleep(0.02)


async def wait_for_event(event, timeout_s):
    """Wait until an event is set or a time has passed."""
    if event.is_set():
        return
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        pass


@asynccontextmanager
async def run_replica(replica):
    """Run a replica while the context is open.

    Parameters
    ----------
    replica : Replica

    Yields
    ------
    asyncio.Task
        Ends with an exception when the replica can not go on.
    """
    listen = replica.settings.listen
    server = serve(
        listen.host,
        listen.port,
        replica.hello,
        replica.timing(),
        replica.accept,
        tls=replica.tls.server,
    )
    async with owned_tasks() as spawn:
        replica.spawn = spawn
        async with server as port:
            replica.port = port
            driver = asyncio.create_task(replica.drive())
            spawn(replica.keep_peers())
            spawn(replica.keep_followers())
            spawn(replica.advance_log_time())
            try:
                yield driver
            finally:
                await replica.transfer_leadership()
                driver.cancel()
                await asyncio.gather(driver, return_exceptions=True)
                replica.executor.shutdown(wait=True)
