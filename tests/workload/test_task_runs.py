"""Who ran a task where and when, from whole, incomplete and older logs."""

import json

import pytest

from onyxfork.main import main
from onyxfork.workload.task_run_pairs import describe_gaps, describe_pairs
from onyxfork.workload.task_runs import read_trace, runs_text

JOB = "00000000000000a1"


def make_line(ms, node, message, job=JOB, **fields):
    """Return a line `ms` milliseconds after the full minute."""
    at = {"time": f"2026-05-15 15:37:{ms // 1000:02},{ms % 1000:03}", "message": message}
    process = {"process": f"{node}-p", "job": job} if job else {"process": f"{node}-p"}
    return json.dumps({**at, "node": node, **process, **fields})


def accepted(ms, entry):
    return make_line(ms, entry, "job accepted")


def ended(ms, entry, elapsed_ms, *texts, **fields):
    values = {"outcome": "completed", "elapsed_ms": elapsed_ms, "tasks": 1, "runs": len(texts)}
    return make_line(ms, entry, "job ended", task_runs=list(texts), **{**values, **fields})


def runs_again(ms, entry, run, **fields):
    values = {"agent": "s1", "worker": "w1", "worker_started_ms": 5, "outcome": "lost"}
    times = {"ordered_ago_ms": 100, "started_ago_ms": 90, "news_age_ms": 20.0}
    reason = {"reason": "a new lifetime of the worker has begun"}
    values = {**values, **times, **reason, **fields}
    return make_line(ms, entry, "task runs again", task="0.0", run=run, **values)


def run_ended(ms, agent, run, entry, outcome, **fields):
    who = {"entry": entry, "entry_process": f"{entry}-p", "worker": "w1", "worker_started_ms": 5}
    values = {**who, "token": 77, "outcome": outcome, **fields}
    return make_line(ms, agent, "run ended", task="0.0", run=run, **values)


LIFETIME = {"worker": "w1", "state": "ready"}
REPLACED = [
    make_line(0, "s1", "worker takeover complete", "", token=70),
    make_line(1, "s1", "worker reported", "", started_ms=5, **LIFETIME),
    make_line(2, "s2", "worker takeover complete", "", token=80),
    accepted(1000, "e1"),
    run_ended(1180, "s1", 1, "e1", "lost", reason="a new lifetime of the worker has begun"),
    make_line(1181, "s1", "worker reported", "", started_ms=6, **LIFETIME),
    runs_again(1200, "e1", 1),
    ended(1300, "e1", 300, "0.0/2 done s2 w2@9 200 210 300 5"),
]


def read(tmp_path, lines, target=JOB):
    """Return the trace of lines, which are written to one file a node."""
    by_node = {}
    for line in lines:
        node = line.split('"node": "')[1].split('"')[0]
        by_node.setdefault(node, []).append(line)
    for node, of_node in by_node.items():
        (tmp_path / f"{node}.log").write_text("\n".join(of_node) + "\n")
    return read_trace(target, [tmp_path / f"{node}.log" for node in by_node])


def test_each_run_has_its_entry_lifetime_token_times_and_the_age_of_the_news(tmp_path):
    trace = read(tmp_path, REPLACED)
    first, second = trace.runs
    assert (first.entry, first.process, first.agent) == ("e1", "e1-p", "s1")
    assert (first.worker, first.worker_started_ms) == ("w1", 5)
    assert (first.token, first.token_is_derived) == (77, False)
    times = first.ordered_s, first.started_s, first.ended_s, first.learnt_s
    assert times == pytest.approx((1.1, 1.11, 1.18, 1.2))
    assert (first.news_age_ms, first.outcome, first.runs_again) == (20.0, "lost", True)
    assert (second.worker_started_ms, second.token, second.token_is_derived) == (9, 80, True)
    assert (second.ordered_s, second.learnt_s) == pytest.approx((1.2, 1.3))
    assert describe_gaps(trace) == []
    text = runs_text(trace)
    assert "| 0.0/1 |" in text and "a new lifetime of the worker has begun" in text


def test_end_that_was_only_concluded_is_told_with_the_lifetimes(tmp_path):
    (text,) = describe_pairs(read(tmp_path, REPLACED))
    assert "concluded at 1.180 s and not listed by its worker" in text
    assert "ordered 20 ms later" in text and "replaced by one that began at 6" in text


def test_end_that_a_worker_has_listed_rules_an_overlap_out(tmp_path):
    lines = [*REPLACED[:4], run_ended(1180, "s1", 1, "e1", "failed")]
    lines += [runs_again(1200, "e1", 1, outcome="failed"), REPLACED[-1]]
    assert describe_pairs(read(tmp_path, lines)) == []


# Guards against TWICE: a run that counted as lost went on in the worker's new lifetime, beside the
# run that had replaced it.
def test_run_that_its_worker_lists_after_its_replacement_has_overlapped(tmp_path):
    listed = {"task": f"{JOB}.0.0", "run": 1, "worker": "w1"}
    message = "stopping a run that this agent did not order"
    (text,) = describe_pairs(
        read(tmp_path, [*REPLACED, make_line(1260, "s1", message, "", **listed)])
    )
    assert ": overlapped: the worker still listed the first one at 1.260 s, 60 ms after" in text
    assert "the second one had started at 1.210 s" in text


def test_run_that_its_worker_lists_before_its_replacement_may_have_overlapped(tmp_path):
    listed = {"task": f"{JOB}.0.0", "run": 1, "worker": "w1"}
    line = make_line(1182, "s1", "stopping a run that this agent did not order", "", **listed)
    (text,) = describe_pairs(read(tmp_path, [*REPLACED, line]))
    assert "may have overlapped" in text
    assert "that was wrong, its worker listed it at 1.182 s" in text


