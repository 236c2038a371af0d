"""Shares, reserves and the start order by priority."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
import pytest  # noqa: E402
from attrs import evolve  # noqa: E402
from builders import (  # noqa: E402
    QUEUE,
    make_dispatcher,
    make_order,
    make_request,
    make_status,
    make_worker,
    take_orders,
)

from onyxfork.direct.admission import (  # noqa: E402
    Refusal,
    check_precedence,
)
from onyxfork.direct.arbiter import Arbiter  # noqa: E402
from onyxfork.direct.dispatcher import MAX_SKIPPED_TASKS  # noqa: E402
from onyxfork.direct.jobs import make_job  # noqa: E402
from onyxfork.direct.precedence import (  # noqa: E402
    USABLE_SHARE,
    allocate,
    priority_index,
    start_key,
)
from onyxfork.direct.requests import JobRequest, Step  # noqa: E402

MIDDLE = evolve(QUEUE, name="middle", prefix="/m/", priority=1)
LOW = evolve(QUEUE, name="low", prefix="/l/", priority=2)


def test_all_demands_are_met_while_they_fit():
    assert allocate([30.0, 40.0, 20.0], 100.0) == [30.0, 40.0, 20.0]


def test_rest_beyond_guarantees_goes_to_the_highest_priority():
    """Two priorities are guaranteed 2/3 and 1/3; what the first doesn't need goes to the second."""
    assert allocate([200.0, 50.0], 90.0) == pytest.approx([60.0, 30.0])
    assert allocate([20.0, 200.0], 90.0) == pytest.approx([20.0, 70.0])


def test_priorities_out_of_range_count_as_the_last():
    assert [priority_index(value) for value in (-1, 0, 7, 40)] == [0, 0, 7, 7]
    assert start_key(1.0, 40) == start_key(1.0, 7)


def test_entry_places_the_higher_priority_first_although_it_has_more_slack():
    dispatcher = make_dispatcher(cpu_free=0)
    low = make_request("00000000000000b1", tasks=1, ms=100.0, queue=LOW)
    dispatcher.submit(low, 0.0)
    dispatcher.submit(make_request("00000000000000b2", tasks=1, ms=900.0), 0.0)
    dispatcher.on_status("s1", make_status(cpu_free=1000), 0.01)
    (order,) = take_orders(dispatcher)["s1"]
    assert (order.job[-2:], order.priority) == ("b2", 0)


def test_agent_starts_the_higher_priority_first_and_reports_use_by_priority():
    arbiter = Arbiter()
    arbiter.apply_worker_report(make_worker(cpu=1000), 0.0)
    arbiter.on_renewal_answered(0.0)
    session = arbiter.connect("e1", "i1", object())
    low, high = make_order("00000000000000b1"), make_order("00000000000000b2", slack_ms=900.0)
    low.priority = 2
    arbiter.place(session, [low, high], 0.0)
    arbiter.schedule(0.0)
    assert [run.order.job[-2:] for run in arbiter.starts] == ["b2"]
    assert arbiter.status(session, 0.0).cpu_by_priority == [1000, 0, 1000]


def contended_dispatcher(held, reported_at=1.0):
    """Four workers of four cores, of which one is free; `held` is reported by each."""
    dispatcher = make_dispatcher([f"s{number}" for number in range(4)], cpu_free=0)
    for node in dispatcher.workers:
        status = make_status(cpu_free=1000 if node == "s0" else 0)
        status.cpu_by_priority = held
        dispatcher.on_status(node, status, reported_at)
    dispatcher.use.refresh(dispatcher.workers.values(), 1.0)
    return dispatcher


def test_low_priority_beyond_its_guarantee_is_refused_with_the_reason():
    """Another entry has filled most of the cores with low-priority work; none is free."""
    dispatcher = contended_dispatcher([1000, 0, 3000])
    dispatcher.use.spare = 0.0
    refusal = dispatcher.submit(make_request(tasks=2, queue=LOW), 5.0)
    assert isinstance(refusal, Refusal)
    assert "queue low" in refusal.reason and "share" in refusal.reason


