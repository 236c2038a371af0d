"""Jobs that were not answered within their latency objective, by cause, from entries' logs.

A job is counted once for every request of a caller: a refused job that its caller sends again is
counted again. Each lost job has exactly one cause, so the rows of every table sum to the total.
Logs of releases that lack a field are read too; a cause that then cannot be told from another has a
row of its own. The objective is that by the measured run times of the job; where they are not
logged, as in such logs, it is that by the entry's estimate, which is off by 40 % on average, and
many jobs are then late by the table and not for their callers.
"""

import json
from collections import Counter
from datetime import datetime

from attrs import define, field
from tabulate import tabulate

from onyxfork.workload.loss_causes import (
    CAUSES,
    NOT_ENDED,
    find_cause,
    find_objective_ms,
    find_refusal_cause,
)
from onyxfork.workload.loss_speeds import correct_fields, find_ratios

__all__ = [
    "LoggedJob",
    "JobLog",
    "read_logs",
    "group_by",
    "losses_text",
    "INTERVAL_S",
]

INTERVAL_S = 2.0
"""Width of the time intervals of the table; bursts of load last 3 to 7 s."""

UNDECIDED_S = 10.0
"""A job accepted this long before the end of the logs and not ended there is not counted: it may
still be in progress. Longer than three times the objective of the longest jobs in use."""

NOT_LOGGED = "not logged"

SIZE_CLASSES = ("largest tenth", "fifth below", "rest", NOT_LOGGED)


@define(eq=False)
class LoggedJob:
    """One request of a caller, as an entry's log tells it.

    Parameters
    ----------
    arrived_s : float
        Seconds; see `read_logs`.
    queue, zone : str
        The zone is that of the entry.
    priority : int or None
        None if not logged.
    size_core_ms : float or None
        Core-milliseconds by the caller's estimate; None if not logged.
    cause : str
        One of `CAUSES`; empty if the job was answered within its objective.
    size_class : str
        One of `SIZE_CLASSES`.
    objective_ms : float or None
        Latency objective; None if not logged.
    by_estimate : bool
        Whether it was completed and its objective is known by the estimate only.
    """

    arrived_s: float
    queue: str
    zone: str
    priority: int | None = None
    size_core_ms: float | None = None
    cause: str = ""
    size_class: str = NOT_LOGGED
    objective_ms: float | None = None
    by_estimate: bool = False

    @property
    def interval(self):
        """The interval in which the job arrived, as text."""
        start = self.arrived_s // INTERVAL_S * INTERVAL_S
        return f"{start:g} to {start + INTERVAL_S:g} s"


@define
class JobLog:
    """The jobs of a set of logs.

    Parameters
    ----------
    jobs : list of LoggedJob
    unreadable : int
        Lines that begin a JSON object and do not hold a whole one.
    dropped : int
        Lines that the processes dropped above their rate limit.
    undecided : int
        Jobs accepted shortly before the end of the logs and not ended there.
    """

    jobs: list = field(factory=list)
    unreadable: int = 0
    dropped: int = 0
    undecided: int = 0

    @property
    def lost(self):
        """The jobs that were not answered within their objective."""
        return [job for job in self.jobs if job.cause]


# Reading


def split_line(line):
    """Return the time that prefixes a line (seconds, None if there is none) and its JSON object.

    The object is None if the line has none, and False if it is not whole.
    """
    start = line.find("{")
    if start < 0:
        return None, None
    try:
        fields = json.loads(line[start:])
    except ValueError:
        return None, False
    words = line[:start].split()
    try:
        return float(words[0]) if words else None, fields
    except ValueError:
        return None, fields


def read_clock(fields):
    """Return the time that a log line states (seconds since the epoch), or None."""
    try:
        return datetime.strptime(fields["time"], "%Y-%m-%d %H:%M:%S,%f").timestamp()
    except (KeyError, TypeError, ValueError):
        return None


def find_origin(lines):
    """Return the wall clock at second 0.

    It is that of a line with both times, or else that of the earliest line.
    """
    clocks = [(prefix, clock) for prefix, clock, _ in lines if clock is not None]
    for prefix, clock in clocks:
        if prefix is not None:
            return clock - prefix
    return min((clock for _, clock in clocks), default=0.0)


def read_logs(paths):
    """Return the jobs of log files.

    Parameters
    ----------
    paths : iterable of pathlib.Path
        Logs of entries; other lines and those of other processes are passed over.

    Returns
    -------
    JobLog

    Notes
    -----
    Times are the number before a line's JSON object, or, where there is none, seconds of its
    ``time`` since the start of the logs.
    """
    result, lines = JobLog(), []
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as file:
            for line in file:
                prefix, fields = split_line(line)
                if fields is False:
                    result.unreadable += 1
                elif isinstance(fields, dict):
                    lines.append((prefix, read_clock(fields), fields))
                    result.dropped += fields.get("dropped_before", 0)
    collect_jobs(lines, result)
    classify_sizes(result.jobs)
    return result


