"""Odd entries of another writer among the reports of workers, against real processes.

Guards against agents and entries that end, or that no longer follow the true worker, because of one
report with a value that is nested too deeply, too large, out of range or not text.
"""

import asyncio
import json
import os
from contextlib import asynccontextmanager
from random import Random

import aiohttp
import pytest

from onyxfork.platform.fields import FieldError
from onyxfork.platform.reports import decode_report
from onyxfork.platform.standin.calls import (
    CONFIGURATION_PATH,
    encode_configuration,
    encode_job,
    job_path,
)
from onyxfork.platform.standin.worker import drain_and_restart
from onyxfork.workload.soak.cluster import (
    CALLERS_PORT,
    CONTROL_HTTP_PORT,
    SERVICE,
    WORKER_CPU,
    run_cluster,
)
from onyxfork.workload.soak.run import SoakClock
from onyxfork.workload.soak.schedule import SoakSize

TIMEOUT_S = 20.0
NETWORK = 221 + os.getpid() % 30
"""Second octet of the loopback addresses: above those of soaks, and other ones in each process."""
HOST = "soak.example"
DEEP = "[" * 100_000 + "]" * 100_000
NESTED = "[" * 200 + "]" * 200
HUGE = "1" + "0" * 400
NOT_TEXT = '"\\ud800"'

REPORT = {
    "service": SERVICE,
    "address": "127.0.0.1:7000",
    "zone": "zone-1",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldLeftMs": 0,
    "capacity": {"cpu": 4000, "memMb": 1024, "gpu": 0},
    "labels": ["a"],
    "born": 99,
    "clockMs": 1000,
    "seq": 900_000_000,
}
ODD_TEXTS = [DEEP, NESTED, HUGE, NOT_TEXT, "null", "{}", "true"]
ODD_NUMBERS = [DEEP, NESTED, HUGE, "1e999", "NaN", "-1", "9007199254740993", NOT_TEXT, "[]", "true"]
ODD_VALUES = {
    "service": ODD_TEXTS,
    "address": [
        *ODD_TEXTS,
        *(f'"127.0.0.1:{port}"' for port in ("0", "-1", "65536", HUGE, "x", "", "\\ud800")),
        '"127.0.0.1"',
        '"[:7000"',
        '""',
    ],
    "zone": ODD_TEXTS,
    "version": ODD_TEXTS,
    "state": [*ODD_TEXTS, '"gone"', '"' + "x" * 100_000 + '"'],
    "slots": ODD_NUMBERS,
    "coldLeftMs": ODD_NUMBERS,
    "drainRemainingMs": ODD_NUMBERS,
    "capacity": [*ODD_TEXTS, "[]"],
    "cpu": ODD_NUMBERS,
    "memMb": ODD_NUMBERS,
    "gpu": ODD_NUMBERS,
    "labels": [*ODD_TEXTS, f"[{NOT_TEXT}]", f"[{DEEP}]", f"[{HUGE}]", json.dumps(["x"] * 100_000)],
    "born": ODD_NUMBERS,
    "clockMs": ODD_NUMBERS,
    "seq": ODD_NUMBERS,
    "unknown": [DEEP, NESTED],
}
REQUIRED = ("service", "address", "state", "capacity", "cpu", "memMb")


def make_odd_reports():
    """Yield the name of the odd field and the body of each odd report."""
    marked = {**REPORT, "unknown": 0, "drainRemainingMs": 0}
    for name, values in ODD_VALUES.items():
        in_capacity = name in REPORT["capacity"]
        fields = REPORT["capacity"] if in_capacity else marked
        for value in values:
            changed = json.dumps({**fields, name: "MARK"})
            if in_capacity:
                changed = json.dumps({**REPORT, "capacity": "OUTER"}).replace('"OUTER"', changed)
            yield name, changed.replace('"MARK"', value).encode()
    for name in REQUIRED:
        body = json.loads(json.dumps(REPORT))
        (body["capacity"] if name in REPORT["capacity"] else body).pop(name)
        yield name, json.dumps(body).encode()
    valid = json.dumps(REPORT).encode()
    yield from [("body", valid[:-9]), ("body", b"\xff\xfe" + valid), ("body", b""), ("body", b"[]")]


