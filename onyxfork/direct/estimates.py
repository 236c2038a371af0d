"""Expected run times: callers' estimates, corrected by measured run times.

Single estimates have large errors, and the run times of a queue vary, so the best prediction lies
between the estimate and the queue's usual run time. For each queue, the logarithm of the run time
is fitted to the logarithm of the estimate by linear regression.
"""

import math

from attrs import define

__all__ = ["EstimateTable"]

MOMENT_EMA_WEIGHT = 0.01
"""Weight of the latest run in the exponential moving averages of a queue; a hundred runs are a few
seconds of work."""

MIN_RUNS = 50
"""Below this number of runs of a queue, estimates are not corrected."""

MIN_RUN_MS = 1.0
"""Lower bound on estimates and run times before their logarithms are taken."""


@define
class LogLinearFit:
    """Linear regression of log run time (y) on log estimate (x), for one queue.

    Parameters
    ----------
    count : int
        Number of runs.
    mean_x, mean_y : float
        Exponential moving averages of x and y.
    variance_x, covariance : float
        Exponentially weighted variance of x and covariance of x and y.
    """

    count: int = 0
    mean_x: float = 0.0
    mean_y: float = 0.0
    variance_x: float = 0.0
    covariance: float = 0.0

    def add_run(self, x, y):
        """Add the logarithms of one run's estimate and run time."""
        self.count += 1
        weight = max(MOMENT_EMA_WEIGHT, 1 / self.count)
        dx, dy = x - self.mean_x, y - self.mean_y
        self.mean_x += weight * dx
        self.mean_y += weight * dy
        self.variance_x += weight * ((1 - weight) * dx * dx - self.variance_x)
        self.covariance += weight * ((1 - weight) * dx * dy - self.covariance)

    def predict(self, x):
        """Return the expected y for x; the slope is clamped to the range from 0 to 1."""
        slope = self.covariance / self.variance_x if self.variance_x > 0 else 1.0
        return self.mean_y + min(1.0, max(0.0, slope)) * (x - self.mean_x)


class EstimateTable:
    """Expected run times by queue."""

    def __init__(self):
        self.fits = {}

    def record_run(self, queue, estimate_ms, run_ms):
        """Add the run time of a completed task."""
        fit = self.fits.setdefault(queue, LogLinearFit())
        fit.add_run(math.log(max(MIN_RUN_MS, estimate_ms)), math.log(max(MIN_RUN_MS, run_ms)))

    def predict_run_ms(self, queue, estimate_ms):
        """Return the expected run time of a task (milliseconds)."""
        fit = self.fits.get(queue)
        if fit is None or fit.count < MIN_RUNS or not estimate_ms:
            return estimate_ms
        return math.exp(fit.predict(math.log(max(MIN_RUN_MS, estimate_ms))))
