"""HTTP/1.1 server of the adapter, on the parser of `httptools`.

There are few routes, so there is no application or router: one handler takes all requests of a
server. Requests on one connection are handled one after the other.
"""

import asyncio
import json
import logging
from collections import deque
from contextlib import asynccontextmanager
from http import HTTPStatus

import httptools
from attrs import define, field

__all__ = ["Headers", "Request", "Response", "run_server", "json_response"]

log = logging.getLogger(__name__)

MAX_HEADER_BYTES = 16384
"""Upper bound on the request line and headers of one request."""

MAX_BODY_BYTES = 4 * 2**20
"""Upper bound on a body; handlers may set a lower one."""

MAX_PIPELINED = 16
"""Upper bound on the requests of a connection that wait for the handler; reading pauses above."""

REQUEST_TIMEOUT_S = 15.0
"""How long a request may take to arrive, from its first byte to its last."""

SHUTDOWN_TIMEOUT_S = 0.3
"""How long a stopping server waits for handlers."""

REASONS = {status.value: status.phrase for status in HTTPStatus}


class Headers(dict):
    """Header fields; names are compared without regard to case."""

    def __getitem__(self, name):
        return super().__getitem__(name.lower())

    def get(self, name, default=None):
        """Return the value of a field, or `default` if it is absent."""
        return super().get(name.lower(), default)


@define(slots=True)
class Request:
    """A complete request.

    Parameters
    ----------
    method : str
    path : str
        Without the query.
    headers : Headers
    body : bytes
    keep_alive : bool
        Whether the client keeps the connection open.
    transport : asyncio.Transport or None
        The client's connection.
    """

    method: str
    path: str
    headers: Headers
    body: bytes = b""
    keep_alive: bool = True
    transport: object = None


@define(slots=True)
class Response:
    """A response.

    Parameters
    ----------
    status : int
    body : bytes
    content_type : str
    headers : dict
        Further header fields.
    close : bool
        Whether the connection is closed afterwards.
    """

    status: int = 200
    body: bytes = b""
    content_type: str = "application/json"
    headers: dict = field(factory=dict)
    close: bool = False

    def encode(self, is_head=False):
        """Return the bytes of the response; without the body in reply to a HEAD request."""
        lines = [
            f"HTTP/1.1 {self.status} {REASONS.get(self.status, '')}",
            f"Content-Type: {self.content_type}",
            f"Content-Length: {len(self.body)}",
            *(f"{name}: {value}" for name, value in self.headers.items()),
        ]
        if self.close:
            lines.append("Connection: close")
        head = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
        return head if is_head else head + self.body


def json_response(status, body, headers=None):
    """Return a response with a JSON body."""
    return Response(status, json.dumps(body).encode(), headers=headers or {})


class RequestError(Exception):
    """A request that is refused before it reaches the handler; `status` is that of the response."""

    def __init__(self, status, reason):
        super().__init__(reason)
        self.status = status


