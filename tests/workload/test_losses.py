"""Every lost job has one cause, whatever is missing from the log; tables sum to the total."""

import json

import pytest

from onyxfork.main import main
from onyxfork.workload import loss_causes as causes
from onyxfork.workload.loss_causes import find_refusal_cause
from onyxfork.workload.losses import cause_rows, loss_rows, read_logs

ENDED = {
    "message": "job ended",
    "outcome": "completed",
    "reason": "",
    "elapsed_ms": 90.0,
    "objective_ms": 200,
    "slack_ms": 100,
    "placed_ms": 0.0,
    "tasks": 2,
    "runs": 2,
    "size_core_ms": 100,
    "priority": 0,
    "last_placed_ms": 0.0,
    "last_start_ms": 5.0,
    "last_expected_ms": 100.0,
    "last_started_runs": 1,
    "last_pace": 1.0,
    "last_run": 1,
}
NEW_FIELDS = [name for name in ENDED if name.startswith("last_")]
NEW_FIELDS += ["slack_ms", "size_core_ms", "priority"]


def make_line(job, at=None, without=(), **fields):
    """Return a log line with the fields of a job answered in time, changed by `fields`."""
    node = {"time": "2026-05-15 15:37:19,500", "node": "e1", "zone": "a", "queue": "q", "job": job}
    fields = {**node, **({} if "message" in fields else ENDED), **fields}
    text = json.dumps({name: value for name, value in fields.items() if name not in without})
    return text if at is None else f"  {at:.4f} e1 {text}"


def read_lines(tmp_path, *lines, end="\n"):
    path = tmp_path / "entry.log"
    path.write_text("\n".join(lines) + end)
    return read_logs([path])


def late(**fields):
    return {"elapsed_ms": 300.0} | fields


CASES = [
    ({}, ""),
    (late(placed_ms=150.0, last_placed_ms=150.0, last_start_ms=155.0), causes.LATE_ENTRY),
    (late(last_placed_ms=120.0, last_start_ms=125.0), causes.LATE_ENTRY),
    (late(last_start_ms=150.0), causes.LATE_AGENT),
    (late(last_placed_ms=140.0, last_start_ms=150.0, last_run=2), causes.LATE_AGENT),
    (late(last_started_runs=2, placed_ms=150.0, last_placed_ms=250.0), causes.LATE_ENTRY),
    (late(placed_ms=101.0, last_placed_ms=101.0, last_start_ms=105.0), causes.LATE_ENTRY),
    (
        late(elapsed_ms=900.0, placed_ms=101.0, last_placed_ms=101.0, last_start_ms=105.0),
        causes.LATE_LONG_RUN,
    ),
    (late(measured_objective_ms=301), ""),
    ({"elapsed_ms": 190.0, "measured_objective_ms": 150}, causes.LATE_LONG_RUN),
    (late(last_start_ms=110.0, last_usual_run_ms=180.0), causes.LATE_AGENT),
    (late(last_pace=2.0), causes.LATE_SLOW_WORKER),
    (late(), causes.LATE_LONG_RUN),
    (late(last_pace=None), causes.LATE_RUN),
    (late(last_started_runs=2, last_placed_ms=90.0), causes.LATE_SECOND_RUN),
    (late(placed_ms=None), causes.LATE_NOT_LOGGED),
    ({"outcome": "failed"}, causes.FAILED),
    ({"outcome": "unknown"}, causes.UNKNOWN),
    ({"outcome": "refused"}, causes.ABANDONED),
]


@pytest.mark.parametrize("fields, cause", CASES)
def test_job_that_ended_has_the_cause_that_delayed_its_last_task(tmp_path, fields, cause):
    (job,) = read_lines(tmp_path, make_line("1", **fields)).jobs
    assert job.cause == cause


@pytest.mark.parametrize(
    "reason, cause",
    [
        ("would wait 116 ms of 62 ms allowed", causes.REFUSED_WAIT),
        ("queue uses 90 of its share of 80 cores", causes.REFUSED_SHARE),
        ("no worker is ready", causes.REFUSED_NO_WORKER),
        ("this entry is about to stop", causes.REFUSED_OTHER),
    ],
)
def test_refusals_are_told_apart_by_their_reason(reason, cause):
    assert find_refusal_cause({"reason": reason}) == cause


def test_every_table_sums_to_the_total_and_names_each_cause_once(tmp_path):
    lines = [make_line(str(n), n / 2, **fields) for n, (fields, _) in enumerate(CASES)]
    refused = {"message": "job refused", "reason": "no worker is ready"}
    lines.append(make_line("r", 9.0, zone="b", queue="p", size_core_ms=7, **refused))
    job_log = read_lines(tmp_path, *lines)
    lost = 1 + sum(bool(cause) for _, cause in CASES)
    assert len(job_log.lost) == lost
    headers, rows = cause_rows(job_log)
    assert headers[3:] == ["p", "q (priority 0)"]
    assert len({row[0] for row in rows}) == len(rows)
    for column in range(1, len(headers)):
        assert sum(row[column] for row in rows[:-1]) == rows[-1][column]
    for key in ("queue", "zone", "size_class", "interval"):
        *rows, total = loss_rows(job_log, lambda job, key=key: getattr(job, key))
        for column in (1, 2, 4):
            assert sum(row[column] for row in rows) == total[column]
        assert (total[1], total[2]) == (len(CASES) + 1, lost)


