"""Announcements to lost entries: soon at first, rare later, bounded in number.

Pattern: the links of the entries are full, so that no connection comes up.
"""

from random import Random

from onyxfork.direct.announcements import DURATION_S, MAX_DUE, MAX_ENTRIES, LostEntries

STEP_S = 0.1


def count_announcements(lost, start, seconds):
    steps = int(seconds / STEP_S)
    return sum(len(lost.take_due(start + number * STEP_S)) for number in range(steps))


def make_lost(count=1, now=0.0):
    lost = LostEntries(Random(1))
    for number in range(count):
        lost.on_connected(f"e{number}", f"10.0.0.{number}:1")
        lost.on_disconnected(f"e{number}", now)
    return lost


def test_entry_is_announced_to_within_a_second_of_its_loss():
    assert count_announcements(make_lost(), 0.0, 1.1) == 1


def test_entry_that_stays_away_costs_few_announcements():
    lost = make_lost()
    assert count_announcements(lost, 0.0, 60.0) <= 16
    assert count_announcements(lost, 60.0, DURATION_S - 60.0) >= 4
    assert count_announcements(lost, DURATION_S + 1.0, 60.0) == 0


def test_connected_entries_are_not_announced_to():
    lost = make_lost()
    lost.on_connected("e0", "10.0.0.0:1")
    assert count_announcements(lost, 0.0, 60.0) == 0


def test_loss_of_all_entries_is_spread():
    lost = make_lost(count=40)
    assert all(len(lost.take_due(number * STEP_S)) <= MAX_DUE for number in range(100))


def test_entries_that_never_gave_an_address_are_ignored():
    lost = LostEntries(Random(1))
    lost.on_connected("e1", "")
    lost.on_disconnected("e1", 0.0)
    assert lost.lost == {}


def test_number_of_remembered_entries_is_bounded():
    assert len(make_lost(count=MAX_ENTRIES + 5).lost) == MAX_ENTRIES
