"""Connections that a node opens: to every control instance, and from an entry to its agents.

A node connects to all control instances, of which there are few, so that it depends on no single
one. While none is reachable, the last configuration and directory stay in use.
"""

import asyncio
import logging
from random import Random

from onyxfork.addresses import Address
from onyxfork.direct.documents import FETCH_RETRY_S, DocumentFetcher, decompress_document
from onyxfork.direct.evacuations import Evacuations
from onyxfork.direct.messages import (
    Directory,
    DocumentAnnounced,
    DocumentTransfer,
    EvacuationsAnnounced,
    FetchDocument,
    Register,
)
from onyxfork.errors import OnyxforkError, ProtocolError
from onyxfork.messages import open_connection

__all__ = ["ControlLinks", "Dialer"]

log = logging.getLogger(__name__)

RECONNECT_MIN_S = 0.05
"""First delay of the backoff between connection attempts."""

RECONNECT_MAX_S = 0.5
"""Upper bound on the backoff, before jitter."""

DIALER_REFRESH_S = 0.5
"""Interval at which dialers are started and cancelled to match the known control instances, and
expired nodes are dropped."""

FETCH_RETRY_MARGIN_S = 0.01
"""Added to the delay of the retry timer, so that the request is overdue when it fires."""

NODE_EXPIRY_S = 30.0
"""A node is dropped if for this long no control instance has listed it and it has not announced
itself."""


class Dialer:
    """Keep one connection to a peer open until cancelled.

    Parameters
    ----------
    address : str
        ``ip:port``.
    make_hello : callable
        Returns the `Hello` for a new connection.
    timing : Timing
    on_open : callable
        Called with each new `Connection`; raises `OnyxforkError` to reject the peer.
    on_message : callable
        Called as ``on_message(connection, message)``.
    on_close : callable
        Called with the connection and the reason.
    counter : callable, optional
        Counts messages, as in `Connection`.
    """

    def __init__(self, address, make_hello, timing, on_open, on_message, on_close, counter=None):
        self.address = address
        self.make_hello = make_hello
        self.timing = timing
        self.on_open = on_open
        self.on_message = on_message
        self.on_close = on_close
        self.counter = counter
        self.rng = Random()

    async def run(self):
        """Connect, serve the connection, and reconnect with exponential backoff and jitter."""
        delay = RECONNECT_MIN_S
        while True:
            if await self.connect():
                delay = RECONNECT_MIN_S
            await asyncio.sleep(delay * (0.5 + self.rng.random()))
            delay = min(RECONNECT_MAX_S, delay * 2)

    async def connect(self):
        """Open and serve one connection; return whether it could be opened."""
        opened = False
        try:
            async with open_connection(
                Address.from_text(self.address).host_and_port,
                self.make_hello(),
                self.timing,
                self.counter,
            ) as connection:
                self.on_open(connection)
                opened = True
                reason = "closed by this process"
                try:
                    reason = await connection.run(self.on_message)
                finally:
                    self.on_close(connection, reason)
        except (OSError, OnyxforkError) as error:
            log.debug(
                "connecting to peer failed", extra={"peer": self.address, "reason": str(error)}
            )
        return opened


