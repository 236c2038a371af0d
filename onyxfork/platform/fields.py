"""Checked access to the fields of a JSON object."""

from onyxfork.errors import OnyxforkError

__all__ = [
    "FieldError",
    "read_object",
    "read_string",
    "read_number",
    "read_integer",
    "read_boolean",
    "read_list",
]


class FieldError(OnyxforkError):
    """A field that is missing or of another type; the message names it."""


def read_object(value, name):
    """Return `value` if it is an object."""
    if not isinstance(value, dict):
        raise FieldError(f"{name}: expected an object, got {type(value).__name__}")
    return value


def read_field(data, key, kind, default, expected):
    """Return a field of one type, or its default when it is left out."""
    value = data.get(key, default)
    if value is None:
        raise FieldError(f"{key}: required field is missing")
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise FieldError(f"{key}: expected {expected}, got {type(value).__name__}")
    return value


def read_string(data, key, default=None):
    """Return a text."""
    return read_field(data, key, str, default, "a text")


def read_number(data, key, default=None):
    """Return a number of at least 0."""
    value = read_field(data, key, (int, float), default, "a number")
    if not 0 <= value < float("inf"):
        raise FieldError(f"{key}: expected a number from 0 on, got {value}")
    return value


def read_integer(data, key, default=None):
    """Return a whole number of at least 0."""
    value = read_field(data, key, int, default, "a whole number")
    if value < 0:
        raise FieldError(f"{key}: expected a number from 0 on, got {value}")
    return value


def read_boolean(data, key, default=None):
    """Return true or false."""
    return read_field(data, key, bool, default, "true or false")


def read_list(data, key, default=None):
    """Return a list."""
    return read_field(data, key, list, default, "a list")
