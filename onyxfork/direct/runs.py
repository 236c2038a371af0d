"""Records of an agent: the runs at its worker, the worker and the sessions of entries."""

from attrs import define, field

from onyxfork.direct.messages import TaskEvent

__all__ = ["Run", "Worker", "Session", "ABSENT", "STALE_AFTER_S"]

READY = "ready"
ABSENT = "absent"
DRAINING = "draining"
EVACUATED = "evacuated"
QUEUED = "queued"
STARTING = "starting"
RUNNING = "running"
STOPPING = "stopping"

TOO_LARGE = "too large"
"""Reason for returning a run that would not fit the worker even if nothing else ran there, because
its capacity has shrunk since the order was sent."""

STALE_AFTER_S = 0.45
"""Orders older than this are returned. After a pause of this process or a stall of the network,
orders may be read from a connection that their entry has already closed, and their tasks may run on
another worker. `LOST_AFTER_S` in :mod:`onyxfork.direct.dispatcher_news`, the time after which an
entry declares the runs of an agent lost, includes this limit."""


@define(eq=False, slots=True)
class Run:
    """One run of a task at this worker.

    Parameters
    ----------
    order : TaskOrder
    session : Session
        Session of the entry that ordered the run.
    arrived_at : float
        When the order arrived; like all times of a run in seconds of the monotonic clock.
    latest_start : float
        Deadline of the start; the run with the lowest value starts first.
    state : str
        ``queued``, ``starting`` (sent to the worker, not answered yet), ``running`` or
        ``stopping``.
    started_at : float or None
        When the worker confirmed the start.
    ordered_at : float
        When the start was requested from the worker.
    token : int
        Fencing token of the latest order to start it, 0 before.
    start_until_ms : int
        By the worker's clock, when it begins to refuse the latest order to start the run as late.
    lifetime : (str, int)
        Identifier and start of the worker's lifetime that has answered the order to start it, or
        that was sent the order if none has.
    start_unconfirmed : bool
        Whether the order to start timed out without an answer of the worker.
    stop_acknowledged_at : float or None
        When the worker acknowledged an order to stop.
    withdrawn_contact : float or None
        Latest contact with its entry before the entry withdrew the run; None while it has not.
    reason : str
        Why the run is stopped, empty while it is not.
    percent : int
        Latest progress.
    progressed_at : float
        When the progress last increased.
    progress_read_at : float
        When the latest progress was requested.
    found_progressing : bool
        Whether the run has counted as one that makes progress.
    """

    order: object
    session: object
    arrived_at: float
    latest_start: float
    state: str = QUEUED
    started_at: float | None = None
    ordered_at: float = 0.0
    token: int = 0
    start_until_ms: int = 0
    lifetime: tuple = ("", 0)
    start_unconfirmed: bool = False
    stop_acknowledged_at: float | None = None
    withdrawn_contact: float | None = None
    reason: str = ""
    percent: int = 0
    progressed_at: float = 0.0
    progress_read_at: float = 0.0
    found_progressing: bool = False

    @property
    def key(self):
        """Key of the task, without the run number."""
        return (self.order.job, self.order.step, self.order.index)

    @property
    def is_settled(self):
        """Whether the worker certainly doesn't have the run, or has agreed to stop it."""
        return self.state == QUEUED or self.stop_acknowledged_at is not None

    @property
    def start_is_answered(self):
        """Whether the worker has answered the order to start."""
        return self.state not in (QUEUED, STARTING) and not self.start_unconfirmed

    @property
    def has_started(self):
        """Whether the worker has confirmed the start."""
        return self.started_at is not None

    def make_event(self, kind, now, reason=""):
        """Return an event about this run for its entry."""
        order = self.order
        run_ms = (now - self.started_at) * 1000 if self.has_started else 0.0
        queued_until = self.started_at if self.has_started else now
        queue_ms = (queued_until - self.arrived_at) * 1000
        return TaskEvent(
            order.job,
            order.step,
            order.index,
            order.run,
            kind,
            reason,
            run_ms,
            queue_ms,
            self.lifetime[1],
            now,
        )


@define(slots=True)
class Worker:
    """One lifetime of an agent's worker, from its start to its end.

    Parameters
    ----------
    id : str
    started_ms : int
        Start of the lifetime by the worker's wall clock.
    service : str
    state : str
        ``ready``, ``draining``, or ``absent`` while the lifetime has not reported.
    cpu, memory_mb, gpu : int
        Capacity; `cpu` in thousandths of a core.
    labels : list of str
    sequence : int
        Sequence number of the latest report.
    cold_left_ms : float
        How long the worker remains slow because it is cold, at the time of the report.
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
    cold_left_ms: float = 0.0

    @property
    def lifetime(self):
        """Identifier and start of the lifetime; a worker may start again under its identifier."""
        return self.id, self.started_ms

    def make_unreported(self, started_ms):
        """Return a lifetime under the same identifier of which only the start is known."""
        return Worker(self.id, started_ms, self.service, ABSENT, 0, 0, 0, sequence=-1)


@define(eq=False)
class Session:
    """An entry's process as an agent knows it, across reconnects.

    Parameters
    ----------
    entry : str
        Name of the entry's node.
    incarnation : str
        Identity of the entry's process; a restart changes it.
    connection : Connection or None
        The open connection, None while there is none.
    connection_number : int
        Number of the latest connection among those that this agent has accepted.
    disconnected_at : float
        When the latest connection was closed.
    orders_received : int
        Number of orders received on the open connection.
    ended_events : dict
        The latest events of ended runs by `TaskRef`, sent again if the entry reconnects.
    events : list of TaskEvent
        Events to be sent.
    events_scheduled : bool
        Whether a timer will send them.
    latest_status : WorkerStatus or None
        The latest status report on the open connection.
    latest_agent_clock : float or None
        The latest value of this agent's clock that the entry is known to have received.
    """

    entry: str
    incarnation: str
    connection: object = None
    connection_number: int = 0
    disconnected_at: float = 0.0
    orders_received: int = 0
    ended_events: dict = field(factory=dict)
    events: list = field(factory=list)
    events_scheduled: bool = False
    latest_status: object = None
    latest_agent_clock: float | None = None

    def update_agent_clock(self, agent_clock):
        """Record a value of this agent's clock that the entry has received."""
        if self.latest_agent_clock is None or agent_clock > self.latest_agent_clock:
            self.latest_agent_clock = agent_clock
