"""Worker that starts again under its identifier, and reports that name lifetimes it does not have.

Guards against a task that runs twice at the same time because its run in the new lifetime counts as
lost with the former one, and against an agent that follows a report instead of its worker.
"""

import asyncio
import sys
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).parent))
from builders import make_order, make_request, make_worker  # noqa: E402
from test_arbiter import kinds, make_arbiter, start_all  # noqa: E402
from test_path import TIMEOUT_S, StandInWorker, run_path, until  # noqa: E402

from onyxfork.direct.worker_client import LeaseReply, Reply  # noqa: E402
from onyxfork.direct.worker_lifetimes import MAX_SEQUENCE_STEP, RETRY_DELAY_S  # noqa: E402


class ReturningWorker(StandInWorker):
    """Worker that may start again under its identifier, and be silent about its lists."""

    def __init__(self, run_s=None):
        super().__init__(run_s)
        self.is_silent = False
        self.states_lifetime = True
        self.highest_token = 0
        self.refused_tokens = []
        self.acknowledged_ends = []
        self.poll_error = ""

    def begin_lifetime(self, id="w1", started_ms=2):
        """Begin another lifetime, which has no runs, no ends and no fencing token."""
        self.running, self.ended_runs, self.highest_token = {}, [], 0
        self.id, self.started_ms = id, started_ms
        self.run_ended.set()

    def accept(self, reply_type, worker, token):
        """Return the refusal of a call, or None."""
        if worker.id != self.id:
            return reply_type("other-lifetime")
        if token < self.highest_token:
            self.refused_tokens.append(token)
            return reply_type("fence", 1000, self.started_ms)
        self.highest_token = token
        return None

    async def start(self, worker, order, until_ms, token, timeout_s):
        refusal = self.accept(Reply, worker, token)
        if refusal is not None:
            return refusal
        reply = await super().start(worker, order, until_ms, token, timeout_s)
        reply.started_ms = self.started_ms if self.states_lifetime else 0
        return reply

    async def renew_lease(self, worker, until_ms, token, last_end, wait_ms, fresh, timeout_s):
        if self.is_silent:
            await asyncio.sleep(timeout_s)
            return LeaseReply("unanswered")
        if self.poll_error:
            return LeaseReply(self.poll_error)
        self.acknowledged_ends.append((self.started_ms, last_end))
        lifetime = self.id, self.started_ms
        reply = self.accept(LeaseReply, worker, token) or await super().renew_lease(
            worker, until_ms, token, last_end, wait_ms, fresh, timeout_s
        )
        if lifetime != (self.id, self.started_ms):
            return LeaseReply("unanswered", connection_lost=True)
        return reply

    def starts_of(self, job):
        """Return the numbers of the runs of a job's first task that were started."""
        return [ref.run for ref in self.started if ref.job == job]


FORMER_JOB, NEW_JOB = "00000000000000a1", "00000000000000b2"


async def start_job(entry, worker, job, run_ms=5000.0):
    """Hand a job of one task in and wait until its run has started."""
    started = len(worker.starts_of(job))
    request = make_request(job=job, tasks=1, ms=run_ms)
    request.caller_timeout_ms = 1000 * TIMEOUT_S
    task = asyncio.create_task(entry.run_job(request))
    await until(lambda: len(worker.starts_of(job)) > started)
    return task


def report(agent, worker, **fields):
    agent.on_worker_report(make_worker(id=worker.id, born_ms=worker.started_ms, **fields))


# Guards against TWICE: a run that the new lifetime was ordered to start before it was known counted
# as lost with the former lifetime, and its task was started on another worker beside it.
@pytest.mark.parametrize("learnt_from", ["start", "lists", "report"])
async def test_run_that_a_new_lifetime_has_started_is_not_lost_with_the_former_one(learnt_from):
    worker = ReturningWorker()
    worker.states_lifetime = learnt_from == "start"
    async with run_path(worker) as (entry, agent):
        former = await start_job(entry, worker, FORMER_JOB)
        worker.is_silent = True
        worker.begin_lifetime()
        new = await start_job(entry, worker, NEW_JOB)
        if learnt_from == "report":
            report(agent, worker)
        worker.is_silent = False
        await until(lambda: agent.arbiter.worker.started_ms == 2)
        report(agent, worker, sequence=2)
        await until(lambda: len(worker.starts_of(FORMER_JOB)) == 2)
        assert worker.starts_of(NEW_JOB) == [1] and worker.stopped == []
        for ref in list(worker.running):
            worker.end(ref, "done")
        async with asyncio.timeout(TIMEOUT_S):
            assert [(await job).state for job in (former, new)] == ["completed"] * 2
        assert worker.starts_of(NEW_JOB) == [1]


