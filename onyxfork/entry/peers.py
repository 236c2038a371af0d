"""Connections from the entry that received a request to the owner of its cell."""

import asyncio
import logging

from onyxfork.errors import OnyxforkError, UnavailableError
from onyxfork.messages import Answer, Report, open_connection

__all__ = ["PeerLinks"]

log = logging.getLogger(__name__)


class PeerLinks:
    """Connections to other entries, opened when first needed and kept.

    Parameters
    ----------
    entry : Entry
    """

    def __init__(self, entry):
        self.entry = entry
        self.opening = {}
        self.connections = {}
        self.requests = {}
        self.next_request = 0

    async def connection_to(self, node):
        """Return an open connection to an entry.

        Raises
        ------
        UnavailableError
        """
        connection = self.connections.get(node.name)
        if connection is not None and connection.is_open:
            return connection
        opening = self.opening.get(node.name)
        if opening is None:
            opening = asyncio.get_running_loop().create_future()
            self.opening[node.name] = opening
            self.entry.spawn(self.keep(node, opening))
        connection = await opening
        if connection is None:
            raise UnavailableError(f"entry {node.name} is not reached")
        return connection

    async def keep(self, node, opening):
        """Open a connection and read it until it ends."""
        counter = self.entry.metrics.make_message_counter("entry")
        entry = self.entry
        try:
            async with open_connection(
                (node.host, node.port), entry.hello(), entry.timing, counter, entry.tls.client
            ) as connection:
                self.connections[node.name] = connection
                self.opening.pop(node.name, None)
                opening.set_result(connection)
                await connection.run(self.on_message)
        except (OSError, OnyxforkError) as error:
            log.info("entry not reached", extra={"peer": node.name, "reason": str(error)})
        finally:
            self.opening.pop(node.name, None)
            if not opening.done():
                opening.set_result(None)
            self.fail(node.name)

    def fail(self, name):
        """Fail the requests that wait for an entry whose connection ended."""
        self.connections.pop(name, None)
        for request, (peer, future) in list(self.requests.items()):
            if peer == name and not future.done():
                del self.requests[request]
                future.set_result(None)

    def on_message(self, connection, message):
        """Hand an answer to whoever waits for it."""
        if isinstance(message, (Answer, Report)):
            found = self.requests.pop(message.request, None)
            if found is not None and not found[1].done():
                found[1].set_result(message)

    async def ask(self, node, message):
        """Send a request to an entry and return its answer.

        Raises
        ------
        UnavailableError
            When the entry can not be reached: the request was not sent. Its `sent` attribute is
            true when the connection ended before the answer.
        """
        connection = await self.connection_to(node)
        self.next_request += 1
        message.request = self.next_request
        future = asyncio.get_running_loop().create_future()
        self.requests[message.request] = (node.name, future)
        connection.send(message)
        try:
            answer = await future
        finally:
            self.requests.pop(message.request, None)
        if answer is None:
            error = UnavailableError(f"the connection to entry {node.name} was lost")
            error.sent = True
            raise error
        return answer
