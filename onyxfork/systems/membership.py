"""Workers of a cell: joining, leaving, being lost, and what a new owner finds on them."""

from heapq import heappop, heappush

from onyxfork.entities.dispatch import Takeover
from onyxfork.entities.outcomes import Code, Outcome, State
from onyxfork.entities.workers import Worker
from onyxfork.messages import TaskId, TaskResult
from onyxfork.systems.placement import reindex
from onyxfork.systems.queueing import add_waiting, queue_submission
from onyxfork.systems.results import answer, apply_result, release_limits
from onyxfork.utils.ids import id_time_ms

__all__ = [
    "register_worker",
    "mark_worker_unreachable",
    "mark_worker_leaving",
    "remove_lost_worker",
    "release_held",
    "add_unreported_worker",
    "mark_unreported_worker_lost",
    "unreachable_since_ms",
    "is_ambiguous",
    "is_unknowable",
    "refuse_unknowable",
    "may_have_begun",
    "adopt",
    "settle_takeover",
    "end_takeover",
]

HOLD_LOST_S = 10.0
FLAP_WINDOW_S = 60.0
FLAP_RESTARTS = 3
KEY_SKEW_MS = 2000


def register_worker(state, node, led, now):
    """Take in a worker whose agent has accepted this owner.

    Parameters
    ----------
    state : Dispatch
    node : Node
    led : Led
    now : float

    Returns
    -------
    Worker
        Its outstanding tasks are to be fetched; the requests are in the outbox.
    """
    worker = state.workers.get(node.name)
    if worker is not None and worker.incarnation != led.incarnation:
        remove_lost_worker(state, worker, "the agent restarted", now)
        worker = None
    restarts = note_restart(state, node.name, led.incarnation, now)
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
        damp(state, worker, restarts, now)
    state.index.remove(worker)
    if worker.state in ("serving", "leaving", "lost"):
        worker.state = "leaving" if led.leaving or not led.slots else "serving"
        worker.slots = led.slots
    reindex(state, worker)
    note_known(state, worker, node, led)
    fetch_outstanding(state, worker)
    return worker


def note_restart(state, name, incarnation, now):
    """Note an incarnation of a worker; return how many were new within the last while."""
    seen = state.recent_incarnations.setdefault(name, {})
    seen.setdefault(incarnation, now)
    for known, at in list(seen.items()):
        if now - at > FLAP_WINDOW_S and known != incarnation:
            del seen[known]
    return len(seen) - 1


def damp(state, worker, restarts, now):
    """Keep a worker that restarts again and again out for a time that doubles."""
    if restarts < FLAP_RESTARTS:
        return
    tuning = state.tuning
    pause_s = tuning.eject_s * 2 ** (restarts - FLAP_RESTARTS)
    worker.state = "ejected"
    worker.ejected_until = now + min(pause_s, tuning.max_eject_s)
    state.ejected_workers[worker.name] = worker


def note_known(state, worker, node, led):
    """Remember what a worker began for a former owner."""
    takeover = state.takeover
    takeover.unreported_workers.pop(worker.name, None)
    takeover.latest_restart_ms = max(takeover.latest_restart_ms, node.restarted_ms)
    for known in led.known_submissions:
        issued_ms = id_time_ms(known.submission) or 0
        worker.latest_issued_ms = max(worker.latest_issued_ms, issued_ms)
    if takeover.at_wall_ms is None:
        return
    for known in led.known_submissions:
        found = takeover.begun_tasks.setdefault(known.submission, {})
        for index in known.running + known.ended:
            found[index] = worker.name


def fetch_outstanding(state, worker):
    """Ask a worker for everything that is believed outstanding on it."""
    for (name, index), submission in worker.outstanding.items():
        attempt = submission.attempts[index]
        state.outbox.fetches[worker.name].append(TaskId(name, index, attempt))


def mark_worker_unreachable(state, worker, now):
    """Place nothing on a worker whose connection is gone; its tasks stay outstanding."""
    if worker.state in ("serving", "leaving", "probing"):
        worker.state = "lost"
    worker.lost_at = now
    reindex(state, worker)


def mark_worker_leaving(state, worker):
    """Place nothing more on a worker that leaves; what it has ends undisturbed."""
    if worker.state != "lost":
        worker.state = "leaving"
    reindex(state, worker)


def remove_lost_worker(state, worker, reason, now):
    """Give a worker up: what was outstanding on it may have run.

    Limits stay taken for a while, because the tasks may still be running.
    """
    outstanding = dict(worker.outstanding)
    state.index.remove(worker)
    state.slow_workers.pop(worker.name, None)
    state.ejected_workers.pop(worker.name, None)
    state.workers.pop(worker.name, None)
    for (name, index), submission in outstanding.items():
        for limit in submission.lane.limits:
            limit.running += 1
        heappush(state.limit_holds, (now + HOLD_LOST_S, id(submission), submission.lane))
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
    state.index.remove(worker)
    state.slow_workers.pop(worker.name, None)
    state.ejected_workers.pop(worker.name, None)


