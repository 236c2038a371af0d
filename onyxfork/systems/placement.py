"""Placement of waiting tasks on workers, in order and within limits.

The cost of a tick grows with the tasks placed and the lanes that changed, not with all lanes and
workers: ready lanes are kept in a heap, a lane blocked by a limit is stored with that limit, and
the loop ends when no worker has a free slot. A lane is a queue of submissions with the same limits
and shape (:class:`onyxfork.entities.submissions.Lane`).
"""

from heapq import heapify, heappop, heappush, heapreplace

from onyxfork.messages import TaskStart
from onyxfork.systems.queueing import make_ready, remove_waiting_task, unblock_lanes

__all__ = ["place", "dispatch_task", "reindex", "wait_reason"]

MAX_STALE_EXPECTED_ENDS = 1000
"""Above this many entries plus four per slot, expected ends of ended tasks are removed."""


def place(state, now):
    """Place as many waiting tasks as workers and limits allow.

    Parameters
    ----------
    state : Dispatch
        The starts are added to its outbox.
    now : float
        Monotonic seconds.

    Returns
    -------
    int
        Number of tasks placed.
    """
    unblock_allowed_lanes(state, now)
    state.now = now
    placed = 0
    full_shapes = set()
    skipped = []
    while state.ready_lanes:
        lane, submission = next_ready(state)
        if lane is None:
            break
        limit = first_blocking_limit(lane, now)
        if limit is not None:
            block_lane(state, lane, submission, limit)
        elif lane.shape in full_shapes:
            skip_lane(state, lane, skipped)
        elif place_next_task(state, submission, now):
            placed += 1
        elif not has_free_slot(state):
            break
        else:
            full_shapes.add(lane.shape)
    for lane in skipped:
        make_ready(state, lane)
    return placed


def next_ready(state):
    """Return the ready lane with the lowest order and its first submission, or None for both.

    Heap entries that are stale because the lane was blocked or its head has changed are dropped or
    corrected on the way.
    """
    while state.ready_lanes:
        order, _, lane = state.ready_lanes[0]
        if lane.ready_order != order or lane.blocked_by is not None:
            heappop(state.ready_lanes)
            continue
        head = lane.head()
        if head is None:
            lane.ready_order = None
            heappop(state.ready_lanes)
        elif head.order != order:
            lane.ready_order = head.order
            state.ready_sequence += 1
            heapreplace(state.ready_lanes, (head.order, state.ready_sequence, lane))
        else:
            return lane, head
    return None, None


def skip_lane(state, lane, skipped):
    """Remove a lane whose shape fits no worker now from the heap for the rest of this tick."""
    heappop(state.ready_lanes)
    lane.ready_order = None
    skipped.append(lane)


def first_blocking_limit(lane, now):
    """Return the first limit of a lane that allows no further start now, or None."""
    for limit in lane.limits:
        if not limit.allows(now):
            return limit
    return None


def block_lane(state, lane, submission, limit):
    """Remove a lane from the heap of ready lanes until `limit` allows a start."""
    heappop(state.ready_lanes)
    lane.ready_order = None
    lane.blocked_by = limit
    limit.blocked_lanes.append(lane)
    state.blocking_limits[limit.name] = limit
    submission.wait_reason = f"{limit.name} is fully used"


def unblock_allowed_lanes(state, now):
    """Make blocked lanes ready whose limit allows a start again.

    Set `wake_at` to the time at which the first of the other limits permits a start again by its
    rate. A limit that allows no more running tasks does not count: its lanes are unblocked when a
    task ends.
    """
    wake_at = float("inf")
    for limit in list(state.blocking_limits.values()):
        if limit.allows(now):
            unblock_lanes(state, limit)
        else:
            wake_at = min(wake_at, now + limit.seconds_until_token())
    state.wake_at = wake_at


def has_free_slot(state):
    """Return whether any worker, slow ones included, has a free slot."""
    return state.index.has_free_slots(1) or any(
        worker.free > 0 for worker in state.slow_workers.values()
    )


def place_next_task(state, submission, now):
    """Place the next waiting task of a submission and return whether a worker was found."""
    index = submission.waiting[-1]
    worker = state.policy.choose(state, submission, index)
    if worker is None:
        submission.wait_reason = "no free slot fits"
        return False
    if submission.excluded_workers.get(index) == worker.name and len(state.workers) > 1:
        worker = find_other_worker(state, submission, worker) or worker
    submission.waiting.pop()
    remove_waiting_task(state, submission, index)
    dispatch_task(state, submission, index, worker, now)
    return True


def find_other_worker(state, submission, refused_by):
    """Return a free worker other than the one that refused the task, or None."""
    for buckets in state.index.buckets_by_capacity.values():
        for free in sorted(buckets, reverse=True):
            if free < 1:
                break
            for worker in buckets[free].values():
                if worker is not refused_by and worker.fits_now(submission.lane.shape):
                    return worker
    return None


def dispatch_task(state, submission, index, worker, now):
    """Count a task as outstanding on a worker and add its start to the outbox."""
    request = submission.request
    submission.attempts[index] += 1
    submission.sent[index] = worker.name
    submission.free_slots_at_placement = worker.free
    worker.latest_issued_ms = max(worker.latest_issued_ms, submission.issued_ms)
    worker.reserve((submission.name, index), submission)
    reindex(state, worker)
    record_expected_end(state, worker, (submission.name, index), submission.expected[index], now)
    for limit in submission.lane.limits:
        limit.acquire()
    start = TaskStart(
        submission=request.submission,
        index=index,
        job=request.job,
        organisation=request.organisation,
        run_ms=submission.expected[index],
        order=submission.order,
        attempt=submission.attempts[index],
        input=request.inputs[index],
    )
    state.outbox.starts[worker.name].append(start)


def record_expected_end(state, worker, key, expected_ms, now):
    """Record when a task that is dispatched now is expected to end."""
    if len(state.expected_ends) > 4 * state.index.total_slots + MAX_STALE_EXPECTED_ENDS:
        state.expected_ends = [end for end in state.expected_ends if end[3] in end[2].outstanding]
        heapify(state.expected_ends)
    state.ready_sequence += 1
    ends_at = now + expected_ms / 1000 * max(1.0, worker.speed)
    heappush(state.expected_ends, (ends_at, state.ready_sequence, worker, key))


def reindex(state, worker):
    """Put a worker into the index, among the slow workers, or into neither, by state and speed.

    A worker is slow when its relative run time is above `Tuning.slow_speed` over enough samples.
    """
    if worker.state not in ("serving", "probing"):
        state.index.remove(worker)
        state.slow_workers.pop(worker.name, None)
    elif worker.speed > state.tuning.slow_speed and worker.samples >= 5:
        state.index.remove(worker)
        state.slow_workers[worker.name] = worker
    else:
        state.slow_workers.pop(worker.name, None)
        state.index.add(worker)


def wait_reason(submission):
    """Return why tasks of a submission wait; an empty string when none does."""
    return submission.wait_reason if submission.waiting else ""