class ControlLinks:
    """Connections of a node to control, and the configuration and directory received there.

    Parameters
    ----------
    settings : DirectSettings
    clock : Clock
    make_hello : callable
        Returns the `Hello` for a new connection.
    telemetry : Telemetry

    Attributes
    ----------
    document : ConfigurationDocument or None
        The newest configuration received; its version never decreases.
    directories : dict of str to list of DirectoryNode
        Nodes in the latest directory from each control instance.
    learned_addresses : dict of str to list of str
        Addresses of control instances in the latest directory from each of them.
    nodes : dict of str to DirectoryNode
        Known entries and agents by name.
    last_listed_at : dict of str to float
        Monotonic seconds at which each of them was last listed or announced itself.
    labels, wanted_labels : list of str
        Labels of an agent's worker, and labels for which an entry lacks capacity.
    evacuations : Evacuations
        The evacuated zones, from control or from other nodes.
    document_listeners, directory_listeners, evacuation_listeners : list of callable
        Called after a change.
    """

    def __init__(self, settings, clock, make_hello, telemetry):
        self.settings = settings
        self.clock = clock
        self.make_hello = make_hello
        self.telemetry = telemetry
        self.message_counter = telemetry.make_message_counter("control")
        self.document = None
        self.fetcher = DocumentFetcher()
        self.retry_timer = None
        self.directories = {}
        self.learned_addresses = {}
        self.connections = {}
        self.last_listed_at = {}
        self.nodes = {}
        self.document_listeners = []
        self.directory_listeners = []
        self.evacuations = Evacuations(clock)
        self.evacuation_listeners = []
        telemetry.gauge("evacuated_zones", lambda: len(self.evacuations.zones))
        self.dialers = {}
        self.own_address = ""
        self.labels = []
        self.wanted_labels = []

    def set_own_address(self, address):
        """Set the address at which other nodes reach this one."""
        self.own_address = address

    def update_labels(self, labels=None, wanted_labels=None):
        """Set labels of the registration; register again at all control instances if they change.

        Parameters
        ----------
        labels : list of str, optional
            Labels of this agent's worker.
        wanted_labels : list of str, optional
            Labels for which this entry lacks capacity.
        """
        former = self.labels, self.wanted_labels
        self.labels = self.labels if labels is None else labels
        self.wanted_labels = self.wanted_labels if wanted_labels is None else wanted_labels
        if (self.labels, self.wanted_labels) != former:
            for connection in self.connections.values():
                connection.send(self.make_registration())

    def make_registration(self):
        """Return the `Register` of this node."""
        version = self.document.version if self.document else 0
        return Register(self.own_address, version, self.labels, self.wanted_labels)

    def nodes_with_role(self, role):
        """Return the known nodes of a role."""
        return [node for node in self.nodes.values() if node.role == role]

    async def run(self, spawn):
        """Maintain a dialer for each control instance, and drop expired nodes, until cancelled."""
        while True:
            addresses = self.control_addresses()
            for address in addresses:
                if address not in self.dialers:
                    self.dialers[address] = spawn(self.make_dialer(address).run())
            for address in list(self.dialers):
                if address not in addresses:
                    self.dialers.pop(address).cancel()
                    self.directories.pop(address, None)
            self.drop_expired_nodes()
            await asyncio.sleep(DIALER_REFRESH_S)

    def retry_fetch(self):
        """Request a configuration again from another instance if the last request is overdue."""
        self.retry_timer = None
        self.fetch_from(self.fetcher.next_retry(self.clock.now()))

    def fetch_from(self, address):
        """Request the newest configuration from a control instance, if it is connected."""
        connection = self.connections.get(address)
        if connection is not None:
            connection.send(FetchDocument())
        if self.fetcher.asked_version and self.retry_timer is None:
            loop = asyncio.get_running_loop()
            self.retry_timer = loop.call_later(
                FETCH_RETRY_S + FETCH_RETRY_MARGIN_S, self.retry_fetch
            )

    def control_addresses(self):
        """Return the addresses of control instances, from the settings and from directories."""
        known = {str(address) for address in self.settings.control}
        for addresses in self.learned_addresses.values():
            known.update(addresses)
        return known

    def make_dialer(self, address):
        """Return the `Dialer` of one control instance."""
        return Dialer(
            address,
            self.make_hello,
            self.settings.control_timing,
            lambda connection: self.on_control_connected(address, connection),
            lambda connection, message: self.on_control_message(address, message),
            lambda connection, reason: self.on_control_disconnected(address, reason),
            self.message_counter,
        )

    def on_control_connected(self, address, connection):
        """Register at a control instance."""
        self.connections[address] = connection
        connection.send(self.make_registration())
        log.info("control connected", extra={"control": address})

    def on_control_disconnected(self, address, reason):
        """Mark a control instance as disconnected."""
        self.connections.pop(address, None)
        self.fetcher.on_closed(address)
        self.fetch_from(self.fetcher.next_retry(self.clock.now()))
        log.info("control disconnected", extra={"control": address, "reason": reason})

    def on_control_message(self, address, message):
        """Handle one message from a control instance."""
        if isinstance(message, DocumentAnnounced):
            now = self.clock.now()
            self.fetch_from(self.fetcher.on_announced(address, message.version, now))
        elif isinstance(message, DocumentTransfer):
            self.adopt_document(decompress_document(message), address)
        elif isinstance(message, EvacuationsAnnounced):
            self.adopt_evacuations(message, address)
        elif isinstance(message, Directory):
            self.learned_addresses[address] = message.control
            self.directories[address] = message.nodes
            self.update_nodes()
        else:
            raise ProtocolError(f"unexpected {type(message).__name__}")

    def adopt_document(self, document, source):
        """Adopt a configuration if it is newer than the current one, and call the listeners."""
        previous_version = self.document.version if self.document else 0
        if document.version <= previous_version:
            return
        self.document = document
        self.fetcher.on_held(document.version)
        self.telemetry.count("configurations")
        fields = {"version": document.version, "before": previous_version, "source": source}
        log.info("configuration adopted", extra=fields)
        for listener in self.document_listeners:
            listener(document)

    def adopt_evacuations(self, message, source):
        """Adopt a list of evacuated zones if it is newer, and call the listeners."""
        if self.evacuations.adopt(message, source):
            for listener in self.evacuation_listeners:
                listener()

    def update_nodes(self):
        """Add the nodes that any control instance lists, and call the listeners."""
        now = self.clock.now()
        for nodes in self.directories.values():
            for node in nodes:
                self.nodes[node.node] = node
                self.last_listed_at[node.node] = now
        for listener in self.directory_listeners:
            listener()

    def add_announced_node(self, node):
        """Add a node that has announced itself to this one, and call the listeners."""
        if node.node not in self.nodes:
            log.info("agent announced itself", extra={"agent": node.node})
        self.nodes[node.node] = node
        self.last_listed_at[node.node] = self.clock.now()
        for listener in self.directory_listeners:
            listener()

    def drop_expired_nodes(self):
        """Drop nodes not listed for long; keep all while no control instance is connected."""
        now = self.clock.now()
        listed = {node.node for nodes in self.directories.values() for node in nodes}
        for name in listed:
            self.last_listed_at[name] = now
        if not self.connections:
            return
        for name, listed_at in list(self.last_listed_at.items()):
            if now - listed_at > NODE_EXPIRY_S:
                del self.last_listed_at[name]
                self.nodes.pop(name, None)
                for listener in self.directory_listeners:
                    listener()
