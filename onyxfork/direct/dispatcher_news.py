"""What an entry makes of news from agents: reports, ends of runs, connections.

Part of :class:`onyxfork.direct.dispatcher.Dispatcher`; state is kept there.
"""

import logging

from onyxfork.direct.jobs import BLOCKED, DONE, RUNNING
from onyxfork.direct.placement import UNSOUND_FAILING
from onyxfork.direct.requests import COMPLETED, FAILED, UNKNOWN, JobOutcome
from onyxfork.direct.workers import WorkerView

__all__ = ["News", "HOPE_S", "LOST_AFTER_S", "RUN_JUMP"]

log = logging.getLogger(__name__)

HOPE_S = 3.0
"""After a start, or after an agent was lost, a job may wait this long for a worker in reach; agents
are back and have heard from their workers by then."""

LOST_AFTER_S = 1.45
"""After this long without its agent, nothing of a run is left. An agent takes orders that are up to
0.45 s old, gives a silent connection up after 0.7 s, waits 0.25 s for its entry and stops the run
within 0.05 s. If the agent is dead, the worker's lease, 1 s on a clock 2 % slow, has ended."""

AVOID_S = 2.0
"""How long new work goes elsewhere after a run went wrong on a worker."""

RUN_JUMP = 16
"""Added to a run's number when the worker has seen a higher one: another entry had the job."""

EXTRA_FAILURES = 2
"""Failures on workers that fail other work too do not count against a task, up to this many."""


class News:
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
        view.lost_at = now + LOST_AFTER_S
        self.hopeful_until = max(self.hopeful_until, now + HOPE_S)
        for collected in (self.orders, self.withdrawals, self.recalls):
            collected.pop(node, None)

    def on_status(self, node, status, now):
        """Take an agent's report."""
        self.workers[node].take_status(status)
        if self.waiting:
            self.pump(now)

    def on_events(self, node, events, now):
        """Take news of runs."""
        view = self.workers[node]
        for event in events:
            task = view.tasks.get((event.job, event.step, event.index))
            if task is None or task.run != event.run:
                continue
            HANDLERS[event.kind](self, task, view, event, now)
        if self.waiting:
            self.pump(now)

    def on_started(self, task, view, event, now):
        """Note that a run has begun."""
        task.begun = True
        task.state, task.started_at = RUNNING, now

    def on_done(self, task, view, event, now):
        """Note a task's success, and go on with what it held up."""
        self.leave_worker(task)
        task.begun = True
        task.state = DONE
        job = task.job
        job.open_tasks[task.step] -= 1
        if event.run_ms:
            self.estimates.note(job.request.queue.name, task.spec.expected_ms, event.run_ms)
        if job.outcome is not None:
            self.forget_if_over(job)
        elif not any(job.open_tasks):
            self.end(job, JobOutcome(COMPLETED))
        elif not job.open_tasks[task.step]:
            self.unblock(job)

    def unblock(self, job):
        """Let the tasks wait for room whose earlier steps are done."""
        for task in job.tasks:
            if task.state == BLOCKED and not any(job.open_tasks[at] for at in task.spec.depends_on):
                self.queue(task)

    def on_failed(self, task, view, event, now):
        """Count a failed run and try again, or fail the job."""
        task.begun = True
        task.failures += 1
        unsound = view.status is not None and view.status.failure_share >= UNSOUND_FAILING
        allowed = task.job.request.queue.attempts + (EXTRA_FAILURES if unsound else 0)
        if task.job.outcome is None and task.failures >= allowed:
            self.leave_worker(task)
            task.state = BLOCKED
            reason = f"task {task.step}.{task.index} failed {task.failures} times: {event.reason}"
            self.end(task.job, JobOutcome(FAILED, reason))
            return
        self.run_again(task, view, event.kind, event.reason)

    def on_ended(self, task, view, event, now):
        """Note that a run has stopped before its end, and let the task run again."""
        task.begun = True
        if event.kind == "lost" or event.reason in ("stalled", "slow"):
            view.avoid_until = now + AVOID_S
        self.run_again(task, view, event.kind, event.reason)

    def on_returned(self, task, view, event, now):
        """Note that a run never began."""
        if event.reason == "old":
            task.run += RUN_JUMP
        if event.reason == "copy":
            self.leave_worker(task)
            task.state = BLOCKED
            if task.job.outcome is None:
                self.end(task.job, JobOutcome(UNKNOWN, "another entry holds a copy of the job"))
            self.forget_if_over(task.job)
            return
        if event.reason in ("unhealthy", "unanswered", "stale"):
            view.avoid_until = now + AVOID_S
        self.run_again(task, view, event.kind, event.reason)

    def run_again(self, task, view, kind, reason):
        """Let a task whose run has ended wait for room once more."""
        run = task.run
        if task.job.outcome is None and reason != "recalled":
            self.log_again(task, view, kind, reason)
        self.leave_worker(task)
        if reason != "recalled":
            task.avoid.add(task.worker)
        task.run = run
        if task.job.outcome is None:
            self.queue(task)
        else:
            task.state = BLOCKED
            self.forget_if_over(task.job)

    @staticmethod
    def log_again(task, view, kind, reason):
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


HANDLERS = {
    "started": News.on_started,
    "done": News.on_done,
    "failed": News.on_failed,
    "stopped": News.on_ended,
    "lost": News.on_ended,
    "returned": News.on_returned,
}
