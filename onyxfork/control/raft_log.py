"""The part of the replicated log that is held in memory."""

from attrs import define, field

from onyxfork.control.raft_messages import Entry

__all__ = ["RaftLog"]


@define
class RaftLog:
    """Entries after a snapshot.

    Parameters
    ----------
    base_index, base_term : int
        Index and term of the last entry that the snapshot covers; 0 without one.
    entries : list of Entry
    """

    base_index: int = 0
    base_term: int = 0
    entries: list[Entry] = field(factory=list)

    @property
    def last_index(self):
        """Index of the last entry."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self):
        """Term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index):
        """Return the term of an entry, or None when it is not held."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def get(self, index):
        """Return the entry at `index`, which must be held."""
        return self.entries[index - self.base_index - 1]

    def slice(self, first, most):
        """Return up to `most` entries from index `first` on."""
        start = first - self.base_index - 1
        return self.entries[start : start + most]

    def truncate(self, first):
        """Drop the entries from index `first` on."""
        del self.entries[first - self.base_index - 1 :]

    def compact(self, index):
        """Drop the entries up to `index`, which a snapshot now covers."""
        term = self.term_at(index)
        if term is None or index <= self.base_index:
            return
        self.entries = self.entries[index - self.base_index :]
        self.base_index, self.base_term = index, term

    def reset(self, index, term):
        """Drop everything in favour of a snapshot received."""
        self.entries = []
        self.base_index, self.base_term = index, term
