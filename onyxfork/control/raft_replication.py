"""Log replication: append entries, match logs, advance the commit index, install snapshots.

Mixin of :class:`onyxfork.control.raft.Raft`, which holds the state.
"""

from onyxfork.control.raft_messages import (
    COMMAND,
    MEMBERS,
    Append,
    AppendReply,
    Entry,
    InstallSnapshot,
)

__all__ = ["Replication"]

MAX_APPEND_ENTRIES = 256


class Replication:
    """Replicates the leader's log to the other members and commits entries."""

    def propose(self, data, now):
        """Append a command as the leader.

        Parameters
        ----------
        data : bytes
            The command as it is stored in the entry.
        now : float

        Returns
        -------
        int or None
            Index of the entry; None when this replica is not the leader or is transferring
            leadership.
        """
        if not self.is_leader or self.transfer_target is not None:
            return None
        self.append_local([(COMMAND, data)])
        self.replicate(now)
        return self.log.last_index

    def append_local(self, items):
        """Append entries of the current term to the leader's own log.

        Parameters
        ----------
        items : list of (int, bytes)
            Kind and data of each entry.
        """
        for kind, data in items:
            entry = Entry(self.log.last_index + 1, self.term, kind, data)
            self.log.entries.append(entry)
            self.queue_for_sync(entry.index, [entry])
            if kind == MEMBERS:
                self.refresh_members()

    def queue_for_sync(self, first_index, entries):
        """Add entries to the `Ready` as not yet durable, replacing those from `first_index` on."""
        ready = self.ready
        if ready.first_index is not None and first_index <= ready.first_index:
            ready.first_index, ready.entries = first_index, []
        elif ready.first_index is None:
            ready.first_index = first_index
        else:
            del ready.entries[first_index - ready.first_index :]
        ready.entries.extend(entries)
        self.durable_index = min(self.durable_index, first_index - 1)

    def mark_durable(self, index, term, now):
        """Record that this log is durable up to an index; the driver calls this after a sync.

        Does nothing if the entry at `index` is no longer the one of `term` that was written.
        """
        if self.log.term_at(index) != term:
            return
        self.durable_index = max(self.durable_index, index)
        if self.is_leader:
            self.advance_commit(now)

    def broadcast(self, now):
        """Start a heartbeat round: send every other member an `Append` with a new round number."""
        self.round += 1
        self.heartbeat_due_at = now + self.timing.heartbeat_s
        for member in self.members.addresses:
            if member != self.identity:
                self.send_append(member, now)
        self.confirm_reads()

    def replicate(self, now):
        """Send entries to each member that has not been sent all of them."""
        for member in self.members.addresses:
            if member != self.identity and self.progress[member].next_index <= self.log.last_index:
                self.send_append(member, now)

    def send_append(self, member, now):
        """Send a member its next entries, or a snapshot when the log no longer holds them.

        A snapshot is sent to a member at most once a second.
        """
        progress = self.progress[member]
        previous_index = progress.next_index - 1
        previous_term = self.log.term_at(previous_index)
        if previous_term is None:
            if now - progress.snapshot_sent_at > 1.0:
                progress.snapshot_sent_at = now
                self.ready.send_now.append((member, None))
            return
        entries = self.log.slice(progress.next_index, MAX_APPEND_ENTRIES)
        progress.next_index += len(entries)
        message = Append(
            self.term,
            self.identity,
            previous_index,
            previous_term,
            entries,
            self.commit,
            self.round,
        )
        self.ready.send_now.append((member, message))

    def snapshot_message(self, index, entry_term, members, state):
        """Return the message that installs a snapshot of the driver's applied state."""
        return InstallSnapshot(
            self.term, self.identity, index, entry_term, members, state, self.round
        )

    def on_append(self, message, now):
        """Append the leader's entries if the log matches at the entry before them.

        If this replica's snapshot ends after that entry, the reply reports a match up to its end,
        so that the leader continues from there: a snapshot holds only committed entries.
        On a mismatch the reply tells the leader the highest index at which the logs may match.
        """
        if message.term < self.term:
            self.reply_append(message, False, 0)
            return
        self.accept_leader(message, now)
        previous_term = self.log.term_at(message.previous_index)
        if message.previous_index < self.log.base_index:
            self.reply_append(message, True, self.log.base_index)
            return
        if previous_term != message.previous_term:
            possible_match = min(self.log.last_index, message.previous_index - 1)
            self.reply_append(message, False, possible_match)
            return
        self.merge_entries(message.entries)
        last_index = message.previous_index + len(message.entries)
        self.commit = max(self.commit, min(message.commit, last_index))
        self.reply_append(message, True, last_index)

    def accept_leader(self, message, now):
        """Follow the sender as the leader of its term and restart the election timer."""
        if message.term > self.term or self.role != "follower":
            self.step_down(now, message.term)
        self.leader = message.leader
        self.last_leader_contact_at = now
        self.reset_election_timer(now)

    def merge_entries(self, entries):
        """Append the entries that the log lacks.

        The log is first truncated from the first entry whose term differs from the leader's.
        """
        for position, entry in enumerate(entries):
            term = self.log.term_at(entry.index)
            if term == entry.term:
                continue
            if term is not None:
                self.log.truncate(entry.index)
            new_entries = entries[position:]
            self.log.entries.extend(new_entries)
            self.queue_for_sync(entry.index, new_entries)
            self.refresh_members()
            return

    def reply_append(self, message, success, match_index):
        """Reply to an `Append` or `InstallSnapshot` once its contents are durable."""
        reply = AppendReply(self.term, self.identity, success, match_index, message.round)
        self.send_when_durable(message.leader, reply)

    def on_append_reply(self, message, now):
        """Update a member's progress and send it the next entries that it lacks."""
        if message.term > self.term:
            self.step_down(now, message.term)
            return
        progress = self.progress.get(message.member)
        if not self.is_leader or progress is None or message.term != self.term:
            return
        progress.last_contact_at = now
        progress.acknowledged_round = max(progress.acknowledged_round, message.round)
        if message.success:
            progress.match_index = max(progress.match_index, message.match_index)
            progress.next_index = max(progress.next_index, progress.match_index + 1)
            self.advance_commit(now)
        else:
            progress.next_index = max(progress.match_index, message.match_index) + 1
            self.send_append(message.member, now)
        if progress.next_index <= self.log.last_index and message.success:
            self.send_append(message.member, now)
        self.confirm_reads()
        self.finish_transfer(message.member)
        self.promote_caught_up(now)

    def advance_commit(self, now):
        """Commit up to the highest index that a majority of voters has made durable.

        Only an entry of the current term may be committed by counting replicas: an entry of an
        earlier term may still be overwritten although a majority holds it. Committing a later
        entry commits the earlier ones.
        """
        match_indexes = sorted(
            (
                self.durable_index if member == self.identity else self.progress[member].match_index
                for member in self.members.voters
            ),
            reverse=True,
        )
        if not match_indexes:
            return
        index = match_indexes[self.members.quorum - 1]
        if index > self.commit and self.log.term_at(index) == self.term:
            self.commit = index
            self.on_commit_advanced(now)

    def on_commit_advanced(self, now):
        """Send members the new commit index, or step down when this leader is no voter any more.

        A leader that removes itself leads until the change of members is committed.
        """
        self.confirm_reads()
        if self.members_index <= self.commit and not self.is_voter:
            self.step_down(now)
            return
        self.propagate_commit_index(now)

    def propagate_commit_index(self, now):
        """Send the commit index to members that have been sent all entries.

        They would otherwise receive it only with the next heartbeat; the others receive it with
        their next entries.
        """
        for member in self.members.addresses:
            if member != self.identity and self.progress[member].next_index > self.log.last_index:
                self.send_append(member, now)

    def on_install_snapshot(self, message, now):
        """Replace the log by the leader's snapshot if that is ahead of the commit index.

        If the log holds the last entry of the snapshot, the entries after it are kept: this replica
        may have acknowledged them, and the leader may count it for their commitment. They are
        written again, because the log file is replaced with the snapshot.
        """
        if message.term < self.term:
            self.reply_append(message, False, 0)
            return
        self.accept_leader(message, now)
        if message.index > self.commit:
            if self.log.term_at(message.index) == message.entry_term:
                self.log.compact(message.index)
            else:
                self.log.reset(message.index, message.entry_term)
            self.commit = self.delivered_index = self.durable_index = message.index
            self.base_members = message.members
            self.refresh_members()
            self.ready.snapshot = message
            self.ready.entries = list(self.log.entries)
            self.ready.first_index = message.index + 1 if self.log.entries else None
            self.ready.committed = []
        self.reply_append(message, True, max(message.index, self.commit))

    def compact(self, index):
        """Drop the entries that a snapshot at `index` covers; return the members as of `index`."""
        members = self.members_at(index)
        self.log.compact(index)
        self.base_members = members
        return members
