"""State of an agent: the tasks that it received, their results and the owner that it accepts."""

from collections import deque
from heapq import heappush

from attrs import define, field

from onyxfork.messages import TaskResult, TaskStart

__all__ = ["AgentTask", "AgentState", "Leadership"]


@define(slots=True)
class AgentTask:
    """A task known to an agent.

    An ended task that has not started is a tombstone: attempts up to `attempt` never start.

    Parameters
    ----------
    state : str
        ``queued``, ``running`` or ``ended``.
    start : TaskStart or None
        What to run; None once the task has ended.
    started : bool
        Whether the task started at the upstream; false again if it ended as ``not_run`` there.
    """

    submission: str
    index: int
    attempt: int
    state: str
    start: TaskStart | None = None
    result: TaskResult | None = None
    queued_at: float = 0.0
    started_at: float = 0.0
    ended_at: float = 0.0
    started: bool = False


@define
class Leadership:
    """The owner of the worker's cell, as accepted by the agent.

    Parameters
    ----------
    echo : float
        The latest time of the agent's own clock that the owner has echoed. The owner was connected
        at that time or later, which the agent can tell without comparing two clocks.
    """

    cell: str = ""
    epoch: int = 0
    owner: str = ""
    echo: float = float("-inf")


@define
class AgentState:
    """State from which an agent decides.

    Parameters
    ----------
    incarnation : str
        Differs for each start of the process.
    slots : int
        Upper bound on running tasks; 0 until an upstream has announced itself.
    owner_timeout_s : float
        A task starts only while the owner's latest echo is younger than this.
    retention_s : float
        How long ended tasks are kept; an owner may ask for them after a reconnection.
    max_output_bytes : int
        Upper bound on the size of kept outputs; beyond it the oldest are dropped.
    leaving : str or None
        Why the worker takes no new task, None while it does.
    lead : Leadership
    tasks : dict
        Tasks by submission and index.
    queue : list
        Heap of (order, sequence, key) of queued tasks.
    ended : list
        (time, key) of ended tasks, oldest first.
    outputs : deque
        (task, size in bytes) of ended tasks whose outputs are kept, oldest first.
    """

    incarnation: str
    slots: int = 0
    owner_timeout_s: float = 2.0
    retention_s: float = 420.0
    max_output_bytes: int = 32 * 1024 * 1024
    leaving: str | None = None
    lead: Leadership = field(factory=Leadership)
    tasks: dict[tuple[str, int], AgentTask] = field(factory=dict)
    queue: list[tuple[float, int, tuple[str, int]]] = field(factory=list)
    ended: list[tuple[float, tuple[str, int]]] = field(factory=list)
    outputs: deque = field(factory=deque)
    output_bytes: int = 0
    running: int = 0
    queued: int = 0
    sequence: int = 0

    @property
    def free(self):
        """Slots less running and queued tasks; negative when more tasks are queued than fit."""
        return self.slots - self.running - self.queued

    def enqueue(self, task):
        """Enqueue a task by the order of its start."""
        self.sequence += 1
        self.queued += 1
        key = (task.submission, task.index)
        heappush(self.queue, (task.start.order, self.sequence, key))
