"""Requests of callers and their outcomes."""

from attrs import define, field

__all__ = [
    "Step",
    "JobRequest",
    "JobOutcome",
    "CANCELLED",
    "COMPLETED",
    "FAILED",
    "REFUSED",
    "UNKNOWN",
]

CANCELLED = "cancelled"
COMPLETED = "completed"
FAILED = "failed"
REFUSED = "refused"
UNKNOWN = "unknown"


@define(slots=True)
class Step:
    """A group of equal tasks of a job, which may run in parallel.

    Parameters
    ----------
    count : int
        Number of tasks.
    cpu : int
        Thousandths of a core that each task needs.
    memory_mb, gpu : int
        Memory and GPUs that each task needs.
    expected_ms : float
        Rough estimate of a task's run time.
    depends_on : list of int
        Positions of earlier steps whose tasks must all be done first.
    label : str
        A label that the worker must have, or empty for any worker.
    rack : str
        The rack that holds the data, or empty; tasks run longer on other racks.
    max_per_worker : int
        Upper bound on the tasks of the step on one worker; 0 for no bound.
    """

    count: int
    cpu: int
    memory_mb: int = 0
    gpu: int = 0
    expected_ms: float = 0.0
    depends_on: list[int] = field(factory=list)
    label: str = ""
    rack: str = ""
    max_per_worker: int = 0


@define(slots=True)
class JobRequest:
    """A job as its caller has requested it.

    Parameters
    ----------
    job : str
        Identifier chosen by the caller.
    queue : Queue
    spec : str
        What the tasks run; passed to the workers unchanged.
    steps : list of Step
    caller_timeout_ms : float
        How long the caller waits for the answer.
    """

    job: str
    queue: object
    spec: str
    steps: list[Step]
    caller_timeout_ms: float

    @property
    def task_count(self):
        """Number of tasks of all steps."""
        return sum(step.count for step in self.steps)

    @property
    def size_core_ms(self):
        """Core-milliseconds of all tasks by the caller's estimate."""
        return sum(step.count * step.cpu * step.expected_ms for step in self.steps) / 1000


@define(slots=True)
class JobOutcome:
    """The outcome of a job, from which the caller's answer is made.

    Parameters
    ----------
    state : str
        ``completed``, ``failed``, ``refused`` (no task has started or will start), ``unknown``
        (tasks may have started; the rest of the job has been stopped) or ``cancelled`` (by a
        caller's request; tasks may have started).
    reason : str
    retry_after_ms : float
        Delay after which the caller of a refused job should retry.
    """

    state: str
    reason: str = ""
    retry_after_ms: float = 0.0
