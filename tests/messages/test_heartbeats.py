"""Heartbeats: wake-ups of a process, and silence as a process sees it that was itself stalled.

Pattern: hundreds of connections at rest; a process without processor time while its peers go on.
"""

import asyncio
import socket
import threading
import time
from types import SimpleNamespace

from onyxfork.messages import PROTOCOL_VERSION, Hello, Timing, open_connection, pack
from onyxfork.messages.connection import HEADER, Connection
from onyxfork.messages.greeting import Ping
from onyxfork.messages.heartbeats import HeartbeatTimer

HELLO = Hello(PROTOCOL_VERSION, "c", "entry", "n", "i", "z", 0.0)


class FakeLoop:
    """Event loop whose time is set by the test; counts the timers that fire."""

    def __init__(self):
        self.now = 0.0
        self.timers = []
        self.fired = 0

    def time(self):
        return self.now

    def call_at(self, due_at, callback):
        self.timers.append((due_at, callback))
        return SimpleNamespace(cancel=lambda: None)

    def advance(self, until):
        """Fire the timers that are due up to a time."""
        while self.timers and min(self.timers, key=lambda timer: timer[0])[0] <= until:
            timer = min(self.timers, key=lambda timer: timer[0])
            self.timers.remove(timer)
            self.now = max(self.now, timer[0])
            self.fired += 1
            timer[1]()
        self.now = until


class RecordingConnection:
    """Records how long the process was stalled at each check."""

    def __init__(self):
        self.stalls = []

    def check_heartbeat(self, now, stalled_s):
        self.stalls.append(stalled_s)


def test_wake_ups_do_not_grow_with_the_number_of_connections():
    fired = []
    for count in (1, 300):
        loop = FakeLoop()
        timer = HeartbeatTimer(loop, 0.1)
        connections = [RecordingConnection() for _ in range(count)]
        for connection in connections:
            timer.add(connection)
        loop.advance(10.05)
        fired.append(loop.fired)
        assert all(len(connection.stalls) == loop.fired for connection in connections)
    assert fired[0] == fired[1] == 100


def test_timer_stops_with_the_last_connection():
    loop = FakeLoop()
    timer = HeartbeatTimer(loop, 0.1)
    connection = RecordingConnection()
    timer.add(connection)
    timer.remove(connection)
    loop.advance(1.0)
    assert loop.fired == 1
    timer.add(connection)
    loop.advance(2.0)
    assert loop.fired > 5


def test_stall_of_the_process_is_passed_on():
    loop = FakeLoop()
    timer = HeartbeatTimer(loop, 0.1)
    connection = RecordingConnection()
    timer.add(connection)
    loop.now = 3.1
    loop.advance(3.15)
    assert abs(connection.stalls[0] - 3.0) < 1e-6


class PingingPeer(threading.Thread):
    """Peer on a thread of its own that sends a ping every 30 ms until it is stopped."""

    def __init__(self):
        super().__init__(daemon=True)
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.stopped = threading.Event()

    def run(self):
        client, _ = self.listener.accept()
        with client:
            messages = [HELLO] + [Ping(clock=1.0, echo=1.0)] * 1000
            for message in messages:
                frame = pack([message])
                client.sendall(HEADER.pack(len(frame)) + frame)
                if self.stopped.wait(0.03):
                    return


async def test_stalled_process_reads_what_has_arrived_before_it_judges_its_peer():
    peer = PingingPeer()
    peer.start()
    timing = Timing(heartbeat_s=0.05, suspect_s=60.0, silent_s=0.25)
    address = peer.listener.getsockname()
    try:
        async with open_connection(address, HELLO, timing) as connection:
            reading = asyncio.create_task(connection.run(lambda *_: None))
            for _ in range(4):
                await asyncio.sleep(0.05)
                time.sleep(0.4)  # noqa: ASYNC251
            await asyncio.sleep(0.05)
            assert connection.is_open
            peer.stopped.set()
            async with asyncio.timeout(10.0):
                await reading
    finally:
        peer.stopped.set()
        peer.listener.close()


async def test_silence_is_noticed_at_its_limit_and_not_at_the_next_check():
    """Between two checks the limit passes; the runs of a lost entry depend on it."""
    loop = asyncio.get_running_loop()
    timing = Timing(heartbeat_s=10.0, suspect_s=0.1, silent_s=0.15)
    writer = SimpleNamespace(
        transport=SimpleNamespace(abort=lambda: None, get_write_buffer_size=lambda: 0),
        write=lambda data: None,
        close=lambda: None,
    )
    connection = Connection(None, writer, HELLO, timing)
    connection.check_heartbeat(loop.time(), 0.0)
    async with asyncio.timeout(10.0):
        await connection.closed.wait()
    assert connection.close_reason == "the peer has gone silent"
