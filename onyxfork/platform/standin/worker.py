"""Stand-in for one of the platform's workers: runs, lease, fencing token and lists of runs.

`StandInWorker` is the state, without any input or output; `run_standin_worker` serves it over HTTP
and sends its reports to the agent.
"""

import asyncio
import json
import logging
from contextlib import asynccontextmanager, suppress
from random import Random

import aiohttp
from attrs import define, field

from onyxfork.platform.http import json_response, run_server
from onyxfork.platform.standin.calls import make_odd_report

__all__ = ["RunRecord", "StandInWorker", "run_standin_worker", "send_odd_reports"]

log = logging.getLogger(__name__)

MAX_LEASE_S = 1.0
"""Upper bound on a lease, equal to ``holdMaxMs`` of the users' deployments."""

REPORT_INTERVAL_S = 0.5
"""A third of the users' ``heartbeatMs``: a worker that has restarted reports sooner, so that a
short soak contains as many such returns as a longer run with the users' interval."""

REPORT_TIMEOUT_S = 1.0
"""How long a worker waits for its report to be acknowledged, as on the platform."""

RESTART_GAP_S = 0.3
"""Time from the end of one lifetime to the first report of the next."""

CRASH_DELAY_S, CRASH_RETURN_S = 0.01, 1.5
"""Time from the start of a task that crashes the worker to the crash, as on the platform, and from
there to the worker's return, half of the platform's."""

MIN_START_DELAY_S, MAX_START_DELAY_S = 0.5, 3.0
"""How long after its arrival an unanswered order to start is carried out: 2 to 12 s on the
platform, shorter here so that it happens while the job is still in progress."""

MIN_LATE_ORDER_S, MAX_LATE_ORDER_S = 2.0, 12.0
"""How long after its arrival one of a share of orders that stay unanswered is carried out, as on
the platform."""


