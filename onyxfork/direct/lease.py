"""The lease of an agent on its worker: fencing token, the worker's clock, renewal times."""

from attrs import define

__all__ = ["FencingToken", "WorkerClock", "Lease"]

LEAST_RAISE = 1000
"""First raise of a refused token; later raises double, so that a stepped clock is overtaken."""


class FencingToken:
    """A number higher than that of every agent before this one.

    The first value is the wall clock in milliseconds. When the worker refuses it, an earlier agent
    had a clock that was ahead; the token is raised until the worker takes it, and once more,
    because a worker also takes a token equal to the highest it has seen.

    Parameters
    ----------
    wall_ms : int
    """

    def __init__(self, wall_ms):
        self.value = wall_ms
        self.raise_by = LEAST_RAISE
        self.settled = True

    def refused(self, value):
        """Note that the worker has refused a token."""
        if value == self.value:
            self.value += self.raise_by
            self.raise_by *= 2
            self.settled = False

    def accepted(self):
        """Note that the worker has taken the present token; return whether it may be kept."""
        if self.settled:
            return True
        self.value += 1
        self.settled = True
        return False


@define
class WorkerClock:
    """The worker's steady clock, as its latest answer showed it."""

    clock_ms: float = 0.0
    read_at: float = 0.0

    def note(self, clock_ms, sent_at, now):
        """Take the clock from an answer; the middle of the call is taken as its moment."""
        if clock_ms is not None:
            self.clock_ms, self.read_at = clock_ms, (sent_at + now) / 2

    def at(self, now):
        """Return the worker's clock at a moment of ours (milliseconds)."""
        return self.clock_ms + (now - self.read_at) * 1000


@define
class Lease:
    """How long the worker's runs are held.

    Parameters
    ----------
    length_ms : float
        The longest lease that the worker grants.
    renewed_at : float
        When the latest renewal that may have reached the worker was sent.
    """

    length_ms: float
    renewed_at: float = 0.0

    CLOCK_DRIFT = 1.02
    """The worker's clock may be this much slower than ours."""

    MARGIN_S = 0.06
    """For the worker to stop what has lapsed."""

    def has_lapsed(self, now):
        """Return whether every run has surely ended without a renewal."""
        return now - self.renewed_at > self.length_ms / 1000 * self.CLOCK_DRIFT + self.MARGIN_S
