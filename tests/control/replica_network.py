"""A group of control instances on simulated time, with real data folders and no sockets.

Connections deliver in order, after a random delay, and can be lost; processes can be killed, and
data folders wiped.
"""

import asyncio
import shutil
from contextlib import asynccontextmanager
from random import Random

from attrs import define, field
from virtual_loop import LoopClock

from onyxfork.addresses import Address
from onyxfork.control.identity import initial_identity
from onyxfork.control.storage import open_storage
from onyxfork.direct.control import DocumentReplica
from onyxfork.direct.telemetry import Telemetry
from onyxfork.messages import pack
from onyxfork.messages.codec import unpack
from onyxfork.settings import ControlSettings
from onyxfork.utils import owned_tasks

__all__ = ["Group", "running_group"]

POLL_S = 0.05


class Channel:
    """One end of a connection between two replicas."""

    def __init__(self, group, owner, peer):
        self.group = group
        self.owner = owner
        self.peer = peer.hello()
        self.target = peer
        self.other = None
        self.counter = None
        self.last_arrival_at = 0.0
        self.unread = []
        self.on_message = None
        self.closed = asyncio.Event()

    @property
    def is_open(self):
        return not self.closed.is_set()

    def send(self, item):
        """Deliver a message to the other end later; the connection may be lost instead."""
        loop = asyncio.get_running_loop()
        if not self.is_open or self.group.is_cut(self.owner, self.target):
            return
        if self.group.rng.random() < self.group.loss_probability:
            self.close()
            return
        arrival_at = loop.time() + self.group.draw_delay_s()
        self.last_arrival_at = max(self.last_arrival_at, arrival_at)
        loop.call_at(self.last_arrival_at, self.other.receive, pack([item]))

    def receive(self, frame):
        if not self.is_open:
            return
        if self.on_message is None:
            self.unread.append(frame)
        else:
            self.on_message(self, unpack(frame)[0])

    async def run(self, on_message):
        """Receive messages until the connection is closed."""
        self.on_message = on_message
        for frame in self.unread:
            on_message(self, unpack(frame)[0])
        try:
            await self.closed.wait()
        finally:
            self.close()

    def close(self, reason=""):
        """Close this end now, and the other end once it notices."""
        if self.is_open:
            self.closed.set()
            delay_s = self.group.draw_delay_s()
            asyncio.get_running_loop().call_later(delay_s, self.other.close)


class SimulatedReplica(DocumentReplica):
    """A replica that connects through a `Group` and records what it applies."""

    group = None

    @asynccontextmanager
    async def connect(self, address):
        """Yield a connection to the replica at an address."""
        await asyncio.sleep(self.group.draw_delay_s())
        target = self.group.find(address)
        if target is None or self.group.is_cut(self, target):
            raise OSError("no replica listens here")
        own, remote = Channel(self.group, self, target), Channel(self.group, target, self)
        own.other, remote.other = remote, own
        target.spawn(target.accept(remote))
        try:
            yield own
        finally:
            own.close()

    def peer_targets(self):
        """Return the targets in an order that does not depend on the hash seed."""
        return sorted(super().peer_targets(), key=str)

    def apply(self, entry):
        self.group.record_applied(entry)
        super().apply(entry)


@define
class Process:
    """A running replica and the contexts of its tasks and data folder."""

    replica: SimulatedReplica
    task: asyncio.Task


