"""Load of a soak: callers, operators and the load balancer in front of the entries."""

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
    evacuation_path,
    job_path,
    make_invalid_configurations,
)
from onyxfork.workload.soak.checks import ConfigurationRecord, JobRecord
from onyxfork.workload.soak.profiles import CRASHING, SoakProfile

__all__ = ["Balancer", "Callers", "Operators", "HOST", "SERVICE"]

SERVICE = "meldingsbord"
HOST = "soak.example"
RESEND_DELAY_S = 1.3
"""Delay after which a caller sends its job again if its connection failed or the outcome is
unknown."""

SENT_AGAIN = "timeout", "broken", "refused connection", "502", "504"
"""Outcomes of an attempt after which a caller sends its job again."""

ANSWER_GRACE_S = 1.0
"""Time after the timeout of the last callers in which their outcomes are recorded."""

READINESS_INTERVAL_S = 1.0
UNREADY_AFTER_MISSES = 2
"""The platform's balancer checks each second and gives an entry no new connections after two missed
checks."""

ABANDON_AFTER_S = 0.1
"""Timeout of a caller that abandons its job: within the slack of a short job, which is the time for
which its tasks may wait to be started."""

OPERATOR_TIMEOUT_S = 1.0
"""The platform's operators switch to another control instance after a second."""

OPERATOR_ATTEMPTS = 8

EVACUATION_ATTEMPTS_S = 20.0
"""How long a request to evacuate or restore a zone is repeated. Control has no quorum during some
faults, but has one again within 12 s of their end."""

READ_INTERVAL_S = 0.5
MEAN_CHANGE_INTERVAL_S = 1.5
"""Mean time between two changes of the configuration, so that a soak sends a few dozen."""

STORM_CHANGES = 8
STORM_PAUSE_S = 0.1
STORM_EXTRA_QUEUES = 200
"""A storm sends `STORM_CHANGES` configurations, several a second; the extra queues make each tens
of kilobytes long."""


def task_crashes(spec, task):
    """Return whether a task crashes its worker: the first one of a job that is marked for it."""
    return spec.endswith(CRASHING) and task.endswith(".0")


def task_cpu(spec):
    """Return the thousandths of a core that a task with this spec needs."""
    return int(spec.split()[0])


def task_run_s(spec, task):
    """Return the run time of a task in seconds: 0.7 to 1.3 times the usual, by its name."""
    return int(spec.split()[1]) / 1000 * (0.7 + 0.6 * Random(task).random())


@define(eq=False)
class Balancer:
    """Load balancer: checks which entries are ready and assigns new connections to these.

    Parameters
    ----------
    addresses : dict of str to Address
        Where each entry listens for callers.
    missed_checks : dict of str to int
        Number of successive readiness checks that each entry failed or left unanswered.
    """

    addresses: dict
    rng: Random
    missed_checks: dict = field(factory=dict)

    def choose_entry(self, avoid=""):
        """Return a ready entry other than `avoid`, or any entry if there is none."""
        names = [
            name
            for name in self.addresses
            if self.missed_checks.get(name, 0) < UNREADY_AFTER_MISSES
        ]
        names = [name for name in names if name != avoid] or list(self.addresses)
        return self.rng.choice(names)

    async def run(self, session, ready_addresses):
        """Check every entry once a second."""
        while True:
            await asyncio.gather(
                *(
                    self.check_entry(session, name, address)
                    for name, address in ready_addresses.items()
                )
            )
            await asyncio.sleep(READINESS_INTERVAL_S)

    async def check_entry(self, session, name, address):
        """Check one entry and update its number of missed checks."""
        try:
            async with asyncio.timeout(READINESS_INTERVAL_S):
                async with session.get(f"http://{address}{READY_PATH}") as response:
                    ready = response.status == 200
        except (TimeoutError, OSError, aiohttp.ClientError):
            ready = False
        self.missed_checks[name] = 0 if ready else self.missed_checks.get(name, 0) + 1


@define(eq=False)
class Caller:
    """A caller's HTTP session, limited to one connection, and the entry that it connects to."""

    session: aiohttp.ClientSession
    entry: str = ""


