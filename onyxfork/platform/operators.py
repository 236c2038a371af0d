"""HTTP handler of a control instance: operators set the configuration and evacuate zones."""

import json
import logging
import re
from urllib.parse import unquote

from onyxfork.platform.configuration import decode_configuration
from onyxfork.platform.http import Response, json_response

__all__ = ["OperatorHandler"]

log = logging.getLogger(__name__)

EVACUATIONS_PATH = "/evacuations"
ZONE_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
EVACUATION_METHODS = {"POST": True, "DELETE": False}
"""Whether the zone is evacuated after a request with each method."""


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
        if request.path == EVACUATIONS_PATH and request.method == "GET":
            return await self.get_evacuations()
        if request.path.startswith(f"{EVACUATIONS_PATH}/"):
            return await self.set_evacuation(request)
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

    async def set_evacuation(self, request):
        """Evacuate (POST) or restore (DELETE) a zone and respond once a quorum holds the change.

        503 means that the outcome is unknown; sending the request again is idempotent.
        """
        evacuated = EVACUATION_METHODS.get(request.method)
        if evacuated is None:
            return json_response(405, {"error": "expected POST or DELETE"})
        zone = unquote(request.path[len(EVACUATIONS_PATH) + 1 :])
        if request.body:
            return refuse_evacuation(400, zone, "body: expected none")
        if not self.replica.knows_zone(zone):
            if not ZONE_NAME.fullmatch(zone):
                return refuse_evacuation(400, zone, f"zone: malformed name {zone[:64]!r}")
            return refuse_evacuation(404, zone, f"zone: {zone!r} is not among the known zones")
        if await self.replica.set_evacuation(zone, evacuated):
            return json_response(200, {"zone": zone, "evacuated": evacuated})
        return refuse_evacuation(
            503, zone, "the control instances did not agree in time; send it again"
        )

    async def get_evacuations(self):
        """Return the evacuated zones that the control instances have agreed on."""
        zones = await self.replica.read_evacuations()
        if zones is None:
            return json_response(503, {"error": "cannot confirm which zones are evacuated"})
        return json_response(200, {"zones": sorted(zones)})


def refuse_evacuation(status, zone, reason):
    """Log why a request to evacuate or restore a zone is not fulfilled; return the response."""
    log.info("evacuation refused", extra={"zone": zone[:64], "status": status, "reason": reason})
    return json_response(status, {"error": reason})
