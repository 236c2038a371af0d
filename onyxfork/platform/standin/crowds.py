"""Crowds of clients that keep to HTTP but not to its purpose: what each of them sends.

Every client of a crowd opens a connection, sends the payload of the crowd and leaves the connection
open, mostly without an end of its request.

References
----------
RFC 9112, "HTTP/1.1": message framing.
"""

import asyncio
import socket
from contextlib import asynccontextmanager, suppress

from attrs import define

__all__ = [
    "CLIENT_ID",
    "Crowd",
    "announced_bodies",
    "chunked_request",
    "complete_requests",
    "connect_crowd",
    "endless_bodies",
    "header_lines",
    "idle_connections",
    "nested_json",
    "pipelines",
    "request_head",
    "unfinished_bodies",
    "unfinished_headers",
]

READ_BYTES = 65536

CLIENT_ID = "ffffffffffffffff"
"""Stands for a job identifier of the client's own in a payload."""

RECONNECT_DELAY_S = 0.1


@define(frozen=True)
class Crowd:
    """Clients that all send the same bytes.

    Parameters
    ----------
    name : str
    connections : int
    payload : bytes
        What each client sends, with an identifier of its own in place of `CLIENT_ID`.
    reads : bool
        Whether the clients read the responses.
    reconnects : bool
        Whether a client whose connection was closed opens another one.
    interval_s : float
        Time between the first connections of two clients.
    """

    name: str
    connections: int
    payload: bytes
    reads: bool = True
    reconnects: bool = False
    interval_s: float = 0.0

    def payload_of(self, number):
        """Return what the client of a number sends."""
        return self.payload.replace(CLIENT_ID.encode(), b"c%015x" % number)


def request_head(method, path, host, **fields):
    """Return request line and header fields; underscores in names of fields stand for hyphens."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def chunked_request(path, host, body, chunk_bytes, end=b"0\r\n\r\n"):
    """Return a POST request whose body is sent in chunks.

    Parameters
    ----------
    path, host : str
    body : bytes
    chunk_bytes : int
        Size of each chunk.
    end : bytes
        What follows the last chunk; empty for a request that does not end.
    """
    parts = [request_head("POST", path, host, Transfer_Encoding="chunked")]
    for start in range(0, len(body), chunk_bytes):
        chunk = body[start : start + chunk_bytes]
        parts.append(b"%x\r\n%b\r\n" % (len(chunk), chunk))
    return b"".join([*parts, end])


def unfinished_bodies(connections, path, host, body_bytes, chunk_bytes=0):
    """Return a crowd whose bodies stop short of their end.

    Parameters
    ----------
    connections : int
    path, host : str
    body_bytes : int
        How much of the body is sent.
    chunk_bytes : int
        Size of the chunks; 0 announces the length of the body in place of chunks.
    """
    body = b"x" * body_bytes
    if chunk_bytes:
        payload = chunked_request(path, host, body, chunk_bytes, end=b"")
        return Crowd(f"bodies in chunks of {chunk_bytes} bytes", connections, payload)
    payload = request_head("POST", path, host, Content_Length=body_bytes + 64) + body
    return Crowd("bodies with a length", connections, payload)


def announced_bodies(connections, path, host, body_bytes):
    """Return a crowd that announces long bodies and sends nothing of them."""
    payload = request_head("POST", path, host, Content_Length=body_bytes)
    return Crowd("announced bodies", connections, payload)


def endless_bodies(connections, path, host, sent_bytes):
    """Return a crowd that announces long bodies and sends a part of them."""
    payload = request_head("POST", path, host, Content_Length=2**40) + b"x" * sent_bytes
    return Crowd("endless bodies", connections, payload)


def header_lines(connections, path, host, lines):
    """Return a crowd whose headers consist of many short lines and do not end."""
    fields = b"".join(b"%x:\r\n" % number for number in range(lines))
    payload = request_head("GET", path, host)[:-2] + fields
    return Crowd("short header lines", connections, payload)


def unfinished_headers(connections, path, host):
    """Return a crowd that stops in the middle of a header."""
    payload = request_head("POST", path, host, X_Deadline=1000)[:-8]
    return Crowd("unfinished headers", connections, payload)


def idle_connections(connections):
    """Return a crowd that sends nothing."""
    return Crowd("idle connections", connections, b"")


def pipelines(connections, path, host, requests, reads=True):
    """Return a crowd that sends many small requests without waiting for the responses."""
    payload = request_head("GET", path, host) * requests
    name = "pipelines" if reads else "pipelines that are not read"
    return Crowd(name, connections, payload, reads)


def complete_requests(name, connections, method, path, host, body):
    """Return a crowd whose requests are complete and that waits for the responses."""
    payload = request_head(method, path, host, X_Deadline=60000, Content_Length=len(body)) + body
    return Crowd(name, connections, payload)


def nested_json(size, levels):
    """Return a JSON body of about `size` bytes that consists of nested lists.

    Parameters
    ----------
    size : int
        Bytes.
    levels : int
        How deeply the lists are nested.
    """
    element = b"[" * (levels - 1) + b"]" * (levels - 1)
    return b"[" + b",".join([element] * (size // (len(element) + 1))) + b"]"


@asynccontextmanager
async def connect_crowd(crowd, address, source_host=""):
    """Let a crowd connect and send while the context is open.

    Parameters
    ----------
    crowd : Crowd
    address : Address
    source_host : str
        IP address that the clients connect from; chosen by the system if empty.

    Yields
    ------
    list of asyncio.Task
        One for each client; it ends when the server closes the connection, unless the client
        opens another one or does not read.
    """
    clients = [
        asyncio.create_task(run_client(crowd, number, address, source_host))
        for number in range(crowd.connections)
    ]
    try:
        yield clients
    finally:
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)


async def run_client(crowd, number, address, source_host):
    """Run one client of a crowd; return what the server has sent before it closed."""
    await asyncio.sleep(number * crowd.interval_s)
    received = await send_payload(crowd, number, address, source_host)
    while crowd.reconnects:
        await asyncio.sleep(RECONNECT_DELAY_S)
        await send_payload(crowd, number, address, source_host)
    return received


async def send_payload(crowd, number, address, source_host):
    """Open a connection and send the payload; return what was read before the server's close."""
    loop = asyncio.get_running_loop()
    with socket.socket() as connection:
        connection.setblocking(False)
        connection.bind((source_host, 0))
        with suppress(OSError):
            await loop.sock_connect(connection, address.host_and_port)
            payload = crowd.payload_of(number)
            sender = asyncio.create_task(loop.sock_sendall(connection, payload))
            try:
                if not crowd.reads:
                    await asyncio.Event().wait()
                return await read_to_end(connection)
            finally:
                sender.cancel()
                await asyncio.gather(sender, return_exceptions=True)
    return b""


async def read_to_end(connection):
    """Read until the server closes the connection; return the beginning of what it has sent."""
    loop = asyncio.get_running_loop()
    received = bytearray()
    with suppress(OSError):
        while data := await loop.sock_recv(connection, READ_BYTES):
            if len(received) < READ_BYTES:
                received += data
    return bytes(received)
