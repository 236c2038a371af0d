"""Withdrawn runs end in time although workers leave most of the orders to them unanswered."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
from test_late_notices import SECONDS, SIZE, make_profile, run_faults  # noqa: E402

from onyxfork.workload.soak.schedule import Fault  # noqa: E402

UNANSWERED_SHARE = 0.8


# Guards against runs that go on when their callers return to another entry, because all orders to
# stop them were lost.
def test_withdrawn_runs_end_before_callers_return_although_orders_stay_unanswered():
    duration_s = SECONDS - 2.0
    faults = [Fault(2.0, "unanswered", duration_s=duration_s, amount=UNANSWERED_SHARE)]
    for number in range(8):
        entry = SIZE.names("entry")[number % 2]
        faults.append(Fault(2.5 + 0.7 * number, "reset_callers", entry))
    profile = make_profile(jobs_per_s=4.0, run_ms=2300, cpu=1000)
    assert not run_faults(faults, 1, profile)
