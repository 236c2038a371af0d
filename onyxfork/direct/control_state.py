"""Replicated state of control for direct dispatch.

It holds the operator's configuration as one document, and the evacuated availability zones.
"""

from attrs import define, field

from onyxfork.control.commands import ChangeResult
from onyxfork.direct.messages import ConfigurationDocument
from onyxfork.messages.codec import message, unpack
from onyxfork.utils.packing import from_bytes, to_bytes

__all__ = ["Configure", "SetEvacuation", "DocumentState"]


@message(108)
@define
class Configure:
    """Command: put a configuration in force if its version is higher than the current one."""

    version: int
    body: bytes


@message(109)
@define
class SetEvacuation:
    """Command: evacuate a zone, or restore it.

    Parameters
    ----------
    zone : str
    evacuated : bool
    seen_index : int
        `DocumentState.evacuation_request_index` at the instance that proposes the command. A copy
        that is delayed until after a later request has been acknowledged would revert that
        request; it is recognised by its lower index.
    """

    zone: str
    evacuated: bool
    seen_index: int = 0


@define(eq=False)
class DocumentState:
    """State that results from applying the log.

    Attributes
    ----------
    applied : int
        Index of the last applied log entry.
    document : ConfigurationDocument or None
        The configuration in force.
    evacuated_zones : frozenset of str
    evacuations_index : int
        Index of the latest entry that changed them; 0 before the first.
    evacuation_request_index : int
        Index of the latest accepted `SetEvacuation`, which need not have changed anything.
    """

    applied: int = 0
    document: ConfigurationDocument | None = None
    evacuated_zones: frozenset = field(factory=frozenset)
    evacuations_index: int = 0
    evacuation_request_index: int = 0

    @property
    def version(self):
        """Version of the configuration, 0 before there is one."""
        return self.document.version if self.document else 0

    def apply(self, index, data):
        """Apply one command.

        A configuration that is not newer changes nothing, nor does the evacuation of an evacuated
        zone, so commands are idempotent.

        Parameters
        ----------
        index : int
            Index of the log entry.
        data : bytes
            A frame with one `Configure` or `SetEvacuation`.

        Returns
        -------
        ChangeResult
            For a configuration, accepted, with the version in force afterwards. For an evacuation,
            accepted or in conflict with a later request, with `evacuation_request_index`.
        """
        self.applied = index
        command = unpack(data)[0]
        if isinstance(command, SetEvacuation):
            return self.set_evacuation(index, command)
        if command.version > self.version:
            self.document = ConfigurationDocument(command.version, command.body)
        return ChangeResult(True, version=self.version)

    def set_evacuation(self, index, command):
        """Apply a `SetEvacuation`, unless a request was accepted that its proposer had not seen."""
        latest = self.evacuation_request_index
        if command.seen_index < latest:
            return ChangeResult(False, version=latest, code="conflict")
        self.evacuation_request_index = index
        if command.evacuated != (command.zone in self.evacuated_zones):
            self.evacuated_zones = self.evacuated_zones ^ {command.zone}
            self.evacuations_index = index
        return ChangeResult(True, version=index)

    def to_snapshot(self):
        """Return the state as bytes; before the first evacuation in the format without them."""
        body = self.document.body if self.document else b""
        fields = [self.applied, self.version, body]
        if self.evacuation_request_index:
            fields += [
                sorted(self.evacuated_zones),
                self.evacuations_index,
                self.evacuation_request_index,
            ]
        return to_bytes(fields)

    @classmethod
    def from_snapshot(cls, data):
        """Return the state from the bytes of :meth:`to_snapshot`."""
        applied, version, body, *evacuations = from_bytes(data)
        document = ConfigurationDocument(version, body) if version else None
        zones, *indexes = evacuations or ((), 0, 0)
        return cls(applied, document, frozenset(zones), *indexes)
