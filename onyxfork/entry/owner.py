"""Ownership of one cell: the decision core joined to connections and waiting callers."""

import asyncio
import logging
from random import Random

from onyxfork.control.commands import Claim, NoteReach, ReleaseClaim, SettleClaim
from onyxfork.entities.dispatch import Dispatch
from onyxfork.entities.outcomes import Code, State
from onyxfork.entities.submissions import Answered
from onyxfork.entry.answers import claim_refusal, moved, refused
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
from onyxfork.systems.queueing import unpark
from onyxfork.systems.results import apply_result
from onyxfork.systems.tick import next_wake, tick

__all__ = ["CellOwner"]

log = logging.getLogger(__name__)

READY_WITHIN_S = 1.5
TAKEOVER_S = 420.0
REPORT_AFTER_S = 0.5
MAX_REACH_WORDS = 10_000_000


class CellOwner:
    """The owner of one cell, for one epoch.

    Parameters
    ----------
    cell : Cell
    entry : Entry
        Gives settings, clock, control client, metrics and the means to start tasks.
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
            self.state.takeover.ends_at = self.clock.now() + TAKEOVER_S
        self.links = {}
        self.waiters = {}
        self.tick_due = False
        self.timer = None
        self.deposed = False
        self.reach_words = 0
        self.ready_at = self.clock.now() + READY_WITHIN_S

    @property
    def may_place(self):
        """Whether the lease surely holds."""
        return not self.deposed and self.entry.holds_lease()

    # Membership

    def refresh(self, changed):
        """Follow changes of the configuration: nodes of the cell, limits, jobs."""
        for node in list(self.state.catalogue.rows("node")):
            if node.role != "agent" or not self.is_mine(node):
                continue
            if node.state in ("serving", "leaving") and node.name not in self.links:
                self.add_link(node)
            elif node.state in ("left", "lost"):
                self.remove_node(node)
        for limit in refresh_limits(self.state):
            unpark(self.state, limit)
        self.wake()

    def is_mine(self, node):
        """Return whether a worker belongs to this cell."""
        return self.entry.cell_of_worker(node.name) == self.cell

    def add_link(self, node):
        """Start to lead a worker."""
        link = AgentLink(node.name, self)
        self.links[node.name] = link
        if self.state.takeover.at_wall_ms is not None:
            add_unreported_worker(self.state, node)
        link.task = self.entry.spawn(link.run())

    def remove_node(self, node):
        """Give up a worker that left or was lost."""
        link = self.links.get(node.name)
        if link is None:
            self.note_vanished(node)
            return
        if link.is_connected:
            return
        self.drop_worker(node.name, f"it {node.state}")

    def note_vanished(self, node):
        """Note a worker that was lost about when this process became owner."""
        takeover = self.state.takeover
        if takeover.at_wall_ms is not None and node.state == "lost":
            takeover.lost_workers[node.name] = node.unreachable_ms or float("inf")

    def drop_worker(self, name, reason):
        """Give up a worker with everything outstanding on it."""
        link = self.links.pop(name, None)
        if link is not None:
            link.stop()
        mark_unreported_worker_lost(self.state, name)
        worker = self.state.workers.get(name)
        if worker is not None:
            log.warning("worker given up", extra={"worker": name, "reason": reason})
            remove_lost_worker(self.state, worker, reason, self.clock.now())
        self.wake()

    def on_led(self, link, node, led):
        """Take in a worker that accepted this owner, or stop owning when one refused."""
        if not led.accepted:
            log.warning("deposed", extra={"cell": self.cell, "known_epoch": led.epoch})
            self.deposed = True
            return
        register_worker(self.state, node, led, self.clock.now())
        self.wake()

    def on_unreachable(self, name):
        """Note that the connection to a worker is gone."""
        worker = self.state.workers.get(name)
        if worker is not None:
            mark_worker_unreachable(self.state, worker, self.clock.now())
            self.wake()
            if not self.deposed:
                self.entry.spawn(self.report_unreachable(name, unreachable_since_ms(worker)))

    async def report_unreachable(self, name, word_ms):
        """Let control know that nothing is sent to a worker, once that lasts.

        If this owner dies next, its successor need not doubt what was submitted later.
        """
        await asyncio.sleep(REPORT_AFTER_S)
        link = self.links.get(name)
        if self.deposed or link is None or link.connection is not None:
            return
        link.reported = True
        await self.note_reach(name, word_ms)

    async def note_reach(self, name, unreachable_ms):
        """Record whether this owner sends to a worker; return whether it is recorded."""
        node = self.state.catalogue.find("node", name)
        if node is None:
            return False
        self.reach_words += 1
        command = NoteReach(
            wall_ms=self.clock.wall_ms(),
            cell=self.cell,
            epoch=self.state.epoch,
            node=name,
            incarnation=node.incarnation,
            unreachable_ms=unreachable_ms,
            order=self.state.epoch * MAX_REACH_WORDS + self.reach_words,
        )
        result = await self.control.propose(command)
        return result is not None and result.accepted

    def on_leaving(self, name):
        """Note that a worker takes no new work."""
        worker = self.state.workers.get(name)
        if worker is not None:
            mark_worker_leaving(self.state, worker)
            self.wake()

    def on_results(self, name, message):
        """Take in ended tasks."""
        worker = self.state.workers.get(name)
        if worker is None:
            return
        now = self.clock.now()
        for result in message.results:
            apply_result(self.state, worker, result, now)
        self.wake()

    # Submissions

    async def submit(self, request, wait):
        """Have a submission answered.

        Parameters
        ----------
        request : Request
        wait : bool
            When false, return as soon as it is accepted.

        Returns
        -------
        Answered
        """
        if not self.may_place:
            return moved(request.submission, State.NOT_RUN)
        if not self.state.workers and self.clock.now() < self.ready_at:
            return moved(request.submission, State.NOT_RUN)
        taken = accept_request(self.state, request, self.clock.now())
        if taken.is_err():
            return refused(request.submission, taken.err_value)
        intake = taken.ok_value
        if intake.needs_claim:
            answered = await self.claim(intake.submission)
            if answered is not None:
                return answered
        if intake.is_new:
            enqueue_admitted(self.state, intake.submission, self.clock.now())
        self.wake()
        return await self.answer_of(intake.submission, wait)

    async def answer_of(self, submission, wait):
        """Return the final answer of a known submission, or word that it runs."""
        if submission.answer is not None:
            return submission.answer
        if not wait:
            return Answered(submission.name, State.RUNNING, Code.RUNNING)
        future = asyncio.get_running_loop().create_future()
        self.waiters.setdefault(submission.name, []).append(future)
        return await future

    async def claim(self, submission):
        """Claim a submission on a quorum; return an answer when it may not run here."""
        name = submission.name
        command = Claim(
            self.clock.wall_ms(),
            name,
            submission.request.digest,
            self.entry.settings.node,
            self.state.epoch,
        )
        left_s = max(0.1, submission.request.deadline - self.clock.now())
        result = await self.control.propose(command, min(left_s, 5.0))
        if result is not None and result.accepted:
            return None
        answered = claim_refusal(submission, result)
        self.forget(submission, answered)
        return answered

    def forget(self, submission, answered):
        """Answer everyone who waits for a submission that was not let in, and drop it."""
        submission.state = State.NOT_RUN
        submission.waiting = []
        self.state.submissions.pop(submission.name, None)
        for future in self.waiters.pop(submission.name, []):
            if not future.done():
                future.set_result(answered)

    def find(self, name):
        """Return the answer to a submission or word that it runs; None when it is unknown."""
        submission = self.state.submissions.get(name)
        if submission is None:
            return None
        return submission.answer or Answered(name, State.RUNNING, Code.RUNNING)

    def cancel(self, name):
        """End a submission; return its answer, or None when it is unknown."""
        submission = cancel(self.state, name, self.clock.now())
        self.wake()
        return None if submission is None else submission.answer

    def update_shares(self, shares):
        """Use new shares of limits."""
        if shares == self.state.shares:
            return
        self.state.shares = dict(shares)
        for limit in refresh_limits(self.state):
            unpark(self.state, limit)
        self.wake()

    def report_rows(self, table, limit):
        """Return up to `limit` rows of a table for operators."""
        return REPORTS[table](self.state, self.clock.now(), limit) if table in REPORTS else []

    # Ticks

    def wake(self):
        """Run a tick in this turn of the event loop."""
        if not self.tick_due:
            self.tick_due = True
            asyncio.get_running_loop().call_soon(self.tick)

    def tick(self):
        """Run every system and send what they decided."""
        self.tick_due = False
        now = self.clock.now()
        outbox = tick(self.state, now, self.may_place)
        self.send(outbox)
        for submission in outbox.answered:
            self.deliver(submission)
        self.set_timer(now)

    def set_timer(self, now):
        """Plan the next tick that no message will cause."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        delay = next_wake(self.state, now) - now
        if delay != float("inf"):
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(max(0.001, delay), self.wake)

    def send(self, outbox):
        """Send one message of each kind to each worker concerned."""
        for name, starts in outbox.starts.items():
            self.send_start(name, starts)
        for name, ids in outbox.revokes.items():
            self.send_to(name, Revoke(ids))
        for name, ids in outbox.stops.items():
            self.send_to(name, Stop(ids))
        for name, ids in outbox.fetches.items():
            self.send_to(name, Fetch(ids))

    def send_start(self, name, starts):
        """Send tasks to a worker; when it is gone they are fetched on its return."""
        connection = self.connection_to(name)
        if connection is not None:
            connection.send(Start(self.cell, self.state.epoch, connection.peer_clock, starts))

    def send_to(self, name, message):
        """Send a message to a worker that is connected."""
        connection = self.connection_to(name)
        if connection is not None:
            connection.send(message)

    def connection_to(self, name):
        """Return the open connection to a worker, or None."""
        link = self.links.get(name)
        return link.connection if link is not None and link.is_connected else None

    def deliver(self, submission):
        """Give the final answer to everyone who waits for it."""
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
        for future in self.waiters.pop(submission.name, []):
            if not future.done():
                future.set_result(answered)
        self.entry.spawn(self.settle_claim(submission))

    async def settle_claim(self, submission):
        """Record the end of a claimed submission, or free it when nothing ran."""
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
        """Stop owning: waiting callers are told that the owner moved."""
        self.deposed = True
        if self.timer is not None:
            self.timer.cancel()
        for link in self.links.values():
            link.stop()
        waiters, self.waiters = self.waiters, {}
        for name, futures in waiters.items():
            for future in futures:
                if not future.done():
                    future.set_result(moved(name, State.RUNNING))

    def handle(self, link, message):
        """Dispatch one message of a worker."""
        if isinstance(message, Results):
            self.on_results(link.name, message)
        else:
            self.on_leaving(link.name)
