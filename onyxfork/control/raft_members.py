"""Changes of members, one at a time, and the planned hand-over of the lead.

Part of :class:`onyxfork.control.raft.Raft`; state is kept there.
"""

from onyxfork.control.raft_messages import MEMBERS, Members, TimeoutNow
from onyxfork.control.raft_progress import Progress
from onyxfork.messages.codec import structure, unstructure
from onyxfork.utils.packing import from_bytes, to_bytes

__all__ = ["MemberChanges"]


class MemberChanges:
    """Who takes part, and who leads next."""

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
        for name in self.members.addresses:
            if name not in self.progress:
                heard_at = now if now is not None else float("-inf")
                self.progress[name] = Progress(self.log.last_index + 1, heard_at=heard_at)
        for name in list(self.progress):
            if name not in self.members.addresses:
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
            if replaced is None and len(self.members.voters) >= self.most_voters:
                replaced = self.unreachable_voter(now)
                if replaced is None:
                    continue
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

    def unreachable_voter(self, now):
        """Return the voter that has been out of reach longest and for too long, or None."""
        limit = now - self.timing.replace_after_s
        silent = [
            (self.progress[name].heard_at, name)
            for name in self.members.voters
            if name != self.me and self.progress[name].heard_at < limit
        ]
        return min(silent)[1] if silent else None

    def transfer_leadership(self, now):
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
