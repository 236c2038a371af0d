"""The part of the capacity page for the users' platform, from a sweep over fleet sizes.

The sweep plays one day at several fleet sizes with the same load a machine, and reports for each
role the busiest process. The growth from the second largest to the largest size is held against a
bound; small fleets are assigned whole, so their first step grows by design.
"""

from json import loads

from attrs import define
from tabulate import tabulate

__all__ = ["SweepRow", "read_sweep", "sweep_lines"]

MAX_GROWTH = 1.3
"""Upper bound on the growth of what a process needs between the two largest fleets."""

MAX_CONTROL_MEMORY_MB = 128.0
"""Upper bound on the memory of a control instance at the design size."""

MECHANISMS = {
    "entry": "an entry speaks to the agents assigned to it: direct/subsets",
    "agent": "an agent serves the entries it is assigned to: direct/subsets; one heartbeat timer "
    "for all connections: messages/heartbeats",
    "control": "every node is connected to every control instance: not bounded yet; the list of "
    "nodes and one connection each grow with the fleet",
}


@define
class SweepRow:
    """One measure of one role.

    Parameters
    ----------
    role, measure : str
        `measure` names the unit.
    busiest : list of float
        Value of the busiest process, by fleet size.
    power : float
        Power of the fleet size with which it grows, over all sizes.
    at_target : float
        Extrapolation to the target size; not measured.
    """

    role: str
    measure: str
    busiest: list
    power: float
    at_target: float

    @property
    def growth(self):
        """Ratio of the values at the two largest sizes."""
        return self.busiest[-1] / self.busiest[-2] if self.busiest[-2] else 1.0

    @property
    def bound(self):
        """The bound, as text."""
        if self.role == "control" and self.measure == "memory MB":
            return f"{MAX_CONTROL_MEMORY_MB:g} MB at the target"
        return f"growth of {MAX_GROWTH:g}"

    @property
    def holds(self):
        """Whether the bound is met."""
        if self.role == "control" and self.measure == "memory MB":
            return self.at_target <= MAX_CONTROL_MEMORY_MB
        return self.growth <= MAX_GROWTH


def read_sweep(path):
    """Return a sweep and its rows from a JSON file.

    Parameters
    ----------
    path : pathlib.Path

    Returns
    -------
    tuple of (dict, list of SweepRow)
    """
    sweep = loads(path.read_text())
    return sweep, [SweepRow(**row) for row in sweep["rows"]]


def sweep_lines(path):
    """Return the lines of the page's part on the platform."""
    sweep, rows = read_sweep(path)
    sizes = sweep["machines"]
    headers = ["role", "what", *map(str, sizes), "power", f"at {sweep['target']}", "bound", "holds"]
    table = [
        [row.role, row.measure, *row.busiest, row.power, row.at_target, row.bound]
        + ["yes" if row.holds else "**no**"]
        for row in rows
    ]
    return [
        "## On the users' platform",
        "",
        f"From the platform's sweep of {sweep['site']}: the busiest process of each role at "
        f"{', '.join(map(str, sizes))} machines with the same load a machine, and the power of the "
        f"fleet's size with which it grows. The column at {sweep['target']} machines extrapolates; "
        "it is not measured. A fleet of 10 or 30 is assigned whole, so entries grow there; from 30 "
        "to 100 they do not.",
        "",
        tabulate(table, headers=headers, tablefmt="github"),
        "",
        *(f"- {role}: {text}." for role, text in MECHANISMS.items()),
        "",
    ]
