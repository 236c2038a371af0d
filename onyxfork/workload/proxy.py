"""A fault-injecting TCP proxy between the processes of a deployment.

Each process is reached through its own listening address of the proxy. The first frame of a
connection names the node that opened it, so that faults can apply to pairs of nodes, zones or
racks, and to one direction only.
"""

import asyncio
import struct
from contextlib import asynccontextmanager, suppress

from attrs import define, field

from onyxfork.errors import ProtocolError
from onyxfork.messages import Hello, unpack

__all__ = ["FaultProxy", "Rule", "Place", "run_proxy"]

LENGTH_PREFIX = struct.Struct(">I")
CHUNK_BYTES = 65536
"""Upper bound for one read, and for the length of the first frame."""

LOSS_POLL_S = 0.05
"""Interval at which the end of a connection is tried again while bytes are lost."""


@define(frozen=True)
class Place:
    """Names by which a rule can refer to a node: its own, its zone's and its rack's."""

    node: str
    zone: str = ""
    rack: str = ""

    def matches(self, name):
        """Return whether a name is that of the node, its zone or its rack, or is ``all``."""
        return name in ("all", self.node, self.zone, self.rack)


@define
class Rule:
    """A fault in the direction from one location to another.

    Parameters
    ----------
    kind : str
        ``cut`` refuses new connections and resets open ones, in both directions; ``lose`` drops all
        bytes, and the ends of connections, on open and new ones; ``silence`` drops all further
        bytes on the connections that are open when it is set; ``delay`` delays all bytes.
    source, target : str
        Node, zone or rack, or ``all``.
    delay_s : float
        For ``delay``.
    """

    kind: str
    source: str
    target: str
    delay_s: float = 0.0

    def covers(self, source, target):
        """Return whether the rule applies to the direction from `source` to `target`."""
        return source.matches(self.source) and target.matches(self.target)


@define(eq=False)
class Stream:
    """One proxied connection.

    Parameters
    ----------
    client : Place
        Location of the node that opened the connection.
    server : Place
    writers : tuple of asyncio.StreamWriter
        Towards the client and towards the server.
    silent_to_server, silent_to_client : bool
        Whether bytes in this direction are dropped.
    """

    client: Place
    server: Place
    writers: tuple
    silent_to_server: bool = False
    silent_to_client: bool = False


