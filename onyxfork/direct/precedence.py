"""Precedence of queues by the operator's priority when capacity is short.

Waiting tasks start by priority and then by latest start. The priority counts as a delay of the
latest start, so that waiting work gains precedence as it ages. What each priority holds on the
known workers, over all entries, is known from their agents' reports; it decides how many cores a
job of a lower priority leaves free (trunk reservation) and which share each priority may use.
"""

import math

from attrs import define, field

from onyxfork.direct.workers import MIN_EXPECTED_MS

__all__ = [
    "MAX_PRIORITIES",
    "OVERDUE_PENALTY_S",
    "PriorityUse",
    "allocate",
    "priority_index",
    "start_key",
]

MAX_PRIORITIES = 8
"""Priorities that are told apart; lower ones count as the last."""

PRECEDENCE_OFFSET_S = 5.0
"""Added to the latest start per priority: longer than the slack of a job whose tasks run for 7 s,
so that work of a higher priority starts first."""

OVERDUE_PENALTY_S = 60.0
"""Added to the key of a task that is late, so that it sorts after all tasks that can still be on
time: longer than any slack and the offsets of all priorities."""

MAX_REPORT_AGE_S = 0.5
"""From older reports only this entry's own runs count."""

AVERAGING_TIME_S = 0.25
"""Time constant of the average use by priority. With 1 s the reserve follows the slow waves of the
demand too, and its cores stay idle in the next trough."""

VARIANCE_TIME_RATIO = 4.0
"""The variance is averaged over this many times `AVERAGING_TIME_S`: a job's slack and more, so that
the reserve lasts between two peaks."""

RESERVE_DEVIATIONS = 0.9
"""The reserve covers the average use of the higher priorities plus this many standard deviations.
More keeps cores idle, fewer make the highest priority wait."""

MAX_JOB_SHARE = 0.02
"""No job is refused for its priority while the average job needs a larger share of the capacity.
One job more or less then exceeds any share or reserve, and cores stay idle in between."""

MAX_RESERVE_SHARE = 0.1
"""Upper bound on the reserve as a share of the capacity. Where few large jobs make up the use of
higher priorities, it varies so much that a larger reserve refuses more work than it saves."""

SCARCE_SHARE = 0.08
"""Capacity is scarce while a smaller share of it is free; a limit by share wastes no more."""

USABLE_SHARE = 0.94
"""Share of the capacity that is allocated; the rest is remainders that no task fits, which a flood
of low-priority jobs would otherwise take from higher priorities."""

CROWDED_SHARE = 0.1
"""While a smaller share of the capacity is free, entries that choose by the same reports often
choose the same workers."""

RELEASED_BY_OTHERS_SHARE = 0.5
"""Part of the lower-priority cores of other entries that a job may count on when they are
released; other entries' jobs of its priority take the rest."""

LIMITED_LOAD = 0.9
"""No priority is limited while the total demand is below this share of the capacity; up to
`FULL_LOAD` the reserve grows to its full size."""

FULL_LOAD = 1.0

DEMAND_TIME_S = 1.0
"""Time constant of the averages of offered and accepted work."""

MAX_OFFERED_RATIO = 4.0
"""Bound on offered over accepted work in the demand: bursts bring up to 2.5 times the usual load,
and refused jobs that return soon add to it."""

MIN_USE = 1.0
"""Thousandths of a core below which a priority counts as unused."""

SIZE_EMA_WEIGHT = 0.1
"""Weight of the latest job in the moving averages of sizes."""

UNKNOWN_RUN_MS = 100.0
"""Assumed run time of priorities until this entry has had a run."""


def priority_index(priority):
    """Return the index of a priority in lists by priority."""
    return min(max(priority, 0), MAX_PRIORITIES - 1)


def start_key(latest_start, priority):
    """Return the key by which waiting tasks start, the lowest first.

    Parameters
    ----------
    latest_start : float
        Monotonic seconds.
    priority : int
        Priority of the queue, 0 is the highest.
    """
    return latest_start + priority_index(priority) * PRECEDENCE_OFFSET_S


def guaranteed_shares(demands):
    """Return the guaranteed share of each priority with demand; each next one has half as much."""
    weights = [0.5**index if demand > 0 else 0.0 for index, demand in enumerate(demands)]
    total = sum(weights) or 1.0
    return [weight / total for weight in weights]


