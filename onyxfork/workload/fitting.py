"""Linear fits of cost over size, and measurement of processor time and memory."""

import gc
import time
import tracemalloc

import numpy as np
from attrs import define

__all__ = ["Slope", "fit_line", "min_processor_us", "measure_held_bytes"]

REPEATS = 3
"""Number of times that work is timed; the shortest time counts."""


@define
class Slope:
    """A line fitted through costs over sizes.

    Parameters
    ----------
    name, unit : str
    per_unit : float
        Cost per unit of size, the slope of the line.
    fixed : float
        Cost at size 0, the intercept of the line.
    spread : float
        Standard error of the slope divided by the slope.
    points : list of (float, float)
        Pairs of size and cost.
    """

    name: str
    unit: str
    per_unit: float
    fixed: float
    spread: float
    points: list


def fit_line(name, unit, points):
    """Fit a line through (size, cost) points by least squares."""
    sizes, costs = np.array(points, dtype=float).T
    per_unit, fixed = np.polyfit(sizes, costs, 1)
    residual = costs - (per_unit * sizes + fixed)
    degrees_of_freedom = max(1, len(points) - 2)
    error = np.sqrt(residual @ residual / degrees_of_freedom / ((sizes - sizes.mean()) ** 2).sum())
    spread = abs(error / per_unit) if per_unit else 0.0
    rounded = [(float(size), round(float(cost), 3)) for size, cost in points]
    return Slope(name, unit, float(per_unit), float(fixed), float(spread), rounded)


def min_processor_us(work):
    """Return the shortest processor time of a call over `REPEATS` calls, in microseconds."""
    times = []
    for _ in range(REPEATS):
        gc.collect()
        began = time.process_time_ns()
        work()
        times.append((time.process_time_ns() - began) / 1000)
    return min(times)


def measure_held_bytes(build, size):
    """Return the memory in bytes held by the object that `build(size)` returns."""
    gc.collect()
    tracemalloc.start()
    built = build(size)
    gc.collect()
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del built
    return held
