"""Heartbeats of connections: timeouts, the state of a peer, and one timer for all connections."""

from weakref import WeakKeyDictionary

from attrs import define
from transitions import Machine

__all__ = ["Timing", "Liveness", "HeartbeatTimer", "heartbeat_timer"]


@define
class Timing:
    """Timeouts of a connection, in seconds.

    Parameters
    ----------
    heartbeat_s : float
        A ping is sent when nothing was sent for this long.
    suspect_s : float
        The connection is suspect when nothing was received for this long.
    silent_s : float
        The connection is closed when nothing was received for this long.
    connect_s : float
        Upper bound on the time to open a connection. The kernel retransmits a lost SYN only after
        a second; where that is too long, `connect_s` is shorter and the caller retries.
    """

    heartbeat_s: float = 0.6
    suspect_s: float = 1.3
    silent_s: float = 2.0
    connect_s: float = 2.0


class Liveness:
    """State of a connection by the time since the last arrival: live, suspect or silent.

    `Machine` adds the attribute `state` and a method for each trigger.

    Parameters
    ----------
    timing : Timing
    now : float
        Monotonic seconds.
    """

    def __init__(self, timing, now):
        self.timing = timing
        self.last_arrival_at = now
        self.machine = Machine(
            self,
            states=["live", "suspect", "silent"],
            initial="live",
            transitions=[
                {"trigger": "hear", "source": ["live", "suspect"], "dest": "live"},
                {"trigger": "doubt", "source": "live", "dest": "suspect"},
                {"trigger": "give_up", "source": ["live", "suspect"], "dest": "silent"},
            ],
            auto_transitions=False,
        )

    def record_arrival(self, now):
        """Record that something was received; a suspect connection is live again."""
        self.last_arrival_at = now
        if self.state == "suspect":
            self.hear()

    def check(self, now):
        """Update the state from the time since the last arrival and return it."""
        idle_s = now - self.last_arrival_at
        if self.state != "silent" and idle_s >= self.timing.silent_s:
            self.give_up()
        elif self.state == "live" and idle_s >= self.timing.suspect_s:
            self.doubt()
        return self.state


class HeartbeatTimer:
    """Checks the heartbeats of all connections of a process that have the same interval.

    One timer for all connections wakes the process as often with hundreds of them as with one.

    Parameters
    ----------
    loop : asyncio event loop
    interval_s : float
        Seconds between checks.
    """

    def __init__(self, loop, interval_s):
        self.loop = loop
        self.interval_s = interval_s
        self.connections = set()
        self.handle = None
        self.due_at = 0.0

    def add(self, connection):
        """Check a connection until it is removed."""
        self.connections.add(connection)
        if self.handle is None:
            self.schedule()

    def remove(self, connection):
        """Stop checking a connection."""
        self.connections.discard(connection)

    def schedule(self):
        """Schedule the next check."""
        self.due_at = self.loop.time() + self.interval_s
        self.handle = self.loop.call_at(self.due_at, self.check)

    def check(self):
        """Check all connections, and schedule the next check while there are any."""
        self.handle = None
        now = self.loop.time()
        for connection in list(self.connections):
            connection.check_heartbeat(now, now - self.due_at)
        if self.connections:
            self.schedule()


heartbeat_timers = WeakKeyDictionary()


def heartbeat_timer(loop, heartbeat_s):
    """Return the `HeartbeatTimer` of an event loop for a heartbeat interval."""
    timers = heartbeat_timers.setdefault(loop, {})
    if heartbeat_s not in timers:
        timers[heartbeat_s] = HeartbeatTimer(loop, heartbeat_s / 2)
    return timers[heartbeat_s]
