"""Connections between control instances, and joining as a new member.

Part of :class:`onyxfork.control.replica.Replica`; state is kept there.
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

RECONNECT_MIN_S = 0.1
RECONNECT_MAX_S = 1.0
JOIN_INTERVAL_S = 0.5
FORGOTTEN_AFTER_S = 2.5
PASSED_ON = "passed on"


class Peers:
    """Who this instance speaks to, and how it becomes a member."""

    async def keep_peers(self):
        """Keep a connection open to every other instance, and ask to join while no member.

        A member dials the other members by identity. A replica that is none yet does not know
        them, so it dials the configured addresses and learns who is there.
        """
        dialers = {}
        while True:
            wanted = self.wanted_peers()
            for key in wanted:
                if key not in dialers:
                    dialers[key] = self.spawn(self.dial(*key))
            for key in list(dialers):
                if key not in wanted:
                    dialers.pop(key).cancel()
                    self.peers.pop(key[0], None)
            if not self.is_member or self.is_forgotten:
                self.ask_to_join()
            await asyncio.sleep(JOIN_INTERVAL_S)

    @property
    def is_member(self):
        """Whether this replica is a voter or a learner as far as it knows."""
        return self.raft.identity in self.raft.members.addresses

    @property
    def is_forgotten(self):
        """Whether no leader has spoken to this replica for long, so that it may not be a member."""
        return not self.raft.is_leader and (
            self.clock.now() - self.raft.last_leader_contact_at > FORGOTTEN_AFTER_S
        )

    def wanted_peers(self):
        """Return (identity or None, address) of every instance to be connected to."""
        if self.is_member:
            everyone = self.raft.members.addresses.items()
            return {(name, at) for name, at in everyone if name != self.raft.identity}
        members = self.settings.members.items()
        return {(None, str(address)) for name, address in members if name != self.settings.node}

    async def dial(self, identity, address):
        """Keep one connection to a peer open."""
        delay = RECONNECT_MIN_S
        while True:
            try:
                async with self.connect(Address.from_text(address).host_and_port) as connection:
                    if identity not in (None, connection.peer.incarnation):
                        raise ProtocolError(f"{address} has another identity")
                    self.peers[connection.peer.incarnation] = connection
                    delay = RECONNECT_MIN_S
                    try:
                        await connection.run(self.on_message)
                    finally:
                        self.fail_forwarded(connection)
            except (OSError, OnyxforkError) as error:
                log.debug("peer not reached", extra={"peer": identity, "reason": str(error)})
            await asyncio.sleep(delay * (0.5 + self.rng.random()))
            delay = min(RECONNECT_MAX_S, delay * 2)

    def connect(self, address):
        """Return the context of a connection to a peer."""
        counter = self.metrics.make_message_counter("control")
        return open_connection(address, self.hello(), self.timing(), counter, self.tls.client)

    def ask_to_join(self):
        """Send a `Join` to every instance in reach; the leader among them acts on it."""
        advertised = advertised_address(self.settings, self.port)
        message = Join(self.raft.identity, self.settings.node, str(advertised))
        for connection in self.peers.values():
            connection.send(message)

    def handle_join(self, message):
        """Let a replica without a vote become a learner, as the leader, or pass it on to that."""
        members = self.raft.members
        if not self.raft.is_leader:
            leader = self.peers.get(self.raft.leader)
            if leader is not None and message.extra != PASSED_ON:
                leader.send(evolve(message, extra=PASSED_ON))
            return
        if message.member in members.addresses:
            return
        learners = {**members.learners, message.member: message.address}
        for name in list(learners):
            if name != message.member and name.split("#")[0] == message.name:
                del learners[name]
        self.raft.change_members(Members(members.voters, learners), self.clock.now())
        self.wake.set()
