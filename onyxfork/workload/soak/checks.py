"""Guarantees that a soak verifies from the records of callers, operators and workers."""

from collections import Counter
from itertools import combinations

from attrs import define, field

__all__ = [
    "SoakRecords",
    "JobRecord",
    "ConfigurationRecord",
    "EvacuationRecord",
    "find_violations",
]

MAX_APPLY_DELAY_S = 2.0
"""Upper bound on the time from the acknowledgement of a configuration until it is in force and
operators read it, or a later one, back."""

MAX_START_AFTER_DRAIN_S = 2.0
"""Upper bound on the time from the acknowledgement that a worker is draining to the last start of a
run on it."""

MAX_START_AFTER_EVACUATION_S = 5.0
"""Upper bound on the time from the acknowledgement of a zone's evacuation to the last start of a
run there."""

OVERLAP_TOLERANCE_S = 0.02
"""Upper bound on an overlap of two runs that is not reported. A worker records the end of a run by
a timer, so up to this much late."""

MIN_SERVED_SHARE = 0.25
"""Lower bound on the share of the jobs of the final load that are completed, as the platform
requires."""

MAX_STARTS_AFTER_THREE_CRASHES = 2
"""Upper bound on the starts of a task after three workers have crashed while they ran it."""

MIN_CRASHES_TO_GIVE_UP = 2
"""A job may be answered ``failed`` after this many crashes of workers that ran one of its tasks."""

SHRINK_GRACE_S = 3.0 + 0.6
"""How long after a shrink the former capacity of a worker still counts: 3 s for the agent to be in
touch, and one report of the worker, with its jitter."""

UNPLANNED_FAULT_MARGIN_S = 3.0
"""A request that a planned stop cut is not reported if an unplanned fault began before the cut and
ended less than this long before the request was sent, or later: the platform allows processes 3 s
to reconnect."""


@define
class JobRecord:
    """One job as its caller observed it.

    Parameters
    ----------
    attempts : list of str
        Outcome of each attempt: an HTTP status, ``broken``, ``refused connection`` or ``timeout``.
    state : str
        ``completed`` or ``failed``, as in the answer; empty if there was none.
    is_abandoned : bool
        Whether the caller disconnects early, without waiting for the outcome.
    broken_attempts : list of (str, float, float)
        Attempts whose connection broke: entry, time of sending, time of the break.
    sends : list of (str, float, float)
        All attempts: entry, time of sending, time of the outcome.
    """

    id: str
    spec: str
    tasks: int
    sent_at: float
    entry: str = ""
    attempts: list = field(factory=list)
    state: str = ""
    ended_at: float | None = None
    is_abandoned: bool = False
    broken_attempts: list = field(factory=list)
    sends: list = field(factory=list)


@define
class ConfigurationRecord:
    """A configuration that an operator sent, or one that was read back if `is_read` is set.

    Parameters
    ----------
    status : int
        HTTP status of the last response; 0 without a response.
    valid : bool
        Whether the configuration must be accepted; otherwise it must be refused.
    """

    version: int
    body: bytes
    sent_at: float
    acked_at: float | None = None
    status: int = 0
    valid: bool = True
    is_read: bool = False


@define
class EvacuationRecord:
    """Evacuation of a zone by an operator, and its end.

    Parameters
    ----------
    acked_at, restore_acked_at : float or None
        When control acknowledged each request; None if it did not.
    restore_sent_at : float
        When the end was first requested.
    """

    zone: str
    acked_at: float | None = None
    restore_sent_at: float = float("inf")
    restore_acked_at: float | None = None


