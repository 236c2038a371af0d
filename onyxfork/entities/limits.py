"""Limits on running tasks and on starts a second.

A limit belongs to a job, a service or a team and holds over all entries together. Each owner of
cells uses a leased share of it, and never more than the share.
"""

from attrs import define, field

__all__ = ["Limit", "UNLIMITED"]

UNLIMITED = float("inf")
BURST_S = 0.25


@define(eq=False, slots=True)
class Limit:
    """One limit as far as this owner may use it.

    Parameters
    ----------
    name : str
        ``job bygdelag/meldingsbord/issue-proof``, for answers and logs.
    max_running : float
        This owner's share of tasks that run at once.
    starts_per_s : float
        This owner's share of starts a second.
    running : int
        Tasks that count against `max_running` now, those with an unknown end included.
    demand : float
        Waiting plus running tasks, reported to get a share that follows demand.
    """

    name: str
    max_running: float = UNLIMITED
    starts_per_s: float = UNLIMITED
    running: int = 0
    waiting: int = 0
    waiting_ms: float = 0.0
    tokens: float = 1.0
    refilled_at: float = 0.0
    peak_running: int = 0
    parked_lanes: list = field(factory=list)

    def refill(self, now):
        """Add the tokens earned since the last call."""
        if self.starts_per_s == UNLIMITED:
            return
        cap = max(1.0, self.starts_per_s * BURST_S)
        earned = (now - self.refilled_at) * self.starts_per_s
        self.tokens = min(cap, self.tokens + earned)
        self.refilled_at = now

    def allows(self, now):
        """Return whether one more task may start."""
        if self.running >= self.max_running:
            return False
        if self.starts_per_s == UNLIMITED:
            return True
        self.refill(now)
        return self.tokens >= 1.0

    def seconds_until_token(self):
        """Return seconds until a token is there; infinite when only an end can help."""
        if self.running >= self.max_running or self.starts_per_s <= 0:
            return UNLIMITED
        return max(0.0, (1.0 - self.tokens) / self.starts_per_s)

    def acquire(self):
        """Count one start."""
        self.running += 1
        self.peak_running = max(self.peak_running, self.running)
        if self.starts_per_s != UNLIMITED:
            self.tokens -= 1.0

    def release(self):
        """Count one end."""
        self.running -= 1

    @property
    def demand(self):
        """Tasks that this owner would run at once if nothing held it back."""
        return self.running + self.waiting
