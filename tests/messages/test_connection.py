"""Connections: frames, size limits, timeouts, and TLS with certificates on both sides."""

import asyncio
import sys
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from onyxfork.errors import ProtocolError
from onyxfork.messages import (
    PROTOCOL_VERSION,
    Hello,
    Liveness,
    Look,
    Timing,
    open_connection,
    pack,
    serve,
)
from onyxfork.messages.connection import HEADER, MAX_FRAME_BYTES
from onyxfork.settings import TlsSettings
from onyxfork.tls import TlsContexts

sys.path.insert(0, str(Path(__file__).parent.parent))
from certificates import Authority  # noqa: E402

FAST = Timing(heartbeat_s=0.05, suspect_s=0.12, silent_s=0.2)


def hello(cluster="c", version=PROTOCOL_VERSION):
    return Hello(version, cluster, "entry", "n", "i", "z", 0.0)


@asynccontextmanager
async def echo_server(received, tls=None):
    async def accept(connection):
        await connection.run(lambda _, message: received.append(message))

    async with serve("127.0.0.1", 0, hello, FAST, accept, tls=tls) as port:
        yield ("127.0.0.1", port)


async def exchange(address, tls=None):
    async with open_connection(address, hello(), FAST, tls=tls) as connection:
        reading = asyncio.create_task(connection.run(lambda *_: None))
        connection.send(Look(1, "a"))
        connection.send(Look(2, "b"))
        await asyncio.sleep(0.05)
        reading.cancel()


async def test_messages_arrive_in_order():
    received = []
    async with echo_server(received) as address:
        await exchange(address)
    assert received == [Look(1, "a"), Look(2, "b")]


async def test_messages_of_one_loop_iteration_are_sent_in_one_frame():
    frames = []

    def counter(direction, _, size):
        if direction == "sent":
            frames.append(size)

    async with echo_server([]) as address:
        async with open_connection(address, hello(), FAST, counter) as connection:
            connection.send(Look(1, "a"))
            connection.send(Look(2, "b"))
            await asyncio.sleep(0.01)
    assert [bool(size) for size in frames[:2]] == [True, False]


@pytest.mark.parametrize("client_hello", [hello(cluster="other"), hello(version=99)])
async def test_wrong_cluster_or_version_is_refused(client_hello):
    async with echo_server([]) as address:
        with pytest.raises((ProtocolError, OSError)):
            async with open_connection(address, client_hello, FAST):
                pass


@pytest.mark.parametrize(
    "sent_bytes",
    [
        b"\xff\xff\xff\xff",
        HEADER.pack(MAX_FRAME_BYTES + 1),
        HEADER.pack(3) + b"abc",
        HEADER.pack(0),
    ],
)
async def test_bad_bytes_close_only_that_connection(sent_bytes):
    received = []
    async with echo_server(received) as address:
        reader, writer = await asyncio.open_connection(*address)
        frame = pack([hello()])
        writer.write(HEADER.pack(len(frame)) + frame + sent_bytes)
        async with asyncio.timeout(2.0):
            while await reader.read(65536):
                pass
        writer.close()
        await exchange(address)
    assert len(received) == 2


async def test_connection_to_a_silent_peer_is_closed():
    async def accept(connection):
        await asyncio.sleep(10)

    async with serve("127.0.0.1", 0, hello, FAST, accept) as port:
        async with open_connection(("127.0.0.1", port), hello(), FAST) as connection:
            async with asyncio.timeout(2.0):
                reason = await connection.run(lambda *_: None)
    assert reason == "the peer has gone silent"


async def test_pings_keep_an_idle_connection_open():
    async with echo_server([]) as address:
        async with open_connection(address, hello(), FAST) as connection:
            reading = asyncio.create_task(connection.run(lambda *_: None))
            await asyncio.sleep(0.6)
            assert connection.is_open
            reading.cancel()


def test_liveness_changes_with_the_time_since_the_last_arrival():
    liveness = Liveness(FAST, 0.0)
    assert [liveness.check(now) for now in (0.1, 0.15, 0.25)] == ["live", "suspect", "silent"]
    liveness = Liveness(FAST, 0.0)
    liveness.check(0.15)
    liveness.record_arrival(0.16)
    assert liveness.check(0.2) == "live"


async def test_tls_needs_a_certificate_of_the_authority(tmp_path):
    authority = Authority(tmp_path)
    server = TlsContexts(TlsSettings(**authority.issue("server")))
    client = TlsContexts(TlsSettings(**authority.issue("client")))
    untrusted_client = TlsContexts(TlsSettings(**Authority(tmp_path, "stranger").issue("mallory")))
    received = []
    async with echo_server(received, server.server) as address:
        await exchange(address, client.client)
        with pytest.raises((OSError, ProtocolError)):
            await exchange(address, untrusted_client.client)
        with pytest.raises((OSError, ProtocolError)):
            await exchange(address)
    assert len(received) == 2


async def test_new_certificates_are_loaded_without_closing_connections(tmp_path):
    authority = Authority(tmp_path)
    server = TlsContexts(TlsSettings(**authority.issue("server")))
    client = TlsContexts(TlsSettings(**authority.issue("client")))
    received = []
    async with echo_server(received, server.server) as address:
        async with open_connection(address, hello(), FAST, tls=client.client) as connection:
            reading = asyncio.create_task(connection.run(lambda *_: None))
            authority.issue("server")
            assert server.reload().is_ok()
            connection.send(Look(1, "a"))
            await exchange(address, client.client)
            assert connection.is_open
            reading.cancel()
        (tmp_path / "server.key").write_text("damaged")
        assert "tls" in server.reload().err_value
        await exchange(address, client.client)
    assert len(received) == 5
