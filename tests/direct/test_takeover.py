"""An agent that starts while its worker runs what an earlier agent has ordered."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
from builders import make_order, make_worker  # noqa: E402
from test_path import StandInWorker, make_settings, until  # noqa: E402

from onyxfork.direct.agent import DirectAgent, run_agent  # noqa: E402
from onyxfork.direct.telemetry import Telemetry  # noqa: E402
from onyxfork.direct.worker_client import Reply  # noqa: E402
from onyxfork.utils import SystemClock  # noqa: E402


class UnansweringWorker(StandInWorker):
    """Worker that leaves orders to stop unanswered, and records the renewals of its lease."""

    def __init__(self):
        super().__init__()
        self.renewals = []

    async def stop(self, worker, ref, token, timeout_s):
        self.stopped.append(ref)
        await asyncio.sleep(0.05)
        return Reply("unanswered")

    async def renew_lease(self, worker, until_ms, *arguments):
        self.renewals.append(until_ms)
        await asyncio.sleep(0.005)
        return await super().renew_lease(worker, until_ms, *arguments)


async def test_new_agent_does_not_extend_the_lease_of_runs_that_it_has_to_stop():
    """Guards against two runs of a task at once after a restart of an agent.

    Entries start a task elsewhere once the lease of the former agent has expired, also if the order
    to stop its run is not carried out.
    """
    worker = UnansweringWorker()
    worker.running = {make_order().ref: 0}
    agent = DirectAgent(make_settings("s1"), worker, SystemClock(), Telemetry("test", "n", "a"))
    async with run_agent(agent):
        agent.on_worker_report(make_worker(born_ms=worker.started_ms))
        await until(lambda: len(worker.renewals) > 5 and worker.stopped)
        assert set(worker.renewals) == {None}
        assert not agent.takeover_complete.is_set()
        worker.running.clear()
        await until(agent.takeover_complete.is_set)
        await until(lambda: worker.renewals[-1] is not None)
