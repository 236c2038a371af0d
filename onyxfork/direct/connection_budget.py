"""Which connections are closed when clients hold more memory than a process has for them.

Load: many clients hold unfinished requests or unread responses, beside ordinary callers, whose
requests arrive whole and hold little for a short time. Those that hold most for longest without an
end are closed first.
"""

import logging
import time
from abc import ABC, abstractmethod

from onyxfork.logs import BoundedLine

__all__ = ["BudgetedConnection", "ConnectionBudget", "rank_connections"]

log = logging.getLogger(__name__)

FREED_SHARE = 0.125
"""Share of the budget that is free after connections were closed; they are ranked only then."""


class BudgetedConnection(ABC):
    """A client's connection and what it holds.

    Attributes
    ----------
    held_bytes : int
    is_busy : bool
        Whether a complete request is with its handler.
    unfinished_since : float
        Monotonic seconds at which the latest request ended or, before the first one, the connection
        was opened.
    """

    held_bytes = 0
    is_busy = False
    unfinished_since = 0.0

    @abstractmethod
    def evict(self):
        """Release what is held and close the connection."""


def rank_connections(connections, now):
    """Return connections in the order in which they are closed.

    Those without a request that is being handled come first, and among them those with the highest
    product of bytes held and time since they last finished a request.

    Parameters
    ----------
    connections : iterable of BudgetedConnection
    now : float
        Monotonic seconds.
    """
    return sorted(
        connections,
        key=lambda item: (item.is_busy, -item.held_bytes * (now - item.unfinished_since)),
    )


class ConnectionBudget:
    """Upper bound on the memory that all client connections of a process hold together.

    Parameters
    ----------
    max_bytes : int
    telemetry : Telemetry, optional
    clock : callable
        Returns monotonic seconds.

    Attributes
    ----------
    connections : set of BudgetedConnection
    held_bytes : int
    """

    def __init__(self, max_bytes, telemetry=None, clock=time.monotonic):
        self.max_bytes = max_bytes
        self.telemetry = telemetry
        self.clock = clock
        self.connections = set()
        self.held_bytes = 0
        self.line = BoundedLine(log, "connections closed to free memory")
        if telemetry is not None:
            telemetry.gauge("connections", lambda: len(self.connections))
            telemetry.gauge("connection_bytes", lambda: self.held_bytes)
            telemetry.gauge("connection_bytes_max", lambda: self.max_bytes)

    def add(self, connection):
        """Add a connection that was opened."""
        connection.unfinished_since = self.clock()
        self.connections.add(connection)

    def remove(self, connection):
        """Remove a connection that is closed, unless it was removed before."""
        if connection in self.connections:
            self.connections.remove(connection)
            self.held_bytes -= connection.held_bytes
            connection.held_bytes = 0

    def hold(self, connection, held_bytes):
        """Record what a connection holds, and close connections if all hold more than they may.

        Parameters
        ----------
        connection : BudgetedConnection
            May be among those that are closed.
        held_bytes : int
        """
        if connection in self.connections:
            self.held_bytes += held_bytes - connection.held_bytes
            connection.held_bytes = held_bytes
            if self.held_bytes > self.max_bytes:
                self.free_memory()

    def free_memory(self):
        """Close connections until a share of the budget is free."""
        wanted_bytes = self.max_bytes * (1 - FREED_SHARE)
        now, closed, before = self.clock(), 0, self.held_bytes
        for connection in rank_connections(self.connections, now):
            if self.held_bytes <= wanted_bytes:
                break
            self.evict(connection, "memory")
            closed += 1
        fields = {"closed": closed, "held_bytes": before, "max_bytes": self.max_bytes}
        self.line.write(**fields, connections=len(self.connections))

    def evict(self, connection, cause):
        """Close one connection and count it."""
        self.remove(connection)
        connection.evict()
        if self.telemetry is not None:
            self.telemetry.count("connections_evicted", cause=cause)
