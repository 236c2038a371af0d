"""Update of an agent's runs from the worker's lists of running and ended runs.

Mixin of :class:`onyxfork.direct.arbiter.Arbiter`, which defines the attributes.
"""

from onyxfork.direct.runs import QUEUED, RUNNING, STOPPING

__all__ = ["WorkerLists"]

MAX_UNCLAIMED_ENDS = 4096
"""Upper bound on the ends that are stored of runs that this process has not ordered."""


class WorkerLists:
    """Mixin that applies the lists of running and ended runs that the worker reports."""

    def apply_ended_runs(self, ended_runs, now):
        """Finish the runs that the worker lists as ended.

        Parameters
        ----------
        ended_runs : list of (TaskRef, str)
            Each run with its outcome: ``done``, ``failed``, ``stopped`` or ``lost``.
        now : float
        """
        for ref, outcome in ended_runs:
            run = self.runs.get(ref.key)
            if run is None or run.order.run != ref.run or run.state == QUEUED:
                self.store_unclaimed_end(ref, outcome)
                continue
            if outcome == "done":
                self.stall_history.record_progress(run)
            if outcome in ("done", "failed"):
                self.record_outcome(outcome == "failed")
            if outcome == "done" and run.has_started:
                self.record_run_time((now - run.started_at) * 1000, run.order.expected_ms)
            self.finish(run, outcome, now, run.reason)

    def store_unclaimed_end(self, ref, outcome):
        """Store the end of a run that a former process of this agent has ordered."""
        self.unclaimed_ends[ref] = outcome
        if len(self.unclaimed_ends) > MAX_UNCLAIMED_ENDS:
            del self.unclaimed_ends[next(iter(self.unclaimed_ends))]

    def apply_running(self, listed, asked_at, now, worker_clock_ms=0.0):
        """Update the progress of runs and finish those that the worker does not list any more.

        Parameters
        ----------
        listed : dict
            Progress in percent by `TaskRef`.
        asked_at : float
            When the list was requested.
        now : float
        worker_clock_ms : float
            Lower bound on the worker's clock at that time.

        Returns
        -------
        list of TaskRef
            Running runs that this agent has not ordered; the driver stops them.
        """
        unknown = []
        for ref, percent in listed.items():
            run = self.runs.get(ref.key)
            if run is None or run.order.run != ref.run:
                unknown.append(ref)
                continue
            run.progress_read_at = asked_at
            if percent > run.percent:
                run.percent, run.progressed_at = percent, asked_at
        self.unknown_runs = {ref: self.unknown_runs.get(ref, asked_at) for ref in unknown}
        for run in list(self.runs.values()):
            if run.order.ref in listed or not self.must_be_listed(run, asked_at, worker_clock_ms):
                continue
            kind = "stopped" if run.start_unconfirmed else "lost"
            self.finish(run, kind, now, run.reason or "the worker does not list it")
        return unknown

    @staticmethod
    def must_be_listed(run, asked_at, worker_clock_ms):
        """Return whether a run missing from a list requested at `asked_at` has certainly ended.

        A run whose order to start was not answered may have started. Once the worker has
        acknowledged its stop, or refuses the order as late, the run has either ended or will never
        start.
        """
        if run.start_unconfirmed:
            if worker_clock_ms > run.start_until_ms > 0:
                return True
            return run.stop_acknowledged_at is not None and run.stop_acknowledged_at < asked_at
        return run.state in (RUNNING, STOPPING) and run.has_started and run.started_at < asked_at
