"""Elections of a replica: pre-vote, votes, taking over and stepping down.

Part of :class:`onyxfork.control.raft.Raft`; state is kept there.
"""

from onyxfork.control.raft_messages import NOOP, VoteReply, VoteRequest

__all__ = ["Elections"]


class Elections:
    """How a replica becomes leader and stops being it."""

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
                self.send_when_durable(name, request)
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
        self.send_when_durable(message.candidate, reply)

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
