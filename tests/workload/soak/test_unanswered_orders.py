"""Withdrawn runs end in time although workers leave most of the orders to them unanswered."""

import asyncio

from attrs import evolve

from onyxfork.workload.soak import run_soak
from onyxfork.workload.soak.profiles import SoakProfile
from onyxfork.workload.soak.schedule import Fault, SoakSize

SIZE = SoakSize(controls=1, entries=2, agents=4)
SECONDS, RECOVERY_S = 9.0, 2.0
UNANSWERED_SHARE = 0.8


def make_profile():
    """Return a profile with runs that last for seconds, whose callers send again."""
    small = SoakProfile.small()
    kinds = [evolve(kind, jobs_per_s=0.2) for kind in small.kinds]
    kinds[1] = evolve(kinds[1], jobs_per_s=4.0, run_ms=2300, cpu=1000)
    return evolve(small, kinds=tuple(kinds), max_attempts=4)


# Guards against runs that go on when their callers return to another entry, because all orders to
# stop them were lost.
def test_withdrawn_runs_end_before_callers_return_although_orders_stay_unanswered():
    duration_s = SECONDS - 2.0
    faults = [Fault(2.0, "unanswered", duration_s=duration_s, amount=UNANSWERED_SHARE)]
    for number in range(8):
        entry = SIZE.names("entry")[number % 2]
        faults.append(Fault(2.5 + 0.8 * number, "reset_callers", entry))
    verdict = asyncio.run(
        run_soak(
            1,
            SECONDS,
            SIZE,
            draw=lambda *_: faults,
            profile=make_profile(),
            recovery_s=RECOVERY_S,
        )
    )
    assert verdict.completed
    assert [line for line in verdict.violations if line.startswith("two runs at once")] == []
