"""The Raft consensus algorithm as a state machine that does no I/O and reads no clock.

Covers elections with pre-vote, log replication and commitment, a leader that steps down without a
quorum, linearizable reads confirmed by a round of heartbeats (ReadIndex), leadership transfer, and
membership changes of one member at a time. The driver passes in messages and the current time,
takes a `Ready` out, makes its entries durable, and then sends the messages that depend on them.

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

    Parameters
    ----------
    heartbeat_s : float
        Interval between heartbeats of the leader.
    min_election_timeout_s, max_election_timeout_s : float
        Bounds of the randomised election timeout.
    first_election_timeout_s : float
        Mean election timeout after start-up. It is shorter than the others, because pre-vote keeps
        a replica that has just started from disturbing a working leader.
    replace_voter_after_s : float
        A voter without contact for this long may lose its vote to a learner.
    """

    heartbeat_s: float = 0.1
    min_election_timeout_s: float = 0.6
    max_election_timeout_s: float = 1.2
    first_election_timeout_s: float = 0.3
    replace_voter_after_s: float = 3.0


@define
class Ready:
    """The work for the driver, to be carried out in the order of the fields.

    Parameters
    ----------
    send_now : list of (str, message or None)
        Recipients and messages to send at once. None stands for a snapshot of the applied state,
        which the driver builds.
    hard_state : tuple of (int, str) or None
        Term and vote to make durable.
    first_index : int or None
        Index of the first of `entries`; stored entries from this index on are replaced.
    entries : list of Entry
        Entries to make durable.
    snapshot : InstallSnapshot or None
        Snapshot to make durable and to load in place of the log.
    send_after_sync : list of (str, message)
        Recipients and messages to send once everything above is durable.
    committed : list of Entry
        Entries to apply, in order.
    reads : list of (object, bool)
        Tokens that the driver passed to :meth:`Raft.read`, each with whether the read is confirmed.
        A confirmed read may be answered once `committed` is applied; any other one is refused.
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
        """Whether anything has to be made durable before `send_after_sync`."""
        return bool(self.hard_state or self.entries or self.snapshot)


ROLE_TRANSITIONS = [
    {"trigger": "to_follower_role", "source": "*", "dest": "follower"},
    {"trigger": "to_precandidate_role", "source": ["follower", "precandidate", "candidate"],
     "dest": "precandidate"},
    {"trigger": "to_candidate_role", "source": ["follower", "precandidate", "candidate"],
     "dest": "candidate"},
    {"trigger": "to_leader_role", "source": "candidate", "dest": "leader"},
]  # fmt: skip


class Raft(Elections, Replication, Reads, MemberChanges):
    """One replica of the log.

    Parameters
    ----------
    identity : str
        Identity of the replica; each new data folder gets a new one.
    members : Members
        Members as of the snapshot, or the initial members without one.
    log : RaftLog, optional
        Entries read from disk.
    term : int
        Latest term stored on disk.
    vote : str
        Candidate that received this replica's vote in `term`; empty when none did.
    rng : random.Random
        Source of randomised election timeouts.
    timing : RaftTiming, optional
    now : float
        Current monotonic time in seconds.
    max_voters : int
        When there are this many voters, a learner becomes a voter only in place of a voter that is
        unreachable.

    Attributes
    ----------
    role : str
        ``follower``, ``precandidate``, ``candidate`` or ``leader``.
    base_members : Members
        Members as of the last entry that the snapshot covers.
    members : Members
        Members by the latest entry that sets them, whether it is committed or not.
    members_index : int
        Index of the entry that set `members`; the change is complete once it is committed.
    commit : int
        Index of the last entry known to be committed.
    delivered_index : int
        Index of the last committed entry that :meth:`take_ready` has returned.
    durable_index : int
        Index of the last entry of this replica's log that is known to be on disk.
    leader : str or None
        Identity of the leader of the current term, when known.
    progress : dict of str to Progress
        Replication progress of each member; kept by the leader only.
    round : int
        Number of the leader's latest heartbeat round.
    pending_reads : list of (object, int, int)
        Token, commit index and heartbeat round of each read that is not confirmed yet.
    transfer_target : str or None
        Member to which leadership is being transferred.
    """

    def __init__(
        self,
        identity,
        members,
        log=None,
        term=0,
        vote="",
        *,
        rng,
        timing=None,
        now=0.0,
        max_voters=9,
    ):
        self.identity = identity
        self.max_voters = max_voters
        self.rng = rng
        self.timing = timing or RaftTiming()
        self.log = log or RaftLog()
        self.term = term
        self.vote = vote
        self.base_members = members
        self.members = members
        self.members_index = self.log.base_index
        self.commit = self.log.base_index
        self.delivered_index = self.log.base_index
        self.durable_index = self.log.last_index
        self.leader = None
        self.last_leader_contact_at = float("-inf")
        self.votes = set()
        self.progress = {}
        self.round = 0
        self.pending_reads = []
        self.transfer_target = None
        self.transfer_deadline = 0.0
        self.ready = Ready()
        self.election_due_at = 0.0
        self.heartbeat_due_at = 0.0
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
        self.election_due_at = now + self.timing.first_election_timeout_s * (0.5 + rng.random())

    @property
    def is_leader(self):
        """Whether this replica has the leader role; a newer leader may exist already."""
        return self.role == "leader"

    @property
    def is_voter(self):
        """Whether this replica may vote and be a candidate."""
        return self.identity in self.members.voters

    def take_ready(self):
        """Return the pending `Ready` and begin an empty one."""
        ready, self.ready = self.ready, Ready()
        while self.delivered_index < self.commit:
            self.delivered_index += 1
            ready.committed.append(self.log.get(self.delivered_index))
        return ready

    def has_ready(self):
        """Return whether :meth:`take_ready` would return anything."""
        ready = self.ready
        return bool(
            ready.must_sync
            or ready.send_now
            or ready.send_after_sync
            or ready.reads
            or self.delivered_index < self.commit
        )

    # Timers

    def tick(self, now):
        """Act on the timers that are due at `now`.

        A leader sends heartbeats, and steps down when no majority of voters has replied within the
        maximum election timeout. A voter that is not the leader starts an election.
        """
        if self.is_leader:
            if now >= self.heartbeat_due_at:
                self.broadcast(now)
            if not self.has_quorum_contact_since(now - self.timing.max_election_timeout_s):
                self.step_down(now)
            if self.transfer_target is not None and now >= self.transfer_deadline:
                self.transfer_target = None
        elif now >= self.election_due_at and self.is_voter:
            self.start_election(now, pre_vote=True)
        elif now >= self.election_due_at:
            self.reset_election_timer(now)

    def next_tick_at(self):
        """Return when :meth:`tick` is due, in monotonic seconds as passed for `now`."""
        return self.heartbeat_due_at if self.is_leader else self.election_due_at

    def reset_election_timer(self, now):
        """Draw a random election timeout and start it."""
        span = self.timing.max_election_timeout_s - self.timing.min_election_timeout_s
        self.election_due_at = now + self.timing.min_election_timeout_s + self.rng.random() * span

    def has_quorum_contact_since(self, since):
        """Return whether a majority of voters has replied since a time, as the leader.

        This replica counts as one of the majority when it is a voter.
        """
        voters_in_contact = sum(
            1
            for member in self.members.voters
            if member == self.identity or self.progress[member].last_contact_at >= since
        )
        return voters_in_contact >= self.members.quorum

    # Messages

    def send_when_durable(self, member, message):
        """Queue a message to be sent once the entries and hard state queued so far are durable."""
        self.ready.send_after_sync.append((member, message))

    def receive(self, message, now):
        """Handle one message from another replica."""
        getattr(self, HANDLERS[type(message)])(message, now)


HANDLERS = {
    VoteRequest: "on_vote_request",
    VoteReply: "on_vote_reply",
    Append: "on_append",
    AppendReply: "on_append_reply",
    InstallSnapshot: "on_install_snapshot",
    TimeoutNow: "on_timeout_now",
}
