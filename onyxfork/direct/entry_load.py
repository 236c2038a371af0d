"""How far an entry's own event loop is behind, and what follows for jobs and readiness.

An entry whose processor is busy handles requests, reports and events late, whatever capacity its
workers have. It refuses the jobs whose slack that would use up, and while it lasts it asks the load
balancer to send new connections elsewhere.
"""

import math
from collections import deque

from attrs import define, field

__all__ = ["EntryLoad", "Readiness", "job_slack_ms"]

MAX_SLACK_SHARE = 0.1
"""A job is refused if the delay would use more than this share of its slack. It meets the delay
several times: on arrival, with each step, and with its answer."""

GOOD_DELAY_MS = 30.0
"""A delay below this counts as none. Ticks are 20 ms apart: a smaller one is about a single late
tick, which is no evidence of load."""

BAD_DELAY_MS = 100.0
"""A delay above this uses up the slack of the shortest jobs."""

BAD_FOR_S, GOOD_FOR_S = 0.5, 1.0
"""How long the delay has to be bad for the entry to become not ready, and good for it to become
ready again."""

MAX_UNREADY_S = 5.0
"""How long an entry is not ready at most for its delay, and ready at least afterwards. If all
entries are overloaded, none can take the others' load, and callers need one that answers them."""

MIN_CHANGE_INTERVAL_S = 1.0
"""Least time between two changes of readiness; the load balancer checks once a second."""

AVERAGE_S = 0.5
"""Time constant of the average delay."""

MIN_USED_SHARE = 0.1
"""An interval between ticks in which the process used less of a core than this was a pause: it was
frozen, or the machine ran something else. Load uses processor time. Of pauses in a row only the
first is left out: a process that gets so little time is as late as one that is overloaded."""

RECENT_TICKS = 5
"""The delay counts as at most that of the latest of this many ticks, so that a single pause of the
process is over with the next punctual ticks."""


def job_slack_ms(request, longest_chain_ms):
    """Return the part of a job's latency objective that is not expected run time (milliseconds)."""
    queue = request.queue
    return (queue.stretch - 1) * longest_chain_ms + queue.objective_ms


class EntryLoad:
    """The delay of an entry's event loop, from how late its ticks run.

    Parameters
    ----------
    now : float
        Monotonic seconds.
    tick_s : float
        Interval of the ticks.
    used_s : float
        Processor time of the process in seconds.

    Attributes
    ----------
    has_paused : bool
        Whether the process paused before the latest tick.
    average_ms : float
        Exponential moving average of the delays.
    recent_ms : deque of float
        Delays of the latest ticks.
    """

    def __init__(self, now, tick_s, used_s=0.0):
        self.tick_s = tick_s
        self.ticked_at = now
        self.used_s = used_s
        self.has_paused = False
        self.average_ms = 0.0
        self.recent_ms = deque([0.0], RECENT_TICKS)

    def record_tick(self, now, used_s):
        """Record that a tick runs now, unless the process has paused once since the latest one.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        used_s : float
            Processor time of the process in seconds.
        """
        elapsed_s, self.ticked_at = now - self.ticked_at, now
        used_share, self.used_s = (used_s - self.used_s) / max(elapsed_s, self.tick_s), used_s
        late_ms = max(0.0, elapsed_s - self.tick_s) * 1000
        had_paused = self.has_paused
        self.has_paused = late_ms > GOOD_DELAY_MS and used_share < MIN_USED_SHARE
        if self.has_paused and not had_paused:
            return
        self.average_ms += (1 - math.exp(-elapsed_s / AVERAGE_S)) * (late_ms - self.average_ms)
        self.recent_ms.append(late_ms)

    @property
    def delay_ms(self):
        """The delay that a job has to expect, in milliseconds."""
        return min(self.average_ms, max(self.recent_ms))

    def exceeds_share(self, slack_ms):
        """Return whether the delay uses more of a job's slack than it may."""
        return self.delay_ms > max(GOOD_DELAY_MS, MAX_SLACK_SHARE * slack_ms)


@define(slots=True)
class Readiness:
    """Whether an entry reports ready, with bounds on how often that changes.

    Attributes
    ----------
    is_ready : bool
        What the entry reports.
    is_overloaded : bool
        Whether its own delay makes it not ready.
    bad_since, good_since : float or None
        Monotonic seconds since when the delay is above `BAD_DELAY_MS`, or below `GOOD_DELAY_MS`.
    overload_changed_at, changed_at : float
        Monotonic seconds at which `is_overloaded` and `is_ready` changed.
    """

    is_ready: bool = False
    is_overloaded: bool = False
    bad_since: float | None = field(default=None)
    good_since: float | None = field(default=None)
    overload_changed_at: float = -math.inf
    changed_at: float = -math.inf

    def update(self, can_serve, delay_ms, open_jobs, now):
        """Apply the present state; return whether `is_ready` has changed.

        Parameters
        ----------
        can_serve : bool
            Whether the entry has a configuration and ready workers.
        delay_ms : float
        open_jobs : int
            Accepted jobs that have not ended.
        now : float
            Monotonic seconds.
        """
        self.update_overload(delay_ms, open_jobs, now)
        wanted = can_serve and not self.is_overloaded
        if wanted == self.is_ready or now - self.changed_at < MIN_CHANGE_INTERVAL_S:
            return False
        self.is_ready, self.changed_at = wanted, now
        return True

    def update_overload(self, delay_ms, open_jobs, now):
        """Update `is_overloaded`.

        An entry without open jobs is not delayed by its load, so fewer connections would not help.
        """
        self.bad_since = first_time(self.bad_since, delay_ms > BAD_DELAY_MS and open_jobs > 0, now)
        self.good_since = first_time(self.good_since, delay_ms < GOOD_DELAY_MS, now)
        lasted_s = now - self.overload_changed_at
        if self.is_overloaded:
            recovered = has_lasted(self.good_since, GOOD_FOR_S, now) or not open_jobs
            changes = recovered or lasted_s >= MAX_UNREADY_S
        else:
            changes = has_lasted(self.bad_since, BAD_FOR_S, now) and lasted_s >= MAX_UNREADY_S
        if changes:
            self.is_overloaded, self.overload_changed_at = not self.is_overloaded, now


def first_time(since, holds, now):
    """Return since when a condition holds without interruption, or None if it does not."""
    if not holds:
        return None
    return now if since is None else since


def has_lasted(since, seconds, now):
    """Return whether a condition that holds since `since` has done so for some seconds."""
    return since is not None and now - since >= seconds