@define
class Group:
    """Control instances named by their addresses; the first `seeds` are the first voters.

    Attributes
    ----------
    chosen : dict of int to tuple
        Term, kind and data of each applied entry by index.
    acknowledged : int
        Highest version whose commit was acknowledged to an operator.
    leaders : dict of int to str
        Identity of the leader of each term.
    cut_names : set of str
        Instances that are cut off from all others.
    """

    folder: object
    rng: Random
    count: int = 5
    seeds: int = 3
    snapshot_bytes: int = 1024 * 1024
    loss_probability: float = 0.0
    max_delay_s: float = 0.01
    processes: dict = field(factory=dict)
    chosen: dict = field(factory=dict)
    leaders: dict = field(factory=dict)
    cut_names: set = field(factory=set)
    acknowledged: int = 0
    version: int = 0
    identities: int = 0

    @property
    def names(self):
        return [f"10.0.0.{number + 1}:7000" for number in range(self.count)]

    @property
    def replicas(self):
        return {name: process.replica for name, process in self.processes.items()}

    def draw_delay_s(self):
        return self.rng.random() * self.max_delay_s

    def is_cut(self, first, second):
        return bool({first.settings.node, second.settings.node} & self.cut_names)

    def find(self, host_and_port):
        """Return the running replica at an address, or None."""
        return self.replicas.get(str(Address(*host_and_port)))

    def settings(self, name):
        seeds = self.names[: self.seeds]
        return ControlSettings(
            role="control",
            node=name,
            cluster="test",
            zone="a",
            listen=Address.from_text(name),
            http=None,
            data_folder=str(self.folder / name.replace(":", "_")),
            members={seed: Address.from_text(seed) for seed in [*seeds, name]},
            snapshot_bytes=self.snapshot_bytes,
            most_voters=5,
        )

    # Faults

    async def start(self, name, bootstrap=False):
        """Start an instance from its data folder."""
        started = asyncio.get_running_loop().create_future()
        task = asyncio.create_task(self.run(name, bootstrap, started))
        await asyncio.wait([task, started], return_when=asyncio.FIRST_COMPLETED)
        if task.done():
            task.result()
        self.processes[name] = Process(started.result(), task)

    async def run(self, name, bootstrap, started):
        settings = self.settings(name)
        bootstrap = bootstrap and name in self.names[: self.seeds]
        if bootstrap:
            settings.members = {seed: Address.from_text(seed) for seed in self.names[: self.seeds]}
        identity, members = initial_identity(settings, bootstrap)
        self.identities += 1
        identity = identity or f"{name}#{self.identities}"
        with open_storage(settings.data_folder, "test", name, identity, members) as storage:
            replica = SimulatedReplica(
                settings,
                storage,
                Telemetry("control", name, "a"),
                LoopClock(asyncio.get_running_loop()),
            )
            replica.group = self
            replica.rng = replica.raft.rng = Random(self.rng.random())
            replica.port = 7000
            async with owned_tasks() as replica.spawn:
                replica.spawn(replica.maintain_peers())
                started.set_result(replica)
                await replica.drive()

    async def kill(self, name):
        """Kill an instance; writes in progress are lost."""
        await self.kill_together([name])

    async def kill_together(self, names):
        """Kill instances at the same moment."""
        tasks = [self.processes.pop(name).task for name in names]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def wipe(self, name):
        """Delete the data folder of an instance that does not run."""
        shutil.rmtree(self.settings(name).data_folder)

    async def lead(self, name):
        """Make an instance the leader, as a leadership transfer would.

        Like a transfer, it waits until the instance has the leader's log: voters refuse a candidate
        that lacks an entry of theirs. The election is repeated, because the leader may append one.
        """
        replica = self.replicas[name]
        for _ in range(5):
            await self.wait(lambda: self.has_leaders_log(replica), 5.0)
            if not replica.raft.is_leader:
                replica.raft.start_election(replica.clock.now(), pre_vote=False, forced=True)
                replica.wake_event.set()
            await asyncio.sleep(0.5)
            if self.leader() is replica:
                return
        raise AssertionError(self.describe())

    # Observations

    def leader(self):
        """Return the leader with the highest term that has committed in it, or None."""
        leading = [
            replica
            for replica in self.replicas.values()
            if replica.raft.is_leader
            and replica.raft.log.term_at(replica.raft.commit) == replica.raft.term
        ]
        return max(leading, key=lambda replica: replica.raft.term, default=None)

    def has_leaders_log(self, replica):
        """Return whether there is a leader and an instance has all entries of its log."""
        leader = self.leader()
        if leader is None:
            return False
        own, latest = replica.raft.log, leader.raft.log
        return (own.last_term, own.last_index) == (latest.last_term, latest.last_index)

    def is_voter(self, name):
        """Return whether the running instance is a voter by the leader's committed members."""
        leader, replica = self.leader(), self.replicas.get(name)
        if leader is None or replica is None:
            return False
        raft = leader.raft
        return raft.members_index <= raft.commit and replica.raft.identity in raft.members.voters

    def is_whole(self):
        """Return whether the voters are exactly the running instances."""
        leader = self.leader()
        return (
            leader is not None
            and all(self.is_voter(name) for name in self.processes)
            and len(leader.raft.members.voters) == len(self.processes)
        )

    def record_applied(self, entry):
        """Check that an applied entry is the same on every instance and never changes."""
        value = (entry.term, entry.kind, entry.data)
        assert self.chosen.setdefault(entry.index, value) == value, f"entry {entry.index} differs"

    def check(self):
        """Check the safety properties."""
        for replica in self.replicas.values():
            if replica.raft.is_leader:
                identity = self.leaders.setdefault(replica.raft.term, replica.raft.identity)
                assert identity == replica.raft.identity, "a term has two leaders"
        for process in self.processes.values():
            assert not process.task.done(), process.task.exception()

    async def wait(self, condition, timeout_s, poll_s=POLL_S):
        """Wait until a condition holds, and return how long that took in seconds."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        while not condition():
            self.check()
            assert loop.time() - started_at < timeout_s, self.describe()
            await asyncio.sleep(poll_s)
        return loop.time() - started_at

    def describe(self):
        """Return roles, terms and voters of the running instances for a failure message."""
        rows = {
            name: (
                replica.raft.identity,
                replica.raft.role,
                replica.raft.term,
                replica.raft.commit,
                sorted(replica.raft.members.voters),
                sorted(replica.raft.members.learners),
            )
            for name, replica in self.replicas.items()
        }
        return "\n".join(f"{name}: {row}" for name, row in rows.items())

    # Operators

    async def configure_forever(self, interval_s):
        """Commit a configuration at a random instance in every interval."""
        while True:
            await asyncio.sleep(interval_s)
            if self.processes:
                asyncio.get_running_loop().create_task(self.configure())

    async def configure(self):
        """Commit the next configuration at a random instance."""
        self.version += 1
        version, replica = self.version, self.rng.choice(list(self.replicas.values()))
        if await replica.configure(version, b"x" * 50):
            self.acknowledged = max(self.acknowledged, version)


@asynccontextmanager
async def running_group(folder, seed=0, **options):
    """Yield a group of which every instance is a voter, with a configuration every second."""
    group = Group(folder, Random(seed), **options)
    for name in group.names:
        await group.start(name, bootstrap=True)
    await group.wait(group.is_whole, 15.0)
    operator = asyncio.create_task(group.configure_forever(1.0))
    try:
        yield group
        await check_nothing_lost(group)
    finally:
        operator.cancel()
        for name in list(group.processes):
            await group.kill(name)


async def check_nothing_lost(group):
    """Check that the leader holds the latest acknowledged configuration."""
    await group.wait(lambda: group.leader() is not None, 5.0)
    leader = group.leader()
    await group.wait(lambda: leader.state.applied >= leader.raft.commit, 5.0)
    assert leader.state.version >= group.acknowledged
