"""One tick of the owner: every system in turn over the tables."""

from onyxfork.systems.ejection import probe_ejected_workers
from onyxfork.systems.lifetimes import drop_expired_submissions, expire_deadlines, next_deadline
from onyxfork.systems.membership import end_takeover, release_limit_holds, resolve_held_submissions
from onyxfork.systems.placement import place

__all__ = ["tick", "next_wake"]


def tick(state, now, may_place):
    """Run every system once.

    Parameters
    ----------
    state : Dispatch
    now : float
    may_place : bool
        Whether this process holds the lease on the cell.

    Returns
    -------
    Outbox
        What has to be sent and answered.
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
    """Return when the next tick is due although no message arrives, in monotonic seconds."""
    times = [next_deadline(state), state.wake_at]
    times += [worker.ejected_until for worker in state.ejected_workers.values()]
    if state.limit_holds:
        times.append(state.limit_holds[0][0])
    return max(now, min(times))
