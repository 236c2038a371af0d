"""Registration and removal of a cell's workers, and takeover of their tasks by a new owner."""

from heapq import heappop, heappush

from onyxfork.entities.dispatch import Takeover
from onyxfork.entities.outcomes import Code, Outcome, State
from onyxfork.entities.workers import Worker
from onyxfork.messages import TaskId, TaskResult
from onyxfork.systems.placement import reindex
from onyxfork.systems.queueing import add_all_waiting_tasks, queue_submission
from onyxfork.systems.results import answer, apply_result, release_limits
from onyxfork.utils.ids import id_time_ms

__all__ = [
    "register_worker",
    "mark_worker_unreachable",
    "mark_worker_leaving",
    "remove_lost_worker",
    "release_limit_holds",
    "add_unreported_worker",
    "mark_unreported_worker_lost",
    "unreachable_since_ms",
    "may_have_begun_on_unreported_worker",
    "may_have_begun_on_lost_worker",
    "fail_if_begun_on_lost_worker",
    "may_have_begun",
    "take_over_begun_tasks",
    "resolve_held_submissions",
    "end_takeover",
]

LIMIT_HOLD_S = 10.0
"""How long tasks of a lost worker still count against their limits, because they may be running.
After this time they are assumed to have ended."""

FLAP_WINDOW_S = 60.0
"""Restarts of a worker are counted over this window."""

MIN_FLAP_RESTARTS = 3
"""A worker that restarts this often within the window is ejected."""

KEY_SKEW_MS = 2000
"""Largest skew of callers' clocks that is allowed for. A caller writes the time of issue into the
identifier of its submission by its own clock."""


def register_worker(state, node, led, now):
    """Register a worker whose agent has accepted this process as the owner of its cell.

    Requests for the results of its outstanding tasks are added to the outbox. A worker whose
    incarnation has changed is removed as lost and registered again.

    Parameters
    ----------
    state : Dispatch
    node : Node
        The worker's row in the catalogue.
    led : Led
        The agent's reply.
    now : float
        Monotonic seconds.

    Returns
    -------
    Worker
    """
    worker = state.workers.get(node.name)
    if worker is not None and worker.incarnation != led.incarnation:
        remove_lost_worker(state, worker, "the agent restarted", now)
        worker = None
    restarts = record_incarnation(state, node.name, led.incarnation, now)
    if worker is None:
        worker = Worker(
            name=node.name,
            zone=node.zone,
            rack=node.rack,
            slots=led.slots,
            processors=node.processors,
            memory_mb=node.memory_mb,
            accelerators=node.accelerators,
            incarnation=led.incarnation,
        )
        state.workers[node.name] = worker
        eject_flapping_worker(state, worker, restarts, now)
    state.index.remove(worker)
    if worker.state in ("serving", "leaving", "lost"):
        worker.state = "leaving" if led.leaving or not led.slots else "serving"
        worker.slots = led.slots
    reindex(state, worker)
    record_known_submissions(state, worker, node, led)
    fetch_outstanding(state, worker)
    return worker


def record_incarnation(state, name, incarnation, now):
    """Record an incarnation of a worker and return its restarts within `FLAP_WINDOW_S`."""
    incarnations = state.recent_incarnations.setdefault(name, {})
    incarnations.setdefault(incarnation, now)
    for other, first_seen in list(incarnations.items()):
        if now - first_seen > FLAP_WINDOW_S and other != incarnation:
            del incarnations[other]
    return len(incarnations) - 1


def eject_flapping_worker(state, worker, restarts, now):
    """Eject a worker that restarts repeatedly, for a time that doubles with each restart."""
    if restarts < MIN_FLAP_RESTARTS:
        return
    tuning = state.tuning
    pause_s = tuning.eject_s * 2 ** (restarts - MIN_FLAP_RESTARTS)
    worker.state = "ejected"
    worker.ejected_until = now + min(pause_s, tuning.max_eject_s)
    state.ejected_workers[worker.name] = worker


