"""Deadlines, cancellations, and the end of what is kept."""

from heapq import heappop

from onyxfork.entities.outcomes import Code, State
from onyxfork.systems.results import answer, has_begun

__all__ = ["expire_deadlines", "cancel", "drop_expired_submissions", "next_deadline"]


def expire_deadlines(state, now):
    """Answer every submission that can not meet its deadline any more.

    One that has not begun is given up as not run when its longest task could not end in time; one
    that has begun, when the deadline has passed.

    Returns
    -------
    int
        How many were answered.
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
    """Return when the next deadline passes, infinite when none is set."""
    while state.deadlines:
        at, name = state.deadlines[0]
        submission = state.submissions.get(name)
        if submission is not None and submission.state is State.RUNNING:
            return at
        heappop(state.deadlines)
    return float("inf")


def cancel(state, name, now):
    """End a submission on request.

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
    """Forget submissions answered longer ago than the retention."""
    while state.answer_expiries and state.answer_expiries[0][0] <= now:
        _, name = heappop(state.answer_expiries)
        dropped = state.submissions.pop(name, None)
        if state.answered_with_outputs and state.answered_with_outputs[0] is dropped:
            state.kept_outputs -= len(state.answered_with_outputs.popleft().answer.outputs)
