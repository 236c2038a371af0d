"""Entities of the dispatcher and the state tables that hold them."""

from onyxfork.utils.lazy import lazy_names

__all__ = []

__getattr__ = lazy_names(__name__, ("agent_tasks", "catalogue", "outcomes"))