def record_known_submissions(state, worker, node, led):
    """Record which submissions a worker's agent knows; after a takeover, also which tasks it began.

    From then on the worker counts as one that has reported to this owner.
    """
    takeover = state.takeover
    takeover.unreported_workers.pop(worker.name, None)
    takeover.latest_restart_ms = max(takeover.latest_restart_ms, node.restarted_ms)
    for known in led.known_submissions:
        issued_ms = id_time_ms(known.submission) or 0
        worker.latest_issued_ms = max(worker.latest_issued_ms, issued_ms)
    if takeover.at_wall_ms is None:
        return
    for known in led.known_submissions:
        worker_by_index = takeover.begun_tasks.setdefault(known.submission, {})
        for index in known.running + known.ended:
            worker_by_index[index] = worker.name


def fetch_outstanding(state, worker):
    """Request the results of all tasks that count as outstanding on a worker."""
    for (name, index), submission in worker.outstanding.items():
        attempt = submission.attempts[index]
        state.outbox.fetches[worker.name].append(TaskId(name, index, attempt))


def mark_worker_unreachable(state, worker, now):
    """Stop placing tasks on a worker whose connection closed; its tasks stay outstanding."""
    if worker.state in ("serving", "leaving", "probing"):
        worker.state = "lost"
    worker.lost_at = now
    reindex(state, worker)


def mark_worker_leaving(state, worker):
    """Stop placing tasks on a worker that is leaving; its outstanding tasks run to their end."""
    if worker.state != "lost":
        worker.state = "leaving"
    reindex(state, worker)


def remove_lost_worker(state, worker, reason, now):
    """Remove a worker and record its outstanding tasks as lost: they may have run.

    The tasks may still be running, so they count against their limits for another `LIMIT_HOLD_S`.
    """
    outstanding = dict(worker.outstanding)
    state.index.remove(worker)
    state.slow_workers.pop(worker.name, None)
    state.ejected_workers.pop(worker.name, None)
    state.workers.pop(worker.name, None)
    for (name, index), submission in outstanding.items():
        # Counted twice: apply_result releases one now, release_limit_holds the other one later.
        for limit in submission.lane.limits:
            limit.running += 1
        heappush(state.limit_holds, (now + LIMIT_HOLD_S, id(submission), submission.lane))
        result = TaskResult(
            submission=name,
            index=index,
            attempt=submission.attempts[index],
            outcome=Outcome.LOST.value,
            output=None,
            reason=f"worker {worker.name}: {reason}; the task may have run",
            run_ms=0.0,
            queue_ms=0.0,
        )
        apply_result(state, worker, result, now)
    # apply_result may have put the worker back into these tables.
    state.index.remove(worker)
    state.slow_workers.pop(worker.name, None)
    state.ejected_workers.pop(worker.name, None)


def release_limit_holds(state, now):
    """Stop counting tasks of lost workers against their limits after `LIMIT_HOLD_S`."""
    while state.limit_holds and state.limit_holds[0][0] <= now:
        _, _, lane = heappop(state.limit_holds)
        release_limits(state, lane)


def add_unreported_worker(state, node):
    """Add a worker that has not yet reported which tasks it began for the former owner.

    The latest time of issue of submissions that the former owner may have sent to it is recorded
    with it, in wall-clock milliseconds; infinite when the former owner recorded no such time.
    """
    state.takeover.unreported_workers[node.name] = node.unreachable_ms or float("inf")


def mark_unreported_worker_lost(state, name):
    """Mark an unreported worker as lost: which tasks it began will never be reported."""
    begun_until_ms = state.takeover.unreported_workers.pop(name, None)
    if begun_until_ms is not None:
        state.takeover.lost_workers[name] = begun_until_ms


def unreachable_since_ms(worker):
    """Return the `unreachable_ms` to record for a worker that this owner no longer sends to.

    It is the latest time of issue of any submission sent to the worker, less the skew that readers
    of the value add back. Taken from identifiers, it does not depend on this process's clock. It is
    at least 1, because 0 stands for a worker that the owner sends to.
    """
    return max(1, worker.latest_issued_ms - KEY_SKEW_MS)


def predates_takeover(state, issued_ms):
    """Return whether a submission may have been issued before this owner took over the cell."""
    at_wall_ms = state.takeover.at_wall_ms
    return at_wall_ms is not None and issued_ms <= at_wall_ms + KEY_SKEW_MS


