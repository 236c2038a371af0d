"""The dispatcher's decisions: placement, run events, lost agents and outcomes of jobs."""

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

from onyxfork.direct.admission import Refusal  # noqa: E402
from onyxfork.direct.dispatcher_news import (  # noqa: E402
    LOST_AFTER_S,
    RECOVERY_WINDOW_S,
    RUN_NUMBER_JUMP,
)
from onyxfork.direct.requests import Step  # noqa: E402


def outcomes(dispatcher):
    return [(job.id[-2:], job.outcome.state) for job in dispatcher.finished_jobs]


def run_all(dispatcher, kind, now):
    """Report one kind of event for every collected order."""
    for node, orders in take_orders(dispatcher).items():
        for order in orders:
            dispatcher.on_events(node, [make_event(order, kind)], now)


def test_job_is_answered_when_its_last_task_is_done():
    dispatcher = make_dispatcher()
    dispatcher.submit(make_request(tasks=3), 0.0)
    orders = take_orders(dispatcher)["s1"]
    for order in orders[:2]:
        dispatcher.on_events("s1", [make_event(order, "done")], 0.1)
    assert dispatcher.finished_jobs == []
    dispatcher.on_events("s1", [make_event(orders[2], "done")], 0.1)
    assert outcomes(dispatcher) == [("a1", "completed")]
    assert dispatcher.jobs == {} and dispatcher.millicores_in_use == 0


def test_tasks_without_capacity_are_placed_when_free_capacity_is_reported():
    dispatcher = make_dispatcher(cpu_free=2000)
    dispatcher.submit(make_request(tasks=3), 0.0)
    assert len(take_orders(dispatcher)["s1"]) == 2
    dispatcher.on_status("s1", make_status(cpu_free=1000, orders_received=2), 0.05)
    assert len(take_orders(dispatcher)["s1"]) == 1


def test_capacity_of_orders_that_a_report_does_not_cover_is_not_used_twice():
    dispatcher = make_dispatcher(cpu_free=2000)
    dispatcher.submit(make_request(tasks=3), 0.0)
    take_orders(dispatcher)
    dispatcher.on_status("s1", make_status(cpu_free=2000, orders_received=0), 0.01)
    assert take_orders(dispatcher) == {}


def test_least_slack_is_placed_first():
    dispatcher = make_dispatcher(cpu_free=0)
    dispatcher.submit(make_request("00000000000000b1", tasks=1, ms=1800.0), 0.0)
    dispatcher.submit(make_request("00000000000000b2", tasks=1, ms=120.0), 0.0)
    dispatcher.on_status("s1", make_status(cpu_free=1000), 0.01)
    assert [order.job[-2:] for order in take_orders(dispatcher)["s1"]] == ["b2"]


def test_later_step_waits_for_the_earlier_one():
    dispatcher = make_dispatcher()
    request = make_request(tasks=1)
    request.steps.append(Step(count=1, cpu=1000, expected_ms=50.0, depends_on=[0]))
    dispatcher.submit(request, 0.0)
    (first,) = take_orders(dispatcher)["s1"]
    dispatcher.on_events("s1", [make_event(first, "done")], 0.1)
    (second,) = take_orders(dispatcher)["s1"]
    assert (first.step, second.step) == (0, 1)


def test_failed_task_runs_again_elsewhere_and_fails_the_job_after_its_attempts():
    dispatcher = make_dispatcher(("s1", "s2"))
    dispatcher.submit(make_request(tasks=1), 0.0)
    ((first_node, (first,)),) = take_orders(dispatcher).items()
    dispatcher.on_events(first_node, [make_event(first, "failed")], 0.1)
    ((second_node, (second,)),) = take_orders(dispatcher).items()
    assert second_node != first_node and second.run == first.run + 1
    dispatcher.on_events(second_node, [make_event(second, "failed")], 0.2)
    assert outcomes(dispatcher) == [("a1", "failed")]


def test_failures_on_a_faulty_worker_do_not_fail_the_job():
    dispatcher = make_dispatcher(("s1",))
    dispatcher.submit(make_request(tasks=1), 0.0)
    for faulty, healthy in (("s1", "s2"), ("s2", "s3")):
        dispatcher.on_status(faulty, make_status(failure_share=0.9), 0.1)
        run_all(dispatcher, "failed", 0.1)
        assert dispatcher.finished_jobs == [] and take_orders(dispatcher) == {}
        dispatcher.on_connected(healthy, "a")
        dispatcher.on_status(healthy, make_status(), 0.2)
    run_all(dispatcher, "done", 0.3)
    assert outcomes(dispatcher) == [("a1", "completed")]


