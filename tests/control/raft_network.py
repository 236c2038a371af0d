"""A few replicas joined by a network that drops, doubles, delays and cuts, under one clock."""

from random import Random

from attrs import define, field

from onyxfork.control.raft import Raft
from onyxfork.control.raft_log import RaftLog
from onyxfork.control.raft_messages import MEMBERS, Members
from onyxfork.messages.codec import structure
from onyxfork.utils.packing import from_bytes


@define
class Disk:
    """What a replica has synced."""

    term: int = 0
    vote: str = ""
    log: RaftLog = field(factory=RaftLog)
    members: Members = field(factory=Members)


class Violation(AssertionError):
    """A promise of the agreement was broken."""


class Network:
    """Replicas under test, with every promise checked after each step."""

    def __init__(self, count=3, raft_class=Raft, seed=0):
        self.rng = Random(seed)
        self.raft_class = raft_class
        self.now = 0.0
        names = [f"r{number}#0" for number in range(count)]
        members = Members({name: name for name in names})
        self.disks = {name: Disk(members=members) for name in names}
        self.rafts = {}
        self.inbox = []
        self.cut = set()
        self.chosen = {}
        self.leaders = {}
        self.reads = {}
        self.next_read = 0
        self.proposals = 0
        for name in names:
            self.start(name)

    def start(self, name):
        """Start a replica from its disk."""
        disk = self.disks[name]
        log = RaftLog(disk.log.base_index, disk.log.base_term, list(disk.log.entries))
        self.rafts[name] = self.raft_class(
            name, disk.members, log, disk.term, disk.vote, rng=self.rng, now=self.now
        )

    def crash(self, name):
        """Stop a replica; what it had not synced is lost."""
        if self.rafts.pop(name, None) is not None:
            self.inbox = [item for item in self.inbox if item[1] != name]

    def process(self, name, sync=True):
        """Carry out what a replica is ready for; without `sync` it crashes before syncing."""
        while name in self.rafts and self.rafts[name].has_ready():
            raft = self.rafts[name]
            ready = raft.take_ready()
            self.post(name, ready.send_now)
            if ready.must_sync and not sync:
                self.crash(name)
                return
            self.write(name, ready)
            if ready.entries:
                last = ready.entries[-1]
                raft.mark_durable(last.index, last.term, self.now)
            self.post(name, ready.send_after_sync)
            for entry in ready.committed:
                self.check_chosen(name, entry)
            for token, confirmed in ready.reads:
                self.check_read(raft, token, confirmed)
        self.check_leaders()

    def write(self, name, ready):
        """Put what a replica asked for onto its disk."""
        disk = self.disks[name]
        if ready.hard_state is not None:
            disk.term, disk.vote = ready.hard_state
        if ready.entries:
            if ready.first_index <= disk.log.last_index:
                disk.log.truncate(ready.first_index)
            disk.log.entries.extend(ready.entries)

    def post(self, sender, messages):
        """Put messages onto the network."""
        self.inbox += [(sender, name, message) for name, message in messages if message]

    def deliver(self, position, keep=False):
        """Deliver one message; with `keep` it arrives again later."""
        if not self.inbox:
            return
        at = position % len(self.inbox)
        sender, name, message = self.inbox[at] if keep else self.inbox.pop(at)
        if (sender, name) in self.cut or name not in self.rafts:
            return
        self.rafts[name].receive(message, self.now)
        self.process(name)

    def settle(self, steps=60):
        """Deliver messages in order for a while."""
        for _ in range(steps):
            if not self.inbox:
                return
            self.deliver(0)

    def advance(self, seconds):
        """Let time pass for every replica."""
        self.now += seconds
        for name in list(self.rafts):
            self.rafts[name].tick(self.now)
            self.process(name)

    def leader(self):
        """Return a replica that believes itself the leader, the newest term first."""
        found = [raft for raft in self.rafts.values() if raft.is_leader]
        return max(found, key=lambda raft: raft.term, default=None)

    def propose(self, name):
        """Propose a command at a replica, leader or not."""
        if name in self.rafts:
            self.proposals += 1
            self.rafts[name].propose(str(self.proposals).encode(), self.now)
            self.process(name)

    def read(self, name):
        """Begin a linearizable read at a replica."""
        if name in self.rafts:
            self.next_read += 1
            self.reads[self.next_read] = max(self.chosen, default=0)
            self.rafts[name].read(self.next_read, self.now)
            self.process(name)

    # Promises

    def check_chosen(self, name, entry):
        """A committed entry is the same on every replica and for ever."""
        value = (entry.term, entry.kind, entry.data)
        if self.chosen.setdefault(entry.index, value) != value:
            raise Violation(f"entry {entry.index} differs at {name}")

    def check_read(self, raft, token, confirmed):
        """A confirmed read sees everything committed before it began."""
        if confirmed and raft.commit < self.reads[token]:
            raise Violation(f"read {token} at {raft.identity} is stale")

    def check_leaders(self):
        """There is one leader a term, and its log holds everything committed."""
        for name, raft in self.rafts.items():
            if not raft.is_leader:
                continue
            if self.leaders.setdefault(raft.term, name) != name:
                raise Violation(f"term {raft.term} has two leaders")

    def check_logs(self):
        """Logs that agree on an entry agree on everything before it."""
        rafts = list(self.rafts.values())
        for one in rafts:
            for other in rafts:
                self.check_pair(one, other)

    def check_pair(self, one, other):
        """Compare two logs."""
        last = min(one.log.last_index, other.log.last_index)
        agreed = False
        for index in range(last, 0, -1):
            first, second = one.log.get(index), other.log.get(index)
            same = first.term == second.term
            if agreed and not same:
                raise Violation(f"logs of {one.identity} and {other.identity} differ at {index}")
            if same and first.data != second.data:
                raise Violation(f"entry {index} of one term differs")
            agreed = agreed or same


def members_of(raft):
    """Return the latest committed members of a replica."""
    for entry in reversed(raft.log.entries):
        if entry.kind == MEMBERS and entry.index <= raft.commit:
            return structure(from_bytes(entry.data), Members)
    return raft.base_members
