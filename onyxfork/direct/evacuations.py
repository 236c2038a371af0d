"""A node's list of evacuated availability zones, in which no task may start.

Control numbers each version of the list by its index in the replicated log. A node adopts only a
higher index, from whichever peer, so a delayed announcement or an outdated control instance cannot
revert an evacuation. Nodes pass the list on to their peers, so that a process that restarts while
control is unavailable receives it too.
"""

import logging

from onyxfork.direct.messages import EvacuationsAnnounced

__all__ = ["Evacuations"]

log = logging.getLogger(__name__)

MAX_ZONES_LOGGED = 20
"""Upper bound on the zones named in one log line; a region has three to six."""


class Evacuations:
    """The newest list of evacuated zones that a node has received.

    Parameters
    ----------
    clock : Clock

    Attributes
    ----------
    index : int
        Log index of the change that resulted in the list; 0 before the first. It never decreases.
    zones : frozenset of str
    changed_at : float
        Monotonic seconds at which control applied that change, as far as this node knows.
    """

    def __init__(self, clock):
        self.clock = clock
        self.index = 0
        self.zones = frozenset()
        self.changed_at = clock.now()

    def adopt(self, message, source):
        """Adopt an announced list if it is newer than the current one; log it.

        Parameters
        ----------
        message : EvacuationsAnnounced
        source : str
            Peer that sent it.

        Returns
        -------
        bool
            Whether the list was adopted.
        """
        if message.index <= self.index:
            return False
        previous_index = self.index
        self.index, self.zones = message.index, frozenset(message.zones)
        self.changed_at = self.clock.now() - message.age_ms / 1000
        fields = {
            "index": self.index,
            "before": previous_index,
            "zones": sorted(self.zones)[:MAX_ZONES_LOGGED],
            "zone_count": len(self.zones),
            "age_ms": round(message.age_ms),
            "source": source,
        }
        log.info("evacuated zones changed", extra=fields)
        return True

    def announce(self, connection):
        """Send the list to a peer; before the first evacuation there is nothing to send."""
        if self.index:
            age_ms = (self.clock.now() - self.changed_at) * 1000
            connection.send(EvacuationsAnnounced(self.index, sorted(self.zones), age_ms))