def test_logs_of_earlier_releases_keep_undecidable_causes_apart(tmp_path):
    accepted = {"message": "job accepted", "slack_ms": 100}
    again = {"message": "task runs again", "outcome": "stopped"}
    returned = {"message": "task runs again", "outcome": "returned"}
    job_log = read_lines(
        tmp_path,
        *[make_line(job, **accepted) for job in "abc"],
        make_line("b", **again),
        make_line("a", **returned),
        make_line("a", without=NEW_FIELDS, **late()),
        make_line("b", without=NEW_FIELDS, **late()),
        make_line("c", without=NEW_FIELDS, **late(placed_ms=101.0)),
        make_line("d", without=NEW_FIELDS, **late()),
    )
    assert [job.cause for job in job_log.jobs] == [
        causes.LATE_AFTER_ORDER,
        causes.LATE_MAYBE_SECOND_RUN,
        causes.LATE_ENTRY,
        causes.LATE_NOT_LOGGED,
    ]
    assert {job.size_class for job in job_log.jobs} == {"not logged"}


def test_prefixed_time_counts_and_the_lines_own_time_where_there_is_none(tmp_path):
    job_log = read_lines(
        tmp_path,
        "snapshot 1cd4f003",
        make_line("1", -15.5),
        make_line("2", 4.59),
        make_line("3", time="2026-05-15 15:37:39,500"),
    )
    assert [round(job.arrived_s, 2) for job in job_log.jobs] == [-15.59, 4.5, 4.41]
    bare = read_lines(tmp_path, make_line("1"), make_line("2", time="2026-05-15 15:37:22,500"))
    assert [round(job.arrived_s, 2) for job in bare.jobs] == [-0.09, 2.91]
    assert bare.jobs[1].interval == "2 to 4 s"


def test_slow_worker_is_known_from_the_whole_log_before_its_ratio_is_reported(tmp_path):
    # By the ratio of 1 the run of 250 ms is usual, and the objective 60 ms + 1.6 x 250 ms.
    measured = {"objective_base_ms": 60.0, "longest_pace": 1.0, "measured_objective_ms": 460}
    measured |= {"elapsed_ms": 260.0, "last_usual_run_ms": 250.0, "last_run_ms": 250.0}
    lines = []
    for agent, run_ms in (("fast-1", 100.0), ("fast-2", 100.0), ("slow", 250.0)):
        fields = measured | {"last_run_ms": run_ms, "last_agent": agent, "longest_agent": agent}
        lines += [make_line(f"{agent}-{n}", **fields) for n in range(10)]
    assert [job.cause for job in read_lines(tmp_path, *lines).jobs[-2:]] == [
        causes.LATE_SLOW_WORKER
    ] * 2
    assert not read_lines(tmp_path, *lines[:-1]).lost


def test_log_cut_within_a_line_is_read_up_to_there(tmp_path):
    job_log = read_lines(tmp_path, make_line("1"), make_line("2")[:60], end="")
    assert (len(job_log.jobs), job_log.unreadable) == (1, 1)


def test_job_without_an_end_counts_unless_it_may_be_in_progress(tmp_path):
    accepted = {"message": "job accepted", "size_core_ms": 40}
    job_log = read_lines(
        tmp_path,
        make_line("1", 0.0, **accepted),
        make_line("2", 15.0, **accepted),
        make_line("3", 20.0),
    )
    assert [job.cause for job in job_log.lost] == [causes.NOT_ENDED]
    assert job_log.undecided == 1


def test_largest_jobs_of_each_queue_are_classified_beside_their_own_queue(tmp_path):
    lines = [
        make_line(f"{queue}{n}", queue=queue, size_core_ms=scale * n)
        for queue, scale in (("q", 1), ("p", 1000))
        for n in range(1, 11)
    ]
    classes = [job.size_class for job in read_lines(tmp_path, *lines).jobs]
    assert classes == (["rest"] * 7 + ["fifth below"] * 2 + ["largest tenth"]) * 2


def test_command_prints_tables_and_the_bound(tmp_path, capsys):
    path = tmp_path / "entry.log"
    path.write_text(make_line("1", 1.0) + "\n" + make_line("2", 2.0, **late()) + "\n")
    with pytest.raises(SystemExit) as stopped:
        main(["losses", str(path), "--capacity", "8"])
    assert stopped.value.code == 0
    text = capsys.readouterr().out
    assert causes.LATE_LONG_RUN in text and "unavoidable" in text
    with pytest.raises(SystemExit) as stopped:
        main(["losses", str(path), "--capacity-changes", str(path)])
    assert stopped.value.code == 2
    assert "--capacity-changes: needs --capacity" in capsys.readouterr().err
