"""Contact of an agent with its entries: dated by echoed clock values, not by when news is read.

Patterns: an agent that gets no processor time while an entry falls silent; a network that delivers
late what an entry sent before it ended.
"""

import asyncio
import math
import sys
from pathlib import Path
from types import SimpleNamespace

import pytest

sys.path.insert(0, str(Path(__file__).parent))
from builders import make_order, make_request  # noqa: E402
from test_arbiter import kinds, make_arbiter, start_all  # noqa: E402
from test_path import StandInWorker, make_settings, run_path, until  # noqa: E402

from onyxfork.direct.agent import DirectAgent  # noqa: E402
from onyxfork.direct.arbiter_entries import (  # noqa: E402
    MAX_RUN_WITHOUT_CONTACT_S,
    STOP_WITHOUT_CONTACT_S,
)
from onyxfork.direct.lease import MAX_CLOCK_DRIFT_FACTOR, STOP_MARGIN_S  # noqa: E402
from onyxfork.direct.telemetry import Telemetry  # noqa: E402
from onyxfork.utils import FakeClock  # noqa: E402

RESEND_DELAY_S = 1.3
"""Delay after which a caller sends its job again, by the platform's pages."""


def start_run(arbiter, session, contact_at=10.0, job="00000000000000a1"):
    arbiter.place(session, [make_order(job=job)], contact_at, contact_at)
    (run,) = start_all(arbiter, contact_at)
    kinds(session)
    return run


# Guards against TWICE: an agent that noticed late that an entry had ended went on with its runs
# while the entry's callers sent their jobs again.
def test_runs_are_stopped_without_contact_although_the_connection_seems_open():
    arbiter, session = make_arbiter()
    run = start_run(arbiter, session)
    arbiter.stop_runs_without_contact(10.0 + STOP_WITHOUT_CONTACT_S - 0.01)
    assert not arbiter.stops
    arbiter.stop_runs_without_contact(10.0 + STOP_WITHOUT_CONTACT_S)
    assert arbiter.stops == [run]


def test_contact_is_dated_by_the_echo_and_not_by_its_arrival():
    arbiter, session = make_arbiter()
    run = start_run(arbiter, session)
    session.update_agent_clock(10.4)
    arbiter.stop_runs_without_contact(10.3 + STOP_WITHOUT_CONTACT_S)
    assert not arbiter.stops
    arbiter.stop_runs_without_contact(10.4 + STOP_WITHOUT_CONTACT_S)
    assert arbiter.stops == [run]


def test_contact_before_a_suspension_is_as_old_as_the_suspension_was_long():
    arbiter, session = make_arbiter()
    run = start_run(arbiter, session)
    arbiter.record_suspension(10.1, 0.5)
    arbiter.record_suspension(10.2, 0.4)
    arbiter.stop_runs_without_contact(10.05)
    assert not arbiter.stops
    arbiter.stop_runs_without_contact(10.15)
    assert arbiter.stops == [run]


def test_queued_runs_without_contact_are_returned():
    arbiter, session = make_arbiter(cpu=1000)
    arbiter.place(session, [make_order(index=index) for index in range(2)], 10.0, 10.0)
    start_all(arbiter, 10.0)
    kinds(session)
    arbiter.stop_runs_without_contact(10.0 + STOP_WITHOUT_CONTACT_S)
    assert kinds(session) == [(1, "returned")]


def make_agent(now):
    """Return an agent without connections whose worker's clock equals the agent's."""
    clock = FakeClock(now)
    agent = DirectAgent(make_settings("s1"), StandInWorker(), clock, Telemetry("test", "n", "a"))
    agent.arbiter, session = make_arbiter()
    session.connection = SimpleNamespace(latest_echo=0.0)
    agent.worker_clock.update(now * 1000, now)
    return agent, session


# Guards against TWICE: an agent had renewed the worker's lease and then got no processor time, so
# that runs of an entry that had ended went on until after its callers' next try.
def test_lease_ends_before_the_caller_of_a_lost_entry_sends_its_job_again():
    agent, session = make_agent(10.5)
    start_run(agent.arbiter, session, contact_at=10.1)
    lease_s = agent.lease_end_ms(10.5) / 1000 - 10.5
    assert lease_s == pytest.approx(MAX_RUN_WITHOUT_CONTACT_S - 0.4, abs=0.01)
    assert 0.4 + lease_s * MAX_CLOCK_DRIFT_FACTOR + STOP_MARGIN_S < RESEND_DELAY_S


def test_lease_is_as_long_as_allowed_while_every_entry_is_in_contact():
    agent, session = make_agent(10.5)
    assert agent.arbiter.earliest_contact() == math.inf
    start_run(agent.arbiter, session, contact_at=10.4)
    assert agent.lease_end_ms(10.5) == 11_500


# Guards against TWICE: a lease that was renewed while an entry had no runs outlasted the contact
# with it by which a run started right afterwards.
def test_lease_that_is_renewed_before_a_run_starts_is_bounded_by_its_contact():
    agent, session = make_agent(10.5)
    session.update_agent_clock(10.07)
    lease_s = agent.lease_end_ms(10.5) / 1000 - 10.5
    assert lease_s == pytest.approx(MAX_RUN_WITHOUT_CONTACT_S - 0.43, abs=0.01)


def test_run_waits_for_a_contact_that_the_lease_does_not_outlast():
    agent, session = make_agent(10.5)
    arbiter = agent.arbiter
    session.update_agent_clock(10.0)
    assert agent.lease_end_ms(10.5) == 11_500
    arbiter.place(session, [make_order()], 10.52, 10.1)
    assert start_all(arbiter, 10.52) == []
    session.update_agent_clock(10.35)
    assert len(start_all(arbiter, 10.6)) == 1


def test_acknowledged_stop_of_a_silent_entry_no_longer_shortens_the_lease_of_others():
    agent, session = make_agent(10.5)
    arbiter = agent.arbiter
    run = start_run(arbiter, session, contact_at=9.6)
    other = arbiter.connect("e2", "i2", session.connection)
    start_run(arbiter, other, contact_at=10.4, job="00000000000000a2")
    assert arbiter.earliest_contact() == 9.6
    arbiter.on_stop_reply(run, 10.5)
    assert arbiter.earliest_contact() == 10.4


async def test_contact_with_an_idle_entry_is_renewed_by_its_pings():
    worker = StandInWorker()
    async with run_path(worker) as (entry, agent):
        job = asyncio.create_task(entry.run_job(make_request(tasks=1, ms=5000.0)))
        await until(lambda: worker.running)
        started_at = agent.clock.now()
        await until(lambda: agent.arbiter.earliest_contact() > started_at + 0.3)
        assert worker.stopped == []
        job.cancel()
