"""Commands of the replicated log and their results.

Every command carries an identifier that is a version 7 UUID, so that a command sent again gets the
first answer, and one older than the answers kept is refused instead of taking effect twice.
"""

from typing import Any

from attrs import define, field

from onyxfork.messages.codec import message

__all__ = [
    "Change",
    "Announce",
    "AssignCell",
    "Claim",
    "SettleClaim",
    "ReleaseClaim",
    "Elapsed",
    "NoteReach",
    "ChangeResult",
    "COMMANDS",
]


@message(100)
@define
class Change:
    """Creates, alters or deletes one row of the configuration.

    Parameters
    ----------
    command : str
        Version 7 UUID.
    operator : str
    wall_ms : int
        The leader's time; entries are applied with it on every replica alike.
    table, key : str
    action : str
        ``create``, ``alter``, ``put`` or ``delete``.
    fields : dict
        New values by field name.
    expected : int or None
        Version that the row must have.
    """

    command: str
    operator: str
    wall_ms: int
    table: str
    key: str
    action: str
    fields: dict[str, Any]
    expected: int | None = None


@message(101)
@define
class Announce:
    """Nodes that have started, changed state or were lost, collected over a short time."""

    wall_ms: int
    nodes: list[dict[str, Any]]


@message(102)
@define
class AssignCell:
    """Makes an entry the owner of a cell under the next epoch."""

    wall_ms: int
    cell: str
    owner: str
    incarnation: str
    former_epoch: int


@message(103)
@define
class Claim:
    """Claims a non-idempotent submission before its first task starts."""

    wall_ms: int
    key: str
    digest: str
    owner: str
    epoch: int


@message(104)
@define
class SettleClaim:
    """Records how a claimed submission ended."""

    wall_ms: int
    key: str
    state: str
    code: str


@message(105)
@define
class ReleaseClaim:
    """Frees a claim because nothing of the submission ran and nothing will."""

    wall_ms: int
    key: str
    epoch: int


@message(107)
@define
class NoteReach:
    """The owner of a cell says that it has stopped sending to a worker, or will send again (0).

    See :class:`onyxfork.entities.catalogue.Node` for `unreachable_ms`; `order` grows with each.
    """

    wall_ms: int
    cell: str
    epoch: int
    node: str
    incarnation: str
    unreachable_ms: int
    order: int


@message(106)
@define
class Elapsed:
    """Time that the leader's monotonic clock saw pass since its last such entry."""

    ms: int


@define
class ChangeResult:
    """The answer to a command.

    Parameters
    ----------
    accepted : bool
    version : int
        Of the row after an accepted change; the current one after a conflict.
    code : str
        ``ok``, ``invalid``, ``conflict``, ``missing``, ``exists``, ``expired``, ``taken``.
    reason : str
    field_name : str
        The field that is wrong, when one is.
    changed_by : str
        Who made the current version.
    detail : dict
    """

    accepted: bool
    version: int = 0
    code: str = "ok"
    reason: str = ""
    field_name: str = ""
    changed_by: str = ""
    detail: dict[str, Any] = field(factory=dict)


COMMANDS = (Change, Announce, AssignCell, Claim, SettleClaim, ReleaseClaim, Elapsed, NoteReach)
