"""A control instance of direct dispatch: agreement on the configuration, and the directory."""

import asyncio
import logging

from onyxfork.control.replica import Replica
from onyxfork.direct.control_state import Configure, DocumentState
from onyxfork.direct.directory import NodeDirectory
from onyxfork.direct.messages import FetchDocument, Register

__all__ = ["DocumentReplica"]

log = logging.getLogger(__name__)

ANSWER_TIMEOUT_S = 0.9
"""An operator turns to another instance after a second without an answer."""

RETRY_PAUSE_S = 0.05


class DocumentReplica(Replica):
    """A replica whose log holds configurations, and which tells nodes of each other."""

    @staticmethod
    def load_state(snapshot):
        """Return the state in a snapshot, or an empty one."""
        return DocumentState() if snapshot is None else DocumentState.from_snapshot(snapshot)

    def make_fanout(self):
        """Return the directory of connected nodes."""
        return NodeDirectory(self.state, self.clock, self.control_addresses)

    def control_addresses(self):
        """Return the addresses of all control instances that are members."""
        return sorted(self.raft.members.addresses.values())

    def on_message(self, connection, message):
        """Dispatch one message by its type."""
        if isinstance(message, Register):
            self.fanout.register(connection, message)
        elif isinstance(message, FetchDocument):
            self.fanout.send_document(connection)
        else:
            super().on_message(connection, message)

    def reassign_cells(self):
        """Do nothing: entries own no cells here."""

    async def advance_log_time(self):
        """Do nothing: no entry of this log depends on time."""

    async def configure(self, version, body):
        """Have a configuration agreed on.

        Parameters
        ----------
        version : int
        body : bytes

        Returns
        -------
        bool
            Whether it, or a higher version, is agreed on; False when that is not known.
        """
        until = self.clock.now() + ANSWER_TIMEOUT_S
        while self.state.version < version:
            result = await self.propose(Configure(version, body))
            if result is not None:
                log.info(
                    "configuration agreed on",
                    extra={"version": version, "in_force": result.version, "term": self.raft.term},
                )
                return True
            if self.clock.now() > until:
                return False
            await asyncio.sleep(RETRY_PAUSE_S)
        return True

    async def read_document(self):
        """Return the newest configuration, or None when that is not sure or there is none."""
        until = self.clock.now() + ANSWER_TIMEOUT_S
        while not await self.confirm_read():
            if self.clock.now() > until:
                return None
            await asyncio.sleep(RETRY_PAUSE_S)
        return self.state.document
