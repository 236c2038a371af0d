"""Requests to a control instance: proposals, reads and renewals, here or passed on to the leader.

Part of :class:`onyxfork.control.replica.Replica`; state is kept there.
"""

import asyncio

from onyxfork.control.feed import Propose, Proposed, ReadIndex, ReadIndexed, Renewed
from onyxfork.messages import pack

__all__ = ["Requests"]

PROPOSE_TIMEOUT_S = 3.0
MAX_WAITING_PROPOSALS = 20_000


class Requests:
    """How a request is answered by whichever instance it reaches."""

    async def propose(self, command):
        """Have a command agreed on and applied.

        Parameters
        ----------
        command : attrs instance
            One of `COMMANDS`.

        Returns
        -------
        ChangeResult or None
            None when it is not known whether it took effect; the same command may be sent again.
        """
        if self.raft.is_leader:
            return await self.propose_here(pack([command]))
        return await self.forward(Propose(0, pack([command])), None)

    async def propose_here(self, data):
        """Propose as the leader and wait until it is applied."""
        if len(self.waiting) >= MAX_WAITING_PROPOSALS:
            return None
        index = self.raft.propose(data, self.clock.now())
        if index is None:
            return None
        future = asyncio.get_running_loop().create_future()
        self.waiting[index] = (self.raft.term, future)
        self.wake.set()
        try:
            async with asyncio.timeout(PROPOSE_TIMEOUT_S):
                return await future
        except TimeoutError:
            return None

    async def forward(self, message, otherwise):
        """Send a request to the leader and return its answer, or `otherwise`."""
        connection = self.peers.get(self.raft.leader)
        if connection is None or not connection.is_open:
            return otherwise
        self.next_token += 1
        token = self.next_token
        message.request = token
        future = asyncio.get_running_loop().create_future()
        self.forwarded[token] = (connection, future)
        connection.send(message)
        try:
            async with asyncio.timeout(PROPOSE_TIMEOUT_S):
                await asyncio.wait([future])
        except TimeoutError:
            return otherwise
        finally:
            self.forwarded.pop(token, None)
        return otherwise if future.cancelled() else future.result()

    def fail_forwarded(self, connection):
        """Let requests go that were passed on over a connection that has ended."""
        for passed_on, future in self.forwarded.values():
            if passed_on is connection and not future.done():
                future.cancel()

    def fail_waiting(self):
        """Let proposals go whose fate another leader decides; their senders ask again."""
        waiting, self.waiting = self.waiting, {}
        for _, future in waiting.values():
            if not future.done():
                future.set_result(None)

    async def read_index(self):
        """Return the index that a linearizable read has to wait for, as the leader.

        Returns
        -------
        int or None
            None when leadership could not be confirmed.
        """
        self.next_token += 1
        token = self.next_token
        future = asyncio.get_running_loop().create_future()
        self.read_waiters[token] = future
        index = self.raft.commit
        self.raft.read(token, self.clock.now())
        self.wake.set()
        try:
            async with asyncio.timeout(PROPOSE_TIMEOUT_S):
                return index if await future else None
        except TimeoutError:
            return None
        finally:
            self.read_waiters.pop(token, None)

    async def confirm_read(self):
        """Wait until a read here is linearizable; return whether it is."""
        if self.raft.is_leader:
            index = await self.read_index()
        else:
            index = await self.forward(ReadIndex(0), None)
        deadline = self.clock.now() + PROPOSE_TIMEOUT_S
        while index is not None and self.state.applied < index:
            if self.clock.now() > deadline:
                return False
            await asyncio.sleep(0.005)
        return index is not None

    async def answer_read(self, connection, message):
        """Tell another instance which index its read has to wait for."""
        index = await self.read_index() if self.raft.is_leader else None
        connection.send(ReadIndexed(message.request, index))

    def resolve_forwarded(self, message):
        """Hand the leader's answer to whoever forwarded the request."""
        _, future = self.forwarded.get(message.request, (None, None))
        if future is not None and not future.done():
            kept = isinstance(message, Renewed)
            answer = getattr(message, "result", getattr(message, "index", None))
            future.set_result(message if kept else answer)

    async def answer_proposal(self, connection, message):
        """Propose for a node and answer it."""
        if self.raft.is_leader:
            result = await self.propose_here(message.command)
        elif connection.peer.role == "control":
            result = None
        else:
            result = await self.forward(Propose(0, message.command), None)
        connection.send(Proposed(message.request, result))

    async def answer_renewal(self, connection, message):
        """Renew an entry's leases as the leader, or pass the request on to it."""
        request = message.request
        refusal = Renewed(request, False, 0.0, {}, "no leader in reach")
        if self.raft.is_leader and self.has_quorum_contact:
            reply = self.leases.renew(message, self.state, self.clock.now())
            self.wake.set()
        elif connection.peer.role == "control":
            reply = refusal
        else:
            reply = await self.forward(message, refusal)
            reply.request = request
        connection.send(reply)
