"""The lease under which an upstream announces itself to the agent beside it."""

from attrs import define

__all__ = ["UpstreamLease", "read_announcement"]

MAX_LEASE_S = 60.0


@define
class UpstreamLease:
    """The upstream's announcement and until when it holds."""

    url: str
    until: float
    processors: float
    memory_mb: float
    accelerators: float
    slots: int

    @property
    def capacity(self):
        """Everything but the time."""
        return (self.url, self.slots, self.processors, self.memory_mb, self.accelerators)


def read_announcement(body, now, max_slots):
    """Return the lease in an announcement.

    Raises
    ------
    ValueError
        ``field: reason``.
    """
    url = body.get("url")
    if not isinstance(url, str) or not url.startswith("http://"):
        raise ValueError(f"url: expected http://ip:port, got {url!r}")
    slots = body.get("slots")
    if type(slots) is not int or not 1 <= slots <= max_slots:
        raise ValueError(f"slots: expected a whole number from 1 to {max_slots}, got {slots!r}")
    sizes = {}
    for name in ("processors", "memory_mb", "accelerators", "lease_s"):
        value = body.get(name, 0.0)
        if type(value) not in (int, float) or not 0 <= value < 1e12:
            raise ValueError(f"{name}: expected a number from 0 on, got {value!r}")
        sizes[name] = float(value)
    lease_s = min(MAX_LEASE_S, sizes.pop("lease_s") or MAX_LEASE_S)
    return UpstreamLease(url=url, until=now + lease_s, slots=slots, **sizes)
