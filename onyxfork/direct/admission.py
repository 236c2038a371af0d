"""Which jobs are taken when there is more work than room.

Waiting tasks are started in the order of their latest start. A job is taken when the work that
would start before its tasks, and its own, can begin in time at the rate at which this entry's work
ends; so work with little slack is taken although much work with more slack waits.
"""

from attrs import define

__all__ = [
    "MIN_RETRY_AFTER_MS",
    "MAX_SLACK_SHARE",
    "MAX_SLACK_SHARE_AT_STARTUP",
    "Refusal",
    "predicted_wait_s",
    "check_admission",
]

MAX_SLACK_SHARE = 0.3
"""Share of a job's slack that its predicted wait may use. The rest is for work with less slack that
comes after it and starts before it, for estimates that are off, and for slower workers: of a job
that waits longer, some tasks run in time and one is late, and all of its room is wasted."""

MAX_SLACK_SHARE_AT_STARTUP = 0.6
"""The same while workers come back after a start, when there is more room every moment."""

MIN_RETRY_AFTER_MS = 1000.0
"""A caller is not asked back sooner than this; `Retry-After` counts whole seconds."""


@define(slots=True)
class Refusal:
    """Why a job is not taken, and when it would have a chance."""

    reason: str
    retry_after_ms: float = MIN_RETRY_AFTER_MS


def predicted_wait_s(job, waiting, millicores):
    """Return how long until the last task of a job that could start now would start.

    Parameters
    ----------
    job : Job
    waiting : iterable of Task
        Tasks of this entry that have no room yet.
    cores : float
        Thousandths of a core that this entry's tasks occupy or could occupy now.

    Returns
    -------
    float
        Seconds; 0 when nothing waits.

    Notes
    -----
    Tasks that are late already count, although they start after this job's: they are what is left
    of jobs that have begun, and as long as there are any the room is not enough for what was taken.
    A single task starts with the first room; of several, the last one waits for the others too.
    """
    latest = min(job.latest_start(task) for task in job.tasks)
    work = 0.0
    for task in waiting:
        if task.job.latest_start(task) <= latest:
            work += task.spec.cpu * task.expected_ms
    if not work:
        return 0.0
    if len(job.tasks) > 1:
        work += sum(task.spec.cpu * task.expected_ms for task in job.tasks)
    return work / max(millicores, 1.0) / 1000


def check_admission(job, waiting, millicores, now, max_slack_share=MAX_SLACK_SHARE):
    """Return why a job is refused, or None when it is taken.

    Parameters
    ----------
    job : Job
    waiting : collection of Task
    cores : float
    now : float
    margin : float
        Share of the job's slack that its predicted wait may use.

    Returns
    -------
    Refusal or None
    """
    if not waiting:
        return None
    wait_s = predicted_wait_s(job, waiting, millicores)
    slack_s = min(job.latest_start(task) for task in job.tasks) - now
    allowed_s = max_slack_share * slack_s
    if wait_s <= allowed_s:
        return None
    excess_ms = (wait_s - allowed_s) * 1000
    reason = f"would wait {wait_s * 1000:.0f} ms of {allowed_s * 1000:.0f} ms allowed"
    return Refusal(reason, max(MIN_RETRY_AFTER_MS, excess_ms))
