"""Placement policies: the choice of a worker for the next task, or of none yet.

All policies decide from the same tables. A policy that returns None leaves the task waiting at its
owner, which can still place it on whichever slot becomes free first (late binding). The baselines
bind on arrival and let the task queue at the worker they chose.

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
    """Choice of a worker for the next waiting task."""

    name = ""

    @abstractmethod
    def choose(self, state, submission, index):
        """Return the worker for a task, or None to leave it waiting.

        Parameters
        ----------
        state : Dispatch
        submission : Submission
        index : int
            Index of the task in the submission.

        Returns
        -------
        Worker or None
        """

    def learn(self, state, worker, response_ms, expected_ms):  # noqa: B027
        """Update the policy from the response time of an ended task; does nothing by default.

        Parameters
        ----------
        state : Dispatch
        worker : Worker
        response_ms : float
            Time queued and run at the worker; infinite when the task was not done.
        expected_ms : float
            Run time expected on arrival.
        """


def candidates(state, submission):
    """Return the serving and probing workers on which a task of the submission fits when empty."""
    shape = submission.lane.shape
    return [
        worker
        for worker in state.workers.values()
        if worker.state in ("serving", "probing") and worker.could_ever_fit(shape)
    ]


class RandomPlacement(PlacementPolicy):
    """A worker drawn at random, bound on arrival."""

    name = "random"

    def choose(self, state, submission, index):
        eligible = candidates(state, submission)
        return state.rng.choice(eligible) if eligible else None


class TwoChoices(PlacementPolicy):
    """The less loaded of two workers drawn at random, bound on arrival."""

    name = "two-choices"

    def choose(self, state, submission, index):
        eligible = candidates(state, submission)
        if not eligible:
            return None
        drawn = state.rng.sample(eligible, min(2, len(eligible)))
        return max(drawn, key=lambda worker: worker.free)


class BatchSampling(PlacementPolicy):
    """The least loaded of workers drawn once per submission, bound when one has a free slot.

    For a submission of m tasks 2m workers are drawn. Its tasks wait until one of these has a free
    slot and are placed on no other worker.
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
        """Return the workers drawn for a submission; draw again when none of them is serving."""
        sample = self.samples.get(submission.name)
        if sample is None or not any(worker.state == "serving" for worker in sample):
            eligible = candidates(state, submission)
            count = min(len(eligible), 2 * len(submission.attempts))
            sample = state.rng.sample(eligible, count)
            if len(self.samples) > 10_000:
                self.samples.clear()
            self.samples[submission.name] = sample
        return sample


class LeastExpectedWait(PlacementPolicy):
    """The worker with the least expected wait by outstanding tasks and speed, bound on arrival."""

    name = "least-wait"

    def choose(self, state, submission, index):
        eligible = candidates(state, submission)
        if not eligible:
            return None
        return min(eligible, key=expected_wait)


def expected_wait(worker):
    """Return the tasks per slot with one more outstanding, times the worker's relative run time."""
    return (len(worker.outstanding) + 1) / max(1, worker.slots) * worker.speed


class LearnedEstimate(PlacementPolicy):
    """The worker with the highest learned reward, with exploration that becomes rarer.

    The value of a worker is an exponential moving average of the rewards of its tasks; a reward is
    the expected over the actual response time, at most 1. At the t-th choice a random worker is
    taken instead with probability 1/t.

    References
    ----------
    "A self-learning proxy network": Q values of a proxy's upstreams, with a policy that is greedy
    in the limit with infinite exploration.
    """

    name = "learned"
    learning_rate = 0.1

    def __init__(self):
        self.values = {}
        self.steps = 0

    def choose(self, state, submission, index):
        eligible = candidates(state, submission)
        if not eligible:
            return None
        self.steps += 1
        if state.rng.randrange(self.steps) == 0:
            return state.rng.choice(eligible)
        return max(eligible, key=lambda worker: self.values.get(worker.name, 1.0))

    def learn(self, state, worker, response_ms, expected_ms):
        reward = min(1.0, expected_ms / max(response_ms, 0.001))
        value = self.values.get(worker.name, 1.0)
        self.values[worker.name] = value + self.learning_rate * (reward - value)


class LateBinding(PlacementPolicy):
    """The worker with the most free slots; without a free slot the task waits at its owner.

    While work waits, a task is sent ahead to a worker one of whose tasks is about to end, so that
    the freed slot is not idle for a round trip. Sent earlier, it would take the slot from more
    urgent work that arrives meanwhile. A slow worker, one whose relative run time is above
    `Tuning.slow_speed`, is chosen only when waiting for a fast one would take longer.
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
        """Return a free slow worker that is expected to end the task before a fast one, or None."""
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
    """Return a fully used worker one of whose tasks ends within `prefetch_lead_s`, or None.

    When there is none yet, `wake_at` is set to when there will be.
    """
    horizon = state.now + state.tuning.prefetch_lead_s
    while state.expected_ends:
        ends_at, _, worker, key = state.expected_ends[0]
        usable = key in worker.outstanding and worker.free == 0 and worker.state == "serving"
        if usable and ends_at > horizon:
            state.wake_at = min(state.wake_at, ends_at - state.tuning.prefetch_lead_s)
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
    """Return a new instance of the policy with a name.

    Raises
    ------
    KeyError
        If no policy has this name.
    """
    return POLICIES[name]()
