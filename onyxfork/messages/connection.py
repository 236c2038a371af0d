"""Connections between processes.

A connection carries frames of messages in both directions; a frame is a length header followed by
a msgpack array. Messages sent during one iteration of the event loop are written as one frame. Each
side sends a ping when it has sent nothing for a heartbeat interval, and closes the connection when
it has received nothing for the silence timeout, because an open connection can stop delivering
while new connections work.
"""

import asyncio
import logging
import struct
from contextlib import asynccontextmanager

from onyxfork.errors import ProtocolError
from onyxfork.messages.codec import pack, unpack
from onyxfork.messages.greeting import Hello, Ping, Reject
from onyxfork.messages.heartbeats import Liveness, heartbeat_timer

__all__ = ["Connection", "handshake", "open_connection", "serve"]

log = logging.getLogger(__name__)

HEADER = struct.Struct(">I")
MAX_FRAME_BYTES = 16 * 1024 * 1024
MAX_BUFFERED_BYTES = 64 * 1024 * 1024
HANDSHAKE_TIMEOUT_S = 2.0

MIN_PING_SHARE = 0.75
"""A ping is sent from this share of the heartbeat interval on, since the connections of a process
are checked together, twice in each interval."""

UNREAD_GRACE_S = 0.01
"""A silent connection is closed after this delay, in which bytes that have arrived are read: a
process that was stalled runs overdue timers before it reads."""

SILENT = "the peer has gone silent"


class Connection:
    """An open connection after its handshake.

    Parameters
    ----------
    reader, writer : asyncio streams
    peer : Hello
        The peer's handshake message.
    timing : Timing
    counter : callable, optional
        Called as ``counter(direction, message, frame_bytes)`` for each message sent or received.
        `frame_bytes` is the size of the frame for its first message and 0 for the others.

    Attributes
    ----------
    peer_clock : float
        The latest value of the peer's clock that was received.
    latest_echo : float
        The highest value of this process's clock that the peer has echoed.
    heard_at : float
        Monotonic seconds of the latest arrival; stalls of this process count.
    closed_at : float or None
        When the connection was closed, or reached the silence timeout if this was noticed later.
    """

    def __init__(self, reader, writer, peer, timing, counter=None):
        self.reader = reader
        self.writer = writer
        self.peer = peer
        self.timing = timing
        self.counter = counter
        self.loop = asyncio.get_running_loop()
        self.outbox = []
        self.flush_scheduled = False
        self.closed = asyncio.Event()
        self.close_reason = None
        self.last_sent_at = self.loop.time()
        self.liveness = Liveness(timing, self.loop.time())
        self.silence_timer = None
        self.heard_at = self.loop.time()
        self.closed_at = None
        self.peer_clock = peer.clock
        self.latest_echo = 0.0

    @property
    def is_open(self):
        """Whether the connection is open for sending."""
        return not self.closed.is_set()

    def send(self, item):
        """Enqueue a message for the frame of this event loop iteration; drop it when closed."""
        if self.closed.is_set():
            return
        self.outbox.append(item)
        if not self.flush_scheduled:
            self.flush_scheduled = True
            self.loop.call_soon(self.flush)

    def flush(self):
        """Write the queued messages as one frame, or as several if one would be too large."""
        self.flush_scheduled = False
        if not self.outbox or self.closed.is_set():
            return
        items, self.outbox = self.outbox, []
        frame = pack(items)
        if len(frame) > MAX_FRAME_BYTES:
            self.flush_in_halves(items)
            return
        self.write_frame(frame)
        if self.counter is not None:
            for position, item in enumerate(items):
                self.counter("sent", item, 0 if position else len(frame))

    def flush_in_halves(self, items):
        """Send an oversized batch in two halves; close when a single message is too large."""
        if len(items) == 1:
            self.close(f"message {type(items[0]).__name__} exceeds {MAX_FRAME_BYTES} bytes")
            return
        middle = len(items) // 2
        for half in (items[:middle], items[middle:]):
            self.outbox = half
            self.flush()

    def write_frame(self, frame):
        """Write one frame; close the connection when too many unsent bytes are buffered."""
        self.writer.write(HEADER.pack(len(frame)) + frame)
        self.last_sent_at = self.loop.time()
        if self.writer.transport.get_write_buffer_size() > MAX_BUFFERED_BYTES:
            self.close("too many unsent bytes: the peer is not reading")

    async def run(self, on_message):
        """Receive messages until the connection is closed.

        Parameters
        ----------
        on_message : callable
            Called as ``on_message(connection, message)`` for each message but pings.

        Returns
        -------
        str
            Why the connection was closed.
        """
        heartbeats = heartbeat_timer(self.loop, self.timing.heartbeat_s)
        heartbeats.add(self)
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
        except Exception as error:
            log.exception("a message could not be processed", extra={"peer": self.peer.node})
            self.send(Reject(f"the message could not be processed: {type(error).__name__}"))
            self.flush()
            self.close("a message could not be processed")
        finally:
            heartbeats.remove(self)
            if self.silence_timer is not None:
                self.silence_timer.cancel()
            self.close("closed")
        return self.close_reason

    async def read_frame(self):
        """Read one frame, update the peer's clock and echo, and return the messages."""
        frame = await read_frame_bytes(self.reader)
        self.heard_at = self.loop.time()
        self.liveness.record_arrival(self.heard_at)
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

    def check_heartbeat(self, now, stalled_s):
        """Send a ping when idle, and close the connection when the peer is silent.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        stalled_s : float
            How long this process itself was stalled; if longer than the suspect timeout, that time
            does not count as silence of the peer.
        """
        timing = self.timing
        if stalled_s > timing.suspect_s:
            self.liveness.last_arrival_at += stalled_s
        if now >= self.last_sent_at + timing.heartbeat_s * MIN_PING_SHARE:
            self.last_sent_at = now
            self.ping(now)
        remaining_s = self.liveness.last_arrival_at + timing.silent_s - now
        if remaining_s < timing.heartbeat_s and self.silence_timer is None:
            delay_s = max(0.0, remaining_s) + UNREAD_GRACE_S
            self.silence_timer = self.loop.call_later(delay_s, self.close_if_silent)

    def ping(self, now):
        """Send this process's clock, and echo the latest value received of the peer's."""
        self.send(Ping(clock=now, echo=self.peer_clock))

    def close_if_silent(self):
        """Close the connection if the peer is still silent; what has arrived was read before."""
        self.silence_timer = None
        now = self.loop.time()
        if self.is_open and self.liveness.check(now) == "silent":
            self.close(SILENT)

    def close(self, reason):
        """Close the connection; the reason of the first call is kept.

        The connection to a silent peer is aborted, since its buffered data cannot be delivered.
        """
        if self.closed.is_set():
            return
        self.close_reason = reason
        self.closed.set()
        self.closed_at = self.loop.time()
        if reason == SILENT:
            self.closed_at = min(self.closed_at, self.heard_at + self.timing.silent_s)
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


