"""The replicated state: configuration, membership, cells, claims, answers to commands.

Applying an entry depends on the entry and the state alone, so every replica arrives at the same
state. Versions are log indexes: the version of a row is the index of the entry that last changed
it, and the version of the configuration is the highest of them.
"""

from collections import OrderedDict, deque

import attrs
from attrs import define, field

from onyxfork.control.commands import (
    Announce,
    AssignCell,
    Change,
    ChangeResult,
    Claim,
    Elapsed,
    NoteReach,
    ReleaseClaim,
    SettleClaim,
)
from onyxfork.control.validate import build_row, children_of
from onyxfork.entities.catalogue import TABLES, Catalogue, Cell, Node
from onyxfork.messages.codec import structure, unpack, unstructure
from onyxfork.utils.ids import id_time_ms
from onyxfork.utils.packing import from_bytes, to_bytes

__all__ = ["ControlState", "RowVersion", "ClaimRecord", "RowChange", "COMMAND_WINDOW_MS"]

COMMAND_WINDOW_MS = 24 * 3600 * 1000
CLAIM_WINDOW_MS = 600 * 1000
MAX_ELAPSED_MS = 60 * 1000
LOST_NODE_WINDOW_MS = 600 * 1000
TAKEOVER_WINDOW_MS = 300 * 1000
MAX_RECENT_CHANGES = 4096
MAX_HISTORY = 5000


@define
class RowVersion:
    """Which entry last changed a row, who asked for it and when."""

    version: int
    changed_by: str
    wall_ms: int


@define
class ClaimRecord:
    """A claimed submission; `state` is ``running`` until it is settled.

    `log_ms` is the log's own time of the claim.
    """

    digest: str
    owner: str
    epoch: int
    log_ms: int
    state: str = "running"
    code: str = "running"


@define
class RowChange:
    """A row as of a version; `row` is None when it was deleted."""

    version: int
    table: str
    key: str
    row: list | None


