"""Jobs of callers who have left before the entry reads that, over loopback connections.

The event loop of the tests stands still while callers send and leave, as in a frozen entry.
"""

import asyncio
import json
import socket
import sys
import time
from contextlib import asynccontextmanager, contextmanager
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).parent))
sys.path.insert(0, str(Path(__file__).parents[1] / "direct"))
from builders import make_status  # noqa: E402
from test_http import DOCUMENT, free_address  # noqa: E402
from test_path import TIMEOUT_S, StandInWorker, run_path, until  # noqa: E402

from onyxfork.direct.messages import ConfigurationDocument  # noqa: E402
from onyxfork.platform.callers import CallerHandler  # noqa: E402
from onyxfork.platform.http import run_server  # noqa: E402

STEP = {"count": 1, "cpu": 50, "estimatedMs": 5000}
FIN_WAIT2 = 5
"""State of a socket whose end the other side has received; see tcp(7), ``TCP_INFO``."""

BEHIND = b"GET /p/ HTTP/1.1\r\nHost: h.example\r\nCookie: " + b"c" * 1000 + b"\r\n\r\n"


@asynccontextmanager
async def run_front(worker):
    """Yield an entry that is connected to the agent of a worker, and its address for callers."""
    async with run_path(worker) as (entry, _):
        callers = CallerHandler(entry)
        document = {**DOCUMENT, "services": [{"name": "desk"}], "limits": {}}
        document["routes"] = [{**DOCUMENT["routes"][0], "service": "desk", "stretch": 3}]
        callers.apply_document(ConfigurationDocument(3, json.dumps(document).encode()))
        address = free_address()
        async with run_server(callers.handle, address, hangup_watch=entry.hangup_watch):
            yield entry, address.host_and_port


def request_bytes(method, number, step=None):
    """Return a request for the job with this number; its body has `step` if it is a POST."""
    body = b""
    if step is not None:
        body = json.dumps({"spec": "x", "bestEffort": True, "steps": [step]}).encode()
    head = f"{method} /p/{number:016x} HTTP/1.1\r\nHost: h.example\r\nX-Deadline: 8000\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


@contextmanager
def connect(address, count=1):
    """Yield sockets that are connected to the entry."""
    sockets = [socket.create_connection(address) for _ in range(count)]
    try:
        yield sockets
    finally:
        for sock in sockets:
            sock.close()


def leave(sockets):
    """Close the sending sides, and return when the entry's sockets have received that."""
    for sock in sockets:
        sock.shutdown(socket.SHUT_WR)
    ends_at = time.monotonic() + TIMEOUT_S
    while any(tcp_state(sock) != FIN_WAIT2 for sock in sockets):
        assert time.monotonic() < ends_at
        time.sleep(0.001)


def stand_still(seconds):
    """Block the event loop without using processor time, as in a frozen process."""
    time.sleep(seconds)


def tcp_state(sock):
    """Return the state of a TCP socket as a number."""
    return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]


def started_jobs(worker):
    """Return the numbers of the jobs of which the worker has started a task."""
    return {int(ref.job, 16) for ref in worker.started}


# Guards against TWICE: an entry that woke up started jobs that had been sent elsewhere meanwhile.
@pytest.mark.parametrize("opened_before", [False, True])
@pytest.mark.parametrize("behind", [b"", BEHIND])
@pytest.mark.parametrize(("callers", "tasks"), [(1, 1), (30, 1), (5, 12)])
async def test_nothing_is_started_for_callers_who_left_and_all_for_those_who_wait(
    callers, tasks, behind, opened_before
):
    worker = StandInWorker()
    async with run_front(worker) as (entry, address):
        with connect(address, 2 * callers) as sockets:
            if opened_before:
                await until(lambda: len(entry.hangup_watch.callers) == len(sockets))
            for number, sock in enumerate(sockets):
                sock.sendall(request_bytes("POST", number, {**STEP, "count": tasks, "cpu": 5}))
                if number % 2:
                    sock.sendall(behind)
            leave(sockets[1::2])
            waiting = set(range(0, 2 * callers, 2))
            await until(lambda: len(worker.started) >= callers * tasks)
            await until(lambda: {int(job, 16) for job in entry.dispatcher.jobs} == waiting)
            assert started_jobs(worker) == waiting
            assert len(worker.started) == callers * tasks
        await until(lambda: not worker.running and not entry.hangup_watch.callers)


