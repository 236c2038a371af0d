"""Handlers of an entry for worker reports, run events and changes of connections to agents.

Part of :class:`onyxfork.direct.dispatcher.Dispatcher`, which holds the state.
"""

import logging

from onyxfork.direct.crashes import is_exhausted
from onyxfork.direct.jobs import BLOCKED, DONE, RUNNING
from onyxfork.direct.placement import FAULTY_FAILURE_SHARE
from onyxfork.direct.requests import COMPLETED, FAILED, UNKNOWN, JobOutcome
from onyxfork.direct.workers import WorkerView

__all__ = ["AgentEventMixin", "RECOVERY_WINDOW_S", "LOST_AFTER_S", "RUN_NUMBER_JUMP"]

log = logging.getLogger(__name__)

RECOVERY_WINDOW_S = 3.0
"""After a start or the loss of an agent, a job may wait this long for a ready worker; by then
agents have reconnected and received reports from their workers."""

LOST_AFTER_S = 1.45
"""After this long without a connection to its agent, a run has certainly stopped. An agent accepts
orders up to 0.45 s old, closes a silent connection after 0.7 s, waits 0.25 s for its entry to
reconnect and stops the run within 0.05 s. If the agent has died, the worker's lease of 1 s has
expired by then, even on a clock that is 2 % slow."""

AVOID_WORKER_S = 2.0
"""How long other workers are preferred after a worker lost, stalled or refused a run."""

RUN_NUMBER_JUMP = 16
"""Added to a run's number after the worker has refused it because it has seen a higher one, from
another entry that ran the same job; the next run must exceed the numbers used there."""

MAX_EXTRA_FAILURES = 2
"""Upper bound on a task's additional attempts if the latest failure was on a faulty worker. Other
tasks fail there too, so the failure is not attributed to the task."""


