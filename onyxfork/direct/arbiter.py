"""Decisions of an agent: which run starts when, and what became of each.

The arbiter is the only authority on its worker's room. It reads no clock and makes no call; its
driver carries out the starts and stops that it asks for, and hands it the answers and what the
worker lists.
"""

import heapq
import logging
import math
from itertools import count

from onyxfork.direct.arbiter_entries import Entries
from onyxfork.direct.arbiter_lists import WorkerLists
from onyxfork.direct.messages import WorkerStatus
from onyxfork.direct.progress import SLOW_FACTOR, find_outrun, find_stalled, slowdown
from onyxfork.direct.runs import QUEUED, READY, RUNNING, STARTING, STOPPING

__all__ = ["Arbiter"]

log = logging.getLogger(__name__)

RESUME_WITHIN_S = 0.25
"""An entry whose connection broke may come back for its runs this long; its callers send a job
again 1.3 s after a broken connection, and by then the runs have stopped."""

REMEMBER_ENDS = 4096
"""Ends kept for an entry that comes back."""

OVERDUE_S = 60.0
"""Added to the latest start of a run that is late, so that it does not make others late."""

PACE_WEIGHT = 0.1
"""Weight of the latest run in the average of pace."""

FAILURE_WEIGHT = 0.25
"""Weight of the latest run in the average of failures: three in a row make a worker unsound."""

FEWEST_EXPECTED_MS = 1.0
"""Floor of an estimate, so that pace stays finite."""

FORGET_FAILURES_S = 2.0
"""Time constant after which failures and slowness of the past count less, so that a worker which
gets no work is tried again."""

STALLED_FAILING = 0.8
"""Share of failures that a run which stands still counts as: others will stand still too."""

UNHEALTHY_S = 0.5
"""How long nothing is started after the worker has refused a start as unhealthy."""

ABSENT = "absent"
SUSPECT = "suspect"


