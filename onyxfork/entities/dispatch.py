"""State of the owner of a cell: tables that its decision systems read and change."""

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
    """Messages to send and answers to deliver after a tick.

    Parameters
    ----------
    starts, revokes, stops, fetches : dict
        Map a worker's name to the items of its next message of that kind.
    answered : list of Submission
        Submissions whose final answer was decided in this tick.
    """

    starts: dict[str, list[TaskStart]] = field(factory=lambda: defaultdict(list))
    revokes: dict[str, list[TaskId]] = field(factory=lambda: defaultdict(list))
    stops: dict[str, list[TaskId]] = field(factory=lambda: defaultdict(list))
    fetches: dict[str, list[TaskId]] = field(factory=lambda: defaultdict(list))
    answered: list[Submission] = field(factory=list)


@define
class RunTimes:
    """Learned run time of a job.

    Parameters
    ----------
    mean_ms : float
        Exponential moving average of run times.
    ratio : float
        Exponential moving average of the ratio of actual to declared run time.
    samples : int
        Number of run times learned.
    """

    mean_ms: float
    ratio: float = 1.0
    samples: int = 0


@define(eq=False)
class Takeover:
    """What an owner knows of the tasks that workers began for the former owner.

    Parameters
    ----------
    at_wall_ms : int or None
        Wall-clock time at which this process took over; None when the cell had no owner before.
    ends_at : float
        Monotonic seconds after which every identifier from before the takeover has expired.
    unreported_workers : dict
        Maps the name of each worker that has not yet reported its tasks to this owner to the
        wall-clock time in milliseconds up to which it may have begun tasks.
    lost_workers : dict
        The same for workers that were lost before they reported their tasks.
    latest_restart_ms : int
        Latest restart of any worker; a restarted agent has no record of tasks begun before.
    begun_tasks : dict
        Maps the name of a submission to its tasks that had begun: index to worker's name.
    held_submissions : list of str
        Names of submissions that are held until the workers that may have begun them have
        reported or are lost.
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
    """State of the owner of one cell.

    Parameters
    ----------
    cell : str
        Name of the cell.
    policy : PlacementPolicy
    tuning : Tuning
    rng : random.Random
        The only source of randomness.
    epoch : int
        Epoch of this ownership.
    catalogue : Catalogue
        The configuration in force.
    workers : dict
        Workers that have accepted this owner, by name, until they are dropped.
    index : WorkerIndex
        Workers on which tasks may be placed, except slow ones.
    slow_workers, ejected_workers : dict
        Workers by name.
    recent_incarnations : dict
        Maps a worker's name to its recent incarnations and the time each was first seen.
    submissions : dict
        Submissions by name, answered ones included until their retention ends.
    lanes : dict
        Lanes by key.
    ready_lanes : list
        Heap of lanes that have waiting tasks and are not blocked, as (order of the first
        submission, sequence, lane).
    ready_sequence : int
        Tie-breaker of entries in `ready_lanes` and `expected_ends`.
    limits : dict
        Limits by name.
    shares : dict
        This owner's leased share of each limit, by the limit's name.
    default_share : float
        Share of limits that are not in `shares`.
    run_times : dict
        Learned run times by organisation, service and job.
    organisation_tags : dict
        Start tags of fair queueing between organisations, by name.
    deadlines, answer_expiries : list
        Heaps of (time, name of a submission).
    expected_ends : list
        Heap of (expected end, sequence, worker, key) of dispatched tasks. Ended tasks may still be
        in it.
    now : float
        Time of the current placement, for policies.
    blocking_limits : dict
        Limits, by name, that block lanes.
    limit_holds : list
        Heap of (time, tie-breaker, lane): until that time a task of a lost worker counts against
        the limits of its lane.
    takeover : Takeover
    answered_with_outputs : deque
        Answered submissions whose outputs are kept, oldest first.
    kept_outputs : int
        Number of outputs in these.
    waiting_tasks : int
        Tasks that wait in all lanes.
    waiting_ms : dict
        Maps an urgency to the expected run time of its waiting tasks.
    outbox : Outbox
    wake_at : float
        Earliest time at which placement must be tried again without a message.
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
    blocking_limits: dict[str, Limit] = field(factory=dict)
    limit_holds: list[tuple[float, int, Lane]] = field(factory=list)
    takeover: Takeover = field(factory=lambda: Takeover())
    answered_with_outputs: deque = field(factory=deque)
    kept_outputs: int = 0
    waiting_tasks: int = 0
    waiting_ms: dict[str, float] = field(factory=lambda: defaultdict(float))
    outbox: Outbox = field(factory=Outbox)
    wake_at: float = float("inf")

    def take_outbox(self):
        """Return the outbox and replace it by an empty one."""
        outbox, self.outbox = self.outbox, Outbox()
        return outbox
