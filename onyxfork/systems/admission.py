"""Admission of submissions: acceptance, refusal on arrival, and the order in which work waits.

A refusal is definite: nothing of the submission has run. Refused on arrival are submissions that no
worker could ever run and those that would miss their deadline because of the queue or of a limit,
so that the fixed capacity is spent on work that can still be on time.
"""

from heapq import heappush

from result import Err, Ok

from onyxfork.entities.outcomes import Code, Refusal, State
from onyxfork.entities.submissions import Submission
from onyxfork.systems.estimates import expected_ms
from onyxfork.systems.queueing import add_all_waiting_tasks, lane_for, queue_submission
from onyxfork.utils.ids import id_time_ms

__all__ = ["admit", "enqueue_waiting_tasks", "find_known"]

MIN_RETRY_AFTER_MS = 100
"""Lower bound on the delay after which a submission refused for its deadline may be retried."""

NEGLIGIBLE_BACKLOG_MS = 1.0
"""A backlog of less expected run time than this counts as an empty queue."""

FULL_LOAD_BACKLOG_MS = 500.0
"""Backlog per slot, as expected run time, from which the expected delay of a submission by smaller
ones that arrive later is at its maximum."""


def find_known(state, request):
    """Look up the submission of a request among those that are known.

    Returns
    -------
    Result
        ``Ok(None)`` for a new one, ``Ok(Submission)`` for a resubmission, ``Err(Refusal)`` when the
        identifier was used before with other content.
    """
    known = state.submissions.get(request.submission)
    if known is None:
        return Ok(None)
    if known.request.digest != request.digest:
        reason = f"submission {request.submission} was used before with other content"
        return Err(Refusal(Code.CONFLICTING_KEY, reason))
    return Ok(known)


def admit(state, request, now, check_capacity=True):
    """Accept or refuse a new submission.

    Its tasks are not placed before :func:`enqueue_waiting_tasks` is called.

    Parameters
    ----------
    state : Dispatch
    request : Request
    now : float
        Monotonic seconds.
    check_capacity : bool
        When False, only an unknown job or team is a reason to refuse: the submission may already be
        running.

    Returns
    -------
    Result
        ``Ok(Submission)`` or ``Err(Refusal)``.
    """
    job = state.catalogue.find("job", request.organisation, request.service, request.job)
    if job is None:
        path = f"{request.organisation}/{request.service}/{request.job}"
        return Err(Refusal(Code.UNKNOWN_JOB, f"no job {path}"))
    if request.team and state.catalogue.find("team", request.organisation, request.team) is None:
        path = f"{request.organisation}/{request.team}"
        return Err(Refusal(Code.UNKNOWN_JOB, f"no team {path}"))
    lane = lane_for(state, request, job)
    expected = [expected_ms(state, request, index) for index in range(len(request.inputs))]
    refusal = find_refusal(state, request, lane, expected, now) if check_capacity else None
    if refusal is not None:
        return Err(refusal)
    submission = make_submission(state, request, lane, expected, now)
    state.submissions[request.submission] = submission
    heappush(state.deadlines, (request.deadline - max(expected) / 1000, request.submission))
    heappush(state.deadlines, (request.deadline, request.submission))
    return Ok(submission)


def find_refusal(state, request, lane, expected, now):
    """Return the refusal by the first check that fails, or None."""
    return (
        check_shape(state, lane)
        or check_limits(lane)
        or check_queue_length(state, request)
        or check_deadline(state, request, lane, expected, now)
    )


def enqueue_waiting_tasks(state, submission):
    """Queue the tasks of an admitted submission for placement."""
    if submission.state is State.RUNNING:
        add_all_waiting_tasks(state, submission)
        queue_submission(state, submission)


def check_shape(state, lane):
    """Refuse a submission whose tasks fit no worker, present or declared in the catalogue."""
    if not state.workers:
        return Refusal(Code.UNAVAILABLE, "no worker is known", 1000)
    if state.index.could_ever_fit(lane.shape):
        return None
    nodes = state.catalogue.rows("node")
    if any(node.role == "agent" and lane.shape.fits(*declared_capacity(node)) for node in nodes):
        return None
    shape = lane.shape
    reason = (
        f"no worker has {shape.processors:g} processors, {shape.memory_mb:g} MB and "
        f"{shape.accelerators:g} accelerators for one task"
    )
    return Refusal(Code.NEVER_FITS, reason)


def declared_capacity(node):
    """Return the resources declared in a worker's row, as the arguments of `Shape.fits`."""
    return (node.processors, node.memory_mb, node.accelerators)


def check_limits(lane):
    """Refuse a submission when this owner's share of a limit allows no running task or no start."""
    for limit in lane.limits:
        if limit.max_running <= 0 or limit.starts_per_s <= 0:
            reason = f"{limit.name} allows no running task"
            return Refusal(Code.OVER_QUOTA, reason, 1000)
    return None


def check_queue_length(state, request):
    """Refuse a submission that would bring the waiting tasks above `max_waiting_tasks`."""
    if state.waiting_tasks + len(request.inputs) <= state.tuning.max_waiting_tasks:
        return None
    reason = f"{state.waiting_tasks} tasks are waiting"
    return Refusal(Code.OVERLOADED, reason, 1000)


