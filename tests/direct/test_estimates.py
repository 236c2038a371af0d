"""Expected run times lie between callers' estimates and the usual run times of a queue."""

import math
from random import Random

from onyxfork.direct.estimates import MIN_RUNS, EstimateTable


def simulate_runs(run_time_sigma, estimate_sigma, runs=2000):
    """Return a table after runs with a median of 400 ms, and their estimates and run times."""
    rng = Random(7)
    table, measured = EstimateTable(), []
    for _ in range(runs):
        run_ms = 400 * math.exp(rng.gauss(0, run_time_sigma))
        estimate_ms = run_ms * math.exp(rng.gauss(0, estimate_sigma))
        measured.append((estimate_ms, run_ms))
        table.record_run("q", estimate_ms, run_ms)
    return table, measured


def rms_log_error(table, measured):
    errors = [
        math.log(table.predict_run_ms("q", estimate) / run) ** 2
        for estimate, run in measured[-500:]
    ]
    return math.sqrt(sum(errors) / len(errors))


def test_inaccurate_estimates_are_corrected_towards_the_usual_run_time():
    table, measured = simulate_runs(run_time_sigma=0.4, estimate_sigma=0.4)
    assert rms_log_error(table, measured) < 0.33


def test_accurate_estimates_are_hardly_changed():
    table, measured = simulate_runs(run_time_sigma=0.8, estimate_sigma=0.05)
    assert rms_log_error(table, measured) < 0.08


def test_estimates_with_a_common_bias_are_corrected():
    table = EstimateTable()
    for number in range(200):
        table.record_run("q", 100 + number, 2 * (100 + number))
    assert math.isclose(table.predict_run_ms("q", 200), 400, rel_tol=0.02)


def test_estimates_of_a_queue_with_few_runs_are_not_corrected():
    table = EstimateTable()
    for _ in range(MIN_RUNS - 1):
        table.record_run("q", 100, 900)
    assert table.predict_run_ms("q", 100) == 100
    assert table.predict_run_ms("other", 100) == 100
