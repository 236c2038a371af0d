"""Evacuated zones: replicated, announced, and enforced by agents and entries."""

import sys
from pathlib import Path
from types import SimpleNamespace

import pytest

sys.path.insert(0, str(Path(__file__).parent))
from builders import (  # noqa: E402
    make_dispatcher,
    make_event,
    make_order,
    make_request,
    make_worker,
    take_orders,
)

from onyxfork.direct.arbiter import Arbiter  # noqa: E402
from onyxfork.direct.control_state import Configure, DocumentState, SetEvacuation  # noqa: E402
from onyxfork.direct.directory import NodeDirectory  # noqa: E402
from onyxfork.direct.evacuations import Evacuations  # noqa: E402
from onyxfork.direct.messages import (  # noqa: E402
    ConfigurationDocument,
    Directory,
    DocumentAnnounced,
    EvacuationsAnnounced,
    Register,
)
from onyxfork.messages import pack  # noqa: E402
from onyxfork.utils import FakeClock  # noqa: E402
from onyxfork.utils.packing import to_bytes  # noqa: E402


def set_evacuation(state, index, zone="a", evacuated=True, seen=None):
    seen = state.evacuation_request_index if seen is None else seen
    return state.apply(index, pack([SetEvacuation(zone, evacuated, seen)]))


# Replicated state


def test_repeated_requests_change_nothing():
    state = DocumentState()
    assert set_evacuation(state, 5).accepted
    assert set_evacuation(state, 6).accepted
    assert (state.evacuated_zones, state.evacuations_index) == ({"a"}, 5)
    assert set_evacuation(state, 7, evacuated=False).accepted
    assert set_evacuation(state, 8, evacuated=False).accepted
    assert (state.evacuated_zones, state.evacuations_index) == (frozenset(), 7)


# Guards against a request of a slow instance that is applied after its operator has given it up and
# got the opposite acknowledged elsewhere.
@pytest.mark.parametrize("acknowledged", [True, False])
def test_delayed_copy_does_not_revert_a_later_request(acknowledged):
    state = DocumentState()
    set_evacuation(state, 3, evacuated=acknowledged)
    set_evacuation(state, 4, evacuated=acknowledged)
    result = set_evacuation(state, 5, evacuated=not acknowledged, seen=3)
    assert (result.accepted, result.code, result.version) == (False, "conflict", 4)
    assert state.evacuated_zones == ({"a"} if acknowledged else frozenset())


def test_of_two_racing_operators_the_later_in_the_log_prevails():
    state = DocumentState()
    assert set_evacuation(state, 3, evacuated=True, seen=0).accepted
    conflict = set_evacuation(state, 4, evacuated=False, seen=0)
    assert set_evacuation(state, 5, evacuated=False, seen=conflict.version).accepted
    assert (state.evacuated_zones, state.evacuations_index) == (frozenset(), 5)


def test_snapshot_holds_evacuations_and_old_snapshots_load():
    state = DocumentState()
    state.apply(1, pack([Configure(9, b"body")]))
    set_evacuation(state, 4, "b")
    set_evacuation(state, 5, "a")
    set_evacuation(state, 6, "a")
    restored = DocumentState.from_snapshot(state.to_snapshot())
    for name in ("applied", "document", "evacuated_zones", "evacuations_index"):
        assert getattr(restored, name) == getattr(state, name)
    assert restored.evacuation_request_index == 6
    old = DocumentState.from_snapshot(to_bytes([7, 9, b"body"]))
    assert (old.applied, old.version) == (7, 9)
    assert (old.evacuated_zones, old.evacuations_index) == (frozenset(), 0)


# Distribution


def test_only_a_higher_index_is_adopted():
    evacuations = Evacuations(FakeClock())
    adopted = [
        evacuations.adopt(EvacuationsAnnounced(index, zones), "c1")
        for index, zones in ((4, ["a"]), (3, []), (4, []), (9, ["a", "b"]), (4, ["a"]))
    ]
    assert adopted == [True, False, False, True, False]
    assert (evacuations.index, evacuations.zones) == (9, {"a", "b"})


def test_announcement_tells_how_long_ago_the_change_was():
    clock = FakeClock(100.0)
    evacuations, connection = Evacuations(clock), StandInConnection("s1")
    evacuations.announce(connection)
    evacuations.adopt(EvacuationsAnnounced(4, ["a"], 500.0), "c1")
    clock.advance(2)
    evacuations.announce(connection)
    assert connection.sent == [EvacuationsAnnounced(4, ["a"], 2500.0)]


class StandInConnection:
    def __init__(self, node, role="agent", zone="a"):
        self.peer = SimpleNamespace(node=node, role=role, zone=zone)
        self.sent = []

    def send(self, message):
        self.sent.append(message)

    def take(self, kind):
        taken = [item for item in self.sent if isinstance(item, kind)]
        self.sent.clear()
        return taken


def make_directory():
    state = DocumentState(1, ConfigurationDocument(2, b"{}"))
    return NodeDirectory(state, FakeClock(), lambda: ["c1"]), state


def test_nodes_get_the_list_on_registration_and_on_change():
    directory, state = make_directory()
    node = StandInConnection("s1")
    directory.register(node, Register("h:1", 2))
    assert node.take(EvacuationsAnnounced) == []
    set_evacuation(state, 5)
    directory.flush()
    directory.flush()
    directory.register(node, Register("h:1", 2))
    assert [item.index for item in node.take(EvacuationsAnnounced)] == [5]
    other = StandInConnection("s2")
    directory.register(other, Register("h:2", 0))
    assert [type(item) for item in other.sent] == [EvacuationsAnnounced, DocumentAnnounced]


