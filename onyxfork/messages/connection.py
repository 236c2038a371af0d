"""Connections between processes.

A connection carries frames of messages in both directions. Messages sent in one turn of the event
loop leave in one frame. A side that has sent nothing for a heartbeat interval sends a ping; a side
that has heard nothing for the silence limit closes the connection, because open connections may go
silent while new ones work.
"""

import asyncio
import logging
import struct
from contextlib import asynccontextmanager

from attrs import define
from transitions import Machine

from onyxfork.errors import ProtocolError
from onyxfork.messages.codec import pack, unpack
from onyxfork.messages.greeting import Hello, Ping, Reject

__all__ = ["Timing", "Connection", "handshake", "open_connection", "serve", "Liveness"]

log = logging.getLogger(__name__)

HEADER = struct.Struct(">I")
MAX_FRAME_BYTES = 16 * 1024 * 1024
MAX_BUFFERED_BYTES = 64 * 1024 * 1024
HANDSHAKE_TIMEOUT_S = 2.0


@define
class Timing:
    """When a connection is pinged, suspected and given up, and how long opening one may take.

    All in seconds. A lost opening packet is sent again by the kernel only after a second, so where
    that is too long `connect_s` is shorter and the caller tries again.
    """

    heartbeat_s: float = 0.6
    suspect_s: float = 1.3
    silent_s: float = 2.0
    connect_s: float = 2.0


class Liveness:
    """Lifecycle of a connection as seen from one side: live, suspect, silent.

    Parameters
    ----------
    timing : Timing
    now : float
        Monotonic seconds.
    """

    def __init__(self, timing, now):
        self.timing = timing
        self.heard_at = now
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

    def heard(self, now):
        """Note that anything arrived."""
        self.heard_at = now
        if self.state == "suspect":
            self.hear()

    def check(self, now):
        """Move on by the time since the last arrival and return the state."""
        quiet = now - self.heard_at
        if self.state != "silent" and quiet >= self.timing.silent_s:
            self.give_up()
        elif self.state == "live" and quiet >= self.timing.suspect_s:
            self.doubt()
        return self.state


class Connection:
    """One open connection after its handshake.

    Parameters
    ----------
    reader, writer : asyncio streams
    peer : Hello
        What the other side said of itself.
    timing : Timing
    counter : callable, optional
        Called as ``counter(direction, message, frame_bytes)`` for each message; `frame_bytes` is
        not zero for the first message of a frame.

    Attributes
    ----------
    peer_clock : float
        The latest clock value heard from the peer.
    """

    def __init__(self, reader, writer, peer, timing, counter=None):
        self.reader = reader
        self.writer = writer
        self.peer = peer
        self.timing = timing
        self.counter = counter
        self.loop = asyncio.get_running_loop()
        self.outbox = []
        self.flush_due = False
        self.closed = asyncio.Event()
        self.close_reason = None
        self.sent_at = self.loop.time()
        self.liveness = Liveness(timing, self.loop.time())
        self.peer_clock = peer.clock
        self.latest_echo = 0.0

    @property
    def is_open(self):
        """Whether messages may still be sent."""
        return not self.closed.is_set()

    def send(self, item):
        """Queue one message; it leaves with the others of this turn of the event loop."""
        if self.closed.is_set():
            return
        self.outbox.append(item)
        if not self.flush_due:
            self.flush_due = True
            self.loop.call_soon(self.flush)

    def flush(self):
        """Write the queued messages as one frame."""
        self.flush_due = False
        if not self.outbox or self.closed.is_set():
            return
        items, self.outbox = self.outbox, []
        frame = pack(items)
        if len(frame) > MAX_FRAME_BYTES:
            self.split(items)
            return
        self.write_frame(frame)
        if self.counter is not None:
            for position, item in enumerate(items):
                self.counter("sent", item, 0 if position else len(frame))

    def split(self, items):
        """Send an oversized batch as single frames, or close when one message is too large."""
        if len(items) == 1:
            self.close(f"message {type(items[0]).__name__} exceeds {MAX_FRAME_BYTES} bytes")
            return
        middle = len(items) // 2
        for half in (items[:middle], items[middle:]):
            self.outbox = half
            self.flush()

    def write_frame(self, frame):
        """Write one frame and give the connection up when the peer does not read."""
        self.writer.write(HEADER.pack(len(frame)) + frame)
        self.sent_at = self.loop.time()
        if self.writer.transport.get_write_buffer_size() > MAX_BUFFERED_BYTES:
            self.close("the peer does not read")

    async def run(self, on_message):
        """Handle messages until the connection ends.

        Parameters
        ----------
        on_message : callable
            Called as ``on_message(connection, message)``.

        Returns
        -------
        str
            Why the connection ended.
        """
        pinger = self.loop.create_task(self.keep_alive())
        try:
            while self.is_open:
                for item in await self.read_frame():
                    if not isinstance(item, Ping):
                        on_message(self, item)
        except ProtocolError as error:
            log.warning("closing connection", extra={"peer": self.peer.node, "reason": str(error)})
            self.send(Reject(str(error)))
            self.flush()
            self.close(str(error))
        except (OSError, asyncio.IncompleteReadError) as error:
            self.close(f"connection lost: {type(error).__name__}")
        finally:
            pinger.cancel()
            self.close("closed")
        return self.close_reason

    async def read_frame(self):
        """Read one frame and return its messages."""
        frame = await read_frame_bytes(self.reader)
        self.liveness.heard(self.loop.time())
        items = unpack(frame)
        for position, item in enumerate(items):
            if self.counter is not None:
                self.counter("received", item, 0 if position else len(frame))
            clock = getattr(item, "clock", None)
            if clock is not None:
                self.peer_clock = clock
            echo = getattr(item, "echo", None)
            if echo is not None and echo > self.latest_echo:
                self.latest_echo = echo
        return items

    async def keep_alive(self):
        """Ping a quiet peer and close the connection when the peer has gone silent."""
        check_s = self.timing.heartbeat_s / 2
        while self.is_open:
            before = self.loop.time()
            ping_at = self.sent_at + self.timing.heartbeat_s
            pause_s = min(check_s, max(0.0, ping_at - before))
            await asyncio.sleep(pause_s)
            now = self.loop.time()
            if now - before - pause_s > self.timing.suspect_s:
                self.liveness.heard_at += now - before - pause_s
            if now >= self.sent_at + self.timing.heartbeat_s:
                self.sent_at = now
                self.send(Ping(clock=now, echo=self.peer_clock))
            if self.liveness.check(now) == "silent":
                self.close("the peer has gone silent")

    def close(self, reason):
        """Close the connection; the first reason given is kept."""
        if self.closed.is_set():
            return
        self.close_reason = reason
        self.closed.set()
        if reason == "the peer has gone silent":
            self.writer.transport.abort()
        else:
            self.writer.close()


