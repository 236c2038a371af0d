"""Load on workers of which a quarter has less than half the speed of the others."""

import sys
from pathlib import Path
from random import Random

import pytest
from attrs import evolve

sys.path.insert(0, str(Path(__file__).parent))
from builders import QUEUE, make_dispatcher, make_request, make_status, take_orders  # noqa: E402
from fleet import Fleet  # noqa: E402
from test_placement import make_entry  # noqa: E402

ENTRIES, AGENTS, CORES = 4, 24, 64
SLOW, FAST = 0.55, 1.2
QUEUES = {
    # Mean run time at speed 1 in milliseconds, tasks of a job, share of the demand.
    evolve(QUEUE, name="quick"): (102, 8, 0.2),
    evolve(QUEUE, name="mid"): (340, 2, 0.5),
    evolve(QUEUE, name="long"): (1520, 4, 0.3),
}
TASK_CORES = 6.5
SLOW_AGENTS = [f"a{number}" for number in range(0, AGENTS, 4)]


def make_fleet(load, seconds, **options):
    """Return a fleet on which open-loop load of a share of its capacity is scheduled."""
    speeds = {f"a{n}": SLOW if f"a{n}" in SLOW_AGENTS else FAST for n in range(AGENTS)}
    capacities = dict.fromkeys(speeds, CORES * 1000)
    fleet = Fleet(ENTRIES, AGENTS, capacities=capacities, speeds=speeds, **options)
    rng = Random(5)
    for queue, (run_ms, tasks, share) in QUEUES.items():
        core_s = run_ms / 1000 * tasks * TASK_CORES
        rate = load * share * CORES * sum(speeds.values()) / core_s
        at = 0.0
        while (at := at + rng.expovariate(rate)) < seconds:
            ms = round(run_ms * rng.uniform(0.6, 1.4), 1)
            arguments = f"{queue.name}-{at}", tasks, ms, "", queue, round(TASK_CORES * 1000)
            fleet.at(at, fleet.submit, f"e{rng.randrange(ENTRIES)}", *arguments)
    return fleet


# At 0.9 and 1.2 of the capacity (which includes that of slow workers, where only short tasks are
# on time) refusals are in the nature of the load.
@pytest.mark.parametrize(
    "load, quick, mid, long",
    [(0.7, 0.98, 0.96, 0.98), (0.9, 0.8, 0.92, 0.98), (1.2, 0.4, 0.83, 0.9)],
)
def test_jobs_on_time_beside_slow_workers(load, quick, mid, long):
    """Guards against idle slow workers and against long tasks that are placed on them."""
    fleet = make_fleet(load, 4.0)
    fleet.run(7.0)
    shares = [fleet.share_on_time(queue) for queue in QUEUES]
    assert all(share >= bound for share, bound in zip(shares, (quick, mid, long), strict=True))


def test_slow_workers_do_their_part_of_the_work():
    """They were limited to one task of each entry at a time."""
    fleet = make_fleet(0.9, 4.0)
    fleet.run(3.9)
    used = sum(fleet.agents[agent].cpu_used for agent in SLOW_AGENTS)
    assert used >= 0.5 * len(SLOW_AGENTS) * CORES * 1000


@pytest.mark.parametrize("agent", ["a0", "a1"])
def test_worker_that_falls_to_a_third_of_its_speed_is_found_within_a_second(agent):
    fleet = make_fleet(0.7, 4.0, reads_progress=True)
    fleet.run(3.0)
    fleet.speeds[agent] /= 3
    found = {}
    while fleet.now < 4.0 and len(found) < ENTRIES:
        fleet.run(fleet.now + 0.05)
        for name, entry in fleet.entries.items():
            view = entry.workers.get(agent)
            if view is None or entry.run_time_baseline.is_degraded(view):
                found.setdefault(name, fleet.now)
    assert len(found) == ENTRIES


def test_worker_that_restarts_at_another_speed_is_learnt_anew():
    fleet = make_fleet(0.7, 6.0)
    fleet.run(2.0)
    fleet.crash("a1")
    fleet.speeds["a1"] = SLOW
    fleet.run(6.0)
    assert fleet.agents["a1"].usual_speed.ratio == pytest.approx(1 / SLOW, rel=0.2)


def uneven_entry(load):
    """Return an entry with two slow and six fast workers, of which `load` is in use."""
    statuses = {}
    for number in range(8):
        ratio = 1 / (SLOW if number < 2 else FAST)
        statuses[f"s{number}"] = {
            "run_time_ratio": ratio,
            "usual_run_time_ratio": ratio,
            "cpu_free": round(4000 * (1 - load)),
        }
    return make_entry(statuses)


def test_short_tasks_go_to_slow_workers_when_the_fast_ones_are_scarce():
    entry = uneven_entry(0.9)
    entry.submit(make_request(tasks=2, ms=80.0, cpu=200), 0.0)
    assert set(take_orders(entry)) <= {"s0", "s1"}


def test_long_task_waits_for_a_fast_worker_instead_of_being_late_on_a_slow_one():
    entry = uneven_entry(0.0)
    for number in range(2, 8):
        entry.on_status(f"s{number}", make_status(cpu_free=0, usual_run_time_ratio=0.83), 0.0)
    job = entry.submit(make_request(tasks=1, ms=1500.0), 0.0)
    assert take_orders(entry) == {}
    entry.place_waiting_tasks(job.latest_start(job.tasks[0]) + 0.5)
    assert set(take_orders(entry)) <= {"s0", "s1"}


def test_task_that_is_late_everywhere_goes_to_a_fast_worker():
    entry = uneven_entry(0.9)
    entry.submit(make_request(tasks=1, ms=100.0, cpu=500), 0.0)
    for number in range(8):
        ratio = entry.workers[f"s{number}"].status.run_time_ratio
        status = make_status(run_time_ratio=ratio, usual_run_time_ratio=ratio)
        entry.workers[f"s{number}"].update_status(status)
    entry.place_waiting_tasks(0.5)
    (node,) = take_orders(entry)
    assert node not in {"s0", "s1"}


def test_workers_of_nearly_equal_speed_are_placed_on_as_before():
    entry = make_dispatcher(("s1", "s2"))
    entry.on_status("s1", make_status(run_time_ratio=1.25, usual_run_time_ratio=1.25), 0.0)
    entry.run_time_baseline.refresh(entry.workers.values())
    assert not entry.run_time_baseline.is_uneven
