"""Usual speed of a worker, learnt by its agent from the run times of ended runs.

The recent average of run times tells how fast the worker is now; compared with the usual one it
tells a worker that has become slow from one that is slow by build.
"""

import math

from attrs import define

__all__ = ["UsualSpeed"]

USUAL_EMA_WEIGHT = 0.004
"""Weight of the latest run in the usual average after the first runs."""

MIN_RUNS = 30
"""Runs from which the usual ratio is known to about 10 %."""

CHANGE_FACTOR = 1.3
"""From this multiple of the usual ratio the recent one may show a change of speed: the usual one
then moves slowly, or else it would follow a worker that falls to half its speed early in its life
before the recent average has shown the fall."""

MIN_RATIO, MAX_RATIO = 0.1, 10.0
"""Bounds on the ratio of one run, so that a single wrong estimate doesn't spoil the average."""


@define
class UsualSpeed:
    """Average run time ratio of one lifetime of a worker.

    A ratio is run time over expected run time, so the ratio of a worker of half the speed is
    twice as high. The first runs of a lifetime all have the same weight.

    Parameters
    ----------
    count : int
        Number of runs.
    log_ratio : float
        Moving average of the logarithm of the ratio.
    """

    count: int = 0
    log_ratio: float = 0.0

    @property
    def ratio(self):
        """Usual run time ratio; 1 before the first run."""
        return math.exp(self.log_ratio)

    def record(self, ratio, recent_ratio):
        """Add the ratio of one run that has ended.

        Parameters
        ----------
        ratio : float
        recent_ratio : float
            The recent average that includes this run.
        """
        self.count += 1
        weight = max(USUAL_EMA_WEIGHT, 1 / self.count)
        if self.count > MIN_RUNS and recent_ratio >= CHANGE_FACTOR * self.ratio:
            weight = USUAL_EMA_WEIGHT
        log_ratio = math.log(min(MAX_RATIO, max(MIN_RATIO, ratio)))
        self.log_ratio += weight * (log_ratio - self.log_ratio)
