"""Rows that an owner reports to operators: submissions, workers and limits of its cell."""

from itertools import islice

from onyxfork.entities.outcomes import State
from onyxfork.systems.placement import wait_reason

__all__ = ["REPORTS", "submission_rows", "worker_rows", "limit_report_rows"]


def submission_rows(state, now, limit):
    """Return rows on submissions that run or whose answers are still kept."""
    policy = state.policy.name
    submissions = islice(state.submissions.values(), limit)
    return [submission_row(submission, policy, now) for submission in submissions]


def place_reason(submission, policy):
    """Return a text on why the last task was placed on its worker, empty when none was sent."""
    if submission.free_slots_at_placement is None:
        return ""
    return f"{submission.free_slots_at_placement} free slots, {policy}"


def submission_row(submission, policy, now):
    """Return the row of one submission."""
    request, answered = submission.request, submission.answer
    running = submission.state is State.RUNNING
    age_ends_at = now if running else submission.answered_at
    return {
        "submission": submission.name,
        "organisation": request.organisation,
        "team": request.team,
        "service": request.service,
        "job": request.job,
        "state": submission.state.value,
        "tasks": submission.tasks,
        "done": submission.done,
        "running": len(submission.sent) if running else 0,
        "waiting": len(submission.waiting),
        "workers": ",".join(sorted(set(submission.sent.values()))) if running else "",
        "age_ms": round((age_ends_at - submission.arrived) * 1000),
        "why_there": place_reason(submission, policy),
        "why_waiting": wait_reason(submission),
        "why": answered.reason or "" if answered is not None else "",
    }


def worker_rows(state, now, limit):
    """Return rows on the workers of the cell."""
    return [
        {
            "worker": worker.name,
            "zone": worker.zone,
            "rack": worker.rack,
            "state": worker.state,
            "slots": worker.slots,
            "outstanding": len(worker.outstanding),
            "speed": round(worker.speed, 2),
            "failures": round(worker.failures, 2),
            "why": worker_reason(worker, now),
        }
        for worker in islice(state.workers.values(), limit)
    ]


def worker_reason(worker, now):
    """Return a text on why a worker is not in state ``serving``, empty when there is none."""
    if worker.state == "ejected":
        remaining_s = max(0.0, worker.ejected_until - now)
        return f"ejected after failed tasks or restarts; probed in {remaining_s:.1f} s"
    if worker.state == "lost":
        return f"unreachable for {now - worker.lost_at:.1f} s"
    if worker.state == "probing":
        return "probed with one task at a time after an ejection"
    return ""


def limit_report_rows(state, now, limit):
    """Return rows on the limits that requests have used."""
    return [
        {
            "limit": name,
            "running": task_limit.running,
            "max_running": (
                task_limit.max_running if task_limit.max_running != float("inf") else None
            ),
            "starts_per_s": (
                task_limit.starts_per_s if task_limit.starts_per_s != float("inf") else None
            ),
            "waiting": task_limit.waiting,
            "share": state.shares.get(name, state.default_share),
        }
        for name, task_limit in islice(state.limits.items(), limit)
    ]


REPORTS = {
    "submissions": submission_rows,
    "workers": worker_rows,
    "limits": limit_report_rows,
}
