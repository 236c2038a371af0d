"""Load: crowds of clients that hold connections, unfinished requests or unread responses.

The programs run as processes, on machines that are smaller than those of a deployment. A process
stays within the memory and the descriptors of its machine, and an ordinary caller is served while
the crowd is connected.
"""

import asyncio
import os
import sys
from pathlib import Path

import pytest
from attrs import evolve

from onyxfork.platform.standin.calls import encode_job, job_path
from onyxfork.platform.standin.crowds import (
    CLIENT_ID,
    Crowd,
    announced_bodies,
    chunked_request,
    complete_requests,
    connect_crowd,
    endless_bodies,
    header_lines,
    idle_connections,
    nested_json,
    pipelines,
    request_head,
    unfinished_bodies,
    unfinished_headers,
)

sys.path.insert(0, str(Path(__file__).parent))
from system import (  # noqa: E402
    HOST,
    METRICS_PORT,
    QUEUE,
    READY_PORT,
    REPORTS_PORT,
    WORKER_CPU,
    run_small_system,
)

MEMORY_MB, DESCRIPTORS = 80, 400
RESERVED_DESCRIPTORS = 200
"""Descriptors of a machine that are not for sockets, as on the users' machines."""

BODY_BYTES = 262_144
"""Limit on a body in the configuration."""

REPORT_BYTES = 4 * 2**20
"""Upper bound on the body of a worker's report on the users' platform."""

HOLD_S = 6.0
PATH = job_path(QUEUE, "00000000000000ff")
LIST_PATH = f"/{QUEUE}/"

CROWDS = [
    unfinished_bodies(20, PATH, HOST, BODY_BYTES, chunk_bytes=2),
    unfinished_bodies(400, PATH, HOST, BODY_BYTES - 64, chunk_bytes=16384),
    unfinished_bodies(400, PATH, HOST, BODY_BYTES - 64),
    unfinished_bodies(30, PATH, HOST, 4 * 2**20 - 64, chunk_bytes=65536),
    endless_bodies(20, PATH, HOST, 8 * 2**20),
    header_lines(300, LIST_PATH, HOST, 2700),
    pipelines(60, LIST_PATH, HOST, 40_000),
    pipelines(80, LIST_PATH, HOST, 40_000, reads=False),
    idle_connections(600),
    unfinished_headers(400, PATH, HOST),
    evolve(unfinished_headers(400, PATH, HOST), name="returning headers", reconnects=True),
    evolve(
        unfinished_bodies(400, PATH, HOST, BODY_BYTES - 64),
        name="returning bodies",
        reconnects=True,
    ),
]
LARGE_MEMORY_MB, LARGE_DESCRIPTORS = 300, 4100
LARGE_CROWDS = [
    unfinished_bodies(60, PATH, HOST, BODY_BYTES, chunk_bytes=2),
    unfinished_bodies(1500, PATH, HOST, BODY_BYTES - 64, chunk_bytes=16384),
    unfinished_bodies(1500, PATH, HOST, BODY_BYTES - 64),
    unfinished_bodies(90, PATH, HOST, 4 * 2**20 - 64, chunk_bytes=65536),
    endless_bodies(60, PATH, HOST, 8 * 2**20),
    header_lines(500, LIST_PATH, HOST, 2700),
    pipelines(150, LIST_PATH, HOST, 40_000),
    pipelines(300, LIST_PATH, HOST, 40_000, reads=False),
    idle_connections(4500),
    unfinished_headers(4500, PATH, HOST),
]
REPORT_PATH = "/instances/i-2"
LISTENERS = [
    ("entry", READY_PORT, unfinished_bodies(30, "/ready", HOST, REPORT_BYTES - 64)),
    ("entry", METRICS_PORT, unfinished_bodies(30, "/metrics", HOST, REPORT_BYTES - 64)),
    ("agent", REPORTS_PORT, unfinished_bodies(30, REPORT_PATH, HOST, REPORT_BYTES - 64)),
    ("control", REPORTS_PORT, unfinished_bodies(30, "/config", HOST, REPORT_BYTES - 64)),
    (
        "agent",
        REPORTS_PORT,
        complete_requests(
            "nested reports", 3, "PUT", REPORT_PATH, HOST, nested_json(REPORT_BYTES - 64, 30)
        ),
    ),
    (
        "control",
        REPORTS_PORT,
        complete_requests(
            "nested configurations", 3, "PUT", "/config", HOST, nested_json(REPORT_BYTES - 64, 30)
        ),
    ),
]


def crowd_id(value):
    """Return the name of a test case."""
    return value.name.replace(" ", "-") if isinstance(value, Crowd) else None


def limits(role="entry"):
    return {role: (MEMORY_MB, DESCRIPTORS)}


async def hold(clients):
    """Wait until the server has closed all connections, or for the time that a crowd stays."""
    await asyncio.wait(clients, timeout=HOLD_S)