@define
class SoakRecords:
    """Observations of a whole soak; times are seconds of its clock.

    Parameters
    ----------
    jobs : dict of str to JobRecord
    runs : list of RunRecord
        Runs of all workers.
    capacities : dict of str to list of (float, int)
        For each worker that does not guard its capacity, when that changed and the new value in
        thousandths of a core, from its first value on; by name without the number of the lifetime.
    drains : list of (str, float)
        Identifier of the lifetime of each drained worker, and when its draining was acknowledged.
    configurations : list of ConfigurationRecord
    evacuations : list of EvacuationRecord
    zones : dict of str to str
        Zone of each worker, by name without the number of the lifetime.
    unplanned_faults : list of (float, float)
        Start and end of each unplanned fault.
    odd_report_statuses : list of int
        Statuses of the responses to reports of another writer.
    planned_stops : list of (str, float, float)
        Process, when SIGTERM was sent, and when the process had ended.
    final_load_from : float
        End of the recovery phase. The jobs sent from then on are the final load, by which recovery
        is judged.
    ended_at : float
    clock : Clock or None
    max_lag_s : float
        Longest delay of a timer of the soak's own process.
    """

    jobs: dict = field(factory=dict)
    runs: list = field(factory=list)
    capacities: dict = field(factory=dict)
    drains: list = field(factory=list)
    configurations: list = field(factory=list)
    evacuations: list = field(factory=list)
    zones: dict = field(factory=dict)
    unplanned_faults: list = field(factory=list)
    odd_report_statuses: list = field(factory=list)
    planned_stops: list = field(factory=list)
    final_load_from: float = 0.0
    ended_at: float = 0.0
    clock: object = None
    max_lag_s: float = 0.0


def find_violations(records):
    """Return a line for each violation of a guarantee.

    Parameters
    ----------
    records : SoakRecords

    Returns
    -------
    list of str
    """
    checks = (
        find_overlapping_runs,
        find_unrequested_runs,
        find_refused_jobs_that_ran,
        find_wrong_answers,
        find_starts_on_draining_workers,
        find_starts_in_evacuated_zones,
        find_unacknowledged_evacuations,
        find_starts_of_crashing_tasks,
        find_starts_over_capacity,
        find_configuration_violations,
        find_requests_cut_by_planned_stops,
        find_accepted_odd_reports,
        find_missing_recovery,
    )
    return [line for check in checks for line in check(records)]


def find_overlapping_runs(records):
    """Yield a line for each pair of runs of one task that overlap, with the attempts of its job.

    Two runs with the same number were ordered by two entries that had the job; runs with different
    numbers are one entry's, or those of an entry that has learnt of a higher number.
    """
    by_task = {}
    for run in records.runs:
        by_task.setdefault(run.task, []).append(run)
    for task, runs in by_task.items():
        runs.sort(key=lambda run: run.started_at)
        for first, second in combinations(runs, 2):
            ends = [run.ended_at or records.ended_at for run in (first, second)]
            if ends[0] > second.started_at + OVERLAP_TOLERANCE_S:
                job = records.jobs.get(first.job)
                described = ", ".join(describe_run(run, job) for run in (first, second))
                sends = ", ".join(
                    f"{entry} {sent_at:.2f}-{ended_at:.2f} s"
                    for entry, sent_at, ended_at in (job.sends if job else ())
                )
                yield (
                    f"two runs at once for {min(ends) - second.started_at:.3f} s: {task} "
                    f"{described}; attempts: {sends}: {job.attempts if job else []}"
                )


def describe_run(run, job):
    """Return the times, the worker and the order of a run, and the entries that had its job."""
    ended = "the end of the soak" if run.ended_at is None else f"{run.ended_at:.3f} s"
    entries = [
        entry for entry, sent_at, _ in (job.sends if job else ()) if sent_at <= run.started_at
    ]
    return (
        f"run {run.run} on {run.worker} from {run.started_at:.3f} s to {ended} "
        f"({run.outcome or 'running'}{', carried out late' if run.started_late else ''}, "
        f"job sent to {' then '.join(entries) or 'no entry'})"
    )


def find_unrequested_runs(records):
    """Yield a line for each run whose job no caller sent, or whose spec is not that of its job."""
    for run in records.runs:
        job = records.jobs.get(run.job)
        if job is None:
            yield f"unrequested run: {run.task} on {run.worker}; no caller sent job {run.job}"
        elif job.spec != run.spec:
            yield f"unrequested run: {run.task} on {run.worker} has another spec than its job"


