"""The replicated configuration, of which the highest version wins, and the directory of nodes."""

from types import SimpleNamespace

from onyxfork.direct.control_state import Configure, DocumentState
from onyxfork.direct.directory import DISCONNECTED_RETENTION_S, NodeDirectory
from onyxfork.direct.documents import decompress_document
from onyxfork.direct.messages import (
    ConfigurationDocument,
    Directory,
    DocumentAnnounced,
    DocumentTransfer,
    Register,
)
from onyxfork.messages import pack
from onyxfork.utils import FakeClock


def apply(state, index, version, body=b"{}"):
    return state.apply(index, pack([Configure(version, body)]))


def test_highest_version_wins_in_any_order_and_with_repetitions():
    state = DocumentState()
    for index, version in enumerate([3, 7, 5, 7, 3], start=1):
        result = apply(state, index, version, str(version).encode())
        assert result.accepted
    assert (state.version, state.document.body, state.applied) == (7, b"7", 5)


def test_other_content_with_the_same_version_is_ignored():
    state = DocumentState()
    apply(state, 1, 7, b"first")
    assert apply(state, 2, 7, b"second").version == 7
    assert state.document.body == b"first"


def test_snapshot_holds_the_document():
    state = DocumentState()
    assert DocumentState.from_snapshot(state.to_snapshot()).document is None
    apply(state, 4, 9, b"body")
    restored = DocumentState.from_snapshot(state.to_snapshot())
    assert (restored.applied, restored.document) == (4, ConfigurationDocument(9, b"body"))


class StandInConnection:
    def __init__(self, node, role="agent"):
        self.peer = SimpleNamespace(node=node, role=role, zone="a")
        self.sent = []

    def send(self, message):
        self.sent.append(message)


def make_directory(version=2):
    state = DocumentState(1, ConfigurationDocument(version, b"{}"))
    clock = FakeClock()
    return NodeDirectory(state, clock, lambda: ["10.0.0.1:1"]), state, clock


def announced(connection):
    return [item.version for item in connection.sent if isinstance(item, DocumentAnnounced)]


def test_configuration_is_announced_only_to_nodes_with_an_older_one():
    directory, state, _ = make_directory()
    old, current = StandInConnection("s1"), StandInConnection("s2")
    directory.register(old, Register("10.0.0.5:2", 1))
    directory.register(current, Register("10.0.0.6:2", 2))
    assert (announced(old), announced(current)) == ([2], [])
    state.document = ConfigurationDocument(4, b"{}")
    directory.flush()
    directory.flush()
    assert (announced(old), announced(current)) == ([2, 4], [4])
    assert not any(isinstance(item, DocumentTransfer) for item in old.sent + current.sent)


def test_fetch_returns_the_newest_configuration():
    directory, state, _ = make_directory()
    node = StandInConnection("s1")
    directory.register(node, Register("10.0.0.5:2", 0))
    for version in (3, 4):
        state.document = ConfigurationDocument(version, b"body %d" % version)
        directory.send_document(node)
    transfers = [item for item in node.sent if isinstance(item, DocumentTransfer)]
    assert [decompress_document(item).body for item in transfers] == [b"body 3", b"body 4"]


def test_fetch_without_a_configuration_is_not_answered():
    directory, state, _ = make_directory()
    state.document = None
    node = StandInConnection("s1")
    directory.send_document(node)
    assert node.sent == []


def names(connection):
    directories = [item for item in connection.sent if isinstance(item, Directory)]
    return [sorted(node.node for node in item.nodes) for item in directories]


def test_directory_changes_are_sent_together_and_disconnected_nodes_stay_listed():
    directory, _, clock = make_directory()
    first, second = StandInConnection("e1", "entry"), StandInConnection("s1")
    directory.register(first, Register("10.0.0.5:3"))
    directory.register(second, Register("10.0.0.6:2"))
    directory.send_updates(True)
    directory.send_updates(True)
    assert names(first) == [["s1"]]
    assert names(second) == [[]]
    directory.drop(second)
    clock.advance(DISCONNECTED_RETENTION_S - 1)
    directory.send_updates(True)
    assert names(first) == [["s1"]]
    clock.advance(2)
    directory.send_updates(True)
    assert names(first) == [["s1"], []]
