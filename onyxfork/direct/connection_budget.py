"""Which connections are closed when clients hold more memory or descriptors than a process has.

Load: many clients hold unfinished requests, unread responses or just their connections, beside
ordinary callers, whose requests arrive whole and hold little for a short time. Those that hold most
for longest without an end are closed first.
"""

import logging
import time
from abc import ABC, abstractmethod
from collections import OrderedDict

from onyxfork.logs import BoundedLine

__all__ = ["BudgetedConnection", "ConnectionBudget", "ConnectionLimit", "rank_connections"]

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
        Monotonic seconds at which the latest request arrived completely or was answered or, before
        the first one, the connection was opened.
    """

    held_bytes = 0
    is_busy = False
    unfinished_since = 0.0

    @property
    def is_protected(self):
        """Whether the connection is closed only after all that are not protected."""
        return self.is_busy

    @abstractmethod
    def evict(self):
        """Release what is held and close the connection."""


def rank_connections(connections, now):
    """Return connections in the order in which they are closed.

    Those that are not protected come first, and among them those with the highest product of bytes
    held and time since they last finished a request.

    Parameters
    ----------
    connections : iterable of BudgetedConnection
    now : float
        Monotonic seconds.
    """
    return sorted(
        connections,
        key=lambda item: (item.is_protected, -item.held_bytes * (now - item.unfinished_since)),
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

    def count_refusal(self, status):
        """Count a request that was refused before it reached its handler."""
        if self.telemetry is not None:
            self.telemetry.count("requests_refused", status=status)

    def evict(self, connection, cause):
        """Close one connection and count it; `cause` is what there is too little of."""
        self.remove(connection)
        connection.evict()
        if self.telemetry is not None:
            self.telemetry.count("connections_evicted", cause=cause)


class ConnectionLimit:
    """Upper bound on the connections of one listener.

    Parameters
    ----------
    max_connections : int
    budget : ConnectionBudget

    Attributes
    ----------
    count : int
        Connections that are open.
    waiting : OrderedDict of BudgetedConnection to None
        Those without a request that is being handled; the one that has waited longest comes first.
    """

    def __init__(self, max_connections, budget):
        self.max_connections = max_connections
        self.budget = budget
        self.count = 0
        self.waiting = OrderedDict()
        self.line = BoundedLine(log, "connections closed to free descriptors")

    def admit(self, connection):
        """Count a new connection, and close the one that has waited longest if there are too many.

        Returns
        -------
        bool
            False if all connections have requests that are being handled: the new one has to be
            closed.
        """
        self.count += 1
        is_admitted = self.count <= self.max_connections or bool(self.waiting)
        if self.count > self.max_connections:
            if self.waiting:
                self.budget.evict(self.waiting.popitem(last=False)[0], "descriptors")
            self.line.write(connections=self.count, admitted=is_admitted)
        if is_admitted:
            self.waiting[connection] = None
        return is_admitted

    def record_arrival(self, connection):
        """Record that a request of a connection has arrived completely."""
        connection.unfinished_since = self.budget.clock()
        if connection in self.waiting:
            self.waiting.move_to_end(connection)

    def set_busy(self, connection, is_busy):
        """Record whether a complete request of a connection is with its handler."""
        connection.is_busy = is_busy
        if is_busy:
            self.waiting.pop(connection, None)
        else:
            connection.unfinished_since = self.budget.clock()
            self.waiting[connection] = None

    def remove(self, connection):
        """Stop counting a connection that is closed."""
        self.count -= 1
        self.waiting.pop(connection, None)
