"""Rows of an agent's tables: the runs at its worker, and the worker itself."""

from attrs import define, field

from onyxfork.direct.messages import TaskEvent

__all__ = ["Run", "Worker", "Session", "STALE_AFTER_S"]

READY = "ready"
QUEUED = "queued"
STARTING = "starting"
RUNNING = "running"
STOPPING = "stopping"

STALE_AFTER_S = 0.45
"""Orders that are older than this may be of a connection that their entry has given up: after a
pause of this process or a stall of the network they are read before its end is. Their tasks may run
elsewhere by then; see `LOST_AFTER_S`."""


@define(eq=False, slots=True)
class Run:
    """One run of a task at this worker.

    Parameters
    ----------
    order : TaskOrder
    session : Session
        Of the entry that ordered it.
    latest_start : float
        Monotonic seconds; the lowest starts first.
    state : str
        ``queued``, ``starting`` (ordered, not answered), ``running`` or ``stopping``.
    started_at : float or None
        When the worker confirmed the start.
    doubtful : bool
        Whether the worker left the order to start unanswered.
    stop_answered_at : float or None
        When the worker answered an order to stop.
    reason : str
        Why the run is taken back.
    percent, moved_at : int, float
        Latest progress, and when it last grew.
    looked_at : float
        When the progress was last asked for.
    """

    order: object
    session: object
    arrived_at: float
    latest_start: float
    state: str = QUEUED
    started_at: float | None = None
    ordered_at: float = 0.0
    doubtful: bool = False
    stop_answered_at: float | None = None
    reason: str = ""
    percent: int = 0
    moved_at: float = 0.0
    looked_at: float = 0.0

    @property
    def key(self):
        """The task."""
        return (self.order.job, self.order.step, self.order.index)

    @property
    def began(self):
        """Whether the worker has confirmed the start."""
        return self.started_at is not None

    def event(self, kind, now, reason=""):
        """Return news of this run for the entry."""
        order = self.order
        run_ms = (now - self.started_at) * 1000 if self.began else 0.0
        begun_at = self.started_at if self.began else now
        queue_ms = (begun_at - self.arrived_at) * 1000
        return TaskEvent(
            order.job, order.step, order.index, order.run, kind, reason, run_ms, queue_ms
        )


@define(slots=True)
class Worker:
    """One lifetime of the worker beside an agent.

    Parameters
    ----------
    id : str
    started_ms : int
        When the lifetime began, by the worker's wall clock.
    state : str
        ``ready`` or ``draining``.
    cpu, memory_mb, gpu : int
        Capacity.
    labels : list of str
    sequence : int
        Of the latest report.
    """

    id: str
    started_ms: int
    service: str
    state: str
    cpu: int
    memory_mb: int
    gpu: int
    labels: list = field(factory=list)
    sequence: int = 0


@define(eq=False)
class Session:
    """An entry's process, over all its connections.

    Parameters
    ----------
    entry : str
        The entry's node.
    incarnation : str
        Of the entry's process.
    connection : Connection or None
    gone_at : float
        When the latest connection ended.
    orders_received : int
        Orders on the present connection.
    ended : dict
        Events of runs that have ended, by reference, for an entry that comes back.
    heard : float or None
        The latest value of this agent's clock that the entry is known to have heard.
    """

    entry: str
    incarnation: str
    connection: object = None
    gone_at: float = 0.0
    orders_received: int = 0
    ended: dict = field(factory=dict)
    events: list = field(factory=list)
    heard: float | None = None

    def note_heard(self, heard):
        """Note a value of this agent's clock that the entry has heard."""
        if self.heard is None or heard > self.heard:
            self.heard = heard
