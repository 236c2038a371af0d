"""A short soak with real processes, and every seed that failed before.

The seeds that failed before run with ``ONYXFORK_SOAK=all`` (``make soak``); each cause has a unit
test that always runs.
"""

import asyncio
import os

import pytest

from onyxfork.workload.soak import run_soak
from onyxfork.workload.soak.schedule import SoakSize

SHORT_SECONDS = 8.0
SMALL_SIZE = SoakSize(controls=3, entries=2, agents=3)

FORMERLY_FAILING_SEEDS = {
    4: "SIGHUP within 0.2 s of a restart ended the entry",
    16: "an agent resumed after a pause started stale orders of its entry",
}
FORMERLY_FAILING_SECONDS = 20.0


@pytest.mark.parametrize("seed", [1])
def test_short_soak_has_no_violation(seed):
    verdict = asyncio.run(run_soak(seed, SHORT_SECONDS, SMALL_SIZE))
    assert verdict.passed, str(verdict)
    assert verdict.completed and verdict.configurations


@pytest.mark.skipif(os.environ.get("ONYXFORK_SOAK") != "all", reason="run by make soak")
@pytest.mark.parametrize("seed", FORMERLY_FAILING_SEEDS)
def test_formerly_failing_seed_passes(seed):
    verdict = asyncio.run(run_soak(seed, FORMERLY_FAILING_SECONDS))
    assert verdict.passed, str(verdict)
