"""HTTP client for the worker beside an agent."""

import asyncio
import json
import logging
import re
from contextlib import asynccontextmanager

from onyxfork.direct.messages import TaskRef
from onyxfork.direct.worker_client import LeaseReply, Reply, WorkerClient
from onyxfork.platform.fields import (
    MAX_NUMBER,
    FieldError,
    decode_json,
    read_integer,
    read_list,
    read_object,
    shorten,
)
from onyxfork.platform.http_client import open_pool

__all__ = ["HttpWorkerClient", "open_worker_client"]

log = logging.getLogger(__name__)

MAX_CONNECTIONS = 48
"""Below the 64 connections that a worker accepts."""

MAX_ENDED_ROWS = 500
"""How many ended runs a worker lists at a time; further ones follow when these are acknowledged."""

OCCURRENCE = 0
"""Second part of a task name: which repetition of its job the task belongs to. Repeated jobs are
not supported, so it is always 0."""

REJECTION_REASONS = {"fence": "fence", "old": "old", "late": "late", "room": "room"}
"""`Reply.answer` by the platform's reason for rejecting an order.

``fence``: the fencing token is lower than one that the worker has seen. ``old``: the worker has
ended or was told to stop this run or a later one of the task, or another run of it is in progress.
``late``: the lease in the order has expired. ``room``: there is too little free capacity.
"""

RUN_OUTCOMES = {
    "done": "done",
    "failed": "failed",
    "stopped": "stopped",
    "lapsed": "lost",
    "broken": "lost",
    "alone": "lost",
}
"""Outcome of a run in `LeaseReply.ended_runs`, by the platform's word for it.

The three words that become ``lost`` all mean that the run began and has ended without a result.
``lapsed`` means that its lease expired.
"""


TASK_NAME = re.compile(r"([0-9A-Za-z]{1,64})\.[0-9]{1,9}\.([0-9]{1,9})\.([0-9]{1,9})")

ROW_ERRORS = (FieldError, TypeError, LookupError)


def encode_task(ref):
    """Return the platform's name of a task: ``job.occurrence.step.index``."""
    return f"{ref.job}.{OCCURRENCE}.{ref.step}.{ref.index}"


def decode_task(name, run):
    """Return the `TaskRef` for a task name and a run number."""
    if not isinstance(name, str) or not isinstance(run, int):
        raise FieldError("task: expected a task name and a run number")
    match = TASK_NAME.fullmatch(name)
    if match is None or not 0 <= run <= MAX_NUMBER:
        raise FieldError(f"task: expected job.occurrence.step.index, got {shorten(name)}")
    job, step, index = match.groups()
    return TaskRef(job, int(step), int(index), run)


def decode_run_lists(data, reply):
    """Add the worker's lists of running and ended runs to a `LeaseReply`, and return it.

    Rows that cannot be decoded are ignored, so that the others are followed.
    """
    ignored = []
    # Rows of "running": task name, run, a field that is not used, percentage done.
    for row in read_list(data, "running", []):
        try:
            ref = decode_task(row[0], row[1])
            reply.running[ref] = row[3] if len(row) > 3 and isinstance(row[3], int) else 0
        except ROW_ERRORS as error:
            ignored.append(error)
    # Rows of "ended": number of the end (ascending), task name, run, outcome.
    ended_rows = read_list(data, "ended", [])
    reply.is_truncated = len(ended_rows) >= MAX_ENDED_ROWS
    for row in ended_rows:
        try:
            number = read_integer({"number": row[0]}, "number")
            ended = decode_task(row[1], row[2]), RUN_OUTCOMES.get(row[3], "lost")
        except ROW_ERRORS as error:
            ignored.append(error)
            continue
        reply.ended_runs.append(ended)
        reply.last_end = max(reply.last_end, number)
    if ignored:
        fields = {"rows": len(ignored), "reason": shorten(str(ignored[0]))}
        log.warning("rows of the worker's lists cannot be decoded", extra=fields)
    return reply


class HttpWorkerClient(WorkerClient):
    """Calls one worker over HTTP.

    The platform calls a lease a "hold"; ``untilMs`` is the end of the lease by the worker's clock.

    Parameters
    ----------
    pool : HttpPool
        Connections to the worker.
    """

    def __init__(self, pool):
        self.pool = pool

    async def start(self, worker, order, until_ms, token, timeout_s):
        body = {
            "task": encode_task(order),
            "run": order.run,
            "spec": order.spec,
            "untilMs": until_ms,
            "fencingToken": token,
        }
        return await self.call(Reply, "/run-start", worker, body, timeout_s, refused="unsent")

    async def stop(self, worker, ref, token, timeout_s):
        body = {"task": encode_task(ref), "run": ref.run, "fencingToken": token}
        return await self.call(Reply, "/run-stop", worker, body, timeout_s)

    async def renew_lease(self, worker, until_ms, token, last_end, wait_ms, fresh, timeout_s):
        # lastSeen acknowledges ends: the worker drops those up to this number from its list.
        # waitMs: how long the worker may hold the request open until a run ends.
        body = {"fencingToken": token, "lastSeen": last_end, "waitMs": wait_ms}
        if until_ms is not None:
            body["untilMs"] = until_ms
        return await self.call(LeaseReply, "/hold", worker, body, timeout_s, fresh)

    async def call(
        self, reply_type, path, worker, body, timeout_s, fresh=False, refused="unanswered"
    ):
        """Call the worker once; return a `reply_type`.

        A timeout or a connection error gives a reply whose answer is ``unanswered``, a refused
        connection one whose answer is `refused`.
        """
        # X-Expect-Instance: a worker with another identifier responds with 421.
        headers = {"X-Expect-Instance": worker.id}
        try:
            async with asyncio.timeout(timeout_s):
                status, response_body = await self.pool.post(
                    path, json.dumps(body).encode(), headers, fresh
                )
        except ConnectionRefusedError:
            return reply_type(refused, connection_lost=True, connection_refused=True)
        except (TimeoutError, OSError) as error:
            log.debug("worker call failed", extra={"call": path, "reason": repr(error)})
            return reply_type("unanswered", connection_lost=not isinstance(error, TimeoutError))
        return decode_reply(reply_type, status, response_body)


def decode_reply(reply_type, status, response_body):
    """Return the `Reply` or `LeaseReply` in a response.

    A response that cannot be decoded, or has an unexpected status, becomes ``unanswered``.
    """
    if status in (429, 503):
        return reply_type("unhealthy")
    if status == 421:
        return reply_type("other-lifetime")
    if status == 400:
        return reply_type("invalid")
    try:
        data = read_object(decode_json(response_body), "answer")
        clock_ms = read_integer(data, "clockMs")
        # born: start of the worker's lifetime in milliseconds, by the worker's clock.
        started_ms = read_integer(data, "born", 0)
        if status == 409:
            answer = REJECTION_REASONS.get(data.get("reason"), "unhealthy")
            return reply_type(answer, clock_ms, started_ms)
        if status != 200:
            return reply_type("unanswered", clock_ms, started_ms)
        reply = reply_type("ok", clock_ms, started_ms)
        return decode_run_lists(data, reply) if reply_type is LeaseReply else reply
    except (FieldError, TypeError) as error:
        log.warning(
            "worker response cannot be decoded", extra={"status": status, "reason": str(error)}
        )
        return reply_type("unanswered")


@asynccontextmanager
async def open_worker_client(address):
    """Yield a client for the worker at an address."""
    async with open_pool(address, MAX_CONNECTIONS) as pool:
        yield HttpWorkerClient(pool)
