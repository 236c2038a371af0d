"""The fluid bound against calculations by hand."""

import math

import pytest

from onyxfork.errors import SettingsError
from onyxfork.workload.fluid_bound import (
    Arrival,
    CapacityTimeline,
    bound_row,
    count_exceeded,
    serve,
)


def make_arrival(at, core_ms, priority=0, window=1.0, **answer):
    return Arrival(at, at + window, f"q{priority}", priority, core_ms, **answer)


def served(arrivals, *changes, cores=1.0):
    serve(arrivals, CapacityTimeline([(-math.inf, cores), *changes]))
    return [round(arrival.served_core_ms, 6) for arrival in arrivals]


def test_everything_is_served_below_capacity():
    assert served([make_arrival(0.1 * n, 100) for n in range(5)]) == [100] * 5


def test_higher_priority_is_served_first_and_the_rest_in_order_of_arrival():
    # 1 core serves 1000 core-ms within the window of all: 600 + 300, and 100 of the last.
    arrivals = [make_arrival(0, 300, 1), make_arrival(0, 300, 1), make_arrival(0, 600, 0)]
    assert served(arrivals) == [300, 100, 600]


def test_later_work_of_higher_priority_interrupts_lower():
    # 0.5 s for the first, 0.5 s for the second, then the first has reached its end.
    assert served([make_arrival(0, 800, 1), make_arrival(0.5, 500, 0)]) == [500, 500]


def test_work_is_carried_over_only_until_it_is_due():
    # The second waits 1 s for the first and has 0.5 s left; the third is due before its turn.
    arrivals = [make_arrival(0, 1000), make_arrival(0, 800, window=1.5)]
    arrivals.append(make_arrival(0, 100, window=0.9))
    assert served(arrivals) == [1000, 500, 0]


def test_two_jobs_that_one_core_runs_in_time_one_after_the_other_are_both_served():
    # Run time 1 s, slack 1 s: due 2 s after the arrival.
    assert served([make_arrival(0, 1000, window=2.0), make_arrival(0, 1000, window=2.0)]) == [
        1000,
        1000,
    ]


def test_capacity_changes_take_effect_in_the_middle_of_work():
    # 0.2 s at 1 core, 0.2 s at none, 0.6 s at 3 cores: 200 + 0 + 1800.
    arrivals = [make_arrival(0, 2500)]
    assert served(arrivals, (0.2, 0.0), (0.4, 3.0)) == [2000]


def test_no_capacity_serves_nothing_and_ends():
    assert served([make_arrival(0, 10), make_arrival(5, 10)], cores=0.0) == [0, 0]


def test_offered_work_is_the_sum_of_served_unavoidable_and_avoidable():
    arrivals = [
        make_arrival(0, 600, on_time=True),
        make_arrival(0, 300, late=True),
        make_arrival(0, 300),
    ]
    served(arrivals)
    assert bound_row("x", arrivals) == ["x", 1200, 1000, 600, 300, 200, 400]
    served(arrivals := [make_arrival(0, 1200, on_time=True)])
    assert bound_row("x", arrivals) == ["x", 1200, 1000, 1200, 0, 0, 0]
    assert count_exceeded([*arrivals, make_arrival(4, 10)]) == 1


def test_capacity_file_is_read_and_its_errors_name_option_and_line(tmp_path):
    path = tmp_path / "capacity"
    path.write_text("2 100\n\n4.5 80.5\n")
    timeline = CapacityTimeline.from_config(120.0, path)
    assert [timeline.at(now) for now in (-1.0, 2.0, 9.0)] == [
        (120, 2),
        (100, 4.5),
        (80.5, math.inf),
    ]
    path.write_text("2 100\n1 90\n3 x\n4 -1\n")
    with pytest.raises(SettingsError) as raised:
        CapacityTimeline.from_config(120.0, path)
    for number in (2, 3, 4):
        assert f"--capacity-changes: {path}: line {number}" in str(raised.value)
    with pytest.raises(SettingsError, match="--capacity: "):
        CapacityTimeline.from_config(math.nan)
