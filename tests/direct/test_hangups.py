"""Ends of connections that are noticed before what the connections hold is read."""

import asyncio
import socket
import struct
from contextlib import contextmanager, suppress

import pytest

from onyxfork.direct.hangups import Caller, open_hangup_watch

RESET = struct.pack("ii", 1, 0)


@contextmanager
def connected_pair():
    """Yield the sockets of a client and of the server, connected over loopback."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client = socket.create_connection(listener.getsockname())
        server, _ = listener.accept()
    with client, server:
        yield client, server


def leave(client, by):
    """Close, half-close or reset the connection of a client."""
    if by == "shutdown":
        client.shutdown(socket.SHUT_WR)
        return
    if by == "reset":
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    client.close()


@pytest.mark.parametrize("by", ["close", "shutdown", "reset"])
@pytest.mark.parametrize("unread", [b"", b"x" * 4096])
async def test_end_is_noticed_behind_unread_bytes(by, unread):
    loop = asyncio.get_running_loop()
    with open_hangup_watch(loop, lambda: None) as watch, connected_pair() as (client, server):
        caller = watch.add(server)
        client.sendall(unread)
        watch.look()
        assert not caller.has_left
        leave(client, by)
        watch.look()
        assert caller.has_left
        watch.remove(server)


async def test_one_look_finds_all_that_have_left_and_no_others():
    loop = asyncio.get_running_loop()
    with open_hangup_watch(loop, lambda: None) as watch:
        pairs, left = [connected_pair() for _ in range(200)], []
        sockets = [pair.__enter__() for pair in pairs]
        callers = [watch.add(server) for _, server in sockets]
        for number, caller in enumerate(callers):
            caller.on_left = lambda number=number: left.append(number)
        for client, _ in sockets[::2]:
            leave(client, "close")
        watch.look()
        assert sorted(left) == list(range(0, 200, 2))
        assert [caller.has_left for caller in callers] == [True, False] * 100
        watch.look()
        assert len(left) == 100
        for pair in pairs:
            pair.__exit__(None, None, None)


async def test_reset_is_noticed_behind_more_bytes_than_the_buffers_take():
    loop = asyncio.get_running_loop()
    with open_hangup_watch(loop, lambda: None) as watch, connected_pair() as (client, server):
        caller = watch.add(server)
        client.setblocking(False)
        with suppress(BlockingIOError):
            while True:
                client.send(b"x" * 65536)
        leave(client, "reset")
        watch.look()
        assert caller.has_left


async def test_event_loop_is_told_of_an_end_that_nobody_reads():
    loop, told = asyncio.get_running_loop(), asyncio.Event()
    with open_hangup_watch(loop, told.set) as watch, connected_pair() as (client, server):
        caller = watch.add(server)
        client.sendall(b"x" * 4096)
        leave(client, "reset")
        async with asyncio.timeout(10):
            await told.wait()
        watch.look()
        assert caller.has_left


async def test_descriptor_that_is_used_again_has_a_caller_of_its_own():
    loop = asyncio.get_running_loop()
    with open_hangup_watch(loop, lambda: None) as watch:
        with connected_pair() as (client, server):
            former = watch.add(server)
            leave(client, "close")
            watch.remove(server)
        with connected_pair() as (client, server):
            caller = watch.add(server)
            watch.look()
            assert not former.has_left and not caller.has_left
            leave(client, "close")
            watch.look()
            assert not former.has_left and caller.has_left
            watch.remove(server)
        assert not watch.callers


def test_departure_is_reported_once():
    reports = []
    caller = Caller(on_left=lambda: reports.append(1))
    caller.mark_left()
    caller.mark_left()
    assert caller.has_left and reports == [1]
