"""Messages of direct dispatch: between entries and agents, and between nodes and control."""

from attrs import define, field

from onyxfork.messages.codec import message

__all__ = [
    "TaskRef",
    "TaskOrder",
    "TaskEvent",
    "PlaceTasks",
    "share_specs",
    "restore_specs",
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
    "EvacuationsAnnounced",
    "CrashCount",
    "CrashReport",
]


@define(slots=True, frozen=True)
class TaskRef:
    """Identify one run of a task; a later run of the same task has a higher number."""

    job: str
    step: int
    index: int
    run: int

    @property
    def key(self):
        """Identity of the task, without the run's number."""
        return (self.job, self.step, self.index)


@define(slots=True)
class TaskOrder:
    """An order to run a task.

    Parameters
    ----------
    job : str
    step, index, run : int
        Position of the step in the job and of the task in the step, and the run's number.
    spec : str
        What the task runs; passed to the worker unchanged.
    cpu : int
        Thousandths of a core that the task needs.
    memory_mb, gpu : int
        Memory and GPUs that the task needs.
    expected_ms : float
        Expected run time.
    slack_ms : float
        Time left until the latest start when the order was sent; tasks with less slack start
        first.
    crashes, suspected : int
        Workers that have crashed while they ran the task, and those of them in whose crash it is a
        suspect.
    priority : int
        Priority of the job's queue, 0 is the highest.
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
    crashes: int = 0
    suspected: int = 0
    priority: int = 0

    @property
    def ref(self):
        """Reference to the ordered run."""
        return TaskRef(self.job, self.step, self.index, self.run)


@define(slots=True)
class TaskEvent:
    """A change in the state of a run at an agent.

    Parameters
    ----------
    kind : str
        ``started``, ``done``, ``failed``, ``stopped`` or ``lost`` (both: the run had
        started and has certainly ended), or ``returned`` (has not started and will not).
    reason : str
    run_ms, queue_ms : float
        How long the run took, and how long it was queued at the agent before.
    worker_started_ms : int
        Start of the worker's lifetime that has the run; 0 if it is not known or not stated.
    agent_clock : float
        The agent's clock when it learnt of the change; 0 in events of agents that do not state it.
    """

    job: str
    step: int
    index: int
    run: int
    kind: str
    reason: str = ""
    run_ms: float = 0.0
    queue_ms: float = 0.0
    worker_started_ms: int = 0
    agent_clock: float = 0.0


@message(130)
@define
class PlaceTasks:
    """Orders for an agent's worker.

    Parameters
    ----------
    orders : list of TaskOrder
        Orders of one job have the same `spec`; only the first carries it, see `share_specs`.
    agent_clock : float
        The latest value of the agent's clock that the entry has received on this connection. It is
        a lower bound on when the orders were sent; the agent returns those that are stale.
    """

    orders: list[TaskOrder]
    agent_clock: float


def share_specs(orders):
    """Clear the spec of every order but the first of each job, before the orders are sent."""
    jobs = set()
    for order in orders:
        if order.job in jobs:
            order.spec = ""
        jobs.add(order.job)


def restore_specs(orders):
    """Set the specs that `share_specs` has cleared."""
    specs = {}
    for order in orders:
        order.spec = specs.setdefault(order.job, order.spec)


@message(131)
@define
class Withdraw:
    """Runs to be stopped or dropped; the agent acknowledges each with an event."""

    refs: list[TaskRef]


@message(136)
@define
class Recall:
    """Runs that may start sooner on another worker; the agent returns those not yet started."""

    refs: list[TaskRef]


@message(132)
@define
class Resume:
    """First message of an entry on a new connection: the runs that the agent should hold.

    The agent stops all other runs of the entry, and sends an event for each listed run that it no
    longer holds.

    Parameters
    ----------
    address : str
        Where the entry accepts announcements.
    """

    refs: list[TaskRef]
    address: str = ""


@message(133)
@define
class TaskEvents:
    """Events of runs that the receiving entry has ordered."""

    events: list[TaskEvent]


@define(slots=True)
class CrashCount:
    """Crashes of workers while they ran a task, and those of them in which it is a suspect."""

    job: str
    step: int
    index: int
    crashes: int
    suspected: int


@message(137)
@define
class CrashReport:
    """Counts of the tasks that a crashed worker ran.

    An agent sends them to every connected entry, before the events of the lost runs; the job of a
    task may be sent to another entry next.
    """

    counts: list[CrashCount]


@message(134)
@define
class WorkerStatus:
    """State and free capacity of a worker.

    Parameters
    ----------
    worker : str
        Identity of the current worker process, empty before the first.
    service : str
        The kind of worker.
    state : str
        ``ready``, ``draining``, ``evacuated`` (so is its zone), ``suspect`` (does not answer) or
        ``absent``.
    cpu, memory_mb, gpu : int
        Total capacity.
    cpu_free, memory_free, gpu_free : int
        Total capacity less running and queued tasks; negative if more is queued than fits.
    orders_received : int
        Number of orders received on this connection.
    run_time_ratio : float
        Moving average of run time over estimate.
    failure_share : float
        Share of recent runs that failed, 0 to 1.
    labels : list of str
    clock : float
        The agent's clock at the time of the report; `PlaceTasks` sends it back.
    cold_left_ms : float
        For a worker in a restored zone, how long it remains slow because it is cold.
    cpu_by_priority : list of int
        Thousandths of a core that running and queued tasks of each priority hold, over all entries;
        the index is the priority. Empty in reports of agents that do not state it.
    usual_run_time_ratio : float
        Average of run time over estimate in this lifetime of the worker, over some hundred runs.
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
    cold_left_ms: float = 0.0
    cpu_by_priority: list[int] = field(factory=list)
    usual_run_time_ratio: float = 1.0


