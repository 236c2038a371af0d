"""Detection of stalled runs and of slow workers from the progress of runs.

Progress increases in whole percents and is read about ten times a second. A run is therefore
assessed only once it should have made substantial progress.
"""

import math
from collections import deque
from statistics import median

from attrs import define, field

from onyxfork.direct.runs import RUNNING

__all__ = [
    "StallHistory",
    "find_stalled",
    "median_run_time_ratio",
    "add_to_log_ratio",
    "include_projections",
    "find_runs_to_restart",
]

MIN_AGE_S = 0.1
"""Minimum age of a run that is assessed. Progress of a younger run may have been read before its
start."""

NO_PROGRESS_RUN_TIME_SHARE = 0.25
"""A run whose progress is still 0 % after this share of its estimated run time has stalled.
Estimates are not wrong by so much, and even a slow worker makes some progress."""

STALL_TIMEOUT_S = 0.6
"""A run whose progress has not increased for this long has stalled, whatever progress it made
before."""

MIN_RUNS = 3
"""Minimum number of runs for the median run time ratio of a worker, because a single estimate may
be wrong by a large factor."""

SLOW_FACTOR = 2.5
"""Run times over their estimates from which a worker counts as slow, as a multiple of its usual
ratio if that is above 1; higher than the usual spread of estimates. On a worker below this factor
no run is stopped for being slow."""

MAX_RUN_FACTOR = 2.0
"""Bound on the ratio of one run over the average that it is added to, and on the inverse. Without
it, the runs that take far longer than most through no fault of the worker would degrade it."""

MAX_FINDINGS = 10
"""Number of latest runs from which the share of stalled ones is taken. At two stalled in five, at
least three of ten are soon reached; one in ten leaves the worker in service."""

STALL_WEIGHT = 2.0
"""Failure share over the share of stalled runs. A stalled run says more about its worker than one
that makes progress, because tasks that stall everywhere are rare."""

MAX_STALLED_FAILURE_SHARE = 0.8
"""Upper bound on the failure share that follows from stalled runs, so that it soon decays."""


@define
class StallHistory:
    """The latest runs of a worker that either made progress or stalled.

    Stalled runs of one job count once, because its tasks may hang wherever they run.

    Parameters
    ----------
    findings : deque of str
        Job of each stalled run, empty for a run that made progress.
    """

    findings: deque = field(factory=lambda: deque(maxlen=MAX_FINDINGS))

    @property
    def failure_share(self):
        """Lower bound on the worker's failure share."""
        stalled = sum(1 for job in self.findings if job)
        if not stalled:
            return 0.0
        return min(MAX_STALLED_FAILURE_SHARE, STALL_WEIGHT * stalled / len(self.findings))

    def record_progress(self, run):
        """Record that a run makes progress, the first time that it is found."""
        if not run.found_progressing:
            run.found_progressing = True
            self.findings.append("")

    def record_stall(self, run):
        """Record a stalled run."""
        if run.order.job not in self.findings:
            self.findings.append(run.order.job)


def find_stalled(runs, now):
    """Return the running runs that have stalled.

    Parameters
    ----------
    runs : iterable of Run
    now : float
        Monotonic seconds.

    Returns
    -------
    list of Run
    """
    return [run for run in runs if run.state == RUNNING and is_stalled(run, now)]


def is_stalled(run, now):
    """Return whether a run has made no progress for too long."""
    age_s = run.progress_read_at - run.started_at
    if age_s < MIN_AGE_S:
        return False
    if run.percent == 0:
        return age_s * 1000 >= NO_PROGRESS_RUN_TIME_SHARE * run.order.expected_ms
    return run.progress_read_at - run.progressed_at >= STALL_TIMEOUT_S and run.percent < 100


def projected_run_time_ratio(run):
    """Return a run's projected time over its estimate, or None if it cannot be projected yet."""
    age_s = run.progress_read_at - run.started_at
    if age_s < MIN_AGE_S or run.percent < 1 or not run.order.expected_ms:
        return None
    return age_s * 1000 * 100 / run.percent / run.order.expected_ms


def median_run_time_ratio(runs):
    """Return the median of the runs' projected times over their estimates.

    Returns
    -------
    float or None
        None if fewer than `MIN_RUNS` runs can be projected.
    """
    ratios = [projected_run_time_ratio(run) for run in runs if run.state == RUNNING]
    projected = [ratio for ratio in ratios if ratio is not None]
    return median(projected) if len(projected) >= MIN_RUNS else None


def add_to_log_ratio(log_ratio, weight, ratio):
    """Return a moving average of log run time ratios after the ratio of one more run."""
    change = math.log(ratio) - log_ratio
    bound = math.log(MAX_RUN_FACTOR)
    return log_ratio + weight * min(bound, max(-bound, change))


def include_projections(log_ratio, weight, runs):
    """Return a moving average of log run time ratios as if the running runs had ended.

    A worker that becomes slow ends few runs; the projected times of those that run show it sooner.

    Parameters
    ----------
    log_ratio : float
        Average over the ended runs.
    weight : float
        Weight of one run.
    runs : iterable of Run
    """
    for run in runs:
        ratio = projected_run_time_ratio(run) if run.state == RUNNING else None
        if ratio is not None:
            log_ratio = add_to_log_ratio(log_ratio, weight, ratio)
    return log_ratio


def find_runs_to_restart(runs, worker_ratio, slow_ratio=SLOW_FACTOR):
    """Return the runs on a slow worker that would end sooner if restarted on another worker.

    The projected remaining time of such a run exceeds `SLOW_FACTOR / 2` times its estimate. Started
    anew on a worker of usual speed, it takes about its estimate.

    Parameters
    ----------
    runs : iterable of Run
    worker_ratio : float or None
        Result of :func:`median_run_time_ratio`.
    slow_ratio : float
        Ratio from which the worker counts as slow.

    Returns
    -------
    list of Run
    """
    if worker_ratio is None or worker_ratio < slow_ratio:
        return []
    to_restart = []
    for run in runs:
        ratio = projected_run_time_ratio(run) if run.state == RUNNING else None
        if ratio is not None and ratio * (100 - run.percent) / 100 > SLOW_FACTOR / 2:
            to_restart.append(run)
    return to_restart
