"""Load: clients send requests on many connections faster than they can be handled."""

from collections import deque

from onyxfork.direct.turn_quota import MAX_RESUMED, TurnQuota
from onyxfork.utils import FakeClock


class Loop:
    """An event loop whose turns are run by hand."""

    def __init__(self):
        self.callbacks = deque()

    def call_soon(self, callback):
        self.callbacks.append(callback)

    def run_turn(self):
        for _ in range(len(self.callbacks)):
            self.callbacks.popleft()()


def make_quota():
    loop, clock = Loop(), FakeClock()
    return TurnQuota(loop, 0.005, clock.now), loop, clock


def test_work_of_a_turn_is_bounded_and_the_next_turn_begins_anew():
    quota, loop, clock = make_quota()
    assert not quota.is_spent()
    clock.advance(0.004)
    assert not quota.is_spent()
    clock.advance(0.002)
    assert quota.is_spent()
    loop.run_turn()
    assert not quota.is_spent()


def test_time_between_turns_does_not_count():
    quota, loop, clock = make_quota()
    quota.is_spent()
    loop.run_turn()
    clock.advance(1.0)
    assert not quota.is_spent()


def test_deferred_work_is_resumed_in_order_as_far_as_a_turn_allows():
    quota, loop, clock = make_quota()
    resumed = []

    def work(number):
        resumed.append(number)
        clock.advance(0.003)

    for number in range(5):
        quota.defer(lambda number=number: work(number))
    turns = []
    while quota.has_deferred:
        before = len(resumed)
        loop.run_turn()
        turns.append(len(resumed) - before)
    assert resumed == [0, 1, 2, 3, 4]
    assert max(turns) == 2


def test_work_that_defers_itself_again_does_not_prolong_a_turn():
    quota, loop, _ = make_quota()
    counts = [0] * (2 * MAX_RESUMED)

    def work(number):
        counts[number] += 1
        quota.defer(lambda: work(number))

    for number in range(len(counts)):
        quota.defer(lambda number=number: work(number))
    for _ in range(4):
        loop.run_turn()
    assert set(counts) == {2}


def test_nothing_is_scheduled_without_work():
    quota, loop, _ = make_quota()
    quota.is_spent()
    loop.run_turn()
    loop.run_turn()
    assert not loop.callbacks and not quota.has_deferred
