"""The benchmark: real processes and open-loop arrivals, measured at the callers.

Messages between entries and agents and among entries are counted. A message is wasted if it carried
neither a task that ran nor the result of one. Control traffic is reported separately, because it
grows with the number of nodes and not with the number of tasks.
"""

import asyncio
import os
import time
from collections import Counter, defaultdict
from pathlib import Path
from tempfile import TemporaryDirectory

from attrs import define, field
from hdrh.histogram import HdrHistogram
from prometheus_client.parser import text_string_to_metric_families

from onyxfork.utils.ids import new_id
from onyxfork.workload.caller import submit_job
from onyxfork.workload.checker import check_guarantees
from onyxfork.workload.deployment import DEPLOYMENTS
from onyxfork.workload.experiment import draw_jobs
from onyxfork.workload.ideal import ideal_responses
from onyxfork.workload.processes import run_processes
from onyxfork.workload.scenario_run import ScenarioRun

__all__ = ["BenchResult", "run_bench", "measure"]

CONTROL_PEER = "control"
"""Value of the label ``peer`` for messages to and from control instances."""
SLOWDOWN_SCALE_FACTOR = 1000
MAX_SCALED_SLOWDOWN = 10_000_000
"""Upper bound of the histogram, in units of 1 / `SLOWDOWN_SCALE_FACTOR`."""
WARM_UP_S = 3.0
"""Time after the start of the load that goodput leaves out."""
REFUSED_ON_ARRIVAL_TEXT = "would need"
"""Part of the reason of jobs that an entry refuses because they cannot meet their deadline."""
EXPIRED_IN_QUEUE_TEXT = "no longer end before"
"""Part of the reason of jobs that can no longer meet their deadline after waiting in a queue."""


@define
class BenchResult:
    """Figures of one run.

    Parameters
    ----------
    policy : str
    figures : dict
        Overall figures by name.
    by_class : dict
        Maps a job's name to its figures.
    slowdowns : dict
        Maps a job's name to the slowdowns of its complete jobs.
    findings : Findings
    """

    policy: str
    figures: dict = field(factory=dict)
    by_class: dict = field(factory=dict)
    slowdowns: dict = field(factory=dict)
    findings: object = None


@define
class UsageCounters:
    """Cumulative messages and processor time of the processes at one time.

    Parameters
    ----------
    useful, wasted : int
        Messages other than control traffic.
    kinds : Counter
        Wasted messages by kind.
    control : int
        Messages to and from control instances.
    cpu_s : dict
        Maps a running process to the processor time that it has used.
    """

    useful: int = 0
    wasted: int = 0
    kinds: Counter = field(factory=Counter)
    control: int = 0
    cpu_s: dict = field(factory=dict)


async def read_counters(cluster):
    """Read the messages of entries and agents and the processor time of all processes."""
    counters = UsageCounters()
    for name, process in cluster.processes.items():
        role = process.arguments[0]
        if not process.is_running:
            continue
        counters.cpu_s[name] = cpu_seconds(process.process.pid)
        if role not in ("entry", "agent"):
            continue
        try:
            async with cluster.session.get(f"{cluster.url(name)}/metrics") as response:
                text = await response.text()
        except OSError:
            continue
        add_messages(counters, text)
    return counters


def add_messages(counters, text):
    """Add the sent and refused messages of one process's metrics page."""
    for family in text_string_to_metric_families(text):
        if family.name != "messages":
            continue
        for sample in family.samples:
            labels = sample.labels
            if labels.get("direction") not in ("sent", "refused"):
                continue
            if labels["peer"] == CONTROL_PEER:
                counters.control += int(sample.value)
            elif labels["useful"] in ("true", "True"):
                counters.useful += int(sample.value)
            else:
                counters.wasted += int(sample.value)
                counters.kinds[labels["kind"]] += int(sample.value)


