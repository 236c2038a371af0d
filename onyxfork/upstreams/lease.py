"""The lease that an upstream takes by announcing itself to its agent."""

import re

from attrs import define

from onyxfork.addresses import Address

__all__ = ["UpstreamLease", "read_announcement"]

MAX_LEASE_S = 60.0

MAX_SHOWN_LENGTH = 64
"""Upper bound on the characters of a refused value in an error message."""

URL = re.compile(r"http://([0-9a-fA-F.:]+:[0-9]{1,5})/?")


@define
class UpstreamLease:
    """An upstream's announcement and the time until which it is valid.

    `until` is in seconds of the agent's monotonic clock.
    """

    url: str
    until: float
    processors: float
    memory_mb: float
    accelerators: float
    slots: int

    @property
    def capacity(self):
        """Everything but the expiry, to tell a changed announcement from a renewed one."""
        return (self.url, self.slots, self.processors, self.memory_mb, self.accelerators)


def read_announcement(body, now, max_slots):
    """Check an announcement and return it as a lease.

    Parameters
    ----------
    body : dict
    now : float
        Monotonic seconds.
    max_slots : int

    Returns
    -------
    UpstreamLease

    Raises
    ------
    ValueError
        ``field: reason`` for the first invalid field.
    """
    url = body.get("url")
    if not is_url(url):
        raise ValueError(f"url: expected http://ip:port, got {describe(url)}")
    slots = body.get("slots")
    if type(slots) is not int or not 1 <= slots <= max_slots:
        raise ValueError(
            f"slots: expected a whole number from 1 to {max_slots}, got {describe(slots)}"
        )
    quantities = {}
    for name in ("processors", "memory_mb", "accelerators", "lease_s"):
        value = body.get(name, 0.0)
        if type(value) not in (int, float) or not 0 <= value < 1e12:
            raise ValueError(f"{name}: expected a number of at least 0, got {describe(value)}")
        quantities[name] = float(value)
    lease_s = min(MAX_LEASE_S, quantities.pop("lease_s") or MAX_LEASE_S)
    return UpstreamLease(url=url, until=now + lease_s, slots=slots, **quantities)


def is_url(value):
    """Return whether a value is ``http://ip:port``, with a port that can be connected to."""
    match = URL.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        return False
    try:
        return Address.from_text(match[1]).port > 0
    except ValueError:
        return False


def describe(value):
    """Return a short text for a refused value, which may be of any type and size."""
    if not isinstance(value, str | int | float):
        return type(value).__name__
    text = ascii(value)
    return text if len(text) <= MAX_SHOWN_LENGTH else f"{text[:MAX_SHOWN_LENGTH]}..."
