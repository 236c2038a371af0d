"""The platform's programs as processes on loopback, connected through the fault proxy."""

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
    machine_limits,
    node_settings,
)
from onyxfork.platform.standin.worker import StandInWorker, run_standin_worker
from onyxfork.settings import Address
from onyxfork.workload.processes import ManagedProcess, kill_processes
from onyxfork.workload.proxy import Place, run_proxy
from onyxfork.workload.soak.load import SERVICE, task_cpu, task_crashes, task_run_s
from onyxfork.workload.soak.profiles import WORKER_CPU, SoakProfile
from onyxfork.workload.soak.schedule import zone_of

__all__ = ["SoakCluster", "run_cluster", "WORKER_CPU"]

INTERNAL_PORTS = (7720, 7725)
CALLERS_PORT, READY_PORT, CONTROL_HTTP_PORT, WORKER_PORT = 8161, 8167, 8166, 8168
PORT_OFFSETS = {"control": CONTROL_PORT, "agent": AGENT_PORT, "entry": ENTRY_PORT}
STOP_GRACE_S = 6.0
ENTRY_MACHINE = machine_limits(memory_mb=80, descriptors=400)
"""Machine of an entry, small enough for a crowd of clients to exceed it."""

RESTART_DELAY_S = 0.3
ADVERTISED_OCTET, LISTENING_OCTET = 0, 1
"""Third octet of the loopback addresses: the address that other processes connect to, which is the
proxy's, and the one that the process listens on."""


