"""The entry process of direct dispatch: connects a `Dispatcher` with callers and agents."""

import asyncio
import logging
from contextlib import asynccontextmanager
from functools import partial

from onyxfork.direct.admission import Refusal
from onyxfork.direct.answer_log import answer_log_fields, task_run_fields
from onyxfork.direct.dispatcher import Dispatcher
from onyxfork.direct.documents import decompress_document
from onyxfork.direct.entry_load import EntryLoad, Readiness, job_slack_ms
from onyxfork.direct.entry_stop import ends_before
from onyxfork.direct.hangups import Caller, open_hangup_watch
from onyxfork.direct.jobs import longest_chain_ms
from onyxfork.direct.links import ControlLinks, Dialer
from onyxfork.direct.messages import (
    AgentAnnounced,
    CrashReport,
    DocumentTransfer,
    EvacuationsAnnounced,
    FetchDocument,
    PlaceTasks,
    Recall,
    Resume,
    TaskEvents,
    Withdraw,
    WorkerStatus,
    share_specs,
)
from onyxfork.direct.placement import can_ever_run
from onyxfork.direct.precedence import MAX_PRIORITIES
from onyxfork.direct.requests import CANCELLED, REFUSED, UNKNOWN, JobOutcome
from onyxfork.direct.return_times import ReturnTimes, job_work
from onyxfork.errors import ProtocolError
from onyxfork.messages import serve
from onyxfork.utils import logged_failures, owned_tasks

__all__ = ["DirectEntry", "run_entry"]

log = logging.getLogger(__name__)

TICK_S = 0.02
"""Interval of the dispatcher's ticks."""

MIN_DRAIN_S = 2.5
"""Lower bound on the duration of a planned stop: the load balancer checks readiness once a second
and may need two checks to stop sending connections here."""

CONFIGURATION_WAIT_S = 0.7
"""How long a request waits for the first configuration. A process that has just started has
received it by then, or control is unreachable."""

ANSWER_MARGIN_S = 0.05
"""Part of a planned stop in which the jobs that have not ended are stopped and answered."""

MAX_SESSIONS = 96
"""Upper bound on connections to agents, beyond which those that control no longer assigns to this
entry are closed when they hold no runs."""

MAX_WANTED_LABELS = 4
"""Upper bound on the labels for which more agents are requested at a time."""

WANTED_LABEL_RETENTION_S = 5.0
"""How long after the latest shortage the additional agents of a label stay assigned."""

CALLER_LEFT = "the caller has disconnected"
"""Reason of the outcome of a job whose caller has left."""

SUBSET_INTERVAL_S = 0.1
"""Interval at which the requests for additional agents and for a first configuration are
reviewed."""


