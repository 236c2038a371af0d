"""Results of tasks, and the answers to submissions that follow from them.

A submission is answered once and as a whole: complete with every output, or failed with a reason
for each task. The first task that fails decides the answer, so it is given at once; waiting tasks
of the submission are dropped and running ones stopped, because their results are of no more use.
"""

from heapq import heappush

from onyxfork.entities.outcomes import Code, Outcome, State
from onyxfork.entities.submissions import Answered
from onyxfork.messages import TaskId
from onyxfork.systems.ejection import update_ejection
from onyxfork.systems.estimates import learn_run_time
from onyxfork.systems.placement import reindex
from onyxfork.systems.queueing import (
    add_waiting_task,
    queue_submission,
    remove_waiting_task,
    unblock_lanes,
)

__all__ = [
    "apply_result",
    "answer",
    "drop_waiting",
    "answer_not_run",
    "has_begun",
    "release_limits",
]

NOT_RUN_REASON = "not run"


def apply_result(state, worker, result, now):
    """Record the result of one task.

    A task that was not run is queued again; any other result updates the estimates of the worker,
    may eject it, and may decide the answer of the submission.

    Parameters
    ----------
    state : Dispatch
    worker : Worker
        The worker whose agent reports it.
    result : TaskResult
    now : float
        Monotonic seconds.

    Returns
    -------
    bool
        False when the task is not outstanding on the worker, or the result is of an earlier
        attempt; nothing changes then.
    """
    key = (result.submission, result.index)
    submission = worker.outstanding.get(key)
    if submission is None or result.attempt < submission.attempts[result.index]:
        return False
    worker.release(key)
    release_limits(state, submission.lane)
    if result.outcome == Outcome.NOT_RUN:
        reindex(state, worker)
        requeue_task(state, submission, result, worker, now)
        return True
    update_estimates(state, worker, submission, result)
    update_ejection(state, worker, now)
    reindex(state, worker)
    record_task_end(state, submission, result, now)
    return True


def update_estimates(state, worker, submission, result):
    """Update the estimates of the job, the worker and the policy, unless the task was stopped."""
    if result.outcome == Outcome.STOPPED:
        return
    ratio = 1.0
    if result.outcome == Outcome.DONE:
        ratio = learn_run_time(state, submission.request, result.index, result.run_ms)
    worker.learn(result.outcome, ratio)
    response_ms = result.run_ms + result.queue_ms
    if result.outcome != Outcome.DONE:
        response_ms = float("inf")
    state.policy.learn(state, worker, response_ms, submission.expected[result.index])


def record_task_end(state, submission, result, now):
    """Record the end of a task that may have run, and answer the submission if that decides it."""
    if submission.sent.pop(result.index, None) is None:
        return
    if submission.state is not State.RUNNING:
        discard_details_after_last_task(submission)
        return
    submission.begun_count += 1
    if result.outcome == Outcome.DONE:
        submission.outputs[result.index] = result.output
        submission.done += 1
        if submission.done == len(submission.attempts):
            answer(state, submission, State.COMPLETE, Code.COMPLETE, None, now)
        return
    submission.reasons[result.index] = f"{result.outcome}: {result.reason}"
    reason = f"task {result.index} {result.outcome}: {result.reason}"
    code = Code.MAY_HAVE_RUN if result.outcome == Outcome.LOST else Code.FAILED
    answer(state, submission, State.FAILED, code, reason, now)


def discard_details_after_last_task(submission):
    """Discard task details of an answered submission unless tasks are still outstanding."""
    if not submission.sent:
        submission.discard_task_details()


def requeue_task(state, submission, result, worker, now):
    """Queue a task again that was definitely not run, at most `max_replacements` times.

    The next placement avoids the worker that did not run it when another one is free.
    """
    if submission.sent.pop(result.index, None) is None:
        return
    if submission.state is not State.RUNNING:
        discard_details_after_last_task(submission)
        return
    job = state.catalogue.find(
        "job", submission.request.organisation, submission.request.service, submission.request.job
    )
    budget = job.max_replacements if job is not None else 0
    if submission.attempts[result.index] > budget:
        reason = f"task {result.index} was refused {budget + 1} times, last: {result.reason}"
        answer_not_run(state, submission, result.index, Code.UNAVAILABLE, reason, now)
        return
    submission.excluded_workers[result.index] = worker.name
    submission.waiting.append(result.index)
    add_waiting_task(state, submission, result.index)
    queue_submission(state, submission)


