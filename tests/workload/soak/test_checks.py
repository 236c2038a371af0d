"""Each check of a soak finds the fault that it is for, and nothing in a sound record."""

import pytest

from onyxfork.platform.standin.worker import RunRecord
from onyxfork.workload.soak.checks import (
    APPLY_S,
    DRAIN_S,
    ConfigurationRecord,
    JobRecord,
    SoakRecords,
    find_broken,
)

JOB = "00000000000000a1"


def run(started_at, ended_at, how="done", number=1, worker="i-1", index=0, spec="3100 120"):
    task = f"{JOB}.0.0.{index}"
    record = RunRecord(worker, JOB, task, number, spec, started_at)
    record.ended_at, record.outcome = ended_at, how
    return record


def make_records():
    """Return the records of a sound soak with one job, one configuration and one drain."""
    records = SoakRecords(calm_from=50.0, ended_at=60.0)
    job = JobRecord(JOB, "3100 120", 2, 51.0, "entry-1", ["200"], "completed", 52.0)
    records.jobs[JOB] = job
    records.runs = [run(51.1, 51.3), run(51.1, 51.4, index=1)]
    records.configurations = [
        ConfigurationRecord(3, b"three", 10.0, acked_at=10.1, status=200),
        ConfigurationRecord(3, b"three", 55.0, status=200, read=True),
    ]
    records.drains = [("i-9", 20.0)]
    return records


def test_sound_records_are_sound():
    assert find_broken(make_records()) == []


def two_runs_at_once(records):
    records.runs.append(run(51.2, 51.5, number=2, worker="i-2"))


def run_of_an_unknown_job(records):
    records.runs[0].job = "00000000000000ff"


def run_with_another_spec(records):
    records.runs[0].spec = "1 1"


def refused_job_that_ran(records):
    records.jobs[JOB].tries, records.jobs[JOB].state = ["503", "429"], ""


def answer_without_an_end(records):
    records.runs[1].outcome = "failed"


def failure_without_a_failed_run(records):
    records.jobs[JOB].state = "failed"


def start_on_a_draining_worker(records):
    records.drains.append(("i-1", 51.0 - DRAIN_S))


def invalid_configuration_acknowledged(records):
    records.configurations.append(
        ConfigurationRecord(4, b"bad", 20.0, acked_at=20.1, status=200, valid=False)
    )


def old_configuration_read(records):
    records.configurations.append(ConfigurationRecord(5, b"five", 30.0, acked_at=30.1))
    records.configurations.append(
        ConfigurationRecord(3, b"three", 30.2 + APPLY_S, status=200, read=True)
    )


def other_content_read(records):
    records.configurations[1].body = b"3"


def nothing_read_back(records):
    del records.configurations[1]


def request_cut_by_a_planned_stop(records):
    records.terms.append(("entry-1", 40.0, 41.0))
    records.jobs[JOB].broken_at.append(("entry-1", 39.5, 40.5))


def nothing_served_at_the_end(records):
    records.jobs[JOB].state, records.jobs[JOB].tries = "", ["timeout"]


@pytest.mark.parametrize(
    ("spoil", "word"),
    [
        (two_runs_at_once, "two runs at once"),
        (run_of_an_unknown_job, "unasked run"),
        (run_with_another_spec, "another spec"),
        (refused_job_that_ran, "false refusal"),
        (answer_without_an_end, "partial answer"),
        (failure_without_a_failed_run, "false failure"),
        (start_on_a_draining_worker, "start on a draining worker"),
        (invalid_configuration_acknowledged, "invalid configuration"),
        (old_configuration_read, "old configuration"),
        (other_content_read, "other content"),
        (nothing_read_back, "can not be read back"),
        (request_cut_by_a_planned_stop, "planned stop"),
        (nothing_served_at_the_end, "no recovery"),
    ],
)
def test_planted_fault_is_found(spoil, word):
    records = make_records()
    spoil(records)
    assert any(word in line for line in find_broken(records)), find_broken(records)


def test_request_cut_by_a_planned_stop_beside_another_fault_is_not_held_against_it():
    records = make_records()
    request_cut_by_a_planned_stop(records)
    records.unplanned.append((38.0, 39.0))
    assert find_broken(records) == []
