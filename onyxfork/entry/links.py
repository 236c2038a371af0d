"""Connections of an owner to the agents of its cell."""

import asyncio
import logging
from random import Random

from onyxfork.errors import OnyxforkError
from onyxfork.messages import Lead, Leaving, Led, Report, Results, open_connection

__all__ = ["AgentLink"]

log = logging.getLogger(__name__)

MIN_RETRY_DELAY_S = 0.05
"""First delay of the exponential backoff between attempts to connect."""

MAX_RETRY_DELAY_S = 2.0
"""Upper bound on the backoff, before jitter."""


class AgentLink:
    """Keeps one connection to an agent and registers this owner there after each reconnection.

    Parameters
    ----------
    name : str
        The worker's name.
    owner : CellOwner

    Attributes
    ----------
    is_led : bool
        Whether the agent has accepted this owner on the current connection.
    reported_unreachable : bool
        Whether this owner has reported the worker as unreachable to control.
    unreachable_since : float
        Monotonic time at which the last accepted connection ended, at first that of creation.
    """

    def __init__(self, name, owner):
        self.name = name
        self.owner = owner
        self.connection = None
        self.is_led = False
        self.reported_unreachable = False
        self.task = None
        self.unreachable_since = owner.clock.now()
        self.rng = Random(f"{name}{owner.state.epoch}")

    @property
    def is_connected(self):
        """Whether the agent has accepted this owner on an open connection."""
        return self.is_led and self.connection is not None and self.connection.is_open

    async def run(self):
        """Reconnect with exponential backoff until the owner is replaced or the agent times out."""
        delay = MIN_RETRY_DELAY_S
        while not self.owner.deposed:
            node = self.owner.state.catalogue.find("node", self.name)
            if node is not None and await self.connect(node):
                delay = MIN_RETRY_DELAY_S
            if self.has_timed_out():
                self.owner.drop_worker(self.name, "it was unreachable for too long")
                return
            await asyncio.sleep(delay * (0.5 + self.rng.random()))
            delay = min(MAX_RETRY_DELAY_S, delay * 2)

    def has_timed_out(self):
        """Return whether the agent has been unreachable for longer than `Tuning.lost_after_s`."""
        unreachable_s = self.owner.clock.now() - self.unreachable_since
        return unreachable_s > self.owner.state.tuning.lost_after_s

    async def connect(self, node):
        """Serve one connection until it ends; return whether the agent accepted this owner."""
        entry = self.owner.entry
        counter = self.owner.metrics.make_message_counter("agent")
        self.is_led = False
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
            log.debug(
                "connecting to agent failed", extra={"worker": self.name, "reason": str(error)}
            )
        finally:
            was_led, self.is_led, self.connection = self.is_led, False, None
            if was_led:
                self.unreachable_since = self.owner.clock.now()
                self.owner.on_unreachable(self.name)
        return was_led

    def on_message(self, connection, message):
        """Handle one message of the agent."""
        if isinstance(message, Led):
            self.on_led(connection, message)
        elif isinstance(message, (Results, Leaving)):
            self.owner.on_agent_message(self, message)
        elif isinstance(message, Report):
            self.owner.entry.on_report(message)

    def on_led(self, connection, message):
        """Register the worker, or close the connection while the configuration lags behind."""
        node = self.owner.state.catalogue.find("node", self.name)
        if node is None:
            connection.close("the worker is no longer known")
            return
        if node.incarnation != message.incarnation:
            connection.close("the announcement of the worker's new incarnation has not arrived yet")
            return
        if message.accepted and node.unreachable_ms + self.reported_unreachable:
            self.owner.entry.spawn(self.withdraw_unreachable_report(connection, node, message))
            return
        self.is_led = message.accepted
        self.owner.on_led(self, node, message)

    async def withdraw_unreachable_report(self, connection, node, message):
        """Register a worker after control has withdrawn the record that it is unreachable.

        Until then a successor would conclude from the record that nothing is sent to the worker.
        """
        if not await self.owner.record_reach(self.name, 0):
            connection.close("control has not yet recorded that the worker is reachable")
            return
        self.reported_unreachable = False
        if connection is self.connection and connection.is_open and not self.owner.deposed:
            self.is_led = True
            self.owner.on_led(self, node, message)

    def stop(self):
        """Close the connection and do not reconnect."""
        if self.task is not None:
            self.task.cancel()
