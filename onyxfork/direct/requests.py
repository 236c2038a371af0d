"""A caller's job, and how it ended."""

from attrs import define, field

__all__ = ["Step", "JobRequest", "JobOutcome", "COMPLETED", "FAILED", "REFUSED", "UNKNOWN"]

COMPLETED = "completed"
FAILED = "failed"
REFUSED = "refused"
UNKNOWN = "unknown"


@define(slots=True)
class Step:
    """Tasks that may run side by side.

    Parameters
    ----------
    count : int
    cpu : int
        Thousandths of a core that each task needs.
    memory_mb, gpu : int
    expected_ms : float
        Rough estimate of a task's run time.
    depends_on : list of int
        Positions of earlier steps whose tasks must all be done first.
    label : str
        A label that the worker must have, or empty.
    rack : str
        The rack that holds the data, or empty; elsewhere tasks run longer.
    max_per_worker : int
        Tasks of the step on one worker, 0 for any number.
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
    """A job whose caller waits for its end.

    Parameters
    ----------
    job : str
        Identifier chosen by the caller.
    queue : Queue
    spec : str
    steps : list of Step
    caller_timeout_ms : float
        How long the caller waits.
    """

    job: str
    queue: object
    spec: str
    steps: list[Step]
    caller_timeout_ms: float


@define(slots=True)
class JobOutcome:
    """The answer to a caller.

    Parameters
    ----------
    state : str
        ``completed``, ``failed``, ``refused`` (nothing of it has run or will) or ``unknown`` (some
        of it has run; none of it will run any more).
    reason : str
    retry_after_ms : float
        When a refused job would have a chance.
    """

    state: str
    reason: str = ""
    retry_after_ms: float = 0.0
