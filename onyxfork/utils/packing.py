"""Plain msgpack values to bytes and back."""

import msgpack

__all__ = ["to_bytes", "from_bytes"]


def to_bytes(value):
    """Return the msgpack bytes of a plain value."""
    return msgpack.packb(value)


def from_bytes(data):
    """Return the plain value of msgpack bytes.

    Raises
    ------
    ValueError
        When the bytes are not exactly one value.
    """
    return msgpack.unpackb(data, strict_map_key=False)
