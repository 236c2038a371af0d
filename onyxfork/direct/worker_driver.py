"""What an agent does to its worker: renews the lease, reads the lists, starts and stops runs.

Part of :class:`onyxfork.direct.agent.DirectAgent`; state is kept there.
"""

import asyncio
import logging

from onyxfork.direct.lease import WorkerClock

__all__ = ["WorkerDriver", "task_name"]

log = logging.getLogger(__name__)

HOLD_WAIT_MS = 100
"""How long the worker may wait for an end before it answers a renewal; bounds how old the
progress of its runs gets."""

SUSPECT_MISSES = 2
"""Unanswered renewals in a row after which entries are told that the worker does not answer."""

RETRY_PAUSE_S = 0.05
LONGEST_RETRY_PAUSES = 4
STOP_TRIES = 40
"""Orders to stop are sent again until answered; the lease ends the run long before the last."""


class WorkerDriver:
    """How the orders of an arbiter reach the worker, and its answers and reports come back."""

    # Worker's reports

    def on_worker_report(self, worker):
        """Take a report of the worker.

        Parameters
        ----------
        worker : Worker
        """
        same = self.is_same_life(worker)
        before = self.arbiter.worker.state if same else ""
        if not self.arbiter.take_worker(worker, self.clock.now()):
            return
        if not same:
            self.last_end = 0
            self.misses = 0
            self.worker_clock = WorkerClock()
        if not same or before != worker.state:
            fields = {"worker": worker.id, "state": worker.state, "sequence": worker.sequence}
            log.info("worker reported", extra=fields)
        self.worker_known.set()
        self.after_change()

    def on_worker_left(self, worker_id):
        """Note that the worker has ended as planned."""
        known = self.arbiter.worker
        if known is not None and known.id == worker_id:
            log.info("worker left", extra={"worker": worker_id})
            self.arbiter.end_lifetime("the worker has left", self.clock.now())
            self.after_change()

    # Worker's lease and lists

    async def keep_lease(self):
        """Renew the lease and read the lists for as long as there is a worker."""
        while True:
            worker = self.arbiter.worker
            if worker is None:
                self.worker_known.clear()
                await self.worker_known.wait()
                continue
            if not await self.renew_lease(worker):
                await asyncio.sleep(RETRY_PAUSE_S)

    async def renew_lease(self, worker):
        """Renew once; return whether the worker answered as hoped."""
        sent_at = self.clock.now()
        token = self.token.value
        until_ms = None
        # A renewal that may have been lost is not repeated, or the lease would never lapse.
        if self.worker_clock.read_at and not self.misses:
            until_ms = int(self.worker_clock.at(sent_at) + self.lease.length_ms)
            self.lease.renewed_at = sent_at
        wait_ms = HOLD_WAIT_MS if self.settled.is_set() and not self.misses else 0
        fresh = self.misses > 0
        reply = await self.client.renew_lease(
            worker, until_ms, token, self.last_end, wait_ms, fresh
        )
        now = self.clock.now()
        if not self.is_same_life(worker):
            return True
        if reply.answer != "ok":
            self.on_missed_hold(reply, token, now)
            return False
        self.worker_clock.note(reply.clock_ms, max(sent_at, now - 0.002), now)
        self.note_answer(now)
        if not self.token.accepted():
            return True
        if reply.started_ms > worker.started_ms:
            self.arbiter.end_lifetime("the worker has restarted", now)
            self.after_change()
            return True
        self.take_lists(reply, sent_at, now)
        return True

    def on_missed_hold(self, reply, token, now):
        """Act on a renewal that was refused or not answered."""
        if reply.answer == "fence":
            self.token.refused(token)
            log.warning("fencing token refused", extra={"token": token, "next": self.token.value})
            return
        self.misses += 1
        if self.misses == SUSPECT_MISSES:
            log.warning("worker does not answer", extra={"answer": reply.answer})
        if self.misses >= SUSPECT_MISSES:
            self.arbiter.set_answers(False, now)
        if self.lease.has_lapsed(now):
            self.arbiter.lease_lapsed(now)
        self.after_change()

    def note_answer(self, now):
        """Note that the worker answers again."""
        if self.misses >= SUSPECT_MISSES:
            log.info("worker answers again", extra={"misses": self.misses})
        self.misses = 0
        self.arbiter.set_answers(True, now)

    def take_lists(self, reply, asked_at, now):
        """Take what the worker lists as ended and running."""
        if reply.ended_runs:
            self.last_end = max(self.last_end, reply.last_end)
            self.arbiter.take_ends(reply.ended_runs, now)
        unknown = self.arbiter.take_running(reply.running, asked_at, now)
        for ref in unknown:
            log.warning("stopping a run nobody here ordered", extra={"task": task_name(ref)})
            self.spawn(self.stop_ref(ref))
        if not self.settled.is_set() and not unknown:
            self.settled.set()
        self.after_change()

    # Starts and stops

    async def start(self, run):
        """Carry out an order to start."""
        worker = self.arbiter.worker
        answer = "returned"
        if worker is not None:
            answer = await self.start_at(worker, run)
        if answer not in ("started", "returned"):
            fields = {"task": task_name(run.order.ref), "run": run.order.run, "answer": answer}
            log.info("start not carried out", extra=fields)
        self.arbiter.start_answered(run, answer, self.clock.now())
        self.after_change()

    async def start_at(self, worker, run):
        """Order a start, again with a newer token when the old one is refused."""
        for _ in range(2):
            sent_at = self.clock.now()
            token = self.token.value
            until_ms = int(self.worker_clock.at(sent_at) + self.lease.length_ms)
            self.lease.renewed_at = max(self.lease.renewed_at, sent_at)
            limit_s = self.answer_times.limit_s
            reply = await self.client.start(worker, run.order, until_ms, token, limit_s)
            now = self.clock.now()
            self.worker_clock.note(reply.clock_ms, sent_at, now)
            if reply.answer == "unanswered":
                self.answer_times.note_unanswered()
            else:
                self.answer_times.note(now - sent_at)
            if reply.answer != "fence":
                return "started" if reply.answer == "ok" else reply.answer
            self.token.refused(token)
        return "fence"

    async def stop_run(self, run):
        """Carry out an order to stop, until the worker has answered."""
        await self.stop_ref(run.order.ref)
        self.arbiter.stop_answered(run, self.clock.now())
        if run.doubtful:
            await self.look()

    def is_same_life(self, worker):
        """Return whether a worker's lifetime is still the present one."""
        known = self.arbiter.worker
        return known is not None and (known.id, known.started_ms) == (worker.id, worker.started_ms)

    async def look(self):
        """Ask for the lists now: a run in doubt has ended when they do not hold it."""
        worker = self.arbiter.worker
        if worker is None:
            return
        asked_at = self.clock.now()
        reply = await self.client.renew_lease(
            worker, None, self.token.value, self.last_end, 0, False
        )
        if reply.answer == "ok" and self.is_same_life(worker):
            self.take_lists(reply, asked_at, self.clock.now())

    async def stop_ref(self, ref):
        """Order a stop until the worker has answered."""
        for attempt in range(STOP_TRIES):
            worker = self.arbiter.worker
            if worker is None:
                return
            token = self.token.value
            reply = await self.client.stop(worker, ref, token, self.answer_times.limit_s)
            if reply.answer == "fence":
                self.token.refused(token)
            elif reply.answer != "unanswered" and reply.answer != "unhealthy":
                return
            else:
                await asyncio.sleep(RETRY_PAUSE_S * min(attempt, LONGEST_RETRY_PAUSES))
        log.warning("stop never answered", extra={"task": task_name(ref)})


def task_name(ref):
    """Return a task's name for logs."""
    return f"{ref.job}.{ref.step}.{ref.index}"
