"""The configuration and directory that a node keeps from its control instances."""

from onyxfork.addresses import Address
from onyxfork.direct.documents import compress_document
from onyxfork.direct.links import NODE_EXPIRY_S, ControlLinks
from onyxfork.direct.messages import ConfigurationDocument, Directory, DirectoryNode
from onyxfork.direct.settings import DirectSettings
from onyxfork.direct.telemetry import Telemetry
from onyxfork.utils import FakeClock


def make_links():
    settings = DirectSettings("e1", "a", "test", Address("127.0.0.1", 0), [Address("10.0.0.1", 1)])
    clock = FakeClock(100.0)
    return ControlLinks(settings, clock, None, Telemetry("entry", "e1", "a")), clock


def node(name):
    return DirectoryNode(name, "agent", "a", "10.0.0.9:2")


def test_configuration_version_never_decreases_whichever_instance_sends_it():
    links, _ = make_links()
    adopted = []
    links.document_listeners.append(lambda document: adopted.append(document.version))
    for address, version in (("a", 3), ("b", 5), ("a", 4), ("b", 5), ("a", 6)):
        links.on_control_message(address, compress_document(ConfigurationDocument(version, b"{}")))
    assert adopted == [3, 5, 6]


def test_control_instances_are_learned_in_addition_to_the_settings():
    links, _ = make_links()
    links.on_control_message("10.0.0.1:1", Directory([], ["10.0.0.1:1", "10.0.0.7:1"]))
    assert links.control_addresses() == {"10.0.0.1:1", "10.0.0.7:1"}
    links.settings.control = [Address("10.0.0.8", 1)]
    assert "10.0.0.8:1" in links.control_addresses()


def test_nodes_are_kept_while_control_is_unreachable():
    links, clock = make_links()
    links.on_control_message("c1", Directory([node("s1"), node("s2")], ["c1"]))
    links.directories.clear()
    clock.advance(10 * NODE_EXPIRY_S)
    links.drop_expired_nodes()
    assert len(links.nodes_with_role("agent")) == 2


def test_node_that_is_no_longer_listed_expires():
    links, clock = make_links()
    links.connections["c1"] = object()
    links.on_control_message("c1", Directory([node("s1"), node("s2")], ["c1"]))
    links.on_control_message("c1", Directory([node("s1")], ["c1"]))
    clock.advance(NODE_EXPIRY_S + 1)
    links.drop_expired_nodes()
    assert [known.node for known in links.nodes_with_role("agent")] == ["s1"]


def test_agent_that_announces_itself_is_added():
    links, _ = make_links()
    changes = []
    links.directory_listeners.append(lambda: changes.append(1))
    links.add_announced_node(node("s3"))
    assert [known.node for known in links.nodes_with_role("agent")] == ["s3"] and changes == [1]
