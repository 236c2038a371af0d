"""Connections that a node opens: to every control instance, and from an entry to every agent.

A node speaks to each control instance, of which there are few, so that no single one is needed.
What control last said stays in use while none of them is in reach.
"""

import asyncio
import logging
from random import Random

from onyxfork.addresses import Address
from onyxfork.direct.documents import DocumentFetcher, decompress_document
from onyxfork.direct.messages import (
    Directory,
    DocumentAnnounced,
    DocumentTransfer,
    FetchDocument,
    Register,
)
from onyxfork.errors import OnyxforkError, ProtocolError
from onyxfork.messages import open_connection

__all__ = ["ControlLinks", "Dialer"]

log = logging.getLogger(__name__)

RECONNECT_MIN_S = 0.05
RECONNECT_MAX_S = 0.5
DIALER_REFRESH_S = 0.5
FETCH_CHECK_INTERVAL_S = 0.1
"""How often a node looks whether a configuration that it has asked for is overdue."""

NODE_EXPIRY_S = 30.0
"""A node that no control instance names any more is forgotten after this long without contact."""


class Dialer:
    """Keeps one connection to a peer open until cancelled.

    Parameters
    ----------
    address : str
        ``ip:port``.
    make_hello : callable
    timing : Timing
    on_open : callable
        Called with each new `Connection`.
    on_message : callable
        Called as ``on_message(connection, message)``.
    on_close : callable
        Called with the connection and the reason.
    """

    def __init__(self, address, make_hello, timing, on_open, on_message, on_close):
        self.address = address
        self.make_hello = make_hello
        self.timing = timing
        self.on_open = on_open
        self.on_message = on_message
        self.on_close = on_close
        self.rng = Random()

    async def run(self):
        """Dial, serve the connection, and dial again."""
        delay = RECONNECT_MIN_S
        while True:
            if await self.connect():
                delay = RECONNECT_MIN_S
            await asyncio.sleep(delay * (0.5 + self.rng.random()))
            delay = min(RECONNECT_MAX_S, delay * 2)

    async def connect(self):
        """Serve one connection; return whether there was one."""
        opened = False
        try:
            async with open_connection(
                Address.from_text(self.address).host_and_port, self.make_hello(), self.timing
            ) as connection:
                opened = True
                self.on_open(connection)
                reason = "closed here"
                try:
                    reason = await connection.run(self.on_message)
                finally:
                    self.on_close(connection, reason)
        except (OSError, OnyxforkError) as error:
            log.debug("peer not reached", extra={"peer": self.address, "reason": str(error)})
        return opened


class ControlLinks:
    """What a node hears from control.

    Parameters
    ----------
    settings : DirectSettings
    clock : Clock
    make_hello : callable
    telemetry : Telemetry

    Attributes
    ----------
    document : ConfigurationDocument or None
        The newest configuration heard of; it never goes back.
    document_listeners, directory_listeners : list of callable
        Called after a change.
    """

    def __init__(self, settings, clock, make_hello, telemetry):
        self.settings = settings
        self.clock = clock
        self.make_hello = make_hello
        self.telemetry = telemetry
        self.document = None
        self.fetcher = DocumentFetcher()
        self.directories = {}
        self.learned_addresses = {}
        self.connections = {}
        self.last_named_at = {}
        self.nodes = {}
        self.document_listeners = []
        self.directory_listeners = []
        self.dialers = {}
        self.own_address = ""

    def set_own_address(self, address):
        """Set where other nodes reach this one."""
        self.own_address = address

    def nodes_with_role(self, role):
        """Return the nodes known of a role."""
        return [node for node in self.nodes.values() if node.role == role]

    async def run(self, spawn):
        """Keep a connection to each control instance open."""
        spawn(self.run_fetch_timer())
        while True:
            wanted = self.control_addresses()
            for address in wanted:
                if address not in self.dialers:
                    self.dialers[address] = spawn(self.make_dialer(address).run())
            for address in list(self.dialers):
                if address not in wanted:
                    self.dialers.pop(address).cancel()
                    self.directories.pop(address, None)
            self.drop_expired_nodes()
            await asyncio.sleep(DIALER_REFRESH_S)

    async def run_fetch_timer(self):
        """Ask another instance when a configuration does not arrive."""
        while True:
            await asyncio.sleep(FETCH_CHECK_INTERVAL_S)
            self.fetch_from(self.fetcher.next_retry(self.clock.now()))

    def fetch_from(self, address):
        """Ask a control instance for the newest configuration; None asks nobody."""
        connection = self.connections.get(address)
        if connection is not None:
            connection.send(FetchDocument())

    def control_addresses(self):
        """Return the addresses of control instances: configured ones and those learned."""
        wanted = {str(address) for address in self.settings.control}
        for addresses in self.learned_addresses.values():
            wanted.update(addresses)
        return wanted

    def make_dialer(self, address):
        """Return the dialer of one control instance."""
        return Dialer(
            address,
            self.make_hello,
            self.settings.control_timing,
            lambda connection: self.on_control_connected(address, connection),
            lambda connection, item: self.on_control_message(address, item),
            lambda connection, reason: self.on_control_disconnected(address, reason),
        )

    def on_control_connected(self, address, connection):
        """Register at a control instance."""
        self.connections[address] = connection
        version = self.document.version if self.document else 0
        connection.send(Register(self.own_address, version))
        log.info("control connected", extra={"control": address})

    def on_control_disconnected(self, address, reason):
        """Note that a control instance is out of reach."""
        self.connections.pop(address, None)
        self.fetcher.on_closed(address)
        log.info("control disconnected", extra={"control": address, "reason": reason})

    def on_control_message(self, address, item):
        """Take one message of control."""
        if isinstance(item, DocumentAnnounced):
            now = self.clock.now()
            self.fetch_from(self.fetcher.on_announced(address, item.version, now))
        elif isinstance(item, DocumentTransfer):
            self.take_document(decompress_document(item), address)
        elif isinstance(item, Directory):
            self.learned_addresses[address] = item.control
            self.directories[address] = item.nodes
            self.update_nodes()
        else:
            raise ProtocolError(f"unexpected {type(item).__name__}")

    def take_document(self, document, source):
        """Put a configuration in force unless a newer one is."""
        held = self.document.version if self.document else 0
        if document.version <= held:
            return
        self.document = document
        self.fetcher.on_held(document.version)
        self.telemetry.count("configurations")
        fields = {"version": document.version, "before": held, "source": source}
        log.info("configuration taken", extra=fields)
        for listener in self.document_listeners:
            listener(document)

    def update_nodes(self):
        """Take the nodes that any control instance names."""
        now = self.clock.now()
        for nodes in self.directories.values():
            for node in nodes:
                self.nodes[node.node] = node
                self.last_named_at[node.node] = now
        for listener in self.directory_listeners:
            listener()

    def add_announced_node(self, node):
        """Take in a node that has made itself known."""
        if node.node not in self.nodes:
            log.info("agent made itself known", extra={"agent": node.node})
        self.nodes[node.node] = node
        self.last_named_at[node.node] = self.clock.now()
        for listener in self.directory_listeners:
            listener()

    def drop_expired_nodes(self):
        """Forget nodes that nobody has named for long while control was in reach."""
        now = self.clock.now()
        named = {node.node for nodes in self.directories.values() for node in nodes}
        for name in named:
            self.last_named_at[name] = now
        if not self.connections:
            return
        for name, seen_at in list(self.last_named_at.items()):
            if now - seen_at > NODE_EXPIRY_S:
                del self.last_named_at[name]
                self.nodes.pop(name, None)
                for listener in self.directory_listeners:
                    listener()
