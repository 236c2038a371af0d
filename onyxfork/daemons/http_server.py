"""HTTP functions shared by the daemons: server, health, metrics, JSON bodies and errors."""

from contextlib import asynccontextmanager

from aiohttp import web

__all__ = ["run_http", "add_common_routes", "error_response", "read_json_object"]


@asynccontextmanager
async def run_http(app, address, tls=None):
    """Serve an application while the context is open and yield the port."""
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=1.0)
    await runner.setup()
    site = web.TCPSite(runner, address.host, address.port, ssl_context=tls)
    await site.start()
    try:
        yield runner.addresses[0][1]
    finally:
        await runner.cleanup()


def add_common_routes(app, metrics, health):
    """Add ``/metrics`` and ``/health``.

    Parameters
    ----------
    app : aiohttp.web.Application
    metrics : Metrics
    health : callable
        Returns (ready, dict). When not ready, ``/health`` responds with 503, so that a load
        balancer removes the instance.
    """

    async def serve_metrics(_):
        body, content_type = metrics.render()
        return web.Response(body=body, headers={"Content-Type": content_type})

    async def serve_health(_):
        ready, detail = health()
        return web.json_response({"ready": ready, **detail}, status=200 if ready else 503)

    app.router.add_get("/metrics", serve_metrics)
    app.router.add_get("/health", serve_health)


def error_response(status, code, reason, field="", retry_after_ms=None, state="not_run"):
    """Return a JSON error response; `field` is the path of the invalid field, if any."""
    body = {"state": state, "code": code, "reason": reason}
    if field:
        body["field"] = field
    headers = {}
    if retry_after_ms is not None:
        body["retry_after_ms"] = retry_after_ms
        headers["Retry-After"] = str(max(1, round(retry_after_ms / 1000)))
    return web.json_response(body, status=status, headers=headers)


async def read_json_object(request):
    """Return the JSON object of a request's body.

    Raises
    ------
    ValueError
        When the body is not JSON or not an object.
    """
    try:
        body = await request.json()
    except (ValueError, RecursionError) as error:
        raise ValueError(f"the body is not JSON: {error}") from None
    if not isinstance(body, dict):
        raise ValueError(f"the body must be an object, got {type(body).__name__}")
    return body
