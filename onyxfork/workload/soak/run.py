"""One soak: load and faults for some seconds, a recovery phase, a final load, and the verdict."""

import asyncio
import os
import re
from contextlib import suppress
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory

import aiohttp
from attrs import define, field

from onyxfork.errors import UnavailableError
from onyxfork.utils.clock import SystemClock
from onyxfork.workload.soak.busy import run_busy_processes
from onyxfork.workload.soak.checks import SoakRecords, find_violations
from onyxfork.workload.soak.cluster import (
    CALLERS_PORT,
    CONTROL_HTTP_PORT,
    READY_PORT,
    run_cluster,
)
from onyxfork.workload.soak.faults import FaultInjector
from onyxfork.workload.soak.load import Balancer, Callers, Operators
from onyxfork.workload.soak.profiles import SoakProfile
from onyxfork.workload.soak.schedule import RECOVERY_S, draw_schedule, zone_of

__all__ = ["SoakVerdict", "run_soak"]

READY_TIMEOUT_S = 30.0
FINAL_LOAD_S = 4.0
"""Duration of the final load, by which recovery is judged."""

MAX_OTHER_PHASES_S = 120.0
"""Upper bound on the duration of a soak in addition to that of its faults."""

LAG_INTERVAL_S = 0.05

OVERLAP_PATTERN = re.compile(r"^two runs at once .*?: (\w+)\.")

FIRST_NETWORK, NETWORK_COUNT = 20, 200
"""Second octets of the loopback addresses of soaks; each soak derives its own octet from its
process id."""


class SoakClock(SystemClock):
    """Clock that counts the seconds since the start of a soak."""

    def __init__(self):
        self.started_at = super().now()

    def now(self):
        return super().now() - self.started_at


@define
class SoakVerdict:
    """Result of a soak.

    Parameters
    ----------
    violations : list of str
        A line for each violation of a guarantee and for each unexpected exit of a process.
    traces : list of str
        Lines of the processes' logs that name a job two runs of which overlapped.
    max_lag_s : float
        Longest delay of a timer of the soak itself, which plays workers, callers and links.
    """

    seed: int
    violations: list
    jobs: int = 0
    completed: int = 0
    refused: int = 0
    runs: int = 0
    configurations: int = 0
    faults: list = field(factory=list)
    traces: list = field(factory=list)
    max_lag_s: float = 0.0

    @property
    def passed(self):
        """Whether every guarantee held."""
        return not self.violations

    def __str__(self):
        outcome = "passed" if self.passed else "FAILED"
        counts = (
            f"seed {self.seed}: {outcome}; {len(self.faults)} faults, {self.jobs} jobs, "
            f"{self.completed} completed, {self.refused} refused, {self.runs} runs, "
            f"{self.configurations} configurations; own timers up to {self.max_lag_s:.2f} s late"
        )
        return "\n".join([counts, *(f"  {line}" for line in [*self.violations, *self.traces])])


async def wait_until_ready(callers, clock):
    """Wait until every entry is ready."""
    deadline = clock.now() + READY_TIMEOUT_S
    while True:
        missed_checks = callers.balancer.missed_checks
        if len(missed_checks) == len(callers.balancer.addresses) and not any(
            missed_checks.values()
        ):
            return
        if clock.now() > deadline:
            raise UnavailableError("not every entry of the soak became ready in time")
        await asyncio.sleep(0.1)


