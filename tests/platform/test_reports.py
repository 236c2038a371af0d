"""Reports of workers that announce that they leave."""

import json

import pytest

from onyxfork.direct.arbiter import Arbiter
from onyxfork.platform.fields import FieldError
from onyxfork.platform.reports import decode_report


def report(state, **fields):
    capacity = {"cpu": 4000, "memMb": 1024, "gpu": 0}
    data = {"state": state, "born": 1, "service": "desk", "capacity": capacity, "seq": 1, **fields}
    return decode_report("w1", json.dumps(data).encode())


def test_time_until_the_worker_leaves_is_reported_to_entries():
    arbiter = Arbiter()
    session = arbiter.connect("e1", "i1", object())
    arbiter.apply_worker_report(report("draining", drainRemainingMs=1600), 10.0)
    assert arbiter.status(session, 10.5).leaves_in_ms == pytest.approx(1100)
    assert arbiter.status(session, 12.0).leaves_in_ms == 0


@pytest.mark.parametrize("worker", [report("draining"), report("ready", drainRemainingMs=None)])
def test_worker_that_has_announced_nothing_has_no_time_of_leaving(worker):
    assert worker.drain_remaining_ms < 0


def test_invalid_remaining_time_is_an_error_that_names_the_field():
    with pytest.raises(FieldError, match="drainRemainingMs"):
        report("draining", drainRemainingMs="soon")