def test_snapshot_with_a_change_is_announced():
    directory, state = make_directory()
    node = StandInConnection("s1")
    directory.register(node, Register("h:1", 2))
    set_evacuation(state, 5)
    directory.replace_state(DocumentState.from_snapshot(state.to_snapshot()))
    directory.flush()
    assert [item.zones for item in node.take(EvacuationsAnnounced)] == [["a"]]


# Guards against a restart of everything after which nodes get the configuration of an old snapshot
# and start tasks before the log with the evacuation has been applied.
def test_instance_that_may_be_outdated_announces_nothing():
    directory, state = make_directory()
    directory.is_announcing = False
    node = StandInConnection("s1")
    directory.register(node, Register("h:1"))
    directory.flush()
    assert node.sent == []
    set_evacuation(state, 5)
    directory.start_announcing()
    assert [type(item) for item in node.sent] == [EvacuationsAnnounced, DocumentAnnounced]


def test_agents_of_an_evacuated_zone_are_assigned_to_no_entry():
    directory, state = make_directory()
    entry = StandInConnection("e1", "entry")
    directory.register(entry, Register("h:1"))
    for number in range(8):
        zone = "ab"[number % 2]
        node = StandInConnection(f"{zone}{number}", "agent", zone)
        directory.register(node, Register(f"h:{number}"))

    def assigned_zones():
        directory.send_updates(True)
        return [{node.zone for node in item.nodes} for item in entry.take(Directory)]

    assert assigned_zones() == [{"a", "b"}]
    set_evacuation(state, 5)
    directory.flush()
    assert assigned_zones() == [{"b"}]
    set_evacuation(state, 6, evacuated=False)
    directory.flush()
    assert assigned_zones() == [{"a", "b"}]


# Enforcement


def make_arbiter(cpu=1000):
    arbiter = Arbiter()
    arbiter.apply_worker_report(make_worker(cpu=cpu), 0.0)
    arbiter.on_renewal_answered(0.0)
    return arbiter, arbiter.connect("e1", "i", object())


def test_agent_returns_queued_runs_refuses_orders_and_lets_runs_end():
    arbiter, session = make_arbiter()
    arbiter.place(session, [make_order(index=index) for index in range(2)], 0.0)
    arbiter.schedule(0.0)
    running = arbiter.starts.pop()
    arbiter.on_start_reply(running, "started", 0.0)
    session.events.clear()
    arbiter.set_evacuated(True, 0.1)
    assert [(event.kind, event.reason) for event in session.events] == [("returned", "evacuated")]
    assert arbiter.status(session, 0.1).state == "evacuated"
    arbiter.place(session, [make_order(index=2)], 0.2)
    arbiter.schedule(0.2)
    assert session.events[-1].reason == "evacuated" and not arbiter.starts
    arbiter.apply_ended_runs([(running.order.ref, "done")], 0.3)
    assert session.events[-1].kind == "done"
    arbiter.set_evacuated(False, 0.4)
    arbiter.place(session, [make_order(index=3)], 0.4)
    arbiter.schedule(0.4)
    assert arbiter.state == "ready" and len(arbiter.starts) == 1


def test_new_lifetime_of_a_worker_in_an_evacuated_zone_starts_nothing():
    arbiter, session = make_arbiter()
    arbiter.set_evacuated(True, 0.0)
    arbiter.apply_worker_report(make_worker(born_ms=2, id="w2"), 1.0)
    arbiter.place(session, [make_order()], 1.0)
    arbiter.schedule(1.0)
    assert arbiter.state == "evacuated" and not arbiter.starts


# Guards against orders to agents that are cut off from control and still report themselves ready.
def test_entry_that_alone_knows_of_the_evacuation_uses_other_zones():
    dispatcher = make_dispatcher(("s1",))
    dispatcher.on_connected("s2", "b")
    dispatcher.on_status("s2", dispatcher.workers["s1"].status, 0.0)
    dispatcher.set_evacuated_zones(frozenset({"b"}), 0.0)
    dispatcher.submit(make_request(tasks=6), 0.0)
    assert {agent: len(orders) for agent, orders in take_orders(dispatcher).items()} == {"s1": 4}
    dispatcher.on_connected("s3", "b")
    dispatcher.on_status("s3", dispatcher.workers["s1"].status, 0.0)
    assert not take_orders(dispatcher)
    dispatcher.set_evacuated_zones(frozenset(), 0.1)
    assert sum(map(len, take_orders(dispatcher).values())) == 2


def test_run_returned_because_of_an_evacuation_is_placed_elsewhere():
    dispatcher = make_dispatcher(("s1",))
    dispatcher.submit(make_request(tasks=1), 0.0)
    order = take_orders(dispatcher)["s1"][0]
    dispatcher.on_connected("s2", "b")
    dispatcher.on_status("s2", dispatcher.workers["s1"].status, 0.0)
    dispatcher.set_evacuated_zones(frozenset({"a"}), 0.1)
    dispatcher.on_events("s1", [make_event(order, "returned", "evacuated")], 0.1)
    assert list(take_orders(dispatcher)) == ["s2"]
