"""Run times that an entry expects: callers' estimates, corrected by what runs took.

An estimate is off by much for a single job, and run times of a queue have a spread of their own, so
the best guess lies between the estimate and the queue's usual run time. Where it lies is learned:
the logarithm of the run time is fitted to that of the estimate, by a line, for each queue.
"""

import math

from attrs import define

__all__ = ["EstimateTable"]

MOMENT_EMA_WEIGHT = 0.01
"""Weight of the latest run in a queue's averages; a hundred runs are a few seconds of work."""

MIN_RUNS = 50
"""Until a queue has had this many runs, estimates are taken as they are."""

MIN_RUN_MS = 1.0


@define
class LogLinearFit:
    """Moments of the logarithms of estimates (x) and run times (y) of one queue."""

    count: int = 0
    x: float = 0.0
    y: float = 0.0
    xx: float = 0.0
    xy: float = 0.0

    def add_run(self, x, y):
        """Take one run."""
        self.count += 1
        weight = max(MOMENT_EMA_WEIGHT, 1 / self.count)
        dx, dy = x - self.x, y - self.y
        self.x += weight * dx
        self.y += weight * dy
        self.xx += weight * ((1 - weight) * dx * dx - self.xx)
        self.xy += weight * ((1 - weight) * dx * dy - self.xy)

    def predict(self, x):
        """Return the expected y; its slope lies between 0 and 1."""
        slope = self.xy / self.xx if self.xx > 0 else 1.0
        return self.y + min(1.0, max(0.0, slope)) * (x - self.x)


class EstimateTable:
    """Expected run times by queue."""

    def __init__(self):
        self.fits = {}

    def record_run(self, queue, estimate_ms, run_ms):
        """Take the run time of a task that is done."""
        fit = self.fits.setdefault(queue, LogLinearFit())
        fit.add_run(math.log(max(MIN_RUN_MS, estimate_ms)), math.log(max(MIN_RUN_MS, run_ms)))

    def predict_run_ms(self, queue, estimate_ms):
        """Return the expected run time of a task (milliseconds)."""
        fit = self.fits.get(queue)
        if fit is None or fit.count < MIN_RUNS or not estimate_ms:
            return estimate_ms
        return math.exp(fit.predict(math.log(max(MIN_RUN_MS, estimate_ms))))
