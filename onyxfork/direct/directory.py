"""The nodes connected to one control instance, and what has been sent to them.

An entry is sent only the agents that are assigned to it, and an agent no other nodes, so neither
the messages nor the memory of a node depend on the number of nodes.
"""

from attrs import define, field

from onyxfork.direct.documents import compress_document
from onyxfork.direct.evacuations import Evacuations
from onyxfork.direct.messages import (
    Directory,
    DirectoryNode,
    DocumentAnnounced,
    EvacuationsAnnounced,
)
from onyxfork.direct.subsets import SubsetTable

__all__ = ["NodeDirectory"]

PUSH_INTERVAL_S = 0.1
"""Changes of the directory within this interval are sent together."""

DISCONNECTED_RETENTION_S = 10.0
"""A disconnected node stays listed for this long: it may be unreachable from control only, and
nodes detect failures of their peers themselves."""


@define(eq=False)
class Follower:
    """A connected node.

    Parameters
    ----------
    node : DirectoryNode
    version : int
        Newest configuration version that it holds or was announced.
    labels : frozenset of str
        Labels of an agent's worker.
    wanted_labels : list of str
        Labels for which an entry lacks capacity.
    sent : Directory or None
        The latest directory that it was sent.
    evacuations_index : int
        Index of the latest list of evacuated zones that it was sent.
    """

    node: DirectoryNode
    version: int
    labels: frozenset = frozenset()
    wanted_labels: list = field(factory=list)
    sent: Directory | None = None
    evacuations_index: int = 0


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
    disconnected : dict of str to (float, Follower)
        Recently disconnected nodes, with the time in monotonic seconds.
    subsets : SubsetTable
        Assignment of agents to entries.
    sent_control : list of str
        Addresses of control instances in the latest directories.
    dirty : bool
        Whether the nodes have changed since the directories were sent.
    transfer : DocumentTransfer or None
        The latest configuration that was sent, reused for other nodes.
    evacuations : Evacuations
        The evacuated zones, whose agents are assigned to no entry.
    is_announcing : bool
        Whether configurations and evacuations are announced. An instance that has just started may
        not have applied its log yet; see `DocumentReplica.announce_once_current`.
    """

    interval_s = PUSH_INTERVAL_S

    def __init__(self, state, clock, control_addresses):
        self.state = state
        self.clock = clock
        self.control_addresses = control_addresses
        self.followers = {}
        self.disconnected = {}
        self.subsets = SubsetTable()
        self.sent_control = []
        self.dirty = False
        self.transfer = None
        self.is_announcing = True
        self.evacuations = Evacuations(clock)
        self.adopt_evacuations()

    def replace_state(self, state):
        """Replace the state after a snapshot has been installed."""
        self.state = state

    def register(self, connection, message):
        """Add or update a connected node; announce the configuration if its own is older."""
        peer = connection.peer
        node = DirectoryNode(peer.node, peer.role, peer.zone, message.address)
        former = self.followers.get(connection)
        follower = self.followers[connection] = Follower(
            node,
            message.version if former is None else max(message.version, former.version),
            frozenset(message.labels),
            message.wanted_labels,
            former.sent if former else None,
            former.evacuations_index if former else 0,
        )
        self.disconnected.pop(peer.node, None)
        self.announce(connection, follower)
        self.dirty = True

    def drop(self, connection):
        """Remove a closed connection; its node stays listed until it expires."""
        follower = self.followers.pop(connection, None)
        if follower is not None:
            self.disconnected[follower.node.node] = (self.clock.now(), follower)

    def flush(self):
        """Announce the configuration and the evacuated zones to every node that lacks them."""
        self.adopt_evacuations()
        for connection, follower in self.followers.items():
            self.announce(connection, follower)

    def announce(self, connection, follower):
        """Announce evacuated zones and configuration to a node that lacks them.

        The zones come first: a node that has received a configuration from here, with which it can
        accept jobs, has then received the evacuations too.
        """
        if not self.is_announcing:
            return
        if follower.evacuations_index < self.evacuations.index:
            follower.evacuations_index = self.evacuations.index
            self.evacuations.announce(connection)
        if follower.version < self.state.version:
            follower.version = self.state.version
            connection.send(DocumentAnnounced(self.state.version))

    def adopt_evacuations(self):
        """Take the evacuated zones from the replicated state."""
        message = EvacuationsAnnounced(
            self.state.evacuations_index, sorted(self.state.evacuated_zones)
        )
        if self.evacuations.adopt(message, "log"):
            self.dirty = True

    def start_announcing(self):
        """Announce the configuration and the evacuated zones from now on."""
        self.is_announcing = True
        self.flush()

    def send_document(self, connection):
        """Send the newest configuration to a node; it is compressed once for all nodes."""
        document = self.state.document
        if document is None:
            return
        if self.transfer is None or self.transfer.version != document.version:
            self.transfer = compress_document(document)
        connection.send(self.transfer)

    def send_updates(self, current):
        """Send each node its directory if that has changed.

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
        listed = self.list_nodes()
        self.update_subsets(listed)
        for connection, follower in self.followers.items():
            message = Directory(self.assigned_agents(follower, listed), control)
            if message != follower.sent:
                follower.sent = message
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

    def list_nodes(self):
        """Return the connected and the recently disconnected nodes by name."""
        listed = {name: follower for name, (_, follower) in self.disconnected.items()}
        listed.update({follower.node.node: follower for follower in self.followers.values()})
        return listed

    def update_subsets(self, listed):
        """Pass the listed entries and agents to the table of subsets.

        Agents of evacuated zones are left out, so that entries are assigned others in their place.
        """
        entry_zones, agent_zones, agent_labels = {}, {}, {}
        for name, known in listed.items():
            if known.node.role == "entry":
                entry_zones[name] = known.node.zone
            elif known.node.role == "agent" and known.node.zone not in self.evacuations.zones:
                agent_zones[name] = known.node.zone
                agent_labels[name] = known.labels
        self.subsets.update(entry_zones, agent_zones, agent_labels)

    def assigned_agents(self, follower, listed):
        """Return the agents that a node should connect to: none unless it is an entry."""
        if follower.node.role != "entry":
            return []
        names = self.subsets.agents_for(follower.node.node, follower.wanted_labels)
        return [listed[name].node for name in sorted(names)]
