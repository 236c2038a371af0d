"""An entry's view of the workers, from the reports of their agents."""

import math
from collections import deque

from attrs import define, field

__all__ = ["WorkerView", "RunTimeBaseline", "ServiceBaseline"]

READY = "ready"
NEUTRAL_RUN_TIME_RATIO = 1.0
MIN_EXPECTED_MS = 1.0

COLD_RATIO_WEIGHT = 0.3
"""Weight of the latest run in a cold worker's average: a worker warms up within seconds, and the
average of about three runs more than halves the error of estimates, which are off by 40 %."""

RECENT_RATIO_SHARE = 0.85
"""Weight of the recent ratio beside the usual one; it varies by about 12 % on a worker whose speed
does not change."""


@define(eq=False, slots=True)
class WorkerView:
    """An entry's view of one worker.

    A report does not cover the orders that were in flight when the agent sent it; these are
    subtracted from the reported free capacity.

    Parameters
    ----------
    node : str
        Name of the agent's node.
    status : WorkerStatus or None
        The latest report on the current connection.
    ratio : float
        Run time ratio that placement expects: the usual one of the latest report, unless the recent
        one is clearly higher.
    connected : bool
    orders_sent : int
        Number of orders sent on the current connection.
    unacknowledged : deque of (int, int, int, int)
        Number, cpu, memory and gpu of each order that the latest report does not cover.
    pending_cpu, pending_memory, pending_gpu : int
        Sums of the resources of these orders.
    avoid_until : float
        Monotonic seconds until which other workers are preferred.
    tasks : dict
        Tasks whose latest run the agent holds, by task key.
    runs_lost_at : float
        While disconnected, monotonic seconds from which these runs count as lost.
    evacuated : bool
        Whether this entry knows that the worker's zone is evacuated; its agent may not know yet.
    cold_run_time_ratio : float or None
        While the worker is cold, moving average of run time over estimate of the runs that it has
        completed for this entry; None before the first.
    cold_ratio_at : float
        Monotonic seconds of the latest of these runs.
    reported_at : float
        Monotonic seconds at which the latest report was received.
    clock_offset_s : float or None
        This process's clock less the agent's, by the report on the current connection that took
        the shortest time; None before the first.
    address, incarnation : str
        Where the agent was last reached, and identity of its process.
    is_former : bool
        Whether this view only holds the runs on a machine that another one has replaced.
    """

    node: str
    zone: str = ""
    status: object = None
    ratio: float = NEUTRAL_RUN_TIME_RATIO
    connected: bool = False
    orders_sent: int = 0
    unacknowledged: deque = field(factory=deque)
    pending_cpu: int = 0
    pending_memory: int = 0
    pending_gpu: int = 0
    avoid_until: float = 0.0
    tasks: dict = field(factory=dict)
    runs_lost_at: float = 0.0
    evacuated: bool = False
    cold_run_time_ratio: float | None = None
    cold_ratio_at: float = 0.0
    reported_at: float = 0.0
    clock_offset_s: float | None = None

    address: str = ""
    incarnation: str = ""
    is_former: bool = False

    @property
    def worker_id(self):
        """Identifier of the worker in the latest report, empty if there is none."""
        return self.status.worker if self.status is not None else ""

    @property
    def is_ready(self):
        """Whether the worker may get new tasks."""
        reported_ready = self.status is not None and self.status.state == READY
        return self.connected and reported_ready and not self.evacuated

    @property
    def is_cold(self):
        """Whether the worker is slow because it is cold after the restoration of its zone."""
        return self.status is not None and self.status.cold_left_ms > 0

    @property
    def cpu_free(self):
        """Free thousandths of a core, less orders in flight."""
        return self.status.cpu_free - self.pending_cpu

    @property
    def cpu_queued(self):
        """Thousandths of a core that runs queued at the agent need, by all entries.

        What running work uses beyond a capacity that has shrunk is not queued.
        """
        held = sum(self.status.cpu_by_priority)
        excess = -self.cpu_free
        if held:
            excess = min(excess, held + self.pending_cpu - self.status.cpu)
        return max(0, excess)

    def fits_when_empty(self, step):
        """Return whether a task of `step` fits the worker's whole capacity and its labels."""
        status = self.status
        fits = step.cpu <= status.cpu and step.memory_mb <= status.memory_mb
        return fits and step.gpu <= status.gpu and (not step.label or step.label in status.labels)

    def fits_now(self, step):
        """Return whether a task of `step` fits the worker's free capacity and its labels."""
        status = self.status
        return (
            step.cpu <= status.cpu_free - self.pending_cpu
            and step.memory_mb <= status.memory_free - self.pending_memory
            and step.gpu <= status.gpu_free - self.pending_gpu
            and (not step.label or step.label in status.labels)
        )

    def record_order(self, step):
        """Subtract an order for a task of `step` from free capacity until a report covers it."""
        self.orders_sent += 1
        self.unacknowledged.append((self.orders_sent, step.cpu, step.memory_mb, step.gpu))
        self.pending_cpu += step.cpu
        self.pending_memory += step.memory_mb
        self.pending_gpu += step.gpu

    def update_status(self, status):
        """Store a newer report and drop the orders that it covers."""
        self.status = status
        if not self.is_cold:
            self.cold_run_time_ratio = None
        recent = RECENT_RATIO_SHARE * status.run_time_ratio
        self.ratio = max(status.usual_run_time_ratio, recent)
        while self.unacknowledged and self.unacknowledged[0][0] <= status.orders_received:
            _, cpu, memory_mb, gpu = self.unacknowledged.popleft()
            self.pending_cpu -= cpu
            self.pending_memory -= memory_mb
            self.pending_gpu -= gpu

    def record_cold_run(self, run_ms, expected_ms, now):
        """Learn the speed of a cold worker from a completed run."""
        ratio = run_ms / max(expected_ms, MIN_EXPECTED_MS)
        former = ratio if self.cold_run_time_ratio is None else self.cold_run_time_ratio
        self.cold_run_time_ratio = former + COLD_RATIO_WEIGHT * (ratio - former)
        self.cold_ratio_at = now

    def record_clock(self, agent_clock, now):
        """Update the estimate of the agent's clock from a value that has just arrived."""
        offset_s = now - agent_clock
        if self.clock_offset_s is None or offset_s < self.clock_offset_s:
            self.clock_offset_s = offset_s

    def news_age_ms(self, event, now):
        """Return how long ago the agent learnt of a `TaskEvent` that has just arrived.

        The time that the fastest report on the connection took is not included.

        Returns
        -------
        float or None
            Milliseconds; None if the agent does not state it.
        """
        if not event.agent_clock or self.clock_offset_s is None:
            return None
        return max(0.0, (now - event.agent_clock - self.clock_offset_s) * 1000)

    def connect(self):
        """Reset the view for a new connection, on which reports count orders from 0."""
        self.connected = True
        self.status = None
        self.clock_offset_s = None
        self.orders_sent = 0
        self.unacknowledged.clear()
        self.pending_cpu = self.pending_memory = self.pending_gpu = 0


