"""Checked access to the fields of a JSON object."""

from onyxfork.errors import OnyxforkError

__all__ = ["FieldError", "read_object", "text", "number", "whole", "flag", "items"]


class FieldError(OnyxforkError):
    """A field that is missing or of another type; the message names it."""


def read_object(value, name):
    """Return `value` if it is an object."""
    if not isinstance(value, dict):
        raise FieldError(f"{name}: expected an object, got {type(value).__name__}")
    return value


def pick(data, key, kind, default, expected):
    """Return a field of one type, or its default when it is left out."""
    value = data.get(key, default)
    if value is None:
        raise FieldError(f"{key}: required field is missing")
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise FieldError(f"{key}: expected {expected}, got {type(value).__name__}")
    return value


def text(data, key, default=None):
    """Return a text."""
    return pick(data, key, str, default, "a text")


def number(data, key, default=None):
    """Return a number of at least 0."""
    value = pick(data, key, (int, float), default, "a number")
    if not 0 <= value < float("inf"):
        raise FieldError(f"{key}: expected a number from 0 on, got {value}")
    return value


def whole(data, key, default=None):
    """Return a whole number of at least 0."""
    value = pick(data, key, int, default, "a whole number")
    if value < 0:
        raise FieldError(f"{key}: expected a number from 0 on, got {value}")
    return value


def flag(data, key, default=None):
    """Return true or false."""
    return pick(data, key, bool, default, "true or false")


def items(data, key, default=None):
    """Return a list."""
    return pick(data, key, list, default, "a list")
