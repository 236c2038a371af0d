"""The agent: runs beside one upstream and decides alone which tasks are started there."""

import asyncio
import logging
from contextlib import asynccontextmanager
from uuid import uuid4

import aiohttp
from aiohttp import web

from onyxfork.control.client import ControlClient
from onyxfork.daemons.http_server import (
    add_common_routes,
    error_response,
    read_json_object,
    run_http,
)
from onyxfork.entities.agent_tasks import AgentState
from onyxfork.entities.catalogue import Node
from onyxfork.errors import ProtocolError
from onyxfork.messages import (
    PROTOCOL_VERSION,
    Ask,
    Fetch,
    Hello,
    Lead,
    Leaving,
    Report,
    Results,
    Revoke,
    Start,
    Stop,
    Timing,
    serve,
)
from onyxfork.metrics import Metrics
from onyxfork.settings import advertised_address
from onyxfork.systems import execution
from onyxfork.tls import TlsContexts
from onyxfork.upstreams.client import HttpUpstreamClient
from onyxfork.upstreams.lease import read_announcement
from onyxfork.utils import clock_for, owned_tasks

__all__ = ["Agent", "run_agent"]

log = logging.getLogger(__name__)

HOUSEKEEPING_INTERVAL_S = 0.25

OWNER_MESSAGES = (Start, Revoke, Stop, Fetch)
"""Messages that are accepted only on the connection of the cell's owner."""