def test_high_priority_is_accepted_at_a_worker_that_runs_lower_priorities():
    """No core is free, but low-priority runs end soon enough at agents that start it first."""
    dispatcher = contended_dispatcher([1000, 0, 3000])
    dispatcher.submit(make_request(tasks=3, ms=200.0), 1.0)
    assert sum(map(len, take_orders(dispatcher).values())) == 3


def test_report_older_than_half_a_second_counts_only_own_runs():
    dispatcher = contended_dispatcher([1000, 0, 3000], reported_at=0.4)
    assert not dispatcher.use.is_contended(0)


def test_queues_of_one_priority_are_not_contended():
    dispatcher = contended_dispatcher([4000])
    assert not dispatcher.use.is_contended(0) and dispatcher.use.is_contended(2)
    assert dispatcher.use.leaves_reserve(dispatcher.submit(make_request(tasks=1), 1.0), 1000)


def dispatcher_with_blocked_job():
    """A job of priority 1 waits because the four free cores are reserved for priority 0."""
    dispatcher = make_dispatcher(cpu=8000, cpu_free=4000)
    use = dispatcher.use
    use.spare = use.capacity = 4000.0
    use.average[0] = use.average[1] = 2000.0
    use.reserve[1] = use.reserve[2] = 4000.0
    enqueue_job(dispatcher, "00000000000000b1", MIDDLE)
    return dispatcher


def enqueue_job(dispatcher, identifier, queue, ms=100.0, tasks=1):
    request = make_request(identifier, tasks=tasks, ms=ms, queue=queue)
    job = make_job(request, 0.0, dispatcher.estimates)
    dispatcher.jobs[job.id] = job
    for task in job.tasks:
        dispatcher.enqueue(task)
    return job


def jobs_ordered(dispatcher):
    dispatcher.place_waiting_tasks(0.0)
    return [order.job[-2:] for orders in take_orders(dispatcher).values() for order in orders]


def test_blocked_job_does_not_stop_a_higher_priority_with_much_slack():
    """Guards against cores that stay idle although they are reserved for the job that waits."""
    dispatcher = dispatcher_with_blocked_job()
    enqueue_job(dispatcher, "00000000000000b2", QUEUE, ms=20000.0)
    assert jobs_ordered(dispatcher) == ["b2"]


def test_blocked_job_does_not_stop_a_lower_priority_within_its_guarantee():
    dispatcher = dispatcher_with_blocked_job()
    dispatcher.use.guaranteed[2] = 1000.0
    enqueue_job(dispatcher, "00000000000000b2", LOW)
    assert jobs_ordered(dispatcher) == ["b2"]


def test_blocked_job_does_not_stop_a_job_that_has_started():
    """Guards against a job that ends late because its last task waits behind a new job."""
    dispatcher = dispatcher_with_blocked_job()
    enqueue_job(dispatcher, "00000000000000b2", MIDDLE, ms=500.0).first_placed_at = 0.0
    assert jobs_ordered(dispatcher) == ["b2"]


def test_blocked_job_is_not_overtaken_by_a_smaller_one_of_its_priority():
    """The blocked job is wide; one task alone would fit beside the reserve."""
    dispatcher = dispatcher_with_blocked_job()
    dispatcher.use.reserve[1] = dispatcher.use.reserve[2] = 3000.0
    wide = enqueue_job(dispatcher, "00000000000000b0", MIDDLE, ms=50.0, tasks=3)
    assert not dispatcher.use.may_start(wide)
    enqueue_job(dispatcher, "00000000000000b2", LOW)
    assert jobs_ordered(dispatcher) == []


def test_search_passes_over_a_bounded_number_of_blocked_tasks():
    dispatcher = dispatcher_with_blocked_job()
    for number in range(MAX_SKIPPED_TASKS):
        enqueue_job(dispatcher, f"{number:016x}", MIDDLE)
    enqueue_job(dispatcher, "00000000000000b2", QUEUE, ms=20000.0)
    assert jobs_ordered(dispatcher) == []


