"""Leases on cells and shares of limits, granted to entries and held in memory by the leader.

An entry is the node that accepts submissions and owns cells. It owns a cell while it renews its
lease. The leader assigns a cell to another entry only when the former owner's lease is certain to
have ended. A new leader has no record of the leases that earlier leaders granted, so it first waits
until all of them have ended. The shares of a limit follow demand, and the shares that entries may
use at the same time never sum to more than one.
"""

from attrs import define, field

from onyxfork.control.commands import AssignCell
from onyxfork.control.feed import Renewed

__all__ = ["LeaseTable", "EntryLease", "divide_shares"]

MIN_SHARE = 0.02
ASSIGNMENT_RETRY_S = 1.0


@define
class EntryLease:
    """The lease of one entry on all its cells, as renewed with the current leader.

    Parameters
    ----------
    incarnation : str
        Incarnation of the entry's process.
    first_renewed_at, renewed_at : float
        First and latest renewal by this incarnation, in monotonic seconds.
    stopping : bool
        Whether the entry is shutting down and releases its cells.
    demand : dict
        Maps a limit to the number of tasks the entry has waiting or running under it.
    """

    incarnation: str
    first_renewed_at: float
    renewed_at: float
    stopping: bool = False
    demand: dict[str, float] = field(factory=dict)


@define
class ShareGrant:
    """A share of a limit, from 0 to 1, reserved until `expires_at` in monotonic seconds."""

    share: float
    expires_at: float


@define
class PendingAssignment:
    """A proposed assignment of a cell.

    Parameters
    ----------
    epoch : int
        Epoch that the cell gets by the assignment.
    retry_at : float
        Time from which the assignment may be proposed again, in monotonic seconds.
    """

    epoch: int
    retry_at: float


