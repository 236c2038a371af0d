"""The most work that any dispatcher could have served within its objectives, as a fluid.

Work is served by priority and, inside a priority, in order of arrival, with the whole capacity of
the fleet for as long as any waits. Widths of jobs, boundaries between workers and messages are left
out, and part of a job counts, so the bound is never below what a dispatcher with these rules can
serve. Sizes are callers' estimates; the bound holds as far as they are right on average.
"""

import math
from bisect import bisect_right
from heapq import heappop, heappush

from attrs import define, field
from tabulate import tabulate

from onyxfork.errors import SettingsError
from onyxfork.workload.losses import INTERVAL_S, group_by

__all__ = ["CapacityTimeline", "Arrival", "serve", "bound_text"]


@define
class CapacityTimeline:
    """Capacity of the fleet over time.

    Parameters
    ----------
    changes : list of (float, float)
        In order of time: seconds from which a capacity holds, and the capacity in cores x speed.
        The first begins at minus infinity.
    """

    changes: list

    @classmethod
    def from_config(cls, cores, path=None):
        """Return the timeline that begins with `cores` and changes as a file states.

        Parameters
        ----------
        cores : float
        path : pathlib.Path, optional
            Text with two numbers a line, ``from_s cores``, in order of time.

        Returns
        -------
        CapacityTimeline
        """
        if not is_capacity(cores):
            raise SettingsError([f"--capacity: expected a number of at least 0, got {cores}"])
        changes, problems = [(-math.inf, cores)], []
        lines = path.read_text(encoding="utf-8").splitlines() if path is not None else []
        for number, line in enumerate(lines, 1):
            if not line.strip():
                continue
            change = read_change(line)
            if change is None or change[0] < changes[-1][0]:
                where = f"--capacity-changes: {path}: line {number}"
                problems.append(f"{where}: expected `from_s cores` in order of time, got {line!r}")
            else:
                changes.append(change)
        if problems:
            raise SettingsError(problems)
        return cls(changes)

    def at(self, now):
        """Return the cores at a time, and when they change next (seconds)."""
        index = bisect_right(self.changes, now, key=lambda change: change[0])
        following = self.changes[index][0] if index < len(self.changes) else math.inf
        return self.changes[index - 1][1], following


def is_capacity(cores):
    """Return whether a number can be a capacity."""
    return math.isfinite(cores) and cores >= 0


def read_change(line):
    """Return the time and the cores in a line, or None if it does not hold them."""
    try:
        from_s, cores = map(float, line.split())
    except ValueError:
        return None
    return (from_s, cores) if math.isfinite(from_s) and is_capacity(cores) else None


@define(eq=False)
class Arrival:
    """Work that arrives.

    Parameters
    ----------
    at_s, due_s : float
        Seconds of the arrival and of the end of the objective. Work started at the end of its slack
        still uses capacity until then, so it is carried over for its slack and its run time.
    queue : str
    priority : int
        0 is the highest.
    core_ms : float
    on_time, late : bool
        How the job was answered.
    served_core_ms : float
        Part of the work that the bound serves.
    """

    at_s: float
    due_s: float
    queue: str
    priority: int
    core_ms: float
    on_time: bool = False
    late: bool = False
    served_core_ms: float = field(default=0.0)


def serve(arrivals, capacity):
    """Set `served_core_ms` of arrivals.

    Parameters
    ----------
    arrivals : list of Arrival
    capacity : CapacityTimeline
    """
    arrivals = sorted(arrivals, key=lambda arrival: arrival.at_s)
    waiting, position, now = [], 0, -math.inf
    while waiting or position < len(arrivals):
        if not waiting:
            now = max(now, arrivals[position].at_s)
        while position < len(arrivals) and arrivals[position].at_s <= now:
            heappush(waiting, (arrivals[position].priority, position, arrivals[position]))
            position += 1
        arrival = waiting[0][-1]
        next_arrival = arrivals[position].at_s if position < len(arrivals) else math.inf
        now, is_over = serve_first(arrival, now, next_arrival, capacity)
        if is_over:
            heappop(waiting)


