"""HTTP/1.1 server of the adapter, on the parser of `httptools`.

There are few routes, so there is no application or router: one handler takes all requests of a
server. Requests on one connection are handled one after the other.
"""

import asyncio
import logging
from collections import deque
from contextlib import asynccontextmanager

from attrs import define, field

from onyxfork.platform.http_messages import Headers, Request, Response, json_response
from onyxfork.platform.http_reader import DEFAULT_LIMITS, RequestError, RequestReader

__all__ = ["Headers", "Request", "Response", "run_server", "json_response"]

log = logging.getLogger(__name__)

MAX_PIPELINED = 16
"""Upper bound on the requests of a connection that wait for the handler; reading pauses above."""

REQUEST_TIMEOUT_S = 15.0
"""How long a request may take to arrive, from its first byte to its last."""

SHUTDOWN_TIMEOUT_S = 0.3
"""How long a stopping server waits for handlers."""

DISCARD_TIMEOUT_S, MAX_DISCARDED_BYTES = 1.0, 8 * 2**20
"""How long, and up to how many bytes, the rest of a refused request is discarded before its
connection is closed. A connection that is closed with unread bytes is reset, and the client loses
the response."""


class ServerConnection(asyncio.Protocol):
    """One client's connection.

    Parameters
    ----------
    server : ServerState

    Attributes
    ----------
    reader : RequestReader
    waiting : deque of Request or Response
        Complete requests that the handler has not taken yet, then the response to one that was
        refused.
    handler_task : asyncio.Task or None
        Handles the waiting requests; cancelled when the client disconnects.
    """

    def __init__(self, server):
        self.server = server
        self.loop = asyncio.get_running_loop()
        self.transport = None
        self.reader = RequestReader(server.read_limits, self.enqueue, self.confirm_expectation)
        self.waiting = deque()
        self.handler_task = None
        self.timer = None
        self.can_write = asyncio.Event()
        self.can_write.set()
        self.is_refusing = False
        self.discarded_bytes = 0

    # Transport

    def connection_made(self, transport):
        self.transport = transport
        self.server.connections.add(self)
        self.set_timer(self.server.read_limits().idle_timeout_s)

    def connection_lost(self, error):
        self.server.connections.discard(self)
        self.timer.cancel()
        self.reader.close()
        if self.handler_task is not None:
            self.handler_task.cancel()

    def pause_writing(self):
        self.can_write.clear()

    def resume_writing(self):
        self.can_write.set()

    def data_received(self, data):
        if self.is_refusing:
            self.discard(data)
            return
        was_in_request = self.reader.is_in_request
        try:
            self.reader.feed(memoryview(data))
        except RequestError as error:
            self.refuse(error.status, str(error))
            return
        if self.reader.is_in_request and not was_in_request:
            self.set_timer(REQUEST_TIMEOUT_S)
        elif was_in_request and not self.reader.is_in_request:
            self.set_timer(self.reader.limits.idle_timeout_s)

    def discard(self, data):
        """Ignore bytes that follow a refused request."""
        self.discarded_bytes += len(data)
        if self.discarded_bytes > MAX_DISCARDED_BYTES:
            self.transport.abort()

    def set_timer(self, seconds):
        """Close the connection after a time without progress, replacing an earlier timer."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.call_later(seconds, self.on_timeout)

    def on_timeout(self):
        """Close the connection, unless requests are being handled."""
        if self.handler_task is None:
            self.transport.close()
        else:
            self.set_timer(self.reader.limits.idle_timeout_s)

    def refuse(self, status, reason):
        """Respond to a request that cannot be parsed, after the complete ones, and close."""
        log.info("request refused", extra={"status": status, "reason": reason})
        self.is_refusing = True
        response = json_response(status, {"error": reason})
        response.close = True
        self.enqueue(response)

    def confirm_expectation(self):
        """Tell a client that waits before it sends the body to go on."""
        self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    # Requests

    def enqueue(self, item):
        """Add a request, or the response to one that was refused, to those to be handled."""
        if isinstance(item, Request):
            item.transport = self.transport
        self.waiting.append(item)
        if len(self.waiting) >= MAX_PIPELINED:
            self.transport.pause_reading()
        if self.handler_task is None:
            self.handler_task = self.loop.create_task(self.handle_waiting())

    async def handle_waiting(self):
        """Handle the waiting requests in their order and write the responses."""
        try:
            while self.waiting and not self.transport.is_closing():
                item = self.waiting.popleft()
                if len(self.waiting) == MAX_PIPELINED - 1:
                    self.transport.resume_reading()
                if isinstance(item, Response):
                    self.transport.write(item.encode())
                    self.discard_rest()
                    return
                response = await self.call_handler(item)
                if not (item.keep_alive and self.server.is_open):
                    response.close = True
                self.transport.write(response.encode(item.method == "HEAD"))
                if response.close:
                    self.transport.close()
                await self.can_write.wait()
        finally:
            self.handler_task = None

    def discard_rest(self):
        """Close the connection after a refusal once the client has been able to read it."""
        self.transport.resume_reading()
        self.transport.write_eof()
        self.set_timer(DISCARD_TIMEOUT_S)

    async def call_handler(self, request):
        """Return the handler's response, or 500 if it fails."""
        try:
            return await self.server.handler(request)
        except Exception:
            log.exception("request handler failed", extra={"path": request.path})
            return json_response(500, {"error": "internal error"})


@define(eq=False)
class ServerState:
    """What the connections of one server share.

    Parameters
    ----------
    handler : coroutine function
    read_limits : callable
        Returns the `RequestLimits` in force.
    connections : set of ServerConnection
    is_open : bool
        False once the server is stopping.
    """

    handler: object
    read_limits: object
    connections: set = field(factory=set)
    is_open: bool = True


@asynccontextmanager
async def run_server(handler, address, read_limits=lambda: DEFAULT_LIMITS, backlog=512):
    """Serve HTTP requests with a handler while the context is open.

    The handler of a request is cancelled when its client disconnects.

    Parameters
    ----------
    handler : coroutine function
        Takes a `Request` and returns a `Response`.
    address : Address
        Where to listen.
    read_limits : callable
        Returns the `RequestLimits` in force.
    backlog : int
        How many connections may wait to be accepted.
    """
    state = ServerState(handler, read_limits)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: ServerConnection(state), address.host, address.port, backlog=backlog
    )
    try:
        yield server
    finally:
        state.is_open = False
        server.close()
        tasks = [item.handler_task for item in state.connections if item.handler_task is not None]
        if tasks:
            await asyncio.wait(tasks, timeout=SHUTDOWN_TIMEOUT_S)
        for connection in list(state.connections):
            if connection.handler_task is None:
                connection.transport.close()
            else:
                connection.transport.abort()
