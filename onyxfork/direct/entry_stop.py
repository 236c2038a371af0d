"""Which jobs an entry still accepts during a planned stop.

Load: clients go on using their connections to an entry that is about to stop. A job that cannot
be expected to end before it is refused at once, so that its caller can try another entry.
"""

import math

from onyxfork.direct.jobs import chain_lengths

__all__ = ["ends_before", "run_time_in_waves_ms"]

STOP_RUN_TIME_FACTOR = 3.0
"""While stopping, a job is accepted only if it would end in time even at this multiple of its
expected run time."""

STOP_MARGIN_S = 0.3
"""Part of a planned stop that is reserved for sending the last answers."""


def ends_before(stop_at, now, steps, workers):
    """Return whether a job can be expected to end before a planned stop does.

    Parameters
    ----------
    stop_at, now : float
        Monotonic seconds.
    steps : list of Step
    workers : iterable of WorkerView
        The workers that are ready.
    """
    run_time_s = run_time_in_waves_ms(steps, list(workers)) / 1000
    return now + STOP_RUN_TIME_FACTOR * run_time_s + STOP_MARGIN_S <= stop_at


def run_time_in_waves_ms(steps, workers):
    """Return the expected run time of a job alone on its workers.

    A step with more tasks than fit at the same time runs in waves.

    Parameters
    ----------
    steps : list of Step
    workers : list of WorkerView

    Returns
    -------
    float
        Milliseconds.
    """
    waves = [math.ceil(step.count / max(1, count_that_fit(step, workers))) for step in steps]
    expected_ms = [step.expected_ms * number for step, number in zip(steps, waves, strict=True)]
    return max(chain_lengths(steps, expected_ms))


def count_that_fit(step, workers):
    """Return how many tasks of a step fit the workers at the same time when nothing else runs."""
    return sum(
        count_on_worker(step, worker.status) for worker in workers if worker.fits_when_empty(step)
    )


def count_on_worker(step, status):
    """Return how many tasks of a step fit the whole capacity in a worker's report."""
    needs = (status.cpu, step.cpu), (status.memory_mb, step.memory_mb), (status.gpu, step.gpu)
    limits = [capacity // need for capacity, need in needs if need]
    if step.max_per_worker:
        limits.append(step.max_per_worker)
    return min(limits, default=step.count)
