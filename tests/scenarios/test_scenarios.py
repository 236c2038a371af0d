"""Scripted scenarios against real processes: a quick share by default, all when asked for.

Set ``ONYXFORK_SCENARIOS=all`` for every scenario (``make scenarios``).
"""

import asyncio
import os
from pathlib import Path

import pytest

from onyxfork.workload.scenario import parse_scenario
from onyxfork.workload.scenario_run import run_scenario

FOLDER = Path(__file__).parent
QUICK = (
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
EVERY = sorted(path.stem for path in FOLDER.glob("*.scenario"))
CHOSEN = EVERY if os.environ.get("ONYXFORK_SCENARIOS") == "all" else QUICK


@pytest.mark.parametrize("name", CHOSEN)
def test_scenario(name):
    parsed = parse_scenario((FOLDER / f"{name}.scenario").read_text())
    assert parsed.is_ok(), parsed.err_value
    verdict = asyncio.run(run_scenario(parsed.ok_value))
    assert verdict.passed, verdict.problems


@pytest.mark.parametrize("name", EVERY)
def test_every_scenario_parses(name):
    parsed = parse_scenario((FOLDER / f"{name}.scenario").read_text())
    assert parsed.is_ok(), parsed.err_value


@pytest.mark.parametrize(
    "text,where",
    [
        ("at 1 s kick worker-1", "line 1, column 8"),
        ("cluster bygdelag workers many", "line 1, column 26"),
        ("load 5 jobs per second for 3 s\nexpect complete at_least", "line 2"),
    ],
)
def test_errors_name_line_and_column(text, where):
    assert where in parse_scenario(text).err_value
