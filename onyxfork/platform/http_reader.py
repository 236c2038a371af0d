"""Parsing of the requests of one connection, within limits that hold while a request arrives.

A request is refused as soon as it is known to exceed a limit, and of its header only the fields
that the adapter uses are kept.

References
----------
RFC 9112, "HTTP/1.1", sections 5 and 7.1: header fields, chunk extensions and trailers.
"""

import httptools

from onyxfork.direct.configuration import RequestLimits
from onyxfork.platform.http_messages import Headers, Request

__all__ = ["DEFAULT_LIMITS", "USED_FIELDS", "RequestError", "RequestReader"]

DEFAULT_LIMITS = RequestLimits(
    header_bytes=16384, body_bytes=4 * 2**20, header_timeout_s=15.0, idle_timeout_s=60.0
)
"""Limits of listeners that the configuration has none for."""

USED_FIELDS = frozenset(
    {b"content-length", b"expect", b"host", b"x-deadline", b"x-expect-instance"}
)
"""Names of the header fields that are kept."""

PIECE_BYTES = 512
"""How much is parsed at a time. Limits are checked after each piece, and all requests that end in
one piece are kept until they are handled."""


class RequestError(Exception):
    """A request that is refused before it reaches the handler; `status` is that of the response."""

    def __init__(self, status, reason):
        super().__init__(reason)
        self.status = status


class RequestReader:
    """Parser of one connection's requests.

    Parameters
    ----------
    read_limits : callable
        Returns the `RequestLimits` for the next request.
    on_request : callable
        Called with each complete `Request`.
    on_expect_continue : callable
        Called when the client waits for a confirmation before it sends the body.

    Attributes
    ----------
    limits : RequestLimits
        Those of the request that arrives.
    is_in_request : bool
        Whether the beginning of a request has arrived and its end has not.
    headers_complete : bool
        Whether the header of the request that arrives is complete.
    header_bytes, overhead_bytes : int
        Bytes received of the header, and since the latest part of the body.
    field_bytes : int
        Parsed bytes of the request target and of the names and values of fields.
    body : bytearray
        Body of the request that arrives.
    ended_in_piece : bool
        Whether a request has ended in the latest piece.
    """

    def __init__(self, read_limits, on_request, on_expect_continue):
        self.read_limits = read_limits
        self.on_request = on_request
        self.on_expect_continue = on_expect_continue
        self.parser = httptools.HttpRequestParser(self)
        self.limits = DEFAULT_LIMITS
        self.ended_in_piece = False
        self.start_request(is_in_request=False)

    def close(self):
        """Release what is held; the reader must not be used afterwards."""
        self.start_request(is_in_request=False)
        self.parser = self.on_request = self.on_expect_continue = None

    @property
    def held_bytes(self):
        """Bytes of the request that arrives, in this reader or in the parser."""
        return self.header_bytes + len(self.body) + self.overhead_bytes

    def feed(self, data):
        """Parse bytes that have arrived, up to the piece in which a request ends.

        Parameters
        ----------
        data : memoryview

        Returns
        -------
        int
            How many bytes were parsed.

        Raises
        ------
        RequestError
            When the request that arrives is malformed or exceeds a limit; nothing more can be read.
        """
        for start in range(0, len(data), PIECE_BYTES):
            self.feed_piece(data[start : start + PIECE_BYTES])
            if self.ended_in_piece:
                return min(start + PIECE_BYTES, len(data))
        return len(data)

    def feed_piece(self, piece):
        """Parse at most `PIECE_BYTES`; see `feed`."""
        self.ended_in_piece = False
        try:
            self.parser.feed_data(piece)
        except httptools.HttpParserUpgrade:
            raise RequestError(400, "upgrades are not supported") from None
        except httptools.HttpParserError as error:
            cause = error.__context__
            if isinstance(cause, RequestError):
                raise cause from None
            raise RequestError(400, f"malformed request: {error}") from None
        if not self.is_in_request:
            return
        # The parser holds incomplete lines, so their bytes count before they are parsed.
        if not self.headers_complete:
            self.header_bytes += 0 if self.ended_in_piece else len(piece)
            if self.header_bytes > self.limits.header_bytes:
                raise self.header_error()
        else:
            self.overhead_bytes += len(piece)
            if self.overhead_bytes > self.limits.header_bytes + PIECE_BYTES:
                reason = f"chunk extensions or trailers over {self.limits.header_bytes} bytes"
                raise RequestError(431, reason)

    def header_error(self):
        """Return the error of a header that exceeds its limit."""
        return RequestError(431, f"request header over {self.limits.header_bytes} bytes")

    def body_error(self):
        """Return the error of a body that exceeds its limit."""
        return RequestError(413, f"body over {self.limits.body_bytes} bytes")

    # Callbacks of the parser

    def start_request(self, is_in_request):
        """Prepare for a request."""
        self.is_in_request = is_in_request
        self.url = b""
        self.headers = Headers()
        self.headers_complete = False
        self.header_bytes = self.field_bytes = self.overhead_bytes = 0
        self.body = bytearray()

    def on_message_begin(self):
        self.start_request(is_in_request=True)
        self.limits = self.read_limits()

    def on_url(self, url):
        self.count_field_bytes(len(url))
        self.url += url

    def count_field_bytes(self, size):
        """Refuse a request whose parsed header exceeds the limit."""
        self.field_bytes += size
        if self.field_bytes > self.limits.header_bytes:
            raise self.header_error()

    def on_header(self, name, value):
        self.count_field_bytes(len(name) + len(value))
        name = name.lower()
        if name in USED_FIELDS and not self.headers_complete:
            self.headers[name.decode("latin-1")] = value.decode("latin-1")

    def on_headers_complete(self):
        self.headers_complete = True
        # Trailers have a limit of their own.
        self.field_bytes = 0
        # The parser has checked that the length is a number.
        if int(self.headers.get("content-length", 0)) > self.limits.body_bytes:
            raise self.body_error()
        if self.headers.get("expect", "").lower() == "100-continue":
            self.on_expect_continue()

    def on_body(self, chunk):
        self.overhead_bytes = 0
        if len(self.body) + len(chunk) > self.limits.body_bytes:
            raise self.body_error()
        self.body += chunk

    def on_message_complete(self):
        try:
            path = httptools.parse_url(self.url).path or b"/"
        except httptools.HttpParserInvalidURLError as error:
            raise RequestError(400, f"malformed request target: {error}") from None
        request = Request(
            self.parser.get_method().decode("latin-1"),
            path.decode("latin-1"),
            self.headers,
            bytes(self.body),
            self.parser.should_keep_alive(),
        )
        self.start_request(is_in_request=False)
        self.ended_in_piece = True
        self.on_request(request)
