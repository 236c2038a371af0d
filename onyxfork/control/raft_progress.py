"""The leader's view of how far each member has replicated the log."""

from attrs import define

__all__ = ["Progress"]


@define
class Progress:
    """Replication progress of one member.

    Parameters
    ----------
    next_index : int
        Index of the next entry to send.
    match_index : int
        Highest index up to which the member's log is known to match the leader's.
    last_contact_at : float
        When the member last replied, in monotonic seconds.
    acknowledged_round : int
        Latest heartbeat round that the member has replied to.
    snapshot_sent_at : float
        When a snapshot was last requested for the member, in monotonic seconds.
    """

    next_index: int
    match_index: int = 0
    last_contact_at: float = 0.0
    acknowledged_round: int = 0
    snapshot_sent_at: float = float("-inf")
