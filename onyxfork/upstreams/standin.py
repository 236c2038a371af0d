"""A stand-in upstream: it announces itself to an agent and runs tasks by waiting.

A task's input may say how long it takes (`run_ms`), what it returns (`value`) and whether it fails
(`fail`). Every start and end is written to a journal, which is what the checks of the promises
rest on.
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
    """Return what a stand-in computes for a task, for checkers."""
    return {"submission": submission, "index": index, "value": value}


class StandInUpstream:
    """An upstream that waits instead of working.

    Parameters
    ----------
    settings : UpstreamSettings
    clock : Clock
    journal : file object, optional
        One JSON line for each start and end.
    """

    def __init__(self, settings, clock=None, journal=None):
        self.settings = settings
        self.clock = clock or SystemClock()
        self.journal = journal
        self.rng = Random(settings.seed)
        self.speed = settings.speed
        self.fail_share = settings.fail_share
        self.doubling = False
        self.running = {}
        self.started = 0
        self.ended = 0
        self.busy_s = 0.0
        self.leaving = False
        self.port = None

    @classmethod
    def from_config(cls, settings, journal=None):
        """Return a stand-in that writes to an open journal."""
        return cls(settings, journal=journal)

    def note(self, event, submission, index, **fields):
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
        """Run one task and answer with its output."""
        body = await request.json()
        key = (body["submission"], body["index"])
        self.started += 1
        for _ in range(2 if self.doubling else 1):
            self.note("start", *key, job=body["job"], attempt=body["attempt"])
        task = asyncio.current_task()
        self.running[key] = task
        began = self.clock.now()
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
            self.busy_s += self.clock.now() - began
            self.note("end", *key, outcome=outcome)

    async def work(self, body):
        """Wait for the task's run time; return the HTTP status and the answer."""
        given = body["input"] if isinstance(body["input"], dict) else {}
        key = (body["submission"], body["index"])
        if self.rng.random() < self.fail_share or given.get("fail"):
            return 500, {"error": "the stand-in was told to fail"}
        await self.wait(key, float(given.get("run_ms", 0.0)) / 1000 * self.speed)
        return 200, {"output": expected_output(*key, given.get("value"))}

    async def wait(self, key, seconds):
        """Wait unless the task is stopped before."""
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
        """Stop, checkpoint or throttle a running task."""
        key = (request.match_info["submission"], int(request.match_info["index"]))
        action = request.match_info["action"]
        waiting = self.running.get(key)
        if waiting is None:
            return web.json_response({"error": "no such running task"}, status=404)
        self.note(action, *key)
        if action == "stop" and isinstance(waiting, asyncio.Future) and not waiting.done():
            waiting.set_result(None)
        return web.json_response({"told": action})

    async def handle_behave(self, request):
        """Change how this stand-in behaves, for experiments and planted faults."""
        body = await request.json()
        self.speed = float(body.get("speed", self.speed))
        self.fail_share = float(body.get("fail_share", self.fail_share))
        self.doubling = bool(body.get("doubling", self.doubling))
        return web.json_response({"speed": self.speed, "fail_share": self.fail_share})

    # Announcements

    def announcement(self):
        """Return what this upstream says of itself."""
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

    async def keep_announced(self, session):
        """Announce and renew until cancelled or leaving."""
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
        """Report how much of the capacity is used."""
        share = len(self.running) / self.settings.slots
        usage = {"processors": share * self.settings.processors, "running": len(self.running)}
        async with session.post(f"{agent}/v1/usage", json=usage):
            pass

    async def leave(self, session):
        """Say that this upstream takes no new work and wait for what runs."""
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
        app.router.add_post("/v1/behave", self.handle_behave)
        app.router.add_post("/v1/tasks/{submission}/{index}/{action}", self.handle_action)
        return app


class StoppedTask(Exception):
    """A task was stopped on request."""


@asynccontextmanager
async def run_upstream(upstream):
    """Run a stand-in while the context is open.

    Yields
    ------
    aiohttp.ClientSession
        To be used for :meth:`StandInUpstream.leave`.
    """
    runner = web.AppRunner(upstream.make_app(), access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, upstream.settings.http.host, upstream.settings.http.port)
    await site.start()
    upstream.port = runner.addresses[0][1]
    timeout = aiohttp.ClientTimeout(total=2.0)
    try:
        async with aiohttp.ClientSession(timeout=timeout) as session, owned_tasks() as spawn:
            spawn(upstream.keep_announced(session))
            yield session
    finally:
        await runner.cleanup()
