"""Typed messages to msgpack and back.

A message is an attrs class registered under a number. On the wire it is an array whose first item
is that number and whose other items are the fields in order, so a field may be appended with a
default without breaking an older peer. Unstructuring and structuring are compiled once a class
through hooks of a cattrs converter.
"""

from operator import attrgetter
from types import NoneType, UnionType
from typing import Any, Union, get_args, get_origin

import attrs
import cattrs
import msgpack

from onyxfork.errors import ProtocolError

__all__ = ["MESSAGE_TYPES", "message", "pack", "unpack", "structure", "unstructure"]

MESSAGE_TYPES = {}
PRIMITIVES = (str, int, bool, bytes, float)

converter = cattrs.Converter()


def message(number):
    """Register an attrs class as a message of the protocol.

    Parameters
    ----------
    number : int
        Identifies the class on the wire; never reused.

    Returns
    -------
    callable
        A class decorator.
    """

    def register(cls):
        if number in MESSAGE_TYPES:
            raise ValueError(f"message number {number} is taken")
        cls.number = number
        MESSAGE_TYPES[number] = cls
        return cls

    return register


def is_optional(kind):
    """Return whether `kind` is a union of one type and None."""
    return get_origin(kind) in (Union, UnionType) and NoneType in get_args(kind)


def checker(kind):
    """Return a function that checks and structures one value of type `kind`.

    Parameters
    ----------
    kind : type

    Returns
    -------
    callable
        Takes the raw value; raises `ProtocolError` when it is not of the type.
    """
    if kind is Any:
        return lambda value: value
    if is_optional(kind):
        inner = checker(next(arg for arg in get_args(kind) if arg is not NoneType))
        return lambda value: None if value is None else inner(value)
    if get_origin(kind) is list:
        return list_checker(checker(get_args(kind)[0]))
    if get_origin(kind) is dict:
        return dict_checker(checker(get_args(kind)[1]))
    if attrs.has(kind):
        return lambda value: converter.structure(value, kind)
    if kind is float:
        return float_checker
    return exact_checker(kind)


def float_checker(value):
    """Return `value` as a float, or raise when it is not a number."""
    if type(value) not in (float, int):
        raise ProtocolError(f"expected a number, got {type(value).__name__}")
    return float(value)


def exact_checker(kind):
    """Return a checker for a primitive type."""

    def check(value):
        if type(value) is not kind:
            raise ProtocolError(f"expected {kind.__name__}, got {type(value).__name__}")
        return value

    return check


def list_checker(inner):
    """Return a checker for a list whose items pass `inner`."""

    def check(value):
        if type(value) is not list:
            raise ProtocolError(f"expected a list, got {type(value).__name__}")
        return [inner(item) for item in value]

    return check


def dict_checker(inner):
    """Return a checker for a map with text keys whose values pass `inner`."""

    def check(value):
        if type(value) is not dict or any(type(key) is not str for key in value):
            raise ProtocolError("expected a map with text keys")
        return {key: inner(item) for key, item in value.items()}

    return check


def make_structure(cls):
    """Build the cattrs hook that structures `cls` from an array of its fields.

    Values that are of a primitive field's very type, most of them, need no call to check them.
    """
    resolved = attrs.fields(attrs.resolve_types(cls))
    fields = [field for field in resolved if field.init]
    plans = [(plain_type(field.type), checker(field.type)) for field in fields]
    required = sum(1 for field in fields if field.default is attrs.NOTHING)

    def structure_fields(value, _):
        if type(value) is not list or not required <= len(value) <= len(plans):
            raise ProtocolError(f"{cls.__name__}: expected an array of {len(plans)} fields")
        try:
            return cls(
                *[
                    item if type(item) is plain else check(item)
                    for item, (plain, check) in zip(value, plans, strict=False)
                ]
            )
        except ProtocolError as error:
            raise ProtocolError(name_field(cls, fields, plans, value, error)) from None

    return structure_fields


def plain_type(kind):
    """Return the type whose values need no further check, or None."""
    return kind if kind in PRIMITIVES else None


def name_field(cls, fields, plans, value, error):
    """Return the text of an error with the field that it is about."""
    for field, (_, check), item in zip(fields, plans, value, strict=False):
        try:
            check(item)
        except ProtocolError as found:
            return f"{cls.__name__}.{field.name}: {found}"
    return str(error)


def flattener(kind):
    """Return a function that unstructures one value of type `kind`, or None for no change."""
    if is_optional(kind):
        inner = flattener(next(arg for arg in get_args(kind) if arg is not NoneType))
        return inner and (lambda value: None if value is None else inner(value))
    if get_origin(kind) is list:
        inner = flattener(get_args(kind)[0])
        return inner and (lambda value: [inner(item) for item in value])
    if get_origin(kind) is dict:
        inner = flattener(get_args(kind)[1])
        return inner and (lambda value: {key: inner(item) for key, item in value.items()})
    if attrs.has(kind):
        return converter.unstructure
    return None


def make_unstructure(cls):
    """Build the cattrs hook that turns `cls` into an array of its fields."""
    resolved = attrs.fields(attrs.resolve_types(cls))
    fields = [(field.name, flattener(field.type)) for field in resolved if field.init]
    nested = [(at, flatten) for at, (_, flatten) in enumerate(fields) if flatten is not None]
    names = [name for name, _ in fields]
    if not names:
        return lambda value: []
    read = attrgetter(*names)

    def unstructure_fields(value):
        values = [read(value)] if len(names) == 1 else list(read(value))
        for at, flatten in nested:
            values[at] = flatten(values[at])
        return values

    return unstructure_fields


converter.register_structure_hook_factory(attrs.has, make_structure)
converter.register_unstructure_hook_factory(attrs.has, make_unstructure)


def structure(value, cls):
    """Return an instance of the attrs class `cls` from an array of its fields."""
    return converter.structure(value, cls)


def unstructure(value):
    """Return the array of fields of an attrs instance."""
    return converter.unstructure(value)


def pack(messages):
    """Return the bytes of one frame.

    Parameters
    ----------
    messages : iterable of attrs instances
        Registered with :func:`message`.

    Returns
    -------
    bytes

    Examples
    --------
    >>> from onyxfork.messages import Ping
    >>> unpack(pack([Ping(clock=1.0, echo=0.5)]))
    [Ping(clock=1.0, echo=0.5)]
    """
    return msgpack.packb([[item.number, *converter.unstructure(item)] for item in messages])


def unpack(frame):
    """Return the messages of one frame.

    Parameters
    ----------
    frame : bytes

    Returns
    -------
    list of attrs instances

    Raises
    ------
    ProtocolError
        When the bytes are not msgpack, a message is unknown or a field has the wrong type.
    """
    try:
        items = msgpack.unpackb(frame, strict_map_key=False)
    except (ValueError, msgpack.UnpackException, RecursionError) as error:
        raise ProtocolError(f"malformed frame: {error}") from None
    if type(items) is not list:
        raise ProtocolError("a frame must hold an array of messages")
    return [unpack_one(item) for item in items]


def unpack_one(item):
    """Return one message from its array."""
    if type(item) is not list or not item or type(item[0]) is not int:
        raise ProtocolError("a message must be an array that starts with its number")
    cls = MESSAGE_TYPES.get(item[0])
    if cls is None:
        raise ProtocolError(f"unknown message number {item[0]}")
    return converter.structure(item[1:], cls)
