"""A snapshot from the leader and the entries after it become durable together.

Pattern: a slow disk; the leader repeats its snapshot after a second, and the entries that follow
it arrive before the replica has written it, or even before the snapshot itself.
"""

import sys
from pathlib import Path
from random import Random

import pytest

sys.path.insert(0, str(Path(__file__).parent))
from replica_network import Group  # noqa: E402
from virtual_loop import run_virtual  # noqa: E402

from onyxfork.control.raft_messages import (  # noqa: E402
    Append,
    AppendReply,
    Entry,
    InstallSnapshot,
    Members,
)
from onyxfork.control.storage import open_storage  # noqa: E402
from onyxfork.direct.control_state import DocumentState  # noqa: E402


def test_entries_acknowledged_beside_a_snapshot_are_on_disk(tmp_path):
    """Guards against an acknowledged entry that is in memory only, and a log with a gap."""

    async def play():
        group = Group(tmp_path, Random(1))
        name = group.names[3]
        await group.start(name)
        replica = group.replicas[name]
        snapshot = DocumentState(applied=5).to_snapshot()
        members = Members({"leader#0": "10.0.0.9:7000"}, {replica.raft.identity: name})
        replica.raft.receive(InstallSnapshot(2, "leader#0", 5, 2, members, snapshot, 1), 0.0)
        entries = [Entry(6, 2, 2, b""), Entry(7, 2, 2, b"")]
        replica.raft.receive(Append(2, "leader#0", 5, 2, entries, 6, 2), 0.0)
        ready = replica.raft.take_ready()
        acknowledged = [item for _, item in ready.send_after_sync if isinstance(item, AppendReply)]
        assert acknowledged[-1].success and acknowledged[-1].match_index == 7
        await replica.process(ready)
        await group.kill(name)
        settings = group.settings(name)
        with open_storage(settings.data_folder, "test", name) as storage:
            log = storage.recovered.log
            assert (log.base_index, log.last_index, storage.recovered.term) == (5, 7, 2)

    run_virtual(play())


@pytest.mark.parametrize("term, kept", [(2, [6, 7, 8]), (1, [])])
def test_entries_acknowledged_before_a_delayed_snapshot_are_kept(tmp_path, term, kept):
    """Guards against the loss of committed entries that this replica has acknowledged.

    Without the snapshot's last entry in its log, a replica may hold entries of another leader.
    """

    async def play():
        group = Group(tmp_path, Random(1))
        name = group.names[3]
        await group.start(name)
        replica = group.replicas[name]
        entries = [Entry(index, term, 2, b"") for index in range(1, 8)]
        replica.raft.receive(Append(term, "leader#0", 0, 0, entries, 3, 1), 0.0)
        await replica.process(replica.raft.take_ready())
        snapshot = DocumentState(applied=5).to_snapshot()
        members = Members({"leader#0": "10.0.0.9:7000"}, {replica.raft.identity: name})
        replica.raft.receive(InstallSnapshot(2, "leader#0", 5, 2, members, snapshot, 2), 0.0)
        if kept:
            append = Append(2, "leader#0", 7, 2, [Entry(8, 2, 2, b"")], 7, 3)
            replica.raft.receive(append, 0.0)
        ready = replica.raft.take_ready()
        acknowledged = [item for _, item in ready.send_after_sync if isinstance(item, AppendReply)]
        assert acknowledged[0].success and acknowledged[0].match_index == 5
        await replica.process(ready)
        assert [entry.index for entry in replica.raft.log.entries] == kept
        assert replica.raft.durable_index == max([5, *kept])
        assert [entry.index for entry in ready.committed] == kept[:2]
        assert replica.raft.members == members
        await group.kill(name)
        settings = group.settings(name)
        with open_storage(settings.data_folder, "test", name) as storage:
            log = storage.recovered.log
            assert (log.base_index, log.base_term) == (5, 2)
            assert [entry.index for entry in log.entries] == kept

    run_virtual(play())
