"""HTTP/1.1 server of the adapter, on the parser of `httptools`.

There are few routes, so there is no application or router: one handler takes all requests of a
server. Requests on one connection are handled one after the other.
"""

import asyncio
import logging
import socket
from collections import deque
from contextlib import asynccontextmanager

from attrs import define, field

from onyxfork.direct.client_limits import ClientLimits
from onyxfork.direct.connection_budget import (
    BudgetedConnection,
    ConnectionBudget,
    ConnectionLimit,
)
from onyxfork.direct.turn_quota import TurnQuota
from onyxfork.logs import BoundedLine
from onyxfork.platform.http_messages import Headers, Request, Response, json_response
from onyxfork.platform.http_reader import DEFAULT_LIMITS, RequestError, RequestReader

__all__ = ["Headers", "Request", "Response", "run_server", "json_response"]

log = logging.getLogger(__name__)

SHUTDOWN_TIMEOUT_S = 0.3
"""How long a stopping server waits for handlers."""

MAX_ACCEPTS = 8
"""Upper bound on the connections that are accepted in one turn of the event loop. They have their
descriptors before it is known whether there are too many."""

READ_BYTES = 16384
"""Upper bound on the bytes of one read."""

RECEIVE_BUFFER_BYTES, SEND_BUFFER_BYTES = 16384, 32768
"""Sizes of the kernel's buffers for bytes of a connection that are not read yet, and not sent."""

CONNECTION_BYTES, REQUEST_BYTES = 5120, 1024
"""What a connection, and a request apart from its body, take in memory."""

DISCARD_TIMEOUT_S, MAX_DISCARDED_BYTES = 1.0, 8 * 2**20
"""How long, and up to how many bytes, the rest of a refused request is discarded before its
connection is closed. A connection that is closed with unread bytes is reset, and the client loses
the response."""

EVICTED = json_response(503, {"error": "clients hold too much"}, {"Retry-After": "1"})
TOO_MANY = json_response(503, {"error": "too many connections"}, {"Retry-After": "1"})
EVICTED.close = TOO_MANY.close = True
"""Responses before a connection is closed: to a request that is not complete, and before the first
request."""

DEFAULT_CLIENT_LIMITS = ClientLimits()
"""Limits of a server that is given none."""


