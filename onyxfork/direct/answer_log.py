"""Log fields of an answered job that tell why it was late.

The objective of an accepted job follows from an estimate of its run time, which may be far off. The
fields therefore also hold the objective that follows from the run times measured afterwards.
"""

from onyxfork.direct.jobs import DONE, chain_lengths

__all__ = ["answer_log_fields", "task_run_fields"]

MAX_TASK_RUNS = 32
"""Upper bound on the runs named in one log line."""

MIN_RUN_TIME_RATIO = 0.2
"""Lower bound on a worker's run time ratio before a run time is divided by it."""


def answer_log_fields(job, workers):
    """Return log fields with the times of a job's runs and of the task that ended last.

    Parameters
    ----------
    job : Job
        Has an outcome.
    workers : dict of str to WorkerView

    Returns
    -------
    dict
        Times in milliseconds since the arrival, None if there was no such event.
    """
    return {
        "size_core_ms": round(job.request.size_core_ms),
        "priority": job.request.queue.priority,
        "slack_ms": round((min(map(job.latest_start, job.tasks)) - job.arrived_at) * 1000),
        "first_start_ms": since_arrival_ms(job, job.first_started_at),
        "last_end_ms": since_arrival_ms(job, job.last_ended_at),
        "objective_base_ms": job.request.queue.objective_ms,
        **measured_fields(job, workers),
        **last_task_fields(job, workers),
    }


def since_arrival_ms(job, at):
    """Return the milliseconds from a job's arrival to `at` (monotonic seconds); None for None."""
    return None if at is None else round((at - job.arrived_at) * 1000, 1)


def run_time_ratio(task, workers):
    """Return the run time ratio last reported by the worker of a task's latest run, or None."""
    view = workers.get(task.worker)
    return None if view is None or view.status is None else view.status.run_time_ratio


def usual_run_ms(task, workers):
    """Return the measured run time of a done task, as on a worker with a run time ratio of 1."""
    return task.run_ms / max(MIN_RUN_TIME_RATIO, run_time_ratio(task, workers) or 1.0)


def measured_fields(job, workers):
    """Return log fields with the latency objective by measured run times.

    They are None unless all tasks are done. `longest_agent` and `longest_pace` tell from which
    worker the longest run time was taken, and which run time ratio it was divided by.
    """
    fields = dict.fromkeys(("measured_objective_ms", "longest_agent", "longest_pace"))
    if not job.tasks or any(task.state != DONE or not task.run_ms for task in job.tasks):
        return fields
    queue, steps = job.request.queue, job.request.steps
    run_ms = {task: usual_run_ms(task, workers) for task in job.tasks}
    by_step = [0.0] * len(steps)
    for task, usual_ms in run_ms.items():
        by_step[task.step] = max(by_step[task.step], usual_ms)
    longest = max(run_ms, key=run_ms.get)
    objective_ms = queue.stretch * max(chain_lengths(steps, by_step)) + queue.objective_ms
    return {
        "measured_objective_ms": round(objective_ms),
        "longest_agent": longest.worker,
        "longest_pace": rounded_ratio(longest, workers),
    }


def rounded_ratio(task, workers):
    """Return `run_time_ratio` for a log line."""
    ratio = run_time_ratio(task, workers)
    return None if ratio is None else round(ratio, 2)


def last_task_fields(job, workers):
    """Return log fields about the task that ended last, which decides when the job ends.

    Order and start are those of its latest run.
    """
    task = job.last_ended_task
    if task is None:
        return {}
    return {
        "last_placed_ms": since_arrival_ms(job, task.placed_at),
        "last_start_ms": since_arrival_ms(job, task.started_at or None),
        "last_expected_ms": round(task.expected_ms, 1),
        "last_usual_run_ms": round(usual_run_ms(task, workers), 1) if task.run_ms else None,
        "last_run": task.run,
        "last_started_runs": task.started_runs,
        "last_agent": task.worker,
        "last_run_ms": round(task.run_ms, 1),
        "last_pace": rounded_ratio(task, workers),
    }


def task_run_fields(job):
    """Return log fields with the latest run of each task; earlier ones have lines of their own.

    Each text has the task and the run, how it ended as far as known (or the state of the task), its
    agent, the worker's lifetime, the times of its order, its start and the news of its end in
    milliseconds since the job's arrival, and how old that news was. Runs of tasks that ran again
    come first if there are more than `MAX_TASK_RUNS`.
    """
    tasks = [task for task in job.tasks if task.run]
    omitted = len(tasks) - MAX_TASK_RUNS
    if omitted <= 0:
        return {"task_runs": [describe_task_run(task, job.arrived_at) for task in tasks]}
    tasks.sort(key=lambda task: -task.run)
    texts = [describe_task_run(task, job.arrived_at) for task in tasks[:MAX_TASK_RUNS]]
    return {"task_runs": texts, "task_runs_omitted": omitted}


def describe_task_run(task, arrived_at):
    """Return a text about the latest run of a task, as `task_run_fields` describes it.

    Times are whole milliseconds, as in the time of a log line.
    """
    placed_at, age_ms = task.placed_at, task.end_news_age_ms
    worker, worker_started_ms = task.lifetime
    lifetime = f"{worker}@{worker_started_ms}" if worker_started_ms else "-"
    start = round((task.started_at - arrived_at) * 1000) if task.started_at >= placed_at else "-"
    end = round((task.end_learnt_at - arrived_at) * 1000) if task.end_kind else "-"
    age = "-" if age_ms is None else round(age_ms)
    return (
        f"{task.step}.{task.index}/{task.run} {task.end_kind or task.state} {task.worker} "
        f"{lifetime} {round((placed_at - arrived_at) * 1000)} {start} {end} {age}"
    )
