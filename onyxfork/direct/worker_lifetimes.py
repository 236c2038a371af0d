"""Lifetimes of an agent's worker: which one is current, and whose answer is whose.

A worker may start again under the identifier that it had. It has then no runs and no fencing token,
and it carries out the orders that were sent to its former lifetime. What a lifetime has is learnt
from its own answer to a request for its lists, sent with a fencing token that is higher than that
of all orders still on their way.

Mixin of :class:`onyxfork.direct.agent.DirectAgent`, which defines the attributes.
"""

import asyncio
import logging

from onyxfork.direct.lease import WorkerClock
from onyxfork.direct.runs import ABSENT, DRAINING, READY
from onyxfork.utils import logged_failures

__all__ = ["WorkerLifetimes", "RETRY_DELAY_S", "is_answer_of", "retry_delay_s"]

log = logging.getLogger(__name__)

RETRY_DELAY_S = 0.05
"""Pause after a request for the lists that failed before its timeout, and unit of the pause after
an unanswered order to stop."""

MAX_DEPARTURE_CHECKS = 200
"""How often a worker that has announced its end is asked whether it still answers."""

MAX_SEQUENCE_STEP = 10**6
"""Upper bound on how much the sequence number of reports rises from one to the next that is used.
After a higher one all true reports would be stale. At one report in a second it is exceeded after
eleven days without any."""


