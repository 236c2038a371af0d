"""Addresses of processes, and attrs validators."""

import ipaddress

from attrs import define, field

__all__ = ["Address", "make_validator"]


def make_validator(predicate, expected):
    """Return an attrs validator for values that meet a predicate.

    Parameters
    ----------
    predicate : callable
    expected : str
        What a valid value is, for the error message.
    """

    def validate(instance, attribute, value):
        if not predicate(value):
            raise ValueError(f"expected {expected}, got {value!r}")

    return validate


def is_ip(value):
    """Return whether a text is an IP address."""
    try:
        ipaddress.ip_address(value)
    except ValueError:
        return False
    return True


IP = make_validator(is_ip, "an IP address")
PORT = make_validator(lambda value: 0 <= value <= 65535, "a port from 0 to 65535")


@define(frozen=True)
class Address:
    """An IP address and a port."""

    host: str = field(validator=IP)
    port: int = field(validator=PORT)

    @classmethod
    def from_text(cls, text):
        """Parse an address of the form ``ip:port``.

        Raises
        ------
        ValueError
            When the text is not of that form.
        """
        host, _, port = text.rpartition(":")
        return cls(host, int(port))

    @property
    def host_and_port(self):
        """The address as the tuple that asyncio expects."""
        return (self.host, self.port)

    def __str__(self):
        return f"{self.host}:{self.port}"
