"""Leases of entries on cells, and shares of limits, as the leader keeps them.

An entry owns a cell while it renews. The leader gives a cell to another entry only after the lease
of the former has surely ended; a new leader first waits as long as a lease granted by the one
before it could still hold. Shares of limits follow demand and never sum to more than one.
"""

from attrs import define, field

from onyxfork.control.commands import AssignCell
from onyxfork.control.feed import Renewed

__all__ = ["LeaseTable", "EntryLease", "divide_shares"]

MIN_SHARE = 0.02
ASSIGN_RETRY_S = 1.0


@define
class EntryLease:
    """What the leader knows of an entry since it leads."""

    incarnation: str
    first_at: float
    renewed_at: float
    stopping: bool = False
    demand: dict[str, float] = field(factory=dict)


@define
class ShareHold:
    """A share that an entry may still use until `until`."""

    share: float
    until: float


@define
class Assigning:
    """An assignment that was proposed, and when it may be proposed again."""

    epoch: int
    retry_at: float


class LeaseTable:
    """Leases of the cells of a cluster.

    Parameters
    ----------
    cells : int
        How many cells there are.
    lease_s : float
    election_max_s : float
        A deposed leader grants nothing for longer than this after its last contact.
    """

    def __init__(self, cells, lease_s, election_max_s):
        self.cell_names = [f"cell-{number}" for number in range(cells)]
        self.lease_s = lease_s
        self.election_max_s = election_max_s
        self.entries = {}
        self.term = 0
        self.safe_at = float("inf")
        self.assigning = {}
        self.holds = {}

    def renew(self, message, state, now):
        """Extend an entry's leases.

        Parameters
        ----------
        message : Renew
        state : ControlState
        now : float

        Returns
        -------
        Renewed
        """
        known = self.entries.get(message.entry)
        first_at = now
        if known is not None and known.incarnation == message.incarnation:
            first_at = known.first_at
        elif known is not None:
            self.end_holds(message.entry)
        self.entries[message.entry] = EntryLease(
            message.incarnation, first_at, now, message.stopping, message.demand
        )
        shares = self.shares_for(message.entry, now)
        return Renewed(message.request, True, self.lease_s, shares)

    def end_holds(self, entry):
        """Let shares of a former incarnation run out at their own time."""
        for holds in self.holds.values():
            if entry in holds:
                holds[f"{entry} before"] = holds.pop(entry)

    def begin_term(self, term, now):
        """Note that leadership began; nothing is reassigned until older leases have ended."""
        if term != self.term:
            self.term = term
            self.entries = {}
            self.assigning = {}
            self.holds = {}
            self.safe_at = now + self.lease_s + self.election_max_s

    def due(self, raft, state, now, wall_ms):
        """Return the assignments to propose.

        Parameters
        ----------
        raft : Raft
        state : ControlState
        now : float
        wall_ms : int

        Returns
        -------
        list of AssignCell
        """
        if not raft.is_leader:
            self.term = 0
            return []
        self.begin_term(raft.term, now)
        commands = []
        for name in self.cell_names:
            command = self.assignment(state, name, now, wall_ms)
            if command is not None:
                commands.append(command)
        return commands

    def assignment(self, state, name, now, wall_ms):
        """Return the assignment of one cell when its owner is gone and another is there."""
        row = state.catalogue.find("cell", name)
        epoch = row.epoch if row is not None else 0
        pending = self.assigning.get(name)
        if pending is not None and pending.epoch > epoch and now < pending.retry_at:
            return None
        if row is not None and row.owner and not self.has_ended(row, now):
            return None
        owner = self.choose_owner(state, now)
        if owner is None:
            return None
        self.assigning[name] = Assigning(epoch + 1, now + ASSIGN_RETRY_S)
        return AssignCell(wall_ms, name, owner, self.entries[owner].incarnation, epoch)

    def has_ended(self, row, now):
        """Return whether the lease of a cell's owner has surely ended."""
        lease = self.entries.get(row.owner)
        if lease is None:
            return now >= self.safe_at
        if lease.incarnation != row.incarnation:
            return now >= min(self.safe_at, lease.first_at + self.lease_s)
        if lease.stopping:
            return True
        return now >= lease.renewed_at + self.lease_s

    def choose_owner(self, state, now):
        """Return the living entry that owns the fewest cells."""
        owned = {}
        for row in state.catalogue.rows("cell"):
            owned[row.owner] = owned.get(row.owner, 0) + 1
        living = [
            name
            for name, lease in self.entries.items()
            if not lease.stopping and now < lease.renewed_at + self.lease_s
        ]
        return min(living, key=lambda name: (owned.get(name, 0), name), default=None)

    # Shares

    def shares_for(self, entry, now):
        """Return an entry's shares of every limit that is in demand."""
        if len(self.cell_names) == 1:
            return {}
        shares = {}
        names = {name for lease in self.entries.values() for name in lease.demand}
        for limit in names:
            shares[limit] = self.share_of(limit, entry, now)
        return shares

    def share_of(self, limit, entry, now):
        """Return an entry's share of one limit, within what others may still use."""
        holds = self.holds.setdefault(limit, {})
        for name in [name for name, hold in holds.items() if hold.until <= now]:
            del holds[name]
        living = [
            name
            for name, lease in self.entries.items()
            if now < lease.renewed_at + self.lease_s and not lease.stopping
        ]
        demand = {name: self.entries[name].demand.get(limit, 0.0) for name in living}
        wanted = divide_shares(demand).get(entry, 0.0)
        others = sum(hold.share for name, hold in holds.items() if name != entry)
        granted = max(0.0, min(wanted, 1.0 - others))
        before = holds.get(entry)
        if before is not None and before.share > granted:
            holds[f"{entry} until {now}"] = ShareHold(before.share - granted, now + self.lease_s)
        holds[entry] = ShareHold(granted, now + 2 * self.lease_s)
        return granted


def divide_shares(demand):
    """Return shares that follow demand, with a little for everyone.

    Parameters
    ----------
    demand : dict
        Maps an entry to the tasks it has waiting or running.

    Returns
    -------
    dict
        Shares from 0 to 1 that sum to 1.

    Examples
    --------
    >>> divide_shares({"a": 0.0, "b": 0.0})
    {'a': 0.5, 'b': 0.5}
    """
    if not demand:
        return {}
    floor = min(MIN_SHARE, 0.5 / len(demand))
    rest = 1.0 - floor * len(demand)
    total = sum(demand.values())
    if not total:
        return {name: 1.0 / len(demand) for name in demand}
    return {name: floor + rest * value / total for name, value in demand.items()}
