"""Precedence of queues by the operator's priority when capacity is short.

Waiting tasks start by priority and then by latest start. The priority counts as a delay of the
latest start, so that waiting work gains precedence as it ages.
"""

__all__ = [
    "MAX_PRIORITIES",
    "OVERDUE_PENALTY_S",
    "PRECEDENCE_OFFSET_S",
    "priority_index",
    "start_key",
]

MAX_PRIORITIES = 8
"""Priorities that are told apart; lower ones count as the last."""

PRECEDENCE_OFFSET_S = 5.0
"""Added to the latest start per priority. It is longer than the slack of a job of 7 s, so that work
of a higher priority starts first unless work of a lower one has become overdue for long."""

OVERDUE_PENALTY_S = 60.0
"""Added to the key of a task that is late, so that it sorts after all tasks that can still be on
time: longer than any slack and the offset of all priorities."""


def priority_index(priority):
    """Return the index of a priority in lists by priority."""
    return min(max(priority, 0), MAX_PRIORITIES - 1)


def start_key(latest_start, priority):
    """Return the key by which waiting tasks start, the lowest first.

    Parameters
    ----------
    latest_start : float
        Monotonic seconds.
    priority : int
        Priority of the queue, 0 is the highest.
    """
    return latest_start + priority_index(priority) * PRECEDENCE_OFFSET_S
