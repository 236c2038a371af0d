"""Stalled runs and slow workers are detected in spite of wrong estimates."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
from builders import make_order  # noqa: E402
from test_arbiter import kinds, make_arbiter, start_all  # noqa: E402

from onyxfork.direct.placement import FAULTY_FAILURE_SHARE  # noqa: E402


def run_with_progress(percents, age_s, ms=400.0):
    """Return an arbiter with one run for each progress in percent, read `age_s` after the start."""
    arbiter, session = make_arbiter(cpu=len(percents) * 1000)
    orders = [make_order(index=index, ms=ms) for index in range(len(percents))]
    arbiter.place(session, orders, 1.0)
    start_all(arbiter, 1.0)
    kinds(session)
    listed = {order.ref: percent for order, percent in zip(orders, percents, strict=True)}
    now = 1.0 + age_s
    arbiter.apply_running(listed, now, now)
    arbiter.tick(now)
    return arbiter


def stopped(arbiter):
    return [(run.order.index, run.reason) for run in arbiter.stops]


def test_run_without_any_progress_is_stopped():
    arbiter = run_with_progress([0, 24], 0.1)
    assert stopped(arbiter) == [(0, "stalled")]
    assert arbiter.failure_share > 0.5


# Guards against a task that hangs wherever it starts and puts one healthy worker after another out
# of service.
def test_run_that_stalls_beside_many_that_progress_does_not_eject_its_worker():
    arbiter = run_with_progress([0, *[24] * 9], 0.1)
    assert stopped(arbiter) == [(0, "stalled")]
    assert arbiter.failure_share < FAULTY_FAILURE_SHARE


def play_stalls(every, jobs, now=1.0):
    """Return the failure shares while ten runs at a time last 0.2 s and one of `every` stalls.

    Parameters
    ----------
    every : float
    jobs : callable
        Job of a run by its number and whether it stalls.
    """
    arbiter, session = make_arbiter(cpu=10000)
    shares, number = [], 0
    for _ in range(10):
        orders = {}
        for _ in range(10):
            number += 1
            stalls = int(number / every) > int((number - 1) / every)
            order = make_order(jobs(number, stalls), number, slack_ms=1000.0, ms=200.0)
            orders[order.ref] = 0 if stalls else 50
            arbiter.place(session, [order], now)
        start_all(arbiter, now)
        arbiter.apply_running(orders, now + 0.1, now + 0.1)
        arbiter.tick(now + 0.1)
        shares.append(arbiter.failure_share)
        outcomes = [(ref, "done" if percent else "stopped") for ref, percent in orders.items()]
        now += 0.2
        arbiter.apply_ended_runs(outcomes, now)
        arbiter.tick(now)
        shares.append(arbiter.failure_share)
    return shares


def test_worker_on_which_two_in_five_tasks_stall_is_found():
    """From the first second on it must stay out of service, also when other runs succeed."""
    shares = play_stalls(2.5, lambda number, stalls: f"j{number}")
    assert all(share >= FAULTY_FAILURE_SHARE for share in shares[2:])


def test_job_that_hangs_everywhere_does_not_eject_its_worker():
    """Several of its tasks run on the same worker."""
    shares = play_stalls(5, lambda number, stalls: "hangs" if stalls else f"j{number}")
    assert max(shares) < FAULTY_FAILURE_SHARE


def test_run_below_the_minimum_age_goes_on():
    assert stopped(run_with_progress([0], 0.09)) == []


def test_long_run_without_progress_yet_goes_on():
    assert stopped(run_with_progress([0], 0.15, ms=1800.0)) == []


def test_run_whose_progress_stalls_later_is_stopped():
    arbiter = run_with_progress([50], 0.2)
    ref = make_order(index=0).ref
    arbiter.apply_running({ref: 50}, 1.85, 1.85)
    arbiter.tick(1.85)
    assert stopped(arbiter) == [(0, "stalled")]


def test_single_long_run_does_not_make_its_worker_slow():
    assert stopped(run_with_progress([5, 24, 26, 25], 0.1)) == []


def test_runs_of_a_slow_worker_are_stopped_unless_they_are_nearly_done():
    arbiter = run_with_progress([6, 5, 6, 90], 0.1)
    assert stopped(arbiter) == [(0, "slow"), (1, "slow"), (2, "slow")]
    assert arbiter.run_time_ratio > 3


def test_slowness_outlasts_its_runs_and_decays():
    arbiter = run_with_progress([6, 5, 6], 0.1)
    for index in range(3):
        arbiter.apply_ended_runs([(make_order(index=index).ref, "stopped")], 1.2)
    arbiter.tick(1.3)
    assert arbiter.run_time_ratio > 3
    for step in range(100):
        arbiter.tick(1.3 + step * 0.05)
    assert arbiter.run_time_ratio < 2.6


def test_failure_share_decays():
    arbiter = run_with_progress([0], 0.1)
    arbiter.tick(10.0)
    assert arbiter.failure_share < 0.05