def release_held(state, now):
    """Give limits back for tasks of lost workers that have certainly ended."""
    while state.limit_holds and state.limit_holds[0][0] <= now:
        _, _, lane = heappop(state.limit_holds)
        release_limits(state, lane)


def add_unreported_worker(state, node):
    """Note a worker that a new owner has not heard yet, and until when it may have begun tasks."""
    state.takeover.unreported_workers[node.name] = node.unreachable_ms or float("inf")


def mark_unreported_worker_lost(state, name):
    """Note that a worker will not tell any more what it began for the former owner."""
    until = state.takeover.unreported_workers.pop(name, None)
    if until is not None:
        state.takeover.lost_workers[name] = until


def unreachable_since_ms(worker):
    """Return what an owner may say of a worker that it has stopped sending to.

    Taken from the submissions themselves, so that no clock of this process matters.
    """
    return max(1, worker.latest_issued_ms - KEY_SKEW_MS)


def predates_takeover(state, issued_ms):
    """Return whether a submission may have been with a former owner."""
    at_wall_ms = state.takeover.at_wall_ms
    return at_wall_ms is not None and issued_ms <= at_wall_ms + KEY_SKEW_MS


def is_ambiguous(state, issued_ms):
    """Return whether a submission may have begun on a worker that has not told yet.

    Parameters
    ----------
    state : Dispatch
    issued_ms : int
        Time of issue in the submission's identifier.
    """
    if not predates_takeover(state, issued_ms):
        return False
    return any(
        until >= issued_ms - KEY_SKEW_MS for until in state.takeover.unreported_workers.values()
    )


def is_unknowable(state, issued_ms):
    """Return whether a submission may have begun on a worker that can not tell any more."""
    if not predates_takeover(state, issued_ms):
        return False
    takeover = state.takeover
    latest = max([takeover.latest_restart_ms, *takeover.lost_workers.values()])
    return latest >= issued_ms - KEY_SKEW_MS


def may_have_begun(state, name):
    """Return whether a submission may have begun under a former owner, as far as is known."""
    issued_ms = id_time_ms(name)
    return (
        name in state.takeover.begun_tasks
        or is_ambiguous(state, issued_ms)
        or is_unknowable(state, issued_ms)
    )


def adopt(state, submission, now):
    """Take over the tasks of a submission that were begun for a former owner.

    Parameters
    ----------
    state : Dispatch
    submission : Submission
        Admitted but not yet queued.
    now : float

    Returns
    -------
    int
        Tasks found running or ended; their results are fetched.
    """
    submission.may_have_begun = False
    found = state.takeover.begun_tasks.pop(submission.name, {})
    for index, name in found.items():
        worker = state.workers.get(name)
        if index >= len(submission.attempts):
            continue
        submission.waiting.remove(index)
        submission.attempts[index] = 1
        submission.sent[index] = name
        if worker is None:
            reason = f"worker {name} was lost; the task may have run"
            submission.begun_count += 1
            answer(state, submission, State.FAILED, Code.MAY_HAVE_RUN, reason, now)
            break
        worker.reserve((submission.name, index), submission)
        for limit in submission.lane.limits:
            limit.acquire()
        reindex(state, worker)
        state.outbox.fetches[name].append(TaskId(submission.name, index, 1))
    return len(found)


def end_takeover(state, now):
    """Forget what a former owner had begun once its keys have all expired."""
    if now >= state.takeover.ends_at:
        state.takeover = Takeover()


def settle_takeover(state, now):
    """Decide the submissions held back until every worker was accounted for.

    Returns
    -------
    int
        How many were decided.
    """
    held, state.takeover.held_submissions = state.takeover.held_submissions, []
    for name in held:
        if is_ambiguous(state, id_time_ms(name)):
            state.takeover.held_submissions.append(name)
            continue
        submission = state.submissions.get(name)
        if submission is None or submission.state is not State.RUNNING:
            continue
        adopt(state, submission, now)
        refuse_unknowable(state, submission, now)
        if submission.state is State.RUNNING:
            add_waiting(state, submission)
            queue_submission(state, submission)
    return len(held) - len(state.takeover.held_submissions)


def refuse_unknowable(state, submission, now):
    """Fail a submission when tasks not found anywhere may have begun on a worker that is gone."""
    if submission.state is not State.RUNNING or not submission.waiting:
        return
    if not is_unknowable(state, id_time_ms(submission.name)):
        return
    names = ", ".join(sorted(state.takeover.lost_workers)) or "a worker that restarted"
    reason = f"tasks may have begun on {names} before the owner was replaced"
    submission.begun_count += 1
    submission.waiting = []
    answer(state, submission, State.FAILED, Code.MAY_HAVE_RUN, reason, now)
