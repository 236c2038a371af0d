"""Callers' jobs: what their requests hold."""

import json
import re

from result import Err, Ok

from onyxfork.direct.requests import JobRequest, Step
from onyxfork.platform.fields import (
    FieldError,
    read_boolean,
    read_integer,
    read_list,
    read_number,
    read_object,
    read_string,
)

__all__ = ["decode_job", "is_job_id", "UNSUPPORTED"]

JOB_ID = re.compile(r"[0-9a-fA-F]{16}")
MAX_SPEC_BYTES = 4000
DEFAULT_CALLER_TIMEOUT_MS = 10000.0

UNSUPPORTED = "unsupported"
"""Prefix of the reason for a sound job of a kind that is not built; such a job has not run."""

UNSUPPORTED_STEP_FIELDS = ("gang", "longRunning", "speculative", "fills", "checkpointing", "image")


def is_job_id(value):
    """Return whether a path's last part names a job."""
    return JOB_ID.fullmatch(value) is not None


def decode_step(data, position):
    """Return the `Step` in an entry of a job's steps."""
    data = read_object(data, f"step {position}")
    for kind in UNSUPPORTED_STEP_FIELDS:
        if read_boolean(data, kind, False) if kind != "image" else read_string(data, kind, ""):
            raise FieldError(f"{UNSUPPORTED}: {kind}")
    after = read_list(data, "dependsOn", [])
    if not all(isinstance(earlier, int) and 0 <= earlier < position for earlier in after):
        raise FieldError(f"step {position}: dependsOn: expected numbers of earlier steps")
    return Step(
        count=read_integer(data, "count", 0),
        cpu=read_integer(data, "cpu", 0),
        memory_mb=read_integer(data, "memMb", 0),
        gpu=read_integer(data, "gpu", 0),
        expected_ms=read_number(data, "estimatedMs", 0),
        depends_on=after,
        # A label that the worker must have.
        label=read_string(data, "constraints", ""),
        # The rack where the data is.
        rack=read_string(data, "affinity", ""),
        # The most tasks of this step on one worker.
        max_per_worker=read_integer(data, "antiAffinity", 0),
    )


def decode_job(job_id, queue, body, timeout_header):
    """Return the job in a request.

    Parameters
    ----------
    job : str
        Identifier from the path.
    queue : Queue
    body : bytes
    patience : str or None
        The header that says how long the caller waits, in milliseconds.

    Returns
    -------
    Result
        ``Ok(JobRequest)`` or ``Err(reason)``; the reason begins with `UNSUPPORTED` for a sound job
        of a kind that is not built.
    """
    try:
        data = read_object(json.loads(body), "job")
        if not read_boolean(data, "bestEffort", False):
            return Err(f"{UNSUPPORTED}: jobs that are stored")
        if read_integer(data, "repeatCount", 0):
            return Err(f"{UNSUPPORTED}: repeated jobs")
        spec = read_string(data, "spec", "")
        steps = [decode_step(item, at) for at, item in enumerate(read_list(data, "steps"))]
        if len(spec.encode()) > MAX_SPEC_BYTES:
            raise FieldError(f"spec: longer than {MAX_SPEC_BYTES} bytes")
        if not steps or not all(step.count for step in steps):
            raise FieldError("steps: expected at least one task in each step")
        patience_ms = float(timeout_header) if timeout_header else DEFAULT_CALLER_TIMEOUT_MS
    except (ValueError, RecursionError) as error:
        return Err(f"not readable: {error}")
    except FieldError as error:
        return Err(str(error))
    return Ok(JobRequest(job_id, queue, spec, steps, patience_ms))
