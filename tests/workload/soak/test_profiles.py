"""Profiles of soaks: their load fits the workers, and unknown names and too many helpers fail."""

import pytest

from onyxfork.errors import SettingsError
from onyxfork.workload.soak.busy import MAX_BUSY, run_busy_processes
from onyxfork.workload.soak.profiles import PROFILE_NAMES, SoakProfile


@pytest.mark.parametrize("name", PROFILE_NAMES)
def test_load_of_a_profile_fits_its_workers(name):
    profile = SoakProfile.from_name(name)
    share = profile.cores_needed * 1000 / (profile.size.agents * profile.worker_cpu)
    assert profile.name == name
    assert (0.0 if name == "small" else 0.6) < share < 0.85
    assert len(profile.size.zones) == profile.size.zone_count


def test_unknown_profile_and_too_many_busy_processes_are_refused():
    with pytest.raises(SettingsError):
        SoakProfile.from_name("none")
    with pytest.raises(SettingsError), run_busy_processes(MAX_BUSY + 1, 1.0):
        pass


def test_busy_processes_end_with_the_context():
    with run_busy_processes(2, 60.0) as processes:
        assert [process.poll() for process in processes] == [None, None]
    assert all(process.poll() is not None for process in processes)
