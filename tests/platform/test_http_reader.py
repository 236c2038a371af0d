"""Limits on a request hold while it arrives, and little of its header is kept."""

import pytest
from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from onyxfork.platform.http_reader import (
    DEFAULT_LIMITS,
    PIECE_BYTES,
    USED_FIELDS,
    RequestError,
    RequestReader,
)

LIMITS = evolve(DEFAULT_LIMITS, header_bytes=1000, body_bytes=500)
POST = b"POST /a HTTP/1.1\r\nHost: h\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"


def read(data, size=None, limits=LIMITS):
    """Feed data in pieces of a size; return the requests and the reader."""
    requests = []
    reader = RequestReader(lambda: limits, requests.append, lambda: None)
    size = size or len(data)
    for start in range(0, len(data), size):
        rest = memoryview(data)[start : start + size]
        while rest:
            rest = rest[reader.feed(rest) :]
    return requests, reader


@pytest.mark.parametrize("size", [1, 7, 512, None])
@pytest.mark.parametrize(
    ("data", "status"),
    [
        (POST + b"Content-Length: 501\r\n\r\n", 413),
        (POST + b"Content-Length: 00000501\r\n\r\n", 413),
        (POST + b"Content-Length: " + b"9" * 18 + b"\r\nExpect: 100-continue\r\n\r\n", 413),
        (POST + b"Content-Length: " + b"9" * 900 + b"\r\n\r\n", 400),
        (CHUNKED + b"1f5\r\n" + b"x" * 501, 413),
        (CHUNKED + b"1\r\nx\r\n" * 501, 413),
        (CHUNKED + b"1;" + b"e" * 2000, 431),
        (CHUNKED + b"0\r\nt: " + b"x" * 2000, 431),
        (CHUNKED + b"0\r\n" + b"t: x\r\n" * 400, 431),
        (POST + b"a:\r\n" * 300, 431),
        (POST + b"a: " + b"x" * 1000, 431),
        (b"GET /" + b"x" * 1000, 431),
        (b"GET \x7f HTTP/1.1\r\n\r\n", 400),
    ],
)
def test_request_over_a_limit_is_refused_while_it_arrives(data, status, size):
    with pytest.raises(RequestError) as caught:
        read(data, size)
    assert caught.value.status == status


@pytest.mark.parametrize("size", [1, 7, 512, None])
def test_requests_at_the_limits_are_read(size):
    trailers = b"0\r\n" + b"t: x\r\n" * 100 + b"\r\n"
    chunked = CHUNKED + b"1\r\nx\r\n" * 500 + trailers
    lines = POST + b"a:\r\n" * ((1000 - len(POST) - 2) // 4) + b"\r\n"
    with_length = POST + b"Content-Length: 500\r\n\r\n" + b"x" * 500
    requests, reader = read((chunked + lines + with_length) * 2, size)
    assert [len(request.body) for request in requests] == [500, 0, 500] * 2
    assert not reader.is_in_request


def test_only_used_fields_of_the_header_are_kept():
    data = POST + b"A: 1\r\nX-Deadline: 7\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nHost: t\r\n\r\n"
    (request,), _ = read(data)
    assert request.headers == {"host": "h", "x-deadline": "7"}


def test_limits_of_a_request_are_those_at_its_beginning():
    limits, requests = [LIMITS], []
    reader = RequestReader(lambda: limits[0], requests.append, lambda: None)
    request = POST + b"Content-Length: 2\r\n\r\nxx"
    reader.feed(memoryview(request[:10]))
    limits[0] = evolve(LIMITS, body_bytes=1)
    reader.feed(memoryview(request[10:]))
    assert [item.body for item in requests] == [b"xx"]
    with pytest.raises(RequestError):
        reader.feed(memoryview(request))


def test_parsing_stops_after_the_piece_in_which_a_request_ends():
    requests = []
    reader = RequestReader(lambda: LIMITS, requests.append, lambda: None)
    data = memoryview(b"GET /a HTTP/1.1\r\n\r\n" * 1000)
    assert reader.feed(data) < len(data) / 10
    assert len(requests) < 100


HEADER_LINES = st.sampled_from(
    [
        b"a: b\r\n",
        b"a:\r\n",
        b":b\r\n",
        b" folded\r\n",
        b"a\x00: b\r\n",
        b"a: \xff\r\n",
        b"Host: h\r\nHost: i\r\n",
        b"Content-Length: 3\r\n",
        b"Content-Length: +3\r\n",
        b"Content-Length: 3, 3\r\n",
        b"Content-Length: 99999999999999999999\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Transfer-Encoding: gzip\r\n",
        b"Expect: 100-continue\r\n",
        b"Connection: close\r\n",
        b"Upgrade: x\r\nConnection: upgrade\r\n",
        b"\r\n",
        b"\n",
    ]
)
BODY_PARTS = st.sampled_from(
    [
        b"3\r\nabc\r\n",
        b"003;e=1\r\nabc\r\n",
        b"3;" + b"e" * 600 + b"\r\nabc\r\n",
        b"-1\r\n",
        b"fffffffffffffffff\r\n",
        b"1f5\r\n" + b"x" * 501 + b"\r\n",
        b"0\r\n",
        b"0;e\r\n",
        b"t: x\r\n",
        b"Host: t\r\n",
        b"\r\n",
        b"abc",
        b"x" * 600,
    ]
)
STARTS = st.sampled_from(
    [
        b"GET / HTTP/1.1\r\n",
        b"POST /a HTTP/1.1\r\nHost: h\r\n",
        b"PUT //x?y HTTP/1.0\r\n",
        b"\r\n",
        b"?",
    ]
)


@given(
    st.lists(st.tuples(STARTS, st.lists(HEADER_LINES), st.lists(BODY_PARTS)), max_size=4),
    st.integers(1, 2000),
)
def test_odd_requests_are_read_or_refused_and_hold_no_more_than_their_limits(parts, size):
    data = b"".join(start + b"".join(lines + body) for start, lines, body in parts)
    requests = []
    reader = RequestReader(lambda: LIMITS, requests.append, lambda: None)
    most = LIMITS.header_bytes + LIMITS.body_bytes + LIMITS.header_bytes + 2 * PIECE_BYTES
    try:
        for start in range(0, len(data), size):
            rest = memoryview(data)[start : start + size]
            while rest:
                rest = rest[reader.feed(rest) :]
                assert reader.held_bytes <= most
    except RequestError as error:
        assert error.status in (400, 413, 431)
    for request in requests:
        assert len(request.body) <= LIMITS.body_bytes
        assert request.headers.keys() <= {name.decode() for name in USED_FIELDS}
