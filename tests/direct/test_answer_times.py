"""How soon an order without an answer is taken back."""

from onyxfork.direct.answer_times import (
    FIRST_LIMIT_S,
    LEAST_LIMIT_S,
    MOST_LIMIT_S,
    AnswerTimes,
)


def times_of(*elapsed_s):
    times = AnswerTimes()
    for one in elapsed_s:
        times.note(one)
    return times


def test_lost_order_is_noticed_within_the_slack_of_a_short_job():
    """Pattern: one order in twenty is left unanswered, on a machine that answers at once."""
    assert AnswerTimes().limit_s == FIRST_LIMIT_S
    assert times_of(*[0.002] * 20).limit_s == LEAST_LIMIT_S


def test_machine_that_turns_slow_gets_time_to_answer():
    """Pattern: the agent's machine turns five times slower while many tasks start at once."""
    slow = times_of(*[0.003] * 20, *[0.03, 0.05, 0.04, 0.06, 0.03] * 4)
    assert slow.limit_s > 0.06
    assert times_of(*[1.0] * 50).limit_s == MOST_LIMIT_S


def test_limit_doubles_until_an_answer_comes():
    """Pattern: the machine turns so slow at once that every answer comes after the limit."""
    times = times_of(*[0.002] * 20)
    limits = []
    for _ in range(4):
        limits.append(times.limit_s)
        times.note_unanswered()
    assert limits == [LEAST_LIMIT_S * factor for factor in (1, 2, 4, 8)]
    times.note(0.09)
    assert times.limit_s > 0.09


def test_limit_falls_again_when_the_machine_has_recovered():
    assert times_of(*[0.2] * 20, *[0.002] * 60).limit_s == LEAST_LIMIT_S
