"""Choice of the worker for a task.

Each candidate has a cost: its weighted run time, as a multiple of the median worker's, plus
penalties. The weights and penalties below are in the same unit.
"""

__all__ = [
    "choose_worker",
    "can_ever_run",
    "timely_workers",
    "CROWDED_JITTER_SHARE",
    "JITTER_SHARE",
    "FAULTY_FAILURE_SHARE",
    "PROBATION_FAILURE_SHARE",
]

RUN_TIME_WEIGHT = 0.5
"""Weight of a worker's relative run time. It is below 1 because latency objectives allow for
slower workers, and because the fastest worker would be full if every entry chose it."""

UTILISATION_WEIGHT = 0.5
"""Cost of a full worker compared with an empty one; spreads the work."""

SLOW_WORKER_DISCOUNT = 0.3
"""Subtracted per unit of relative run time where speeds differ and the task is on time on the
worker, so that fast workers stay free for tasks that are on time only there."""

LATE_PENALTY = 2.0
"""Cost of a worker on which the task would be late, where speeds differ; more than a full worker
costs."""

TIMELY_MARGIN_MS = 10.0
"""Time left for messages, the start and the answer when a task is judged to be on time."""

ESTIMATE_ERROR_LOW, ESTIMATE_ERROR_HIGH = 0.7, 1.2
"""Usual bounds on the true run time over the expected one."""

RATIO_ERROR = 1.1
"""Usual bound on a worker's true run time ratio over the one learnt from some hundred runs."""

HIGH_UTILISATION_SHARE = 0.75
"""Above this utilisation a worker may be full before an order arrives."""

HIGH_UTILISATION_WEIGHT = 1.0
"""Additional cost of a full worker; it grows linearly from `HIGH_UTILISATION_SHARE`."""

JITTER_SHARE = 0.1
"""Upper bound on the random part of the cost, so that entries with the same reports choose
different workers."""

CROWDED_JITTER_SHARE = 1.0
"""The same bound while few workers have free capacity: the cost of utilisation would make all
entries choose the same ones."""

REMOTE_RACK_FACTOR = 1.5
"""Run time outside the rack that holds a task's data, as a multiple of the run time inside it."""

REMOTE_ZONE_PENALTY = 0.15
"""Cost of a worker in another availability zone: its messages are slower and may be charged for."""

SAME_JOB_DISCOUNT = 0.06
"""Subtracted for the worker that has just got a task of the same job: one message orders both, and
a job that uses fewer workers is less likely to meet a slow one."""

FAILURE_PENALTY = 4.0
"""Cost of a worker all of whose recent runs failed (scaled by the share that failed), and of a
worker that is to be avoided. For a task that may have crashed a worker, also the cost of a worker
that has another such task."""

FAULTY_FAILURE_SHARE = 0.5
"""From this share of failed runs the worker is considered faulty, not its tasks, and gets no
work."""

PROBATION_FAILURE_SHARE = 0.2
"""From this share of failed runs an entry has at most one task at a time on a worker."""


COLD_PROBE_INTERVAL_S = 0.5
"""While a worker of a restored zone is cold, an entry has one task there until its speed is known,
and one more this long after the latest run, because the worker warms up."""


def can_ever_run(step, service, views):
    """Return whether any known worker of a service is large enough for a task of `step`."""
    reported = [view for view in views if view.status is not None]
    return any(view.status.service == service and view.fits_when_empty(step) for view in reported)


def highest_timely_ratio(task, now):
    """Return the highest run time ratio of a worker on which a task would be on time.

    The latency objective is a fixed time plus a multiple of the job's run time. That multiple is as
    wrong as the expected run time of the task itself, so only the fixed time, less what has passed
    since the arrival, is compared with the bounds on the estimate.

    Parameters
    ----------
    task : Task
    now : float
        Monotonic seconds.
    """
    job, expected_ms = task.job, max(1.0, task.expected_ms)
    fixed_ms = job.request.queue.objective_ms - (now - job.arrived_at) * 1000
    scaled_ms = (job.latest_start(task) - now) * 1000 + expected_ms - fixed_ms
    fixed_ms -= TIMELY_MARGIN_MS
    error = ESTIMATE_ERROR_HIGH if fixed_ms > 0 else ESTIMATE_ERROR_LOW
    return (scaled_ms + fixed_ms / error) / expected_ms / RATIO_ERROR


def timely_workers(job, views, baselines):
    """Return the workers on which all tasks of a job that has just arrived would be on time.

    If these are none, or a worker of usual speed would be late, return all workers of its service.

    Parameters
    ----------
    job : Job
    views : iterable of WorkerView
        Workers that are ready.
    baselines : RunTimeBaseline

    Returns
    -------
    list of WorkerView
    """
    service = job.request.queue.service
    baseline = baselines.of_service(service)
    views = [view for view in views if view.status.service == service]
    if not baseline.is_uneven:
        return views
    timely_ratio = min(highest_timely_ratio(task, job.arrived_at) for task in job.tasks)
    if timely_ratio < baseline.median_expected:
        return views
    return [view for view in views if view.ratio <= timely_ratio] or views


