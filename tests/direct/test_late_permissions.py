"""Permissions that have run out, and claims that cannot be known: restarts, pauses, late messages.

Patterns: a machine that was paused between a check and its act; an agent that restarted while an
entry waited; a report of a worker that has left; a message that its receiver cannot process.
"""

import asyncio
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
from builders import (  # noqa: E402
    make_dispatcher,
    make_event,
    make_order,
    make_request,
    make_status,
    make_worker,
    take_orders,
)
from test_arbiter import kinds, make_arbiter, start_all  # noqa: E402
from test_path import StandInWorker, make_settings, run_path, until  # noqa: E402

from onyxfork.addresses import Address  # noqa: E402
from onyxfork.direct.agent import DirectAgent, run_agent  # noqa: E402
from onyxfork.direct.arbiter import RESUME_TIMEOUT_S  # noqa: E402
from onyxfork.direct.messages import TaskEvents  # noqa: E402
from onyxfork.direct.telemetry import Telemetry  # noqa: E402
from onyxfork.direct.worker_client import Reply  # noqa: E402
from onyxfork.utils import SystemClock  # noqa: E402


def test_late_report_of_a_worker_that_has_left_is_ignored():
    arbiter, _ = make_arbiter()
    left = arbiter.worker
    arbiter.end_lifetime("the worker has left", 1.0)
    late = make_worker(id=left.id, born_ms=left.started_ms, sequence=left.sequence)
    assert not arbiter.apply_worker_report(late, 1.1)
    assert arbiter.worker is None
    assert arbiter.apply_worker_report(make_worker(id="w2", born_ms=left.started_ms + 5), 1.2)


def test_run_that_an_agent_does_not_know_may_have_started():
    """The agent has restarted: its former process may have started the run without reporting it."""
    dispatcher = make_dispatcher(cpu_free=4000)
    dispatcher.submit(make_request(tasks=1, ms=100.0), 0.0)
    order = take_orders(dispatcher)["s1"][0]
    dispatcher.on_disconnected("s1", 0.05)
    dispatcher.on_connected("s1", "a")
    dispatcher.on_events("s1", [make_event(order, "returned", "never arrived")], 0.1)
    dispatcher.on_status("s1", make_status(cpu_free=0), 0.1)
    dispatcher.tick(5.0)
    assert [job.outcome.state for job in dispatcher.finished_jobs] == ["unknown"]


def test_agent_that_has_dropped_a_session_does_not_say_that_its_runs_never_started():
    arbiter, session = make_arbiter()
    order = make_order()
    arbiter.place(session, [order], 0.0)
    run = start_all(arbiter, 0.0)[0]
    arbiter.disconnect(session, session.connection, 0.1)
    arbiter.tick(0.1)
    arbiter.tick(0.5)
    arbiter.on_stop_reply(run, 0.5)
    arbiter.apply_ended_runs([(order.ref, "stopped")], 0.55)
    session = arbiter.connect("e1", session.incarnation, object())
    arbiter.resume(session, [order.ref], 0.6)
    assert set(kinds(session)) == {(0, "started"), (0, "stopped")}


def test_run_that_ended_while_its_entry_was_away_is_reported_as_done():
    arbiter, session = make_arbiter()
    order = make_order()
    arbiter.place(session, [order], 0.0)
    start_all(arbiter, 0.0)
    arbiter.disconnect(session, session.connection, 0.1)
    arbiter.tick(0.1)
    arbiter.tick(0.5)
    arbiter.apply_ended_runs([(order.ref, "done")], 0.5)
    session = arbiter.connect("e1", session.incarnation, object())
    arbiter.resume(session, [order.ref], 1.0)
    assert (0, "done") in kinds(session)


def test_run_that_is_being_stopped_is_not_reported_as_ended():
    arbiter, session = make_arbiter()
    order = make_order()
    arbiter.place(session, [order], 0.0)
    start_all(arbiter, 0.0)
    arbiter.disconnect(session, session.connection, 0.1)
    arbiter.tick(0.1)
    arbiter.tick(0.5)
    session = arbiter.connect("e1", session.incarnation, object())
    kinds(session)
    arbiter.resume(session, [order.ref], 0.52)
    assert kinds(session) == []
    arbiter.apply_ended_runs([(order.ref, "stopped")], 0.55)
    assert kinds(session) == [(0, "stopped")]


# Guards against a job that never ends at its entry: the withdrawal of a run or its answer was lost
# with the connection, and an agent that had started again knew nothing of the run.
async def test_withdrawal_that_is_lost_with_its_connection_is_sent_again():
    worker = StandInWorker()
    async with run_path(worker) as (entry, agent):
        job = asyncio.create_task(entry.run_job(make_request(tasks=1, ms=5000.0)))
        await until(lambda: worker.running)
        connection = entry.connections["s1"]
        connection.writer.transport.abort()
        job.cancel()
        await asyncio.wait([job])
        agent.arbiter.sessions.clear()
        agent.arbiter.runs.clear()
        await until(lambda: entry.connections.get("s1") not in (None, connection))
        await until(lambda: not entry.dispatcher.jobs)
        assert entry.dispatcher.millicores_in_use == 0


