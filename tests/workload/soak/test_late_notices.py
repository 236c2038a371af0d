"""Runs of an entry end before others are started, however late agents notice that it is away."""

import asyncio

from attrs import evolve

from onyxfork.workload.soak import run_soak
from onyxfork.workload.soak.profiles import SoakProfile
from onyxfork.workload.soak.schedule import Fault, SoakSize

SIZE = SoakSize(controls=1, entries=2, agents=4)
SECONDS, RECOVERY_S = 8.0, 2.0


def make_profile(**long_jobs):
    """Return a profile whose callers send again, and whose second kind of job is changed."""
    small = SoakProfile.small()
    kinds = [evolve(kind, jobs_per_s=0.2) for kind in small.kinds]
    kinds[1] = evolve(kinds[1], **long_jobs)
    return evolve(small, kinds=tuple(kinds), max_attempts=4)


LONG_RUNS = make_profile(jobs_per_s=1.5, run_ms=4000)


def run_faults(faults, seed, profile=LONG_RUNS):
    """Run a short soak with these faults only; return the overlaps that it found."""
    verdict = asyncio.run(
        run_soak(
            seed,
            SECONDS,
            SIZE,
            draw=lambda *_: faults,
            profile=profile,
            recovery_s=RECOVERY_S,
        )
    )
    assert verdict.completed
    return [line for line in verdict.violations if line.startswith("two runs at once")]


# Guards against runs that go on when the caller of a paused entry returns to another one: agents
# that were paused too added that time to the silence that they allow the entry.
def test_paused_agents_stop_the_runs_of_a_silent_entry_before_its_callers_return():
    faults = []
    for at_s in (2.0, 7.0):
        faults.append(Fault(at_s, "pause", "entry-1", duration_s=2.6))
        faults.append(Fault(at_s + 0.2, "reset_callers", "entry-1"))
        for agent in SIZE.names("agent"):
            faults.append(Fault(at_s + 0.3, "pause", agent, duration_s=0.85))
    assert not run_faults(faults, 1)


# Guards against runs that go on after their entry has replaced them: an agent took an entry for
# connected that had not received its greeting, so each attempt to connect kept the runs going.
def test_agent_that_an_entry_cannot_hear_stops_its_runs_before_they_are_replaced():
    faults = []
    for at_s in (2.5, 7.5):
        for agent in SIZE.names("agent")[:2]:
            faults.append(Fault(at_s, "lose", agent, "entry-1", duration_s=3.4))
    assert not run_faults(faults, 2)
