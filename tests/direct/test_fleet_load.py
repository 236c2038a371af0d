"""Who is served when entries know only subsets of the agents, against entries that know them all.

Patterns: a burst on one zone; jobs that want one rack; an entry with three times the usual load.
"""

import sys
from pathlib import Path
from random import Random

import pytest

sys.path.insert(0, str(Path(__file__).parent))
from fleet import RACK_SIZE, TASKS_PER_WORKER, Fleet  # noqa: E402

ENTRIES, AGENTS = 12, 52
TASKS, RUN_MS = 3, 150
SECONDS = 2.0


def offer(fleet, entry, jobs_per_s, start, seconds, rack="", seed=0):
    """Schedule a Poisson stream of jobs at one entry."""
    rng = Random(f"{entry}{start}{rack}{seed}")
    delay, number = start, 0
    while (delay := delay + rng.expovariate(jobs_per_s)) < start + seconds:
        job = f"{entry}-{start}-{rack}-{seed}-{number}"
        run_ms = round(RUN_MS * rng.uniform(0.6, 1.6))
        fleet.at(delay, fleet.submit, entry, job, TASKS, run_ms, rack)
        number += 1


def jobs_per_s(share):
    """Return the rate at each entry that uses a share of the fleet's capacity."""
    slots = AGENTS * TASKS_PER_WORKER
    return share * slots / (TASKS * RUN_MS * 1.1 / 1000) / ENTRIES


def play(use_subsets, load):
    fleet = Fleet(ENTRIES, AGENTS, use_subsets=use_subsets)
    load(fleet)
    fleet.run(SECONDS + 2.0)
    return fleet, fleet.on_time / (fleet.on_time + fleet.late + fleet.refused)


def steady(fleet, share):
    for entry in fleet.entries:
        offer(fleet, entry, jobs_per_s(share), 0.0, SECONDS)


def burst_on_one_zone(fleet):
    steady(fleet, 0.5)
    for entry, dispatcher in fleet.entries.items():
        if dispatcher.zone == "z0":
            offer(fleet, entry, jobs_per_s(0.9), 0.5, 1.0, seed=1)


def one_busy_entry(fleet):
    steady(fleet, 0.5)
    offer(fleet, "e1", jobs_per_s(1.0), 0.0, SECONDS, seed=1)


def overload(fleet):
    steady(fleet, 1.4)


@pytest.mark.parametrize("load", [burst_on_one_zone, one_busy_entry])
def test_entries_that_know_subsets_serve_as_much_as_those_that_know_all(load):
    subsets, share = play(True, load)
    _, share_of_all = play(False, load)
    assert share >= share_of_all - 0.02
    assert subsets.refused_with_room <= 0.01 * (subsets.on_time + subsets.late + subsets.refused)


def test_overload_serves_as_much_with_subsets():
    """At 1.4 times the capacity, what is served must not fall below what full knowledge serves."""
    _, share = play(True, overload)
    _, share_of_all = play(False, overload)
    assert share >= share_of_all - 0.05


def test_jobs_that_want_one_rack_reach_all_its_workers():
    fleet = Fleet(ENTRIES, AGENTS)
    for entry in fleet.entries:
        offer(fleet, entry, 4.0, 0.0, SECONDS, rack="r1")
    fleet.run(SECONDS + 2.0)
    rack = {f"a{number}" for number in range(RACK_SIZE, 2 * RACK_SIZE)}
    for entry in fleet.entries:
        assert rack <= {agent for name, agent in fleet.sessions if name == entry}
    assert fleet.on_time >= 0.9 * (fleet.on_time + fleet.late + fleet.refused)
