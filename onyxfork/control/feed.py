"""Messages between a control instance and the nodes that follow it.

A follower holds a version of the configuration and receives the rows that changed after it. It
reports the version that is in force with it, and takes part in nothing else of the control state.
"""

from attrs import define

from onyxfork.control.commands import ChangeResult
from onyxfork.control.state import RowChange
from onyxfork.messages.codec import message

__all__ = [
    "Follow",
    "Rows",
    "Version",
    "InForce",
    "Propose",
    "Proposed",
    "Renew",
    "Renewed",
    "ReadIndex",
    "ReadIndexed",
    "TABLES_BY_ROLE",
]

TABLES_BY_ROLE = {
    "entry": ("organisation", "team", "service", "job", "node", "cell", "drain"),
    "agent": ("drain",),
}


@message(60)
@define
class Follow:
    """Asks for everything after `version`."""

    version: int


@message(61)
@define
class Rows:
    """Changed rows up to `version`; with `whole` set, all rows there are."""

    version: int
    whole: bool
    changes: list[RowChange]


@message(62)
@define
class Version:
    """The current version; `current` is false when the sender may be cut off from the others."""

    version: int
    current: bool


@message(63)
@define
class InForce:
    """The version that is in force with the sender."""

    version: int


@message(64)
@define
class Propose:
    """A command for the log, as a frame with one command."""

    request: int
    command: bytes


@message(65)
@define
class Proposed:
    """The answer to a `Propose`; without a result it is not known whether it took effect."""

    request: int
    result: ChangeResult | None
    reason: str = ""


@message(66)
@define
class Renew:
    """An entry renews its leases on cells and reports demand for shares of limits."""

    request: int
    entry: str
    incarnation: str
    demand: dict[str, float]
    stopping: bool = False


@message(67)
@define
class Renewed:
    """The leader's answer: leases hold for `lease_s` from when the request was sent.

    `shares` maps a limit's name to the part of it that this entry may use.
    """

    request: int
    granted: bool
    lease_s: float
    shares: dict[str, float]
    reason: str = ""


@message(68)
@define
class ReadIndex:
    """Asks the leader up to which entry a read has to wait."""

    request: int


@message(69)
@define
class ReadIndexed:
    """The index that a read has to wait for; None when leadership could not be confirmed."""

    request: int
    index: int | None
