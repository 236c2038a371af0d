"""Names and addresses of agents that stand for another machine than before."""

import asyncio
import sys
from pathlib import Path
from types import SimpleNamespace

import pytest

sys.path.insert(0, str(Path(__file__).parent))
from builders import (  # noqa: E402
    make_dispatcher,
    make_event,
    make_request,
    make_status,
    take_orders,
)
from test_path import StandInWorker, run_path, until  # noqa: E402

from onyxfork.direct.dispatcher_news import LOST_AFTER_S  # noqa: E402
from onyxfork.direct.messages import DirectoryNode, Resume  # noqa: E402


# Guards against TWICE: an agent on another machine that has the name of a former one does not know
# its runs, which counted as ended and were started again beside those on the former machine.
@pytest.mark.parametrize("was_disconnected", [True, False])
def test_agent_on_another_machine_does_not_answer_for_the_runs_of_the_former_one(was_disconnected):
    dispatcher = make_dispatcher(())
    dispatcher.on_connected("s1", "a", "10.0.0.1:2", "p1", 0.0)
    dispatcher.on_status("s1", make_status(), 0.0)
    dispatcher.submit(make_request(tasks=1, ms=5000.0), 0.0)
    (order,) = take_orders(dispatcher)["s1"]
    if was_disconnected:
        dispatcher.on_disconnected("s1", 0.1)
    assert dispatcher.on_connected("s1", "a", "10.0.0.2:2", "p2", 0.1) == []
    dispatcher.on_status("s1", make_status(), 0.1)
    dispatcher.on_events("s1", [make_event(order, "returned", "never arrived")], 0.1)
    dispatcher.tick(0.1 + LOST_AFTER_S - 0.01)
    assert take_orders(dispatcher) == {}
    dispatcher.tick(0.1 + LOST_AFTER_S)
    (again,) = take_orders(dispatcher)["s1"]
    assert again.run > order.run
    dispatcher.tick(0.2 + LOST_AFTER_S)
    assert list(dispatcher.workers) == ["s1"]


@pytest.mark.parametrize("address, process", [("10.0.0.1:2", "p2"), ("10.0.0.2:2", "p1")])
def test_agent_that_starts_again_or_is_reached_elsewhere_answers_for_its_runs(address, process):
    dispatcher = make_dispatcher(())
    dispatcher.on_connected("s1", "a", "10.0.0.1:2", "p1", 0.0)
    dispatcher.on_status("s1", make_status(), 0.0)
    dispatcher.submit(make_request(tasks=1, ms=5000.0), 0.0)
    (order,) = take_orders(dispatcher)["s1"]
    dispatcher.on_disconnected("s1", 0.1)
    assert dispatcher.on_connected("s1", "a", address, process, 0.1) == [order.ref]


# Guards against the loss of a session: an agent at an address that was another one's took the
# connection for a newer one of its entry, and stopped all runs that this connection did not name.
async def test_agent_at_the_address_of_another_one_is_not_taken_for_it():
    worker = StandInWorker()
    async with run_path(worker) as (entry, agent):
        job = asyncio.create_task(entry.run_job(make_request(tasks=1, ms=5000.0)))
        await until(lambda: worker.running)
        connection = agent.arbiter.sessions["e1"].connection
        node = DirectoryNode("s2", "agent", "a", f"127.0.0.1:{agent.port}")
        entry.control.add_announced_node(node)
        await asyncio.sleep(0.3)
        assert list(entry.connections) == ["s1"]
        assert worker.stopped == [] and connection is not None
        job.cancel()


# Guards against the loss of a session: the first message on an older connection, which was read
# late, took the session from the newer one, whose orders were ignored from then on.
async def test_connection_does_not_replace_one_that_was_accepted_later():
    worker = StandInWorker()
    async with run_path(worker) as (_, agent):
        session = agent.arbiter.sessions["e1"]
        current = session.connection
        older = SimpleNamespace(peer=current.peer)
        agent.on_entry_message(session.connection_number - 1, older, Resume([], ""))
        assert agent.arbiter.sessions["e1"].connection is current
