"""Status reports that the worker sends to its agent.

The platform calls a worker an "instance" and a report a "heartbeat".
"""

import json
import logging

from onyxfork.direct.runs import Worker
from onyxfork.platform.fields import (
    FieldError,
    read_integer,
    read_list,
    read_number,
    read_object,
    read_string,
)
from onyxfork.platform.http import json_response

__all__ = ["ReportHandler", "decode_report"]

log = logging.getLogger(__name__)

REPORT_PATH_PREFIX = "/instances/"
WORKER_STATES = ("ready", "draining")


def decode_report(worker_id, body):
    """Return the `Worker` that a report describes.

    Raises
    ------
    FieldError
        If the report is not JSON, or if a field is missing or invalid.
    """
    try:
        data = read_object(json.loads(body), "report")
    except (ValueError, RecursionError) as error:
        raise FieldError(f"not JSON: {error}") from None
    state = read_string(data, "state")
    if state not in WORKER_STATES:
        raise FieldError(f"state: expected one of {', '.join(WORKER_STATES)}, got {state!r}")
    capacity = read_object(data.get("capacity"), "capacity")
    labels = read_list(data, "labels", [])
    if not all(isinstance(label, str) for label in labels):
        raise FieldError("labels: expected a list of strings")
    return Worker(
        id=worker_id,
        # born: start of the worker's lifetime in milliseconds, by the worker's clock.
        started_ms=read_integer(data, "born", 0),
        service=read_string(data, "service"),
        state=state,
        cpu=read_integer(capacity, "cpu", 0),
        memory_mb=read_integer(capacity, "memMb", 0),
        gpu=read_integer(capacity, "gpu", 0),
        labels=labels,
        sequence=read_integer(data, "seq", 0),
        cold_left_ms=read_number(data, "coldLeftMs", 0),
    )


class ReportHandler:
    """Handles the reports of the worker beside an agent.

    Parameters
    ----------
    agent : DirectAgent
    service : str
        The service that the worker on this machine belongs to; empty accepts any.
    """

    def __init__(self, agent, service):
        self.agent = agent
        self.service = service

    async def handle(self, request):
        """Respond to a report (PUT), or to the notice that the worker has left (DELETE)."""
        if not request.path.startswith(REPORT_PATH_PREFIX):
            return json_response(404, {"error": "no such resource"})
        worker_id = request.path[len(REPORT_PATH_PREFIX) :]
        if request.method == "DELETE":
            self.agent.on_worker_left(worker_id)
            return json_response(200, {})
        if request.method != "PUT":
            return json_response(405, {"error": "expected PUT or DELETE"})
        try:
            worker = decode_report(worker_id, request.body)
        except FieldError as error:
            log.warning(
                "report cannot be decoded", extra={"worker": worker_id, "reason": str(error)}
            )
            return json_response(400, {"error": str(error)})
        if self.service and worker.service != self.service:
            return json_response(400, {"error": f"service: expected {self.service!r}"})
        self.agent.on_worker_report(worker)
        return json_response(200, {})
