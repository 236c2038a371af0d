"""Leader elections: pre-vote, votes, assuming leadership and stepping down.

Mixin of :class:`onyxfork.control.raft.Raft`, which holds the state.
"""

from onyxfork.control.raft_messages import NOOP, VoteReply, VoteRequest

__all__ = ["Elections"]


class Elections:
    """Elects a leader and returns it to the follower role."""

    def start_election(self, now, pre_vote, forced=False):
        """Start an election, or a pre-vote that asks whether an election would succeed.

        With `forced` set, voters consider the request although they are in contact with a leader.
        """
        self.reset_election_timer(now)
        self.leader = None
        if pre_vote:
            self.to_precandidate_role()
            term = self.term + 1
        else:
            self.to_candidate_role()
            self.set_term(self.term + 1, self.identity)
            term = self.term
        self.votes = {self.identity}
        request = VoteRequest(
            term, self.identity, self.log.last_index, self.log.last_term, pre_vote, forced
        )
        for member in self.members.voters:
            if member != self.identity:
                self.send_when_durable(member, request)
        self.count_votes(now)

    def count_votes(self, now):
        """Start the election after a won pre-vote; assume leadership after a won election."""
        if len(self.votes & set(self.members.voters)) < self.members.quorum:
            return
        if self.role == "precandidate":
            self.start_election(now, pre_vote=False)
        elif self.role == "candidate":
            self.become_leader(now)

    def on_vote_request(self, message, now):
        """Reply to a vote request; ignore it while in contact with a leader unless it is forced.

        A vote is granted only to a candidate whose log is at least as up to date as this one's.
        """
        has_live_leader = (
            self.is_leader or now - self.last_leader_contact_at < self.timing.min_election_timeout_s
        )
        if has_live_leader and not message.forced:
            return
        if not message.pre_vote and message.term > self.term:
            self.step_down(now, message.term)
        up_to_date = (message.last_term, message.last_index) >= (
            self.log.last_term,
            self.log.last_index,
        )
        if message.pre_vote:
            granted = up_to_date and message.term > self.term
            reply_term = message.term if granted else self.term
        else:
            vote_available = self.vote in ("", message.candidate)
            granted = up_to_date and message.term == self.term and vote_available
            reply_term = self.term
        if granted and not message.pre_vote:
            self.set_term(self.term, message.candidate)
            self.reset_election_timer(now)
        reply = VoteReply(reply_term, self.identity, granted, message.pre_vote)
        self.send_when_durable(message.candidate, reply)

    def on_vote_reply(self, message, now):
        """Count a vote, or step down when the voter is in a newer term."""
        expected_term = self.term + 1 if message.pre_vote else self.term
        role_matches = self.role == ("precandidate" if message.pre_vote else "candidate")
        if message.granted and role_matches and message.term == expected_term:
            self.votes.add(message.voter)
            self.count_votes(now)
        elif not message.granted and message.term > self.term:
            self.step_down(now, message.term)

    def become_leader(self, now):
        """Assume leadership: reset the members' progress and append a no-op entry.

        Committing the no-op of this term commits all entries of earlier terms before it.
        """
        self.to_leader_role()
        self.leader = self.identity
        self.transfer_target = None
        self.progress = {}
        self.refresh_progress(now)
        self.append_local([(NOOP, b"")])
        self.broadcast(now)

    def step_down(self, now, term=None):
        """Become a follower, and move to `term` if that is newer."""
        if term is not None and term > self.term:
            self.set_term(term, "")
        if self.is_leader:
            self.fail_reads()
        self.to_follower_role()
        self.leader = None
        self.votes = set()
        self.reset_election_timer(now)

    def set_term(self, term, vote):
        """Set term and vote, which must be durable before dependent messages are sent."""
        if (term, vote) != (self.term, self.vote):
            self.term, self.vote = term, vote
            self.ready.hard_state = (term, vote)
