"""A system of one control instance, one agent with its worker and one entry, as processes."""

import asyncio
import os
import signal
from contextlib import asynccontextmanager, suppress
from random import Random

import aiohttp
from attrs import define

from onyxfork.addresses import Address
from onyxfork.platform.settings import SETTINGS_VARIABLE
from onyxfork.platform.standin.calls import (
    CONFIGURATION_PATH,
    DEADLINE_HEADER,
    READY_PATH,
    agent_settings,
    control_settings,
    encode_configuration,
    encode_job,
    entry_settings,
    job_path,
    machine_limits,
    node_settings,
)
from onyxfork.platform.standin.worker import StandInWorker, run_standin_worker
from onyxfork.utils import clock_for
from onyxfork.workload.processes import ManagedProcess, kill_processes

__all__ = ["HOST", "QUEUE", "WORKER_CPU", "ProcessUsage", "SmallSystem", "run_small_system"]

HOST, QUEUE, SERVICE = "h.example", "notice-check", "desk"
PORTS = (7720, 7725)
CALLERS_PORT, READY_PORT, REPORTS_PORT, WORKER_PORT, METRICS_PORT = 8161, 8167, 8166, 8168, 9464
WORKER_CPU = 32000
ROLES = ("control", "agent", "entry")
RUN_S = 0.05
SAMPLE_INTERVAL_S = 0.02
GUARD_S = 60.0
"""Longest wait for what has to happen at all."""


@define
class ProcessUsage:
    """Highest use of a process's resources that was seen.

    Parameters
    ----------
    memory_mb : float
        Resident memory and bytes that have arrived at the process's sockets but are unread.
    descriptors : int
    """

    memory_mb: float = 0.0
    descriptors: int = 0


def read_resident_mb(pid):
    """Return the resident memory of a process."""
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        rows = dict(line.split(":", 1) for line in status)
    return int(rows["VmRSS"].split()[0]) / 1024


def read_unread_mb(host):
    """Return the bytes that have arrived at the sockets of an IPv4 address and are unread."""
    prefix = bytes(map(int, host.split(".")))[::-1].hex().upper() + ":"
    total = 0
    with open("/proc/net/tcp", encoding="ascii") as table:
        for line in list(table)[1:]:
            _, local, _, state, queues = line.split()[:5]
            # State 0A is that of a listening socket, whose queue counts connections.
            if local.startswith(prefix) and state != "0A":
                total += int(queues.partition(":")[2], 16)
    return total / 2**20


