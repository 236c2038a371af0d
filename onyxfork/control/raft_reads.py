"""Linearizable reads, confirmed by a heartbeat round (ReadIndex).

Mixin of :class:`onyxfork.control.raft.Raft`, which holds the state.
"""

__all__ = ["Reads"]


class Reads:
    """Confirms leadership before a read is answered."""

    def read(self, token, now):
        """Request a linearizable read; `token` is returned in `Ready.reads` with the outcome.

        A leader that has not yet committed an entry of its term refuses reads, because its commit
        index may lag behind that of the leader before it.
        """
        if not self.is_leader or self.log.term_at(self.commit) != self.term:
            self.ready.reads.append((token, False))
            return
        self.broadcast(now)
        self.pending_reads.append((token, self.commit, self.round))
        self.confirm_reads()

    def confirm_reads(self):
        """Confirm the reads whose heartbeat round a majority of voters has acknowledged."""
        acknowledged_rounds = sorted(
            (
                self.round if member == self.identity else self.progress[member].acknowledged_round
                for member in self.members.voters
            ),
            reverse=True,
        )
        if not acknowledged_rounds:
            return
        confirmed_round = acknowledged_rounds[self.members.quorum - 1]
        while self.pending_reads and self.pending_reads[0][2] <= confirmed_round:
            token, _, _ = self.pending_reads.pop(0)
            self.ready.reads.append((token, True))

    def fail_reads(self):
        """Refuse all pending reads after leadership was lost."""
        for token, _, _ in self.pending_reads:
            self.ready.reads.append((token, False))
        self.pending_reads = []
