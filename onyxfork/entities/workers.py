"""Workers of a cell as known to its owner, and an index of them by free slots.

The index keeps the workers of one capacity class in buckets by free slots, so that the cost of
choosing the least loaded worker does not grow with the number of workers.
"""

from collections import OrderedDict

from attrs import define, field

from onyxfork.entities.outcomes import Outcome

__all__ = ["Worker", "WorkerIndex", "Shape"]

SPEED_EMA_WEIGHT = 0.1
"""Weight of a new sample of `Worker.speed` after the first samples, which weigh more."""

FAILURE_EMA_WEIGHT = 0.2
"""Weight of a new sample of `Worker.failures`."""


@define(frozen=True)
class Shape:
    """Resources that one task needs on its worker."""

    processors: float = 0.0
    memory_mb: float = 0.0
    accelerators: float = 0.0

    def fits(self, processors, memory_mb, accelerators):
        """Return whether the task fits into the given resources."""
        return (
            self.processors <= processors
            and self.memory_mb <= memory_mb
            and self.accelerators <= accelerators
        )


@define(eq=False, slots=True)
class Worker:
    """A worker of the cell.

    Parameters
    ----------
    slots : int
        Upper bound on outstanding tasks that run at the same time; 1 while `state` is ``probing``.
    state : str
        ``serving``, ``leaving``, ``ejected``, ``probing`` (one task at a time after an ejection)
        or ``lost`` (its connection has ended).
    outstanding : dict
        Maps the key of each task sent and not yet ended to its submission.
    speed : float
        Exponential moving average of actual over expected run time; 5 means five times as slow as
        expected.
    samples : int
        Number of run times in `speed`.
    failures : float
        Exponential moving average of failures: 1 for a task that failed or was lost, otherwise 0.
    ended_well, ended_badly : int
        Number of tasks that succeeded, and that failed or were lost.
    ejections : int
        Number of ejections; each doubles the time of the next.
    lost_at : float
        Monotonic time at which its connection ended.
    probe_slots : int
        The value of `slots` to restore after a successful probe.
    latest_issued_ms : int
        Latest time of issue among the submissions sent to it by any owner.
    """

    name: str
    zone: str
    rack: str
    slots: int
    processors: float = 0.0
    memory_mb: float = 0.0
    accelerators: float = 0.0
    incarnation: str = ""
    state: str = "serving"
    outstanding: dict[tuple[str, int], object] = field(factory=dict)
    used_processors: float = 0.0
    used_memory_mb: float = 0.0
    used_accelerators: float = 0.0
    speed: float = 1.0
    samples: int = 0
    failures: float = 0.0
    ended_well: int = 0
    ended_badly: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    lost_at: float = 0.0
    probe_slots: int = 0
    latest_issued_ms: int = 0

    @property
    def free(self):
        """Slots without an outstanding task; negative when tasks queue at the agent."""
        return self.slots - len(self.outstanding)

    @property
    def capacity(self):
        """The capacity class: the worker's declared resources."""
        return (self.processors, self.memory_mb, self.accelerators)

    def could_ever_fit(self, shape):
        """Return whether a task of `shape` fits on the worker while nothing else runs there."""
        return self.slots > 0 and shape.fits(*self.capacity)

    def fits_now(self, shape):
        """Return whether a task of `shape` fits beside the outstanding ones."""
        return shape.fits(
            self.processors - self.used_processors,
            self.memory_mb - self.used_memory_mb,
            self.accelerators - self.used_accelerators,
        )

    def reserve(self, key, submission):
        """Count a task as outstanding."""
        shape = submission.lane.shape
        self.outstanding[key] = submission
        self.used_processors += shape.processors
        self.used_memory_mb += shape.memory_mb
        self.used_accelerators += shape.accelerators

    def release(self, key):
        """Count a task as ended; return its submission, or None when it was not outstanding."""
        submission = self.outstanding.pop(key, None)
        if submission is None:
            return None
        shape = submission.lane.shape
        self.used_processors -= shape.processors
        self.used_memory_mb -= shape.memory_mb
        self.used_accelerators -= shape.accelerators
        return submission

    def learn(self, outcome, ratio):
        """Update the averages of speed and failures by the end of one task.

        Parameters
        ----------
        outcome : Outcome
        ratio : float
            Actual over expected run time; values above 20 count as 20.
        """
        failed = outcome in (Outcome.FAILED, Outcome.LOST)
        self.failures += FAILURE_EMA_WEIGHT * (float(failed) - self.failures)
        if failed:
            self.ended_badly += 1
            return
        self.ended_well += 1
        self.samples += 1
        weight = max(SPEED_EMA_WEIGHT, 1 / (self.samples + 1))
        self.speed += weight * (min(ratio, 20.0) - self.speed)


