"""Workload files, and the arrivals of jobs drawn from them by seed."""

import json
import math
from pathlib import Path
from random import Random
from typing import Any

from attrs import define, field

from onyxfork.errors import SettingsError
from onyxfork.settings import build_value
from onyxfork.workload.caller import JobSpec
from onyxfork.workload.deployment import DEPLOYMENTS

__all__ = ["Workload", "Burst", "Fault", "load_workload", "draw_jobs"]

FAULT_ACTIONS = ("break", "slow", "kill", "start", "pause", "resume", "stop", "cut", "heal")


@define
class RunTimes:
    """A log-normal distribution of run times in milliseconds, clamped to `least` and `most`."""

    median: float = 220.0
    sigma: float = 0.8
    least: float = 50.0
    most: float = 4000.0


@define
class Burst:
    """Jobs that arrive at the same time and together occupy all slots for `capacity_s` seconds."""

    at_s: float
    capacity_s: float


@define
class Fault:
    """A fault action on a process at a time; `value` is the factor of ``slow``."""

    at_s: float
    action: str
    target: str
    value: float = 0.0


@define
class Workload:
    """The load and the faults of a benchmark.

    Parameters
    ----------
    deployment : str
    load : float
        Offered load as a share of the capacity of all slots.
    sizes : dict
        Maps a number of tasks to its weight.
    mix : dict
        Maps a job to its weight; all idempotent jobs with equal weights if empty.
    declared : float
        Declared run time as a multiple of the true run time; 0 declares none.
    cancelled : float
        Share of jobs that are cancelled shortly after they arrive.
    """

    deployment: str
    load: float
    sizes: dict[str, float] = field(
        factory=lambda: {"1": 0.35, "4": 0.25, "12": 0.2, "30": 0.13, "60": 0.05, "120": 0.02}
    )
    mix: dict[str, float] = field(factory=dict)
    run_ms: RunTimes = field(factory=RunTimes)
    declared: float = 1.0
    cancelled: float = 0.0
    deadline_ms: float = 10_000.0
    bursts: list[Burst] = field(factory=list)
    faults: list[Fault] = field(factory=list)
    note: str = ""


def load_workload(path):
    """Return the workload in a JSON file.

    Raises
    ------
    SettingsError
        If the file cannot be read or values are invalid; lists every problem.
    """
    try:
        data: Any = json.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise SettingsError([f"{path}: {error}"]) from None
    problems = []
    workload = build_value(Workload, data, "$", problems)
    if not problems:
        problems = find_problems(workload)
    if problems:
        raise SettingsError([f"{path}: {problem}" for problem in problems])
    return workload


def find_problems(workload):
    """Return a message for each invalid value of a workload."""
    problems = []
    if workload.deployment not in DEPLOYMENTS:
        known = ", ".join(DEPLOYMENTS)
        problems.append(f"$.deployment: expected one of {known}, got {workload.deployment!r}")
        return problems
    jobs = {job.name for job in DEPLOYMENTS[workload.deployment].jobs}
    for name in workload.mix:
        if name not in jobs:
            problems.append(f"$.mix.{name}: expected one of {', '.join(sorted(jobs))}")
    for size in workload.sizes:
        if not size.isdigit() or not 1 <= int(size) <= 120:
            problems.append(f"$.sizes.{size}: expected 1 to 120 tasks")
    if workload.load <= 0:
        problems.append(f"$.load: expected a number above 0, got {workload.load}")
    for number, fault in enumerate(workload.faults):
        if fault.action not in FAULT_ACTIONS:
            problems.append(
                f"$.faults[{number}].action: expected one of {', '.join(FAULT_ACTIONS)}"
            )
    return problems


def draw_run_ms(run_ms, rng):
    """Draw one run time."""
    value = rng.lognormvariate(math.log(run_ms.median), run_ms.sigma)
    return min(run_ms.most, max(run_ms.least, value))


def mean_run_ms(run_ms, rng, samples=4000):
    """Estimate the mean run time from `samples` draws."""
    return sum(draw_run_ms(run_ms, rng) for _ in range(samples)) / samples


def draw_jobs(workload, seed, seconds):
    """Draw the arrivals of one run.

    Parameters
    ----------
    workload : Workload
    seed : int
    seconds : float

    Returns
    -------
    list of JobSpec
        In order of arrival.
    """
    rng = Random(f"arrivals {seed}")
    deployment = DEPLOYMENTS[workload.deployment]
    slots = deployment.workers * deployment.slots
    mean_ms = mean_run_ms(workload.run_ms, Random("mean"))
    sizes = [int(size) for size in workload.sizes]
    weights = list(workload.sizes.values())
    mean_size = sum(
        task_count * weight for task_count, weight in zip(sizes, weights, strict=True)
    ) / sum(weights)
    jobs_per_s = workload.load * slots * 1000 / mean_ms / mean_size
    mix = workload.mix or {job.name: 1.0 for job in deployment.jobs if job.idempotent}

    def draw(at_s):
        return draw_job(workload, deployment, rng, at_s, (sizes, weights), mix)

    jobs = []
    at_s = rng.expovariate(jobs_per_s)
    while at_s < seconds:
        jobs.append(draw(at_s))
        at_s += rng.expovariate(jobs_per_s)
    for burst in workload.bursts:
        work_ms = burst.capacity_s * 1000 * slots
        while work_ms > 0:
            job = draw(burst.at_s)
            jobs.append(job)
            work_ms -= sum(job.run_ms)
    jobs.sort(key=lambda job: job.at_s)
    return jobs


def draw_job(workload, deployment, rng, at_s, size_weights, mix):
    """Draw one job; `size_weights` holds the numbers of tasks and their weights."""
    task_count = rng.choices(*size_weights)[0]
    run_ms = [draw_run_ms(workload.run_ms, rng) for _ in range(task_count)]
    cancelled = rng.random() < workload.cancelled
    return JobSpec(
        at_s=at_s,
        organisation=deployment.organisation,
        service=deployment.service,
        team=deployment.team,
        job=rng.choices(list(mix), list(mix.values()))[0],
        run_ms=run_ms,
        declared_ms=[true_ms * workload.declared for true_ms in run_ms],
        deadline_ms=workload.deadline_ms,
        cancel_after_s=rng.uniform(0.0, 0.5) if cancelled else None,
    )
