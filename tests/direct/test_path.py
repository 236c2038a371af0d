"""Entry, agent and an in-memory worker in one process, over loopback connections."""

import asyncio
import sys
from contextlib import asynccontextmanager
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
from builders import make_order, make_request, make_worker  # noqa: E402

from onyxfork.direct.agent import DirectAgent, run_agent  # noqa: E402
from onyxfork.direct.entry import DirectEntry, run_entry  # noqa: E402
from onyxfork.direct.messages import (  # noqa: E402
    ConfigurationDocument,
    DirectoryNode,
    PlaceTasks,
)
from onyxfork.direct.settings import DirectSettings  # noqa: E402
from onyxfork.direct.telemetry import Telemetry  # noqa: E402
from onyxfork.direct.worker_client import LeaseReply, Reply, WorkerClient  # noqa: E402
from onyxfork.settings import Address  # noqa: E402
from onyxfork.utils import SystemClock  # noqa: E402

TIMEOUT_S = 10.0


class StandInWorker(WorkerClient):
    """In-memory worker whose runs end when the test calls `end`, or after `run_s`."""

    def __init__(self, run_s=None):
        self.run_s = run_s
        self.running = {}
        self.started = []
        self.stopped = []
        self.ended_runs = []
        self.run_ended = asyncio.Event()
        self.responsive = True
        self.id, self.started_ms = "w1", 1

    async def start(self, worker, order, until_ms, token, timeout_s):
        self.running[order.ref] = 0
        self.started.append(order.ref)
        if self.run_s is not None:
            asyncio.get_running_loop().call_later(self.run_s, self.end, order.ref, "done")
        return Reply("ok", 1000)

    async def stop(self, worker, ref, token, timeout_s):
        self.stopped.append(ref)
        self.end(ref, "stopped")
        return Reply("ok", 1000)

    def end(self, ref, outcome):
        if self.running.pop(ref, None) is not None:
            self.ended_runs.append((ref, outcome))
            self.run_ended.set()

    async def renew_lease(self, worker, until_ms, token, last_end, wait_ms, fresh, timeout_s):
        if not self.responsive:
            return LeaseReply("unanswered")
        if worker.id != self.id:
            return LeaseReply("other-lifetime")
        self.run_ended.clear()
        if wait_ms and len(self.ended_runs) <= last_end:
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await self.run_ended.wait()
            except TimeoutError:
                pass
        ended_runs, last_end_sent = self.ended_runs[last_end:], len(self.ended_runs)
        return LeaseReply(
            "ok", 1000, self.started_ms, dict(self.running), ended_runs, last_end_sent
        )


def make_settings(node):
    return DirectSettings(node, "a", "test", Address("127.0.0.1", 0), [], drain_s=0.2)


async def until(condition):
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.005)


@asynccontextmanager
async def run_path(worker):
    """Yield an entry that is connected to the agent of a worker."""
    agent_settings, entry_settings = make_settings("s1"), make_settings("e1")
    telemetry = Telemetry("test", "n", "a")
    agent = DirectAgent(agent_settings, worker, SystemClock(), telemetry)
    entry = DirectEntry(entry_settings, SystemClock(), telemetry)
    async with run_agent(agent), run_entry(entry):
        agent.on_worker_report(make_worker(born_ms=worker.started_ms))
        await until(lambda: agent.port)
        node = DirectoryNode("s1", "agent", "a", f"127.0.0.1:{agent.port}")
        entry.control.add_announced_node(node)
        entry.control.adopt_document(ConfigurationDocument(1, b"{}"), "test")
        await until(lambda: entry.is_ready)
        yield entry, agent


async def test_job_runs_and_is_answered():
    worker = StandInWorker(run_s=0.02)
    async with run_path(worker) as (entry, agent):
        async with asyncio.timeout(TIMEOUT_S):
            outcome = await entry.run_job(make_request(tasks=6, ms=5000.0))
        assert outcome.state == "completed"
        assert len(set(worker.started)) == 6
        await until(lambda: not agent.arbiter.runs)
        text, _ = entry.telemetry.render()
        assert b'onyxfork_jobs_total{node="n",queue="checks"' in text


