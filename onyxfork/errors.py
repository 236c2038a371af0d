"""Exceptions raised by onyxfork.

Outcomes that a caller must handle are values (:mod:`result`); the exceptions here mark input that
could not be understood, a broken invariant, or a peer that has to be disconnected.
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
    """A settings file that cannot be used.

    Parameters
    ----------
    problems : list of str
        One line for each wrong, missing or unknown field, with its path.
    """

    def __init__(self, problems):
        super().__init__("\n".join(problems))
        self.problems = problems


class ProtocolError(OnyxforkError):
    """A frame or message that the protocol between processes does not allow."""


class StorageError(OnyxforkError):
    """Durable state that cannot be read or written."""


class CorruptLogError(StorageError):
    """A log record whose checksum is wrong although later records follow it."""


class ForeignDataError(StorageError):
    """A data folder that belongs to another cluster or another replica."""


class InvariantError(OnyxforkError):
    """A state that must never occur; the process stops."""


class UnavailableError(OnyxforkError):
    """No process that could answer was reached within the time allowed."""
