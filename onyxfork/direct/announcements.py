"""Announcements of an agent to entries that have lost their connection to it.

An entry that restarts while control is unavailable knows no agent. The agents that it was connected
to remember its address and announce themselves, with exponential backoff: an entry that stays away
costs each of them a few connection attempts a minute.
"""

from random import Random

from attrs import define

__all__ = ["LostEntries"]

FIRST_DELAY_S = 0.5
"""An entry that can reach control is connected again before this."""

MAX_DELAY_S = 8.0
"""Upper bound on the delay between two announcements."""

DURATION_S = 120.0
"""How long an entry that has lost its connection is announced to."""

MAX_DUE = 4
"""Upper bound on the announcements that are due at the same time; the others follow later."""

MAX_ENTRIES = 128
"""Upper bound on the entries that are remembered; those lost first are dropped first."""


@define
class LostEntry:
    """An entry without a connection.

    Parameters
    ----------
    address : str
    lost_at, due_at : float
        When the connection ended and when the next announcement is due (monotonic seconds).
    delay_s : float
        Delay between the latest two announcements.
    """

    address: str
    lost_at: float
    due_at: float
    delay_s: float = FIRST_DELAY_S


class LostEntries:
    """Decides when an agent announces itself to which entries; performs no I/O.

    Attributes
    ----------
    addresses : dict of str to str
        Addresses of the entries that are or were connected, by node.
    lost : dict of str to LostEntry
        Entries that have lost their connection, by node.
    """

    def __init__(self, rng=None):
        self.rng = rng or Random()
        self.addresses = {}
        self.lost = {}

    def on_connected(self, entry, address):
        """Record an entry that has connected."""
        self.lost.pop(entry, None)
        if address:
            self.addresses[entry] = address

    def on_disconnected(self, entry, now):
        """Record that the connection of an entry has ended."""
        address = self.addresses.pop(entry, None)
        if address is None:
            return
        due_at = now + FIRST_DELAY_S * (1 + self.rng.random())
        self.lost[entry] = LostEntry(address, now, due_at)
        if len(self.lost) > MAX_ENTRIES:
            del self.lost[next(iter(self.lost))]

    def take_due(self, now):
        """Return the addresses to announce to now, at most `MAX_DUE`, and set their next time."""
        due = []
        for entry, lost in list(self.lost.items()):
            if now - lost.lost_at > DURATION_S:
                del self.lost[entry]
            elif now >= lost.due_at and len(due) < MAX_DUE:
                lost.delay_s = min(MAX_DELAY_S, 2 * lost.delay_s)
                lost.due_at = now + lost.delay_s * (0.5 + self.rng.random())
                due.append(lost.address)
        return due
