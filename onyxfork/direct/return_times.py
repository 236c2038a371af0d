"""When refused callers return: `Retry-After` from the predicted time of free capacity.

Callers that are refused together and told the same delay return together, and most of them are
refused again. Each refused job therefore books the capacity that it will need: the first whole
second at which the work ahead of it has ended and the interval in which it returns is not booked up
by earlier refusals. What may be booked is the rate at which this entry's work ends, less what new
jobs of the same and higher priorities have used lately.

The caller chooses the phase within a second by the time of its request, as HTTP states the delay in
whole seconds. Intervals much shorter than a second keep the returns spread within each second too.
"""

import math
from collections import Counter
from itertools import chain

__all__ = ["ReturnTimes", "job_work"]

MAX_RETURN_S = 30.0
"""Upper bound on the delay; a prediction further ahead would say little about the load by then."""

INTERVAL_S = 0.1
"""Length of the intervals whose capacity is booked. The shortest slack of a job is about as long:
jobs that return within it can wait for each other."""

DEMAND_WINDOW_S = 10.0
"""Time constant of the average of accepted work; longer than the bursts of 3 to 7 s that cause most
refusals, which are over when the callers return."""

CAPACITY_DECAY_S = 10.0
"""Time constant with which the estimate of capacity falls to the present use of cores. An entry
that has lost its workers for a moment can expect most of them back."""

TARGET_LOAD = 0.85
"""Share of capacity up to which returns are booked beside the demand of new jobs. Arrivals vary
from second to second, and the load must stay below 1.1 of capacity."""

MIN_ROOM_SHARE = 0.1
"""Least share of capacity that is booked for returning callers. With new jobs at capacity, the load
is then 1.1 of it, and those that return take part in the competition for it."""

UNKNOWN_CAPACITY_SPREAD_S = 4.0
"""Over how long the returns are spread while no work has run yet, as after a start: agents have
reconnected and reported by then (`dispatcher_news.RECOVERY_WINDOW_S`)."""


def job_work(request):
    """Return the expected work of a job in thousandths of a core times milliseconds; at least 1."""
    return max(1.0, sum(step.count * step.cpu * step.expected_ms for step in request.steps))


class ReturnTimes:
    """Times at which the refused callers of one entry may return.

    Parameters
    ----------
    now : float
        Monotonic seconds.
    rng : random.Random
        Chooses among intervals that are equally booked.

    Attributes
    ----------
    capacity : float
        Estimated thousandths of a core that this entry's work can use.
    demand : dict of int to float
        Average rate of accepted work by priority, in thousandths of a core.
    backlog : dict of int to float
        Work that waits, by priority (thousandths of a core times milliseconds).
    booked : Counter
        Work that returns in each future interval.
    """

    def __init__(self, now, rng):
        self.rng = rng
        self.started_at = self.updated_at = now
        self.capacity = 0.0
        self.demand = {}
        self.accepted = Counter()
        self.backlog = {}
        self.booked = Counter()

    def record_accepted(self, priority, work):
        """Add the work of an accepted job."""
        self.accepted[priority] += work

    def observe(self, dispatcher, now):
        """Update the estimates from the state of the entry's `Dispatcher`."""
        queued = dispatcher.tasks_queued_at_agents(now)
        backlog = Counter()
        for task in chain(dispatcher.waiting_tasks, queued):
            backlog[task.job.request.queue.priority] += task.spec.cpu * task.expected_ms
        running = dispatcher.millicores_in_use - sum(task.spec.cpu for task in queued)
        self.update(running, backlog, now)

    def update(self, running, backlog, now):
        """Update the estimates of capacity and demand, and drop past intervals.

        Parameters
        ----------
        running : float
            Thousandths of a core that this entry's started runs use.
        backlog : dict of int to float
            Work that waits, by priority.
        now : float
            Monotonic seconds.
        """
        elapsed_s = now - self.updated_at
        if elapsed_s <= 0:
            return
        self.updated_at, self.backlog = now, backlog
        kept = math.exp(-elapsed_s / CAPACITY_DECAY_S)
        self.capacity = max(running, self.capacity * kept + running * (1 - kept))
        weight = max(1 - math.exp(-elapsed_s / DEMAND_WINDOW_S), elapsed_s / self.age_s(now))
        for priority in {*self.demand, *self.accepted}:
            rate = self.accepted[priority] / (elapsed_s * 1000)
            former = self.demand.get(priority, 0.0)
            self.demand[priority] = former + weight * (rate - former)
        self.accepted.clear()
        first = interval_of(now)
        for interval in [interval for interval in self.booked if interval < first]:
            del self.booked[interval]

    def age_s(self, now):
        """Return the time since the start, up to `DEMAND_WINDOW_S`, over which demand is known."""
        return min(DEMAND_WINDOW_S, now - self.started_at)

    def book(self, priority, work, min_delay_ms, now):
        """Book the return of a refused job and return its delay.

        Parameters
        ----------
        priority : int
            Of the job's queue; 0 is the highest.
        work : float
            `job_work` of the job.
        min_delay_ms : float
            Lower bound on the delay.
        now : float
            Monotonic seconds.

        Returns
        -------
        float
            Milliseconds; whole seconds, at least one and at most `MAX_RETURN_S`.
        """
        delays = range(self.first_delay_s(priority, min_delay_ms), round(MAX_RETURN_S) + 1)
        if self.capacity:
            delay_s = self.find_free_delay(delays, priority, work, now)
        else:
            delays = delays[: round(UNKNOWN_CAPACITY_SPREAD_S)]
            delay_s = None
        if delay_s is None:
            delay_s = min(
                delays, key=lambda delay: (self.booked_at(now + delay), self.rng.random())
            )
        self.booked[interval_of(now + delay_s)] += work
        return delay_s * 1000.0

    def first_delay_s(self, priority, min_delay_ms):
        """Return the whole seconds until the work ahead of a priority has ended."""
        ahead = sum(work for level, work in self.backlog.items() if level <= priority)
        drain_ms = ahead / self.capacity if self.capacity else 0.0
        delay_s = math.ceil(max(min_delay_ms, drain_ms) / 1000)
        return min(round(MAX_RETURN_S), max(1, delay_s))

    def find_free_delay(self, delays, priority, work, now):
        """Return the first delay whose interval has room for `work`, or None if all are full.

        An interval without bookings has room for a job of any size.
        """
        room = self.room(priority)
        for delay_s in delays:
            booked = self.booked_at(now + delay_s)
            if not booked or booked + work <= room:
                return delay_s
        return None

    def room(self, priority):
        """Return the work that may return in one interval to a queue of a priority."""
        demand = sum(rate for level, rate in self.demand.items() if level <= priority)
        free = max(TARGET_LOAD * self.capacity - demand, MIN_ROOM_SHARE * self.capacity)
        return free * INTERVAL_S * 1000

    def booked_at(self, time):
        """Return the work that returns in the interval of a time (monotonic seconds)."""
        return self.booked.get(interval_of(time), 0.0)


def interval_of(time):
    """Return the number of the interval that contains a time (monotonic seconds)."""
    return math.floor(time / INTERVAL_S)
