"""Measure the throughput of one entry process whose upstreams answer without delay.

The entry is a separate process. Agents and callers run in this process, with the production code
and an upstream client that completes each task immediately. Processor time is that of the entry
process, as accounted by the operating system.
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
from onyxfork.workload.caller import JobSpec, is_correct, submit_job
from onyxfork.workload.deployment import BYGDELAG, agent_settings
from onyxfork.workload.processes import loopback_address, run_processes

__all__ = ["InstantUpstream", "measure_throughput"]

DEFAULT_CALLER_COUNT = 24


class InstantUpstream(UpstreamClient):
    """Completes every task immediately, with the output of a stand-in upstream."""

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
    """Run an agent with an `InstantUpstream` in this process."""
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


async def submit_until(cluster, end_s, tasks, results):
    """Submit jobs one after the other until `end_s`; append the tasks and correctness of each."""
    deployment = cluster.deployment
    run_ms = [1.0] * tasks
    while time.monotonic() < end_s:
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
        results.append((tasks, is_correct(record)))


async def measure_throughput(seconds=8.0, tasks=60, workers=11, callers=DEFAULT_CALLER_COUNT):
    """Measure the throughput of one entry.

    Parameters
    ----------
    seconds : float
    tasks : int
        Number of tasks in each job.
    workers, callers : int

    Returns
    -------
    dict
        Task starts per second, the entry's processor time per task, and jobs with correct answers.
    """
    deployment = evolve(BYGDELAG, workers=workers)
    with TemporaryDirectory(prefix="onyxfork-throughput-") as folder:
        async with run_processes(deployment, folder, 0, entries=1) as cluster:
            async with AsyncExitStack() as stack:
                control = [loopback_address(cluster.advertised_ports["control-1"])]
                for number in range(workers):
                    await run_instant_agent(stack, deployment, number, control)
                await cluster.wait_for_workers(workers)
                return await measure_load(cluster, seconds, tasks, callers)


async def measure_load(cluster, seconds, tasks, callers):
    """Load the entry for 1 s as a warm-up, then for `seconds`, and return the figures."""
    results = []
    warm_up_end_s = time.monotonic() + 1.0
    await asyncio.gather(*(submit_until(cluster, warm_up_end_s, tasks, []) for _ in range(callers)))
    pid = cluster.processes["entry-1"].process.pid
    start_s, start_cpu_s = time.monotonic(), cpu_seconds(pid)
    end_s = start_s + seconds
    await asyncio.gather(*(submit_until(cluster, end_s, tasks, results) for _ in range(callers)))
    elapsed_s, used_cpu_s = time.monotonic() - start_s, cpu_seconds(pid) - start_cpu_s
    submitted_tasks = sum(task_count for task_count, _ in results)
    return {
        "tasks_per_job": tasks,
        "jobs": len(results),
        "jobs_whole": sum(correct for _, correct in results),
        "task_starts_per_s": round(submitted_tasks / elapsed_s, 1),
        "entry_cpu_us_per_task": round(used_cpu_s / submitted_tasks * 1e6, 2),
        "entry_cpu_share": round(used_cpu_s / elapsed_s, 3),
    }
