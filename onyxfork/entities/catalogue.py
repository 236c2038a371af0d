"""Organisations, teams, services, jobs and nodes as operators configure them.

These rows are the replicated configuration. Each table maps a key to one of the attrs classes here;
every field is checked when a change is proposed.
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
    """A customer. `weight` is its share of capacity when organisations compete."""

    name: str
    weight: float = 1.0


@define
class Team:
    """A group within an organisation, with its quota over all entries together."""

    name: str
    organisation: str
    max_running: int = 0
    max_starts_per_s: float = 0.0


@define
class Service:
    """A service that jobs run within."""

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
        Tasks that may run at once over all entries; 0 for no limit.
    max_starts_per_s : float
        0 for no limit.
    max_tasks : int
        Tasks in one submission.
    deadline_ms : int
        Applies when a submission names none.
    max_replacements : int
        How often one task may be placed again after a definite "not run".
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
        ``serving``, ``leaving``, ``left`` (the process stopped as planned) or ``lost``.
    sequence : int
        Grows with each announcement of one incarnation; an older one changes nothing.
    via : str
        The control instance that the node follows.
    restarted_ms : int
        Up to when the former incarnation may have begun tasks; its memory is gone. 0 when there
        was none.
    unreachable_ms : int
        By the word of the cell's owner, which has stopped sending to it: nothing issued later than
        this and the skew of callers' clocks was ever sent. 0 while the owner sends.
    reach_order : int
        Grows with each such word; an older one changes nothing.
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
    """Workers that one entry schedules; a higher `epoch` fences every earlier owner.

    `incarnation` is that of the owner's process: a restarted entry is another owner.
    """

    name: str
    owner: str = ""
    incarnation: str = ""
    epoch: int = 0


@define
class Drain:
    """A worker, rack or availability zone that takes no new work."""

    name: str
    kind: str
    reason: str = ""


@define
class Operator:
    """A person or program with a token; `role` is ``read`` or ``change``."""

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
        """Set a row, or drop it when `row` is None."""
        if row is None:
            self.tables[table].pop(key, None)
        else:
            self.tables[table][key] = row

    def drained(self, node):
        """Return the drain that covers a worker, or None."""
        for kind, name in (("worker", node.name), ("rack", node.rack), ("zone", node.zone)):
            drain = self.tables["drain"].get(f"{kind}/{name}")
            if drain is not None:
                return drain
        return None
