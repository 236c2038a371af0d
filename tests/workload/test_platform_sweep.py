"""The part of the capacity page that comes from a sweep: what grows is said to grow."""

from json import dumps

from onyxfork.workload.platform_sweep import SweepRow, sweep_lines


def make_row(role="entry", measure="connections", busiest=(10.0, 100.0, 120.0), at_target=130.0):
    return SweepRow(role, measure, list(busiest), 0.1, at_target)


def test_growth_between_the_two_largest_fleets_decides():
    assert make_row().holds
    assert not make_row(busiest=(10.0, 100.0, 131.0)).holds
    assert make_row(busiest=(0.0, 0.0, 0.0)).holds


def test_memory_of_control_is_held_against_its_bound_at_the_target():
    assert make_row("control", "memory MB", at_target=128.0).holds
    assert not make_row("control", "memory MB", at_target=129.0).holds


def test_page_marks_what_is_not_carried(tmp_path):
    path = tmp_path / "sweep.json"
    row = {"role": "control", "measure": "connections", "busiest": [1.0, 30.0, 100.0]}
    row |= {"power": 0.9, "at_target": 8000.0}
    sweep = {"site": "s", "machines": [10, 30, 100], "target": 8219, "rows": [row]}
    path.write_text(dumps(sweep))
    assert any("**no**" in line for line in sweep_lines(path))
