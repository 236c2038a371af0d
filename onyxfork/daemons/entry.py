"""The entry: runs the front, the owners of cells, the connections and the control client."""

import asyncio
import logging
from contextlib import asynccontextmanager
from uuid import uuid4

from aiohttp import web

from onyxfork.control.client import ControlClient
from onyxfork.daemons.http_server import add_common_routes, run_http
from onyxfork.entities.catalogue import Node
from onyxfork.entities.outcomes import Code, State
from onyxfork.entities.submissions import Answered
from onyxfork.entry.front import Front, choose_by_rendezvous_hash, request_from_submit, to_answer
from onyxfork.entry.http_api import add_caller_routes
from onyxfork.entry.owner import CellOwner
from onyxfork.entry.peers import PeerLinks
from onyxfork.errors import ProtocolError
from onyxfork.messages import (
    PROTOCOL_VERSION,
    Ask,
    Cancel,
    Hello,
    Look,
    Report,
    Submit,
    Timing,
    serve,
)
from onyxfork.metrics import Metrics
from onyxfork.settings import advertised_address
from onyxfork.systems.limits import demand_by_limit
from onyxfork.tls import TlsContexts
from onyxfork.utils import clock_for, owned_tasks

__all__ = ["Entry", "run_entry"]

log = logging.getLogger(__name__)

RENEW_INTERVAL_SHARE = 0.2
"""Interval between renewals as a share of the lease. Several renewals fit into one lease, so that a
single failure does not end it."""

DEFAULT_LEASE_S = 2.0
"""Duration of the lease that is assumed until control has granted one."""


