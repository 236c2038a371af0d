"""Agent that starts again while its worker goes on, and lists of ends that are cut short."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
from builders import make_request, make_worker  # noqa: E402
from test_arbiter import make_arbiter  # noqa: E402
from test_path import TIMEOUT_S, StandInWorker, make_settings, run_path, until  # noqa: E402

from onyxfork.addresses import Address  # noqa: E402
from onyxfork.direct.agent import DirectAgent, run_agent  # noqa: E402
from onyxfork.direct.entry import DirectEntry, run_entry  # noqa: E402
from onyxfork.direct.messages import ConfigurationDocument, DirectoryNode, TaskRef  # noqa: E402
from onyxfork.direct.telemetry import Telemetry  # noqa: E402
from onyxfork.direct.worker_client import LeaseReply  # noqa: E402
from onyxfork.platform.workers import MAX_ENDED_ROWS, decode_run_lists  # noqa: E402
from onyxfork.utils import SystemClock  # noqa: E402


# Guards against TWICE: a new agent acknowledged the end of a run that its former process had
# ordered, and told the entry that the run had never arrived, so a task that was done started again.
async def test_run_that_ended_before_the_takeover_is_reported_with_its_outcome():
    worker = StandInWorker()
    telemetry = Telemetry("test", "n", "a")
    settings = make_settings("s1")
    async with run_entry(DirectEntry(make_settings("e1"), SystemClock(), telemetry)) as entry:
        async with run_agent(DirectAgent(settings, worker, SystemClock(), telemetry)) as agent:
            agent.on_worker_report(make_worker())
            await until(lambda: agent.port)
            settings.listen = Address("127.0.0.1", agent.port)
            entry.control.add_announced_node(
                DirectoryNode("s1", "agent", "a", str(settings.listen))
            )
            entry.control.adopt_document(ConfigurationDocument(1, b"{}"), "test")
            await until(lambda: entry.is_ready)
            job = asyncio.create_task(entry.run_job(make_request(tasks=1, ms=5000.0)))
            await until(lambda: worker.running)
        (ref,) = worker.running
        worker.end(ref, "done")
        settings.incarnation = "another"
        async with run_agent(DirectAgent(settings, worker, SystemClock(), telemetry)) as successor:
            successor.on_worker_report(make_worker())
            async with asyncio.timeout(TIMEOUT_S):
                assert (await job).state == "completed"
        assert worker.started == [ref]


def test_end_of_a_run_that_was_ordered_by_a_former_agent_is_the_answer_to_a_withdrawal():
    arbiter, session = make_arbiter()
    ref = TaskRef("00000000000000a1", 0, 0, 1)
    arbiter.apply_ended_runs([(ref, "failed")], 0.0)
    arbiter.withdraw(session, [ref], 0.1)
    (event,) = session.events
    assert (event.job, event.step, event.index, event.run, event.kind) == (*ref.key, 1, "failed")


# Guards against TWICE: a run whose end was beyond the rows that a worker lists at a time counted as
# lost, and its task was started again although it was done.
def test_list_of_ends_that_is_full_is_known_to_be_incomplete():
    rows = [[number, f"a1.0.0.{number}", 1, "done", ""] for number in range(1, MAX_ENDED_ROWS + 1)]
    full = decode_run_lists({"running": [], "ended": rows}, LeaseReply("ok"))
    assert full.is_truncated and len(full.ended_runs) == MAX_ENDED_ROWS
    assert not decode_run_lists({"ended": rows[1:]}, LeaseReply("ok")).is_truncated


async def test_run_that_an_incomplete_list_does_not_name_continues():
    worker = StandInWorker()
    async with run_path(worker) as (entry, agent):
        job = asyncio.create_task(entry.run_job(make_request(tasks=1, ms=5000.0)))
        await until(lambda: worker.running and agent.arbiter.runs)
        await until(lambda: all(run.has_started for run in agent.arbiter.runs.values()))
        now = agent.clock.now()
        agent.apply_lists(LeaseReply("ok", is_truncated=True), 0, now, now)
        assert agent.arbiter.runs
        job.cancel()
