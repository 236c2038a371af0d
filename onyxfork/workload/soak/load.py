"""Callers, operators and the balancer of a soak."""

import asyncio
import json
from itertools import count
from random import Random

import aiohttp
from attrs import define, field

from onyxfork.platform.standin.calls import (
    CONFIGURATION_PATH,
    DEADLINE_HEADER,
    READY_PATH,
    encode_configuration,
    encode_job,
    job_path,
    make_invalid_configurations,
)
from onyxfork.workload.soak.checks import ConfigurationRecord, JobRecord

__all__ = ["JobKind", "KINDS", "Balancer", "Callers", "Operators", "HOST", "SERVICE"]

SERVICE = "meldingsbord"
HOST = "soak.example"
PATIENCE_S = 8.0
RESEND_S = 1.3
"""A caller whose connection broke sends its job again after this long."""

END_SLACK_S = 1.0
"""After the patience of the last callers, for their answers to be noted."""

CHECK_EVERY_S = 1.0
MISSES_OUT = 2
"""The platform's balancer checks each second; after two misses an entry gets no new connections."""

GIVE_UP_S = 0.1
"""Callers that leave do so within the slack of a short job."""

OPERATOR_TIMEOUT_S = 1.0
"""The platform's operators turn to another instance after a second."""

OPERATOR_TRIES = 8
READ_EVERY_S = 0.5
CHANGE_EVERY_S = 1.5
"""On average; a soak sees a few dozen configurations."""

STORM_CHANGES = 8
STORM_PAUSE_S = 0.1
STORM_EXTRA_QUEUES = 200
"""Together: several changes a second, each of tens of kilobytes."""


@define(frozen=True)
class JobKind:
    """Jobs of one queue, in the proportions of the users' sheets."""

    queue: str
    priority: int
    per_s: float
    tasks: int
    run_ms: int
    cpu: int = 3100

    def spec(self):
        """Return the spec of a job; the stand-in worker reads from it what a task needs."""
        return f"{self.cpu} {self.run_ms}"


KINDS = (
    JobKind("notice-check", 0, 2.9, 8, 120),
    JobKind("issue-proof", 2, 0.5, 4, 1800),
    JobKind("roll-lookup", 1, 8.4, 2, 400),
)


def task_cpu(spec):
    """Return the thousandths of a core that a task of some spec needs."""
    return int(spec.split()[0])


def task_run_s(spec, task):
    """Return how long a task runs in seconds: 0.7 to 1.3 of the usual, by its name."""
    return int(spec.split()[1]) / 1000 * (0.7 + 0.6 * Random(task).random())


@define(eq=False)
class Balancer:
    """Checks which entries are ready, and gives new connections to them."""

    addresses: dict
    rng: Random
    misses: dict = field(factory=dict)

    def pick(self, avoid=""):
        """Return the name of an entry for a new connection."""
        names = [name for name in self.addresses if self.misses.get(name, 0) < MISSES_OUT]
        names = [name for name in names if name != avoid] or list(self.addresses)
        return self.rng.choice(names)

    async def run(self, session, ready_addresses):
        """Check every entry each second."""
        while True:
            await asyncio.gather(
                *(self.check(session, name, at) for name, at in ready_addresses.items())
            )
            await asyncio.sleep(CHECK_EVERY_S)

    async def check(self, session, name, address):
        """Check one entry."""
        try:
            async with asyncio.timeout(CHECK_EVERY_S):
                async with session.get(f"http://{address}{READY_PATH}") as response:
                    ready = response.status == 200
        except (TimeoutError, OSError, aiohttp.ClientError):
            ready = False
        self.misses[name] = 0 if ready else self.misses.get(name, 0) + 1


@define(eq=False)
class Caller:
    """One caller's open connection."""

    session: aiohttp.ClientSession
    entry: str = ""