# Guards against TWICE: a task that had waited for capacity was started after its caller had left.
@pytest.mark.parametrize("path", ["report", "tick"])
async def test_waiting_task_of_a_caller_who_left_is_not_placed(path):
    worker = StandInWorker()
    async with run_front(worker) as (entry, address):
        with connect(address, 2) as sockets:
            capacity = entry.dispatcher.workers["s1"].status.cpu
            for number, sock in enumerate(sockets):
                sock.sendall(request_bytes("POST", number, {**STEP, "cpu": capacity}))
                await until(lambda number=number: len(entry.dispatcher.jobs) == number + 1)
            await until(lambda: started_jobs(worker) == {0})
            waiting = entry.dispatcher.jobs[f"{1:016x}"]
            leave(sockets[1:])
            view = entry.dispatcher.workers["s1"]
            report = make_status(capacity, capacity, orders_received=view.orders_sent)
            if path == "report":
                entry.on_agent_message("s1", report)
            else:
                view.update_status(report)
                entry.tick(entry.clock.now())
            assert waiting.first_placed_at is None
            assert waiting.outcome.reason == "the caller has disconnected"
            await until(lambda: set(entry.dispatcher.jobs) == {f"{0:016x}"})


# Guards against TWICE: reading is paused while a request waits behind the job, so that the end of
# the connection was noticed only after the job had ended.
async def test_runs_are_stopped_when_a_caller_leaves_whose_next_request_waits():
    worker = StandInWorker()
    async with run_front(worker) as (entry, address):
        with connect(address) as (sock,):
            step = {**STEP, "count": 2, "estimatedMs": 50_000}
            sock.sendall(request_bytes("POST", 1, step) + BEHIND)
            await until(lambda: len(worker.running) == 2)
            (job,) = entry.dispatcher.jobs.values()
            leave([sock])
            await until(lambda: job.outcome is not None)
            assert job.outcome.reason == "the caller has disconnected"
            await until(lambda: len(worker.stopped) == 2 and not entry.dispatcher.jobs)
            await until(lambda: not entry.hangup_watch.callers)


async def test_request_to_cancel_is_carried_out_though_its_sender_has_left():
    worker = StandInWorker()
    async with run_front(worker) as (entry, address):
        with connect(address, 2) as (poster, canceller):
            poster.sendall(request_bytes("POST", 1, STEP))
            await until(lambda: worker.running)
            canceller.sendall(request_bytes("DELETE", 1))
            leave([canceller])
            await until(lambda: worker.stopped and not entry.dispatcher.jobs)
            answer = await asyncio.to_thread(poster.recv, 4096)
            assert b'"cancelled"' in answer


# Guards against refusals as overload: an entry that had been frozen served its first caller only.
async def test_callers_who_still_wait_after_a_pause_are_served():
    worker = StandInWorker(run_s=0.02)
    async with run_front(worker) as (entry, address):
        with connect(address, 60) as sockets:
            await until(lambda: len(entry.hangup_watch.callers) == len(sockets))
            for number, sock in enumerate(sockets):
                step = {**STEP, "cpu": 5, "estimatedMs": 50}
                sock.sendall(request_bytes("POST", number, step))
            leave(sockets[1::2])
            stand_still(0.5)
            # The overdue tick comes before the requests that were sent meanwhile.
            entry.tick(entry.clock.now())
            await until(lambda: len(worker.started) == 30 and not entry.dispatcher.jobs)
            assert started_jobs(worker) == set(range(0, 60, 2))
            for sock in sockets[::2]:
                assert b'"completed"' in await asyncio.to_thread(sock.recv, 4096)
