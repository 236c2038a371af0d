"""A worker's usual speed: how its agent learns it, and how entries find degraded workers."""

import sys
from pathlib import Path
from random import Random

import pytest
from attrs import evolve

sys.path.insert(0, str(Path(__file__).parent))
from builders import (  # noqa: E402
    make_order,
    make_request,
    make_status,
    make_worker,
    take_orders,
)
from test_arbiter import make_arbiter, start_all  # noqa: E402
from test_placement import make_entry  # noqa: E402

from onyxfork.direct.admission import Refusal  # noqa: E402
from onyxfork.direct.jobs import make_job  # noqa: E402
from onyxfork.direct.placement import timely_workers  # noqa: E402
from onyxfork.direct.worker_speed import MIN_RUNS, UsualSpeed  # noqa: E402
from onyxfork.direct.workers import DEGRADED_FACTOR  # noqa: E402


def complete_runs(arbiter, session, count, ratio, start=1.0):
    """Let runs with an expected run time of 100 ms take `ratio` times as long."""
    for number in range(count):
        now = start + number * 0.01
        order = make_order(job=f"{start}-{number}", ms=100.0, slack_ms=1000.0)
        arbiter.place(session, [order], now)
        start_all(arbiter, now)
        arbiter.apply_ended_runs([(order.ref, "done")], now + ratio / 10)


def test_usual_ratio_is_learnt_from_the_first_runs():
    usual = UsualSpeed()
    for number in range(MIN_RUNS):
        usual.record(1.82 * (1.3 if number % 2 else 1 / 1.3), 1.82)
    assert usual.ratio == pytest.approx(1.82, rel=0.05)


def test_worker_that_falls_to_half_speed_early_in_its_life_is_reported_as_degraded():
    """Guards against a usual ratio that follows the fall before the recent one has shown it."""
    arbiter, session = make_arbiter()
    complete_runs(arbiter, session, 2 * MIN_RUNS, 0.83)
    complete_runs(arbiter, session, 15, 1.67, start=3.0)
    status = arbiter.status(session, 4.0)
    assert status.run_time_ratio >= DEGRADED_FACTOR * status.usual_run_time_ratio


def test_restarted_worker_learns_its_speed_anew():
    arbiter, session = make_arbiter()
    complete_runs(arbiter, session, 100, 1.82)
    arbiter.apply_worker_report(make_worker(born_ms=2, id="w2"), 5.0)
    assert arbiter.status(session, 5.0).usual_run_time_ratio == 1.0
    complete_runs(arbiter, session, MIN_RUNS, 0.83, start=6.0)
    assert arbiter.status(session, 7.0).usual_run_time_ratio == pytest.approx(0.83, rel=0.02)


def test_runs_of_a_worker_that_is_slow_by_build_are_not_restarted():
    """A projected ratio of 3 is far above that of a usual worker, but not of this one."""
    arbiter, session = make_arbiter()
    complete_runs(arbiter, session, 50, 1.82)
    orders = [make_order(index=index, ms=100.0, slack_ms=1000.0) for index in range(4)]
    arbiter.place(session, orders, 2.0)
    start_all(arbiter, 2.0)
    arbiter.apply_running({order.ref: 33 for order in orders}, 2.1, 2.1)
    arbiter.tick(2.1)
    assert arbiter.stops == []
    arbiter.apply_running({order.ref: 34 for order in orders}, 2.25, 2.25)
    arbiter.tick(2.25)
    assert arbiter.status(session, 2.25).run_time_ratio > 2.4


def test_worker_that_is_slow_by_build_gets_more_than_one_task_and_a_degraded_one_does_not():
    full = {"s2": {"cpu_free": 0}, "s3": {"cpu_free": 0}}
    slow = {"run_time_ratio": 2.2, "usual_run_time_ratio": 2.1}
    degraded = {"run_time_ratio": 2.2, "usual_run_time_ratio": 1.1}
    for status, count in ((slow, 3), (degraded, 1)):
        entry = make_entry({"s1": status, **full})
        entry.submit(make_request(tasks=3, ms=40.0), 0.0)
        assert len(take_orders(entry)["s1"]) == count


def test_worker_far_slower_than_the_median_is_degraded_whatever_its_usual_ratio():
    entry = make_entry(
        {"s1": {"run_time_ratio": 3.2, "usual_run_time_ratio": 3.2}, "s2": {}, "s3": {}}
    )
    assert entry.run_time_baseline.is_degraded(entry.workers["s1"])


def test_estimates_that_become_too_low_for_all_tasks_degrade_no_worker():
    """A new queue whose callers estimate half the run time must not stop the use of the fleet."""
    statuses = {f"s{n}": {"run_time_ratio": 1.9 + n / 20} for n in range(4)}
    entry = make_entry(statuses)
    assert not any(map(entry.run_time_baseline.is_degraded, entry.workers.values()))


def record_runs(entry, node, run_ms):
    """Record 60 runs of a task with an estimate of 100 ms on one worker."""
    (task,) = make_job(make_request(tasks=1, ms=100.0), 0.0, entry.estimates).tasks
    for _ in range(60):
        entry.record_run_time(task, entry.workers[node], run_ms)


