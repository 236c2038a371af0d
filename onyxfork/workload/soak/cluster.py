"""The platform's programs as processes on loopback, each behind the fault proxy."""

import asyncio
import os
import signal
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from random import Random
from shutil import rmtree

from attrs import define, field

from onyxfork.platform.settings import (
    AGENT_PORT,
    CLOCK_FILE_VARIABLE,
    CONTROL_PORT,
    ENTRY_PORT,
    LISTEN_HOST_VARIABLE,
    SETTINGS_VARIABLE,
)
from onyxfork.platform.standin.calls import (
    agent_settings,
    control_settings,
    entry_settings,
    node_settings,
)
from onyxfork.platform.standin.worker import StandInWorker, run_standin_worker
from onyxfork.settings import Address
from onyxfork.workload.processes import ManagedProcess, kill_processes
from onyxfork.workload.proxy import Place, run_proxy
from onyxfork.workload.soak.load import SERVICE, task_cpu, task_run_s

__all__ = ["SoakCluster", "run_cluster"]

INTERNAL_PORTS = (7720, 7725)
CALLERS_PORT, READY_PORT, CONTROL_HTTP_PORT, WORKER_PORT = 8161, 8167, 8166, 8168
POSITIONS = {"control": CONTROL_PORT, "agent": AGENT_PORT, "entry": ENTRY_PORT}
GRACE_S = 6.0
RESTART_S = 0.3
WORKER_CPU, WORKER_MEMORY_MB = 32000, 65536
ADVERTISED, LISTENING = 0, 1
"""Third number of the loopback addresses: where others reach a process, and where it listens."""


