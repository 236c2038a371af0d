"""Run a deployment as processes on loopback, for benchmarks and scenarios.

Only these tools start processes; the daemons never do.
"""

import asyncio
import json
import os
import resource
import signal
import subprocess
import sys
from contextlib import asynccontextmanager
from pathlib import Path
from shutil import rmtree

import aiohttp
import attrs
from attrs import define, evolve, field

from onyxfork.errors import UnavailableError
from onyxfork.settings import Address
from onyxfork.workload.deployment import (
    LOOPBACK,
    agent_settings,
    control_settings,
    entry_settings,
    free_port,
    setup_statements,
    upstream_settings,
)
from onyxfork.workload.embedded import ask_control
from onyxfork.workload.proxy import run_proxy

__all__ = ["ProcessCluster", "ManagedProcess", "kill_processes", "run_processes"]

READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0


@define
class ManagedProcess:
    """One process and its command line, so that it can be restarted.

    Parameters
    ----------
    name : str
    arguments : list of str
        Command-line arguments after the module; the first one is the role.
    log_path : pathlib.Path
        File to which standard output and standard error are appended.
    process : subprocess.Popen, optional
    module : str
        Python module that the process runs.
    environment : dict
        Environment variables in addition to those of this process.
    """

    name: str
    arguments: list
    log_path: Path
    process: subprocess.Popen | None = None
    module: str = "onyxfork"
    environment: dict = field(factory=dict)

    @property
    def is_running(self):
        """Whether the process has been started and has not ended."""
        return self.process is not None and self.process.poll() is None

    def start(self, *extra):
        """Start the process, with extra arguments for this start, unless it is running."""
        if self.is_running:
            return
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", self.module, *self.arguments, *extra],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env={**os.environ, **self.environment, "PYTHONUNBUFFERED": "1"},
            )

    def signal(self, number):
        """Send a signal if the process is running."""
        if self.is_running:
            self.process.send_signal(number)

    def kill(self):
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def fill_disk(self):
        """Simulate a full disk: no file of the process can grow."""
        if self.is_running:
            resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE, (0, resource.RLIM_INFINITY))

    def free_disk(self):
        """End the simulation of a full disk."""
        if self.is_running:
            unlimited = (resource.RLIM_INFINITY, resource.RLIM_INFINITY)
            resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE, unlimited)


def kill_processes(processes):
    """Kill processes, including paused ones, and wait for their ends."""
    for process in processes:
        process.signal(signal.SIGCONT)
        process.signal(signal.SIGKILL)
    for process in processes:
        if process.process is not None:
            process.process.wait()


