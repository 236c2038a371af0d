"""Log lines from which `onyxfork runs` tells who ran a task, where, and how each run ended."""

import sys
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).parent))
from builders import (
    make_dispatcher,
    make_order,
    make_request,
    make_status,
    take_orders,
)  # noqa: E402
from test_arbiter import make_arbiter, start_all  # noqa: E402
from test_path import StandInWorker, run_path, until  # noqa: E402

from onyxfork.direct.answer_log import MAX_TASK_RUNS, task_run_fields  # noqa: E402
from onyxfork.direct.arbiter import RESUME_TIMEOUT_S  # noqa: E402
from onyxfork.direct.lease import FencingToken  # noqa: E402
from onyxfork.direct.messages import TaskEvent  # noqa: E402
from onyxfork.direct.run_log import SLOW_STOP_S, log_slow_stop  # noqa: E402
from onyxfork.messages.codec import structure, unstructure  # noqa: E402


@pytest.fixture
def lines(caplog):
    """Return a function that returns the records with a message."""
    caplog.set_level("INFO", "onyxfork.direct")
    return lambda message: [vars(line) for line in caplog.records if line.message == message]


def order_event(order, kind, worker_started_ms=0, agent_clock=0.0):
    names = order.job, order.step, order.index, order.run, kind
    return TaskEvent(*names, worker_started_ms=worker_started_ms, agent_clock=agent_clock)


def test_first_run_that_is_done_has_no_line_at_its_agent(caplog, lines):
    arbiter, session = make_arbiter()
    session.connection = object()
    arbiter.place(session, [make_order()], 0.0)
    start_all(arbiter, 0.0)
    arbiter.apply_ended_runs([(make_order().ref, "done")], 0.1)
    assert [line.message for line in caplog.records] == []


def test_later_run_is_logged_with_entry_lifetime_and_token(lines):
    arbiter, session = make_arbiter()
    arbiter.place(session, [make_order(run=2)], 0.0)
    arbiter.runs[make_order().ref.key].token = 77
    arbiter.runs[make_order().ref.key].lifetime = ("w1", 5)
    start_all(arbiter, 0.0)
    arbiter.apply_ended_runs([(make_order(run=2).ref, "done")], 0.1)
    (started,), (ended,) = lines("run started"), lines("run ended")
    for line in (started, ended):
        assert (line["task"], line["run"], line["token"]) == ("0.0", 2, 77)
        assert (line["entry"], line["entry_process"]) == ("e1", "i1")
        assert (line["worker"], line["worker_started_ms"]) == ("w1", 5)
    assert (ended["outcome"], ended["run_ms"]) == ("done", 100)


# Guards against runs of a lost entry whose ends are in no log: no event about them is sent.
def test_end_of_a_run_is_logged_although_its_entry_is_gone(lines):
    arbiter, session = make_arbiter()
    arbiter.place(session, [make_order()], 0.0)
    start_all(arbiter, 0.0)
    arbiter.disconnect(session, session.connection, 0.1)
    arbiter.tick(0.2 + RESUME_TIMEOUT_S)
    arbiter.apply_ended_runs([(make_order().ref, "stopped")], 0.5)
    (dropped,), (ended,) = lines("runs of an entry stopped"), lines("run ended")
    assert dropped["stopped"] == ["00000000000000a1.0.0 run 1 running at @0 token 0"]
    assert (ended["outcome"], ended["reason"]) == ("stopped", "the entry is unreachable")
    assert ended["entry_connected"] is False and lines("stopping run") == []


def test_copy_is_logged_with_the_entry_that_has_the_run(lines):
    arbiter, session = make_arbiter()
    arbiter.place(session, [make_order()], 0.0)
    arbiter.place(arbiter.connect("e2", "i2", object()), [make_order()], 0.0)
    (line,) = lines("order refused")
    assert (line["entry"], line["entry_process"], line["reason"]) == ("e2", "i2", "copy")
    assert (line["held_entry"], line["held_entry_process"], line["held_run"]) == ("e1", "i1", 1)


def test_every_fencing_token_is_logged(lines):
    token = FencingToken(1000)
    token.advance()
    token.on_refused(1001)
    token.on_accepted()
    raised = [(line["before"], line["token"]) for line in lines("fencing token raised")]
    assert raised == [(1000, 1001), (1001, 2001), (2001, 2002)]


