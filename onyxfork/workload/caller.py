"""Callers: submit jobs over HTTP, keep what was answered, and check it."""

import time
from typing import Any

import aiohttp
from attrs import define, field

from onyxfork.upstreams.standin import expected_output
from onyxfork.utils.ids import new_id

__all__ = ["JobSpec", "CallerRecord", "submit_job", "make_body", "is_whole"]

CALLER_SLACK_S = 5.0


@define
class JobSpec:
    """A job that a caller is about to submit.

    Parameters
    ----------
    at_s : float
        Time of arrival since the begin of the load.
    run_ms : list of float
        True run time of each task.
    declared_ms : list of float
        What the caller declares.
    """

    at_s: float
    organisation: str
    service: str
    team: str
    job: str
    run_ms: list
    declared_ms: list
    deadline_ms: float = 10_000.0
    submission: str = ""
    fail: bool = False
    cancel_after_s: float | None = None


@define
class CallerRecord:
    """What a caller saw of one submission; `status` is None when no answer came."""

    spec: JobSpec
    submission: str
    sent_at: float
    answered_at: float | None = None
    status: int | None = None
    body: dict[str, Any] = field(factory=dict)
    attempts: int = 1

    @property
    def response_ms(self):
        """Response time on the caller's clock."""
        return (self.answered_at - self.sent_at) * 1000

    @property
    def state(self):
        """The state answered, or ``lost``."""
        return self.body.get("state", "lost")


def make_body(spec, submission):
    """Return the HTTP body of a job for stand-in upstreams."""
    tasks = [
        {
            "input": {"run_ms": run_ms, "value": index, **({"fail": True} if spec.fail else {})},
            "run_ms": declared,
        }
        for index, (run_ms, declared) in enumerate(zip(spec.run_ms, spec.declared_ms, strict=True))
    ]
    return {
        "submission": submission,
        "organisation": spec.organisation,
        "team": spec.team,
        "service": spec.service,
        "job": spec.job,
        "tasks": tasks,
        "deadline_ms": spec.deadline_ms,
    }


async def submit_job(session, urls, spec, resubmit=False):
    """Submit a job and wait for its answer.

    Parameters
    ----------
    session : aiohttp.ClientSession
    urls : list of str
        Entries in the order in which the balancer would try them.
    spec : JobSpec
    resubmit : bool
        Whether a lost answer is asked for again, under the same key, at the next entry.

    Returns
    -------
    CallerRecord
    """
    submission = spec.submission or new_id(int(time.time() * 1000))
    body = make_body(spec, submission)
    record = CallerRecord(spec, submission, time.monotonic())
    timeout = aiohttp.ClientTimeout(total=spec.deadline_ms / 1000 + CALLER_SLACK_S)
    for attempt, url in enumerate(urls):
        record.attempts = attempt + 1
        try:
            async with session.post(f"{url}/v1/jobs", json=body, timeout=timeout) as response:
                record.body = await response.json()
                record.status = response.status
                record.answered_at = time.monotonic()
                return record
        except aiohttp.ClientConnectorError:
            continue
        except (TimeoutError, aiohttp.ClientError):
            if not resubmit:
                return record
    return record


def is_whole(record):
    """Return whether a complete answer holds exactly what the upstreams compute."""
    outputs = record.body.get("outputs")
    expected = [
        expected_output(record.submission, index, index) for index in range(len(record.spec.run_ms))
    ]
    return outputs == expected