@define
class ProcessCluster:
    """A deployment run as processes whose messages all pass through one proxy.

    Parameters
    ----------
    deployment : Deployment
    folder : pathlib.Path
        For settings, logs, journals and data.
    workers : int
    processes : dict of str to ManagedProcess
        By name: ``control-1``, ``entry-1``, ``worker-1.agent``, ``worker-1.upstream``.
    http_ports : dict of str to int
        Maps a process to the port of its HTTP server.
    advertised_ports : dict of str to int
        Maps a process to the proxy's port for it, which other processes connect to.
    proxy : FaultProxy
    session : aiohttp.ClientSession
    controls, entries : int
    """

    deployment: object
    folder: Path
    workers: int
    processes: dict = field(factory=dict)
    http_ports: dict = field(factory=dict)
    advertised_ports: dict = field(factory=dict)
    proxy: object = None
    session: object = None
    controls: int = 1
    entries: int = 2

    def entry_urls(self):
        """Return the URLs of all entries, for callers."""
        return [self.url(f"entry-{number + 1}") for number in range(self.entries)]

    def control_urls(self):
        """Return the URLs of all control instances, for operators."""
        return [self.url(f"control-{number + 1}") for number in range(self.controls)]

    def url(self, name):
        """Return the URL of a process."""
        return f"http://{LOOPBACK}:{self.http_ports[name]}"

    def journal_path(self, number):
        """Return the path of one upstream's journal."""
        return self.folder / f"journal-{number + 1}.jsonl"

    def journal_lines(self):
        """Return the complete lines of all upstreams' journals, ordered by time."""
        lines = []
        for path in sorted(self.folder.glob("journal-*.jsonl")):
            with open(path, encoding="utf-8") as file:
                lines += [json.loads(line) for line in file if line.endswith("\n")]
        return sorted(lines, key=lambda line: line["wall_ms"])

    def find_processes(self, name):
        """Return the process of a name, or the agent and the upstream of a worker."""
        if name in self.processes:
            return [self.processes[name]]
        found = [process for key, process in self.processes.items() if key.startswith(f"{name}.")]
        if not found:
            raise UnavailableError(
                f"unknown process {name!r}; known processes: {', '.join(self.processes)}"
            )
        return found

    def start(self, name):
        """Start the process of a name, or both processes of a worker."""
        for process in self.find_processes(name):
            process.start()

    def kill(self, name):
        """Kill the process of a name, or both processes of a worker."""
        for process in self.find_processes(name):
            process.kill()

    def signal(self, name, number):
        """Send a signal to the process of a name, or to both processes of a worker."""
        for process in self.find_processes(name):
            process.signal(number)

    async def stop(self, name):
        """Request a planned stop by SIGTERM and wait until the processes have ended."""
        for process in self.find_processes(name):
            process.signal(signal.SIGTERM)
        deadline = asyncio.get_running_loop().time() + STOP_TIMEOUT_S
        while any(process.is_running for process in self.find_processes(name)):
            if asyncio.get_running_loop().time() > deadline:
                raise UnavailableError(f"{name} did not stop within {STOP_TIMEOUT_S:g} s")
            await asyncio.sleep(0.05)

    def lose_disk(self, name):
        """Kill a control instance and delete its data folder."""
        self.kill(name)
        rmtree(self.folder / name, ignore_errors=True)

    def step_clock(self, name, milliseconds):
        """Set the offset in milliseconds of a process's wall clock from that of the machine."""
        (self.folder / f"{name}.clock").write_text(str(milliseconds))

    async def ask(self, text, command=None, timeout_s=READY_TIMEOUT_S):
        """Send a statement to the control instances in turn until one of them answers it.

        An answer with the code ``unavailable`` or ``unknown`` is not final: the statement is sent
        again, with the same `command` identifier if there is one.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while True:
            for url in self.control_urls():
                try:
                    status, answer = await ask_control(self.session, url, text, command=command)
                except (TimeoutError, aiohttp.ClientError):
                    continue
                if answer.get("code") not in ("unavailable", "unknown"):
                    return status, answer
            if loop.time() > deadline:
                raise UnavailableError(f"no control instance answered {text!r}")
            await asyncio.sleep(0.1)

    async def set_up(self):
        """Create the deployment's configuration and wait until all workers are ``serving``."""
        for statement in setup_statements(self.deployment):
            status, answer = await self.ask(statement)
            if status != 200 and answer.get("code") != "exists":
                raise UnavailableError(f"{statement}: {answer}")
        await self.wait_for_workers(self.workers)

    async def wait_for_workers(self, count):
        """Wait until `count` or more workers are ``serving`` and running entries are healthy."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + READY_TIMEOUT_S
        while True:
            _, answer = await self.ask("show workers where state = serving")
            if len(answer["rows"]) >= count and await self.all_entries_healthy():
                return
            if loop.time() > deadline:
                raise UnavailableError(f"{len(answer['rows'])} of {count} workers are serving")
            await asyncio.sleep(0.1)

    async def all_entries_healthy(self):
        """Return whether every running entry accepts requests."""
        for number in range(self.entries):
            name = f"entry-{number + 1}"
            if self.processes[name].is_running and not await self.is_healthy(name):
                return False
        return True

    async def is_healthy(self, name):
        """Return whether a process reports on ``/health`` that it is ready."""
        try:
            async with self.session.get(f"{self.url(name)}/health") as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    async def wait_for_health(self, name):
        """Wait until the process of a name is ready; upstreams serve no ``/health``."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + READY_TIMEOUT_S
        names = [process.name for process in self.find_processes(name)]
        for process_name in (key for key in names if not key.endswith(".upstream")):
            while not await self.is_healthy(process_name):
                if loop.time() > deadline:
                    raise UnavailableError(f"{process_name} is not ready")
                await asyncio.sleep(0.05)

    def kill_all(self):
        """Kill all processes."""
        kill_processes(self.processes.values())


def write_settings(cluster, settings, role):
    """Write a settings file and return the command-line arguments for it."""
    name = settings.node if role != "upstream" else f"{settings.node}.upstream"
    path = cluster.folder / f"{name}-{role}.json"
    fields = attrs.asdict(settings, filter=lambda _, value: value is not None)
    path.write_text(json.dumps(fields, indent=2))
    return [role, "--settings", str(path)]


def add_process(cluster, name, settings, role, *extra):
    """Write the settings of one process and register it; it is not started."""
    arguments = write_settings(cluster, settings, role) + list(extra)
    cluster.processes[name] = ManagedProcess(name, arguments, cluster.folder / f"{name}.log")
    cluster.http_ports[name] = settings.http.port


def loopback_address(port):
    """Return the loopback address with a port."""
    return Address(LOOPBACK, port)