def test_second_run_is_logged_with_the_age_of_the_news_of_the_first_ones_end(lines):
    dispatcher = make_dispatcher(("s1", "s2"), now=100.0)
    # The agents' clocks are 60 s behind; the fastest report takes no time.
    for node in ("s1", "s2"):
        dispatcher.workers[node].record_clock(40.0, 100.0)
    job = dispatcher.submit(make_request(tasks=1, ms=1000.0), 100.0)
    ((node, (order,)),) = take_orders(dispatcher).items()
    dispatcher.on_events(node, [order_event(order, "started", 5, 40.01)], 100.01)
    dispatcher.on_events(node, [order_event(order, "lost", 5, 40.05)], 100.25)
    (line,) = lines("task runs again")
    assert (line["agent"], line["worker"], line["worker_started_ms"]) == (node, "w1", 5)
    assert (line["ordered_ago_ms"], line["started_ago_ms"]) == (250.0, 240.0)
    assert line["news_age_ms"] == 200.0
    ((other, (second,)),) = take_orders(dispatcher).items()
    assert task_run_fields(job) == {"task_runs": [f"0.0/2 placed {other} - 250 - - -"]}
    dispatcher.on_events(other, [order_event(second, "started", 6, 40.26)], 100.26)
    dispatcher.on_events(other, [order_event(second, "done", 6, 40.5)], 100.51)
    text = f"0.0/2 done {other} w1@6 250 260 510 10"
    assert task_run_fields(job) == {"task_runs": [text]}


def test_run_refused_as_old_is_logged_under_its_own_number(lines):
    dispatcher = make_dispatcher()
    dispatcher.submit(make_request(tasks=1, ms=1000.0), 0.0)
    (order,) = take_orders(dispatcher)["s1"]
    event = order_event(order, "returned")
    event.reason = "old"
    dispatcher.on_events("s1", [event], 0.01)
    assert [line["run"] for line in lines("task runs again")] == [1]


def test_runs_of_a_large_job_are_bounded_and_those_of_repeated_tasks_come_first():
    dispatcher = make_dispatcher(cpu=100_000, cpu_free=100_000)
    job = dispatcher.submit(make_request(tasks=40, ms=1000.0), 0.0)
    order = take_orders(dispatcher)["s1"][39]
    dispatcher.on_status("s1", make_status(100_000, 100_000, orders_received=40), 0.0)
    dispatcher.on_events("s1", [order_event(order, "stopped")], 0.01)
    fields = task_run_fields(job)
    assert len(fields["task_runs"]) == MAX_TASK_RUNS and fields["task_runs_omitted"] == 8
    assert fields["task_runs"][0].startswith("0.39/2 ")


def test_event_of_an_older_agent_has_no_lifetime_and_no_clock():
    row = unstructure(order_event(make_order(), "done", 5, 40.0))
    event = structure(row[:-2], TaskEvent)
    assert (event.worker_started_ms, event.agent_clock) == (0, 0.0)
    assert make_dispatcher().workers["s1"].news_age_ms(event, 1.0) is None


async def test_answer_names_the_lifetime_that_has_answered_the_order(lines):
    worker = StandInWorker(run_s=0.02)
    async with run_path(worker) as (entry, agent):
        await entry.run_job(make_request(tasks=2, ms=1000.0))
        await until(lambda: not agent.arbiter.runs)
    texts = [text.split() for text in lines("job ended")[0]["task_runs"]]
    assert [text[:4] for text in texts] == [
        [f"0.{index}/1", "done", "s1", f"w1@{worker.started_ms}"] for index in range(2)
    ]
    for text in texts:
        ordered, started, ended, age = map(float, text[4:])
        assert 0 <= ordered <= started <= ended and age < 1000


# Guards against runs whose lost orders to stop can't be told from a late withdrawal by the logs.
def test_stop_that_takes_long_is_logged_with_its_orders_and_the_rest_of_the_lease(lines):
    arbiter, session = make_arbiter()
    arbiter.place(session, [make_order()], 0.0)
    (run,) = start_all(arbiter, 0.0)
    log_slow_stop(run, 1, SLOW_STOP_S - 0.01, True, 0.9)
    log_slow_stop(run, 9, 0.45, False, 0.55)
    (line,) = lines("run stopped slowly")
    assert (line["job"], line["task"], line["run"]) == (run.order.job, "0.0", 1)
    assert (line["orders"], line["waited_ms"]) == (9, 450)
    assert (line["acknowledged"], line["lease_left_ms"]) == (False, 550)
