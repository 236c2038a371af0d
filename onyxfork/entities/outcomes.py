"""Names of outcomes, states and refusal codes, and the value that a refusal is."""

from enum import StrEnum

from attrs import define

__all__ = ["Outcome", "State", "Code", "Refusal"]


class Outcome(StrEnum):
    """How a task ended."""

    DONE = "done"
    FAILED = "failed"
    NOT_RUN = "not_run"
    STOPPED = "stopped"
    LOST = "lost"


class State(StrEnum):
    """Where a submission stands; the last three are final."""

    RUNNING = "running"
    COMPLETE = "complete"
    FAILED = "failed"
    NOT_RUN = "not_run"


class Code(StrEnum):
    """Why an answer is what it is; each maps to one HTTP status."""

    COMPLETE = "complete"
    RUNNING = "running"
    FAILED = "failed"
    MAY_HAVE_RUN = "may-have-run"
    ALREADY_RAN = "already-ran"
    CANCELLED = "cancelled"
    BAD_REQUEST = "bad-request"
    TOO_LARGE = "too-large"
    UNKNOWN_JOB = "unknown-job"
    CONFLICTING_KEY = "conflicting-key"
    EXPIRED_KEY = "expired-key"
    NEVER_FITS = "never-fits"
    OVER_QUOTA = "over-quota"
    PAST_DEADLINE = "past-deadline"
    OVERLOADED = "overloaded"
    UNAVAILABLE = "unavailable"
    MOVED = "moved"


@define(frozen=True)
class Refusal:
    """Work that was not run: why, and when to come back.

    Parameters
    ----------
    code : Code
    reason : str
    retry_after_ms : int or None
        None when coming back is of no use.
    """

    code: Code
    reason: str
    retry_after_ms: int | None = None
