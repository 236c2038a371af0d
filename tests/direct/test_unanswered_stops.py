"""Runs that their entry has withdrawn, at a worker that leaves orders to stop them unanswered.

An agent and a worker with a lease of its own run on simulated time; orders that stay unanswered are
carried out 2 to 12 s later. A caller whose connection breaks sends its job again 1.3 s later.
"""

import asyncio
import sys
from pathlib import Path
from random import Random
from types import SimpleNamespace

import pytest

sys.path.insert(0, str(Path(__file__).parent))
sys.path.insert(0, str(Path(__file__).parents[1] / "control"))
from builders import make_order, make_worker  # noqa: E402
from test_path import make_settings  # noqa: E402
from virtual_loop import LoopClock, run_virtual  # noqa: E402

from onyxfork.direct.agent import DirectAgent  # noqa: E402
from onyxfork.direct.arbiter_entries import MAX_RUN_WITHOUT_CONTACT_S  # noqa: E402
from onyxfork.direct.lease import MAX_CLOCK_DRIFT_FACTOR  # noqa: E402
from onyxfork.direct.telemetry import Telemetry  # noqa: E402
from onyxfork.direct.worker_client import Reply  # noqa: E402
from onyxfork.platform.standin.worker import (  # noqa: E402
    StandInWorker,
    WorkerServer,
    keep_advancing,
)
from onyxfork.platform.workers import HttpWorkerClient  # noqa: E402
from onyxfork.utils import owned_tasks  # noqa: E402

RESEND_DELAY_S = 1.3
"""Delay after which a caller sends its job again, by the platform's pages."""

WORKER_CLOCK_RATE = 1 / MAX_CLOCK_DRIFT_FACTOR
RUN_S, ECHO_INTERVAL_S, ECHO_AGE_S = 2.4, 0.2, 0.05


class SlowClock(LoopClock):
    """Clock of the worker, as slow as the platform allows."""

    def now(self):
        return super().now() * WORKER_CLOCK_RATE


class DirectPool:
    """Passes calls to a worker in the same process, in place of connections."""

    def __init__(self, worker):
        self.server = WorkerServer(worker)

    async def post(self, path, body, headers, fresh=False):
        transport = SimpleNamespace(abort=lambda: None)
        request = SimpleNamespace(path=path, body=body, headers=headers, transport=transport)
        response = await self.server.handle(request)
        return response.status, response.body


class EchoingConnection:
    """Connection to an entry that echoes the agent's clock at an interval."""

    def __init__(self, clock):
        self.clock = clock

    @property
    def latest_echo(self):
        now = self.clock.now() - ECHO_AGE_S
        return now - now % ECHO_INTERVAL_S

    def send(self, message):
        pass


