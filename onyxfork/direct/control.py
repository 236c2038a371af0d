"""A control instance of direct dispatch: replicates the configuration and serves the directory."""

import asyncio
import logging

from onyxfork.control.replica import Replica
from onyxfork.direct.control_state import Configure, DocumentState
from onyxfork.direct.directory import NodeDirectory
from onyxfork.direct.messages import FetchDocument, Register

__all__ = ["DocumentReplica"]

log = logging.getLogger(__name__)

ANSWER_TIMEOUT_S = 0.9
"""Below the second after which an operator's client tries another instance."""

RETRY_PAUSE_S = 0.05


class DocumentReplica(Replica):
    """A replica whose log holds configurations, and which serves the directory to nodes."""

    @staticmethod
    def load_state(snapshot):
        """Return the state of a snapshot, or an empty state without one."""
        return DocumentState() if snapshot is None else DocumentState.from_snapshot(snapshot)

    def make_fanout(self):
        """Return the `NodeDirectory` that sends updates to connected nodes."""
        return NodeDirectory(self.state, self.clock, self.control_addresses)

    def control_addresses(self):
        """Return the sorted addresses of all members of the replica group."""
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
        """Do nothing: direct dispatch has no cells."""

    async def advance_log_time(self):
        """Do nothing: no command in this log depends on time."""

    async def configure(self, version, body):
        """Commit a configuration to the replicated log, retrying until a timeout.

        Parameters
        ----------
        version : int
        body : bytes

        Returns
        -------
        bool
            True if this or a higher version is committed, False if that is unknown.
        """
        deadline = self.clock.now() + ANSWER_TIMEOUT_S
        while self.state.version < version:
            result = await self.propose(Configure(version, body))
            if result is not None:
                log.info(
                    "configuration committed",
                    extra={"version": version, "in_force": result.version, "term": self.raft.term},
                )
                return True
            if self.clock.now() > deadline:
                return False
            await asyncio.sleep(RETRY_PAUSE_S)
        return True

    async def read_document(self):
        """Return the newest committed configuration.

        Returns
        -------
        ConfigurationDocument or None
            None if there is none, or if a linearizable read was not confirmed in time.
        """
        deadline = self.clock.now() + ANSWER_TIMEOUT_S
        while not await self.confirm_read():
            if self.clock.now() > deadline:
                return None
            await asyncio.sleep(RETRY_PAUSE_S)
        return self.state.document
