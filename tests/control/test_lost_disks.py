"""A group of five control instances keeps its fault tolerance after lost disks.

Pattern: three first voters and two promoted learners; an instance returns with an empty disk, and
later two more lose their disks at the same moment, while operators commit configurations.
"""

import asyncio
import sys
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).parent))
from replica_network import running_group  # noqa: E402
from virtual_loop import run_virtual  # noqa: E402

VOTER_AGAIN_S = 4.0
LEADER_AGAIN_S = 5.0
ABSENCE_S = 1.65
SEED, OTHER_SEED, THIRD_SEED, JOINED, OTHER_JOINED = (f"10.0.0.{n}:7000" for n in range(1, 6))


async def lose_disk(group, *names, absence_s=ABSENCE_S):
    """Kill instances at the same moment and start them with empty disks."""
    for name in names:
        await group.kill(name)
        group.wipe(name)
    await asyncio.sleep(absence_s)
    for name in names:
        await group.start(name)


def test_wiped_seed_is_a_voter_again_under_a_leader_that_is_no_seed(tmp_path):
    """The new instance knows only the seeds' addresses; its replies must still reach the leader."""

    async def play():
        async with running_group(tmp_path) as group:
            await group.lead(JOINED)
            await lose_disk(group, SEED)
            await group.wait(lambda: group.is_voter(SEED), VOTER_AGAIN_S)
            assert group.leader().settings.node == JOINED

    run_virtual(play())


@pytest.mark.parametrize("leader", [SEED, OTHER_SEED, JOINED, OTHER_JOINED])
@pytest.mark.parametrize("lost", [SEED, THIRD_SEED, JOINED])
def test_two_more_lose_their_disks_after_a_replacement(tmp_path, leader, lost):
    async def play():
        async with running_group(tmp_path) as group:
            await group.lead(leader)
            await lose_disk(group, lost)
            await group.wait(group.is_whole, VOTER_AGAIN_S)
            others = [name for name in group.names if name != lost]
            for name in group.names:
                await group.kill(name)
            for name in others[:2]:
                group.wipe(name)
            await asyncio.sleep(ABSENCE_S)
            for name in [*others[2:], lost, *others[:2]]:
                await group.start(name)
            await group.wait(lambda: group.leader() is not None, LEADER_AGAIN_S)
            await group.wait(group.is_whole, VOTER_AGAIN_S)

    run_virtual(play())
