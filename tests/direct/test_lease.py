"""Fencing tokens exceed earlier ones, and leases expire by the slowest allowed clock."""

from onyxfork.direct.lease import FencingToken, Lease, WorkerClock


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


def test_worker_clock_runs_on_between_answers():
    clock = WorkerClock()
    clock.update(5000, 9.9, 10.1)
    assert clock.estimate_ms(10.5) == 5500.0