@pytest.mark.parametrize("name, body", [
    pytest.param(name, body, id=f"{name}-{position}")
    for position, (name, body) in enumerate(make_odd_reports())
])  # fmt: skip
def test_odd_report_is_refused_with_a_short_reason(name, body):
    with pytest.raises(FieldError) as refusal:
        decode_report("i-1", body)
    assert len(str(refusal.value)) < 300
    str(refusal.value).encode()


class Platform:
    """Real processes with stand-in workers, a caller and another writer."""

    def __init__(self, cluster, session):
        self.cluster, self.session = cluster, session
        self.jobs = 0

    def url(self, name, port, path):
        return f"http://{self.cluster.address(name, port)}{path}"

    async def call(self, method, url, body):
        async with self.session.request(method, url, data=body, headers={"Host": HOST}) as response:
            return response.status, await response.read()

    async def report(self, agent, worker_id, body):
        return await self.call(
            "PUT", self.url(agent, CONTROL_HTTP_PORT, f"/instances/{worker_id}"), body
        )

    async def run_job(self, tasks=8, cpu=WORKER_CPU // 8):
        """Hand a job in and return the status of the response."""
        self.jobs += 1
        body = encode_job(json.dumps({"ms": 20, "cpu": cpu}), tasks, cpu, 64, 20)
        path = job_path("checks", f"{self.jobs:016x}")
        status, _ = await self.call("POST", self.url("entry-1", CALLERS_PORT, path), body)
        return status

    async def wait_for_runs(self, agent, wanted=True, **job):
        """Hand jobs in until one has, or has not, a run at the worker of an agent."""
        worker = self.cluster.workers[agent]
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                before = len(worker.journal)
                status = await self.run_job(**job)
                if status == 200 and (len(worker.journal) > before) == wanted:
                    return
                await asyncio.sleep(0.05)


@asynccontextmanager
async def run_platform(folder):
    async with (
        run_cluster(folder, NETWORK, SoakSize(1, 1, 2), SoakClock(), Random(1)) as cluster,
        aiohttp.ClientSession(cookie_jar=aiohttp.DummyCookieJar()) as session,
    ):
        for worker in cluster.workers.values():
            worker.run_s = lambda spec, task: json.loads(spec)["ms"] / 1000
            worker.task_cpu = lambda spec: json.loads(spec)["cpu"]
            worker.crashes_on = lambda spec, task: False
        platform = Platform(cluster, session)
        url = platform.url("control-1", CONTROL_HTTP_PORT, CONFIGURATION_PATH)
        document = encode_configuration(1, SERVICE, {"checks": 0}, HOST)
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                try:
                    if (await platform.call("PUT", url, document))[0] == 200:
                        break
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(0.1)
        yield platform


# Guards against an agent that ends, or stops following its worker, after one odd entry.
@pytest.mark.parametrize("identifier", ["true", "other"])
async def test_true_worker_is_followed_after_odd_reports(tmp_path, identifier):
    async with run_platform(tmp_path) as platform:
        cluster, worker = platform.cluster, platform.cluster.workers["agent-1"]
        wide = {"tasks": 16}
        await platform.wait_for_runs("agent-1", **wide)
        await platform.wait_for_runs("agent-2", **wide)
        worker_id = worker.id if identifier == "true" else "i-other"
        for name, body in make_odd_reports():
            status, answer = await platform.report("agent-1", worker_id, body)
            assert (status, len(answer) < 400) == (400, True), (name, body[:200], answer[:200])
        # Every field has a valid value, but no worker has this lifetime.
        for other_id in (worker_id, "i-" + "x" * 1000, "%FF%00", ""):
            await platform.report("agent-1", other_id, json.dumps(REPORT).encode())
        await platform.wait_for_runs("agent-1", **wide)
        worker.set_capacity(100)
        await platform.wait_for_runs("agent-1", wanted=False)
        worker.set_capacity(WORKER_CPU)
        await platform.wait_for_runs("agent-1", **wide)
        worker.end_lifetime()
        await platform.wait_for_runs("agent-1", **wide)
        agent = cluster.address("agent-1", CONTROL_HTTP_PORT)
        leaving = asyncio.create_task(drain_and_restart(worker, agent, 0.5))
        await platform.wait_for_runs("agent-1", wanted=False)
        await leaving
        await platform.wait_for_runs("agent-1", **wide)
        await platform.wait_for_runs("agent-2", **wide)
        assert not cluster.unexpected_exits
        lines = (tmp_path / "agent-1.log").read_text().splitlines()
        assert max(map(len, lines)) < 2000
