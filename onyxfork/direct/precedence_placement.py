"""Choice of a full worker for a task that precedes what runs there.

An agent starts queued runs by precedence as soon as cores become free. A task that precedes other
work on a worker therefore starts sooner there than after the next report.
"""

from onyxfork.direct.placement import count_step_tasks, is_acceptable
from onyxfork.direct.precedence import priority_index

__all__ = ["choose_worker_to_queue_at"]


def choose_worker_to_queue_at(task, views, use, baseline, rng, now):
    """Return the worker whose agent is expected to start a task soonest, or None.

    Candidates run work of a lower priority, unless the job's own priority uses less than it is
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
    has_guarantee = use.has_guarantee(task.job)
    best, best_cost = None, float("inf")
    for view in views:
        if not may_queue_at(task, view, has_guarantee) or not is_acceptable(
            task, view, baseline, now
        ):
            continue
        wait_ms = use.expected_queue_ms(task.spec.cpu - view.cpu_free, view)
        # The jitter spreads the tasks of entries that have the same reports.
        cost = wait_ms * baseline.relative_run_time(view) * (1 + rng.random())
        if cost < best_cost:
            best, best_cost = view, cost
    return best


def may_queue_at(task, view, has_guarantee):
    """Return whether a task may queue at the agent of a worker."""
    step = task.spec
    if not view.is_ready or view.status.service != task.job.request.queue.service:
        return False
    if view.cpu_free < -step.cpu or view.node in task.avoid or not view.fits_when_empty(step):
        return False
    status = view.status
    if step.memory_mb > status.memory_free - view.pending_memory:
        return False
    if step.gpu > status.gpu_free - view.pending_gpu:
        return False
    if step.max_per_worker and count_step_tasks(task, view) >= step.max_per_worker:
        return False
    lower = status.cpu_by_priority[priority_index(task.job.priority) + 1 :]
    return has_guarantee or sum(lower) >= step.cpu
