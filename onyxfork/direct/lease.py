"""Lease of an agent on its worker: fencing token, bound on the worker's clock, expiry."""

import logging

from attrs import define

__all__ = ["FencingToken", "WorkerClock", "Lease"]

log = logging.getLogger(__name__)

INITIAL_TOKEN_INCREMENT = 1000
"""First increment of a refused token, in milliseconds like the token. It doubles with each refusal,
so that a token issued by a clock far ahead is soon exceeded."""

MAX_CLOCK_DRIFT_FACTOR = 1.02
"""Upper bound on the rate of this process's clock over the rate of the worker's clock."""

STOP_MARGIN_S = 0.06
"""Time that the worker may take to stop runs whose lease has expired."""


class FencingToken:
    """Fencing token that is to be higher than the tokens of all earlier agents of the worker.

    The initial value is the wall clock in milliseconds. If the worker refuses it, the clock of an
    earlier agent was ahead. The token is then increased until the worker accepts it, and by 1 once
    more, because a worker also accepts a token equal to the highest it has received.

    Parameters
    ----------
    wall_ms : int
        Wall clock at the start of the agent.

    Attributes
    ----------
    value : int
        The current token.
    is_exclusive : bool
        Whether no earlier agent can hold the same token.
    """

    def __init__(self, wall_ms):
        self.value = wall_ms
        self.increment = INITIAL_TOKEN_INCREMENT
        self.is_exclusive = True

    def advance(self):
        """Increase the token, so that a worker that has received it refuses all earlier orders."""
        self.raise_by(1, "another lifetime of the worker may have begun")

    def raise_by(self, increment, reason):
        """Increase the token and log why."""
        fields = {"token": self.value + increment, "before": self.value, "reason": reason}
        log.info("fencing token raised", extra=fields)
        self.value += increment

    def on_refused(self, value):
        """Increase the token if it is the one that the worker has refused."""
        if value == self.value:
            self.raise_by(self.increment, "refused by the worker")
            self.increment *= 2
            self.is_exclusive = False

    def on_accepted(self):
        """Return whether the token that the worker has accepted is exclusive; else increase it."""
        if self.is_exclusive:
            return True
        self.raise_by(1, "an earlier agent may have had the same one")
        self.is_exclusive = True
        return False


@define
class WorkerClock:
    """Lower bound on the worker's monotonic clock, from its latest answer.

    A lease that is counted from it ends no later than one counted from the clock itself, however
    long the answer took and whenever the worker read its clock.

    Parameters
    ----------
    clock_ms : float
        The worker's clock in its latest answer.
    answered_at : float
        When that answer was read, by this process's monotonic clock; 0 before the first answer.
    """

    clock_ms: float = 0.0
    answered_at: float = 0.0

    def update(self, clock_ms, now):
        """Use the clock in an answer that is read now."""
        if clock_ms is not None:
            self.clock_ms, self.answered_at = clock_ms, now

    def earliest_ms(self, now):
        """Return the lowest value of the worker's clock at a time of this process's clock."""
        elapsed_ms = (now - self.answered_at) * 1000
        if elapsed_ms < 0:
            return self.clock_ms + elapsed_ms * MAX_CLOCK_DRIFT_FACTOR
        return self.clock_ms + elapsed_ms / MAX_CLOCK_DRIFT_FACTOR


@define
class Lease:
    """Lease on the worker's runs; the worker stops them when it expires.

    Parameters
    ----------
    length_ms : float
        Duration of a renewal, the longest that the worker grants.
    renewed_at : float
        When the latest renewal that may have reached the worker was sent.
    """

    length_ms: float
    renewed_at: float = 0.0

    def has_expired(self, now):
        """Return whether the lease has expired and the worker has had time to stop all runs."""
        return (
            now - self.renewed_at > self.length_ms / 1000 * MAX_CLOCK_DRIFT_FACTOR + STOP_MARGIN_S
        )
