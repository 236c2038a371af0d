"""Fencing tokens exceed earlier ones, and leases expire by the slowest allowed clock."""

import pytest

from onyxfork.direct.lease import (
    MAX_CLOCK_DRIFT_FACTOR,
    STOP_MARGIN_S,
    FencingToken,
    Lease,
    WorkerClock,
)


def test_refused_token_ends_above_every_earlier_one_even_after_a_clock_step():
    highest = 1_000_000_000
    token = FencingToken(highest - 2_400_000)
    while token.value < highest:
        token.on_refused(token.value)
    assert not token.on_accepted()
    assert token.value > highest
    assert token.on_accepted()


def test_late_refusal_of_an_older_token_changes_nothing():
    token = FencingToken(5)
    token.on_refused(4)
    assert token.value == 5


def test_lease_expires_by_a_clock_two_percent_slow():
    lease = Lease(1000.0, renewed_at=10.0)
    assert not lease.has_expired(11.02)
    assert lease.has_expired(11.1)


# Guards against TWICE: the clock in an answer that took long was taken for one read in the middle
# of the call; the lease outlived its expiry at the agent, which had its runs started elsewhere.
@pytest.mark.parametrize("read_at", [10.0, 10.125, 10.25])
@pytest.mark.parametrize("renewed_at", [10.25, 11.0])
def test_runs_end_before_their_lease_counts_as_expired_whenever_the_clock_was_read(
    read_at, renewed_at
):
    def worker_ms(now):
        return 5000 + (now - read_at) * 1000 / MAX_CLOCK_DRIFT_FACTOR

    clock, lease = WorkerClock(), Lease(1000.0, renewed_at)
    clock.update(5000, 10.25)
    until_ms = clock.earliest_ms(renewed_at) + lease.length_ms
    expired_at = renewed_at + 1.0 * MAX_CLOCK_DRIFT_FACTOR + STOP_MARGIN_S
    assert not lease.has_expired(expired_at - 0.001) and lease.has_expired(expired_at + 0.001)
    assert worker_ms(expired_at - STOP_MARGIN_S) >= until_ms - 1e-6
    assert until_ms >= worker_ms(renewed_at) + lease.length_ms - 300
