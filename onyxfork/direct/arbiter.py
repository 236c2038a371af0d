"""Decisions of an agent: which run starts when, and how each run ended.

The arbiter alone allocates the capacity of its worker. It reads no clock and does no input or
output: :class:`onyxfork.direct.worker_driver.WorkerDriver` carries out the starts and stops that it
requests, and passes it the worker's replies and lists of runs.
"""

import heapq
import logging
import math
from collections import deque
from itertools import count

from onyxfork.direct.arbiter_crashes import CrashRecorder
from onyxfork.direct.arbiter_entries import EntrySessions
from onyxfork.direct.arbiter_lists import WorkerLists
from onyxfork.direct.crashes import CrashTable
from onyxfork.direct.messages import WorkerStatus
from onyxfork.direct.precedence import OVERDUE_PENALTY_S, priority_index
from onyxfork.direct.progress import (
    SLOW_FACTOR,
    StallHistory,
    add_to_log_ratio,
    find_runs_to_restart,
    find_stalled,
    include_projections,
    median_run_time_ratio,
)
from onyxfork.direct.run_log import log_end, log_start, log_stop
from onyxfork.direct.runs import (
    ABSENT,
    DRAINING,
    EVACUATED,
    QUEUED,
    READY,
    RUNNING,
    STARTING,
    STOPPING,
    TOO_LARGE,
)
from onyxfork.direct.worker_speed import UsualSpeed
from onyxfork.direct.workers import DEGRADED_FACTOR

__all__ = ["Arbiter"]

log = logging.getLogger(__name__)

RESUME_TIMEOUT_S = 0.25
"""How long an entry may take to reconnect before its runs are stopped. Callers retry a job 1.3 s
after a broken connection; the runs must have stopped by then."""

MAX_ENDED_EVENTS = 4096
"""Upper bound on the events of ended runs that a session stores for an entry that reconnects."""

RUN_TIME_EMA_WEIGHT = 0.2
"""Weight of the latest run in the moving average of run times over their estimates. With it about
ten runs show that a worker has fallen to half its speed; a busy worker ends them in half a
second."""

FAILURE_EMA_WEIGHT = 0.25
"""Weight of the latest run in the moving average of failures. With it three failures in a row bring
the average above one half; entries then regard the worker as at fault instead of its tasks."""

MIN_EXPECTED_MS = 1.0
"""Lower bound on run times and estimates, so that their ratio stays finite."""

DECAY_TIME_CONSTANT_S = 2.0
"""Time constant of the exponential decay of the failure share and of a high run time ratio, so that
a worker that is given no work because of them gets some again."""

MAX_ENDED_LIFETIMES = 16
"""Upper bound on the ended lifetimes of the worker that are remembered."""

FORMER_SESSION_RETENTION_S = 30.0
"""How long a dropped session is kept for its entry to return; jobs are shorter."""

MAX_SUSPENSIONS = 16
"""Upper bound on the suspensions of the machine that are remembered."""

UNHEALTHY_PAUSE_S = 0.5
"""How long no run is started after the worker has refused a start as unhealthy, or refused the
connection."""

SUSPECT = "suspect"


