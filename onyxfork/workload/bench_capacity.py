"""The capacity benchmark: slopes here, an entry's cost of jobs, and memory of real processes."""

import asyncio
from pathlib import Path
from tempfile import TemporaryDirectory

import attrs

from onyxfork.workload.deployment import BYGDELAG
from onyxfork.workload.fitting import fit
from onyxfork.workload.processes import run_processes
from onyxfork.workload.slopes import measure_slopes
from onyxfork.workload.slopes_entry import reference_us
from onyxfork.workload.throughput import measure_throughput

__all__ = ["run_bench_capacity"]

JOB_SIZES = (1, 20, 60, 120)
WORKERS = 8
SECONDS_A_SIZE = 5.0


async def entry_job_slope(out):
    """Return the processor time of a job at the entry over its number of tasks."""
    points = []
    for tasks in JOB_SIZES:
        figures = await measure_throughput(SECONDS_A_SIZE, tasks, WORKERS)
        per_job = figures["entry_cpu_us_per_task"] * tasks
        points.append((tasks, per_job))
        out(f"entry, jobs of {tasks} tasks: {figures['task_starts_per_s']:.0f} starts/s")
    return fit("a job at the entry, by its tasks", "µs", points)


async def process_memory():
    """Return the resident memory of one idle process of each role, in bytes."""
    found = {}
    with TemporaryDirectory(prefix="onyxfork-memory-") as folder:
        async with run_processes(BYGDELAG, folder, 1, entries=1) as cluster:
            await asyncio.sleep(1.0)
            for process in cluster.processes.values():
                found[process.arguments[0]] = resident_bytes(process.process.pid)
    return {role: found[role] for role in ("entry", "agent", "control")}


def resident_bytes(pid):
    """Return the resident memory of a process."""
    status = Path(f"/proc/{pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return int(line.split()[1]) * 1024


def run_bench_capacity(out=print):
    """Measure everything that the capacity page is worked out from.

    Returns
    -------
    dict
        ``reference_us``, ``slopes`` by name, ``process_bytes`` by role.
    """
    reference = reference_us()
    out(f"reference operation: {reference:.2f} µs")
    slopes = measure_slopes(out)
    jobs = asyncio.run(entry_job_slope(out))
    slopes[jobs.name] = jobs
    return {
        "reference_us": reference,
        "slopes": {name: attrs.asdict(slope) for name, slope in slopes.items()},
        "process_bytes": asyncio.run(process_memory()),
    }
