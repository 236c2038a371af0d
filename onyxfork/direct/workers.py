"""An entry's table of workers, as their agents report them."""

from collections import deque

from attrs import define, field

__all__ = ["WorkerView", "RunTimeBaseline"]

READY = "ready"
NEUTRAL_RUN_TIME_RATIO = 1.0


@define(eq=False, slots=True)
class WorkerView:
    """What an entry believes of one worker.

    The agent's report lags behind what the entry has sent; orders that the report does not cover
    yet are subtracted from the reported room.

    Parameters
    ----------
    node : str
        The agent's node.
    status : WorkerStatus or None
        The latest report.
    connected : bool
    sent : int
        Orders sent on the present connection.
    unseen : deque of (int, int, int, int)
        Number, cpu, memory and gpu of each order that the latest report does not cover.
    avoid_until : float
        Monotonic seconds until which new work goes elsewhere if there is anywhere else.
    tasks : dict
        Runs at the agent by task key.
    """

    node: str
    zone: str = ""
    status: object = None
    connected: bool = False
    sent: int = 0
    unacknowledged: deque = field(factory=deque)
    pending_cpu: int = 0
    pending_memory: int = 0
    pending_gpu: int = 0
    avoid_until: float = 0.0
    tasks: dict = field(factory=dict)
    runs_lost_at: float = 0.0

    @property
    def is_ready(self):
        """Whether new work may go there."""
        return self.connected and self.status is not None and self.status.state == READY

    @property
    def cpu_free(self):
        """Thousandths of a core without work that is known of."""
        return self.status.cpu_free - self.pending_cpu

    def fits_when_empty(self, step):
        """Return whether a task of `step` fits into the empty worker."""
        status = self.status
        fits = step.cpu <= status.cpu and step.memory_mb <= status.memory_mb
        return fits and step.gpu <= status.gpu and (not step.label or step.label in status.labels)

    def fits_now(self, step):
        """Return whether a task of `step` fits now."""
        status = self.status
        return (
            step.cpu <= status.cpu_free - self.pending_cpu
            and step.memory_mb <= status.memory_free - self.pending_memory
            and step.gpu <= status.gpu_free - self.pending_gpu
            and (not step.label or step.label in status.labels)
        )

    def record_order(self, step):
        """Subtract an order from the room until a report covers it."""
        self.sent += 1
        self.unacknowledged.append((self.sent, step.cpu, step.memory_mb, step.gpu))
        self.pending_cpu += step.cpu
        self.pending_memory += step.memory_mb
        self.pending_gpu += step.gpu

    def update_status(self, status):
        """Take a newer report."""
        self.status = status
        while self.unacknowledged and self.unacknowledged[0][0] <= status.orders_received:
            _, cpu, memory_mb, gpu = self.unacknowledged.popleft()
            self.pending_cpu -= cpu
            self.pending_memory -= memory_mb
            self.pending_gpu -= gpu

    def connect(self):
        """Begin anew on a fresh connection, whose reports count orders from 0."""
        self.connected = True
        self.status = None
        self.sent = 0
        self.unacknowledged.clear()
        self.pending_cpu = self.pending_memory = self.pending_gpu = 0


class RunTimeBaseline:
    """Relative speed of workers: run times over estimates, less what all workers have in common.

    Estimates may be off in the same direction everywhere, so a worker's pace counts only against
    the middle of all.
    """

    def __init__(self):
        self.median_ratio = NEUTRAL_RUN_TIME_RATIO

    def refresh(self, workers):
        """Take the middle of the workers' paces."""
        paces = sorted(view.status.run_time_ratio for view in workers if view.is_ready)
        self.median_ratio = paces[len(paces) // 2] if paces else NEUTRAL_RUN_TIME_RATIO

    def relative_run_time(self, view):
        """Return a worker's run times in multiples of the middle worker's."""
        return view.status.run_time_ratio / self.median_ratio
