"""Addresses of processes."""

import ipaddress

from attrs import define, field

__all__ = ["Address", "checked"]


def checked(test, expected):
    """Return an attrs validator that names what was expected."""

    def validate(instance, attribute, value):
        if not test(value):
            raise ValueError(f"expected {expected}, got {value!r}")

    return validate


def is_ip(value):
    """Return whether a text is an IP number."""
    try:
        ipaddress.ip_address(value)
    except ValueError:
        return False
    return True


IP = checked(is_ip, "an IP number")
PORT = checked(lambda value: 0 <= value <= 65535, "a port from 0 to 65535")


@define(frozen=True)
class Address:
    """An IP number and a port."""

    host: str = field(validator=IP)
    port: int = field(validator=PORT)

    @classmethod
    def from_text(cls, text):
        """Return the address in ``ip:port``.

        Raises
        ------
        ValueError
            When it is none.
        """
        host, _, port = text.rpartition(":")
        return cls(host, int(port))

    @property
    def host_and_port(self):
        """The address as asyncio takes it."""
        return (self.host, self.port)

    def __str__(self):
        return f"{self.host}:{self.port}"
