"""Requests and responses of the adapter's HTTP server."""

import json
from http import HTTPStatus

from attrs import define, field

__all__ = ["Headers", "Request", "Response", "json_response"]

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
        Those of `onyxfork.platform.http_reader.USED_FIELDS`.
    body : bytes
    keep_alive : bool
        Whether the client keeps the connection open.
    transport : asyncio.Transport or None
        The client's connection.
    on_body_taken : callable or None
        Called with the size of the body that the handler has taken.
    caller : Caller or None
        Tells whether the client has left; None if the server does not watch for that.
    """

    method: str
    path: str
    headers: Headers
    body: bytes = b""
    keep_alive: bool = True
    transport: object = None
    on_body_taken: object = None
    caller: object = None

    def take_body(self):
        """Return the body, which is no longer kept for a request that takes long."""
        body, self.body = self.body, b""
        if self.on_body_taken is not None:
            self.on_body_taken(len(body))
        return body


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
