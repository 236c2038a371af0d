"""The control instance: serves a replica with its storage and the administration API."""

import logging
from contextlib import asynccontextmanager

import attrs
from aiohttp import web

from onyxfork.control.access import authenticate
from onyxfork.control.admin import Administration
from onyxfork.control.identity import initial_identity
from onyxfork.control.replica import Replica, run_replica
from onyxfork.control.storage import open_storage
from onyxfork.daemons.http_server import (
    add_common_routes,
    error_response,
    read_json_object,
    run_http,
)
from onyxfork.metrics import Metrics

__all__ = ["ControlDaemon", "run_control"]

log = logging.getLogger(__name__)

STATUS = {
    "ok": 200,
    "syntax": 400,
    "invalid": 400,
    "forbidden": 403,
    "missing": 404,
    "conflict": 409,
    "exists": 409,
    "expired": 410,
    "unavailable": 503,
    "unknown": 504,
}


class ControlDaemon:
    """A control instance with its administration API.

    Parameters
    ----------
    settings : ControlSettings
    replica : Replica
    """

    def __init__(self, settings, replica):
        self.settings = settings
        self.replica = replica
        self.administration = Administration(replica)
        self.http_port = None

    async def handle_ask(self, request):
        """Execute one statement of an operator."""
        header = request.headers.get("Authorization")
        catalogue = self.replica.state.catalogue
        caller = authenticate(header, catalogue, self.settings.initial_token)
        if caller.is_err():
            return error_response(401, "unauthorized", caller.err_value)
        try:
            body = await read_json_object(request)
        except ValueError as error:
            return error_response(400, "bad-request", str(error))
        text = body.get("text")
        if not isinstance(text, str):
            return error_response(400, "bad-request", "expected a text", "text")
        command = body.get("command")
        if command is not None and not isinstance(command, str):
            return error_response(400, "bad-request", "expected a version 7 UUID", "command")
        reply = await self.administration.run(text, caller.ok_value, command)
        return web.json_response(attrs.asdict(reply), status=STATUS.get(reply.code, 400))

    def health(self):
        """Return whether the instance is in contact with a quorum, and details."""
        raft = self.replica.raft
        return self.replica.has_quorum_contact, {
            "role": raft.role,
            "leader": raft.leader,
            "term": raft.term,
            "commit": raft.commit,
            "applied": self.replica.state.applied,
            "version": self.replica.state.version,
            "votes": raft.is_voter,
            "followers": len(self.replica.fanout.followers),
        }

    def make_app(self):
        """Return the HTTP application for operators, health and metrics."""
        app = web.Application(client_max_size=65536)
        app.router.add_post("/v1/ask", self.handle_ask)
        add_common_routes(app, self.replica.metrics, self.health)
        return app


@asynccontextmanager
async def run_control(settings, bootstrap=False):
    """Run a control instance while the context is open.

    Parameters
    ----------
    settings : ControlSettings
    bootstrap : bool
        Whether an instance with a new data folder is one of the cluster's first members.

    Yields
    ------
    tuple of (ControlDaemon, asyncio.Task)
        The task ends with an exception when the instance cannot continue.
    """
    identity, members = initial_identity(settings, bootstrap)
    opened = open_storage(settings.data_folder, settings.cluster, settings.node, identity, members)
    with opened as storage:
        if storage.recovered.truncated_bytes:
            log.warning(
                "truncated an incomplete record at the end of the log",
                extra={"bytes": storage.recovered.truncated_bytes},
            )
        metrics = Metrics("control", settings.node, settings.zone)
        replica = Replica.from_config(settings, storage, metrics)
        daemon = ControlDaemon(settings, replica)
        async with run_replica(replica) as driver:
            async with run_http(daemon.make_app(), settings.http, replica.tls.admin) as port:
                daemon.http_port = port
                yield daemon, driver