def test_expected_run_times_do_not_depend_on_the_workers_that_ran_the_tasks():
    """If they did, a slow worker that gets all tasks of a queue would appear to be fast."""
    slow = {"usual_run_time_ratio": 2.0, "run_time_ratio": 2.0}
    # The geometric mean of the four ratios is 1.
    fast = dict.fromkeys(slow, 2.0 ** (-1 / 3))
    entry = make_entry({"s1": slow, "s2": fast, "s3": fast, "s4": fast})
    entry.tick(0.0)
    record_runs(entry, "s1", 200.0)
    assert entry.estimates.predict_run_ms("checks", 100.0) == pytest.approx(100.0, rel=0.01)


def test_estimates_that_are_too_low_on_all_workers_alike_are_corrected():
    """Guards against objectives and latest starts that stay wrong by the same factor."""
    status = {"usual_run_time_ratio": 2.0, "run_time_ratio": 2.0}
    entry = make_entry({"s1": status, "s2": status})
    entry.tick(0.0)
    record_runs(entry, "s1", 200.0)
    assert entry.estimates.predict_run_ms("checks", 100.0) == pytest.approx(200.0, rel=0.01)


def test_estimates_that_are_too_low_are_corrected_where_workers_differ():
    """The same with workers of two speeds: true run times are twice the estimates on average."""
    slow = {"usual_run_time_ratio": 3.6, "run_time_ratio": 3.6}
    fast = {"usual_run_time_ratio": 1.6, "run_time_ratio": 1.6}
    entry = make_entry({"s1": slow, "s2": fast, "s3": fast, "s4": fast})
    entry.tick(0.0)
    record_runs(entry, "s2", 160.0)
    assert entry.estimates.predict_run_ms("checks", 100.0) == pytest.approx(200.0, rel=0.1)


def test_idle_worker_whose_ratio_is_just_above_the_degraded_one_recovers():
    """Entries give a degraded worker next to nothing, so that no run would lower its average."""
    arbiter, session = make_arbiter()
    complete_runs(arbiter, session, 50, 0.83)
    complete_runs(arbiter, session, 15, 1.67, start=3.0)
    for step in range(100):
        arbiter.tick(5.0 + step / 50)
    status = arbiter.status(session, 7.0)
    assert status.run_time_ratio < DEGRADED_FACTOR * status.usual_run_time_ratio


def test_few_long_runs_do_not_degrade_a_worker():
    """3 % of the runs take 7 times as long; that isn't the worker's fault."""
    arbiter, rng = make_arbiter()[0], Random(3)
    onsets, was_degraded = 0, False
    for _ in range(10_000):
        tail = 7.0 if rng.random() < 0.03 else 1.0
        arbiter.record_run_time(100.0 * tail * rng.lognormvariate(0, 0.4), 100.0)
        degraded = arbiter.run_time_ratio >= DEGRADED_FACTOR * arbiter.usual_speed.ratio
        onsets += degraded and not was_degraded
        was_degraded = degraded
    assert onsets <= 3


def mixed_entry():
    """Return an entry with slow workers of one service and fast ones of another."""
    entry = make_entry({})
    for number in range(8):
        node, is_slow = f"s{number}", number < 3
        ratio = 2.0 if is_slow else 0.83
        status = make_status(run_time_ratio=ratio, usual_run_time_ratio=ratio)
        entry.on_connected(node, "a")
        entry.on_status(node, evolve(status, service="desk" if is_slow else "other"), 0.0)
    entry.run_time_baseline.refresh(entry.workers.values())
    return entry


def test_task_is_compared_only_with_workers_of_its_service():
    """It waited for a worker of another service while the workers of its own were idle."""
    entry = mixed_entry()
    assert not isinstance(entry.submit(make_request(tasks=1, ms=1500.0), 0.0), Refusal)
    assert len(take_orders(entry)) == 1


def test_task_that_fits_only_slow_workers_does_not_wait_for_a_faster_one():
    statuses = {f"s{n}": {"run_time_ratio": 0.83, "usual_run_time_ratio": 0.83} for n in range(6)}
    slow = {"run_time_ratio": 2.0, "usual_run_time_ratio": 2.0, "cpu": 8000, "cpu_free": 8000}
    entry = make_entry(statuses | {"s6": slow, "s7": slow})
    job = entry.submit(make_request(tasks=1, ms=1500.0, cpu=6000), 0.0)
    assert not isinstance(job, Refusal)
    assert set(take_orders(entry)) <= {"s6", "s7"} and job.tasks[0].worker


def test_workers_on_which_a_job_is_on_time_are_not_an_empty_list():
    """Admission would count no free capacity beside idle workers."""
    entry = mixed_entry()
    job = make_job(make_request(tasks=1, ms=1500.0), 0.0, entry.estimates)
    views = timely_workers(job, entry.workers.values(), entry.run_time_baseline)
    assert {view.node for view in views} == {"s0", "s1", "s2"}
