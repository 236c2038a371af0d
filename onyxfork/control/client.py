"""A node's client of control: follows the configuration, proposes commands, renews leases.

The client keeps a connection to one control instance and moves to another when that has no contact
with a quorum or does not respond in time. The configuration never goes back to an older version:
rows older than the version held are ignored.
"""

import asyncio
import logging
from random import Random

from attrs import asdict

from onyxfork.control.commands import Announce, ChangeResult
from onyxfork.control.feed import Follow, InForce, Propose, Proposed, Renew, Renewed, Rows, Version
from onyxfork.entities.catalogue import TABLES, Catalogue
from onyxfork.errors import OnyxforkError
from onyxfork.messages import open_connection, pack
from onyxfork.messages.codec import structure

__all__ = ["ControlClient"]

log = logging.getLogger(__name__)

REQUEST_TIMEOUT_S = 1.5
MAX_CONFIGURATION_AGE_S = 3.0
MIN_RECONNECT_DELAY_S = 0.1
MAX_RECONNECT_DELAY_S = 1.0


class ControlClient:
    """Follows the configuration and sends requests to control.

    Parameters
    ----------
    addresses : list of Address
    make_hello : callable
        Returns the `Hello` of this node.
    timing : Timing
    clock : Clock
    counter : callable, optional
        Counts messages.
    tls : ssl.SSLContext, optional
    seed : int
        Seeds the order of addresses and the jitter, together with the node's incarnation.

    Attributes
    ----------
    catalogue : Catalogue
        The configuration in force at this node.
    version : int
        Version of the configuration in force.
    last_current_at : float
        When an instance in contact with a quorum last confirmed that this version is the latest,
        in monotonic seconds.
    listeners : list of callable
        Called with the set of changed (table, key) after each update.
    synced : asyncio.Event
        Set once the configuration was confirmed as the latest for the first time.
    """

    def __init__(self, addresses, make_hello, timing, clock, counter=None, tls=None, seed=0):
        self.addresses = list(addresses)
        self.make_hello = make_hello
        self.timing = timing
        self.clock = clock
        self.counter = counter
        self.tls = tls
        self.rng = Random(f"{make_hello().incarnation}{seed}")
        self.catalogue = Catalogue()
        self.version = 0
        self.last_current_at = float("-inf")
        self.connection = None
        self.listeners = []
        self.pending_requests = {}
        self.last_request_id = 0
        self.node = None
        self.announce_request = None
        self.synced = asyncio.Event()

    @property
    def is_configuration_current(self):
        """Whether it was confirmed within `MAX_CONFIGURATION_AGE_S` that no version is newer."""
        return self.clock.now() - self.last_current_at < MAX_CONFIGURATION_AGE_S

    def configuration_age_s(self):
        """Return seconds since the configuration was last confirmed as the latest."""
        return self.clock.now() - self.last_current_at

    async def run(self):
        """Follow one instance after the other until cancelled, with backoff and jitter."""
        address_order = list(range(len(self.addresses)))
        self.rng.shuffle(address_order)
        delay = MIN_RECONNECT_DELAY_S
        while True:
            for position in address_order:
                began = self.clock.now()
                await self.follow(self.addresses[position])
                if self.clock.now() - began > MAX_RECONNECT_DELAY_S:
                    delay = MIN_RECONNECT_DELAY_S
                await asyncio.sleep(delay * (0.5 + self.rng.random()))
                delay = min(MAX_RECONNECT_DELAY_S, delay * 1.5)

    async def follow(self, address):
        """Follow one instance until the connection ends or the instance is not current."""
        try:
            async with open_connection(
                address.host_and_port, self.make_hello(), self.timing, self.counter, self.tls
            ) as connection:
                self.connection = connection
                connection.send(Follow(self.version))
                self.send_announcement()
                freshness_check = asyncio.create_task(self.close_if_not_current(connection))
                try:
                    await connection.run(self.on_message)
                finally:
                    freshness_check.cancel()
        except (OSError, OnyxforkError) as error:
            reason = str(error)
            log.debug(
                "connection to control instance failed",
                extra={"peer": str(address), "reason": reason},
            )
        finally:
            self.connection = None
            self.fail_pending_requests()

    async def close_if_not_current(self, connection):
        """Close the connection when the instance does not confirm the configuration in time.

        The limit is half of `MAX_CONFIGURATION_AGE_S`. An announcement is sent again until it is
        answered.
        """
        began = self.clock.now()
        while True:
            await asyncio.sleep(MAX_CONFIGURATION_AGE_S / 4)
            if self.clock.now() - max(began, self.last_current_at) > MAX_CONFIGURATION_AGE_S / 2:
                connection.close("the control instance has no contact with a quorum")
                return
            if self.announce_request is not None:
                self.send_announcement()

    def on_message(self, connection, message):
        """Handle one message from the control instance."""
        if isinstance(message, Rows):
            self.apply_rows(connection, message)
        elif isinstance(message, Version):
            if message.current and message.version <= self.version:
                self.last_current_at = self.clock.now()
                self.synced.set()
        elif isinstance(message, (Proposed, Renewed)):
            if message.request == self.announce_request and message.result is not None:
                self.announce_request = None
            future = self.pending_requests.pop(message.request, None)
            if future is not None and not future.done():
                future.set_result(message)

    def apply_rows(self, connection, message):
        """Put rows in force and report that, unless they are older than the version held."""
        if message.version < self.version:
            return
        changed = set()
        if message.whole:
            self.delete_missing_rows(message, changed)
        for change in message.changes:
            row = None if change.row is None else structure(change.row, TABLES[change.table])
            self.catalogue.put(change.table, change.key, row)
            changed.add((change.table, change.key))
        self.version = message.version
        connection.send(InForce(self.version))
        for listener in self.listeners:
            listener(changed)

    def delete_missing_rows(self, message, changed):
        """Delete the rows that a complete set of rows lacks, and add their keys to `changed`."""
        present = {(change.table, change.key) for change in message.changes}
        for table, rows in self.catalogue.tables.items():
            for key in list(rows):
                if (table, key) not in present:
                    del rows[key]
                    changed.add((table, key))

    def fail_pending_requests(self):
        """Complete all pending requests with None: their outcome is unknown."""
        requests, self.pending_requests = self.pending_requests, {}
        for future in requests.values():
            if not future.done():
                future.set_result(None)

    async def request(self, message, timeout_s=REQUEST_TIMEOUT_S):
        """Send a request and return the answer, or None when there is none in time."""
        connection = self.connection
        if connection is None:
            return None
        self.last_request_id += 1
        message.request = self.last_request_id
        future = asyncio.get_running_loop().create_future()
        self.pending_requests[message.request] = future
        connection.send(message)
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            return None
        finally:
            self.pending_requests.pop(message.request, None)

    async def propose(self, command, timeout_s=5.0):
        """Propose a command and send it again until its outcome is known.

        Parameters
        ----------
        command : attrs instance
            Must be idempotent, as it may be sent several times.
        timeout_s : float

        Returns
        -------
        ChangeResult or None
            None when the outcome is still unknown after `timeout_s`.
        """
        deadline = self.clock.now() + timeout_s
        data = pack([command])
        while self.clock.now() < deadline:
            reply = await self.request(Propose(0, data))
            if reply is not None and isinstance(reply.result, ChangeResult):
                return reply.result
            await asyncio.sleep(0.05 + 0.1 * self.rng.random())
        return None

    async def renew(self, entry, incarnation, demand, stopping=False):
        """Renew the entry's lease; return the `Renewed`, or None when there is none in time."""
        return await self.request(Renew(0, entry, incarnation, demand, stopping), 1.0)

    # Announcements

    def announce(self, node):
        """Announce the state of this node now, and again to each control instance it moves to."""
        self.node = node
        self.send_announcement()

    def send_announcement(self):
        """Send the current announcement with the next sequence number, if connected."""
        if self.node is None or self.connection is None:
            return
        self.node.sequence += 1
        self.node.via = self.connection.peer.node
        command = Announce(self.clock.wall_ms(), [asdict(self.node)])
        self.last_request_id += 1
        self.announce_request = self.last_request_id
        self.connection.send(Propose(self.last_request_id, pack([command])))

    async def announce_and_wait(self, timeout_s):
        """Announce the state of this node and wait; return whether it was applied in time."""
        if self.node is None:
            return False
        self.node.sequence += 1
        if self.connection is not None:
            self.node.via = self.connection.peer.node
        command = Announce(self.clock.wall_ms(), [asdict(self.node)])
        return await self.propose(command, timeout_s) is not None
