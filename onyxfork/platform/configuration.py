"""Decoding of the operator's configuration document.

The platform calls a queue a "route".
"""

from result import Err, Ok

from onyxfork.direct.configuration import (
    Configuration,
    Queue,
    RequestLimits,
    Service,
    find_configuration_error,
)
from onyxfork.platform.fields import (
    FieldError,
    decode_json,
    read_boolean,
    read_integer,
    read_list,
    read_number,
    read_object,
    read_string,
)

__all__ = ["decode_configuration"]


def decode_queue(data):
    """Return the `Queue` in an element of ``routes``."""
    data = read_object(data, "route")
    return Queue(
        name=read_string(data, "name"),
        host=read_string(data, "host"),
        prefix=read_string(data, "pathPrefix"),
        service=read_string(data, "service"),
        priority=read_integer(data, "priority", 0),
        attempts=max(1, read_integer(data, "attempts", 1)),
        stretch=read_number(data, "stretch", 1.0),
        objective_ms=read_number(data, "targetLatencyMs", 0),
        timeout_ms=read_number(data, "timeoutMs"),
    )


def decode_service(data):
    """Return the `Service` in an element of ``services``."""
    data = read_object(data, "service")
    # rejectsOverload: whether a worker refuses an order that exceeds its free capacity. If false,
    # it starts every order.
    return Service(read_string(data, "name"), read_boolean(data, "rejectsOverload", True))


def decode_limits(data):
    """Return the limits on callers' requests."""
    data = read_object(data, "limits")
    return RequestLimits(
        header_bytes=read_integer(data, "maxHeaderBytes", 16384),
        body_bytes=read_integer(data, "maxBodyBytes", 262144),
        header_timeout_s=read_number(data, "headerTimeoutMs", 3000) / 1000,
        idle_timeout_s=read_number(data, "idleTimeoutMs", 15000) / 1000,
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
        data = read_object(decode_json(body), "configuration")
        configuration = Configuration(
            version=read_integer(data, "version"),
            queues=[decode_queue(route) for route in read_list(data, "routes")],
            services=[decode_service(service) for service in read_list(data, "services")],
            limits=decode_limits(data.get("limits", {})),
        )
    except FieldError as error:
        return Err(str(error))
    problem = find_configuration_error(configuration)
    return Ok(configuration) if problem is None else Err(problem)