async def test_lease_and_lists_of_a_new_lifetime_are_followed_before_its_first_report():
    """Guards against a second in which nothing that runs there can be stopped or ends."""
    worker = ReturningWorker()
    async with run_path(worker) as (entry, agent):
        worker.is_silent = True
        worker.begin_lifetime()
        job = await start_job(entry, worker, NEW_JOB)
        worker.is_silent = False
        await until(lambda: agent.arbiter.worker.started_ms == 2)
        assert agent.arbiter.state == "absent"
        job.cancel()
        await until(lambda: [ref.job for ref in worker.stopped] == [NEW_JOB])


async def test_stop_that_another_lifetime_has_answered_is_sent_again():
    worker = ReturningWorker()
    async with run_path(worker) as (entry, agent):
        job = await start_job(entry, worker, FORMER_JOB)
        answers = [Reply("ok", 1000, 7)]
        stop = worker.stop

        async def answer_stop(*arguments):
            return answers.pop() if answers else await stop(*arguments)

        worker.stop = answer_stop
        job.cancel()
        await until(lambda: worker.stopped == [worker.started[0]])
        await until(lambda: not agent.arbiter.runs)
        assert (agent.arbiter.worker.lifetime, agent.arbiter.successor) == (("w1", 1), None)


async def test_start_that_was_answered_by_neither_lifetime_is_stopped_in_the_new_one():
    """The order may reach the new lifetime after its lists were read."""
    arbiter, session = make_arbiter()
    arbiter.place(session, [make_order()], 0.0)
    (run,) = start_all(arbiter, 0.0, "unanswered")
    run.token = 7
    arbiter.on_stop_reply(run, 0.1)
    arbiter.stops.clear()
    assert arbiter.begin_lifetime(make_worker(born_ms=2), set(), 7, 0.2) == [run]
    assert (arbiter.stops, run.stop_acknowledged_at) == ([run], None)
    arbiter.apply_running({}, 0.3, 0.3)
    assert arbiter.runs
    arbiter.on_stop_reply(run, 0.4)
    arbiter.apply_running({}, 0.5, 0.5)
    assert kinds(session) == [(0, "stopped")]


@pytest.mark.parametrize("token, is_listed, is_kept", [(6, False, False), (6, True, True)])
def test_run_of_an_earlier_order_continues_only_if_the_new_lifetime_lists_it(
    token, is_listed, is_kept
):
    arbiter, session = make_arbiter()
    arbiter.place(session, [make_order(index=0), make_order(index=1, cpu=4000)], 0.0)
    (run,) = start_all(arbiter, 0.0)
    run.token = token
    listed = {run.order.ref} if is_listed else set()
    kept = arbiter.begin_lifetime(make_worker(born_ms=2), listed, 7, 0.2)
    assert kept == [run] * is_kept
    assert arbiter.cpu_used == 1000 * is_kept
    assert {count.index for count in arbiter.crash_counts} == ({0} if not is_kept else set())
    ends = [] if is_kept else [(0, "lost")]
    assert sorted(kinds(session)) == sorted([(0, "started"), (1, "returned"), *ends])


async def test_order_that_is_still_on_its_way_is_refused_by_the_new_lifetime():
    worker = ReturningWorker()
    async with run_path(worker) as (entry, agent):
        await start_job(entry, worker, FORMER_JOB)
        former, late_token = agent.arbiter.worker, agent.arbiter.runs.copy().popitem()[1].token
        worker.begin_lifetime()
        await until(lambda: agent.arbiter.worker.started_ms == 2)
        late = await worker.start(former, make_order(job=NEW_JOB), 0, late_token, 1.0)
        assert late.answer == "fence" and worker.starts_of(NEW_JOB) == []


async def test_ends_of_a_new_lifetime_are_not_acknowledged_by_numbers_of_the_former_one():
    """Guards against runs that start again because the worker has dropped their ends."""
    worker = ReturningWorker()
    async with run_path(worker) as (entry, agent):
        former = await start_job(entry, worker, FORMER_JOB)
        worker.end(worker.started[0], "done")
        await former
        await until(lambda: agent.last_end == 1)
        worker.is_silent = True
        await until(lambda: agent.missed_renewals)
        worker.begin_lifetime()
        job = await start_job(entry, worker, NEW_JOB)
        worker.end(worker.started[-1], "done")
        worker.is_silent = False
        async with asyncio.timeout(TIMEOUT_S):
            assert (await job).state == "completed"
        assert worker.starts_of(NEW_JOB) == [1]
        assert [end for lifetime, end in worker.acknowledged_ends if lifetime == 2][0] == 0


