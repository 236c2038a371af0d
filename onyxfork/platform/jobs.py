"""Decoding of callers' jobs."""

import math
import re

from result import Err, Ok

from onyxfork.direct.requests import JobRequest, Step
from onyxfork.platform.fields import (
    MAX_NUMBER,
    FieldError,
    decode_json,
    read_boolean,
    read_integer,
    read_list,
    read_number,
    read_object,
    read_string,
    shorten,
)

__all__ = ["decode_job", "is_job_id", "UNSUPPORTED"]

JOB_ID = re.compile(r"[0-9a-fA-F]{16}")
MAX_SPEC_BYTES = 4000
MAX_TASKS = 10_000
"""Upper bound on the tasks of a job, which an entry keeps in memory."""
DEFAULT_CALLER_TIMEOUT_MS = 10000.0
"""Caller's timeout if the request has no ``X-Deadline`` header."""

UNSUPPORTED = "unsupported"
"""Prefix of the reason for rejecting a valid job that uses a feature which is not implemented. No
task of such a job has run, so the caller gets 503 instead of 400."""

UNSUPPORTED_STEP_FIELDS = ("gang", "longRunning", "speculative", "fills", "checkpointing", "image")
"""Fields of a step that ask for features which are not implemented."""


def is_job_id(segment):
    """Return whether the last part of a path is a job identifier: 16 hexadecimal digits."""
    return JOB_ID.fullmatch(segment) is not None


def decode_step(data, position):
    """Return the `Step` in one element of a job's ``steps``; `position` is its index, from 0."""
    data = read_object(data, f"step {position}")
    for key in UNSUPPORTED_STEP_FIELDS:
        if read_boolean(data, key, False) if key != "image" else read_string(data, key, ""):
            raise FieldError(f"{UNSUPPORTED}: {key}")
    depends_on = read_list(data, "dependsOn", [])
    if not all(isinstance(earlier, int) and 0 <= earlier < position for earlier in depends_on):
        raise FieldError(f"step {position}: dependsOn: expected positions of earlier steps")
    return Step(
        count=read_integer(data, "count", 0),
        cpu=read_integer(data, "cpu", 0),
        memory_mb=read_integer(data, "memMb", 0),
        gpu=read_integer(data, "gpu", 0),
        expected_ms=read_number(data, "estimatedMs", 0),
        depends_on=depends_on,
        # constraints: a label that the worker must have.
        label=read_string(data, "constraints", ""),
        # affinity: the rack that holds the input data.
        rack=read_string(data, "affinity", ""),
        # antiAffinity: upper bound on the tasks of this step on one worker.
        max_per_worker=read_integer(data, "antiAffinity", 0),
    )


def decode_timeout(header):
    """Return the milliseconds that a caller waits, from the value of the header or by default."""
    try:
        timeout_ms = float(header) if header else DEFAULT_CALLER_TIMEOUT_MS
    except ValueError:
        timeout_ms = math.nan
    if not 0 <= timeout_ms <= MAX_NUMBER:
        raise FieldError(f"caller's timeout cannot be decoded: {shorten(header)}")
    return timeout_ms


def decode_job(job_id, queue, body, timeout_header):
    """Return the job in a request.

    Parameters
    ----------
    job_id : str
        From the path.
    queue : Queue
    body : bytes
    timeout_header : str or None
        Value of the ``X-Deadline`` header: how long the caller waits, in milliseconds.

    Returns
    -------
    Result
        ``Ok(JobRequest)`` or ``Err(reason)``; the reason begins with `UNSUPPORTED` if the job
        is valid but uses a feature which is not implemented.
    """
    try:
        data = read_object(decode_json(body), "job")
        # bestEffort: the caller waits for the outcome and the job is not stored.
        if not read_boolean(data, "bestEffort", False):
            return Err(f"{UNSUPPORTED}: jobs that are stored")
        if read_integer(data, "repeatCount", 0):
            return Err(f"{UNSUPPORTED}: repeated jobs")
        spec = read_string(data, "spec", "")
        steps = [
            decode_step(step_data, position)
            for position, step_data in enumerate(read_list(data, "steps"))
        ]
        if len(spec.encode()) > MAX_SPEC_BYTES:
            raise FieldError(f"spec: longer than {MAX_SPEC_BYTES} bytes")
        if not steps or not all(step.count for step in steps):
            raise FieldError("steps: expected at least one task in each step")
        if sum(step.count for step in steps) > MAX_TASKS:
            raise FieldError(f"steps: expected at most {MAX_TASKS} tasks in all")
        caller_timeout_ms = decode_timeout(timeout_header)
    except FieldError as error:
        return Err(str(error))
    return Ok(JobRequest(job_id, queue, spec, steps, caller_timeout_ms))
