"""Calls of an agent to its worker: renewals of the lease, lists of runs, starts and stops.

Mixin of :class:`onyxfork.direct.agent.DirectAgent`, which defines the attributes.
"""

import asyncio
import logging
from contextlib import contextmanager, suppress

from onyxfork.direct.answer_times import MAX_TIMEOUT_S
from onyxfork.direct.run_log import log_slow_stop, run_log_fields
from onyxfork.direct.runs import EVACUATED, STARTING
from onyxfork.direct.worker_lifetimes import RETRY_DELAY_S, WorkerLifetimes, retry_delay_s
from onyxfork.utils import logged_failures, owned_tasks

__all__ = ["WorkerDriver", "task_name"]

log = logging.getLogger(__name__)

RENEWAL_WAIT_MS = 100
"""How long the worker may delay its answer to a renewal until a run ends (long polling). It also
bounds the interval at which the agent reads the progress of runs."""

IDLE_RENEWAL_WAIT_MS = 300
"""The same while there are no runs, whose progress would have to be read."""

SUSPECT_MISSED_RENEWALS = 2
"""Unanswered renewals in a row after which the worker is reported to entries as suspect."""

MIN_SUSPECT_SILENCE_S = 0.5
"""A worker whose connections stay open is suspect only after this long without an answer. One that
loses one call in twenty misses two renewals in a row every few seconds, yet it runs its tasks. A
worker that refuses renewals is suspect without this delay."""

WATCH_REVIEW_S = 0.05
"""Interval at which `watch_lists` checks whether a second poll is needed."""

MAX_START_REPEATS = 2
"""How often an unanswered order to start is repeated. A worker starts a run once however often it
is ordered; with one call in twenty lost, two repeats leave one order in eight thousand."""

STOP_INTERVAL_S = 0.05
"""Interval at which an order to stop is repeated, unless the worker usually takes longer."""

URGENT_STOP_S = 1.5
"""How long an order is repeated at that interval. By then the lease of a run that its entry has
withdrawn has expired."""

LATER_STOP_INTERVAL_S = 0.25
"""Interval at which an order to stop is repeated from then on."""

STOP_SETTLED_ANSWERS = ("ok", "other-lifetime")
"""Answers after which a run will end, or has ended with the lifetime that was called."""

MAX_OPEN_STOPS = 24
"""Upper bound on the unanswered orders to stop, half of the connections to a worker. Those of many
runs would keep the renewals of the lease waiting."""


