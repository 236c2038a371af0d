"""What an agent makes of its worker's lists: runs that have ended, runs that go on.

Part of :class:`onyxfork.direct.arbiter.Arbiter`; state is kept there.
"""

from onyxfork.direct.runs import QUEUED, RUNNING, STOPPING

__all__ = ["WorkerLists"]


class WorkerLists:
    """Ends and progress that the worker lists."""

    def take_ends(self, ends, now):
        """Take runs that the worker lists as ended.

        Parameters
        ----------
        ends : list of (TaskRef, str)
            With ``done``, ``failed``, ``stopped`` or ``lost``.
        now : float
        """
        for ref, how in ends:
            run = self.runs.get(ref.key)
            if run is None or run.order.run != ref.run or run.state == QUEUED:
                continue
            if how in ("done", "failed"):
                self.note_end(how == "failed")
            if how == "done" and run.began:
                self.note_pace((now - run.started_at) * 1000, run.order.expected_ms)
            self.finish(run, how, now, run.reason)

    def take_running(self, listed, asked_at, now):
        """Take the list of what runs, asked for at `asked_at`.

        Parameters
        ----------
        listed : dict
            Progress in percent by `TaskRef`.
        asked_at, now : float

        Returns
        -------
        list of TaskRef
            Runs that nobody here has ordered; the driver stops them.
        """
        unknown = []
        for ref, percent in listed.items():
            run = self.runs.get(ref.key)
            if run is None or run.order.run != ref.run:
                unknown.append(ref)
                continue
            run.looked_at = asked_at
            if percent > run.percent:
                run.percent, run.moved_at = percent, asked_at
        for run in list(self.runs.values()):
            if run.order.ref in listed or not self.must_be_listed(run, asked_at):
                continue
            kind = "stopped" if run.doubtful else "lost"
            self.finish(run, kind, now, run.reason or "the worker does not list it")
        return unknown

    @staticmethod
    def must_be_listed(run, asked_at):
        """Return whether a list asked for at `asked_at` holds a run unless it has ended.

        A run whose order was left unanswered may have begun; once its stop is answered it has
        either ended or never begins.
        """
        if run.doubtful:
            return run.stop_answered_at is not None and run.stop_answered_at < asked_at
        return run.state in (RUNNING, STOPPING) and run.began and run.started_at < asked_at
