"""The HTTP interface for callers: submit, look up and cancel submissions."""

import time

from aiohttp import web

from onyxfork.daemons.http_server import error_response, read_json_object
from onyxfork.entities.outcomes import Code, State
from onyxfork.entry.requests import read_request
from onyxfork.errors import UnavailableError

__all__ = ["STATUS_BY_CODE", "add_caller_routes", "answer_response"]

STATUS_BY_CODE = {
    Code.COMPLETE: 200,
    Code.RUNNING: 202,
    Code.BAD_REQUEST: 400,
    Code.UNKNOWN_JOB: 404,
    Code.EXPIRED_KEY: 408,
    Code.CONFLICTING_KEY: 409,
    Code.CANCELLED: 410,
    Code.ALREADY_RAN: 412,
    Code.TOO_LARGE: 413,
    Code.NEVER_FITS: 422,
    Code.OVER_QUOTA: 429,
    Code.FAILED: 500,
    Code.MAY_HAVE_RUN: 502,
    Code.UNAVAILABLE: 503,
    Code.OVERLOADED: 503,
    Code.PAST_DEADLINE: 504,
}
UNKNOWN_SUBMISSION_STATUS = 404


def answer_response(answered):
    """Return the HTTP response that carries an answer.

    Parameters
    ----------
    answered : Answered

    Returns
    -------
    aiohttp.web.Response
        The status follows from the code. The body of a complete answer has the output of each
        task; that of any other final answer has the reason and the reasons of single tasks.
    """
    body = {
        "submission": answered.submission,
        "state": answered.state.value,
        "code": answered.code.value,
    }
    headers = {}
    if answered.state is State.COMPLETE:
        body["outputs"] = answered.outputs
        body["response_ms"] = round(answered.response_ms, 3)
    elif answered.state is not State.RUNNING:
        body["reason"] = answered.reason
        body["tasks"] = answered.reasons
    if answered.retry_after_ms is not None:
        body["retry_after_ms"] = answered.retry_after_ms
        headers["Retry-After"] = str(max(1, round(answered.retry_after_ms / 1000)))
    return web.json_response(body, status=STATUS_BY_CODE[answered.code], headers=headers)


def add_caller_routes(app, entry):
    """Add the routes for submitting, looking up and cancelling.

    Parameters
    ----------
    app : aiohttp.web.Application
    entry : Entry
    """

    async def submit(request):
        try:
            body = await read_json_object(request)
        except web.HTTPRequestEntityTooLarge:
            limit = entry.settings.max_body_bytes
            return error_response(413, "too-large", f"the body exceeds {limit} bytes")
        except ValueError as error:
            return error_response(400, "bad-request", str(error))
        checked = read_request(body, time.time() * 1000)
        if checked.is_err():
            field, refusal = checked.err_value
            state = State.FAILED if refusal.code is Code.EXPIRED_KEY else State.NOT_RUN
            status = STATUS_BY_CODE[refusal.code]
            return error_response(status, refusal.code, refusal.reason, field, state=state)
        return answer_response(await entry.front.submit(checked.ok_value))

    async def respond(request, action):
        name = request.match_info["submission"]
        try:
            answered = await action(name)
        except (TimeoutError, UnavailableError) as error:
            return error_response(503, "unavailable", str(error) or "no answer in time", "", 1000)
        if answered is None:
            reason = f"no submission {name} is known"
            return error_response(UNKNOWN_SUBMISSION_STATUS, "unknown-submission", reason)
        return answer_response(answered)

    async def look(request):
        return await respond(request, entry.front.look)

    async def cancel(request):
        return await respond(request, entry.front.cancel)

    app.router.add_post("/v1/jobs", submit)
    app.router.add_get("/v1/jobs/{submission}", look)
    app.router.add_delete("/v1/jobs/{submission}", cancel)
