"""Load while the capacity of workers shrinks and grows, without a network.

Pattern: a third of the workers shrink to a quarter and say so only with their next report.
"""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
from fleet import CORES, Fleet  # noqa: E402

AGENTS, ENTRIES = 9, 3
REPORT_DELAY_S = 1.5
JOBS, TASKS, RUN_MS, INTERVAL_S = 250, 4, 150, 0.016
"""187 of 288 cores in use; 216 remain while the workers are small."""


def play(shrinks):
    fleet = Fleet(ENTRIES, AGENTS, seed=5)
    for number in range(JOBS):
        entry = f"e{number % ENTRIES}"
        fleet.at(INTERVAL_S * number, fleet.submit, entry, f"job-{number}", TASKS, RUN_MS)
    if shrinks:
        for agent in ("a0", "a1", "a2"):
            fleet.at(1.0, fleet.shrink, agent, CORES * 1000 // 4, REPORT_DELAY_S)
            fleet.at(3.0, fleet.shrink, agent, CORES * 1000, REPORT_DELAY_S)
    fleet.run(8.0)
    return fleet


# Guards against tasks sent again and again to a worker that has shrunk and looks free until it
# reports.
def test_shrunk_workers_refuse_few_starts_and_callers_notice_little():
    steady, shrunk = play(shrinks=False), play(shrinks=True)
    assert shrunk.rejected <= 3 * ENTRIES * TASKS
    assert shrunk.on_time >= 0.95 * steady.on_time
