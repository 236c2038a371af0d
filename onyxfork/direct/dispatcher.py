"""Decisions of an entry: jobs in, orders out, news of runs in, answers out.

The dispatcher reads no clock and opens no connection. Its driver hands it requests, messages and
the time, then takes what has collected: orders and withdrawals by agent, and answered jobs.
"""

import heapq
import logging
from itertools import count
from random import Random

from onyxfork.direct.admission import (
    MAX_SLACK_SHARE,
    MAX_SLACK_SHARE_AT_STARTUP,
    MIN_RETRY_AFTER_MS,
    Refusal,
    check_admission,
)
from onyxfork.direct.dispatcher_news import RECOVERY_WINDOW_S, AgentEventMixin
from onyxfork.direct.estimates import EstimateTable
from onyxfork.direct.jobs import PLACED, WAITING, make_job
from onyxfork.direct.placement import can_ever_run, choose_worker
from onyxfork.direct.requests import REFUSED, UNKNOWN, JobOutcome
from onyxfork.direct.workers import RunTimeBaseline

__all__ = ["Dispatcher"]

log = logging.getLogger(__name__)

ANSWER_EXPIRY_FACTOR = 3.0
"""An answer is of use until this many latency objectives after the job's arrival. A job of which
something has run goes on: given up, it would be sent again and run from its start."""

RECALL_AFTER_S = 0.015
"""A run that has not started this long after its order waits at its agent: an order and the news of
its start take a few milliseconds."""

MIN_READY_AGENT_SHARE = 0.5
"""With more than this share of known agents in reach, room is short because of load."""

OVERDUE_PENALTY_S = 60.0
"""Added to the latest start of a task that is late; longer than any slack."""