class ServerConnection(BudgetedConnection, asyncio.BufferedProtocol):
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
    queued_bytes : int
        What the requests hold that are complete and not answered yet.
    unparsed : bytes
        Bytes that follow complete requests; reading is paused until they are parsed.
    caller : Caller or None
        Whether the client has left, if the server watches for that.
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
        self.queued_bytes = 0
        self.unparsed = b""
        self.caller = None

    # Transport

    def connection_made(self, transport):
        self.transport = transport
        transport.set_write_buffer_limits(self.server.client_limits.unsent_bytes)
        self.server.connections.add(self)
        self.server.budget.add(self)
        if self.server.hangup_watch is not None:
            self.caller = self.server.hangup_watch.add(transport.get_extra_info("socket"))
        self.set_timer(self.server.read_limits().idle_timeout_s)
        if self.server.connection_limit.admit(self):
            self.update_held_bytes()
        else:
            self.is_refusing = True
            self.transport.write(TOO_MANY.encode())
            self.transport.close()

    def connection_lost(self, error):
        self.server.connections.discard(self)
        self.server.budget.remove(self)
        self.server.connection_limit.remove(self)
        if self.caller is not None:
            self.server.hangup_watch.remove(self.transport.get_extra_info("socket"))
        self.timer.cancel()
        self.reader.close()
        if self.handler_task is not None:
            self.handler_task.cancel()

    def pause_writing(self):
        self.can_write.clear()

    def resume_writing(self):
        self.can_write.set()

    def get_buffer(self, _):
        return self.server.read_buffer

    def buffer_updated(self, size):
        if self.is_refusing:
            self.discard(size)
            return
        data = self.server.read_buffer[:size]
        if self.waiting or self.server.quota.is_spent():
            self.postpone(data)
        else:
            self.parse(data)
        self.update_held_bytes()

    def parse(self, data):
        """Parse bytes up to a complete request, and postpone the rest."""
        reader = self.reader
        was_in_request, had_header = reader.is_in_request, reader.headers_complete
        try:
            parsed_bytes = reader.feed(data)
        except RequestError as error:
            self.refuse(error.status, str(error))
            return
        if not reader.is_in_request:
            if was_in_request:
                self.set_timer(reader.limits.idle_timeout_s)
        elif not was_in_request or reader.headers_complete != had_header:
            in_body = reader.headers_complete
            limit_s = self.server.client_limits.body_timeout_s
            self.set_timer(limit_s if in_body else reader.limits.header_timeout_s)
        if parsed_bytes < len(data):
            self.postpone(data[parsed_bytes:])

    def postpone(self, data):
        """Keep bytes to parse them in a later turn, after the complete requests are handled."""
        self.unparsed = bytes(data)
        self.transport.pause_reading()
        if self.handler_task is None:
            self.server.quota.defer(self.parse_postponed)

    def parse_postponed(self):
        """Parse bytes that were kept, and go on reading after the last of them."""
        if self.is_refusing or self.transport.is_closing():
            return
        data, self.unparsed = self.unparsed, b""
        self.parse(memoryview(data))
        if not self.unparsed:
            self.transport.resume_reading()
        self.update_held_bytes()

    def update_held_bytes(self):
        """Record what the connection holds in the budget of the process."""
        unsent_bytes = 0 if self.can_write.is_set() else self.transport.get_write_buffer_size()
        received_bytes = self.reader.held_bytes + self.queued_bytes
        if self.unparsed:
            received_bytes += len(self.unparsed) + RECEIVE_BUFFER_BYTES
        self.server.budget.hold(self, CONNECTION_BYTES + received_bytes + unsent_bytes)

    def on_body_taken(self, size):
        """Record that a handler has taken the body of its request."""
        self.queued_bytes -= size
        self.update_held_bytes()

    @property
    def is_protected(self):
        """Whether only a request that is being handled keeps the connection open."""
        return self.is_busy and not self.waiting and not self.unparsed

    def evict(self):
        """Release what is held and close the connection.

        A client whose request is incomplete is told that it has not run.
        """
        is_incomplete = self.reader.is_in_request and not self.is_busy
        self.is_refusing = True
        self.reader.close()
        self.waiting.clear()
        self.unparsed = b""
        if is_incomplete and self.can_write.is_set():
            self.transport.write(EVICTED.encode())
            self.transport.close()
        else:
            self.transport.abort()

    def discard(self, size):
        """Ignore bytes that follow a refused request."""
        self.discarded_bytes += size
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
        self.server.budget.count_refusal(status)
        self.server.refusal_line.write(status=status, reason=reason)
        self.is_refusing = True
        self.reader.close()
        self.update_held_bytes()
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
            item.caller = self.caller
            item.on_body_taken = self.on_body_taken
            self.queued_bytes += REQUEST_BYTES + len(item.body)
            self.server.connection_limit.record_arrival(self)
        self.waiting.append(item)
        if self.handler_task is None:
            self.handler_task = self.loop.create_task(self.handle_waiting())

    async def handle_waiting(self):
        """Handle the waiting requests in their order and write the responses.

        Connections with requests take turns, one request each.
        """
        quota = self.server.quota
        try:
            while (self.waiting or self.unparsed) and not self.transport.is_closing():
                if quota.is_spent() or quota.has_deferred:
                    await quota.wait_for_turn()
                if not self.waiting:
                    self.parse_postponed()
                elif not self.transport.is_closing():
                    await self.handle_next()
        finally:
            self.handler_task = None

    async def handle_next(self):
        """Handle the request that has waited longest, or send the response to a refused one."""
        item = self.waiting.popleft()
        if isinstance(item, Response):
            self.transport.write(item.encode())
            self.discard_rest()
            return
        self.server.connection_limit.set_busy(self, True)
        response = await self.call_handler(item)
        self.finish_request(item)
        if not (item.keep_alive and self.server.is_open):
            response.close = True
        self.transport.write(response.encode(item.method == "HEAD"))
        if response.close:
            self.transport.close()
        self.update_held_bytes()
        if not self.can_write.is_set():
            await self.wait_for_client()

    async def wait_for_client(self):
        """Wait until the client has read responses, and close the connection if it does not."""
        try:
            async with asyncio.timeout(self.reader.limits.idle_timeout_s):
                await self.can_write.wait()
        except TimeoutError:
            self.transport.abort()
        self.update_held_bytes()

    def finish_request(self, request):
        """Record that a request was handled."""
        self.server.connection_limit.set_busy(self, False)
        self.queued_bytes -= REQUEST_BYTES + len(request.body)

    def discard_rest(self):
        """Close the connection after a refusal once the client has been able to read it."""
        self.unparsed = b""
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
    client_limits : ClientLimits
    budget : ConnectionBudget
    connection_limit : ConnectionLimit
    quota : TurnQuota
    hangup_watch : HangupWatch or None
        Notices that a client has left while its connection is not read.
    connections : set of ServerConnection
    is_open : bool
        False once the server is stopping.
    refusal_line : BoundedLine
    read_buffer : memoryview
        Receives the bytes of one read, which are parsed before the next one.
    """

    handler: object
    read_limits: object
    client_limits: ClientLimits
    budget: ConnectionBudget
    connection_limit: ConnectionLimit
    quota: TurnQuota
    hangup_watch: object = None
    connections: set = field(factory=set)
    is_open: bool = True
    refusal_line: BoundedLine = field(factory=lambda: BoundedLine(log, "request refused"))
    read_buffer: memoryview = field(factory=lambda: memoryview(bytearray(READ_BYTES)))


@asynccontextmanager
async def run_server(
    handler,
    address,
    read_limits=lambda: DEFAULT_LIMITS,
    budget=None,
    limits=DEFAULT_CLIENT_LIMITS,
    backlog=512,
    hangup_watch=None,
):
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
    budget : ConnectionBudget, optional
        Shared by the servers of a process; of the default size if omitted.
    limits : ClientLimits
    backlog : int
        How many connections may wait to be accepted.
    hangup_watch : HangupWatch, optional
        Gives each request its `Caller`.
    """
    loop = asyncio.get_running_loop()
    budget = budget or ConnectionBudget(limits.held_bytes)
    state = ServerState(
        handler,
        read_limits,
        limits,
        budget,
        ConnectionLimit(limits.connections, budget),
        TurnQuota(loop, limits.turn_s),
        hangup_watch,
    )
    listener = open_listener(address)
    server = await loop.create_server(
        lambda: ServerConnection(state), sock=listener, backlog=MAX_ACCEPTS
    )
    # The event loop has set the length of the queue to its number of accepts in a turn.
    listener.listen(backlog)
    try:
        yield server
    finally:
        state.is_open = False
        server.close()
        await close_connections(state.connections)


def open_listener(address):
    """Return a listening socket; accepted connections inherit the sizes of its buffers."""
    listener = socket.create_server(address.host_and_port)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    return listener


async def close_connections(connections):
    """Close connections, after the requests in progress unless these take too long."""
    tasks = [item.handler_task for item in connections if item.handler_task is not None]
    if tasks:
        await asyncio.wait(tasks, timeout=SHUTDOWN_TIMEOUT_S)
    for connection in list(connections):
        if connection.handler_task is None:
            connection.transport.close()
        else:
            connection.transport.abort()
