"""HTTP servers of the adapter.

They use aiohttp's low-level server without an application or router: there are few routes, and it
needs less memory.
"""

import json
import logging
from contextlib import asynccontextmanager

from aiohttp import web

__all__ = ["run_server", "json_response"]

log = logging.getLogger(__name__)

MAX_HEADER_BYTES = 16384
SHUTDOWN_TIMEOUT_S = 0.3


@asynccontextmanager
async def run_server(handler, address, idle_timeout_s=60.0, backlog=512):
    """Serve HTTP requests with a handler while the context is open.

    The handler of a request is cancelled when its client disconnects.

    Parameters
    ----------
    handler : coroutine function
        Takes a request and returns a response.
    address : Address
        Where to listen.
    idle_timeout_s : float
        How long a connection may stay open without a request.
    backlog : int
        How many connections may wait to be accepted.
    """
    server = web.Server(
        handler,
        handler_cancellation=True,
        access_log=None,
        keepalive_timeout=idle_timeout_s,
        max_line_size=MAX_HEADER_BYTES,
        max_field_size=MAX_HEADER_BYTES,
    )
    runner = web.ServerRunner(server, handle_signals=False, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
    await runner.setup()
    site = web.TCPSite(runner, address.host, address.port, backlog=backlog)
    await site.start()
    try:
        yield runner
    finally:
        await runner.cleanup()


def json_response(status, body, headers=None):
    """Return a response with a JSON body."""
    return web.Response(
        status=status,
        body=json.dumps(body).encode(),
        content_type="application/json",
        headers=headers,
    )
