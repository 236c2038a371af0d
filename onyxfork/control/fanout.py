"""Fan-out of the configuration to the nodes that follow one control instance.

Each node follows one instance, so the cost of a change is shared by all of them. Rows leave once
for each follower, those of one batch of entries together; a follower that is a little behind gets
the rows it lacks, one that is far behind gets all rows.
"""

from attrs import asdict, define, evolve

from onyxfork.control.commands import Announce
from onyxfork.control.feed import TABLES_BY_ROLE, Rows, Version

__all__ = ["Fanout", "Follower"]

HEARTBEAT_INTERVAL_S = 1.0


@define(eq=False)
class Follower:
    """A node that follows: what it was sent and what it reports in force."""

    connection: object
    tables: tuple
    sent: int = 0
    in_force: int = 0

    @property
    def node(self):
        """The node's name."""
        return self.connection.peer.node


class Fanout:
    """The followers of one instance.

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
        self.gone = {}
        self.started_at = clock.now()

    def replace_state(self, state):
        """Go on with a state that came as a snapshot."""
        self.state = state

    def follow(self, connection, message, current):
        """Start to feed a node."""
        tables = TABLES_BY_ROLE.get(connection.peer.role, ())
        follower = Follower(connection, tables, sent=message.version, in_force=message.version)
        self.followers[connection] = follower
        self.gone.pop(connection.peer.node, None)
        if message.version < self.state.version or not message.version:
            self.send_rows(follower)
        connection.send(Version(self.state.version, current))

    def drop(self, connection):
        """Forget a connection that ended."""
        follower = self.followers.pop(connection, None)
        if follower is not None:
            self.gone[follower.node] = (self.clock.now(), connection.peer.incarnation)

    def note_in_force(self, connection, message):
        """Note which version a node has in force."""
        follower = self.followers.get(connection)
        if follower is not None:
            follower.in_force = message.version

    def flush(self):
        """Send every follower the rows that changed."""
        for follower in self.followers.values():
            if follower.sent < self.state.version:
                self.send_rows(follower)

    def send_rows(self, follower):
        """Send one follower what it lacks."""
        changes = self.state.changes_since(follower.sent, follower.tables)
        whole = changes is None
        if whole:
            changes = self.state.all_rows(follower.tables)
        follower.sent = self.state.version
        follower.connection.send(Rows(self.state.version, whole, changes))

    def send_updates(self, current):
        """Tell every follower the version and whether this instance is in touch."""
        message = Version(self.state.version, current)
        for follower in self.followers.values():
            follower.connection.send(message)

    def find_lost(self, lost_after_s):
        """Return an `Announce` of nodes that followed here and have been gone for too long.

        Returns
        -------
        Announce or None
        """
        now = self.clock.now()
        following = {follower.node for follower in self.followers.values()}
        nodes = []
        for name, (gone_at, incarnation) in list(self.gone.items()):
            if now - gone_at < lost_after_s:
                continue
            del self.gone[name]
            if name not in following:
                nodes += self.lost_node(name, incarnation)
        if now - self.started_at > 2 * lost_after_s:
            nodes += self.orphans(following)
        return Announce(self.clock.wall_ms(), nodes) if nodes else None

    def lost_node(self, name, incarnation):
        """Return the lost row of a node unless it follows another instance or has restarted."""
        row = self.state.catalogue.find("node", name)
        if row is None or row.incarnation != incarnation or row.via != self.node:
            return []
        if row.state not in ("serving", "leaving"):
            return []
        return [asdict(evolve(row, state="lost"))]

    def orphans(self, following):
        """Return rows of nodes that should follow here and never came back after a restart."""
        self.started_at = self.clock.now()
        return [
            asdict(evolve(row, state="lost"))
            for row in self.state.catalogue.rows("node")
            if row.via == self.node
            and row.state in ("serving", "leaving")
            and row.name not in following
            and row.name not in self.gone
        ]