def collect_jobs(lines, result):
    """Add the jobs of parsed lines to a `JobLog`."""
    origin = find_origin(lines)
    ratios = find_ratios(fields for _, _, fields in lines if fields.get("message") == "job ended")
    accepted, reruns, end_s = {}, Counter(), 0.0
    for prefix, clock, fields in lines:
        at_s = prefix if prefix is not None else (clock or origin) - origin
        end_s = max(end_s, at_s)
        key, message = (fields.get("node"), fields.get("job")), fields.get("message")
        if message == "job accepted":
            accepted[key] = (at_s, fields)
        elif message == "task runs again" and fields.get("outcome") != "returned":
            reruns[key] += 1
        elif message == "job refused":
            result.jobs.append(make_logged_job(at_s, fields, find_refusal_cause(fields)))
        elif message == "job ended":
            _, admission = accepted.pop(key, (None, {}))
            fields = correct_fields({**admission, **fields}, ratios)
            arrived_s = at_s - fields.get("elapsed_ms", 0.0) / 1000
            cause = find_cause(fields, reruns.pop(key, 0))
            result.jobs.append(make_logged_job(arrived_s, fields, cause))
    for at_s, fields in accepted.values():
        if at_s > end_s - UNDECIDED_S:
            result.undecided += 1
        else:
            result.jobs.append(make_logged_job(at_s, fields, NOT_ENDED))


def make_logged_job(arrived_s, fields, cause):
    """Return the `LoggedJob` of a line."""
    return LoggedJob(
        arrived_s,
        fields.get("queue", NOT_LOGGED),
        fields.get("zone", NOT_LOGGED),
        fields.get("priority"),
        fields.get("size_core_ms"),
        cause,
        objective_ms=find_objective_ms(fields),
        by_estimate=fields.get("outcome") == "completed"
        and fields.get("measured_objective_ms") is None,
    )


# Sizes


def classify_sizes(jobs):
    """Set the size class of jobs, by comparison with the others of their queue."""
    sizes = {}
    for job in jobs:
        if job.size_core_ms is not None:
            sizes.setdefault(job.queue, []).append(job.size_core_ms)
    bounds = {queue: (quantile(of, 0.7), quantile(of, 0.9)) for queue, of in sizes.items()}
    for job in jobs:
        if job.size_core_ms is None:
            continue
        lower, upper = bounds[job.queue]
        position = 0 if job.size_core_ms > upper else 1 if job.size_core_ms > lower else 2
        job.size_class = SIZE_CLASSES[position]


def quantile(values, share):
    """Return the largest of the smallest `share` of the values."""
    ordered = sorted(values)
    return ordered[max(0, round(share * len(ordered)) - 1)]


# Tables


def queue_label(job):
    """Return the queue of a job with its priority, as text."""
    return job.queue if job.priority is None else f"{job.queue} (priority {job.priority})"


def sum_core_ms(jobs):
    """Return the core-milliseconds of jobs, those without a logged size as 0."""
    return round(sum(job.size_core_ms or 0 for job in jobs))


def group_by(jobs, key):
    """Return jobs by the value of `key`."""
    groups = {}
    for job in jobs:
        groups.setdefault(key(job), []).append(job)
    return groups


def cause_rows(job_log):
    """Return headers and rows of the table by cause and queue; the last row is the total."""
    queues = sorted({queue_label(job) for job in job_log.jobs})
    groups = group_by(job_log.lost, lambda job: job.cause)
    named = [(cause, groups[cause]) for cause in CAUSES if cause in groups]
    rows = []
    for name, jobs in [*named, ("total", job_log.lost)]:
        by_queue = Counter(map(queue_label, jobs))
        rows.append([name, len(jobs), sum_core_ms(jobs), *(by_queue[queue] for queue in queues)])
    return ["cause", "lost", "core-ms lost", *queues], rows


def loss_rows(job_log, key, order=None):
    """Return the rows of a table of jobs and lost jobs by `key`; the last is the total."""
    groups = group_by(job_log.jobs, key)
    names = sorted(groups, key=order.index if order else None)
    rows = []
    for name, jobs in [*((name, groups[name]) for name in names), ("total", job_log.jobs)]:
        lost = [job for job in jobs if job.cause]
        share = len(lost) / len(jobs) if jobs else 0.0
        rows.append([name, len(jobs), len(lost), f"{share:.3f}", sum_core_ms(lost)])
    return rows


def interval_order(jobs):
    """Return the intervals of jobs in order of time."""
    ordered = sorted(jobs, key=lambda job: job.arrived_s)
    return list(dict.fromkeys(job.interval for job in ordered))


def losses_text(job_log):
    """Return the tables of a `JobLog` as text."""
    headers, rows = cause_rows(job_log)
    parts = [tabulate(rows, headers=headers, tablefmt="github")]
    dimensions = (
        ("queue", queue_label, None),
        ("zone of the entry", lambda job: job.zone, None),
        ("size in its queue", lambda job: job.size_class, SIZE_CLASSES),
        ("arrival", lambda job: job.interval, interval_order(job_log.jobs)),
    )
    for title, key, order in dimensions:
        columns = [title, "jobs", "lost", "share", "core-ms lost"]
        table = loss_rows(job_log, key, order)
        parts.append(tabulate(table, headers=columns, tablefmt="github", disable_numparse=True))
    parts.append(notes_text(job_log))
    return "\n\n".join(parts)


def notes_text(job_log):
    """Return what the logs do not tell, as text."""
    unsized = sum(job.size_core_ms is None for job in job_log.jobs)
    by_estimate = sum(job.by_estimate for job in job_log.jobs)
    return (
        "completed jobs without measured run times, whose objective follows from the entry's "
        f"estimate and may call them late in error: {by_estimate}\n"
        f"jobs without a logged size, counted as 0 core-ms: {unsized}; accepted in the last "
        f"{UNDECIDED_S:g} s without an end: {job_log.undecided}; lines dropped by rate: "
        f"{job_log.dropped}; lines not whole: {job_log.unreadable}"
    )
