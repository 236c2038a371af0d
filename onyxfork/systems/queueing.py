"""Waiting work: lanes, the heap of ready lanes, and sums over what waits."""

from heapq import heappush

from onyxfork.entities.submissions import Lane
from onyxfork.entities.workers import Shape
from onyxfork.systems.limits import limits_of

__all__ = [
    "lane_for",
    "queue_submission",
    "make_ready",
    "add_all_waiting_tasks",
    "add_waiting_task",
    "remove_waiting_task",
    "unpark",
]

MAX_LANES = 10_000


def lane_for(state, request, job):
    """Return the lane of a request, made when it is the first of its kind."""
    shape = Shape(
        max(request.shape.processors, job.processors),
        max(request.shape.memory_mb, job.memory_mb),
        max(request.shape.accelerators, job.accelerators),
    )
    key = (request.organisation, request.service, request.job, request.team, shape)
    lane = state.lanes.get(key)
    if lane is None:
        if len(state.lanes) >= MAX_LANES:
            drop_idle_lanes(state)
        lane = Lane(key, job.urgency, shape, limits_of(state, request))
        state.lanes[key] = lane
    lane.urgency = job.urgency
    return lane


def drop_idle_lanes(state):
    """Forget lanes in which nothing waits; callers name shapes, so there is no end of them."""
    for key, lane in list(state.lanes.items()):
        if lane.head() is None and lane.parked_on is None:
            del state.lanes[key]


def queue_submission(state, submission):
    """Let the waiting tasks of a submission be placed."""
    lane = submission.lane
    lane.push(submission)
    if lane.parked_on is None:
        make_ready(state, lane)


def make_ready(state, lane):
    """Put a lane into the heap of ready lanes at the order of its head."""
    head = lane.head()
    if head is None or (lane.ready_order is not None and lane.ready_order <= head.order):
        return
    lane.ready_order = head.order
    state.ready_sequence += 1
    heappush(state.ready_lanes, (head.order, state.ready_sequence, lane))


def unpark(state, limit):
    """Make the lanes ready that were held up by `limit`."""
    parked, limit.parked_lanes = limit.parked_lanes, []
    state.parked_limits.pop(limit.name, None)
    for lane in parked:
        lane.parked_on = None
        make_ready(state, lane)


def add_all_waiting_tasks(state, submission):
    """Count all waiting tasks of a submission."""
    work_ms = sum(submission.expected[index] for index in submission.waiting)
    adjust_waiting_totals(state, submission.lane, len(submission.waiting), work_ms)


def add_waiting_task(state, submission, index):
    """Count one task as waiting."""
    adjust_waiting_totals(state, submission.lane, 1, submission.expected[index])


def remove_waiting_task(state, submission, index):
    """Count one task as no longer waiting."""
    adjust_waiting_totals(state, submission.lane, -1, -submission.expected[index])


def adjust_waiting_totals(state, lane, tasks, work_ms):
    """Add to every sum over what waits."""
    lane.waiting_tasks += tasks
    state.waiting_tasks += tasks
    state.waiting_ms[lane.urgency] += work_ms
    for limit in lane.limits:
        limit.waiting += tasks
        limit.waiting_ms += work_ms
