"""A stand-in upstream for tests and experiments.

It announces itself to an agent and runs a task by waiting. A task's input sets the run time
(`run_ms`), the value in the output (`value`) and whether the task fails (`fail`). Every start and
end is written to a journal, from which the checkers verify the guarantees of the dispatcher.
"""

import asyncio
import json
import logging
from contextlib import asynccontextmanager
from random import Random

import aiohttp
from aiohttp import web

from onyxfork.utils import SystemClock, owned_tasks

__all__ = ["StandInUpstream", "run_upstream", "expected_output"]

log = logging.getLogger(__name__)

LEASE_S = 3.0
USAGE_INTERVAL_S = 2.0


def expected_output(submission, index, value):
    """Return the output of a stand-in for a task, for comparison by checkers."""
    return {"submission": submission, "index": index, "value": value}


class StandInUpstream:
    """An upstream that waits for a task's run time instead of computing.

    Parameters
    ----------
    settings : UpstreamSettings
    clock : Clock
    journal : file object, optional
        Receives one JSON line for each start and end of a task.

    Attributes
    ----------
    speed : float
        Factor on the run time of tasks; tasks run longer above 1.
    fail_share : float
        Probability that a task fails.
    doubles_starts : bool
        Whether each start is written twice, as a planted fault that checkers must report.
    """

    def __init__(self, settings, clock=None, journal=None):
        self.settings = settings
        self.clock = clock or SystemClock()
        self.journal = journal
        self.rng = Random(settings.seed)
        self.speed = settings.speed
        self.fail_share = settings.fail_share
        self.doubles_starts = False
        self.running = {}
        self.started = 0
        self.ended = 0
        self.busy_s = 0.0
        self.leaving = False
        self.port = None

    @classmethod
    def from_config(cls, settings, journal=None):
        """Return a stand-in with the given settings."""
        return cls(settings, journal=journal)

    def write_journal(self, event, submission, index, **fields):
        """Write one line to the journal."""
        if self.journal is None:
            return
        line = {
            "event": event,
            "submission": submission,
            "task": index,
            "worker": self.settings.node,
            "wall_ms": self.clock.wall_ms(),
            **fields,
        }
        self.journal.write(json.dumps(line) + "\n")
        self.journal.flush()

    # Tasks

    async def handle_task(self, request):
        """Run one task and return its output as the HTTP response.

        The journal's outcome is ``cut`` if the request is cancelled or fails with another error.
        """
        body = await request.json()
        key = (body["submission"], body["index"])
        self.started += 1
        for _ in range(2 if self.doubles_starts else 1):
            self.write_journal("start", *key, job=body["job"], attempt=body["attempt"])
        task = asyncio.current_task()
        self.running[key] = task
        started_at = self.clock.now()
        outcome = "cut"
        try:
            status, answer = await self.work(body)
            outcome = "done" if status == 200 else "failed"
            return web.json_response(answer, status=status)
        except StoppedTask:
            outcome = "stopped"
            return web.json_response({"error": "stopped"}, status=410)
        finally:
            self.running.pop(key, None)
            self.ended += 1
            self.busy_s += self.clock.now() - started_at
            self.write_journal("end", *key, outcome=outcome)

    async def work(self, body):
        """Wait for the task's run time; return the HTTP status and the response body."""
        task_input = body["input"] if isinstance(body["input"], dict) else {}
        key = (body["submission"], body["index"])
        if self.rng.random() < self.fail_share or task_input.get("fail"):
            return 500, {"error": "the stand-in is set to fail this task"}
        await self.wait(key, float(task_input.get("run_ms", 0.0)) / 1000 * self.speed)
        return 200, {"output": expected_output(*key, task_input.get("value"))}

    async def wait(self, key, seconds):
        """Wait for `seconds`; raise `StoppedTask` when the task is stopped before."""
        if seconds <= 0:
            return
        stopped = asyncio.get_running_loop().create_future()
        self.running[key] = stopped
        try:
            async with asyncio.timeout(seconds):
                await stopped
        except TimeoutError:
            return
        raise StoppedTask

    async def handle_action(self, request):
        """Stop a running task; a checkpoint or throttle request is only written to the journal."""
        key = (request.match_info["submission"], int(request.match_info["index"]))
        action = request.match_info["action"]
        running = self.running.get(key)
        if running is None:
            return web.json_response({"error": "no such running task"}, status=404)
        self.write_journal(action, *key)
        if action == "stop" and isinstance(running, asyncio.Future) and not running.done():
            running.set_result(None)
        return web.json_response({"told": action})

    async def handle_behaviour(self, request):
        """Change speed, failures or journalling of starts, for experiments and planted faults."""
        body = await request.json()
        self.speed = float(body.get("speed", self.speed))
        self.fail_share = float(body.get("fail_share", self.fail_share))
        self.doubles_starts = bool(body.get("doubling", self.doubles_starts))
        return web.json_response({"speed": self.speed, "fail_share": self.fail_share})

    # Announcements

    def announcement(self):
        """Return the body of an announcement."""
        settings = self.settings
        return {
            "name": settings.node,
            "url": f"http://{settings.http.host}:{self.port}",
            "slots": settings.slots,
            "processors": settings.processors,
            "memory_mb": settings.memory_mb,
            "accelerators": settings.accelerators,
            "lease_s": LEASE_S,
        }

    async def renew_announcement(self, session):
        """Announce this upstream, renew the lease and report usage until it leaves."""
        agent = f"http://{self.settings.agent}"
        renewals = 0
        while not self.leaving:
            delay = LEASE_S / 3
            try:
                async with session.post(f"{agent}/v1/announce", json=self.announcement()) as reply:
                    if reply.status != 200:
                        log.warning("announcement refused", extra={"status": reply.status})
                if renewals % max(1, int(USAGE_INTERVAL_S / delay)) == 0:
                    await self.report_usage(session, agent)
                renewals += 1
            except (TimeoutError, aiohttp.ClientError):
                delay = 0.1
            await asyncio.sleep(delay)

    async def report_usage(self, session, agent):
        """Report the used part of the capacity to the agent."""
        share = len(self.running) / self.settings.slots
        usage = {"processors": share * self.settings.processors, "running": len(self.running)}
        async with session.post(f"{agent}/v1/usage", json=usage):
            pass

    async def leave(self, session):
        """Report to the agent that this upstream takes no new tasks; wait for the running ones."""
        self.leaving = True
        try:
            async with session.post(f"http://{self.settings.agent}/v1/leave", json={}):
                pass
        except (TimeoutError, aiohttp.ClientError):
            return
        while self.running:
            await asyncio.sleep(0.05)

    def make_app(self):
        """Return the HTTP application."""
        app = web.Application(client_max_size=8 * 1024 * 1024)
        app.router.add_post("/v1/tasks", self.handle_task)
        app.router.add_post("/v1/behave", self.handle_behaviour)
        app.router.add_post("/v1/tasks/{submission}/{index}/{action}", self.handle_action)
        return app


class StoppedTask(Exception):
    """Raised in a waiting task that is stopped on request."""


@asynccontextmanager
async def run_upstream(upstream):
    """Serve and announce a stand-in while the context is open.

    Parameters
    ----------
    upstream : StandInUpstream

    Yields
    ------
    aiohttp.ClientSession
        The argument for :meth:`StandInUpstream.leave`.
    """
    runner = web.AppRunner(upstream.make_app(), access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, upstream.settings.http.host, upstream.settings.http.port)
    await site.start()
    upstream.port = runner.addresses[0][1]
    timeout = aiohttp.ClientTimeout(total=2.0)
    try:
        async with aiohttp.ClientSession(timeout=timeout) as session, owned_tasks() as spawn:
            spawn(upstream.renew_announcement(session))
            yield session
    finally:
        await runner.cleanup()
