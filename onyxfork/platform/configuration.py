"""The operator's configuration document."""

import json

from result import Err, Ok

from onyxfork.direct.configuration import (
    Configuration,
    Queue,
    RequestLimits,
    Service,
    find_configuration_error,
)
from onyxfork.platform.fields import FieldError, flag, items, number, read_object, text, whole

__all__ = ["decode_configuration"]


def decode_queue(data):
    """Return the `Queue` of a route."""
    data = read_object(data, "route")
    return Queue(
        name=text(data, "name"),
        host=text(data, "host"),
        prefix=text(data, "pathPrefix"),
        service=text(data, "service"),
        priority=whole(data, "priority", 0),
        attempts=max(1, whole(data, "attempts", 1)),
        stretch=number(data, "stretch", 1.0),
        objective_ms=number(data, "targetLatencyMs", 0),
        timeout_ms=number(data, "timeoutMs"),
    )


def decode_service(data):
    """Return the `Service` of an entry under services."""
    data = read_object(data, "service")
    # False means that a worker starts more than fits when it is told to.
    return Service(text(data, "name"), flag(data, "rejectsOverload", True))


def decode_limits(data):
    """Return the limits on callers' requests."""
    data = read_object(data, "limits")
    return RequestLimits(
        header_bytes=whole(data, "maxHeaderBytes", 16384),
        body_bytes=whole(data, "maxBodyBytes", 262144),
        header_timeout_s=number(data, "headerTimeoutMs", 3000) / 1000,
        idle_timeout_s=number(data, "idleTimeoutMs", 15000) / 1000,
    )


def decode_configuration(body):
    """Return the configuration in a document.

    Parameters
    ----------
    body : bytes

    Returns
    -------
    Result
        ``Ok(Configuration)`` or ``Err(reason)``.
    """
    try:
        data = read_object(json.loads(body), "configuration")
        configuration = Configuration(
            version=whole(data, "version"),
            queues=[decode_queue(item) for item in items(data, "routes")],
            services=[decode_service(item) for item in items(data, "services")],
            limits=decode_limits(data.get("limits", {})),
        )
    except (ValueError, RecursionError) as error:
        return Err(f"not JSON: {error}")
    except FieldError as error:
        return Err(str(error))
    problem = find_configuration_error(configuration)
    return Ok(configuration) if problem is None else Err(problem)
