"""Messages that every connection knows: who speaks, why it ends, and signs of life."""

from attrs import define

from onyxfork.messages.codec import message

__all__ = ["PROTOCOL_VERSION", "Hello", "Reject", "Ping"]

PROTOCOL_VERSION = 1


@message(1)
@define
class Hello:
    """First message of each side: who speaks, and to which cluster it belongs."""

    version: int
    cluster: str
    role: str
    node: str
    incarnation: str
    zone: str
    clock: float


@message(2)
@define
class Reject:
    """Last message before a connection is closed by its sender."""

    reason: str


@message(3)
@define
class Ping:
    """Sent when nothing else was sent for a heartbeat interval."""

    clock: float
    echo: float