def test_two_entries_with_the_same_job_and_how_each_let_go_of_it(tmp_path):
    lines = [
        accepted(1000, "e1"),
        make_line(1500, "e1", "started", ""),
        make_line(
            1550,
            "s1",
            "runs of an entry stopped",
            "",
            entry="e1",
            entry_process="e1-p",
            jobs=[JOB],
            stopped=[f"{JOB}.0.0 run 1 running at w1@5 token 77"],
            reason="the entry has restarted",
        ),
        run_ended(1700, "s1", 1, "e1", "stopped", reason="the entry has restarted", run_ms=600),
        accepted(1600, "e2"),
        ended(1800, "e2", 200, "0.0/1 done s2 w2@9 0 10 190 5"),
    ]
    trace = read(tmp_path, lines)
    assert [(hold.entry, hold.outcome) for hold in trace.holds] == [("e1", ""), ("e2", "completed")]
    assert "its next process started at 0.500 s" in " ".join(describe_gaps(trace))
    (text,) = describe_pairs(trace)
    assert "may have overlapped for 100 ms" in text and "being stopped since 0.550 s" in text
    assert (trace.runs[0].token, trace.runs[0].worker_started_ms) == (77, 5)


def test_what_is_missing_from_logs_is_told(tmp_path):
    (tmp_path / "other.log").write_text("no log line\n")
    lines = [line for line in REPLACED if '"node": "s1"' not in line]
    lines[-1] = lines[-1].replace("0.0/2 done", "0.0/4 done")
    read(tmp_path, lines)
    trace = read_trace(JOB, [tmp_path / "e1.log", tmp_path / "other.log"])
    text = "\n".join(describe_gaps(trace))
    assert "other.log: no log line" in text
    assert "s1: its log is not among the files" in text
    assert "task 0.0 of e1: no line about run 2, 3" in text
    assert "run 0.0/1 of e1: not logged: its fencing token" in text


def test_whole_fields_of_an_incomplete_line_are_used(tmp_path):
    again = REPLACED[6]
    cut = [*REPLACED[:6], again[: again.index('"started_ago_ms"') + 5], REPLACED[7][:-20]]
    (tmp_path / "e1.log").write_text("\n".join(f">     {line}" for line in cut) + "\n")
    trace = read_trace(JOB, [tmp_path / "e1.log"])
    assert [(run.task, run.run, run.agent) for run in trace.runs][0] == ("0.0", 1, "s1")
    assert trace.incomplete_count == 2
    assert "2 incomplete lines" in " ".join(describe_gaps(trace))


@pytest.mark.parametrize("damage", ["null", '"', "[]", "{", "-1", '"x"'])
def test_damaged_lines_are_no_error(tmp_path, damage):
    for position in range(0, len(REPLACED[6]), 3):
        again = REPLACED[6][:position] + damage + REPLACED[6][position + len(damage) :]
        (tmp_path / "e1.log").write_text("\n".join([*REPLACED[3:6], again, REPLACED[7]]))
        assert "Runs" in runs_text(read_trace(JOB, [tmp_path / "e1.log"]))


def test_logs_of_an_older_release_tell_what_they_lack(tmp_path):
    lacking = "process", "worker_started_ms", "task_runs", "ordered_ago_ms", "news_age_ms"
    lacking = *lacking, "entry", "entry_process"
    lines = []
    for line in REPLACED:
        fields = json.loads(line)
        lines.append(json.dumps({k: v for k, v in fields.items() if k not in lacking}))
    connected = make_line(500, "s1", "entry connected", "", entry="e1", incarnation="i1")
    trace = read(tmp_path, [connected, *lines])
    assert [hold.process for hold in trace.holds] == ["i1"]
    (pair,) = describe_pairs(trace)
    assert "and a run that no line names" in pair and "which lifetime had it is not logged" in pair
    text = "\n".join(describe_gaps(trace))
    assert "logged without its runs (1 runs of 1 tasks)" in text
    assert "not logged: when it was ordered, which lifetime had it, how old" in text


@pytest.mark.parametrize("target", [f"{JOB}.0.1", f"{JOB}.0.0.1"])
def test_other_tasks_are_left_out(tmp_path, target):
    texts = ["0.0/1 done s2 w2@9 0 10 190 5", "0.1/1 done s2 w2@9 0 10 190 5"]
    trace = read(tmp_path, [accepted(1000, "e2"), ended(1200, "e2", 200, *texts)], target)
    assert [run.task for run in trace.runs] == ["0.1"]


@pytest.mark.parametrize(
    "arguments, status, text",
    [
        (["no job!", "LOG"], 2, "TASK-OR-JOB: expected JOB"),
        ([f"{JOB}.0", "LOG"], 2, "TASK-OR-JOB: expected JOB"),
        ([JOB], 2, "LOGS: expected at least one file"),
        ([JOB, "absent.log"], 2, "absent.log: No such file"),
        (["00000000000000ff", "LOG"], 1, "no line of 1 files with 4 lines names"),
    ],
)
def test_bad_input_gets_an_error(tmp_path, capsys, arguments, status, text):
    read(tmp_path, REPLACED)
    paths = [str(tmp_path / "s1.log") if name == "LOG" else name for name in arguments[1:]]
    with pytest.raises(SystemExit) as exit_info:
        main(["runs", arguments[0], *paths])
    assert exit_info.value.code == status
    assert text in capsys.readouterr().err