@define(eq=False)
class SoakCluster:
    """Processes, stand-in workers and the proxy between the processes.

    Parameters
    ----------
    folder : pathlib.Path
        For settings, logs and data.
    network : int
        Second octet of all loopback addresses, so that soaks can run side by side.
    size : SoakSize
    profile : SoakProfile

    Attributes
    ----------
    host_numbers : dict of str to int
        Last octet of each process's loopback addresses.
    held_down : set of str
        Processes that the supervisor does not restart for now.
    expected_exits : set of str
        Processes that may exit because of a fault.
    unexpected_exits : list of str
        A line for each exit that no fault explains.
    started : set of str
        Processes that the supervisor keeps running.
    pause_counts : dict of str to int
        Number of pauses in force for each process.
    """

    folder: Path
    network: int
    size: object
    clock: object
    rng: Random
    profile: object
    processes: dict = field(factory=dict)
    host_numbers: dict = field(factory=dict)
    workers: dict = field(factory=dict)
    held_down: set = field(factory=set)
    expected_exits: set = field(factory=set)
    unexpected_exits: list = field(factory=list)
    started: set = field(factory=set)
    pause_counts: dict = field(factory=dict)
    proxy: object = None

    def address(self, name, port, octet=ADVERTISED_OCTET):
        """Return an address of a process."""
        return Address(f"127.{self.network}.{octet}.{self.host_numbers[name]}", port)

    def internal_address(self, name, octet):
        """Return the address for connections between processes, advertised or listening."""
        offset = PORT_OFFSETS[name.split("-")[0]]
        return self.address(name, INTERNAL_PORTS[0] + offset, octet)

    def names(self):
        """Return the names of all processes."""
        return [name for role in PORT_OFFSETS for name in self.size.names(role)]

    def control_addresses(self):
        """Return the control instances' HTTP addresses."""
        return [self.address(name, CONTROL_HTTP_PORT) for name in self.size.names("control")]

    def write_settings(self, name, bootstrap):
        """Write the settings file of a process and return its path."""
        role, zone = name.partition("-")[0], zone_of(name, self.size.zone_count)
        host, control = self.address(name, 1).host, [str(addr) for addr in self.control_addresses()]
        fields = node_settings(name, zone, host, INTERNAL_PORTS, control, bootstrap)
        if role == "entry":
            callers, ready = self.address(name, CALLERS_PORT), self.address(name, READY_PORT)
            text = entry_settings(fields, callers, ready, STOP_GRACE_S, ENTRY_MACHINE)
        elif role == "agent":
            reports, worker = self.address(name, CONTROL_HTTP_PORT), self.address(name, WORKER_PORT)
            text = agent_settings(fields, reports, worker, SERVICE, STOP_GRACE_S)
        else:
            operators = self.address(name, CONTROL_HTTP_PORT)
            text = control_settings(
                fields,
                operators,
                self.folder / name,
                STOP_GRACE_S,
                self.size.tolerated_losses,
                self.size.zones,
            )
        path = self.folder / f"{name}.toml"
        path.write_text(text)
        return path

    def add_process(self, name):
        """Write the settings of a process and add it to `processes`, without starting it."""
        if name.startswith("control"):
            (self.folder / name).mkdir()
        environment = {
            SETTINGS_VARIABLE: str(self.write_settings(name, bootstrap=True)),
            LISTEN_HOST_VARIABLE: self.internal_address(name, LISTENING_OCTET).host,
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
        """Add the stand-in worker of an agent to `workers`, without serving it."""
        self.workers[name] = StandInWorker(
            name,
            SERVICE,
            self.profile.worker_cpu,
            self.profile.worker_memory_mb,
            task_run_s,
            task_cpu,
            self.clock,
            Random(self.rng.random()),
            keeps_id=self.host_numbers[name] % 3 != 0,
            guards_capacity=self.host_numbers[name] % 2 == 0,
            crashes_on=task_crashes,
        )

    def start(self, name):
        """Start a process."""
        self.processes[name].start()
        self.started.add(name)
        self.expected_exits.discard(name)

    def kill(self, name):
        """Kill a process with SIGKILL."""
        self.expected_exits.add(name)
        self.processes[name].kill()

    def kill_together(self, names):
        """Kill processes at the same moment and prevent their restart until `start_together`."""
        self.held_down.update(names)
        for name in names:
            self.processes[name].signal(signal.SIGKILL)
        for name in names:
            self.kill(name)

    def start_together(self, names):
        """Start processes at the same moment."""
        for name in names:
            self.start(name)
        self.held_down.difference_update(names)

    def terminate(self, name):
        """Send SIGTERM to a process for a planned stop."""
        self.expected_exits.add(name)
        self.processes[name].signal(signal.SIGTERM)

    def pause(self, name):
        """Suspend a process with SIGSTOP."""
        self.pause_counts[name] = self.pause_counts.get(name, 0) + 1
        self.processes[name].signal(signal.SIGSTOP)

    def resume(self, name):
        """End one pause of a process, which continues once no pause is in force."""
        self.pause_counts[name] -= 1
        if not self.pause_counts[name]:
            self.processes[name].signal(signal.SIGCONT)

    def wipe_data(self, name):
        """Delete a control instance's data; the instance has to join the cluster again."""
        rmtree(self.folder / name, ignore_errors=True)
        (self.folder / name).mkdir()
        self.write_settings(name, bootstrap=False)

    def tear_log(self, name, size):
        """Append an incomplete record, as of an interrupted write, to a control instance's log."""
        for path in (self.folder / name).glob("log-*"):
            with open(path, "ab") as file:
                file.write(os.urandom(size))

    def step_clock(self, name, milliseconds):
        """Set the offset of a process's time of day."""
        (self.folder / f"{name}.clock").write_text(str(int(milliseconds)))

    async def supervise(self):
        """Restart processes that have exited and record unexpected exits."""
        while True:
            for name in sorted(self.started - self.held_down):
                process = self.processes[name]
                if process.is_running:
                    continue
                if name not in self.expected_exits:
                    code = process.process.returncode
                    self.unexpected_exits.append(f"{name} exited unexpectedly with status {code}")
                await asyncio.sleep(RESTART_DELAY_S)
                if name not in self.held_down and not process.is_running:
                    self.start(name)
            await asyncio.sleep(0.05)

    def end(self):
        """End every process of this cluster."""
        kill_processes(self.processes.values())


@asynccontextmanager
async def run_cluster(folder, network, size, clock, rng, profile=None):
    """Run all programs and stand-in workers while the context is open.

    Yields
    ------
    SoakCluster
    """
    cluster = SoakCluster(folder, network, size, clock, rng, profile or SoakProfile.small())
    cluster.host_numbers = {name: number for number, name in enumerate(cluster.names(), 1)}
    ports = {
        name: (
            cluster.internal_address(name, ADVERTISED_OCTET),
            cluster.internal_address(name, LISTENING_OCTET),
        )
        for name in cluster.names()
    }
    async with AsyncExitStack() as stack:
        cluster.proxy = await stack.enter_async_context(run_proxy(ports))
        for name in cluster.names():
            cluster.proxy.place(name)
            advertised = str(cluster.internal_address(name, ADVERTISED_OCTET))
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
