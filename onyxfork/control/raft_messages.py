"""Messages between the replicas of the log.

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
    """One log entry; `kind` is COMMAND, MEMBERS or NOOP."""

    index: int
    term: int
    kind: int
    data: bytes


@define
class Members:
    """Replicas by identity, with addresses as ``ip:port``. Learners receive but do not vote."""

    voters: dict[str, str] = field(factory=dict)
    learners: dict[str, str] = field(factory=dict)

    @property
    def addresses(self):
        """Addresses of voters and learners by identity."""
        return {**self.voters, **self.learners}

    @property
    def quorum(self):
        """How many voters make a majority."""
        return len(self.voters) // 2 + 1


@message(50)
@define
class VoteRequest:
    """Asks for a vote; with `pre` set, only whether the vote would be given."""

    term: int
    candidate: str
    last_index: int
    last_term: int
    pre: bool
    forced: bool


@message(51)
@define
class VoteReply:
    """The answer to a `VoteRequest` of the same term and kind."""

    term: int
    voter: str
    granted: bool
    pre: bool


@message(52)
@define
class Append:
    """Entries after `previous_index`, and a heartbeat when there are none.

    `round` numbers the leader's rounds of contact, so that replies prove leadership for reads.
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
    """How far the log of `member` matches the leader's; on a refusal, where it may match."""

    term: int
    member: str
    success: bool
    match: int
    round: int


@message(54)
@define
class InstallSnapshot:
    """The state as of `index`, for a replica that lags behind the log."""

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
    """Asks the receiver to stand for election at once; sent on a planned hand-over."""

    term: int
    leader: str


@message(56)
@define
class Join:
    """A replica without a vote asks to become a member."""

    member: str
    name: str
    address: str
    extra: Any = None
