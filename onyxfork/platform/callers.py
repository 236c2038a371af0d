"""HTTP handlers of an entry: callers' jobs and the load balancer's readiness checks."""

import logging
import math

from onyxfork.direct.configuration import QueueTable
from onyxfork.direct.requests import CANCELLED, COMPLETED, FAILED, REFUSED
from onyxfork.platform.configuration import decode_configuration
from onyxfork.platform.http import Response, json_response
from onyxfork.platform.http_reader import DEFAULT_LIMITS
from onyxfork.platform.jobs import UNSUPPORTED, decode_job, is_job_id

__all__ = ["CallerHandler"]

log = logging.getLogger(__name__)

NO_CONFIGURATION_RETRY_S = 1
"""``Retry-After`` in the response to a request that arrives before the first configuration."""

DEADLINE_HEADER = "X-Deadline"
"""Header with the caller's timeout in milliseconds, counted from when the request was sent. Despite
its name it holds a duration, not a point in time."""


class CallerHandler:
    """Handles requests of callers and of the load balancer at one entry.

    Parameters
    ----------
    entry : DirectEntry
    """

    def __init__(self, entry):
        self.entry = entry
        self.queue_table = None
        self.limits = DEFAULT_LIMITS
        entry.control.document_listeners.append(self.apply_document)

    def apply_document(self, document):
        """Decode a configuration document and use it for the requests that follow.

        A document that cannot be decoded is logged, and the previous configuration stays in use.
        """
        decoded = decode_configuration(document.body)
        if decoded.is_err():
            log.error(
                "configuration cannot be decoded",
                extra={"version": document.version, "reason": decoded.err_value},
            )
            return
        self.queue_table = QueueTable(decoded.ok_value.queues)
        self.limits = decoded.ok_value.limits

    def read_limits(self):
        """Return the limits on callers' requests."""
        return self.limits

    async def handle_ready(self, _):
        """Respond to a readiness check: 200 if the entry accepts new connections, 503 if not."""
        return Response(200 if self.entry.is_ready else 503)

    async def handle(self, request):
        """Respond to a caller's request.

        While the entry is stopping, also close the connection after the response.
        """
        response = await self.route_request(request)
        if self.entry.stop_started_at is not None:
            response.close = True
        return response

    async def route_request(self, request):
        """Return the response to a request, by its queue, method and path."""
        if self.queue_table is None:
            await self.entry.wait_for_configuration()
        if self.queue_table is None:
            return make_refusal("there is no configuration yet", NO_CONFIGURATION_RETRY_S)
        host = request.headers.get("Host", "").rpartition(":")[0] or request.headers.get("Host", "")
        queue = self.queue_table.find(host, request.path)
        if queue is None:
            return json_response(404, {"error": "no such queue"})
        resource = request.path[len(queue.prefix) :]
        if request.method == "POST" and is_job_id(resource):
            return await self.run_job(request, queue, resource)
        if request.method == "GET" and not resource:
            # Jobs are not stored, so none is ever waiting in the queue.
            return json_response(200, {"waiting": 0})
        if request.method == "DELETE" and is_job_id(resource):
            if self.entry.cancel_job(queue.name, resource):
                return json_response(200, {"state": CANCELLED})
            return json_response(410, {"error": "no such job"})
        if request.method == "GET" and is_job_id(resource):
            return encode_state(self.entry.find_job(queue.name, resource))
        return json_response(404, {"error": "no such resource"})

    async def run_job(self, request, queue, job_id):
        """Run a job and respond with its outcome."""
        if len(request.body) > self.limits.body_bytes:
            return json_response(413, {"error": f"body over {self.limits.body_bytes} bytes"})
        timeout_header = request.headers.get(DEADLINE_HEADER)
        decoded = decode_job(job_id, queue, request.take_body(), timeout_header)
        if decoded.is_err():
            log.info("job rejected", extra={"job": job_id, "reason": decoded.err_value})
            if decoded.err_value.startswith(UNSUPPORTED):
                return make_refusal(decoded.err_value, None)
            return json_response(400, {"error": decoded.err_value})
        return encode_outcome(await self.entry.run_job(decoded.ok_value, request.caller))


def make_refusal(reason, retry_after_s):
    """Return a 503 response for a job of which no task has run or will run.

    None as `retry_after_s` leaves out ``Retry-After``, for jobs that are never accepted.
    """
    headers = None if retry_after_s is None else {"Retry-After": str(retry_after_s)}
    return json_response(503, {"error": reason}, headers)


def encode_state(job):
    """Return the response to a request for the state of a job, None if there is no such job.

    A job that has ended is not kept: its caller has the answer.
    """
    if job is None or job.outcome is not None:
        return json_response(410, {"error": "no such job"})
    return json_response(200, {"state": "running" if job.may_have_started else "queued"})


def encode_outcome(outcome):
    """Return the response for the outcome of a job.

    On the platform, 503 means that no task of the job has run or will run. 504 means that the
    outcome is unknown; the caller may send the job again.
    """
    if outcome.state in (COMPLETED, FAILED, CANCELLED):
        return json_response(200, {"state": outcome.state})
    if outcome.state == REFUSED:
        return make_refusal(outcome.reason, max(1, math.ceil(outcome.retry_after_ms / 1000)))
    return json_response(504, {"error": outcome.reason})
