"""Workers that leave calls unanswered and carry them out late.

Guards against jobs that are late because the ends of their runs are learnt late, and against work
that is stopped although only the answer to its start was lost.
"""

import asyncio
import sys
from pathlib import Path

import pytest
from attrs import evolve

sys.path.insert(0, str(Path(__file__).parent))
from builders import make_request, make_worker  # noqa: E402
from test_path import StandInWorker, run_path, until  # noqa: E402

from onyxfork.direct.list_polls import LOSSY_PERIOD_S, ListPolls  # noqa: E402
from onyxfork.direct.telemetry import Telemetry  # noqa: E402
from onyxfork.direct.worker_client import LeaseReply, Reply  # noqa: E402
from onyxfork.direct.worker_driver import (  # noqa: E402
    MIN_SUSPECT_SILENCE_S,
    RETRY_DELAY_S,
    SUSPECT_MISSED_RENEWALS,
    WATCH_REVIEW_S,
    retry_delay_s,
)
from onyxfork.utils import SystemClock  # noqa: E402


def make_telemetry():
    return Telemetry("test", "n", "a")


def count_lost(agent):
    return agent.telemetry.counters["worker_calls_lost", ()]


class LossyWorker(StandInWorker):
    """Worker that leaves some polls, and the answers to some starts, unanswered."""

    def __init__(self, run_s=None):
        super().__init__(run_s)
        self.polls_lost_until = 0
        self.polls = 0
        self.start_answers_lost = 0
        self.start_orders = 0
        self.repeat_answer = None
        self.start_refusals = 0
        self.on_start_order = None
        self.timeouts_s = []
        self.poll_error = None
        self.polls_connection_lost = False
        self.start_lost = Reply("unanswered")

    async def renew_lease(self, worker, until_ms, token, last_end, wait_ms, fresh, timeout_s):
        self.polls += 1
        self.timeouts_s.append(timeout_s)
        if self.poll_error is not None:
            return LeaseReply(self.poll_error, connection_lost=self.polls_connection_lost)
        if wait_ms and self.polls <= self.polls_lost_until:
            await asyncio.sleep(timeout_s)
            return LeaseReply("unanswered")
        return await super().renew_lease(
            worker, until_ms, token, last_end, wait_ms, fresh, timeout_s
        )

    async def start(self, worker, order, until_ms, token, timeout_s):
        self.start_orders += 1
        if self.on_start_order is not None:
            self.on_start_order(order)
        if self.start_orders <= self.start_refusals:
            return Reply("fence", 1000)
        if self.start_orders > 1 and self.repeat_answer is not None:
            return self.repeat_answer
        if order.ref not in self.running:
            await super().start(worker, order, until_ms, token, timeout_s)
        if self.start_answers_lost:
            self.start_answers_lost -= 1
            return self.start_lost
        return Reply("ok", 1000)


async def test_run_whose_start_answer_is_lost_goes_on():
    """Guards against work that is stopped because only an answer was lost."""
    worker = LossyWorker(run_s=0.2)
    worker.start_answers_lost = 2
    async with run_path(worker) as (entry, agent):
        outcome = await entry.run_job(make_request(tasks=1, ms=200.0))
    assert (outcome.state, len(worker.started), worker.stopped) == ("completed", 1, [])


@pytest.mark.parametrize("refusal", ["old", "room", "other-lifetime", "unsent"])
async def test_refusal_of_a_repeated_order_does_not_prove_that_the_run_never_started(refusal):
    worker = LossyWorker()
    worker.start_answers_lost, worker.repeat_answer = 1, Reply(refusal, 1000)
    async with run_path(worker) as (entry, agent):
        job = asyncio.create_task(entry.run_job(make_request(tasks=1, ms=5000.0)))
        await until(lambda: worker.stopped)
        assert worker.stopped == [worker.started[0]]
        job.cancel()


def evacuate(agent, run):
    agent.arbiter.set_evacuated(True, agent.clock.now())


def withdraw(agent, run):
    agent.arbiter.withdraw(run.session, [run.order.ref], agent.clock.now())


def make_stale(agent, run):
    run.session.latest_agent_clock = agent.clock.now() - 10


def lose_run(agent, run):
    agent.arbiter.finish(run, "lost", agent.clock.now(), "lease expired")