def answer_not_run(state, submission, index, code, reason, now):
    """Answer a submission as not run because of one task that cannot be placed."""
    submission.reasons[index] = f"not run: {reason}"
    answer(state, submission, State.NOT_RUN, code, reason, now)


def answer(state, submission, final_state, code, reason, now, retry_after_ms=None):
    """Give the final answer, drop waiting tasks and stop outstanding ones.

    Parameters
    ----------
    state : Dispatch
    submission : Submission
    final_state : State
    code : Code
    reason : str or None
    now : float
        Monotonic seconds.
    retry_after_ms : int, optional

    Notes
    -----
    A submission that may have begun is answered as failed instead of not run.
    """
    if final_state is State.NOT_RUN and has_begun(submission):
        final_state = State.FAILED
    drop_waiting(state, submission)
    submission.state = final_state
    complete = final_state is State.COMPLETE
    submission.answer = Answered(
        submission=submission.name,
        state=final_state,
        code=code,
        reason=reason,
        retry_after_ms=retry_after_ms,
        outputs=submission.outputs if complete else [],
        reasons=[] if complete else task_reasons(submission),
        response_ms=(now - submission.arrived) * 1000,
    )
    submission.answered_at = now
    submission.outputs = []
    submission.request.inputs = []
    keep_answer(state, submission)
    heappush(state.answer_expiries, (now + state.tuning.answer_retention_s, submission.name))
    stop_outstanding(state, submission)
    state.outbox.answered.append(submission)
    if not submission.sent:
        submission.discard_task_details()


def keep_answer(state, submission):
    """Keep an answer with its outputs, and drop the oldest beyond `max_kept_outputs`.

    A dropped answer is replaced by one with the code ``already-ran``, so that a resubmission does
    not run again.
    """
    answered = submission.answer
    if not answered.outputs:
        return
    state.answered_with_outputs.append(submission)
    state.kept_outputs += len(answered.outputs)
    while (
        state.kept_outputs > state.tuning.max_kept_outputs and len(state.answered_with_outputs) > 1
    ):
        oldest = state.answered_with_outputs.popleft()
        state.kept_outputs -= len(oldest.answer.outputs)
        oldest.answer = Answered(
            submission=oldest.name,
            state=State.FAILED,
            code=Code.ALREADY_RAN,
            reason="it ended as complete; the answer is no longer kept",
        )


def has_begun(submission):
    """Return whether any task of a submission may have started, or was sent and may yet start."""
    return bool(submission.begun_count or submission.sent or submission.may_have_begun)


def task_reasons(submission):
    """Return, for a submission that is not complete, a text on how each of its tasks ended."""
    reasons = []
    for index, reason in enumerate(submission.reasons):
        if reason is not None:
            reasons.append(reason)
        elif index in submission.sent:
            reasons.append("stopped: the submission had failed")
        elif submission.attempts[index] and index not in submission.waiting:
            reasons.append("done, but the submission failed")
        else:
            reasons.append(NOT_RUN_REASON)
    return reasons


def drop_waiting(state, submission):
    """Drop the waiting tasks of a submission and record them as not run."""
    for index in submission.waiting:
        remove_waiting_task(state, submission, index)
        submission.reasons[index] = submission.reasons[index] or NOT_RUN_REASON
    submission.waiting = []


def stop_outstanding(state, submission):
    """Add requests to the outbox that stop the outstanding tasks of a submission."""
    for index, worker_name in submission.sent.items():
        task_id = TaskId(submission.name, index, submission.attempts[index])
        state.outbox.stops[worker_name].append(task_id)


def release_limits(state, lane):
    """Release one running task on each limit of a lane and unblock the lanes that wait for it."""
    for limit in lane.limits:
        limit.release()
        if limit.blocked_lanes:
            unblock_lanes(state, limit)