def find_refused_jobs_that_ran(records):
    """Yield a line for each job that has run although every attempt was answered 429 or 503.

    Both statuses mean that no task of the job has run or will run.
    """
    ran = {run.job for run in records.runs}
    for job in records.jobs.values():
        if (
            job.id in ran
            and job.attempts
            and all(status in ("429", "503") for status in job.attempts)
        ):
            yield f"false refusal: {job.id} was answered {job.attempts} although it ran"


def find_wrong_answers(records):
    """Yield a line for each answer that the runs of its job do not confirm.

    ``completed`` requires that every task has a run that is done, ``failed`` that a run has failed
    or that enough workers have crashed while they ran one of the tasks.
    """
    done, failed, crashes = {}, set(), Counter()
    for run in records.runs:
        if run.outcome == "crashed":
            crashes[run.task] += 1
            if crashes[run.task] >= MIN_CRASHES_TO_GIVE_UP:
                failed.add(run.job)
        if run.outcome == "done":
            done.setdefault(run.job, set()).add(run.task)
        elif run.outcome == "failed":
            failed.add(run.job)
    for job in records.jobs.values():
        if job.state == "completed" and len(done.get(job.id, ())) < job.tasks:
            yield (
                f"partial answer: {job.id} was answered completed with "
                f"{len(done.get(job.id, ()))} of {job.tasks} tasks done"
            )
        if job.state == "failed" and job.id not in failed:
            yield f"false failure: {job.id} was answered failed, but none of its runs failed"


def find_starts_of_crashing_tasks(records):
    """Yield a line for each task that is started too often after three crashes of its workers.

    Runs that the worker itself started late, without a response to the order, are exempt.
    """
    by_task = {}
    for run in records.runs:
        by_task.setdefault(run.task, []).append(run)
    for task, runs in by_task.items():
        crashed_at = sorted(run.ended_at for run in runs if run.outcome == "crashed")
        if len(crashed_at) < 3:
            continue
        later = sum(run.started_at > crashed_at[2] and not run.started_late for run in runs)
        if later > MAX_STARTS_AFTER_THREE_CRASHES:
            yield f"crashing task: {task} was started {later} times after three crashes"


def find_starts_over_capacity(records):
    """Yield a line for each start that brings a worker over its capacity."""
    by_worker = {}
    for run in records.runs:
        by_worker.setdefault(run.worker, []).append(run)
    for worker, runs in by_worker.items():
        changes = records.capacities.get(worker.rpartition("-")[0])
        for run in runs if changes else ():
            limit = highest_capacity(changes, run.started_at)
            used = sum(
                int(other.spec.split()[0])
                for other in runs
                if other.started_at <= run.started_at
                and (other.ended_at is None or other.ended_at > run.started_at)
            )
            if used > limit and not run.started_late:
                yield (
                    f"over capacity: {run.task} brings {worker} to {used} of {limit} thousandths "
                    f"of a core at {run.started_at:.2f} s"
                )


def highest_capacity(changes, at):
    """Return the highest capacity in force within `SHRINK_GRACE_S` before a time."""
    capacities = []
    for number, (changed_at, capacity) in enumerate(changes):
        replaced_at = changes[number + 1][0] if number + 1 < len(changes) else float("inf")
        if changed_at <= at and replaced_at > at - SHRINK_GRACE_S:
            capacities.append(capacity)
    return max(capacities)


def find_starts_on_draining_workers(records):
    """Yield a line for each run that starts too long after the worker's draining was acknowledged.

    Runs that the worker itself started late, without a response to the order, are exempt.
    """
    drain_acked_at = dict(records.drains)
    for run in records.runs:
        acked_at = drain_acked_at.get(run.worker)
        if (
            acked_at is not None
            and not run.started_late
            and run.started_at > acked_at + MAX_START_AFTER_DRAIN_S
        ):
            yield (
                f"start on a draining worker: {run.task} {run.started_at - acked_at:.2f} s after "
                "the acknowledgement"
            )


