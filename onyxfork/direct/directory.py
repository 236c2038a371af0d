"""The nodes connected to one control instance, and what has been sent to them."""

from attrs import define

from onyxfork.direct.documents import compress_document
from onyxfork.direct.messages import Directory, DirectoryNode, DocumentAnnounced

__all__ = ["NodeDirectory"]

PUSH_INTERVAL_S = 0.1
"""Changes of the directory within this interval are sent together."""

DISCONNECTED_RETENTION_S = 10.0
"""A disconnected node stays listed for this long: it may be unreachable from control only, and
nodes detect failures of their peers themselves."""


@define(eq=False)
class Follower:
    """A connected node and the newest configuration version that it holds or was announced."""

    node: DirectoryNode
    version: int


class NodeDirectory:
    """Sends the directory and announces configurations to the nodes connected to this instance.

    Parameters
    ----------
    state : DocumentState
    clock : Clock
    control_addresses : callable
        Returns the addresses of all control instances.

    Attributes
    ----------
    followers : dict of Connection to Follower
        Connected nodes.
    disconnected : dict of str to (float, DirectoryNode)
        Recently disconnected nodes, with the time in monotonic seconds.
    sent_control : list of str
        Addresses of control instances in the latest directory.
    dirty : bool
        Whether the directory has changed since it was sent.
    transfer : DocumentTransfer or None
        The latest configuration that was sent, reused for other nodes.
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
        """Replace the state after a snapshot has been installed."""
        self.state = state

    def register(self, connection, message):
        """Add a connected node and send it the directory and the configuration's version."""
        peer = connection.peer
        node = DirectoryNode(peer.node, peer.role, peer.zone, message.address)
        follower = self.followers[connection] = Follower(node, message.version)
        self.disconnected.pop(peer.node, None)
        self.announce(connection, follower)
        connection.send(self.make_directory())
        self.dirty = True

    def drop(self, connection):
        """Remove a closed connection; its node stays listed until it expires."""
        follower = self.followers.pop(connection, None)
        if follower is not None:
            self.disconnected[follower.node.node] = (self.clock.now(), follower.node)

    def flush(self):
        """Announce the configuration to every node that neither holds it nor was announced it."""
        for connection, follower in self.followers.items():
            self.announce(connection, follower)

    def announce(self, connection, follower):
        """Announce the configuration to a node that neither holds it nor was announced it."""
        if follower.version < self.state.version:
            follower.version = self.state.version
            connection.send(DocumentAnnounced(self.state.version))

    def send_document(self, connection):
        """Send the newest configuration to a node; it is compressed once for all nodes."""
        document = self.state.document
        if document is None:
            return
        if self.transfer is None or self.transfer.version != document.version:
            self.transfer = compress_document(document)
        connection.send(self.transfer)

    def send_updates(self, current):
        """Send the directory to all nodes if it has changed.

        Parameters
        ----------
        current : bool
            Not used here.
        """
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
        """Drop nodes that have been disconnected for longer than `DISCONNECTED_RETENTION_S`."""
        now = self.clock.now()
        for name, (disconnected_at, _) in list(self.disconnected.items()):
            if now - disconnected_at > DISCONNECTED_RETENTION_S:
                del self.disconnected[name]
                self.dirty = True

    def find_lost(self, lost_after_s):
        """Return None: the replicated state holds no nodes that could be lost."""
        return None

    def make_directory(self):
        """Return the `Directory` of the nodes listed here and the control instances."""
        nodes = {node.node: node for _, node in self.disconnected.values()}
        nodes.update({follower.node.node: follower.node for follower in self.followers.values()})
        return Directory(list(nodes.values()), self.control_addresses())