class Entry:
    """An entry: answers callers' requests and owns the cells that control assigns to it.

    Parameters
    ----------
    settings : EntrySettings
    clock : Clock, optional
        By default the one that the settings name.

    Attributes
    ----------
    owners : dict
        The `CellOwner` of each cell that this entry owns, by the cell's name.
    lease_until : float
        Monotonic time at which the lease on these cells ends.
    """

    def __init__(self, settings, clock=None):
        self.settings = settings
        self.clock = clock or clock_for(settings.clock_file)
        self.metrics = Metrics("entry", settings.node, settings.zone)
        self.incarnation = uuid4().hex[:12]
        self.tls = TlsContexts.from_config(settings)
        timing = settings.timing
        self.timing = Timing(timing.heartbeat_s, timing.suspect_s, timing.silent_s)
        self.control = ControlClient(
            settings.control,
            self.hello,
            self.timing,
            self.clock,
            self.metrics.make_message_counter("control"),
            self.tls.client,
        )
        self.control.listeners.append(self.on_configuration)
        self.front = Front(self)
        self.peers = PeerLinks(self)
        self.owners = {}
        self.lease_until = float("-inf")
        self.lease_s = DEFAULT_LEASE_S
        self.stopping = False
        self.spawn = None
        self.port = None
        self.http_port = None
        self.metrics.gauge("waiting_tasks", "1", "Tasks waiting", self.count_waiting)
        self.metrics.gauge("open_requests", "1", "Requests held", lambda: self.front.open_requests)
        self.metrics.gauge(
            "configuration_age_s", "s", "Since last current", self.control.configuration_age_s
        )

    @classmethod
    def from_config(cls, settings):
        """Return an entry with the given settings."""
        return cls(settings)

    def hello(self):
        """Return the `Hello` that introduces this process to a peer."""
        return Hello(
            version=PROTOCOL_VERSION,
            cluster=self.settings.cluster,
            role="entry",
            node=self.settings.node,
            incarnation=self.incarnation,
            zone=self.settings.zone,
            clock=self.clock.now(),
        )

    def count_waiting(self):
        """Return how many tasks wait in the cells owned here."""
        return sum(owner.state.waiting_tasks for owner in self.owners.values())

    # Leases and cells

    def holds_lease(self):
        """Return whether the lease on the cells is held.

        It is counted from before the renewal was sent, so it ends here no later than at control.
        """
        return self.clock.now() < self.lease_until

    async def keep_lease(self):
        """Renew the lease until cancelled; owners stop placing tasks when it has ended."""
        while True:
            if not self.stopping:
                await self.renew()
            await asyncio.sleep(self.lease_s * RENEW_INTERVAL_SHARE)

    async def renew(self):
        """Renew the lease once and apply the shares of limits that come with it."""
        sent_at = self.clock.now()
        demand = {}
        for owner in self.owners.values():
            for name, value in demand_by_limit(owner.state).items():
                demand[name] = demand.get(name, 0.0) + value
        reply = await self.control.renew(self.settings.node, self.incarnation, demand)
        if reply is None or not reply.granted or self.stopping:
            return
        self.lease_s = reply.lease_s
        was_held = self.holds_lease()
        self.lease_until = sent_at + reply.lease_s
        for owner in self.owners.values():
            owner.update_shares(reply.shares)
            if not was_held:
                owner.wake()

    def cell_of_worker(self, name):
        """Return the name of the cell that a worker belongs to, by rendezvous hashing."""
        return choose_by_rendezvous_hash(name, sorted(self.control.catalogue.tables["cell"]))

    def on_configuration(self, changed):
        """Begin and end ownership as cells are assigned, and refresh all owners."""
        for row in list(self.control.catalogue.rows("cell")):
            self.update_ownership(row)
        for owner in self.owners.values():
            owner.refresh(changed)

    def update_ownership(self, row):
        """Begin or end the ownership of a cell, so that it follows the cell's row and epoch."""
        is_assigned = (row.owner, row.incarnation) == (self.settings.node, self.incarnation)
        owner = self.owners.get(row.name)
        if owner is not None and (not is_assigned or owner.state.epoch != row.epoch):
            self.drop_owner(row.name)
            owner = None
        if is_assigned and owner is None and not self.stopping:
            log.info("cell ownership began", extra={"cell": row.name, "epoch": row.epoch})
            self.owners[row.name] = CellOwner(row, self)

    def drop_owner(self, name):
        """End the ownership of a cell."""
        log.info("cell ownership ended", extra={"cell": name})
        self.owners.pop(name).close()

    # Other entries

    async def accept(self, connection):
        """Serve a connection that another entry opened."""
        connection.counter = self.metrics.make_message_counter(connection.peer.role)
        await connection.run(self.on_message)

    def on_message(self, connection, message):
        """Handle one message of another entry or of control."""
        if isinstance(message, Submit):
            self.spawn(self.answer_submit(connection, message))
        elif isinstance(message, (Look, Cancel)):
            connection.send(self.answer_look_or_cancel(message))
        elif isinstance(message, Ask):
            connection.send(self.report(message))
        else:
            raise ProtocolError(f"unexpected {type(message).__name__}")

    async def answer_submit(self, connection, message):
        """Submit a request that another entry received, and send the answer back."""
        owner = self.local_owner(message.submission)
        if owner is None:
            answered = Answered(message.submission, State.NOT_RUN, Code.MOVED, "not the owner")
        else:
            request = request_from_submit(message, self.clock.now())
            answered = await owner.submit(request, message.wait)
        connection.send(to_answer(answered, message.request))

    def local_owner(self, submission):
        """Return the owner of a submission's cell if it is in this process, else None."""
        cell = self.front.cell_for(submission)
        return self.owners.get(cell.name) if cell is not None else None

    def answer_look_or_cancel(self, message):
        """Return the answer to a `Look` or `Cancel` of another entry."""
        owner = self.local_owner(message.submission)
        answered = None
        if owner is not None:
            action = owner.find if isinstance(message, Look) else owner.cancel
            answered = action(message.submission)
        if answered is None:
            name = message.submission
            answered = Answered(name, State.NOT_RUN, Code.UNKNOWN_JOB, "not known")
        return to_answer(answered, message.request)

    def report(self, message):
        """Return rows of an operators' table for the cells owned here."""
        rows = []
        for owner in self.owners.values():
            rows += owner.report_rows(message.table, message.limit + 1 - len(rows))
        limit = message.limit
        return Report(message.request, self.settings.node, rows[:limit], len(rows) > limit)

    # Announcement, health and planned stop

    def announce(self, state="serving"):
        """Announce this entry to control."""
        settings = self.settings
        address = advertised_address(settings, self.port)
        self.control.announce(
            Node(
                name=settings.node,
                role="entry",
                host=address.host,
                port=address.port,
                zone=settings.zone,
                incarnation=self.incarnation,
                state=state,
                sequence=self.control.node.sequence if self.control.node else 0,
            )
        )

    def health(self):
        """Return whether the entry is ready, and details.

        A stopping entry is not ready, so that a load balancer sends it no new requests.
        """
        has_cells = bool(self.control.catalogue.tables["cell"])
        ready = has_cells and not self.stopping
        return ready, {
            "stopping": self.stopping,
            "cells": sorted(self.owners),
            "lease_held": self.holds_lease(),
            "configuration_current": self.control.is_configuration_current,
            "configuration_version": self.control.version,
            "open_requests": self.front.open_requests,
        }

    async def stop(self):
        """Perform a planned stop.

        The health check fails first. Then the cells are transferred to other entries, which take
        over their submissions. The process ends when the new owners have answered all requests
        that it holds, or after `EntrySettings.drain_s`.
        """
        self.stopping = True
        await asyncio.sleep(self.settings.announce_wait_s)
        await self.transfer_cells()
        deadline = self.clock.now() + self.settings.drain_s
        while self.front.open_requests and self.clock.now() < deadline:
            await asyncio.sleep(0.02)
        if self.control.node is not None:
            self.control.node.state = "left"
            await self.control.announce_and_wait(1.0)

    async def transfer_cells(self):
        """Release all cells if another entry can own them; otherwise own them to the end."""
        others = [
            node
            for node in self.control.catalogue.rows("node")
            if node.role == "entry" and node.state == "serving" and node.name != self.settings.node
        ]
        if not others or not self.owners:
            return
        self.lease_until = float("-inf")
        for name in list(self.owners):
            self.drop_owner(name)
        await self.control.renew(self.settings.node, self.incarnation, {}, stopping=True)

    def make_app(self):
        """Return the HTTP application for callers, health and metrics."""
        app = web.Application(client_max_size=self.settings.max_body_bytes)
        add_caller_routes(app, self)
        add_common_routes(app, self.metrics, self.health)
        return app


@asynccontextmanager
async def run_entry(entry):
    """Run an entry while the context is open."""
    settings = entry.settings
    async with owned_tasks() as spawn:
        entry.spawn = spawn
        server = serve(
            settings.listen.host,
            settings.listen.port,
            entry.hello,
            entry.timing,
            entry.accept,
            tls=entry.tls.server,
        )
        async with server as port, run_http(entry.make_app(), settings.http) as http_port:
            entry.port, entry.http_port = port, http_port
            spawn(entry.control.run())
            spawn(entry.keep_lease())
            entry.announce()
            yield entry
