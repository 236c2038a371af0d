"""Submissions, and the lanes in which their tasks wait.

A lane holds submissions whose tasks are alike for every decision: same organisation, service, job,
team and shape. A lane that is held up by a limit therefore holds up nobody else.
"""

from heapq import heappop, heappush
from typing import Any

from attrs import define, field

from onyxfork.entities.outcomes import Code, State
from onyxfork.entities.workers import Shape

__all__ = ["Submission", "Lane", "Request", "Answered"]


@define(slots=True)
class Request:
    """What a caller asked for, checked against the catalogue's shape but not against limits.

    Parameters
    ----------
    digest : str
        Of the whole content, to tell a resubmission from a conflicting key.
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
    """The final answer to a submission, or word that it is still running."""

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
    """A submission in the hands of its owner.

    Parameters
    ----------
    order : float
        Position among all waiting work; lower goes first.
    waiting : list of int
        Indexes of tasks that have not been sent, last one first.
    sent : dict
        Maps an index to the name of the worker it was sent to.
    attempts : list of int
        How often each task was placed.
    expected : list of float
        Run time of each task in milliseconds, as estimated on arrival.
    begun_count : int
        Tasks that may have started; nothing of the submission is "not run" once it is not 0.
    free_slots_at_placement : int or None
        Free slots of the worker that the last task was sent to.
    may_have_begun : bool
        Whether tasks may have started under a former owner, which is not known yet.
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
        """Drop what nothing asks for once the answer is given and no task is outstanding."""
        self.expected = self.attempts = self.reasons = []
        self.request.run_ms = []
        self.excluded_workers = {}

    @property
    def name(self):
        """The submission's identifier."""
        return self.request.submission


@define(eq=False, slots=True)
class Lane:
    """Waiting submissions of one kind, ordered.

    Parameters
    ----------
    limits : list
        The `Limit` objects that a task of this lane counts against.
    """

    key: tuple
    urgency: str
    shape: Shape
    limits: list = field(factory=list)
    heap: list[tuple[float, int, Submission]] = field(factory=list)
    waiting_tasks: int = 0
    sequence: int = 0
    ready_order: float | None = None
    parked_on: object = None

    def push(self, submission):
        """Put a submission with waiting tasks into the lane."""
        self.sequence += 1
        heappush(self.heap, (submission.order, self.sequence, submission))

    def head(self):
        """Return the first submission that still has a waiting task, or None."""
        while self.heap:
            submission = self.heap[0][2]
            if submission.waiting and submission.state is State.RUNNING:
                return submission
            heappop(self.heap)
        return None
