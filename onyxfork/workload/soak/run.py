"""One soak: processes, load and faults for some seconds, a calm, then the verdict."""

import asyncio
import os
from contextlib import suppress
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory

import aiohttp
from attrs import define, field

from onyxfork.errors import UnavailableError
from onyxfork.utils.clock import SystemClock
from onyxfork.workload.soak.checks import SoakRecords, find_broken
from onyxfork.workload.soak.cluster import (
    CALLERS_PORT,
    CONTROL_HTTP_PORT,
    READY_PORT,
    run_cluster,
)
from onyxfork.workload.soak.faults import FaultRun
from onyxfork.workload.soak.load import Balancer, Callers, Operators
from onyxfork.workload.soak.schedule import CALM_S, SoakSize, draw_schedule

__all__ = ["SoakVerdict", "run_soak"]

READY_TIMEOUT_S = 30.0
AFTER_CALM_S = 4.0
"""Load that is judged at the end, after the calm in which everything comes back."""

FIRST_NETWORK, NETWORKS = 20, 200
"""Second numbers of the loopback addresses that soaks use; each soak takes one by its process."""


class SoakClock(SystemClock):
    """Seconds from the start of a soak."""

    def __init__(self):
        self.began = super().now()

    def now(self):
        return super().now() - self.began


@define
class SoakVerdict:
    """What a soak found.

    Parameters
    ----------
    broken : list of str
        A line for each broken promise, and for each process that ended by itself.
    """

    seed: int
    broken: list
    jobs: int = 0
    completed: int = 0
    refused: int = 0
    runs: int = 0
    configurations: int = 0
    faults: list = field(factory=list)

    @property
    def passed(self):
        """Whether every promise held."""
        return not self.broken

    def __str__(self):
        word = "passed" if self.passed else "FAILED"
        counts = (
            f"seed {self.seed}: {word}; {len(self.faults)} faults, {self.jobs} jobs, "
            f"{self.completed} completed, {self.refused} refused, {self.runs} runs, "
            f"{self.configurations} configurations"
        )
        return "\n".join([counts, *(f"  {line}" for line in self.broken)])


async def wait_ready(callers, clock):
    """Wait until every entry is ready."""
    until = clock.now() + READY_TIMEOUT_S
    while True:
        misses = callers.balancer.misses
        if len(misses) == len(callers.balancer.addresses) and not any(misses.values()):
            return
        if clock.now() > until:
            raise UnavailableError("the entries of the soak did not get ready")
        await asyncio.sleep(0.1)


async def run_soak(seed, seconds, size=None, folder=None, say=print, draw=draw_schedule):
    """Run one soak.

    Parameters
    ----------
    seed : int
        Chooses the faults and the load.
    seconds : float
        How long faults begin; a calm of `CALM_S` and some load follow.
    size : SoakSize, optional
    folder : path-like, optional
        Keeps settings, logs and data; a temporary folder otherwise.
    say : callable
        Takes a line of the timeline.
    draw : callable
        Returns the faults of a seed, a length and a size.

    Returns
    -------
    SoakVerdict
    """
    size = size or SoakSize()
    faults = draw(seed, seconds, size)
    with TemporaryDirectory() as temporary:
        place = Path(folder or temporary)
        os.makedirs(place, exist_ok=True)
        records, unexpected = await play(seed, size, place, say, faults)
    jobs = list(records.jobs.values())
    return SoakVerdict(
        seed,
        [*find_broken(records), *unexpected],
        jobs=len(jobs),
        completed=sum(job.state == "completed" for job in jobs),
        refused=sum(job.tries[-1:] == ["503"] for job in jobs),
        runs=len(records.runs),
        configurations=sum(not one.read for one in records.configurations),
        faults=[str(fault) for fault in faults],
    )


async def play(seed, size, folder, say, faults):
    """Run the processes, the load and the faults; return what was seen."""
    clock, rng, records = SoakClock(), Random(seed), SoakRecords()
    network = FIRST_NETWORK + os.getpid() % NETWORKS
    async with (
        run_cluster(folder, network, size, clock, rng) as cluster,
        aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session,
    ):
        entries = size.names("entry")
        ready = {name: cluster.address(name, READY_PORT) for name in entries}
        balancer = Balancer({name: cluster.address(name, CALLERS_PORT) for name in entries}, rng)
        callers = Callers(balancer, records, clock, rng)
        control = [cluster.address(name, CONTROL_HTTP_PORT) for name in size.names("control")]
        operators = Operators(control, session, records, clock, rng)
        background = [
            asyncio.create_task(balancer.run(session, ready)),
            asyncio.create_task(operators.run()),
        ]
        try:
            await wait_ready(callers, clock)
            load = asyncio.create_task(callers.run())
            run = FaultRun(cluster, callers, operators, records, clock, timeline(say, clock))
            await run.run(faults)
            await asyncio.sleep(CALM_S)
            records.calm_from = clock.now()
            callers.until = records.calm_from + AFTER_CALM_S
            await load
        finally:
            for task in background:
                task.cancel()
            with suppress(asyncio.CancelledError):
                await asyncio.gather(*background, return_exceptions=True)
        records.ended_at = clock.now()
        for worker in cluster.workers.values():
            records.runs += worker.journal
        return records, cluster.unexpected


def timeline(say, clock):
    """Return a function that says a line with the time before it."""
    return lambda text: say(f"{clock.now():7.2f} s  {text}")