def find_starts_in_evacuated_zones(records):
    """Yield a line for each run that starts too long after its zone's evacuation was acknowledged.

    Runs that the worker itself started late, without a response to the order, are exempt.
    """
    acked = [record for record in records.evacuations if record.acked_at is not None]
    for run in records.runs:
        zone = records.zones.get(run.worker.rpartition("-")[0])
        for record in acked:
            not_before = record.acked_at + MAX_START_AFTER_EVACUATION_S
            if (
                record.zone == zone
                and not_before < run.started_at < record.restore_sent_at
                and not run.started_late
            ):
                yield (
                    f"start in an evacuated zone: {run.task} on {run.worker} in {zone} "
                    f"{run.started_at - record.acked_at:.2f} s after the acknowledgement"
                )


def find_unacknowledged_evacuations(records):
    """Yield a line for each evacuation or restoration that control did not acknowledge at all."""
    for record in records.evacuations:
        for name, acked_at in (
            ("evacuation", record.acked_at),
            ("restoration", record.restore_acked_at),
        ):
            if acked_at is None:
                yield f"{name} of {record.zone} was not acknowledged"


def find_configuration_violations(records):
    """Yield a line for each read or acknowledgement of a configuration that violates a guarantee.

    No acknowledged configuration is lost, reverted or changed, none is read that no operator sent,
    and no invalid one is acknowledged.
    """
    sent = {
        record.version: record
        for record in records.configurations
        if not record.is_read and record.valid
    }
    acked = [record for record in sent.values() if record.acked_at is not None]
    for record in records.configurations:
        if not record.is_read and not record.valid and record.acked_at is not None:
            yield f"invalid configuration acknowledged: version {record.version}"
        if not record.is_read or record.status != 200:
            continue
        required = [
            earlier.version
            for earlier in acked
            if earlier.acked_at + MAX_APPLY_DELAY_S < record.sent_at
        ]
        if required and record.version < max(required):
            yield (
                f"old configuration read at {record.sent_at:.2f} s: version {record.version}, "
                f"expected at least {max(required)}"
            )
        if record.version not in sent:
            yield f"configuration read back that no operator sent: version {record.version}"
        elif sent[record.version].body != record.body:
            yield f"configuration {record.version} was read back with other content"
    reads = [record for record in records.configurations if record.is_read and record.status == 200]
    if acked and not any(record.sent_at >= records.final_load_from for record in reads):
        yield "the configuration could not be read back during the final load"


def find_requests_cut_by_planned_stops(records):
    """Yield a line for each request whose connection broke during a planned stop of its entry.

    Requests near an unplanned fault are exempt.
    """
    for job in records.jobs.values():
        for entry, sent_at, cut_at in job.broken_attempts:
            if is_near_unplanned_fault(records, sent_at, cut_at):
                continue
            for name, stop_sent_at, ended_at in records.planned_stops:
                if name == entry and sent_at <= stop_sent_at <= cut_at <= ended_at:
                    yield f"planned stop of {entry} cut {job.id} at {cut_at:.2f} s"


def is_near_unplanned_fault(records, start, end):
    """Return whether an unplanned fault overlapped a request, or ended shortly before its start."""
    return any(
        fault_start < end and start - UNPLANNED_FAULT_MARGIN_S < fault_end
        for fault_start, fault_end in records.unplanned_faults
    )


def find_accepted_odd_reports(records):
    """Yield a line if reports of another writer were not refused with 400."""
    wrong = [status for status in records.odd_report_statuses if status != 400]
    if wrong:
        yield f"odd reports: {len(wrong)} were answered {sorted(set(wrong))}"


def find_missing_recovery(records):
    """Yield a line if too few jobs of the final load were completed, or none was answered."""
    final_jobs = [
        job
        for job in records.jobs.values()
        if job.sent_at >= records.final_load_from
        and job.ended_at is not None
        and not job.is_abandoned
    ]
    served = sum(job.state == "completed" for job in final_jobs)
    if final_jobs and served < MIN_SERVED_SHARE * len(final_jobs):
        yield f"no recovery: {served} of {len(final_jobs)} jobs of the final load were completed"
    if not final_jobs:
        yield "no recovery: no job of the final load was answered"
