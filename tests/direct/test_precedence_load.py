"""Precedence on a fleet without network: bursts, wide jobs, and queues beyond their share."""

import sys
from collections import Counter
from pathlib import Path
from random import Random

sys.path.insert(0, str(Path(__file__).parent))
from fleet import CORES, Fleet  # noqa: E402

from onyxfork.direct.configuration import Queue  # noqa: E402

AGENTS, ENTRIES, TASK_MILLICORES = 48, 8, 3200
CAPACITY = AGENTS * CORES


def make_queue(name, priority):
    return Queue(name, "h", f"/{name}/", "desk", priority, 3, 1.6, 60.0, 1500.0)


URGENT, USUAL, LONG = make_queue("urgent", 0), make_queue("usual", 1), make_queue("long", 2)
RUN_MS = {"urgent": 120.0, "usual": 400.0, "long": 1800.0}
TASKS = {"urgent": 8, "usual": 2, "long": 4}


def play(loads, entries=ENTRIES, seconds=6.0, seed=1):
    """Play loads and return the fleet.

    Parameters
    ----------
    loads : list of (Queue, float, float, float, int, list of str)
        Queue, demand as a share of the capacity, start and end in seconds, tasks per job (0 for the
        usual number) and the names of the entries that get the jobs (empty for all).
    """
    fleet = Fleet(entries, AGENTS, zones=2, seed=seed)
    fleet.widths = Counter()
    rng = Random(seed)
    for number, (queue, share, start, end, tasks, names) in enumerate(loads):
        names = names or list(fleet.entries)
        width, run_ms = tasks or TASKS[queue.name], RUN_MS[queue.name]
        mean_s = width * TASK_MILLICORES * run_ms / 1e6 / (share * CAPACITY)
        at = start + rng.expovariate(1 / mean_s)
        while at < min(end, seconds):
            job = f"{number}-{at:.6f}"
            count = max(1, min(4 * width, round(width * rng.lognormvariate(-0.08, 0.4))))
            duration = min(4 * run_ms, run_ms * rng.lognormvariate(-0.08, 0.4))
            cpu = int(TASK_MILLICORES * rng.uniform(0.8, 1.2))
            arguments = (rng.choice(names), job, count, round(duration, 1), "", queue, cpu)
            fleet.at(at, fleet.submit, *arguments)
            at += rng.expovariate(1 / mean_s)
    fleet.run(seconds + 4)
    return fleet


def shares(fleet, *queues):
    return [fleet.share_on_time(queue) for queue in queues]


USUAL_LOADS = [
    (URGENT, 0.18, 0, 9, 0, []),
    (USUAL, 0.40, 0, 9, 0, []),
    (LONG, 0.25, 0, 9, 0, []),
]


def test_nobody_is_refused_below_nine_tenths_of_capacity():
    """Guards against limits and reserves while there is enough for everybody."""
    fleet = play(USUAL_LOADS, seconds=4.0)
    assert min(shares(fleet, URGENT, USUAL, LONG)) >= 0.97


def test_urgent_work_is_on_time_beside_a_burst_of_large_jobs():
    """Long jobs of 16 tasks would fill the workers for 2 s; they bear the cost."""
    fleet = play([*USUAL_LOADS, (LONG, 0.35, 2, 5, 16, [])])
    urgent, usual, long = shares(fleet, URGENT, USUAL, LONG)
    assert urgent >= 0.94 and usual >= 0.94 and long >= 0.6


def test_queue_that_sends_ten_times_its_share_pays_for_it():
    """A flood of the lowest priority must not take the cores of the others."""
    fleet = play([*USUAL_LOADS, (LONG, 2.25, 1.5, 6, 0, [])])
    urgent, usual, long = shares(fleet, URGENT, USUAL, LONG)
    assert urgent >= 0.9 and usual >= 0.85 and long < usual


def test_lowest_priority_keeps_its_guaranteed_share():
    """Urgent work at 1.5 times capacity would otherwise take every core that becomes free."""
    fleet = play([(URGENT, 1.5, 0, 9, 0, []), (LONG, 0.1, 0, 9, 0, [])], seconds=4.0)
    assert fleet.share_on_time(LONG) >= 0.9


def test_entry_with_urgent_work_is_not_shut_out_by_another_entry():
    """The two entries know of each other only by the agents' reports."""
    loads = [(URGENT, 0.3, 0, 9, 0, ["e0"]), (LONG, 1.0, 0, 9, 0, ["e1"])]
    fleet = play(loads, entries=2, seconds=4.0)
    assert fleet.share_on_time(URGENT) >= 0.88
