"""The stand-in worker follows the platform's rules for runs, leases and fencing tokens."""

from random import Random

import pytest

from onyxfork.platform.standin.worker import MAX_LEASE_S, StandInWorker
from onyxfork.utils import FakeClock

TASK = "00000000000000a1.0.0.0"


@pytest.fixture
def clock():
    return FakeClock(100.0)


@pytest.fixture
def worker(clock):
    return StandInWorker(
        "w", "s", 8000, 1024, lambda *_: 0.5, lambda spec: int(spec), clock, Random(1)
    )


def order(clock, run=1, token=1, task=TASK, spec="3000", lease_s=0.8):
    until_ms = int((clock.now() + lease_s) * 1000)
    return {"task": task, "run": run, "spec": spec, "untilMs": until_ms, "fencingToken": token}


def test_run_ends_when_due_and_is_listed(worker, clock):
    assert worker.start(order(clock)) == (200, {})
    assert worker.start(order(clock)) == (200, {})
    clock.advance(0.6)
    worker.advance()
    assert [row[1:4] for row in worker.ended_runs] == [[TASK, 1, "done"]]
    assert [record.outcome for record in worker.journal] == ["done"]


def test_lease_expires_at_the_upper_bound_if_not_renewed(worker, clock):
    worker.start(order(clock, lease_s=30.0))
    worker.journal[0].ends_at += 60.0
    clock.advance(MAX_LEASE_S + 0.01)
    worker.advance()
    assert worker.journal[0].outcome == "lapsed"


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        ({"fencingToken": 0}, "fence"),
        ({"run": 1}, "old"),
        ({"untilMs": 0}, "late"),
        ({"spec": "6000", "task": "00000000000000a2.0.0.0"}, "room"),
    ],
)
def test_order_is_rejected_with_its_reason(worker, clock, change, reason):
    worker.start(order(clock, run=1))
    worker.stop({"task": TASK, "run": 1, "fencingToken": 1})
    worker.start(order(clock, run=1, task="00000000000000a3.0.0.0"))
    assert worker.start({**order(clock, run=2), **change}) == (409, {"reason": reason})


@pytest.mark.parametrize("keeps_id", [False, True])
def test_next_lifetime_starts_with_empty_state(worker, clock, keeps_id):
    worker.keeps_id = keeps_id
    worker.start(order(clock, token=9))
    previous_id, previous_name = worker.id, worker.lifetime_name
    worker.end_lifetime()
    assert (worker.id == previous_id) == keeps_id and worker.lifetime_name != previous_name
    assert worker.journal[0].outcome == "crashed"
    assert worker.start(order(clock, token=1)) == (200, {})
