"""Queues of waiting tasks: lanes, the heap of ready lanes, and totals of waiting tasks."""

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
    "unblock_lanes",
]

MAX_LANES = 10_000
"""From this many lanes on, idle ones are dropped before another one is created."""


def lane_for(state, request, job):
    """Return the lane of a request, creating it when there is none yet."""
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
    """Drop lanes without waiting tasks: callers choose shapes, so their number is unbounded."""
    for key, lane in list(state.lanes.items()):
        if lane.head() is None and lane.blocked_by is None:
            del state.lanes[key]


def queue_submission(state, submission):
    """Add a submission with waiting tasks to its lane and make the lane ready unless blocked."""
    lane = submission.lane
    lane.push(submission)
    if lane.blocked_by is None:
        make_ready(state, lane)


def make_ready(state, lane):
    """Push a lane onto the heap of ready lanes with the order of its first submission.

    Nothing is done when the lane has no waiting task or is in the heap with this order or a
    lower one.
    """
    head = lane.head()
    if head is None or (lane.ready_order is not None and lane.ready_order <= head.order):
        return
    lane.ready_order = head.order
    state.ready_sequence += 1
    heappush(state.ready_lanes, (head.order, state.ready_sequence, lane))


def unblock_lanes(state, limit):
    """Make all lanes ready that are blocked by `limit`."""
    blocked_lanes, limit.blocked_lanes = limit.blocked_lanes, []
    state.blocking_limits.pop(limit.name, None)
    for lane in blocked_lanes:
        lane.blocked_by = None
        make_ready(state, lane)


def add_all_waiting_tasks(state, submission):
    """Add all waiting tasks of a submission to the totals of waiting tasks."""
    work_ms = sum(submission.expected[index] for index in submission.waiting)
    adjust_waiting_totals(state, submission.lane, len(submission.waiting), work_ms)


def add_waiting_task(state, submission, index):
    """Add one task to the totals of waiting tasks."""
    adjust_waiting_totals(state, submission.lane, 1, submission.expected[index])


def remove_waiting_task(state, submission, index):
    """Remove one task from the totals of waiting tasks."""
    adjust_waiting_totals(state, submission.lane, -1, -submission.expected[index])


def adjust_waiting_totals(state, lane, tasks, work_ms):
    """Add a number of tasks and their expected run time to the totals of owner, lane and limits.

    Both are negative for tasks that no longer wait.
    """
    lane.waiting_tasks += tasks
    state.waiting_tasks += tasks
    state.waiting_ms[lane.urgency] += work_ms
    for limit in lane.limits:
        limit.waiting += tasks
        limit.waiting_ms += work_ms
