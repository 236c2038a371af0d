"""What an entry makes of news from agents: reports, ends of runs, connections.

Part of :class:`onyxfork.direct.dispatcher.Dispatcher`; state is kept there.
"""

import logging

from onyxfork.direct.jobs import BLOCKED, DONE, RUNNING
from onyxfork.direct.placement import FAULTY_FAILURE_SHARE
from onyxfork.direct.requests import COMPLETED, FAILED, UNKNOWN, JobOutcome
from onyxfork.direct.workers import WorkerView

__all__ = ["AgentEventMixin", "RECOVERY_WINDOW_S", "LOST_AFTER_S", "RUN_NUMBER_JUMP"]

log = logging.getLogger(__name__)

RECOVERY_WINDOW_S = 3.0
"""After a start, or after an agent was lost, a job may wait this long for a worker in reach; agents
are back and have heard from their workers by then."""

LOST_AFTER_S = 1.45
"""After this long without its agent, nothing of a run is left. An agent takes orders that are up to
0.45 s old, gives a silent connection up after 0.7 s, waits 0.25 s for its entry and stops the run
within 0.05 s. If the agent is dead, the worker's lease, 1 s on a clock 2 % slow, has ended."""

AVOID_WORKER_S = 2.0
"""How long new work goes elsewhere after a run went wrong on a worker."""

RUN_NUMBER_JUMP = 16
"""Added to a run's number when the worker has seen a higher one: another entry had the job."""

MAX_EXTRA_FAILURES = 2
"""Failures on workers that fail other work too do not count against a task, up to this many."""


class AgentEventMixin:
    """How what agents say changes the tables."""

    def on_connected(self, node, zone):
        """Take in an agent on a fresh connection; return the runs believed to be there."""
        view = self.workers.setdefault(node, WorkerView(node, zone))
        view.connect()
        for collected in (self.orders, self.withdrawals, self.recalls):
            collected.pop(node, None)
        return [task.ref for task in view.tasks.values() if not task.withdrawn]

    def on_disconnected(self, node, now):
        """Note that an agent is out of reach; its runs are lost unless it comes back soon."""
        view = self.workers[node]
        view.connected = False
        view.runs_lost_at = now + LOST_AFTER_S
        self.recovery_ends_at = max(self.recovery_ends_at, now + RECOVERY_WINDOW_S)
        for collected in (self.orders, self.withdrawals, self.recalls):
            collected.pop(node, None)

    def on_status(self, node, status, now):
        """Take an agent's report."""
        self.workers[node].update_status(status)
        if self.waiting_heap:
            self.place_waiting_tasks(now)

    def on_events(self, node, events, now):
        """Take news of runs."""
        view = self.workers[node]
        for event in events:
            task = view.tasks.get((event.job, event.step, event.index))
            if task is None or task.run != event.run:
                continue
            EVENT_HANDLERS[event.kind](self, task, view, event, now)
        if self.waiting_heap:
            self.place_waiting_tasks(now)

    def on_started(self, task, view, event, now):
        """Note that a run has begun."""
        task.may_have_started = True
        task.state, task.started_at = RUNNING, now

    def on_done(self, task, view, event, now):
        """Note a task's success, and go on with what it held up."""
        self.remove_from_worker(task)
        task.may_have_started = True
        task.state = DONE
        job = task.job
        job.open_tasks[task.step] -= 1
        if event.run_ms:
            self.estimates.record_run(job.request.queue.name, task.spec.expected_ms, event.run_ms)
        if job.outcome is not None:
            self.remove_if_finished(job)
        elif not any(job.open_tasks):
            self.finish_job(job, JobOutcome(COMPLETED))
        elif not job.open_tasks[task.step]:
            self.unblock(job)

    def unblock(self, job):
        """Let the tasks wait for room whose earlier steps are done."""
        for task in job.tasks:
            if task.state == BLOCKED and not any(job.open_tasks[at] for at in task.spec.depends_on):
                self.enqueue(task)

    def on_failed(self, task, view, event, now):
        """Count a failed run and try again, or fail the job."""
        task.may_have_started = True
        task.failures += 1
        unsound = view.status is not None and view.status.failure_share >= FAULTY_FAILURE_SHARE
        allowed = task.job.request.queue.attempts + (MAX_EXTRA_FAILURES if unsound else 0)
        if task.job.outcome is None and task.failures >= allowed:
            self.remove_from_worker(task)
            task.state = BLOCKED
            reason = f"task {task.step}.{task.index} failed {task.failures} times: {event.reason}"
            self.finish_job(task.job, JobOutcome(FAILED, reason))
            return
        self.reschedule(task, view, event.kind, event.reason)

    def on_interrupted(self, task, view, event, now):
        """Note that a run has stopped before its end, and let the task run again."""
        task.may_have_started = True
        if event.kind == "lost" or event.reason in ("stalled", "slow"):
            view.avoid_until = now + AVOID_WORKER_S
        self.reschedule(task, view, event.kind, event.reason)

    def on_returned(self, task, view, event, now):
        """Note that a run never began."""
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
        if event.reason in ("unhealthy", "unanswered", "stale"):
            view.avoid_until = now + AVOID_WORKER_S
        self.reschedule(task, view, event.kind, event.reason)

    def reschedule(self, task, view, kind, reason):
        """Let a task whose run has ended wait for room once more."""
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
        """Log why a task runs again, and what was believed of its worker."""
        status = view.status
        fields = {
            "job": task.job.id,
            "task": f"{task.step}.{task.index}",
            "run": task.run,
            "agent": view.node,
            "worker": status.worker if status else "",
            "worker_state": status.state if status and view.connected else "out of reach",
            "failing": round(status.failure_share, 2) if status else None,
            "pace": round(status.run_time_ratio, 2) if status else None,
            "outcome": kind,
            "reason": reason,
        }
        log.info("task runs again", extra=fields)


EVENT_HANDLERS = {
    "started": AgentEventMixin.on_started,
    "done": AgentEventMixin.on_done,
    "failed": AgentEventMixin.on_failed,
    "stopped": AgentEventMixin.on_interrupted,
    "lost": AgentEventMixin.on_interrupted,
    "returned": AgentEventMixin.on_returned,
}