async def test_answer_is_logged_with_what_explains_a_loss(caplog):
    caplog.set_level("INFO", "onyxfork.direct.entry")
    async with run_path(StandInWorker(run_s=0.05)) as (entry, _):
        async with asyncio.timeout(TIMEOUT_S):
            await entry.run_job(make_request(tasks=3, ms=1000.0, cpu=1500))
            await entry.run_job(make_request(job="b", cpu=64_000))
    lines = {record.message: vars(record) for record in caplog.records}
    ended, refused = lines["job ended"], lines["job refused"]
    assert (ended["size_core_ms"], ended["priority"], ended["runs"]) == (4500, 0, 3)
    assert ended["slack_ms"] == 660
    assert 0 <= ended["placed_ms"] <= ended["first_start_ms"] <= ended["last_start_ms"]
    assert ended["last_start_ms"] < ended["last_end_ms"] <= ended["elapsed_ms"]
    assert (ended["last_run"], ended["last_started_runs"]) == (1, 1)
    # 60 ms + 1.6 x the longest run, divided by the worker's run time ratio.
    longest_at_most_ms = ended["elapsed_ms"] / ended["longest_pace"]
    assert ended["measured_objective_ms"] >= round(60 + 1.6 * ended["last_usual_run_ms"]) - 1
    assert ended["measured_objective_ms"] <= round(60 + 1.6 * longest_at_most_ms) + 10
    assert (refused["size_core_ms"], refused["objective_ms"], refused["runs"]) == (12800, 220, 0)
    assert refused["first_start_ms"] is refused["last_end_ms"] is None


async def test_runs_survive_a_connection_that_breaks():
    worker = StandInWorker()
    async with run_path(worker) as (entry, _):
        job = asyncio.create_task(entry.run_job(make_request(tasks=2, ms=5000.0)))
        await until(lambda: len(worker.running) == 2)
        entry.connections["s1"].writer.transport.abort()
        await until(lambda: "s1" not in entry.connections)
        await until(lambda: "s1" in entry.connections)
        for ref in list(worker.running):
            worker.end(ref, "done")
        async with asyncio.timeout(TIMEOUT_S):
            assert (await job).state == "completed"
        assert worker.stopped == []


# Guards against TWICE: another agent at the address of one that has moved was taken for it; it knew
# none of the runs, which were started elsewhere while they went on at the agent that had them.
async def test_agent_is_not_taken_for_another_one_that_had_its_address():
    worker = StandInWorker()
    async with run_path(worker) as (entry, agent):
        address = f"127.0.0.1:{agent.port}"
        entry.control.add_announced_node(DirectoryNode("s2", "agent", "a", address))
        await asyncio.sleep(0.1)
        assert set(entry.connections) == set(entry.dispatcher.workers) == {"s1"}
        job = asyncio.create_task(entry.run_job(make_request(tasks=1, ms=5000.0)))
        await until(lambda: worker.running)
        job.cancel()


async def test_runs_are_stopped_when_their_caller_leaves():
    worker = StandInWorker()
    async with run_path(worker) as (entry, _):
        job = asyncio.create_task(entry.run_job(make_request(tasks=2, ms=5000.0)))
        await until(lambda: len(worker.running) == 2)
        job.cancel()
        await until(lambda: len(worker.stopped) == 2)
        await until(lambda: not entry.dispatcher.jobs)


async def test_runs_are_stopped_when_their_entry_ends():
    worker = StandInWorker()
    async with run_path(worker) as (entry, agent):
        job = asyncio.create_task(entry.run_job(make_request(tasks=2, ms=5000.0)))
        await until(lambda: len(worker.running) == 2)
        for _, dialing in entry.dialers.values():
            dialing.cancel()
        await until(lambda: len(worker.stopped) == 2)
        await until(lambda: not agent.arbiter.sessions)
        job.cancel()


async def test_stopping_entry_takes_what_surely_ends_and_refuses_the_rest():
    worker = StandInWorker(run_s=0.02)
    async with run_path(worker) as (entry, _):
        entry.settings.drain_s = 5.0
        entry.stop_started_at = entry.clock.now()
        assert not entry.is_ready
        async with asyncio.timeout(TIMEOUT_S):
            assert (await entry.run_job(make_request(ms=100.0))).state == "completed"
            refused = await entry.run_job(make_request("00000000000000b1", ms=2000.0))
        assert refused.state == "refused"
        assert {ref.job[-2:] for ref in worker.started} == {"a1"}


async def test_entry_whose_loop_is_late_refuses_jobs_with_little_slack():
    worker = StandInWorker()
    async with run_path(worker) as (entry, _):
        job = asyncio.create_task(entry.run_job(make_request(tasks=1, ms=5000.0)))
        await until(lambda: len(worker.running) == 1)
        entry.load.average_ms = 200.0
        entry.load.recent_ms.append(200.0)
        refused = await entry.run_job(make_request("00000000000000b1", ms=100.0))
        assert refused.state == "refused" and refused.retry_after_ms >= 1000.0
        assert b"onyxfork_loop_delay_ms" in entry.telemetry.render()[0]
        job.cancel()


async def test_silent_worker_is_reported_and_its_runs_are_lost_with_its_lease():
    worker = StandInWorker()
    async with run_path(worker) as (entry, agent):
        job = asyncio.create_task(entry.run_job(make_request(tasks=1, ms=5000.0)))
        await until(lambda: len(worker.running) == 1)
        worker.responsive = False
        await until(lambda: entry.dispatcher.workers["s1"].status.state == "suspect")
        await until(lambda: not agent.arbiter.runs)
        assert agent.lease.has_expired(agent.clock.now())
        worker.running.clear()
        worker.responsive = True
        await until(lambda: len(worker.started) == 2)
        assert worker.started[1].run > worker.started[0].run
        job.cancel()


