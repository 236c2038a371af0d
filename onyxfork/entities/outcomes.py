"""Outcomes of tasks, states and codes of submissions, and refusals."""

from enum import StrEnum

from attrs import define

__all__ = ["Outcome", "State", "Code", "Refusal"]


class Outcome(StrEnum):
    """How a task ended; NOT_RUN is definite, LOST means that it may have run."""

    DONE = "done"
    FAILED = "failed"
    NOT_RUN = "not_run"
    STOPPED = "stopped"
    LOST = "lost"


class State(StrEnum):
    """State of a submission; all but RUNNING are final."""

    RUNNING = "running"
    COMPLETE = "complete"
    FAILED = "failed"
    NOT_RUN = "not_run"


class Code(StrEnum):
    """Code of an answer. Each but MOVED, which only entries receive, maps to one HTTP status."""

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
    """The reason why a submission is not accepted.

    Parameters
    ----------
    code : Code
    reason : str
    retry_after_ms : int or None
        When the caller may retry; None when a retry cannot succeed.
    """

    code: Code
    reason: str
    retry_after_ms: int | None = None
