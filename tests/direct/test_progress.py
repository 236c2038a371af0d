"""Runs that stand still and workers that are slow are told from estimates that are off."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
from builders import make_order  # noqa: E402
from test_arbiter import kinds, make_arbiter, start_all  # noqa: E402


def run_with_progress(percents, age_s, ms=400.0):
    """Return an arbiter whose runs have come to some percents after `age_s`."""
    arbiter, session = make_arbiter(cpu=len(percents) * 1000)
    orders = [make_order(index=at, ms=ms) for at in range(len(percents))]
    arbiter.place(session, orders, 1.0)
    start_all(arbiter, 1.0)
    kinds(session)
    listed = {order.ref: percent for order, percent in zip(orders, percents, strict=True)}
    now = 1.0 + age_s
    arbiter.take_running(listed, now, now)
    arbiter.tick(now)
    return arbiter


def stopped(arbiter):
    return [(run.order.index, run.reason) for run in arbiter.stops]


def test_run_that_has_not_moved_when_it_should_have_is_taken_back():
    arbiter = run_with_progress([0, 24], 0.1)
    assert stopped(arbiter) == [(0, "stalled")]
    assert arbiter.failing > 0.5


def test_run_too_young_to_be_judged_is_left():
    assert stopped(run_with_progress([0], 0.09)) == []


def test_run_of_which_little_is_due_yet_is_left():
    assert stopped(run_with_progress([0], 0.15, ms=1800.0)) == []


def test_run_that_stops_moving_later_is_taken_back():
    arbiter = run_with_progress([50], 0.2)
    ref = make_order(index=0).ref
    arbiter.take_running({ref: 50}, 1.85, 1.85)
    arbiter.tick(1.85)
    assert stopped(arbiter) == [(0, "stalled")]


def test_single_long_run_does_not_make_its_worker_slow():
    assert stopped(run_with_progress([5, 24, 26, 25], 0.1)) == []


def test_runs_of_a_slow_worker_are_taken_back_unless_they_are_nearly_done():
    arbiter = run_with_progress([6, 5, 6, 90], 0.1)
    assert stopped(arbiter) == [(0, "slow"), (1, "slow"), (2, "slow")]
    assert arbiter.pace > 3


def test_slowness_is_remembered_after_its_runs_are_gone_and_forgotten_in_time():
    arbiter = run_with_progress([6, 5, 6], 0.1)
    for index in range(3):
        arbiter.take_ends([(make_order(index=index).ref, "stopped")], 1.2)
    arbiter.tick(1.3)
    assert arbiter.pace > 3
    for step in range(100):
        arbiter.tick(1.3 + step * 0.05)
    assert arbiter.pace < 2.6


def test_failures_are_forgotten():
    arbiter = run_with_progress([0], 0.1)
    arbiter.tick(10.0)
    assert arbiter.failing < 0.05
