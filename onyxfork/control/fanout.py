"""Fan-out of the configuration to the nodes that follow one control instance.

Each node follows one instance, so the instances share the cost of sending a change. Each follower
is sent a changed row once, together with the other rows changed by the same batch of log entries. A
follower that lacks only recent changes gets the changed rows; any other one gets all rows.
"""

from attrs import asdict, define, evolve

from onyxfork.control.commands import Announce
from onyxfork.control.feed import TABLES_BY_ROLE, Rows, Version

__all__ = ["Fanout", "Follower"]

HEARTBEAT_INTERVAL_S = 1.0


@define(eq=False)
class Follower:
    """A node that follows this instance.

    Parameters
    ----------
    connection : Connection
    tables : tuple of str
        Tables that the node's role needs.
    sent : int
        Version up to which rows were sent.
    in_force : int
        Version that the node reports as in force.
    """

    connection: object
    tables: tuple
    sent: int = 0
    in_force: int = 0

    @property
    def node(self):
        """The node's name."""
        return self.connection.peer.node


class Fanout:
    """Sends the configuration to the followers of one instance and detects lost nodes.

    Parameters
    ----------
    state : ControlState
    node : str
        Name of this instance.
    clock : Clock
    """

    interval_s = HEARTBEAT_INTERVAL_S

    def __init__(self, state, node, clock):
        self.state = state
        self.node = node
        self.clock = clock
        self.followers = {}
        self.disconnected = {}
        self.orphans_checked_at = clock.now()

    def replace_state(self, state):
        """Use another state, loaded from a snapshot, from now on."""
        self.state = state

    def add_follower(self, connection, message, current):
        """Add a node as a follower and send it the rows it lacks.

        Parameters
        ----------
        connection : Connection
        message : Follow
        current : bool
            Whether this instance has contact with a quorum.
        """
        tables = TABLES_BY_ROLE.get(connection.peer.role, ())
        follower = Follower(connection, tables, sent=message.version, in_force=message.version)
        self.followers[connection] = follower
        self.disconnected.pop(connection.peer.node, None)
        if message.version < self.state.version or not message.version:
            self.send_rows(follower)
        connection.send(Version(self.state.version, current))

    def drop(self, connection):
        """Remove the follower of a closed connection and record when it disconnected."""
        follower = self.followers.pop(connection, None)
        if follower is not None:
            self.disconnected[follower.node] = (self.clock.now(), connection.peer.incarnation)

    def record_in_force(self, connection, message):
        """Record the version that a node reports as in force."""
        follower = self.followers.get(connection)
        if follower is not None:
            follower.in_force = message.version

    def flush(self):
        """Send changed rows to every follower that lacks them."""
        for follower in self.followers.values():
            if follower.sent < self.state.version:
                self.send_rows(follower)

    def send_rows(self, follower):
        """Send one follower the rows that changed since its version, or all rows."""
        changes = self.state.changes_since(follower.sent, follower.tables)
        whole = changes is None
        if whole:
            changes = self.state.all_rows(follower.tables)
        follower.sent = self.state.version
        follower.connection.send(Rows(self.state.version, whole, changes))

    def send_updates(self, current):
        """Send every follower the version and whether this instance has contact with a quorum."""
        message = Version(self.state.version, current)
        for follower in self.followers.values():
            follower.connection.send(message)

    def find_lost(self, lost_after_s):
        """Return an `Announce` of the nodes to declare lost, or None when there are none.

        These are nodes that disconnected `lost_after_s` ago or earlier, and nodes that did not
        reconnect after this instance restarted.

        Returns
        -------
        Announce or None
        """
        now = self.clock.now()
        following = {follower.node for follower in self.followers.values()}
        nodes = []
        for name, (disconnected_at, incarnation) in list(self.disconnected.items()):
            if now - disconnected_at < lost_after_s:
                continue
            del self.disconnected[name]
            if name not in following:
                nodes += self.lost_node_row(name, incarnation)
        if now - self.orphans_checked_at > 2 * lost_after_s:
            nodes += self.orphaned_node_rows(following)
        return Announce(self.clock.wall_ms(), nodes) if nodes else None

    def lost_node_row(self, name, incarnation):
        """Return the row of a node as lost, in a list.

        The list is empty when the node has restarted, follows another instance, or has left or been
        declared lost already.
        """
        row = self.state.catalogue.find("node", name)
        if row is None or row.incarnation != incarnation or row.via != self.node:
            return []
        if row.state not in ("serving", "leaving"):
            return []
        return [asdict(evolve(row, state="lost"))]

    def orphaned_node_rows(self, following):
        """Return the rows, as lost, of nodes that did not reconnect after this instance restarted.

        Their rows still name this instance, so they have not announced themselves through another.
        """
        self.orphans_checked_at = self.clock.now()
        return [
            asdict(evolve(row, state="lost"))
            for row in self.state.catalogue.rows("node")
            if row.via == self.node
            and row.state in ("serving", "leaving")
            and row.name not in following
            and row.name not in self.disconnected
        ]
