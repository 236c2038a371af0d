"""An entry that wakes up starts no jobs that their callers have sent to another entry meanwhile."""

import sys
from pathlib import Path
from random import Random

sys.path.insert(0, str(Path(__file__).parent))
from test_late_notices import SIZE, make_profile, run_faults  # noqa: E402

from onyxfork.workload.soak.schedule import make_impatience  # noqa: E402


# Guards against TWICE: the entry handled requests before it read that their callers had left.
def test_woken_entry_starts_nothing_for_callers_who_have_left():
    rng, faults = Random(1), []
    for at_s in (2.0, 8.0, 14.0, 20.0):
        faults += make_impatience(rng, at_s, "entry-1", SIZE.names("agent")[:1])
    faults.sort(key=lambda fault: fault.at_s)
    profile = make_profile(jobs_per_s=0.5, run_ms=1800, cpu=1000)
    assert not run_faults(faults, 1, profile)
