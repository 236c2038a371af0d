"""A group of five control instances keeps its fault tolerance after lost disks.

Pattern: three first voters and two promoted learners; an instance returns with an empty disk, and
later two more lose their disks at the same moment, while operators commit configurations.
"""

import asyncio
import sys
from pathlib import Path
from random import Random
from types import SimpleNamespace

import pytest

sys.path.insert(0, str(Path(__file__).parent))
from replica_network import Group, running_group  # noqa: E402
from virtual_loop import run_virtual  # noqa: E402

VOTER_AGAIN_S = 4.0
LEADER_AGAIN_S = 5.0
ABSENCE_S = 1.65
SEED, OTHER_SEED, THIRD_SEED, JOINED, OTHER_JOINED = (f"10.0.0.{n}:7000" for n in range(1, 6))


class NoLeader(Exception):
    """Ends a test without the final check, which needs a leader."""


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


async def restart_survivors(group, names):
    for name in names:
        await group.kill(name)
    await asyncio.sleep(group.rng.random() * 2.0)
    for name in names:
        await group.start(name)


async def change_leader(group):
    """Make a random instance that is a voter and up to date the leader, if there is one."""
    leader = group.leader()
    names = [name for name in group.replicas if group.is_voter(name)]
    if leader is None or not names:
        return
    replica = group.replicas[group.rng.choice(names)]
    if not replica.raft.is_leader:
        replica.raft.start_election(replica.clock.now(), pre_vote=False, forced=True)
        replica.wake_event.set()


async def disturb(group, until):
    """Change leaders, cut off single instances and restart them until the event is set."""
    while not until.is_set():
        await asyncio.sleep(group.rng.random() * 0.8)
        event = group.rng.choice(["leader", "leader", "cut", "heal", "nothing"])
        if event == "leader":
            await change_leader(group)
        elif event == "cut" and group.processes:
            group.cut_names = {group.rng.choice(list(group.processes))}
        elif event == "heal":
            group.cut_names.clear()
    group.cut_names.clear()


async def lose_disks_in_random_order(group, names):
    """Kill and wipe instances, perhaps restart the survivors, and start all in random order."""
    survivors = [name for name in group.processes if name not in names]
    killed = [*names, *group.rng.choice([[], survivors[:1], survivors])]
    group.rng.shuffle(killed)
    for name in killed:
        await group.kill(name)
    for name in names:
        group.wipe(name)
    group.rng.shuffle(killed)
    for name in killed:
        await asyncio.sleep(group.rng.random() * group.rng.choice([0.0, 0.2, 2.0]))
        await group.start(name)


@pytest.mark.parametrize("seed", range(16))
def test_group_is_whole_again_after_lost_disks_under_other_faults(tmp_path, seed):
    """Lost disks in random order while leaders change and connections and instances fail.

    Guards against a returned instance that stays without a vote, a group without a leader and the
    loss of an acknowledged configuration.
    """

    async def play():
        options = {"snapshot_bytes": 600 if seed % 2 else 1 << 20, "max_delay_s": 0.03}
        async with running_group(tmp_path, seed, **options) as group:
            for _ in range(4):
                group.loss_probability = group.rng.choice([0.0, 0.01, 0.1])
                calm = asyncio.Event()
                trouble = asyncio.create_task(disturb(group, calm))
                lost = group.rng.sample(group.names, group.rng.choice([1, 2, 2]))
                await lose_disks_in_random_order(group, lost)
                await asyncio.sleep(group.rng.choice([0.0, 0.3, 3.0]))
                calm.set()
                await trouble
                group.loss_probability = 0.0
                await group.wait(lambda: group.leader() is not None, LEADER_AGAIN_S)
                await group.wait(group.is_whole, VOTER_AGAIN_S)

    run_virtual(play())


@pytest.mark.parametrize("first_back", ["survivors", "wiped"])
def test_instances_wiped_while_there_is_no_leader_are_voters_again(tmp_path, first_back):
    """Joins sent while nobody leads are lost, so they have to be repeated."""

    async def play():
        async with running_group(tmp_path) as group:
            await group.lead(JOINED)
            wiped, survivors = [SEED, JOINED], [OTHER_SEED, THIRD_SEED, OTHER_JOINED]
            for name in group.names:
                await group.kill(name)
            for name in wiped:
                group.wipe(name)
            both = [survivors, wiped] if first_back == "survivors" else [wiped, survivors]
            for name in both[0]:
                await group.start(name)
            await asyncio.sleep(6.0)
            for name in both[1]:
                await group.start(name)
            await group.wait(lambda: group.leader() is not None, LEADER_AGAIN_S)
            await group.wait(group.is_whole, VOTER_AGAIN_S)

    run_virtual(play())