def may_have_begun_on_unreported_worker(state, issued_ms):
    """Return whether a submission may have begun on a worker that has not reported yet.

    Parameters
    ----------
    state : Dispatch
    issued_ms : int
        Time of issue in the submission's identifier.

    Returns
    -------
    bool
    """
    if not predates_takeover(state, issued_ms):
        return False
    return any(
        begun_until_ms >= issued_ms - KEY_SKEW_MS
        for begun_until_ms in state.takeover.unreported_workers.values()
    )


def may_have_begun_on_lost_worker(state, issued_ms):
    """Return whether a submission may have begun on a worker that cannot report it any more.

    Such a worker was lost before it reported, or its agent has restarted and has no record of
    earlier tasks.
    """
    if not predates_takeover(state, issued_ms):
        return False
    takeover = state.takeover
    begun_until_ms = max([takeover.latest_restart_ms, *takeover.lost_workers.values()])
    return begun_until_ms >= issued_ms - KEY_SKEW_MS


def may_have_begun(state, name):
    """Return whether a submission has begun, or may have begun, under a former owner."""
    issued_ms = id_time_ms(name)
    return (
        name in state.takeover.begun_tasks
        or may_have_begun_on_unreported_worker(state, issued_ms)
        or may_have_begun_on_lost_worker(state, issued_ms)
    )


def take_over_begun_tasks(state, submission, now):
    """Count tasks of a submission that began under a former owner as outstanding.

    Requests for their results are added to the outbox. When the worker of such a task has been lost
    since, the submission is answered as failed.

    Parameters
    ----------
    state : Dispatch
    submission : Submission
        Admitted but not yet queued.
    now : float
        Monotonic seconds.

    Returns
    -------
    int
        Number of tasks that workers reported as running or ended.
    """
    submission.may_have_begun = False
    worker_by_index = state.takeover.begun_tasks.pop(submission.name, {})
    for index, worker_name in worker_by_index.items():
        worker = state.workers.get(worker_name)
        if index >= len(submission.attempts):
            continue
        submission.waiting.remove(index)
        submission.attempts[index] = 1
        submission.sent[index] = worker_name
        if worker is None:
            reason = f"worker {worker_name} was lost; the task may have run"
            submission.begun_count += 1
            answer(state, submission, State.FAILED, Code.MAY_HAVE_RUN, reason, now)
            break
        worker.reserve((submission.name, index), submission)
        for limit in submission.lane.limits:
            limit.acquire()
        reindex(state, worker)
        state.outbox.fetches[worker_name].append(TaskId(submission.name, index, 1))
    return len(worker_by_index)


def end_takeover(state, now):
    """Discard the takeover once the identifiers of all submissions from before it have expired."""
    if now >= state.takeover.ends_at:
        state.takeover = Takeover()


def resolve_held_submissions(state, now):
    """Queue or fail held submissions once no unreported worker may have begun their tasks.

    Returns
    -------
    int
        Number of submissions no longer held.
    """
    held_names, state.takeover.held_submissions = state.takeover.held_submissions, []
    for name in held_names:
        if may_have_begun_on_unreported_worker(state, id_time_ms(name)):
            state.takeover.held_submissions.append(name)
            continue
        submission = state.submissions.get(name)
        if submission is None or submission.state is not State.RUNNING:
            continue
        take_over_begun_tasks(state, submission, now)
        fail_if_begun_on_lost_worker(state, submission, now)
        if submission.state is State.RUNNING:
            add_all_waiting_tasks(state, submission)
            queue_submission(state, submission)
    return len(held_names) - len(state.takeover.held_submissions)


def fail_if_begun_on_lost_worker(state, submission, now):
    """Fail a submission whose unreported tasks may have begun on a lost or restarted worker."""
    if submission.state is not State.RUNNING or not submission.waiting:
        return
    if not may_have_begun_on_lost_worker(state, id_time_ms(submission.name)):
        return
    names = ", ".join(sorted(state.takeover.lost_workers)) or "a worker that restarted"
    reason = f"tasks may have begun on {names} before the owner was replaced"
    submission.begun_count += 1
    submission.waiting = []
    answer(state, submission, State.FAILED, Code.MAY_HAVE_RUN, reason, now)
