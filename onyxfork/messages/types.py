"""Messages between entry and agent, and between entries.

An entry that owns a cell is the only one to place tasks on the cell's workers. `clock` and `echo`
carry an agent's monotonic time to the owner and back: a message proves by its echo that it was sent
after that time, so an agent can tell a delayed start from a fresh one without comparing clocks of
two machines.
"""

from typing import Any

from attrs import define, field

from onyxfork.messages.codec import message

__all__ = [
    "TaskId",
    "TaskStart",
    "TaskResult",
    "KnownSubmission",
    "Lead",
    "Led",
    "Start",
    "Results",
    "Revoke",
    "Stop",
    "Fetch",
    "Leaving",
    "Submit",
    "Answer",
    "Cancel",
    "Look",
    "Ask",
    "Report",
]


@define(frozen=True, slots=True)
class TaskId:
    """A task of a submission by its position, and the attempt that is meant."""

    submission: str
    index: int
    attempt: int


@define(slots=True)
class TaskStart:
    """A task to run: `run_ms` is the expected run time, a lower `order` starts earlier.

    `attempt` grows each time the task is placed; a tombstone covers the attempts up to its own.
    """

    submission: str
    index: int
    job: str
    organisation: str
    run_ms: float
    order: float
    attempt: int
    input: Any


@define(slots=True)
class TaskResult:
    """The end of a task: `outcome` is ``done``, ``failed``, ``not_run``, ``stopped``, ``lost``.

    ``not_run`` is definite: the agent never started the task and never will.
    """

    submission: str
    index: int
    attempt: int
    outcome: str
    output: Any
    reason: str | None
    run_ms: float
    queue_ms: float


@define(slots=True)
class KnownSubmission:
    """Indexes of one submission's tasks that an agent has seen, by state."""

    submission: str
    queued: list[int]
    running: list[int]
    ended: list[int]


@message(10)
@define
class Lead:
    """The owner of a cell takes its place at an agent; lower epochs are refused from then on."""

    cell: str
    epoch: int
    owner: str
    echo: float


@message(11)
@define
class Led:
    """An agent's answer to `Lead`, with every task it remembers of the cell."""

    cell: str
    epoch: int
    incarnation: str
    slots: int
    leaving: bool
    known_submissions: list[KnownSubmission]
    clock: float
    accepted: bool
    upstream: str


@message(12)
@define
class Start:
    """Tasks for one worker, all of them collected in one tick of the owner."""

    cell: str
    epoch: int
    echo: float
    tasks: list[TaskStart]


@message(13)
@define
class Results:
    """Ended tasks, and how many slots the worker has free."""

    results: list[TaskResult]
    free: int
    clock: float


@message(14)
@define
class Revoke:
    """Tasks that must not start; each is answered by a result."""

    tasks: list[TaskId]


@message(15)
@define
class Stop:
    """Tasks whose result nobody waits for: queued ones are dropped, running ones stopped."""

    tasks: list[TaskId]


@message(16)
@define
class Fetch:
    """Asks for the state of tasks after a reconnection or a takeover."""

    tasks: list[TaskId]


@message(17)
@define
class Leaving:
    """The worker takes no new task; running ones end."""

    reason: str


@message(30)
@define
class Submit:
    """A submission passed from the entry that received it to the owner of its cell."""

    request: int
    submission: str
    organisation: str
    team: str
    service: str
    job: str
    digest: str
    deadline_ms: float
    inputs: list[Any]
    run_ms: list[float]
    resources: dict[str, float] = field(factory=dict)
    wait: bool = True


@message(31)
@define
class Answer:
    """The whole answer to a submission; `state` is complete, failed, not_run or running."""

    request: int
    submission: str
    state: str
    code: str
    reason: str | None
    retry_after_ms: int | None
    outputs: list[Any]
    reasons: list[Any]
    response_ms: float = 0.0


@message(32)
@define
class Cancel:
    """Ends a submission on request of its caller."""

    request: int
    submission: str


@message(33)
@define
class Look:
    """Asks how a submission stands."""

    request: int
    submission: str


@message(40)
@define
class Ask:
    """A question of the operators' language to one node."""

    request: int
    table: str
    limit: int


@message(41)
@define
class Report:
    """Rows that answer an `Ask`."""

    request: int
    node: str
    rows: list[dict[str, Any]]
    truncated: bool = False
