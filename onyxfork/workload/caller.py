"""Callers: submit jobs over HTTP, record the answers and check their outputs."""

import time
from typing import Any

import aiohttp
from attrs import define, field

from onyxfork.upstreams.standin import expected_output
from onyxfork.utils.ids import new_id

__all__ = ["JobSpec", "CallerRecord", "submit_job", "make_body", "is_correct"]

CALLER_TIMEOUT_MARGIN_S = 5.0
"""Time after a job's deadline for which a caller still waits for the answer."""


@define
class JobSpec:
    """A job to be submitted by a caller.

    Parameters
    ----------
    at_s : float
        Time of arrival in seconds after the start of the load.
    run_ms : list of float
        True run time of each task.
    declared_ms : list of float
        Run time of each task that the caller declares.
    submission : str
        Submission key; `submit_job` generates one if empty.
    fail : bool
        Whether the stand-in upstream is to fail every task.
    cancel_after_s : float or None
        Time from submission to cancellation; None if the job is not cancelled.
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
    """The result of one submission, as the caller received it.

    Parameters
    ----------
    sent_at, answered_at : float or None
        Monotonic seconds; `answered_at` is None if no answer was received.
    status : int or None
        HTTP status; None if no answer was received.
    attempts : int
        Number of entries that the job was sent to.
    """

    spec: JobSpec
    submission: str
    sent_at: float
    answered_at: float | None = None
    status: int | None = None
    body: dict[str, Any] = field(factory=dict)
    attempts: int = 1

    @property
    def response_ms(self):
        """Response time in milliseconds on the caller's clock."""
        return (self.answered_at - self.sent_at) * 1000

    @property
    def state(self):
        """The state of the job in the answer, or ``lost`` if there is none."""
        return self.body.get("state", "lost")


def make_body(spec, submission):
    """Return the body of the HTTP request for a job whose tasks run on stand-in upstreams."""
    tasks = [
        {
            "input": {"run_ms": run_ms, "value": index, **({"fail": True} if spec.fail else {})},
            "run_ms": declared_ms,
        }
        for index, (run_ms, declared_ms) in enumerate(
            zip(spec.run_ms, spec.declared_ms, strict=True)
        )
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
        Entries, in the order in which they are tried.
    spec : JobSpec
    resubmit : bool
        Whether to submit again at the next entry, under the same submission key, after a timeout or
        a connection that failed after it was established.

    Returns
    -------
    CallerRecord
    """
    submission = spec.submission or new_id(int(time.time() * 1000))
    body = make_body(spec, submission)
    record = CallerRecord(spec, submission, time.monotonic())
    timeout = aiohttp.ClientTimeout(total=spec.deadline_ms / 1000 + CALLER_TIMEOUT_MARGIN_S)
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


def is_correct(record):
    """Return whether an answer contains exactly the outputs that the upstreams compute."""
    outputs = record.body.get("outputs")
    expected = [
        expected_output(record.submission, index, index) for index in range(len(record.spec.run_ms))
    ]
    return outputs == expected
