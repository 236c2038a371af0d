"""Clocks, identifiers and task ownership, shared by every package."""

from onyxfork.utils.clock import Clock, FakeClock, SystemClock, clock_for
from onyxfork.utils.ids import id_time_ms, new_id
from onyxfork.utils.tasks import logged_failures, owned_tasks

__all__ = [
    "Clock",
    "FakeClock",
    "SystemClock",
    "clock_for",
    "new_id",
    "id_time_ms",
    "logged_failures",
    "owned_tasks",
]