@define(eq=False)
class Callers:
    """Callers that submit jobs at random times and keep their connections until these break.

    Parameters
    ----------
    records : SoakRecords
    profile : SoakProfile
    stop_at : float
        When to stop submitting jobs.
    rate_factor : float
        Factor of the usual rate of jobs.
    abandoned_share : float
        Share of jobs whose caller disconnects after `ABANDON_AFTER_S`.
    crashing_share : float
        Share of jobs that are marked with `CRASHING`.
    idle_callers : list of Caller
        Callers without a job, to be reused.
    pending : set of asyncio.Task
        Jobs in progress.
    requests : dict of asyncio.Task to str
        Requests in progress, each with its entry.
    """

    balancer: Balancer
    records: object
    clock: object
    rng: Random
    profile: SoakProfile = field(factory=SoakProfile.small)
    stop_at: float = float("inf")
    rate_factor: float = 1.0
    abandoned_share: float = 0.0
    crashing_share: float = 0.0
    idle_callers: list = field(factory=list)
    sessions: list = field(factory=list)
    pending: set = field(factory=set)
    requests: dict = field(factory=dict)
    job_numbers: count = field(factory=count)

    async def run(self):
        """Submit jobs until `stop_at`, then wait for their outcomes."""
        kinds = self.profile.kinds
        total_per_s = sum(kind.jobs_per_s for kind in kinds)
        while self.clock.now() < self.stop_at:
            kind = self.rng.choices(kinds, [kind.jobs_per_s for kind in kinds])[0]
            task = asyncio.create_task(self.submit(kind))
            self.pending.add(task)
            task.add_done_callback(self.pending.discard)
            await asyncio.sleep(self.rng.expovariate(total_per_s * self.rate_factor))
        if self.pending:
            longest_s = max(kind.timeout_s for kind in kinds) * (self.profile.max_attempts or 1)
            await asyncio.wait(self.pending, timeout=longest_s + ANSWER_GRACE_S)
        for session in self.sessions:
            await session.close()

    def acquire_caller(self):
        """Return a caller whose connection is idle, or a new one."""
        if self.idle_callers:
            return self.idle_callers.pop()
        connector = aiohttp.TCPConnector(limit=1)
        session = aiohttp.ClientSession(connector=connector, cookie_jar=aiohttp.DummyCookieJar())
        self.sessions.append(session)
        return Caller(session)

    async def submit(self, kind):
        """Submit one job, and again after a failed connection, 502 or 504.

        Callers whose profile bounds the number of attempts also send the job again after a timeout,
        with a new timeout; others send it until the timeout of the first attempt.
        """
        now = self.clock.now()
        spec = kind.spec(self.crashing_share > 0 and self.rng.random() < self.crashing_share)
        job = JobRecord(f"{next(self.job_numbers):016x}", spec, kind.tasks, now)
        self.records.jobs[job.id] = job
        job.is_abandoned = self.rng.random() < self.abandoned_share
        deadline = now + (ABANDON_AFTER_S if job.is_abandoned else kind.timeout_s)
        caller = self.acquire_caller()
        while True:
            is_finished = await self.submit_once(caller, kind, job, deadline)
            if is_finished or not self.sends_again(job, deadline):
                break
            caller.entry = self.balancer.choose_entry(avoid=caller.entry)
            await asyncio.sleep(RESEND_DELAY_S)
            if self.profile.max_attempts is not None:
                deadline = self.clock.now() + kind.timeout_s
        job.ended_at = self.clock.now()
        self.idle_callers.append(caller)

    async def submit_impatiently(self, entry, timeout_s):
        """Submit one job to an entry, and after a timeout to another one.

        Parameters
        ----------
        entry : str
        timeout_s : float
            Timeout at that entry; the other one has the usual time.
        """
        kind = max(self.profile.kinds, key=lambda kind: kind.run_ms)
        now = self.clock.now()
        job = JobRecord(f"{next(self.job_numbers):016x}", kind.spec(), kind.tasks, now)
        self.records.jobs[job.id] = job
        caller = self.acquire_caller()
        caller.entry = entry
        await self.submit_once(caller, kind, job, now + timeout_s)
        if job.attempts[-1] in SENT_AGAIN:
            caller.entry = self.balancer.choose_entry(avoid=entry)
            await asyncio.sleep(RESEND_DELAY_S)
            await self.submit_once(caller, kind, job, self.clock.now() + kind.timeout_s)
        job.ended_at = self.clock.now()
        self.idle_callers.append(caller)

    def reset_connections(self, entry):
        """Reset the connections on which requests to an entry are in progress."""
        for request, name in list(self.requests.items()):
            if name == entry:
                request.cancel()

    def sends_again(self, job, deadline):
        """Return whether a caller sends a job again after an attempt without an answer."""
        if self.profile.max_attempts is None:
            return self.clock.now() + RESEND_DELAY_S < deadline
        return not job.is_abandoned and len(job.attempts) < self.profile.max_attempts

    async def submit_once(self, caller, kind, job, deadline):
        """Send a job once; return whether no further attempt is needed."""
        caller.entry = caller.entry or self.balancer.choose_entry()
        address = self.balancer.addresses[caller.entry]
        sent_at = self.clock.now()
        estimate_ms = kind.run_ms * self.rng.uniform(0.6, 1.5)
        body = encode_job(job.spec, kind.tasks, kind.cpu, 64, estimate_ms)
        headers = {"Host": HOST, DEADLINE_HEADER: str(int((deadline - sent_at) * 1000))}
        url = f"http://{address}{job_path(kind.queue, job.id)}"
        request = asyncio.create_task(self.post(caller, url, body, headers, job))
        self.requests[request] = caller.entry
        try:
            async with asyncio.timeout(max(0.01, deadline - sent_at)):
                return await request not in (502, 504)
        except TimeoutError:
            job.attempts.append("timeout")
            return self.profile.max_attempts is None
        except aiohttp.ClientConnectorError:
            job.attempts.append("refused connection")
        except (OSError, ValueError, aiohttp.ClientError, asyncio.CancelledError):
            if asyncio.current_task().cancelling():
                raise
            job.attempts.append("broken")
            job.broken_attempts.append((caller.entry, sent_at, self.clock.now()))
        finally:
            del self.requests[request]
            job.sends.append((caller.entry, sent_at, self.clock.now()))
        return False

    async def post(self, caller, url, body, headers, job):
        """Send a job and record the response; return its status."""
        async with caller.session.post(url, data=body, headers=headers) as response:
            job.attempts.append(str(response.status))
            if response.status == 200:
                job.state = json.loads(await response.read())["state"]
            return response.status


