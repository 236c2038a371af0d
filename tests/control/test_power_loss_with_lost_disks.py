"""As many disks are lost as tolerated while all other instances lose power.

Pattern: right after an acknowledgement or during a change, perhaps after other faults, all control
instances end at the same moment; some return with empty disks, and the disks of the others have
lost what was not synced. ``ONYXFORK_POWER_SEEDS`` sets the number of seeds.
"""

import asyncio
import os
import sys
from pathlib import Path
from random import Random

import pytest

sys.path.insert(0, str(Path(__file__).parent))
from power_loss import LossyDisk, install_disk  # noqa: E402
from replica_network import running_group  # noqa: E402
from virtual_loop import run_virtual  # noqa: E402

VOTER_AGAIN_S = 4.0
LEADER_AGAIN_S = 5.0
MAX_ABSENCE_S = 2.0
SEEDS = range(int(os.environ.get("ONYXFORK_POWER_SEEDS", "6")))


class Play:
    """Faults and operators of one seed.

    Attributes
    ----------
    zones : set of str
        Zones of which the evacuation was acknowledged.
    """

    def __init__(self, group, disk):
        self.group = group
        self.disk = disk
        self.rng = group.rng
        self.zones = set()
        self.zone_count = 0
        self.waiting = []

    # Faults

    def wipe(self, name):
        """Delete the folder of an instance that does not run."""
        self.disk.names.pop(self.group.settings(name).data_folder, None)
        self.group.wipe(name)

    async def start(self, names):
        """Start instances in random order, at the same time or within `MAX_ABSENCE_S` of it."""
        longest_s = self.rng.choice([0.0, 0.1, MAX_ABSENCE_S])
        for name in self.rng.sample(names, len(names)):
            await asyncio.sleep(self.rng.random() * longest_s / len(names))
            await self.group.start(name)

    async def lose_power(self, wiped):
        """End all instances at the same moment, some with the loss of their disks."""
        names = sorted(self.group.processes)
        await self.group.kill_together(names)
        for name in names:
            if name in wiped:
                self.wipe(name)
            else:
                self.disk.lose_power(Path(self.group.settings(name).data_folder))
        await self.start(names)

    async def lose_disk(self):
        """Kill a random instance, start it with an empty disk and return its name."""
        name = self.rng.choice(self.group.names)
        await self.group.kill(name)
        self.wipe(name)
        await self.group.start(name)
        return name

    async def replace(self):
        """Let an instance lose its disk until it is a voter again."""
        name = await self.lose_disk()
        await self.group.wait(lambda: self.group.is_voter(name), LEADER_AGAIN_S + VOTER_AGAIN_S)

    async def lag(self):
        """Cut an instance off for some seconds."""
        self.group.cut_names = {self.rng.choice(self.group.names)}
        await asyncio.sleep(self.rng.random() * 3.0)
        self.group.cut_names.clear()

    async def kill_some(self):
        """Kill instances, which keep what they have written, and start them again."""
        names = self.rng.sample(self.group.names, self.rng.randint(1, len(self.group.names)))
        await self.change(0.02)
        await self.group.kill_together(names)
        await self.start(names)
        await asyncio.sleep(self.rng.choice([0.0, 0.3, 1.0]) * self.rng.random())

    async def lose_power_before(self):
        """Let all instances lose power, without the loss of a disk."""
        await self.lose_power([])
        await asyncio.sleep(self.rng.choice([0.0, 1.0, 3.0]) * self.rng.random())

    async def nothing(self):
        """Wait for a moment."""
        await asyncio.sleep(self.rng.random())

    # Operators

    async def evacuate(self):
        """Evacuate one more zone at a random instance."""
        self.zone_count += 1
        zone, replica = f"z{self.zone_count}", self.rng.choice(list(self.group.replicas.values()))
        if await replica.set_evacuation(zone, True):
            self.zones.add(zone)

    async def change(self, longest_s):
        """Send a change and wait until it is acknowledged, or for a random time at most."""
        request = self.rng.choice([self.group.configure, self.evacuate])
        task = asyncio.create_task(request())
        self.waiting.append(task)
        limit_s = self.rng.choice([self.rng.random() * longest_s, 1.0])
        await asyncio.wait([task], timeout=limit_s)

    async def check(self):
        """Check that service is back and shows all that was acknowledged."""
        group = self.group
        expected, zones = group.acknowledged, set(self.zones)
        await group.wait(lambda: group.leader() is not None, LEADER_AGAIN_S)
        await group.wait(group.is_whole, VOTER_AGAIN_S)
        replica = self.rng.choice(list(group.replicas.values()))
        document = await replica.read_document()
        evacuated = await replica.read_evacuations()
        assert (document.version if document else 0) >= expected
        assert zones <= evacuated

    async def run(self):
        """Play two closing faults, each after another fault or during the return of an instance."""
        tolerated = (len(self.group.names) - 1) // 2
        for _ in range(2):
            lost = self.rng.sample(self.group.names, tolerated)
            if tolerated == 2 and self.rng.random() < 0.2:
                replaced = await self.lose_disk()
                lost = [name for name in lost if name != replaced][:1]
                await asyncio.sleep(self.rng.random() * VOTER_AGAIN_S)
            else:
                faults = self.replace, self.lag, self.kill_some, self.lose_power_before
                await self.rng.choice([*faults, self.nothing])()
            await self.change(0.05)
            await self.lose_power(lost)
            await self.check()


@pytest.mark.parametrize("count", [3, 5])
@pytest.mark.parametrize("seed", SEEDS)
def test_power_loss_with_lost_disks_loses_nothing_acknowledged(tmp_path, monkeypatch, seed, count):
    """Guards against lost acknowledgements and a group that does not recover."""

    async def play():
        rng = Random(f"{seed} {count}")
        disk = LossyDisk(tmp_path / "pinned", rng, rng.choice(["lost", "kept", "random", "random"]))
        install_disk(monkeypatch, disk)
        asyncio.get_running_loop().interrupt = disk.interrupt
        options = {
            "count": count,
            "seeds": rng.choice([3, count]),
            "snapshot_bytes": rng.choice([600, 1 << 20]),
            "max_delay_s": rng.choice([0.003, 0.03]),
        }
        async with running_group(tmp_path / "data", seed, **options) as group:
            await Play(group, disk).run()

    run_virtual(play())
