"""Sources of time.

Decision code does not read the system's clocks: the time, or one of these objects, is passed to it,
so that the same code runs in a daemon and in a test.
"""

import resource
import time
from abc import ABC, abstractmethod
from pathlib import Path

__all__ = ["Clock", "SystemClock", "SteppedClock", "FakeClock", "clock_for"]


class Clock(ABC):
    """Monotonic and wall-clock time."""

    @abstractmethod
    def now(self):
        """Return monotonic time in seconds (float)."""

    @abstractmethod
    def wall_ms(self):
        """Return milliseconds since the Unix epoch (int)."""

    def suspended_s(self):
        """Return the seconds since boot that the machine was suspended; `now` excludes them."""
        return 0.0

    def used_s(self):
        """Return the processor time of this process in seconds, of all its threads."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return usage.ru_utime + usage.ru_stime


class SystemClock(Clock):
    """The clocks of the operating system."""

    def now(self):
        return time.monotonic()

    def wall_ms(self):
        return int(time.time() * 1000)

    def suspended_s(self):
        return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()


class SteppedClock(SystemClock):
    """The system's clocks, with an offset of the wall clock that experiments can change.

    Parameters
    ----------
    path : path-like
        A file with the milliseconds to add; none are added when it is missing or invalid.
    """

    def __init__(self, path):
        self.path = Path(path)

    def wall_ms(self):
        try:
            offset_ms = int(self.path.read_text() or 0)
        except (OSError, ValueError):
            offset_ms = 0
        return super().wall_ms() + offset_ms


def clock_for(clock_file):
    """Return a `SteppedClock` on `clock_file`, or the system's clock when it is empty."""
    return SteppedClock(clock_file) if clock_file else SystemClock()


class FakeClock(Clock):
    """A clock for tests, which only :meth:`advance` moves.

    Parameters
    ----------
    start : float
        First value of `now`, in seconds.
    wall_start_ms : int
        Wall-clock time at `start`, in milliseconds.

    Examples
    --------
    >>> clock = FakeClock()
    >>> clock.advance(1.5)
    >>> clock.now()
    1.5
    """

    def __init__(self, start=0.0, wall_start_ms=1_700_000_000_000):
        self.time = start
        self.wall_offset_ms = wall_start_ms - int(start * 1000)
        self.suspended = 0.0

    def now(self):
        return self.time

    def wall_ms(self):
        return self.wall_offset_ms + int(self.time * 1000)

    def suspended_s(self):
        return self.suspended

    def advance(self, seconds):
        """Move the clock forward by `seconds`."""
        self.time += seconds
