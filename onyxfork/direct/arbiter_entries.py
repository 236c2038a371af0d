"""What an agent does for entries: sessions, orders, withdrawals, recalls.

Part of :class:`onyxfork.direct.arbiter.Arbiter`; state is kept there.
"""

import heapq
import logging

from onyxfork.direct.messages import TaskEvent
from onyxfork.direct.runs import QUEUED, READY, RUNNING, STALE_AFTER_S, Run, Session

__all__ = ["Entries"]

log = logging.getLogger(__name__)

MOST_JOBS_LOGGED = 50
"""In one line; a worker holds fewer runs of one entry than this."""


class Entries:
    """Who orders runs here, and which."""

    def connect(self, entry, incarnation, connection):
        """Return the session of an entry's process on its new connection."""
        session = self.sessions.get(entry)
        if session is None or session.incarnation != incarnation:
            if session is not None:
                self.drop_session(session, "the entry has restarted")
            session = self.sessions[entry] = Session(entry, incarnation)
        session.connection = connection
        session.orders_received = 0
        return session

    def disconnect(self, session, connection, now):
        """Note that a connection has ended."""
        if session.connection is connection:
            session.connection = None
            session.gone_at = now

    def resume(self, session, refs, now):
        """Compare the runs that an entry believes in with those that are here."""
        wanted = {ref.key: ref for ref in refs}
        for run in list(self.runs.values()):
            if run.session is not session:
                continue
            ref = wanted.pop(run.key, None)
            if ref is None or ref.run != run.order.run:
                self.stop(run, "not wanted any more", now)
            elif run.state == RUNNING:
                session.events.append(run.event("started", now))
        for ref in wanted.values():
            session.events.append(session.ended.get(ref) or returned(ref, "never arrived"))
        self.changed = True

    def drop_session(self, session, reason):
        """Stop everything that an entry's process has ordered."""
        self.sessions.pop(session.entry, None)
        mine = [run for run in self.runs.values() if run.session is session]
        if mine:
            jobs = sorted({run.order.job for run in mine})[:MOST_JOBS_LOGGED]
            fields = {"entry": session.entry, "runs": len(mine), "jobs": jobs, "reason": reason}
            log.warning("runs of an entry stopped", extra=fields)
        for run in mine:
            self.stop(run, reason, session.gone_at)

    def place(self, session, orders, now, heard=None):
        """Take orders of an entry.

        Parameters
        ----------
        session : Session
        orders : list of TaskOrder
        now : float
        heard : float, optional
            The latest value of this agent's clock that the entry had heard when it sent them; None
            for orders that have not travelled.
        """
        session.orders_received += len(orders)
        self.changed = True
        stale = heard is not None and self.is_stale(heard, now)
        if stale:
            fields = {"entry": session.entry, "orders": len(orders), "age_s": round(now - heard, 2)}
            log.warning("stale orders handed back", extra=fields)
        elif heard is not None:
            session.note_heard(heard)
        for order in orders:
            refusal = "stale" if stale else self.find_refusal(session, order)
            if refusal == "":
                continue
            if refusal is not None:
                session.events.append(returned(order.ref, refusal))
                continue
            run = Run(order, session, now, now + order.slack_ms / 1000)
            self.runs[run.key] = run
            self.count_queued(run, 1)
            heapq.heappush(self.queue, (run.latest_start, next(self.sequence), run))

    def note_suspension(self, now):
        """Note that the machine has just been suspended: what was heard before says nothing."""
        self.awake_since = now

    def is_stale(self, heard, now):
        """Return whether an entry that last heard this value may have given this agent up."""
        return heard < self.awake_since or now - heard > STALE_AFTER_S

    def may_be_given_up(self, session, now):
        """Return whether an entry may run elsewhere what waits here."""
        if session.heard is None:
            return False
        return session.connection is None or self.is_stale(session.heard, now)

    def find_refusal(self, session, order):
        """Return why an order is handed back; empty when it is known already, None to take it."""
        known = self.runs.get(order.ref.key)
        if known is not None and known.session is session and known.order.run == order.run:
            return ""
        if known is not None:
            return "copy" if known.session is not session else "busy"
        return None if self.state == READY else self.state

    def withdraw(self, session, refs, now):
        """Stop runs that their entry does not want any more."""
        for ref in refs:
            run = self.runs.get(ref.key)
            if run is not None and run.session is session and run.order.run == ref.run:
                self.stop(run, "withdrawn", now)
            else:
                session.events.append(session.ended.get(ref) or returned(ref, "never arrived"))

    def recall(self, session, refs, now):
        """Hand back runs that still wait here; there is room for them elsewhere."""
        for ref in refs:
            run = self.runs.get(ref.key)
            mine = run is not None and run.session is session and run.order.run == ref.run
            if mine and run.state == QUEUED:
                self.finish(run, "returned", now, "recalled")


def returned(ref, reason):
    """Return the event of a run that never began."""
    return TaskEvent(ref.job, ref.step, ref.index, ref.run, "returned", reason)
