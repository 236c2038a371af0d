"""What a data folder holds after a loss of power during or after a write."""

import sys
from pathlib import Path
from random import Random

import pytest

sys.path.insert(0, str(Path(__file__).parent))
from power_loss import LossyDisk, PowerLost, install_disk  # noqa: E402

from onyxfork.control.raft_messages import Entry, Members  # noqa: E402
from onyxfork.control.storage import RECORD_MAGIC, open_storage  # noqa: E402

MEMBERS = Members({"c1#0": "127.0.0.1:1"})


def make_disk(tmp_path, monkeypatch, seed, mode):
    disk = LossyDisk(tmp_path / "pinned", Random(seed), mode)
    install_disk(monkeypatch, disk)
    return disk


def recover(folder):
    with open_storage(folder, "test", "c1", "c1#0", MEMBERS) as storage:
        return storage.recovered.log.entries


def test_entry_read_after_a_restart_survives_a_loss_of_power(tmp_path, monkeypatch):
    """Guards against the loss of an entry that an instance, killed before its sync, acknowledged.

    The restarted instance finds the entry in its log and tells the leader that it holds it.
    """
    disk = make_disk(tmp_path, monkeypatch, 1, "lost")
    folder = tmp_path / "data"
    with open_storage(folder, "test", "c1", "c1#0", MEMBERS) as storage:
        storage.write((1, "c1#0"), [Entry(1, 1, 0, b"a")])
        disk.steps_left = 1
        with pytest.raises(PowerLost):
            storage.write(None, [Entry(2, 1, 0, b"b")])
        disk.steps_left = float("inf")
    read = recover(folder)
    disk.lose_power(folder)
    assert [entry.index for entry in read] == [1, 2]
    assert recover(folder) == read


@pytest.mark.parametrize("seed", range(20))
def test_folder_can_be_opened_after_a_torn_batch(tmp_path, monkeypatch, seed):
    """Guards against an instance that never starts again, as a part of a batch is missing.

    The rest of a batch of records that was not synced may be present without its beginning.
    """
    disk = make_disk(tmp_path, monkeypatch, seed, "random")
    folder = tmp_path / "data"
    with open_storage(folder, "test", "c1", "c1#0", MEMBERS) as storage:
        storage.write((1, "c1#0"), [Entry(1, 1, 0, b"a")])
        disk.steps_left = 1
        with pytest.raises(PowerLost):
            storage.write((2, "c1#0"), [Entry(index, 2, 0, b"x" * 90) for index in range(2, 8)])
        disk.steps_left = float("inf")
    disk.lose_power(folder)
    entries = recover(folder)
    assert [entry.index for entry in entries] == list(range(1, len(entries) + 1))
    assert entries


def test_header_that_is_zero_after_its_magic_number_is_truncated(tmp_path):
    """Guards against an instance that never starts again after such a torn write."""
    with open_storage(tmp_path, "test", "c1", "c1#0", MEMBERS) as storage:
        storage.write((1, "c1#0"), [Entry(1, 1, 0, b"a")])
        path = storage.log_path
    path.write_bytes(path.read_bytes() + RECORD_MAGIC + bytes(60))
    assert [entry.index for entry in recover(tmp_path)] == [1]
