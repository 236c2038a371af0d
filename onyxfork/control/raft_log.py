"""The part of the replicated log that is held in memory: the entries after a snapshot."""

from attrs import define, field

from onyxfork.control.raft_messages import Entry

__all__ = ["RaftLog"]


@define
class RaftLog:
    """Log entries after a snapshot.

    Parameters
    ----------
    base_index, base_term : int
        Index and term of the last entry that the snapshot covers; 0 without a snapshot.
    entries : list of Entry
    """

    base_index: int = 0
    base_term: int = 0
    entries: list[Entry] = field(factory=list)

    @property
    def last_index(self):
        """Index of the last entry, or of the snapshot when there are no entries."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self):
        """Term of the last entry, or of the snapshot when there are no entries."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index):
        """Return the term of an entry, or None when it was compacted or does not exist."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def get(self, index):
        """Return the entry at `index`, which must be in memory."""
        return self.entries[index - self.base_index - 1]

    def slice(self, first_index, max_entries):
        """Return up to `max_entries` entries from `first_index` on."""
        start = first_index - self.base_index - 1
        return self.entries[start : start + max_entries]

    def truncate(self, first_index):
        """Drop the entries from `first_index` on."""
        del self.entries[first_index - self.base_index - 1 :]

    def compact(self, index):
        """Drop the entries up to `index`, which a snapshot covers."""
        term = self.term_at(index)
        if term is None or index <= self.base_index:
            return
        self.entries = self.entries[index - self.base_index :]
        self.base_index, self.base_term = index, term

    def reset(self, index, term):
        """Replace the whole log by a snapshot at `index`."""
        self.entries = []
        self.base_index, self.base_term = index, term
