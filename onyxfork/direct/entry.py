"""The entry of direct dispatch: drives a `Dispatcher` between callers and agents."""

import asyncio
import logging
from contextlib import asynccontextmanager

from onyxfork.direct.admission import Refusal
from onyxfork.direct.dispatcher import Dispatcher
from onyxfork.direct.jobs import longest_chain_ms
from onyxfork.direct.links import ControlLinks, Dialer
from onyxfork.direct.messages import (
    AgentAnnounced,
    PlaceTasks,
    Recall,
    Resume,
    TaskEvents,
    Withdraw,
    WorkerStatus,
)
from onyxfork.direct.requests import REFUSED, JobOutcome
from onyxfork.errors import ProtocolError
from onyxfork.messages import serve
from onyxfork.utils import owned_tasks

__all__ = ["DirectEntry", "run_entry"]

log = logging.getLogger(__name__)

TICK_S = 0.02
MIN_DRAIN_S = 2.5
"""The balancer notices within two checks, a second apart, that an entry is not ready."""

CONFIGURATION_WAIT_S = 0.7
"""A process that has just started has heard from control by then, or control is out of reach."""

STOP_RUN_TIME_FACTOR = 3.0
"""While stopping, a job is taken if it could take this many times as long as expected."""

STOP_MARGIN_S = 0.3
"""Kept of a planned stop for the last answers to leave."""


