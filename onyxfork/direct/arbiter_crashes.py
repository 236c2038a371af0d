"""Crashes of an agent's worker: when it fell silent, and which runs it held.

Mixin of :class:`onyxfork.direct.arbiter.Arbiter`, which defines the attributes.
"""

import logging

from onyxfork.direct.crashes import (
    SUSPECT_AGE_S,
    Silence,
    count_crash,
    describe_runs,
    find_exposed,
    find_suspects,
)
from onyxfork.direct.runs import QUEUED

__all__ = ["CrashRecorder"]

log = logging.getLogger(__name__)

MAX_SUSPECT_WAIT_S = 0.1
"""After this long, other starts pause until a suspect that fits has started; a busy worker starts
runs at shorter intervals than `SUSPECT_AGE_S`."""


class CrashRecorder:
    """Mixin that counts the worker's crashes for the tasks it ran, and separates suspects."""

    def on_lifetime_lost(self, reason, now, kept=()):
        """End a lifetime that the worker has not announced the end of: it has crashed.

        Parameters
        ----------
        reason : str
        now : float
        kept : collection of Run
            Runs that were not in the lifetime, or that its successor may have.
        """
        self.record_crash(reason, now, kept)
        self.end_lifetime(reason, now, kept)

    def on_renewal_missed(self, silent_from, now):
        """Record that a renewal was not answered, and since when the worker may be silent."""
        if self.silence is None:
            self.silence = Silence(silent_from, now)

    def on_renewal_answered(self, now):
        """Record that the worker answers."""
        self.last_answer_at = now
        self.silence = None
        self.set_responsive(True, now)

    def record_crash(self, reason, now, kept=()):
        """Count a crash of the worker for the tasks that it ran, and log these."""
        if self.departing is not None:
            return
        silence = self.silence or Silence(self.last_answer_at, now)
        exposed = find_exposed([run for run in self.runs.values() if run not in kept], silence)
        if not exposed:
            return
        suspects = find_suspects(exposed, silence)
        counts = count_crash(exposed, suspects)
        self.crash_counts += counts
        self.crash_table.update(counts, now)
        fields = {
            "worker": self.worker.id if self.worker else "",
            "reason": reason,
            "silent_for_ms": round((now - silence.start) * 1000),
            "runs": describe_runs(exposed, suspects, silence),
        }
        log.warning("runs lost with their worker", extra=fields)

    def must_start_apart(self, run, now):
        """Return whether a run has to wait, because suspects start apart from other jobs.

        If a suspect and another run started within `SUSPECT_AGE_S`, a crash could not be attributed
        to one of them.
        """
        if not self.follows_closely(run, now):
            return False
        if run.order.suspected:
            if self.waiting_suspect is None:
                self.waiting_suspect, self.suspect_waits_since = run, now
        elif not self.latest_start.suspected and not self.has_overdue_suspect(now):
            return False
        self.wake_at = self.latest_start_at + SUSPECT_AGE_S
        return True

    def follows_closely(self, run, now):
        """Return whether a run of another job was started less than `SUSPECT_AGE_S` ago."""
        latest = self.latest_start
        if latest is None or latest.job == run.order.job:
            return False
        return now < self.latest_start_at + SUSPECT_AGE_S

    def has_overdue_suspect(self, now):
        """Return whether other starts have to pause, so that a suspect can start."""
        if now - self.suspect_waits_since < MAX_SUSPECT_WAIT_S:
            return False
        return self.can_start_suspect(now)

    def can_start_suspect(self, now):
        """Return whether the suspect that waits is still queued here and fits."""
        run = self.waiting_suspect
        if run is None:
            return False
        if run.state != QUEUED or self.runs.get(run.key) is not run:
            self.waiting_suspect = None
            return False
        return not self.is_session_stale(run.session, now) and self.fits(run.order)

    def start_waiting_suspect(self, now):
        """Start the suspect that waits, if it fits and no other job's run has just started."""
        run = self.waiting_suspect
        if self.can_start_suspect(now) and not self.follows_closely(run, now):
            self.waiting_suspect = None
            self.request_start(run, now)
