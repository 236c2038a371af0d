"""Crashes of workers, and how many of them each task may cause.

A task may crash every worker that starts it. A run that is lost with its worker therefore counts
against its task. Most runs that are lost are bystanders, so a task is given up early only if it had
just started in each crash: a *suspect*. Agents count, because only they know the ages of runs, and
tell every connected entry, so that the count outlives the entry that ordered the run.
"""

from attrs import define, field

from onyxfork.direct.messages import CrashCount
from onyxfork.direct.runs import QUEUED

__all__ = [
    "Silence",
    "CrashTable",
    "find_exposed",
    "find_suspects",
    "count_crash",
    "describe_runs",
    "is_exhausted",
    "SUSPECT_AGE_S",
]

SUSPECT_AGE_S = 0.05
"""A run at most this old when its worker fell silent is a suspect. A task that fails to load ends
its worker within some 10 ms of its start."""

MAX_SUSPECTED_CRASHES = 2
"""A task is given up after it was a suspect in this many crashes."""

MAX_CRASHES = 4
"""A task is given up after this many crashes, whatever its age in them. The platform allows two
more starts after three crashes."""

RECORD_RETENTION_S = 60.0
"""How long a task's count is kept after its latest crash; longer than callers wait for jobs."""

MAX_RECORDS = 1024
"""Upper bound on the tasks that a process keeps counts of."""

MAX_RUNS_LOGGED = 50
"""Upper bound on the runs named in one log line."""


@define(slots=True, frozen=True)
class Silence:
    """When a worker stopped answering: not before `start` and not after `end`.

    Both are monotonic seconds; they are equal if a connection broke at that time.
    """

    start: float
    end: float

    def age_s(self, run):
        """Return the age of a run when the worker fell silent; at least 0."""
        return max(0.0, self.start - run.ordered_at)


def find_exposed(runs, silence):
    """Return the runs that the worker may have started before it fell silent.

    An order that was sent when the worker may have been silent, and was not answered, is not
    taken to have arrived: if the worker was cut off, it has crashed without any part in it.

    Parameters
    ----------
    runs : iterable of Run
    silence : Silence

    Returns
    -------
    list of Run
        The youngest first.
    """
    exposed = [
        run
        for run in runs
        if run.state != QUEUED
        and run.ordered_at <= (silence.end if run.start_is_answered else silence.start)
    ]
    return sorted(exposed, key=silence.age_s)


def find_suspects(exposed, silence):
    """Return the runs that may have crashed the worker by being started.

    A run that was a suspect before starts apart from other runs, so it is the only suspect if it is
    young. Without a broken connection that dates the crash there are none: the worker may have been
    cut off and have crashed later, for any reason.

    Parameters
    ----------
    exposed : list of Run
    silence : Silence

    Returns
    -------
    list of Run
    """
    if silence.end - silence.start > SUSPECT_AGE_S:
        return []
    young = [run for run in exposed if silence.age_s(run) <= SUSPECT_AGE_S]
    return [run for run in young if run.order.suspected] or young


def count_crash(exposed, suspects):
    """Return the `CrashCount` of each run to which one more crash is attributed.

    These are all exposed runs, or only the suspects if they were suspects before: the crash is
    explained then, and the other runs had no part in it.
    """
    if any(run.order.suspected for run in suspects):
        exposed = suspects
    return [
        CrashCount(
            run.order.job,
            run.order.step,
            run.order.index,
            run.order.crashes + 1,
            run.order.suspected + (run in suspects),
        )
        for run in exposed
    ]


def describe_runs(runs, suspects, silence):
    """Return a text for each run: task, number, age in milliseconds, and if it is a suspect."""
    texts = []
    for run in runs[:MAX_RUNS_LOGGED]:
        job, step, index = run.key
        age_ms = round(silence.age_s(run) * 1000)
        mark = " suspect" if run in suspects else ""
        texts.append(f"{job}.{step}.{index} run {run.order.run} age {age_ms}{mark}")
    return texts


def is_exhausted(counted):
    """Return whether a task must not be started again.

    Parameters
    ----------
    counted : Task or CrashCount
    """
    return counted.suspected >= MAX_SUSPECTED_CRASHES or counted.crashes >= MAX_CRASHES


@define(eq=False)
class CrashTable:
    """Crashes by task, bounded in number and age.

    Attributes
    ----------
    counts : dict
        `CrashCount` and the time of its latest change by task key, the oldest change first.
    """

    counts: dict = field(factory=dict)

    def update(self, counts, now):
        """Apply counts; of two counts of a task the higher ones are kept."""
        for count in counts:
            key = (count.job, count.step, count.index)
            known, _ = self.counts.pop(key, (count, now))
            count.crashes = max(count.crashes, known.crashes)
            count.suspected = max(count.suspected, known.suspected)
            self.counts[key] = count, now
        self.drop_old(now)

    def drop_old(self, now):
        """Drop the counts that are too old or too many."""
        while self.counts:
            key, (_, changed_at) = next(iter(self.counts.items()))
            if len(self.counts) <= MAX_RECORDS and now - changed_at <= RECORD_RETENTION_S:
                return
            del self.counts[key]

    def recent(self, now):
        """Return all counts that are not too old."""
        self.drop_old(now)
        return [count for count, _ in self.counts.values()]

    def apply_to(self, job):
        """Set the counts of the tasks of a new job; return whether there are any."""
        found = False
        for task in job.tasks if self.counts else ():
            entry = self.counts.get((job.id, task.step, task.index))
            if entry is not None:
                task.record_crashes(entry[0])
                found = True
        return found