def assign_addresses(cluster, settings, ports, name):
    """Return settings with the addresses and the clock file of a process.

    Other processes connect to the advertised address, which is the proxy's.
    """
    advertised_port, listen_port = ports[name]
    return evolve(
        settings,
        listen=loopback_address(listen_port),
        advertise=loopback_address(advertised_port),
        http=loopback_address(free_port()),
        clock_file=str(cluster.folder / f"{name.removesuffix('.agent')}.clock"),
    )


def add_processes(cluster, ports, options):
    """Register every process of a cluster."""
    deployment = cluster.deployment
    members = {
        name: loopback_address(ports[name][0]) for name in ports if name.startswith("control-")
    }
    control = list(members.values())
    for number in range(cluster.controls):
        name = f"control-{number + 1}"
        folder = cluster.folder / name
        settings = control_settings(deployment, number, members, folder, options.get("cells", 1))
        add_process(
            cluster,
            name,
            assign_addresses(cluster, settings, ports, name),
            "control",
            "--bootstrap",
        )
    for number in range(cluster.entries):
        name = f"entry-{number + 1}"
        policy = options.get("policy", "late-binding")
        settings = entry_settings(deployment, number, control, policy, options.get("seed", 0))
        tuning = options.get("tuning") or settings.tuning
        settings = evolve(settings, announce_wait_s=0.3, tuning=tuning)
        add_process(cluster, name, assign_addresses(cluster, settings, ports, name), "entry")
    for number in range(cluster.workers):
        add_worker(cluster, ports, number, control, options)


def add_worker(cluster, ports, number, control, options):
    """Register the agent and the upstream of one worker."""
    deployment = cluster.deployment
    worker = deployment.worker_name(number)
    name = f"{worker}.agent"
    settings = assign_addresses(cluster, agent_settings(deployment, number, control), ports, name)
    add_process(cluster, name, settings, "agent")
    speeds, failing = options.get("speeds", {}), options.get("failing", {})
    upstream = upstream_settings(
        deployment,
        number,
        settings.http,
        cluster.journal_path(number),
        speeds.get(worker, 1.0),
        failing.get(worker, 0.0),
    )
    add_process(
        cluster,
        f"{worker}.upstream",
        evolve(upstream, http=loopback_address(free_port())),
        "upstream",
    )


def process_names(controls, entries, deployment, workers):
    """Return the names of all processes that other processes connect to."""
    names = [f"control-{number + 1}" for number in range(controls)]
    names += [f"entry-{number + 1}" for number in range(entries)]
    return names + [f"{deployment.worker_name(number)}.agent" for number in range(workers)]


def register_places(cluster):
    """Register zone and rack of every node with the proxy."""
    deployment, proxy = cluster.deployment, cluster.proxy
    zones = deployment.zones
    for number in range(cluster.controls):
        proxy.place(f"control-{number + 1}", zones[number % len(zones)])
    for number in range(cluster.entries):
        proxy.place(f"entry-{number + 1}", zones[number % len(zones)])
    for number in range(cluster.workers):
        name = deployment.worker_name(number)
        zone, rack = deployment.zone_of(number), deployment.rack_of(number)
        proxy.place(name, zone, rack)
        proxy.places[f"{name}.agent"] = proxy.places[name]


@asynccontextmanager
async def run_processes(deployment, folder, workers, entries=2, controls=1, **options):
    """Run a deployment as processes until the context exits.

    Parameters
    ----------
    deployment : Deployment
    folder : pathlib.Path
        For settings, logs, journals and data.
    workers, entries, controls : int
    **options
        ``policy``, ``seed``, ``tuning`` and ``cells``. ``speeds`` maps a worker to the factor on
        its run times, ``failing`` maps it to the share of its tasks that fail.

    Yields
    ------
    ProcessCluster
        With its configuration created and all workers in the state ``serving``.
    """
    os.makedirs(folder, exist_ok=True)
    names = process_names(controls, entries, deployment, workers)
    ports = {name: (free_port(), free_port()) for name in names}
    cluster = ProcessCluster(deployment, Path(folder), workers, controls=controls, entries=entries)
    cluster.advertised_ports = {
        name: advertised_port for name, (advertised_port, _) in ports.items()
    }
    add_processes(cluster, ports, options)
    connector = aiohttp.TCPConnector(limit=0)
    proxied_addresses = {
        name: (loopback_address(advertised_port), loopback_address(listen_port))
        for name, (advertised_port, listen_port) in ports.items()
    }
    async with (
        run_proxy(proxied_addresses) as proxy,
        aiohttp.ClientSession(connector=connector) as session,
    ):
        cluster.proxy, cluster.session = proxy, session
        register_places(cluster)
        try:
            for process in cluster.processes.values():
                process.start()
            await cluster.set_up()
            yield cluster
        finally:
            cluster.kill_all()
