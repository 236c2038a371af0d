"""Linearizable reads, confirmed by a round of contact.

Part of :class:`onyxfork.control.raft.Raft`; state is kept there.
"""

__all__ = ["Reads"]


class Reads:
    """How a leader makes sure that it still leads before a read is answered."""

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
