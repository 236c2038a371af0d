"""Tables of an agent: what it was asked to run and what became of it."""

from collections import deque
from heapq import heappush

from attrs import define, field

from onyxfork.messages import TaskResult, TaskStart

__all__ = ["AgentTask", "AgentState", "Leadership"]


@define(slots=True)
class AgentTask:
    """A task known to an agent; `state` is ``queued``, ``running`` or ``ended``.

    An ended task without a start is a tombstone: attempts up to `attempt` never start.
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
    """The owner of the worker's cell; `echo` is the agent's own time that it last proved."""

    cell: str = ""
    epoch: int = 0
    owner: str = ""
    echo: float = float("-inf")


@define
class AgentState:
    """Everything an agent decides from.

    Parameters
    ----------
    incarnation : str
        New at each start of the process.
    slots : int
        Tasks that run at once; 0 until an upstream has announced itself.
    owner_timeout_s : float
        A task begins only while the owner's last proof is younger than this.
    retention_s : float
        How long ended tasks are remembered.
    max_output_bytes : int
        Outputs kept for an owner that returns; beyond it the oldest are dropped.
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
        """Slots neither running a task nor promised to a queued one; negative when backlogged."""
        return self.slots - self.running - self.queued

    def enqueue(self, task):
        """Put a task into the queue by its order."""
        self.sequence += 1
        self.queued += 1
        key = (task.submission, task.index)
        heappush(self.queue, (task.start.order, self.sequence, key))
