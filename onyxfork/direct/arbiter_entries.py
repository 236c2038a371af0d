"""Sessions of entries with an agent, and their orders, withdrawals and recalls.

Mixin of :class:`onyxfork.direct.arbiter.Arbiter`, which defines the attributes.
"""

import heapq
import logging
import math

from onyxfork.direct.messages import TaskEvent
from onyxfork.direct.precedence import start_key
from onyxfork.direct.run_log import describe_stopped_runs, log_refused_orders
from onyxfork.direct.runs import (
    QUEUED,
    READY,
    RUNNING,
    STALE_AFTER_S,
    STOPPING,
    TOO_LARGE,
    Run,
    Session,
)

__all__ = ["EntrySessions", "STOP_WITHOUT_CONTACT_S", "MAX_RUN_WITHOUT_CONTACT_S"]

log = logging.getLogger(__name__)

STOP_WITHOUT_CONTACT_S = 1.0
"""Age of the latest contact with an entry at which its runs are stopped, whether or not its
connection is known to be closed. A contact is dated by when this agent sent the clock value that
the entry last echoed."""

MAX_RUN_WITHOUT_CONTACT_S = 1.2
"""Age of the latest contact with an entry up to which the worker's lease covers its runs. With
`MAX_CLOCK_DRIFT_FACTOR` and `STOP_MARGIN_S` of :mod:`onyxfork.direct.lease` they have ended within
1.29 s, before a caller whose connection broke sends its job again."""

MAX_JOBS_LOGGED = 50
"""Upper bound on the jobs named in one log line; a worker usually has fewer runs of one entry."""


