"""Limits are never exceeded, and the shares of a limit never sum to more than one."""

import sys
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from onyxfork.control.feed import Renew
from onyxfork.control.leases import LeaseTable, divide_shares
from onyxfork.control.state import ControlState
from onyxfork.entities.outcomes import Refusal, State
from onyxfork.systems.limits import refresh_limits
from onyxfork.systems.membership import remove_lost_worker
from onyxfork.systems.queueing import unblock_lanes

sys.path.insert(0, str(Path(__file__).parent))
from owners import Owner  # noqa: E402


def test_running_tasks_of_a_job_never_exceed_its_limit():
    owner = Owner(workers=4, slots=8)
    owner.alter("job", "o/s/check", max_running=3)
    submission = owner.submit(tasks=10)
    placed = 0
    while submission.state is State.RUNNING:
        placed += len(owner.tick())
        assert len(owner.sent) <= 3
        owner.end(*owner.sent[0])
    assert placed == 10 and submission.state is State.COMPLETE


def test_team_quota_holds_over_jobs():
    owner = Owner(workers=4, slots=8)
    owner.alter("team", "o/t", max_running=5)
    owner.submit("check", 6)
    owner.submit("proof", 6)
    owner.tick()
    assert len(owner.sent) == 5


def test_a_limit_holds_up_only_its_own_work():
    owner = Owner(workers=1, slots=4)
    owner.alter("job", "o/s/proof", max_running=1)
    owner.submit("proof", 4)
    owner.submit("low", 4)
    jobs = sorted(start.job for _, start in owner.tick())
    assert jobs == ["low", "low", "low", "proof"]


def test_starts_per_second_are_limited():
    owner = Owner(workers=4, slots=50)
    owner.alter("job", "o/s/check", max_starts_per_s=20.0)
    owner.submit(tasks=60)
    for step in range(21):
        owner.now = step * 0.1
        owner.tick()
        owner.end_all()
    started = sum(1 for limit in owner.state.limits.values() if limit.peak_running)
    submission = next(iter(owner.state.submissions.values()))
    assert started and 35 <= submission.done <= 46


def test_raised_limit_takes_effect_at_once():
    owner = Owner(workers=2, slots=8)
    owner.alter("job", "o/s/check", max_running=1)
    owner.submit(tasks=6)
    owner.tick()
    owner.alter("job", "o/s/check", max_running=6)
    for limit in refresh_limits(owner.state):
        unblock_lanes(owner.state, limit)
    assert len(owner.tick()) == 5


def test_work_too_late_under_a_limit_is_refused_with_the_name_of_the_limit():
    owner = Owner(workers=4, slots=8)
    owner.alter("job", "o/s/check", max_running=1)
    owner.submit(tasks=5, run_ms=1000.0)
    refusal = owner.submit(tasks=6, run_ms=1000.0, deadline_s=8.0)
    assert isinstance(refusal, Refusal)
    assert refusal.code == "over-quota" and "job o/s/check" in refusal.reason
    assert refusal.retry_after_ms > 0


def test_tasks_of_a_lost_worker_count_until_they_surely_ended():
    owner = Owner(workers=2, slots=2)
    owner.alter("job", "o/s/check", max_running=2)
    owner.submit(tasks=2)
    owner.submit(tasks=2)
    owner.tick()
    owner.sent.clear()
    for name in {"w0", "w1"}:
        worker = owner.state.workers[name]
        if worker.outstanding:
            remove_lost_worker(owner.state, worker, "lost", owner.now)
    owner.join("w9", 4)
    assert owner.tick() == []
    owner.now = 10.1
    owner.submit(tasks=2)
    assert len(owner.tick()) == 2


@given(st.dictionaries(st.text(max_size=3), st.floats(0, 1e6), min_size=1, max_size=20))
def test_divided_shares_sum_to_one(demand):
    assert abs(sum(divide_shares(demand).values()) - 1.0) < 1e-6


@given(st.lists(st.tuples(st.sampled_from("abc"), st.floats(0, 500), st.floats(0.01, 1.5))))
def test_shares_in_use_never_exceed_the_limit(steps):
    """The shares leased to entries sum to at most one, whatever their demand and its times."""
    table = LeaseTable(cells=2, lease_s=2.0, election_max_s=1.0)
    table.begin_term(1, 0.0)
    now, used = 0.0, {}
    for entry, demand, pause in steps:
        now += pause
        reply = table.renew(Renew(1, entry, entry, {"team o/t": demand}), ControlState(), now)
        used[entry] = (reply.shares.get("team o/t", 0.0), now + reply.lease_s)
        held = sum(share for share, until in used.values() if until > now)
        assert held <= 1.0 + 1e-9
