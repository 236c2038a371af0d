"""A simulated network of replicas that drops, duplicates, delays and blocks messages."""

from random import Random

from attrs import define, field

from onyxfork.control.raft import Raft
from onyxfork.control.raft_log import RaftLog
from onyxfork.control.raft_messages import MEMBERS, Members
from onyxfork.messages.codec import structure
from onyxfork.utils.packing import from_bytes


@define
class Disk:
    """The state that a replica has synced to disk."""

    term: int = 0
    vote: str = ""
    log: RaftLog = field(factory=RaftLog)
    members: Members = field(factory=Members)


class Violation(AssertionError):
    """A safety property of the consensus algorithm is violated."""


class Network:
    """Replicas under test on one clock, with the safety properties checked after each step.

    Attributes
    ----------
    inbox : list of (str, str, message)
        Sender, recipient and message of each message in flight.
    blocked_links : set of (str, str)
        Sender and recipient of links whose messages are dropped.
    chosen : dict of int to tuple
        Contents of each committed entry by index.
    leaders : dict of int to str
        Leader of each term.
    reads : dict of int to int
        Maps the token of a read to the highest committed index when it began.
    """

    def __init__(self, count=3, raft_class=Raft, seed=0):
        self.rng = Random(seed)
        self.raft_class = raft_class
        self.now = 0.0
        names = [f"r{number}#0" for number in range(count)]
        members = Members({name: name for name in names})
        self.disks = {name: Disk(members=members) for name in names}
        self.rafts = {}
        self.inbox = []
        self.blocked_links = set()
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
        """Stop a replica; state that is not synced is lost."""
        if self.rafts.pop(name, None) is not None:
            self.inbox = [item for item in self.inbox if item[1] != name]

    def process(self, name, sync=True):
        """Carry out a replica's pending work; without `sync` it crashes before syncing."""
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
        """Write the hard state and entries of a `Ready` to a replica's disk."""
        disk = self.disks[name]
        if ready.hard_state is not None:
            disk.term, disk.vote = ready.hard_state
        if ready.entries:
            if ready.first_index <= disk.log.last_index:
                disk.log.truncate(ready.first_index)
            disk.log.entries.extend(ready.entries)

    def post(self, sender, messages):
        """Put messages in flight."""
        self.inbox += [(sender, name, message) for name, message in messages if message]

    def deliver(self, position, keep=False):
        """Deliver one message; with `keep` it stays in flight and arrives again."""
        if not self.inbox:
            return
        index = position % len(self.inbox)
        sender, name, message = self.inbox[index] if keep else self.inbox.pop(index)
        if (sender, name) in self.blocked_links or name not in self.rafts:
            return
        self.rafts[name].receive(message, self.now)
        self.process(name)

    def deliver_pending(self, max_messages=60):
        """Deliver messages in order until there are none, `max_messages` at most."""
        for _ in range(max_messages):
            if not self.inbox:
                return
            self.deliver(0)

    def advance(self, seconds):
        """Advance the clock and tick every replica."""
        self.now += seconds
        for name in list(self.rafts):
            self.rafts[name].tick(self.now)
            self.process(name)

    def leader(self):
        """Return the replica in the leader role with the highest term, or None."""
        leaders = [raft for raft in self.rafts.values() if raft.is_leader]
        return max(leaders, key=lambda raft: raft.term, default=None)

    def propose(self, name):
        """Propose a command at a replica, whether it is the leader or not."""
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

    # Safety properties

    def check_chosen(self, name, entry):
        """Check that a committed entry is the same on every replica and never changes."""
        value = (entry.term, entry.kind, entry.data)
        if self.chosen.setdefault(entry.index, value) != value:
            raise Violation(f"entry {entry.index} differs at {name}")

    def check_read(self, raft, token, confirmed):
        """Check that a confirmed read sees every entry committed before it began."""
        if confirmed and raft.commit < self.reads[token]:
            raise Violation(f"read {token} at {raft.identity} is stale")

    def check_leaders(self):
        """Check that each term has at most one leader."""
        for name, raft in self.rafts.items():
            if not raft.is_leader:
                continue
            if self.leaders.setdefault(raft.term, name) != name:
                raise Violation(f"term {raft.term} has two leaders")

    def check_logs(self):
        """Check that logs with the same entry at an index have the same entries before it."""
        rafts = list(self.rafts.values())
        for first in rafts:
            for second in rafts:
                self.check_log_pair(first, second)

    def check_log_pair(self, first, second):
        """Check that the logs of two replicas match below their last common entry."""
        last_index = min(first.log.last_index, second.log.last_index)
        matched = False
        for index in range(last_index, 0, -1):
            first_entry, second_entry = first.log.get(index), second.log.get(index)
            same_term = first_entry.term == second_entry.term
            if matched and not same_term:
                raise Violation(f"logs of {first.identity} and {second.identity} differ at {index}")
            if same_term and first_entry.data != second_entry.data:
                raise Violation(f"entry {index} has the same term and different data")
            matched = matched or same_term


def members_of(raft):
    """Return the latest committed members of a replica."""
    for entry in reversed(raft.log.entries):
        if entry.kind == MEMBERS and entry.index <= raft.commit:
            return structure(from_bytes(entry.data), Members)
    return raft.base_members
