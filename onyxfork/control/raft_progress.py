"""What the leader of the log knows of each member."""

from attrs import define

__all__ = ["Progress"]


@define
class Progress:
    """What the leader knows of one member."""

    next_index: int
    match: int = 0
    heard_at: float = 0.0
    round: int = 0
    snapshot_sent_at: float = float("-inf")
