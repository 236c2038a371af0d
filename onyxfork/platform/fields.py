"""Decoding of JSON bodies, and checked access to the fields of a decoded JSON or TOML object.

Whatever is accepted can be sent on: texts can be encoded, numbers fit a message, and the nesting
does not depend on how deep the stack of the reader is.
"""

import json

from onyxfork.errors import OnyxforkError

__all__ = [
    "MAX_NUMBER",
    "FieldError",
    "shorten",
    "decode_json",
    "read_object",
    "read_string",
    "read_number",
    "read_integer",
    "read_boolean",
    "read_list",
    "read_texts",
]

MAX_NUMBER = 2**53 - 1
"""Upper bound on numbers: the largest integer that every JSON reader represents exactly."""

MAX_NESTING = 32
"""Upper bound on the levels of objects and lists."""

MAX_CONTAINERS, MAX_VALUES = 50_000, 300_000
"""Upper bounds on the objects and lists of a body, and on its commas. In memory a list takes up to
44 times the bytes of the body."""

MAX_SHOWN_LENGTH = 64
"""Upper bound on the characters of a refused value in an error message."""


class FieldError(OnyxforkError):
    """A field is missing, has the wrong type or is out of range; the message names the field."""


def shorten(value):
    """Return a text for a refused string or number that is short and can be encoded."""
    text = ascii(value)
    return text if len(text) <= MAX_SHOWN_LENGTH else f"{text[:MAX_SHOWN_LENGTH]}..."


def decode_json(body):
    """Return the value in a JSON body.

    Raises
    ------
    FieldError
        If the body is not JSON, is nested deeper than `MAX_NESTING`, or has more values than
        `MAX_CONTAINERS` and `MAX_VALUES` allow.
    """
    if body.count(b"[") + body.count(b"{") > MAX_CONTAINERS:
        raise FieldError(f"more than {MAX_CONTAINERS} objects and lists")
    if body.count(b",") > MAX_VALUES:
        raise FieldError(f"more than {MAX_VALUES} values")
    try:
        value = json.loads(body)
    except RecursionError:
        raise FieldError(f"nested deeper than {MAX_NESTING} levels") from None
    except ValueError as error:
        raise FieldError(f"not JSON: {shorten(str(error))}") from None
    level = find_containers([value])
    for _ in range(MAX_NESTING):
        if not level:
            return value
        level = [inner for container in level for inner in find_containers(container)]
    if level:
        raise FieldError(f"nested deeper than {MAX_NESTING} levels")
    return value


def find_containers(container):
    """Return the objects and lists directly inside an object or a list."""
    items = container.values() if isinstance(container, dict) else container
    return [item for item in items if isinstance(item, dict | list)]


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
    """Return a string field that can be encoded as UTF-8; see `read_field`."""
    value = read_field(data, key, str, default, "a string")
    if not is_encodable(value):
        raise FieldError(f"{key}: expected text, got {shorten(value)}")
    return value


def is_encodable(text):
    """Return whether a string can be encoded as UTF-8, which one with lone surrogates cannot."""
    return text.isascii() or not any("\ud800" <= character <= "\udfff" for character in text)


def read_number(data, key, default=None, maximum=MAX_NUMBER):
    """Return a number from 0 to `maximum`; see `read_field`."""
    return check_range(read_field(data, key, (int, float), default, "a number"), key, maximum)


def read_integer(data, key, default=None, maximum=MAX_NUMBER):
    """Return an integer from 0 to `maximum`; see `read_field`."""
    return check_range(read_field(data, key, int, default, "a whole number"), key, maximum)


def check_range(value, key, maximum):
    """Return a number if it is from 0 to `maximum`; infinity and NaN are not."""
    if not 0 <= value <= maximum:
        raise FieldError(f"{key}: expected a number from 0 to {maximum}, got {shorten(value)}")
    return value


def read_boolean(data, key, default=None):
    """Return a boolean; see `read_field`."""
    return read_field(data, key, bool, default, "true or false")


def read_list(data, key, default=None):
    """Return a list; see `read_field`."""
    return read_field(data, key, list, default, "a list")


def read_texts(data, key, max_count, max_length):
    """Return a list of strings, empty by default.

    Parameters
    ----------
    data : dict
    key : str
    max_count : int
        Upper bound on the strings.
    max_length : int
        Upper bound on the characters of each.
    """
    texts = read_list(data, key, [])
    if len(texts) > max_count:
        raise FieldError(f"{key}: expected at most {max_count} strings, got {len(texts)}")
    for text in texts:
        if not isinstance(text, str) or len(text) > max_length or not is_encodable(text):
            raise FieldError(f"{key}: expected strings of at most {max_length} characters")
    return texts
