"""Scheduling decisions of an entry: admission, placement, retries and outcomes of jobs.

A job has steps, a step has tasks, and each attempt to execute a task on a worker is a run. An order
asks an agent for a new run, a withdrawal asks it to stop a run, and a recall asks it to return a
run that has not started.

The dispatcher reads no clock and performs no I/O. Its driver (:mod:`onyxfork.direct.entry`) passes
in requests, messages and the current time, then collects the output: orders, withdrawals and
recalls by agent, and finished jobs.
"""

import heapq
import logging
from itertools import count
from random import Random

from onyxfork.direct.admission import (
    MAX_SLACK_SHARE,
    MAX_SLACK_SHARE_AT_STARTUP,
    MAX_SLACK_SHARE_OF_HIGHEST,
    MAX_UNTRIED_SLACK_SHARE,
    MIN_RETRY_AFTER_MS,
    Capacity,
    Refusal,
    check_admission,
    check_precedence,
)
from onyxfork.direct.client_limits import MAX_HELD_TASKS
from onyxfork.direct.crashes import CrashTable
from onyxfork.direct.dispatcher_news import RECOVERY_WINDOW_S, AgentEventMixin
from onyxfork.direct.estimates import EstimateTable
from onyxfork.direct.jobs import PLACED, WAITING, make_job
from onyxfork.direct.placement import (
    CROWDED_JITTER_SHARE,
    JITTER_SHARE,
    PROBATION_FAILURE_SHARE,
    can_ever_run,
    choose_worker,
    timely_workers,
)
from onyxfork.direct.precedence import (
    MAX_PRIORITIES,
    OVERDUE_PENALTY_S,
    PriorityUse,
    priority_index,
)
from onyxfork.direct.precedence_placement import choose_worker_to_queue_at
from onyxfork.direct.requests import REFUSED, UNKNOWN, JobOutcome
from onyxfork.direct.subsets import ANY_LABEL
from onyxfork.direct.workers import RunTimeBaseline

__all__ = ["Dispatcher"]

log = logging.getLogger(__name__)

ANSWER_EXPIRY_FACTOR = 3.0
"""An answer is useful until this multiple of the latency objective has passed since the job's
arrival. A job that may have started continues beyond it: if it were abandoned, the caller would
send it again and all of it would run again."""

RECALL_AFTER_S = 0.02
"""A run that has no start event this long after its order is assumed to be queued at its agent: an
order and its start event take a few milliseconds, and the agent delays the event by up to 10."""

MIN_READY_AGENT_SHARE = 0.5
"""If more than this share of the known agents is ready, a lack of free capacity is due to load and
not to agents that are still reconnecting."""

MAX_MISFITS = 4
"""Waiting tasks that fit no worker now, after which a search for tasks to place stops."""

MAX_SKIPPED_TASKS = 32
"""Waiting tasks that a search passes over without a try, because their jobs may not start now. It
bounds the duration of a search."""

MAX_SKIPPED_TASKS_ON_REPORT = 8
"""The same bound on each report and event, of which there are hundreds a second."""

MAX_PLACEMENT_WAIT_S = 0.02
"""If a task has found no worker for this long since its job arrived, the entry needs more agents;
a full subset of workers ends a run every few milliseconds."""


