"""Agreement on one log between a few replicas, without sockets, files or clocks.

Elections with pre-vote, replication, commitment, a leader that steps down without a quorum, reads
confirmed by a round of contact, planned hand-over, and changes of one member at a time. The driver
feeds messages and time in, takes a `Ready` out, makes its entries durable, then sends what had to
wait for that.

References
----------
D. Ongaro and J. Ousterhout, "In search of an understandable consensus algorithm", 2014.
D. Ongaro, "Consensus: bridging theory and practice", 2014, chapters 3, 4, 6 and 9.
"""

from attrs import define, field
from transitions import Machine

from onyxfork.control.raft_elections import Elections
from onyxfork.control.raft_log import RaftLog
from onyxfork.control.raft_members import MemberChanges
from onyxfork.control.raft_messages import (
    Append,
    AppendReply,
    InstallSnapshot,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from onyxfork.control.raft_reads import Reads
from onyxfork.control.raft_replication import Replication

__all__ = ["Raft", "Ready", "RaftTiming"]


@define
class RaftTiming:
    """Intervals in seconds.

    A replica that has just started stands sooner: pre-vote keeps it from disturbing a leader.
    """

    heartbeat_s: float = 0.1
    election_min_s: float = 0.6
    election_max_s: float = 1.2
    first_election_s: float = 0.3
    replace_after_s: float = 3.0


@define
class Ready:
    """What the driver has to do, in this order.

    Parameters
    ----------
    send_now : list of (str, message)
    hard_state : tuple of (int, str) or None
        Term and vote to make durable.
    first_index : int or None
        Where `entries` begin; everything from there on is replaced.
    entries : list of Entry
        To make durable.
    snapshot : InstallSnapshot or None
        To make durable and load instead of the log.
    send_after_sync : list of (str, message)
    committed : list of Entry
        To apply, in order.
    reads : list of (object, bool)
        Reads that may be answered once everything committed is applied; False when refused.
    """

    send_now: list = field(factory=list)
    hard_state: tuple | None = None
    first_index: int | None = None
    entries: list = field(factory=list)
    snapshot: InstallSnapshot | None = None
    send_after_sync: list = field(factory=list)
    committed: list = field(factory=list)
    reads: list = field(factory=list)

    @property
    def must_sync(self):
        """Whether anything has to be made durable."""
        return bool(self.hard_state or self.entries or self.snapshot)


ROLE_TRANSITIONS = [
    {"trigger": "to_follower_role", "source": "*", "dest": "follower"},
    {"trigger": "ask_first", "source": ["follower", "precandidate", "candidate"],
     "dest": "precandidate"},
    {"trigger": "stand", "source": ["follower", "precandidate", "candidate"], "dest": "candidate"},
    {"trigger": "win", "source": "candidate", "dest": "leader"},
]  # fmt: skip


class Raft(Elections, Replication, Reads, MemberChanges):
    """One replica.

    Parameters
    ----------
    me : str
        Identity of the replica; new with each new data folder.
    members : Members
        As of the snapshot, or the initial ones.
    log : RaftLog
    term : int
    vote : str
    rng : random.Random
    timing : RaftTiming
    now : float
    most_voters : int
        With as many voters, a learner gets a vote only in place of a voter that is out of reach.

    Attributes
    ----------
    role : str
        ``follower``, ``precandidate``, ``candidate`` or ``leader``.
    """

    def __init__(
        self, me, members, log=None, term=0, vote="", *, rng, timing=None, now=0.0, most_voters=9
    ):
        self.me = me
        self.most_voters = most_voters
        self.rng = rng
        self.timing = timing or RaftTiming()
        self.log = log or RaftLog()
        self.term = term
        self.vote = vote
        self.base_members = members
        self.members = members
        self.members_index = self.log.base_index
        self.commit = self.log.base_index
        self.handed_out = self.log.base_index
        self.durable_index = self.log.last_index
        self.leader = None
        self.leader_heard_at = float("-inf")
        self.votes = set()
        self.progress = {}
        self.round = 0
        self.pending_reads = []
        self.transfer_to = None
        self.transfer_until = 0.0
        self.ready = Ready()
        self.election_at = 0.0
        self.heartbeat_at = 0.0
        self.role = "follower"
        self.machine = Machine(
            self,
            states=["follower", "precandidate", "candidate", "leader"],
            initial="follower",
            transitions=ROLE_TRANSITIONS,
            auto_transitions=False,
            model_attribute="role",
        )
        self.refresh_members()
        self.election_at = now + self.timing.first_election_s * (0.5 + rng.random())

    @property
    def is_leader(self):
        """Whether this replica believes itself the leader."""
        return self.role == "leader"

    @property
    def is_voter(self):
        """Whether this replica may vote and stand."""
        return self.me in self.members.voters

    def take_ready(self):
        """Return what has collected and start anew."""
        ready, self.ready = self.ready, Ready()
        while self.handed_out < self.commit:
            self.handed_out += 1
            ready.committed.append(self.log.get(self.handed_out))
        return ready

    def has_ready(self):
        """Return whether :meth:`take_ready` would return anything."""
        ready = self.ready
        return bool(
            ready.must_sync
            or ready.send_now
            or ready.send_after_sync
            or ready.reads
            or self.handed_out < self.commit
        )

    # Time

    def tick(self, now):
        """Let time pass: elections, heartbeats, and stepping down without a quorum."""
        if self.is_leader:
            if now >= self.heartbeat_at:
                self.broadcast(now)
            if not self.has_quorum_since(now - self.timing.election_max_s):
                self.step_down(now)
            if self.transfer_to is not None and now >= self.transfer_until:
                self.transfer_to = None
        elif now >= self.election_at and self.is_voter:
            self.start_election(now, pre=True)
        elif now >= self.election_at:
            self.reset_election(now)

    def next_wake(self):
        """Return when :meth:`tick` is due, in the driver's seconds."""
        return self.heartbeat_at if self.is_leader else self.election_at

    def reset_election(self, now):
        """Draw the next election timeout."""
        span = self.timing.election_max_s - self.timing.election_min_s
        self.election_at = now + self.timing.election_min_s + self.rng.random() * span

    def has_quorum_since(self, since):
        """Return whether a majority of voters was heard after `since`, oneself included."""
        heard = sum(
            1
            for name in self.members.voters
            if name == self.me or self.progress[name].heard_at >= since
        )
        return heard >= self.members.quorum

    # Messages

    def send_when_durable(self, name, message):
        """Send a message after what precedes it is durable."""
        self.ready.send_after_sync.append((name, message))

    def receive(self, message, now):
        """Handle one message of another replica."""
        getattr(self, HANDLERS[type(message)])(message, now)


HANDLERS = {
    VoteRequest: "on_vote_request",
    VoteReply: "on_vote_reply",
    Append: "on_append",
    AppendReply: "on_append_reply",
    InstallSnapshot: "on_snapshot",
    TimeoutNow: "on_timeout_now",
}
