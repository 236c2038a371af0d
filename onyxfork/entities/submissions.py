"""Submissions, and the lanes in which their tasks wait.

A lane holds submissions of the same organisation, service, job, team and shape. The same limits
apply to all of them, so a limit that is reached blocks whole lanes and no other submission.
"""

from heapq import heappop, heappush
from typing import Any

from attrs import define, field

from onyxfork.entities.outcomes import Code, State
from onyxfork.entities.workers import Shape

__all__ = ["Submission", "Lane", "Request", "Answered"]


@define(slots=True)
class Request:
    """A caller's request, validated but not yet checked against the configuration and limits.

    Parameters
    ----------
    submission : str
        The caller's identifier of the submission, its idempotency key.
    digest : str
        Digest of the content; the same key with another digest is a conflict.
    deadline : float
        Monotonic seconds by which the answer must be given.
    run_ms : list of float
        Declared run time of each task; 0 where none was declared.
    """

    submission: str
    organisation: str
    team: str
    service: str
    job: str
    digest: str
    deadline: float
    inputs: list[Any]
    run_ms: list[float]
    shape: Shape = Shape()


@define(slots=True)
class Answered:
    """The answer to a submission; final unless `state` is RUNNING.

    Parameters
    ----------
    reason : str or None
        Why the submission is not complete.
    retry_after_ms : int or None
        When the caller may retry.
    outputs : list
        Output of each task of a complete submission.
    reasons : list
        How each task ended, for a submission that is not complete.
    response_ms : float
        Time from arrival to the final answer.
    """

    submission: str
    state: State
    code: Code
    reason: str | None = None
    retry_after_ms: int | None = None
    outputs: list[Any] = field(factory=list)
    reasons: list[Any] = field(factory=list)
    response_ms: float = 0.0


@define(eq=False, slots=True)
class Submission:
    """A submission at the owner of its cell.

    Parameters
    ----------
    arrived : float
        Monotonic seconds.
    order : float
        Position among all waiting work, in monotonic seconds with offsets for urgency and size; the
        lowest is placed first.
    tasks : int
        Number of tasks.
    issued_ms : int
        Wall-clock time in the submission's identifier.
    waiting : list of int
        Indexes of tasks that have not been sent; the last is sent next.
    sent : dict
        Maps the index of each outstanding task to the name of its worker.
    attempts : list of int
        How often each task was placed.
    expected : list of float
        Run time of each task in milliseconds, as estimated on arrival.
    outputs : list
        Output of each task, None before its end.
    reasons : list
        Why each task failed or was not run, otherwise None.
    done : int
        Number of tasks that have an output.
    begun_count : int
        Number of ended tasks that ran or may have run; unless it is 0, the submission cannot end
        as ``not_run``.
    may_have_begun : bool
        Whether tasks may have begun for a former owner, as long as that is not known.
    excluded_workers : dict
        Maps the index of a task to the worker that last returned it as not run.
    free_slots_at_placement : int or None
        Free slots that the worker of the last task had before it was sent.
    wait_reason : str
        Why the next task could not be placed.
    """

    request: Request
    lane: "Lane"
    arrived: float
    order: float
    tasks: int = 0
    issued_ms: int = 0
    state: State = State.RUNNING
    waiting: list[int] = field(factory=list)
    sent: dict[int, str] = field(factory=dict)
    attempts: list[int] = field(factory=list)
    expected: list[float] = field(factory=list)
    outputs: list[Any] = field(factory=list)
    reasons: list[str | None] = field(factory=list)
    done: int = 0
    begun_count: int = 0
    may_have_begun: bool = False
    answer: Answered | None = None
    answered_at: float = 0.0
    excluded_workers: dict[int, str] = field(factory=dict)
    free_slots_at_placement: int | None = None
    wait_reason: str = ""

    def discard_task_details(self):
        """Free what is not used after the answer once no task is outstanding any more."""
        self.expected = self.attempts = self.reasons = []
        self.request.run_ms = []
        self.excluded_workers = {}

    @property
    def name(self):
        """The submission's identifier."""
        return self.request.submission


@define(eq=False, slots=True)
class Lane:
    """Waiting submissions of the same kind, in a heap by order.

    Parameters
    ----------
    key : tuple
        Organisation, service, job, team and shape.
    limits : list of Limit
        Limits that a task of this lane counts against.
    heap : list
        Heap of (order, sequence, submission).
    waiting_tasks : int
        Waiting tasks of all its submissions.
    ready_order : float or None
        Order under which the lane is in the heap of ready lanes, None when it is not.
    blocked_by : Limit or None
        The limit that blocks the lane.
    """

    key: tuple
    urgency: str
    shape: Shape
    limits: list = field(factory=list)
    heap: list[tuple[float, int, Submission]] = field(factory=list)
    waiting_tasks: int = 0
    sequence: int = 0
    ready_order: float | None = None
    blocked_by: object = None

    def push(self, submission):
        """Enqueue a submission that has waiting tasks."""
        self.sequence += 1
        heappush(self.heap, (submission.order, self.sequence, submission))

    def head(self):
        """Return the first submission with a waiting task, or None; drop others before it."""
        while self.heap:
            submission = self.heap[0][2]
            if submission.waiting and submission.state is State.RUNNING:
                return submission
            heappop(self.heap)
        return None
