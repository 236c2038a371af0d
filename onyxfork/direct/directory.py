"""Nodes that are connected to one control instance: who they are, and what they have been sent."""

from attrs import define

from onyxfork.direct.documents import compress_document
from onyxfork.direct.messages import Directory, DirectoryNode, DocumentAnnounced

__all__ = ["NodeDirectory"]

PUSH_INTERVAL_S = 0.1
"""Changes of the directory within this time leave as one."""

DISCONNECTED_RETENTION_S = 10.0
"""A node whose connection has ended stays listed this long: it may be out of reach of control
alone, and nodes find out for themselves who is alive."""


@define(eq=False)
class Follower:
    """A connected node and the newest configuration that it holds or has been told of."""

    node: DirectoryNode
    version: int


class NodeDirectory:
    """Feeds the nodes that are connected to this control instance.

    Parameters
    ----------
    state : DocumentState
    clock : Clock
    control_addresses : callable
        Returns the addresses of all control instances.
    """

    interval_s = PUSH_INTERVAL_S

    def __init__(self, state, clock, control_addresses):
        self.state = state
        self.clock = clock
        self.control_addresses = control_addresses
        self.followers = {}
        self.disconnected = {}
        self.sent_control = []
        self.dirty = False
        self.transfer = None

    def replace_state(self, state):
        """Go on with a state that came as a snapshot."""
        self.state = state

    def register(self, connection, message):
        """Feed a node from now on."""
        peer = connection.peer
        node = DirectoryNode(peer.node, peer.role, peer.zone, message.address)
        follower = self.followers[connection] = Follower(node, message.version)
        self.disconnected.pop(peer.node, None)
        self.announce(connection, follower)
        connection.send(self.make_directory())
        self.dirty = True

    def drop(self, connection):
        """Note that a connection has ended."""
        follower = self.followers.pop(connection, None)
        if follower is not None:
            self.disconnected[follower.node.node] = (self.clock.now(), follower.node)

    def flush(self):
        """Announce the configuration to every node that has not heard of it."""
        for connection, follower in self.followers.items():
            self.announce(connection, follower)

    def announce(self, connection, follower):
        """Announce the configuration to one node unless it has heard of it."""
        if follower.version < self.state.version:
            follower.version = self.state.version
            connection.send(DocumentAnnounced(self.state.version))

    def send_document(self, connection):
        """Send a node the newest configuration, compressed once for all."""
        document = self.state.document
        if document is None:
            return
        if self.transfer is None or self.transfer.version != document.version:
            self.transfer = compress_document(document)
        connection.send(self.transfer)

    def send_updates(self, current):
        """Send the directory after a change."""
        self.drop_expired_nodes()
        control = self.control_addresses()
        if not self.dirty and control == self.sent_control:
            return
        self.dirty = False
        self.sent_control = control
        message = self.make_directory()
        for connection in self.followers:
            connection.send(message)

    def drop_expired_nodes(self):
        """Forget nodes that have been away for long."""
        now = self.clock.now()
        for name, (gone_at, _) in list(self.disconnected.items()):
            if now - gone_at > DISCONNECTED_RETENTION_S:
                del self.disconnected[name]
                self.dirty = True

    def find_lost(self, lost_after_s):
        """Return None: the log does not hold nodes."""
        return None

    def make_directory(self):
        """Return the nodes known here and the control instances."""
        nodes = {node.node: node for _, node in self.disconnected.values()}
        nodes.update({follower.node.node: follower.node for follower in self.followers.values()})
        return Directory(list(nodes.values()), self.control_addresses())
