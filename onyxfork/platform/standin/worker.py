"""A stand-in for one of the platform's workers: runs, leases, fences, lists of ends.

The worker itself is plain state that is given the time; :func:`run_standin_worker` serves it over
HTTP and reports to its agent.
"""

import asyncio
import json
import logging
from contextlib import asynccontextmanager, suppress
from random import Random

import aiohttp
from attrs import define, field

from onyxfork.platform.http import json_response, run_server

__all__ = ["RunRecord", "StandInWorker", "run_standin_worker"]

log = logging.getLogger(__name__)

MAX_LEASE_S = 1.0
"""Longest lease, as `holdMaxMs` of the users' deployments."""

REPORT_INTERVAL_S = 0.5
"""A third of the users' `heartbeatMs`, so that a short soak sees as many workers come back."""

REPORT_TIMEOUT_S = 1.0
"""The platform's workers wait a second for an acknowledgement."""

RESTART_GAP_S = 0.3
"""From the end of one lifetime to the first report of the next."""

MIN_START_DELAY_S, MAX_START_DELAY_S = 0.5, 3.0
"""How much later an order that is left unanswered is carried out: 2 to 12 s on the platform, less
here, so that it comes while its job is still on."""


@define(slots=True)
class RunRecord:
    """One run as this worker saw it, in seconds of the soak's clock.

    Parameters
    ----------
    job, task : str
        Identifier of the job, and the task's name.
    started_late : bool
        Whether the order was left unanswered and carried out later.
    outcome : str
        How it ended; empty while it runs.
    """

    worker: str
    job: str
    task: str
    run: int
    spec: str
    started_at: float
    started_late: bool = False
    ends_at: float = 0.0
    ended_at: float | None = None
    outcome: str = ""


