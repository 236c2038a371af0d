"""Encoding of typed messages as msgpack, and decoding with type checks.

A message is an attrs class registered under a number. On the wire it is an array whose first item
is that number and whose other items are the fields in order. A field with a default may therefore
be appended: messages that lack it are still decoded, whereas a receiver without the field rejects
the longer array. The functions that encode and decode a class are built once per class, as hooks of
a cattrs converter.
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
    """Return whether the type `kind` is a union of one type and None."""
    return get_origin(kind) in (Union, UnionType) and NoneType in get_args(kind)


def make_checker(kind):
    """Return a function that checks one decoded value against a type and structures it.

    Parameters
    ----------
    kind : type

    Returns
    -------
    callable
        Takes the decoded value and returns it as `kind`; raises `ProtocolError` when it is not of
        that type.
    """
    if kind is Any:
        return lambda value: value
    if is_optional(kind):
        inner = make_checker(next(arg for arg in get_args(kind) if arg is not NoneType))
        return lambda value: None if value is None else inner(value)
    if get_origin(kind) is list:
        return make_list_checker(make_checker(get_args(kind)[0]))
    if get_origin(kind) is dict:
        return make_dict_checker(make_checker(get_args(kind)[1]))
    if attrs.has(kind):
        return lambda value: converter.structure(value, kind)
    if kind is float:
        return check_float
    return make_exact_checker(kind)


def check_float(value):
    """Return `value` as a float, or raise `ProtocolError` when it is not a number."""
    if type(value) not in (float, int):
        raise ProtocolError(f"expected a number, got {type(value).__name__}")
    return float(value)


def make_exact_checker(kind):
    """Return a checker that accepts only values of exactly the type `kind`."""

    def check(value):
        if type(value) is not kind:
            raise ProtocolError(f"expected {kind.__name__}, got {type(value).__name__}")
        return value

    return check


def make_list_checker(inner):
    """Return a checker for a list whose items pass the checker `inner`."""

    def check(value):
        if type(value) is not list:
            raise ProtocolError(f"expected a list, got {type(value).__name__}")
        return [inner(item) for item in value]

    return check


def make_dict_checker(inner):
    """Return a checker for a map with text keys whose values pass the checker `inner`."""

    def check(value):
        if type(value) is not dict or any(type(key) is not str for key in value):
            raise ProtocolError("expected a map with text keys")
        return {key: inner(item) for key, item in value.items()}

    return check


def make_structure(cls):
    """Build the cattrs hook that structures `cls` from an array of its fields.

    Most values are of the exact type of a primitive field; the hook accepts these without
    calling a checker.
    """
    resolved = attrs.fields(attrs.resolve_types(cls))
    fields = [field for field in resolved if field.init]
    field_checks = [(find_primitive(field.type), make_checker(field.type)) for field in fields]
    required = sum(1 for field in fields if field.default is attrs.NOTHING)

    def structure_fields(value, _):
        if type(value) is not list or not required <= len(value) <= len(field_checks):
            raise ProtocolError(f"{cls.__name__}: expected an array of {len(field_checks)} fields")
        try:
            return cls(
                *[
                    item if type(item) is primitive else check(item)
                    for item, (primitive, check) in zip(value, field_checks, strict=False)
                ]
            )
        except ProtocolError as error:
            raise ProtocolError(locate_error(cls, fields, field_checks, value, error)) from None

    return structure_fields


def find_primitive(kind):
    """Return `kind` if it is a primitive type, whose values need no checker, otherwise None."""
    return kind if kind in PRIMITIVES else None


def locate_error(cls, fields, field_checks, value, error):
    """Return the text of an error, prefixed with the class and the field that caused it."""
    for field, (_, check), item in zip(fields, field_checks, value, strict=False):
        try:
            check(item)
        except ProtocolError as field_error:
            return f"{cls.__name__}.{field.name}: {field_error}"
    return str(error)


def make_flattener(kind):
    """Return a function that unstructures a value of type `kind`, or None if it stays as it is."""
    if is_optional(kind):
        inner = make_flattener(next(arg for arg in get_args(kind) if arg is not NoneType))
        return inner and (lambda value: None if value is None else inner(value))
    if get_origin(kind) is list:
        inner = make_flattener(get_args(kind)[0])
        return inner and (lambda value: [inner(item) for item in value])
    if get_origin(kind) is dict:
        inner = make_flattener(get_args(kind)[1])
        return inner and (lambda value: {key: inner(item) for key, item in value.items()})
    if attrs.has(kind):
        return converter.unstructure
    return None


def make_unstructure(cls):
    """Build the cattrs hook that unstructures `cls` into an array of its fields."""
    resolved = attrs.fields(attrs.resolve_types(cls))
    fields = [(field.name, make_flattener(field.type)) for field in resolved if field.init]
    nested = [(index, flatten) for index, (_, flatten) in enumerate(fields) if flatten is not None]
    names = [name for name, _ in fields]
    if not names:
        return lambda value: []
    read_fields = attrgetter(*names)

    def unstructure_fields(value):
        values = [read_fields(value)] if len(names) == 1 else list(read_fields(value))
        for index, flatten in nested:
            values[index] = flatten(values[index])
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
    """Encode messages as one frame, without its length header.

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
    """Decode the messages of one frame.

    Parameters
    ----------
    frame : bytes

    Returns
    -------
    list of attrs instances

    Raises
    ------
    ProtocolError
        When the bytes are not msgpack, a message number is unknown or a field has the wrong type.
    """
    try:
        items = msgpack.unpackb(frame, strict_map_key=False)
    except (ValueError, msgpack.UnpackException, RecursionError) as error:
        raise ProtocolError(f"malformed frame: {error}") from None
    if type(items) is not list:
        raise ProtocolError("a frame must hold an array of messages")
    return [unpack_message(item) for item in items]


def unpack_message(item):
    """Return the message that an array of a number and fields stands for."""
    if type(item) is not list or not item or type(item[0]) is not int:
        raise ProtocolError("a message must be an array that starts with its number")
    cls = MESSAGE_TYPES.get(item[0])
    if cls is None:
        raise ProtocolError(f"unknown message number {item[0]}")
    return converter.structure(item[1:], cls)