def cpu_seconds(pid):
    """Return the user and system time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


@define
class BenchRun:
    """One run of a workload under one policy.

    Parameters
    ----------
    workload : Workload
    cluster : ProcessCluster
    jobs : list of JobSpec
    fault_runner : ScenarioRun
        Executes the workload's faults.
    records : list of CallerRecord
    started_at : float
        Monotonic seconds at the start of the load.
    started_wall_ms : float
        Wall-clock time in milliseconds at the start of the load.
    """

    workload: object
    cluster: object
    jobs: list
    fault_runner: ScenarioRun
    records: list = field(factory=list)
    started_at: float = 0.0
    started_wall_ms: float = 0.0

    async def submit_at(self, number, spec):
        """Submit one job at its time of arrival, with the delay between callers and entries."""
        urls = self.cluster.entry_urls()
        first_entry = number % len(urls)
        ordered_urls = urls[first_entry:] + urls[:first_entry]
        delay_s = self.cluster.deployment.client_delay_ms / 1000
        await asyncio.sleep(max(0.0, self.started_at + spec.at_s - time.monotonic()))
        arrived_at = time.monotonic()
        spec.submission = new_id(int(time.time() * 1000))
        if spec.cancel_after_s is not None:
            cancellation = asyncio.create_task(
                self.fault_runner.cancel_after_delay(ordered_urls[0], spec)
            )
        await asyncio.sleep(delay_s)
        record = await submit_job(self.cluster.session, ordered_urls, spec, resubmit=True)
        await asyncio.sleep(delay_s)
        record.sent_at = arrived_at
        if record.answered_at is not None:
            record.answered_at = time.monotonic()
        if spec.cancel_after_s is not None:
            await cancellation
        self.records.append(record)

    async def run_faults(self):
        """Execute the faults of the workload, each at its time."""
        for fault in sorted(self.workload.faults, key=lambda planned: planned.at_s):
            await asyncio.sleep(max(0.0, self.started_at + fault.at_s - time.monotonic()))
            action = {"break": "break_upstream", "start": "start_process"}.get(
                fault.action, fault.action
            )
            values = (fault.target, fault.value) if fault.action == "slow" else (fault.target,)
            await getattr(self.fault_runner, f"do_{action}")(*values)

    async def run(self):
        """Submit every job and wait for the last answer."""
        self.started_at, self.started_wall_ms = time.monotonic(), time.time() * 1000
        self.fault_runner.started_at = self.started_at
        submissions = [self.submit_at(number, spec) for number, spec in enumerate(self.jobs)]
        await asyncio.gather(*submissions, self.run_faults())


def make_delay_function(deployment):
    """Return a function from two places to the one-way delay between them, for the proxy."""

    def delay_s(source, target):
        crosses_zones = source.zone != target.zone
        return deployment.zone_delay_ms / 1000 if crosses_zones else 0.0

    return delay_s


async def run_bench(workload, policy, seed, seconds, folder=None, tuning=None):
    """Run a workload under one policy.

    Parameters
    ----------
    workload : Workload
    policy : str
    seed : int
    seconds : float
        Duration of the arrivals.
    folder : path-like, optional
        For settings, logs and journals; a temporary one by default.
    tuning : Tuning, optional

    Returns
    -------
    BenchResult
    """
    deployment = DEPLOYMENTS[workload.deployment]
    jobs = draw_jobs(workload, seed, seconds)
    with TemporaryDirectory(prefix="onyxfork-bench-") as temporary:
        context = run_processes(
            deployment,
            folder or temporary,
            deployment.workers,
            policy=policy,
            seed=seed,
            tuning=tuning,
        )
        async with context as cluster:
            cluster.proxy.base_delay_s = make_delay_function(deployment)
            fault_runner = ScenarioRun(None, cluster, None, print)
            run = BenchRun(workload, cluster, jobs, fault_runner)
            before = await read_counters(cluster)
            await run.run()
            after = await read_counters(cluster)
            journal = cluster.journal_lines()
    return measure(run, deployment, policy, before, after, journal, seconds)


def measure(run, deployment, policy, before, after, journal, seconds):
    """Compute the figures of a finished run, overall and for each job of the deployment."""
    findings = check_guarantees(run.records, journal)
    slots = deployment.workers * deployment.slots
    urgency_of = {job.name: job.urgency for job in deployment.jobs}
    ideal = dict(zip(map(id, run.jobs), ideal_responses(run.jobs, slots, urgency_of), strict=True))
    started = sum(1 for line in journal if line["event"] == "start")
    failed = sum(1 for line in journal if line["event"] == "end" and line["outcome"] == "failed")
    figures = findings.as_dict()
    figures.pop("examples")
    figures |= response_figures(run.records, ideal, deployment)
    figures |= message_figures(before, after, started)
    figures["failed_tasks_share"] = round(failed / max(1, started), 4)
    figures["goodput"] = goodput(run, journal, slots, seconds)
    figures["refusal_p99_ms"] = refusal_p99(run.records)
    figures["given_up_waiting"] = sum(
        1 for record in run.records if EXPIRED_IN_QUEUE_TEXT in (record.body.get("reason") or "")
    )
    result = BenchResult(policy, figures, findings=findings)
    groups = defaultdict(list)
    for record in run.records:
        groups[record.spec.job].append(record)
    for name, records in sorted(groups.items()):
        states = Counter(record.state for record in records)
        result.by_class[name] = {"jobs": len(records), **states}
        result.by_class[name] |= response_figures(records, ideal, deployment)
        result.slowdowns[name] = [slowdown(r) for r in records if r.state == "complete"]
    return result


def slowdown(record):
    """Return the response time as a multiple of the run time of the job's longest task."""
    return record.response_ms / max(record.spec.run_ms)


