"""Callers' jobs: what their requests hold."""

import json
import re

from result import Err, Ok

from onyxfork.direct.requests import JobRequest, Step
from onyxfork.platform.fields import FieldError, flag, items, number, read_object, text, whole

__all__ = ["decode_job", "is_job_id", "UNSUPPORTED"]

JOB_ID = re.compile(r"[0-9a-fA-F]{16}")
MOST_SPEC_BYTES = 4000
DEFAULT_PATIENCE_MS = 10000.0

UNSUPPORTED = "unsupported"
"""Prefix of the reason for a sound job of a kind that is not built; such a job has not run."""

STORED_KINDS = ("gang", "longRunning", "speculative", "fills", "checkpointing", "image")


def is_job_id(value):
    """Return whether a path's last part names a job."""
    return JOB_ID.fullmatch(value) is not None


def decode_step(data, position):
    """Return the `Step` in an entry of a job's steps."""
    data = read_object(data, f"step {position}")
    for kind in STORED_KINDS:
        if flag(data, kind, False) if kind != "image" else text(data, kind, ""):
            raise FieldError(f"{UNSUPPORTED}: {kind}")
    after = items(data, "dependsOn", [])
    if not all(isinstance(earlier, int) and 0 <= earlier < position for earlier in after):
        raise FieldError(f"step {position}: dependsOn: expected numbers of earlier steps")
    return Step(
        count=whole(data, "count", 0),
        cpu=whole(data, "cpu", 0),
        memory_mb=whole(data, "memMb", 0),
        gpu=whole(data, "gpu", 0),
        expected_ms=number(data, "estimatedMs", 0),
        depends_on=after,
        # A label that the worker must have.
        label=text(data, "constraints", ""),
        # The rack where the data is.
        rack=text(data, "affinity", ""),
        # The most tasks of this step on one worker.
        max_per_worker=whole(data, "antiAffinity", 0),
    )


def decode_job(job, queue, body, patience):
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
        if not flag(data, "bestEffort", False):
            return Err(f"{UNSUPPORTED}: jobs that are stored")
        if whole(data, "repeatCount", 0):
            return Err(f"{UNSUPPORTED}: repeated jobs")
        spec = text(data, "spec", "")
        steps = [decode_step(item, at) for at, item in enumerate(items(data, "steps"))]
        if len(spec.encode()) > MOST_SPEC_BYTES:
            raise FieldError(f"spec: longer than {MOST_SPEC_BYTES} bytes")
        if not steps or not all(step.count for step in steps):
            raise FieldError("steps: expected at least one task in each step")
        patience_ms = float(patience) if patience else DEFAULT_PATIENCE_MS
    except (ValueError, RecursionError) as error:
        return Err(f"not readable: {error}")
    except FieldError as error:
        return Err(str(error))
    return Ok(JobRequest(job, queue, spec, steps, patience_ms))
