"""Jobs on open connections to an entry that is about to stop."""

import asyncio
import sys
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).parent))
from builders import make_dispatcher, make_request  # noqa: E402
from test_path import TIMEOUT_S, StandInWorker, run_path, until  # noqa: E402

from onyxfork.direct.entry_stop import ends_before, run_time_in_waves_ms  # noqa: E402


def ready_workers(**status):
    return list(make_dispatcher(("s1", "s2"), **status).workers.values())


@pytest.mark.parametrize(
    "step, run_time_ms",
    [
        ({"tasks": 8}, 500.0),
        ({"tasks": 9}, 1000.0),
        ({"tasks": 48}, 3000.0),
        ({"tasks": 48, "cpu": 0}, 500.0),
        ({"tasks": 4, "max_per_worker": 1}, 1000.0),
        ({"tasks": 3, "cpu": 3000}, 1000.0),
        ({"tasks": 2, "cpu": 0, "memory_mb": 60000}, 500.0),
        ({"tasks": 4, "cpu": 0, "memory_mb": 60000}, 1000.0),
    ],
)
def test_run_time_counts_the_waves_of_a_step_that_is_wider_than_the_workers(step, run_time_ms):
    request = make_request(ms=500.0, **step)
    assert run_time_in_waves_ms(request.steps, ready_workers()) == run_time_ms


def test_steps_in_a_row_add_up_and_no_worker_counts_as_one_task_at_a_time():
    steps = make_request(tasks=9, ms=500.0).steps + make_request(depends_on=[0], tasks=2).steps
    assert run_time_in_waves_ms(steps, ready_workers()) == 1100.0
    assert run_time_in_waves_ms(steps, []) == 4700.0
    assert not ends_before(5.0, 0.0, steps, [])


# Guards against LOST: a job that cannot end before the stop was accepted, and got no answer.
async def test_stopping_entry_refuses_a_job_of_more_waves_than_there_is_time_for():
    async with run_path(StandInWorker()) as (entry, _):
        entry.settings.drain_s = 5.0
        entry.stop_started_at = entry.clock.now()
        async with asyncio.timeout(TIMEOUT_S):
            outcome = await entry.run_job(make_request(tasks=48, ms=500.0))
        assert outcome.state == "refused"


# Guards against LOST: the connection of a job in progress ended without an answer.
async def test_jobs_that_do_not_end_before_the_stop_are_stopped_and_answered():
    worker = StandInWorker()
    async with run_path(worker) as (entry, _):
        job = asyncio.create_task(entry.run_job(make_request(tasks=2, ms=5000.0)))
        await until(lambda: len(worker.running) == 2)
        entry.settings.drain_s = 0.2
        await entry.stop()
        assert job.done() and (await job).state == "unknown"
        await until(lambda: len(worker.stopped) == 2)
