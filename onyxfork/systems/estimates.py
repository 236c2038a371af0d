"""Expected run times of tasks, estimated from the run times of earlier ones.

Declared run times are often far off, so the average ratio of actual to declared run time is learned
for each job. For a task without a declared run time the average of its job is used.
"""

from onyxfork.entities.dispatch import RunTimes

__all__ = ["expected_ms", "learn_run_time", "job_key"]

MIN_RUN_TIME_EMA_WEIGHT = 0.05
"""Lower bound on the weight of a new sample; the first samples weigh more, as in a plain mean."""

MAX_RUN_TIME_RATIO = 100.0
"""Upper bound on actual to declared run time of one sample."""

DEFAULT_RUN_MS = 300.0
"""Expected run time without a declared one until the first task of the job has ended."""


def job_key(request):
    """Return the key of a request's job in the table of run times."""
    return (request.organisation, request.service, request.job)


def expected_ms(state, request, index):
    """Return the expected run time of one task in milliseconds."""
    declared = request.run_ms[index]
    learned = state.run_times.get(job_key(request))
    if declared > 0:
        return declared * (learned.ratio if learned else 1.0)
    return learned.mean_ms if learned else DEFAULT_RUN_MS


def learn_run_time(state, request, index, run_ms):
    """Update the estimates of a job with the run time of a finished task.

    Returns
    -------
    float
        Actual run time over the one expected before this update.
    """
    key = job_key(request)
    declared = request.run_ms[index]
    learned = state.run_times.get(key)
    if learned is None:
        learned = state.run_times[key] = RunTimes(mean_ms=run_ms)
        expected = declared or DEFAULT_RUN_MS
    else:
        expected = declared * learned.ratio if declared > 0 else learned.mean_ms
    learned.samples += 1
    weight = max(MIN_RUN_TIME_EMA_WEIGHT, 1 / learned.samples)
    learned.mean_ms += weight * (run_ms - learned.mean_ms)
    if declared > 0:
        ratio = min(run_ms / declared, MAX_RUN_TIME_RATIO)
        learned.ratio += weight * (ratio - learned.ratio)
    return run_ms / max(expected, 0.001)
