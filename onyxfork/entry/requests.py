"""Checks of callers' bodies, and identity of a submission's content."""

import hashlib
import json

from attrs import define
from result import Err, Ok

from onyxfork.entities.outcomes import Code, Refusal
from onyxfork.utils.ids import id_time_ms

__all__ = ["CallerRequest", "read_request", "KEY_WINDOW_MS"]

KEY_WINDOW_MS = 300_000
KEY_SKEW_MS = 2_000
MAX_TASKS = 120
MAX_DEADLINE_MS = 120_000
MAX_NAME = 64
RESOURCES = ("processors", "memory_mb", "accelerators")


@define
class CallerRequest:
    """A submission as its caller gave it.

    Parameters
    ----------
    deadline_ms : float or None
        Time left on arrival; None takes the job's.
    wait : bool
        Whether the caller waits for the whole answer.
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


class Invalid(Exception):
    """A field of a body that is wrong."""

    def __init__(self, field, reason, code=Code.BAD_REQUEST):
        super().__init__(reason)
        self.field = field
        self.refusal = Refusal(code, f"{field}: {reason}")


def read_request(body, wall_ms):
    """Check a caller's body.

    Parameters
    ----------
    body : dict
    wall_ms : int
        Time of arrival.

    Returns
    -------
    Result
        ``Ok(CallerRequest)`` or ``Err((field, Refusal))``.
    """
    try:
        check_known(body)
        submission = read_id(body, wall_ms)
        tasks = read_tasks(body)
        request = CallerRequest(
            submission=submission,
            organisation=read_name(body, "organisation"),
            team=read_name(body, "team", ""),
            service=read_name(body, "service"),
            job=read_name(body, "job"),
            inputs=[task.get("input") for task in tasks],
            run_ms=[read_run_ms(task, at) for at, task in enumerate(tasks)],
            resources=read_resources(body),
            deadline_ms=read_deadline(body),
            wait=read_bool(body, "wait", True),
            digest=digest_of(body),
        )
    except Invalid as error:
        return Err((error.field, error.refusal))
    return Ok(request)


FIELDS = {
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


def check_known(body):
    """Refuse fields that do not exist."""
    for name in body:
        if name not in FIELDS:
            raise Invalid(name, f"unknown field; expected one of {', '.join(sorted(FIELDS))}")


def read_id(body, wall_ms):
    """Return the submission's identifier, which must be recent."""
    text = body.get("submission")
    issued = id_time_ms(text) if isinstance(text, str) else None
    if issued is None:
        raise Invalid("submission", f"expected a version 7 UUID, got {text!r}")
    if issued > wall_ms + KEY_SKEW_MS:
        ahead = issued - wall_ms
        raise Invalid("submission", f"the identifier is {ahead} ms in the future", Code.EXPIRED_KEY)
    if issued < wall_ms - KEY_WINDOW_MS:
        reason = f"the identifier is older than {KEY_WINDOW_MS // 1000} s"
        raise Invalid("submission", reason, Code.EXPIRED_KEY)
    return text


def read_name(body, name, default=None):
    """Return a name."""
    value = body.get(name, default)
    if value == default and default is not None:
        return value
    if not isinstance(value, str) or not 0 < len(value) <= MAX_NAME or "/" in value:
        raise Invalid(name, f"expected 1 to {MAX_NAME} characters without slash, got {value!r:.80}")
    return value


def read_tasks(body):
    """Return the list of tasks."""
    tasks = body.get("tasks")
    if not isinstance(tasks, list) or not tasks:
        raise Invalid("tasks", "expected a list of 1 to 120 tasks")
    if len(tasks) > MAX_TASKS:
        reason = f"expected 1 to {MAX_TASKS} tasks, got {len(tasks)}"
        raise Invalid("tasks", reason, Code.TOO_LARGE)
    for at, task in enumerate(tasks):
        if not isinstance(task, dict):
            raise Invalid(f"tasks[{at}]", f"expected an object, got {type(task).__name__}")
        for name in task:
            if name not in ("input", "run_ms"):
                raise Invalid(f"tasks[{at}].{name}", "unknown field; expected input or run_ms")
    return tasks


def read_number(value, path, least, most):
    """Return a number within bounds."""
    if type(value) not in (int, float) or not least <= value <= most:
        raise Invalid(path, f"expected a number from {least:g} to {most:g}, got {value!r:.80}")
    return float(value)


def read_run_ms(task, at):
    """Return the declared run time of a task, 0 when there is none."""
    return read_number(task.get("run_ms", 0), f"tasks[{at}].run_ms", 0, 3_600_000)


def read_resources(body):
    """Return what one task takes of its worker."""
    resources = body.get("resources", {})
    if not isinstance(resources, dict):
        raise Invalid("resources", f"expected an object, got {type(resources).__name__}")
    for name in resources:
        if name not in RESOURCES:
            raise Invalid(f"resources.{name}", f"expected one of {', '.join(RESOURCES)}")
    return {
        name: read_number(value, f"resources.{name}", 0, 1e9) for name, value in resources.items()
    }


def read_deadline(body):
    """Return the deadline in milliseconds from now, or None."""
    if "deadline_ms" not in body:
        return None
    return read_number(body["deadline_ms"], "deadline_ms", 1, MAX_DEADLINE_MS)


def read_bool(body, name, default):
    """Return a boolean."""
    value = body.get(name, default)
    if type(value) is not bool:
        raise Invalid(name, f"expected true or false, got {value!r:.80}")
    return value


def digest_of(body):
    """Return a digest of what decides a submission's meaning."""
    content = {name: value for name, value in body.items() if name not in ("wait", "deadline_ms")}
    text = json.dumps(content, sort_keys=True, separators=(",", ":"))
    return hashlib.blake2b(text.encode(), digest_size=12).hexdigest()