def allocate(demands, capacity):
    """Return the cores that each priority may use.

    Each priority is guaranteed the lower of its demand and its guaranteed share; the rest goes to
    the unsatisfied ones in the order of their priority.

    Parameters
    ----------
    demands : list of float
        Cores by priority, in the unit of `capacity`.
    capacity : float

    Returns
    -------
    list of float
    """
    shares = guaranteed_shares(demands)
    allocated = [
        min(demand, share * capacity) for demand, share in zip(demands, shares, strict=True)
    ]
    rest = capacity - sum(allocated)
    for index, demand in enumerate(demands):
        extra = min(demand - allocated[index], rest)
        allocated[index] += extra
        rest -= extra
    return allocated


def zeros():
    """Return a list with a zero for each priority."""
    return [0.0] * MAX_PRIORITIES


def is_current(view, now):
    """Return whether a worker's latest report tells what all entries hold there."""
    return bool(view.status.cpu_by_priority) and now - view.reported_at <= MAX_REPORT_AGE_S


def held_on(view, now):
    """Return what each priority holds on a worker; without a current report, this entry's part.

    Returns
    -------
    list of float
        Thousandths of a core by priority.
    """
    if is_current(view, now):
        return view.status.cpu_by_priority[:MAX_PRIORITIES]
    held = zeros()
    for task in view.tasks.values():
        held[priority_index(task.job.priority)] += task.spec.cpu
    return held


