"""How much work for clients is done in one turn of the event loop.

Load: many clients send requests faster than they can be handled, on many connections. Each of them
gets on by one request at a time, and timers, signals and the connections between processes are
served in between.
"""

import time
from collections import deque

__all__ = ["TurnQuota"]

MAX_RESUMED = 32
"""Upper bound on the deferred pieces of work that are resumed in one turn."""


class TurnQuota:
    """Bounds the work of one turn of the event loop.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
    max_turn_s : float
        Work in one turn; the piece of work that exceeds it is completed.
    clock : callable
        Returns monotonic seconds.

    Attributes
    ----------
    started_at : float or None
        When the first piece of work of this turn was started; None if there was none.
    deferred : deque of callable
        What is called in later turns, the one that has waited longest first.
    """

    def __init__(self, loop, max_turn_s, clock=time.monotonic):
        self.loop = loop
        self.max_turn_s = max_turn_s
        self.clock = clock
        self.started_at = None
        self.deferred = deque()

    def is_spent(self):
        """Return whether a piece of work has to wait for a later turn."""
        now = self.clock()
        if self.started_at is None:
            self.start_turn(now)
        return now - self.started_at > self.max_turn_s

    def start_turn(self, now):
        """Measure the work from now on until the event loop's next turn."""
        self.started_at = now
        self.loop.call_soon(self.end_turn)

    def end_turn(self):
        """Begin a new turn with deferred pieces of work."""
        self.started_at = None
        for _ in range(min(MAX_RESUMED, len(self.deferred))):
            if self.is_spent():
                break
            self.deferred.popleft()()
        if self.deferred and self.started_at is None:
            self.start_turn(self.clock())

    def defer(self, resume):
        """Call a function in a later turn."""
        if self.started_at is None:
            self.start_turn(self.clock())
        self.deferred.append(resume)

    async def wait_for_turn(self):
        """Return in a later turn."""
        future = self.loop.create_future()
        self.defer(lambda: future.done() or future.set_result(None))
        await future

    @property
    def has_deferred(self):
        """Whether pieces of work wait for a later turn."""
        return bool(self.deferred)