class CrashingWorker(StandInWorker):
    """Worker that crashes as soon as it has started a run."""

    async def start(self, worker, order, until_ms, token, timeout_s):
        self.started.append(order.ref)
        self.responsive = False
        self.run_ended.set()
        return Reply("ok", 1000)


# Guards against a task that crashes its worker again and again until its caller leaves.
async def test_task_that_crashes_its_worker_twice_fails_its_job():
    worker = CrashingWorker()
    async with run_path(worker) as (entry, agent):
        request = make_request(tasks=1, ms=5000.0)
        request.caller_timeout_ms = 1000 * TIMEOUT_S
        job = asyncio.create_task(entry.run_job(request))
        await until(lambda: worker.started)
        await until(lambda: agent.arbiter.crash_table.counts)
        agent.on_worker_report(make_worker(id="w2", born_ms=2))
        worker.id, worker.started_ms = "w2", 2
        worker.responsive = True
        async with asyncio.timeout(TIMEOUT_S):
            outcome = await job
        assert (outcome.state, len(worker.started)) == ("failed", 2)
        assert "2 crashes" in outcome.reason
        again = await entry.run_job(make_request(tasks=1, ms=5000.0))
        assert (again.state, len(worker.started)) == ("failed", 2)
        text, _ = entry.telemetry.render()
        assert b"onyxfork_worker_crashes_total" in text


class SlowReplyWorker(StandInWorker):
    """Worker that answers orders to start only once `may_answer` is set."""

    def __init__(self):
        super().__init__()
        self.may_answer = asyncio.Event()

    async def start(self, worker, order, until_ms, token, timeout_s):
        await self.may_answer.wait()
        return await super().start(worker, order, until_ms, token, timeout_s)


async def test_stopping_agent_waits_for_a_start_that_is_not_answered_yet():
    worker = SlowReplyWorker()
    async with run_path(worker) as (entry, agent):
        agent.settings.drain_s = TIMEOUT_S
        job = asyncio.create_task(entry.run_job(make_request(tasks=1, ms=5000.0)))
        await until(lambda: agent.arbiter.runs)
        stopping = asyncio.create_task(agent.stop())
        await asyncio.sleep(0.15)
        assert not stopping.done()
        worker.may_answer.set()
        await until(lambda: worker.running)
        assert not stopping.done()
        worker.end(next(iter(worker.running)), "done")
        async with asyncio.timeout(TIMEOUT_S):
            assert (await job).state == "completed"
            await stopping


async def test_orders_with_an_old_clock_value_are_returned_and_sent_again():
    """The entry has received no clock value of the agent for 10 s, as after a pause of either."""
    worker = StandInWorker(run_s=0.02)
    async with run_path(worker) as (entry, agent):
        entry.connections["s1"].peer_clock -= 10.0
        async with asyncio.timeout(TIMEOUT_S):
            outcome = await entry.run_job(make_request(tasks=2, ms=5000.0))
        assert outcome.state == "completed"
        assert len(worker.started) == 2
        assert min(ref.run for ref in worker.started) > 1


async def test_order_on_an_older_connection_is_ignored():
    """The entry has reconnected and received the event that the order never arrived. Only then is
    the order read from the older connection, which was reset."""
    worker = StandInWorker()
    async with run_path(worker) as (entry, agent):
        session = agent.arbiter.sessions["e1"]
        older = session.connection
        entry.connections["s1"].writer.transport.abort()
        await until(lambda: session.connection not in (older, None))
        late = PlaceTasks([make_order()], agent.clock.now())
        agent.on_message(session, older, late)
        assert not agent.arbiter.runs and worker.started == []
        agent.on_message(session, session.connection, late)
        await until(lambda: len(worker.started) == 1)


async def test_queued_run_is_not_started_after_a_suspension_until_its_entry_has_a_newer_clock():
    """Clock values that the entry received before the suspension must not count as recent."""
    worker = StandInWorker()
    async with run_path(worker) as (_, agent):
        session = agent.arbiter.sessions["e1"]
        agent.suspended_s -= 3.0
        agent.detect_suspension()
        session.connection.latest_echo = agent.arbiter.suspension_detected_at - 0.01
        order = make_order(slack_ms=9000.0)
        agent.arbiter.place(session, [order], agent.clock.now())
        agent.apply_decisions()
        assert worker.started == [] and not agent.arbiter.starts
        assert [run.state for run in agent.arbiter.runs.values()] == ["queued"]
        session.connection.latest_echo = agent.clock.now()
        agent.apply_decisions()
        await until(lambda: len(worker.started) == 1)
