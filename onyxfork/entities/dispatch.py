"""The tables from which the owner of cells decides."""

from collections import defaultdict, deque
from random import Random

from attrs import define, field

from onyxfork.entities.limits import Limit
from onyxfork.entities.submissions import Lane, Submission
from onyxfork.entities.tuning import Tuning
from onyxfork.entities.workers import Worker, WorkerIndex
from onyxfork.messages import TaskId, TaskStart

__all__ = ["Dispatch", "Outbox", "RunTimes", "Takeover"]


@define
class Outbox:
    """What the daemon has to send or do after a tick.

    Parameters
    ----------
    starts, revokes, stops, fetches : dict
        Map a worker's name to messages' items.
    answered : list of Submission
        Submissions that have just got their final answer.
    """

    starts: dict[str, list[TaskStart]] = field(factory=lambda: defaultdict(list))
    revokes: dict[str, list[TaskId]] = field(factory=lambda: defaultdict(list))
    stops: dict[str, list[TaskId]] = field(factory=lambda: defaultdict(list))
    fetches: dict[str, list[TaskId]] = field(factory=lambda: defaultdict(list))
    answered: list[Submission] = field(factory=list)


@define
class RunTimes:
    """Learned run time of a job: the mean, and the ratio of actual to declared."""

    mean_ms: float
    ratio: float = 1.0
    samples: int = 0


@define(eq=False)
class Takeover:
    """What a new owner found on the workers of its cell.

    Parameters
    ----------
    at_wall_ms : int or None
        When this process became owner after another one; None when there was none before.
    ends_at : float
        Monotonic seconds after which every key from before the takeover has expired.
    unreported_workers : dict
        Workers that have not yet told what they started for the former owner, with the wall-clock
        time in milliseconds up to which they may have started anything.
    lost_workers : dict
        Workers that were given up before they could tell, with the same time.
    latest_restart_ms : int
        When the worker that restarted last did so; what began before may be forgotten there.
    begun_tasks : dict
        Maps a submission to the tasks that a worker had already begun: index to worker.
    held_submissions : list of str
        Submissions that wait until every worker is accounted for.
    """

    at_wall_ms: int | None = None
    ends_at: float = float("inf")
    unreported_workers: dict[str, float] = field(factory=dict)
    lost_workers: dict[str, float] = field(factory=dict)
    latest_restart_ms: int = 0
    begun_tasks: dict[str, dict[int, str]] = field(factory=dict)
    held_submissions: list[str] = field(factory=list)


@define(eq=False)
class Dispatch:
    """Tables of one owner.

    Parameters
    ----------
    cell : str
    epoch : int
    tuning : Tuning
    policy : PlacementPolicy
    rng : random.Random
        The only source of randomness.
    """

    cell: str
    policy: object
    tuning: Tuning = field(factory=Tuning)
    rng: Random = field(factory=lambda: Random(0))
    epoch: int = 0
    catalogue: object = None
    workers: dict[str, Worker] = field(factory=dict)
    index: WorkerIndex = field(factory=WorkerIndex)
    slow_workers: dict[str, Worker] = field(factory=dict)
    ejected_workers: dict[str, Worker] = field(factory=dict)
    recent_incarnations: dict[str, dict[str, float]] = field(factory=dict)
    submissions: dict[str, Submission] = field(factory=dict)
    lanes: dict[tuple, Lane] = field(factory=dict)
    ready_lanes: list[tuple[float, int, Lane]] = field(factory=list)
    ready_sequence: int = 0
    limits: dict[str, Limit] = field(factory=dict)
    shares: dict[str, float] = field(factory=dict)
    default_share: float = 1.0
    run_times: dict[tuple, RunTimes] = field(factory=dict)
    organisation_tags: dict[str, float] = field(factory=dict)
    deadlines: list[tuple[float, str]] = field(factory=list)
    answer_expiries: list[tuple[float, str]] = field(factory=list)
    expected_ends: list[tuple[float, int, Worker, tuple]] = field(factory=list)
    now: float = 0.0
    parked_limits: dict[str, Limit] = field(factory=dict)
    limit_holds: list[tuple[float, int, Lane]] = field(factory=list)
    takeover: Takeover = field(factory=lambda: Takeover())
    answered_with_outputs: deque = field(factory=deque)
    kept_outputs: int = 0
    waiting_tasks: int = 0
    waiting_ms: dict[str, float] = field(factory=lambda: defaultdict(float))
    outbox: Outbox = field(factory=Outbox)
    wake_at: float = float("inf")

    def take_outbox(self):
        """Return what has collected since the last call."""
        outbox, self.outbox = self.outbox, Outbox()
        return outbox
