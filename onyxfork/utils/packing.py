"""Encoding of plain values as msgpack, and decoding."""

import msgpack

__all__ = ["to_bytes", "from_bytes"]


def to_bytes(value):
    """Encode a plain value as msgpack."""
    return msgpack.packb(value)


def from_bytes(data):
    """Decode one plain value from msgpack.

    Raises
    ------
    ValueError
        When the bytes are not exactly one msgpack value.
    """
    return msgpack.unpackb(data, strict_map_key=False)
