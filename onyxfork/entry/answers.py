"""Answers that an owner returns without running a task of the submission."""

from onyxfork.entities.outcomes import Code, State
from onyxfork.entities.submissions import Answered

__all__ = ["moved_answer", "refusal_answer", "claim_refusal_answer"]


def moved_answer(name, state):
    """Return the answer that makes the entry that asked look up the owner again.

    Parameters
    ----------
    name : str
    state : State
        RUNNING when tasks of the submission may have begun, NOT_RUN when none has.
    """
    return Answered(name, state, Code.MOVED, "the cell has no owner here")


def refusal_answer(name, refusal):
    """Return the answer to a refused submission."""
    state = State.FAILED if refusal.code is Code.MAY_HAVE_RUN else State.NOT_RUN
    return Answered(name, state, refusal.code, refusal.reason, refusal.retry_after_ms)


def claim_refusal_answer(submission, result):
    """Return the answer to a submission whose claim was not granted."""
    name = submission.name
    if result is None:
        reason = "the claim could not be confirmed on a quorum"
        if submission.may_have_begun:
            return Answered(name, State.FAILED, Code.MAY_HAVE_RUN, reason)
        return Answered(name, State.NOT_RUN, Code.UNAVAILABLE, reason, 1000)
    if result.code == "conflict":
        reason = f"submission {name} was used before with other content"
        return Answered(name, State.NOT_RUN, Code.CONFLICTING_KEY, reason)
    if result.code == "expired":
        return Answered(name, State.FAILED, Code.EXPIRED_KEY, result.reason)
    detail = result.detail
    if detail.get("state") == "running":
        reason = "it was begun before and its end is unknown; it is not run again"
        return Answered(name, State.FAILED, Code.MAY_HAVE_RUN, reason)
    reason = f"it already ended as {detail.get('state')}; the answer is no longer kept"
    return Answered(name, State.FAILED, Code.ALREADY_RAN, reason)