@define(eq=False)
class ControlState:
    """Everything that the log determines.

    Attributes
    ----------
    log_ms : int
        The log's own time: it advances by what leaders' monotonic clocks saw pass, so it never runs
        ahead of real time and no step of a wall clock moves it.
    claims_floor_ms, answers_floor_ms : int
        Keys issued up to here may have been forgotten; one that is not known is refused.
    applied : int
        Index of the last entry applied.
    version : int
        Version of the configuration.
    recent : deque of RowChange
        For followers that are a little behind; not part of a snapshot.
    """

    catalogue: Catalogue = field(factory=Catalogue)
    versions: dict[tuple[str, str], RowVersion] = field(factory=dict)
    claims: OrderedDict = field(factory=OrderedDict)
    answers: OrderedDict = field(factory=OrderedDict)
    history: deque = field(factory=lambda: deque(maxlen=MAX_HISTORY))
    recent: deque = field(factory=lambda: deque(maxlen=MAX_RECENT_CHANGES))
    applied: int = 0
    version: int = 0
    log_ms: int = 0
    claims_floor_ms: int = 0
    answers_floor_ms: int = 0
    recent_floor: int = 0

    def apply(self, index, data):
        """Apply one command.

        Parameters
        ----------
        index : int
        data : bytes
            A frame with one command.

        Returns
        -------
        ChangeResult
        """
        self.applied = index
        command = unpack(data)[0]
        return APPLY[type(command)](self, index, command)

    # Configuration

    def apply_change(self, index, command):
        """Apply a `Change`, at most once for its identifier."""
        known = self.answers.get(command.command)
        if known is not None:
            return known[1]
        issued = id_time_ms(command.command)
        oldest = max(command.wall_ms - COMMAND_WINDOW_MS, self.answers_floor_ms)
        if issued is None or issued <= oldest:
            reason = "the command identifier is no version 7 UUID of the last 24 hours"
            return ChangeResult(False, code="expired", reason=reason, field_name="command")
        result = self.decide_change(index, command)
        self.answers[command.command] = (command.wall_ms, result)
        self.drop_answers(command.wall_ms - COMMAND_WINDOW_MS)
        return result

    def decide_change(self, index, command):
        """Make the change, or say why not."""
        if command.table not in TABLES or command.table in ("node", "cell"):
            reason = f"no table {command.table!r} that can be changed"
            return ChangeResult(False, code="invalid", reason=reason, field_name="table")
        current = self.catalogue.tables[command.table].get(command.key)
        refusal = self.check_present(command, current)
        if refusal is not None:
            return refusal
        if command.action == "delete":
            return self.delete_row(index, command)
        base = current if command.action == "alter" else None
        built = build_row(self.catalogue, command.table, command.key, command.fields, base)
        if built.is_err():
            name, reason = built.err_value
            return ChangeResult(False, code="invalid", reason=reason, field_name=name)
        self.set_row(index, command.table, command.key, built.ok_value, command)
        return ChangeResult(True, version=index, changed_by=command.operator)

    def check_present(self, command, current):
        """Refuse a change whose row is missing, present, or at another version than expected."""
        version = self.versions.get((command.table, command.key))
        at = version.version if version is not None else 0
        by = version.changed_by if version is not None else ""
        if command.expected is not None and command.expected != at:
            reason = f"the row is at version {at}, not {command.expected}"
            return ChangeResult(False, at, "conflict", reason, "expected", by)
        if current is None and command.action in ("alter", "delete"):
            reason = f"no {command.table} {command.key}"
            return ChangeResult(False, at, "missing", reason, "key", by)
        if current is not None and command.action == "create":
            reason = f"{command.table} {command.key} exists"
            return ChangeResult(False, at, "exists", reason, "key", by)
        return None

    def delete_row(self, index, command):
        """Delete a row on which no other depends."""
        child = children_of(self.catalogue, command.table, command.key)
        if child is not None:
            reason = f"{child} depends on it"
            return ChangeResult(False, code="invalid", reason=reason, field_name="key")
        self.set_row(index, command.table, command.key, None, command)
        return ChangeResult(True, version=index, changed_by=command.operator)

    def set_row(self, index, table, key, row, command=None):
        """Set or delete a row at a version."""
        by = getattr(command, "operator", "onyxfork")
        self.catalogue.put(table, key, row)
        if row is None:
            self.versions.pop((table, key), None)
        else:
            self.versions[table, key] = RowVersion(index, by, command.wall_ms)
        self.version = index
        fields = None if row is None else unstructure(row)
        if len(self.recent) == MAX_RECENT_CHANGES:
            self.recent_floor = self.recent[0].version
        self.recent.append(RowChange(index, table, key, fields))
        if isinstance(command, Change):
            line = [index, command.wall_ms, by, table, key, command.action, command.command]
            self.history.append(line)

    # Membership and cells

    def apply_announce(self, index, command):
        """Take in nodes; a stale announcement changes nothing."""
        for fields in command.nodes:
            node = Node(**fields)
            current = self.catalogue.find("node", node.name)
            if not self.is_news(current, node):
                continue
            if current is None:
                node.restarted_ms = 0
            elif current.incarnation == node.incarnation:
                node.restarted_ms = current.restarted_ms
                node.unreachable_ms = current.unreachable_ms
                node.reach_order = current.reach_order
            else:
                node.restarted_ms = current.unreachable_ms or command.wall_ms
            self.set_row(index, "node", node.name, node, command)
        self.drop_lost_nodes(index, command)
        return ChangeResult(True, version=index)

    @staticmethod
    def is_news(current, node):
        """Return whether an announcement says more than what is known of the node."""
        if current is None or current.incarnation != node.incarnation:
            return node.state == "serving"
        if current.state == "left":
            return False
        if node.state == "lost":
            return node.sequence == current.sequence and current.state != "lost"
        return node.sequence > current.sequence

    def drop_lost_nodes(self, index, command):
        """Delete nodes that have been gone for longer than anything asks after them."""
        limit = command.wall_ms - LOST_NODE_WINDOW_MS
        for key, node in list(self.catalogue.tables["node"].items()):
            gone = node.state in ("left", "lost")
            if gone and self.versions["node", key].wall_ms < limit:
                self.set_row(index, "node", key, None, command)

    def apply_assign(self, index, command):
        """Make an entry the owner of a cell, unless another assignment came first."""
        current = self.catalogue.find("cell", command.cell)
        epoch = current.epoch if current is not None else 0
        if epoch != command.former_epoch:
            return ChangeResult(False, code="conflict", reason=f"the cell is at epoch {epoch}")
        row = Cell(command.cell, command.owner, command.incarnation, epoch + 1)
        self.set_row(index, "cell", command.cell, row, command)
        return ChangeResult(True, version=index)

    def apply_reach(self, index, command):
        """Take the word of a cell's present owner on whether it sends to a worker."""
        cell = self.catalogue.find("cell", command.cell)
        node = self.catalogue.find("node", command.node)
        if cell is None or cell.epoch != command.epoch:
            return ChangeResult(False, code="conflict", reason="sent by a former owner")
        if node is None or node.incarnation != command.incarnation:
            return ChangeResult(False, code="missing", reason="no such incarnation")
        if command.order <= node.reach_order:
            return ChangeResult(False, code="conflict", reason="a later word is known")
        fields = {"unreachable_ms": command.unreachable_ms, "reach_order": command.order}
        self.set_row(index, "node", node.name, attrs.evolve(node, **fields), command)
        return ChangeResult(True, version=index)

    # Claims

    def apply_claim(self, index, command):
        """Grant a claim that nobody holds."""
        issued = id_time_ms(command.key)
        known = self.claims.get(command.key)
        if known is None and (issued is None or issued <= self.claims_floor_ms):
            reason = "the submission identifier is older than claims are kept"
            return ChangeResult(False, code="expired", reason=reason)
        if known is None:
            self.claims[command.key] = ClaimRecord(
                command.digest, command.owner, command.epoch, self.log_ms
            )
            return ChangeResult(True, version=index)
        same = known.digest == command.digest
        if same and known.state == "running" and self.may_take_over(known, command):
            known.owner, known.epoch = command.owner, command.epoch
            return ChangeResult(True, version=index, code="taken-over")
        code = "taken" if same else "conflict"
        return ChangeResult(False, code=code, detail=attrs.asdict(known))

    def may_take_over(self, known, command):
        """Return whether a later owner may continue a claimed submission.

        Workers remember what they began for longer than `TAKEOVER_WINDOW_MS`, so within it the
        later owner learns from them what has run.
        """
        if (known.owner, known.epoch) == (command.owner, command.epoch):
            return True
        young = self.log_ms - known.log_ms < TAKEOVER_WINDOW_MS
        return young and command.epoch > known.epoch

    def apply_settle(self, index, command):
        """Record the end of a claimed submission; the first end stands."""
        known = self.claims.get(command.key)
        if known is not None and known.state == "running":
            known.state, known.code = command.state, command.code
        return ChangeResult(True, version=index)

    def apply_release(self, index, command):
        """Free a claim of which nothing ran."""
        known = self.claims.get(command.key)
        if known is not None and known.state == "running" and known.epoch == command.epoch:
            del self.claims[command.key]
        return ChangeResult(True, version=index)

    def apply_elapsed(self, index, command):
        """Let the log's time advance, and forget claims whose keys are refused by age."""
        self.log_ms += max(0, min(command.ms, MAX_ELAPSED_MS))
        while self.claims:
            key, record = next(iter(self.claims.items()))
            if record.log_ms >= self.log_ms - CLAIM_WINDOW_MS:
                break
            del self.claims[key]
            self.claims_floor_ms = max(self.claims_floor_ms, id_time_ms(key))
        return ChangeResult(True, version=index)

    def drop_answers(self, limit):
        """Forget answers to commands older than `limit`."""
        while self.answers:
            command, (wall_ms, _) = next(iter(self.answers.items()))
            if wall_ms >= limit:
                return
            del self.answers[command]
            self.answers_floor_ms = max(self.answers_floor_ms, id_time_ms(command))

    # Snapshots and followers

    def to_snapshot(self):
        """Return the whole state as bytes."""
        tables = {
            name: [[key, unstructure(row)] for key, row in rows.items()]
            for name, rows in self.catalogue.tables.items()
        }
        return to_bytes(
            [
                [self.applied, self.version, self.log_ms],
                [self.claims_floor_ms, self.answers_floor_ms],
                tables,
                [[*key, unstructure(value)] for key, value in self.versions.items()],
                [[key, unstructure(value)] for key, value in self.claims.items()],
                [[key, at, unstructure(value)] for key, (at, value) in self.answers.items()],
                list(self.history),
            ]
        )

    @classmethod
    def from_snapshot(cls, data):
        """Return the state that :meth:`to_snapshot` made."""
        times, floors, tables, versions, claims, answers, history = from_bytes(data)
        state = cls(applied=times[0], version=times[1], recent_floor=times[1], log_ms=times[2])
        state.claims_floor_ms, state.answers_floor_ms = floors
        for name, rows in tables.items():
            for key, fields in rows:
                state.catalogue.put(name, key, structure(fields, TABLES[name]))
        for table, key, value in versions:
            state.versions[table, key] = structure(value, RowVersion)
        for key, value in claims:
            state.claims[key] = structure(value, ClaimRecord)
        for key, at, value in answers:
            state.answers[key] = (at, structure(value, ChangeResult))
        state.history.extend(history)
        return state

    def changes_since(self, version, tables):
        """Return the row changes after `version`, or None when a snapshot is needed.

        Parameters
        ----------
        version : int
        tables : collection of str
            Tables that the follower wants.

        Returns
        -------
        list of RowChange or None
        """
        if version < self.recent_floor or version > self.version:
            return None
        changes = []
        for change in reversed(self.recent):
            if change.version <= version:
                break
            if change.table in tables:
                changes.append(change)
        changes.reverse()
        return changes

    def all_rows(self, tables):
        """Return every row of some tables as changes."""
        return [
            RowChange(self.versions[table, key].version, table, key, unstructure(row))
            for table in tables
            for key, row in self.catalogue.tables[table].items()
        ]


APPLY = {
    Change: ControlState.apply_change,
    Announce: ControlState.apply_announce,
    AssignCell: ControlState.apply_assign,
    Claim: ControlState.apply_claim,
    SettleClaim: ControlState.apply_settle,
    ReleaseClaim: ControlState.apply_release,
    Elapsed: ControlState.apply_elapsed,
    NoteReach: ControlState.apply_reach,
}
