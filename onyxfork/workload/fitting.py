"""Lines fitted through costs over sizes, and how costs are taken."""

import gc
import time
import tracemalloc

import numpy as np
from attrs import define

__all__ = ["Slope", "fit", "processor_us", "held_bytes"]

REPEATS = 3


@define
class Slope:
    """A fitted line.

    Parameters
    ----------
    name, unit : str
    per_unit : float
        The slope.
    fixed : float
        The intercept.
    spread : float
        Standard error of the slope over the slope.
    points : list of (float, float)
    """

    name: str
    unit: str
    per_unit: float
    fixed: float
    spread: float
    points: list


def fit(name, unit, points):
    """Return the line through (size, cost) points."""
    sizes, costs = np.array(points, dtype=float).T
    per_unit, fixed = np.polyfit(sizes, costs, 1)
    residual = costs - (per_unit * sizes + fixed)
    freedom = max(1, len(points) - 2)
    error = np.sqrt(residual @ residual / freedom / ((sizes - sizes.mean()) ** 2).sum())
    spread = abs(error / per_unit) if per_unit else 0.0
    rounded = [(float(size), round(float(cost), 3)) for size, cost in points]
    return Slope(name, unit, float(per_unit), float(fixed), float(spread), rounded)


def processor_us(work):
    """Return the least processor time of a call over a few repeats, in microseconds."""
    times = []
    for _ in range(REPEATS):
        gc.collect()
        began = time.process_time_ns()
        work()
        times.append((time.process_time_ns() - began) / 1000)
    return min(times)


def held_bytes(make, size):
    """Return the bytes held by what `make(size)` returns."""
    gc.collect()
    tracemalloc.start()
    kept = make(size)
    gc.collect()
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return held
