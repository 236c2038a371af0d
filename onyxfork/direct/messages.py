"""Messages of direct dispatch: between entry and agent, and between a node and control."""

from attrs import define, field

from onyxfork.messages.codec import message

__all__ = [
    "TaskRef",
    "TaskOrder",
    "TaskEvent",
    "PlaceTasks",
    "Withdraw",
    "Recall",
    "Resume",
    "TaskEvents",
    "WorkerStatus",
    "Register",
    "DirectoryNode",
    "Directory",
    "ConfigurationDocument",
    "DocumentAnnounced",
    "FetchDocument",
    "DocumentTransfer",
    "AgentAnnounced",
]


@define(slots=True, frozen=True)
class TaskRef:
    """One run of a task; a later run of the same task has a higher number."""

    job: str
    step: int
    index: int
    run: int

    @property
    def key(self):
        """The task without its run."""
        return (self.job, self.step, self.index)


@define(slots=True)
class TaskOrder:
    """A task to run.

    Parameters
    ----------
    cpu : int
        Thousandths of a core.
    memory_mb, gpu : int
    expected_ms : float
        Estimated run time.
    slack_ms : float
        How long the start may still wait, counted from when the order was sent; work with less
        slack starts first.
    """

    job: str
    step: int
    index: int
    run: int
    spec: str
    cpu: int
    memory_mb: int
    gpu: int
    expected_ms: float
    slack_ms: float

    @property
    def ref(self):
        """The run that is ordered."""
        return TaskRef(self.job, self.step, self.index, self.run)


@define(slots=True)
class TaskEvent:
    """What became of a run at an agent.

    Parameters
    ----------
    kind : str
        ``started``, ``done``, ``failed``, ``stopped`` and ``lost`` (began, and surely runs no
        more), ``returned`` (never began and never will).
    reason : str
    run_ms, queue_ms : float
    """

    job: str
    step: int
    index: int
    run: int
    kind: str
    reason: str = ""
    run_ms: float = 0.0
    queue_ms: float = 0.0


@message(130)
@define
class PlaceTasks:
    """Tasks for a worker.

    Parameters
    ----------
    agent_clock : float
        The latest value of the agent's clock that the entry has heard on this connection. The agent
        knows from it how old the orders are at most, and hands back those that are stale.
    """

    orders: list[TaskOrder]
    agent_clock: float


@message(131)
@define
class Withdraw:
    """Runs that are not wanted any more; each is answered by an event."""

    refs: list[TaskRef]


@message(136)
@define
class Recall:
    """Runs that may start sooner elsewhere; those that have not been started are handed back."""

    refs: list[TaskRef]


@message(132)
@define
class Resume:
    """First message of an entry on a new connection: the runs it believes to be at the agent.

    Every other run of the same entry is stopped; each of these is answered by an event if it is
    not there any more.
    """

    refs: list[TaskRef]


@message(133)
@define
class TaskEvents:
    """News of runs that the receiver placed."""

    events: list[TaskEvent]


@message(134)
@define
class WorkerStatus:
    """State and room of a worker.

    Parameters
    ----------
    worker : str
        Identity of the worker's present lifetime, empty before there is one.
    service : str
    state : str
        ``ready``, ``draining``, ``suspect`` (does not answer) or ``absent``.
    cpu, memory_mb, gpu : int
        Whole capacity.
    cpu_free, memory_free, gpu_free : int
        Capacity less what runs and what waits here; negative when more waits than fits.
    orders_received : int
        Orders that had arrived from the receiver on this connection.
    run_time_ratio : float
        Run times in multiples of their estimates, averaged.
    failure_share : float
        Share of recent runs that failed, 0 to 1.
    labels : list of str
    clock : float
        The agent's clock when it reported; `PlaceTasks` returns it.
    """

    worker: str
    service: str
    state: str
    cpu: int
    memory_mb: int
    gpu: int
    cpu_free: int
    memory_free: int
    gpu_free: int
    orders_received: int
    run_time_ratio: float
    failure_share: float
    labels: list[str] = field(factory=list)
    clock: float = 0.0


@message(140)
@define
class Register:
    """A node tells control where other nodes reach it; `version` is of the configuration held."""

    address: str
    version: int = 0


@define(slots=True)
class DirectoryNode:
    """An entry or agent and where it is reached."""

    node: str
    role: str
    zone: str
    address: str


@message(141)
@define
class Directory:
    """Entries and agents that control knows of, and the addresses of its own instances."""

    nodes: list[DirectoryNode]
    control: list[str]


@message(142)
@define
class ConfigurationDocument:
    """A configuration as the operator sent it."""

    version: int
    body: bytes


@message(144)
@define
class DocumentAnnounced:
    """A control instance tells a node which configuration is in force; see `FetchDocument`."""

    version: int


@message(145)
@define
class FetchDocument:
    """A node asks one control instance for the newest configuration."""


@message(146)
@define
class DocumentTransfer:
    """The newest configuration of a control instance, compressed with zlib."""

    version: int
    compressed: bytes


@message(143)
@define
class AgentAnnounced:
    """An agent tells an entry that has lost it where it is; see `Directory`."""

    agent: DirectoryNode
    document: ConfigurationDocument | None = None