class Arbiter(Entries, WorkerLists):
    """The runs of one worker.

    Attributes
    ----------
    runs : dict
        Runs by task key; a task has one run here at most.
    starts, stops : list of Run
        What the driver has to carry out next.
    """

    def __init__(self):
        self.worker = None
        self.answers = True
        self.sessions = {}
        self.runs = {}
        self.queue = []
        self.sequence = count()
        self.starts = []
        self.stops = []
        self.cpu_used = self.memory_used = self.gpu_used = 0
        self.cpu_queued = self.memory_queued = self.gpu_queued = 0
        self.log_pace = 0.0
        self.failing = 0.0
        self.slowness = None
        self.ticked_at = None
        self.awake_since = float("-inf")
        self.unhealthy_until = 0.0
        self.changed = False

    # Worker

    @property
    def state(self):
        """State of the worker as entries see it."""
        if self.worker is None:
            return ABSENT
        if not self.answers:
            return SUSPECT
        return self.worker.state

    def take_worker(self, worker, now):
        """Take a report of the worker.

        Returns
        -------
        bool
            Whether it was news; a report of an earlier lifetime or one overtaken is not.
        """
        known = self.worker
        if known is not None:
            if worker.started_ms < known.started_ms:
                return False
            same_life = (worker.id, worker.started_ms) == (known.id, known.started_ms)
            if same_life and worker.sequence <= known.sequence:
                return False
            if same_life and known.state == "draining":
                worker.state = "draining"
            if not same_life:
                self.end_lifetime("a new lifetime of the worker has begun", now)
        self.worker = worker
        self.changed = True
        if worker.state != READY:
            self.return_queued("draining", now)
        return True

    def end_lifetime(self, reason, now):
        """Note that the worker's lifetime is over, and with it everything that ran."""
        self.worker = None
        self.changed = True
        for run in list(self.runs.values()):
            kind = "returned" if run.state == QUEUED else "lost"
            self.finish(run, kind, now, reason)
        self.failing = 0.0
        self.log_pace = 0.0
        self.unhealthy_until = 0.0

    def set_answers(self, answers, now):
        """Note whether the worker answers."""
        if answers == self.answers:
            return
        self.answers = answers
        self.changed = True
        if not answers:
            self.return_queued("unanswered", now)

    def lease_lapsed(self, now):
        """Note that the worker has been out of reach for longer than any lease."""
        for run in list(self.runs.values()):
            if run.state != QUEUED:
                self.finish(run, "lost", now, "lease lapsed out of reach")

    def return_queued(self, reason, now):
        """Hand back everything that has not started."""
        for run in list(self.runs.values()):
            if run.state == QUEUED:
                self.finish(run, "returned", now, reason)

    # Starts and stops

    def schedule(self, now):
        """Start queued runs, those with the least slack first, while they fit.

        Runs of an entry that may have given this agent up wait until it is heard of again.
        """
        passed_over = []
        while self.queue and self.state == READY and now >= self.unhealthy_until:
            key, _, run = self.queue[0]
            if run.state != QUEUED or self.runs.get(run.key) is not run:
                heapq.heappop(self.queue)
                continue
            if key < now:
                heapq.heapreplace(self.queue, (key + OVERDUE_S, next(self.sequence), run))
                continue
            if self.may_be_given_up(run.session, now):
                passed_over.append(heapq.heappop(self.queue))
                continue
            if not self.fits(run.order):
                break
            heapq.heappop(self.queue)
            self.begin(run, now)
        for item in passed_over:
            heapq.heappush(self.queue, item)

    def begin(self, run, now):
        """Take a queued run's room and ask for its start."""
        self.count_queued(run, -1)
        self.count_used(run, 1)
        run.state, run.ordered_at = STARTING, now
        self.starts.append(run)
        self.changed = True

    def fits(self, order):
        """Return whether a task has room now."""
        worker = self.worker
        return (
            self.cpu_used + order.cpu <= worker.cpu
            and self.memory_used + order.memory_mb <= worker.memory_mb
            and self.gpu_used + order.gpu <= worker.gpu
        )

    def count_used(self, run, sign):
        """Add or subtract a run from what the worker is busy with."""
        self.cpu_used += sign * run.order.cpu
        self.memory_used += sign * run.order.memory_mb
        self.gpu_used += sign * run.order.gpu

    def count_queued(self, run, sign):
        """Add or subtract a run from what waits here."""
        self.cpu_queued += sign * run.order.cpu
        self.memory_queued += sign * run.order.memory_mb
        self.gpu_queued += sign * run.order.gpu

    def stop(self, run, reason, now):
        """Take a run back: at once when it has not started, through the worker otherwise."""
        if run.state == QUEUED:
            self.finish(run, "returned", now, reason)
        elif run.state != STOPPING:
            run.reason = run.reason or reason
            if run.state == RUNNING:
                run.state = STOPPING
                self.stops.append(run)

    def start_answered(self, run, answer, now):
        """Take the worker's answer to an order to start.

        Parameters
        ----------
        run : Run
        answer : str
            ``started``, ``room``, ``old``, ``late``, ``unhealthy``, ``invalid`` or ``unanswered``.
        now : float
        """
        if self.runs.get(run.key) is not run or run.state != STARTING:
            return
        if answer == "started":
            run.state, run.started_at, run.moved_at = RUNNING, now, now
            self.tell(run, run.event("started", now))
            if run.reason:
                self.stop(run, run.reason, now)
        elif answer == "unanswered":
            run.doubtful = True
            run.state = STOPPING
            run.reason = run.reason or "unanswered"
            self.stops.append(run)
        elif answer == "invalid":
            self.finish(run, "failed", now, "the worker can not read the order")
        else:
            if answer == "unhealthy":
                self.unhealthy_until = now + UNHEALTHY_S
                self.note_end(failed=True)
            self.finish(run, "returned", now, answer)

    def stop_answered(self, run, now):
        """Take the worker's word that a run will stop, or never start."""
        run.stop_answered_at = now

    # Ends

    def finish(self, run, kind, now, reason=""):
        """Forget a run and tell its entry what became of it."""
        del self.runs[run.key]
        self.changed = True
        if run.state == QUEUED:
            self.count_queued(run, -1)
        else:
            self.count_used(run, -1)
        event = run.event(kind, now, reason)
        ended = run.session.ended
        ended[run.order.ref] = event
        if len(ended) > REMEMBER_ENDS:
            del ended[next(iter(ended))]
        self.tell(run, event)

    def tell(self, run, event):
        """Queue news for the entry that ordered a run."""
        run.session.events.append(event)

    def note_end(self, failed):
        """Average the share of failed runs."""
        self.failing += FAILURE_WEIGHT * ((1.0 if failed else 0.0) - self.failing)

    def note_pace(self, run_ms, expected_ms):
        """Average run times over their estimates, by logarithm."""
        ratio = max(run_ms, FEWEST_EXPECTED_MS) / max(expected_ms, FEWEST_EXPECTED_MS)
        self.log_pace += PACE_WEIGHT * (math.log(ratio) - self.log_pace)

    # Time

    def tick(self, now):
        """Let time pass: entries that have not come back, runs that do not move, old failures."""
        if self.ticked_at is not None:
            kept = math.exp((self.ticked_at - now) / FORGET_FAILURES_S)
            self.failing *= kept
            if self.log_pace > math.log(SLOW_FACTOR):
                self.log_pace *= kept
        self.ticked_at = now
        self.judge_progress(now)
        for session in list(self.sessions.values()):
            if session.connection is None and now - session.gone_at >= RESUME_WITHIN_S:
                self.drop_session(session, "the entry is out of reach")

    def judge_progress(self, now):
        """Take back runs that stand still, or would end sooner on another worker."""
        runs = list(self.runs.values())
        for run in find_stalled(runs, now):
            self.failing = max(self.failing, STALLED_FAILING)
            self.changed = True
            self.stop(run, "stalled", now)
        self.slowness = slowdown(runs)
        for run in find_outrun(runs, self.slowness):
            self.log_pace = max(self.log_pace, math.log(self.slowness))
            self.changed = True
            self.stop(run, "slow", now)

    @property
    def pace(self):
        """Run times in multiples of their estimates; what runs now counts when it is slow."""
        average = math.exp(self.log_pace)
        if self.slowness is not None and self.slowness >= SLOW_FACTOR:
            return max(average, self.slowness)
        return average

    def is_tight(self, share):
        """Return whether less than a share of the processors is free, or the state is not ready."""
        if self.state != READY:
            return True
        return self.worker.cpu - self.cpu_used - self.cpu_queued < share * self.worker.cpu

    def status(self, session, now):
        """Return the report for one entry."""
        worker = self.worker
        cpu, memory, gpu = (worker.cpu, worker.memory_mb, worker.gpu) if worker else (0, 0, 0)
        return WorkerStatus(
            worker.id if worker else "",
            worker.service if worker else "",
            self.state,
            cpu,
            memory,
            gpu,
            cpu - self.cpu_used - self.cpu_queued,
            memory - self.memory_used - self.memory_queued,
            gpu - self.gpu_used - self.gpu_queued,
            session.orders_received,
            self.pace,
            self.failing,
            worker.labels if worker else [],
            now,
        )
