"""Numbers that steer decisions of an owner; part of an entry's settings."""

from attrs import define, field

__all__ = ["Tuning"]


@define
class Tuning:
    """Numbers that steer decisions.

    Parameters
    ----------
    order_offset_s : dict
        Seconds by which a less urgent submission yields to a more urgent one that arrives later;
        finite, so that nothing starves.
    size_bias : float
        Larger work yields to smaller by this many times the time it would hold all slots.
    prefetch : int
        Whether a task is sent ahead to a worker about to have a free slot; 0 or 1.
    prefetch_backlog : float
        Waiting tasks over workers from which tasks are sent ahead.
    prefetch_lead_s : float
        How long before the expected end of a task.
    eject_failures : float
        Weighted share of failures above which a worker is ejected.
    max_ejected_share : float
        Ejected workers are never more than this share of the cell.
    slow_speed : float
        Workers slower than this are used only when waiting would take longer.
    max_waiting_tasks : int
        Bound on tasks waiting in this process.
    answer_retention_s : float
        How long answers are kept for resubmissions.
    max_kept_outputs : int
        Outputs of tasks kept in answers for resubmissions; beyond it the oldest answers are
        dropped, and only that they were given is kept.
    lost_after_s : float
        A worker unreachable for this long is given up with everything outstanding on it.
    """

    order_offset_s: dict[str, float] = field(
        factory=lambda: {"highest": 0.0, "urgent": 30.0, "normal": 60.0, "low": 120.0}
    )
    size_bias: float = 12.0
    prefetch: int = 1
    prefetch_backlog: float = 0.5
    prefetch_lead_s: float = 0.015
    eject_failures: float = 0.5
    eject_min_bad: int = 3
    eject_s: float = 5.0
    max_eject_s: float = 60.0
    max_ejected_share: float = 0.34
    slow_speed: float = 1.6
    max_waiting_tasks: int = 200_000
    answer_retention_s: float = 300.0
    max_kept_outputs: int = 100_000
    lost_after_s: float = 8.0
    stop_min_ms: float = 50.0