def is_timely_worker(task, view, timely_ratio):
    """Return whether a task fits a ready worker of its service and would be on time there."""
    return (
        view.is_ready
        and view.ratio <= timely_ratio
        and view.status.service == task.job.request.queue.service
        and view.fits_when_empty(task.spec)
    )


def speed_cost(view, baseline, timely_ratio):
    """Return the part of the placement cost that depends on a worker's speed.

    Where speeds differ, the slowest worker on which the task is on time costs least, and then the
    fastest on which it is late.
    """
    relative = baseline.relative_run_time(view)
    if not baseline.is_uneven:
        return RUN_TIME_WEIGHT * relative
    if view.ratio <= timely_ratio:
        weight = RUN_TIME_WEIGHT + SLOW_WORKER_DISCOUNT
        return (RUN_TIME_WEIGHT - weight * baseline.slow_worker_share) * relative
    return LATE_PENALTY + relative


def placement_cost(task, view, baseline, rng, now, zone, timely_ratio, jitter_share):
    """Return the cost of a task on a worker: its expected relative run time plus penalties."""
    step, status = task.spec, view.status
    total = speed_cost(view, baseline, timely_ratio)
    if step.rack and step.rack not in status.labels:
        total += (REMOTE_RACK_FACTOR - 1) * abs(total)
    if status.cpu:
        utilisation = 1 - view.cpu_free / status.cpu
        total += UTILISATION_WEIGHT * utilisation
        total += (
            HIGH_UTILISATION_WEIGHT
            * max(0.0, utilisation - HIGH_UTILISATION_SHARE)
            / (1 - HIGH_UTILISATION_SHARE)
        )
    total += FAILURE_PENALTY * status.failure_share
    if zone and view.zone != zone:
        total += REMOTE_ZONE_PENALTY
    if view.node == task.job.latest_worker:
        total -= SAME_JOB_DISCOUNT
    if view.avoid_until > now or view.node in task.avoid:
        total += FAILURE_PENALTY
    if task.suspected and has_other_suspect(task, view):
        total += FAILURE_PENALTY
    return total + jitter_share * rng.random()


def choose_worker(task, views, baselines, rng, now, zone="", jitter_share=JITTER_SHARE):
    """Return the acceptable worker with free capacity and the lowest cost for a task, or None.

    Parameters
    ----------
    task : Task
    views : iterable of WorkerView
    baselines : RunTimeBaseline
    rng : random.Random
    now : float
        Monotonic seconds.
    zone : str
        Availability zone whose workers are preferred; empty for none.
    jitter_share : float
        Upper bound on the random part of the cost.

    Returns
    -------
    WorkerView or None
    """
    best, best_cost = None, float("inf")
    step, service = task.spec, task.job.request.queue.service
    baseline = baselines.of_service(service)
    timely_ratio = highest_timely_ratio(task, now) if baseline.is_uneven else 0.0
    # Whether a worker of usual speed would be in time, for which it is better to wait.
    can_wait = (
        timely_ratio >= baseline.median_expected
        and not (step.label or step.rack)
        and any(is_timely_worker(task, view, timely_ratio) for view in views)
    )
    for view in views:
        if not view.is_ready or view.status.service != service:
            continue
        if not view.fits_now(step) or not is_acceptable(task, view, baselines, now):
            continue
        if can_wait and view.ratio > timely_ratio:
            continue
        if step.max_per_worker and count_step_tasks(task, view) >= step.max_per_worker:
            continue
        candidate_cost = placement_cost(
            task, view, baseline, rng, now, zone, timely_ratio, jitter_share
        )
        if candidate_cost < best_cost:
            best, best_cost = view, candidate_cost
    return best


def is_acceptable(task, view, baselines, now):
    """Return whether a worker may get a task; if not, waiting for another one is better.

    An entry has at most one task at a time on a degraded worker, and only if it is on time there.
    """
    failure_share = view.status.failure_share
    if failure_share >= FAULTY_FAILURE_SHARE or (
        failure_share >= PROBATION_FAILURE_SHARE and view.tasks
    ):
        return False
    if view.is_cold:
        return is_acceptable_while_cold(task, view, baselines, now)
    if not baselines.is_degraded(view):
        return True
    ends_at = now + baselines.relative_run_time(view) * task.expected_ms / 1000
    return not view.tasks and ends_at <= task.job.due_at


def is_acceptable_while_cold(task, view, baselines, now):
    """Return whether a cold worker may get a task: one that is on time at its learnt speed.

    A task that can be on time nowhere may go there too, so that it does not take a faster worker's
    capacity from others.
    """
    ratio = view.cold_run_time_ratio
    if ratio is None or now - view.cold_ratio_at >= COLD_PROBE_INTERVAL_S:
        return not view.tasks
    median_recent = baselines.of_service(view.status.service).median_recent
    ends_at = now + ratio / median_recent * task.expected_ms / 1000
    return ends_at <= task.job.due_at or now >= task.job.latest_start(task)


def has_other_suspect(task, view):
    """Return whether a worker has a task of another job that may have crashed its last worker."""
    return any(other.suspected and other.job is not task.job for other in view.tasks.values())


def count_step_tasks(task, view):
    """Return how many tasks of the same job and step a worker has."""
    return sum(1 for job, step, _ in view.tasks if job == task.job.id and step == task.step)
