"""When refused callers return, and the load that they bring back."""

import sys
from collections import Counter
from pathlib import Path
from random import Random

import pytest

sys.path.insert(0, str(Path(__file__).parent))
from fleet import TASK_CORES, TASKS_PER_WORKER, Fleet  # noqa: E402

from onyxfork.direct.return_times import ReturnTimes, job_work  # noqa: E402

RUN_MS = 200
JOB_WORK = TASK_CORES * 1000 * RUN_MS
CAPACITY = 100_000
BURST_S = 1.0


class ReturningFleet(Fleet):
    """A fleet whose refused callers return once, after the delay that they were told."""

    def __init__(self, *arguments, returns=True, **named):
        self.returns, self.sent, self.returned, self.delays = returns, [], {}, []
        super().__init__(*arguments, **named)
        self.return_times = {name: ReturnTimes(0.0, Random(name)) for name in self.entries}

    def send(self, name, request, run_ms):
        refused = self.refused
        self.sent.append(self.now)
        super().send(name, request, run_ms)
        times = self.return_times[name]
        if self.refused == refused:
            times.record_accepted(request.queue.priority, job_work(request))
            return
        if request.job in self.returned:
            return
        delay_ms = 1000.0
        if self.returns:
            delay_ms = times.book(request.queue.priority, job_work(request), 1000.0, self.now)
        self.returned[request.job] = self.now + delay_ms / 1000
        self.delays.append((self.now, delay_ms))
        self.at(delay_ms / 1000, self.send, name, request, run_ms)

    def tick(self):
        super().tick()
        for name, times in getattr(self, "return_times", {}).items():
            times.observe(self.entries[name], self.now)


def play_burst(returns, seed, seconds=36.0, burst=2200):
    """Play 0.5 of capacity for some time and a burst of many callers in the third second."""
    fleet = ReturningFleet(2, 8, zones=2, returns=returns)
    rng = Random(seed)
    jobs_per_s = 8 * TASKS_PER_WORKER / (RUN_MS / 1000)
    arrivals = [rng.uniform(0.0, seconds) for _ in range(round(0.5 * jobs_per_s * seconds))]
    arrivals += [2.0 + rng.random() * BURST_S for _ in range(burst)]
    for number, time in enumerate(arrivals):
        fleet.at(time, fleet.submit, f"e{number % 2}", f"j{number}", 1, RUN_MS)
    fleet.run(seconds)
    return fleet, jobs_per_s


def peak(times, window_s):
    """Return the highest rate in consecutive windows."""
    return max(Counter(int(time / window_s) for time in times).values()) / window_s


@pytest.mark.parametrize("seed", [1, 4, 5])
def test_callers_refused_in_one_second_do_not_return_as_a_second_peak(seed):
    """2,000 callers that return after one second each are refused a second time together."""
    fleet, jobs_per_s = play_burst(returns=True, seed=seed)
    assert len(fleet.returned) >= 1900
    later = [time for time in fleet.sent if time >= 3.5]
    assert peak(later, 1.0) <= 1.1 * jobs_per_s


def make_times(running=CAPACITY, seconds=10.0, share=0.5):
    """Return times of an entry that has accepted a share of its capacity for some seconds."""
    times = ReturnTimes(0.0, Random(1))
    for number in range(round(seconds / 0.02)):
        times.record_accepted(1, share * running * 20)
        times.update(running, {}, (number + 1) * 0.02)
    return times


def test_callers_refused_at_the_same_phase_return_in_order_whatever_is_refused_later():
    """Callers refused within one interval: no later one may be told an earlier second."""
    times = make_times()
    delays = [times.book(1, JOB_WORK, 1000.0, 10.01) for _ in range(40)]
    assert delays == sorted(delays) and delays[0] == 1000.0 and delays[-1] > 5000.0
    assert all(delay % 1000.0 == 0.0 and delay <= 30_000.0 for delay in delays)


def test_higher_priority_returns_before_the_backlog_of_lower_ones_has_ended():
    times = make_times()
    times.update(CAPACITY, {0: 10_000 * CAPACITY // 10, 2: 5_000 * CAPACITY}, 10.02)
    assert times.book(0, JOB_WORK, 1000.0, 10.03) == 1000.0
    assert times.book(2, JOB_WORK, 1000.0, 10.03) == 6000.0


def test_more_callers_than_fit_into_the_longest_delay_are_spread_over_it():
    """After a long outage, the work beyond 30 s of capacity must not return all at 30 s."""
    times = make_times()
    delays = Counter(times.book(1, JOB_WORK, 1000.0, 10.01) for _ in range(1200))
    assert len(delays) == 30 and max(delays.values()) <= 41


def test_without_known_capacity_callers_are_spread_over_the_reconnection_of_agents():
    times = ReturnTimes(0.0, Random(1))
    delays = Counter(times.book(1, JOB_WORK, 1000.0, 0.5) for _ in range(400))
    assert delays == {1000.0 * second: 100 for second in range(1, 5)}


def test_intervals_in_the_past_are_dropped():
    times = make_times()
    for number in range(1000):
        times.update(CAPACITY, {}, 10.1 + number)
        times.book(1, JOB_WORK, 1000.0, 10.1 + number)
    assert len(times.booked) <= 300
