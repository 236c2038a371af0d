"""The capacity benchmark.

It measures the slopes in this process, and the cost of jobs at an entry and the memory of each
role in separate processes.
"""

import asyncio
from pathlib import Path
from tempfile import TemporaryDirectory

import attrs

from onyxfork.workload.deployment import BYGDELAG
from onyxfork.workload.fitting import fit_line
from onyxfork.workload.processes import run_processes
from onyxfork.workload.slopes import measure_slopes
from onyxfork.workload.slopes_entry import measure_reference_us
from onyxfork.workload.throughput import measure_throughput

__all__ = ["run_bench_capacity"]

JOB_SIZES = (1, 20, 60, 120)
WORKERS = 8
SECONDS_PER_JOB_SIZE = 5.0


async def measure_entry_job_slope(out):
    """Measure the processor time of a job at the entry as a function of its number of tasks."""
    points = []
    for tasks in JOB_SIZES:
        figures = await measure_throughput(SECONDS_PER_JOB_SIZE, tasks, WORKERS)
        per_job = figures["entry_cpu_us_per_task"] * tasks
        points.append((tasks, per_job))
        out(f"entry, jobs of {tasks} tasks: {figures['task_starts_per_s']:.0f} starts/s")
    return fit_line("a job at the entry, by its tasks", "µs", points)


async def measure_process_memory():
    """Measure the resident memory of one idle process of each role, in bytes."""
    memory_by_role = {}
    with TemporaryDirectory(prefix="onyxfork-memory-") as folder:
        async with run_processes(BYGDELAG, folder, 1, entries=1) as cluster:
            await asyncio.sleep(1.0)
            for process in cluster.processes.values():
                memory_by_role[process.arguments[0]] = resident_bytes(process.process.pid)
    return {role: memory_by_role[role] for role in ("entry", "agent", "control")}


def resident_bytes(pid):
    """Return the resident memory of a process in bytes."""
    status = Path(f"/proc/{pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return int(line.split()[1]) * 1024


def run_bench_capacity(out=print):
    """Measure what the capacity page is calculated from.

    Parameters
    ----------
    out : callable
        Prints progress.

    Returns
    -------
    dict
        ``reference_us``, ``slopes`` by name, ``process_bytes`` by role.
    """
    reference = measure_reference_us()
    out(f"reference operation: {reference:.2f} µs")
    slopes = measure_slopes(out)
    jobs = asyncio.run(measure_entry_job_slope(out))
    slopes[jobs.name] = jobs
    return {
        "reference_us": reference,
        "slopes": {name: attrs.asdict(slope) for name, slope in slopes.items()},
        "process_bytes": asyncio.run(measure_process_memory()),
    }
