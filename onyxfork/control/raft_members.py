"""Membership changes, one at a time, and leadership transfer.

Mixin of :class:`onyxfork.control.raft.Raft`, which holds the state.
"""

from onyxfork.control.raft_messages import MEMBERS, Members, TimeoutNow
from onyxfork.control.raft_progress import Progress
from onyxfork.messages.codec import structure, unstructure
from onyxfork.utils.packing import from_bytes, to_bytes

__all__ = ["MemberChanges"]


class MemberChanges:
    """Changes the members of the cluster and transfers leadership."""

    def refresh_members(self):
        """Load the members from the latest entry that sets them, whether it is committed or not."""
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
        """Add a `Progress` for each new member and delete those of former members.

        A new member counts as in contact at `now`; when that is None, as never in contact.
        """
        for member in self.members.addresses:
            if member not in self.progress:
                last_contact_at = now if now is not None else float("-inf")
                self.progress[member] = Progress(
                    self.log.last_index + 1, last_contact_at=last_contact_at
                )
        for member in list(self.progress):
            if member not in self.members.addresses:
                del self.progress[member]

    def change_members(self, members, now):
        """Propose a new set of members; the change before it must be committed.

        Parameters
        ----------
        members : Members
            May differ from the current members by at most one voter.
        now : float

        Returns
        -------
        int or None
            Index of the entry; None when the change cannot be proposed now.
        """
        previous_committed = self.members_index <= self.commit
        term_committed = self.log.term_at(self.commit) == self.term
        if not (
            self.is_leader
            and previous_committed
            and term_committed
            and self.transfer_target is None
        ):
            return None
        if len(set(members.voters) ^ set(self.members.voters)) > 1:
            return None
        self.append_local([(MEMBERS, to_bytes(unstructure(members)))])
        self.replicate(now)
        self.advance_commit(now)
        return self.log.last_index

    def promote_caught_up(self, now):
        """Promote a learner that holds all committed entries to a voter.

        A voter that the learner replaces is removed first; the learner is promoted on a later call.
        """
        for learner, address in self.members.learners.items():
            progress = self.progress.get(learner)
            if progress is None or progress.match_index < self.commit or not self.commit:
                continue
            replaced_voter = self.same_name_voter(learner)
            if replaced_voter is None and len(self.members.voters) >= self.max_voters:
                replaced_voter = self.unreachable_voter(now)
                if replaced_voter is None:
                    continue
            voters = dict(self.members.voters)
            learners = dict(self.members.learners)
            if replaced_voter is not None:
                del voters[replaced_voter]
            else:
                del learners[learner]
                voters[learner] = address
            self.change_members(Members(voters, learners), now)
            return

    def same_name_voter(self, learner):
        """Return the voter that has the learner's node name but another data folder, or None."""
        node_name = learner.split("#")[0]
        for voter in self.members.voters:
            if voter != learner and voter.split("#")[0] == node_name and voter != self.identity:
                return voter
        return None

    def unreachable_voter(self, now):
        """Return the voter that has been unreachable for longest, or None.

        Only a voter without contact for more than `replace_voter_after_s` counts as unreachable.
        """
        earliest_allowed_contact_at = now - self.timing.replace_voter_after_s
        unreachable = [
            (self.progress[member].last_contact_at, member)
            for member in self.members.voters
            if member != self.identity
            and self.progress[member].last_contact_at < earliest_allowed_contact_at
        ]
        return min(unreachable)[1] if unreachable else None

    def transfer_leadership(self, now):
        """Start to transfer leadership to the voter with the most complete log.

        Returns
        -------
        bool
            False when this replica is not the leader or there is no other voter.
        """
        others = [member for member in self.members.voters if member != self.identity]
        if not self.is_leader or not others:
            return False
        self.transfer_target = max(others, key=lambda member: self.progress[member].match_index)
        self.transfer_deadline = now + self.timing.max_election_timeout_s
        self.replicate(now)
        self.finish_transfer(self.transfer_target)
        return True

    def finish_transfer(self, member):
        """Tell the transfer target to start an election once it holds the whole log."""
        if (
            member == self.transfer_target
            and self.progress[member].match_index >= self.log.last_index
        ):
            self.ready.send_now.append((member, TimeoutNow(self.term, self.identity)))

    def on_timeout_now(self, message, now):
        """Start an election at once because the leader transfers leadership to this replica."""
        if message.term == self.term and self.is_voter:
            self.start_election(now, pre_vote=False, forced=True)
