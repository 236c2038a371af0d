"""The HTTP server and client on raw connections: malformed input, limits, order, reuse."""

import asyncio
import contextlib
import socket
import tracemalloc
from contextlib import asynccontextmanager

import pytest
from attrs import evolve

from onyxfork.addresses import Address
from onyxfork.direct.client_limits import ClientLimits
from onyxfork.direct.connection_budget import ConnectionBudget
from onyxfork.platform.http import Response, run_server
from onyxfork.platform.http_client import open_pool
from onyxfork.platform.http_reader import DEFAULT_LIMITS

TIMEOUT_S = 10.0
MAX_HEADER_BYTES = DEFAULT_LIMITS.header_bytes


def free_address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return Address("127.0.0.1", probe.getsockname()[1])


async def echo(request):
    if request.path == "/fail":
        raise ValueError("planted")
    return Response(body=request.method.encode() + b" " + request.path.encode() + request.body)


@asynccontextmanager
async def raw_connection(handler=echo, **options):
    """Serve a handler and yield reader and writer of a connection to it."""
    address = free_address()
    async with run_server(handler, address, **options):
        reader, writer = await asyncio.open_connection(*address.host_and_port)
        try:
            yield reader, writer
        finally:
            writer.close()


async def read_response(reader):
    """Return status, header fields and body of the next response."""
    async with asyncio.timeout(TIMEOUT_S):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        status = int(head.split()[1])
        fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:-2])
        return status, fields, await reader.readexactly(int(fields["Content-Length"]))


async def test_pipelined_requests_are_answered_in_order():
    async with raw_connection() as (reader, writer):
        for number in range(40):
            writer.write(f"GET /{number} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
        bodies = [(await read_response(reader))[2] for _ in range(40)]
    assert bodies == [f"GET /{number}".encode() for number in range(40)]


async def test_request_split_into_single_bytes_and_chunks_is_read():
    request = b"POST /a?x=1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    async with raw_connection() as (reader, writer):
        for byte in request + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n":
            writer.write(bytes([byte]))
            await writer.drain()
        assert (await read_response(reader))[2] == b"POST /aabcde"


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (b"\x00\xff\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nA: " + b"a" * (MAX_HEADER_BYTES + 1) + b"\r\n\r\n", 431),
        (b"GET / HTTP/1.1\r\nA: " + b"a" * (MAX_HEADER_BYTES + 1), 431),
        (b"POST / HTTP/1.1\r\nContent-Length: 9999999\r\n\r\n" + b"x" * 4500000, 413),
    ],
)
async def test_malformed_or_oversized_request_gets_an_error_and_a_closed_connection(data, expected):
    async with raw_connection() as (reader, writer):
        writer.write(data)
        status, fields, _ = await read_response(reader)
        assert (status, fields["Connection"]) == (expected, "close")


async def test_malformed_request_does_not_affect_other_connections():
    address = free_address()
    async with run_server(echo, address), open_pool(address, 1) as pool:
        assert (await pool.post("/a", b"", {}))[0] == 200
        _, writer = await asyncio.open_connection(*address.host_and_port)
        writer.write(b"\x01\x02\x03\r\n\r\n")
        await writer.drain()
        assert (await pool.post("/b", b"", {}))[1] == b"POST /b"
        writer.close()


async def test_failing_handler_is_answered_500_and_the_connection_stays_open():
    async with raw_connection() as (reader, writer):
        writer.write(b"GET /fail HTTP/1.1\r\n\r\nGET /next HTTP/1.1\r\n\r\n")
        assert (await read_response(reader))[0] == 500
        assert (await read_response(reader))[0] == 200


async def test_response_to_head_has_no_body():
    async with raw_connection() as (reader, writer):
        writer.write(b"HEAD /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n")
        head = await reader.readuntil(b"\r\n\r\n")
        assert b"Content-Length: 7" in head
        assert (await read_response(reader))[2] == b"GET /b"


async def test_connection_is_closed_when_the_client_asks_for_it():
    async with raw_connection() as (reader, writer):
        writer.write(b"GET /a HTTP/1.1\r\nConnection: close\r\n\r\n")
        assert (await read_response(reader))[1]["Connection"] == "close"
        assert await reader.read() == b""


async def test_idle_connection_is_closed():
    limits = evolve(DEFAULT_LIMITS, idle_timeout_s=0.05)
    async with raw_connection(read_limits=lambda: limits) as (reader, _):
        async with asyncio.timeout(TIMEOUT_S):
            assert await reader.read() == b""


