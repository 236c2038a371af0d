"""A fault-injecting TCP proxy between the processes of a deployment.

Each process is reached through a port of its own here. The first frame of a connection says which
node opened it, so that faults apply to pairs of nodes, zones or racks and to one direction alone.
"""

import asyncio
import struct
from contextlib import asynccontextmanager, suppress

from attrs import define, field

from onyxfork.errors import ProtocolError
from onyxfork.messages import Hello, unpack

__all__ = ["FaultProxy", "Rule", "Place", "run_proxy"]

HEADER = struct.Struct(">I")
CHUNK_BYTES = 65536


@define(frozen=True)
class Place:
    """Where a node is, as far as faults are concerned."""

    node: str
    zone: str = ""
    rack: str = ""

    def matches(self, name):
        """Return whether a name of a node, zone or rack, or ``all``, covers this place."""
        return name in ("all", self.node, self.zone, self.rack)


@define
class Rule:
    """A fault on what goes from one place to another.

    Parameters
    ----------
    kind : str
        ``cut`` refuses and resets, ``lose`` lets bytes vanish on old and new connections,
        ``silence`` lets them vanish on the connections that exist when it is set, ``delay`` holds
        them back.
    """

    kind: str
    source: str
    target: str
    delay_s: float = 0.0

    def covers(self, source, target):
        """Return whether the rule applies to one direction."""
        return source.matches(self.source) and target.matches(self.target)


@define(eq=False)
class Stream:
    """One proxied connection."""

    client: Place
    server: Place
    writers: tuple
    silent_to_server: bool = False
    silent_to_client: bool = False


@define(eq=False)
class FaultProxy:
    """Listens for every process and forwards, with faults."""

    rules: list = field(factory=list)
    streams: set = field(factory=set)
    places: dict = field(factory=dict)
    targets: dict = field(factory=dict)
    base_delay_s: object = None
    forwarded_bytes: int = 0

    def place(self, name, zone="", rack=""):
        """Say where a node is."""
        self.places[name] = Place(name, zone, rack)

    def add(self, rule):
        """Put a fault in force."""
        if rule.kind == "silence":
            self.silence(rule)
            return
        self.rules.append(rule)
        if rule.kind == "cut":
            for stream in list(self.streams):
                if self.is_cut(stream.client, stream.server):
                    self.reset(stream)

    def silence(self, rule):
        """Let everything on the existing connections of a pair vanish."""
        for stream in self.streams:
            if rule.covers(stream.client, stream.server):
                stream.silent_to_server = True
            if rule.covers(stream.server, stream.client):
                stream.silent_to_client = True

    def heal(self):
        """Take every fault back; connections that were silenced stay silent."""
        self.rules.clear()

    def is_cut(self, client, server):
        """Return whether a pair is cut in either direction."""
        return any(
            rule.kind == "cut" and (rule.covers(client, server) or rule.covers(server, client))
            for rule in self.rules
        )

    def loses(self, source, target):
        """Return whether bytes of one direction vanish."""
        return any(rule.kind == "lose" and rule.covers(source, target) for rule in self.rules)

    def delay(self, source, target):
        """Return the delay of one direction in seconds."""
        base = self.base_delay_s(source, target) if self.base_delay_s is not None else 0.0
        extra = [r.delay_s for r in self.rules if r.kind == "delay" and r.covers(source, target)]
        return base + sum(extra)

    @staticmethod
    def reset(stream):
        """Close a connection abruptly on both sides."""
        for writer in stream.writers:
            writer.transport.abort()

    async def accept(self, name, reader, writer):
        """Serve one connection to the process `name`."""
        with suppress(OSError, EOFError, ProtocolError, asyncio.CancelledError):
            first, client = await self.read_hello(reader)
            server = self.places.get(name, Place(name))
            if self.is_cut(client, server):
                return
            target = self.targets[name]
            upstream_reader, upstream_writer = await asyncio.open_connection(
                target.host, target.port
            )
            stream = Stream(client, server, (writer, upstream_writer))
            self.streams.add(stream)
            try:
                await asyncio.gather(
                    self.pump(stream, reader, upstream_writer, True, first),
                    self.pump(stream, upstream_reader, writer, False, b""),
                )
            finally:
                self.streams.discard(stream)
                upstream_writer.close()
        writer.close()

    async def read_hello(self, reader):
        """Return the first frame of a connection and the place of who opened it."""
        header = await reader.readexactly(HEADER.size)
        (size,) = HEADER.unpack(header)
        if size > CHUNK_BYTES:
            raise ProtocolError("the first frame is too long")
        frame = await reader.readexactly(size)
        hello = unpack(frame)[0]
        if not isinstance(hello, Hello):
            raise ProtocolError("the first message must be Hello")
        return header + frame, self.places.get(hello.node, Place(hello.node, hello.zone))

    async def pump(self, stream, reader, writer, to_server, first):
        """Forward one direction until it ends."""
        source, target = stream.client, stream.server
        if not to_server:
            source, target = target, source
        queue = asyncio.Queue()
        sender = asyncio.create_task(self.send_delayed(queue, writer))
        chunk = first
        try:
            while True:
                silent = stream.silent_to_server if to_server else stream.silent_to_client
                if chunk and not silent and not self.loses(source, target):
                    due = asyncio.get_running_loop().time() + self.delay(source, target)
                    queue.put_nowait((due, chunk))
                    self.forwarded_bytes += len(chunk)
                chunk = await reader.read(CHUNK_BYTES)
                if not chunk:
                    break
            queue.put_nowait((0.0, b""))
            await sender
        finally:
            sender.cancel()
            writer.close()

    async def send_delayed(self, queue, writer):
        """Write chunks in order, each when it is due."""
        loop = asyncio.get_running_loop()
        while True:
            due, chunk = await queue.get()
            if not chunk:
                return
            wait_s = due - loop.time()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            if writer.is_closing():
                return
            writer.write(chunk)


@asynccontextmanager
async def run_proxy(ports):
    """Listen at one address for each process.

    Parameters
    ----------
    ports : dict
        Maps a process to (`Address` here, `Address` of the process).

    Yields
    ------
    FaultProxy
    """
    proxy = FaultProxy()
    servers = []
    try:
        for name, (here, target) in ports.items():
            proxy.targets[name] = target
            handler = lambda reader, writer, name=name: proxy.accept(  # noqa: E731
                name, reader, writer
            )
            servers.append(await asyncio.start_server(handler, here.host, here.port))
        yield proxy
    finally:
        for stream in list(proxy.streams):
            proxy.reset(stream)
        for server in servers:
            server.close()
