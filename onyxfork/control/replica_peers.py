"""Connections between control instances, and joining as a new member.

Mixin of :class:`onyxfork.control.replica.Replica`, which holds the state.
"""

import asyncio
import logging

from attrs import evolve

from onyxfork.control.raft_messages import Join, Members
from onyxfork.errors import OnyxforkError, ProtocolError
from onyxfork.messages import open_connection
from onyxfork.settings import Address, advertised_address

__all__ = ["Peers"]

log = logging.getLogger(__name__)

MIN_RECONNECT_DELAY_S = 0.1
MAX_RECONNECT_DELAY_S = 1.0
JOIN_INTERVAL_S = 0.5
LEADER_SILENCE_BEFORE_JOIN_S = 2.5
FORWARDED = "passed on"


class Peers:
    """Maintains connections to the other control instances and joins the cluster."""

    async def maintain_peers(self):
        """Keep a connection to every other instance open, and ask to join while not a member.

        A member connects to the other members by identity. A replica that is not a member does
        not know their identities, so it connects to the configured addresses.
        """
        connection_tasks = {}
        while True:
            targets = self.peer_targets()
            for target in targets:
                if target not in connection_tasks:
                    connection_tasks[target] = self.spawn(self.maintain_connection(*target))
            for target in list(connection_tasks):
                if target not in targets:
                    connection_tasks.pop(target).cancel()
                    self.peers.pop(target[0], None)
            needs_to_join = not self.is_member or self.lacks_leader_contact
            if needs_to_join:
                self.ask_to_join()
            self.log_join_state(needs_to_join)
            await asyncio.sleep(JOIN_INTERVAL_S)

    def connection_to(self, identity):
        """Return an open connection to another control instance, or None.

        It is the one that this instance opened or, without that, the one that the other opened. An
        instance whose log does not name a member yet can answer it only over the latter: a learner
        with an empty log that is sent entries by a leader outside the configured addresses, and a
        voter that is asked for its vote by a member added later than its last entry.
        """
        for connections in (self.peers, self.accepted_peers):
            connection = connections.get(identity)
            if connection is not None and connection.is_open:
                return connection
        return None

    def connected_peers(self):
        """Return the sorted identities of the instances that have an open connection to this one.

        `peers` keeps closed connections until they are replaced.
        """
        identities = {*self.peers, *self.accepted_peers}
        return sorted(name for name in identities if self.connection_to(name) is not None)

    @property
    def is_member(self):
        """Whether this replica is a voter or a learner according to its own log."""
        return self.raft.identity in self.raft.members.addresses

    @property
    def lacks_leader_contact(self):
        """Whether no leader has contacted this replica for `LEADER_SILENCE_BEFORE_JOIN_S`.

        It may have been removed from the members without receiving the entry that says so.
        """
        return not self.raft.is_leader and (
            self.clock.now() - self.raft.last_leader_contact_at > LEADER_SILENCE_BEFORE_JOIN_S
        )

    def peer_targets(self):
        """Return the (identity or None, address) of every instance to connect to."""
        if self.is_member:
            member_addresses = self.raft.members.addresses.items()
            return {
                (identity, peer_address)
                for identity, peer_address in member_addresses
                if identity != self.raft.identity
            }
        members = self.settings.members.items()
        return {(None, str(address)) for name, address in members if name != self.settings.node}

    async def maintain_connection(self, identity, address):
        """Keep one connection to a peer open; reconnect with exponential backoff and jitter."""
        delay = MIN_RECONNECT_DELAY_S
        while True:
            try:
                async with self.connect(Address.from_text(address).host_and_port) as connection:
                    if identity not in (None, connection.peer.incarnation):
                        raise ProtocolError(f"{address} has another identity")
                    self.peers[connection.peer.incarnation] = connection
                    delay = MIN_RECONNECT_DELAY_S
                    try:
                        await connection.run(self.on_message)
                    finally:
                        self.cancel_forwarded_requests(connection)
            except (OSError, OnyxforkError) as error:
                log.debug(
                    "connection to control instance failed",
                    extra={"peer": identity, "reason": str(error)},
                )
            await asyncio.sleep(delay * (0.5 + self.rng.random()))
            delay = min(MAX_RECONNECT_DELAY_S, delay * 2)

    def connect(self, address):
        """Return the context manager of a connection to an address."""
        counter = self.metrics.make_message_counter("control")
        return open_connection(address, self.hello(), self.timing(), counter, self.tls.client)

    def ask_to_join(self):
        """Send a `Join` to every connected instance; only the leader acts on it."""
        address = advertised_address(self.settings, self.port)
        message = Join(self.raft.identity, self.settings.node, str(address))
        for identity in self.connected_peers():
            self.connection_to(identity).send(message)

    def log_join_state(self, needs_to_join):
        """Log when this instance begins and ceases to ask the others to be added."""
        if needs_to_join == self.is_asking_to_join:
            return
        self.is_asking_to_join = needs_to_join
        fields = {
            "member": self.is_member,
            "leader": self.raft.leader,
            "connected": self.connected_peers(),
        }
        log.info("asking to join" if needs_to_join else "joined", extra=fields)

    def handle_join(self, message):
        """Add a replica as a learner if this is the leader, else forward the request to the leader.

        A new learner replaces one with the same node name and an older data folder.
        """
        members = self.raft.members
        if not self.raft.is_leader:
            leader = self.connection_to(self.raft.leader)
            if leader is not None and message.extra != FORWARDED:
                leader.send(evolve(message, extra=FORWARDED))
            return
        if message.member in members.addresses:
            return
        learners = {**members.learners, message.member: message.address}
        for identity in list(learners):
            if identity != message.member and identity.split("#")[0] == message.name:
                del learners[identity]
        self.raft.change_members(Members(members.voters, learners), self.clock.now())
        self.wake_event.set()
