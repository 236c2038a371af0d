"""Assignment of a bounded subset of the agents to each entry.

An entry that connected to every agent would hold as many connections as there are workers, and
every agent would report to every entry. Instead each agent is assigned to a fixed number of entries
and each entry to a fixed number of agents, both chosen by consistent hashing. The assignment is a
function of the names alone, so all control instances compute the same one, and a node that joins or
leaves changes it only for a few others.

References
----------
.. [1] Karger et al., "Consistent hashing and random trees", STOC 1997.
"""

from bisect import bisect_left, insort
from hashlib import blake2b

from attrs import define, field

__all__ = ["HashRing", "SubsetTable", "ANY_LABEL"]

POINTS_PER_NAME = 8
"""Points of each name on a ring; more make the shares of the names more even."""

ENTRIES_PER_AGENT = 4
"""How many entries an agent is assigned to, whatever they choose themselves."""

AGENTS_PER_ENTRY = 8
"""How many agents an entry is assigned in addition to those that are assigned to it."""

OWN_ZONE_SHARE = 0.5
"""Share of these that is chosen in the node's own availability zone, if it has as many."""

AGENTS_PER_LABEL = 16
"""How many agents an entry is assigned for each label for which it lacks capacity."""

ANY_LABEL = ""
"""Label of all agents: an entry that lacks capacity in general asks for it."""


def hash_name(name):
    """Return the position of a name on a ring: an integer of 64 bits."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big")


class HashRing:
    """Names on a ring, from which subsets are chosen by consistent hashing.

    Attributes
    ----------
    points : list of (int, str)
        Positions of the names, sorted; each name has `POINTS_PER_NAME`.
    names : set of str
    """

    def __init__(self):
        self.points = []
        self.names = set()

    def add(self, name):
        """Add a name, unless it is on the ring."""
        if name not in self.names:
            self.names.add(name)
            for point in self.points_of(name):
                insort(self.points, point)

    def remove(self, name):
        """Remove a name, if it is on the ring."""
        if name in self.names:
            self.names.remove(name)
            for point in self.points_of(name):
                del self.points[bisect_left(self.points, point)]

    @staticmethod
    def points_of(name):
        """Return the points of a name."""
        return [(hash_name(f"{name}#{number}"), name) for number in range(POINTS_PER_NAME)]

    def choose(self, key, count, chosen=frozenset()):
        """Add up to `count` names for a key; the time does not depend on the number of names.

        Parameters
        ----------
        key : str
        count : int
        chosen : set of str
            Names that are already chosen.

        Returns
        -------
        set of str
            `chosen` and the added names.
        """
        if len(self.names) <= count + len(chosen) and len(self.names - chosen) <= count:
            return chosen | self.names
        chosen = set(chosen)
        for number in range(count):
            position = bisect_left(self.points, (hash_name(f"{key}@{number}"), ""))
            while True:
                name = self.points[position % len(self.points)][1]
                if name not in chosen:
                    break
                position += 1
            chosen.add(name)
        return chosen


@define(eq=False)
class NodeRings:
    """Rings of the nodes of one role: of all, and of each availability zone.

    Attributes
    ----------
    zones : dict of str to str
        Availability zone by name.
    all : HashRing
    by_zone : dict of str to HashRing
    """

    zones: dict = field(factory=dict)
    all: HashRing = field(factory=HashRing)
    by_zone: dict = field(factory=dict)

    def update(self, zones):
        """Replace the nodes; return whether there was any difference."""
        if zones == self.zones:
            return False
        for name, zone in self.zones.items():
            if zones.get(name) != zone:
                self.all.remove(name)
                self.by_zone[zone].remove(name)
        for name, zone in zones.items():
            if self.zones.get(name) != zone:
                self.all.add(name)
                self.by_zone.setdefault(zone, HashRing()).add(name)
        self.zones = dict(zones)
        return True

    def choose(self, key, zone, count):
        """Return up to `count` names for a key, `OWN_ZONE_SHARE` of them in a zone if possible."""
        near = set()
        if zone in self.by_zone:
            near = self.by_zone[zone].choose(key, round(OWN_ZONE_SHARE * count))
        return self.all.choose(key, count - len(near), near)


@define(eq=False)
class SubsetTable:
    """Assignment of agents to entries.

    Attributes
    ----------
    entries, agents : NodeRings
        All entries and all agents.
    labels : dict of str to frozenset of str
        Labels of each agent's worker.
    agents_by_label : dict of str to HashRing
        Agents by label of their worker, for labels that were asked for.
    assigned : dict of str to set of str
        For each entry, the agents that are assigned to it by their own choice.
    is_stale : bool
        Whether `assigned` has to be computed again.
    """

    entries: NodeRings = field(factory=NodeRings)
    agents: NodeRings = field(factory=NodeRings)
    labels: dict = field(factory=dict)
    agents_by_label: dict = field(factory=dict)
    assigned: dict = field(factory=dict)
    is_stale: bool = False

    def update(self, entry_zones, agent_zones, agent_labels):
        """Replace the known nodes; only the differences cost more than a comparison.

        Parameters
        ----------
        entry_zones, agent_zones : dict of str to str
            Availability zones of the entries and agents by name.
        agent_labels : dict of str to frozenset of str
            Labels by agent.
        """
        for rings, zones in ((self.entries, entry_zones), (self.agents, agent_zones)):
            if rings.update(zones):
                self.is_stale = True
        if agent_labels != self.labels:
            self.labels = dict(agent_labels)
            self.agents_by_label.clear()

    def agents_for(self, entry, wanted_labels=()):
        """Return the agents that an entry should connect to.

        Parameters
        ----------
        entry : str
        wanted_labels : iterable of str
            Labels for which the entry lacks capacity; `ANY_LABEL` for any worker.

        Returns
        -------
        set of str
        """
        if self.is_stale:
            self.assign_agents()
        zone = self.entries.zones.get(entry, "")
        chosen = self.agents.choose(entry, zone, AGENTS_PER_ENTRY)
        chosen |= self.assigned.get(entry, set())
        for label in wanted_labels:
            ring = self.agents.all if label == ANY_LABEL else self.ring_of_label(label)
            chosen |= ring.choose(f"{entry}/{label}", AGENTS_PER_LABEL)
        return chosen

    def assign_agents(self):
        """Assign each agent to `ENTRIES_PER_AGENT` entries."""
        self.assigned = {}
        for agent, zone in self.agents.zones.items():
            for entry in self.entries.choose(agent, zone, ENTRIES_PER_AGENT):
                self.assigned.setdefault(entry, set()).add(agent)
        self.is_stale = False

    def ring_of_label(self, label):
        """Return the ring of the agents whose worker has a label."""
        ring = self.agents_by_label.get(label)
        if ring is None:
            ring = self.agents_by_label[label] = HashRing()
            for agent, labels in self.labels.items():
                if label in labels:
                    ring.add(agent)
        return ring
