"""Workers as the owner of a cell sees them, and an index that finds a free one.

The index keeps workers of one capacity class in buckets by free slots, so that choosing the least
loaded worker costs the same with ten workers as with thousands.
"""

from collections import OrderedDict

from attrs import define, field

from onyxfork.entities.outcomes import Outcome

__all__ = ["Worker", "WorkerIndex", "Shape"]

SPEED_WEIGHT = 0.1
FAILURE_WEIGHT = 0.2


@define(frozen=True)
class Shape:
    """Resources that one task takes from its worker."""

    processors: float = 0.0
    memory_mb: float = 0.0
    accelerators: float = 0.0

    def fits(self, processors, memory_mb, accelerators):
        """Return whether the task fits into what is given."""
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
    outstanding : dict
        Maps the key of each task sent and not yet ended to its submission.
    speed : float
        Run times here relative to the average of the job; 5 is five times slow.
    failures : float
        Weighted share of recent tasks that failed here.
    latest_issued_ms : int
        Latest time of issue among the submissions that it was ever sent, by any owner.
    state : str
        ``serving``, ``leaving``, ``ejected``, ``probing`` or ``lost``.
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
        """The capacity class: workers alike in every declared size."""
        return (self.processors, self.memory_mb, self.accelerators)

    def could_ever_fit(self, shape):
        """Return whether a task of `shape` fits on the empty worker."""
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
        """Take the end of one task into the estimates of speed and failures."""
        bad = outcome in (Outcome.FAILED, Outcome.LOST)
        self.failures += FAILURE_WEIGHT * (float(bad) - self.failures)
        if bad:
            self.ended_badly += 1
            return
        self.ended_well += 1
        self.samples += 1
        weight = max(SPEED_WEIGHT, 1 / (self.samples + 1))
        self.speed += weight * (min(ratio, 20.0) - self.speed)


class WorkerIndex:
    """Serving workers by capacity class and free slots.

    A bucket gives the worker that has waited longest in it. It is an ordered dictionary, because
    the first item of a plain one is found only after the places of all that were taken out.

    Attributes
    ----------
    buckets_by_capacity : dict
        Maps a capacity class to a dict from free slots to a dict of workers by name.
    total_slots : int
        Slots of all workers in the index.
    """

    def __init__(self):
        self.buckets_by_capacity = {}
        self.places = {}
        self.total_slots = 0

    def __len__(self):
        return len(self.places)

    def add(self, worker):
        """Put a worker in, or move it to the bucket of its current free slots."""
        free, slots = worker.free, worker.slots
        place = self.places.get(worker.name)
        if place is None:
            buckets = self.buckets_by_capacity.setdefault(worker.capacity, {})
        else:
            buckets, before, slots_before = place
            if before == free and slots_before == slots:
                return
            self.leave_bucket(buckets, before, worker)
            self.total_slots -= slots_before
        bucket = buckets.get(free)
        if bucket is None:
            bucket = buckets[free] = OrderedDict()
        bucket[worker.name] = worker
        self.places[worker.name] = (buckets, free, slots)
        self.total_slots += slots

    @staticmethod
    def leave_bucket(buckets, free, worker):
        """Take a worker out of one bucket, and drop the bucket when it is empty."""
        bucket = buckets[free]
        del bucket[worker.name]
        if not bucket:
            del buckets[free]

    def remove(self, worker):
        """Take a worker out; unknown workers are ignored."""
        place = self.places.pop(worker.name, None)
        if place is None:
            return
        buckets, free, slots = place
        self.leave_bucket(buckets, free, worker)
        self.total_slots -= slots
        if not buckets:
            self.buckets_by_capacity = {
                key: kept for key, kept in self.buckets_by_capacity.items() if kept
            }

    def find_most_free(self, shape, least_free):
        """Return the worker with the most free slots on which a task fits.

        Parameters
        ----------
        shape : Shape
        least_free : int
            Workers with fewer free slots are not considered.

        Returns
        -------
        Worker or None
        """
        chosen = None
        for capacity, buckets in self.buckets_by_capacity.items():
            if not shape.fits(*capacity):
                continue
            worker = first_fitting(buckets, shape, least_free)
            if worker is not None and (chosen is None or worker.free > chosen.free):
                chosen = worker
        return chosen

    def has_room(self, least_free):
        """Return whether any worker has at least `least_free` slots."""
        return any(max(buckets) >= least_free for buckets in self.buckets_by_capacity.values())

    def could_ever_fit(self, shape):
        """Return whether any capacity class takes a task of `shape`."""
        return any(shape.fits(*capacity) for capacity in self.buckets_by_capacity)


def first_fitting(buckets, shape, least_free):
    """Return a worker of the fullest-free bucket that has room for `shape`."""
    for free in sorted(buckets, reverse=True):
        if free < least_free:
            return None
        for worker in buckets[free].values():
            if worker.fits_now(shape):
                return worker
    return None