class Site:
    """One agent, its worker, and one entry that sends orders to it.

    Attributes
    ----------
    withdrawn_at : dict of str to float
        When the callers of jobs have left, by the agent's clock.
    """

    def __init__(self, unanswered_share, seed, spawn):
        loop = asyncio.get_running_loop()
        clock, worker_clock = LoopClock(loop), SlowClock(loop)
        self.worker = StandInWorker(
            "w1", "desk", 64000, 65536, lambda *_: RUN_S, lambda _: 1000, worker_clock, Random(seed)
        )
        self.worker.keeps_id = True
        self.unanswered_share = unanswered_share
        client = HttpWorkerClient(DirectPool(self.worker))
        self.agent = DirectAgent(make_settings("s1"), client, clock, Telemetry("test", "n", "a"))
        self.agent.spawn = spawn
        self.arbiter, self.clock = self.agent.arbiter, clock
        self.session = self.arbiter.connect("e1", "i1", EchoingConnection(clock))
        self.withdrawn_at = {}
        spawn(self.agent.keep_lease())
        spawn(self.agent.watch_lists())
        spawn(self.agent.watch_successor())
        spawn(self.agent.tick_periodically())
        spawn(keep_advancing(self.worker))

    async def begin(self):
        """Report the worker and wait until the agent has taken it over."""
        report = make_worker(cpu=64000, born_ms=1, id=self.worker.id)
        self.agent.on_worker_report(report)
        async with asyncio.timeout(5.0):
            await self.agent.takeover_complete.wait()
        self.worker.unanswered_share = self.unanswered_share

    def order_run(self, job):
        """Order a run of a task of a job."""
        order = make_order(job=job, ms=RUN_S * 1000, slack_ms=500.0)
        self.arbiter.place(self.session, [order], self.clock.now(), self.clock.now())
        self.agent.apply_decisions()
        return order.ref

    def withdraw(self, ref):
        """Withdraw a run whose caller's connection breaks now."""
        self.withdrawn_at[ref.job] = self.clock.now()
        self.arbiter.withdraw(self.session, [ref], self.clock.now())
        self.agent.apply_decisions()

    def overdue_runs(self):
        """Return the runs that have outlasted their caller's next try."""
        return [
            record
            for record in self.worker.journal
            if record.job in self.withdrawn_at
            and (record.ended_at or self.worker.clock.now()) / WORKER_CLOCK_RATE
            > self.withdrawn_at[record.job] + RESEND_DELAY_S
        ]

    def lapsed_runs(self):
        """Return the runs that ended with the lease although they had not been withdrawn."""
        return [
            record
            for record in self.worker.journal
            if record.outcome == "lapsed" and record.job not in self.withdrawn_at
        ]


async def play(unanswered_share, seed, jobs=60):
    """Order runs, withdraw half of them after a while; return the site."""
    async with owned_tasks() as spawn:
        site = Site(unanswered_share, seed, spawn)
        await site.begin()
        for number in range(jobs):
            ref = site.order_run(f"{number:016x}")
            if number % 2:
                asyncio.get_running_loop().call_later(0.8, site.withdraw, ref)
            await asyncio.sleep(0.1)
        site.worker.unanswered_share = 0.0
        await asyncio.sleep(4.0)
        assert site.withdrawn_at and not site.arbiter.runs
        return site


# Guards against TWICE: the lease of a run that its entry had withdrawn was renewed while orders to
# stop it were lost, and it ran beside the copy that its caller sent to another entry.
@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("unanswered_share", [0.05, 0.5, 0.9])
def test_withdrawn_run_ends_before_its_caller_returns(unanswered_share, seed):
    assert run_virtual(play(unanswered_share, seed)).overdue_runs() == []


# Guards against lost work: orders to stop that were repeated too rarely took so long that the lease
# expired, which ends the worker's other runs, too.
@pytest.mark.parametrize("unanswered_share", [0.04, 0.06, 0.5])
def test_withdrawn_run_does_not_cost_the_other_runs_of_its_worker(unanswered_share):
    assert run_virtual(play(unanswered_share, 1, jobs=600)).lapsed_runs() == []


def withdraw(site, ref):
    site.withdraw(ref)


def withdraw_while_stalled(site, ref):
    site.arbiter.stop(site.arbiter.runs[ref.key], "stalled", site.clock.now())
    site.agent.apply_decisions()
    site.withdraw(ref)


def reconnect_without(site, ref):
    """The withdrawal was lost with its connection; the entry lists the run no more."""
    site.withdrawn_at[ref.job] = site.clock.now()
    site.session = site.arbiter.connect("e1", "i1", EchoingConnection(site.clock))
    site.arbiter.resume(site.session, [], site.clock.now())
    site.agent.apply_decisions()


def restart_entry(site, ref):
    site.withdrawn_at[ref.job] = site.clock.now()
    site.arbiter.disconnect(site.session, site.session.connection, site.clock.now())
    site.session = site.arbiter.connect("e1", "i2", EchoingConnection(site.clock))
    site.agent.apply_decisions()


