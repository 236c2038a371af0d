"""Overload and restarts: which jobs wait, which are refused, and the order in which tasks start."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
from builders import (  # noqa: E402
    make_dispatcher,
    make_event,
    make_order,
    make_request,
    make_status,
    take_orders,
)
from test_arbiter import kinds, make_arbiter, start_all  # noqa: E402

from onyxfork.direct.admission import Refusal  # noqa: E402


def test_late_tasks_do_not_delay_tasks_that_can_be_on_time():
    """After a stall, a late task and one that can be on time wait for the same capacity."""
    dispatcher = make_dispatcher(cpu_free=1000)
    dispatcher.submit(make_request("00000000000000b1", tasks=2, ms=100.0), 0.0)
    take_orders(dispatcher)
    dispatcher.submit(make_request("00000000000000b2", tasks=1, ms=500.0), 0.2)
    dispatcher.on_status("s1", make_status(cpu_free=1000, orders_received=1), 0.3)
    assert [order.job[-2:] for order in take_orders(dispatcher)["s1"]] == ["b2"]


def test_queued_runs_are_recalled_when_another_worker_has_capacity():
    """Several entries chose the same worker from equal reports, while another has free capacity."""
    dispatcher = make_dispatcher(("s1", "s2"), cpu_free=2000)
    dispatcher.submit(make_request(tasks=4, ms=400.0), 0.0)
    orders = take_orders(dispatcher)
    dispatcher.on_status("s1", make_status(cpu_free=-2000, orders_received=2), 0.01)
    dispatcher.on_status("s2", make_status(cpu_free=1000, orders_received=2), 0.01)
    dispatcher.on_events("s1", [make_event(orders["s1"][0], "started")], 0.01)
    dispatcher.tick(0.02)
    assert dispatcher.recalls == {"s1": [orders["s1"][1].ref]}
    recalled = make_event(orders["s1"][1], "returned", "recalled")
    dispatcher.on_events("s1", [recalled], 0.03)
    assert [order.run for order in take_orders(dispatcher)["s2"]] == [2]


def test_agent_returns_only_runs_that_have_not_started():
    arbiter, session = make_arbiter(cpu=1000)
    orders = [make_order(index=0), make_order(index=1)]
    arbiter.place(session, orders, 0.0)
    start_all(arbiter, 0.0)
    kinds(session)
    arbiter.recall(session, [order.ref for order in orders], 0.02)
    assert kinds(session) == [(1, "returned")]
    assert arbiter.stops == []


def test_entries_spread_over_workers_before_the_fastest_is_full():
    """Every entry has the same reports; the fastest worker must not get all of their tasks."""
    dispatcher = make_dispatcher(())
    for node, ratio in (("s1", 0.8), ("s2", 1.0), ("s3", 1.25)):
        dispatcher.on_connected(node, "a")
        dispatcher.on_status(node, make_status(run_time_ratio=ratio), 0.0)
    dispatcher.run_time_baseline.refresh(dispatcher.workers.values())
    dispatcher.submit(make_request(tasks=6), 0.0)
    shares = {node: len(orders) for node, orders in take_orders(dispatcher).items()}
    assert len(shares) == 3 and max(shares.values()) <= 3


def test_full_restart_jobs_wait_until_workers_are_ready():
    """After all processes were killed, callers retry before workers have reported to agents."""
    dispatcher = make_dispatcher(())
    dispatcher.submit(make_request(ms=100.0), 0.5)
    dispatcher.tick(0.9)
    assert dispatcher.finished_jobs == []
    dispatcher.on_connected("s1", "a")
    dispatcher.on_status("s1", make_status(), 1.0)
    assert len(take_orders(dispatcher)["s1"]) == 2


def test_full_restart_jobs_are_accepted_while_the_first_workers_reconnect():
    """No task runs yet, but the free capacity of the first workers counts for admission."""
    dispatcher = make_dispatcher(())
    for number in range(20):
        request = make_request(f"{number:016x}", tasks=2, ms=400.0, cpu=3000)
        assert not isinstance(dispatcher.submit(request, 0.5), Refusal)
    dispatcher.on_connected("s1", "a")
    dispatcher.on_status("s1", make_status(cpu_free=32000, cpu=32000), 0.52)
    later = make_request("00000000000000f1", tasks=1, ms=1800.0, cpu=3000)
    dispatcher.on_connected("s2", "a")
    dispatcher.workers["s2"].update_status(make_status(cpu_free=32000, cpu=32000))
    assert not isinstance(dispatcher.submit(later, 0.52), Refusal)


def test_full_restart_jobs_may_wait_longer_while_workers_reconnect():
    """Half of the workers are back and full while all callers retry. An entry that has long been
    running and has lost a worker refuses the same load, as no more capacity is to be expected."""
    started = make_dispatcher(("s1", "s2"), cpu_free=4000)
    long_running = make_dispatcher(("s1", "s2"), now=-10.0, cpu_free=4000)
    long_running.on_disconnected("s2", 0.4)
    started.on_disconnected("s2", 0.4)
    for dispatcher in (started, long_running):
        dispatcher.submit(make_request("00000000000000b1", tasks=6, ms=200.0), 0.5)
    last = make_request("00000000000000b2", tasks=1, ms=300.0)
    assert isinstance(long_running.submit(last, 0.5), Refusal)
    assert not isinstance(started.submit(last, 0.5), Refusal)


def test_full_restart_late_jobs_wait_while_most_agents_are_not_ready():
    dispatcher = make_dispatcher(("s1",), cpu_free=0)
    dispatcher.known_agent_count = 4
    dispatcher.submit(make_request(ms=100.0), 0.5)
    dispatcher.tick(0.9)
    assert dispatcher.finished_jobs == []
    for node in ("s2", "s3"):
        dispatcher.on_connected(node, "a")
        dispatcher.on_status(node, make_status(cpu_free=0), 0.9)
    dispatcher.tick(0.9)
    assert [job.outcome.state for job in dispatcher.finished_jobs] == ["refused"]


def test_job_without_capacity_is_refused_at_its_latest_start_if_workers_are_full():
    dispatcher = make_dispatcher(cpu_free=0)
    dispatcher.submit(make_request(ms=100.0), 0.5)
    dispatcher.tick(0.9)
    assert [job.outcome.state for job in dispatcher.finished_jobs] == ["refused"]


def test_late_run_at_an_agent_starts_after_those_on_time():
    arbiter, session = make_arbiter(cpu=1000)
    orders = [make_order(index=0, slack_ms=50.0), make_order(index=1, slack_ms=20.0)]
    orders.append(make_order(index=2, slack_ms=400.0))
    arbiter.place(session, orders, 0.0)
    assert [run.order.index for run in start_all(arbiter, 0.0)] == [1]
    arbiter.apply_ended_runs([(orders[1].ref, "done")], 0.1)
    assert [run.order.index for run in start_all(arbiter, 0.1)] == [2]


def test_jobs_with_little_slack_are_refused_while_started_jobs_are_late():
    """In a burst of several seconds slightly above capacity, late tasks of started jobs show that
    too much was accepted. While they wait, a job with little slack is refused at once."""
    dispatcher = make_dispatcher(cpu_free=2000, cpu=4000)
    dispatcher.submit(make_request("00000000000000b1", tasks=6, ms=300.0), 0.0)
    orders = take_orders(dispatcher)["s1"]
    assert len(orders) == 2
    dispatcher.on_events("s1", [make_event(order, "started") for order in orders], 0.01)
    dispatcher.on_status("s1", make_status(cpu_free=0, orders_received=2), 0.45)
    refusal = dispatcher.submit(make_request("00000000000000b2", tasks=4, ms=100.0), 0.45)
    assert isinstance(refusal, Refusal)
    assert refusal.retry_after_ms >= 1000.0
    result = dispatcher.submit(make_request("00000000000000b3", tasks=1, ms=5000.0), 0.45)
    assert not isinstance(result, Refusal)
