"""Evidence on what a worker's crash is due to: when it happened and which runs the worker held."""

from attrs import define

from onyxfork.direct.runs import QUEUED

__all__ = ["Silence", "find_exposed", "describe_runs"]

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

    Parameters
    ----------
    runs : iterable of Run
    silence : Silence

    Returns
    -------
    list of Run
        The youngest first.
    """
    exposed = [run for run in runs if run.state != QUEUED and run.ordered_at <= silence.end]
    return sorted(exposed, key=silence.age_s)


def describe_runs(runs, silence):
    """Return one text for each run: its task, its number and its age in milliseconds."""
    texts = []
    for run in runs[:MAX_RUNS_LOGGED]:
        job, step, index = run.key
        age_ms = round(silence.age_s(run) * 1000)
        texts.append(f"{job}.{step}.{index} run {run.order.run} age {age_ms}")
    return texts