def forget(site, ref):
    """The agent counts the run as ended, and finds it in the worker's list."""
    site.withdrawn_at[ref.job] = site.clock.now()
    site.arbiter.finish(site.arbiter.runs[ref.key], "lost", site.clock.now())


async def lose_all_stops(leave):
    """Let a run be left to orders to stop that are all lost; return the site."""
    async with owned_tasks() as spawn:
        site = Site(0.0, 1, spawn)
        await site.begin()
        ref = site.order_run("00000000000000a1")
        await asyncio.sleep(0.5)
        site.worker.unanswered_share = 1.0
        leave(site, ref)
        await asyncio.sleep(RESEND_DELAY_S + 0.1)
        assert site.worker.journal
        return site


# Guards against TWICE on each path by which a run is left to an order to stop: nothing but that
# order ended it, and no lost order bounded the lease.
@pytest.mark.parametrize(
    "leave", [withdraw, withdraw_while_stalled, reconnect_without, restart_entry, forget]
)
def test_run_ends_with_the_lease_if_every_order_to_stop_is_lost(leave):
    assert run_virtual(lose_all_stops(leave)).overdue_runs() == []


async def withdraw_unanswered_start():
    """Lose the orders to start and stop a run; return the outcomes and the job of a later one."""
    async with owned_tasks() as spawn:
        site = Site(1.0, 1, spawn)
        await site.begin()
        ref = site.order_run("00000000000000a1")
        await asyncio.sleep(0.01)
        site.withdraw(ref)
        await asyncio.sleep(1.6)
        assert not site.arbiter.runs and site.worker.journal == []
        site.worker.unanswered_share = 0.0
        later = site.order_run("00000000000000b2")
        await asyncio.sleep(RUN_S + 0.5)
        return [(record.job, record.outcome) for record in site.worker.journal], later.job


# Guards against a worker without a lease: a run that may have started bounds the lease until its
# stop is acknowledged or the worker refuses the order to start it as late.
def test_start_and_stops_that_stay_unanswered_bound_the_lease_only_until_the_start_is_too_late():
    outcomes, job = run_virtual(withdraw_unanswered_start())
    assert outcomes == [(job, "done")]


async def measure_lease(withdrawn_after_s):
    """Return the end of the lease, counted from the latest echo before the withdrawal."""
    async with owned_tasks() as spawn:
        site = Site(0.0, 1, spawn)
        await site.begin()
        ref = site.order_run("00000000000000a1")
        await asyncio.sleep(withdrawn_after_s)
        site.worker.unanswered_share = 1.0
        echo = site.session.latest_agent_clock
        site.withdraw(ref)
        await asyncio.sleep(0.6)
        return site.arbiter.lease_ends_at - echo


# Guards against a bound that is dated by when a delayed withdrawal is read.
@pytest.mark.parametrize("withdrawn_after_s", [0.5, 0.55, 0.61])
def test_lease_of_a_withdrawn_run_is_dated_by_the_echo_before_the_withdrawal(withdrawn_after_s):
    assert run_virtual(measure_lease(withdrawn_after_s)) <= MAX_RUN_WITHOUT_CONTACT_S + 1e-6


# Guards against TWICE: a refusal of an order to stop was taken for its acknowledgement.
def test_refused_order_to_stop_is_repeated():
    async def refuse_two_stops():
        async with owned_tasks() as spawn:
            site = Site(0.0, 1, spawn)
            await site.begin()
            ref = site.order_run("00000000000000a1")
            await asyncio.sleep(0.5)
            stop, refusals = site.agent.client.stop, [Reply("room", 1000), Reply("invalid")]

            async def refuse(*arguments):
                return refusals.pop() if refusals else await stop(*arguments)

            site.agent.client.stop = refuse
            site.withdraw(ref)
            await asyncio.sleep(0.5)
            return [record.outcome for record in site.worker.journal]

    assert run_virtual(refuse_two_stops()) == ["stopped"]
