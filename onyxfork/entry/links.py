"""Connections of an owner to the agents of its cell."""

import asyncio
import logging
from random import Random

from onyxfork.errors import OnyxforkError
from onyxfork.messages import Lead, Leaving, Led, Report, Results, open_connection

__all__ = ["AgentLink"]

log = logging.getLogger(__name__)

RETRY_MIN_S = 0.05
RETRY_MAX_S = 2.0


class AgentLink:
    """Keeps one connection to an agent, leads it, and reconciles after each reconnection.

    Parameters
    ----------
    name : str
        The worker's name.
    owner : CellOwner
    """

    def __init__(self, name, owner):
        self.name = name
        self.owner = owner
        self.connection = None
        self.led = False
        self.reported = False
        self.task = None
        self.unreachable_since = owner.clock.now()
        self.rng = Random(f"{name}{owner.state.epoch}")

    @property
    def is_connected(self):
        """Whether the agent has accepted this owner on an open connection."""
        return self.led and self.connection is not None and self.connection.is_open

    async def run(self):
        """Keep connected until stopped."""
        delay = RETRY_MIN_S
        while not self.owner.deposed:
            node = self.owner.state.catalogue.find("node", self.name)
            if node is not None and await self.connect(node):
                delay = RETRY_MIN_S
            if self.given_up():
                self.owner.drop_worker(self.name, "it could not be reached")
                return
            await asyncio.sleep(delay * (0.5 + self.rng.random()))
            delay = min(RETRY_MAX_S, delay * 2)

    def given_up(self):
        """Return whether the agent has been out of reach for too long."""
        out_s = self.owner.clock.now() - self.unreachable_since
        return out_s > self.owner.state.tuning.lost_after_s

    async def connect(self, node):
        """Open a connection and use it until it ends; return whether it was led."""
        entry = self.owner.entry
        counter = self.owner.metrics.make_message_counter("agent")
        self.led = False
        try:
            async with open_connection(
                (node.host, node.port), entry.hello(), entry.timing, counter, entry.tls.client
            ) as connection:
                self.connection = connection
                state = self.owner.state
                lead = Lead(state.cell, state.epoch, entry.settings.node, connection.peer_clock)
                connection.send(lead)
                reason = await connection.run(self.on_message)
                log.info("connection ended", extra={"worker": self.name, "reason": reason})
        except (OSError, OnyxforkError) as error:
            log.debug("agent not reached", extra={"worker": self.name, "reason": str(error)})
        finally:
            was_led, self.led, self.connection = self.led, False, None
            if was_led:
                self.unreachable_since = self.owner.clock.now()
                self.owner.on_unreachable(self.name)
        return was_led

    def on_message(self, connection, message):
        """Take one message of the agent."""
        if isinstance(message, Led):
            self.on_led(connection, message)
        elif isinstance(message, (Results, Leaving)):
            self.owner.handle(self, message)
        elif isinstance(message, Report):
            self.owner.entry.on_report(message)

    def on_led(self, connection, message):
        """Count the agent as connected once it has accepted this owner."""
        node = self.owner.state.catalogue.find("node", self.name)
        if node is None:
            connection.close("the worker is no longer known")
            return
        if node.incarnation != message.incarnation:
            connection.close("its announcement has not arrived yet")
            return
        if message.accepted and node.unreachable_ms + self.reported:
            self.owner.entry.spawn(self.take_back_report(connection, node, message))
            return
        self.led = message.accepted
        self.owner.on_led(self, node, message)

    async def take_back_report(self, connection, node, message):
        """Use a worker that was reported unreachable only after control knows that it is not."""
        if not await self.owner.note_reach(self.name, 0):
            connection.close("control does not know yet that the worker is reached")
            return
        self.reported = False
        if connection is self.connection and connection.is_open and not self.owner.deposed:
            self.led = True
            self.owner.on_led(self, node, message)

    def stop(self):
        """End the connection and do not come back."""
        if self.task is not None:
            self.task.cancel()