def check_deadline(state, request, lane, expected, now):
    """Refuse a submission that is expected to end after its deadline.

    The estimate covers the work queued ahead of it, and then each of its limits alone.
    """
    remaining_ms = (request.deadline - now) * 1000
    work_ms, longest_ms = sum(expected), max(expected)
    if remaining_ms <= 0:
        return Refusal(Code.PAST_DEADLINE, "the deadline has passed")
    slots = max(1, state.index.total_slots)
    ahead_ms = waiting_ahead_ms(state, lane.urgency)
    needed_ms = max(work_ms / slots, longest_ms)
    if ahead_ms > NEGLIGIBLE_BACKLOG_MS:
        needed_ms = (ahead_ms + work_ms) / slots + longest_ms
        needed_ms += overtaking_delay_ms(state, work_ms / slots, ahead_ms / slots)
    if needed_ms > remaining_ms:
        return late_refusal("the queue", needed_ms, remaining_ms)
    for limit in lane.limits:
        needed_ms = time_under_limit_ms(limit, len(request.inputs), work_ms, longest_ms)
        if needed_ms > remaining_ms:
            refusal = late_refusal(limit.name, needed_ms, remaining_ms)
            return Refusal(Code.OVER_QUOTA, refusal.reason, refusal.retry_after_ms)
    return None


def overtaking_delay_ms(state, cost_ms, backlog_ms):
    """Return the expected delay of a submission by smaller ones that arrive later, in milliseconds.

    Parameters
    ----------
    state : Dispatch
    cost_ms : float
        Time that the submission would occupy all slots.
    backlog_ms : float
        Time that the work ahead of it would occupy all slots. The delay grows in proportion to it
        and reaches what `size_bias` allows at `FULL_LOAD_BACKLOG_MS`.

    Returns
    -------
    float
    """
    load_share = min(1.0, backlog_ms / FULL_LOAD_BACKLOG_MS)
    return state.tuning.size_bias * cost_ms * load_share


def late_refusal(name, needed_ms, remaining_ms):
    """Return the refusal of a submission that would miss its deadline.

    Parameters
    ----------
    name : str
        The limit, or the queue, that delays it.
    needed_ms, remaining_ms : float
        Expected time to the answer, and time left until the deadline.

    Returns
    -------
    Refusal
    """
    reason = f"{name} would need {needed_ms:.0f} ms, the deadline leaves {remaining_ms:.0f} ms"
    return Refusal(
        Code.PAST_DEADLINE, reason, max(MIN_RETRY_AFTER_MS, int(needed_ms - remaining_ms))
    )


def time_under_limit_ms(limit, count, work_ms, longest_ms):
    """Return the expected time to run a submission of `count` tasks under one limit alone."""
    ahead_ms = limit.waiting_ms
    running_limited_ms = (ahead_ms + work_ms) / limit.max_running + (
        longest_ms if ahead_ms > NEGLIGIBLE_BACKLOG_MS else 0.0
    )
    starts_limited_ms = (limit.waiting + count) / limit.starts_per_s * 1000
    return max(running_limited_ms, starts_limited_ms + longest_ms if starts_limited_ms else 0.0)


def waiting_ahead_ms(state, urgency):
    """Return the expected run time of all waiting tasks that are at least as urgent."""
    offsets = state.tuning.order_offset_s
    return sum(
        waiting for other, waiting in state.waiting_ms.items() if offsets[other] <= offsets[urgency]
    )


def make_submission(state, request, lane, expected, now):
    """Return a new submission with its order assigned."""
    count = len(request.inputs)
    return Submission(
        request=request,
        lane=lane,
        arrived=now,
        tasks=count,
        issued_ms=id_time_ms(request.submission) or 0,
        order=assign_order(state, request, lane, sum(expected), now),
        expected=expected,
        waiting=list(range(count - 1, -1, -1)),
        attempts=[0] * count,
        outputs=[None] * count,
        reasons=[None] * count,
    )


def assign_order(state, request, lane, work_ms, now):
    """Return the order of a submission among all waiting work, and advance its organisation's tag.

    Notes
    -----
    Start-time fair queueing between organisations: an organisation's tag advances by the capacity
    that its work takes, divided by its share of all weights. Urgency adds a finite offset in time,
    so nothing starves. Larger work yields to smaller by `size_bias` times the time that it would
    occupy all slots.
    """
    slots = max(1, state.index.total_slots)
    row = state.catalogue.find("organisation", request.organisation)
    weight = row.weight if row is not None else 1.0
    cost_s = work_ms / 1000 / slots
    total_weight = sum(other.weight for other in state.catalogue.rows("organisation")) or 1.0
    start_tag = max(now, state.organisation_tags.get(request.organisation, now))
    state.organisation_tags[request.organisation] = start_tag + cost_s * total_weight / weight
    bias_s = state.tuning.size_bias * cost_s
    return start_tag + state.tuning.order_offset_s[lane.urgency] + bias_s