def full_dispatcher(workers, held):
    """Full workers of eight cores, of which priorities hold `held` each."""
    dispatcher = make_dispatcher([f"s{number}" for number in range(workers)], cpu=8000, cpu_free=0)
    for view in dispatcher.workers.values():
        view.status.cpu_by_priority = held
        view.reported_at = 1.0
    dispatcher.use.refresh(dispatcher.workers.values(), 1.0)
    return dispatcher


def test_report_makes_one_search_for_a_worker_to_queue_at(monkeypatch):
    """Guards against a cost per report that grows with the number of waiting tasks."""
    searches = []
    monkeypatch.setattr(
        "onyxfork.direct.dispatcher.choose_worker_to_queue_at",
        lambda task, *_: searches.append(task.job.priority),
    )
    dispatcher = full_dispatcher(4, [6000, 1000, 500])
    for number in range(6):
        enqueue_job(dispatcher, f"{number:016x}", [QUEUE, MIDDLE][number % 2])
    dispatcher.place_waiting_tasks(1.0)
    assert searches == [0]
    dispatcher.place_waiting_tasks(1.0, on_report=False)
    assert searches == [0, 0, 1]


def test_task_does_not_queue_at_a_worker_with_room_that_placement_rejects():
    """Placement waits for a faster worker; the task would be late on the one that is free."""
    dispatcher = full_dispatcher(4, [6000, 1000, 1000])
    status = make_status(cpu=8000, cpu_free=6000, usual_run_time_ratio=2.0, run_time_ratio=2.0)
    status.cpu_by_priority = [0, 1000, 1000]
    dispatcher.on_status("s0", status, 1.0)
    dispatcher.run_time_baseline.refresh(dispatcher.workers.values())
    assert dispatcher.run_time_baseline.is_uneven
    for free in (6000, 0):
        status.cpu_free = free
        enqueue_job(dispatcher, f"{free:016x}", QUEUE, ms=1000.0, tasks=4)
        dispatcher.place_waiting_tasks(0.0, on_report=False)
        assert "s0" not in take_orders(dispatcher)


def test_lower_cores_follow_the_latest_report():
    dispatcher = full_dispatcher(1, [6000, 1000, 1000])
    (view,) = dispatcher.workers.values()
    assert [dispatcher.use.lower_cores(view, index, 1.0) for index in (0, 1, 2, 7)] == [
        2000,
        1000,
        0,
        0,
    ]
    dispatcher.on_status("s0", make_status(cpu=8000, cpu_free=0), 1.0)
    assert dispatcher.use.lower_cores(view, 0, 1.0) == 0


def test_jobs_that_fit_no_worker_and_copies_do_not_count_as_offered():
    """Guards against a caller whose refused jobs raise the demand and so limit everyone."""
    dispatcher = make_dispatcher()
    dispatcher.submit(make_request(), 0.0)
    offered, unit = list(dispatcher.use.offered), dispatcher.use.unit
    dispatcher.submit(make_request(), 0.0)
    dispatcher.submit(make_request("00000000000000b1", cpu=64000), 0.0)
    assert (dispatcher.use.offered, dispatcher.use.unit) == (offered, unit)


def test_demand_counts_refused_work_up_to_a_bound():
    use = make_dispatcher().use
    use.average[0], use.accepted[0], use.offered[0] = 1000.0, 10.0, 1e6
    assert use.demand == 4000.0


def test_first_job_of_a_priority_in_a_full_fleet_is_judged_by_its_guarantee():
    """Guards against the refusal "uses 0 cores of 0" until the next tick."""
    dispatcher = full_dispatcher(4, [8000])
    dispatcher.submit(make_request(tasks=2, queue=LOW, ms=500.0), 1.0)
    assert dispatcher.use.shares[2] > 2000.0
    assert dispatcher.use.guaranteed[2] > 2000.0


def test_share_is_never_below_the_guarantee():
    dispatcher = full_dispatcher(4, [6000, 0, 2000])
    use = dispatcher.use
    use.spare, use.shares[2], use.guaranteed[2] = 0.0, 0.0, 12000.0
    job = make_job(make_request(tasks=2, queue=LOW), 1.0, dispatcher.estimates)
    assert use.excess_use(job) == 0.0


