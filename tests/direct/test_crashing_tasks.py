"""Load with tasks that crash each worker that starts them, without a network.

Pattern: one job in ten carries such a task, and its worker returns three seconds after a crash.
"""

import sys
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).parent))
from fleet import Fleet  # noqa: E402

AGENTS, ENTRIES = 11, 4
MAX_STARTS_AFTER_THREE_CRASHES = 2
"""The platform's rule: three starts of a task after three workers have crashed under it are too
many."""


def offer(fleet, jobs, crashing_share, tasks=4, run_ms=150, interval_s=0.03):
    """Send jobs at a constant rate, the entries in turn; every n-th has a crashing task."""
    for number in range(jobs):
        job = f"job-{number}"
        if crashing_share and number % round(1 / crashing_share) == 0:
            fleet.crashing.add(job)
        fleet.at(interval_s * number, fleet.submit, f"e{number % ENTRIES}", job, tasks, run_ms)


def play(jobs=200, crashing_share=0.1, seed=3, crash_delay_s=0.01, seconds=25.0, **load):
    fleet = Fleet(ENTRIES, AGENTS, seed=seed, caller_timeout_ms=14e3)
    fleet.crash_delay_s = crash_delay_s
    offer(fleet, jobs, crashing_share, **load)
    fleet.run(seconds)
    return fleet


# Guards against a task that crashes worker after worker until its caller's deadline.
@pytest.mark.parametrize("run_ms", [150, 1500])
def test_crashing_task_is_started_a_bounded_number_of_times(run_ms):
    fleet = play(jobs=60, run_ms=run_ms, interval_s=0.1)
    most = max(len(starts) for starts in fleet.starts.values())
    assert most <= 3 + MAX_STARTS_AFTER_THREE_CRASHES
    answered = [fleet.outcomes[job] for job in fleet.crashing if job in fleet.starts]
    assert set(answered) <= {"failed", "refused", "unknown"}


# Guards against the same for a task that crashes its worker only after it has run for a while.
@pytest.mark.parametrize("crash_delay_s", [0.04, 0.2, 1.0])
@pytest.mark.parametrize("seed", [3, 4, 5])
def test_task_that_crashes_late_is_started_a_bounded_number_of_times(crash_delay_s, seed):
    fleet = play(jobs=100, run_ms=1500, interval_s=0.1, crash_delay_s=crash_delay_s, seed=seed)
    most = max(len(starts) for starts in fleet.starts.values())
    assert most <= 3 + MAX_STARTS_AFTER_THREE_CRASHES


# Guards against jobs given up because their tasks ran beside the one that crashes workers.
@pytest.mark.parametrize("run_ms", [150, 1500])
def test_jobs_beside_a_crashing_task_are_not_given_up(run_ms):
    fleet = play(jobs=200, run_ms=run_ms, interval_s=0.05)
    given_up = {job for job, state in fleet.outcomes.items() if state == "failed"}
    assert given_up <= fleet.crashing


# Guards against a count of crashes that is lost with the entry that holds it.
def test_crashing_task_is_not_started_anew_by_the_entry_that_gets_its_job_next():
    fleet = Fleet(ENTRIES, AGENTS, seed=3, caller_timeout_ms=14e3)
    fleet.crashing.add("job-0")
    fleet.at(0.0, fleet.submit, "e0", "job-0", 4, 150)
    fleet.at(1.9, fleet.restart_entry, "e0", "e1")
    fleet.at(4.6, fleet.restart_entry, "e1", "e0")
    fleet.at(7.3, fleet.restart_entry, "e0", "e2")
    fleet.run(20.0)
    assert len(fleet.starts["job-0"]) <= 3 + MAX_STARTS_AFTER_THREE_CRASHES
    assert fleet.outcomes["job-0"] == "failed"
