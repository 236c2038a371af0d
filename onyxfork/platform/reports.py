"""Status reports that the worker sends to its agent."""

import json
import logging

from onyxfork.direct.runs import Worker
from onyxfork.platform.fields import FieldError, items, read_object, text, whole
from onyxfork.platform.http import json_answer

__all__ = ["Reports", "decode_report"]

log = logging.getLogger(__name__)

PREFIX = "/instances/"
STATES = ("ready", "draining")


def decode_report(worker_id, body):
    """Return the `Worker` in a report.

    Raises
    ------
    FieldError
        When it comes from another writer and names no worker.
    """
    try:
        data = read_object(json.loads(body), "report")
    except (ValueError, RecursionError) as error:
        raise FieldError(f"not JSON: {error}") from None
    state = text(data, "state")
    if state not in STATES:
        raise FieldError(f"state: expected one of {', '.join(STATES)}, got {state!r}")
    capacity = read_object(data.get("capacity"), "capacity")
    labels = items(data, "labels", [])
    if not all(isinstance(label, str) for label in labels):
        raise FieldError("labels: expected texts")
    return Worker(
        id=worker_id,
        started_ms=whole(data, "born", 0),
        service=text(data, "service"),
        state=state,
        cpu=whole(capacity, "cpu", 0),
        memory_mb=whole(capacity, "memMb", 0),
        gpu=whole(capacity, "gpu", 0),
        labels=labels,
        sequence=whole(data, "seq", 0),
    )


class Reports:
    """The address that the worker of this machine reports to.

    Parameters
    ----------
    agent : DirectAgent
    service : str
        The service whose worker belongs to this machine.
    """

    def __init__(self, agent, service):
        self.agent = agent
        self.service = service

    async def handle(self, request):
        """Answer a report."""
        if not request.path.startswith(PREFIX):
            return json_answer(404, {"error": "no such resource"})
        worker_id = request.path[len(PREFIX) :]
        if request.method == "DELETE":
            self.agent.on_worker_left(worker_id)
            return json_answer(200, {})
        if request.method != "PUT":
            return json_answer(405, {"error": "expected PUT or DELETE"})
        try:
            worker = decode_report(worker_id, await request.read())
        except FieldError as error:
            log.warning("report not readable", extra={"worker": worker_id, "reason": str(error)})
            return json_answer(400, {"error": str(error)})
        if self.service and worker.service != self.service:
            return json_answer(400, {"error": f"service: expected {self.service!r}"})
        self.agent.on_worker_report(worker)
        return json_answer(200, {})
