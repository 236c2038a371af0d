"""Requests to a control instance: proposals, reads and renewals, served here or by the leader.

Mixin of :class:`onyxfork.control.replica.Replica`, which holds the state.
"""

import asyncio

from onyxfork.control.feed import Propose, Proposed, ReadIndex, ReadIndexed, Renewed
from onyxfork.messages import pack

__all__ = ["Requests"]

REQUEST_TIMEOUT_S = 3.0
MAX_WAITING_PROPOSALS = 20_000


class Requests:
    """Answers requests as the leader or forwards them to it."""

    async def propose(self, command):
        """Propose a command, here or at the leader, and wait until it is applied.

        Parameters
        ----------
        command : attrs instance
            One of :data:`onyxfork.control.commands.COMMANDS`.

        Returns
        -------
        ChangeResult or None
            None when the outcome is unknown; the same command may be sent again.
        """
        if self.raft.is_leader:
            return await self.propose_here(pack([command]))
        return await self.forward(Propose(0, pack([command])), None)

    async def propose_here(self, data):
        """Propose an encoded command as the leader and wait until it is applied."""
        if len(self.waiting_proposals) >= MAX_WAITING_PROPOSALS:
            return None
        index = self.raft.propose(data, self.clock.now())
        if index is None:
            return None
        future = asyncio.get_running_loop().create_future()
        self.waiting_proposals[index] = (self.raft.term, future)
        self.wake_event.set()
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                return await future
        except TimeoutError:
            return None

    async def forward(self, message, default):
        """Send a request to the leader and return its answer.

        Return `default` when the leader is not connected or does not answer within
        `REQUEST_TIMEOUT_S`.
        """
        connection = self.connection_to(self.raft.leader)
        if connection is None:
            return default
        self.last_request_id += 1
        request_id = self.last_request_id
        message.request = request_id
        future = asyncio.get_running_loop().create_future()
        self.forwarded_requests[request_id] = (connection, future)
        connection.send(message)
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                await asyncio.wait([future])
        except TimeoutError:
            return default
        finally:
            self.forwarded_requests.pop(request_id, None)
        return default if future.cancelled() else future.result()

    def cancel_forwarded_requests(self, connection):
        """Cancel the requests that were forwarded over a connection that has closed."""
        for request_connection, future in self.forwarded_requests.values():
            if request_connection is connection and not future.done():
                future.cancel()

    def fail_waiting_proposals(self):
        """Complete all waiting proposals with an unknown outcome after losing leadership.

        The next leader decides whether they are committed; their senders send them again.
        """
        proposals, self.waiting_proposals = self.waiting_proposals, {}
        for _, future in proposals.values():
            if not future.done():
                future.set_result(None)

    async def read_index(self):
        """As the leader, return the index that must be applied before a linearizable read.

        Returns
        -------
        int or None
            None when leadership was not confirmed in time.
        """
        self.last_request_id += 1
        token = self.last_request_id
        future = asyncio.get_running_loop().create_future()
        self.pending_reads[token] = future
        index = self.raft.commit
        self.raft.read(token, self.clock.now())
        self.wake_event.set()
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                return index if await future else None
        except TimeoutError:
            return None
        finally:
            self.pending_reads.pop(token, None)

    async def confirm_read(self):
        """Wait until a read of the local state is linearizable.

        Returns
        -------
        bool
            False when no leader confirmed the read in time, or the local state did not reach the
            confirmed index in time.
        """
        if self.raft.is_leader:
            index = await self.read_index()
        else:
            index = await self.forward(ReadIndex(0), None)
        deadline = self.clock.now() + REQUEST_TIMEOUT_S
        while index is not None and self.state.applied < index:
            if self.clock.now() > deadline:
                return False
            await asyncio.sleep(0.005)
        return index is not None

    async def answer_read(self, connection, message):
        """Answer another instance that asks which index its read has to wait for."""
        index = await self.read_index() if self.raft.is_leader else None
        connection.send(ReadIndexed(message.request, index))

    def resolve_forwarded(self, message):
        """Complete a forwarded request with the leader's answer."""
        _, future = self.forwarded_requests.get(message.request, (None, None))
        if future is not None and not future.done():
            is_renewal = isinstance(message, Renewed)
            answer = getattr(message, "result", getattr(message, "index", None))
            future.set_result(message if is_renewal else answer)

    async def answer_proposal(self, connection, message):
        """Propose a command for a node or another instance, and send the result.

        A request from another control instance is not forwarded again.
        """
        if self.raft.is_leader:
            result = await self.propose_here(message.command)
        elif connection.peer.role == "control":
            result = None
        else:
            result = await self.forward(Propose(0, message.command), None)
        connection.send(Proposed(message.request, result))

    async def answer_renewal(self, connection, message):
        """As the leader, renew an entry's lease; otherwise forward the request to the leader.

        A leader without contact with a quorum grants no lease. A request from another control
        instance is not forwarded again.
        """
        request = message.request
        refusal = Renewed(request, False, 0.0, {}, "no leader is reachable")
        if self.raft.is_leader and self.has_quorum_contact:
            reply = self.leases.renew(message, self.state, self.clock.now())
            self.wake_event.set()
        elif connection.peer.role == "control":
            reply = refusal
        else:
            reply = await self.forward(message, refusal)
            reply.request = request
        connection.send(reply)