def test_priority_is_forgotten_once_its_offered_work_is_below_a_thousandth_of_a_core():
    """Guards against comparing work (millicore-milliseconds) with millicores."""
    use = full_dispatcher(4, [8000]).use
    use.offered[2] = 500.0
    use.update_limits()
    assert use.guaranteed[2] == 0.0


def test_job_with_dependent_steps_needs_only_cores_for_the_first():
    """Guards against the refusal of a chain of steps whose sum exceeds the free cores."""
    dispatcher = full_dispatcher(1, [6000, 0, 2000])
    step = Step(count=2, cpu=1000, expected_ms=100.0)
    steps = [step, evolve(step, depends_on=[0]), evolve(step, depends_on=[1])]
    request = JobRequest("00000000000000b1", LOW, "x", steps, 2000.0)
    job = make_job(request, 1.0, dispatcher.estimates)
    dispatcher.use.spare = 8000.0
    dispatcher.use.reserve[2] = 0.0
    assert check_precedence(job, [], 2000.0, dispatcher.use, 1.0) is None


def test_nobody_is_refused_for_its_priority_after_a_start():
    """Guards against refusals while workers reconnect and capacity is still growing."""
    dispatcher = full_dispatcher(1, [6000, 0, 2000])
    use = dispatcher.use
    use.spare, use.guaranteed[2], use.reserve[2] = 8000.0, 0.0, 0.0
    use.own[2], use.run_ms[2] = 3800.0, 1000.0
    use.mean_need = 0.0
    assert use.limits(LOW.priority)
    job = make_job(make_request(tasks=1, ms=1000.0, queue=LOW), 1.0, dispatcher.estimates)
    dispatcher.startup_ends_at = 1.1
    assert dispatcher.find_refusal(job, 1.0) is None
    use.mean_need = 0.0
    assert "would wait" in dispatcher.find_refusal(job, 1.1).reason


def test_large_jobs_of_a_small_fleet_are_not_refused_for_their_priority():
    """Guards against shares and reserves that a single job exceeds."""
    use = full_dispatcher(1, [6000, 0, 2000]).use
    use.mean_need = 0.02 * use.capacity
    assert use.limits(LOW.priority)
    use.mean_need *= 1.1
    assert not use.limits(LOW.priority)


def test_old_report_counts_only_own_runs_when_tasks_queue():
    """Guards against queueing behind lower-priority runs that may have ended long ago."""
    dispatcher = full_dispatcher(1, [6000, 0, 2000])
    (view,) = dispatcher.workers.values()
    assert dispatcher.use.lower_cores(view, 0, 1.6) == 0
    assert dispatcher.use.expected_queue_ms(1000, view, 1.6) == float("inf")


@pytest.mark.parametrize(("reserve", "cause"), [(0.0, "wait"), (4000.0, "reserve")])
def test_refusal_names_its_cause(reserve, cause):
    dispatcher = full_dispatcher(1, [6000, 0, 2000])
    use = dispatcher.use
    use.spare, use.guaranteed[2], use.reserve[2] = 8000.0, 0.0, reserve
    job = make_job(make_request(tasks=1, queue=LOW), 1.0, dispatcher.estimates)
    assert check_precedence(job, [], 0.0, use, 1.0).cause == cause
    use.spare, use.shares[2] = 0.0, 0.0
    assert check_precedence(job, [], 0.0, use, 1.0).cause == "over share"
    assert use.share_held(2) == 0.25


def test_lower_priority_that_holds_little_leaves_its_guarantee_to_the_highest():
    """Guards against cores that stay idle for a priority with little demand."""
    use = full_dispatcher(4, [8000]).use
    use.offered[2] = 1e6
    use.average[2] = 800.0
    use.accepted[2] = 0.5e6
    use.update_limits()
    assert use.shares[0] == pytest.approx(USABLE_SHARE * 32000.0 - 1600.0)