async def run_soak(
    seed,
    seconds,
    size=None,
    folder=None,
    print_line=print,
    draw=draw_schedule,
    profile=None,
    recovery_s=RECOVERY_S,
):
    """Run one soak.

    Parameters
    ----------
    seed : int
        Determines the faults and the load.
    seconds : float
        Duration in which faults start; a recovery phase and the final load follow.
    size : SoakSize, optional
        That of the profile by default.
    folder : path-like, optional
        For settings, logs and data; a temporary folder by default.
    print_line : callable
        Prints a line of the timeline.
    draw : callable
        Returns the faults for a seed, a duration and a size.
    profile : SoakProfile, optional
    recovery_s : float
        Time from the end of the last fault to the final load.

    Returns
    -------
    SoakVerdict
    """
    profile = profile or SoakProfile.small()
    size = size or profile.size
    faults = draw(seed, seconds, size)
    with TemporaryDirectory() as temporary:
        path = Path(folder or temporary)
        os.makedirs(path, exist_ok=True)
        with run_busy_processes(profile.busy, seconds + MAX_OTHER_PHASES_S):
            records, unexpected_exits = await run_phases(
                seed, size, path, print_line, faults, profile, recovery_s
            )
        violations = find_violations(records)
        traces = find_traces(path, violations)
    jobs = list(records.jobs.values())
    return SoakVerdict(
        seed,
        [*violations, *unexpected_exits],
        jobs=len(jobs),
        completed=sum(job.state == "completed" for job in jobs),
        refused=sum(job.attempts[-1:] == ["503"] for job in jobs),
        runs=len(records.runs),
        configurations=sum(not record.is_read for record in records.configurations),
        faults=[str(fault) for fault in faults],
        traces=traces,
        max_lag_s=records.max_lag_s,
    )


def find_traces(folder, violations):
    """Return the lines of the processes' logs that name the jobs of overlapping runs."""
    jobs = {match[1] for line in violations if (match := OVERLAP_PATTERN.search(line))}
    if not jobs:
        return []
    return [
        f"{path.stem}: {line}"
        for path in sorted(folder.glob("*.log"))
        for line in path.read_text(errors="replace").splitlines()
        if any(job in line for job in jobs)
    ]


async def measure_lag(records):
    """Record the longest delay of a timer of this process."""
    while True:
        due_at = records.clock.now() + LAG_INTERVAL_S
        await asyncio.sleep(LAG_INTERVAL_S)
        records.max_lag_s = max(records.max_lag_s, records.clock.now() - due_at)


async def run_phases(seed, size, folder, print_line, faults, profile, recovery_s):
    """Run the processes, the load and the faults; return the records and the unexpected exits."""
    clock, rng = SoakClock(), Random(seed)
    records = SoakRecords(clock=clock)
    network = FIRST_NETWORK + os.getpid() % NETWORK_COUNT
    async with (
        run_cluster(folder, network, size, clock, rng, profile) as cluster,
        aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session,
    ):
        entries = size.names("entry")
        ready = {name: cluster.address(name, READY_PORT) for name in entries}
        balancer = Balancer({name: cluster.address(name, CALLERS_PORT) for name in entries}, rng)
        callers = Callers(balancer, records, clock, rng, profile)
        control = [cluster.address(name, CONTROL_HTTP_PORT) for name in size.names("control")]
        operators = Operators(control, session, records, clock, rng, profile.kinds)
        background = [
            asyncio.create_task(balancer.run(session, ready)),
            asyncio.create_task(operators.run()),
            asyncio.create_task(measure_lag(records)),
        ]
        try:
            await wait_until_ready(callers, clock)
            load = asyncio.create_task(callers.run())
            injector = FaultInjector(
                cluster, callers, operators, records, clock, add_timestamps(print_line, clock)
            )
            await injector.run(faults)
            await asyncio.sleep(recovery_s)
            records.final_load_from = clock.now()
            callers.stop_at = records.final_load_from + FINAL_LOAD_S
            await load
        finally:
            for task in background:
                task.cancel()
            with suppress(asyncio.CancelledError):
                await asyncio.gather(*background, return_exceptions=True)
        records.ended_at = clock.now()
        for worker in cluster.workers.values():
            records.runs += worker.journal
            records.zones[f"i-{worker.name}"] = zone_of(worker.name, size.zone_count)
            if not worker.guards_capacity:
                changes = [(0.0, profile.worker_cpu), *worker.capacities]
                records.capacities[f"i-{worker.name}"] = changes
        return records, cluster.unexpected_exits


def add_timestamps(print_line, clock):
    """Return a function that prints a line with the soak's time before it."""
    return lambda text: print_line(f"{clock.now():7.2f} s  {text}")
