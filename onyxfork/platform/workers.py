"""Calls to the worker beside an agent."""

import asyncio
import json
import logging
from contextlib import asynccontextmanager

import aiohttp

from onyxfork.direct.messages import TaskRef
from onyxfork.direct.worker_client import LeaseReply, Reply, WorkerClient
from onyxfork.platform.fields import FieldError, read_integer, read_list, read_object

__all__ = ["HttpWorkerClient", "open_worker_client"]

log = logging.getLogger(__name__)

RENEWAL_TIMEOUT_SLACK_S = 0.2
MAX_CONNECTIONS = 48
"""Below the 64 connections that a worker takes."""

OCCURRENCE = 0
"""Jobs that are not repeated have one occurrence, number 0, in their tasks' names."""

REJECTION_REASONS = {"fence": "fence", "old": "old", "late": "late", "room": "room"}
RUN_OUTCOMES = {
    "done": "done",
    "failed": "failed",
    "stopped": "stopped",
    "lapsed": "lost",
    "broken": "lost",
    "alone": "lost",
}


def encode_task(ref):
    """Return the platform's name of a task."""
    return f"{ref.job}.{OCCURRENCE}.{ref.step}.{ref.index}"


def decode_task(name, run):
    """Return the `TaskRef` of a task's name and run."""
    if not isinstance(name, str) or not isinstance(run, int):
        raise FieldError(f"task: expected a name and a number, got {name!r}, {run!r}")
    parts = name.split(".")
    if len(parts) != 4 or not all(part.isdigit() for part in parts[1:]):
        raise FieldError(f"task: cannot read {name!r}")
    return TaskRef(parts[0], int(parts[2]), int(parts[3]), run)


def decode_run_lists(data, reply):
    """Fill a `LeaseReply` from the worker's lists."""
    reply.started_ms = read_integer(data, "born", 0)
    for row in read_list(data, "running", []):
        ref = decode_task(row[0], row[1])
        reply.running[ref] = row[3] if len(row) > 3 and isinstance(row[3], int) else 0
    for row in read_list(data, "ended", []):
        reply.ended_runs.append((decode_task(row[1], row[2]), RUN_OUTCOMES.get(row[3], "lost")))
        reply.last_end = max(reply.last_end, row[0])
    return reply


class HttpWorkerClient(WorkerClient):
    """Calls to one worker over HTTP.

    Parameters
    ----------
    address : Address
    session : aiohttp.ClientSession
        Keeps connections open.
    fresh_session : aiohttp.ClientSession
        Opens a connection for each call.
    """

    def __init__(self, address, session, fresh_session):
        self.base_url = f"http://{address}"
        self.session = session
        self.fresh_session = fresh_session

    async def start(self, worker, order, until_ms, token, timeout_s):
        body = {
            "task": encode_task(order),
            "run": order.run,
            "spec": order.spec,
            "untilMs": until_ms,
            "fencingToken": token,
        }
        return await self.call(Reply, "/run-start", worker, body, timeout_s)

    async def stop(self, worker, ref, token, timeout_s):
        body = {"task": encode_task(ref), "run": ref.run, "fencingToken": token}
        return await self.call(Reply, "/run-stop", worker, body, timeout_s)

    async def renew_lease(self, worker, until_ms, token, last_end, wait_ms, fresh):
        # lastSeen: ends up to this number are forgotten by the worker.
        body = {"fencingToken": token, "lastSeen": last_end, "waitMs": wait_ms}
        if until_ms is not None:
            body["untilMs"] = until_ms
        timeout_s = wait_ms / 1000 + RENEWAL_TIMEOUT_SLACK_S
        return await self.call(LeaseReply, "/hold", worker, body, timeout_s, fresh)

    async def call(self, kind, path, worker, body, timeout_s, fresh=False):
        """Make one call; what goes wrong becomes the answer ``unanswered``."""
        session = self.fresh_session if fresh else self.session
        headers = {"X-Expect-Instance": worker.id, "Content-Type": "application/json"}
        try:
            async with asyncio.timeout(timeout_s):
                async with session.post(
                    self.base_url + path, data=json.dumps(body).encode(), headers=headers
                ) as response:
                    status, raw = response.status, await response.read()
        except (TimeoutError, OSError, aiohttp.ClientError) as error:
            log.debug("worker call failed", extra={"call": path, "reason": repr(error)})
            return kind("unanswered")
        return decode_reply(kind, status, raw)


def decode_reply(kind, status, raw):
    """Return the `Reply` or `LeaseReply` in a response."""
    if status in (429, 503):
        return kind("unhealthy")
    if status == 421:
        return kind("other-lifetime")
    if status == 400:
        return kind("invalid")
    try:
        data = read_object(json.loads(raw), "answer")
        clock_ms = read_integer(data, "clockMs")
        if status == 409:
            return kind(REJECTION_REASONS.get(data.get("reason"), "unhealthy"), clock_ms)
        if status != 200:
            return kind("unanswered", clock_ms)
        reply = kind("ok", clock_ms)
        return decode_run_lists(data, reply) if kind is LeaseReply else reply
    except (ValueError, FieldError, TypeError, IndexError, RecursionError) as error:
        log.warning("worker answer not readable", extra={"status": status, "reason": str(error)})
        return kind("unanswered")


@asynccontextmanager
async def open_worker_client(address):
    """Yield the client of one worker."""
    kept = aiohttp.TCPConnector(limit=MAX_CONNECTIONS, keepalive_timeout=60.0)
    fresh = aiohttp.TCPConnector(limit=8, force_close=True)
    jar = aiohttp.DummyCookieJar()
    async with (
        aiohttp.ClientSession(connector=kept, cookie_jar=jar) as session,
        aiohttp.ClientSession(connector=fresh, cookie_jar=jar) as fresh_session,
    ):
        yield HttpWorkerClient(address, session, fresh_session)