class ServerConnection(asyncio.Protocol):
    """One client's connection.

    Parameters
    ----------
    server : ServerState

    Attributes
    ----------
    waiting : deque of Request
        Complete requests that the handler has not taken yet.
    handler_task : asyncio.Task or None
        Handles the waiting requests; cancelled when the client disconnects.
    """

    def __init__(self, server):
        self.server = server
        self.loop = asyncio.get_running_loop()
        self.transport = None
        self.parser = httptools.HttpRequestParser(self)
        self.waiting = deque()
        self.handler_task = None
        self.timer = None
        self.can_write = asyncio.Event()
        self.can_write.set()
        self.is_refusing = False
        self.start_request()

    # Transport

    def connection_made(self, transport):
        self.transport = transport
        self.server.connections.add(self)
        self.set_timer(self.server.idle_timeout_s)

    def connection_lost(self, error):
        self.server.connections.discard(self)
        self.timer.cancel()
        if self.handler_task is not None:
            self.handler_task.cancel()

    def pause_writing(self):
        self.can_write.clear()

    def resume_writing(self):
        self.can_write.set()

    def data_received(self, data):
        if self.is_refusing:
            return
        try:
            self.parser.feed_data(data)
            if not self.headers_complete:
                self.header_bytes += len(data)
                if self.header_bytes > MAX_HEADER_BYTES:
                    raise RequestError(431, f"request header over {MAX_HEADER_BYTES} bytes")
        except httptools.HttpParserUpgrade:
            self.refuse(400, "upgrades are not supported")
        except httptools.HttpParserError as error:
            cause = error.__context__
            if isinstance(cause, RequestError):
                self.refuse(cause.status, str(cause))
            else:
                self.refuse(400, f"malformed request: {error}")
        except RequestError as error:
            self.refuse(error.status, str(error))

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
            self.set_timer(self.server.idle_timeout_s)

    def refuse(self, status, reason):
        """Respond to a request that cannot be parsed, after the complete ones, and close."""
        log.info("request refused", extra={"status": status, "reason": reason})
        self.is_refusing = True
        response = json_response(status, {"error": reason})
        response.close = True
        self.enqueue(response)

    # Callbacks of the parser

    def start_request(self):
        """Prepare for the next request."""
        self.url = b""
        self.headers = Headers()
        self.chunks = []
        self.body_bytes = 0
        self.header_bytes = self.parsed_header_bytes = 0
        self.headers_complete = False

    def on_message_begin(self):
        self.start_request()
        self.set_timer(REQUEST_TIMEOUT_S)

    def on_url(self, url):
        self.url += url
        self.count_header_bytes(len(url))

    def count_header_bytes(self, size):
        """Refuse a request whose parsed header fields exceed `MAX_HEADER_BYTES`."""
        self.parsed_header_bytes += size
        if self.parsed_header_bytes > MAX_HEADER_BYTES:
            raise RequestError(431, f"request header over {MAX_HEADER_BYTES} bytes")

    def on_header(self, name, value):
        self.count_header_bytes(len(name) + len(value))
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self):
        self.headers_complete = True
        if self.headers.get("expect", "").lower() == "100-continue":
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, chunk):
        self.body_bytes += len(chunk)
        if self.body_bytes > MAX_BODY_BYTES:
            raise RequestError(413, f"body over {MAX_BODY_BYTES} bytes")
        self.chunks.append(chunk)

    def on_message_complete(self):
        path = httptools.parse_url(self.url).path or b"/"
        request = Request(
            self.parser.get_method().decode("latin-1"),
            path.decode("latin-1"),
            self.headers,
            b"".join(self.chunks),
            self.parser.should_keep_alive(),
            self.transport,
        )
        self.set_timer(self.server.idle_timeout_s)
        self.enqueue(request)

    # Requests

    def enqueue(self, item):
        """Add a request, or the response to one that was refused, to those to be handled."""
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
                is_request = isinstance(item, Request)
                response = await self.call_handler(item) if is_request else item
                if is_request and not (item.keep_alive and self.server.is_open):
                    response.close = True
                self.transport.write(response.encode(is_request and item.method == "HEAD"))
                if response.close:
                    self.transport.close()
                await self.can_write.wait()
        finally:
            self.handler_task = None

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
    idle_timeout_s : float
    connections : set of ServerConnection
    is_open : bool
        False once the server is stopping.
    """

    handler: object
    idle_timeout_s: float
    connections: set = field(factory=set)
    is_open: bool = True


@asynccontextmanager
async def run_server(handler, address, idle_timeout_s=60.0, backlog=512):
    """Serve HTTP requests with a handler while the context is open.

    The handler of a request is cancelled when its client disconnects.

    Parameters
    ----------
    handler : coroutine function
        Takes a `Request` and returns a `Response`.
    address : Address
        Where to listen.
    idle_timeout_s : float
        How long a connection may stay open without a request.
    backlog : int
        How many connections may wait to be accepted.
    """
    state = ServerState(handler, idle_timeout_s)
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