@define(eq=False)
class FaultProxy:
    """Accepts connections for every process and forwards them, subject to the rules.

    Parameters
    ----------
    rules : list of Rule
        Rules in force; ``silence`` is not among them, as it only affects connections that are open
        when it is added.
    streams : set of Stream
        Open connections.
    places : dict of str to Place
        Location of each node.
    server_addresses : dict of str to Address
        Address on which each process listens.
    base_delay_s : callable, optional
        Takes the source and the target `Place`; returns the delay in seconds without any fault.
    forwarded_bytes : int
        Number of bytes forwarded so far, in both directions.
    """

    rules: list = field(factory=list)
    streams: set = field(factory=set)
    places: dict = field(factory=dict)
    server_addresses: dict = field(factory=dict)
    base_delay_s: object = None
    forwarded_bytes: int = 0

    def place(self, name, zone="", rack=""):
        """Set the location of a node."""
        self.places[name] = Place(name, zone, rack)

    def add(self, rule):
        """Put a rule in force; reset or silence the open connections that it affects."""
        if rule.kind == "silence":
            self.silence(rule)
            return
        self.rules.append(rule)
        if rule.kind == "cut":
            for stream in list(self.streams):
                if self.is_cut(stream.client, stream.server):
                    self.reset(stream)

    def silence(self, rule):
        """Drop all further bytes on the open connections that a rule covers."""
        for stream in self.streams:
            if rule.covers(stream.client, stream.server):
                stream.silent_to_server = True
            if rule.covers(stream.server, stream.client):
                stream.silent_to_client = True

    def heal(self):
        """Remove every rule; connections that were silenced stay so."""
        self.rules.clear()

    def is_cut(self, client, server):
        """Return whether a pair of locations is cut in either direction."""
        return any(
            rule.kind == "cut" and (rule.covers(client, server) or rule.covers(server, client))
            for rule in self.rules
        )

    def drops(self, source, target):
        """Return whether bytes in one direction are dropped."""
        return any(rule.kind == "lose" and rule.covers(source, target) for rule in self.rules)

    def find_delay_s(self, source, target):
        """Return the delay of one direction in seconds, with that of all rules."""
        base_s = self.base_delay_s(source, target) if self.base_delay_s is not None else 0.0
        extra_s = [
            rule.delay_s
            for rule in self.rules
            if rule.kind == "delay" and rule.covers(source, target)
        ]
        return base_s + sum(extra_s)

    @staticmethod
    def reset(stream):
        """Abort a connection on both sides."""
        for writer in stream.writers:
            writer.transport.abort()

    async def accept(self, name, reader, writer):
        """Serve one connection to the process `name`."""
        with suppress(OSError, EOFError, ProtocolError, asyncio.CancelledError):
            hello_bytes, client = await self.read_hello(reader)
            server = self.places.get(name, Place(name))
            if self.is_cut(client, server):
                return
            address = self.server_addresses[name]
            server_reader, server_writer = await asyncio.open_connection(address.host, address.port)
            stream = Stream(client, server, (writer, server_writer))
            self.streams.add(stream)
            try:
                await asyncio.gather(
                    self.forward(stream, reader, server_writer, True, hello_bytes),
                    self.forward(stream, server_reader, writer, False, b""),
                )
            finally:
                self.streams.discard(stream)
                server_writer.close()
        writer.close()

    async def read_hello(self, reader):
        """Read the first frame; return its bytes and the location of the connecting node."""
        header = await reader.readexactly(LENGTH_PREFIX.size)
        (size,) = LENGTH_PREFIX.unpack(header)
        if size > CHUNK_BYTES:
            raise ProtocolError("the first frame exceeds the size limit")
        frame = await reader.readexactly(size)
        hello = unpack(frame)[0]
        if not isinstance(hello, Hello):
            raise ProtocolError("the first message must be Hello")
        return header + frame, self.places.get(hello.node, Place(hello.node, hello.zone))

    async def forward(self, stream, reader, writer, to_server, initial):
        """Forward one direction, starting with the bytes already read, until it ends."""
        source, target = stream.client, stream.server
        if not to_server:
            source, target = target, source
        chunks = asyncio.Queue()
        sender_task = asyncio.create_task(self.send_delayed(chunks, writer))
        chunk = initial
        try:
            while True:
                silent = stream.silent_to_server if to_server else stream.silent_to_client
                if chunk and not silent and not self.drops(source, target):
                    due_at = asyncio.get_running_loop().time() + self.find_delay_s(source, target)
                    chunks.put_nowait((due_at, chunk))
                    self.forwarded_bytes += len(chunk)
                chunk = await reader.read(CHUNK_BYTES)
                if not chunk:
                    break
            while self.drops(source, target):
                await asyncio.sleep(LOSS_POLL_S)
            chunks.put_nowait((0.0, b""))
            await sender_task
        finally:
            sender_task.cancel()
            writer.close()

    async def send_delayed(self, chunks, writer):
        """Write the queued chunks in order, each when it is due; an empty chunk ends the task."""
        loop = asyncio.get_running_loop()
        while True:
            due_at, chunk = await chunks.get()
            if not chunk:
                return
            wait_s = due_at - loop.time()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            if writer.is_closing():
                return
            writer.write(chunk)


@asynccontextmanager
async def run_proxy(ports):
    """Run a proxy with one listening address for each process.

    Parameters
    ----------
    ports : dict
        Maps the name of a process to the `Address` of the proxy and that of the process.

    Yields
    ------
    FaultProxy
    """
    proxy = FaultProxy()
    servers = []
    try:
        for name, (listen_address, server_address) in ports.items():
            proxy.server_addresses[name] = server_address
            handler = lambda reader, writer, name=name: proxy.accept(  # noqa: E731
                name, reader, writer
            )
            servers.append(
                await asyncio.start_server(handler, listen_address.host, listen_address.port)
            )
        yield proxy
    finally:
        for stream in list(proxy.streams):
            proxy.reset(stream)
        for server in servers:
            server.close()
