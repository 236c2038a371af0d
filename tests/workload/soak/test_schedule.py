"""The schedule of a soak is reproducible and loses at most one disk at a time."""

from itertools import chain

import pytest

from onyxfork.workload.soak import schedule
from onyxfork.workload.soak.faults import FaultInjector
from onyxfork.workload.soak.schedule import (
    CLOSING_KINDS,
    CONTROL_KINDS,
    DISK_LOSS_MARGIN_S,
    LATER_KINDS,
    LINK_KINDS,
    LOAD_KINDS,
    NODE_KINDS,
    WORKER_KINDS,
    SoakSize,
    draw_schedule,
    touches_control,
)

SIZE = SoakSize()


def test_same_seed_draws_same_schedule():
    first, second = draw_schedule(7, 30.0, SIZE), draw_schedule(7, 30.0, SIZE)
    assert first == second and len(first) > 10
    assert draw_schedule(8, 30.0, SIZE) != first


def test_faults_overlap_and_are_repeated():
    faults = draw_schedule(3, 60.0, SIZE)
    overlapping = [
        (a, b) for a in faults for b in faults if a is not b and a.at_s < b.at_s < a.ends_at_s
    ]
    assert overlapping
    assert len({(f.kind, f.target) for f in faults}) < len(faults)


@pytest.mark.parametrize("seed", range(30))
def test_no_control_instance_is_affected_near_the_loss_of_a_disk(seed):
    faults = draw_schedule(seed, 60.0, SIZE)
    for disk_loss in (fault for fault in faults if fault.kind in ("lose_disk", "lose_power")):
        for other in faults:
            if other is disk_loss or not touches_control(other):
                continue
            is_apart = (
                other.at_s >= disk_loss.ends_at_s + DISK_LOSS_MARGIN_S
                or disk_loss.at_s >= other.ends_at_s + DISK_LOSS_MARGIN_S
            )
            assert is_apart, (str(disk_loss), str(other))


def test_every_kind_is_drawn_and_can_be_injected():
    drawn = {fault.kind for seed in range(60) for fault in draw_schedule(seed, 60.0, SIZE)}
    groups = CONTROL_KINDS, NODE_KINDS, LINK_KINDS, WORKER_KINDS, LOAD_KINDS, LATER_KINDS
    kinds = {*chain(*groups), *CLOSING_KINDS}
    assert drawn == kinds
    assert all(hasattr(FaultInjector, f"do_{kind}") for kind in kinds)


@pytest.mark.parametrize("seed", range(30))
def test_loss_of_power_is_added_to_the_other_faults(monkeypatch, seed):
    """Other faults of a seed stay the same, and as many disks are lost as tolerated."""
    size = SoakSize(controls=5 if seed % 2 else 3)
    monkeypatch.setattr(schedule, "POWER_LOSS_SHARE", 0.0)
    others = draw_schedule(seed, 20.0, size)
    monkeypatch.setattr(schedule, "POWER_LOSS_SHARE", 1.0)
    faults = draw_schedule(seed, 20.0, size)
    closing = [fault for fault in faults if fault.kind in CLOSING_KINDS]
    assert len(closing) == 1 and closing[0].at_s >= 20.0
    if closing[0].kind == "lose_power":
        assert [fault for fault in faults if fault.kind != "lose_power"] == others
        lost = {closing[0].target, closing[0].other} - {""}
        assert len(lost) == (2 if size.controls == 5 else 1)
        assert all(name.startswith("control") for name in lost)
