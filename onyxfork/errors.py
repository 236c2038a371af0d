"""Exceptions raised by onyxfork.

Outcomes that a caller must handle are returned as values (:mod:`result`). The exceptions here are
raised for invalid input, a violated invariant, unusable storage, an unavailable service, or a peer
that has to be disconnected.
"""

__all__ = [
    "OnyxforkError",
    "SettingsError",
    "ProtocolError",
    "StorageError",
    "CorruptLogError",
    "ForeignDataError",
    "InvariantError",
    "UnavailableError",
]


class OnyxforkError(Exception):
    """Base class of every exception that onyxfork raises."""


class SettingsError(OnyxforkError):
    """Settings are invalid.

    Parameters
    ----------
    problems : list of str
        One line for each invalid, missing or unknown field, with its path.
    """

    def __init__(self, problems):
        super().__init__("\n".join(problems))
        self.problems = problems


class ProtocolError(OnyxforkError):
    """A frame or message violates the protocol between processes."""


class StorageError(OnyxforkError):
    """Durable state cannot be read or written."""


class CorruptLogError(StorageError):
    """A log record has a wrong checksum although later records follow it."""


class ForeignDataError(StorageError):
    """A data folder belongs to another cluster or another replica."""


class InvariantError(OnyxforkError):
    """An invariant is violated; the process stops."""


class UnavailableError(OnyxforkError):
    """No process answered the request before the timeout."""