async def read_frame_bytes(reader, limit=MAX_FRAME_BYTES):
    """Return the bytes of the next frame.

    Raises
    ------
    ProtocolError
        When the frame is longer than `limit` bytes.
    """
    (size,) = HEADER.unpack(await reader.readexactly(HEADER.size))
    if size > limit:
        raise ProtocolError(f"frame of {size} bytes exceeds the limit of {limit}")
    return await reader.readexactly(size)


def check_hello(hello, mine):
    """Raise `ProtocolError` when the peer may not be spoken to."""
    if isinstance(hello, Reject):
        raise ProtocolError(f"rejected by the peer: {hello.reason}")
    if not isinstance(hello, Hello):
        raise ProtocolError("the first message must be Hello")
    if hello.version != mine.version:
        raise ProtocolError(f"protocol version {hello.version}, expected {mine.version}")
    if hello.cluster != mine.cluster:
        raise ProtocolError(f"cluster {hello.cluster!r}, expected {mine.cluster!r}")


async def handshake(reader, writer, hello):
    """Exchange `Hello` and return the peer's.

    Parameters
    ----------
    reader, writer : asyncio streams
    hello : Hello

    Raises
    ------
    ProtocolError
        With the reason, after telling it to the peer.
    """
    frame = pack([hello])
    writer.write(HEADER.pack(len(frame)) + frame)
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            items = unpack(await read_frame_bytes(reader, limit=65536))
            peer = items[0] if items else None
            check_hello(peer, hello)
    except TimeoutError:
        raise ProtocolError("no handshake in time") from None
    except ProtocolError as error:
        frame = pack([Reject(str(error))])
        writer.write(HEADER.pack(len(frame)) + frame)
        raise
    return peer


@asynccontextmanager
async def open_connection(address, hello, timing, counter=None, tls=None):
    """Connect to a process and yield the connection.

    Parameters
    ----------
    address : tuple of (str, int)
        IP number and port.
    hello : Hello
    timing : Timing
    counter : callable, optional
    tls : ssl.SSLContext, optional

    Yields
    ------
    Connection

    Raises
    ------
    OSError, ProtocolError
        When no connection could be made.
    """
    try:
        async with asyncio.timeout(timing.connect_s):
            reader, writer = await asyncio.open_connection(*address, ssl=tls)
    except TimeoutError:
        raise OSError(f"no connection to {address[0]}:{address[1]} in time") from None
    try:
        peer = await handshake(reader, writer, hello)
        connection = Connection(reader, writer, peer, timing, counter)
        try:
            yield connection
        finally:
            connection.flush()
            connection.close("closed here")
    except asyncio.IncompleteReadError:
        raise OSError("connection closed during the handshake") from None
    finally:
        writer.close()


@asynccontextmanager
async def serve(host, port, make_hello, timing, on_connection, counter=None, tls=None):
    """Accept connections while the context is open.

    Parameters
    ----------
    host : str
        IP number.
    port : int
    make_hello : callable
        Returns this process's `Hello`.
    timing : Timing
    on_connection : coroutine function
        Called with each `Connection` after its handshake.
    counter : callable, optional
    tls : ssl.SSLContext, optional

    Yields
    ------
    int
        The port that is listened on.
    """
    connections = set()

    async def accept(reader, writer):
        task = asyncio.current_task()
        connections.add(task)
        try:
            peer = await handshake(reader, writer, make_hello())
            await on_connection(Connection(reader, writer, peer, timing, counter))
        except ProtocolError as error:
            address = writer.get_extra_info("peername")
            log.warning("refused connection", extra={"peer": str(address), "reason": str(error)})
        except (OSError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            connections.discard(task)
            writer.close()

    server = await asyncio.start_server(accept, host, port, ssl=tls)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()
        for task in list(connections):
            task.cancel()
        await asyncio.gather(*connections, return_exceptions=True)
