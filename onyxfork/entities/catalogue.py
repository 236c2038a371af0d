"""Rows of the replicated configuration: organisations, teams, services, jobs, nodes, cells.

Each table maps a key to an instance of one of the attrs classes here. Operators, nodes and control
itself propose changes; every field of a change is validated before it takes effect.
"""

from attrs import define, field

__all__ = [
    "Organisation",
    "Team",
    "Service",
    "Job",
    "Node",
    "Cell",
    "Drain",
    "Operator",
    "Catalogue",
    "TABLES",
    "URGENCIES",
]

URGENCIES = ("highest", "urgent", "normal", "low")


@define
class Organisation:
    """A customer; `weight` is its relative share of capacity when organisations compete."""

    name: str
    weight: float = 1.0


@define
class Team:
    """A group within an organisation, with limits over all entries together; 0 for no limit."""

    name: str
    organisation: str
    max_running: int = 0
    max_starts_per_s: float = 0.0


@define
class Service:
    """A group of jobs of an organisation with a common limit on running tasks; 0 for no limit."""

    name: str
    organisation: str
    max_running: int = 0


@define
class Job:
    """A kind of request of a service.

    Parameters
    ----------
    urgency : str
        One of `URGENCIES`.
    idempotent : bool
        When false, a submission is claimed on a quorum before its first task starts.
    max_running : int
        Upper bound on running tasks over all entries together; 0 for no limit.
    max_starts_per_s : float
        Upper bound on the rate of starts over all entries together; 0 for no limit.
    max_tasks : int
        Upper bound on tasks in one submission. Not enforced on submissions.
    deadline_ms : int
        Applies to submissions without a deadline.
    max_replacements : int
        How often a task may be placed again after a worker returned it as not run.
    run_ms : float
        Expected run time of a task. The owner's estimates do not use it.
    processors, memory_mb, accelerators : float
        Minimum resources that one task takes.
    """

    name: str
    service: str
    organisation: str
    urgency: str = "normal"
    idempotent: bool = True
    max_running: int = 0
    max_starts_per_s: float = 0.0
    max_tasks: int = 120
    deadline_ms: int = 10_000
    max_replacements: int = 5
    run_ms: float = 300.0
    processors: float = 0.0
    memory_mb: float = 0.0
    accelerators: float = 0.0


@define
class Node:
    """A process that announced itself: an entry or the agent of a worker.

    Parameters
    ----------
    state : str
        ``serving``, ``leaving``, ``left`` (after a planned stop) or ``lost``.
    sequence : int
        Grows with each announcement of one incarnation; announcements out of order are ignored.
    via : str
        The control instance that the node follows.
    restarted_ms : int
        Time up to which the former incarnation may have begun tasks, of which the agent has no
        record any more. 0 when there was none.
    unreachable_ms : int
        Set while the owner of the cell does not send to the worker: no submission issued later,
        with the skew of callers' clocks added, was sent to it. 0 while the owner sends.
    reach_order : int
        Grows with each report of `unreachable_ms`; reports out of order are ignored.
    """

    name: str
    role: str
    host: str
    port: int
    zone: str
    rack: str = ""
    incarnation: str = ""
    cell: str = ""
    slots: int = 0
    processors: float = 0.0
    memory_mb: float = 0.0
    accelerators: float = 0.0
    state: str = "serving"
    sequence: int = 0
    via: str = ""
    restarted_ms: int = 0
    unreachable_ms: int = 0
    reach_order: int = 0


@define
class Cell:
    """A set of workers on which one entry at a time, the owner, places tasks.

    `epoch` is the fencing token: agents reject owners with a lower one. `incarnation` is that of
    the owner's process, so that a restarted entry is another owner.
    """

    name: str
    owner: str = ""
    incarnation: str = ""
    epoch: int = 0


@define
class Drain:
    """A drained worker, rack or availability zone (`kind`), which takes no new work."""

    name: str
    kind: str
    reason: str = ""


@define
class Operator:
    """A person or program that authenticates with a token; `role` is ``read`` or ``change``."""

    name: str
    role: str
    token_hash: str = field(repr=False)


TABLES = {
    "organisation": Organisation,
    "team": Team,
    "service": Service,
    "job": Job,
    "node": Node,
    "cell": Cell,
    "drain": Drain,
    "operator": Operator,
}


@define
class Catalogue:
    """The configuration in force, as tables of rows by key.

    Keys join names with a slash: ``bygdelag/meldingsbord/issue-proof`` is a job.
    """

    tables: dict[str, dict[str, object]] = field(factory=lambda: {name: {} for name in TABLES})

    def find(self, table, *names):
        """Return the row whose key joins `names`, or None."""
        return self.tables[table].get("/".join(names))

    def rows(self, table):
        """Return the rows of a table."""
        return self.tables[table].values()

    def put(self, table, key, row):
        """Set a row, or delete it when `row` is None."""
        if row is None:
            self.tables[table].pop(key, None)
        else:
            self.tables[table][key] = row

    def drained(self, node):
        """Return the drain of a worker, its rack or its zone, or None."""
        for kind, name in (("worker", node.name), ("rack", node.rack), ("zone", node.zone)):
            drain = self.tables["drain"].get(f"{kind}/{name}")
            if drain is not None:
                return drain
        return None