async def test_client_reuses_its_connection_and_replaces_one_that_was_closed():
    ports = []

    async def handle(request):
        ports.append(request.transport.get_extra_info("peername")[1])
        return Response(close=len(ports) == 2)

    address = free_address()
    async with run_server(handle, address), open_pool(address, 4) as pool:
        for _ in range(3):
            await pool.post("/", b"", {})
        await pool.post("/", b"", {}, fresh=True)
    assert ports[0] == ports[1] and len(set(ports)) == 3


async def test_request_that_times_out_does_not_answer_the_next_one():
    delays = [0.3, 0.0]

    async def handle(request):
        await asyncio.sleep(delays.pop(0))
        return Response(body=request.body)

    address = free_address()
    async with run_server(handle, address), open_pool(address, 1) as pool:
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.05):
                await pool.post("/", b"first", {})
        assert await pool.post("/", b"second", {}) == (200, b"second")


async def test_connection_that_breaks_raises_an_error():
    async def handle(request):
        request.transport.abort()
        return Response()

    address = free_address()
    async with run_server(handle, address), open_pool(address, 1) as pool:
        with pytest.raises(OSError):
            await pool.post("/", b"", {})
    with pytest.raises(OSError):
        async with open_pool(free_address(), 1) as pool:
            await pool.post("/", b"", {})


async def test_unfinished_requests_are_closed_with_503_when_they_exceed_the_budget():
    address, budget = free_address(), ConnectionBudget(120_000)
    request = b"POST /a HTTP/1.1\r\nContent-Length: 50000\r\n\r\n" + b"x" * 40_000
    async with run_server(echo, address, budget=budget), open_pool(address, 1) as pool:
        clients = [await asyncio.open_connection(*address.host_and_port) for _ in range(3)]
        for _, writer in clients:
            writer.write(request)
            await writer.drain()
        statuses = []
        for reader, _ in clients[:-1]:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(1.0):
                    statuses.append((await read_response(reader))[:2])
        assert [(status, fields["Retry-After"]) for status, fields in statuses] == [(503, "1")]
        assert (await pool.post("/b", b"", {}))[0] == 200
        clients[-1][1].write(b"x" * 10_000)
        assert (await read_response(clients[-1][0]))[0] == 200
        for _, writer in clients:
            writer.close()
    async with asyncio.timeout(TIMEOUT_S):
        while budget.connections:
            await asyncio.sleep(0.01)
    assert budget.held_bytes == 0


async def test_response_to_a_refused_request_is_read_by_a_client_that_sends_on():
    async with raw_connection() as (reader, writer):
        writer.write(b"POST / HTTP/1.1\r\nContent-Length: 9999999999\r\n\r\n")
        for _ in range(20):
            writer.write(b"x" * 100_000)
            await writer.drain()
        assert (await read_response(reader))[0] == 413
        assert await reader.read() == b""


async def test_idle_connections_make_room_for_new_ones_and_requests_in_progress_do_not():
    arrived, finish = asyncio.Event(), asyncio.Event()

    async def handle(request):
        if request.path == "/slow":
            arrived.set()
            await finish.wait()
        return await echo(request)

    address = free_address()
    async with run_server(handle, address, limits=ClientLimits(connections=2)):
        clients = [await asyncio.open_connection(*address.host_and_port)]
        clients[0][1].write(b"GET /slow HTTP/1.1\r\n\r\n")
        async with asyncio.timeout(TIMEOUT_S):
            await arrived.wait()
            clients += [await asyncio.open_connection(*address.host_and_port) for _ in range(2)]
            assert await clients[1][0].read() == b""
        clients[2][1].write(b"GET /slow HTTP/1.1\r\n\r\n")
        await asyncio.sleep(0.05)
        clients.append(await asyncio.open_connection(*address.host_and_port))
        status, fields, _ = await read_response(clients[3][0])
        assert (status, fields["Connection"], fields["Retry-After"]) == (503, "close", "1")
        finish.set()
        for reader, _ in (clients[0], clients[2]):
            assert (await read_response(reader))[0] == 200
        for _, writer in clients:
            writer.close()


async def test_client_that_does_not_read_is_closed():
    limits = evolve(DEFAULT_LIMITS, idle_timeout_s=0.3)

    async def handle(_):
        return Response(body=b"x" * 500_000)

    address, budget = free_address(), ConnectionBudget(10**8)
    async with run_server(handle, address, lambda: limits, budget):
        with socket.socket() as client:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            client.connect(address.host_and_port)
            client.sendall(b"GET /a HTTP/1.1\r\n\r\n" * 20)
            async with asyncio.timeout(TIMEOUT_S):
                while not budget.held_bytes > 300_000:
                    await asyncio.sleep(0.01)
                while budget.connections:
                    await asyncio.sleep(0.01)


