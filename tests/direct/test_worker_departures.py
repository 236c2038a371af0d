"""Worker that has sent the notice that it leaves as planned, and may still run tasks."""

import asyncio
import sys
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).parent))
from test_path import TIMEOUT_S, run_path, until  # noqa: E402
from test_worker_lifetimes import FORMER_JOB, ReturningWorker, report, start_job  # noqa: E402

from onyxfork.direct.worker_client import LeaseReply  # noqa: E402


class DepartingWorker(ReturningWorker):
    """Worker whose answer to a request for its lists may be replaced."""

    def __init__(self):
        super().__init__()
        self.list_reply = None

    async def renew_lease(self, worker, *arguments):
        if self.list_reply is not None:
            return self.list_reply
        return await super().renew_lease(worker, *arguments)


REFUSED = LeaseReply("unanswered", connection_lost=True, connection_refused=True)
RESET = LeaseReply("unanswered", connection_lost=True)
OTHER = LeaseReply("other-lifetime")


# Guards against TWICE: the runs of a worker counted as lost at the notice that it leaves, and their
# tasks were started on another worker while the first one still ran them.
@pytest.mark.parametrize("state", ["ready", "draining"])
async def test_runs_of_a_worker_that_has_announced_its_end_continue_until_it_is_gone(state):
    worker = DepartingWorker()
    async with run_path(worker) as (entry, agent):
        job = await start_job(entry, worker, FORMER_JOB)
        report(agent, worker, state=state, sequence=2)
        agent.on_worker_left("w1")
        await asyncio.sleep(0.1)
        assert agent.arbiter.runs
        worker.end(worker.started[0], "done")
        async with asyncio.timeout(TIMEOUT_S):
            assert (await job).state == "completed"
        assert worker.starts_of(FORMER_JOB) == [1]


# Guards against TWICE: a connection that was reset on its way counted as the end of the worker.
async def test_reset_connection_does_not_end_a_worker_that_has_announced_its_end():
    worker = DepartingWorker()
    async with run_path(worker) as (entry, agent):
        job = await start_job(entry, worker, FORMER_JOB)
        worker.list_reply = RESET
        agent.on_worker_left("w1")
        await asyncio.sleep(0.1)
        worker.list_reply = None
        assert agent.arbiter.runs
        job.cancel()


@pytest.mark.parametrize("reply", [REFUSED, OTHER])
async def test_runs_are_lost_as_soon_as_the_worker_is_gone_and_do_not_count_as_crashed(reply):
    worker = DepartingWorker()
    async with run_path(worker) as (entry, agent):
        job = await start_job(entry, worker, FORMER_JOB)
        report(agent, worker, state="draining", sequence=2)
        agent.on_worker_left("w1")
        await asyncio.sleep(0.02)
        worker.list_reply = reply
        await until(lambda: agent.arbiter.worker is None)
        assert (agent.arbiter.runs, agent.arbiter.crash_table.recent(0.0)) == ({}, [])
        job.cancel()


async def test_silent_end_of_a_worker_that_has_announced_it_does_not_count_as_a_crash():
    """Guards against tasks that are suspected because a planned end was seen by its silence."""
    worker = DepartingWorker()
    async with run_path(worker) as (entry, agent):
        job = await start_job(entry, worker, FORMER_JOB)
        report(agent, worker, state="draining", sequence=2)
        agent.on_worker_left("w1")
        worker.list_reply = LeaseReply("unanswered", timed_out=True)
        await until(lambda: not agent.arbiter.runs)
        assert agent.arbiter.crash_table.recent(agent.clock.now()) == []
        job.cancel()
