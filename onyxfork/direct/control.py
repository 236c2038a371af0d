"""A control instance of direct dispatch: replicates the configuration and evacuations."""

import asyncio
import logging
from contextlib import suppress

from onyxfork.control.raft_messages import COMMAND
from onyxfork.control.replica import Replica
from onyxfork.direct.control_state import Configure, DocumentState, SetEvacuation
from onyxfork.direct.directory import NodeDirectory
from onyxfork.direct.messages import FetchDocument, Register
from onyxfork.messages.codec import unpack

__all__ = ["DocumentReplica"]

log = logging.getLogger(__name__)

ANSWER_TIMEOUT_S = 0.9
"""Below the second after which an operator's client tries another instance."""

RETRY_PAUSE_S = 0.05

FIRST_READ_TIMEOUT_S = 0.5
"""After a start, a read that is not confirmed within this time is requested again: the leader may
have changed. A configuration has to reach the nodes within 2 s after the network has recovered."""


class DocumentReplica(Replica):
    """A replica whose log holds configurations and evacuations, and which serves the directory.

    Attributes
    ----------
    zones : dict of str to str
        Region of each availability zone that operators may evacuate.
    """

    def __init__(self, settings, storage, metrics, clock=None):
        super().__init__(settings, storage, metrics, clock)
        self.zones = {}
        metrics.gauge("evacuated_zones", lambda: len(self.fanout.evacuations.zones))

    @staticmethod
    def load_state(snapshot):
        """Return the state of a snapshot, or an empty state without one."""
        return DocumentState() if snapshot is None else DocumentState.from_snapshot(snapshot)

    def make_fanout(self):
        """Return the `NodeDirectory` that sends updates to connected nodes."""
        directory = NodeDirectory(self.state, self.clock, self.control_addresses)
        directory.is_announcing = not self.holds_evacuations()
        return directory

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

    async def update_followers(self):
        """Send nodes periodic updates; announce the state once it is known to be current."""
        self.spawn(self.announce_once_current())
        await super().update_followers()

    def holds_evacuations(self):
        """Return whether the recovered state or a log entry, committed or not, evacuates a zone."""
        if self.state.evacuation_request_index:
            return True
        commands = (entry.data for entry in self.raft.log.entries if entry.kind == COMMAND)
        return any(isinstance(unpack(data)[0], SetEvacuation) for data in commands)

    async def announce_once_current(self):
        """Let the directory announce the state once a linearizable read has been confirmed.

        After a restart the state is that of the latest snapshot until a leader confirms which
        entries are committed. Nodes that have lost power too would start tasks with it in a zone
        that was evacuated later. An instance that holds no evacuation announces at once, so that
        nodes get a configuration also while there is no leader.
        """
        confirmed = False
        while not confirmed:
            with suppress(TimeoutError):
                async with asyncio.timeout(FIRST_READ_TIMEOUT_S):
                    confirmed = await self.confirm_read()
            await asyncio.sleep(RETRY_PAUSE_S)
        self.fanout.start_announcing()

    def knows_zone(self, zone):
        """Return whether a zone can be evacuated or restored.

        An evacuated zone that has been removed from the settings since can still be restored.
        """
        return zone in self.zones or zone in self.state.evacuated_zones

    async def set_evacuation(self, zone, evacuated):
        """Commit the evacuation of a zone, or its end, retrying until a timeout.

        Parameters
        ----------
        zone : str
        evacuated : bool

        Returns
        -------
        bool
            True if it is committed, False if that is unknown.
        """
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await self.propose_evacuation(zone, evacuated)
        except TimeoutError:
            return False
        fields = {"zone": zone, "evacuated": evacuated, "term": self.raft.term}
        log.info("evacuation committed", extra=fields)
        if evacuated and self.zones.keys() <= self.state.evacuated_zones | {zone}:
            log.warning("every zone is evacuated", extra={"zones": sorted(self.zones)})
        return True

    async def propose_evacuation(self, zone, evacuated):
        """Propose a `SetEvacuation` until it is accepted.

        It is proposed although the local state may show no difference: that state may be outdated.
        """
        seen_index = 0
        while True:
            seen_index = max(seen_index, self.state.evacuation_request_index)
            result = await self.propose(SetEvacuation(zone, evacuated, seen_index))
            if result is None:
                await asyncio.sleep(RETRY_PAUSE_S)
            elif result.accepted:
                return
            else:
                seen_index = result.version

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
        return self.state.document if await self.confirm_read_in_time() else None

    async def read_evacuations(self):
        """Return the evacuated zones.

        Returns
        -------
        frozenset of str or None
            None if a linearizable read was not confirmed in time.
        """
        return self.state.evacuated_zones if await self.confirm_read_in_time() else None

    async def confirm_read_in_time(self):
        """Return whether a linearizable read was confirmed before operators' clients give up."""
        deadline = self.clock.now() + ANSWER_TIMEOUT_S
        while not await self.confirm_read():
            if self.clock.now() > deadline:
                return False
            await asyncio.sleep(RETRY_PAUSE_S)
        return True
