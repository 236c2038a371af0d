"""Load: clients submit jobs of very many tasks, one after another, and keep waiting."""

import sys
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).parent))
from builders import make_dispatcher, make_event, make_request  # noqa: E402

from onyxfork.direct.admission import Refusal  # noqa: E402


@pytest.fixture
def dispatcher():
    dispatcher = make_dispatcher(now=100.0)
    dispatcher.max_held_tasks = 100
    return dispatcher


def submit(dispatcher, job, tasks):
    return dispatcher.submit(make_request(job=job, tasks=tasks, cpu=0, ms=1.0), 100.0)


def test_job_over_the_bound_is_refused_as_not_run_and_smaller_ones_are_accepted(dispatcher):
    assert not isinstance(submit(dispatcher, "a", 60), Refusal)
    refusal = submit(dispatcher, "b", 41)
    assert (refusal.cause, refusal.retry_after_ms > 0) == ("tasks", True)
    assert not isinstance(submit(dispatcher, "c", 40), Refusal)
    assert dispatcher.held_tasks == 100


def test_tasks_of_a_cancelled_job_count_until_no_agent_has_them(dispatcher):
    job = submit(dispatcher, "a", 100)
    orders = dispatcher.orders["s1"]
    dispatcher.cancel(job, "the caller has disconnected")
    assert isinstance(submit(dispatcher, "b", 1), Refusal)
    dispatcher.on_events("s1", [make_event(order, "stopped") for order in orders], 100.1)
    assert dispatcher.held_tasks == 0
    assert not isinstance(submit(dispatcher, "b", 1), Refusal)