class Arbiter(EntrySessions, WorkerLists, CrashRecorder):
    """Scheduler of the runs of one worker.

    Attributes
    ----------
    worker : Worker or None
        The current lifetime of the worker.
    successor : Worker or None
        Another lifetime that a report or an answer has named, until the worker confirms or refutes
        it. No run starts meanwhile.
    departing : (str, int) or None
        The current lifetime if it is said to leave as planned; its end is no crash.
    responsive : bool
        Whether the worker answers renewals of its lease.
    evacuated : bool
        Whether the worker's availability zone is evacuated; no run starts then.
    restored : bool
        Whether the zone has been restored since this process started.
    cold_until : float
        When the worker will no longer be slow because it is cold, by its latest report.
    last_answer_at : float
        When the worker last answered a renewal.
    silence : Silence or None
        When it stopped answering; None while it answers.
    crash_table : CrashTable
        Crashes of this worker by task, for entries that connect later.
    crash_counts : list of CrashCount
        Counts that are to be sent to the entries.
    ended_lifetimes : deque of (str, int)
        Identity and start of the latest lifetimes that have ended; late reports of them are stale.
    sessions : dict
        Sessions by name of the entry's node.
    former_sessions : dict
        Sessions that were dropped because the entry was unreachable, by name of its node. They hold
        the events of ended runs for an entry that returns later.
    unclaimed_ends : dict
        Outcomes of ended runs, by `TaskRef`, that are not among the runs here: those that a former
        process has ordered, for entries that ask for them, and ends that were listed twice.
    unknown_runs : dict
        Runs at the worker that are not among the runs here, by `TaskRef`, and when the list that
        first named each was requested. They are stopped.
    runs : dict
        Runs by task key; a task has at most one run at a worker.
    queue : list of (float, int, Run)
        Heap of queued runs by latest start; runs that have left the queue may still be in it.
    latest_start : TaskOrder or None
        Order of the run that was started last.
    latest_start_at : float
        When it was started.
    waiting_suspect : Run or None
        A suspect that waits to start apart from other runs.
    suspect_waits_since : float
        Since when it waits.
    wake_at : float or None
        When `schedule` has to be called again, because a run has to start apart from others.
    starts, stops : list of Run
        Runs that the driver has to start or stop next.
    cpu_limit : int
        Thousandths of a core that runs may use: the reported capacity, or less if the worker has
        refused a run for lack of capacity since.
    cpu_by_priority : list of int
        Thousandths of a core that runs of each priority hold, running and queued.
    log_run_time_ratio : float
        Moving average of the logarithm of run times over their estimates.
    usual_speed : UsualSpeed
        Average of run times over their estimates in this lifetime of the worker.
    failure_share : float
        Moving average of the share of failed runs.
    stall_history : StallHistory
        Which of the latest runs made progress.
    projected_log_ratio : float
        `log_run_time_ratio` with the projected run times of the runs that run.
    current_run_time_ratio : float or None
        Median of the projected run times of running runs over their estimates.
    suspension_detected_at : float
        When the latest suspension of the machine was detected.
    suspensions : deque of (float, float)
        When each of the latest suspensions was detected, and its duration in seconds.
    lease_ends_at : float
        Upper bound on the end of the worker's lease, in monotonic seconds.
    unhealthy_until : float
        No run is started before this time.
    changed : bool
        Whether entries are due a new status report.
    """

    def __init__(self):
        self.worker = self.successor = self.departing = None
        self.ended_lifetimes = deque(maxlen=MAX_ENDED_LIFETIMES)
        self.responsive = True
        self.evacuated = self.restored = False
        self.cold_until = 0.0
        self.last_answer_at = 0.0
        self.silence = None
        self.crash_table = CrashTable()
        self.crash_counts = []
        self.sessions = {}
        self.former_sessions = {}
        self.unclaimed_ends = {}
        self.unknown_runs = {}
        self.runs = {}
        self.queue = []
        self.sequence = count()
        self.latest_start, self.latest_start_at = None, 0.0
        self.waiting_suspect, self.suspect_waits_since = None, 0.0
        self.wake_at = None
        self.starts = []
        self.stops = []
        self.cpu_limit = 0
        self.cpu_used = self.memory_used = self.gpu_used = 0
        self.cpu_queued = self.memory_queued = self.gpu_queued = 0
        self.cpu_by_priority = []
        self.log_run_time_ratio = self.projected_log_ratio = 0.0
        self.usual_speed = UsualSpeed()
        self.failure_share = 0.0
        self.stall_history = StallHistory()
        self.current_run_time_ratio = None
        self.last_tick_at = None
        self.suspension_detected_at = float("-inf")
        self.suspensions = deque(maxlen=MAX_SUSPENSIONS)
        self.lease_ends_at = 0.0
        self.unhealthy_until = 0.0
        self.changed = False

    # Worker

    @property
    def state(self):
        """State of the worker as it is reported to entries."""
        if self.worker is None:
            return ABSENT
        if not self.responsive:
            return SUSPECT
        return EVACUATED if self.evacuated else self.worker.state

    def apply_worker_report(self, worker, now):
        """Apply a report of the worker.

        Returns
        -------
        bool
            False if the report is stale: of an earlier or ended lifetime, or not newer than the
            latest one.
        """
        current = self.worker
        if worker.lifetime in self.ended_lifetimes:
            return False
        if current is not None:
            if worker.started_ms < current.started_ms:
                return False
            same_lifetime = worker.lifetime == current.lifetime
            if same_lifetime and worker.sequence <= current.sequence:
                return False
            # `DirectAgent.stop` also sets this state; a later report must not revert it.
            if same_lifetime and current.state == DRAINING:
                worker.state = DRAINING
            if not same_lifetime:
                self.on_lifetime_lost("a new lifetime of the worker has begun", now)
        self.set_worker(worker, now)
        return True

    def set_worker(self, worker, now):
        """Use the state and the capacity of a worker's latest report."""
        self.worker = worker
        self.cpu_limit = worker.cpu
        self.cold_until = now + worker.cold_left_ms / 1000
        self.changed = True
        if worker.state != READY:
            self.return_queued("draining", now)
        for run in list(self.runs.values()):
            if run.state == QUEUED and not self.is_large_enough(run.order):
                self.finish(run, "returned", now, TOO_LARGE)

    def begin_lifetime(self, worker, listed, token, now):
        """Replace the worker by a lifetime that has answered a request for its lists.

        A lifetime under the identifier of the former one carries out the orders to it. It has
        received `token`, so it will carry out none with a lower one: such a run is in the lists, or
        it has ended with the former lifetime.

        Parameters
        ----------
        worker : Worker
        listed : set of TaskRef
            Running and ended runs of the lifetime.
        token : int
            Fencing token of the request.
        now : float

        Returns
        -------
        list of Run
            The runs that continue.
        """
        kept = [
            run
            for run in self.runs.values()
            if run.state != QUEUED and (run.order.ref in listed or run.token >= token)
        ]
        self.on_lifetime_lost("a new lifetime of the worker has begun", now, kept)
        self.successor = None
        self.set_worker(worker, now)
        for run in kept:
            # The former lifetime may have acknowledged the stop.
            if run.state == STOPPING:
                run.stop_acknowledged_at = None
                self.stops.append(run)
        return kept

    def end_lifetime(self, reason, now, kept=()):
        """Clear the worker and finish its runs, but those kept, because its lifetime has ended."""
        if self.worker is not None:
            self.ended_lifetimes.append(self.worker.lifetime)
        self.worker = self.departing = None
        self.unknown_runs = {}
        self.cpu_limit = 0
        self.changed = True
        for run in [run for run in self.runs.values() if run not in kept]:
            kind = "returned" if run.state == QUEUED else "lost"
            self.finish(run, kind, now, reason)
        self.failure_share = 0.0
        self.stall_history = StallHistory()
        self.log_run_time_ratio = self.projected_log_ratio = 0.0
        self.usual_speed = UsualSpeed()
        self.unhealthy_until = 0.0
        self.last_answer_at, self.silence = now, None

    def set_responsive(self, responsive, now):
        """Set whether the worker answers; return queued runs if it does not."""
        if responsive == self.responsive:
            return
        self.responsive = responsive
        self.changed = True
        if not responsive:
            self.return_queued("unanswered", now)

    def set_evacuated(self, evacuated, now):
        """Set whether the worker's zone is evacuated; return queued runs if so."""
        if evacuated == self.evacuated:
            return
        self.evacuated = evacuated
        self.restored = not evacuated
        self.changed = True
        if evacuated:
            self.return_queued(EVACUATED, now)

    def on_lease_expired(self, now):
        """Finish started runs as lost, because the worker's lease has expired without a renewal."""
        # After a pause of this process the lease may have expired although the worker answers.
        if not self.responsive:
            self.record_crash("lease expired while the worker was unreachable", now)
        for run in list(self.runs.values()):
            if run.state != QUEUED:
                self.finish(run, "lost", now, "lease expired while the worker was unreachable")

    def return_queued(self, reason, now):
        """Return all queued runs to their entries."""
        for run in list(self.runs.values()):
            if run.state == QUEUED:
                self.finish(run, "returned", now, reason)

    # Starts and stops

    def schedule(self, now):
        """Request the start of queued runs by precedence and latest start, while they fit.

        Runs of a stale session stay queued until the agent receives a newer clock value from the
        entry: until then the entry may have sent their tasks to another worker.
        """
        passed_over = []
        self.wake_at = None
        if self.may_start_runs(now):
            self.start_waiting_suspect(now)
        while self.queue and self.may_start_runs(now):
            key, _, run = self.queue[0]
            if run.state != QUEUED or self.runs.get(run.key) is not run:
                heapq.heappop(self.queue)
                continue
            if run.latest_start < now and key < run.latest_start + OVERDUE_PENALTY_S:
                heapq.heapreplace(self.queue, (key + OVERDUE_PENALTY_S, next(self.sequence), run))
                continue
            if self.is_session_stale(run.session, now) or self.outlasts_contact(run.session):
                passed_over.append(heapq.heappop(self.queue))
                continue
            if self.must_start_apart(run, now):
                passed_over.append(heapq.heappop(self.queue))
                continue
            if not self.fits(run.order):
                break
            heapq.heappop(self.queue)
            self.request_start(run, now)
        for item in passed_over:
            heapq.heappush(self.queue, item)

    def may_start_runs(self, now):
        """Return whether the worker may be ordered to start runs."""
        return self.state == READY and self.successor is None and now >= self.unhealthy_until

    def request_start(self, run, now):
        """Allocate capacity to a queued run and request its start."""
        self.count_queued(run, -1)
        self.count_used(run, 1)
        run.state, run.ordered_at = STARTING, now
        self.latest_start, self.latest_start_at = run.order, now
        self.starts.append(run)
        self.changed = True

    def fits(self, order):
        """Return whether the worker has enough free capacity for a task, queued runs aside."""
        worker = self.worker
        return (
            self.cpu_used + order.cpu <= self.cpu_limit
            and self.memory_used + order.memory_mb <= worker.memory_mb
            and self.gpu_used + order.gpu <= worker.gpu
        )

    def is_large_enough(self, order):
        """Return whether a task fits the worker's present capacity when nothing else runs."""
        worker = self.worker
        return (
            order.cpu <= worker.cpu
            and order.memory_mb <= worker.memory_mb
            and order.gpu <= worker.gpu
        )

    def count_used(self, run, sign):
        """Add a run to the allocated capacity, or subtract it with a sign of -1."""
        self.cpu_used += sign * run.order.cpu
        self.memory_used += sign * run.order.memory_mb
        self.gpu_used += sign * run.order.gpu
        self.count_priority(run, sign)

    def count_queued(self, run, sign):
        """Add a run to the capacity that queued runs need, or subtract it with a sign of -1."""
        self.cpu_queued += sign * run.order.cpu
        self.memory_queued += sign * run.order.memory_mb
        self.gpu_queued += sign * run.order.gpu
        self.count_priority(run, sign)

    def count_priority(self, run, sign):
        """Add a run to the cores that its priority holds, or subtract it with a sign of -1."""
        index = priority_index(run.order.priority)
        held = self.cpu_by_priority
        held.extend([0] * (index + 1 - len(held)))
        held[index] += sign * run.order.cpu

    def stop(self, run, reason, now):
        """Return a queued run to its entry, or stop a started run through the worker.

        A run whose start has not been answered yet is stopped after the answer.
        """
        if run.state == QUEUED:
            self.finish(run, "returned", now, reason)
        elif run.state != STOPPING:
            # A session that is dropped has one line for all of its runs.
            if not run.reason and self.sessions.get(run.session.entry) is run.session:
                log_stop(run, reason)
            run.reason = run.reason or reason
            if run.state == RUNNING:
                run.state = STOPPING
                self.stops.append(run)

    def on_start_reply(self, run, answer, now):
        """Apply the worker's reply to an order to start.

        Parameters
        ----------
        run : Run
        answer : str
            ``started``, ``unanswered`` or the reason of a refusal, as in
            :class:`onyxfork.direct.worker_client.Reply`.
        now : float
        """
        if self.runs.get(run.key) is not run or run.state != STARTING:
            return
        if answer == "started":
            run.state, run.started_at, run.progressed_at = RUNNING, now, now
            log_start(run)
            self.queue_event(run, run.make_event("started", now))
            if run.reason:
                self.stop(run, run.reason, now)
        elif answer == "unanswered":
            run.start_unconfirmed = True
            run.state = STOPPING
            run.reason = run.reason or "unanswered"
            self.stops.append(run)
        elif answer == "invalid":
            self.finish(run, "failed", now, "the worker could not parse the order")
        else:
            if answer in ("unhealthy", "unsent"):
                self.unhealthy_until = now + UNHEALTHY_PAUSE_S
            if answer == "unhealthy":
                self.record_outcome(failed=True)
            self.finish(run, "returned", now, answer)
            if answer == "room":
                # The capacity has shrunk; the worker's next report tells by how much.
                self.cpu_limit = min(self.cpu_limit, self.cpu_used + run.order.cpu - 1)

    def on_stop_reply(self, run, now):
        """Record that the worker has acknowledged a stop: the run ends or never starts."""
        run.stop_acknowledged_at = now

    # Ends

    def finish(self, run, kind, now, reason=""):
        """Remove a run and send its entry an event with the outcome `kind`."""
        del self.runs[run.key]
        self.changed = True
        if run.state == QUEUED:
            self.count_queued(run, -1)
        else:
            self.count_used(run, -1)
        event = run.make_event(kind, now, reason)
        log_end(run, event)
        ended = run.session.ended_events
        ended[run.order.ref] = event
        if len(ended) > MAX_ENDED_EVENTS:
            del ended[next(iter(ended))]
        self.queue_event(run, event)

    def queue_event(self, run, event):
        """Add an event to those to be sent to the entry of a run."""
        run.session.events.append(event)

    def record_outcome(self, failed):
        """Update the moving average of the share of failed runs.

        A success does not lower it below the bound that follows from stalled runs.
        """
        average = self.failure_share + FAILURE_EMA_WEIGHT * (failed - self.failure_share)
        if not failed:
            average = max(average, min(self.failure_share, self.stall_history.failure_share))
        self.failure_share = average

    def record_run_time(self, run_ms, expected_ms):
        """Update the recent and the usual average of run times over their estimates."""
        ratio = max(run_ms, MIN_EXPECTED_MS) / max(expected_ms, MIN_EXPECTED_MS)
        self.log_run_time_ratio = add_to_log_ratio(
            self.log_run_time_ratio, RUN_TIME_EMA_WEIGHT, ratio
        )
        self.usual_speed.record(ratio, math.exp(self.log_run_time_ratio))

    # Time

    def tick(self, now):
        """Apply the changes that depend on time alone.

        Decay the averages, stop stalled and slow runs, and drop the sessions of entries that have
        not reconnected within `RESUME_TIMEOUT_S`.
        """
        if self.last_tick_at is not None:
            decay = math.exp((self.last_tick_at - now) / DECAY_TIME_CONSTANT_S)
            self.failure_share *= decay
            usual = math.log(self.usual_speed.ratio)
            excess = self.log_run_time_ratio - usual
            is_slow = self.log_run_time_ratio > math.log(self.slow_ratio)
            if is_slow or (not self.runs and excess > math.log(DEGRADED_FACTOR)):
                self.log_run_time_ratio = usual + excess * decay
        self.last_tick_at = now
        self.stop_slow_runs(now)
        for session in list(self.sessions.values()):
            if session.connection is None and now - session.disconnected_at >= RESUME_TIMEOUT_S:
                self.drop_session(session, "the entry is unreachable")
                self.former_sessions[session.entry] = session
        for session in list(self.former_sessions.values()):
            if now - session.disconnected_at >= FORMER_SESSION_RETENTION_S:
                del self.former_sessions[session.entry]

    def stop_slow_runs(self, now):
        """Stop runs that have stalled or would end sooner on another worker."""
        runs = list(self.runs.values())
        for run in runs:
            if run.state == RUNNING and run.percent:
                self.stall_history.record_progress(run)
        for run in find_stalled(runs, now):
            self.stall_history.record_stall(run)
            self.failure_share = max(self.failure_share, self.stall_history.failure_share)
            self.changed = True
            self.stop(run, "stalled", now)
        self.current_run_time_ratio = median_run_time_ratio(runs)
        self.projected_log_ratio = include_projections(
            self.log_run_time_ratio, RUN_TIME_EMA_WEIGHT, runs
        )
        for run in find_runs_to_restart(runs, self.current_run_time_ratio, self.slow_ratio):
            self.log_run_time_ratio = max(
                self.log_run_time_ratio, math.log(self.current_run_time_ratio)
            )
            self.changed = True
            self.stop(run, "slow", now)

    @property
    def slow_ratio(self):
        """Run time ratio from which the worker counts as slow beside its usual speed."""
        return SLOW_FACTOR * max(1.0, self.usual_speed.ratio)

    @property
    def run_time_ratio(self):
        """Run times over their estimates: the average of ended runs, and of running ones too if
        that is higher.

        The ratio of running runs alone counts if it is higher still and at least `slow_ratio`.
        """
        average = math.exp(max(self.log_run_time_ratio, self.projected_log_ratio))
        if self.current_run_time_ratio is not None:
            if self.current_run_time_ratio >= self.slow_ratio:
                return max(average, self.current_run_time_ratio)
        return average

    def is_nearly_full(self, min_free_share):
        """Return whether less than `min_free_share` of the cores is free; true if not ready."""
        if self.state != READY:
            return True
        cpu_free = self.cpu_limit - self.cpu_used - self.cpu_queued
        return cpu_free < min_free_share * self.worker.cpu

    def cold_left_ms(self, now):
        """Return how long the worker remains cold, in milliseconds; 0 unless its zone was restored.

        A worker that has merely restarted is served as any other.
        """
        return max(0.0, self.cold_until - now) * 1000 if self.restored else 0.0

    def status(self, session, now):
        """Return the status report for one entry."""
        worker = self.worker
        cpu, memory, gpu = (worker.cpu, worker.memory_mb, worker.gpu) if worker else (0, 0, 0)
        return WorkerStatus(
            worker.id if worker else "",
            worker.service if worker else "",
            self.state,
            cpu,
            memory,
            gpu,
            self.cpu_limit - self.cpu_used - self.cpu_queued,
            memory - self.memory_used - self.memory_queued,
            gpu - self.gpu_used - self.gpu_queued,
            session.orders_received,
            self.run_time_ratio,
            self.failure_share,
            worker.labels if worker else [],
            now,
            cold_left_ms=self.cold_left_ms(now),
            cpu_by_priority=list(self.cpu_by_priority),
            usual_run_time_ratio=self.usual_speed.ratio,
        )
