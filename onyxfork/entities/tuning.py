"""Parameters of an owner's decisions; part of the settings of an entry."""

from attrs import define, field

__all__ = ["Tuning"]


@define
class Tuning:
    """Parameters of an owner's decisions.

    Parameters
    ----------
    order_offset_s : dict
        Seconds added to the order of a submission, by urgency. The difference of two offsets is
        how much later the more urgent submission may arrive and still be placed first. They are
        finite, so that no submission starves.
    size_bias : float
        The time that a submission would occupy all slots is added to its order this many times, so
        that larger submissions go after smaller ones.
    prefetch : int
        Whether a task is sent to a fully used worker shortly before a slot is expected to be free;
        0 or 1.
    prefetch_backlog : float
        Tasks are prefetched only while more than this many tasks wait for each worker.
    prefetch_lead_s : float
        How long before the expected end of a task the next one is sent.
    eject_failures : float
        A worker is ejected when the exponential moving average of its failures reaches this value.
    eject_min_bad : int
        Failed or lost tasks of a worker before it may be ejected.
    eject_s : float
        Duration of the first ejection; it doubles with each further one.
    max_eject_s : float
        Upper bound on the duration of an ejection.
    max_ejected_share : float
        Upper bound on the share of the cell's workers that are ejected at the same time.
    slow_speed : float
        Workers whose relative run time is above this value take a task only when waiting for
        another worker would take longer.
    max_waiting_tasks : int
        Upper bound on tasks that wait in this process.
    answer_retention_s : float
        How long answers are kept for resubmissions.
    max_kept_outputs : int
        Upper bound on task outputs kept in answers; beyond it the oldest answers lose their
        outputs, and a resubmission is answered that it already ran.
    lost_after_s : float
        A worker that is unreachable for this long is dropped; its outstanding tasks count as lost.
    stop_min_ms : float
        Accepted in settings; no decision reads it.
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