class DirectEntry:
    """An entry process.

    Parameters
    ----------
    settings : DirectSettings
    clock : Clock
    telemetry : Telemetry

    Attributes
    ----------
    configured : asyncio.Event
        Set once there is a configuration.
    connections : dict of str to Connection
        Open connections by agent.
    dialers : dict of str to (str, asyncio.Task)
        Address and dialer task by agent.
    answer_futures : dict of Job to asyncio.Future
        Futures that receive the outcomes of jobs.
    load : EntryLoad
        The delay of this process's event loop.
    readiness : Readiness
        What the load balancer is told, unless the process stops.
    return_times : ReturnTimes
        When refused callers return.
    subset_review_at : float
        Monotonic seconds of the next `review_subset`.
    stop_started_at : float or None
        Monotonic seconds at which a planned stop began.
    spawn : callable or None
        Starts a background task of the process; set by `run_entry`.
    hangup_watch : HangupWatch or None
        Notices that callers have left; set by `run_entry`.
    """

    def __init__(self, settings, clock, telemetry):
        self.settings = settings
        self.clock = clock
        self.telemetry = telemetry
        self.dispatcher = Dispatcher(
            clock.now(),
            zone=settings.zone,
            max_held_tasks=settings.max_held_tasks,
            cancel_departed=self.cancel_departed,
        )
        self.load = EntryLoad(clock.now(), TICK_S, clock.used_s())
        self.readiness = Readiness()
        self.return_times = ReturnTimes(clock.now(), self.dispatcher.rng)
        self.configured = asyncio.Event()
        self.control = ControlLinks(settings, clock, self.hello, telemetry)
        self.control.directory_listeners.append(self.update_agent_dialers)
        self.control.document_listeners.append(lambda _: self.configured.set())
        self.control.evacuation_listeners.append(self.apply_evacuations)
        self.connections = {}
        self.dialers = {}
        self.answer_futures = {}
        self.stop_started_at = None
        self.message_counter = telemetry.make_message_counter("agent")
        self.subset_review_at = clock.now()
        self.spawn = None
        self.hangup_watch = None
        telemetry.gauge("jobs_inside", lambda: len(self.dispatcher.jobs))
        telemetry.gauge("tasks_held", lambda: self.dispatcher.held_tasks)
        telemetry.gauge("loop_delay_ms", lambda: round(self.load.delay_ms, 1))
        telemetry.gauge("tasks_waiting", lambda: len(self.dispatcher.waiting_tasks))
        for index in range(MAX_PRIORITIES):
            read = partial(self.dispatcher.use.share_held, index)
            telemetry.gauge("share_held", read, priority=index)

    def hello(self):
        """Return the `Hello` that introduces this process to a peer."""
        return self.settings.hello("entry", self.clock.now())

    @property
    def is_ready(self):
        """Whether the load balancer may send new connections here."""
        return self.stop_started_at is None and self.readiness.is_ready

    def update_readiness(self, now):
        """Update what the load balancer is told from configuration, workers and own delay."""
        workers_ready = sum(view.is_ready for view in self.dispatcher.workers.values())
        can_serve = self.control.document is not None and workers_ready > 0
        delay_ms = self.load.delay_ms
        if self.readiness.update(can_serve, delay_ms, len(self.answer_futures), now):
            fields = {
                "ready": self.readiness.is_ready,
                "overloaded": self.readiness.is_overloaded,
                "loop_delay_ms": round(delay_ms, 1),
                "workers_ready": workers_ready,
                "jobs": len(self.answer_futures),
            }
            log.info("readiness changed", extra=fields)

    # Callers

    async def wait_for_configuration(self):
        """Wait for the first configuration, up to `CONFIGURATION_WAIT_S`."""
        try:
            async with asyncio.timeout(CONFIGURATION_WAIT_S):
                await self.configured.wait()
        except TimeoutError:
            log.info("request refused", extra={"reason": "there is no configuration yet"})

    def cancel_departed(self):
        """Cancel the jobs whose callers have left; `flush` sends what follows from that."""
        if self.hangup_watch is not None:
            self.hangup_watch.look()

    def stop_departed_jobs(self):
        """Stop the jobs whose callers have left."""
        self.cancel_departed()
        self.flush()

    def cancel_request(self, request):
        """Cancel the job of a request if it was accepted."""
        job = self.dispatcher.jobs.get(request.job)
        if job is not None and job.request is request:
            self.dispatcher.cancel(job, CALLER_LEFT)

    async def run_job(self, request, caller=None):
        """Run a job and return its `JobOutcome`; cancelling the coroutine stops the job.

        Parameters
        ----------
        request : JobRequest
        caller : Caller, optional
            Who waits for the outcome. Nothing is started if the caller has left, and the job is
            stopped when it leaves.

        Returns
        -------
        JobOutcome
        """
        caller = caller or Caller()
        self.stop_departed_jobs()
        if caller.has_left:
            log.info("job not started", extra={"job": request.job, "reason": CALLER_LEFT})
            self.telemetry.count("jobs", queue=request.queue.name, state=UNKNOWN)
            return JobOutcome(UNKNOWN, CALLER_LEFT)
        now = self.clock.now()
        refusal = self.find_refusal(request, now)
        if refusal is not None:
            return self.refused_outcome(request, refusal)
        # Before tasks are placed, which looks at the connections again.
        caller.on_left = partial(self.cancel_request, request)
        result = self.dispatcher.submit(request, now)
        if isinstance(result, Refusal):
            caller.on_left = None
            return self.refused_outcome(request, result)
        future = asyncio.get_running_loop().create_future()
        self.answer_futures[result] = future
        self.return_times.record_accepted(request.queue.priority, job_work(request))
        fields = {"slack_ms": round((min(map(result.latest_start, result.tasks)) - now) * 1000)}
        log.info("job accepted", extra={**self.admission_log_fields(request), **fields})
        self.flush()
        try:
            return await future
        except asyncio.CancelledError:
            self.dispatcher.cancel(result, CALLER_LEFT)
            self.flush()
            raise
        finally:
            caller.on_left = None
            self.answer_futures.pop(result, None)

    def find_refusal(self, request, now):
        """Return the `Refusal` of a job for the state of this process, or None."""
        if self.stop_started_at is not None and not self.ends_before_stop(request, now):
            return Refusal("this entry is about to stop")
        slack_ms = job_slack_ms(request, longest_chain_ms(request.steps))
        if self.answer_futures and self.load.exceeds_share(slack_ms):
            return Refusal(f"this entry is overloaded: it runs {self.load.delay_ms:.0f} ms late")
        return None

    def cancel_job(self, queue, job_id):
        """Stop a job at the request of a caller.

        Parameters
        ----------
        queue, job_id : str

        Returns
        -------
        bool
            Whether this entry has the job and it is cancelled.
        """
        job = self.find_job(queue, job_id)
        if job is None:
            return False
        self.dispatcher.cancel(job, "cancelled by a caller", CANCELLED)
        self.flush()
        return job.outcome.state == CANCELLED

    def find_job(self, queue, job_id):
        """Return a job that this entry has, or None."""
        job = self.dispatcher.jobs.get(job_id)
        return job if job is not None and job.request.queue.name == queue else None

    def ends_before_stop(self, request, now):
        """Return whether a job can be expected to end before a planned stop does."""
        ready = [view for view in self.dispatcher.workers.values() if view.is_ready]
        stop_at = self.stop_started_at + self.settings.drain_s
        return ends_before(stop_at, now, request.steps, ready)

    def refused_outcome(self, request, refusal):
        """Log and count the refusal of a job; return it as a `JobOutcome`."""
        delay_ms = self.return_delay_ms(request, refusal.retry_after_ms)
        fields = {
            "outcome": REFUSED,
            "reason": refusal.reason,
            "retry_after_ms": round(delay_ms),
            "first_start_ms": None,
            "last_end_ms": None,
            "runs": 0,
        }
        log.info("job refused", extra={**self.admission_log_fields(request), **fields})
        self.telemetry.count("jobs", queue=request.queue.name, state=REFUSED)
        self.telemetry.count("refusals", queue=request.queue.name, cause=refusal.cause)
        return JobOutcome(REFUSED, refusal.reason, delay_ms)

    def return_delay_ms(self, request, min_delay_ms):
        """Return the delay after which the caller of a refused job should return.

        Only jobs that wait for capacity here book it: a job that fits no worker would keep others
        from it, and the caller of an entry that is stopping can try another one.
        """
        steps, service = request.steps, request.queue.service
        views = self.dispatcher.workers.values()
        fits = not views or all(can_ever_run(step, service, views) for step in steps)
        if self.stop_started_at is not None or request.job in self.dispatcher.jobs or not fits:
            return min_delay_ms
        now, priority = self.clock.now(), request.queue.priority
        return self.return_times.book(priority, job_work(request), min_delay_ms, now)

    def admission_log_fields(self, request):
        """Return log fields with the state on which the admission of a job depends.

        The objective is that by the caller's estimate; `job ended` has the corrected one.
        """
        queue, views = request.queue, self.dispatcher.workers.values()
        objective_ms = queue.stretch * longest_chain_ms(request.steps) + queue.objective_ms
        return {
            "job": request.job,
            "queue": queue.name,
            "configuration": self.control.document.version if self.control.document else 0,
            "workers_ready": sum(view.is_ready for view in views),
            "tasks_waiting": len(self.dispatcher.waiting_tasks),
            "cores_running": self.dispatcher.millicores_in_use / 1000,
            "size_core_ms": round(request.size_core_ms),
            "priority": queue.priority,
            "objective_ms": round(objective_ms),
        }

    # Agents

    def update_agent_dialers(self):
        """Start and cancel dialers so that there is one for each agent in the directory.

        An agent that is no longer listed keeps its dialer while it is connected, except for idle
        ones beyond `MAX_SESSIONS`.
        """
        agents = {node.node: node for node in self.control.nodes_with_role("agent")}
        self.dispatcher.known_agent_count = len(agents)
        for name, node in agents.items():
            dialer = self.dialers.get(name)
            if dialer is not None and dialer[0] != node.address:
                self.dialers.pop(name)[1].cancel()
                dialer = None
            if dialer is None:
                task = self.spawn(self.make_dialer(node).run())
                self.dialers[name] = (node.address, task)
        for name in list(self.dialers):
            if name in agents:
                continue
            is_surplus = len(self.dialers) > MAX_SESSIONS and not self.has_runs(name)
            if name not in self.connections or is_surplus:
                self.dialers.pop(name)[1].cancel()

    def has_runs(self, name):
        """Return whether an agent holds runs of this entry."""
        view = self.dispatcher.workers.get(name)
        return view is not None and bool(view.tasks)

    def make_dialer(self, node):
        """Return the `Dialer` of one agent."""
        return Dialer(
            node.address,
            self.hello,
            self.settings.timing,
            lambda connection: self.on_agent_connected(node, connection),
            lambda connection, message: self.on_agent_message(node.node, message),
            lambda connection, reason: self.on_agent_disconnected(node.node, connection, reason),
            self.message_counter,
        )

    def on_agent_connected(self, node, connection):
        """Send a newly connected agent the list of runs that it should hold.

        Raises
        ------
        ProtocolError
            When another node has the address now: it does not know the runs of this agent.
        """
        peer = connection.peer
        if (peer.role, peer.node) != ("agent", node.node):
            raise ProtocolError(f"expected agent {node.node}, connected to {peer.role} {peer.node}")
        refs = self.dispatcher.on_connected(
            node.node, node.zone, node.address, peer.incarnation, self.clock.now()
        )
        self.connections[node.node] = connection
        self.dispatcher.workers[node.node].record_clock(connection.peer_clock, self.clock.now())
        connection.send(Resume(refs, str(self.settings.address)))
        connection.ping(self.clock.now())
        self.flush()
        self.control.evacuations.announce(connection)
        log.info("agent connected", extra={"agent": node.node, "runs": len(refs)})

    def apply_evacuations(self):
        """Apply a change of the evacuated zones, and pass it on to the connected agents."""
        evacuations = self.control.evacuations
        self.dispatcher.set_evacuated_zones(evacuations.zones, self.clock.now())
        for connection in self.connections.values():
            evacuations.announce(connection)
        self.flush()

    def on_agent_disconnected(self, name, connection, reason):
        """Mark an agent as disconnected, unless a newer connection has replaced this one."""
        if self.connections.get(name) is not connection:
            return
        del self.connections[name]
        runs = len(self.dispatcher.workers[name].tasks)
        log.info("agent disconnected", extra={"agent": name, "reason": reason, "runs": runs})
        self.dispatcher.on_disconnected(name, self.clock.now())

    def on_agent_message(self, name, message):
        """Handle one message from an agent."""
        now = self.clock.now()
        if isinstance(message, WorkerStatus):
            self.log_state_change(name, message)
            self.dispatcher.on_status(name, message, now)
        elif isinstance(message, TaskEvents):
            self.dispatcher.on_events(name, message.events, now)
        elif isinstance(message, CrashReport):
            self.dispatcher.on_crash_report(message.counts, now)
        elif isinstance(message, DocumentTransfer):
            self.control.adopt_document(decompress_document(message), name)
        elif isinstance(message, EvacuationsAnnounced):
            self.control.adopt_evacuations(message, name)
        else:
            raise ProtocolError(f"unexpected {type(message).__name__}")
        self.flush()

    def log_state_change(self, name, status):
        """Log a report if the state or the identity of the worker has changed."""
        previous = self.dispatcher.workers[name].status
        if previous is None or (previous.state, previous.worker) != (status.state, status.worker):
            fields = {
                "agent": name,
                "worker": status.worker,
                "state": status.state,
                "before": previous.state if previous else "",
            }
            log.info("worker state", extra=fields)

    # Output

    def flush(self):
        """Send the dispatcher's output to agents and answer callers."""
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
        if dispatcher.finished_jobs:
            finished_jobs, dispatcher.finished_jobs = dispatcher.finished_jobs, []
            for job in finished_jobs:
                self.answer(job)

    def send_orders(self, name, orders):
        """Send orders to an agent, with the latest value received of its clock."""
        connection = self.connections.get(name)
        if connection is not None:
            share_specs(orders)
            connection.send(PlaceTasks(orders, connection.peer_clock))

    def send(self, name, message):
        """Send a message to an agent if it is connected; otherwise a later `Resume` replaces it."""
        connection = self.connections.get(name)
        if connection is not None:
            connection.send(message)

    def answer(self, job):
        """Log and count a job's outcome and pass it to the caller."""
        now = self.clock.now()
        outcome, queue = job.outcome, job.request.queue.name
        if outcome.state == REFUSED:
            outcome.retry_after_ms = self.return_delay_ms(job.request, outcome.retry_after_ms)
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
            **answer_log_fields(job, self.dispatcher.workers),
            **task_run_fields(job),
        }
        log.info("job ended", extra=fields)
        self.telemetry.count("jobs", queue=queue, state=outcome.state)
        self.telemetry.observe("job_ms", elapsed_ms, queue=queue)
        future = self.answer_futures.get(job)
        if future is not None and not future.done():
            future.set_result(outcome)

    # Time

    async def run_ticks(self):
        """Call the dispatcher's tick periodically."""
        while True:
            await asyncio.sleep(TICK_S)
            with logged_failures(log, "tick failed"):
                self.tick(self.clock.now())

    def tick(self, now):
        """Apply the changes that depend on time alone."""
        self.load.record_tick(now, self.clock.used_s())
        self.update_readiness(now)
        self.dispatcher.tick(now)
        self.return_times.observe(self.dispatcher, now)
        self.flush()
        if now >= self.subset_review_at:
            self.subset_review_at = now + SUBSET_INTERVAL_S
            self.review_subset(now)

    def review_subset(self, now):
        """Ask control for more agents where capacity is short, and an agent for a configuration.

        An agent is asked only while there is no configuration, as after a restart while control is
        unavailable.
        """
        shortages = self.dispatcher.shortages
        for label in list(shortages):
            if now - shortages[label] > WANTED_LABEL_RETENTION_S:
                del shortages[label]
        latest = sorted(shortages, key=shortages.get, reverse=True)[:MAX_WANTED_LABELS]
        self.control.update_labels(wanted_labels=sorted(latest))
        if self.control.document is None and self.connections:
            connection = self.dispatcher.rng.choice(list(self.connections.values()))
            connection.send(FetchDocument())

    async def accept(self, connection):
        """Serve a connection from an agent that announces itself."""
        await connection.run(self.on_agent_announced)

    def on_agent_announced(self, connection, message):
        """Add an agent that has announced itself, unless control assigns the agents."""
        if not isinstance(message, AgentAnnounced):
            raise ProtocolError(f"unexpected {type(message).__name__}")
        if not self.control.connections:
            self.control.add_announced_node(message.agent)

    async def stop(self):
        """Perform a planned stop.

        Report not ready to the load balancer, then wait for accepted jobs. Those that have not
        ended in time are stopped and answered, so that their callers can send them again.
        """
        self.stop_started_at = self.clock.now()
        stop_ends_at = self.stop_started_at + self.settings.drain_s - ANSWER_MARGIN_S
        while self.clock.now() < stop_ends_at:
            elapsed_s = self.clock.now() - self.stop_started_at
            if elapsed_s >= MIN_DRAIN_S and not self.answer_futures:
                return
            await asyncio.sleep(TICK_S)
        jobs = list(self.answer_futures)
        log.warning("stopped with jobs in progress", extra={"jobs": len(jobs)})
        for job in jobs:
            if job.outcome is None:
                self.dispatcher.abandon_job(job, "this entry has stopped")
        self.flush()
        # Sends the orders to stop before the connections to agents are closed.
        await asyncio.sleep(ANSWER_MARGIN_S)


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
    loop = asyncio.get_running_loop()
    with open_hangup_watch(loop, entry.stop_departed_jobs) as hangup_watch:
        async with owned_tasks() as spawn:
            entry.spawn, entry.hangup_watch = spawn, hangup_watch
            entry.control.set_own_address(str(settings.address))
            async with server:
                spawn(entry.control.run(spawn))
                spawn(entry.run_ticks())
                yield entry
