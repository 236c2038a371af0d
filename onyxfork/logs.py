"""Logs: one JSON object a line.

The fields ``submission`` or ``job``, ``task``, ``worker`` and ``zone`` name the same things in
every process, so that one request can be followed through all of them by its identifier.
"""

import logging
import os
import sys
import time

from pythonjsonlogger.json import JsonFormatter

__all__ = ["start_logging", "start_rate_limited_logging", "RateLimitedHandler"]

MOST_LINES_A_SECOND = 200
"""Above an entry's rate of answers at the heaviest load of a deployment; bounds the volume."""

BURST_LINES = 400


class RateLimitedHandler(logging.Handler):
    """Writes lines without ever waiting, and drops those above a rate.

    Dropped lines are counted; the count is written with the next line that passes. Warnings and
    errors pass as long as the stream takes them.

    Parameters
    ----------
    descriptor : int
        Is made non-blocking.
    rate : float
        Lines a second.
    burst : int
        Lines that may come at once.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(
        self, descriptor, rate=MOST_LINES_A_SECOND, burst=BURST_LINES, clock=time.monotonic
    ):
        super().__init__()
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.rate = rate
        self.burst = burst
        self.clock = clock
        self.allowance = float(burst)
        self.filled_at = clock()
        self.dropped = 0

    def emit(self, record):
        """Write one record, or count it as dropped."""
        if not self.may_pass(record):
            self.dropped += 1
            return
        if self.dropped:
            record.dropped_before = self.dropped
        try:
            line = self.format(record).encode() + b"\n"
            if os.write(self.descriptor, line) < len(line):
                os.write(self.descriptor, b"\n")
            self.dropped = 0
        except BlockingIOError:
            self.dropped += 1
        except Exception:
            self.handleError(record)

    def may_pass(self, record):
        """Return whether the rate allows a line, and count it."""
        now = self.clock()
        gained = (now - self.filled_at) * self.rate
        self.allowance = min(float(self.burst), self.allowance + gained)
        self.filled_at = now
        if self.allowance < 1.0 and record.levelno < logging.WARNING:
            return False
        self.allowance = max(0.0, self.allowance - 1.0)
        return True


def make_formatter(role, node, zone):
    """Return the formatter of a process's lines."""
    return JsonFormatter(
        "%(asctime)s %(levelname)s %(name)s %(message)s",
        rename_fields={"asctime": "time", "levelname": "level", "name": "module"},
        static_fields={"role": role, "node": node, "zone": zone},
    )


def install(handler, role, node, zone, level):
    """Make a handler the only one of this process."""
    handler.setFormatter(make_formatter(role, node, zone))
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level.upper())
    logging.getLogger("transitions").setLevel(logging.WARNING)
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)


def start_logging(role, node, zone="", level="info", stream=None):
    """Send the logs of this process to a stream.

    Parameters
    ----------
    role, node, zone : str
        Added to every line.
    level : str
        ``debug``, ``info``, ``warning`` or ``error``.
    stream : file object, optional
        Standard error when omitted.
    """
    install(logging.StreamHandler(stream or sys.stderr), role, node, zone, level)


def start_rate_limited_logging(role, node, zone="", level="info", descriptor=1):
    """Send the logs of this process to a descriptor, bounded in rate and never waiting.

    Parameters
    ----------
    role, node, zone, level : str
        As for :func:`start_logging`.
    descriptor : int
        Standard output when omitted.
    """
    install(RateLimitedHandler(descriptor), role, node, zone, level)