class EntrySessions:
    """Mixin that maintains the sessions of entries and the runs they order."""

    def connect(self, entry, incarnation, connection):
        """Return the session of an entry's process and attach a new connection to it.

        If the entry has restarted, drop the session of its former process.
        """
        session = self.sessions.get(entry)
        former = self.former_sessions.pop(entry, None)
        if session is None or session.incarnation != incarnation:
            if session is not None:
                self.drop_session(session, "the entry has restarted")
            is_same_process = former is not None and former.incarnation == incarnation
            session = former if is_same_process else Session(entry, incarnation)
            self.sessions[entry] = session
        session.connection = connection
        session.orders_received = 0
        session.latest_status = None
        return session

    def disconnect(self, session, connection, now):
        """Detach a closed connection from its session, unless a newer one has replaced it."""
        if session.connection is connection:
            session.connection = None
            session.disconnected_at = now

    def resume(self, session, refs, now):
        """Reconcile the runs of a session with the runs that its entry expects after a reconnect.

        Runs that the entry does not expect are stopped. Runs that it expects but that are not at
        this agent are answered with the event that ended them.
        """
        wanted = {ref.key: ref for ref in refs}
        for run in list(self.runs.values()):
            if run.session is not session:
                continue
            ref = wanted.pop(run.key, None)
            if ref is None or ref.run != run.order.run:
                self.withdraw_run(run, "not expected by its entry", now)
            elif run.state == RUNNING:
                session.events.append(run.make_event("started", now))
        self.send_final_events(session, wanted.values())
        self.changed = True

    def send_final_events(self, session, refs):
        """Send the events that ended runs that are not here, as far as this agent knows."""
        unknown = []
        for ref in refs:
            event = session.ended_events.get(ref)
            if event is None and ref in self.unclaimed_ends:
                event = TaskEvent(ref.job, ref.step, ref.index, ref.run, self.unclaimed_ends[ref])
            if event is None:
                unknown.append((ref, "never arrived", None))
                event = returned_event(ref, "never arrived")
            session.events.append(event)
        log_refused_orders(session, unknown)

    def drop_session(self, session, reason):
        """Remove the session of an entry's process and stop its runs."""
        self.sessions.pop(session.entry, None)
        self.stop_runs_of(session, reason, session.disconnected_at)

    def stop_runs_of(self, session, reason, now):
        """Stop the runs of a session that are not being stopped yet."""
        runs = [
            run
            for run in self.runs.values()
            if run.session is session and run.state != STOPPING and not run.reason
        ]
        if runs:
            jobs = sorted({run.order.job for run in runs})[:MAX_JOBS_LOGGED]
            fields = {
                "entry": session.entry,
                "entry_process": session.incarnation,
                "runs": len(runs),
                "jobs": jobs,
                "stopped": describe_stopped_runs(runs),
                "reason": reason,
            }
            log.warning("runs of an entry stopped", extra=fields)
        for run in runs:
            self.stop(run, reason, now)

    # Contact

    def contact_at(self, session):
        """Return when the entry of a session was last known to be in contact with this agent.

        Returns
        -------
        float
            Monotonic seconds; infinity if its orders did not come over a connection.
        """
        clock = session.latest_agent_clock
        return math.inf if clock is None else self.include_suspensions(clock)

    def include_suspensions(self, clock):
        """Return a value of the monotonic clock, moved back by the suspensions since.

        The monotonic clock does not count suspensions of the machine.
        """
        return clock - sum(seconds for at, seconds in self.suspensions if clock < at)

    def sessions_with_started_runs(self):
        """Return the sessions of runs that the worker may have and has not agreed to stop."""
        return {run.session for run in self.runs.values() if not run.is_settled}

    def earliest_contact(self):
        """Return the earliest `contact_at` of the sessions that have started runs."""
        return min(map(self.contact_at, self.sessions_with_started_runs()), default=math.inf)

    def lease_limit(self, now):
        """Return until when a renewal may extend the worker's lease, in monotonic seconds.

        Sessions whose runs may start before the next renewal count like those with started runs,
        because a lease can't be shortened. A run that its entry has withdrawn is covered no longer
        than if the entry had been silent since: its task may run elsewhere as soon.
        """
        sessions = self.sessions_with_started_runs()
        sessions.update(
            session for session in self.sessions.values() if not self.is_session_stale(session, now)
        )
        contacts = [self.contact_at(session) for session in sessions]
        contacts += [
            self.include_suspensions(run.withdrawn_contact)
            for run in self.runs.values()
            if run.withdrawn_contact is not None and not run.is_settled
        ]
        contacts += [self.include_suspensions(at) for at in self.unknown_runs.values()]
        return min(contacts, default=math.inf) + MAX_RUN_WITHOUT_CONTACT_S

    def outlasts_contact(self, session):
        """Return whether the worker's lease may already last too long for runs of a session."""
        return self.lease_ends_at > self.contact_at(session) + MAX_RUN_WITHOUT_CONTACT_S

    def stop_runs_without_contact(self, now):
        """Stop the runs of entries that may have ended or lost this agent.

        The agent may notice late that an entry is silent, because it got no processor time itself
        or because the network delays what the entry sent before.
        """
        for session in {run.session for run in self.runs.values()}:
            if now >= self.contact_at(session) + STOP_WITHOUT_CONTACT_S:
                self.stop_runs_of(session, "no contact with the entry", now)

    def place(self, session, orders, now, agent_clock=None):
        """Enqueue the orders of an entry, and return those that are stale or refused.

        Parameters
        ----------
        session : Session
        orders : list of TaskOrder
        now : float
        agent_clock : float, optional
            The latest value of this agent's clock that the entry had received when it sent the
            orders; None if the orders did not come over a connection.
        """
        session.orders_received += len(orders)
        self.changed = True
        stale = agent_clock is not None and self.is_clock_stale(agent_clock, now)
        if stale:
            fields = {
                "entry": session.entry,
                "orders": len(orders),
                "age_s": round(now - agent_clock, 2),
            }
            log.warning("stale orders returned", extra=fields)
        elif agent_clock is not None:
            session.update_agent_clock(agent_clock)
        refusals = []
        for order in orders:
            refusal = "stale" if stale else self.find_refusal(session, order)
            if refusal == "":
                continue
            if refusal is not None:
                refusals.append((order.ref, refusal, self.runs.get(order.ref.key)))
                session.events.append(returned_event(order.ref, refusal))
                continue
            run = Run(order, session, now, now + order.slack_ms / 1000)
            self.runs[run.key] = run
            self.count_queued(run, 1)
            key = start_key(run.latest_start, order.priority)
            heapq.heappush(self.queue, (key, next(self.sequence), run))
        log_refused_orders(session, refusals)

    def record_suspension(self, now, seconds):
        """Treat all clock values sent before `now` as stale after a suspension of the machine."""
        self.suspension_detected_at = now
        self.suspensions.append((now, seconds))

    def is_clock_stale(self, agent_clock, now):
        """Return whether an entry may have declared this agent lost since it got `agent_clock`."""
        return agent_clock < self.suspension_detected_at or now - agent_clock > STALE_AFTER_S

    def is_session_stale(self, session, now):
        """Return whether an entry may have placed the queued runs of its session elsewhere."""
        if session.latest_agent_clock is None:
            return False
        return session.connection is None or self.is_clock_stale(session.latest_agent_clock, now)

    def find_refusal(self, session, order):
        """Return why an order is refused; empty for a duplicate, None if it is accepted.

        ``copy``: another session has ordered a run of the task that is still here; ``busy``: so has
        this session. `TOO_LARGE`: the worker has too little capacity in all. Any other reason is
        the state of this agent, which is not ready.
        """
        known = self.runs.get(order.ref.key)
        if known is not None and known.session is session and known.order.run == order.run:
            return ""
        if known is not None:
            return "copy" if known.session is not session else "busy"
        if self.state != READY:
            return self.state
        return None if self.is_large_enough(order) else TOO_LARGE

    def withdraw(self, session, refs, now):
        """Stop runs that their entry has withdrawn; send the final event of those not here."""
        unknown = []
        for ref in refs:
            run = self.runs.get(ref.key)
            if run is not None and run.session is session and run.order.run == ref.run:
                self.withdraw_run(run, "withdrawn", now)
            else:
                unknown.append(ref)
        self.send_final_events(session, unknown)

    def withdraw_run(self, run, reason, now):
        """Stop a run that its entry does not wait for any more.

        The entry has withdrawn it after its latest echo, and the withdrawal may have been delayed
        since. A run that was being stopped for another reason is bounded, too.
        """
        if run.withdrawn_contact is None:
            clock = run.session.latest_agent_clock
            run.withdrawn_contact = now if clock is None else min(clock, now)
        self.stop(run, reason, now)

    def recall(self, session, refs, now):
        """Return runs that are still queued, because another worker has free capacity."""
        for ref in refs:
            run = self.runs.get(ref.key)
            is_known = run is not None and run.session is session and run.order.run == ref.run
            if is_known and run.state == QUEUED:
                self.finish(run, "returned", now, "recalled")


def returned_event(ref, reason):
    """Return the event for a run that was never started."""
    return TaskEvent(ref.job, ref.step, ref.index, ref.run, "returned", reason)
