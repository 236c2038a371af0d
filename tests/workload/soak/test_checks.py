"""Each check of a soak reports its violation, and none is reported for valid records."""

import pytest

from onyxfork.platform.standin.worker import RunRecord
from onyxfork.workload.soak.checks import (
    MAX_APPLY_DELAY_S,
    MAX_START_AFTER_DRAIN_S,
    MAX_START_AFTER_EVACUATION_S,
    SHRINK_GRACE_S,
    ConfigurationRecord,
    EvacuationRecord,
    JobRecord,
    SoakRecords,
    find_violations,
)

JOB = "00000000000000a1"


def make_run(
    started_at, ended_at, outcome="done", number=1, worker="i-1", index=0, spec="3100 120"
):
    task = f"{JOB}.0.0.{index}"
    record = RunRecord(worker, JOB, task, number, spec, started_at)
    record.ended_at, record.outcome = ended_at, outcome
    return record


def make_records():
    """Return records without violations, of one job, one configuration and one drain."""
    records = SoakRecords(final_load_from=50.0, ended_at=60.0)
    job = JobRecord(JOB, "3100 120", 2, 51.0, "entry-1", ["200"], "completed", 52.0)
    records.jobs[JOB] = job
    records.runs = [make_run(51.1, 51.3), make_run(51.1, 51.4, index=1)]
    records.configurations = [
        ConfigurationRecord(3, b"three", 10.0, acked_at=10.1, status=200),
        ConfigurationRecord(3, b"three", 55.0, status=200, is_read=True),
    ]
    records.drains = [("i-9", 20.0)]
    records.zones = {"i": "a", "i-b": "b"}
    records.evacuations = [EvacuationRecord("a", 20.0, 27.0, 27.1)]
    return records


def test_valid_records_have_no_violation():
    assert find_violations(make_records()) == []


def odd_report_accepted(records):
    records.odd_report_statuses = [400, 200]


def two_runs_at_once(records):
    records.runs.append(make_run(51.2, 51.5, number=2, worker="i-2"))


def run_of_an_unknown_job(records):
    records.runs[0].job = "00000000000000ff"


def run_with_another_spec(records):
    records.runs[0].spec = "1 1"


def refused_job_that_ran(records):
    records.jobs[JOB].attempts, records.jobs[JOB].state = ["503", "429"], ""


def completed_answer_with_a_failed_task(records):
    records.runs[1].outcome = "failed"


def failure_without_a_failed_run(records):
    records.jobs[JOB].state = "failed"


def start_on_a_draining_worker(records):
    records.drains.append(("i-1", 51.0 - MAX_START_AFTER_DRAIN_S))


def start_in_an_evacuated_zone(records):
    acked_at = 51.0 - MAX_START_AFTER_EVACUATION_S
    records.evacuations.append(EvacuationRecord("a", acked_at, 52.0, 52.1))


def evacuation_without_an_acknowledgement(records):
    records.evacuations.append(EvacuationRecord("b", None, 52.0, 52.1))


def task_started_again_and_again_after_crashes(records):
    records.runs += [
        make_run(10.0 + number, 10.5 + number, "crashed", number, f"i-w-{number}", index=5)
        for number in range(6)
    ]


def start_over_a_shrunk_capacity(records):
    records.capacities["i"] = [(0.0, 32000), (51.0 - SHRINK_GRACE_S, 6000)]


def failure_after_one_crash(records):
    records.jobs[JOB].state = "failed"
    records.runs.append(make_run(10.0, 10.5, "crashed"))


def invalid_configuration_acknowledged(records):
    records.configurations.append(
        ConfigurationRecord(4, b"bad", 20.0, acked_at=20.1, status=200, valid=False)
    )


def old_configuration_read(records):
    records.configurations.append(ConfigurationRecord(5, b"five", 30.0, acked_at=30.1))
    records.configurations.append(
        ConfigurationRecord(3, b"three", 30.2 + MAX_APPLY_DELAY_S, status=200, is_read=True)
    )


def read_with_other_content(records):
    records.configurations[1].body = b"3"


def nothing_read_back(records):
    del records.configurations[1]


def request_cut_by_a_planned_stop(records):
    records.planned_stops.append(("entry-1", 40.0, 41.0))
    records.jobs[JOB].broken_attempts.append(("entry-1", 39.5, 40.5))


def no_job_served_in_the_final_load(records):
    records.jobs[JOB].state, records.jobs[JOB].attempts = "", ["timeout"]


@pytest.mark.parametrize(
    ("violate", "expected_text"),
    [
        (two_runs_at_once, "two runs at once"),
        (run_of_an_unknown_job, "unrequested run"),
        (run_with_another_spec, "another spec"),
        (refused_job_that_ran, "false refusal"),
        (completed_answer_with_a_failed_task, "partial answer"),
        (failure_without_a_failed_run, "false failure"),
        (start_on_a_draining_worker, "start on a draining worker"),
        (start_in_an_evacuated_zone, "start in an evacuated zone"),
        (evacuation_without_an_acknowledgement, "evacuation of b was not acknowledged"),
        (task_started_again_and_again_after_crashes, "crashing task"),
        (start_over_a_shrunk_capacity, "over capacity"),
        (failure_after_one_crash, "false failure"),
        (invalid_configuration_acknowledged, "invalid configuration"),
        (old_configuration_read, "old configuration"),
        (read_with_other_content, "other content"),
        (nothing_read_back, "could not be read back"),
        (request_cut_by_a_planned_stop, "planned stop"),
        (no_job_served_in_the_final_load, "no recovery"),
        (odd_report_accepted, "odd reports"),
    ],
)
def test_violation_is_reported(violate, expected_text):
    records = make_records()
    violate(records)
    assert any(expected_text in line for line in find_violations(records)), find_violations(records)


def test_request_cut_by_a_planned_stop_near_an_unplanned_fault_is_no_violation():
    records = make_records()
    request_cut_by_a_planned_stop(records)
    records.unplanned_faults.append((38.0, 39.0))
    assert find_violations(records) == []


def test_start_is_allowed_while_a_shrink_may_be_unknown_and_two_starts_after_three_crashes():
    records = make_records()
    records.capacities["i"] = [(0.0, 32000), (51.2 - SHRINK_GRACE_S, 6000)]
    records.runs += [
        make_run(10.0 + number, 10.5 + number, "crashed", number, f"w-{number}", index=5)
        for number in range(5)
    ]
    assert find_violations(records) == []


def test_start_is_allowed_within_the_bound_after_the_restoration_and_in_other_zones():
    records = make_records()
    records.evacuations += [
        EvacuationRecord("a", 51.2 - MAX_START_AFTER_EVACUATION_S, 58.0, 58.1),
        EvacuationRecord("a", 40.0, 51.0, 53.0),
        EvacuationRecord("b", 40.0, 58.0, 58.1),
    ]
    assert find_violations(records) == []
