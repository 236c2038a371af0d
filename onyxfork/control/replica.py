"""A control instance: drives a Raft replica and serves its peers, followers and operators.

The driver passes messages and time to :class:`Raft`, makes entries durable in a thread, applies
committed entries and completes the requests that wait for them. Writes that arrive during a sync
share the next one.
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

DISK_FULL_RETRY_S = 0.25
"""Pause between attempts to write to a full disk."""

COMPACTION_RETRY_S = 5.0
"""Pause before another attempt to write a snapshot to a full disk."""


class Replica(Requests, Peers):
    """A control instance.

    Parameters
    ----------
    settings : ControlSettings
    storage : Storage
    metrics : Metrics
    clock : Clock, optional

    Attributes
    ----------
    peers : dict of str to Connection
        Connections that this instance opened to other control instances, by identity.
    accepted_peers : dict of str to Connection
        Connections that other control instances opened to this one, by identity; of several, the
        one that delivered the latest message.
    waiting_proposals : dict
        Maps the index of a proposed entry to its term and the future of its result.
    pending_reads : dict
        Maps the token of a read to the future that tells whether it is confirmed.
    forwarded_requests : dict
        Maps the number of a request forwarded to the leader to the connection and the future.
    fatal_reason : str or None
        Reason of a disk failure, or None; ends the driver once it is set.
    next_compaction_at : float
        Monotonic seconds before which no snapshot is written, after one met a full disk.
    previous_members : Members
        The members that the latest log line about them names.
    is_asking_to_join : bool
        Whether this instance asks the others to be added to the members.
    spawn : callable
        Starts a task that ends with :func:`run_replica`.
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
        self.wake_event = asyncio.Event()
        self.previous_role = self.raft.role
        self.previous_members = self.raft.members
        self.waiting_proposals = {}
        self.pending_reads = {}
        self.last_request_id = 0
        self.peers = {}
        self.accepted_peers = {}
        self.forwarded_requests = {}
        self.announcements = {}
        self.is_asking_to_join = False
        self.port = None
        self.fatal_reason = None
        self.next_compaction_at = float("-inf")
        self.stopping = False
        self.spawn = None

    @classmethod
    def from_config(cls, settings, storage, metrics):
        """Return a replica on an open data folder."""
        return cls(settings, storage, metrics)

    @staticmethod
    def load_state(snapshot):
        """Return the state in a snapshot, or an empty state when there is none."""
        return ControlState() if snapshot is None else ControlState.from_snapshot(snapshot)

    def make_fanout(self):
        """Return the `Fanout` that sends state changes to the nodes following this instance."""
        return Fanout(self.state, self.settings.node, self.clock)

    @property
    def has_quorum_contact(self):
        """Whether this instance was in contact with a quorum within the election timeout.

        A Raft follower counts as in contact with a quorum while it is in contact with a leader.
        """
        now = self.clock.now()
        if self.raft.is_leader:
            return self.raft.has_quorum_contact_since(now - self.raft.timing.max_election_timeout_s)
        return now - self.raft.last_leader_contact_at < self.raft.timing.max_election_timeout_s

    def hello(self):
        """Return the `Hello` that introduces this process to a peer."""
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
        """Return the heartbeat interval and timeouts of connections."""
        timing = self.settings.timing
        return Timing(timing.heartbeat_s, timing.suspect_s, timing.silent_s, timing.connect_s)

    # Driver

    async def drive(self):
        """Drive the replica until it is cancelled or its disk fails."""
        while self.fatal_reason is None:
            delay = max(0.0, self.raft.next_tick_at() - self.clock.now())
            await wait_for_event(self.wake_event, delay)
            self.wake_event.clear()
            self.raft.tick(self.clock.now())
            while self.raft.has_ready() and self.fatal_reason is None:
                await self.process(self.raft.take_ready())
            self.handle_role_change()
            self.log_members_change()
            self.reassign_cells()
        raise StorageError(self.fatal_reason)

    def handle_role_change(self):
        """Log a change of role; complete a former leader's proposals with an unknown outcome."""
        if self.raft.role == self.previous_role:
            return
        if self.previous_role == "leader":
            self.fail_waiting_proposals()
        self.previous_role = self.raft.role
        fields = {"role_now": self.raft.role, "term": self.raft.term, "leader": self.raft.leader}
        log.info("role changed", extra=fields)

    def log_members_change(self):
        """Log the members when the log has a new set, whether it is committed or not."""
        members = self.raft.members
        if members == self.previous_members:
            return
        self.previous_members = members
        fields = {
            "index": self.raft.members_index,
            "voters": sorted(members.voters),
            "learners": sorted(members.learners),
            "leader": self.raft.leader,
        }
        log.info("members changed", extra=fields)

    async def process(self, ready):
        """Carry out the work of one `Ready`, and compact a log above `snapshot_bytes`."""
        self.send_all(ready.send_now)
        if ready.must_sync and not await self.make_durable(ready):
            return
        self.send_all(ready.send_after_sync)
        if ready.snapshot is not None:
            self.install_snapshot(ready.snapshot)
        for entry in ready.committed:
            self.apply(entry)
        for token, confirmed in ready.reads:
            future = self.pending_reads.pop(token, None)
            if future is not None and not future.done():
                future.set_result(confirmed)
        if ready.committed or ready.snapshot:
            self.fanout.flush()
        if self.storage.log_bytes > self.settings.snapshot_bytes:
            await self.compact()

    async def make_durable(self, ready):
        """Write and sync hard state, entries or snapshot; return whether that succeeded."""
        if ready.snapshot is not None:
            snapshot = ready.snapshot
            hard_state = (self.raft.term, self.raft.vote)
            arguments = (
                snapshot.index,
                snapshot.entry_term,
                snapshot.members,
                snapshot.state,
                hard_state,
                ready.entries,
            )
            result = await self.write_when_possible(self.storage.save_snapshot, *arguments)
        else:
            arguments = (ready.hard_state, ready.entries)
            result = await self.write_when_possible(self.storage.write, *arguments)
        if result.is_err():
            self.fatal_reason = f"{self.storage.folder}: {result.err_value}"
            log.error(
                "disk write failed; stopping this instance", extra={"reason": self.fatal_reason}
            )
            self.wake_event.set()
            return False
        if ready.entries:
            last = ready.entries[-1]
            self.raft.mark_durable(last.index, last.term, self.clock.now())
        return True

    async def write_when_possible(self, write, *arguments):
        """Write to the disk; while it is full, try again until there is room.

        Meanwhile the driver sends nothing: this instance acknowledges no entry, and if it leads,
        the others elect another leader.
        """
        loop = asyncio.get_running_loop()
        was_full = False
        while True:
            result = await loop.run_in_executor(self.executor, write, *arguments)
            if result.is_ok() or self.storage.failure is not None:
                break
            if not was_full:
                log.error("disk is full; waiting for room", extra={"reason": result.err_value})
            was_full = True
            await asyncio.sleep(DISK_FULL_RETRY_S)
        if was_full and result.is_ok():
            log.warning("disk has room again")
        return result

    def apply(self, entry):
        """Apply one committed entry and complete the proposal that waits for it.

        If another leader has replaced the proposed entry, the outcome of the proposal is unknown.
        """
        result = None
        if entry.kind == COMMAND:
            result = self.state.apply(entry.index, entry.data)
        self.state.applied = entry.index
        proposal = self.waiting_proposals.pop(entry.index, None)
        if proposal is not None and not proposal[1].done():
            proposal[1].set_result(result if proposal[0] == entry.term else None)

    def install_snapshot(self, message):
        """Replace the state by the one in a snapshot from the leader."""
        self.state = self.load_state(message.state)
        self.fanout.replace_state(self.state)

    async def compact(self):
        """Write a snapshot of the applied state and drop the log up to it."""
        index = self.state.applied
        term = self.raft.log.term_at(index)
        now = self.clock.now()
        if term is None or index <= self.raft.log.base_index or now < self.next_compaction_at:
            return
        body = self.state.to_snapshot()
        members = self.raft.compact(index)
        hard_state = (self.raft.term, self.raft.vote)
        remaining_entries = list(self.raft.log.entries)
        loop = asyncio.get_running_loop()
        arguments = (index, term, members, body, hard_state, remaining_entries)
        work = loop.run_in_executor(self.executor, self.storage.save_snapshot, *arguments)
        result = await work
        if result.is_err():
            if self.storage.is_full:
                log.error("no snapshot: disk is full", extra={"reason": result.err_value})
                self.next_compaction_at = now + COMPACTION_RETRY_S
            else:
                self.fatal_reason = f"{self.storage.folder}: {result.err_value}"
            return
        for last in remaining_entries[-1:]:
            self.raft.mark_durable(last.index, last.term, self.clock.now())
        log.info("snapshot written", extra={"index": index, "bytes": len(body)})

    def send_all(self, messages):
        """Send messages to peers; drop those for peers that are not connected.

        None in place of a message stands for a snapshot of the applied state.
        """
        for identity, message in messages:
            connection = self.connection_to(identity)
            if connection is None:
                continue
            if message is None:
                message = self.make_snapshot_message()
            connection.send(message)

    def make_snapshot_message(self):
        """Return the message that installs a snapshot of the applied state at a lagging peer."""
        index = self.state.applied
        term = self.raft.log.term_at(index)
        members = self.raft.members_at(index)
        return self.raft.snapshot_message(index, term, members, self.state.to_snapshot())

    # Connections

    async def accept(self, connection):
        """Serve a connection that another control instance or a node has opened."""
        connection.counter = self.metrics.make_message_counter(connection.peer.role)
        identity = connection.peer.incarnation
        try:
            await connection.run(self.on_accepted_message)
        finally:
            self.fanout.drop(connection)
            self.cancel_forwarded_requests(connection)
            if self.accepted_peers.get(identity) is connection:
                del self.accepted_peers[identity]

    def on_accepted_message(self, connection, message):
        """Handle a message on a connection that another process has opened.

        A control instance that expects a former identity at this address connects and closes at
        once. So a connection counts as usable only once it has delivered a message.
        """
        if connection.peer.role == "control":
            self.accepted_peers[connection.peer.incarnation] = connection
        self.on_message(connection, message)

    def on_message(self, connection, message):
        """Dispatch one message by its type."""
        if isinstance(message, RAFT_MESSAGES):
            self.raft.receive(message, self.clock.now())
            self.wake_event.set()
        elif isinstance(message, Propose):
            self.spawn(self.answer_proposal(connection, message))
        elif isinstance(message, Renew):
            self.spawn(self.answer_renewal(connection, message))
        elif isinstance(message, Follow):
            self.fanout.add_follower(connection, message, self.has_quorum_contact)
        elif isinstance(message, InForce):
            self.fanout.record_in_force(connection, message)
        elif isinstance(message, ReadIndex):
            self.spawn(self.answer_read(connection, message))
        elif isinstance(message, (Proposed, Renewed, ReadIndexed)):
            self.resolve_forwarded(message)
        elif isinstance(message, Join):
            self.handle_join(message)
        else:
            raise ProtocolError(f"unexpected {type(message).__name__}")

    # Periodic work

    def reassign_cells(self):
        """As the leader, assign cells whose owner's lease has ended to other entries."""
        now = self.clock.now()
        for command in self.leases.due_assignments(
            self.raft, self.state, now, self.clock.wall_ms()
        ):
            self.spawn(self.propose(command))

    async def advance_log_time(self):
        """As the leader, advance the log time by the time passed on the monotonic clock.

        A proposal whose outcome is unknown is not repeated: log time may lag behind real time but
        must not run ahead of it.
        """
        previous_at = None
        while True:
            await asyncio.sleep(LOG_TIME_INTERVAL_S)
            now = self.clock.now()
            interval_start, previous_at = previous_at, now if self.raft.is_leader else None
            if interval_start is not None and previous_at is not None:
                await self.propose(Elapsed(int((now - interval_start) * 1000)))

    async def update_followers(self):
        """Send following nodes periodic updates, and announce nodes that were lost.

        A node is lost when it has been disconnected for `lost_after_s` and follows no other
        instance.
        """
        while True:
            await asyncio.sleep(self.fanout.interval_s)
            self.fanout.send_updates(self.has_quorum_contact)
            announcement = self.fanout.find_lost(self.settings.lost_after_s)
            if announcement is not None:
                await self.propose(announcement)

    async def transfer_leadership(self):
        """Transfer leadership to another instance before a planned stop, if this is the leader."""
        if self.raft.transfer_leadership(self.clock.now()):
            self.wake_event.set()
            deadline = self.clock.now() + self.raft.timing.max_election_timeout_s
            while self.raft.is_leader and self.clock.now() < deadline:
                await asyncio.sleep(0.02)


async def wait_for_event(event, timeout_s):
    """Wait until an event is set or the timeout has passed."""
    if event.is_set():
        return
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        pass


@asynccontextmanager
async def run_replica(replica):
    """Run a replica and its listening socket while the context is open.

    Parameters
    ----------
    replica : Replica

    Yields
    ------
    asyncio.Task
        The driver; ends with an exception when the disk fails.
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
            spawn(replica.maintain_peers())
            spawn(replica.update_followers())
            spawn(replica.advance_log_time())
            try:
                yield driver
            finally:
                await replica.transfer_leadership()
                driver.cancel()
                await asyncio.gather(driver, return_exceptions=True)
                replica.executor.shutdown(wait=True)