@define(slots=True)
class RunRecord:
    """One run at the worker; times are in seconds of the soak's clock.

    Parameters
    ----------
    worker : str
        Name of the worker's lifetime.
    job, task : str
        Identifier of the job, and name of the task.
    run : int
        Number of the run among those of the task.
    started_late : bool
        Whether the order was carried out after a delay, without a response.
    ends_at : float
        When the run ends if it is not stopped.
    ended_at : float or None
    outcome : str
        ``done``, ``failed``, ``stopped``, ``lapsed`` (the lease expired), ``crashed`` or ``left``
        (the worker's lifetime ended by a fault, or as planned); empty while the run is in progress.
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

    It covers all lifetimes of the worker: a restart clears the runs, the lease and the fencing
    token.

    Parameters
    ----------
    name, service : str
    cpu, memory_mb : int
    run_s : callable
        Takes the spec and name of a task; returns how long it runs, in seconds.
    task_cpu : callable
        Takes the spec of a task; returns the thousandths of a core that it needs.
    clock : Clock
        Time in seconds; also the worker's own clock.
    rng : Random
        For jitter and delays.
    journal : list of RunRecord
        All runs of all lifetimes.
    fault : str
        ``fail`` (runs fail), ``hang`` (runs make no progress and end only when stopped or with the
        lease), ``late`` (orders to start get no response and are carried out after a delay),
        ``mute`` (orders to start are carried out at once and get no response), ``shed`` (orders to
        start are refused) or empty.
    unanswered_share : float
        Share of the orders to start and to stop that get no response and are carried out late.
    keeps_id : bool
        Whether all lifetimes have the same identifier.
    address : Address or None
        Where the worker is served.
    guards_capacity : bool
        Whether orders to start that do not fit are refused.
    crashes_on : callable
        Takes the spec and name of a task; returns whether it crashes the worker.
    capacities : list of (float, int)
        Every change of `cpu`: when, and the new value.
    speed : float
        Divides the run time of tasks: 0.5 makes them run twice as long.
    lifetime : int
        Number of the present lifetime, from 0.
    sequence : int
        Number of the latest report.
    state : str
        ``ready`` or ``draining``.
    is_up : bool
        Whether the worker responds and sends reports.
    is_cut_off : bool
        Whether nothing passes between the worker and its agent.
    cut_ended : asyncio.Event
        Set when nothing is cut off.
    drain_acked_at : float or None
        When the agent acknowledged that the worker is draining.
    running : dict
        `RunRecord` by task name.
    ended_runs : list
        Rows of ended runs that the agent has not acknowledged.
    last_end : int
        Number of the latest row of `ended_runs`.
    highest_runs : dict
        By task name, the highest run that has ended or was ordered to stop.
    highest_token : int
        Highest fencing token received; orders with a lower one are rejected.
    lease_until : float
        When the lease of all runs expires.
    run_ended : asyncio.Event
        Set when a run ends, to answer a waiting lease renewal.
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
    unanswered_share: float = 0.0
    keeps_id: bool = False
    address: object = None
    guards_capacity: bool = True
    crashes_on: object = field(default=lambda spec, task: False)
    capacities: list = field(factory=list)
    speed: float = 1.0
    lifetime: int = 0
    sequence: int = 0
    state: str = "ready"
    is_up: bool = True
    is_cut_off: bool = False
    cut_ended: asyncio.Event = field(factory=asyncio.Event)
    drain_acked_at: float | None = None
    running: dict = field(factory=dict)
    ended_runs: list = field(factory=list)
    last_end: int = 0
    highest_runs: dict = field(factory=dict)
    highest_token: int = 0
    lease_until: float = 0.0
    run_ended: asyncio.Event = field(factory=asyncio.Event)

    @property
    def lifetime_name(self):
        """Name of the present lifetime, which no other one has."""
        return f"i-{self.name}-{self.lifetime}"

    @property
    def id(self):
        """Identifier of the present lifetime in reports and calls."""
        return f"i-{self.name}" if self.keeps_id else self.lifetime_name

    def clock_ms(self):
        """Return the time of the worker's own clock in milliseconds."""
        return int(self.clock.now() * 1000)

    def end_lifetime(self, outcome="crashed"):
        """End all runs and begin the next lifetime, without runs, lease and fencing token."""
        for record in self.running.values():
            record.ended_at, record.outcome = self.clock.now(), outcome
        self.running, self.ended_runs, self.highest_runs = {}, [], {}
        self.last_end = self.highest_token = self.sequence = 0
        self.lease_until = 0.0
        self.lifetime += 1
        self.state, self.drain_acked_at, self.fault = "ready", None, ""
        self.run_ended.set()

    def advance(self):
        """End the runs that are due, and all remaining ones if the lease has expired."""
        now = self.clock.now()
        for task, record in list(self.running.items()):
            if now >= record.ends_at and self.fault != "hang":
                self.end_run(task, "failed" if self.fault == "fail" else "done")
        if self.running and now >= self.lease_until:
            for task in list(self.running):
                self.end_run(task, "lapsed")

    def end_run(self, task, outcome):
        """End a run and add it to the list of ended runs."""
        record = self.running.pop(task)
        record.ended_at, record.outcome = self.clock.now(), outcome
        self.highest_runs[task] = max(record.run, self.highest_runs.get(task, 0))
        self.last_end += 1
        self.ended_runs.append([self.last_end, task, record.run, outcome, ""])
        self.run_ended.set()

    def extend_lease(self, body):
        """Extend the lease of all runs, at most to `MAX_LEASE_S` from now."""
        requested_until = body.get("untilMs", 0) / 1000
        self.lease_until = max(
            self.lease_until, min(requested_until, self.clock.now() + MAX_LEASE_S)
        )

    def start(self, body, started_late=False):
        """Carry out an order to start; return the status and body of the response.

        Repeating the order for a run in progress is idempotent. `REJECTION_REASONS` of
        `onyxfork.platform.workers` explains the reasons for rejecting an order.
        """
        self.advance()
        task, run = body["task"], body["run"]
        if body["fencingToken"] < self.highest_token:
            return self.reject("fence")
        self.highest_token = body["fencingToken"]
        self.extend_lease(body)
        current = self.running.get(task)
        if current is not None and current.run == run:
            return 200, {}
        if run <= self.highest_runs.get(task, 0) or current is not None:
            return self.reject("old")
        if body["untilMs"] / 1000 <= self.clock.now():
            return self.reject("late")
        needed_cpu = self.task_cpu(body["spec"])
        cpu_used = sum(self.task_cpu(record.spec) for record in self.running.values())
        if self.guards_capacity and needed_cpu + cpu_used > self.cpu:
            return self.reject("room")
        now = self.clock.now()
        record = RunRecord(
            self.lifetime_name, task.split(".")[0], task, run, body["spec"], now, started_late
        )
        record.ends_at = now + self.run_s(body["spec"], task) / self.speed
        self.running[task] = record
        self.journal.append(record)
        return 200, {}

    @staticmethod
    def reject(reason):
        """Return the status and body of the response to a rejected order."""
        return 409, {"reason": reason}

    def stop(self, body):
        """Carry out an order to stop; return the status and body of the response.

        Later orders to start this run or an earlier one of the task are rejected.
        """
        self.advance()
        task, run = body["task"], body["run"]
        if body["fencingToken"] < self.highest_token:
            return self.reject("fence")
        self.highest_token = body["fencingToken"]
        current = self.running.get(task)
        if current is not None and current.run <= run:
            self.end_run(task, "stopped")
        self.highest_runs[task] = max(run, self.highest_runs.get(task, 0))
        return 200, {}

    async def renew_lease(self, body):
        """Renew the lease; return the status and body of the response, which lists the runs.

        ``lastSeen`` acknowledges ended runs, which are dropped from the list. If none is left, wait
        up to ``waitMs`` for a run to end.
        """
        self.advance()
        if body["fencingToken"] < self.highest_token:
            return self.reject("fence")
        self.highest_token = body["fencingToken"]
        self.extend_lease(body)
        last_seen = body["lastSeen"]
        self.ended_runs = [row for row in self.ended_runs if row[0] > last_seen]
        wait_s = body.get("waitMs", 0) / 1000
        if wait_s and not self.ended_runs:
            self.run_ended.clear()
            with suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self.run_ended.wait()
        rows = [[r.task, r.run, "", self.progress_percent(r)] for r in self.running.values()]
        return 200, {"running": rows, "ended": self.ended_runs[:500]}

    def set_capacity(self, cpu):
        """Change the capacity; runs in progress continue."""
        self.cpu = cpu
        self.capacities.append((self.clock.now(), cpu))

    def progress_percent(self, record):
        """Return the progress of a run in percent; it reaches 100 only at the end of the run."""
        if self.fault == "hang":
            return 0
        duration_s = max(0.001, record.ends_at - record.started_at)
        return min(99, int(100 * (self.clock.now() - record.started_at) / duration_s))

    def make_report(self):
        """Return the body of the next report to the agent."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": str(self.address),
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
    """Handles an agent's HTTP requests to a `StandInWorker`."""

    def __init__(self, worker):
        self.worker = worker
        self.background_tasks = set()

    async def handle(self, request):
        """Respond to one request; reset its connection if it is not answered in this lifetime."""
        worker = self.worker
        lifetime, response = worker.lifetime, None
        if worker.is_up and not worker.is_cut_off:
            response = await self.handle_in_lifetime(request)
        if worker.is_cut_off:
            await worker.cut_ended.wait()
        if response is None or not worker.is_up or worker.lifetime != lifetime:
            request.transport.abort()
            return json_response(503, {})
        return response

    async def handle_in_lifetime(self, request):
        """Respond to one request."""
        worker = self.worker
        if request.headers.get("X-Expect-Instance", worker.id) != worker.id:
            return json_response(421, {})
        body = json.loads(request.body)
        if request.path == "/hold":
            return self.answer(*await worker.renew_lease(body))
        if worker.unanswered_share and worker.rng.random() < worker.unanswered_share:
            delay_s = worker.rng.uniform(MIN_LATE_ORDER_S, MAX_LATE_ORDER_S)
            self.spawn(self.carry_out_late(worker.id, request.path, body, delay_s))
            return await self.leave_unanswered(request)
        if request.path == "/run-stop":
            return self.answer(*worker.stop(body))
        return await self.start(request, body)

    async def leave_unanswered(self, request):
        """Reset the connection of a request once its sender has given it up."""
        await asyncio.sleep(MAX_START_DELAY_S)
        request.transport.abort()
        return json_response(503, {})

    async def start(self, request, body):
        """Respond to an order to start, or leave it unanswered, depending on the worker's fault."""
        worker = self.worker
        if worker.fault == "shed":
            return json_response(503, {})
        if worker.fault == "late":
            delay_s = worker.rng.uniform(MIN_START_DELAY_S, MAX_START_DELAY_S)
            self.spawn(self.carry_out_late(worker.id, request.path, body, delay_s))
        if worker.fault == "mute":
            worker.start(body)
        if worker.fault in ("late", "mute"):
            return await self.leave_unanswered(request)
        status, response = worker.start(body)
        if status == 200 and worker.crashes_on(body["spec"], body["task"]):
            self.spawn(self.crash(worker.lifetime))
        return self.answer(status, response)

    def spawn(self, coroutine):
        """Run a coroutine in the background."""
        task = asyncio.create_task(coroutine)
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)

    async def crash(self, lifetime):
        """Crash the worker soon, unless its lifetime ends before; it returns after a while."""
        worker = self.worker
        await asyncio.sleep(CRASH_DELAY_S)
        if worker.is_up and worker.lifetime == lifetime:
            worker.is_up = False
            worker.end_lifetime()
            await asyncio.sleep(CRASH_RETURN_S)
            worker.is_up = True

    async def carry_out_late(self, worker_id, path, body, delay_s):
        """Carry out an order after a delay, if its worker's identifier is still in use.

        Another lifetime with the same identifier carries it out, too.
        """
        worker = self.worker
        await asyncio.sleep(delay_s)
        if not worker.is_up or worker.id != worker_id:
            return
        if path == "/run-stop":
            worker.stop(body)
        else:
            worker.start(body, started_late=True)

    def answer(self, status, body):
        """Return a response with the worker's clock and ``born``, which rises each lifetime."""
        worker = self.worker
        return json_response(
            status, {**body, "clockMs": worker.clock_ms(), "born": worker.lifetime + 1}
        )


