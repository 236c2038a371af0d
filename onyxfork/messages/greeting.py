"""Messages used on every connection: handshake, rejection and heartbeat."""

from attrs import define

from onyxfork.messages.codec import message

__all__ = ["PROTOCOL_VERSION", "Hello", "Reject", "Ping"]

PROTOCOL_VERSION = 1


@message(1)
@define
class Hello:
    """The handshake: the first message of each side, which identifies the sender.

    `incarnation` identifies the process since its start; each restart gets a new one. `clock` is
    the sender's monotonic time in seconds.
    """

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
    """The last message on a connection, with the reason why the sender closes it."""

    reason: str


@message(3)
@define
class Ping:
    """A heartbeat, sent when nothing else was sent for a heartbeat interval.

    `clock` is the sender's monotonic time in seconds, `echo` the latest `clock` that the sender
    received on this connection.
    """

    clock: float
    echo: float
