"""Choice of workers: faulty and slow workers, racks, labels, services and limits per worker."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
from builders import (  # noqa: E402
    make_dispatcher,
    make_event,
    make_request,
    make_status,
    take_orders,
)


def make_entry(statuses):
    """Return a dispatcher whose agents have sent the given reports."""
    dispatcher = make_dispatcher(())
    for node, status in statuses.items():
        dispatcher.on_connected(node, "a")
        dispatcher.on_status(node, make_status(**status), 0.0)
    dispatcher.run_time_baseline.refresh(dispatcher.workers.values())
    return dispatcher


def place_on(statuses, **request):
    """Return the number of tasks of one job that each agent gets, given the agents' reports."""
    dispatcher = make_entry(statuses)
    dispatcher.submit(make_request(**request), 0.0)
    return {node: len(orders) for node, orders in take_orders(dispatcher).items()}


def test_faulty_worker_gets_no_task_even_if_the_others_are_full():
    assert place_on({"s1": {"failure_share": 0.9}, "s2": {"cpu_free": 0}}) == {}


def test_worker_on_probation_gets_one_task():
    assert place_on({"s1": {"failure_share": 0.3}}, tasks=3) == {"s1": 1}


def test_slow_worker_gets_no_task_that_would_be_late():
    statuses = {"s1": {"run_time_ratio": 4.0}, "s2": {"cpu_free": 0}, "s3": {"cpu_free": 0}}
    assert place_on(statuses) == {}
    assert place_on(
        {"s1": {"run_time_ratio": 1.5}, **dict(list(statuses.items())[1:])}, tasks=1
    ) == {"s1": 1}


def test_suspect_worker_gets_one_task_at_a_time_if_that_is_on_time():
    statuses = {"s1": {"run_time_ratio": 1.9}, "s2": {"cpu_free": 0}, "s3": {"cpu_free": 0}}
    assert place_on(statuses, tasks=3, ms=60.0) == {"s1": 1}


def test_worker_on_the_rack_that_holds_the_data_is_preferred():
    statuses = {"s1": {}, "s2": {"labels": ["r1"]}, "s3": {}}
    assert place_on(statuses, tasks=1, rack="r1") == {"s2": 1}


def test_label_is_required():
    statuses = {"s1": {}, "s2": {"labels": ["big"]}}
    assert place_on(statuses, tasks=4, label="big") == {"s2": 4}


def test_tasks_of_a_step_are_limited_per_worker():
    assert place_on({"s1": {}, "s2": {}}, tasks=4, max_per_worker=1) == {"s1": 1, "s2": 1}


def test_stalled_task_is_not_placed_on_the_same_worker():
    dispatcher = make_dispatcher(("s1", "s2"))
    dispatcher.submit(make_request(tasks=1), 0.0)
    ((node, (order,)),) = take_orders(dispatcher).items()
    dispatcher.on_events(node, [make_event(order, "stopped", "stalled")], 0.1)
    assert node not in take_orders(dispatcher)


def test_worker_of_another_service_gets_nothing():
    dispatcher = make_dispatcher(("s1", "s2"))
    other = make_status()
    other.service = "another"
    dispatcher.on_status("s1", other, 0.0)
    dispatcher.submit(make_request(tasks=6), 0.0)
    assert list(take_orders(dispatcher)) == ["s2"]
    dispatcher.on_status("s2", other, 0.1)
    refusal = dispatcher.submit(make_request("00000000000000b1"), 0.1)
    assert "fits no worker" in refusal.reason