@pytest.mark.parametrize("leader", [OTHER_SEED, JOINED, OTHER_JOINED])
def test_leader_change_between_removal_and_promotion(tmp_path, leader):
    """The next leader promotes the learner although no voter of its name is left to replace."""

    async def play():
        async with running_group(tmp_path, max_delay_s=0.05) as group:
            await group.lead(THIRD_SEED)
            await group.kill(SEED)
            group.wipe(SEED)
            await group.start(SEED)
            raft = group.replicas[THIRD_SEED].raft
            await group.wait(lambda: len(raft.members.voters) == 4, VOTER_AGAIN_S, poll_s=0.001)
            await group.kill(THIRD_SEED)
            await group.wait(lambda: group.leader() is not None, LEADER_AGAIN_S)
            await group.lead(leader)
            await group.wait(lambda: group.is_voter(SEED), VOTER_AGAIN_S)
            await group.start(THIRD_SEED)
            await group.wait(group.is_whole, VOTER_AGAIN_S)

    run_virtual(play())


def test_instance_that_loses_its_disk_twice_is_a_voter_again(tmp_path):
    """The learner of the first loss must not take the place of that of the second."""

    async def play():
        async with running_group(tmp_path) as group:
            await group.lead(OTHER_JOINED)
            for wait_s in (0.0, 0.5, 0.7, 0.9, 1.2):
                await lose_disk(group, SEED, absence_s=0.1)
                await asyncio.sleep(wait_s)
            await group.wait(group.is_whole, VOTER_AGAIN_S)
            assert group.leader().raft.members.learners == {}

    run_virtual(play())


def test_voter_answers_a_candidate_that_its_log_does_not_name(tmp_path):
    """Of the survivors only the replaced instance holds the latest entry.

    A voter that was cut off during the replacement does not know the new identity, but the group
    has no leader without its vote.
    """

    async def play():
        async with running_group(tmp_path, max_delay_s=0.05) as group:
            await group.lead(OTHER_SEED)
            former = group.replicas[SEED].raft.identity
            await group.kill(SEED)
            group.wipe(SEED)
            group.cut_names = {OTHER_JOINED}
            await group.start(SEED)
            raft = group.replicas[OTHER_SEED].raft
            await group.wait(
                lambda: former not in raft.members_at(raft.commit).voters, VOTER_AGAIN_S, 0.001
            )
            group.cut_names = {OTHER_JOINED, JOINED}
            await group.wait(lambda: group.is_voter(SEED), VOTER_AGAIN_S)
            acknowledged = group.acknowledged
            await group.wait(lambda: group.acknowledged > acknowledged, 5.0)
            identity = group.replicas[SEED].raft.identity
            assert identity not in group.replicas[OTHER_JOINED].raft.members.addresses
            for name in (OTHER_SEED, THIRD_SEED):
                await group.kill(name)
                group.wipe(name)
            group.cut_names.clear()
            await group.wait(lambda: group.leader() is not None, LEADER_AGAIN_S)
            assert group.leader().settings.node == SEED
            for name in (OTHER_SEED, THIRD_SEED):
                await group.start(name)
            await group.wait(group.is_whole, VOTER_AGAIN_S)

    run_virtual(play())


def test_wiped_instance_has_no_vote_before_it_is_promoted(tmp_path):
    """Two survivors and three empty disks must not elect a leader: entries would be lost."""

    async def play():
        async with running_group(tmp_path) as group:
            wiped = [SEED, OTHER_SEED, JOINED]
            former = {name: group.replicas[name].raft.identity for name in wiped}
            for name in group.names:
                await group.kill(name)
            for name in wiped:
                group.wipe(name)
            for name in group.names:
                await group.start(name)
            for _ in range(200):
                await asyncio.sleep(0.05)
                assert not any(replica.raft.is_leader for replica in group.replicas.values())
                for name in wiped:
                    raft = group.replicas[name].raft
                    assert raft.identity != former[name] and raft.vote == ""
            raise NoLeader

    with pytest.raises(NoLeader):
        run_virtual(play())


def test_log_of_joining_names_only_open_connections(tmp_path, caplog):
    """Guards against a log that hides why an instance that asks to join is not added."""
    caplog.set_level("INFO", "onyxfork.control.replica_peers")

    async def play():
        group = Group(tmp_path, Random(1))
        await group.start(JOINED)
        replica = group.replicas[JOINED]
        states = {"a#0": False, "b#0": True, "c#0": False, "d#0": True}
        connections = {
            name: SimpleNamespace(is_open=is_open, send=lambda message: None)
            for name, is_open in states.items()
        }
        # No step of the driver runs between these lines and the log line.
        replica.peers = {name: connections[name] for name in ("a#0", "b#0", "c#0")}
        replica.accepted_peers = {"c#0": connections["d#0"], "d#0": connections["d#0"]}
        replica.is_asking_to_join = False
        replica.log_join_state(True)
        await group.kill(JOINED)

    run_virtual(play())
    lines = [record for record in caplog.records if record.message == "asking to join"]
    assert lines[-1].connected == ["b#0", "c#0", "d#0"]
