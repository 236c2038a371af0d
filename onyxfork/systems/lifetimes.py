"""Deadlines and cancellation of submissions, and removal of those past their retention."""

from heapq import heappop

from onyxfork.entities.outcomes import Code, State
from onyxfork.systems.results import answer, has_begun

__all__ = ["expire_deadlines", "cancel", "drop_expired_submissions", "next_deadline"]


def expire_deadlines(state, now):
    """Answer every submission that can no longer meet its deadline.

    One that has not begun is answered as not run as soon as its longest task could not end in time.
    One that has begun is answered when the deadline has passed.

    Returns
    -------
    int
        Number of submissions answered.
    """
    count = 0
    while state.deadlines and state.deadlines[0][0] <= now:
        _, name = heappop(state.deadlines)
        submission = state.submissions.get(name)
        if submission is None or submission.state is not State.RUNNING:
            continue
        if now < submission.request.deadline:
            if has_begun(submission):
                continue
            reason = "it would no longer end before its deadline"
        else:
            reason = "the deadline passed"
        answer(state, submission, State.NOT_RUN, Code.PAST_DEADLINE, reason, now)
        count += 1
    return count


def next_deadline(state):
    """Return when :func:`expire_deadlines` is due next, in monotonic seconds; infinite when never.

    Entries of submissions that are not running any more are dropped on the way.
    """
    while state.deadlines:
        expires_at, name = state.deadlines[0]
        submission = state.submissions.get(name)
        if submission is not None and submission.state is State.RUNNING:
            return expires_at
        heappop(state.deadlines)
    return float("inf")


def cancel(state, name, now):
    """Cancel a submission unless it has been answered.

    Returns
    -------
    Submission or None
        None when the submission is not known here.
    """
    submission = state.submissions.get(name)
    if submission is not None and submission.state is State.RUNNING:
        reason = "cancelled by the caller"
        answer(state, submission, State.NOT_RUN, Code.CANCELLED, reason, now)
    return submission


def drop_expired_submissions(state, now):
    """Drop submissions that were answered `answer_retention_s` ago or earlier."""
    while state.answer_expiries and state.answer_expiries[0][0] <= now:
        _, name = heappop(state.answer_expiries)
        dropped = state.submissions.pop(name, None)
        if state.answered_with_outputs and state.answered_with_outputs[0] is dropped:
            state.kept_outputs -= len(state.answered_with_outputs.popleft().answer.outputs)