def serve_first(arrival, now, next_arrival, capacity):
    """Serve one arrival until it is served or due, or the next event.

    Returns
    -------
    tuple of (float, bool)
        The time reached (seconds), and whether the arrival is served or due.
    """
    if arrival.due_s <= now:
        return now, True
    cores, change_s = capacity.at(now)
    until = min(next_arrival, change_s, arrival.due_s)
    left_core_ms = arrival.core_ms - arrival.served_core_ms
    end = now + left_core_ms / (cores * 1000) if cores else math.inf
    if end <= until:
        arrival.served_core_ms = arrival.core_ms
        return end, True
    arrival.served_core_ms += cores * 1000 * (until - now)
    return until, until == arrival.due_s


# Tables


def make_arrivals(job_log):
    """Return the arrivals of a `JobLog`, without jobs of which a needed field is not logged."""
    return [
        Arrival(
            job.arrived_s,
            job.arrived_s + job.objective_ms / 1000,
            job.queue,
            job.priority,
            job.size_core_ms,
            on_time=not job.cause,
            late=job.cause.startswith("late"),
        )
        for job in job_log.jobs
        if None not in (job.objective_ms, job.priority, job.size_core_ms)
    ]


def bound_row(name, arrivals):
    """Return a row of a table: what was offered, could be served, and was served (core-ms).

    What is offered is the sum of what was served on time, the unavoidable and the avoidable loss.
    More than the bound can be served where estimates are too high; nothing was avoidable then.
    """
    offered = sum(arrival.core_ms for arrival in arrivals)
    bound = sum(arrival.served_core_ms for arrival in arrivals)
    on_time = sum(arrival.core_ms for arrival in arrivals if arrival.on_time)
    late = sum(arrival.core_ms for arrival in arrivals if arrival.late)
    unavoidable = offered - max(bound, on_time)
    avoidable = max(0.0, bound - on_time)
    return [name, *map(round, (offered, bound, on_time, late, unavoidable, avoidable))]


def bound_table(title, arrivals, key):
    """Return the table by `key` as text."""
    groups = group_by(arrivals, key)
    rows = [bound_row(name, groups[name]) for name in sorted(groups)]
    rows.append(bound_row("total", arrivals))
    columns = ["offered core-ms", "bound", "on time", "late", "unavoidable", "avoidable"]
    return tabulate(rows, headers=[title, *columns], tablefmt="github")


def count_exceeded(arrivals):
    """Return in how many intervals more was served on time than the bound."""
    rows = [
        bound_row(start, group)
        for start, group in group_by(arrivals, lambda a: a.at_s // INTERVAL_S).items()
    ]
    return sum(on_time > bound for _, _, bound, on_time, *_ in rows)


def bound_text(job_log, capacity):
    """Return the bound beside what was served, by priority, queue and time of arrival, as text.

    Parameters
    ----------
    job_log : JobLog
    capacity : CapacityTimeline

    Returns
    -------
    str
    """
    arrivals = make_arrivals(job_log)
    serve(arrivals, capacity)
    left_out = len(job_log.jobs) - len(arrivals)
    note = (
        f"jobs without a logged size, priority or objective, left out of the bound: {left_out}; "
        f"intervals in which more was served on time than the bound, so that the capacity given is "
        f"too low or sizes are estimated too high: {count_exceeded(arrivals)}"
    )
    if not arrivals:
        return note
    tables = (
        bound_table("priority", arrivals, lambda arrival: arrival.priority),
        bound_table("queue", arrivals, lambda arrival: arrival.queue),
        bound_table("arrival from s", arrivals, lambda a: a.at_s // INTERVAL_S * INTERVAL_S),
    )
    return "\n\n".join([*tables, note])
