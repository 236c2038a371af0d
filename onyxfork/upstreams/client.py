"""The client through which an agent runs tasks at its upstream over HTTP.

A task is sent once. Only a failure to connect proves that the upstream did not receive it; after
any other failure to get an answer the task may have run.
"""

import json
from abc import ABC, abstractmethod
from typing import Any

import aiohttp
from attrs import define

from onyxfork.entities.outcomes import Outcome

__all__ = ["UpstreamClient", "HttpUpstreamClient", "TaskOutcome", "Capacity"]

MAX_OUTPUT_BYTES = 4 * 1024 * 1024


@define(frozen=True)
class TaskOutcome:
    """The outcome of a task at the upstream, with its output or the reason of a failure."""

    outcome: Outcome
    output: Any = None
    reason: str | None = None
    output_bytes: int = 0


@define(frozen=True)
class Capacity:
    """The capacity of an upstream, as it announces it."""

    slots: int
    processors: float = 0.0
    memory_mb: float = 0.0
    accelerators: float = 0.0


class UpstreamClient(ABC):
    """Interface to one upstream."""

    @abstractmethod
    async def run(self, task):
        """Run a task.

        Parameters
        ----------
        task : AgentTask

        Returns
        -------
        TaskOutcome
        """

    @abstractmethod
    async def stop(self, submission, index):
        """Ask the upstream to stop a task; return whether it accepted the request."""

    @abstractmethod
    async def checkpoint(self, submission, index):
        """Ask the upstream to save a task's progress; return whether it accepted the request."""

    @abstractmethod
    async def throttle(self, submission, index, share):
        """Ask the upstream to limit a task to a share of its processors.

        Returns
        -------
        bool
            Whether the upstream accepted the request.
        """


class HttpUpstreamClient(UpstreamClient):
    """Client of an upstream over HTTP with JSON bodies.

    Parameters
    ----------
    session : aiohttp.ClientSession
    base_url : str
        ``http://ip:port``.
    """

    def __init__(self, session, base_url):
        self.session = session
        self.base_url = base_url

    async def run(self, task):
        start = task.start
        body = {
            "submission": start.submission,
            "index": start.index,
            "attempt": start.attempt,
            "job": start.job,
            "organisation": start.organisation,
            "run_ms": start.run_ms,
            "input": start.input,
        }
        try:
            async with self.session.post(f"{self.base_url}/v1/tasks", json=body) as response:
                return await read_outcome(response)
        except aiohttp.ClientConnectorError:
            return TaskOutcome(Outcome.NOT_RUN, reason="could not connect to the upstream")
        except (TimeoutError, aiohttp.ClientError, ValueError) as error:
            reason = f"no answer from the upstream: {type(error).__name__}"
            return TaskOutcome(Outcome.LOST, reason=f"{reason}; the task may have run")

    async def stop(self, submission, index):
        return await self.post_action(submission, index, "stop", {})

    async def checkpoint(self, submission, index):
        return await self.post_action(submission, index, "checkpoint", {})

    async def throttle(self, submission, index, share):
        return await self.post_action(submission, index, "throttle", {"share": share})

    async def post_action(self, submission, index, action, body):
        """Send one action on a running task; return whether the upstream accepted it."""
        url = f"{self.base_url}/v1/tasks/{submission}/{index}/{action}"
        try:
            async with self.session.post(url, json=body) as response:
                return response.status == 200
        except (TimeoutError, aiohttp.ClientError):
            return False


async def read_outcome(response):
    """Return the outcome of a task from the status and body of the upstream's HTTP response."""
    raw = await response.read()
    if len(raw) > MAX_OUTPUT_BYTES:
        reason = f"the output of {len(raw)} bytes exceeds {MAX_OUTPUT_BYTES}"
        return TaskOutcome(Outcome.FAILED, reason=reason)
    body = json.loads(raw)
    if not isinstance(body, dict):
        return TaskOutcome(Outcome.FAILED, reason="the upstream's answer is not a JSON object")
    if response.status == 200:
        return TaskOutcome(Outcome.DONE, body.get("output"), output_bytes=len(raw))
    if response.status == 410:
        return TaskOutcome(Outcome.STOPPED, reason=body.get("error", "stopped"))
    if response.status == 503 and body.get("not_run") is True:
        return TaskOutcome(Outcome.NOT_RUN, reason=body.get("error", "refused by the upstream"))
    return TaskOutcome(Outcome.FAILED, reason=str(body.get("error", response.status)))