def check_hello(hello, own_hello):
    """Raise `ProtocolError` when the peer's first message does not permit a connection."""
    if isinstance(hello, Reject):
        raise ProtocolError(f"rejected by the peer: {hello.reason}")
    if not isinstance(hello, Hello):
        raise ProtocolError("the first message must be Hello")
    if hello.version != own_hello.version:
        raise ProtocolError(f"protocol version {hello.version}, expected {own_hello.version}")
    if hello.cluster != own_hello.cluster:
        raise ProtocolError(f"cluster {hello.cluster!r}, expected {own_hello.cluster!r}")


async def handshake(reader, writer, hello):
    """Exchange `Hello` messages and return the peer's.

    Parameters
    ----------
    reader, writer : asyncio streams
    hello : Hello
        The handshake message of this process.

    Returns
    -------
    Hello

    Raises
    ------
    ProtocolError
        When the peer's message is not accepted (the peer is sent the reason) or does not arrive
        within the timeout.
    """
    frame = pack([hello])
    writer.write(HEADER.pack(len(frame)) + frame)
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            items = unpack(await read_frame_bytes(reader, limit=65536))
            peer = items[0] if items else None
            check_hello(peer, hello)
    except TimeoutError:
        raise ProtocolError("the handshake timed out") from None
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
        IP address and port.
    hello : Hello
        The handshake message of this process.
    timing : Timing
    counter : callable, optional
    tls : ssl.SSLContext, optional

    Yields
    ------
    Connection

    Raises
    ------
    OSError, ProtocolError
        When the connection or the handshake failed.
    """
    try:
        async with asyncio.timeout(timing.connect_s):
            reader, writer = await asyncio.open_connection(*address, ssl=tls)
    except TimeoutError:
        raise OSError(f"connecting to {address[0]}:{address[1]} timed out") from None
    try:
        peer = await handshake(reader, writer, hello)
        connection = Connection(reader, writer, peer, timing, counter)
        try:
            yield connection
        finally:
            connection.flush()
            connection.close("closed by this process")
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
        IP address.
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
        The listening port.
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