async def test_request_beside_pipelines_is_answered_before_they_end():
    address, counts = free_address(), {}

    async def handle(request):
        counts[request.path] = counts.get(request.path, 0) + 1
        return Response()

    async with run_server(handle, address), open_pool(address, 1) as pool:
        clients = [await asyncio.open_connection(*address.host_and_port) for _ in range(10)]
        readers = [asyncio.create_task(reader.read()) for reader, _ in clients]
        for _, writer in clients:
            writer.write(b"GET /a HTTP/1.1\r\n\r\n" * 20_000)
        async with asyncio.timeout(TIMEOUT_S):
            while counts.get("/a", 0) < 100:
                await asyncio.sleep(0)
            assert (await pool.post("/b", b"", {}))[0] == 200
        assert counts["/a"] < 200_000
        for task, (_, writer) in zip(readers, clients, strict=True):
            task.cancel()
            writer.close()
        await asyncio.gather(*readers, return_exceptions=True)


@pytest.mark.parametrize(
    "beginning",
    [b"GET / HTTP/1.1\r\nHo", b"POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nx"],
    ids=["header", "body"],
)
async def test_request_that_arrives_too_slowly_is_closed(beginning):
    """A byte now and then does not prolong the time that a header or a body may take."""
    limits = evolve(DEFAULT_LIMITS, header_timeout_s=0.2)
    clients = ClientLimits(body_timeout_s=0.2)
    async with raw_connection(read_limits=lambda: limits, limits=clients) as (reader, writer):
        async with asyncio.timeout(TIMEOUT_S):
            writer.write(beginning)
            closed = asyncio.create_task(reader.read())
            for _ in range(5):
                await asyncio.sleep(0.1)
                writer.write(b"x")
            assert await closed == b""


async def test_response_in_chunks_of_one_byte_takes_little_more_memory_than_its_body():
    body_bytes, chunk = 1_000_000, b"1\r\nx\r\n"

    async def respond(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for _ in range(100):
            writer.write(chunk * (body_bytes // 100))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        writer.close()

    address = free_address()
    server = await asyncio.start_server(respond, *address.host_and_port)
    async with server, open_pool(address, 1) as pool:
        tracemalloc.start()
        try:
            _, body = await pool.post("/", b"", {})
            peak_bytes = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
    assert len(body) == body_bytes
    assert peak_bytes < 10 * body_bytes


async def test_body_that_the_handler_has_taken_is_not_held_while_the_request_goes_on():
    taken, finish = asyncio.Event(), asyncio.Event()

    async def handle(request):
        body = request.take_body()
        taken.set()
        await finish.wait()
        return Response(body=str(len(body)).encode())

    address, budget = free_address(), ConnectionBudget(10**6)
    async with run_server(handle, address, budget=budget), open_pool(address, 1) as pool:
        answer = asyncio.create_task(pool.post("/", b"x" * 200_000, {}))
        async with asyncio.timeout(TIMEOUT_S):
            await taken.wait()
            assert budget.held_bytes < 10_000
            finish.set()
            assert (await answer)[1] == b"200000"
            while budget.held_bytes > 6000:
                await asyncio.sleep(0.01)
        assert budget.held_bytes > 0


async def test_requests_sent_behind_one_in_progress_do_not_protect_their_connection():
    arrived = asyncio.Event()

    async def handle(request):
        if request.path == "/slow":
            arrived.set()
            await asyncio.Event().wait()
        return await echo(request)

    address, budget = free_address(), ConnectionBudget(60_000)
    async with run_server(handle, address, budget=budget), open_pool(address, 1) as pool:
        assert (await pool.post("/a", b"", {}))[0] == 200
        readers = []
        for _ in range(2):
            reader, writer = await asyncio.open_connection(*address.host_and_port)
            writer.write(b"GET /slow HTTP/1.1\r\n\r\n")
            async with asyncio.timeout(TIMEOUT_S):
                await arrived.wait()
            arrived.clear()
            writer.write(b"GET /b HTTP/1.1\r\n\r\n" * 1000)
            await writer.drain()
            readers.append(reader)
        async with asyncio.timeout(TIMEOUT_S):
            with contextlib.suppress(ConnectionResetError):
                assert await readers[0].read() == b""
        assert (await pool.post("/c", b"", {}))[0] == 200
        assert len(pool.idle) == 1
