"""The demo: run sample jobs on every sample deployment in one process and print the results."""

import asyncio
import time
from random import Random

from tabulate import tabulate

from onyxfork.workload.caller import JobSpec, is_correct, submit_job
from onyxfork.workload.deployment import DEPLOYMENTS
from onyxfork.workload.embedded import run_embedded

__all__ = ["run_demo"]

JOBS_PER_KIND = 4
SEED = 7


def sample_jobs(deployment, rng):
    """Draw `JOBS_PER_KIND` jobs of each kind."""
    jobs = []
    for kind in deployment.jobs:
        for _ in range(JOBS_PER_KIND):
            count = rng.choice((1, 5, 20, 60))
            run_ms = [rng.uniform(50, 400) for _ in range(count)]
            jobs.append(
                JobSpec(
                    at_s=0.0,
                    organisation=deployment.organisation,
                    service=deployment.service,
                    team=deployment.team,
                    job=kind.name,
                    run_ms=run_ms,
                    declared_ms=run_ms,
                )
            )
    return jobs


async def run_deployment(deployment, rng, out):
    """Run one deployment's jobs, print each answer and return whether all answers are correct."""
    out(f"\n{deployment.cluster}: {deployment.workers} workers in {len(deployment.zones)} zones")
    async with run_embedded(deployment) as embedded:
        records = []
        for number, spec in enumerate(sample_jobs(deployment, rng)):
            record = await submit_job(embedded.session, [embedded.entry_url(number)], spec)
            records.append(record)
            out(answer_line(record))
        wasted = sum(
            node.metrics.count_wasted_messages() for node in embedded.entries + embedded.agents
        )
    tasks = sum(len(record.spec.run_ms) for record in records)
    ideal = sum(max(record.spec.run_ms) for record in records) / len(records)
    mean = sum(record.response_ms for record in records) / len(records)
    row = {
        "jobs": len(records),
        "tasks": tasks,
        "complete and whole": sum(map(is_correct, records)),
        "mean response ms": round(mean, 1),
        "mean ideal ms": round(ideal, 1),
        "response / ideal": round(mean / ideal, 3),
        "wasted messages": wasted,
        "wasted / task": round(wasted / tasks, 3),
    }
    out(tabulate([row], headers="keys"))
    return all(map(is_correct, records))


def answer_line(record):
    """Format one answer as a line of text."""
    ideal = max(record.spec.run_ms)
    return (
        f"  {record.spec.job:15} {len(record.spec.run_ms):3} tasks  {record.state:9} "
        f"{record.response_ms:7.1f} ms (ideal {ideal:6.1f})  {record.submission}"
    )


def run_demo(out=print):
    """Run the demo and return the exit status.

    Parameters
    ----------
    out : callable
        Prints one line.

    Returns
    -------
    int
        0 if every answer was complete and correct, 1 otherwise.
    """
    start_s = time.monotonic()
    rng = Random(SEED)

    async def main():
        return [await run_deployment(deployment, rng, out) for deployment in DEPLOYMENTS.values()]

    all_correct = all(asyncio.run(main()))
    out(f"\n{'all answers correct' if all_correct else 'SOME ANSWERS ARE MISSING OR WRONG'}, "
        f"{time.monotonic() - start_s:.1f} s")  # fmt: skip
    return 0 if all_correct else 1
