"""An event loop on simulated time, which jumps to the next timer instead of waiting."""

import asyncio
import selectors

from onyxfork.utils.clock import Clock

__all__ = ["LoopClock", "run_virtual"]

DISK_WRITE_S = 0.003
"""Simulated duration of a write; a replica killed during it has not written anything."""


class SkippingSelector(selectors.DefaultSelector):
    """Selector that adds the timeout to `now` instead of waiting for it."""

    now = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("every task waits and no timer is set")
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop on simulated time, without sockets or threads.

    Attributes
    ----------
    interrupt : callable or None
        Takes a function and its arguments, of which the caller was cancelled before its end.
    """

    def __init__(self):
        self.interrupt = None
        self.skipping = SkippingSelector()
        super().__init__(self.skipping)

    def time(self):
        return self.skipping.now

    def run_in_executor(self, executor, func, *args):
        """Call a function after `DISK_WRITE_S`, unless the caller is cancelled before."""
        future = self.create_future()

        def finish():
            if not future.done():
                future.set_result(func(*args))

        def stop(future):
            if future.cancelled() and self.interrupt is not None:
                self.interrupt(func, *args)

        self.call_later(DISK_WRITE_S, finish)
        future.add_done_callback(stop)
        return future


class LoopClock(Clock):
    """Clock that reads the time of the running event loop."""

    def __init__(self, loop):
        self.loop = loop

    def now(self):
        return self.loop.time()

    def wall_ms(self):
        return int(self.loop.time() * 1000)


def run_virtual(coroutine):
    """Run a coroutine on a `VirtualLoop` and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coroutine)
