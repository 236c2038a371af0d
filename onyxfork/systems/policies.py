"""Placement policies: which worker gets the next task, if any yet.

Every policy sees the same tables. A policy that returns None leaves the task waiting at its owner,
where a freed slot anywhere can still take it (late binding); the baselines bind on arrival and let
the task queue at the worker they chose.

References
----------
M. Mitzenmacher, "The power of two choices in randomized load balancing", 2001.
K. Ousterhout et al., "Sparrow: distributed, low latency scheduling", 2013.
"""

from abc import ABC, abstractmethod
from heapq import heappop

__all__ = [
    "PlacementPolicy",
    "RandomPlacement",
    "TwoChoices",
    "BatchSampling",
    "LeastExpectedWait",
    "LearnedEstimate",
    "LateBinding",
    "POLICIES",
    "policy_named",
]


class PlacementPolicy(ABC):
    """Chooses a worker for the next waiting task."""

    name = ""

    @abstractmethod
    def choose(self, state, submission, index):
        """Return the worker for a task, or None to let it wait.

        Parameters
        ----------
        state : Dispatch
        submission : Submission
        index : int

        Returns
        -------
        Worker or None
        """

    def learn(self, state, worker, response_ms, expected_ms):  # noqa: B027
        """Take the end of a task into account; most policies learn nothing here."""


def candidates(state, submission):
    """Return the serving workers that could run a task of the submission."""
    shape = submission.lane.shape
    return [
        worker
        for worker in state.workers.values()
        if worker.state in ("serving", "probing") and worker.could_ever_fit(shape)
    ]


class RandomPlacement(PlacementPolicy):
    """Any worker, at once."""

    name = "random"

    def choose(self, state, submission, index):
        found = candidates(state, submission)
        return state.rng.choice(found) if found else None


class TwoChoices(PlacementPolicy):
    """The less loaded of two workers drawn at random, at once."""

    name = "two-choices"

    def choose(self, state, submission, index):
        found = candidates(state, submission)
        if not found:
            return None
        drawn = state.rng.sample(found, min(2, len(found)))
        return max(drawn, key=lambda worker: worker.free)


class BatchSampling(PlacementPolicy):
    """The least loaded workers of a sample drawn for the whole job, bound when a slot is free.

    A job of m tasks draws 2m workers; its tasks wait until one of them has a free slot, and do not
    look elsewhere.
    """

    name = "batch-sampling"

    def __init__(self):
        self.samples = {}

    def choose(self, state, submission, index):
        sample = self.sample_for(state, submission)
        free = [worker for worker in sample if worker.free > 0 and worker.state == "serving"]
        if not free:
            return None
        return max(free, key=lambda worker: worker.free)

    def sample_for(self, state, submission):
        """Return the workers drawn for a submission, drawing again when none serves."""
        sample = self.samples.get(submission.name)
        if sample is None or not any(worker.state == "serving" for worker in sample):
            found = candidates(state, submission)
            count = min(len(found), 2 * len(submission.attempts))
            sample = state.rng.sample(found, count)
            if len(self.samples) > 10_000:
                self.samples.clear()
            self.samples[submission.name] = sample
        return sample


class LeastExpectedWait(PlacementPolicy):
    """The worker with the least expected wait by its outstanding work and speed, at once."""

    name = "least-wait"

    def choose(self, state, submission, index):
        found = candidates(state, submission)
        if not found:
            return None
        return min(found, key=expected_wait)


def expected_wait(worker):
    """Return outstanding work a slot, scaled by how slow the worker is."""
    return (len(worker.outstanding) + 1) / max(1, worker.slots) * worker.speed


class LearnedEstimate(PlacementPolicy):
    """The worker with the best learned reward, explored with falling probability.

    A value for each worker is moved towards the reward of each task placed there, which is the
    expected over the actual response; with probability 1/t a random worker is tried instead.

    References
    ----------
    "A self-learning proxy network": Q values of a proxy's upstreams with a policy that is greedy
    in the limit with infinite exploration.
    """

    name = "learned"
    learning_rate = 0.1

    def __init__(self):
        self.values = {}
        self.steps = 0

    def choose(self, state, submission, index):
        found = candidates(state, submission)
        if not found:
            return None
        self.steps += 1
        if state.rng.randrange(self.steps) == 0:
            return state.rng.choice(found)
        return max(found, key=lambda worker: self.values.get(worker.name, 1.0))

    def learn(self, state, worker, response_ms, expected_ms):
        reward = min(1.0, expected_ms / max(response_ms, 0.001))
        value = self.values.get(worker.name, 1.0)
        self.values[worker.name] = value + self.learning_rate * (reward - value)


class LateBinding(PlacementPolicy):
    """The worker with the most free slots; otherwise the task waits at its owner.

    While work waits, one task is sent ahead to a worker where a task is about to end, so that the
    freed slot is not idle for a round trip; sent earlier, it would take the slot from more urgent
    work that arrives meanwhile. Slow workers take a task only when waiting for a fast one would
    take longer.
    """

    name = "late-binding"

    def choose(self, state, submission, index):
        shape = submission.lane.shape
        worker = state.index.find_most_free(shape, 1)
        if worker is not None:
            return worker
        worker = self.choose_slow(state, submission, index)
        if worker is not None:
            return worker
        tuning = state.tuning
        if not tuning.prefetch or state.waiting_tasks <= tuning.prefetch_backlog * len(state.index):
            return None
        return find_ending_worker(state, shape)

    def choose_slow(self, state, submission, index):
        """Return a free slow worker that would still end the task before a fast one."""
        if not state.slow_workers:
            return None
        waiting_ms = sum(state.waiting_ms.values())
        wait_ms = waiting_ms / max(1, state.index.total_slots)
        for worker in state.slow_workers.values():
            extra_ms = (worker.speed - 1.0) * submission.expected[index]
            if worker.free > 0 and extra_ms <= wait_ms and worker.fits_now(submission.lane.shape):
                return worker
        return None


def find_ending_worker(state, shape):
    """Return a fully used worker one of whose tasks is expected to end in a moment, or None.

    The next moment at which there may be one is noted for the owner's timer.
    """
    horizon = state.now + state.tuning.prefetch_lead_s
    while state.expected_ends:
        at, _, worker, key = state.expected_ends[0]
        usable = key in worker.outstanding and worker.free == 0 and worker.state == "serving"
        if usable and at > horizon:
            state.wake_at = min(state.wake_at, at - state.tuning.prefetch_lead_s)
            return None
        heappop(state.expected_ends)
        if usable and worker.fits_now(shape):
            return worker
    return None


POLICIES = {
    policy.name: policy
    for policy in (
        RandomPlacement,
        TwoChoices,
        BatchSampling,
        LeastExpectedWait,
        LearnedEstimate,
        LateBinding,
    )
}


def policy_named(name):
    """Return a new policy by its name.

    Raises
    ------
    KeyError
        When there is none of that name.
    """
    return POLICIES[name]()
