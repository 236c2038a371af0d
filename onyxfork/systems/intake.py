"""Handling of a request by an owner, from the look-up of its identifier to the queue.

A request with a known identifier returns the submission that has it. A new one is admitted or
refused. A submission of a job that is not idempotent is queued after its claim was granted. One
that may have begun under a former owner is held until all workers that may have begun its tasks
have reported them or are lost.
"""

from attrs import define
from result import Err, Ok

from onyxfork.entities.outcomes import Code, Refusal, State
from onyxfork.entities.submissions import Submission
from onyxfork.systems.admission import admit, enqueue_waiting_tasks, find_known
from onyxfork.systems.membership import (
    fail_if_begun_on_lost_worker,
    may_have_begun,
    may_have_begun_on_unreported_worker,
    take_over_begun_tasks,
)
from onyxfork.utils.ids import id_time_ms

__all__ = ["AcceptedRequest", "accept_request", "enqueue_admitted"]


@define(frozen=True)
class AcceptedRequest:
    """An accepted request.

    Parameters
    ----------
    submission : Submission
    is_new : bool
        False for a resubmission.
    needs_claim : bool
        Whether a claim must be granted before :func:`enqueue_admitted` is called.
    """

    submission: Submission
    is_new: bool
    needs_claim: bool = False


def accept_request(state, request, now):
    """Accept or refuse a request.

    Parameters
    ----------
    state : Dispatch
    request : Request
    now : float
        Monotonic seconds.

    Returns
    -------
    Result
        ``Ok(AcceptedRequest)`` or ``Err(Refusal)``. A new submission is not queued before
        :func:`enqueue_admitted` is called.
    """
    known = find_known(state, request)
    if known.is_err():
        return known
    if known.ok_value is not None:
        return Ok(AcceptedRequest(known.ok_value, False))
    maybe_begun = may_have_begun(state, request.submission)
    admitted = admit(state, request, now, check_capacity=not maybe_begun)
    if admitted.is_err():
        return Err(may_have_run_refusal(admitted.err_value) if maybe_begun else admitted.err_value)
    submission = admitted.ok_value
    submission.may_have_begun = maybe_begun
    job = state.catalogue.find("job", request.organisation, request.service, request.job)
    return Ok(AcceptedRequest(submission, True, not job.idempotent))


def may_have_run_refusal(refusal):
    """Return a refusal with the same reason that does not rule out that tasks have run."""
    reason = f"{refusal.reason}; tasks may have begun before the owner was replaced"
    return Refusal(Code.MAY_HAVE_RUN, reason)


def enqueue_admitted(state, submission, now):
    """Queue a new submission, or hold it while a worker's report on it is outstanding.

    Tasks that began under a former owner count as outstanding instead of being queued.

    Parameters
    ----------
    state : Dispatch
    submission : Submission
        With its claim granted if it needs one.
    now : float
        Monotonic seconds.
    """
    if submission.state is not State.RUNNING:
        return
    if may_have_begun_on_unreported_worker(state, id_time_ms(submission.name)):
        state.takeover.held_submissions.append(submission.name)
        return
    take_over_begun_tasks(state, submission, now)
    fail_if_begun_on_lost_worker(state, submission, now)
    enqueue_waiting_tasks(state, submission)