class AgentEventMixin:
    """Update jobs, tasks and workers on events from agents."""

    def on_connected(self, node, zone, address="", incarnation="", now=0.0):
        """Register an agent on a new connection and return the runs that it should hold.

        Output that is still to be sent to the agent is dropped: the returned list replaces it. Runs
        that have been withdrawn are withdrawn again, because the answer may have been lost.

        Parameters
        ----------
        node, zone : str
        address, incarnation : str
            Where the agent was reached, and identity of its process.
        now : float
            Monotonic seconds.
        """
        view = self.workers.get(node)
        if view is not None and view.address != address and view.incarnation != incarnation:
            self.detach_runs(view, now)
        view = self.workers.setdefault(node, WorkerView(node, zone))
        view.address, view.incarnation = address, incarnation
        view.evacuated = view.zone in self.evacuated_zones
        view.connect()
        for pending_by_agent in (self.orders, self.withdrawals, self.recalls):
            pending_by_agent.pop(node, None)
        withdrawn = [task.ref for task in view.tasks.values() if task.withdrawn]
        if withdrawn:
            self.withdrawals[node] = withdrawn
        return [task.ref for task in view.tasks.values() if not task.withdrawn]

    def detach_runs(self, view, now):
        """Keep the runs on an agent's former machine until they have certainly stopped.

        An agent on another machine with the same name has another worker, so it cannot tell
        whether they have ended.
        """
        if not view.tasks:
            return
        former = WorkerView(f"{view.node}#{next(self.heap_sequence)}", view.zone, is_former=True)
        former.tasks, view.tasks = view.tasks, {}
        former.runs_lost_at = now + LOST_AFTER_S if view.connected else view.runs_lost_at
        for task in former.tasks.values():
            task.worker = former.node
        self.workers[former.node] = former
        log.info(
            "agent is on another machine", extra={"agent": view.node, "runs": len(former.tasks)}
        )

    def on_disconnected(self, node, now):
        """Mark an agent as disconnected and set when its runs count as lost."""
        view = self.workers[node]
        view.connected = False
        view.runs_lost_at = now + LOST_AFTER_S
        self.recovery_ends_at = max(self.recovery_ends_at, now + RECOVERY_WINDOW_S)
        for pending_by_agent in (self.orders, self.withdrawals, self.recalls):
            pending_by_agent.pop(node, None)

    def set_evacuated_zones(self, zones, now):
        """Replace the evacuated zones; their workers get no further tasks."""
        self.evacuated_zones = zones
        for view in self.workers.values():
            view.evacuated = view.zone in zones
        if self.waiting_heap:
            self.place_waiting_tasks(now)

    def on_status(self, node, status, now):
        """Update a worker from its agent's report."""
        view = self.workers[node]
        spare_before = self.use.spare_of(view)
        view.update_status(status)
        view.reported_at = now
        view.record_clock(status.clock, now)
        self.use.spare += self.use.spare_of(view) - spare_before
        if self.waiting_heap:
            self.place_waiting_tasks(now)

    def on_events(self, node, events, now):
        """Apply run events; events of superseded runs are ignored."""
        view = self.workers[node]
        for event in events:
            task = view.tasks.get((event.job, event.step, event.index))
            if task is None or task.run != event.run:
                continue
            task.job.record_event(task, event, now)
            if event.worker_started_ms:
                worker_id = view.worker_id or task.lifetime[0]
                task.lifetime = worker_id, event.worker_started_ms
            if event.kind != "started":
                task.record_end(event.kind, now, view.news_age_ms(event, now))
            EVENT_HANDLERS[event.kind](self, task, view, event, now)
        if self.waiting_heap:
            self.place_waiting_tasks(now)

    def on_crash_report(self, counts, now):
        """Record the crashes of tasks, and fail the jobs of those that may not start again."""
        self.crash_table.update(counts, now)
        for count in counts:
            job = self.jobs.get(count.job)
            if job is None or job.outcome is not None:
                continue
            for task in job.tasks:
                if (task.step, task.index) == (count.step, count.index):
                    task.record_crashes(count)
            self.fail_if_exhausted(job)

    def fail_if_exhausted(self, job):
        """Fail a job if a task of it has crashed too many workers; return whether it has."""
        for task in job.tasks:
            if task.state != DONE and is_exhausted(task):
                reason = (
                    f"task {task.step}.{task.index} ran in {task.crashes} crashes of workers, and "
                    f"had just started in {task.suspected}"
                )
                self.finish_job(job, JobOutcome(FAILED, reason))
                return True
        return False

    def on_started(self, task, view, event, now):
        """Mark a run as started."""
        task.may_have_started = True
        task.state, task.started_at = RUNNING, now
        self.unstarted_tasks.discard(task)

    def on_done(self, task, view, event, now):
        """Mark a task as done, then finish its job or unblock the steps that depend on it."""
        self.remove_from_worker(task)
        if view.is_cold and event.run_ms:
            view.record_cold_run(event.run_ms, task.expected_ms, now)
        task.may_have_started = True
        task.state = DONE
        job = task.job
        job.open_tasks[task.step] -= 1
        if event.run_ms:
            self.record_run_time(task, view, event.run_ms)
        if job.outcome is not None:
            self.remove_if_finished(job)
        elif not any(job.open_tasks):
            self.finish_job(job, JobOutcome(COMPLETED))
        elif not job.open_tasks[task.step]:
            self.unblock(job)

    def record_run_time(self, task, view, run_ms):
        """Learn the run time of a task that is done, as on a worker of average speed.

        Otherwise a queue whose tasks run on slow workers would be expected to take long, and these
        workers would appear fast. What all workers have in common is an error of the estimates.
        """
        queue = task.job.request.queue
        usual_ratio = self.run_time_baseline.relative_usual_ratio(view, queue.service)
        self.estimates.record_run(queue.name, task.spec.expected_ms, run_ms / usual_ratio)

    def unblock(self, job):
        """Enqueue the blocked tasks whose dependencies are all done."""
        for task in job.tasks:
            if task.state == BLOCKED and not any(
                job.open_tasks[step] for step in task.spec.depends_on
            ):
                self.enqueue(task)

    def on_failed(self, task, view, event, now):
        """Retry a failed task, or fail its job when its attempts are used up."""
        task.may_have_started = True
        task.failures += 1
        faulty_worker = (
            view.status is not None and view.status.failure_share >= FAULTY_FAILURE_SHARE
        )
        allowed = task.job.request.queue.attempts + (MAX_EXTRA_FAILURES if faulty_worker else 0)
        if task.job.outcome is None and task.failures >= allowed:
            self.remove_from_worker(task)
            task.state = BLOCKED
            reason = f"task {task.step}.{task.index} failed {task.failures} times: {event.reason}"
            self.finish_job(task.job, JobOutcome(FAILED, reason))
            return
        self.reschedule(task, view, event.kind, event.reason)

    def on_interrupted(self, task, view, event, now):
        """Reschedule a task whose run was stopped or lost."""
        task.may_have_started = True
        if event.kind == "lost" or event.reason in ("stalled", "slow"):
            view.avoid_until = now + AVOID_WORKER_S
        self.reschedule(task, view, event.kind, event.reason)

    def on_returned(self, task, view, event, now):
        """Reschedule a task whose run was returned without having started.

        Reason ``never arrived`` means that the agent does not know the run. If the agent has
        restarted, its former process may have started it, and the run has ended since. Reason
        ``old`` means that the worker has seen a higher run number of the task, and ``copy`` that
        the agent holds a run of the task that was ordered by another entry, or by this entry before
        its restart.
        """
        if event.reason == "never arrived":
            task.may_have_started = True
        if event.reason == "old":
            task.run += RUN_NUMBER_JUMP
        if event.reason == "copy":
            self.remove_from_worker(task)
            task.state = BLOCKED
            if task.job.outcome is None:
                self.finish_job(
                    task.job, JobOutcome(UNKNOWN, "another entry holds a copy of the job")
                )
            self.remove_if_finished(task.job)
            return
        if event.reason in ("unhealthy", "unsent", "unanswered", "stale"):
            view.avoid_until = now + AVOID_WORKER_S
        self.reschedule(task, view, event.kind, event.reason)

    def reschedule(self, task, view, kind, reason):
        """Enqueue a task again after its run has ended, unless its job has finished."""
        run = task.run
        if task.job.outcome is None and reason != "recalled":
            self.log_rescheduled(task, view, kind, reason)
        self.remove_from_worker(task)
        if reason != "recalled":
            task.avoid.add(task.worker)
        task.run = run
        if task.job.outcome is None:
            self.enqueue(task)
        else:
            task.state = BLOCKED
            self.remove_if_finished(task.job)

    @staticmethod
    def log_rescheduled(task, view, kind, reason):
        """Log why a task runs again, with the last known state of its worker."""
        status = view.status
        fields = {
            "job": task.job.id,
            "task": f"{task.step}.{task.index}",
            "run": task.end_run,
            "agent": view.node,
            "worker": task.lifetime[0] or view.worker_id,
            "worker_started_ms": task.lifetime[1] or None,
            "worker_state": status.state if status and view.connected else "unreachable",
            "failing": round(status.failure_share, 2) if status else None,
            "pace": round(status.run_time_ratio, 2) if status else None,
            "outcome": kind,
            "reason": reason,
            "ordered_ago_ms": rounded(task.ordered_ago_ms),
            "started_ago_ms": rounded(task.started_ago_ms),
            "news_age_ms": rounded(task.end_news_age_ms),
        }
        log.info("task runs again", extra=fields)


def rounded(milliseconds):
    """Return milliseconds for a log line; None for None."""
    return None if milliseconds is None else round(milliseconds, 1)


EVENT_HANDLERS = {
    "started": AgentEventMixin.on_started,
    "done": AgentEventMixin.on_done,
    "failed": AgentEventMixin.on_failed,
    "stopped": AgentEventMixin.on_interrupted,
    "lost": AgentEventMixin.on_interrupted,
    "returned": AgentEventMixin.on_returned,
}