@define(eq=False)
class StandInWorker:
    """State of one worker.

    Parameters
    ----------
    name, service : str
    cpu, memory_mb : int
    run_s : callable
        Returns how long a task of some spec and name runs, in seconds.
    task_cpu : callable
        Returns the thousandths of a core that a task of some spec needs.
    journal : list of RunRecord
        Every run of every lifetime.
    fault : str
        ``fail``, ``hang``, ``late`` (orders unanswered, carried out later), ``mute`` (carried out
        at once, unanswered), ``shed`` or empty.
    """

    name: str
    service: str
    cpu: int
    memory_mb: int
    run_s: object
    task_cpu: object
    clock: object
    rng: Random
    journal: list = field(factory=list)
    fault: str = ""
    speed: float = 1.0
    lifetime: int = 0
    sequence: int = 0
    state: str = "ready"
    is_up: bool = True
    drain_acked_at: float | None = None
    running: dict = field(factory=dict)
    ended_runs: list = field(factory=list)
    last_end: int = 0
    highest_runs: dict = field(factory=dict)
    highest_token: int = 0
    lease_until: float = 0.0
    run_ended: asyncio.Event = field(factory=asyncio.Event)

    @property
    def id(self):
        """Identity of the present lifetime."""
        return f"i-{self.name}-{self.lifetime}"

    def clock_ms(self):
        """Return the time of the worker's own clock in milliseconds."""
        return int(self.clock.now() * 1000)

    def end_lifetime(self, how="crashed"):
        """Lose everything; the next lifetime knows nothing of this one."""
        for record in self.running.values():
            record.ended_at, record.outcome = self.clock.now(), how
        self.running, self.ended_runs, self.highest_runs = {}, [], {}
        self.last_end = self.highest_token = self.sequence = 0
        self.lease_until = 0.0
        self.lifetime += 1
        self.state, self.drain_acked_at, self.fault = "ready", None, ""
        self.run_ended.set()

    def advance(self):
        """Let runs end whose time has come, or all of them when the lease has lapsed."""
        now = self.clock.now()
        for task, record in list(self.running.items()):
            if now >= record.ends_at and self.fault != "hang":
                self.end_run(task, "failed" if self.fault == "fail" else "done")
        if self.running and now >= self.lease_until:
            for task in list(self.running):
                self.end_run(task, "lapsed")

    def end_run(self, task, how):
        """List the end of a run."""
        record = self.running.pop(task)
        record.ended_at, record.outcome = self.clock.now(), how
        self.highest_runs[task] = max(record.run, self.highest_runs.get(task, 0))
        self.last_end += 1
        self.ended_runs.append([self.last_end, task, record.run, how, ""])
        self.run_ended.set()

    def extend_lease(self, body):
        """Extend the lease of everything that runs."""
        until = body.get("untilMs", 0) / 1000
        self.lease_until = max(self.lease_until, min(until, self.clock.now() + MAX_LEASE_S))

    def start(self, body, late=False):
        """Carry out an order to start; return (status, body)."""
        self.advance()
        task, run = body["task"], body["run"]
        if body["fencingToken"] < self.highest_token:
            return self.reject("fence")
        self.highest_token = body["fencingToken"]
        self.extend_lease(body)
        known = self.running.get(task)
        if known is not None and known.run == run:
            return 200, {}
        if run <= self.highest_runs.get(task, 0) or known is not None:
            return self.reject("old")
        if body["untilMs"] / 1000 <= self.clock.now():
            return self.reject("late")
        needed = self.task_cpu(body["spec"])
        if needed + sum(self.task_cpu(r.spec) for r in self.running.values()) > self.cpu:
            return self.reject("room")
        now = self.clock.now()
        record = RunRecord(self.id, task.split(".")[0], task, run, body["spec"], now, late)
        record.ends_at = now + self.run_s(body["spec"], task) / self.speed
        self.running[task] = record
        self.journal.append(record)
        return 200, {}

    @staticmethod
    def reject(reason):
        """Return the answer to an order that is not carried out."""
        return 409, {"reason": reason}

    def stop(self, body):
        """Carry out an order to stop; return (status, body)."""
        self.advance()
        task, run = body["task"], body["run"]
        if body["fencingToken"] < self.highest_token:
            return self.reject("fence")
        self.highest_token = body["fencingToken"]
        known = self.running.get(task)
        if known is not None and known.run <= run:
            self.end_run(task, "stopped")
        self.highest_runs[task] = max(run, self.highest_runs.get(task, 0))
        return 200, {}

    async def renew_lease(self, body):
        """Extend the lease and return the lists, after an end if there is time to wait for one."""
        self.advance()
        if body["fencingToken"] < self.highest_token:
            return self.reject("fence")
        self.highest_token = body["fencingToken"]
        self.extend_lease(body)
        seen = body["lastSeen"]
        self.ended_runs = [row for row in self.ended_runs if row[0] > seen]
        waiting = body.get("waitMs", 0) / 1000
        if waiting and not self.ended_runs:
            self.run_ended.clear()
            with suppress(TimeoutError):
                async with asyncio.timeout(waiting):
                    await self.run_ended.wait()
        rows = [[r.task, r.run, "", self.progress_percent(r)] for r in self.running.values()]
        return 200, {"running": rows, "ended": self.ended_runs[:500]}

    def progress_percent(self, record):
        """Return how much of a run is done."""
        if self.fault == "hang":
            return 0
        whole = max(0.001, record.ends_at - record.started_at)
        return min(99, int(100 * (self.clock.now() - record.started_at) / whole))

    def make_report(self):
        """Return the next report to the agent."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": "",
            "zone": "",
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldLeftMs": 0,
            "capacity": {"cpu": self.cpu, "memMb": self.memory_mb, "gpu": 0},
            "labels": ["a", "r1"],
            "born": self.lifetime + 1,
            "clockMs": self.clock_ms(),
            "seq": self.sequence,
        }


class WorkerServer:
    """Answers an agent's calls for a `StandInWorker`."""

    def __init__(self, worker):
        self.worker = worker
        self.delayed_starts = set()

    async def handle(self, request):
        """Answer one call."""
        worker = self.worker
        if not worker.is_up:
            request.transport.abort()
            return json_response(503, {})
        if request.headers.get("X-Expect-Instance", worker.id) != worker.id:
            return json_response(421, {})
        body = json.loads(await request.read())
        if request.path == "/hold":
            return self.answer(*await worker.renew_lease(body))
        if request.path == "/run-stop":
            return self.answer(*worker.stop(body))
        return await self.start(request, body)

    async def start(self, request, body):
        """Answer an order to start, subject to the worker's fault."""
        worker = self.worker
        if worker.fault == "shed":
            return json_response(503, {})
        if worker.fault == "late":
            task = asyncio.create_task(self.start_late(worker.id, body))
            self.delayed_starts.add(task)
            task.add_done_callback(self.delayed_starts.discard)
        if worker.fault == "mute":
            worker.start(body)
        if worker.fault in ("late", "mute"):
            await asyncio.sleep(MAX_START_DELAY_S)
            request.transport.abort()
            return json_response(503, {})
        return self.answer(*worker.start(body))

    async def start_late(self, worker_id, body):
        """Carry out an order seconds after it was sent, unless the lifetime has ended."""
        worker = self.worker
        await asyncio.sleep(worker.rng.uniform(MIN_START_DELAY_S, MAX_START_DELAY_S))
        if worker.is_up and worker.id == worker_id:
            worker.start(body, late=True)

    def answer(self, status, body):
        """Return a response with the worker's clock and birth."""
        worker = self.worker
        return json_response(
            status, {**body, "clockMs": worker.clock_ms(), "born": worker.lifetime + 1}
        )


