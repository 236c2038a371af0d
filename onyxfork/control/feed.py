"""Messages between a control instance and the nodes that follow it.

A follower holds a version of the configuration, receives the rows that changed after it and reports
the version that it has put in force.
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
    """Subscribes to the configuration; `version` is the one the sender holds, 0 for none."""

    version: int


@message(61)
@define
class Rows:
    """Sends rows changed up to `version`; with `whole` set, all rows."""

    version: int
    whole: bool
    changes: list[RowChange]


@message(62)
@define
class Version:
    """Sends the latest version of the configuration that the sender has applied.

    `current` is false when the sender has no contact with a quorum, so that a newer one may exist.
    """

    version: int
    current: bool


@message(63)
@define
class InForce:
    """Reports the version that the sender has put in force."""

    version: int


@message(64)
@define
class Propose:
    """Proposes a command; `command` is a message frame that holds it."""

    request: int
    command: bytes


@message(65)
@define
class Proposed:
    """The answer to a `Propose`; without a result the outcome is unknown."""

    request: int
    result: ChangeResult | None
    reason: str = ""


@message(66)
@define
class Renew:
    """Renews an entry's lease and reports its demand, from which shares of limits are computed."""

    request: int
    entry: str
    incarnation: str
    demand: dict[str, float]
    stopping: bool = False


@message(67)
@define
class Renewed:
    """The leader's answer to a `Renew`.

    The lease lasts for `lease_s` from when the request was sent. `shares` maps the name of a limit
    to the share of it, from 0 to 1, that the entry may use.
    """

    request: int
    granted: bool
    lease_s: float
    shares: dict[str, float]
    reason: str = ""


@message(68)
@define
class ReadIndex:
    """Asks the leader for the index that must be applied before a linearizable read."""

    request: int


@message(69)
@define
class ReadIndexed:
    """The answer to a `ReadIndex`; `index` is None when leadership was not confirmed."""

    request: int
    index: int | None
