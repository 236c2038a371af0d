"""The front of an entry: brings each request to the owner of its cell and the answer back.

The front holds a request until it has a final answer. When the owner is lost the same submission
goes to the next owner, which learns from the agents what had begun; so a lost owner costs time,
not answers.
"""

import asyncio
import logging
from hashlib import blake2b

from onyxfork.entities.outcomes import Code, State
from onyxfork.entities.submissions import Answered, Request
from onyxfork.entities.workers import Shape
from onyxfork.errors import UnavailableError
from onyxfork.messages import Answer, Cancel, Look, Submit

__all__ = ["Front", "choose_by_rendezvous_hash", "to_answer", "request_from_submit"]

log = logging.getLogger(__name__)

RETRY_S = 0.05


def choose_by_rendezvous_hash(key, names):
    """Return the name with the highest hash weight for a key.

    Parameters
    ----------
    key : str
    names : iterable of str

    Returns
    -------
    str or None

    Examples
    --------
    >>> choose_by_rendezvous_hash("a", ["x"])
    'x'
    """

    def weight(name):
        return blake2b(f"{key}/{name}".encode(), digest_size=8).digest()

    return max(names, key=weight, default=None)


class Front:
    """Routes requests.

    Parameters
    ----------
    entry : Entry
    """

    def __init__(self, entry):
        self.entry = entry
        self.open_requests = 0

    def cell_for(self, submission):
        """Return the cell row of a submission, or None while there is none."""
        cells = self.entry.control.catalogue.tables["cell"]
        return cells.get(choose_by_rendezvous_hash(submission, sorted(cells)))

    async def submit(self, given):
        """Return the final answer to a caller's request.

        Parameters
        ----------
        given : CallerRequest

        Returns
        -------
        Answered
        """
        deadline = self.entry.clock.now() + self.deadline_ms(given) / 1000
        self.open_requests += 1
        try:
            return await self.submit_until(given, deadline)
        finally:
            self.open_requests -= 1

    def deadline_ms(self, given):
        """Return the caller's deadline or the job's."""
        if given.deadline_ms is not None:
            return given.deadline_ms
        catalogue = self.entry.control.catalogue
        job = catalogue.find("job", given.organisation, given.service, given.job)
        return job.deadline_ms if job is not None else 10_000

    async def submit_until(self, given, deadline):
        """Ask one owner after the other until there is a final answer or the deadline passes."""
        maybe_begun = False
        reason = "no entry owns the cell"
        while self.entry.clock.now() < deadline:
            try:
                answered = await self.submit_once(given, deadline)
            except UnavailableError as error:
                maybe_begun = maybe_begun or getattr(error, "sent", False)
                reason = str(error)
            except TimeoutError:
                maybe_begun = True
                break
            else:
                if answered is not None and answered.code is not Code.MOVED:
                    return answered
                if answered is not None:
                    maybe_begun = maybe_begun or answered.state is State.RUNNING
                    reason = answered.reason
            await asyncio.sleep(RETRY_S)
        return unanswered(given.submission, maybe_begun, reason)

    async def submit_once(self, given, deadline):
        """Ask the present owner; return None when there is none."""
        cell = self.cell_for(given.submission)
        if cell is None or not cell.owner:
            return None
        owner = self.entry.owners.get(cell.name)
        left_s = deadline - self.entry.clock.now()
        if owner is not None:
            return await owner.submit(to_request(given, deadline), given.wait)
        node = self.entry.control.catalogue.find("node", cell.owner)
        if cell.owner == self.entry.settings.node or node is None:
            return None
        async with asyncio.timeout(left_s + self.entry.timing.silent_s):
            answer = await self.entry.peers.ask(node, to_submit(given, left_s * 1000))
        return from_answer(answer)

    async def look(self, name):
        """Return the answer to a submission or word that it runs; None when it is unknown."""
        return await self.about(name, Look(0, name), lambda owner: owner.find(name))

    async def cancel(self, name):
        """End a submission and return its answer; None when it is unknown."""
        return await self.about(name, Cancel(0, name), lambda owner: owner.cancel(name))

    async def about(self, name, message, locally):
        """Ask the owner of a submission about it."""
        cell = self.cell_for(name)
        owner = self.entry.owners.get(cell.name) if cell is not None else None
        if owner is not None:
            return locally(owner)
        node = self.entry.control.catalogue.find("node", cell.owner) if cell else None
        if node is None:
            raise UnavailableError("no entry owns the cell")
        async with asyncio.timeout(self.entry.timing.silent_s):
            answered = from_answer(await self.entry.peers.ask(node, message))
        return None if answered.code is Code.UNKNOWN_JOB else answered


def to_request(given, deadline):
    """Return the owner's view of a caller's request."""
    return Request(
        submission=given.submission,
        organisation=given.organisation,
        team=given.team,
        service=given.service,
        job=given.job,
        digest=given.digest,
        deadline=deadline,
        inputs=given.inputs,
        run_ms=given.run_ms,
        shape=Shape(**given.resources),
    )


def to_submit(given, left_ms):
    """Return the message that carries a caller's request to another entry."""
    return Submit(
        request=0,
        submission=given.submission,
        organisation=given.organisation,
        team=given.team,
        service=given.service,
        job=given.job,
        digest=given.digest,
        deadline_ms=left_ms,
        inputs=given.inputs,
        run_ms=given.run_ms,
        resources=given.resources,
        wait=given.wait,
    )


def request_from_submit(message, now):
    """Return the owner's view of a request that another entry received."""
    return Request(
        submission=message.submission,
        organisation=message.organisation,
        team=message.team,
        service=message.service,
        job=message.job,
        digest=message.digest,
        deadline=now + message.deadline_ms / 1000,
        inputs=message.inputs,
        run_ms=message.run_ms,
        shape=Shape(**message.resources),
    )


def to_answer(answered, request):
    """Return the message that carries an answer to the entry that asked."""
    return Answer(
        request=request,
        submission=answered.submission,
        state=answered.state.value,
        code=answered.code.value,
        reason=answered.reason,
        retry_after_ms=answered.retry_after_ms,
        outputs=answered.outputs,
        reasons=answered.reasons,
        response_ms=answered.response_ms,
    )


def from_answer(message):
    """Return the answer in a message."""
    return Answered(
        submission=message.submission,
        state=State(message.state),
        code=Code(message.code),
        reason=message.reason,
        retry_after_ms=message.retry_after_ms,
        outputs=message.outputs,
        reasons=message.reasons,
        response_ms=message.response_ms,
    )


def unanswered(name, maybe_begun, reason):
    """Return the answer when no owner gave one before the deadline."""
    if maybe_begun:
        reason = f"the deadline passed without an answer of the owner: {reason}"
        return Answered(name, State.FAILED, Code.MAY_HAVE_RUN, reason)
    return Answered(name, State.NOT_RUN, Code.UNAVAILABLE, reason, 1000)
