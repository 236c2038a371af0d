"""Ownership of one cell: runs the decision systems and connects them to agents and callers."""

import asyncio
import logging
from random import Random

from onyxfork.control.commands import Claim, NoteReach, ReleaseClaim, SettleClaim
from onyxfork.entities.dispatch import Dispatch
from onyxfork.entities.outcomes import Code, State
from onyxfork.entities.submissions import Answered
from onyxfork.entry.answers import claim_refusal_answer, moved_answer, refusal_answer
from onyxfork.entry.links import AgentLink
from onyxfork.entry.reports import REPORTS
from onyxfork.messages import Fetch, Results, Revoke, Start, Stop
from onyxfork.systems.intake import accept_request, enqueue_admitted
from onyxfork.systems.lifetimes import cancel
from onyxfork.systems.limits import refresh_limits
from onyxfork.systems.membership import (
    add_unreported_worker,
    mark_unreported_worker_lost,
    mark_worker_leaving,
    mark_worker_unreachable,
    register_worker,
    remove_lost_worker,
    unreachable_since_ms,
)
from onyxfork.systems.policies import policy_named
from onyxfork.systems.queueing import unblock_lanes
from onyxfork.systems.results import apply_result
from onyxfork.systems.tick import next_wake, tick

__all__ = ["CellOwner"]

log = logging.getLogger(__name__)

FIRST_WORKER_GRACE_S = 1.5
"""For this long a new owner without any worker answers ``moved``, so that entries ask again."""

TAKEOVER_DURATION_S = 420.0
"""Covers the 300 s for which an identifier is accepted and the longest deadline, 120 s."""

UNREACHABLE_REPORT_DELAY_S = 0.5
"""Shorter interruptions of a connection are not reported to control."""

MAX_REACH_REPORTS_PER_EPOCH = 10_000_000
"""Upper bound on the reports of one owner. The order of a report is the epoch times this bound plus
the number of the report, so that every report of a higher epoch is ordered after those of lower
ones."""