@pytest.mark.parametrize("crowd", CROWDS, ids=crowd_id)
async def test_entry_stays_within_its_machine_and_serves_beside_a_crowd(tmp_path, crowd):
    async with run_small_system(tmp_path, limits()) as (system, session):
        async with system.sampled("entry") as usage:
            async with connect_crowd(crowd, system.callers) as clients:
                await hold(clients)
                await system.run_job(session)
        assert system.processes["entry"].is_running
        assert usage.memory_mb <= MEMORY_MB
        assert usage.descriptors <= DESCRIPTORS - RESERVED_DESCRIPTORS


@pytest.mark.skipif(os.environ.get("ONYXFORK_CROWDS") != "all", reason="run by hand")
@pytest.mark.parametrize("crowd", LARGE_CROWDS, ids=crowd_id)
async def test_entry_of_a_usual_size_beside_a_large_crowd(tmp_path, crowd):
    machine = {"entry": (LARGE_MEMORY_MB, LARGE_DESCRIPTORS)}
    async with run_small_system(tmp_path, machine) as (system, session):
        async with system.sampled("entry") as usage:
            async with connect_crowd(crowd, system.callers) as clients:
                await hold(clients)
                await system.run_job(session)
        print(f"{crowd.name}: {usage.memory_mb:.0f} MB, {usage.descriptors} descriptors")
        assert system.processes["entry"].is_running
        assert usage.memory_mb <= LARGE_MEMORY_MB
        assert usage.descriptors <= LARGE_DESCRIPTORS - RESERVED_DESCRIPTORS


@pytest.mark.parametrize(
    ("cpu", "memory_mb", "interval_s"),
    [(WORKER_CPU, 1, 0.0), (0, 0, 0.0), (0, 0, 0.3)],
    ids=["whole-worker", "nothing-at-once", "nothing-in-turn"],
)
async def test_entry_stays_within_its_machine_beside_jobs_of_many_tasks(
    tmp_path, cpu, memory_mb, interval_s
):
    """Tasks that each need the whole worker, or nothing, so that any number of them fits."""
    job = encode_job("3100 50", 10_000, cpu, memory_mb, 0.01)
    path = job_path(QUEUE, CLIENT_ID)
    crowd = complete_requests("jobs of many tasks", 60, "POST", path, HOST, job)
    crowd = evolve(crowd, interval_s=interval_s)
    async with run_small_system(tmp_path, limits()) as (system, session):
        async with system.sampled("entry") as usage:
            async with connect_crowd(crowd, system.callers) as clients:
                await hold(clients)
            await system.run_job(session)
        assert system.processes["entry"].is_running
        assert usage.memory_mb <= MEMORY_MB


@pytest.mark.parametrize(("role", "port", "crowd"), LISTENERS, ids=crowd_id)
async def test_process_stays_within_its_machine_beside_a_crowd_at_a_listener(
    tmp_path, role, port, crowd
):
    async with run_small_system(tmp_path, limits(role)) as (system, session):
        async with system.sampled(role) as usage:
            async with connect_crowd(crowd, system.address(role, port)) as clients:
                await hold(clients)
                await system.run_job(session)
        assert system.processes[role].is_running
        assert usage.memory_mb <= MEMORY_MB
        assert usage.descriptors <= DESCRIPTORS - RESERVED_DESCRIPTORS


async def test_announced_length_over_the_limit_is_refused_before_the_body(tmp_path):
    crowd = announced_bodies(10, PATH, HOST, 10**9)
    async with run_small_system(tmp_path, limits()) as (system, session):
        async with connect_crowd(crowd, system.callers) as clients:
            responses = await asyncio.gather(*clients)
            await system.run_job(session)
    assert [response.split(maxsplit=2)[1:2] for response in responses] == [[b"413"]] * 10


@pytest.mark.parametrize(("connections", "reads"), [(150, True), (300, False)])
async def test_entry_stops_beside_pipelines(tmp_path, connections, reads):
    crowd = pipelines(connections, LIST_PATH, HOST, 40_000, reads)
    async with run_small_system(tmp_path, limits()) as (system, _):
        async with connect_crowd(crowd, system.callers) as clients:
            await asyncio.wait(clients, timeout=1.0)
            assert await system.stop("entry") == 0


async def test_request_at_the_limits_is_served(tmp_path):
    """A header of 16,384 bytes, a body of 262,144 bytes in one-byte chunks, and trailers."""
    job = encode_job("3100 50", 1, 1000, 64, 50.0)
    body = job[:-1] + b" " * (BODY_BYTES - len(job)) + job[-1:]
    trailers = b"0\r\n" + b"".join(b"t%03x: x\r\n" % number for number in range(100)) + b"\r\n"
    chunked = chunked_request(PATH, HOST, body, 1, trailers)
    short_head = request_head("GET", LIST_PATH, HOST, Connection="close")
    lines = b"".join(b"a:\r\n" for _ in range((16384 - len(short_head)) // 4))
    for request in (chunked, short_head[:-2] + lines + b"\r\n"):
        async with run_small_system(tmp_path / str(len(request)), limits()) as (system, _):
            reader, writer = await asyncio.open_connection(*system.callers.host_and_port)
            writer.write(request)
            async with asyncio.timeout(60):
                assert (await reader.readline()).split()[1] == b"200"
            writer.close()
