"""Commands of the replicated log and their results.

A `Change` carries a version 7 UUID as its identifier: a repeated command gets the first result, and
one older than the retained results is refused, so that it does not take effect twice. The other
commands are idempotent by their keys, epochs and sequence numbers, except `Elapsed`, which is never
sent again.
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
        Version 7 UUID that identifies the command.
    operator : str
    wall_ms : int
        Wall-clock time of the instance that proposed the command. Every replica applies the command
        with this time instead of its own.
    table, key : str
    action : str
        ``create``, ``alter``, ``put`` or ``delete``.
    fields : dict
        New values by field name.
    expected : int or None
        Version that the row must have; None to accept any.
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
    """Announces nodes that have started, changed state or were lost."""

    wall_ms: int
    nodes: list[dict[str, Any]]


@message(102)
@define
class AssignCell:
    """Makes an entry the owner of a cell with the epoch after `former_epoch`."""

    wall_ms: int
    cell: str
    owner: str
    incarnation: str
    former_epoch: int


@message(103)
@define
class Claim:
    """Claims a non-idempotent submission for its owner before the first task starts."""

    wall_ms: int
    key: str
    digest: str
    owner: str
    epoch: int


@message(104)
@define
class SettleClaim:
    """Records the outcome of a claimed submission."""

    wall_ms: int
    key: str
    state: str
    code: str


@message(105)
@define
class ReleaseClaim:
    """Releases a claim because no task of the submission has run or will run under it."""

    wall_ms: int
    key: str
    epoch: int


@message(107)
@define
class NoteReach:
    """Reports whether the owner of a cell can reach a worker.

    `unreachable_ms` is the time since which the owner sends it no tasks, or 0 once it sends again;
    see :class:`onyxfork.entities.catalogue.Node`. `order` increases with each report.
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
    """Advances the log time by the time since the leader's last such command."""

    ms: int


@define
class ChangeResult:
    """The result of a command.

    Parameters
    ----------
    accepted : bool
    version : int
        Version of the row: the new one after an accepted change, the current one after a conflict.
    code : str
        ``ok``, ``invalid``, ``conflict``, ``missing``, ``exists``, ``expired``, ``taken`` or
        ``taken-over``.
    reason : str
        Explanation of a refusal for people.
    field_name : str
        Field that caused a refusal; empty when none did.
    changed_by : str
        Operator who made the current version of the row.
    detail : dict
        Fields of the existing claim when a claim is refused.
    """

    accepted: bool
    version: int = 0
    code: str = "ok"
    reason: str = ""
    field_name: str = ""
    changed_by: str = ""
    detail: dict[str, Any] = field(factory=dict)


COMMANDS = (Change, Announce, AssignCell, Claim, SettleClaim, ReleaseClaim, Elapsed, NoteReach)
