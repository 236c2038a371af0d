"""A control instance answers an operator only once the evacuation is committed."""

import asyncio
from contextlib import asynccontextmanager

from onyxfork.addresses import Address
from onyxfork.control.raft_messages import Members
from onyxfork.control.replica import run_replica
from onyxfork.control.storage import open_storage
from onyxfork.direct.control import ANSWER_TIMEOUT_S, DocumentReplica
from onyxfork.direct.telemetry import Telemetry
from onyxfork.settings import ControlSettings

TIMEOUT_S = 20.0
ALONE = Members({"c1#0": "127.0.0.1:1"})
WITHOUT_QUORUM = Members({"c1#0": "127.0.0.1:1", "c2#0": "127.0.0.1:2"})


@asynccontextmanager
async def running_replica(folder, members=ALONE):
    settings = ControlSettings(
        role="control",
        node="c1",
        cluster="test",
        zone="a",
        listen=Address("127.0.0.1", 0),
        http=None,
        data_folder=str(folder),
        members={"c1": Address("127.0.0.1", 1)},
        snapshot_bytes=2000,
    )
    with open_storage(folder, "test", "c1", "c1#0", members) as storage:
        telemetry = Telemetry("control", "c1", "a")
        replica = DocumentReplica.from_config(settings, storage, telemetry)
        replica.zones = {"a": "north", "b": "north"}
        async with run_replica(replica), asyncio.timeout(TIMEOUT_S):
            yield replica


async def commit(replica, zone, evacuated):
    while not await replica.set_evacuation(zone, evacuated):
        pass


async def test_evacuation_survives_restarts_and_snapshots(tmp_path):
    async with running_replica(tmp_path) as replica:
        await commit(replica, "a", True)
        await commit(replica, "b", True)
        await commit(replica, "b", False)
    async with running_replica(tmp_path) as replica:
        while not replica.fanout.is_announcing:
            await asyncio.sleep(0.01)
        assert await replica.read_evacuations() == {"a"}
        index = replica.state.evacuations_index
        for version in range(1, 30):
            while not await replica.configure(version, b"x" * 200):
                pass
        assert replica.raft.log.base_index > index, "expected a snapshot"
    async with running_replica(tmp_path) as replica:
        assert replica.state.evacuated_zones == {"a"}
        assert replica.state.evacuations_index == index


async def test_evacuation_without_a_quorum_is_not_acknowledged_and_answered_in_time(tmp_path):
    async with running_replica(tmp_path, WITHOUT_QUORUM) as replica:
        started_at = replica.clock.now()
        assert not await replica.set_evacuation("a", True)
        assert replica.clock.now() - started_at < ANSWER_TIMEOUT_S + 0.3
        assert replica.state.evacuated_zones == frozenset()


async def test_restarted_instance_with_an_evacuation_announces_nothing_without_a_quorum(tmp_path):
    """Guards against a configuration that reaches nodes before a later evacuation does."""
    async with running_replica(tmp_path) as replica:
        assert replica.fanout.is_announcing
        await commit(replica, "a", True)
        while not await replica.configure(1, b"x"):
            pass
    async with running_replica(tmp_path, WITHOUT_QUORUM) as replica:
        await asyncio.sleep(0.2)
        assert not replica.fanout.is_announcing


# Guards against an acknowledgement without a commit, and against giving up after a lost answer.
async def test_commit_with_an_unknown_outcome_is_proposed_again(tmp_path, monkeypatch):
    async with running_replica(tmp_path) as replica:
        await commit(replica, "b", True)
        propose, outcomes = replica.propose, []

        async def lose_first(command):
            outcomes.append(await propose(command))
            return outcomes[-1] if len(outcomes) > 1 else None

        monkeypatch.setattr(replica, "propose", lose_first)
        assert await replica.set_evacuation("a", True)
        assert [outcome.accepted for outcome in outcomes] in ([True, True], [True, False, True])
        assert replica.state.evacuated_zones == {"a", "b"}


async def test_last_zone_is_accepted_with_a_warning(tmp_path, caplog):
    async with running_replica(tmp_path) as replica:
        await commit(replica, "a", True)
        assert "every zone is evacuated" not in caplog.text
        await commit(replica, "b", True)
        assert "every zone is evacuated" in caplog.text
        await commit(replica, "a", False)
        assert replica.state.evacuated_zones == {"b"}


async def test_removed_zone_can_be_restored(tmp_path):
    async with running_replica(tmp_path) as replica:
        await commit(replica, "a", True)
        replica.zones = {"b": "north"}
        assert replica.knows_zone("a") and not replica.knows_zone("c")
        await commit(replica, "a", False)
        assert not replica.knows_zone("a")