async def keep_reporting(worker, agent, session):
    """Report to the agent for as long as the worker is up."""
    while True:
        if worker.is_up:
            await send_report(worker, agent, session)
        await asyncio.sleep(REPORT_INTERVAL_S * worker.rng.uniform(0.8, 1.2))


async def send_report(worker, agent, session):
    """Send one report; return whether it was acknowledged."""
    url, state = f"http://{agent}/instances/{worker.id}", worker.state
    try:
        async with asyncio.timeout(REPORT_TIMEOUT_S):
            async with session.put(url, json=worker.make_report()) as response:
                acknowledged = response.status == 200
    except (TimeoutError, OSError, aiohttp.ClientError) as error:
        log.debug("report not acknowledged", extra={"worker": worker.id, "reason": repr(error)})
        return False
    if acknowledged and state == "draining" and worker.drain_acked_at is None:
        worker.drain_acked_at = worker.clock.now()
    return acknowledged


async def keep_advancing(worker):
    """Let runs end in time."""
    while True:
        worker.advance()
        await asyncio.sleep(0.01)


@asynccontextmanager
async def run_standin_worker(worker, address, agent):
    """Serve a worker and report to its agent while the context is open.

    Parameters
    ----------
    worker : StandInWorker
    address : Address
        For the agent's calls.
    agent : Address
        For the worker's reports.
    """
    async with (
        aiohttp.ClientSession(cookie_jar=aiohttp.DummyCookieJar()) as session,
        run_server(WorkerServer(worker).handle, address),
    ):
        tasks = [
            asyncio.create_task(keep_reporting(worker, agent, session)),
            asyncio.create_task(keep_advancing(worker)),
        ]
        try:
            yield worker
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)


async def drain_and_restart(worker, agent, drain_s):
    """Drain a worker, end its lifetime as planned, and let the next one come.

    Parameters
    ----------
    worker : StandInWorker
    agent : Address
    drain_s : float
        Seconds from the report that it drains to its end.
    """
    async with aiohttp.ClientSession(cookie_jar=aiohttp.DummyCookieJar()) as session:
        worker.state = "draining"
        await send_report(worker, agent, session)
        await asyncio.sleep(drain_s)
        gone = worker.id
        worker.is_up = False
        with suppress(TimeoutError, OSError, aiohttp.ClientError):
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                async with session.delete(f"http://{agent}/instances/{gone}"):
                    pass
    worker.end_lifetime("left")
    await asyncio.sleep(RESTART_GAP_S)
    worker.is_up = True