@define(eq=False)
class SoakCluster:
    """Processes, workers and the proxy between them.

    Parameters
    ----------
    folder : pathlib.Path
        For settings, logs and data.
    network : int
        Second number of all loopback addresses, so that soaks may run side by side.

    Attributes
    ----------
    held : set of str
        Processes that are not to be started again for now.
    expected : set of str
        Processes that may end because of a fault.
    unexpected : list of str
        Ends of processes that nothing explains.
    """

    folder: Path
    network: int
    size: object
    clock: object
    rng: Random
    processes: dict = field(factory=dict)
    hosts: dict = field(factory=dict)
    workers: dict = field(factory=dict)
    held: set = field(factory=set)
    expected: set = field(factory=set)
    unexpected: list = field(factory=list)
    started: set = field(factory=set)
    paused: dict = field(factory=dict)
    proxy: object = None

    def address(self, name, port, kind=ADVERTISED):
        """Return an address of a process."""
        return Address(f"127.{self.network}.{kind}.{self.hosts[name]}", port)

    def internal(self, name, kind):
        """Return where a process is reached by others, or where it listens."""
        position = POSITIONS[name.split("-")[0]]
        return self.address(name, INTERNAL_PORTS[0] + position, kind)

    def names(self):
        """Return the names of all processes."""
        return [name for role in POSITIONS for name in self.size.names(role)]

    def seeds(self):
        """Return the operators' addresses of the control instances."""
        return [self.address(name, CONTROL_HTTP_PORT) for name in self.size.names("control")]

    def write_settings(self, name, bootstrap):
        """Write the settings file of a process and return its path."""
        role, _, number = name.partition("-")
        zone = f"zone-{int(number) % 3 + 1}"
        host, seeds = self.address(name, 1).host, [str(seed) for seed in self.seeds()]
        fields = node_settings(name, zone, host, INTERNAL_PORTS, seeds, bootstrap)
        if role == "entry":
            callers, ready = self.address(name, CALLERS_PORT), self.address(name, READY_PORT)
            text = entry_settings(fields, callers, ready, GRACE_S)
        elif role == "agent":
            reports, worker = self.address(name, CONTROL_HTTP_PORT), self.address(name, WORKER_PORT)
            text = agent_settings(fields, reports, worker, SERVICE, GRACE_S)
        else:
            operators = self.address(name, CONTROL_HTTP_PORT)
            text = control_settings(fields, operators, self.folder / name, GRACE_S, 1)
        path = self.folder / f"{name}.toml"
        path.write_text(text)
        return path

    def add_process(self, name):
        """Register a process."""
        if name.startswith("control"):
            (self.folder / name).mkdir()
        environment = {
            SETTINGS_VARIABLE: str(self.write_settings(name, bootstrap=True)),
            LISTEN_HOST_VARIABLE: self.internal(name, LISTENING).host,
            CLOCK_FILE_VARIABLE: str(self.folder / f"{name}.clock"),
        }
        self.processes[name] = ManagedProcess(
            name,
            [name.split("-")[0]],
            self.folder / f"{name}.log",
            module="onyxfork.platform",
            environment=environment,
        )

    def add_worker(self, name):
        """Register the stand-in worker of an agent."""
        self.workers[name] = StandInWorker(
            name,
            SERVICE,
            WORKER_CPU,
            WORKER_MEMORY_MB,
            task_run_s,
            task_cpu,
            self.clock,
            Random(self.rng.random()),
        )

    def start(self, name):
        """Start a process."""
        self.processes[name].start()
        self.started.add(name)
        self.expected.discard(name)

    def kill(self, name):
        """Kill a process at once."""
        self.expected.add(name)
        self.processes[name].kill()

    def terminate(self, name):
        """Tell a process to stop as planned."""
        self.expected.add(name)
        self.processes[name].signal(signal.SIGTERM)

    def pause(self, name):
        """Stop a process from running."""
        self.paused[name] = self.paused.get(name, 0) + 1
        self.processes[name].signal(signal.SIGSTOP)

    def resume(self, name):
        """Let a process run again once no pause is left."""
        self.paused[name] -= 1
        if not self.paused[name]:
            self.processes[name].signal(signal.SIGCONT)

    def wipe(self, name):
        """Delete a control instance's data; it comes back as one that has to join."""
        rmtree(self.folder / name, ignore_errors=True)
        (self.folder / name).mkdir()
        self.write_settings(name, bootstrap=False)

    def tear_log(self, name, size):
        """Append part of a record to a control instance's log, as a write that was cut short."""
        for path in (self.folder / name).glob("log-*"):
            with open(path, "ab") as file:
                file.write(os.urandom(size))

    def step_clock(self, name, milliseconds):
        """Step the time of day of a process."""
        (self.folder / f"{name}.clock").write_text(str(int(milliseconds)))

    async def supervise(self):
        """Start processes again that have ended."""
        while True:
            for name in sorted(self.started - self.held):
                process = self.processes[name]
                if process.is_running:
                    continue
                if name not in self.expected:
                    code = process.process.returncode
                    self.unexpected.append(f"{name} ended by itself with status {code}")
                await asyncio.sleep(RESTART_S)
                if name not in self.held:
                    self.start(name)
            await asyncio.sleep(0.05)

    def end(self):
        """End every process that was started here."""
        kill_processes(self.processes.values())


@asynccontextmanager
async def run_cluster(folder, network, size, clock, rng):
    """Run all programs and workers while the context is open.

    Yields
    ------
    SoakCluster
    """
    cluster = SoakCluster(folder, network, size, clock, rng)
    cluster.hosts = {name: number for number, name in enumerate(cluster.names(), 1)}
    ports = {
        name: (cluster.internal(name, ADVERTISED), cluster.internal(name, LISTENING))
        for name in cluster.names()
    }
    async with AsyncExitStack() as stack:
        cluster.proxy = await stack.enter_async_context(run_proxy(ports))
        for name in cluster.names():
            cluster.proxy.place(name)
            advertised = str(cluster.internal(name, ADVERTISED))
            cluster.proxy.places[advertised] = Place(name)
            cluster.add_process(name)
        for name in size.names("agent"):
            cluster.add_worker(name)
            server = run_standin_worker(
                cluster.workers[name],
                cluster.address(name, WORKER_PORT),
                cluster.address(name, CONTROL_HTTP_PORT),
            )
            await stack.enter_async_context(server)
        supervisor = None
        try:
            for name in cluster.names():
                cluster.start(name)
            supervisor = asyncio.create_task(cluster.supervise())
            yield cluster
        finally:
            if supervisor is not None:
                supervisor.cancel()
            cluster.end()
