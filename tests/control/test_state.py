"""The replicated state applies commands once and refuses wrong, stale and repeated ones."""

from onyxfork.control.commands import (
    Announce,
    AssignCell,
    Change,
    Claim,
    Elapsed,
    NoteReach,
    ReleaseClaim,
    SettleClaim,
)
from onyxfork.control.state import ControlState
from onyxfork.messages import pack
from onyxfork.utils import new_id

WALL_MS = 1_700_000_000_000


class Log:
    """Applies commands in order, each at the next index."""

    def __init__(self):
        self.state = ControlState()
        self.index = 0

    def apply(self, command):
        self.index += 1
        return self.state.apply(self.index, pack([command]))

    def change(self, table, key, action, fields=None, expected=None, command=None):
        command = command or new_id(WALL_MS)
        return self.apply(
            Change(command, "anna", WALL_MS, table, key, action, fields or {}, expected)
        )


def log_with_job():
    log = Log()
    log.change("organisation", "o", "create")
    log.change("service", "o/s", "create")
    log.change("job", "o/s/j", "create", {"urgency": "urgent"})
    return log


def test_repeated_command_gets_the_first_result():
    log = log_with_job()
    command = new_id(WALL_MS)
    first = log.change("job", "o/s/j", "alter", {"max_running": 5}, command=command)
    log.change("job", "o/s/j", "alter", {"max_running": 6})
    repeated = log.change("job", "o/s/j", "alter", {"max_running": 5}, command=command)
    assert repeated == first
    assert log.state.catalogue.find("job", "o/s/j").max_running == 6


def test_only_one_of_two_changes_to_the_same_version_is_accepted():
    log = log_with_job()
    version = log.state.versions["job", "o/s/j"].version
    accepted = log.change("job", "o/s/j", "alter", {"max_running": 5}, expected=version)
    refused = log.change("job", "o/s/j", "alter", {"max_running": 6}, expected=version)
    assert accepted.accepted and not refused.accepted
    assert (refused.code, refused.version, refused.changed_by) == (
        "conflict",
        accepted.version,
        "anna",
    )


def test_refusal_names_the_field():
    log = log_with_job()
    for fields, name in (
        ({"urgency": "soon"}, "urgency"),
        ({"max_tasks": 121}, "max_tasks"),
        ({"max_running": "many"}, "max_running"),
        ({"colour": "red"}, "colour"),
    ):
        result = log.change("job", "o/s/j", "alter", fields)
        assert (result.accepted, result.field_name) == (False, name)


def test_parent_must_exist_and_is_not_deleted_before_its_children():
    log = log_with_job()
    assert log.change("job", "o/x/j", "create").field_name == "service"
    assert "depends on it" in log.change("service", "o/s", "delete").reason


def test_old_command_identifier_is_refused():
    log = log_with_job()
    old_id = new_id(WALL_MS - 25 * 3600 * 1000)
    assert log.change("job", "o/s/j", "alter", {"max_running": 5}, command=old_id).code == "expired"


def test_snapshot_restores_the_same_state():
    log = log_with_job()
    log.apply(Claim(WALL_MS, new_id(WALL_MS), "d", "e1", 1))
    snapshot = log.state.to_snapshot()
    restored = ControlState.from_snapshot(snapshot)
    assert restored.to_snapshot() == snapshot
    assert restored.catalogue.tables == log.state.catalogue.tables


def test_claim_is_granted_once_until_it_is_released():
    log = Log()
    key = new_id(WALL_MS)
    assert log.apply(Claim(WALL_MS, key, "d", "e1", 1)).accepted
    assert log.apply(Claim(WALL_MS, key, "other", "e2", 1)).code == "conflict"
    assert log.apply(Claim(WALL_MS, key, "d", "e2", 1)).code == "taken"
    log.apply(ReleaseClaim(WALL_MS, key, 1))
    assert log.apply(Claim(WALL_MS, key, "d", "e2", 1)).accepted
    log.apply(SettleClaim(WALL_MS, key, "complete", "complete"))
    refused = log.apply(Claim(WALL_MS, key, "d", "e3", 9))
    assert (refused.code, refused.detail["state"]) == ("taken", "complete")


def test_expired_claim_key_is_never_granted_again():
    log = Log()
    key = new_id(WALL_MS)
    log.apply(Claim(WALL_MS, key, "d", "e1", 1))
    for _ in range(11):
        log.apply(Elapsed(60_000))
    assert not log.state.claims
    assert log.apply(Claim(WALL_MS, key, "d", "e2", 2)).code == "expired"
    restored = ControlState.from_snapshot(log.state.to_snapshot())
    assert restored.claims_floor_ms == log.state.claims_floor_ms


def test_wall_clock_step_of_a_proposer_drops_no_claim():
    log = Log()
    key, other = new_id(WALL_MS), new_id(WALL_MS + 1)
    log.apply(Claim(WALL_MS, key, "d", "e1", 1))
    log.apply(Claim(WALL_MS + 10**9, other, "d", "e2", 1))
    assert log.apply(Claim(WALL_MS, key, "d", "e3", 1)).code == "taken"


def node(**changes):
    fields = {"name": "w", "role": "agent", "host": "127.0.0.1", "port": 1, "zone": "z"}
    return {**fields, "incarnation": "a", "sequence": 1, **changes}


def test_stale_announcement_does_not_revive_a_node():
    log = Log()
    log.apply(Announce(WALL_MS, [node()]))
    log.apply(Announce(WALL_MS, [node(state="left", sequence=3)]))
    log.apply(Announce(WALL_MS, [node(sequence=2)]))
    log.apply(Announce(WALL_MS, [node(sequence=9)]))
    assert log.state.catalogue.find("node", "w").state == "left"
    log.apply(Announce(WALL_MS, [node(incarnation="b")]))
    assert log.state.catalogue.find("node", "w").state == "serving"


def note_reach(unreachable_ms, order, epoch=1, incarnation="a"):
    return NoteReach(WALL_MS, "cell-0", epoch, "w", incarnation, unreachable_ms, order)


def test_reports_on_a_worker_count_in_order_and_from_the_current_owner():
    log = Log()
    log.apply(Announce(WALL_MS, [node()]))
    log.apply(AssignCell(WALL_MS, "cell-0", "e1", "x", 0))
    assert log.apply(note_reach(77, 5)).accepted
    assert log.apply(note_reach(0, 6)).accepted
    assert log.apply(note_reach(88, 5)).code == "conflict"
    assert log.apply(note_reach(99, 7, epoch=9)).code == "conflict"
    assert log.apply(note_reach(99, 7, incarnation="z")).code == "missing"
    assert log.state.catalogue.find("node", "w").unreachable_ms == 0
    log.apply(note_reach(55, 8))
    log.apply(Announce(WALL_MS, [node(incarnation="b")]))
    row = log.state.catalogue.find("node", "w")
    assert (row.restarted_ms, row.unreachable_ms) == (55, 0)


def test_follower_gets_changed_rows_or_all_rows():
    log = log_with_job()
    version = log.state.version
    log.change("job", "o/s/j", "alter", {"max_running": 7})
    changes = log.state.changes_since(version, ("job",))
    assert [(change.key, change.version) for change in changes] == [("o/s/j", log.index)]
    restored = ControlState.from_snapshot(log.state.to_snapshot())
    assert restored.changes_since(version, ("job",)) is None
    assert len(restored.all_rows(("job", "service"))) == 2