def response_figures(records, ideal, deployment):
    """Compute slowdown and schedule ratio of the complete jobs among `records`.

    The schedule ratio is the sum of response times over the sum of those of the ideal scheduler;
    ``schedule_ratio_less_path`` first deducts the round-trip delay between caller and worker.
    """
    complete = [record for record in records if record.state == "complete"]
    if not complete:
        return {"slowdown_mean": None, "schedule_ratio": None}
    histogram = HdrHistogram(1, MAX_SCALED_SLOWDOWN, 3)
    for record in complete:
        histogram.record_value(int(slowdown(record) * SLOWDOWN_SCALE_FACTOR))
    path_ms = 2 * (deployment.client_delay_ms + deployment.zone_delay_ms)
    responses = sum(record.response_ms for record in complete)
    ideals = sum(ideal[id(record.spec)] for record in complete)
    mean = sum(map(slowdown, complete)) / len(complete)
    return {
        "slowdown_mean": round(mean, 3),
        "slowdown_p50": histogram.get_value_at_percentile(50) / SLOWDOWN_SCALE_FACTOR,
        "slowdown_p99": histogram.get_value_at_percentile(99) / SLOWDOWN_SCALE_FACTOR,
        "response_mean_ms": round(responses / len(complete), 1),
        "ideal_mean_ms": round(ideals / len(complete), 1),
        "schedule_ratio": round(responses / ideals, 4),
        "schedule_ratio_less_path": round((responses - path_ms * len(complete)) / ideals, 4),
    }


def message_figures(before, after, started):
    """Compute messages and processor time per started task from counters before and after."""
    tasks = max(1, started)
    wasted = after.wasted - before.wasted
    total = after.useful - before.useful + wasted
    figures = {
        "tasks_started": started,
        "messages_per_task": round(total / tasks, 4),
        "wasted_messages_per_task": round(wasted / tasks, 4),
        "wasted_kinds": dict(after.kinds - before.kinds),
        "control_messages": after.control - before.control,
    }
    for role in ("entry", "agent"):
        names = [
            process_name
            for process_name in after.cpu_s
            if process_name.startswith(role) or process_name.endswith(f".{role}")
        ]
        used_s = sum(after.cpu_s[name] - before.cpu_s.get(name, 0.0) for name in names)
        figures[f"{role}_cpu_us_per_task"] = round(used_s / tasks * 1e6, 1)
    return figures


def goodput(run, journal, slots, seconds):
    """Return the share of all slots' time that was used by jobs answered as complete.

    It is computed from the upstreams' journals over the arrivals, without the first `WARM_UP_S`.
    """
    complete = {record.submission for record in run.records if record.state == "complete"}
    begin_wall_ms = run.started_wall_ms + WARM_UP_S * 1000
    end_wall_ms = run.started_wall_ms + seconds * 1000
    started = {}
    used_ms = 0.0
    for line in journal:
        key = (line["submission"], line["task"])
        if line["event"] == "start":
            started[key] = line["wall_ms"]
        elif line["event"] == "end" and key in started and line["submission"] in complete:
            used_ms += max(
                0.0, min(end_wall_ms, line["wall_ms"]) - max(begin_wall_ms, started[key])
            )
    return round(used_ms / slots / (end_wall_ms - begin_wall_ms), 4)


def refusal_p99(records):
    """Return the 99th percentile of response times of jobs refused on arrival, in milliseconds."""
    times_ms = sorted(
        record.response_ms
        for record in records
        if record.state == "not_run"
        and REFUSED_ON_ARRIVAL_TEXT in (record.body.get("reason") or "")
    )
    return round(times_ms[int(len(times_ms) * 0.99)], 1) if times_ms else None
