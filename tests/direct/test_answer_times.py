"""The adaptive timeout of orders to a worker."""

from onyxfork.direct.answer_times import (
    INITIAL_TIMEOUT_S,
    MAX_TIMEOUT_S,
    MIN_TIMEOUT_S,
    AnswerTimes,
)


def times_of(*elapsed_s):
    times = AnswerTimes()
    for answer_s in elapsed_s:
        times.record(answer_s)
    return times


def test_lost_order_is_detected_within_the_slack_of_a_short_job():
    """One order in twenty is not answered, on a machine that answers the others immediately."""
    assert AnswerTimes().timeout_s == INITIAL_TIMEOUT_S
    assert times_of(*[0.002] * 20).timeout_s == MIN_TIMEOUT_S


def test_machine_that_turns_slow_gets_time_to_answer():
    """The agent's machine becomes five times slower while many tasks start together."""
    slow = times_of(*[0.003] * 20, *[0.03, 0.05, 0.04, 0.06, 0.03] * 4)
    assert slow.timeout_s > 0.06
    assert times_of(*[1.0] * 50).timeout_s == MAX_TIMEOUT_S


def test_timeout_doubles_until_an_answer_arrives():
    """The machine becomes so slow that every answer arrives after the timeout."""
    times = times_of(*[0.002] * 20)
    timeouts_s = []
    for _ in range(4):
        timeouts_s.append(times.timeout_s)
        times.record_timeout()
    assert timeouts_s == [MIN_TIMEOUT_S * factor for factor in (1, 2, 4, 8)]
    times.record(0.09)
    assert times.timeout_s > 0.09


def test_timeout_falls_when_the_machine_has_recovered():
    assert times_of(*[0.2] * 20, *[0.002] * 60).timeout_s == MIN_TIMEOUT_S
