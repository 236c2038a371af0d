"""Validation of callers' request bodies, and the digest of a submission's content."""

import hashlib
import json

from attrs import define
from result import Err, Ok

from onyxfork.entities.outcomes import Code, Refusal
from onyxfork.utils.ids import id_time_ms

__all__ = ["CallerRequest", "read_request", "KEY_WINDOW_MS"]

KEY_WINDOW_MS = 300_000
"""Identifiers issued longer ago are rejected, so that answers and claims, which prevent a second
run of a submission, have to be kept for a bounded time only."""

KEY_SKEW_MS = 2_000
"""How far a caller's clock may be ahead of the clock of this process."""

MAX_TASKS = 120
MAX_DEADLINE_MS = 120_000
MAX_NAME_CHARS = 64
RESOURCE_NAMES = ("processors", "memory_mb", "accelerators")


@define
class CallerRequest:
    """A validated request of a caller.

    Parameters
    ----------
    inputs : list
        JSON value for each task.
    run_ms : list of float
        Declared run time of each task; 0 where none was declared.
    resources : dict
        Resources that one task takes, by name.
    deadline_ms : float or None
        Time left on arrival; None for the default of the job.
    wait : bool
        Whether the response is held back until the final answer.
    digest : str
        See :func:`content_digest`.
    """

    submission: str
    organisation: str
    team: str
    service: str
    job: str
    inputs: list
    run_ms: list
    resources: dict
    deadline_ms: float | None
    wait: bool
    digest: str


class InvalidFieldError(Exception):
    """A field of a body is invalid."""

    def __init__(self, field, reason, code=Code.BAD_REQUEST):
        super().__init__(reason)
        self.field = field
        self.refusal = Refusal(code, f"{field}: {reason}")


def read_request(body, wall_ms):
    """Validate a caller's body.

    Parameters
    ----------
    body : dict
        The JSON object that was received.
    wall_ms : float
        Wall-clock time of arrival.

    Returns
    -------
    Result
        ``Ok(CallerRequest)`` or ``Err((field, Refusal))``.
    """
    try:
        check_field_names(body)
        submission = read_id(body, wall_ms)
        tasks = read_tasks(body)
        request = CallerRequest(
            submission=submission,
            organisation=read_name(body, "organisation"),
            team=read_name(body, "team", ""),
            service=read_name(body, "service"),
            job=read_name(body, "job"),
            inputs=[task.get("input") for task in tasks],
            run_ms=[read_run_ms(task, index) for index, task in enumerate(tasks)],
            resources=read_resources(body),
            deadline_ms=read_deadline(body),
            wait=read_bool(body, "wait", True),
            digest=content_digest(body),
        )
    except InvalidFieldError as error:
        return Err((error.field, error.refusal))
    return Ok(request)


BODY_FIELDS = {
    "submission",
    "organisation",
    "team",
    "service",
    "job",
    "tasks",
    "resources",
    "deadline_ms",
    "wait",
}


def check_field_names(body):
    """Reject unknown fields."""
    for name in body:
        if name not in BODY_FIELDS:
            raise InvalidFieldError(
                name, f"unknown field; expected one of {', '.join(sorted(BODY_FIELDS))}"
            )


def read_id(body, wall_ms):
    """Return the submission's identifier, checked to be issued within the accepted window."""
    text = body.get("submission")
    issued_ms = id_time_ms(text) if isinstance(text, str) else None
    if issued_ms is None:
        raise InvalidFieldError("submission", f"expected a version 7 UUID, got {text!r}")
    if issued_ms > wall_ms + KEY_SKEW_MS:
        ahead_ms = issued_ms - wall_ms
        raise InvalidFieldError(
            "submission", f"the identifier is {ahead_ms} ms in the future", Code.EXPIRED_KEY
        )
    if issued_ms < wall_ms - KEY_WINDOW_MS:
        reason = f"the identifier is older than {KEY_WINDOW_MS // 1000} s"
        raise InvalidFieldError("submission", reason, Code.EXPIRED_KEY)
    return text


def read_name(body, name, default=None):
    """Return the name in a field; a field without a default is required."""
    value = body.get(name, default)
    if value == default and default is not None:
        return value
    if not isinstance(value, str) or not 0 < len(value) <= MAX_NAME_CHARS or "/" in value:
        raise InvalidFieldError(
            name, f"expected 1 to {MAX_NAME_CHARS} characters without slash, got {value!r:.80}"
        )
    return value


def read_tasks(body):
    """Return the list of tasks, checked except for their run times."""
    tasks = body.get("tasks")
    if not isinstance(tasks, list) or not tasks:
        raise InvalidFieldError("tasks", "expected a list of 1 to 120 tasks")
    if len(tasks) > MAX_TASKS:
        reason = f"expected 1 to {MAX_TASKS} tasks, got {len(tasks)}"
        raise InvalidFieldError("tasks", reason, Code.TOO_LARGE)
    for index, task in enumerate(tasks):
        if not isinstance(task, dict):
            raise InvalidFieldError(
                f"tasks[{index}]", f"expected an object, got {type(task).__name__}"
            )
        for name in task:
            if name not in ("input", "run_ms"):
                raise InvalidFieldError(
                    f"tasks[{index}].{name}", "unknown field; expected input or run_ms"
                )
    return tasks


def read_number(value, path, minimum, maximum):
    """Return a value that must be a number from `minimum` to `maximum`."""
    if type(value) not in (int, float) or not minimum <= value <= maximum:
        raise InvalidFieldError(
            path, f"expected a number from {minimum:g} to {maximum:g}, got {value!r:.80}"
        )
    return float(value)


def read_run_ms(task, index):
    """Return the declared run time of a task in milliseconds, 0 when there is none."""
    return read_number(task.get("run_ms", 0), f"tasks[{index}].run_ms", 0, 3_600_000)


def read_resources(body):
    """Return the resources that one task takes from its worker, by name."""
    resources = body.get("resources", {})
    if not isinstance(resources, dict):
        raise InvalidFieldError("resources", f"expected an object, got {type(resources).__name__}")
    for name in resources:
        if name not in RESOURCE_NAMES:
            raise InvalidFieldError(
                f"resources.{name}", f"expected one of {', '.join(RESOURCE_NAMES)}"
            )
    return {
        name: read_number(value, f"resources.{name}", 0, 1e9) for name, value in resources.items()
    }


def read_deadline(body):
    """Return the deadline in milliseconds from now, or None."""
    if "deadline_ms" not in body:
        return None
    return read_number(body["deadline_ms"], "deadline_ms", 1, MAX_DEADLINE_MS)


def read_bool(body, name, default):
    """Return the boolean in a field."""
    value = body.get(name, default)
    if type(value) is not bool:
        raise InvalidFieldError(name, f"expected true or false, got {value!r:.80}")
    return value


def content_digest(body):
    """Return a digest of all fields but ``wait`` and ``deadline_ms``.

    A resubmission may change these two; any other difference under the same identifier is a
    conflict.
    """
    content = {name: value for name, value in body.items() if name not in ("wait", "deadline_ms")}
    text = json.dumps(content, sort_keys=True, separators=(",", ":"))
    return hashlib.blake2b(text.encode(), digest_size=12).hexdigest()
