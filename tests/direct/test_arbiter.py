"""Decisions of the arbiter: capacity, order of starts, unconfirmed starts, sessions, lifetimes."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
from builders import make_order, make_worker  # noqa: E402

from onyxfork.direct.arbiter import (  # noqa: E402
    RESUME_TIMEOUT_S,
    UNHEALTHY_PAUSE_S,
    Arbiter,
)


def make_arbiter(cpu=4000):
    arbiter = Arbiter()
    arbiter.apply_worker_report(make_worker(cpu), 0.0)
    return arbiter, arbiter.connect("e1", "i1", object())


def start_all(arbiter, now, answer="started"):
    """Reply to every start that the arbiter requests; return the runs."""
    arbiter.schedule(now)
    starts, arbiter.starts = arbiter.starts, []
    for run in starts:
        arbiter.on_start_reply(run, answer, now)
    return starts


def kinds(session):
    """Return index and kind of the pending events of a session, and clear them."""
    events, session.events = session.events, []
    return [(event.index, event.kind) for event in events]


def test_runs_start_while_they_fit_and_the_rest_waits():
    arbiter, session = make_arbiter(cpu=2000)
    arbiter.place(session, [make_order(index=index) for index in range(3)], 0.0)
    assert len(start_all(arbiter, 0.0)) == 2
    assert arbiter.status(session, 0.0).cpu_free == -1000
    arbiter.apply_ended_runs([(make_order(index=0).ref, "done")], 0.1)
    assert [run.order.index for run in start_all(arbiter, 0.1)] == [2]


def test_least_slack_starts_first():
    arbiter, session = make_arbiter(cpu=1000)
    orders = [make_order(index=0, slack_ms=500.0), make_order(index=1, slack_ms=20.0)]
    arbiter.place(session, orders, 0.0)
    assert [run.order.index for run in start_all(arbiter, 0.0)] == [1]


def test_order_sent_twice_is_taken_once():
    arbiter, session = make_arbiter()
    arbiter.place(session, [make_order(), make_order()], 0.0)
    assert len(start_all(arbiter, 0.0)) == 1


def test_copy_from_another_entry_is_returned_while_a_run_is_here():
    arbiter, session = make_arbiter()
    other = arbiter.connect("e2", "i2", object())
    arbiter.place(session, [make_order()], 0.0)
    start_all(arbiter, 0.0)
    arbiter.place(other, [make_order(run=1)], 0.1)
    assert [(event.kind, event.reason) for event in other.events] == [("returned", "copy")]


def test_unanswered_start_ends_only_after_its_stop_and_a_later_list():
    arbiter, session = make_arbiter()
    arbiter.place(session, [make_order()], 0.0)
    (run,) = start_all(arbiter, 0.0, "unanswered")
    assert arbiter.stops == [run]
    arbiter.apply_running({}, 0.2, 0.2)
    assert kinds(session) == []
    arbiter.on_stop_reply(run, 0.3)
    arbiter.apply_running({run.order.ref: 5}, 0.31, 0.31)
    assert kinds(session) == []
    arbiter.apply_running({}, 0.4, 0.4)
    assert kinds(session) == [(0, "stopped")]
    assert arbiter.cpu_used == 0


def test_run_missing_from_a_list_requested_before_its_start_is_not_lost():
    arbiter, session = make_arbiter()
    arbiter.place(session, [make_order()], 0.0)
    start_all(arbiter, 0.5)
    arbiter.apply_running({}, 0.4, 0.6)
    assert kinds(session) == [(0, "started")]
    arbiter.apply_running({}, 0.7, 0.7)
    assert kinds(session) == [(0, "lost")]


def test_listed_run_that_was_not_ordered_is_returned_for_a_stop():
    arbiter, _ = make_arbiter()
    ref = make_order().ref
    assert arbiter.apply_running({ref: 10}, 0.1, 0.1) == [ref]


def test_draining_worker_returns_queued_runs_and_accepts_no_orders():
    arbiter, session = make_arbiter(cpu=1000)
    arbiter.place(session, [make_order(index=0), make_order(index=1)], 0.0)
    start_all(arbiter, 0.0)
    arbiter.apply_worker_report(make_worker(1000, "draining", sequence=2), 0.1)
    arbiter.place(session, [make_order(index=2)], 0.1)
    assert sorted(kinds(session)) == [(0, "started"), (1, "returned"), (2, "returned")]
    arbiter.apply_worker_report(make_worker(1000, "ready", sequence=3), 0.2)
    assert arbiter.state == "draining"


def test_report_of_an_earlier_lifetime_changes_nothing():
    arbiter, _ = make_arbiter()
    arbiter.apply_worker_report(make_worker(born_ms=9, id="w2"), 0.1)
    assert not arbiter.apply_worker_report(make_worker(state="draining", sequence=7), 0.2)
    assert arbiter.worker.id == "w2"


def test_new_lifetime_ends_what_the_old_one_ran():
    arbiter, session = make_arbiter(cpu=1000)
    arbiter.place(session, [make_order(index=0), make_order(index=1)], 0.0)
    start_all(arbiter, 0.0)
    arbiter.apply_worker_report(make_worker(1000, born_ms=9, id="w2"), 0.5)
    assert sorted(kinds(session)) == [(0, "lost"), (0, "started"), (1, "returned")]
    assert (arbiter.cpu_used, arbiter.cpu_queued) == (0, 0)


def test_runs_of_an_entry_that_does_not_reconnect_are_stopped():
    arbiter, session = make_arbiter()
    arbiter.place(session, [make_order()], 0.0)
    (run,) = start_all(arbiter, 0.0)
    arbiter.disconnect(session, session.connection, 1.0)
    arbiter.tick(1.0 + RESUME_TIMEOUT_S / 2)
    assert arbiter.stops == []
    arbiter.tick(1.0 + RESUME_TIMEOUT_S)
    assert arbiter.stops == [run]


def test_reconnected_entry_receives_ended_events_and_its_runs_continue():
    arbiter, session = make_arbiter()
    orders = [make_order(index=index) for index in range(3)]
    arbiter.place(session, orders[:2], 0.0)
    start_all(arbiter, 0.0)
    arbiter.disconnect(session, session.connection, 1.0)
    arbiter.apply_ended_runs([(orders[0].ref, "done")], 1.1)
    session.events.clear()
    assert arbiter.connect("e1", "i1", object()) is session
    arbiter.resume(session, [order.ref for order in orders], 1.2)
    assert sorted(kinds(session)) == [(0, "done"), (1, "started"), (2, "returned")]
    assert arbiter.stops == []


def test_restarted_entry_has_the_runs_of_its_former_process_stopped():
    arbiter, session = make_arbiter()
    arbiter.place(session, [make_order()], 0.0)
    (run,) = start_all(arbiter, 0.0)
    assert arbiter.connect("e1", "i2", object()) is not session
    assert arbiter.stops == [run]


def test_withdrawn_run_that_never_arrived_is_answered():
    arbiter, session = make_arbiter()
    arbiter.withdraw(session, [make_order().ref], 0.0)
    assert kinds(session) == [(0, "returned")]


def test_start_refused_for_capacity_is_returned_and_its_capacity_freed():
    arbiter, session = make_arbiter()
    arbiter.place(session, [make_order()], 0.0)
    start_all(arbiter, 0.0, "room")
    assert kinds(session) == [(0, "returned")]
    assert arbiter.cpu_used == 0


def test_order_that_is_read_after_a_pause_of_the_agent_is_returned():
    """The agent is paused for 2.9 s and its entry runs the task on another worker. The agent then
    reads the order and would start the task a second time. Found by the soak, seed 16 of 20 s."""
    arbiter, session = make_arbiter(cpu=2000)
    arbiter.place(session, [make_order(index=0)], 10.0, agent_clock=9.9)
    arbiter.place(session, [make_order(index=1)], 12.9, agent_clock=9.9)
    assert [run.order.index for run in start_all(arbiter, 10.0)] == [0]
    assert [(e.index, e.kind, e.reason) for e in session.events if e.kind == "returned"] == [
        (1, "returned", "stale")
    ]


def test_queued_run_is_not_started_after_a_pause_until_its_entry_has_a_newer_clock():
    arbiter, session = make_arbiter(cpu=1000)
    orders = [make_order(index=0, slack_ms=9000.0), make_order(index=1, slack_ms=9900.0)]
    arbiter.place(session, orders, 10.0, agent_clock=9.9)
    start_all(arbiter, 10.0)
    arbiter.apply_ended_runs([(orders[0].ref, "done")], 12.9)
    assert start_all(arbiter, 12.9) == []
    session.update_agent_clock(12.8)
    assert [run.order.index for run in start_all(arbiter, 12.95)] == [1]


def test_run_of_an_entry_whose_connection_has_ended_waits_for_the_next():
    arbiter, session = make_arbiter(cpu=1000)
    connection = session.connection
    arbiter.place(session, [make_order(index=0, slack_ms=9000.0)], 10.0, agent_clock=9.9)
    arbiter.disconnect(session, connection, 10.05)
    assert start_all(arbiter, 10.1) == []
    session.connection = connection
    assert len(start_all(arbiter, 10.1)) == 1


def test_order_that_was_sent_before_a_suspension_is_returned():
    """The monotonic clock stops while a machine is suspended, so a stale order looks new."""
    arbiter, session = make_arbiter(cpu=2000)
    arbiter.place(session, [make_order(index=0, slack_ms=9000.0)], 10.0, agent_clock=9.9)
    arbiter.record_suspension(10.05, 1.0)
    arbiter.place(session, [make_order(index=1)], 10.06, agent_clock=10.0)
    assert start_all(arbiter, 10.06) == []
    assert [(e.index, e.reason) for e in session.events] == [(1, "stale")]
    arbiter.place(session, [make_order(index=2)], 10.2, agent_clock=10.1)
    assert len(start_all(arbiter, 10.2)) == 2


# Guards against a worker over its capacity after a shrink: runs in progress and stops still count.
def test_nothing_starts_on_a_shrunk_worker_until_its_runs_fit():
    arbiter, session = make_arbiter()
    orders = [make_order(index=index, cpu=2000) for index in range(3)]
    arbiter.place(session, orders, 0.0)
    arbiter.schedule(0.0)
    first, second = arbiter.starts
    for run in (first, second):
        arbiter.on_start_reply(run, "started", 0.0)
    arbiter.starts = []
    arbiter.apply_worker_report(make_worker(cpu=2000, sequence=2), 0.1)
    arbiter.withdraw(session, [first.order.ref], 0.1)
    arbiter.schedule(0.1)
    assert arbiter.starts == [] and arbiter.stops == [first]
    arbiter.apply_ended_runs([(first.order.ref, "stopped")], 0.2)
    arbiter.schedule(0.2)
    assert arbiter.starts == []
    arbiter.apply_worker_report(make_worker(cpu=4000, sequence=3), 0.3)
    arbiter.schedule(0.3)
    assert [run.order.index for run in arbiter.starts] == [2]


# Guards against a queue that a run blocks which no longer fits the worker at all.
def test_queued_run_that_no_longer_fits_a_shrunk_worker_is_returned():
    arbiter, session = make_arbiter()
    arbiter.place(session, [make_order(index=index, cpu=3000) for index in range(2)], 0.0)
    arbiter.schedule(0.0)
    arbiter.apply_worker_report(make_worker(cpu=2000, sequence=2), 0.1)
    assert [(event.index, event.kind, event.reason) for event in session.events] == [
        (1, "returned", "too large")
    ]
    arbiter.place(session, [make_order(index=2, cpu=3000), make_order(index=3)], 0.2)
    assert [event.index for event in session.events] == [1, 2]


def test_older_report_does_not_restore_the_former_capacity():
    arbiter, session = make_arbiter()
    arbiter.apply_worker_report(make_worker(cpu=1000, sequence=3), 0.1)
    arbiter.apply_worker_report(make_worker(cpu=4000, sequence=2), 0.2)
    arbiter.place(session, [make_order(index=index) for index in range(2)], 0.3)
    arbiter.schedule(0.3)
    assert len(arbiter.starts) == 1


# Guards against runs that wait for the end of a lease although their worker never received them.
def test_unsent_start_is_returned_at_once_and_pauses_further_starts():
    arbiter, session = make_arbiter()
    arbiter.place(session, [make_order()], 0.0)
    start_all(arbiter, 0.0, "unsent")
    assert kinds(session) == [(0, "returned")]
    assert arbiter.failure_share == 0.0
    arbiter.place(session, [make_order(index=1)], 0.1)
    assert start_all(arbiter, 0.1) == []
    assert len(start_all(arbiter, 0.1 + UNHEALTHY_PAUSE_S)) == 1


# Guards against starts that a worker refuses one after another until it reports its new capacity.
def test_refusal_for_lack_of_capacity_holds_until_a_run_ends_or_the_next_report():
    arbiter, session = make_arbiter(cpu=8000)
    arbiter.place(session, [make_order(index=index, cpu=2000) for index in range(4)], 0.0)
    arbiter.schedule(0.0)
    first, second, third, fourth = arbiter.starts
    arbiter.on_start_reply(first, "started", 0.0)
    arbiter.on_start_reply(second, "started", 0.0)
    arbiter.on_start_reply(third, "room", 0.0)
    arbiter.on_start_reply(fourth, "room", 0.0)
    arbiter.starts = []
    assert arbiter.status(session, 0.0).cpu_free < 2000
    arbiter.place(session, [make_order(index=5, cpu=2000)], 0.1)
    arbiter.schedule(0.1)
    assert arbiter.starts == []
    arbiter.apply_ended_runs([(first.order.ref, "done")], 0.2)
    arbiter.schedule(0.2)
    assert [run.order.index for run in arbiter.starts] == [5]
    arbiter.apply_worker_report(make_worker(cpu=8000, sequence=2), 0.3)
    assert arbiter.status(session, 0.3).cpu_free == 4000