# Guards against TWICE: an agent that noticed the silence of a lost entry late waited for it as long
# as one that noticed it in time, while the caller sent the job to another entry.
async def test_wait_for_a_silent_entry_is_counted_from_its_silence():
    worker = StandInWorker()
    async with run_path(worker) as (entry, agent):
        job = asyncio.create_task(entry.run_job(make_request(tasks=1, ms=5000.0)))
        await until(lambda: worker.running)
        (run,) = agent.arbiter.runs.values()
        connection = agent.arbiter.sessions["e1"].connection
        silence_s = connection.timing.silent_s + RESUME_TIMEOUT_S
        connection.heard_at -= silence_s
        connection.liveness.last_arrival_at -= silence_s
        connection.close_if_silent()
        await until(lambda: run.reason)
        assert run.reason == "the entry is unreachable"
        job.cancel()


async def test_order_to_start_is_not_sent_after_a_pause():
    """The process was paused after it had decided to start the run and before it sent the order;
    the entry has declared the agent lost meanwhile."""
    worker = StandInWorker()
    async with run_path(worker) as (_, agent):
        session = agent.arbiter.sessions["e1"]
        agent.arbiter.place(session, [make_order(slack_ms=9000.0)], agent.clock.now())
        session.latest_agent_clock = agent.clock.now()
        agent.arbiter.schedule(agent.clock.now())
        (run,) = agent.arbiter.starts
        agent.arbiter.starts.clear()
        session.latest_agent_clock = agent.clock.now() - 3.0
        await agent.start(run)
        assert worker.started == []
        assert not agent.arbiter.runs


async def test_lease_of_a_start_is_counted_from_its_decision():
    """A pause after the request was made ends the permission at the worker, which refuses it."""
    worker = StandInWorker()
    leases = []

    async def record(worker_now, order, until_ms, token, timeout_s):
        leases.append(until_ms)
        return await StandInWorker.start(worker, worker_now, order, until_ms, token, timeout_s)

    worker.start = record
    async with run_path(worker) as (_, agent):
        session = agent.arbiter.sessions["e1"]
        agent.arbiter.place(session, [make_order(slack_ms=9000.0)], agent.clock.now())
        session.latest_agent_clock = agent.clock.now()
        agent.arbiter.schedule(agent.clock.now())
        (run,) = agent.arbiter.starts
        agent.arbiter.starts.clear()
        run.ordered_at -= 0.3
        before_ms = agent.worker_clock.earliest_ms(agent.clock.now())
        await agent.start(run)
        assert leases[0] <= before_ms + agent.lease.length_ms - 250


async def test_message_that_cannot_be_processed_ends_only_its_connection():
    """An agent of another version reports an event of an unknown kind."""
    worker = StandInWorker(run_s=0.02)
    async with run_path(worker) as (entry, agent):
        session = agent.arbiter.sessions["e1"]
        job = asyncio.create_task(entry.run_job(make_request(tasks=1, ms=5000.0, cpu=4000)))
        await until(lambda: entry.dispatcher.workers["s1"].tasks)
        task = next(iter(entry.dispatcher.workers["s1"].tasks.values()))
        first = session.connection
        first.send(TaskEvents([make_event(task.order(0.0), "levitated")]))
        await until(lambda: agent.arbiter.sessions["e1"].connection not in (first, None))
        async with asyncio.timeout(5.0):
            assert (await job).state == "completed"


async def test_unexpected_error_in_a_loop_does_not_end_it():
    """A planted error in each of the endless loops; jobs are served afterwards."""
    worker = StandInWorker(run_s=0.02)
    async with run_path(worker) as (entry, agent):
        failures = []

        def fail_once(owner, name):
            original = getattr(owner, name)

            def planted(*arguments):
                setattr(owner, name, original)
                failures.append(name)
                raise KeyError("planted")

            setattr(owner, name, planted)

        fail_once(entry.dispatcher, "tick")
        fail_once(agent.arbiter, "tick")
        fail_once(agent, "apply_lists")
        await until(lambda: len(failures) == 3)
        async with asyncio.timeout(5.0):
            assert (await entry.run_job(make_request(tasks=2, ms=5000.0))).state == "completed"


async def test_agent_listens_once_its_address_is_free():
    """A former process at the address has not ended yet."""
    worker = StandInWorker()
    settings = make_settings("s1")
    with socket.create_server(("127.0.0.1", 0)) as former:
        settings.listen = Address(*former.getsockname())
        agent = DirectAgent(settings, worker, SystemClock(), Telemetry("agent", "s1", "a"))
        async with run_agent(agent):
            agent.on_worker_report(make_worker())
            await agent.takeover_complete.wait()
            await asyncio.sleep(0.05)
            assert agent.port is None
            former.close()
            await until(lambda: agent.port == settings.listen.port)


# Guards against TWICE: an agent that had started again renewed the lease of what its former process
# had started, while its orders to stop were not answered and entries placed the tasks elsewhere.
async def test_lease_of_runs_of_a_former_process_is_not_renewed():
    worker, leases = StandInWorker(), []
    worker.running[make_order().ref] = 0
    renew_lease = worker.renew_lease

    async def leave_unanswered(worker_now, ref, token, timeout_s):
        await asyncio.sleep(timeout_s)
        return Reply("unanswered")

    async def record(worker_now, until_ms, *arguments):
        if worker.running:
            leases.append(until_ms)
        await asyncio.sleep(0.001)
        return await renew_lease(worker_now, until_ms, *arguments)

    worker.stop, worker.renew_lease = leave_unanswered, record
    agent = DirectAgent(make_settings("s1"), worker, SystemClock(), Telemetry("agent", "s1", "a"))
    async with run_agent(agent):
        agent.on_worker_report(make_worker())
        await until(lambda: len(leases) > 5)
        worker.running.clear()
        await agent.takeover_complete.wait()
        assert set(leases) == {None}
        await until(lambda: agent.lease.renewed_at)
