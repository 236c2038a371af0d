"""Callers who have left, known before what their connections still hold is read.

Load: an entry that was frozen, or whose event loop is busy, wakes to requests whose callers have
closed their connections and sent the jobs elsewhere. The end of a connection lies behind the
request in its socket, so the request alone doesn't tell; the state of the socket does.

References
----------
epoll(7) and epoll_ctl(2): ``EPOLLRDHUP`` and ``EPOLLHUP`` are reported whatever is unread.
"""

import select
from contextlib import contextmanager

from attrs import define

__all__ = ["Caller", "HangupWatch", "open_hangup_watch"]

MAX_EVENTS = 64
"""Upper bound on the ends that one system call reports."""


@define(eq=False, slots=True)
class Caller:
    """The sender of requests on one connection.

    Parameters
    ----------
    has_left : bool
        Whether the sender has closed or reset the connection, or its sending side.
    on_left : callable or None
        Called once when that is noticed.
    """

    has_left: bool = False
    on_left: object = None

    def mark_left(self):
        """Record that the sender has left."""
        if not self.has_left:
            self.has_left = True
            if self.on_left is not None:
                self.on_left()


class HangupWatch:
    """Connections of callers, and which of them have ended at the other side.

    Parameters
    ----------
    epoll : select.epoll

    Attributes
    ----------
    callers : dict of int to Caller
        Callers by the descriptor of their socket.
    """

    def __init__(self, epoll):
        self.epoll = epoll
        self.callers = {}

    def add(self, sock):
        """Watch a connected socket and return its `Caller`.

        Parameters
        ----------
        sock : socket-like
            Must be removed before it is closed, since its descriptor may be used again.
        """
        caller = self.callers[sock.fileno()] = Caller()
        # Edge-triggered: each end is reported once, although the socket stays in that state.
        self.epoll.register(sock.fileno(), select.EPOLLRDHUP | select.EPOLLET)
        return caller

    def remove(self, sock):
        """Stop watching a socket."""
        if self.callers.pop(sock.fileno(), None) is not None and not self.epoll.closed:
            self.epoll.unregister(sock.fileno())

    def look(self):
        """Mark the callers whose connections have ended.

        Its duration depends on how many have ended, not on how many are watched.
        """
        if self.epoll.closed:
            return
        while events := self.epoll.poll(0, MAX_EVENTS):
            for descriptor, _ in events:
                self.callers[descriptor].mark_left()


@contextmanager
def open_hangup_watch(loop, on_hangup):
    """Yield a `HangupWatch`, and call `on_hangup` whenever a connection has ended.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
    on_hangup : callable
        Has to call `HangupWatch.look`.
    """
    with select.epoll() as epoll:
        loop.add_reader(epoll.fileno(), on_hangup)
        try:
            yield HangupWatch(epoll)
        finally:
            loop.remove_reader(epoll.fileno())
