"""Submission identifiers that carry their time of issue.

An identifier is a version 7 UUID: its first 48 bits are milliseconds since the Unix epoch. When the
record of a submission has been dropped, the timestamp still shows that the identifier has expired,
so the submission does not run again.

References
----------
RFC 9562, section 5.7.
"""

import secrets
import uuid

__all__ = ["new_id", "id_time_ms"]


def new_id(wall_ms, rng=None):
    """Return a version 7 UUID.

    Parameters
    ----------
    wall_ms : int
        Milliseconds since the Unix epoch.
    rng : random.Random, optional
        Source of the random bits; that of the operating system when omitted.

    Returns
    -------
    str

    Examples
    --------
    >>> id_time_ms(new_id(1_700_000_000_000))
    1700000000000
    """
    bits = rng.getrandbits(74) if rng is not None else secrets.randbits(74)
    high = bits >> 62
    low = bits & ((1 << 62) - 1)
    value = (wall_ms & ((1 << 48) - 1)) << 80 | 0x7 << 76 | high << 64 | 0b10 << 62 | low
    return str(uuid.UUID(int=value))


def id_time_ms(text):
    """Return the time of issue of a version 7 UUID, or None when `text` is not one.

    Parameters
    ----------
    text : str

    Returns
    -------
    int or None
        Milliseconds since the Unix epoch.

    Examples
    --------
    >>> id_time_ms("not-an-id") is None
    True
    """
    try:
        value = uuid.UUID(text)
    except (ValueError, AttributeError, TypeError):
        return None
    if value.version != 7 or str(value) != text:
        return None
    return value.int >> 80
