"""Status reports that the worker sends to its agent.

The platform calls a worker an "instance" and a report a "heartbeat".
"""

import logging
import re

from onyxfork.addresses import Address
from onyxfork.direct.runs import Worker
from onyxfork.platform.fields import (
    FieldError,
    decode_json,
    read_integer,
    read_number,
    read_object,
    read_string,
    read_texts,
    shorten,
)
from onyxfork.platform.http import json_response

__all__ = ["ReportHandler", "decode_report"]

log = logging.getLogger(__name__)

REPORT_PATH_PREFIX = "/instances/"
WORKER_STATES = ("ready", "draining")

PORT = re.compile(r"[0-9]{1,5}")

MAX_CPU = 10**7
MAX_MEMORY_MB = 2**30
MAX_GPUS = 10**4
"""Upper bounds on a worker's capacity, beyond that of any machine: 10,000 cores (in thousandths),
a pebibyte (in MiB) and 10,000 GPUs."""

MAX_DELAY_MS = 24 * 3600 * 1000
"""Upper bound on how long a worker remains cold or drains."""

MAX_ID_LENGTH = 128
MAX_LABELS = 64
MAX_LABEL_LENGTH = 128
"""Upper bounds on a worker's identifier and labels."""


def decode_report(worker_id, body):
    """Return the `Worker` that a report describes.

    All fields are checked, also those that are not used: a report with an odd one may be of another
    writer.

    Raises
    ------
    FieldError
        If the report is not JSON, or if a field is missing or invalid.
    """
    if not 0 < len(worker_id) <= MAX_ID_LENGTH:
        raise FieldError(f"identifier: expected 1 to {MAX_ID_LENGTH} characters")
    data = read_object(decode_json(body), "report")
    state = read_string(data, "state")
    if state not in WORKER_STATES:
        raise FieldError(f"state: expected {' or '.join(WORKER_STATES)}, got {shorten(state)}")
    check_address(read_string(data, "address"))
    for key in ("zone", "version"):
        read_string(data, key, "")
    for key in ("slots", "clockMs"):
        read_integer(data, key, 0)
    read_number(data, "drainRemainingMs", 0, MAX_DELAY_MS)
    capacity = read_object(data.get("capacity"), "capacity")
    return Worker(
        id=worker_id,
        # born: start of the worker's lifetime in milliseconds, by the worker's clock.
        started_ms=read_integer(data, "born", 0),
        service=read_string(data, "service"),
        state=state,
        cpu=read_integer(capacity, "cpu", maximum=MAX_CPU),
        memory_mb=read_integer(capacity, "memMb", maximum=MAX_MEMORY_MB),
        gpu=read_integer(capacity, "gpu", 0, MAX_GPUS),
        labels=read_texts(data, "labels", MAX_LABELS, MAX_LABEL_LENGTH),
        sequence=read_integer(data, "seq", 0),
        cold_left_ms=read_number(data, "coldLeftMs", 0, MAX_DELAY_MS),
    )


def check_address(text):
    """Raise `FieldError` unless a text is an IP address and a port that a worker can listen at."""
    port = text.rpartition(":")[2]
    try:
        if PORT.fullmatch(port) and Address.from_text(text).port:
            return
    except ValueError:
        pass
    raise FieldError(f"address: expected an IP address and a port, got {shorten(text)}")


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
            if self.service and worker.service != self.service:
                raise FieldError(f"service: expected {self.service}, got {shorten(worker.service)}")
        except FieldError as error:
            return refuse_report(worker_id, str(error))
        refusal = self.agent.on_worker_report(worker)
        return json_response(200, {}) if refusal is None else refuse_report(worker_id, refusal)


def refuse_report(worker_id, reason):
    """Log why a report is refused, and return the response."""
    log.warning("report cannot be decoded", extra={"worker": shorten(worker_id), "reason": reason})
    return json_response(400, {"error": reason})
