"""Decoding of the limits on clients in the platform's settings file."""

import os
import resource

from attrs import evolve

from onyxfork.direct.client_limits import ClientLimits
from onyxfork.platform.fields import FieldError, read_integer, read_number, read_object

__all__ = ["decode_client_limits"]

MAX_DESCRIPTORS = 65536
"""Descriptors of a process for which the system sets no limit."""


def decode_client_limits(data):
    """Return the `ClientLimits` in a decoded settings file.

    The defaults follow from the machine: the file's table ``limits``, or what the system tells. The
    optional table ``onyxfork`` has this project's own fields.

    Raises
    ------
    FieldError
        If a field is invalid.
    """
    machine = read_object(data.get("limits", {}), "limits")
    own = read_object(data.get("onyxfork", {}), "onyxfork")
    memory_mb = read_number(machine, "memoryMb", 0) or physical_memory_mb()
    allowed = allowed_descriptors()
    descriptors = min(read_integer(machine, "maxFds", allowed), allowed)
    limits = ClientLimits.from_machine(memory_mb * 2**20, descriptors)
    held_mb = check_minimum(own, "maxHeldMb", limits.held_bytes / 2**20, 1)
    turn_ms = check_minimum(own, "maxTurnMs", limits.turn_s * 1000, 1)
    connections = check_minimum(own, "maxConnections", limits.connections, 1)
    if connections > limits.connections:
        raise FieldError(f"maxConnections: at most {limits.connections} descriptors are for them")
    return evolve(
        limits,
        held_bytes=int(held_mb * 2**20),
        connections=int(connections),
        held_tasks=int(check_minimum(own, "maxHeldTasks", limits.held_tasks, 1)),
        body_timeout_s=check_minimum(own, "bodyTimeoutS", limits.body_timeout_s, 0.1),
        turn_s=turn_ms / 1000,
        unsent_bytes=int(check_minimum(own, "maxUnsentBytes", limits.unsent_bytes, 1)),
    )


def check_minimum(data, key, default, minimum):
    """Return a number of at least `minimum` in a field, or `default` if it is absent."""
    value = read_number(data, key, default)
    if value < minimum:
        raise FieldError(f"{key}: expected a number of at least {minimum}, got {value}")
    return value


def physical_memory_mb():
    """Return the memory of this machine."""
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") / 2**20


def allowed_descriptors():
    """Return how many descriptors the system lets this process open."""
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return MAX_DESCRIPTORS if allowed == resource.RLIM_INFINITY else allowed