DEGRADED_FACTOR = 1.8
"""From this multiple of its own usual run time ratio a worker is degraded; the ratios of healthy
workers stay closer together."""

MAX_RELATIVE_RUN_TIME = 3.0
"""From this multiple of the median run time ratio a worker counts as degraded whatever its usual
ratio, so that one which has been slow since it started is found too."""


UNEVEN_SPEED_SHARE = 0.68
"""Workers differ in speed if the mean speed of the slowest quarter is below this share of the
median. Workers of 0.8 beside 1.0, which serve tasks of any length on time, fall below 0.75 because
ratios are known to 10 % only."""

LOW_UTILISATION, HIGH_UTILISATION = 0.5, 0.9
"""Utilisation (in cores x speed) below which the fast workers have room for everything, and from
which they are left to the tasks that need them."""


class ServiceBaseline:
    """Medians of the run time ratios of a service's ready workers, to compare workers with.

    A run time ratio is run time over estimate. Estimates may be biased on all workers alike, so a
    worker's ratio is meaningful only relative to the median.

    Attributes
    ----------
    mean_usual : float
        Geometric mean of the workers' usual ratios.
    median_recent : float
        Median of the workers' recent ratios.
    median_expected : float
        Median of the ratios that placement expects.
    is_uneven : bool
        Whether workers differ so much in speed that placement chooses by speed.
    slow_worker_share : float
        How much placement prefers slow workers for tasks that are on time there, 0 to 1.
    common_change : float
        Median of the workers' recent ratios over their usual ones, at least 1. It rises when the
        estimates of all tasks become too low, which no worker has to answer for.
    """

    def __init__(self):
        self.mean_usual = NEUTRAL_RUN_TIME_RATIO
        self.median_recent = NEUTRAL_RUN_TIME_RATIO
        self.median_expected = NEUTRAL_RUN_TIME_RATIO
        self.is_uneven = False
        self.slow_worker_share = 0.0
        self.common_change = 1.0

    def refresh(self, views):
        """Recompute the medians over the ready workers of the service."""
        reports = [view.status for view in views]
        changes = [status.run_time_ratio / status.usual_run_time_ratio for status in reports]
        self.mean_usual = geometric_mean([status.usual_run_time_ratio for status in reports])
        self.median_recent = upper_median([status.run_time_ratio for status in reports])
        expected = sorted(view.ratio for view in views)
        self.median_expected = upper_median(expected)
        slowest = expected[-max(1, len(expected) // 4) :]
        speeds = [self.median_expected / ratio for ratio in slowest]
        self.is_uneven = sum(speeds) < UNEVEN_SPEED_SHARE * len(speeds)
        cpu = sum(status.cpu / status.usual_run_time_ratio for status in reports)
        free = sum(max(0, status.cpu_free) / status.usual_run_time_ratio for status in reports)
        excess = 1 - free / cpu - LOW_UTILISATION if cpu else 0.0
        self.slow_worker_share = min(1.0, max(0.0, excess / (HIGH_UTILISATION - LOW_UTILISATION)))
        self.common_change = max(1.0, upper_median(changes))

    def relative_usual_ratio(self, view):
        """Return a worker's usual ratio relative to the average."""
        if view.status is None:
            return 1.0
        return view.status.usual_run_time_ratio / self.mean_usual

    def is_degraded(self, view):
        """Return whether a worker has become slower, or is far slower than the others."""
        status = view.status
        usual = status.usual_run_time_ratio * self.common_change
        return (
            status.run_time_ratio >= DEGRADED_FACTOR * usual
            or status.run_time_ratio >= MAX_RELATIVE_RUN_TIME * self.median_recent
        )

    def relative_run_time(self, view):
        """Return a worker's run time ratio as a multiple of the median."""
        return view.ratio / self.median_expected


class RunTimeBaseline:
    """Baselines by service: a task can run on the workers of its own service only.

    Attributes
    ----------
    by_service : dict of str to ServiceBaseline
        Baselines of the services that have ready workers.
    """

    def __init__(self):
        self.by_service = {}

    def refresh(self, workers):
        """Recompute the baselines over the ready workers."""
        views_by_service = {}
        for view in workers:
            if view.is_ready:
                views_by_service.setdefault(view.status.service, []).append(view)
        self.by_service = {service: ServiceBaseline() for service in views_by_service}
        for service, views in views_by_service.items():
            self.by_service[service].refresh(views)

    def of_service(self, service):
        """Return the baseline of a service, a neutral one if none of its workers is ready."""
        return self.by_service.get(service) or ServiceBaseline()

    @property
    def is_uneven(self):
        """Whether the workers of any service differ in speed."""
        return any(baseline.is_uneven for baseline in self.by_service.values())

    def relative_usual_ratio(self, view, service):
        """Return a worker's usual ratio relative to the average of a service."""
        return self.of_service(service).relative_usual_ratio(view)

    def is_degraded(self, view):
        """Return whether a worker has become slower, or is far slower than the others."""
        return self.of_service(view.status.service).is_degraded(view)

    def relative_run_time(self, view):
        """Return a worker's run time ratio as a multiple of the median of its service."""
        return self.of_service(view.status.service).relative_run_time(view)


def geometric_mean(values):
    """Return the geometric mean, or `NEUTRAL_RUN_TIME_RATIO` if there are no values."""
    if not values:
        return NEUTRAL_RUN_TIME_RATIO
    return math.exp(sum(map(math.log, values)) / len(values))


def upper_median(values):
    """Return the upper median, or `NEUTRAL_RUN_TIME_RATIO` if there are no values."""
    return sorted(values)[len(values) // 2] if values else NEUTRAL_RUN_TIME_RATIO
