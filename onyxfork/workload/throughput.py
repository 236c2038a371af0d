"""Throughput of one entry process, with agents whose upstreams take no time.

The entry is a process of its own; agents and callers run here, with the product's own code and an
upstream client that answers at once. Processor time is the entry's own, as the system counts it.
"""

import asyncio
import time
from contextlib import AsyncExitStack
from tempfile import TemporaryDirectory

from attrs import evolve

from onyxfork.daemons.agent import Agent, run_agent
from onyxfork.entities.outcomes import Outcome
from onyxfork.upstreams.client import TaskOutcome, UpstreamClient
from onyxfork.workload.bench import cpu_seconds
from onyxfork.workload.caller import JobSpec, is_whole, submit_job
from onyxfork.workload.deployment import BYGDELAG, agent_settings
from onyxfork.workload.processes import here, run_processes

__all__ = ["InstantUpstream", "measure_throughput"]

CALLERS = 24


class InstantUpstream(UpstreamClient):
    """Ends every task at once, as a stand-in upstream with no run time would."""

    async def run(self, task):
        start = task.start
        output = {"submission": start.submission, "index": start.index, "value": start.index}
        return TaskOutcome(Outcome.DONE, output)

    async def stop(self, submission, index):
        return True

    async def checkpoint(self, submission, index):
        return True

    async def throttle(self, submission, index, share):
        return True


async def run_instant_agent(stack, deployment, number, control):
    """Run an agent here whose upstream takes no time."""
    settings = evolve(agent_settings(deployment, number, control), max_slots=1024)
    agent = Agent.from_config(settings)
    await stack.enter_async_context(run_agent(agent))
    url = f"http://127.0.0.1:{agent.http_port}/v1/announce"
    body = {"url": "http://127.0.0.1:9", "slots": deployment.slots, "lease_s": 60.0}
    body |= {"processors": deployment.processors, "memory_mb": deployment.memory_mb}
    async with agent.session.post(url, json=body) as response:
        response.raise_for_status()
    agent.upstream = InstantUpstream()
    return agent


async def call_until(cluster, until, tasks, counts):
    """Submit one job after the other."""
    deployment = cluster.deployment
    run_ms = [1.0] * tasks
    while time.monotonic() < until:
        spec = JobSpec(
            0.0,
            deployment.organisation,
            deployment.service,
            deployment.team,
            deployment.jobs[0].name,
            run_ms,
            run_ms,
        )
        record = await submit_job(cluster.session, cluster.entry_urls(), spec)
        counts.append((tasks, is_whole(record)))


async def measure_throughput(seconds=8.0, tasks=60, workers=11, callers=CALLERS):
    """Measure one entry.

    Parameters
    ----------
    seconds : float
    tasks : int
        In each job.
    workers, callers : int

    Returns
    -------
    dict
        Task starts a second, processor time a task at the entry, and jobs answered whole.
    """
    deployment = evolve(BYGDELAG, workers=workers)
    with TemporaryDirectory(prefix="onyxfork-throughput-") as folder:
        async with run_processes(deployment, folder, 0, entries=1) as cluster:
            async with AsyncExitStack() as stack:
                control = [here(cluster.outside["control-1"])]
                for number in range(workers):
                    await run_instant_agent(stack, deployment, number, control)
                await cluster.wait_for_workers(workers)
                return await drive(cluster, seconds, tasks, callers)


async def drive(cluster, seconds, tasks, callers):
    """Load the entry for a while and return the figures."""
    counts = []
    warm_until = time.monotonic() + 1.0
    await asyncio.gather(*(call_until(cluster, warm_until, tasks, []) for _ in range(callers)))
    pid = cluster.processes["entry-1"].process.pid
    began, cpu = time.monotonic(), cpu_seconds(pid)
    until = began + seconds
    await asyncio.gather(*(call_until(cluster, until, tasks, counts) for _ in range(callers)))
    took, used = time.monotonic() - began, cpu_seconds(pid) - cpu
    done = sum(count for count, _ in counts)
    return {
        "tasks_per_job": tasks,
        "jobs": len(counts),
        "jobs_whole": sum(whole for _, whole in counts),
        "task_starts_per_s": round(done / took, 1),
        "entry_cpu_us_per_task": round(used / done * 1e6, 2),
        "entry_cpu_share": round(used / took, 3),
    }