@pytest.mark.parametrize(
    "fields", [{"id": "other", "born_ms": 9**15}, {"id": "w1", "born_ms": 9**15}, {"born_ms": 0}]
)
async def test_report_of_a_lifetime_that_the_worker_refutes_changes_nothing(fields):
    """Guards against runs that are lost, and a worker that is given up, for a report alone: a late
    one, or one of another writer."""
    worker = ReturningWorker()
    async with run_path(worker) as (entry, agent):
        job = await start_job(entry, worker, FORMER_JOB)
        agent.on_worker_report(make_worker(state="draining", cpu=1, sequence=99, **fields))
        assert agent.arbiter.successor is not None
        await until(lambda: agent.arbiter.successor is None)
        assert (agent.arbiter.worker.lifetime, agent.arbiter.state) == (("w1", 1), "ready")
        report(agent, worker, cpu=2000, sequence=2)
        assert agent.arbiter.status(agent.arbiter.sessions["e1"], 0.0).cpu == 2000
        worker.end(worker.started[0], "done")
        async with asyncio.timeout(TIMEOUT_S):
            assert (await job).state == "completed"
        assert worker.starts_of(FORMER_JOB) == [1]


async def test_report_with_a_number_far_above_the_latest_is_refused():
    """Guards against a true worker whose reports all count as late after one of another writer."""
    worker = ReturningWorker()
    async with run_path(worker) as (_, agent):
        odd = make_worker(sequence=2 + MAX_SEQUENCE_STEP, state="draining")
        assert "sequence" in agent.on_worker_report(odd)
        assert agent.on_worker_report(make_worker(sequence=2, cpu=2000)) is None
        assert (agent.arbiter.state, agent.arbiter.worker.cpu) == ("ready", 2000)


@pytest.mark.parametrize("id, started_ms", [("w1", 1000), ("w2", 1000), ("w2", 5000)])
async def test_new_lifetime_is_followed_whatever_the_time_of_day_at_its_start(id, started_ms):
    """Guards against a worker that is ignored because its clock was stepped back."""
    worker = ReturningWorker()
    worker.started_ms = 3000
    async with run_path(worker) as (entry, agent):
        worker.begin_lifetime(id, started_ms)
        report(agent, worker)
        await until(lambda: agent.arbiter.worker.lifetime == (id, started_ms))
        report(agent, worker, sequence=2)
        job = await start_job(entry, worker, NEW_JOB)
        report(agent, worker, state="draining", sequence=3)
        assert agent.arbiter.state == "draining"
        job.cancel()


@pytest.mark.parametrize("state", ["ready", "draining"])
@pytest.mark.parametrize("answers", [True, False])
async def test_late_notice_of_a_departure_does_not_end_a_later_lifetime(state, answers):
    worker = ReturningWorker()
    async with run_path(worker) as (_, agent):
        report(agent, worker, state=state, sequence=2)
        if not answers:
            worker.id = "w2"
        agent.on_worker_left("other")
        agent.on_worker_left("w1")
        await asyncio.sleep(0.02)
        assert (agent.arbiter.worker is not None) == answers


async def test_agent_that_is_stopping_uses_no_new_lifetime():
    worker = ReturningWorker()
    async with run_path(worker) as (_, agent):
        await agent.stop()
        worker.begin_lifetime()
        report(agent, worker)
        await until(lambda: agent.arbiter.worker.started_ms == 2)
        assert agent.arbiter.state == "draining"
        worker.begin_lifetime(started_ms=3)
        await until(lambda: agent.arbiter.worker.started_ms == 3)
        report(agent, worker)
        assert agent.arbiter.state == "draining"


async def test_lists_of_a_new_lifetime_are_requested_at_once():
    """Guards against a crash that is dated so late that its cause is no suspect."""
    worker = ReturningWorker()
    async with run_path(worker) as (_, agent):
        worker.poll_error = "unhealthy"
        await until(lambda: agent.missed_renewals)
        worker.poll_error = ""
        worker.begin_lifetime()
        worker.acknowledged_ends.clear()
        report(agent, worker)
        await until(lambda: agent.arbiter.worker.started_ms == 2)
        await asyncio.sleep(RETRY_DELAY_S / 2)
        assert len(worker.acknowledged_ends) == 2