@pytest.mark.parametrize("change", [evacuate, withdraw, make_stale, lose_run])
@pytest.mark.parametrize("answer", ["unanswered", "fence"])
async def test_order_is_not_repeated_once_its_run_may_not_start(change, answer):
    """Guards against a start in an evacuated zone, or of a run that its entry placed elsewhere."""
    worker = LossyWorker()
    worker.start_answers_lost = 1 if answer == "unanswered" else 0
    worker.start_refusals = 1 if answer == "fence" else 0
    async with run_path(worker) as (entry, agent):
        orders, answers = [], []
        on_start_reply = agent.arbiter.on_start_reply

        def record_start_order(order):
            orders.append(order.ref)
            if len(orders) == 1:
                change(agent, agent.arbiter.runs[order.ref.key])

        def record_start_reply(run, kind, now):
            answers.append((run.order.ref, kind))
            on_start_reply(run, kind, now)

        worker.on_start_order = record_start_order
        agent.arbiter.on_start_reply = record_start_reply
        job = asyncio.create_task(entry.run_job(make_request(tasks=1, ms=5000.0)))
        await until(lambda: answers)
        assert orders.count(orders[0]) == 1
        assert answers[0] == (orders[0], "unanswered")
        job.cancel()


async def test_second_poll_is_open_only_while_calls_are_lost():
    worker = LossyWorker()
    async with run_path(worker) as (entry, agent):
        job = asyncio.create_task(entry.run_job(make_request(tasks=1, ms=5000.0)))
        await until(lambda: worker.running)
        await asyncio.sleep(0.15)
        assert len(agent.list_polls.open_polls) == 1
        agent.list_polls.on_call_lost(agent.clock.now())
        await until(lambda: len(agent.list_polls.open_polls) == 2)
        agent.list_polls.lost_at -= LOSSY_PERIOD_S
        await until(lambda: len(agent.list_polls.open_polls) == 1)
        job.cancel()


async def test_worker_that_answers_one_of_two_polls_is_not_suspect():
    worker = LossyWorker()
    async with run_path(worker) as (entry, agent):
        job = asyncio.create_task(entry.run_job(make_request(tasks=1, ms=5000.0)))
        await until(lambda: worker.running)
        agent.list_polls.on_call_lost(agent.clock.now())
        await until(lambda: len(agent.list_polls.open_polls) == 2)
        worker.polls_lost_until = worker.polls + 2
        await until(lambda: worker.polls > worker.polls_lost_until + 2)
        assert agent.arbiter.responsive
        job.cancel()


@pytest.mark.parametrize("lossy", [False, True])
@pytest.mark.parametrize("answer", ["unanswered", "unhealthy"])
async def test_worker_that_answers_with_errors_at_once_is_not_called_without_pause(lossy, answer):
    """Guards against a busy loop while a worker answers with status 500 or an undecodable body."""
    worker = LossyWorker()
    async with run_path(worker) as (entry, agent):
        job = asyncio.create_task(entry.run_job(make_request(tasks=1, ms=5000.0)))
        await until(lambda: worker.running)
        worker.poll_error = answer
        if lossy:
            agent.list_polls.on_call_lost(agent.clock.now())
            await asyncio.sleep(2 * WATCH_REVIEW_S)
        polls_before = worker.polls
        await asyncio.sleep(0.3)
        assert worker.polls - polls_before <= 2 * 0.3 / RETRY_DELAY_S
        job.cancel()


@pytest.mark.parametrize(
    "answer, suspect", [("unhealthy", True), ("other-lifetime", True), ("unanswered", False)]
)
async def test_worker_that_refuses_renewals_is_suspect_at_the_second_refusal(answer, suspect):
    """Guards against queued runs that wait at a worker that has said that it takes none."""
    worker = LossyWorker()
    async with run_path(worker) as (entry, agent):
        await asyncio.sleep(0.05)
        worker.poll_error = answer
        await until(lambda: agent.missed_renewals >= SUSPECT_MISSED_RENEWALS)
        assert agent.clock.now() - agent.arbiter.last_answer_at < MIN_SUSPECT_SILENCE_S
        assert agent.arbiter.responsive != suspect


@pytest.mark.parametrize("connection_lost", [False, True])
async def test_lost_polls_starts_and_stops_are_counted(connection_lost):
    """Guards against a metric that hides lost stops, or takes a worker's crash for lost calls."""
    lost = Reply("unanswered", connection_lost=connection_lost)
    worker = LossyWorker()
    async with run_path(worker) as (entry, agent):
        stop, worker.start_answers_lost, worker.start_lost = worker.stop, 1, lost
        job = asyncio.create_task(entry.run_job(make_request(tasks=1, ms=5000.0)))
        await until(lambda: worker.running and worker.start_orders == 2)
        await asyncio.sleep(0.02)
        assert count_lost(agent) == (not connection_lost)
        replies = [lost]

        async def lose_first_stop(*arguments):
            return replies.pop() if replies else await stop(*arguments)

        worker.stop = lose_first_stop
        job.cancel()
        await agent.send_stop(worker.started[0])
        assert worker.stopped and count_lost(agent) == 2 * (not connection_lost)
        worker.poll_error, worker.polls_connection_lost = "unanswered", connection_lost
        polls_before = worker.polls
        await until(lambda: worker.polls >= polls_before + 2)
        assert (count_lost(agent) > 2) == (not connection_lost)
        text, _ = agent.telemetry.render()
        assert connection_lost or b"onyxfork_worker_calls_lost_total" in text


