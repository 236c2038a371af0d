"""The schedule of a soak: the same for a seed, and never more disks lost than may be."""

import pytest

from onyxfork.workload.soak.faults import FaultRun
from onyxfork.workload.soak.schedule import (
    CONTROL_KINDS,
    DISK_QUIET_S,
    LINK_KINDS,
    LOAD_KINDS,
    NODE_KINDS,
    WORKER_KINDS,
    SoakSize,
    draw_schedule,
    touches_control,
)

SIZE = SoakSize()


def test_seed_repeats_its_schedule():
    first, again = draw_schedule(7, 30.0, SIZE), draw_schedule(7, 30.0, SIZE)
    assert first == again and len(first) > 10
    assert draw_schedule(8, 30.0, SIZE) != first


def test_faults_overlap_and_come_in_series():
    faults = draw_schedule(3, 60.0, SIZE)
    overlapping = [
        (a, b) for a in faults for b in faults if a is not b and a.at_s < b.at_s < a.until_s
    ]
    assert overlapping
    assert len({(f.kind, f.target) for f in faults}) < len(faults)


@pytest.mark.parametrize("seed", range(30))
def test_no_other_control_instance_is_lost_around_the_loss_of_a_disk(seed):
    faults = draw_schedule(seed, 60.0, SIZE)
    for lost in (fault for fault in faults if fault.kind == "lose_disk"):
        for other in faults:
            if other is lost or not touches_control(other):
                continue
            apart = (
                other.at_s >= lost.until_s + DISK_QUIET_S
                or lost.at_s >= other.until_s + DISK_QUIET_S
            )
            assert apart, (str(lost), str(other))


def test_every_kind_is_drawn_and_can_be_carried_out():
    drawn = {fault.kind for seed in range(60) for fault in draw_schedule(seed, 60.0, SIZE)}
    kinds = {*CONTROL_KINDS, *NODE_KINDS, *LINK_KINDS, *WORKER_KINDS, *LOAD_KINDS, "kill_all"}
    assert drawn == kinds
    assert all(hasattr(FaultRun, f"do_{kind}") for kind in kinds)
