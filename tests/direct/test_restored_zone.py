"""Workers of a restored zone are cold and get work according to the speed that entries learn."""

import sys
from pathlib import Path
from random import Random

import pytest
from attrs import evolve

sys.path.insert(0, str(Path(__file__).parent))
from builders import (  # noqa: E402
    make_dispatcher,
    make_event,
    make_request,
    make_status,
    make_worker,
    take_orders,
)
from fleet import Fleet  # noqa: E402

from onyxfork.direct.arbiter import Arbiter  # noqa: E402
from onyxfork.direct.placement import COLD_PROBE_INTERVAL_S  # noqa: E402

WARM_UP_S, RUN_MS = 3.0, 200.0


def test_only_a_worker_of_a_restored_zone_is_reported_cold():
    arbiter = Arbiter()
    session = arbiter.connect("e1", "i", object())
    arbiter.apply_worker_report(evolve(make_worker(), cold_left_ms=2000), 1.0)
    assert arbiter.status(session, 1.0).cold_left_ms == 0
    arbiter.set_evacuated(True, 1.0)
    arbiter.set_evacuated(False, 1.5)
    assert arbiter.status(session, 1.5).cold_left_ms == 1500
    assert arbiter.status(session, 3.5).cold_left_ms == 0


def complete(dispatcher, order, run_ms, now):
    dispatcher.on_events("s1", [evolve(make_event(order, "done"), run_ms=run_ms)], now)


def report(dispatcher, now, cold_left_ms):
    status = make_status(orders_received=100)
    dispatcher.on_status("s1", evolve(status, cold_left_ms=cold_left_ms), now)


def test_cold_worker_gets_one_task_until_its_speed_is_known_and_all_once_it_is_warm():
    dispatcher = make_dispatcher(("s1",))
    report(dispatcher, 0.0, 3000.0)
    dispatcher.submit(make_request(tasks=4), 0.0)
    probe = take_orders(dispatcher)["s1"]
    assert len(probe) == 1
    complete(dispatcher, probe[0], 300.0, 0.01)
    assert not take_orders(dispatcher), "three times slower, so not on time"
    report(dispatcher, 0.01 + COLD_PROBE_INTERVAL_S / 10, 2400.0)
    assert not take_orders(dispatcher)
    report(dispatcher, 0.06, 0.0)
    assert len(take_orders(dispatcher)["s1"]) == 3


def test_cold_worker_that_is_fast_enough_gets_tasks_that_end_in_time():
    dispatcher = make_dispatcher(("s1",))
    report(dispatcher, 0.0, 3000.0)
    dispatcher.submit(make_request(tasks=4), 0.0)
    complete(dispatcher, take_orders(dispatcher)["s1"][0], 120.0, 0.01)
    assert len(take_orders(dispatcher)["s1"]) == 3


# Guards against an error for a run that ends between a reconnect and the first report.
def test_run_may_end_before_the_first_report_on_a_new_connection():
    dispatcher = make_dispatcher(("s1",))
    dispatcher.submit(make_request(tasks=1), 0.0)
    order = take_orders(dispatcher)["s1"][0]
    dispatcher.on_disconnected("s1", 0.01)
    dispatcher.on_connected("s1", "a")
    complete(dispatcher, order, 120.0, 0.02)
    assert dispatcher.finished_jobs


def jobs_on_time_after_restoration(is_reported, load, seed):
    """Return the jobs on time in the 4 s after a third of the workers returns at half speed."""
    fleet, rng = Fleet(3, 12, zones=3, seed=seed), Random(seed)
    zone = [name for name, where in fleet.zones.items() if where == "z0"]
    jobs_per_s = load * len(fleet.agents) * 6 / (3 * RUN_MS / 1000)

    def arrive(number=1):
        fleet.submit(f"e{number % 3}", f"{number:016x}", 3, RUN_MS)
        fleet.at(rng.expovariate(jobs_per_s), arrive, number + 1)

    def set_evacuated(evacuated):
        for name in zone:
            fleet.agents[name].set_evacuated(evacuated, fleet.now)
            fleet.step(name)
        for entry in fleet.entries.values():
            entry.set_evacuated_zones(frozenset({"z0"} if evacuated else ()), fleet.now)

    arrive()
    fleet.run(3.0)
    set_evacuated(True)
    fleet.run(6.0)
    assert not any(fleet.agents[name].runs for name in zone)
    before = fleet.on_time
    for name in zone:
        fleet.speeds[name] = 0.5
        worker = fleet.agents[name].worker
        cold_left_ms = int(WARM_UP_S * 1000) if is_reported else 0
        newer = evolve(worker, sequence=worker.sequence + 1, cold_left_ms=cold_left_ms)
        fleet.agents[name].apply_worker_report(newer, fleet.now)
    set_evacuated(False)
    fleet.at(WARM_UP_S, fleet.speeds.clear)
    fleet.run(10.0)
    return fleet.on_time - before


# Guards against a restored zone that gets its full share at once: the jobs sent there are late,
# although warm workers have free capacity or would be free in time.
@pytest.mark.parametrize("load", [0.55, 0.85])
def test_restored_zone_at_half_speed_costs_fewer_jobs_when_it_is_reported_cold(load):
    reported, unreported = (
        sum(jobs_on_time_after_restoration(is_reported, load, seed) for seed in (1, 2))
        for is_reported in (True, False)
    )
    assert reported > 1.03 * unreported, (reported, unreported)
