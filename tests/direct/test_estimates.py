"""Expected run times lie between callers' estimates and what a queue's runs usually take."""

import math
from random import Random

from onyxfork.direct.estimates import MIN_RUNS, EstimateTable


def learn(spread, error, runs=2000):
    """Return a table after runs of 400 ms in the middle, and those runs."""
    rng = Random(7)
    table, seen = EstimateTable(), []
    for _ in range(runs):
        run_ms = 400 * math.exp(rng.gauss(0, spread))
        estimate_ms = run_ms * math.exp(rng.gauss(0, error))
        seen.append((estimate_ms, run_ms))
        table.record_run("q", estimate_ms, run_ms)
    return table, seen


def error_of(table, seen):
    errors = [
        math.log(table.predict_run_ms("q", estimate) / run) ** 2 for estimate, run in seen[-500:]
    ]
    return math.sqrt(sum(errors) / len(errors))


def test_estimates_that_are_off_are_drawn_to_the_usual_run_time():
    table, seen = learn(spread=0.4, error=0.4)
    assert error_of(table, seen) < 0.33


def test_good_estimates_are_kept():
    table, seen = learn(spread=0.8, error=0.05)
    assert error_of(table, seen) < 0.08


def test_estimates_with_a_common_bias_are_corrected():
    table = EstimateTable()
    for number in range(200):
        table.record_run("q", 100 + number, 2 * (100 + number))
    assert math.isclose(table.predict_run_ms("q", 200), 400, rel_tol=0.02)


def test_queue_with_few_runs_takes_estimates_as_they_are():
    table = EstimateTable()
    for _ in range(MIN_RUNS - 1):
        table.record_run("q", 100, 900)
    assert table.predict_run_ms("q", 100) == 100
    assert table.predict_run_ms("other", 100) == 100
