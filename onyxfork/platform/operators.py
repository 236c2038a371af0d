"""HTTP handler of a control instance: operators write and read the configuration."""

import json
import logging

from onyxfork.platform.configuration import decode_configuration
from onyxfork.platform.http import Response, json_response

__all__ = ["OperatorHandler"]

log = logging.getLogger(__name__)


class OperatorHandler:
    """Handles operators' requests at one control instance.

    Parameters
    ----------
    replica : DocumentReplica
    """

    def __init__(self, replica):
        self.replica = replica

    async def handle(self, request):
        """Respond to an operator."""
        if request.path == "/config" and request.method == "PUT":
            return await self.put_configuration(request)
        if request.path == "/config" and request.method == "GET":
            return await self.get_configuration()
        if request.path.startswith("/instances/"):
            return json_response(503, {"error": "workers report to the agent on their machine"})
        return json_response(404, {"error": "no such resource"})

    async def put_configuration(self, request):
        """Replicate a configuration document and respond once a quorum holds it.

        A document that cannot be decoded is refused with 400. 503 means that the outcome is
        unknown; sending the same version again is idempotent.
        """
        body = request.body
        decoded = decode_configuration(body)
        if decoded.is_err():
            log.info("configuration refused", extra={"reason": decoded.err_value})
            return json_response(400, {"error": decoded.err_value})
        version = decoded.ok_value.version
        if await self.replica.configure(version, json.dumps(json.loads(body)).encode()):
            return json_response(200, {"version": version})
        log.info("configuration not committed in time", extra={"version": version})
        return json_response(
            503, {"error": "the control instances did not agree in time; send it again"}
        )

    async def get_configuration(self):
        """Return the newest configuration that the control instances have agreed on."""
        document = await self.replica.read_document()
        if document is None:
            return json_response(503, {"error": "cannot confirm which configuration is the newest"})
        return Response(body=document.body)