@message(140)
@define
class Register:
    """Sent by a node to control on each new connection, and again after a change.

    Parameters
    ----------
    address : str
        The node's address for other nodes.
    version : int
        Version of the configuration that it holds.
    labels : list of str
        Labels of an agent's worker.
    wanted_labels : list of str
        Labels for which an entry lacks capacity.
    """

    address: str
    version: int = 0
    labels: list[str] = field(factory=list)
    wanted_labels: list[str] = field(factory=list)


@define(slots=True)
class DirectoryNode:
    """An entry or agent with its address."""

    node: str
    role: str
    zone: str
    address: str


@message(141)
@define
class Directory:
    """Sent by a control instance to a node: the nodes it should connect to.

    Parameters
    ----------
    nodes : list of DirectoryNode
        For an entry, the agents assigned to it; empty for an agent.
    control : list of str
        Addresses of all control instances.
    """

    nodes: list[DirectoryNode]
    control: list[str]


@message(142)
@define
class ConfigurationDocument:
    """A configuration as sent by the operator."""

    version: int
    body: bytes


@message(144)
@define
class DocumentAnnounced:
    """Sent by a control instance to a node: the version of the configuration in force."""

    version: int


@message(145)
@define
class FetchDocument:
    """Sent by a node to one control instance: a request for its newest configuration."""


@message(146)
@define
class DocumentTransfer:
    """Reply to `FetchDocument`: a configuration, compressed with zlib."""

    version: int
    compressed: bytes


@message(143)
@define
class AgentAnnounced:
    """Sent by an agent to an entry that has lost its connection: the agent's address.

    With it the entry can connect to the agent although control is unavailable.
    """

    agent: DirectoryNode


@message(147)
@define
class EvacuationsAnnounced:
    """Sent by control to nodes, and between entries and agents: all evacuated zones.

    Parameters
    ----------
    index : int
        Log index of the change that resulted in this list; a node ignores a lower one.
    zones : list of str
    age_ms : float
        Time since that change, as far as the sender knows.
    """

    index: int
    zones: list[str]
    age_ms: float = 0.0
