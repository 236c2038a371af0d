"""Which worker gets a task."""

__all__ = ["choose_worker", "can_ever_run", "FAULTY_FAILURE_SHARE"]

RUN_TIME_WEIGHT = 0.5
"""How much of a worker's relative pace counts: an objective leaves room for the slower ones, and if
every entry chose the fastest they would all find it full."""

UTILISATION_WEIGHT = 0.5
"""Run times that a full worker counts as slower than an empty one; spreads the work."""

HIGH_UTILISATION_SHARE = 0.75
"""Above this share of use a worker's room may be gone before an order arrives."""

HIGH_UTILISATION_WEIGHT = 1.0
"""Run times that a worker counts as slower, besides, when its last room is used."""

JITTER_SHARE = 0.1
"""Share of a run time that is drawn at random, so that entries with the same view part ways."""

REMOTE_RACK_FACTOR = 1.5
"""Run time away from the rack that holds a task's data, in multiples of that on it."""

FAILURE_PENALTY = 4.0
"""Run times that a failing worker counts as slower, times the share of its runs that failed."""

FAULTY_FAILURE_SHARE = 0.5
"""Share of failed runs from which a worker, not its tasks, is taken to be at fault."""

PROBATION_FAILURE_SHARE = 0.2
"""Above this share of failed runs an entry has one task at a time on a worker."""

SUSPECT_RUN_TIME_FACTOR = 1.8
"""A worker this many times slower than the middle one gets one task at a time of an entry; sound
workers are closer together."""

SLOW_RUN_TIME_FACTOR = 2.0
"""A worker this many times slower than the middle one gets only tasks that are on time there."""


def can_ever_run(step, service, views):
    """Return whether any known worker of a service is large enough for a task of `step`."""
    known = [view for view in views if view.status is not None]
    return any(view.status.service == service and view.fits_when_empty(step) for view in known)


def placement_cost(task, view, pace, rng, now):
    """Return the expected run time of a task on a worker, in multiples of its estimate."""
    step, status = task.spec, view.status
    value = RUN_TIME_WEIGHT * pace.relative_run_time(view)
    if step.rack and step.rack not in status.labels:
        value *= REMOTE_RACK_FACTOR
    if status.cpu:
        used = 1 - view.cpu_free / status.cpu
        value += UTILISATION_WEIGHT * used
        value += (
            HIGH_UTILISATION_WEIGHT
            * max(0.0, used - HIGH_UTILISATION_SHARE)
            / (1 - HIGH_UTILISATION_SHARE)
        )
    value += FAILURE_PENALTY * status.failure_share
    if view.avoid_until > now or view.node in task.avoid:
        value += FAILURE_PENALTY
    return value + JITTER_SHARE * rng.random()


def choose_worker(task, views, pace, rng, now):
    """Return the worker with room on which a task would end first, or None.

    Parameters
    ----------
    task : Task
    views : iterable of WorkerView
    pace : PaceTable
    rng : random.Random
    now : float
        Monotonic seconds.

    Returns
    -------
    WorkerView or None
    """
    best, best_cost = None, float("inf")
    step, service = task.spec, task.job.request.queue.service
    for view in views:
        if not view.is_ready or view.status.service != service:
            continue
        if not view.fits_now(step) or not is_acceptable(task, view, pace, now):
            continue
        if step.max_per_worker and count_step_tasks(task, view) >= step.max_per_worker:
            continue
        value = placement_cost(task, view, pace, rng, now)
        if value < best_cost:
            best, best_cost = view, value
    return best


def is_acceptable(task, view, pace, now):
    """Return whether a worker may be trusted with a task; waiting for another is better if not."""
    failing = view.status.failure_share
    if failing >= FAULTY_FAILURE_SHARE or (failing >= PROBATION_FAILURE_SHARE and view.tasks):
        return False
    relative = pace.relative_run_time(view)
    if relative >= SUSPECT_RUN_TIME_FACTOR and view.tasks:
        return False
    ends_at = now + relative * task.expected_ms / 1000
    return relative < SLOW_RUN_TIME_FACTOR or ends_at <= task.job.due_at


def count_step_tasks(task, view):
    """Return how many tasks of the same step are at a worker."""
    return sum(1 for job, step, _ in view.tasks if job == task.job.id and step == task.step)