class SmallSystem:
    """Processes of a small system.

    Parameters
    ----------
    folder : pathlib.Path
    limits : dict of str to dict
        Limits of the machine by role.
    grace_s : float
    """

    def __init__(self, folder, limits, grace_s):
        network = os.getpid() % 250 + 1
        self.hosts = {role: f"127.21.{network}.{n}" for n, role in enumerate(ROLES, 1)}
        self.folder = folder
        self.limits = limits
        self.grace_s = grace_s
        self.processes = {role: self.make_process(role) for role in ROLES}
        self.job_count = 0

    def address(self, role, port):
        """Return an address of a role."""
        return Address(self.hosts[role], port)

    @property
    def callers(self):
        """The address at which the entry listens for callers."""
        return self.address("entry", CALLERS_PORT)

    def make_process(self, role):
        """Write the settings of a role; return its process, which is not started."""
        control = [str(self.address("control", REPORTS_PORT))]
        fields = node_settings(role, "a", self.hosts[role], PORTS, control, True)
        reports, limits = self.address(role, REPORTS_PORT), self.limits.get(role)
        if role == "entry":
            ready = self.address(role, READY_PORT)
            text = entry_settings(fields, self.callers, ready, self.grace_s, limits)
        elif role == "agent":
            worker = self.address(role, WORKER_PORT)
            text = agent_settings(fields, reports, worker, SERVICE, self.grace_s, limits)
        else:
            data = self.folder / "data"
            text = control_settings(fields, reports, data, self.grace_s, 0, limits=limits)
        path = self.folder / f"{role}.toml"
        path.write_text(text)
        return ManagedProcess(
            role,
            [role],
            self.folder / f"{role}.log",
            module="onyxfork.platform",
            environment={SETTINGS_VARIABLE: str(path)},
        )

    def make_worker(self):
        """Return the stand-in worker."""
        return StandInWorker(
            "i-1",
            SERVICE,
            WORKER_CPU,
            64000,
            lambda *_: RUN_S,
            lambda _: 1000,
            clock_for(""),
            Random(1),
        )

    async def set_up(self, session):
        """Send the configuration and wait until the entry is ready."""
        body = encode_configuration(1, SERVICE, {QUEUE: 0}, HOST)
        url = f"http://{self.address('control', REPORTS_PORT)}{CONFIGURATION_PATH}"
        await repeat_until_ok(lambda: session.put(url, data=body))
        ready = f"http://{self.address('entry', READY_PORT)}{READY_PATH}"
        await repeat_until_ok(lambda: session.get(ready))

    async def run_job(self, session, body=None):
        """Send an ordinary job until it is answered with 200, as its caller would."""
        self.job_count += 1
        url = f"http://{self.callers}{job_path(QUEUE, f'{self.job_count:016x}')}"
        headers = {"Host": HOST, DEADLINE_HEADER: "5000"}
        body = body or encode_job("3100 50", 1, 1000, 64, RUN_S * 1000)
        await repeat_until_ok(lambda: session.post(url, data=body, headers=headers))

    async def sample(self, role, usage):
        """Record the highest use of a process's resources until cancelled."""
        pid = self.processes[role].process.pid
        while True:
            with suppress(FileNotFoundError, KeyError):
                memory_mb = read_resident_mb(pid) + read_unread_mb(self.hosts[role])
                usage.memory_mb = max(usage.memory_mb, memory_mb)
                usage.descriptors = max(usage.descriptors, len(os.listdir(f"/proc/{pid}/fd")))
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    @asynccontextmanager
    async def sampled(self, role):
        """Yield a `ProcessUsage` that is kept up to date while the context is open."""
        usage = ProcessUsage()
        sampler = asyncio.create_task(self.sample(role, usage))
        try:
            yield usage
        finally:
            sampler.cancel()

    async def stop(self, role):
        """Send SIGTERM, and SIGKILL after twice the grace period; return the exit status."""
        process = self.processes[role]
        process.signal(signal.SIGTERM)
        with suppress(TimeoutError):
            async with asyncio.timeout(2 * self.grace_s):
                while process.is_running:
                    await asyncio.sleep(SAMPLE_INTERVAL_S)
        process.kill()
        return process.process.returncode


async def repeat_until_ok(send):
    """Send a request until it is answered with 200."""
    async with asyncio.timeout(GUARD_S):
        while True:
            with suppress(OSError, aiohttp.ClientError):
                async with send() as response:
                    if response.status == 200:
                        return
            await asyncio.sleep(0.1)


@asynccontextmanager
async def run_small_system(folder, limits, grace_s=6.0):
    """Run the processes while the context is open; yield the system and a client session.

    Parameters
    ----------
    folder : pathlib.Path
    limits : dict of str to (int, int)
        Megabytes of memory and descriptors of the machine, by role.
    grace_s : float
    """
    limits = {role: machine_limits(*pair) for role, pair in limits.items()}
    (folder / "data").mkdir(parents=True)
    system = SmallSystem(folder, limits, grace_s)
    worker, reports = system.address("agent", WORKER_PORT), system.address("agent", REPORTS_PORT)
    connector = aiohttp.TCPConnector(force_close=True)
    try:
        for process in system.processes.values():
            process.start()
        async with (
            run_standin_worker(system.make_worker(), worker, reports),
            aiohttp.ClientSession(connector=connector) as session,
        ):
            await system.set_up(session)
            yield system, session
    finally:
        kill_processes(system.processes.values())
