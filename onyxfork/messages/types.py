"""Messages between entry and agent, and between entries.

A cell is a set of workers on which one entry at a time, the owner, places tasks. Each change of the
owner raises the cell's epoch, which serves as fencing token.

`clock` carries an agent's monotonic time to the owner, and `echo` returns it: a message with that
echo was sent after that time. An agent can therefore tell a delayed start from a fresh one without
comparing the clocks of two machines.
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
    """One attempt at a task; `index` is the position of the task in its submission."""

    submission: str
    index: int
    attempt: int


@define(slots=True)
class TaskStart:
    """A task to run.

    `run_ms` is the expected run time. Tasks start in ascending `order`. `attempt` grows each time
    the task is placed; a tombstone covers its own attempt and all earlier ones.
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
    """The end of one attempt at a task.

    `outcome` is ``done``, ``failed``, ``not_run``, ``stopped`` or ``lost``. ``not_run`` is
    definite: the agent has not started the attempt and never will. ``lost`` means that the attempt
    may have run. `queue_ms` is the time for which the task was queued at the agent.
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
    """Indexes of the tasks of one submission that an agent has a record of, by state."""

    submission: str
    queued: list[int]
    running: list[int]
    ended: list[int]


@message(10)
@define
class Lead:
    """Announces the owner of a cell to an agent, which from then on rejects lower epochs."""

    cell: str
    epoch: int
    owner: str
    echo: float


@message(11)
@define
class Led:
    """An agent's reply to `Lead`, with every task of the cell that it has a record of.

    `accepted` is false if the agent knows a higher epoch, which is then in `epoch`. `leaving` tells
    whether the worker takes no new tasks.
    """

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
    """Tasks for one worker, as the owner has collected them in one tick."""

    cell: str
    epoch: int
    echo: float
    tasks: list[TaskStart]


@message(13)
@define
class Results:
    """Results of ended tasks, and the number of free slots of the worker."""

    results: list[TaskResult]
    free: int
    clock: float


@message(14)
@define
class Revoke:
    """Revokes tasks that have not started; the agent sends a result for each.

    The result of a task that has already started follows when the task ends.
    """

    tasks: list[TaskId]


@message(15)
@define
class Stop:
    """Ends tasks whose result is no longer needed: drops queued ones, stops running ones."""

    tasks: list[TaskId]


@message(16)
@define
class Fetch:
    """Requests the state of tasks after a reconnection or a change of owner."""

    tasks: list[TaskId]


@message(17)
@define
class Leaving:
    """Announces that the worker takes no new tasks; running ones are completed."""

    reason: str


@message(30)
@define
class Submit:
    """A submission, forwarded by the entry that received it to the owner of its cell.

    `request` is the number by which the sender matches the `Answer`. `digest` is that of the
    submission's content. If `wait` is false, the answer does not wait for the tasks to end.
    """

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
    """The answer for a whole submission; `state` is complete, failed, not_run or running.

    When `state` is complete, `outputs` has one item for each task; when it is failed or not_run,
    `reasons` has.
    """

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
    """Cancels a submission at the request of its caller."""

    request: int
    submission: str


@message(33)
@define
class Look:
    """Requests the state of a submission."""

    request: int
    submission: str


@message(40)
@define
class Ask:
    """Requests the rows of a table from one node, for a query of the operators' language."""

    request: int
    table: str
    limit: int


@message(41)
@define
class Report:
    """The reply to an `Ask`; `truncated` tells whether there are more than `limit` rows."""

    request: int
    node: str
    rows: list[dict[str, Any]]
    truncated: bool = False
