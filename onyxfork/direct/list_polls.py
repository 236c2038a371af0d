"""Long polls of an agent for its worker's lists of runs, some of which may stay unanswered.

A worker may leave calls unanswered and carry them out later. Until a poll times out, the ends of
runs are not known, so while calls are lost the timeout follows the measured answer times. An answer
with an end that another open poll should have been answered with, too, shows that the other poll is
overdue; it is given up, but it does not count as lost, because it may only have been overtaken.
"""

import asyncio
from contextlib import contextmanager

from attrs import define, field

from onyxfork.direct.answer_times import AnswerTimes
from onyxfork.direct.worker_client import LeaseReply

__all__ = ["ListPolls"]

LOSSY_PERIOD_S = 5.0
"""How long after an unanswered call a second poll is kept open."""

CALM_SLACK_S = 0.2
"""How long after the requested wait a poll times out while no call was lost recently. It leaves
room for a machine that is busy for a moment, whose late answers would otherwise count as lost."""

OVERTAKEN_GRACE_S = 0.01
"""How long a poll may stay open after another one was answered with an end that it waits for;
answers on different connections may overtake each other."""


@define(eq=False)
class Poll:
    """An open poll.

    Parameters
    ----------
    last_end : int
        Number of the latest ended run that was known when it was sent.
    overtaken : asyncio.Event
        Set when the poll is given up, because its answer is overdue.
    """

    last_end: int
    overtaken: asyncio.Event = field(factory=asyncio.Event)


class ListPolls:
    """Open polls of one worker.

    Parameters
    ----------
    client : WorkerClient
    clock : Clock
    telemetry : Telemetry

    Attributes
    ----------
    times : AnswerTimes
        How much later than requested the worker answers; sets the timeout while calls are lost.
    open_polls : set of Poll
    lost_at : float
        Monotonic seconds of the latest call that was not answered.
    """

    def __init__(self, client, clock, telemetry):
        self.client = client
        self.clock = clock
        self.telemetry = telemetry
        self.times = AnswerTimes()
        self.open_polls = set()
        self.lost_at = float("-inf")

    def is_lossy(self, now):
        """Return whether the worker has recently left a call unanswered."""
        return now - self.lost_at < LOSSY_PERIOD_S

    def on_call_lost(self, now):
        """Record a poll, or an order to start or stop, that was not answered in time."""
        self.lost_at = now
        self.telemetry.count("worker_calls_lost")

    async def request(self, worker, until_ms, token, last_end, wait_ms, fresh=False):
        """Request the lists; parameters are those of `WorkerClient.renew_lease`.

        Returns
        -------
        LeaseReply
            ``unanswered`` also if another poll has shown that the answer is overdue.
        """
        sent_at = self.clock.now()
        slack_s = self.times.timeout_s if self.is_lossy(sent_at) else CALM_SLACK_S
        timeout_s = wait_ms / 1000 + slack_s
        with self.open_poll(last_end) as poll:
            call = asyncio.ensure_future(
                self.client.renew_lease(
                    worker, until_ms, token, last_end, wait_ms, fresh, timeout_s
                )
            )
            reply = await first_result(call, poll.overtaken)
        now = self.clock.now()
        if reply.answer == "ok":
            self.on_answered(reply, now - sent_at - wait_ms / 1000)
        elif reply.is_lost and not reply.timed_out:
            reply.timed_out = now - sent_at >= timeout_s
            self.on_call_lost(now)
            self.times.record_timeout()
        return reply

    @contextmanager
    def open_poll(self, last_end):
        """Keep a `Poll` in `open_polls` while the context is open."""
        poll = Poll(last_end)
        self.open_polls.add(poll)
        try:
            yield poll
        finally:
            self.open_polls.discard(poll)

    def on_answered(self, reply, excess_s):
        """Record an answer, and give up the polls that should have been answered with it.

        Parameters
        ----------
        reply : LeaseReply
        excess_s : float
            Time of the answer beyond the requested wait; not above 0 if a run ended before.
        """
        if excess_s > 0:
            self.times.record(excess_s)
        if not reply.ended_runs:
            return
        loop = asyncio.get_running_loop()
        for poll in self.open_polls:
            if poll.last_end < reply.last_end:
                loop.call_later(OVERTAKEN_GRACE_S, poll.overtaken.set)


async def first_result(call, overtaken):
    """Return the result of a call, or a reply that has timed out if `overtaken` is set before.

    The call is cancelled when it is not needed any more.
    """
    waiter = asyncio.ensure_future(overtaken.wait())
    try:
        await asyncio.wait({call, waiter}, return_when=asyncio.FIRST_COMPLETED)
        return call.result() if call.done() else LeaseReply("unanswered", timed_out=True)
    finally:
        waiter.cancel()
        call.cancel()