class WorkerLifetimes:
    """Mixin that follows the worker through its lifetimes."""

    def is_current_lifetime(self, worker):
        """Return whether a worker's lifetime is still the current one."""
        known = self.arbiter.worker
        return known is not None and known.lifetime == worker.lifetime

    def is_credited(self, worker, reply):
        """Return whether a reply is of the lifetime that was called and that is still current.

        Another lifetime under the same identifier may have answered; it is verified then.
        """
        if not self.is_current_lifetime(worker):
            return False
        if is_answer_of(worker, reply):
            return True
        self.verify_lifetime(worker.make_unreported(reply.started_ms))
        return False

    # Reports

    def on_worker_report(self, worker):
        """Pass a report of the worker's current lifetime to the arbiter; verify any other one.

        Parameters
        ----------
        worker : Worker

        Returns
        -------
        str or None
            Why the report is refused; None if it is applied, verified or stale.
        """
        self.refuse_runs_while_stopping(worker)
        if not self.is_current_lifetime(worker):
            self.verify_lifetime(worker)
            return None
        former = self.arbiter.worker
        if worker.sequence - max(0, former.sequence) > MAX_SEQUENCE_STEP:
            return f"sequence: more than {MAX_SEQUENCE_STEP} above that of the latest report"
        former_state = former.state
        if not self.arbiter.apply_worker_report(worker, self.clock.now()):
            return None
        if former_state != worker.state:
            log_report(worker)
        self.control.update_labels(labels=worker.labels)
        self.apply_decisions()
        return None

    def refuse_runs_while_stopping(self, worker):
        """Treat a worker that is ready as draining while this agent is stopping."""
        if self.stopping and worker.state == READY:
            worker.state = DRAINING

    def on_worker_left(self, worker_id):
        """Ask a worker that has announced its departure until it is gone.

        It may still run tasks when it sends the notice. The notice may also be a late one of a
        former lifetime under the same identifier.
        """
        current = self.arbiter.worker
        if current is None or current.id != worker_id:
            return
        if self.arbiter.departing != current.lifetime:
            self.arbiter.departing = current.lifetime
            self.spawn(self.verify_departure(current))

    async def verify_departure(self, worker):
        """End the lifetime of a worker that has announced its departure once it is gone."""
        for _ in range(MAX_DEPARTURE_CHECKS):
            reply = await self.list_polls.request(
                worker, None, self.token.value, self.last_end, 0, fresh=True
            )
            if not self.is_current_lifetime(worker):
                return
            # A reset connection does not show that the worker has ended.
            if reply.connection_refused or reply.answer == "other-lifetime":
                self.end_departed_lifetime(worker)
                return
            if reply.answer == "ok" and self.arbiter.worker.state != DRAINING:
                break
            await asyncio.sleep(RETRY_DELAY_S)
        self.arbiter.departing = None
        fields = {"worker": worker.id, "started_ms": worker.started_ms, "answer": reply.answer}
        log.warning("notice that the worker has left is ignored", extra=fields)

    def end_departed_lifetime(self, worker):
        """End the current lifetime, which has left as planned."""
        log.info("worker left", extra={"worker": worker.id, "started_ms": worker.started_ms})
        self.arbiter.end_lifetime("the worker has left", self.clock.now())
        self.apply_decisions()

    # Successors

    def verify_lifetime(self, worker):
        """Let `watch_successor` ask the worker whether another lifetime has begun.

        A report may be late, or come from another writer, so it does not end the runs of the
        current lifetime: the worker's own answer does.

        Parameters
        ----------
        worker : Worker
            The lifetime by a report, or by an answer to a call that was sent to the current one.
        """
        arbiter = self.arbiter
        if worker.lifetime in arbiter.ended_lifetimes:
            return
        known = arbiter.successor
        if known is None or known.lifetime != worker.lifetime:
            # Orders that are still on their way have a lower token.
            self.token.advance()
            arbiter.successor = worker
            self.successor_known.set()
        elif worker.sequence > known.sequence:
            arbiter.successor = worker

    async def watch_successor(self):
        """Request the lists of a lifetime that may have begun, until the worker has answered."""
        while True:
            if self.arbiter.successor is None:
                self.successor_known.clear()
                await self.successor_known.wait()
            delay_s = RETRY_DELAY_S
            with logged_failures(log, "verification of the worker's lifetime failed"):
                delay_s = await self.request_successor()
            if delay_s:
                await asyncio.sleep(delay_s)

    async def request_successor(self):
        """Request the lists of a lifetime that may have begun once; begin or reject it.

        Returns
        -------
        float
            Seconds until the next request.
        """
        arbiter = self.arbiter
        asked_at, successor, token = self.clock.now(), arbiter.successor, self.token.value
        reply = await self.list_polls.request(successor, None, token, 0, 0, fresh=True)
        if arbiter.successor is None or arbiter.successor.lifetime != successor.lifetime:
            return 0.0
        if reply.answer == "fence":
            self.token.on_refused(token)
            return 0.0
        if reply.answer == "other-lifetime":
            self.reject_successor(reply)
            return 0.0
        if reply.answer != "ok":
            return retry_delay_s(reply)
        if not self.token.on_accepted():
            return 0.0
        if is_answer_of(successor, reply):
            self.begin_lifetime(arbiter.successor, reply, token, asked_at)
            return 0.0
        self.reject_successor(reply)
        if arbiter.worker is None or not is_answer_of(arbiter.worker, reply):
            self.verify_lifetime(successor.make_unreported(reply.started_ms))
        return 0.0

    def reject_successor(self, reply):
        """Continue with the current lifetime, because the worker has refuted the other one."""
        successor, self.arbiter.successor = self.arbiter.successor, None
        fields = {
            "worker": successor.id,
            "started_ms": successor.started_ms,
            "answer": reply.answer,
            "answer_started_ms": reply.started_ms,
        }
        log.warning("reported lifetime refuted by the worker", extra=fields)
        self.apply_decisions()

    def begin_lifetime(self, worker, reply, token, asked_at):
        """Continue with a lifetime that has answered, and with those runs that it has.

        Parameters
        ----------
        worker : Worker
        reply : LeaseReply
            Answer of the lifetime to a request for its lists from the first ended run on.
        token : int
            Fencing token of the request.
        asked_at : float
        """
        now = self.clock.now()
        self.refuse_runs_while_stopping(worker)
        listed = {*reply.running, *(ref for ref, _ in reply.ended_runs)}
        kept = self.arbiter.begin_lifetime(worker, listed, token, now)
        self.last_end = 0
        self.missed_renewals = 0
        self.worker_clock = WorkerClock()
        self.worker_clock.update(reply.clock_ms, now)
        log_report(worker, runs_kept=len(kept), token=token)
        if worker.state != ABSENT:
            self.control.update_labels(labels=worker.labels)
        self.lifetime_begun.set()
        self.on_renewal_answered(now)
        self.apply_lists(reply, 0, asked_at, now)


def is_answer_of(worker, reply):
    """Return whether a `Reply` is of a lifetime, as far as it states which one has answered."""
    return reply.started_ms in (0, worker.started_ms)


def retry_delay_s(reply):
    """Return the pause in seconds after a failed `LeaseReply`.

    A worker may refuse every request, break every connection or answer with an error at once.
    """
    return 0.0 if reply.timed_out else RETRY_DELAY_S


def log_report(worker, **extra):
    """Log a report that has changed the lifetime or the state of the worker."""
    fields = {
        "worker": worker.id,
        "started_ms": worker.started_ms,
        "state": worker.state,
        "sequence": worker.sequence,
    }
    log.info("worker reported", extra={**fields, **extra})