class CellOwner:
    """The owner of one cell, for one epoch.

    Parameters
    ----------
    cell : Cell
    entry : Entry
        Provides settings, clock, control client, metrics and a function that spawns asyncio tasks.
    """

    def __init__(self, cell, entry):
        settings = entry.settings
        self.entry = entry
        self.clock = entry.clock
        self.control = entry.control
        self.metrics = entry.metrics
        self.cell = cell.name
        self.state = Dispatch(
            cell=cell.name,
            policy=policy_named(settings.policy),
            tuning=settings.tuning,
            rng=Random(settings.seed),
            epoch=cell.epoch,
            catalogue=entry.control.catalogue,
        )
        if cell.epoch > 1:
            self.state.takeover.at_wall_ms = self.clock.wall_ms()
            self.state.takeover.ends_at = self.clock.now() + TAKEOVER_DURATION_S
        self.links = {}
        self.answer_futures = {}
        self.tick_scheduled = False
        self.next_tick_timer = None
        self.deposed = False
        self.reach_reports = 0
        self.first_worker_grace_ends_at = self.clock.now() + FIRST_WORKER_GRACE_S

    @property
    def may_place(self):
        """Whether tasks may be placed: the lease is held and no agent has rejected this owner."""
        return not self.deposed and self.entry.holds_lease()

    # Membership

    def refresh(self, changed):
        """Apply a change of the configuration: connect to or drop workers, update limits."""
        for node in list(self.state.catalogue.rows("node")):
            if node.role != "agent" or not self.is_worker_of_cell(node):
                continue
            if node.state in ("serving", "leaving") and node.name not in self.links:
                self.add_link(node)
            elif node.state in ("left", "lost"):
                self.remove_node(node)
        for limit in refresh_limits(self.state):
            unblock_lanes(self.state, limit)
        self.wake()

    def is_worker_of_cell(self, node):
        """Return whether a worker belongs to this cell."""
        return self.entry.cell_of_worker(node.name) == self.cell

    def add_link(self, node):
        """Start the connection to the agent of a worker."""
        link = AgentLink(node.name, self)
        self.links[node.name] = link
        if self.state.takeover.at_wall_ms is not None:
            add_unreported_worker(self.state, node)
        link.task = self.entry.spawn(link.run())

    def remove_node(self, node):
        """Drop a worker whose row says ``left`` or ``lost``, unless it is connected."""
        link = self.links.get(node.name)
        if link is None:
            self.record_lost_worker(node)
            return
        if link.is_connected:
            return
        self.drop_worker(node.name, f"control has recorded it as {node.state}")

    def record_lost_worker(self, node):
        """Record, after a takeover, a worker that was lost before this owner connected to it."""
        takeover = self.state.takeover
        if takeover.at_wall_ms is not None and node.state == "lost":
            takeover.lost_workers[node.name] = node.unreachable_ms or float("inf")

    def drop_worker(self, name, reason):
        """Remove a worker; its outstanding tasks are treated as lost."""
        link = self.links.pop(name, None)
        if link is not None:
            link.stop()
        mark_unreported_worker_lost(self.state, name)
        worker = self.state.workers.get(name)
        if worker is not None:
            log.warning("worker dropped", extra={"worker": name, "reason": reason})
            remove_lost_worker(self.state, worker, reason, self.clock.now())
        self.wake()

    def on_led(self, link, node, led):
        """Register a worker whose agent accepted this owner; stop placing tasks if it did not.

        An agent rejects an owner when it knows a higher epoch, so this owner has been replaced.
        """
        if not led.accepted:
            log.warning("deposed", extra={"cell": self.cell, "known_epoch": led.epoch})
            self.deposed = True
            return
        register_worker(self.state, node, led, self.clock.now())
        self.wake()

    def on_unreachable(self, name):
        """Stop placing tasks on a worker whose connection ended, and report it to control."""
        worker = self.state.workers.get(name)
        if worker is not None:
            mark_worker_unreachable(self.state, worker, self.clock.now())
            self.wake()
            if not self.deposed:
                self.entry.spawn(self.report_unreachable(name, unreachable_since_ms(worker)))

    async def report_unreachable(self, name, unreachable_ms):
        """Report to control that nothing is sent to a worker, unless it is connected again soon.

        If this owner is lost next, its successor then knows that no submission issued after
        `unreachable_ms`, with the skew of callers' clocks added, was sent to that worker.
        """
        await asyncio.sleep(UNREACHABLE_REPORT_DELAY_S)
        link = self.links.get(name)
        if self.deposed or link is None or link.connection is not None:
            return
        link.reported_unreachable = True
        await self.record_reach(name, unreachable_ms)

    async def record_reach(self, name, unreachable_ms):
        """Record in the configuration whether this owner sends tasks to a worker.

        Parameters
        ----------
        name : str
        unreachable_ms : int
            Nothing issued later, with the skew of callers' clocks added, was sent to the worker;
            0 when tasks may be sent to it again.

        Returns
        -------
        bool
            Whether control has accepted the record.
        """
        node = self.state.catalogue.find("node", name)
        if node is None:
            return False
        self.reach_reports += 1
        command = NoteReach(
            wall_ms=self.clock.wall_ms(),
            cell=self.cell,
            epoch=self.state.epoch,
            node=name,
            incarnation=node.incarnation,
            unreachable_ms=unreachable_ms,
            order=self.state.epoch * MAX_REACH_REPORTS_PER_EPOCH + self.reach_reports,
        )
        result = await self.control.propose(command)
        return result is not None and result.accepted

    def on_leaving(self, name):
        """Stop placing tasks on a worker that is leaving."""
        worker = self.state.workers.get(name)
        if worker is not None:
            mark_worker_leaving(self.state, worker)
            self.wake()

    def on_results(self, name, message):
        """Apply the results of ended tasks."""
        worker = self.state.workers.get(name)
        if worker is None:
            return
        now = self.clock.now()
        for result in message.results:
            apply_result(self.state, worker, result, now)
        self.wake()

    # Submissions

    async def submit(self, request, wait):
        """Accept a submission, enqueue it and return its answer.

        Parameters
        ----------
        request : Request
        wait : bool
            When false, return as soon as the submission is accepted.

        Returns
        -------
        Answered
        """
        if not self.may_place:
            return moved_answer(request.submission, State.NOT_RUN)
        if not self.state.workers and self.clock.now() < self.first_worker_grace_ends_at:
            return moved_answer(request.submission, State.NOT_RUN)
        accepted = accept_request(self.state, request, self.clock.now())
        if accepted.is_err():
            return refusal_answer(request.submission, accepted.err_value)
        intake = accepted.ok_value
        if intake.needs_claim:
            answered = await self.claim(intake.submission)
            if answered is not None:
                return answered
        if intake.is_new:
            enqueue_admitted(self.state, intake.submission, self.clock.now())
        self.wake()
        return await self.wait_for_answer(intake.submission, wait)

    async def wait_for_answer(self, submission, wait):
        """Return the final answer to a known submission; without `wait`, possibly ``running``."""
        if submission.answer is not None:
            return submission.answer
        if not wait:
            return Answered(submission.name, State.RUNNING, Code.RUNNING)
        future = asyncio.get_running_loop().create_future()
        self.answer_futures.setdefault(submission.name, []).append(future)
        return await future

    async def claim(self, submission):
        """Claim a submission on a quorum of control; return its answer if that is refused."""
        name = submission.name
        command = Claim(
            self.clock.wall_ms(),
            name,
            submission.request.digest,
            self.entry.settings.node,
            self.state.epoch,
        )
        remaining_s = max(0.1, submission.request.deadline - self.clock.now())
        result = await self.control.propose(command, min(remaining_s, 5.0))
        if result is not None and result.accepted:
            return None
        answered = claim_refusal_answer(submission, result)
        self.discard_submission(submission, answered)
        return answered

    def discard_submission(self, submission, answered):
        """Remove a submission whose claim was not granted and answer all waiting callers."""
        submission.state = State.NOT_RUN
        submission.waiting = []
        self.state.submissions.pop(submission.name, None)
        for future in self.answer_futures.pop(submission.name, []):
            if not future.done():
                future.set_result(answered)

    def find(self, name):
        """Return the answer to a submission, ``running`` without one, None when it is unknown."""
        submission = self.state.submissions.get(name)
        if submission is None:
            return None
        return submission.answer or Answered(name, State.RUNNING, Code.RUNNING)

    def cancel(self, name):
        """Cancel a submission; return its answer, or None when it is unknown."""
        submission = cancel(self.state, name, self.clock.now())
        self.wake()
        return None if submission is None else submission.answer

    def update_shares(self, shares):
        """Apply new shares of limits and unblock the lanes of limits that were raised."""
        if shares == self.state.shares:
            return
        self.state.shares = dict(shares)
        for limit in refresh_limits(self.state):
            unblock_lanes(self.state, limit)
        self.wake()

    def report_rows(self, table, limit):
        """Return up to `limit` rows of an operators' table."""
        return REPORTS[table](self.state, self.clock.now(), limit) if table in REPORTS else []

    # Ticks

    def wake(self):
        """Schedule a tick in the next iteration of the event loop, unless one is scheduled."""
        if not self.tick_scheduled:
            self.tick_scheduled = True
            asyncio.get_running_loop().call_soon(self.tick)

    def tick(self):
        """Run all systems, send their messages and deliver final answers."""
        self.tick_scheduled = False
        now = self.clock.now()
        outbox = tick(self.state, now, self.may_place)
        self.send(outbox)
        for submission in outbox.answered:
            self.deliver_answer(submission)
        self.schedule_next_tick(now)

    def schedule_next_tick(self, now):
        """Set the timer for the next tick that is due without a message."""
        if self.next_tick_timer is not None:
            self.next_tick_timer.cancel()
            self.next_tick_timer = None
        delay = next_wake(self.state, now) - now
        if delay != float("inf"):
            loop = asyncio.get_running_loop()
            self.next_tick_timer = loop.call_later(max(0.001, delay), self.wake)

    def send(self, outbox):
        """Send at most one message of each kind to each worker in the outbox."""
        for name, starts in outbox.starts.items():
            self.send_start(name, starts)
        for name, ids in outbox.revokes.items():
            self.send_to(name, Revoke(ids))
        for name, ids in outbox.stops.items():
            self.send_to(name, Stop(ids))
        for name, ids in outbox.fetches.items():
            self.send_to(name, Fetch(ids))

    def send_start(self, name, starts):
        """Send tasks to a worker; without a connection they are fetched when it reconnects."""
        connection = self.connection_to(name)
        if connection is not None:
            connection.send(Start(self.cell, self.state.epoch, connection.peer_clock, starts))

    def send_to(self, name, message):
        """Send a message to a worker, or drop it when the worker is not connected."""
        connection = self.connection_to(name)
        if connection is not None:
            connection.send(message)

    def connection_to(self, name):
        """Return the open connection to a worker, or None."""
        link = self.links.get(name)
        return link.connection if link is not None and link.is_connected else None

    def deliver_answer(self, submission):
        """Record metrics of a final answer, log it and deliver it to all callers that wait."""
        answered = submission.answer
        request = submission.request
        labels = {"organisation": request.organisation, "class": request.job}
        self.metrics.response_ms.record(answered.response_ms, labels)
        self.metrics.answers.add(1, {**labels, "state": answered.state, "code": answered.code})
        log.info(
            "submission answered",
            extra={
                "submission": submission.name,
                "job": request.job,
                "organisation": request.organisation,
                "state": answered.state.value,
                "code": answered.code.value,
                "reason": answered.reason,
                "response_ms": round(answered.response_ms, 1),
            },
        )
        for future in self.answer_futures.pop(submission.name, []):
            if not future.done():
                future.set_result(answered)
        self.entry.spawn(self.settle_claim(submission))

    async def settle_claim(self, submission):
        """Record the outcome in the claim of a non-idempotent submission, or release the claim.

        It is released when no task has run.
        """
        request = submission.request
        job = self.state.catalogue.find("job", request.organisation, request.service, request.job)
        if job is None or job.idempotent:
            return
        answered, wall_ms = submission.answer, self.clock.wall_ms()
        if answered.state is State.NOT_RUN:
            await self.control.propose(ReleaseClaim(wall_ms, submission.name, self.state.epoch))
        else:
            command = SettleClaim(wall_ms, submission.name, answered.state, answered.code)
            await self.control.propose(command)

    def close(self):
        """Stop owning the cell; answer ``moved`` to waiting entries, which ask the next owner."""
        self.deposed = True
        if self.next_tick_timer is not None:
            self.next_tick_timer.cancel()
        for link in self.links.values():
            link.stop()
        pending, self.answer_futures = self.answer_futures, {}
        for name, futures in pending.items():
            for future in futures:
                if not future.done():
                    future.set_result(moved_answer(name, State.RUNNING))

    def on_agent_message(self, link, message):
        """Handle one message of a worker: `Results` or `Leaving`."""
        if isinstance(message, Results):
            self.on_results(link.name, message)
        else:
            self.on_leaving(link.name)