@define(eq=False)
class Callers:
    """Hands in jobs at random times; each caller keeps its connection until it breaks."""

    balancer: Balancer
    records: object
    clock: object
    rng: Random
    until: float = float("inf")
    rate: float = 1.0
    give_up_share: float = 0.0
    idle: list = field(factory=list)
    sessions: list = field(factory=list)
    pending: set = field(factory=set)
    numbers: count = field(factory=count)

    async def run(self):
        """Hand in jobs until the time at which to end, then wait for their ends."""
        total = sum(kind.per_s for kind in KINDS)
        while self.clock.now() < self.until:
            kind = self.rng.choices(KINDS, [kind.per_s for kind in KINDS])[0]
            task = asyncio.create_task(self.hand_in(kind))
            self.pending.add(task)
            task.add_done_callback(self.pending.discard)
            await asyncio.sleep(self.rng.expovariate(total * self.rate))
        if self.pending:
            await asyncio.wait(self.pending, timeout=PATIENCE_S + END_SLACK_S)
        for session in self.sessions:
            await session.close()

    def take_caller(self):
        """Return a caller whose connection is idle, or a new one."""
        if self.idle:
            return self.idle.pop()
        connector = aiohttp.TCPConnector(limit=1)
        session = aiohttp.ClientSession(connector=connector, cookie_jar=aiohttp.DummyCookieJar())
        self.sessions.append(session)
        return Caller(session)

    async def hand_in(self, kind):
        """Hand in one job, again when its connection breaks, until the caller's patience ends."""
        now = self.clock.now()
        job = JobRecord(f"{next(self.numbers):016x}", kind.spec(), kind.tasks, now)
        self.records.jobs[job.id] = job
        job.gave_up = self.rng.random() < self.give_up_share
        until = now + (GIVE_UP_S if job.gave_up else PATIENCE_S)
        caller = self.take_caller()
        while True:
            ended = await self.try_once(caller, kind, job, until)
            if ended or self.clock.now() + RESEND_S >= until:
                break
            caller.entry = self.balancer.pick(avoid=caller.entry)
            await asyncio.sleep(RESEND_S)
        job.ended_at = self.clock.now()
        self.idle.append(caller)

    async def try_once(self, caller, kind, job, until):
        """Send a job once; return whether that was its end."""
        caller.entry = caller.entry or self.balancer.pick()
        address = self.balancer.addresses[caller.entry]
        sent_at = self.clock.now()
        estimate_ms = kind.run_ms * self.rng.uniform(0.6, 1.5)
        body = encode_job(kind.spec(), kind.tasks, kind.cpu, 64, estimate_ms)
        headers = {"Host": HOST, DEADLINE_HEADER: str(int((until - sent_at) * 1000))}
        try:
            async with asyncio.timeout(max(0.01, until - sent_at)):
                async with caller.session.post(
                    f"http://{address}{job_path(kind.queue, job.id)}", data=body, headers=headers
                ) as response:
                    job.tries.append(str(response.status))
                    if response.status == 200:
                        job.state = json.loads(await response.read())["state"]
                    return response.status not in (502, 504)
        except TimeoutError:
            job.tries.append("timeout")
            return True
        except aiohttp.ClientConnectorError:
            job.tries.append("refused connection")
        except (OSError, ValueError, aiohttp.ClientError):
            job.tries.append("broken")
            job.broken_at.append((caller.entry, sent_at, self.clock.now()))
        return False


@define(eq=False)
class Operators:
    """Sends configurations, resends them until they are acknowledged, and reads them back."""

    addresses: list
    session: aiohttp.ClientSession
    records: object
    clock: object
    rng: Random
    versions: count = field(factory=lambda: count(1))

    async def run(self):
        """Change the configuration now and then, and read it back."""
        reading = asyncio.create_task(self.keep_reading())
        try:
            while True:
                await self.change()
                await asyncio.sleep(self.rng.uniform(0.5, 1.5) * CHANGE_EVERY_S)
        finally:
            reading.cancel()

    async def keep_reading(self):
        """Read the configuration back from any control instance."""
        while True:
            await self.read()
            await asyncio.sleep(READ_EVERY_S)

    async def change(self, extra_queues=0):
        """Send a new configuration until it is acknowledged."""
        version = next(self.versions)
        queues = {kind.queue: kind.priority for kind in KINDS}
        body = encode_configuration(version, SERVICE, queues, HOST, extra_queues)
        await self.put(version, body, valid=True)

    async def storm(self):
        """Send many large configurations in quick succession."""
        for _ in range(STORM_CHANGES):
            await self.change(STORM_EXTRA_QUEUES)
            await asyncio.sleep(STORM_PAUSE_S)

    async def race(self):
        """Send two configurations at the same time, to different instances."""
        await asyncio.gather(self.change(), self.change())

    async def send_invalid(self):
        """Send configurations that must be refused."""
        version = next(self.versions)
        queues = {kind.queue: kind.priority for kind in KINDS}
        sound = encode_configuration(version, SERVICE, queues, HOST)
        for body in make_invalid_configurations(sound):
            await self.put(version, body, valid=False)

    async def put(self, version, body, valid):
        """Send one configuration until there is a clear answer."""
        record = ConfigurationRecord(version, body, self.clock.now(), valid=valid)
        self.records.configurations.append(record)
        for _ in range(OPERATOR_TRIES):
            record.status = await self.call("PUT", body)
            if record.status == 200:
                record.acked_at = self.clock.now()
            if record.status in (200, 400):
                return
            await asyncio.sleep(0.1)

    async def call(self, method, body):
        """Call any control instance; return the status, 0 without an answer."""
        url = f"http://{self.rng.choice(self.addresses)}{CONFIGURATION_PATH}"
        try:
            async with asyncio.timeout(OPERATOR_TIMEOUT_S):
                async with self.session.request(method, url, data=body) as response:
                    await response.read()
                    return response.status
        except (TimeoutError, OSError, aiohttp.ClientError):
            return 0

    async def read(self):
        """Read the configuration back once."""
        sent_at = self.clock.now()
        url = f"http://{self.rng.choice(self.addresses)}{CONFIGURATION_PATH}"
        try:
            async with asyncio.timeout(OPERATOR_TIMEOUT_S):
                async with self.session.get(url) as response:
                    body = await response.read()
                    if response.status != 200:
                        return
        except (TimeoutError, OSError, aiohttp.ClientError):
            return
        version = json.loads(body)["version"]
        record = ConfigurationRecord(version, body, sent_at, status=200, read=True)
        self.records.configurations.append(record)
