"""Real processes of a deployment on loopback, for experiments and scenarios.

Only these tools start processes; the daemons themselves never do.
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

__all__ = ["ProcessCluster", "Managed", "end_all", "run_processes"]

READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0


@define
class Managed:
    """One process and how to start it again."""

    name: str
    arguments: list
    log_path: Path
    process: subprocess.Popen | None = None
    module: str = "onyxfork"
    environment: dict = field(factory=dict)

    @property
    def is_running(self):
        """Whether the process is there."""
        return self.process is not None and self.process.poll() is None

    def start(self, *extra):
        """Start the process unless it runs."""
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
        """Send a signal when the process is there."""
        if self.is_running:
            self.process.send_signal(number)

    def kill(self):
        """End the process at once."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def fill_disk(self):
        """Let no file of the process grow any more."""
        if self.is_running:
            resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE, (0, resource.RLIM_INFINITY))

    def free_disk(self):
        """Let files of the process grow again."""
        if self.is_running:
            unlimited = (resource.RLIM_INFINITY, resource.RLIM_INFINITY)
            resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE, unlimited)


def end_all(processes):
    """Kill processes and wait for their ends."""
    for process in processes:
        process.signal(signal.SIGCONT)
        process.signal(signal.SIGKILL)
    for process in processes:
        if process.process is not None:
            process.process.wait()


@define
class ProcessCluster:
    """A deployment as processes, all of their connections through one proxy."""

    deployment: object
    folder: Path
    workers: int
    processes: dict = field(factory=dict)
    http_ports: dict = field(factory=dict)
    outside: dict = field(factory=dict)
    proxy: object = None
    session: object = None
    controls: int = 1
    entries: int = 2

    def entry_urls(self):
        """Return the callers' addresses of all entries."""
        return [self.url(f"entry-{number + 1}") for number in range(self.entries)]

    def control_urls(self):
        """Return the administration addresses."""
        return [self.url(f"control-{number + 1}") for number in range(self.controls)]

    def url(self, name):
        """Return the HTTP address of a process."""
        return f"http://{LOOPBACK}:{self.http_ports[name]}"

    def journal(self, number):
        """Return the journal of one upstream."""
        return self.folder / f"journal-{number + 1}.jsonl"

    def journal_lines(self):
        """Return every line of every upstream's journal, in order of time."""
        lines = []
        for path in sorted(self.folder.glob("journal-*.jsonl")):
            with open(path, encoding="utf-8") as file:
                lines += [json.loads(line) for line in file if line.endswith("\n")]
        return sorted(lines, key=lambda line: line["wall_ms"])

    def named(self, name):
        """Return the processes that a name covers: one, or a worker's agent and upstream."""
        if name in self.processes:
            return [self.processes[name]]
        found = [p for key, p in self.processes.items() if key.startswith(f"{name}.")]
        if not found:
            raise UnavailableError(f"no process {name!r}; there are {', '.join(self.processes)}")
        return found

    def start(self, name):
        """Start what a name covers."""
        for process in self.named(name):
            process.start()

    def kill(self, name):
        """Kill what a name covers at once."""
        for process in self.named(name):
            process.kill()

    def signal(self, name, number):
        """Send a signal to what a name covers."""
        for process in self.named(name):
            process.signal(number)

    async def stop(self, name):
        """Stop what a name covers as planned and wait for its end."""
        for process in self.named(name):
            process.signal(signal.SIGTERM)
        deadline = asyncio.get_running_loop().time() + STOP_TIMEOUT_S
        while any(process.is_running for process in self.named(name)):
            if asyncio.get_running_loop().time() > deadline:
                raise UnavailableError(f"{name} did not stop within {STOP_TIMEOUT_S:g} s")
            await asyncio.sleep(0.05)

    def lose_disk(self, name):
        """Kill a control instance and delete its data folder."""
        self.kill(name)
        rmtree(self.folder / name, ignore_errors=True)

    def step_clock(self, name, milliseconds):
        """Step the wall clock of a process."""
        (self.folder / f"{name}.clock").write_text(str(milliseconds))

    async def ask(self, text, command=None, timeout_s=READY_TIMEOUT_S):
        """Send a statement to whichever control instance answers it."""
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
        """Create the deployment's configuration and wait until every worker is led."""
        for statement in setup_statements(self.deployment):
            status, answer = await self.ask(statement)
            if status != 200 and answer.get("code") != "exists":
                raise UnavailableError(f"{statement}: {answer}")
        await self.wait_for_workers(self.workers)

    async def wait_for_workers(self, count):
        """Wait until that many workers serve and every entry knows the configuration."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + READY_TIMEOUT_S
        while True:
            _, answer = await self.ask("show workers where state = serving")
            if len(answer["rows"]) >= count and await self.entries_ready():
                return
            if loop.time() > deadline:
                raise UnavailableError(f"{len(answer['rows'])} of {count} workers serve")
            await asyncio.sleep(0.1)

    async def entries_ready(self):
        """Return whether every entry that runs would take requests."""
        for number in range(self.entries):
            name = f"entry-{number + 1}"
            if self.processes[name].is_running and not await self.is_healthy(name):
                return False
        return True

    async def is_healthy(self, name):
        """Return whether a process says that it is ready."""
        try:
            async with self.session.get(f"{self.url(name)}/health") as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    async def wait_for_health(self, name):
        """Wait until every process that a name covers and that has a health page is ready."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + READY_TIMEOUT_S
        names = [process.name for process in self.named(name)]
        for one in (one for one in names if not one.endswith(".upstream")):
            while not await self.is_healthy(one):
                if loop.time() > deadline:
                    raise UnavailableError(f"{one} is not ready")
                await asyncio.sleep(0.05)

    def end(self):
        """End every process."""
        end_all(self.processes.values())


