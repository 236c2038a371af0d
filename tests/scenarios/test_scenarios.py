"""Scripted scenarios against real processes: a quick selection by default.

``ONYXFORK_SCENARIOS=all`` runs every scenario (``make scenarios``).
"""

import asyncio
import os
from pathlib import Path

import pytest

from onyxfork.workload.scenario import parse_scenario
from onyxfork.workload.scenario_run import run_scenario

SCENARIO_FOLDER = Path(__file__).parent
QUICK_SCENARIOS = (
    "steady",
    "agent_killed",
    "entry_killed",
    "silent_connections",
    "control_leader_killed",
    "disk_lost_then_another_dies",
    "operators_race",
    "worker_drained",
    "billing_only",
    "double_start_must_be_reported",
)
ALL_SCENARIOS = sorted(path.stem for path in SCENARIO_FOLDER.glob("*.scenario"))
SELECTED_SCENARIOS = (
    ALL_SCENARIOS if os.environ.get("ONYXFORK_SCENARIOS") == "all" else QUICK_SCENARIOS
)


@pytest.mark.parametrize("name", SELECTED_SCENARIOS)
def test_scenario(name):
    parsed = parse_scenario((SCENARIO_FOLDER / f"{name}.scenario").read_text())
    assert parsed.is_ok(), parsed.err_value
    verdict = asyncio.run(run_scenario(parsed.ok_value))
    assert verdict.passed, verdict.problems


@pytest.mark.parametrize("name", ALL_SCENARIOS)
def test_every_scenario_parses(name):
    parsed = parse_scenario((SCENARIO_FOLDER / f"{name}.scenario").read_text())
    assert parsed.is_ok(), parsed.err_value


@pytest.mark.parametrize(
    "text,where",
    [
        ("at 1 s kick worker-1", "line 1, column 8"),
        ("cluster bygdelag workers many", "line 1, column 26"),
        ("load 5 jobs per second for 3 s\nexpect complete at_least", "line 2"),
    ],
)
def test_syntax_errors_name_line_and_column(text, where):
    assert where in parse_scenario(text).err_value
