"""An entry's view of the workers, from the reports of their agents."""

from collections import deque

from attrs import define, field

__all__ = ["WorkerView", "RunTimeBaseline"]

READY = "ready"
NEUTRAL_RUN_TIME_RATIO = 1.0
MIN_EXPECTED_MS = 1.0

COLD_RATIO_WEIGHT = 0.3
"""Weight of the latest run in a cold worker's average: a worker warms up within seconds, and the
average of about three runs more than halves the error of estimates, which are off by 40 %."""


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
    """

    node: str
    zone: str = ""
    status: object = None
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

    def connect(self):
        """Reset the view for a new connection, on which reports count orders from 0."""
        self.connected = True
        self.status = None
        self.orders_sent = 0
        self.unacknowledged.clear()
        self.pending_cpu = self.pending_memory = self.pending_gpu = 0


class RunTimeBaseline:
    """Median run-time ratio of the ready workers, the baseline for comparing workers.

    A run-time ratio is run time over estimate. Estimates may be biased on all workers alike, so a
    worker's ratio is meaningful only relative to the median.
    """

    def __init__(self):
        self.median_ratio = NEUTRAL_RUN_TIME_RATIO

    def refresh(self, workers):
        """Recompute the median over the ready workers."""
        ratios = sorted(view.status.run_time_ratio for view in workers if view.is_ready)
        self.median_ratio = ratios[len(ratios) // 2] if ratios else NEUTRAL_RUN_TIME_RATIO

    def relative_run_time(self, view):
        """Return a worker's run-time ratio as a multiple of the median."""
        return view.status.run_time_ratio / self.median_ratio