def test_runs_of_a_lost_agent_are_rescheduled_once_they_have_certainly_stopped():
    dispatcher = make_dispatcher(("s1",))
    dispatcher.submit(make_request(tasks=1, ms=1000.0), 0.0)
    (order,) = take_orders(dispatcher)["s1"]
    dispatcher.on_disconnected("s1", 0.1)
    dispatcher.on_connected("s2", "a")
    dispatcher.on_status("s2", make_status(), 0.1)
    dispatcher.tick(0.1 + LOST_AFTER_S - 0.01)
    assert take_orders(dispatcher) == {}
    dispatcher.tick(0.1 + LOST_AFTER_S)
    (again,) = take_orders(dispatcher)["s2"]
    assert again.run > order.run


def test_reconnected_agent_receives_the_runs_that_it_should_hold():
    dispatcher = make_dispatcher(("s1",))
    dispatcher.submit(make_request(tasks=1, ms=1000.0), 0.0)
    (order,) = take_orders(dispatcher)["s1"]
    dispatcher.on_disconnected("s1", 0.1)
    assert dispatcher.on_connected("s1", "a") == [order.ref]
    dispatcher.on_events("s1", [make_event(order, "done")], 0.2)
    assert outcomes(dispatcher) == [("a1", "completed")]


def test_runs_of_a_disconnected_caller_are_withdrawn():
    dispatcher = make_dispatcher()
    job = dispatcher.submit(make_request(tasks=2), 0.0)
    orders = take_orders(dispatcher)["s1"]
    dispatcher.cancel(job, "left")
    assert dispatcher.withdrawals["s1"] == [order.ref for order in orders]
    for order in orders:
        dispatcher.on_events("s1", [make_event(order, "stopped")], 0.1)
    assert dispatcher.jobs == {} and take_orders(dispatcher) == {}


def test_job_without_capacity_in_time_is_refused_and_not_ordered_later():
    dispatcher = make_dispatcher(cpu_free=0)
    dispatcher.submit(make_request(tasks=1, ms=100.0), 0.0)
    dispatcher.tick(0.13)
    assert outcomes(dispatcher) == [("a1", "refused")]
    dispatcher.on_status("s1", make_status(cpu_free=4000), 0.14)
    assert take_orders(dispatcher) == {}


def test_late_job_with_a_run_at_an_agent_is_unknown_rather_than_refused():
    dispatcher = make_dispatcher(cpu_free=1000)
    dispatcher.submit(make_request(tasks=2, ms=100.0), 0.0)
    dispatcher.tick(5.0)
    assert outcomes(dispatcher) == [("a1", "unknown")]


def test_run_returned_as_old_is_followed_by_a_much_higher_number():
    dispatcher = make_dispatcher()
    dispatcher.submit(make_request(tasks=1), 0.0)
    (order,) = take_orders(dispatcher)["s1"]
    dispatcher.on_events("s1", [make_event(order, "returned", "old")], 0.01)
    (again,) = take_orders(dispatcher)["s1"]
    assert again.run > order.run + RUN_NUMBER_JUMP


def test_job_whose_copy_runs_elsewhere_is_answered_as_unknown():
    dispatcher = make_dispatcher()
    dispatcher.submit(make_request(tasks=1), 0.0)
    (order,) = take_orders(dispatcher)["s1"]
    dispatcher.on_events("s1", [make_event(order, "returned", "copy")], 0.01)
    assert outcomes(dispatcher) == [("a1", "unknown")]
    assert dispatcher.jobs == {}


def test_job_waits_for_a_worker_after_a_start_and_is_refused_later():
    dispatcher = make_dispatcher(())
    assert not isinstance(dispatcher.submit(make_request(ms=3000.0), 0.5), Refusal)
    assert isinstance(
        dispatcher.submit(make_request("00000000000000c1"), RECOVERY_WINDOW_S + 1), Refusal
    )
    dispatcher.on_connected("s1", "a")
    dispatcher.on_status("s1", make_status(), 1.0)
    assert len(take_orders(dispatcher)["s1"]) == 2


def test_job_too_large_for_every_worker_is_refused_at_once():
    dispatcher = make_dispatcher()
    refusal = dispatcher.submit(make_request(cpu=5000), 0.0)
    assert isinstance(refusal, Refusal) and "fits no worker" in refusal.reason
