"""The lease that an upstream takes by announcing itself to its agent."""

from attrs import define

__all__ = ["UpstreamLease", "read_announcement"]

MAX_LEASE_S = 60.0


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
    if not isinstance(url, str) or not url.startswith("http://"):
        raise ValueError(f"url: expected http://ip:port, got {url!r}")
    slots = body.get("slots")
    if type(slots) is not int or not 1 <= slots <= max_slots:
        raise ValueError(f"slots: expected a whole number from 1 to {max_slots}, got {slots!r}")
    quantities = {}
    for name in ("processors", "memory_mb", "accelerators", "lease_s"):
        value = body.get(name, 0.0)
        if type(value) not in (int, float) or not 0 <= value < 1e12:
            raise ValueError(f"{name}: expected a number of at least 0, got {value!r}")
        quantities[name] = float(value)
    lease_s = min(MAX_LEASE_S, quantities.pop("lease_s") or MAX_LEASE_S)
    return UpstreamLease(url=url, until=now + lease_s, slots=slots, **quantities)
