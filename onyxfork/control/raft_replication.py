"""Replication of the log: appending, matching, committing, snapshots.

Part of :class:`onyxfork.control.raft.Raft`; state is kept there.
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
    """How entries get from the leader to everyone and become committed."""

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

    def mark_durable(self, index, term, now):
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
        for name in self.members.addresses:
            if name != self.me:
                self.send_append(name, now)
        self.confirm_reads()

    def replicate(self, now):
        """Send what members lack."""
        for name in self.members.addresses:
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
        self.send_when_durable(message.leader, reply)

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
        for name in self.members.addresses:
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
