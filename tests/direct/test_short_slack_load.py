"""Short objectives on a small fleet near its capacity, with workers that fail in turn.

Pattern: three queues of different priorities, a burst, a wave, a slow, a stalled and a failing
worker, two that crash and two that leave. A job whose last task starts too late wastes the cores of
all its tasks, so that who is accepted decides how many callers are answered in time.
"""

import sys
import tomllib
from pathlib import Path
from statistics import median

sys.path.insert(0, str(Path(__file__).parent))
from load_file import play_load  # noqa: E402

LOAD = Path(__file__).parents[2] / "benchmarks" / "loads" / "short-slack-heavy.toml"
SEEDS = (1, 2, 3)


def test_short_slack_jobs_are_served_by_precedence_while_workers_fail():
    """Guards against refusing the most urgent queue most, because its slack is the shortest. The
    first bound is the mean worth wanted of such a deployment."""
    load = tomllib.loads(LOAD.read_text())
    plays = [play_load(load, seed) for seed in SEEDS]
    figures = {key: median(play[key] for play in plays) for key in plays[0]}
    assert figures["worth"] >= 0.73
    assert figures["lookup"] >= figures["check"]
