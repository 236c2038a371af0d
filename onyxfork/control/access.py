"""Authentication of operators by token.

A token is a long random text, of which only the SHA-256 is stored. The initial token in the
settings is accepted until an operator with the role ``change`` exists.
"""

import hashlib
import hmac

from attrs import define
from result import Err, Ok

__all__ = ["Caller", "hash_token", "authenticate", "MIN_TOKEN_CHARACTERS"]

MIN_TOKEN_CHARACTERS = 16


@define(frozen=True)
class Caller:
    """The authenticated sender of a statement.

    `may_change` tells whether the sender may change anything or only read.
    """

    name: str
    may_change: bool


def hash_token(token):
    """Return the SHA-256 of a token in hexadecimal digits, as it is stored."""
    return hashlib.sha256(token.encode()).hexdigest()


def authenticate(header, catalogue, initial_token):
    """Authenticate the sender of an ``Authorization`` header.

    Parameters
    ----------
    header : str or None
    catalogue : Catalogue
    initial_token : str
        Initial token from the settings; empty when there is none.

    Returns
    -------
    Result
        ``Ok(Caller)`` or ``Err(reason)``.
    """
    if not header:
        return Err("no token was given; send the header 'Authorization: Bearer TOKEN'")
    kind, _, token = header.partition(" ")
    if kind.lower() != "bearer" or not token:
        return Err("expected the header 'Authorization: Bearer TOKEN'")
    digest = hash_token(token)
    for operator in catalogue.rows("operator"):
        if hmac.compare_digest(operator.token_hash, digest):
            return Ok(Caller(operator.name, operator.role == "change"))
    has_change_operator = any(operator.role == "change" for operator in catalogue.rows("operator"))
    if (
        initial_token
        and not has_change_operator
        and hmac.compare_digest(hash_token(initial_token), digest)
    ):
        return Ok(Caller("initial", True))
    return Err("the token is invalid")