@define(eq=False, slots=True)
class PriorityUse:
    """Use of an entry's known workers by priority, in thousandths of a core.

    Parameters
    ----------
    unit : float
        Average size of a task; free capacity counts in whole tasks of this size.
    mean_need : float
        Average size of a job, the sum over its tasks.
    spare, capacity : float
        Free capacity and capacity of the ready workers.
    held : list of float
        Held by running and queued tasks of each priority, over all entries.
    average : list of float
        Moving average of `held`.
    higher_average, higher_variance : list of float
        Moving average and variance of what all higher priorities hold.
    own, own_released : list of float
        Held by this entry's tasks, and what they release per millisecond while they run.
    run_ms : list of float
        Cores held over cores released per millisecond, by priority; 0 if this entry has had none.
    reserve : list of float
        Cores that a job of each priority leaves free for higher ones.
    guaranteed : list of float
        Cores that are guaranteed to each priority.
    shares : list of float
        Cores that each priority may hold while capacity is scarce.
    offered, accepted : list of float
        Work of this entry's jobs, with and without refused ones, decaying by `DEMAND_TIME_S`.
    refreshed_at : float or None
        Monotonic seconds of the latest refresh.
    lower_sums : dict of str to tuple
        The report of each worker by which `lower_cores` was computed last, and its results.
    """

    unit: float = 1000.0
    mean_need: float = 0.0
    spare: float = 0.0
    capacity: float = 0.0
    held: list = field(factory=zeros)
    average: list = field(factory=zeros)
    higher_average: list = field(factory=zeros)
    higher_variance: list = field(factory=zeros)
    own: list = field(factory=zeros)
    own_released: list = field(factory=zeros)
    run_ms: list = field(factory=zeros)
    reserve: list = field(factory=zeros)
    guaranteed: list = field(factory=zeros)
    shares: list = field(factory=zeros)
    offered: list = field(factory=zeros)
    accepted: list = field(factory=zeros)
    refreshed_at: float | None = None
    lower_sums: dict = field(factory=dict)

    # Updates

    def refresh(self, views, now):
        """Recompute the sums over the known workers and what follows from them."""
        self.held, self.spare, self.capacity = zeros(), 0.0, 0.0
        self.lower_sums.clear()
        for view in views:
            if view.is_ready:
                self.capacity += view.status.cpu
                self.spare += self.spare_of(view)
                self.add_held(view, now)
        weight = 1.0
        if self.refreshed_at is not None:
            weight = 1 - math.exp((self.refreshed_at - now) / AVERAGING_TIME_S)
            decay = math.exp((self.refreshed_at - now) / DEMAND_TIME_S)
            self.offered = [work * decay for work in self.offered]
            self.accepted = [work * decay for work in self.accepted]
        self.refreshed_at = now
        self.update_averages(weight)
        self.update_limits()

    def add_held(self, view, now):
        """Add what each priority holds on a worker."""
        for index, cpu in enumerate(held_on(view, now)):
            self.held[index] += cpu

    def update_averages(self, weight):
        """Move the averages towards the present use by `weight`."""
        variance_weight = weight / VARIANCE_TIME_RATIO
        higher = 0.0
        for index, held in enumerate(self.held):
            self.average[index] += weight * (held - self.average[index])
            difference = higher - self.higher_average[index]
            self.higher_average[index] += weight * difference
            variance = self.higher_variance[index] + variance_weight * difference * difference
            self.higher_variance[index] = (1 - variance_weight) * variance
            higher += held

    def update_limits(self):
        """Recompute the reserves and the shares."""
        seen = [
            average >= MIN_USE or offered / (1000 * DEMAND_TIME_S) >= MIN_USE
            for average, offered in zip(self.average, self.offered, strict=True)
        ]
        scale = (self.demand / max(1.0, self.capacity) - LIMITED_LOAD) / (FULL_LOAD - LIMITED_LOAD)
        scale = min(1.0, max(0.0, scale))
        self.guaranteed = [share * self.capacity for share in guaranteed_shares(seen)]
        demands_by_priority = list(map(self.demand_of, range(MAX_PRIORITIES)))
        higher = 0.0
        for index, held in enumerate(self.held):
            expected = self.higher_average[index]
            expected += RESERVE_DEVIATIONS * math.sqrt(self.higher_variance[index])
            has_guarantee = held < self.guaranteed[index]
            reserve = min(MAX_RESERVE_SHARE * self.capacity, max(0.0, expected - higher))
            self.reserve[index] = 0.0 if has_guarantee else scale * reserve
            higher += held
            if seen[index]:
                # Lower priorities count with no more than what they are guaranteed.
                lower = list(
                    map(min, self.guaranteed[index + 1 :], demands_by_priority[index + 1 :])
                )
                demands = [*self.average[:index], self.capacity, *lower]
                self.shares[index] = allocate(demands, USABLE_SHARE * self.capacity)[index]

    def count(self, task, sign):
        """Add a task that is placed to this entry's use, or subtract it with a sign of -1."""
        index, cpu = priority_index(task.job.priority), task.spec.cpu
        self.own[index] += sign * cpu
        self.own_released[index] += sign * cpu / max(MIN_EXPECTED_MS, task.expected_ms)
        self.held[index] += sign * cpu
        if self.own[index] and self.own_released[index] > 0:
            self.run_ms[index] = self.own[index] / self.own_released[index]

    def record_offered(self, job):
        """Count the work of a job that has arrived, and update the average size of a task."""
        index = priority_index(job.priority)
        self.offered[index] += job.work
        need = sum(task.spec.cpu for task in job.tasks)
        self.mean_need += SIZE_EMA_WEIGHT * (need - self.mean_need)
        self.unit += SIZE_EMA_WEIGHT * (need / len(job.tasks) - self.unit)
        if not self.guaranteed[index]:
            # The first job of a priority is not judged by limits from before it asked.
            self.update_limits()

    def record_accepted(self, job, sign=1):
        """Count the work of an accepted job, or discount it with a sign of -1."""
        self.accepted[priority_index(job.priority)] += sign * job.work

    @property
    def demand(self):
        """Cores that would be held if nothing were refused, in thousandths.

        Other entries are assumed to refuse as large a part of each priority as this one.
        """
        return sum(map(self.demand_of, range(MAX_PRIORITIES)))

    def demand_of(self, index):
        """Return the part of the demand that is due to a priority."""
        average, accepted = self.average[index], self.accepted[index]
        if accepted <= 0:
            return average
        return average * min(MAX_OFFERED_RATIO, max(1.0, self.offered[index] / accepted))

    def spare_of(self, view):
        """Return the free capacity of a worker in whole tasks of the average size."""
        if not view.is_ready or self.unit <= 0:
            return 0.0
        return max(0, view.cpu_free) // self.unit * self.unit

    def share_held(self, index):
        """Return the share of the capacity that a priority holds, over all entries."""
        return round(self.held[index] / self.capacity, 3) if self.capacity else 0.0

    # Decisions

    def is_contended(self, priority):
        """Return whether work of another priority uses the known workers."""
        own = priority_index(priority)
        return any(average >= MIN_USE for index, average in enumerate(self.average) if index != own)

    def limits(self, priority):
        """Return whether a job may be refused for its priority: others compete for scarce cores."""
        is_scarce = self.demand > LIMITED_LOAD * self.capacity
        is_divisible = self.mean_need <= MAX_JOB_SHARE * self.capacity
        return is_scarce and is_divisible and self.is_contended(priority)

    def has_higher(self, priority):
        """Return whether work of a higher priority uses the known workers."""
        index = priority_index(priority)
        return index > 0 and max(self.average[:index]) >= MIN_USE

    def has_lower(self, priority):
        """Return whether work of a lower priority uses the known workers."""
        lower = self.average[priority_index(priority) + 1 :]
        return bool(lower) and max(lower) >= MIN_USE

    @property
    def is_crowded(self):
        """Whether little capacity is free and work of several priorities competes for it."""
        used = sum(average >= MIN_USE for average in self.average)
        return used > 1 and self.spare < CROWDED_SHARE * self.capacity

    def leaves_reserve(self, job, millicores):
        """Return whether tasks of a job may take `millicores` of the free capacity."""
        if not self.has_higher(job.priority):
            return True
        return self.spare - millicores >= self.reserve[priority_index(job.priority)]

    def has_guarantee(self, job):
        """Return whether a job of a lower priority keeps to its guaranteed share."""
        index = priority_index(job.priority)
        held = self.held[index] + job.waiting_millicores
        return self.has_higher(job.priority) and held <= self.guaranteed[index]

    def may_start(self, job):
        """Return whether waiting tasks of a job may start.

        A job of a lower priority starts only if there is room for all its tasks beside the reserve:
        a job that has started in part and ends late wastes what it uses.
        """
        if job.first_placed_at is not None or not self.has_higher(job.priority):
            return True
        return self.has_guarantee(job) or self.leaves_reserve(job, job.waiting_millicores)

    def excess_use(self, job):
        """Return by how much a job would exceed its priority's share; 0 if capacity isn't scarce.

        Returns
        -------
        float
            Thousandths of a core.
        """
        if not self.is_contended(job.priority) or self.spare >= SCARCE_SHARE * self.capacity:
            return 0.0
        index = priority_index(job.priority)
        share = max(self.shares[index], self.guaranteed[index])
        return max(0.0, self.held[index] + job.waiting_millicores - share)

    def run_ms_of(self, index):
        """Return the expected run time of tasks of a priority."""
        if self.run_ms[index]:
            return max(1.0, self.run_ms[index])
        known = [run_ms for run_ms in self.run_ms if run_ms]
        return max(1.0, sum(known) / len(known)) if known else UNKNOWN_RUN_MS

    def release_rate(self, priority):
        """Return the rate at which cores become free that a priority may take.

        These are the cores of this entry's runs of the same and lower priorities, and a part of
        those of other entries' runs of lower ones.

        Returns
        -------
        float
            Thousandths of a core per second.
        """
        first = priority_index(priority)
        rate = 0.0
        for index in range(first, MAX_PRIORITIES):
            cores = self.own[index]
            if index > first:
                others = max(0.0, self.held[index] - self.own[index])
                cores += RELEASED_BY_OTHERS_SHARE * others
            if cores:
                rate += 1000 * cores / self.run_ms_of(index)
        return rate

    @property
    def released_share_per_s(self):
        """Share of the cores in use that runs of all entries release per second."""
        held = sum(self.held)
        if held <= 0:
            return 1000 / UNKNOWN_RUN_MS
        released = (cpu / self.run_ms_of(index) for index, cpu in enumerate(self.held) if cpu > 0)
        return 1000 * sum(released) / held

    def lower_cores(self, view, index, now):
        """Return what lower priorities than `index` hold on a worker.

        Returns
        -------
        int
            Thousandths of a core.
        """
        if not is_current(view, now):
            return sum(held_on(view, now)[index + 1 :])
        status = view.status
        known = self.lower_sums.get(view.node)
        if known is None or known[0] is not status:
            held = status.cpu_by_priority[:MAX_PRIORITIES]
            sums = [sum(held[first:]) for first in range(1, MAX_PRIORITIES + 1)]
            known = self.lower_sums[view.node] = (status, sums)
        return known[1][index]

    def expected_queue_ms(self, millicores, view, now):
        """Return the expected time until `millicores` become free on a worker."""
        rate = sum(cpu / self.run_ms_of(index) for index, cpu in enumerate(held_on(view, now)))
        return millicores / rate if rate > 0 else math.inf
