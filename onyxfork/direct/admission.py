"""Admission control: which jobs are accepted when there is more work than capacity.

Waiting tasks start in the order of their latest start. A job is accepted if its tasks can start in
time after the work that is due before them, at the rate at which the cores available to this entry
complete work. A job with little slack is therefore accepted even if much work with more slack is
waiting.
"""

from attrs import define

from onyxfork.direct.precedence import priority_index

__all__ = [
    "MIN_RETRY_AFTER_MS",
    "MAX_SLACK_SHARE",
    "MAX_SLACK_SHARE_AT_STARTUP",
    "Capacity",
    "Refusal",
    "predicted_wait_s",
    "check_admission",
    "check_precedence",
]

MAX_SLACK_SHARE = 0.3
"""Upper bound on a job's predicted wait, as a share of its slack. The rest covers later arrivals
with less slack, which start first, wrong estimates and slow workers. If a job waits longer,
some of its tasks run in time and one is late, which wastes the cores that all of them use."""

MAX_SLACK_SHARE_AT_STARTUP = 0.6
"""The same bound while workers reconnect after a start, when capacity is still growing."""

MIN_RETRY_AFTER_MS = 1000.0
"""Lower bound on the delay before a caller retries; `Retry-After` is in whole seconds."""


PRECEDING_SLACK_SHARE = 0.75
"""Upper bound on the predicted wait of a job that precedes other work, as a share of its slack. Its
tasks start before any that arrive later with a lower priority."""

LOWEST_SLACK_SHARE = 0.15
"""The same bound for the lowest priority under contention: later arrivals of all others start
first."""

MAX_UNTRIED_SLACK_SHARE = 0.7
"""Share of its slack after which a job that higher priorities have kept from starting is refused:
estimates are up to 40 % above the run time, so that 1/1.4 of the expected slack is certain."""


@define(slots=True)
class Refusal:
    """Why a job is not accepted, and after which delay the caller should retry.

    Parameters
    ----------
    reason : str
    retry_after_ms : float
    cause : str
        ``over share``, ``reserve``, ``wait`` or ``other``.
    """

    reason: str
    retry_after_ms: float = MIN_RETRY_AFTER_MS
    cause: str = "other"


@define(slots=True)
class Capacity:
    """What an entry can use, in thousandths of a core.

    Parameters
    ----------
    running : float
        Used by this entry's runs that have started, or are about to.
    free : float
        Free now, counted in whole tasks of the job's size on the workers that such a task fits.
    mean_run_ms : float
        Mean expected run time of the tasks that use `running`.
    """

    running: float
    free: float
    mean_run_ms: float


def predicted_wait_s(job, waiting, capacity):
    """Return the expected wait until the last task of a job starts, dependencies aside.

    Parameters
    ----------
    job : Job
    waiting : iterable of Task
        Tasks of this entry that wait for free capacity, here or at an agent.
    capacity : Capacity

    Returns
    -------
    float
        Seconds; 0 when nothing waits, or when what waits and the job fit into what is free.

    Notes
    -----
    Late tasks count although they start after this job's tasks: they belong to jobs that have
    already started, and as long as there are any, more work has been accepted than there is
    capacity for. A single task starts as soon as there is free capacity; the last of several also
    waits until runs have ended on as many cores as the job needs.
    """
    own_key = min(job.start_key(task) for task in job.tasks)
    work_millicore_ms = millicores_ahead = 0.0
    for task in waiting:
        if task.job.start_key(task) <= own_key:
            work_millicore_ms += task.spec.cpu * task.expected_ms
            millicores_ahead += task.spec.cpu
    if not millicores_ahead:
        return 0.0
    own_millicores = sum(task.spec.cpu for task in job.tasks)
    excess = millicores_ahead + own_millicores - capacity.free
    if excess <= 0:
        return 0.0
    if len(job.tasks) > 1:
        work_millicore_ms += capacity.mean_run_ms * min(own_millicores, excess)
    return work_millicore_ms / max(capacity.running + capacity.free, 1.0) / 1000


def check_admission(job, waiting, capacity, now, max_slack_share=MAX_SLACK_SHARE):
    """Return the `Refusal` of a job, or None if it is accepted.

    Parameters
    ----------
    job : Job
    waiting : collection of Task
    capacity : Capacity
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
    wait_s = predicted_wait_s(job, waiting, capacity)
    slack_s = min(job.latest_start(task) for task in job.tasks) - now
    allowed_s = max_slack_share * slack_s
    if wait_s <= allowed_s:
        return None
    excess_ms = (wait_s - allowed_s) * 1000
    reason = f"would wait {wait_s * 1000:.0f} ms of {allowed_s * 1000:.0f} ms allowed"
    return Refusal(reason, max(MIN_RETRY_AFTER_MS, excess_ms), "wait")


def check_precedence(job, waiting, free, use, now):
    """Return the `Refusal` of a job while queues of several priorities compete, or None.

    Parameters
    ----------
    job : Job
    waiting : iterable of Task
    free : float
        Free thousandths of a core in whole tasks of the job's size.
    use : PriorityUse
    now : float
        Monotonic seconds.
    """
    queue, index = job.request.queue, priority_index(job.priority)
    if use.excess_use(job):
        return Refusal(
            f"queue {queue.name} is over its share: priority {job.priority} uses "
            f"{use.held[index] / 1000:.0f} cores of {use.shares[index] / 1000:.0f}",
            cause="over share",
        )
    own_key = min(map(job.start_key, job.tasks))
    # Tasks of steps that depend on others start when cores of the job are released.
    need = job.waiting_millicores
    need += sum(task.spec.cpu for task in waiting if task.job.start_key(task) <= own_key)
    reserve = use.reserve[index]
    excess = need + reserve - free
    if excess <= 0:
        return None
    precedes = use.has_lower(job.priority)
    rate = use.release_rate(job.priority)
    if use.has_guarantee(job):
        precedes, rate = True, use.release_rate(0)
    wait_s = excess / max(rate, 1.0)
    share = PRECEDING_SLACK_SHARE if precedes else LOWEST_SLACK_SHARE
    allowed_s = share * (min(map(job.latest_start, job.tasks)) - now)
    if wait_s <= allowed_s:
        return None
    reason = (
        f"queue {queue.name} would wait {wait_s * 1000:.0f} ms of {allowed_s * 1000:.0f} ms "
        f"allowed with {reserve / 1000:.0f} cores reserved for higher priorities"
    )
    delay_ms = max(MIN_RETRY_AFTER_MS, (wait_s - allowed_s) * 1000)
    return Refusal(reason, delay_ms, "reserve" if reserve else "wait")
