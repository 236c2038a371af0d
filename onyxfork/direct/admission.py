"""Admission control: which jobs are accepted when there is more work than capacity.

Waiting tasks start by priority and then by latest start. A job is accepted if its tasks can start
in time after the tasks ahead of them, at the rate at which runs of all entries release cores. A job
with little slack is therefore accepted even if much work with more slack is waiting.
"""

from attrs import define

from onyxfork.direct.precedence import priority_index
from onyxfork.direct.workers import MIN_EXPECTED_MS

__all__ = [
    "MIN_RETRY_AFTER_MS",
    "MAX_SLACK_SHARE",
    "MAX_SLACK_SHARE_AT_STARTUP",
    "MAX_SLACK_SHARE_OF_HIGHEST",
    "Capacity",
    "Refusal",
    "predicted_wait_s",
    "check_admission",
    "check_precedence",
]

MAX_SLACK_SHARE = 0.1
"""Upper bound on a job's predicted wait, as a share of its slack. The rest covers later arrivals
with less slack or a higher priority, which start first, wrong estimates and slow workers. If a job
waits longer, some of its tasks run in time and one is late, which wastes the cores that all of them
use."""

MAX_SLACK_SHARE_OF_HIGHEST = 0.5
"""The same bound for a job of the highest priority beside others: its tasks start before all that
arrive later with a lower one."""

MAX_SLACK_SHARE_AT_STARTUP = 0.65
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
        ``over share``, ``reserve``, ``wait``, ``tasks`` (the entry has too many) or ``other``.
    """

    reason: str
    retry_after_ms: float = MIN_RETRY_AFTER_MS
    cause: str = "other"


@define(slots=True)
class Capacity:
    """What the workers of a job's service offer, in thousandths of a core.

    Parameters
    ----------
    free : float
        Free now, counted in whole tasks of the job's size on the workers that such a task fits.
    queued : float
        Needed by the runs of all entries that are queued at agents.
    released_per_s : float
        Released per second by the runs of all entries.
    """

    free: float
    queued: float
    released_per_s: float


def predicted_wait_s(job, waiting, capacity):
    """Return the expected wait until the last task of a job starts, dependencies aside.

    Parameters
    ----------
    job : Job
    waiting : iterable of Task
        Tasks of this entry that wait for free capacity.
    capacity : Capacity

    Returns
    -------
    float
        Seconds; 0 if what waits and the job fit into what is free.

    Notes
    -----
    The cores that are missing become available as runs end, those that start now on free cores
    included. Late tasks count although they start after this job's tasks: they belong to jobs that
    have already started, and as long as there are any, more work has been accepted than there is
    capacity for.
    """
    own_key = min(map(job.start_key, job.tasks))
    needed = job.waiting_millicores + capacity.queued
    needed += sum(task.spec.cpu for task in waiting if task.job.start_key(task) <= own_key)
    missing = needed - capacity.free
    if missing <= 0:
        return 0.0
    run_ms = max(MIN_EXPECTED_MS, max(task.expected_ms for task in job.tasks))
    released_per_s = capacity.released_per_s + 1000 * capacity.free / run_ms
    return missing / max(released_per_s, 1.0)


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
    if not waiting and not capacity.queued:
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
