"""A log truncated at any offset is recovered; damage before valid records is refused."""

import pytest

from onyxfork.control.raft_messages import Entry, Members
from onyxfork.control.storage import open_storage
from onyxfork.errors import CorruptLogError, ForeignDataError

MEMBERS = Members({"c1#0": "127.0.0.1:1"})


def write_entries(folder, count):
    with open_storage(folder, "test", "c1", "c1#0", MEMBERS) as storage:
        storage.write((1, "c1#0"), [])
        for index in range(1, count + 1):
            assert storage.write(None, [Entry(index, 1, 0, b"x" * index)]).is_ok()
        return storage.log_path


def recover(folder):
    with open_storage(folder, "test", "c1") as storage:
        return storage.recovered


def test_entries_and_vote_are_recovered(tmp_path):
    write_entries(tmp_path, 5)
    recovered = recover(tmp_path)
    assert [entry.index for entry in recovered.log.entries] == [1, 2, 3, 4, 5]
    assert (recovered.term, recovered.vote, recovered.is_new) == (1, "c1#0", False)


def test_truncation_at_every_offset_keeps_a_prefix(tmp_path):
    path = write_entries(tmp_path, 4)
    data = path.read_bytes()
    for length in range(len(data)):
        path.write_bytes(data[:length])
        entries = recover(tmp_path).log.entries
        assert [entry.index for entry in entries] == list(range(1, len(entries) + 1))
        assert all(entry.data == b"x" * entry.index for entry in entries)


def test_flipped_byte_is_refused_or_truncates_only_the_last_record(tmp_path):
    path = write_entries(tmp_path, 4)
    data = path.read_bytes()
    refused = 0
    for offset in range(len(data)):
        path.write_bytes(data[:offset] + bytes([data[offset] ^ 0x40]) + data[offset + 1 :])
        try:
            entries = recover(tmp_path).log.entries
        except CorruptLogError as error:
            refused += 1
            assert "damaged record at byte" in str(error)
        else:
            assert [entry.index for entry in entries] == [1, 2, 3]
    assert refused > 0


def test_rewritten_entry_replaces_it_and_all_later_ones(tmp_path):
    write_entries(tmp_path, 4)
    with open_storage(tmp_path, "test", "c1") as storage:
        storage.write((2, ""), [Entry(3, 2, 0, b"new")])
    recovered = recover(tmp_path)
    terms = [(entry.index, entry.term) for entry in recovered.log.entries]
    assert terms == [(1, 1), (2, 1), (3, 2)]


def test_snapshot_and_later_entries_are_recovered(tmp_path):
    write_entries(tmp_path, 4)
    with open_storage(tmp_path, "test", "c1") as storage:
        entries = storage.recovered.log.slice(4, 10)
        storage.save_snapshot(3, 1, MEMBERS, b"state", (1, ""), entries)
        storage.write(None, [Entry(5, 1, 0, b"y")])
    recovered = recover(tmp_path)
    assert recovered.state == b"state"
    assert recovered.log.base_index == 3
    assert [entry.index for entry in recovered.log.entries] == [4, 5]
    assert len(list(tmp_path.glob("log-*"))) == 1


def test_foreign_folder_is_refused(tmp_path):
    write_entries(tmp_path, 1)
    with pytest.raises(ForeignDataError, match="belongs to replica 'c1' of cluster 'test'"):
        with open_storage(tmp_path, "other", "c1"):
            pass


def test_full_disk_returns_an_error(tmp_path):
    with open_storage(tmp_path, "test", "c1", "c1#0", MEMBERS) as storage:
        storage.log_file.close()
        storage.log_file = open("/dev/full", "ab", buffering=0)
        result = storage.write(None, [Entry(1, 1, 0, b"x")])
    assert result.is_err() and "No space left" in result.err_value


def test_initial_members_are_recovered_when_a_restart_does_not_name_them(tmp_path):
    write_entries(tmp_path, 1)
    assert recover(tmp_path).members == MEMBERS
