"""Replicated state of control for direct dispatch: the operator's configuration as one document."""

from attrs import define

from onyxfork.control.commands import ChangeResult
from onyxfork.direct.messages import ConfigurationDocument
from onyxfork.messages.codec import message, unpack
from onyxfork.utils.packing import from_bytes, to_bytes

__all__ = ["Configure", "DocumentState"]


@message(108)
@define
class Configure:
    """Command: put a configuration in force if its version is higher than the current one."""

    version: int
    body: bytes


@define(eq=False)
class DocumentState:
    """State that results from applying the log.

    Attributes
    ----------
    applied : int
        Index of the last applied log entry.
    document : ConfigurationDocument or None
        The configuration in force.
    """

    applied: int = 0
    document: ConfigurationDocument | None = None

    @property
    def version(self):
        """Version of the configuration, 0 before there is one."""
        return self.document.version if self.document else 0

    def apply(self, index, data):
        """Apply one command.

        A configuration that is not newer changes nothing, so commands are idempotent.

        Parameters
        ----------
        index : int
            Index of the log entry.
        data : bytes
            A frame with one `Configure`.

        Returns
        -------
        ChangeResult
            Accepted, with the version in force afterwards.
        """
        self.applied = index
        command = unpack(data)[0]
        if command.version > self.version:
            self.document = ConfigurationDocument(command.version, command.body)
        return ChangeResult(True, version=self.version)

    def to_snapshot(self):
        """Return the state as bytes."""
        body = self.document.body if self.document else b""
        return to_bytes([self.applied, self.version, body])

    @classmethod
    def from_snapshot(cls, data):
        """Return the state from the bytes of :meth:`to_snapshot`."""
        applied, version, body = from_bytes(data)
        return cls(applied, ConfigurationDocument(version, body) if version else None)