class DirectEntry:
    """An entry.

    Parameters
    ----------
    settings : DirectSettings
    clock : Clock
    telemetry : Telemetry
    """

    def __init__(self, settings, clock, telemetry):
        self.settings = settings
        self.clock = clock
        self.telemetry = telemetry
        self.dispatcher = Dispatcher(clock.now())
        self.configured = asyncio.Event()
        self.control = ControlLinks(settings, clock, self.hello, telemetry)
        self.control.directory_listeners.append(self.update_agent_dialers)
        self.control.document_listeners.append(lambda _: self.configured.set())
        self.connections = {}
        self.dialers = {}
        self.answer_futures = {}
        self.stop_started_at = None
        self.spawn = None
        telemetry.gauge("jobs_inside", lambda: len(self.dispatcher.jobs))
        telemetry.gauge("tasks_waiting", lambda: len(self.dispatcher.waiting_tasks))

    def hello(self):
        """Return what this process says of itself."""
        return self.settings.hello("entry", self.clock.now())

    @property
    def is_ready(self):
        """Whether the balancer may send new connections here."""
        ready = any(view.is_ready for view in self.dispatcher.workers.values())
        return self.stop_started_at is None and self.control.document is not None and ready

    # Callers

    async def wait_for_configuration(self):
        """Wait for the first configuration, for as long as a caller may be kept waiting for it."""
        try:
            async with asyncio.timeout(CONFIGURATION_WAIT_S):
                await self.configured.wait()
        except TimeoutError:
            log.info("request refused", extra={"reason": "there is no configuration yet"})

    async def run_job(self, request):
        """Run a job and return its `JobOutcome`; cancelling this stops the job.

        Parameters
        ----------
        request : JobRequest
        """
        now = self.clock.now()
        if self.stop_started_at is not None and not self.ends_before_stop(request, now):
            return self.refused_outcome(request, Refusal("this entry is about to stop"))
        taken = self.dispatcher.submit(request, now)
        if isinstance(taken, Refusal):
            return self.refused_outcome(request, taken)
        future = asyncio.get_running_loop().create_future()
        self.answer_futures[taken] = future
        fields = {"slack_ms": round((min(map(taken.latest_start, taken.tasks)) - now) * 1000)}
        log.info("job taken", extra={**self.admission_log_fields(request), **fields})
        self.flush()
        try:
            return await future
        except asyncio.CancelledError:
            self.dispatcher.cancel(taken, "the caller has left")
            self.flush()
            raise
        finally:
            self.answer_futures.pop(taken, None)

    def ends_before_stop(self, request, now):
        """Return whether a job surely ends before this entry does."""
        longest_s = longest_chain_ms(request.steps) / 1000
        ends_at = now + STOP_RUN_TIME_FACTOR * longest_s + STOP_MARGIN_S
        return ends_at <= self.stop_started_at + self.settings.drain_s

    def refused_outcome(self, request, refusal):
        """Return and log the refusal of a job that was never taken."""
        fields = {
            "outcome": REFUSED,
            "reason": refusal.reason,
            "retry_after_ms": round(refusal.retry_after_ms),
        }
        log.info("job refused", extra={**self.admission_log_fields(request), **fields})
        self.telemetry.count("jobs", queue=request.queue.name, state=REFUSED)
        return JobOutcome(REFUSED, refusal.reason, refusal.retry_after_ms)

    def admission_log_fields(self, request):
        """Return what decides whether a job is taken, for its log line."""
        views = self.dispatcher.workers.values()
        return {
            "job": request.job,
            "queue": request.queue.name,
            "configuration": self.control.document.version if self.control.document else 0,
            "workers_ready": sum(view.is_ready for view in views),
            "tasks_waiting": len(self.dispatcher.waiting_tasks),
            "cores_running": self.dispatcher.millicores_in_use / 1000,
        }

    # Agents

    def update_agent_dialers(self):
        """Keep a connection to each agent that is known."""
        known = {node.node: node for node in self.control.nodes_with_role("agent")}
        self.dispatcher.known_agent_count = len(known)
        for name, node in known.items():
            dialing = self.dialers.get(name)
            if dialing is not None and dialing[0] != node.address:
                self.dialers.pop(name)[1].cancel()
                dialing = None
            if dialing is None:
                task = self.spawn(self.make_dialer(node).run())
                self.dialers[name] = (node.address, task)
        for name in list(self.dialers):
            if name not in known and name not in self.connections:
                self.dialers.pop(name)[1].cancel()

    def make_dialer(self, node):
        """Return the dialer of one agent."""
        return Dialer(
            node.address,
            self.hello,
            self.settings.timing,
            lambda connection: self.on_agent_connected(node, connection),
            lambda connection, item: self.on_agent_message(node.node, item),
            lambda connection, reason: self.on_agent_disconnected(node.node, connection, reason),
        )

    def on_agent_connected(self, node, connection):
        """Tell an agent what it is believed to run."""
        refs = self.dispatcher.on_connected(node.node, node.zone)
        self.connections[node.node] = connection
        connection.send(Resume(refs))
        log.info("agent connected", extra={"agent": node.node, "runs": len(refs)})

    def on_agent_disconnected(self, name, connection, reason):
        """Note that an agent is out of reach."""
        if self.connections.get(name) is not connection:
            return
        del self.connections[name]
        runs = len(self.dispatcher.workers[name].tasks)
        log.info("agent disconnected", extra={"agent": name, "reason": reason, "runs": runs})
        self.dispatcher.on_disconnected(name, self.clock.now())

    def on_agent_message(self, name, item):
        """Take one message of an agent."""
        now = self.clock.now()
        if isinstance(item, WorkerStatus):
            self.log_state_change(name, item)
            self.dispatcher.on_status(name, item, now)
        elif isinstance(item, TaskEvents):
            self.dispatcher.on_events(name, item.events, now)
        else:
            raise ProtocolError(f"unexpected {type(item).__name__}")
        self.flush()

    def log_state_change(self, name, status):
        """Log a change of a worker's state."""
        before = self.dispatcher.workers[name].status
        if before is None or (before.state, before.worker) != (status.state, status.worker):
            fields = {
                "agent": name,
                "worker": status.worker,
                "state": status.state,
                "before": before.state if before else "",
            }
            log.info("worker state", extra=fields)

    # Output

    def flush(self):
        """Send what the dispatcher has decided, and answer callers."""
        dispatcher = self.dispatcher
        if dispatcher.withdrawals:
            withdrawals, dispatcher.withdrawals = dispatcher.withdrawals, {}
            for name, refs in withdrawals.items():
                self.send(name, Withdraw(refs))
        if dispatcher.recalls:
            recalls, dispatcher.recalls = dispatcher.recalls, {}
            for name, refs in recalls.items():
                self.send(name, Recall(refs))
        if dispatcher.orders:
            orders, dispatcher.orders = dispatcher.orders, {}
            for name, items in orders.items():
                self.send_orders(name, items)
        if dispatcher.answered:
            answered, dispatcher.answered = dispatcher.answered, []
            for job in answered:
                self.answer(job)

    def send_orders(self, name, orders):
        """Send an agent orders, with the latest value of its clock."""
        connection = self.connections.get(name)
        if connection is not None:
            connection.send(PlaceTasks(orders, connection.peer_clock))

    def send(self, name, message):
        """Send an agent a message; without a connection the agent learns it when it is back."""
        connection = self.connections.get(name)
        if connection is not None:
            connection.send(message)

    def answer(self, job):
        """Hand a job's outcome to its caller and log it."""
        now = self.clock.now()
        outcome, queue = job.outcome, job.request.queue.name
        elapsed_ms = (now - job.arrived_at) * 1000
        placed = job.first_placed_at
        fields = {
            "job": job.id,
            "queue": queue,
            "outcome": outcome.state,
            "reason": outcome.reason,
            "elapsed_ms": round(elapsed_ms, 1),
            "placed_ms": None if placed is None else round((placed - job.arrived_at) * 1000, 1),
            "objective_ms": round((job.due_at - job.arrived_at) * 1000),
            "tasks": len(job.tasks),
            "runs": sum(task.run for task in job.tasks),
            "configuration": self.control.document.version if self.control.document else 0,
        }
        log.info("job ended", extra=fields)
        self.telemetry.count("jobs", queue=queue, state=outcome.state)
        self.telemetry.observe("job_ms", elapsed_ms, queue=queue)
        future = self.answer_futures.get(job)
        if future is not None and not future.done():
            future.set_result(outcome)

    # Time

    async def run_ticks(self):
        """Let the dispatcher see time pass."""
        while True:
            await asyncio.sleep(TICK_S)
            self.dispatcher.tick(self.clock.now())
            self.flush()

    async def accept(self, connection):
        """Take the word of an agent that this entry does not know."""
        await connection.run(self.on_agent_announced)

    def on_agent_announced(self, connection, item):
        """Take in an agent, and its configuration while there is none from control."""
        if not isinstance(item, AgentAnnounced):
            raise ProtocolError(f"unexpected {type(item).__name__}")
        self.control.add_announced_node(item.agent)
        if item.document is not None:
            self.control.take_document(item.document, item.agent.node)

    async def stop(self):
        """Stop as planned: leave the balancer's rotation, then let what is inside end."""
        self.stop_started_at = self.clock.now()
        until = self.stop_started_at + self.settings.drain_s
        while self.clock.now() < until:
            waited = self.clock.now() - self.stop_started_at
            if waited >= MIN_DRAIN_S and not self.answer_futures:
                return
            await asyncio.sleep(TICK_S)
        log.warning("stopped with jobs inside", extra={"jobs": len(self.answer_futures)})


@asynccontextmanager
async def run_entry(entry):
    """Run an entry while the context is open.

    Parameters
    ----------
    entry : DirectEntry

    Yields
    ------
    DirectEntry
    """
    settings = entry.settings
    listen = settings.listen
    server = serve(listen.host, listen.port, entry.hello, settings.timing, entry.accept)
    async with owned_tasks() as spawn:
        entry.spawn = spawn
        entry.control.set_own_address(str(settings.address))
        async with server:
            spawn(entry.control.run(spawn))
            spawn(entry.run_ticks())
            yield entry