class Dispatcher(AgentEventMixin):
    """Schedule the jobs of one entry on the workers that it knows.

    Parameters
    ----------
    now : float
        Monotonic seconds at the start of the process.
    rng : random.Random, optional
        Source of the jitter in placement.
    zone : str
        Availability zone of this entry, whose workers are preferred.
    max_held_tasks : int
        Upper bound on the tasks of the jobs that are kept.
    cancel_departed : callable, optional
        Called before tasks are placed, to cancel the jobs whose callers have left.

    Attributes
    ----------
    jobs : dict
        Jobs by identifier, kept until no agent holds a run of the job.
    held_tasks : int
        Tasks of these jobs.
    workers : dict of str to WorkerView
        Workers by the node name of their agent.
    waiting_heap : list
        Waiting tasks by precedence and latest start; may also hold tasks that no longer wait.
    waiting_tasks : set of Task
        Tasks that wait for free capacity.
    unstarted_tasks : set of Task
        Tasks whose latest run an agent holds and has not reported as started.
    evacuated_zones : frozenset of str
        Availability zones whose workers get no tasks.
    known_agent_count : int
        Agents in the directory, connected or not.
    shortages : dict of str to float
        For each label of which the known workers have had too little free capacity, when that was
        last so (monotonic seconds); `ANY_LABEL` stands for all workers.
    millicores_in_use : int
        Thousandths of a core that are reserved by runs at agents.
    recovery_ends_at, startup_ends_at : float
        Monotonic seconds until which agents may still be connecting: after the start of the process
        or the loss of an agent, and after the start only.
    orders : dict
        Orders to be sent, by agent.
    withdrawals : dict
        Runs to be stopped, by agent.
    recalls : dict
        Runs to be returned unless they have started, by agent.
    finished_jobs : list of Job
        Finished jobs whose callers have not been answered yet.
    crash_table : CrashTable
        Crashes by task as agents report them, also of jobs that other entries hold.
    use : PriorityUse
        Use of the known workers by priority.
    """

    def __init__(self, now, rng=None, zone="", max_held_tasks=MAX_HELD_TASKS, cancel_departed=None):
        self.rng = rng or Random()
        self.zone = zone
        self.cancel_departed = cancel_departed
        self.recovery_ends_at = self.startup_ends_at = now + RECOVERY_WINDOW_S
        self.evacuated_zones = frozenset()
        self.known_agent_count = 0
        self.shortages = {}
        self.max_held_tasks = max_held_tasks
        self.jobs = {}
        self.held_tasks = 0
        self.workers = {}
        self.waiting_heap = []
        self.waiting_tasks = set()
        self.unstarted_tasks = set()
        self.heap_sequence = count()
        self.run_time_baseline = RunTimeBaseline()
        self.estimates = EstimateTable()
        self.millicores_in_use = 0
        self.orders = {}
        self.withdrawals = {}
        self.recalls = {}
        self.finished_jobs = []
        self.crash_table = CrashTable()
        self.use = PriorityUse()

    # Jobs

    def submit(self, request, now):
        """Accept or refuse a job.

        Parameters
        ----------
        request : JobRequest
        now : float
            Monotonic seconds.

        Returns
        -------
        Job or Refusal
            The accepted job, which has failed already if a task of it has crashed too many workers;
            or why it is refused.
        """
        if self.held_tasks + request.task_count > self.max_held_tasks:
            reason = f"{self.held_tasks} tasks are here, of {self.max_held_tasks} allowed"
            return Refusal(reason, cause="tasks")
        job = make_job(request, now, self.estimates)
        if self.crash_table.apply_to(job) and self.fail_if_exhausted(job):
            return job
        refusal = self.find_refusal(job, now)
        if refusal is not None:
            return refusal
        self.jobs[job.id] = job
        self.held_tasks += len(job.tasks)
        self.use.record_accepted(job)
        for step in request.steps:
            if step.rack:
                self.record_shortage(step, now)
        for task in job.tasks:
            if task.state == WAITING:
                self.enqueue(task)
        self.place_waiting_tasks(now, on_report=False)
        return job

    def find_refusal(self, job, now):
        """Return the `Refusal` of a job, or None if it is accepted."""
        if job.id in self.jobs:
            return Refusal("a job with this identifier has not ended at this entry")
        views = [view for view in self.workers.values() if view.is_ready]
        if not views:
            return None if now < self.recovery_ends_at else Refusal("no worker is ready")
        for position, step in enumerate(job.request.steps):
            if not can_ever_run(step, job.request.queue.service, self.workers.values()):
                self.record_shortage(step, now)
                return Refusal(f"step {position} fits no worker")
        self.use.record_offered(job)
        capacity = self.admission_capacity(job, views)
        # After a start capacity is still growing, and shares of it would be too small.
        if now >= self.startup_ends_at and self.use.limits(job.priority):
            backlog = [*self.waiting_tasks, *self.tasks_queued_at_agents(now)]
            refusal = check_precedence(job, backlog, capacity.free, self.use, now)
        else:
            max_share = self.max_slack_share(job, now)
            refusal = check_admission(job, self.waiting_tasks, capacity, now, max_share)
        if refusal is not None:
            for step in job.request.steps:
                self.record_shortage(step, now)
        return refusal

    def max_slack_share(self, job, now):
        """Return the upper bound on a job's predicted wait, as a share of its slack."""
        if now < self.startup_ends_at:
            return MAX_SLACK_SHARE_AT_STARTUP
        is_highest = not self.use.has_higher(job.priority)
        if is_highest and self.use.has_lower(job.priority):
            return MAX_SLACK_SHARE_OF_HIGHEST
        return MAX_SLACK_SHARE

    def admission_capacity(self, job, views):
        """Return the `Capacity` of the ready workers of a job's service.

        Degraded and failing workers are left out: an entry places at most one task at a time there.
        Where workers differ in speed, those count on which the job would be on time.
        """
        service = job.request.queue.service
        usable = [
            view
            for view in views
            if view.status.service == service
            and view.status.failure_share < PROBATION_FAILURE_SHARE
            and not self.run_time_baseline.is_degraded(view)
        ]
        if self.run_time_baseline.is_uneven:
            usable = timely_workers(job, usable, self.run_time_baseline)
        used = sum(view.status.cpu - max(0, view.cpu_free) for view in usable)
        return Capacity(
            self.free_millicores(job, usable),
            sum(view.cpu_queued for view in usable),
            self.use.released_share_per_s * used,
        )

    def free_millicores(self, job, views):
        """Return the free capacity of workers in whole tasks of the job's largest step."""
        step = max(job.request.steps, key=lambda step: step.cpu)
        if not step.cpu:
            return sum(max(0, view.cpu_free) for view in views)
        fitting = (view.cpu_free // step.cpu for view in views if view.fits_now(step))
        return step.cpu * sum(fitting)

    def tasks_queued_at_agents(self, now):
        """Return the tasks that wait at agents which hold more runs than fit."""
        return [
            task
            for task in self.unstarted_tasks
            if now - task.placed_at >= RECALL_AFTER_S
            and self.workers[task.worker].is_ready
            and self.workers[task.worker].status.cpu_free < 0
        ]

    def cancel(self, job, reason, state=UNKNOWN):
        """Stop a job for its caller, unless it has finished; `state` is that of its outcome."""
        if job.outcome is None:
            self.finish_job(job, JobOutcome(state, reason))

    def finish_job(self, job, outcome):
        """Set the outcome of a job and withdraw its remaining runs."""
        job.outcome = outcome
        self.finished_jobs.append(job)
        for task in job.tasks:
            if task.is_at_agent:
                self.withdraw(task)
            elif task.state == WAITING:
                self.waiting_tasks.discard(task)
        self.remove_if_finished(job)

    def remove_if_finished(self, job):
        """Remove a finished job once no agent holds a run of it."""
        if job.outcome is not None and not job.has_runs_at_agents:
            if self.jobs.get(job.id) is job:
                del self.jobs[job.id]
                self.held_tasks -= len(job.tasks)

    def abandon_job(self, job, reason):
        """Finish a job that cannot continue.

        The outcome is ``refused`` only if no task can have started, and ``unknown`` otherwise.
        """
        if job.may_have_started or job.has_runs_at_agents:
            self.finish_job(job, JobOutcome(UNKNOWN, reason))
        else:
            self.use.record_accepted(job, -1)
            self.finish_job(job, JobOutcome(REFUSED, reason, MIN_RETRY_AFTER_MS))

    # Placement

    def enqueue(self, task):
        """Add a task to the tasks that wait for free capacity."""
        task.state = WAITING
        self.waiting_tasks.add(task)
        self.push_waiting(task, task.job.start_key(task))

    def push_waiting(self, task, key):
        """Push a waiting task onto the heap; `key` is its start key, plus a penalty if late."""
        heapq.heappush(self.waiting_heap, (key, next(self.heap_sequence), task))

    def place_waiting_tasks(self, now, on_report=True):
        """Place waiting tasks by precedence, then least slack, while workers have free capacity.

        A task that can no longer be on time comes after all that can: placing it first would make
        the next one late too. A job that may not start yet keeps those without precedence over it
        from starting; others behind it in the heap are tried.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        on_report : bool
            Whether only reports or events have arrived since the latest search, which is then
            shorter.
        """
        if self.cancel_departed is not None:
            self.cancel_departed()
        max_skipped = MAX_SKIPPED_TASKS_ON_REPORT if on_report else MAX_SKIPPED_TASKS
        max_unqueued = 1 if on_report else MAX_MISFITS
        unqueued = set()
        # No task of a search fits where fewer cores are free; placing tasks only lowers them.
        ready = [view for view in self.workers.values() if view.is_ready]
        most_free = max((view.cpu_free for view in ready), default=0)
        passed_over, blocked_priority, blocked_jobs = [], MAX_PRIORITIES, set()
        misfits = skipped = 0
        while self.waiting_heap and misfits < MAX_MISFITS and skipped < max_skipped:
            item = heapq.heappop(self.waiting_heap)
            key, _, task = item
            if task not in self.waiting_tasks:
                continue
            latest_start = task.job.latest_start(task)
            if latest_start < now and key < latest_start + OVERDUE_PENALTY_S:
                self.push_waiting(task, key + OVERDUE_PENALTY_S)
                continue
            if task.job in blocked_jobs or self.is_blocked(task.job, blocked_priority):
                blocked_jobs.add(task.job)
                blocked_priority = min(blocked_priority, priority_index(task.job.priority))
                passed_over.append(item)
                skipped += 1
                continue
            view = self.choose_worker(task, now) if task.spec.cpu <= most_free else None
            if view is None and len(unqueued) < max_unqueued:
                view = self.choose_queue(task, unqueued, now)
            if view is None:
                if now - task.job.arrived_at >= MAX_PLACEMENT_WAIT_S:
                    self.record_shortage(task.spec, now)
                passed_over.append(item)
                misfits += 1
                continue
            self.place(task, view, now)
        for item in passed_over:
            heapq.heappush(self.waiting_heap, item)

    def is_blocked(self, job, blocked_priority):
        """Return whether a job may not start now.

        Parameters
        ----------
        job : Job
        blocked_priority : int
            The highest priority of which a job that precedes this one may not start;
            `MAX_PRIORITIES` if there is none.
        """
        if not self.use.may_start(job):
            return True
        if job.first_placed_at is not None or priority_index(job.priority) < blocked_priority:
            return False
        return not self.use.has_guarantee(job)

    def choose_worker(self, task, now):
        """Return the worker with free capacity that gets a task, or None."""
        jitter_share = CROWDED_JITTER_SHARE if self.use.is_crowded else JITTER_SHARE
        views, baseline = self.workers.values(), self.run_time_baseline
        return choose_worker(task, views, baseline, self.rng, now, self.zone, jitter_share)

    def choose_queue(self, task, unqueued, now):
        """Return the full worker whose agent starts a task before other work, or None.

        Parameters
        ----------
        task : Task
        unqueued : set of (int, int)
            Priority and cores of the tasks for which this search has found no such worker; tasks
            like these aren't tried again.
        now : float
            Monotonic seconds.
        """
        use, kind = self.use, (task.job.priority, task.spec.cpu)
        if kind in unqueued or not (
            use.has_lower(task.job.priority) or use.has_guarantee(task.job)
        ):
            return None
        views, baseline = self.workers.values(), self.run_time_baseline
        view = choose_worker_to_queue_at(task, views, use, baseline, self.rng, now)
        if view is None:
            unqueued.add(kind)
        return view

    def record_shortage(self, step, now):
        """Record that the known workers have too little free capacity for a task of `step`."""
        self.shortages[step.label or step.rack or ANY_LABEL] = now

    def place(self, task, view, now):
        """Reserve capacity of a worker for a new run of a task, and add the order to the output."""
        self.waiting_tasks.discard(task)
        task.record_order(view.node, now)
        if task.job.first_placed_at is None:
            task.job.first_placed_at = now
        task.job.latest_worker = view.node
        view.record_order(task.spec)
        self.use.spare -= task.spec.cpu
        self.use.count(task, 1)
        view.tasks[task.ref.key] = task
        self.unstarted_tasks.add(task)
        self.millicores_in_use += task.spec.cpu
        self.orders.setdefault(view.node, []).append(task.order(now))

    def withdraw(self, task):
        """Withdraw the latest run of a task; its agent acknowledges with an event."""
        if not task.withdrawn:
            task.withdrawn = True
            self.withdrawals.setdefault(task.worker, []).append(task.ref)

    def remove_from_worker(self, task):
        """Remove the latest run of a task from its worker and release its reserved cores."""
        view = self.workers.get(task.worker)
        self.unstarted_tasks.discard(task)
        if view is not None:
            view.tasks.pop(task.ref.key, None)
        self.millicores_in_use -= task.spec.cpu
        self.use.count(task, -1)

    def recall_queued_runs(self, now):
        """Recall runs queued at overcommitted agents while others have free capacity for them."""
        # Remainders that the task doesn't fit aren't room for it: negated, the largest first.
        free = [-view.cpu_free for view in self.workers.values() if view.is_ready]
        heapq.heapify(free)
        for view in self.workers.values():
            if not view.is_ready or view.status.cpu_free >= 0:
                continue
            for task in view.tasks.values():
                if task.state != PLACED or task.recalled or task.spec.cpu > -free[0]:
                    continue
                if not self.use.leaves_reserve(task.job, task.spec.cpu):
                    continue
                if now - task.placed_at >= RECALL_AFTER_S:
                    task.recalled = True
                    heapq.heapreplace(free, free[0] + task.spec.cpu)
                    self.recalls.setdefault(view.node, []).append(task.ref)

    # Time

    def tick(self, now):
        """Handle timeouts: lost agents, jobs past their limits, runs to be recalled."""
        for view in list(self.workers.values()):
            if not view.connected and view.tasks and now >= view.runs_lost_at:
                self.reschedule_lost_runs(view, now)
            if view.is_former and not view.tasks:
                del self.workers[view.node]
        for job in list(self.jobs.values()):
            if job.outcome is None:
                self.check_time_limits(job, now)
        self.run_time_baseline.refresh(self.workers.values())
        self.use.refresh(self.workers.values(), now)
        waits = bool(self.waiting_heap)
        if waits:
            self.place_waiting_tasks(now, on_report=False)
        # Under contention the tasks that wait may be those that leave a reserve free.
        if not waits or self.use.is_crowded:
            self.recall_queued_runs(now)

    def reschedule_lost_runs(self, view, now):
        """Reschedule the runs of an agent that has not reconnected in time."""
        log.warning("agent lost", extra={"agent": view.node, "runs": len(view.tasks)})
        for task in list(view.tasks.values()):
            task.may_have_started = True
            task.record_end("lost", now)
            self.reschedule(task, view, "lost", "agent unreachable")

    def check_time_limits(self, job, now):
        """Abandon a job whose caller has timed out or whose answer would be too late."""
        if now >= job.deadline:
            self.abandon_job(job, "the caller has timed out")
        elif job.first_placed_at is None and self.is_too_late_to_start(job, now):
            self.abandon_job(job, "no free capacity in time")
        elif now >= job.answer_expiry(ANSWER_EXPIRY_FACTOR) and not (
            job.may_have_started or job.has_runs_at_agents
        ):
            self.abandon_job(job, "the answer would be too late")

    def is_too_late_to_start(self, job, now):
        """Return whether a job without any placed run should be refused as too late.

        While agents are reconnecting after a start or a loss and most are not ready yet, a job may
        wait beyond its latest start: capacity is about to become available, and a late answer is
        better than none.
        """
        latest_start = min(map(job.latest_start, job.tasks))
        if self.use.has_higher(job.priority):
            slack_s = latest_start - job.arrived_at
            latest_start = job.arrived_at + MAX_UNTRIED_SLACK_SHARE * slack_s
        if now <= latest_start:
            return False
        ready_count = sum(view.is_ready for view in self.workers.values())
        return (
            now >= self.recovery_ends_at
            or ready_count > MIN_READY_AGENT_SHARE * self.known_agent_count
        )
