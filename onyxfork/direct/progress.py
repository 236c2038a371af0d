"""What the progress of runs says about them and about their worker.

Progress grows by whole percents and is read about ten times a second, so a run is judged only once
it should have come far.
"""

from statistics import median

from onyxfork.direct.runs import RUNNING

__all__ = ["find_stalled", "slowdown", "find_outrun"]

LEAST_AGE_S = 0.1
"""A run is judged after this long; progress read earlier may be of the time before its start."""

STALLED_SHARE = 0.25
"""A run that has not come one percent when it should have come this far stands still: no estimate
is that far off, and a slow worker still moves."""

STALLED_S = 0.6
"""A run whose progress has not moved for this long stands still, whatever it has done before."""

FEWEST_RUNS = 3
"""Runs that have to agree before their worker is taken to be slow, because a single estimate may
be off by much."""

SLOW_FACTOR = 2.5
"""Above the spread of estimates; below it a run is left where it is."""


def find_stalled(runs, now):
    """Return the runs that stand still.

    Parameters
    ----------
    runs : iterable of Run
    now : float
        Monotonic seconds.

    Returns
    -------
    list of Run
    """
    return [run for run in runs if run.state == RUNNING and stands_still(run, now)]


def stands_still(run, now):
    """Return whether a run has made no progress although it should have."""
    age_s = run.looked_at - run.started_at
    if age_s < LEAST_AGE_S:
        return False
    if run.percent == 0:
        return age_s * 1000 >= STALLED_SHARE * run.order.expected_ms
    return run.looked_at - run.moved_at >= STALLED_S and run.percent < 100


def projected_ratio(run):
    """Return a run's projected time in multiples of its estimate, or None when it is too early."""
    age_s = run.looked_at - run.started_at
    if age_s < LEAST_AGE_S or run.percent < 1 or not run.order.expected_ms:
        return None
    return age_s * 1000 * 100 / run.percent / run.order.expected_ms


def slowdown(runs):
    """Return the middle of the runs' projected times over their estimates.

    Returns
    -------
    float or None
        None when too few runs can be judged.
    """
    ratios = [projected_ratio(run) for run in runs if run.state == RUNNING]
    known = [ratio for ratio in ratios if ratio is not None]
    return median(known) if len(known) >= FEWEST_RUNS else None


def find_outrun(runs, slowness):
    """Return the runs on a slow worker that would end sooner if begun anew on another.

    Parameters
    ----------
    runs : iterable of Run
    slowness : float or None
        From :func:`slowdown`.

    Returns
    -------
    list of Run
    """
    if slowness is None or slowness < SLOW_FACTOR:
        return []
    outrun = []
    for run in runs:
        ratio = projected_ratio(run) if run.state == RUNNING else None
        if ratio is not None and ratio * (100 - run.percent) / 100 > SLOW_FACTOR / 2:
            outrun.append(run)
    return outrun
