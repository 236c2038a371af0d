"""Type-checked access to the fields of a decoded JSON or TOML object."""

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
    """A field is missing, has the wrong type or is out of range; the message names the field."""


def read_object(value, name):
    """Return `value` if it is an object; `name` identifies it in the error message."""
    if not isinstance(value, dict):
        raise FieldError(f"{name}: expected an object, got {type(value).__name__}")
    return value


def read_field(data, key, field_type, default, expected):
    """Return the field `key` of `data`, or `default` when the field is absent.

    Parameters
    ----------
    data : dict
    key : str
    field_type : type or tuple of type
    default : object
        None makes the field required.
    expected : str
        Description of the type for the error message.

    Raises
    ------
    FieldError
    """
    value = data.get(key, default)
    if value is None:
        raise FieldError(f"{key}: required field is missing")
    if not isinstance(value, field_type) or (isinstance(value, bool) and field_type is not bool):
        raise FieldError(f"{key}: expected {expected}, got {type(value).__name__}")
    return value


def read_string(data, key, default=None):
    """Return a string field; see `read_field`."""
    return read_field(data, key, str, default, "a string")


def read_number(data, key, default=None):
    """Return a finite, non-negative number; see `read_field`."""
    value = read_field(data, key, (int, float), default, "a number")
    if not 0 <= value < float("inf"):
        raise FieldError(f"{key}: expected a finite number of at least 0, got {value}")
    return value


def read_integer(data, key, default=None):
    """Return a non-negative integer; see `read_field`."""
    value = read_field(data, key, int, default, "a whole number")
    if value < 0:
        raise FieldError(f"{key}: expected a number of at least 0, got {value}")
    return value


def read_boolean(data, key, default=None):
    """Return a boolean; see `read_field`."""
    return read_field(data, key, bool, default, "true or false")


def read_list(data, key, default=None):
    """Return a list; see `read_field`."""
    return read_field(data, key, list, default, "a list")
