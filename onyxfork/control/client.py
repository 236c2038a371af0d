"""A node's side of control: following the configuration, proposing, renewing leases.

The client keeps one connection to one control instance and moves to another when the instance is
not in touch with a quorum or is not heard of in time. What it holds never goes back to an older
version: rows older than the version held are ignored.
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
CURRENT_WITHIN_S = 3.0
MOVE_DELAY_S = 0.1
MAX_MOVE_DELAY_S = 1.0


class ControlClient:
    """Follows control and speaks to it.

    Parameters
    ----------
    addresses : list of Address
    make_hello : callable
    timing : Timing
    clock : Clock
    counter : callable, optional
        Counts messages.
    tls : ssl.SSLContext, optional

    Attributes
    ----------
    catalogue : Catalogue
        The configuration in force here.
    version : int
    current_at : float
        When a control instance in touch with a quorum last spoke, in monotonic seconds.
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
        self.current_at = float("-inf")
        self.connection = None
        self.listeners = []
        self.requests = {}
        self.next_request = 0
        self.node = None
        self.announce_request = None
        self.synced = asyncio.Event()

    @property
    def is_configuration_current(self):
        """Whether the configuration held is known to be the latest within the bound."""
        return self.clock.now() - self.current_at < CURRENT_WITHIN_S

    def configuration_age_s(self):
        """Return seconds since the configuration was last known to be current."""
        return self.clock.now() - self.current_at

    async def run(self):
        """Keep following until cancelled."""
        order = list(range(len(self.addresses)))
        self.rng.shuffle(order)
        delay = MOVE_DELAY_S
        while True:
            for position in order:
                began = self.clock.now()
                await self.follow(self.addresses[position])
                if self.clock.now() - began > MAX_MOVE_DELAY_S:
                    delay = MOVE_DELAY_S
                await asyncio.sleep(delay * (0.5 + self.rng.random()))
                delay = min(MAX_MOVE_DELAY_S, delay * 1.5)

    async def follow(self, address):
        """Follow one instance until it is lost or not current."""
        try:
            async with open_connection(
                address.host_and_port, self.make_hello(), self.timing, self.counter, self.tls
            ) as connection:
                self.connection = connection
                connection.send(Follow(self.version))
                self.send_announcement()
                watch = asyncio.create_task(self.watch(connection))
                try:
                    await connection.run(self.on_message)
                finally:
                    watch.cancel()
        except (OSError, OnyxforkError) as error:
            reason = str(error)
            log.debug("control not reached", extra={"peer": str(address), "reason": reason})
        finally:
            self.connection = None
            self.fail_requests()

    async def watch(self, connection):
        """Leave an instance that is not in touch with a quorum."""
        began = self.clock.now()
        while True:
            await asyncio.sleep(CURRENT_WITHIN_S / 4)
            if self.clock.now() - max(began, self.current_at) > CURRENT_WITHIN_S / 2:
                connection.close("the control instance is not current")
                return
            if self.announce_request is not None:
                self.send_announcement()

    def on_message(self, connection, message):
        """Take one message of control."""
        if isinstance(message, Rows):
            self.take_rows(connection, message)
        elif isinstance(message, Version):
            if message.current and message.version <= self.version:
                self.current_at = self.clock.now()
                self.synced.set()
        elif isinstance(message, (Proposed, Renewed)):
            if message.request == self.announce_request and message.result is not None:
                self.announce_request = None
            future = self.requests.pop(message.request, None)
            if future is not None and not future.done():
                future.set_result(message)

    def take_rows(self, connection, message):
        """Put rows in force unless they are older than what is held."""
        if message.version < self.version:
            return
        changed = set()
        if message.whole:
            self.drop_missing(message, changed)
        for change in message.changes:
            row = None if change.row is None else structure(change.row, TABLES[change.table])
            self.catalogue.put(change.table, change.key, row)
            changed.add((change.table, change.key))
        self.version = message.version
        connection.send(InForce(self.version))
        for listener in self.listeners:
            listener(changed)

    def drop_missing(self, message, changed):
        """Delete rows that a whole set of rows does not hold any more."""
        kept = {(change.table, change.key) for change in message.changes}
        for table, rows in self.catalogue.tables.items():
            for key in list(rows):
                if (table, key) not in kept:
                    del rows[key]
                    changed.add((table, key))

    def fail_requests(self):
        """Answer open requests with None: it is not known whether they took effect."""
        requests, self.requests = self.requests, {}
        for future in requests.values():
            if not future.done():
                future.set_result(None)

    async def request(self, message, timeout_s=REQUEST_TIMEOUT_S):
        """Send a request and return its answer, or None when there is none in time."""
        connection = self.connection
        if connection is None:
            return None
        self.next_request += 1
        message.request = self.next_request
        future = asyncio.get_running_loop().create_future()
        self.requests[message.request] = future
        connection.send(message)
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            return None
        finally:
            self.requests.pop(message.request, None)

    async def propose(self, command, timeout_s=5.0):
        """Have a command take effect, sending it again while the answer is lost.

        Parameters
        ----------
        command : attrs instance
            Idempotent by its identifier or by its meaning.
        timeout_s : float

        Returns
        -------
        ChangeResult or None
            None when it is still unknown after `timeout_s`.
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
        """Renew leases; return the answer, or None."""
        return await self.request(Renew(0, entry, incarnation, demand, stopping), 1.0)

    # Announcements

    def announce(self, node):
        """Make the state of this node known, now and after each change of control instance."""
        self.node = node
        self.send_announcement()

    def send_announcement(self):
        """Send the current announcement with the next sequence number."""
        if self.node is None or self.connection is None:
            return
        self.node.sequence += 1
        self.node.via = self.connection.peer.node
        command = Announce(self.clock.wall_ms(), [asdict(self.node)])
        self.next_request += 1
        self.announce_request = self.next_request
        self.connection.send(Propose(self.next_request, pack([command])))

    async def announce_and_wait(self, timeout_s):
        """Announce and wait until it is applied; return whether it was."""
        if self.node is None:
            return False
        self.node.sequence += 1
        if self.connection is not None:
            self.node.via = self.connection.peer.node
        command = Announce(self.clock.wall_ms(), [asdict(self.node)])
        return await self.propose(command, timeout_s) is not None
