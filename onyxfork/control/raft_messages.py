"""Messages between replicas, log entries and the set of members.

References
----------
D. Ongaro, "Consensus: bridging theory and practice", 2014.
"""

from typing import Any

from attrs import define, field

from onyxfork.messages.codec import message

__all__ = [
    "Entry",
    "Members",
    "VoteRequest",
    "VoteReply",
    "Append",
    "AppendReply",
    "InstallSnapshot",
    "TimeoutNow",
    "Join",
]

COMMAND = 0
MEMBERS = 1
NOOP = 2


@define(slots=True)
class Entry:
    """One log entry.

    `kind` is COMMAND (`data` is a command of the state machine), MEMBERS (`data` is the new set of
    members) or NOOP (`data` is empty; appended by each new leader).
    """

    index: int
    term: int
    kind: int
    data: bytes


@define
class Members:
    """Addresses of the replicas (``ip:port``) by identity.

    An identity is the node name, ``#`` and a suffix: ``0`` for the first voters, and a random one
    for each data folder that is created later.
    Learners receive the log but have no vote.
    """

    voters: dict[str, str] = field(factory=dict)
    learners: dict[str, str] = field(factory=dict)

    @property
    def addresses(self):
        """Addresses of voters and learners by identity."""
        return {**self.voters, **self.learners}

    @property
    def quorum(self):
        """Number of voters that form a majority."""
        return len(self.voters) // 2 + 1


@message(50)
@define
class VoteRequest:
    """Requests a vote; with `pre_vote` set, asks only whether the vote would be granted.

    `forced` is set during a leadership transfer: the receiver replies although it is in contact
    with a leader.
    """

    term: int
    candidate: str
    last_index: int
    last_term: int
    pre_vote: bool
    forced: bool


@message(51)
@define
class VoteReply:
    """The reply to a `VoteRequest` with the same `pre_vote`.

    `term` is that of the request when a pre-vote is granted, otherwise that of the voter.
    """

    term: int
    voter: str
    granted: bool
    pre_vote: bool


@message(52)
@define
class Append:
    """Sends entries that follow `previous_index`; a heartbeat when there are none.

    `commit` is the leader's commit index. `round` is the number of its heartbeat round: a read is
    confirmed once a majority has replied to a round that began after it.
    """

    term: int
    leader: str
    previous_index: int
    previous_term: int
    entries: list[Entry]
    commit: int
    round: int


@message(53)
@define
class AppendReply:
    """The reply to an `Append` or `InstallSnapshot`.

    On success `match_index` is the index up to which the member's log matches the leader's; on
    failure it is the highest index at which the logs may match.
    """

    term: int
    member: str
    success: bool
    match_index: int
    round: int


@message(54)
@define
class InstallSnapshot:
    """Sends the state as of `index` to a replica that needs entries already compacted."""

    term: int
    leader: str
    index: int
    entry_term: int
    members: Members
    state: bytes
    round: int


@message(55)
@define
class TimeoutNow:
    """Tells the receiver to start an election at once; completes a leadership transfer."""

    term: int
    leader: str


@message(56)
@define
class Join:
    """Asks for a replica that is not a member to be added as a learner.

    `member` is the replica's identity and `name` its node name. `extra` marks a request that
    another instance has forwarded to the leader, so that it is not forwarded a second time.
    """

    member: str
    name: str
    address: str
    extra: Any = None