class Agent:
    """The agent of one worker.

    Parameters
    ----------
    settings : AgentSettings
    clock : Clock, optional
        By default the one that the settings name.

    Attributes
    ----------
    lead_connection : Connection or None
        The connection of the entry that is accepted as owner of the cell.
    lease : UpstreamLease or None
        The upstream's latest announcement.
    leave_reason : str or None
        Why the worker accepts no new task: drained, stopping, or without an upstream.
    unsent_results : list of TaskResult
        Sent together in the next iteration of the event loop.
    """

    def __init__(self, settings, clock=None):
        self.settings = settings
        self.clock = clock or clock_for(settings.clock_file)
        self.metrics = Metrics("agent", settings.node, settings.zone)
        self.state = AgentState(
            incarnation=uuid4().hex[:12], owner_timeout_s=settings.timing.silent_s
        )
        self.lead_connection = None
        self.lease = None
        self.usage = {}
        self.upstream = None
        self.session = None
        self.unsent_results = []
        self.flush_scheduled = False
        self.port = None
        self.http_port = None
        self.spawn = None
        self.leave_reason = None
        self.tls = TlsContexts.from_config(settings)
        self.timing = Timing(
            settings.timing.heartbeat_s, settings.timing.suspect_s, settings.timing.silent_s
        )
        self.control = ControlClient(
            settings.control,
            self.hello,
            self.timing,
            self.clock,
            self.metrics.make_message_counter("control"),
            self.tls.client,
        )
        self.control.listeners.append(self.on_configuration)
        self.metrics.gauge("running_tasks", "1", "Tasks running", lambda: self.state.running)
        self.metrics.gauge("queued_tasks", "1", "Tasks queued here", lambda: self.state.queued)

    @classmethod
    def from_config(cls, settings):
        """Return an agent with the given settings."""
        return cls(settings)

    def hello(self):
        """Return the `Hello` that introduces this process to a peer."""
        return Hello(
            version=PROTOCOL_VERSION,
            cluster=self.settings.cluster,
            role="agent",
            node=self.settings.node,
            incarnation=self.state.incarnation,
            zone=self.settings.zone,
            clock=self.clock.now(),
        )

    # Owner

    async def accept(self, connection):
        """Serve a connection that an entry opened."""
        connection.counter = self.metrics.make_message_counter(connection.peer.role)
        try:
            await connection.run(self.on_message)
        finally:
            if self.lead_connection is connection:
                self.lead_connection = None

    def on_message(self, connection, message):
        """Handle one message of an entry or of control."""
        now = self.clock.now()
        if isinstance(message, Lead):
            self.answer_lead(connection, message, now)
        elif isinstance(message, OWNER_MESSAGES) and connection is not self.lead_connection:
            log.info("ignored a message on a connection other than the owner's")
        elif isinstance(message, Start):
            self.update_owner_echo(connection)
            self.queue_results(execution.accept(self.state, message, now))
            self.start_ready_tasks()
        elif isinstance(message, Revoke):
            replies = execution.revoke(self.state, message.tasks, "revoked by its owner", now)
            self.queue_results(replies)
        elif isinstance(message, Stop):
            self.stop_tasks(message, now)
        elif isinstance(message, Fetch):
            self.queue_results(execution.fetch(self.state, message.tasks, now))
        elif isinstance(message, Ask):
            connection.send(self.report(message))
        else:
            raise ProtocolError(f"unexpected {type(message).__name__}")

    def answer_lead(self, connection, message, now):
        """Accept or reject an entry as owner of the cell, and answer it."""
        led = execution.lead(self.state, message, now)
        if led.accepted:
            self.lead_connection = connection
        connection.send(led)
        log.info(
            "owner accepted" if led.accepted else "owner rejected",
            extra={"owner": message.owner, "epoch": message.epoch, "known_epoch": led.epoch},
        )

    def update_owner_echo(self, connection):
        """Record the latest clock value that the owner has echoed."""
        if connection is self.lead_connection:
            lead = self.state.lead
            lead.echo = max(lead.echo, connection.latest_echo)

    def start_ready_tasks(self):
        """Start queued tasks at the upstream while slots are free."""
        if self.lead_connection is not None:
            self.update_owner_echo(self.lead_connection)
        for task in execution.start_queued_tasks(self.state, self.clock.now()):
            self.spawn(self.run_task(task))

    async def run_task(self, task):
        """Run one task at the upstream and report its result."""
        key = (task.submission, task.index)
        start = task.start
        fields = {"submission": key[0], "task": key[1], "job": start.job}
        log.debug("task started", extra=fields)
        outcome = await self.upstream.run(task)
        now = self.clock.now()
        result = execution.finish(
            self.state,
            key,
            outcome.outcome.value,
            outcome.output,
            outcome.reason,
            now,
            outcome.output_bytes,
        )
        labels = {"organisation": start.organisation, "class": start.job}
        self.metrics.run_ms.record(result.run_ms, labels)
        self.metrics.queue_ms.record(result.queue_ms, labels)
        self.metrics.tasks.add(1, {**labels, "outcome": result.outcome})
        log.debug("task ended", extra={**fields, "outcome": result.outcome})
        self.queue_results([result])
        self.start_ready_tasks()

    def stop_tasks(self, message, now):
        """Drop queued tasks and stop running ones whose results are no longer needed."""
        replies, running = execution.stop(self.state, message.tasks, now)
        self.queue_results(replies)
        for submission, index in running:
            self.spawn(self.upstream.stop(submission, index))

    def queue_results(self, results):
        """Collect results and send them together in the next iteration of the event loop."""
        self.unsent_results += [result for result in results if result is not None]
        if self.unsent_results and not self.flush_scheduled:
            self.flush_scheduled = True
            asyncio.get_running_loop().call_soon(self.flush_results)

    def flush_results(self):
        """Send the collected results to the owner; without a connection the owner fetches them."""
        self.flush_scheduled = False
        results, self.unsent_results = self.unsent_results, []
        if self.lead_connection is not None and self.lead_connection.is_open and results:
            message = Results(results, self.state.free, self.clock.now())
            self.lead_connection.send(message)

    def report(self, message):
        """Return rows on queued and running tasks, for operators."""
        now = self.clock.now()
        rows = [
            {
                "worker": self.settings.node,
                "zone": self.settings.zone,
                "submission": task.submission,
                "task": task.index,
                "state": task.state,
                "for_ms": round((now - (task.started_at or task.queued_at)) * 1000),
            }
            for task in self.state.tasks.values()
            if task.state != "ended"
        ]
        limit = message.limit
        return Report(message.request, self.settings.node, rows[:limit], len(rows) > limit)

    # Upstream

    async def handle_announce(self, request):
        """Handle an upstream's announcement, or its renewal."""
        try:
            body = await read_json_object(request)
            lease = read_announcement(body, self.clock.now(), self.settings.max_slots)
        except ValueError as error:
            field, _, reason = str(error).partition(": ")
            return error_response(400, "bad-request", reason or field, field if reason else "")
        self.apply_lease(lease)
        return web.json_response({"lease_s": lease.until - self.clock.now()})

    def apply_lease(self, lease):
        """Serve with the capacity in a lease, and announce it when it is new or has changed."""
        former_lease = self.lease
        self.lease = lease
        if self.leave_reason == "the upstream left" or self.leave_reason == "upstream lease ended":
            self.leave_reason = None
        if former_lease is None or former_lease.url != lease.url:
            self.upstream = HttpUpstreamClient(self.session, lease.url)
        if self.leave_reason is not None:
            return
        changed = former_lease is None or former_lease.capacity != lease.capacity
        if changed or self.state.leaving is not None or self.state.slots != lease.slots:
            self.state.slots = lease.slots
            self.state.leaving = None
            self.announce("serving")
            self.close_lead_connection()

    async def handle_leave(self, _):
        """Handle the upstream's request to leave: accept no new task."""
        self.leave("the upstream left")
        return web.json_response({"running": self.state.running})

    async def handle_usage(self, request):
        """Store the upstream's usage report, which lags behind the running tasks."""
        try:
            self.usage = await read_json_object(request)
        except ValueError as error:
            return error_response(400, "bad-request", str(error))
        return web.json_response({})

    def leave(self, reason):
        """Accept no new task; return queued ones as not run and let running ones end."""
        self.leave_reason = reason
        if self.state.leaving == reason:
            return
        self.queue_results(execution.leave(self.state, reason, self.clock.now()))
        self.announce("leaving")
        if self.lead_connection is not None:
            self.lead_connection.send(Leaving(reason))

    def close_lead_connection(self):
        """Close the owner's connection, so that it reconnects and receives the new capacity."""
        if self.lead_connection is not None:
            self.lead_connection.close("the upstream's capacity changed")

    def announce(self, state):
        """Announce this worker to control."""
        lease = self.lease
        if lease is None:
            return
        address = advertised_address(self.settings, self.port)
        node = Node(
            name=self.settings.node,
            role="agent",
            host=address.host,
            port=address.port,
            zone=self.settings.zone,
            rack=self.settings.rack,
            incarnation=self.state.incarnation,
            slots=lease.slots,
            processors=lease.processors,
            memory_mb=lease.memory_mb,
            accelerators=lease.accelerators,
            state=state,
            sequence=self.control.node.sequence if self.control.node else 0,
        )
        self.control.announce(node)

    def on_configuration(self, _):
        """Leave or serve again after a change of the drains of this worker, its rack or zone."""
        drain = self.control.catalogue.drained(self.drain_target())
        if drain is not None:
            self.leave(f"drained: {drain.kind} {drain.name}")
        elif (self.leave_reason or "").startswith("drained"):
            self.leave_reason = None
            if self.lease is not None:
                self.apply_lease(self.lease)

    def drain_target(self):
        """Return a row with this worker's name, rack and zone, to look up its drain."""
        settings = self.settings
        return Node(settings.node, "agent", "", 0, settings.zone, settings.rack)

    # Time

    async def housekeeping(self):
        """Expire the upstream's lease, queued tasks of a timed-out owner, and old results."""
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
            now = self.clock.now()
            if self.lead_connection is not None:
                self.update_owner_echo(self.lead_connection)
            if self.lease is not None and now > self.lease.until and not self.leave_reason:
                self.leave("upstream lease ended")
            self.queue_results(execution.expire_queued_tasks(self.state, now))
            execution.drop_expired_tasks(self.state, now)

    def health(self):
        """Return whether the agent is ready, and details."""
        ready = self.state.slots > 0 and self.state.leaving is None
        return ready, {
            "upstream": self.lease.url if self.lease else None,
            "leaving": self.state.leaving,
            "running": self.state.running,
            "queued": self.state.queued,
            "configuration_current": self.control.is_configuration_current,
            "configuration_version": self.control.version,
        }

    async def stop(self):
        """Perform a planned stop.

        Running tasks may end within `AgentSettings.drain_s`; the upstream is asked to checkpoint
        the rest. Then the end is announced to control.
        """
        self.leave("the agent stops")
        deadline = self.clock.now() + self.settings.drain_s
        while self.state.running and self.clock.now() < deadline:
            await asyncio.sleep(0.02)
        await self.checkpoint_running()
        if self.control.node is not None:
            self.control.node.state = "left"
            await self.control.announce_and_wait(1.0)
        await asyncio.sleep(0.05)

    async def checkpoint_running(self):
        """Ask the upstream to checkpoint tasks that still run at the end of the planned stop."""
        running = [key for key, task in self.state.tasks.items() if task.state == "running"]
        await asyncio.gather(*(self.upstream.checkpoint(*key) for key in running))

    def make_app(self):
        """Return the HTTP application for the upstream, health and metrics."""
        app = web.Application(client_max_size=65536)
        app.router.add_post("/v1/announce", self.handle_announce)
        app.router.add_post("/v1/leave", self.handle_leave)
        app.router.add_post("/v1/usage", self.handle_usage)
        add_common_routes(app, self.metrics, self.health)
        return app


@asynccontextmanager
async def run_agent(agent):
    """Run an agent while the context is open."""
    settings = agent.settings
    connector = aiohttp.TCPConnector(limit=settings.max_slots + 8)
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=2.0)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        agent.session = session
        async with owned_tasks() as spawn:
            agent.spawn = spawn
            server = serve(
                settings.listen.host,
                settings.listen.port,
                agent.hello,
                agent.timing,
                agent.accept,
                tls=agent.tls.server,
            )
            async with server as port, run_http(agent.make_app(), settings.http) as http_port:
                agent.port, agent.http_port = port, http_port
                spawn(agent.control.run())
                spawn(agent.housekeeping())
                yield agent