@define(eq=False)
class Operators:
    """Operators that send configurations until they are acknowledged, and read them back.

    Parameters
    ----------
    addresses : list of Address
        HTTP addresses of the control instances.
    records : SoakRecords
    kinds : tuple of JobKind
        Their queues are configured.
    versions : itertools.count
        Numbers of the configurations to come.
    """

    addresses: list
    session: aiohttp.ClientSession
    records: object
    clock: object
    rng: Random
    kinds: tuple = field(factory=lambda: SoakProfile.small().kinds)
    versions: count = field(factory=lambda: count(1))

    async def run(self):
        """Change the configuration at random intervals while another task reads it back."""
        read_task = asyncio.create_task(self.keep_reading())
        try:
            while True:
                await self.change_configuration()
                await asyncio.sleep(self.rng.uniform(0.5, 1.5) * MEAN_CHANGE_INTERVAL_S)
        finally:
            read_task.cancel()

    async def keep_reading(self):
        """Read the configuration back at regular intervals."""
        while True:
            await self.read_configuration()
            await asyncio.sleep(READ_INTERVAL_S)

    async def change_configuration(self, extra_queues=0):
        """Send a new configuration until it is acknowledged."""
        version = next(self.versions)
        queues = {kind.queue: kind.priority for kind in self.kinds}
        body = encode_configuration(version, SERVICE, queues, HOST, extra_queues)
        await self.put_configuration(version, body, valid=True)

    async def send_storm(self):
        """Send many large configurations in quick succession."""
        for _ in range(STORM_CHANGES):
            await self.change_configuration(STORM_EXTRA_QUEUES)
            await asyncio.sleep(STORM_PAUSE_S)

    async def send_concurrently(self):
        """Send two configurations at the same time, each to a random control instance."""
        await asyncio.gather(self.change_configuration(), self.change_configuration())

    async def send_invalid(self):
        """Send configurations that must be refused."""
        version = next(self.versions)
        queues = {kind.queue: kind.priority for kind in self.kinds}
        valid_body = encode_configuration(version, SERVICE, queues, HOST)
        for body in make_invalid_configurations(valid_body):
            await self.put_configuration(version, body, valid=False)

    async def set_evacuation(self, method, zone):
        """Evacuate (POST) or restore (DELETE) a zone; return when that was acknowledged, or None.

        The request is repeated for `EVACUATION_ATTEMPTS_S`.
        """
        deadline = self.clock.now() + EVACUATION_ATTEMPTS_S
        while self.clock.now() < deadline:
            if await self.send_request(method, None, evacuation_path(zone)) == 200:
                return self.clock.now()
            await asyncio.sleep(0.1)
        return None

    async def put_configuration(self, version, body, valid):
        """Send one configuration until it is acknowledged or refused, or no attempt is left."""
        record = ConfigurationRecord(version, body, self.clock.now(), valid=valid)
        self.records.configurations.append(record)
        for _ in range(OPERATOR_ATTEMPTS):
            record.status = await self.send_request("PUT", body)
            if record.status == 200:
                record.acked_at = self.clock.now()
            if record.status in (200, 400):
                return
            await asyncio.sleep(0.1)

    async def send_request(self, method, body, path=CONFIGURATION_PATH):
        """Send a request to a random control instance; return the status, 0 without a response."""
        url = f"http://{self.rng.choice(self.addresses)}{path}"
        try:
            async with asyncio.timeout(OPERATOR_TIMEOUT_S):
                async with self.session.request(method, url, data=body) as response:
                    await response.read()
                    return response.status
        except (TimeoutError, OSError, aiohttp.ClientError):
            return 0

    async def read_configuration(self):
        """Read the configuration back once and record it."""
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
        record = ConfigurationRecord(version, body, sent_at, status=200, is_read=True)
        self.records.configurations.append(record)