class Dispatcher(AgentEventMixin):
    """The jobs, tasks and workers of one entry.

    Parameters
    ----------
    now : float
        Monotonic seconds at the start of the process.
    rng : random.Random, optional

    Attributes
    ----------
    jobs : dict
        Jobs by identifier until their last run has left its agent.
    known_agents : int
        Agents that the directory names, connected or not.
    orders : dict
        Orders to be sent, by agent.
    withdrawals : dict
        Runs to be withdrawn, by agent.
    recalls : dict
        Runs to be handed back unless they have started, by agent.
    answered : list of Job
        Jobs whose outcome is new.
    """

    def __init__(self, now, rng=None):
        self.rng = rng or Random()
        self.recovery_ends_at = self.startup_ends_at = now + RECOVERY_WINDOW_S
        self.known_agent_count = 0
        self.jobs = {}
        self.workers = {}
        self.waiting_heap = []
        self.waiting_tasks = set()
        self.heap_sequence = count()
        self.run_time_baseline = RunTimeBaseline()
        self.estimates = EstimateTable()
        self.millicores_in_use = 0
        self.orders = {}
        self.withdrawals = {}
        self.recalls = {}
        self.answered = []

    # Jobs

    def submit(self, request, now):
        """Take a job or refuse it.

        Parameters
        ----------
        request : JobRequest
        now : float
            Monotonic seconds.

        Returns
        -------
        Job or Refusal
        """
        job = make_job(request, now, self.estimates)
        refusal = self.find_refusal(job, now)
        if refusal is not None:
            return refusal
        self.jobs[job.id] = job
        for task in job.tasks:
            if task.state == WAITING:
                self.enqueue(task)
        self.place_waiting_tasks(now)
        return job

    def find_refusal(self, job, now):
        """Return why a job can not be taken, or None."""
        if job.id in self.jobs:
            return Refusal("a copy of the job has not ended here")
        views = [view for view in self.workers.values() if view.is_ready]
        if not views:
            return None if now < self.recovery_ends_at else Refusal("no worker is in reach")
        for position, step in enumerate(job.request.steps):
            if not can_ever_run(step, job.request.queue.service, self.workers.values()):
                return Refusal(f"step {position} fits no worker")
        cores = self.millicores_in_use + sum(max(0, view.cpu_free) for view in views)
        margin = MAX_SLACK_SHARE if now >= self.startup_ends_at else MAX_SLACK_SHARE_AT_STARTUP
        return check_admission(job, self.waiting_tasks, cores, now, margin)

    def cancel(self, job, reason):
        """Stop a job whose caller has left; nobody is answered."""
        if job.outcome is None:
            self.finish_job(job, JobOutcome(UNKNOWN, reason))

    def finish_job(self, job, outcome):
        """Answer a job and take back what is left of it."""
        job.outcome = outcome
        self.answered.append(job)
        for task in job.tasks:
            if task.is_at_agent:
                self.withdraw(task)
            elif task.state == WAITING:
                self.waiting_tasks.discard(task)
        self.remove_if_finished(job)

    def remove_if_finished(self, job):
        """Forget an answered job when none of its runs is at an agent."""
        if job.outcome is not None and not job.has_runs_at_agents:
            self.jobs.pop(job.id, None)

    def abandon_job(self, job, reason):
        """End a job that can not go on; say that it has not run only if that is sure."""
        if job.may_have_started or job.has_runs_at_agents:
            self.finish_job(job, JobOutcome(UNKNOWN, reason))
        else:
            self.finish_job(job, JobOutcome(REFUSED, reason, MIN_RETRY_AFTER_MS))

    # Placement

    def enqueue(self, task):
        """Let a task wait for room."""
        task.state = WAITING
        self.waiting_tasks.add(task)
        self.push_waiting(task, task.job.latest_start(task))

    def push_waiting(self, task, key):
        """Put a waiting task into the order of starts."""
        heapq.heappush(self.waiting_heap, (key, next(self.heap_sequence), task))

    def place_waiting_tasks(self, now):
        """Place waiting tasks, those with the least slack first, while there is room.

        A task that can not be on time any more comes after all that can: serving it first would
        make the next one late too.
        """
        passed_over = []
        while self.waiting_heap:
            item = heapq.heappop(self.waiting_heap)
            key, _, task = item
            if task not in self.waiting_tasks:
                continue
            if key < now:
                self.push_waiting(task, key + OVERDUE_PENALTY_S)
                continue
            view = choose_worker(task, self.workers.values(), self.run_time_baseline, self.rng, now)
            if view is None:
                passed_over.append(item)
                if len(passed_over) >= 4:
                    break
                continue
            self.place(task, view, now)
        for item in passed_over:
            heapq.heappush(self.waiting_heap, item)

    def place(self, task, view, now):
        """Order a new run of a task at a worker."""
        self.waiting_tasks.discard(task)
        task.run += 1
        task.state, task.worker, task.placed_at = PLACED, view.node, now
        task.withdrawn = task.recalled = False
        if task.job.first_placed_at is None:
            task.job.first_placed_at = now
        view.record_order(task.spec)
        view.tasks[task.ref.key] = task
        self.millicores_in_use += task.spec.cpu
        self.orders.setdefault(view.node, []).append(task.order(now))

    def withdraw(self, task):
        """Take back a run; its agent answers with an event."""
        if not task.withdrawn:
            task.withdrawn = True
            self.withdrawals.setdefault(task.worker, []).append(task.ref)

    def remove_from_worker(self, task):
        """Note that the latest run is not at its agent any more."""
        view = self.workers.get(task.worker)
        if view is not None:
            view.tasks.pop(task.ref.key, None)
        self.millicores_in_use -= task.spec.cpu

    def recall_queued_runs(self, now):
        """Ask for runs back that wait at a full agent while another has room."""
        free = sum(max(0, view.cpu_free) for view in self.workers.values() if view.is_ready)
        for view in self.workers.values():
            if not view.is_ready or view.status.cpu_free >= 0:
                continue
            for task in view.tasks.values():
                if task.state != PLACED or task.recalled or task.spec.cpu > free:
                    continue
                if now - task.placed_at >= RECALL_AFTER_S:
                    task.recalled = True
                    free -= task.spec.cpu
                    self.recalls.setdefault(view.node, []).append(task.ref)

    # Time

    def tick(self, now):
        """Let time pass: lost agents, jobs past use, callers that have stopped waiting."""
        for view in self.workers.values():
            if not view.connected and view.tasks and now >= view.runs_lost_at:
                self.reschedule_lost_runs(view, now)
        for job in list(self.jobs.values()):
            if job.outcome is None:
                self.check_time_limits(job, now)
        self.run_time_baseline.refresh(self.workers.values())
        if self.waiting_heap:
            self.place_waiting_tasks(now)
        else:
            self.recall_queued_runs(now)

    def reschedule_lost_runs(self, view, now):
        """Let the runs at an agent that has not come back run elsewhere."""
        log.warning("agent lost", extra={"agent": view.node, "runs": len(view.tasks)})
        for task in list(view.tasks.values()):
            task.may_have_started = True
            self.reschedule(task, view, "lost", "agent out of reach")

    def check_time_limits(self, job, now):
        """End a job that is of no use any more."""
        if now >= job.deadline:
            self.abandon_job(job, "the caller's patience has ended")
        elif job.first_placed_at is None and self.is_too_late_to_start(job, now):
            self.abandon_job(job, "no room in time")
        elif now >= job.answer_expiry(ANSWER_EXPIRY_FACTOR) and not (
            job.may_have_started or job.has_runs_at_agents
        ):
            self.abandon_job(job, "too late to be of use")

    def is_too_late_to_start(self, job, now):
        """Return whether a job that waits for room gets none in time.

        While most workers are out of reach after a start or a loss, a late answer is still better
        than none: workers are not full, they are only about to be found.
        """
        if now <= min(map(job.latest_start, job.tasks)):
            return False
        ready = sum(view.is_ready for view in self.workers.values())
        return (
            now >= self.recovery_ends_at or ready > MIN_READY_AGENT_SHARE * self.known_agent_count
        )
