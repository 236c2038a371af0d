"""Limits on running tasks and on task starts per second.

A limit belongs to a job, a service or a team and applies to all entries together. Each owner leases
a share of the limit and uses no more than its share.
"""

from attrs import define, field

__all__ = ["Limit", "UNLIMITED"]

UNLIMITED = float("inf")
TOKEN_BURST_S = 0.25
"""Capacity of the token bucket, as seconds of the permitted rate of starts."""


@define(eq=False, slots=True)
class Limit:
    """This owner's share of one limit, with a token bucket for the rate of starts.

    Parameters
    ----------
    name : str
        Table and key, such as ``job bygdelag/meldingsbord/issue-proof``.
    max_running : float
        Upper bound on running tasks.
    starts_per_s : float
        Permitted rate of starts.
    running : int
        Tasks that count against `max_running`, including those of lost workers that may still run.
    waiting : int
        Tasks that wait at this owner.
    waiting_ms : float
        Expected run time of these.
    tokens : float
        Starts that are permitted now.
    refilled_at : float
        Time up to which `tokens` has been filled up.
    peak_running : int
        High-water mark of `running`.
    blocked_lanes : list of Lane
        Lanes that wait until this limit permits a start.
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
    blocked_lanes: list = field(factory=list)

    def refill(self, now):
        """Add the tokens for the time since the last call, up to the capacity of the bucket."""
        if self.starts_per_s == UNLIMITED:
            return
        max_tokens = max(1.0, self.starts_per_s * TOKEN_BURST_S)
        new_tokens = (now - self.refilled_at) * self.starts_per_s
        self.tokens = min(max_tokens, self.tokens + new_tokens)
        self.refilled_at = now

    def allows(self, now):
        """Return whether one more task may start now."""
        if self.running >= self.max_running:
            return False
        if self.starts_per_s == UNLIMITED:
            return True
        self.refill(now)
        return self.tokens >= 1.0

    def seconds_until_token(self):
        """Return seconds until the next token; infinite when a running task has to end first."""
        if self.running >= self.max_running or self.starts_per_s <= 0:
            return UNLIMITED
        return max(0.0, (1.0 - self.tokens) / self.starts_per_s)

    def acquire(self):
        """Count the start of a task."""
        self.running += 1
        self.peak_running = max(self.peak_running, self.running)
        if self.starts_per_s != UNLIMITED:
            self.tokens -= 1.0

    def release(self):
        """Count the end of a task."""
        self.running -= 1

    @property
    def demand(self):
        """Running and waiting tasks, reported to control, which divides the limit by demand."""
        return self.running + self.waiting