class LeaseTable:
    """Grants leases on the cells of a cluster and shares of limits.

    Parameters
    ----------
    cells : int
        Number of cells.
    lease_s : float
        Duration of a lease.
    election_max_s : float
        Upper bound on the time for which a leader without contact with a quorum may still grant
        leases: its maximum election timeout.

    Attributes
    ----------
    entries : dict of str to EntryLease
        Leases renewed in the current term, by name of the entry.
    term : int
        Raft term that the tables belong to; 0 while this replica is not the leader.
    former_leases_end_at : float
        When all leases granted by earlier leaders have ended, in monotonic seconds.
    pending_assignments : dict of str to PendingAssignment
        Latest proposed assignment of each cell.
    share_grants : dict of str to dict
        Maps a limit to its grants: one under the name of each entry, and under longer keys the
        reserved shares of a former incarnation or of an earlier, larger grant.
    """

    def __init__(self, cells, lease_s, election_max_s):
        self.cell_names = [f"cell-{number}" for number in range(cells)]
        self.lease_s = lease_s
        self.election_max_s = election_max_s
        self.entries = {}
        self.term = 0
        self.former_leases_end_at = float("inf")
        self.pending_assignments = {}
        self.share_grants = {}

    def renew(self, message, state, now):
        """Renew an entry's lease and return its shares of limits.

        Parameters
        ----------
        message : Renew
        state : ControlState
        now : float

        Returns
        -------
        Renewed
        """
        lease = self.entries.get(message.entry)
        first_renewed_at = now
        if lease is not None and lease.incarnation == message.incarnation:
            first_renewed_at = lease.first_renewed_at
        elif lease is not None:
            self.retain_former_grants(message.entry)
        self.entries[message.entry] = EntryLease(
            message.incarnation, first_renewed_at, now, message.stopping, message.demand
        )
        shares = self.grant_shares(message.entry, now)
        return Renewed(message.request, True, self.lease_s, shares)

    def retain_former_grants(self, entry):
        """Keep the shares of an entry's former incarnation reserved until they expire."""
        for grants in self.share_grants.values():
            if entry in grants:
                grants[f"{entry} before"] = grants.pop(entry)

    def begin_term(self, term, now):
        """Empty the tables when the term is new; cells stay assigned until older leases end."""
        if term != self.term:
            self.term = term
            self.entries = {}
            self.pending_assignments = {}
            self.share_grants = {}
            self.former_leases_end_at = now + self.lease_s + self.election_max_s

    def due_assignments(self, raft, state, now, wall_ms):
        """Return the cell assignments to propose now; none unless this replica is the leader.

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
        """Return the assignment of a cell whose lease has ended, or None.

        Also None when no entry has a current lease, or when an assignment was proposed less than
        `ASSIGNMENT_RETRY_S` ago and is not applied yet.
        """
        row = state.catalogue.find("cell", name)
        epoch = row.epoch if row is not None else 0
        pending = self.pending_assignments.get(name)
        if pending is not None and pending.epoch > epoch and now < pending.retry_at:
            return None
        if row is not None and row.owner and not self.lease_has_ended(row, now):
            return None
        owner = self.choose_owner(state, now)
        if owner is None:
            return None
        self.pending_assignments[name] = PendingAssignment(epoch + 1, now + ASSIGNMENT_RETRY_S)
        return AssignCell(wall_ms, name, owner, self.entries[owner].incarnation, epoch)

    def lease_has_ended(self, row, now):
        """Return whether the lease of a cell's owner is certain to have ended.

        An owner that has not renewed with this leader may still hold a lease that an earlier leader
        granted. When the owner has restarted since, its former incarnation holds the cell for at
        most `lease_s` after the new incarnation first renewed. An entry that is shutting down has
        released its lease.
        """
        lease = self.entries.get(row.owner)
        if lease is None:
            return now >= self.former_leases_end_at
        if lease.incarnation != row.incarnation:
            return now >= min(self.former_leases_end_at, lease.first_renewed_at + self.lease_s)
        if lease.stopping:
            return True
        return now >= lease.renewed_at + self.lease_s

    def choose_owner(self, state, now):
        """Return the entry with a current lease that owns the fewest cells, or None.

        Among equals it is the first by name. Entries that are shutting down are left out.
        """
        owned = {}
        for row in state.catalogue.rows("cell"):
            owned[row.owner] = owned.get(row.owner, 0) + 1
        live_entries = [
            name
            for name, lease in self.entries.items()
            if not lease.stopping and now < lease.renewed_at + self.lease_s
        ]
        return min(live_entries, key=lambda name: (owned.get(name, 0), name), default=None)

    # Shares

    def grant_shares(self, entry, now):
        """Return an entry's share of every limit that any entry reports demand for.

        With a single cell one entry uses the limits alone, so no shares are needed.
        """
        if len(self.cell_names) == 1:
            return {}
        shares = {}
        limits = {name for lease in self.entries.values() for name in lease.demand}
        for limit in limits:
            shares[limit] = self.grant_share(limit, entry, now)
        return shares

    def grant_share(self, limit, entry, now):
        """Grant an entry a share of one limit and return it.

        The share follows demand, up to the part that is not reserved for others. When it is
        smaller than the previous share, the difference stays reserved for `lease_s`, because the
        entry may use the larger share until that lease ends. The grant itself stays reserved for
        twice `lease_s` unless it is renewed.
        """
        grants = self.share_grants.setdefault(limit, {})
        for name in [name for name, grant in grants.items() if grant.expires_at <= now]:
            del grants[name]
        live_entries = [
            name
            for name, lease in self.entries.items()
            if now < lease.renewed_at + self.lease_s and not lease.stopping
        ]
        demand = {name: self.entries[name].demand.get(limit, 0.0) for name in live_entries}
        wanted_share = divide_shares(demand).get(entry, 0.0)
        reserved_by_others = sum(grant.share for name, grant in grants.items() if name != entry)
        granted_share = max(0.0, min(wanted_share, 1.0 - reserved_by_others))
        previous = grants.get(entry)
        if previous is not None and previous.share > granted_share:
            grants[f"{entry} until {now}"] = ShareGrant(
                previous.share - granted_share, now + self.lease_s
            )
        grants[entry] = ShareGrant(granted_share, now + 2 * self.lease_s)
        return granted_share


def divide_shares(demand):
    """Return shares proportional to demand, with a minimum share for each entry.

    The minimum is `MIN_SHARE`, or less when there are so many entries that the minimum shares
    would take more than half. Without any demand all shares are equal.

    Parameters
    ----------
    demand : dict
        Maps an entry to the number of tasks it has waiting or running.

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
    min_share = min(MIN_SHARE, 0.5 / len(demand))
    proportional_part = 1.0 - min_share * len(demand)
    total = sum(demand.values())
    if not total:
        return {name: 1.0 / len(demand) for name in demand}
    return {name: min_share + proportional_part * value / total for name, value in demand.items()}
