"""HTTP/1.1 client of the adapter for one server, on the parser of `httptools`.

Connections are kept open and reused; each carries one request at a time.
"""

import asyncio
from contextlib import asynccontextmanager

import httptools

__all__ = ["HttpPool", "open_pool"]

MAX_RESPONSE_BYTES = 4 * 2**20
"""Upper bound on the body of a response."""


class ClientConnection(asyncio.Protocol):
    """One connection to the server.

    Attributes
    ----------
    response : asyncio.Future or None
        Receives the status and body of the response to the request in progress.
    body : bytearray
        What has arrived of its body.
    is_reusable : bool
        Whether another request may follow.
    """

    def __init__(self):
        self.transport = None
        self.parser = None
        self.response = None
        self.body = bytearray()
        self.is_reusable = True

    def connection_made(self, transport):
        self.transport = transport

    def connection_lost(self, error):
        self.is_reusable = False
        if self.response is not None and not self.response.done():
            self.response.set_exception(error or ConnectionResetError("closed by the server"))

    def data_received(self, data):
        if self.response is None:
            self.close()
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.fail(ConnectionError(f"malformed response: {error}"))

    def on_body(self, chunk):
        if len(self.body) + len(chunk) > MAX_RESPONSE_BYTES:
            self.fail(ConnectionError(f"response over {MAX_RESPONSE_BYTES} bytes"))
        else:
            self.body += chunk

    def on_message_complete(self):
        status = self.parser.get_status_code()
        if status < 200:
            return
        self.is_reusable = self.is_reusable and self.parser.should_keep_alive()
        if not self.response.done():
            self.response.set_result((status, bytes(self.body)))

    def fail(self, error):
        """End the request in progress with an error and close the connection."""
        if not self.response.done():
            self.response.set_exception(error)
        self.close()

    def close(self):
        """Close the connection; a request in progress is abandoned."""
        self.is_reusable = False
        if self.transport is not None:
            self.transport.abort()

    async def request(self, data):
        """Send the bytes of a request; return the status and the body of the response."""
        self.parser = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.response = asyncio.get_running_loop().create_future()
        self.transport.write(data)
        try:
            return await self.response
        finally:
            if not self.response.done() or self.response.cancelled():
                self.close()
            self.response = None


class HttpPool:
    """Connections to one server.

    Parameters
    ----------
    address : Address
    max_connections : int
        Upper bound on the requests in progress; others wait.

    Attributes
    ----------
    idle : list of ClientConnection
        Open connections without a request; the one used last is reused first.
    """

    def __init__(self, address, max_connections):
        self.address = address
        self.slots = asyncio.Semaphore(max_connections)
        self.idle = []

    async def post(self, path, body, headers, fresh=False):
        """Send a POST request with a JSON body.

        Parameters
        ----------
        path : str
        body : bytes
        headers : dict
        fresh : bool
            Use a new connection, and close it afterwards.

        Returns
        -------
        tuple of (int, bytes)
            Status and body of the response.

        Raises
        ------
        OSError
            When the connection fails or the response is malformed; the server may have carried out
            the request.
        """
        lines = [
            f"POST {path} HTTP/1.1",
            f"Host: {self.address}",
            "Content-Type: application/json",
            f"Content-Length: {len(body)}",
            *(f"{name}: {value}" for name, value in headers.items()),
        ]
        data = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
        async with self.slots:
            connection = None if fresh else self.take_idle()
            if connection is None:
                connection = await self.connect()
            try:
                return await connection.request(data)
            finally:
                if fresh or not connection.is_reusable:
                    connection.close()
                else:
                    self.idle.append(connection)

    def take_idle(self):
        """Return an open connection without a request, or None."""
        while self.idle:
            connection = self.idle.pop()
            if connection.is_reusable and not connection.transport.is_closing():
                return connection
        return None

    async def connect(self):
        """Open a connection."""
        loop = asyncio.get_running_loop()
        host, port = self.address.host_and_port
        _, connection = await loop.create_connection(ClientConnection, host, port)
        return connection

    def close(self):
        """Close the idle connections."""
        while self.idle:
            self.idle.pop().close()


@asynccontextmanager
async def open_pool(address, max_connections):
    """Yield an `HttpPool` and close its connections afterwards."""
    pool = HttpPool(address, max_connections)
    try:
        yield pool
    finally:
        pool.close()
