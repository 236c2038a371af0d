"""Typed messages between processes, and the connections that carry them."""

from onyxfork.utils.lazy import lazy_names

__getattr__ = lazy_names(__name__, ("codec", "connection", "heartbeats", "greeting", "types"))