def write_settings(cluster, settings, role):
    """Write a settings file and return the arguments that start the process."""
    name = settings.node if role != "upstream" else f"{settings.node}.upstream"
    path = cluster.folder / f"{name}-{role}.json"
    fields = attrs.asdict(settings, filter=lambda _, value: value is not None)
    path.write_text(json.dumps(fields, indent=2))
    return [role, "--settings", str(path)]


def add(cluster, name, settings, role, *extra):
    """Register one process."""
    arguments = write_settings(cluster, settings, role) + list(extra)
    cluster.processes[name] = Managed(name, arguments, cluster.folder / f"{name}.log")
    cluster.http_ports[name] = settings.http.port


def here(port):
    """Return a loopback address."""
    return Address(LOOPBACK, port)


def adapt(cluster, settings, ports, name):
    """Give settings their ports, with the proxy's port as the one that others use."""
    outside, inside = ports[name]
    return evolve(
        settings,
        listen=here(inside),
        advertise=here(outside),
        http=here(free_port()),
        clock_file=str(cluster.folder / f"{name.removesuffix('.agent')}.clock"),
    )


def add_all(cluster, ports, options):
    """Register every process of a cluster."""
    deployment = cluster.deployment
    members = {name: here(ports[name][0]) for name in ports if name.startswith("control-")}
    control = list(members.values())
    for number in range(cluster.controls):
        name = f"control-{number + 1}"
        folder = cluster.folder / name
        settings = control_settings(deployment, number, members, folder, options.get("cells", 1))
        add(cluster, name, adapt(cluster, settings, ports, name), "control", "--bootstrap")
    for number in range(cluster.entries):
        name = f"entry-{number + 1}"
        policy = options.get("policy", "late-binding")
        settings = entry_settings(deployment, number, control, policy, options.get("seed", 0))
        tuning = options.get("tuning") or settings.tuning
        settings = evolve(settings, announce_wait_s=0.3, tuning=tuning)
        add(cluster, name, adapt(cluster, settings, ports, name), "entry")
    for number in range(cluster.workers):
        add_worker(cluster, ports, number, control, options)


def add_worker(cluster, ports, number, control, options):
    """Register the agent and the upstream of one worker."""
    deployment = cluster.deployment
    worker = deployment.worker_name(number)
    name = f"{worker}.agent"
    settings = adapt(cluster, agent_settings(deployment, number, control), ports, name)
    add(cluster, name, settings, "agent")
    speeds, failing = options.get("speeds", {}), options.get("failing", {})
    upstream = upstream_settings(
        deployment,
        number,
        settings.http,
        cluster.journal(number),
        speeds.get(worker, 1.0),
        failing.get(worker, 0.0),
    )
    add(cluster, f"{worker}.upstream", evolve(upstream, http=here(free_port())), "upstream")


def process_names(controls, entries, deployment, workers):
    """Return the names of all processes that others connect to."""
    names = [f"control-{number + 1}" for number in range(controls)]
    names += [f"entry-{number + 1}" for number in range(entries)]
    return names + [f"{deployment.worker_name(number)}.agent" for number in range(workers)]


def place_all(cluster):
    """Tell the proxy where every node is."""
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
    """Run a deployment as processes while the context is open.

    Parameters
    ----------
    deployment : Deployment
    folder : pathlib.Path
        For settings, logs, journals and data.
    workers, entries, controls : int
    **options
        ``policy``, ``seed``, ``tuning``, ``cells``, ``speeds`` and ``failing`` (both by worker).

    Yields
    ------
    ProcessCluster
        Set up, with every worker led.
    """
    os.makedirs(folder, exist_ok=True)
    names = process_names(controls, entries, deployment, workers)
    ports = {name: (free_port(), free_port()) for name in names}
    cluster = ProcessCluster(deployment, Path(folder), workers, controls=controls, entries=entries)
    cluster.outside = {name: outside for name, (outside, _) in ports.items()}
    add_all(cluster, ports, options)
    connector = aiohttp.TCPConnector(limit=0)
    places = {name: (here(outside), here(inside)) for name, (outside, inside) in ports.items()}
    async with run_proxy(places) as proxy, aiohttp.ClientSession(connector=connector) as session:
        cluster.proxy, cluster.session = proxy, session
        place_all(cluster)
        try:
            for process in cluster.processes.values():
                process.start()
            await cluster.set_up()
            yield cluster
        finally:
            cluster.end()
