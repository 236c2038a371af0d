"""The front of an entry: forwards each request to the owner of its cell and returns the answer.

The front holds a request until it has a final answer. When the owner is lost, the front sends the
same submission to the next owner, to which the agents report which tasks had begun. The loss of an
owner therefore delays answers but does not drop them.
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

OWNER_RETRY_INTERVAL_S = 0.05
"""Pause before a request is sent again after its owner was unreachable, unknown or replaced."""


def choose_by_rendezvous_hash(key, names):
    """Return the name with the highest hash weight for a key (rendezvous hashing).

    Parameters
    ----------
    key : str
    names : iterable of str

    Returns
    -------
    str or None
        None when `names` is empty.

    Examples
    --------
    >>> choose_by_rendezvous_hash("a", ["x"])
    'x'
    """

    def weight(name):
        return blake2b(f"{key}/{name}".encode(), digest_size=8).digest()

    return max(names, key=weight, default=None)


class Front:
    """Forwards callers' requests to the owners of cells.

    Parameters
    ----------
    entry : Entry
    """

    def __init__(self, entry):
        self.entry = entry
        self.open_requests = 0

    def cell_for(self, submission):
        """Return the row of the cell that a submission belongs to, or None without any cell."""
        cells = self.entry.control.catalogue.tables["cell"]
        return cells.get(choose_by_rendezvous_hash(submission, sorted(cells)))

    async def submit(self, caller_request):
        """Return the final answer to a caller's request.

        Parameters
        ----------
        caller_request : CallerRequest

        Returns
        -------
        Answered
        """
        deadline = self.entry.clock.now() + self.deadline_ms(caller_request) / 1000
        self.open_requests += 1
        try:
            return await self.submit_until(caller_request, deadline)
        finally:
            self.open_requests -= 1

    def deadline_ms(self, caller_request):
        """Return the caller's deadline, by default the job's, in milliseconds from now."""
        if caller_request.deadline_ms is not None:
            return caller_request.deadline_ms
        catalogue = self.entry.control.catalogue
        job = catalogue.find(
            "job", caller_request.organisation, caller_request.service, caller_request.job
        )
        return job.deadline_ms if job is not None else 10_000

    async def submit_until(self, caller_request, deadline):
        """Send a request to the current owner, and to its successors, until it has a final answer.

        Return an answer for the timeout when the deadline passes first.
        """
        may_have_begun = False
        reason = "no entry owns the cell"
        while self.entry.clock.now() < deadline:
            try:
                answered = await self.submit_once(caller_request, deadline)
            except UnavailableError as error:
                may_have_begun = may_have_begun or getattr(error, "sent", False)
                reason = str(error)
            except TimeoutError:
                may_have_begun = True
                break
            else:
                if answered is not None and answered.code is not Code.MOVED:
                    return answered
                if answered is not None:
                    may_have_begun = may_have_begun or answered.state is State.RUNNING
                    reason = answered.reason
            await asyncio.sleep(OWNER_RETRY_INTERVAL_S)
        return timeout_answer(caller_request.submission, may_have_begun, reason)

    async def submit_once(self, caller_request, deadline):
        """Send a request to the current owner; return None when the cell has none."""
        cell = self.cell_for(caller_request.submission)
        if cell is None or not cell.owner:
            return None
        owner = self.entry.owners.get(cell.name)
        remaining_s = deadline - self.entry.clock.now()
        if owner is not None:
            return await owner.submit(to_request(caller_request, deadline), caller_request.wait)
        node = self.entry.control.catalogue.find("node", cell.owner)
        if cell.owner == self.entry.settings.node or node is None:
            return None
        async with asyncio.timeout(remaining_s + self.entry.timing.silent_s):
            answer = await self.entry.peers.ask(node, to_submit(caller_request, remaining_s * 1000))
        return from_answer(answer)

    async def look(self, name):
        """Return the answer to a submission, ``running`` without one, None when it is unknown."""
        return await self.ask_owner(name, Look(0, name), lambda owner: owner.find(name))

    async def cancel(self, name):
        """Cancel a submission and return its answer; None when it is unknown."""
        return await self.ask_owner(name, Cancel(0, name), lambda owner: owner.cancel(name))

    async def ask_owner(self, name, message, local_action):
        """Ask the owner of a submission, by a message or, when it is in this process, directly.

        Parameters
        ----------
        name : str
            Identifier of the submission.
        message : Look or Cancel
            Sent when another entry owns the cell.
        local_action : callable
            Takes the `CellOwner` and returns an answer or None, when this entry owns the cell.

        Returns
        -------
        Answered or None
            None when the owner does not know the submission.

        Raises
        ------
        UnavailableError
            When no entry owns the cell or the owner is unreachable.
        TimeoutError
        """
        cell = self.cell_for(name)
        owner = self.entry.owners.get(cell.name) if cell is not None else None
        if owner is not None:
            return local_action(owner)
        node = self.entry.control.catalogue.find("node", cell.owner) if cell else None
        if node is None:
            raise UnavailableError("no entry owns the cell")
        async with asyncio.timeout(self.entry.timing.silent_s):
            answered = from_answer(await self.entry.peers.ask(node, message))
        return None if answered.code is Code.UNKNOWN_JOB else answered


def to_request(caller_request, deadline):
    """Return the owner's request for a caller's request."""
    return Request(
        submission=caller_request.submission,
        organisation=caller_request.organisation,
        team=caller_request.team,
        service=caller_request.service,
        job=caller_request.job,
        digest=caller_request.digest,
        deadline=deadline,
        inputs=caller_request.inputs,
        run_ms=caller_request.run_ms,
        shape=Shape(**caller_request.resources),
    )


def to_submit(caller_request, remaining_ms):
    """Return the message that carries a caller's request to another entry."""
    return Submit(
        request=0,
        submission=caller_request.submission,
        organisation=caller_request.organisation,
        team=caller_request.team,
        service=caller_request.service,
        job=caller_request.job,
        digest=caller_request.digest,
        deadline_ms=remaining_ms,
        inputs=caller_request.inputs,
        run_ms=caller_request.run_ms,
        resources=caller_request.resources,
        wait=caller_request.wait,
    )


def request_from_submit(message, now):
    """Return the owner's request for a message from the entry that received it."""
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
    """Return the answer that a message carries."""
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


def timeout_answer(name, may_have_begun, reason):
    """Return the answer to a request that no owner answered before its deadline."""
    if may_have_begun:
        reason = f"the deadline passed without an answer of the owner: {reason}"
        return Answered(name, State.FAILED, Code.MAY_HAVE_RUN, reason)
    return Answered(name, State.NOT_RUN, Code.UNAVAILABLE, reason, 1000)