async def keep_reporting(worker, agent, session):
    """Report to the agent at regular intervals, with jitter, while the worker is up."""
    while True:
        if worker.is_up and not worker.is_cut_off:
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
    """End runs when they are due."""
    while True:
        worker.advance()
        await asyncio.sleep(0.01)


@asynccontextmanager
async def run_standin_worker(worker, address, agent):
    """Serve a worker over HTTP and report to its agent while the context is open.

    Parameters
    ----------
    worker : StandInWorker
    address : Address
        Where the worker listens for the agent.
    agent : Address
        Where the agent listens for reports.
    """
    worker.address = address
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


async def send_odd_reports(worker, agent, count):
    """Send reports of another writer; return the statuses of the responses.

    Half of them have the worker's identifier.

    Parameters
    ----------
    worker : StandInWorker
    agent : Address
        Where the agent listens for reports.
    count : int
    """
    report = {**worker.make_report(), "seq": worker.sequence}
    statuses = []
    async with aiohttp.ClientSession(cookie_jar=aiohttp.DummyCookieJar()) as session:
        for number in range(count):
            url = f"http://{agent}/instances/{worker.id if number % 2 else 'i-other'}"
            with suppress(TimeoutError, OSError, aiohttp.ClientError):
                async with asyncio.timeout(REPORT_TIMEOUT_S):
                    body = make_odd_report(worker.rng, report)
                    async with session.put(url, data=body) as response:
                        statuses.append(response.status)
    return statuses


async def drain_and_restart(worker, agent, drain_s):
    """Drain a worker, end its lifetime as planned, and begin the next one.

    Parameters
    ----------
    worker : StandInWorker
    agent : Address
        Where the agent listens for reports.
    drain_s : float
        Time from the response to the report of draining, or from its timeout, to the end of the
        lifetime.
    """
    async with aiohttp.ClientSession(cookie_jar=aiohttp.DummyCookieJar()) as session:
        worker.state = "draining"
        await send_report(worker, agent, session)
        await asyncio.sleep(drain_s)
        worker_id = worker.id
        worker.is_up = False
        with suppress(TimeoutError, OSError, aiohttp.ClientError):
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                async with session.delete(f"http://{agent}/instances/{worker_id}"):
                    pass
    worker.end_lifetime("left")
    await asyncio.sleep(RESTART_GAP_S)
    worker.is_up = True