class WorkerDriver(WorkerLifetimes):
    """Mixin that carries out the arbiter's decisions and passes it replies of the worker."""

    # Worker's lease and lists

    async def keep_lease(self):
        """Renew the lease and read the lists of runs in a loop; wait while no worker is known.

        A pause after a failed renewal ends when another lifetime begins: if that one crashes, its
        silence is dated by its own renewals.
        """
        while True:
            self.lifetime_begun.clear()
            worker = self.arbiter.worker
            if worker is None:
                await self.lifetime_begun.wait()
                continue
            delay_s = RETRY_DELAY_S
            with logged_failures(log, "renewal of the lease failed"):
                delay_s = await self.renew_lease(worker)
            if delay_s:
                with suppress(TimeoutError):
                    async with asyncio.timeout(delay_s):
                        await self.lifetime_begun.wait()

    async def watch_lists(self):
        """Request the lists of runs beside the renewals while the worker leaves calls unanswered.

        The end of a run is learnt from the answer to a long poll. If that answer is lost, all runs
        that end before the poll times out are reported late. With two polls one is answered.
        """
        while True:
            worker = self.arbiter.worker
            now = self.clock.now()
            if worker is None or not self.arbiter.runs or not self.list_polls.is_lossy(now):
                await asyncio.sleep(WATCH_REVIEW_S)
                continue
            delay_s = RETRY_DELAY_S
            with logged_failures(log, "reading the lists of runs failed"):
                delay_s = await self.poll_lists(worker, RENEWAL_WAIT_MS)
            if delay_s:
                await asyncio.sleep(delay_s)

    async def poll_lists(self, worker, wait_ms):
        """Request the lists of runs without a renewal; return the delay before the next request.

        Parameters
        ----------
        worker : Worker
        wait_ms : int
            How long the worker may delay its answer until a run ends.

        Returns
        -------
        float
            Seconds.
        """
        asked_at, known_end = self.clock.now(), self.last_end
        reply = await self.list_polls.request(
            worker, None, self.token.value, self.acknowledged_end, wait_ms
        )
        if reply.answer != "ok" or not self.is_credited(worker, reply):
            return retry_delay_s(reply)
        self.on_renewal_answered(self.clock.now())
        self.apply_lists(reply, known_end, asked_at, self.clock.now())
        return 0.0

    async def renew_lease(self, worker):
        """Renew the lease once; return the delay before the next renewal in seconds."""
        sent_at, known_end = self.clock.now(), self.last_end
        token = self.token.value
        until_ms = None
        # After a missed renewal only the lists are requested. A renewal may reach the worker even
        # if its answer is lost, so with further renewals the lease might never expire. Runs of a
        # former process, whose entries may have placed their tasks elsewhere, get no renewal.
        may_renew = self.takeover_complete.is_set() and not self.missed_renewals
        if may_renew and self.worker_clock.answered_at:
            until_ms = self.lease_end_ms(sent_at)
            self.lease.renewed_at = sent_at
        wait_ms = 0
        if may_renew:
            wait_ms = RENEWAL_WAIT_MS if self.arbiter.runs else IDLE_RENEWAL_WAIT_MS
        new_connection = self.missed_renewals > 0
        reply = await self.list_polls.request(
            worker, until_ms, token, self.acknowledged_end, wait_ms, new_connection
        )
        now = self.clock.now()
        if not self.is_current_lifetime(worker):
            return 0.0
        if not self.is_credited(worker, reply):
            return RETRY_DELAY_S
        if reply.answer != "ok":
            self.on_failed_renewal(reply, token, sent_at, now)
            return retry_delay_s(reply)
        self.worker_clock.update(reply.clock_ms, now)
        self.on_renewal_answered(now)
        if self.token.on_accepted():
            self.apply_lists(reply, known_end, sent_at, now)
        return 0.0

    def lease_end_ms(self, requested_at):
        """Return until when a request extends the lease, in milliseconds of the worker's clock.

        The lease covers runs only as long as their entries are known to have been in contact, so
        that the worker ends them in time even if this process gets no processor time.
        """
        self.detect_suspension()
        self.update_contacts()
        arbiter = self.arbiter
        ends_at = min(
            requested_at + self.lease.length_ms / 1000, arbiter.lease_limit(self.clock.now())
        )
        arbiter.lease_ends_at = max(arbiter.lease_ends_at, ends_at)
        return int(self.worker_clock.earliest_ms(requested_at) + (ends_at - requested_at) * 1000)

    @property
    def acknowledged_end(self):
        """Number up to which a request for the lists lets the worker drop ended runs.

        After a missed renewal another lifetime may answer, whose ends have numbers of their own.
        """
        return 0 if self.missed_renewals else self.last_end

    def on_failed_renewal(self, reply, token, sent_at, now):
        """Handle a renewal that was refused or not answered."""
        if reply.answer == "fence":
            self.token.on_refused(token)
            log.warning("fencing token refused", extra={"token": token, "next": self.token.value})
            return
        self.missed_renewals += 1
        self.arbiter.on_renewal_missed(now if reply.connection_lost else sent_at, now)
        is_silent = now - self.arbiter.last_answer_at >= MIN_SUSPECT_SILENCE_S
        if self.missed_renewals >= SUSPECT_MISSED_RENEWALS and (is_silent or not reply.is_lost):
            if self.arbiter.responsive:
                log.warning("worker does not answer", extra={"answer": reply.answer})
            self.arbiter.set_responsive(False, now)
        if self.lease.has_expired(now):
            self.arbiter.on_lease_expired(now)
        self.apply_decisions()

    def on_renewal_answered(self, now):
        """Reset the count of missed renewals."""
        if not self.arbiter.responsive:
            log.info("worker answers again", extra={"misses": self.missed_renewals})
        self.missed_renewals = 0
        self.arbiter.on_renewal_answered(now)

    def apply_lists(self, reply, known_end, asked_at, now):
        """Apply the worker's lists of ended and running runs, and stop runs of earlier agents.

        The running runs of an answer that a newer one has overtaken are ignored: they may name runs
        that have ended since, which would be taken for runs of an earlier agent. So are those
        beside a truncated list of ended runs: a run that is in neither may be done.

        Parameters
        ----------
        reply : LeaseReply
        known_end : int
            Number of the latest ended run that the request named. The answer lists all later ones,
            so without any it is as of this end.
        asked_at, now : float
        """
        is_overtaken = max(known_end, reply.last_end) < self.last_end
        if reply.ended_runs:
            self.last_end = max(self.last_end, reply.last_end)
            self.arbiter.apply_ended_runs(reply.ended_runs, now)
        if is_overtaken or reply.is_truncated:
            self.apply_decisions()
            return
        clock_ms = self.worker_clock.earliest_ms(asked_at)
        unknown = self.arbiter.apply_running(reply.running, asked_at, now, clock_ms)
        for ref in unknown:
            if ref in self.unknown_stops:
                continue
            fields = {"task": task_name(ref), "run": ref.run, "token": self.token.value}
            if self.arbiter.worker is not None:
                fields["worker"], fields["worker_started_ms"] = self.arbiter.worker.lifetime
            log.warning("stopping a run that this agent did not order", extra=fields)
            self.spawn(self.stop_unknown(ref))
        if not self.takeover_complete.is_set() and not unknown:
            self.takeover_complete.set()
        self.apply_decisions()

    # Starts and stops

    async def start(self, run):
        """Start a run at the worker and report the outcome to the arbiter.

        The run is returned instead if its entry may have placed it elsewhere, which a pause of this
        process since the decision allows, or if the zone has been evacuated since.
        """
        worker = self.arbiter.worker
        answer = "returned"
        if self.arbiter.is_session_stale(run.session, self.clock.now()):
            answer = "stale"
        elif self.arbiter.evacuated:
            answer = EVACUATED
        elif worker is not None:
            answer = await self.send_start_repeatedly(worker, run)
        if answer not in ("started", "returned", "stale", EVACUATED):
            fields = {"task": task_name(run.order.ref), "answer": answer}
            log.info("start order failed", extra={**run_log_fields(run), **fields})
        self.arbiter.on_start_reply(run, answer, self.clock.now())
        self.apply_decisions()

    async def send_start_repeatedly(self, worker, run):
        """Send an order to start, and repeat it while it is not answered and may be repeated.

        A refusal of a repeated order counts as no answer: the order before it may have started the
        run, or may still do so, and has to be stopped.
        """
        answer = await self.send_start(worker, run)
        for _ in range(MAX_START_REPEATS):
            if answer != "unanswered" or not self.may_repeat_start(worker, run):
                break
            answer = await self.send_start(worker, run)
            if answer != "started":
                answer = "unanswered"
        return answer

    async def send_start(self, worker, run):
        """Send an order to start, and once more if the worker refuses its fencing token.

        The answer is ``unanswered`` if the second order may not be sent any more: an earlier order
        may have started the run, so it is stopped rather than returned.

        The lease is counted from the decision to start the run, so that the worker refuses an order
        that is delayed for longer.
        """
        for _ in range(2):
            sent_at = self.clock.now()
            token = run.token = self.token.value
            run.lifetime = worker.lifetime
            until_ms = self.lease_end_ms(run.ordered_at)
            run.start_until_ms = max(run.start_until_ms, until_ms)
            self.lease.renewed_at = max(self.lease.renewed_at, sent_at)
            timeout_s = self.answer_times.timeout_s
            reply = await self.client.start(worker, run.order, until_ms, token, timeout_s)
            now = self.clock.now()
            if reply.started_ms:
                run.lifetime = worker.id, reply.started_ms
            if self.is_credited(worker, reply):
                self.worker_clock.update(reply.clock_ms, now)
            if reply.is_lost:
                self.list_polls.on_call_lost(now)
            if reply.answer == "unanswered":
                self.answer_times.record_timeout()
            elif reply.answer != "unsent":
                self.answer_times.record(now - sent_at)
            if reply.answer != "fence":
                return "started" if reply.answer == "ok" else reply.answer
            self.token.on_refused(token)
            if not self.may_repeat_start(worker, run):
                return "unanswered"
        return "fence"

    def may_repeat_start(self, worker, run):
        """Return whether a run may still start after an order that did not settle it.

        While the order was open, the zone may have been evacuated, the run recalled or withdrawn,
        or its entry may have disconnected and placed the task elsewhere.
        """
        arbiter = self.arbiter
        return (
            self.is_current_lifetime(worker)
            and arbiter.runs.get(run.key) is run
            and run.state == STARTING
            and not run.reason
            and not arbiter.evacuated
            and not arbiter.is_session_stale(run.session, self.clock.now())
        )

    async def stop_run(self, run):
        """Stop a run at the worker and report the outcome to the arbiter."""
        began_at = self.clock.now()
        orders, is_settled = await self.send_stop(run.order.ref)
        now = self.clock.now()
        if is_settled:
            self.arbiter.on_stop_reply(run, now)
        lease_left_s = self.arbiter.lease_ends_at - now
        log_slow_stop(run, orders, now - began_at, is_settled, lease_left_s)
        if run.start_unconfirmed:
            await self.read_lists()

    async def read_lists(self):
        """Request the lists without a renewal, to learn whether an unconfirmed run has ended."""
        worker = self.arbiter.worker
        if worker is not None:
            await self.poll_lists(worker, 0)

    async def stop_unknown(self, ref):
        """Stop a run that this agent did not order."""
        self.unknown_stops.add(ref)
        try:
            await self.send_stop(ref)
        finally:
            self.unknown_stops.discard(ref)

    async def send_stop(self, ref):
        """Send orders to stop a run until one is acknowledged, or the run is gone.

        They are sent at a steady interval and do not wait for one another: a series of lost orders
        would otherwise take as long as all of their timeouts.

        Returns
        -------
        tuple of (int, bool)
            Orders sent, and whether one was acknowledged by the lifetime that was current at the
            first. If another one has begun, the run has ended, or `Arbiter.begin_lifetime` has it
            stopped again.
        """
        began_at, worker, orders = self.clock.now(), self.arbiter.worker, 0
        acknowledged = asyncio.Event()
        async with owned_tasks() as spawn:
            while worker is not None and self.is_current_lifetime(worker) and self.has_run(ref):
                order = None
                if self.open_stops < MAX_OPEN_STOPS:
                    order = spawn(self.order_stop(worker, ref, acknowledged))
                    orders += 1
                with suppress(TimeoutError):
                    async with asyncio.timeout(self.stop_interval_s(began_at)):
                        await acknowledged.wait()
                        return orders, True
                if order is not None and (not order.done() or order.result().is_lost):
                    self.list_polls.on_call_lost(self.clock.now())
        return orders, False

    async def order_stop(self, worker, ref, acknowledged):
        """Send one order to stop; set `acknowledged` if the worker agrees. Return the `Reply`."""
        token = self.token.value
        with self.counted_stop():
            reply = await self.client.stop(worker, ref, token, MAX_TIMEOUT_S)
        if reply.answer == "fence":
            self.token.on_refused(token)
        elif reply.answer in STOP_SETTLED_ANSWERS and self.is_credited(worker, reply):
            acknowledged.set()
        return reply

    @contextmanager
    def counted_stop(self):
        """Count an order to stop among the open ones while the context is open."""
        self.open_stops += 1
        try:
            yield
        finally:
            self.open_stops -= 1

    def stop_interval_s(self, began_at):
        """Return the time after which an order to stop is repeated, in seconds."""
        if self.clock.now() - began_at >= URGENT_STOP_S:
            return LATER_STOP_INTERVAL_S
        return max(STOP_INTERVAL_S, self.answer_times.usual_s)

    def has_run(self, ref):
        """Return whether the worker may have a run, as far as this agent knows."""
        run = self.arbiter.runs.get(ref.key)
        return (run is not None and run.order.run == ref.run) or ref in self.arbiter.unknown_runs


def task_name(ref):
    """Return the name of a task for log lines."""
    return f"{ref.job}.{ref.step}.{ref.index}"
