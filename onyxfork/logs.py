"""Logging as one JSON object per line.

The fields ``submission`` or ``job``, ``task``, ``worker`` and ``zone`` have the same meaning in
every process, so that a request can be traced through all processes by its identifier.
"""

import logging
import os
import sys
import time

from pythonjsonlogger.json import JsonFormatter

__all__ = ["BoundedLine", "RateLimitedHandler", "start_logging", "start_rate_limited_logging"]

MAX_LINES_PER_S = 200
"""Bounds the log volume; above the rate at which an entry answers at a deployment's peak load."""

BURST_LINES = 400


class RateLimitedHandler(logging.Handler):
    """Writes lines without blocking, and drops those above a rate (a token bucket).

    Dropped lines are counted; the count is written with the next line, as ``dropped_before``.
    Warnings and errors are not limited in rate; they are dropped only when a write would block.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; made non-blocking.
    rate : float
        Lines per second.
    burst : int
        Upper bound on the lines written at once above the rate.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, descriptor, rate=MAX_LINES_PER_S, burst=BURST_LINES, clock=time.monotonic):
        super().__init__()
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.rate = rate
        self.burst = burst
        self.clock = clock
        self.tokens = float(burst)
        self.refilled_at = clock()
        self.dropped = 0

    def emit(self, record):
        """Write a record, or count it as dropped."""
        if not self.take_token(record):
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

    def take_token(self, record):
        """Return whether a line may be written, and take its token."""
        now = self.clock()
        added_tokens = (now - self.refilled_at) * self.rate
        self.tokens = min(float(self.burst), self.tokens + added_tokens)
        self.refilled_at = now
        if self.tokens < 1.0 and record.levelno < logging.WARNING:
            return False
        self.tokens = max(0.0, self.tokens - 1.0)
        return True


class BoundedLine:
    """A line that is logged at most once in an interval; the others are counted.

    Parameters
    ----------
    logger : logging.Logger
    message : str
    interval_s : float
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, logger, message, interval_s=1.0, clock=time.monotonic):
        self.logger = logger
        self.message = message
        self.interval_s = interval_s
        self.clock = clock
        self.written_at = None
        self.left_out = 0

    def write(self, **fields):
        """Log the line, or count it for the next one's field ``left_out``."""
        now = self.clock()
        if self.written_at is not None and now - self.written_at < self.interval_s:
            self.left_out += 1
            return
        self.written_at = now
        self.logger.info(self.message, extra={**fields, "left_out": self.left_out})
        self.left_out = 0


def make_formatter(role, node, zone, incarnation=""):
    """Return a JSON formatter that adds the process's role, node and zone to each line.

    A non-empty `incarnation` is added too, so that a line that is read alone tells which process of
    the node has written it.
    """
    static_fields = {"role": role, "node": node, "zone": zone}
    if incarnation:
        static_fields["process"] = incarnation
    return JsonFormatter(
        "%(asctime)s %(levelname)s %(name)s %(message)s",
        rename_fields={"asctime": "time", "levelname": "level", "name": "module"},
        static_fields=static_fields,
    )


def install_handler(handler, formatter, level):
    """Make `handler` the only log handler of this process."""
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level.upper())
    logging.getLogger("transitions").setLevel(logging.WARNING)
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)


def start_logging(role, node, zone="", level="info", stream=None):
    """Write the logs of this process to a stream.

    Parameters
    ----------
    role, node, zone : str
        Added to every line.
    level : str
        ``debug``, ``info``, ``warning`` or ``error``.
    stream : file object, optional
        Standard error when omitted.
    """
    formatter = make_formatter(role, node, zone)
    install_handler(logging.StreamHandler(stream or sys.stderr), formatter, level)


def start_rate_limited_logging(role, node, zone="", level="info", descriptor=1, incarnation=""):
    """Write the logs of this process to a file descriptor, limited in rate and without blocking.

    Parameters
    ----------
    role, node, zone, level : str
        As for :func:`start_logging`.
    descriptor : int
        Standard output when omitted.
    incarnation : str
        Identifies the process since its start; added to every line as ``process`` if not empty.
    """
    formatter = make_formatter(role, node, zone, incarnation)
    install_handler(RateLimitedHandler(descriptor), formatter, level)
