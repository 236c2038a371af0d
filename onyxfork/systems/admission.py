"""Admission: what is accepted, what is refused at once, and in which order work waits.

A refusal is definite: nothing of the submission has run. What can never run anywhere, what would
miss its deadline and what its limits can not carry in time is refused on arrival, so that the
fixed capacity goes to work that can still be on time.
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
NEGLIGIBLE_BACKLOG_MS = 1.0
FULL_LOAD_BACKLOG_MS = 500.0


def find_known(state, request):
    """Look a request up among the submissions that are known.

    Returns
    -------
    Result
        ``Ok(None)`` when it is new, ``Ok(submission)`` when it is a resubmission, ``Err(Refusal)``
        when its key was used for other content.
    """
    known = state.submissions.get(request.submission)
    if known is None:
        return Ok(None)
    if known.request.digest != request.digest:
        reason = f"submission {request.submission} was used before with other content"
        return Err(Refusal(Code.CONFLICTING_KEY, reason))
    return Ok(known)


def admit(state, request, now, check_capacity=True):
    """Accept a new submission or refuse it; its tasks wait for :func:`enqueue_waiting_tasks`.

    Parameters
    ----------
    state : Dispatch
    request : Request
    now : float
        Monotonic seconds.
    checked : bool
        When false, only an unknown job is refused: the submission may already run.

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
    """Return the first reason to refuse a submission, or None."""
    return (
        check_shape(state, lane)
        or check_limits(lane)
        or check_queue_length(state, request)
        or check_deadline(state, request, lane, expected, now)
    )


def enqueue_waiting_tasks(state, submission):
    """Let the tasks of an admitted submission be placed."""
    if submission.state is State.RUNNING:
        add_all_waiting_tasks(state, submission)
        queue_submission(state, submission)


def check_shape(state, lane):
    """Refuse what no worker could ever run."""
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
    """Return the declared sizes of a worker's row."""
    return (node.processors, node.memory_mb, node.accelerators)


def check_limits(lane):
    """Refuse what a limit forbids altogether, and what would wait past its deadline for one."""
    for limit in lane.limits:
        if limit.max_running <= 0 or limit.starts_per_s <= 0:
            reason = f"{limit.name} allows no running task"
            return Refusal(Code.OVER_QUOTA, reason, 1000)
    return None


def check_queue_length(state, request):
    """Refuse when this process holds as many waiting tasks as it may."""
    if state.waiting_tasks + len(request.inputs) <= state.tuning.max_waiting_tasks:
        return None
    reason = f"{state.waiting_tasks} tasks are waiting"
    return Refusal(Code.OVERLOADED, reason, 1000)


def check_deadline(state, request, lane, expected, now):
    """Refuse what would be answered too late, by the work that goes before it."""
    left_ms = (request.deadline - now) * 1000
    work_ms, longest_ms = sum(expected), max(expected)
    if left_ms <= 0:
        return Refusal(Code.PAST_DEADLINE, "the deadline has passed")
    slots = max(1, state.index.total_slots)
    ahead_ms = waiting_ahead_ms(state, lane.urgency)
    needed_ms = max(work_ms / slots, longest_ms)
    if ahead_ms > NEGLIGIBLE_BACKLOG_MS:
        needed_ms = (ahead_ms + work_ms) / slots + longest_ms
        needed_ms += overtaking_delay_ms(state, work_ms / slots, ahead_ms / slots)
    if needed_ms > left_ms:
        return late_refusal("the queue", needed_ms, left_ms)
    for limit in lane.limits:
        needed_ms = time_under_limit_ms(limit, len(request.inputs), work_ms, longest_ms)
        if needed_ms > left_ms:
            refusal = late_refusal(limit.name, needed_ms, left_ms)
            return Refusal(Code.OVER_QUOTA, refusal.reason, refusal.retry_after_ms)
    return None


def overtaking_delay_ms(state, cost_ms, backlog_ms):
    """Return how long smaller work that arrives later is expected to go before a submission.

    Under full load it takes all of what the order's bias lets it take; with little waiting, none.
    """
    pressure = min(1.0, backlog_ms / FULL_LOAD_BACKLOG_MS)
    return state.tuning.size_bias * cost_ms * pressure


def late_refusal(name, needed_ms, left_ms):
    """Return the refusal of a submission that would miss its deadline."""
    reason = f"{name} would need {needed_ms:.0f} ms, the deadline leaves {left_ms:.0f} ms"
    return Refusal(Code.PAST_DEADLINE, reason, max(MIN_RETRY_AFTER_MS, int(needed_ms - left_ms)))


def time_under_limit_ms(limit, count, work_ms, longest_ms):
    """Return how long a submission would take under one limit alone, in milliseconds."""
    ahead_ms = limit.waiting_ms
    by_running = (ahead_ms + work_ms) / limit.max_running + (
        longest_ms if ahead_ms > NEGLIGIBLE_BACKLOG_MS else 0.0
    )
    by_starts = (limit.waiting + count) / limit.starts_per_s * 1000
    return max(by_running, by_starts + longest_ms if by_starts else 0.0)


def waiting_ahead_ms(state, urgency):
    """Return the expected run time of all waiting tasks that go before `urgency`."""
    offsets = state.tuning.order_offset_s
    return sum(
        waiting for other, waiting in state.waiting_ms.items() if offsets[other] <= offsets[urgency]
    )


def make_submission(state, request, lane, expected, now):
    """Return the new submission with its place in the order."""
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
    """Return the position of a submission among all waiting work.

    Notes
    -----
    Start-time fair queueing between organisations: each has a tag that moves on by the capacity
    its work takes, divided by its weight. Urgency is a finite offset in time, and larger work
    yields to smaller by the time that it would occupy all slots.
    """
    slots = max(1, state.index.total_slots)
    row = state.catalogue.find("organisation", request.organisation)
    weight = row.weight if row is not None else 1.0
    cost_s = work_ms / 1000 / slots
    total = sum(row.weight for row in state.catalogue.rows("organisation")) or 1.0
    begin = max(now, state.organisation_tags.get(request.organisation, now))
    state.organisation_tags[request.organisation] = begin + cost_s * total / weight
    bias = state.tuning.size_bias * cost_s
    return begin + state.tuning.order_offset_s[lane.urgency] + bias
