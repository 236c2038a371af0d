"""Choice of a full worker for a task that precedes what runs there.

An agent starts queued runs by precedence as soon as cores become free. A task that precedes other
work on a worker therefore starts sooner there than after the next report.
"""

from onyxfork.direct.placement import count_step_tasks, highest_timely_ratio, is_acceptable
from onyxfork.direct.precedence import priority_index

__all__ = ["choose_worker_to_queue_at"]


def choose_worker_to_queue_at(task, views, use, baseline, rng, now):
    """Return the worker whose agent is expected to start a task soonest, or None.

    Candidates have no room for the task; those with room are left to placement, which has rejected
    them. They run work of a lower priority, unless the job's own priority uses less than it is
    guaranteed. They have no more than two tasks queued afterwards, one of which another entry may
    have sent at the same time.

    Parameters
    ----------
    task : Task
    views : iterable of WorkerView
    use : PriorityUse
    baseline : RunTimeBaseline
    rng : random.Random
    now : float
        Monotonic seconds.

    Returns
    -------
    WorkerView or None
    """
    step, index = task.spec, priority_index(task.job.priority)
    has_guarantee = use.has_guarantee(task.job)
    service_baseline = baseline.of_service(task.job.request.queue.service)
    timely_ratio = longest_accepted_ratio(task, service_baseline, now)
    best, best_cost = None, float("inf")
    for view in views:
        status = view.status
        if status is None or not -step.cpu <= view.cpu_free < step.cpu:
            continue
        if view.ratio > timely_ratio:
            continue
        if not has_guarantee and use.lower_cores(view, index, now) < step.cpu:
            continue
        if not may_queue_at(task, view) or not is_acceptable(task, view, baseline, now):
            continue
        wait_ms = use.expected_queue_ms(step.cpu - view.cpu_free, view, now)
        # The jitter spreads the tasks of entries that have the same reports.
        cost = wait_ms * baseline.relative_run_time(view) * (1 + rng.random())
        if cost < best_cost:
            best, best_cost = view, cost
    return best


def longest_accepted_ratio(task, baseline, now):
    """Return the highest run time ratio of workers that placement accepts for a task.

    `baseline` is the `ServiceBaseline` of the task's service.

    Placement prefers to wait for a worker on which the task would be on time.
    """
    if not baseline.is_uneven or task.spec.label or task.spec.rack:
        return float("inf")
    timely_ratio = highest_timely_ratio(task, now)
    return timely_ratio if timely_ratio >= baseline.median_expected else float("inf")


def may_queue_at(task, view):
    """Return whether a task may queue at the agent of a worker without room."""
    step, status = task.spec, view.status
    if not view.is_ready or status.service != task.job.request.queue.service:
        return False
    if view.node in task.avoid or not view.fits_when_empty(step):
        return False
    if step.memory_mb > status.memory_free - view.pending_memory:
        return False
    if step.gpu > status.gpu_free - view.pending_gpu:
        return False
    return not step.max_per_worker or count_step_tasks(task, view) < step.max_per_worker
