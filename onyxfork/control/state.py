"""The replicated state: configuration, nodes, cells, claims and results of commands.

Applying a log entry depends only on that entry and the state, so every replica computes the same
state. Versions are log indexes: the version of a row is the index of the log entry that last
changed it, and the version of the configuration is the index of the latest change of any row.
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
from onyxfork.control.validate import build_row, find_dependent_row
from onyxfork.entities.catalogue import TABLES, Catalogue, Cell, Node
from onyxfork.messages.codec import structure, unpack, unstructure
from onyxfork.utils.ids import id_time_ms
from onyxfork.utils.packing import from_bytes, to_bytes

__all__ = ["ControlState", "RowVersion", "ClaimRecord", "RowChange", "COMMAND_RESULT_RETENTION_MS"]

COMMAND_RESULT_RETENTION_MS = 24 * 3600 * 1000
CLAIM_RETENTION_MS = 600 * 1000
MAX_ELAPSED_STEP_MS = 60 * 1000
LOST_NODE_RETENTION_MS = 600 * 1000
TAKEOVER_WINDOW_MS = 300 * 1000
MAX_RECENT_CHANGES = 4096
MAX_HISTORY_ROWS = 5000


@define
class RowVersion:
    """The latest change of a row.

    Parameters
    ----------
    version : int
        Index of the log entry.
    changed_by : str
        Name of the operator; ``onyxfork`` when no operator made the change.
    wall_ms : int
        Wall-clock time of the proposer in Unix milliseconds.
    """

    version: int
    changed_by: str
    wall_ms: int


@define
class ClaimRecord:
    """A claimed submission.

    Parameters
    ----------
    digest : str
        Digest of the submitted request, to detect another request under the same key.
    owner : str
        Name of the entry (a node) that holds the claim.
    epoch : int
        Epoch of the cell under which the owner holds the claim.
    log_ms : int
        Log time (see :class:`ControlState`) when the claim was granted.
    state, code : str
        ``running`` until the submission has ended, then its outcome.
    """

    digest: str
    owner: str
    epoch: int
    log_ms: int
    state: str = "running"
    code: str = "running"


@define
class RowChange:
    """The fields of a row as of a version; `row` is None when the row was deleted."""

    version: int
    table: str
    key: str
    row: list | None


@define(eq=False)
class ControlState:
    """The state machine of the replicated log.

    Attributes
    ----------
    catalogue : Catalogue
        Rows of the configuration.
    versions : dict
        Maps (table, key) of a row to its `RowVersion`.
    claims : OrderedDict
        Maps the identifier of a submission to its `ClaimRecord`, oldest claim first.
    command_results : OrderedDict
        Maps a command identifier to the wall-clock time of its proposal and its `ChangeResult`,
        oldest command first.
    history : deque of list
        Latest configuration changes, for operators.
    recent_changes : deque of RowChange
        Latest row changes. A follower that lacks only these is sent only these; any other one is
        sent all rows. Not part of a snapshot.
    applied : int
        Index of the last log entry applied.
    version : int
        Version of the configuration.
    log_ms : int
        Log time in milliseconds: the sum of the time that passed on the monotonic clocks of
        successive leaders. It never runs ahead of real time, and a step of a wall clock does not
        change it.
    claims_floor_ms, command_floor_ms : int
        Latest issue time of a claim or command whose record was dropped. An unknown key issued at
        or before it is refused, because its record may have been dropped.
    recent_floor_version : int
        Changes after this version are all in `recent_changes`.
    """

    catalogue: Catalogue = field(factory=Catalogue)
    versions: dict[tuple[str, str], RowVersion] = field(factory=dict)
    claims: OrderedDict = field(factory=OrderedDict)
    command_results: OrderedDict = field(factory=OrderedDict)
    history: deque = field(factory=lambda: deque(maxlen=MAX_HISTORY_ROWS))
    recent_changes: deque = field(factory=lambda: deque(maxlen=MAX_RECENT_CHANGES))
    applied: int = 0
    version: int = 0
    log_ms: int = 0
    claims_floor_ms: int = 0
    command_floor_ms: int = 0
    recent_floor_version: int = 0

    def apply(self, index, data):
        """Apply one command.

        Parameters
        ----------
        index : int
            Index of the log entry.
        data : bytes
            A message frame that holds one command.

        Returns
        -------
        ChangeResult
        """
        self.applied = index
        command = unpack(data)[0]
        return APPLY[type(command)](self, index, command)

    # Configuration

    def apply_change(self, index, command):
        """Apply a `Change` once for its identifier; a repeated one gets the first result."""
        recorded = self.command_results.get(command.command)
        if recorded is not None:
            return recorded[1]
        issued_ms = id_time_ms(command.command)
        expired_ms = max(command.wall_ms - COMMAND_RESULT_RETENTION_MS, self.command_floor_ms)
        if issued_ms is None or issued_ms <= expired_ms:
            reason = "the command identifier is not a version 7 UUID issued in the last 24 hours"
            return ChangeResult(False, code="expired", reason=reason, field_name="command")
        result = self.execute_change(index, command)
        self.command_results[command.command] = (command.wall_ms, result)
        self.drop_command_results(command.wall_ms - COMMAND_RESULT_RETENTION_MS)
        return result

    def execute_change(self, index, command):
        """Apply a change to its row, or return the reason for a refusal."""
        if command.table not in TABLES or command.table in ("node", "cell"):
            reason = f"there is no table {command.table!r} that can be changed"
            return ChangeResult(False, code="invalid", reason=reason, field_name="table")
        current = self.catalogue.tables[command.table].get(command.key)
        refusal = self.check_precondition(command, current)
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

    def check_precondition(self, command, current):
        """Return a refusal if the row is missing, exists already or has another version."""
        row_version = self.versions.get((command.table, command.key))
        version = row_version.version if row_version is not None else 0
        changed_by = row_version.changed_by if row_version is not None else ""
        if command.expected is not None and command.expected != version:
            reason = f"the row is at version {version}, not {command.expected}"
            return ChangeResult(False, version, "conflict", reason, "expected", changed_by)
        if current is None and command.action in ("alter", "delete"):
            reason = f"{command.table} {command.key} does not exist"
            return ChangeResult(False, version, "missing", reason, "key", changed_by)
        if current is not None and command.action == "create":
            reason = f"{command.table} {command.key} exists already"
            return ChangeResult(False, version, "exists", reason, "key", changed_by)
        return None

    def delete_row(self, index, command):
        """Delete a row unless another row depends on it."""
        dependent = find_dependent_row(self.catalogue, command.table, command.key)
        if dependent is not None:
            reason = f"{dependent} depends on it"
            return ChangeResult(False, code="invalid", reason=reason, field_name="key")
        self.set_row(index, command.table, command.key, None, command)
        return ChangeResult(True, version=index, changed_by=command.operator)

    def set_row(self, index, table, key, row, command=None):
        """Store a row, or delete it when `row` is None, and set its version to `index`.

        Adds the change to `recent_changes`, and to `history` when an operator made it.
        """
        changed_by = getattr(command, "operator", "onyxfork")
        self.catalogue.put(table, key, row)
        if row is None:
            self.versions.pop((table, key), None)
        else:
            self.versions[table, key] = RowVersion(index, changed_by, command.wall_ms)
        self.version = index
        fields = None if row is None else unstructure(row)
        if len(self.recent_changes) == MAX_RECENT_CHANGES:
            self.recent_floor_version = self.recent_changes[0].version
        self.recent_changes.append(RowChange(index, table, key, fields))
        if isinstance(command, Change):
            history_row = [
                index,
                command.wall_ms,
                changed_by,
                table,
                key,
                command.action,
                command.command,
            ]
            self.history.append(history_row)

    # Nodes and cells

    def apply_announce(self, index, command):
        """Store announced nodes; a stale announcement changes nothing.

        `restarted_ms` of a new incarnation is the latest time at which the former one may have
        begun tasks: when it was reported unreachable or, without such a report, when the new one
        was announced.
        """
        for fields in command.nodes:
            node = Node(**fields)
            current = self.catalogue.find("node", node.name)
            if not self.supersedes(current, node):
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
    def supersedes(current, node):
        """Return whether an announced node is newer than the stored one.

        A control instance announces a node as ``lost`` under the sequence number of the stored row.
        The announcement is stale if the node has announced itself since.
        """
        if current is None or current.incarnation != node.incarnation:
            return node.state == "serving"
        if current.state == "left":
            return False
        if node.state == "lost":
            return node.sequence == current.sequence and current.state != "lost"
        return node.sequence > current.sequence

    def drop_lost_nodes(self, index, command):
        """Delete nodes that left or were lost more than `LOST_NODE_RETENTION_MS` ago.

        Nothing queries the row of a departed node after that time.
        """
        oldest_kept_ms = command.wall_ms - LOST_NODE_RETENTION_MS
        for key, node in list(self.catalogue.tables["node"].items()):
            departed = node.state in ("left", "lost")
            if departed and self.versions["node", key].wall_ms < oldest_kept_ms:
                self.set_row(index, "node", key, None, command)

    def apply_assign(self, index, command):
        """Make an entry the owner of a cell unless another assignment was applied first.

        The epoch of the cell then differs from `former_epoch` of the proposal.
        """
        current = self.catalogue.find("cell", command.cell)
        epoch = current.epoch if current is not None else 0
        if epoch != command.former_epoch:
            return ChangeResult(False, code="conflict", reason=f"the cell is at epoch {epoch}")
        row = Cell(command.cell, command.owner, command.incarnation, epoch + 1)
        self.set_row(index, "cell", command.cell, row, command)
        return ChangeResult(True, version=index)

    def apply_note_reach(self, index, command):
        """Record the report of a cell's current owner on whether it can reach a worker."""
        cell = self.catalogue.find("cell", command.cell)
        node = self.catalogue.find("node", command.node)
        if cell is None or cell.epoch != command.epoch:
            return ChangeResult(False, code="conflict", reason="sent by a former owner of the cell")
        if node is None or node.incarnation != command.incarnation:
            return ChangeResult(False, code="missing", reason="the worker has no such incarnation")
        if command.order <= node.reach_order:
            return ChangeResult(False, code="conflict", reason="a later report is recorded")
        fields = {"unreachable_ms": command.unreachable_ms, "reach_order": command.order}
        self.set_row(index, "node", node.name, attrs.evolve(node, **fields), command)
        return ChangeResult(True, version=index)

    # Claims

    def apply_claim(self, index, command):
        """Grant a claim that is new, or a running one that its sender may take over.

        A claim of the same submission with another digest is refused as a conflict.
        """
        issued_ms = id_time_ms(command.key)
        claim = self.claims.get(command.key)
        if claim is None and (issued_ms is None or issued_ms <= self.claims_floor_ms):
            reason = "the submission identifier is older than the retention of claims"
            return ChangeResult(False, code="expired", reason=reason)
        if claim is None:
            self.claims[command.key] = ClaimRecord(
                command.digest, command.owner, command.epoch, self.log_ms
            )
            return ChangeResult(True, version=index)
        same_digest = claim.digest == command.digest
        if same_digest and claim.state == "running" and self.may_take_over(claim, command):
            claim.owner, claim.epoch = command.owner, command.epoch
            return ChangeResult(True, version=index, code="taken-over")
        code = "taken" if same_digest else "conflict"
        return ChangeResult(False, code=code, detail=attrs.asdict(claim))

    def may_take_over(self, claim, command):
        """Return whether the sender of a claim command may continue a running submission.

        The holder itself may, and so may the owner of a later epoch within `TAKEOVER_WINDOW_MS`:
        workers keep a record of started tasks for longer than that, so the later owner can ask
        them what has run.
        """
        if (claim.owner, claim.epoch) == (command.owner, command.epoch):
            return True
        within_window = self.log_ms - claim.log_ms < TAKEOVER_WINDOW_MS
        return within_window and command.epoch > claim.epoch

    def apply_settle(self, index, command):
        """Record the outcome of a claimed submission; a later outcome is ignored."""
        claim = self.claims.get(command.key)
        if claim is not None and claim.state == "running":
            claim.state, claim.code = command.state, command.code
        return ChangeResult(True, version=index)

    def apply_release(self, index, command):
        """Delete a running claim of the given epoch; no task of the submission has run."""
        claim = self.claims.get(command.key)
        if claim is not None and claim.state == "running" and claim.epoch == command.epoch:
            del self.claims[command.key]
        return ChangeResult(True, version=index)

    def apply_elapsed(self, index, command):
        """Advance the log time and drop claims older than `CLAIM_RETENTION_MS`.

        One command advances it by at most `MAX_ELAPSED_STEP_MS`. The keys of dropped claims are
        refused as expired from then on.
        """
        self.log_ms += max(0, min(command.ms, MAX_ELAPSED_STEP_MS))
        while self.claims:
            key, record = next(iter(self.claims.items()))
            if record.log_ms >= self.log_ms - CLAIM_RETENTION_MS:
                break
            del self.claims[key]
            self.claims_floor_ms = max(self.claims_floor_ms, id_time_ms(key))
        return ChangeResult(True, version=index)

    def drop_command_results(self, oldest_kept_ms):
        """Drop results of commands proposed before `oldest_kept_ms`."""
        while self.command_results:
            command, (wall_ms, _) = next(iter(self.command_results.items()))
            if wall_ms >= oldest_kept_ms:
                return
            del self.command_results[command]
            self.command_floor_ms = max(self.command_floor_ms, id_time_ms(command))

    # Snapshots and followers

    def to_snapshot(self):
        """Return the state as bytes, without the recent changes."""
        tables = {
            name: [[key, unstructure(row)] for key, row in rows.items()]
            for name, rows in self.catalogue.tables.items()
        }
        return to_bytes(
            [
                [self.applied, self.version, self.log_ms],
                [self.claims_floor_ms, self.command_floor_ms],
                tables,
                [[*key, unstructure(value)] for key, value in self.versions.items()],
                [[key, unstructure(value)] for key, value in self.claims.items()],
                [
                    [key, wall_ms, unstructure(value)]
                    for key, (wall_ms, value) in self.command_results.items()
                ],
                list(self.history),
            ]
        )

    @classmethod
    def from_snapshot(cls, data):
        """Return the state that :meth:`to_snapshot` encoded."""
        times, floors, tables, versions, claims, command_results, history = from_bytes(data)
        state = cls(
            applied=times[0], version=times[1], recent_floor_version=times[1], log_ms=times[2]
        )
        state.claims_floor_ms, state.command_floor_ms = floors
        for name, rows in tables.items():
            for key, fields in rows:
                state.catalogue.put(name, key, structure(fields, TABLES[name]))
        for table, key, value in versions:
            state.versions[table, key] = structure(value, RowVersion)
        for key, value in claims:
            state.claims[key] = structure(value, ClaimRecord)
        for key, wall_ms, value in command_results:
            state.command_results[key] = (wall_ms, structure(value, ChangeResult))
        state.history.extend(history)
        return state

    def changes_since(self, version, tables):
        """Return the row changes after `version`, or None when the follower needs all rows.

        Parameters
        ----------
        version : int
        tables : collection of str
            Tables that are sent to the follower.

        Returns
        -------
        list of RowChange or None
        """
        if version < self.recent_floor_version or version > self.version:
            return None
        changes = []
        for change in reversed(self.recent_changes):
            if change.version <= version:
                break
            if change.table in tables:
                changes.append(change)
        changes.reverse()
        return changes

    def all_rows(self, tables):
        """Return every row of the given tables as a `RowChange`."""
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
    NoteReach: ControlState.apply_note_reach,
}
