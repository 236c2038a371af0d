"""Connections to other entries, over which requests are forwarded to the owner of their cell."""

import asyncio
import logging

from onyxfork.errors import OnyxforkError, UnavailableError
from onyxfork.messages import Answer, Report, open_connection

__all__ = ["PeerLinks"]

log = logging.getLogger(__name__)


class PeerLinks:
    """Connections to other entries, opened when first needed and then kept open.

    Parameters
    ----------
    entry : Entry

    Attributes
    ----------
    connections : dict
        Maps an entry's name to its open connection.
    opening_futures : dict
        Maps an entry's name to the future of a connection that is being opened.
    pending_requests : dict
        Maps the number of a request in flight to the entry's name and the future of its answer.
    """

    def __init__(self, entry):
        self.entry = entry
        self.opening_futures = {}
        self.connections = {}
        self.pending_requests = {}
        self.last_request_id = 0

    async def connection_to(self, node):
        """Return an open connection to an entry.

        Raises
        ------
        UnavailableError
            When the connection cannot be opened.
        """
        connection = self.connections.get(node.name)
        if connection is not None and connection.is_open:
            return connection
        opening = self.opening_futures.get(node.name)
        if opening is None:
            opening = asyncio.get_running_loop().create_future()
            self.opening_futures[node.name] = opening
            self.entry.spawn(self.run_connection(node, opening))
        connection = await opening
        if connection is None:
            raise UnavailableError(f"entry {node.name} is unreachable")
        return connection

    async def run_connection(self, node, opening):
        """Open a connection, resolve its future and read messages until the connection ends."""
        counter = self.entry.metrics.make_message_counter("entry")
        entry = self.entry
        try:
            async with open_connection(
                (node.host, node.port), entry.hello(), entry.timing, counter, entry.tls.client
            ) as connection:
                self.connections[node.name] = connection
                self.opening_futures.pop(node.name, None)
                opening.set_result(connection)
                await connection.run(self.on_message)
        except (OSError, OnyxforkError) as error:
            log.info("connecting to entry failed", extra={"peer": node.name, "reason": str(error)})
        finally:
            self.opening_futures.pop(node.name, None)
            if not opening.done():
                opening.set_result(None)
            self.fail_requests(node.name)

    def fail_requests(self, name):
        """Resolve all requests in flight to an entry with None after its connection ended."""
        self.connections.pop(name, None)
        for request_id, (peer, future) in list(self.pending_requests.items()):
            if peer == name and not future.done():
                del self.pending_requests[request_id]
                future.set_result(None)

    def on_message(self, connection, message):
        """Resolve the request that a message answers."""
        if isinstance(message, (Answer, Report)):
            pending = self.pending_requests.pop(message.request, None)
            if pending is not None and not pending[1].done():
                pending[1].set_result(message)

    async def ask(self, node, message):
        """Send a request to an entry and return its answer.

        Raises
        ------
        UnavailableError
            When the entry is unreachable and the request was not sent, or when the connection
            ended before the answer; in the second case its attribute `sent` is true.
        """
        connection = await self.connection_to(node)
        self.last_request_id += 1
        message.request = self.last_request_id
        future = asyncio.get_running_loop().create_future()
        self.pending_requests[message.request] = (node.name, future)
        connection.send(message)
        try:
            answer = await future
        finally:
            self.pending_requests.pop(message.request, None)
        if answer is None:
            error = UnavailableError(f"the connection to entry {node.name} was lost")
            error.sent = True
            raise error
        return answer
