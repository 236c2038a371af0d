"""Admission control: which jobs are accepted when there is more work than capacity.

Waiting tasks start in the order of their latest start. A job is accepted if its tasks can start in
time after the work that is due before them, at the rate at which the cores available to this entry
complete work. A job with little slack is therefore accepted even if much work with more slack is
waiting.
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
"""Upper bound on a job's predicted wait, as a share of its slack. The rest covers later arrivals
with less slack, which start first, wrong estimates and slow workers. If a job waits longer,
some of its tasks run in time and one is late, which wastes the cores that all of them use."""

MAX_SLACK_SHARE_AT_STARTUP = 0.6
"""The same bound while workers reconnect after a start, when capacity is still growing."""

MIN_RETRY_AFTER_MS = 1000.0
"""Lower bound on the delay before a caller retries; `Retry-After` is in whole seconds."""


@define(slots=True)
class Refusal:
    """Why a job is not accepted, and after which delay the caller should retry."""

    reason: str
    retry_after_ms: float = MIN_RETRY_AFTER_MS


def predicted_wait_s(job, waiting, millicores):
    """Return the expected wait until the last task of a job starts, dependencies aside.

    Parameters
    ----------
    job : Job
    waiting : iterable of Task
        Tasks of this entry that wait for free capacity.
    millicores : float
        Thousandths of a core that this entry's tasks use or could use now.

    Returns
    -------
    float
        Seconds; 0 when nothing waits.

    Notes
    -----
    Late tasks count although they start after this job's tasks: they belong to jobs that have
    already started, and as long as there are any, more work has been accepted than there is
    capacity for. A single task starts as soon as there is free capacity; the last of several also
    waits for the others.
    """
    latest_start = min(job.latest_start(task) for task in job.tasks)
    work_millicore_ms = 0.0
    for task in waiting:
        if task.job.latest_start(task) <= latest_start:
            work_millicore_ms += task.spec.cpu * task.expected_ms
    if not work_millicore_ms:
        return 0.0
    if len(job.tasks) > 1:
        work_millicore_ms += sum(task.spec.cpu * task.expected_ms for task in job.tasks)
    return work_millicore_ms / max(millicores, 1.0) / 1000


def check_admission(job, waiting, millicores, now, max_slack_share=MAX_SLACK_SHARE):
    """Return the `Refusal` of a job, or None if it is accepted.

    Parameters
    ----------
    job : Job
    waiting : collection of Task
    millicores : float
        Thousandths of a core that this entry's tasks use or could use now.
    now : float
        Monotonic seconds.
    max_slack_share : float
        Upper bound on the predicted wait, as a share of the job's slack.

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