class WorkerIndex:
    """Workers on which tasks may be placed, by capacity class and free slots.

    The first worker of a bucket is the one that has been in it longest. A bucket is an ordered
    dictionary: looking up the first item of a plain one skips all entries deleted before it and
    so takes time linear in their number.

    Attributes
    ----------
    buckets_by_capacity : dict
        Maps a capacity class to a dict from free slots to a bucket, a dict of workers by name.
    bucket_positions : dict
        Maps a worker's name to the buckets of its class, and its free and total slots when it was
        added.
    total_slots : int
        Slots of all workers in the index.
    """

    def __init__(self):
        self.buckets_by_capacity = {}
        self.bucket_positions = {}
        self.total_slots = 0

    def __len__(self):
        return len(self.bucket_positions)

    def add(self, worker):
        """Add a worker, or move it to the bucket of its current free slots."""
        free, slots = worker.free, worker.slots
        position = self.bucket_positions.get(worker.name)
        if position is None:
            buckets = self.buckets_by_capacity.setdefault(worker.capacity, {})
        else:
            buckets, former_free, former_slots = position
            if former_free == free and former_slots == slots:
                return
            self.remove_from_bucket(buckets, former_free, worker)
            self.total_slots -= former_slots
        bucket = buckets.get(free)
        if bucket is None:
            bucket = buckets[free] = OrderedDict()
        bucket[worker.name] = worker
        self.bucket_positions[worker.name] = (buckets, free, slots)
        self.total_slots += slots

    @staticmethod
    def remove_from_bucket(buckets, free, worker):
        """Remove a worker from one bucket, and the bucket when it is empty."""
        bucket = buckets[free]
        del bucket[worker.name]
        if not bucket:
            del buckets[free]

    def remove(self, worker):
        """Remove a worker; ignore one that is not in the index."""
        position = self.bucket_positions.pop(worker.name, None)
        if position is None:
            return
        buckets, free, slots = position
        self.remove_from_bucket(buckets, free, worker)
        self.total_slots -= slots
        if not buckets:
            self.buckets_by_capacity = {
                capacity: by_free
                for capacity, by_free in self.buckets_by_capacity.items()
                if by_free
            }

    def find_most_free(self, shape, min_free):
        """Return the worker with the most free slots on which a task fits.

        Parameters
        ----------
        shape : Shape
        min_free : int
            Workers with fewer free slots are not considered.

        Returns
        -------
        Worker or None
        """
        chosen = None
        for capacity, buckets in self.buckets_by_capacity.items():
            if not shape.fits(*capacity):
                continue
            worker = first_fitting_worker(buckets, shape, min_free)
            if worker is not None and (chosen is None or worker.free > chosen.free):
                chosen = worker
        return chosen

    def has_free_slots(self, min_free):
        """Return whether any worker has at least `min_free` free slots."""
        return any(max(buckets) >= min_free for buckets in self.buckets_by_capacity.values())

    def could_ever_fit(self, shape):
        """Return whether a task of `shape` fits into any capacity class."""
        return any(shape.fits(*capacity) for capacity in self.buckets_by_capacity)


def first_fitting_worker(buckets, shape, min_free):
    """Return a worker with free capacity for `shape`, from the bucket with the most free slots."""
    for free in sorted(buckets, reverse=True):
        if free < min_free:
            return None
        for worker in buckets[free].values():
            if worker.fits_now(shape):
                return worker
    return None