@pytest.mark.parametrize("known_end, last_end", [(0, 0), (0, 1), (1, 1)])
async def test_running_runs_of_an_overtaken_answer_are_ignored(known_end, last_end):
    """Guards against orders to stop runs that have ended, sent because an older list names them."""
    worker = LossyWorker(run_s=0.02)
    async with run_path(worker) as (entry, agent):
        await entry.run_job(make_request(tasks=2, ms=5000.0))
        await until(lambda: agent.last_end == 2)
        now = agent.clock.now()
        ends = worker.ended_runs[known_end:last_end]
        reply = LeaseReply("ok", 1000, 1, {worker.started[-1]: 50}, ends, last_end if ends else 0)
        agent.takeover_complete.clear()
        agent.apply_lists(reply, known_end, now - 0.05, now)
        assert not agent.takeover_complete.is_set()
        await asyncio.sleep(0.02)
        assert not worker.stopped


@pytest.mark.parametrize("last_end", [0, 3])
async def test_running_runs_of_a_current_answer_are_applied(last_end):
    """An answer without ends lists none after the one that its request named."""
    worker = LossyWorker(run_s=0.02)
    async with run_path(worker) as (entry, agent):
        await entry.run_job(make_request(tasks=2, ms=5000.0))
        await until(lambda: agent.last_end == 2)
        unknown = evolve(worker.started[0], job="00000000000000ff")
        ends = [(worker.started[0], "done")] if last_end else []
        reply = LeaseReply("ok", 1000, 1, {unknown: 50}, ends, last_end)
        now = agent.clock.now()
        agent.apply_lists(reply, 2, now - 0.05, now)
        await until(lambda: worker.stopped == [unknown])


async def test_poll_that_used_up_its_timeout_is_repeated_at_once():
    class SilentClient:
        async def renew_lease(self, *arguments):
            await asyncio.sleep(arguments[-1])
            return LeaseReply("unanswered")

    polls = ListPolls(SilentClient(), SystemClock(), make_telemetry())
    reply = await polls.request(make_worker(), None, 1, 0, 0)
    assert retry_delay_s(reply) == 0.0


async def test_timeout_follows_answer_times_only_while_calls_are_lost():
    """Guards against calm workers that are called lossy because a busy machine answers late."""

    class Client:
        timeouts_s, answers = [], iter(["ok", "ok", "unanswered", "ok", "ok"])

        async def renew_lease(self, *arguments):
            self.timeouts_s.append(round(arguments[-1], 3))
            return LeaseReply(next(self.answers))

    client, clock = Client(), SystemClock()
    polls = ListPolls(client, clock, make_telemetry())
    for _ in range(4):
        await polls.request(make_worker(), None, 1, 0, 0)
    assert client.timeouts_s[:3] == [0.2, 0.2, 0.2] and client.timeouts_s[3] <= 0.06
    polls.lost_at -= LOSSY_PERIOD_S
    await polls.request(make_worker(), None, 1, 0, 100)
    assert client.timeouts_s[4] == 0.3


class ScriptedClient:
    """Client whose polls are answered by the test."""

    def __init__(self):
        self.futures = []

    async def renew_lease(self, *arguments):
        self.futures.append(asyncio.get_running_loop().create_future())
        return await self.futures[-1]


@pytest.mark.parametrize("known_end, answer", [(4, "unanswered"), (5, "ok")])
async def test_poll_is_given_up_when_another_one_was_answered_with_an_end_it_waits_for(
    known_end, answer
):
    client = ScriptedClient()
    polls = ListPolls(client, SystemClock(), make_telemetry())
    lost = asyncio.create_task(polls.request(make_worker(), None, 1, known_end, 100))
    other = asyncio.create_task(polls.request(make_worker(), None, 1, 4, 100))
    await until(lambda: len(client.futures) == 2)
    client.futures[1].set_result(LeaseReply("ok", 1, 1, {}, [("ref", "done")], 5))
    assert (await other).answer == "ok"
    await asyncio.sleep(0.05)
    if not lost.done():
        client.futures[0].set_result(LeaseReply("ok", 1))
    assert (await lost).answer == answer
    # It may only have been overtaken; only a poll that has timed out counts as lost.
    assert not polls.is_lossy(SystemClock().now())
