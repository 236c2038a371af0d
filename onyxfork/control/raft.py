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

from onyxfork.control.raft_log import RaftLog
from onyxfork.control.raft_messages import (
    COMMAND,
    MEMBERS,
    NOOP,
    Append,
    AppendReply,
    Entry,
    InstallSnapshot,
    Members,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from onyxfork.messages.codec import structure, unstructure
from onyxfork.utils.packing import from_bytes, to_bytes

__all__ = ["Raft", "Ready", "RaftTiming", "Progress"]

MAX_APPEND_ENTRIES = 256


@define
class RaftTiming:
    """Intervals in seconds.

    A replica that has just started stands sooner: pre-vote keeps it from disturbing a leader.
    """

    heartbeat_s: float = 0.1
    election_min_s: float = 0.6
    election_max_s: float = 1.2
    first_election_s: float = 0.3


@define
class Progress:
    """What the leader knows of one member."""

    next_index: int
    match: int = 0
    heard_at: float = 0.0
    round: int = 0
    snapshot_sent_at: float = float("-inf")


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


class Raft:
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

    Attributes
    ----------
    role : str
        ``follower``, ``precandidate``, ``candidate`` or ``leader``.
    """

    def __init__(self, me, members, log=None, term=0, vote="", *, rng, timing=None, now=0.0):
        self.me = me
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

    # Elections

    def start_election(self, now, pre, forced=False):
        """Stand for election, or ask first whether it would succeed."""
        self.reset_election(now)
        self.leader = None
        if pre:
            self.ask_first()
            term = self.term + 1
        else:
            self.stand()
            self.set_term(self.term + 1, self.me)
            term = self.term
        self.votes = {self.me}
        request = VoteRequest(term, self.me, self.log.last_index, self.log.last_term, pre, forced)
        for name in self.members.voters:
            if name != self.me:
                self.send_durable(name, request)
        self.count_votes(now)

    def count_votes(self, now):
        """Move on when a majority has agreed."""
        if len(self.votes & set(self.members.voters)) < self.members.quorum:
            return
        if self.role == "precandidate":
            self.start_election(now, pre=False)
        elif self.role == "candidate":
            self.become_leader(now)

    def on_vote_request(self, message, now):
        """Answer a request for a vote."""
        heard = self.is_leader or now - self.leader_heard_at < self.timing.election_min_s
        if heard and not message.forced:
            return
        if not message.pre and message.term > self.term:
            self.step_down(now, message.term)
        up_to_date = (message.last_term, message.last_index) >= (
            self.log.last_term,
            self.log.last_index,
        )
        if message.pre:
            granted = up_to_date and message.term > self.term
            reply_term = message.term if granted else self.term
        else:
            free = self.vote in ("", message.candidate)
            granted = up_to_date and message.term == self.term and free
            reply_term = self.term
        if granted and not message.pre:
            self.set_term(self.term, message.candidate)
            self.reset_election(now)
        reply = VoteReply(reply_term, self.me, granted, message.pre)
        self.send_durable(message.candidate, reply)

    def on_vote_reply(self, message, now):
        """Count a vote."""
        wanted = self.term + 1 if message.pre else self.term
        asking = self.role == ("precandidate" if message.pre else "candidate")
        if message.granted and asking and message.term == wanted:
            self.votes.add(message.voter)
            self.count_votes(now)
        elif not message.granted and message.term > self.term:
            self.step_down(now, message.term)

    def become_leader(self, now):
        """Take over the log: every member is probed, and a first entry is appended."""
        self.win()
        self.leader = self.me
        self.transfer_to = None
        self.progress = {}
        self.refresh_progress(now)
        self.append_local([(NOOP, b"")])
        self.broadcast(now)

    def step_down(self, now, term=None):
        """Become a follower, in a newer term when one is given."""
        if term is not None and term > self.term:
            self.set_term(term, "")
        if self.is_leader:
            self.fail_reads()
        self.to_follower_role()
        self.leader = None
        self.votes = set()
        self.reset_election(now)

    def set_term(self, term, vote):
        """Change term and vote, which have to be durable before anything is sent."""
        if (term, vote) != (self.term, self.vote):
            self.term, self.vote = term, vote
            self.ready.hard_state = (term, vote)

    # Log

    def propose(self, data, now):
        """Append a command as the leader.

        Parameters
        ----------
        data : bytes
        now : float

        Returns
        -------
        int or None
            The entry's index; None when this replica is not the leader or hands over.
        """
        if not self.is_leader or self.transfer_to is not None:
            return None
        self.append_local([(COMMAND, data)])
        self.replicate(now)
        return self.log.last_index

    def append_local(self, items):
        """Append entries of this term to the own log."""
        for kind, data in items:
            entry = Entry(self.log.last_index + 1, self.term, kind, data)
            self.log.entries.append(entry)
            self.note_entries(entry.index, [entry])
            if kind == MEMBERS:
                self.refresh_members()

    def note_entries(self, first_index, entries):
        """Collect entries that have to be made durable."""
        ready = self.ready
        if ready.first_index is not None and first_index <= ready.first_index:
            ready.first_index, ready.entries = first_index, []
        elif ready.first_index is None:
            ready.first_index = first_index
        else:
            del ready.entries[first_index - ready.first_index :]
        ready.entries.extend(entries)
        self.durable_index = min(self.durable_index, first_index - 1)

    def persisted(self, index, term, now):
        """Learn from the driver that the log is durable up to `index`, written in `term`."""
        if self.log.term_at(index) != term:
            return
        self.durable_index = max(self.durable_index, index)
        if self.is_leader:
            self.advance_commit(now)

    def broadcast(self, now):
        """Start a new round of contact with every member."""
        self.round += 1
        self.heartbeat_at = now + self.timing.heartbeat_s
        for name in self.members.everyone:
            if name != self.me:
                self.send_append(name, now)
        self.confirm_reads()

    def replicate(self, now):
        """Send what members lack."""
        for name in self.members.everyone:
            if name != self.me and self.progress[name].next_index <= self.log.last_index:
                self.send_append(name, now)

    def send_append(self, name, now):
        """Send one member its next entries, or the snapshot that they come after."""
        progress = self.progress[name]
        previous = progress.next_index - 1
        term = self.log.term_at(previous)
        if term is None:
            if now - progress.snapshot_sent_at > 1.0:
                progress.snapshot_sent_at = now
                self.ready.send_now.append((name, None))
            return
        entries = self.log.slice(progress.next_index, MAX_APPEND_ENTRIES)
        progress.next_index += len(entries)
        message = Append(self.term, self.me, previous, term, entries, self.commit, self.round)
        self.ready.send_now.append((name, message))

    def snapshot_message(self, index, entry_term, members, state):
        """Return the message that carries a snapshot of the driver's state."""
        return InstallSnapshot(self.term, self.me, index, entry_term, members, state, self.round)

    def on_append(self, message, now):
        """Take entries from the leader."""
        if message.term < self.term:
            self.reply_append(message, False, 0)
            return
        self.follow(message, now)
        term = self.log.term_at(message.previous_index)
        if message.previous_index < self.log.base_index:
            self.reply_append(message, True, self.log.base_index)
            return
        if term != message.previous_term:
            hint = min(self.log.last_index, message.previous_index - 1)
            self.reply_append(message, False, hint)
            return
        self.merge(message.entries)
        last = message.previous_index + len(message.entries)
        self.commit = max(self.commit, min(message.commit, last))
        self.reply_append(message, True, last)

    def follow(self, message, now):
        """Accept the sender as the leader of its term."""
        if message.term > self.term or self.role != "follower":
            self.step_down(now, message.term)
        self.leader = message.leader
        self.leader_heard_at = now
        self.reset_election(now)

    def merge(self, entries):
        """Append entries, replacing those of the own log that differ."""
        for position, entry in enumerate(entries):
            term = self.log.term_at(entry.index)
            if term == entry.term:
                continue
            if term is not None:
                self.log.truncate(entry.index)
            fresh = entries[position:]
            self.log.entries.extend(fresh)
            self.note_entries(entry.index, fresh)
            self.refresh_members()
            return

    def reply_append(self, message, success, match):
        """Answer an `Append` once what it brought is durable."""
        reply = AppendReply(self.term, self.me, success, match, message.round)
        self.send_durable(message.leader, reply)

    def on_append_reply(self, message, now):
        """Learn how far a member is."""
        if message.term > self.term:
            self.step_down(now, message.term)
            return
        progress = self.progress.get(message.member)
        if not self.is_leader or progress is None or message.term != self.term:
            return
        progress.heard_at = now
        progress.round = max(progress.round, message.round)
        if message.success:
            progress.match = max(progress.match, message.match)
            progress.next_index = max(progress.next_index, progress.match + 1)
            self.advance_commit(now)
        else:
            progress.next_index = max(progress.match, message.match) + 1
            self.send_append(message.member, now)
        if progress.next_index <= self.log.last_index and message.success:
            self.send_append(message.member, now)
        self.confirm_reads()
        self.finish_transfer(message.member)
        self.promote_caught_up(now)

    def advance_commit(self, now):
        """Commit what a majority of voters holds durably, if it is of this term."""
        matches = sorted(
            (
                self.durable_index if name == self.me else self.progress[name].match
                for name in self.members.voters
            ),
            reverse=True,
        )
        if not matches:
            return
        index = matches[self.members.quorum - 1]
        if index > self.commit and self.log.term_at(index) == self.term:
            self.commit = index
            self.after_commit(now)

    def after_commit(self, now):
        """Act on what has become committed."""
        self.confirm_reads()
        if self.members_index <= self.commit and not self.is_voter:
            self.step_down(now)
            return
        self.replicate_commit(now)

    def replicate_commit(self, now):
        """Tell members of the new commit index without waiting for the heartbeat."""
        for name in self.members.everyone:
            if name != self.me and self.progress[name].next_index > self.log.last_index:
                self.send_append(name, now)

    def on_snapshot(self, message, now):
        """Take the state from the leader in place of a log that lags behind it."""
        if message.term < self.term:
            self.reply_append(message, False, 0)
            return
        self.follow(message, now)
        if message.index > self.commit:
            self.log.reset(message.index, message.entry_term)
            self.commit = self.handed_out = self.durable_index = message.index
            self.base_members = message.members
            self.refresh_members()
            self.ready.snapshot = message
            self.ready.entries, self.ready.first_index = [], None
            self.ready.committed = []
        self.reply_append(message, True, max(message.index, self.commit))

    def compact(self, index):
        """Drop entries that the driver's snapshot covers; return the members as of `index`."""
        members = self.members_at(index)
        self.log.compact(index)
        self.base_members = members
        return members

    # Reads

    def read(self, token, now):
        """Ask for a linearizable read; `token` comes back in `Ready.reads`."""
        if not self.is_leader or self.log.term_at(self.commit) != self.term:
            self.ready.reads.append((token, False))
            return
        self.broadcast(now)
        self.pending_reads.append((token, self.commit, self.round))
        self.confirm_reads()

    def confirm_reads(self):
        """Release the reads whose round a majority has answered."""
        rounds = sorted(
            (
                self.round if name == self.me else self.progress[name].round
                for name in self.members.voters
            ),
            reverse=True,
        )
        if not rounds:
            return
        confirmed = rounds[self.members.quorum - 1]
        while self.pending_reads and self.pending_reads[0][2] <= confirmed:
            token, _, _ = self.pending_reads.pop(0)
            self.ready.reads.append((token, True))

    def fail_reads(self):
        """Refuse the reads that can not be confirmed any more."""
        for token, _, _ in self.pending_reads:
            self.ready.reads.append((token, False))
        self.pending_reads = []

    # Members

    def refresh_members(self):
        """Take the members from the latest entry that sets them, committed or not."""
        self.members = self.base_members
        self.members_index = self.log.base_index
        for entry in reversed(self.log.entries):
            if entry.kind == MEMBERS:
                self.members = structure(from_bytes(entry.data), Members)
                self.members_index = entry.index
                break
        if self.role == "leader":
            self.refresh_progress(None)

    def members_at(self, index):
        """Return the members as of a committed index."""
        for entry in reversed(self.log.entries):
            if entry.kind == MEMBERS and entry.index <= index:
                return structure(from_bytes(entry.data), Members)
        return self.base_members

    def refresh_progress(self, now):
        """Keep a progress for each member and only for members."""
        for name in self.members.everyone:
            if name not in self.progress:
                heard_at = now if now is not None else float("-inf")
                self.progress[name] = Progress(self.log.last_index + 1, heard_at=heard_at)
        for name in list(self.progress):
            if name not in self.members.everyone:
                del self.progress[name]

    def change_members(self, members, now):
        """Propose other members; at most one change is under way at a time.

        Parameters
        ----------
        members : Members
            Differs from the present ones by one voter at most.
        now : float

        Returns
        -------
        int or None
            The entry's index; None when it can not be proposed now.
        """
        settled = self.members_index <= self.commit
        started = self.log.term_at(self.commit) == self.term
        if not (self.is_leader and settled and started and self.transfer_to is None):
            return None
        if len(set(members.voters) ^ set(self.members.voters)) > 1:
            return None
        self.append_local([(MEMBERS, to_bytes(unstructure(members)))])
        self.replicate(now)
        self.advance_commit(now)
        return self.log.last_index

    def promote_caught_up(self, now):
        """Give a vote to a learner that holds everything committed."""
        for name, address in self.members.learners.items():
            progress = self.progress.get(name)
            if progress is None or progress.match < self.commit or not self.commit:
                continue
            replaced = self.same_name_voter(name)
            voters = dict(self.members.voters)
            learners = dict(self.members.learners)
            if replaced is not None:
                del voters[replaced]
            else:
                del learners[name]
                voters[name] = address
            self.change_members(Members(voters, learners), now)
            return

    def same_name_voter(self, identity):
        """Return the voter that had the learner's name with an older data folder, or None."""
        name = identity.split("#")[0]
        for voter in self.members.voters:
            if voter != identity and voter.split("#")[0] == name and voter != self.me:
                return voter
        return None

    def hand_over(self, now):
        """Ask the most advanced voter to take the lead; return whether there is one."""
        others = [name for name in self.members.voters if name != self.me]
        if not self.is_leader or not others:
            return False
        self.transfer_to = max(others, key=lambda name: self.progress[name].match)
        self.transfer_until = now + self.timing.election_max_s
        self.replicate(now)
        self.finish_transfer(self.transfer_to)
        return True

    def finish_transfer(self, name):
        """Let the chosen successor stand once it holds the whole log."""
        if name == self.transfer_to and self.progress[name].match >= self.log.last_index:
            self.ready.send_now.append((name, TimeoutNow(self.term, self.me)))

    def on_timeout_now(self, message, now):
        """Stand for election at once, on the leader's own request."""
        if message.term == self.term and self.is_voter:
            self.start_election(now, pre=False, forced=True)

    # Messages

    def send_durable(self, name, message):
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
