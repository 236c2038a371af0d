"""One tick of an owner: all timed decisions, then placement."""

from onyxfork.systems.ejection import probe_ejected_workers
from onyxfork.systems.lifetimes import drop_expired_submissions, expire_deadlines, next_deadline
from onyxfork.systems.membership import end_takeover, release_limit_holds, resolve_held_submissions
from onyxfork.systems.placement import place

__all__ = ["tick", "next_wake"]


def tick(state, now, may_place):
    """Apply everything that is due now and place waiting tasks.

    Parameters
    ----------
    state : Dispatch
    now : float
        Monotonic seconds.
    may_place : bool
        Whether this process holds the lease on the cell.

    Returns
    -------
    Outbox
        Messages to send and submissions that were answered.
    """
    expire_deadlines(state, now)
    drop_expired_submissions(state, now)
    release_limit_holds(state, now)
    probe_ejected_workers(state, now)
    resolve_held_submissions(state, now)
    end_takeover(state, now)
    if may_place:
        place(state, now)
    return state.take_outbox()


def next_wake(state, now):
    """Return when the next tick is due if no message arrives before, in monotonic seconds."""
    times = [next_deadline(state), state.wake_at]
    times += [worker.ejected_until for worker in state.ejected_workers.values()]
    if state.limit_holds:
        times.append(state.limit_holds[0][0])
    return max(now, min(times))
