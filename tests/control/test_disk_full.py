"""A full disk: nothing is acknowledged that is not synced, nothing is lost, and writes resume.

Pattern: the disk of a control instance fills up while operators change the configuration.
"""

import asyncio
import errno
from contextlib import asynccontextmanager

from onyxfork.addresses import Address
from onyxfork.control.raft_messages import Entry, Members
from onyxfork.control.replica import run_replica
from onyxfork.control.storage import open_storage
from onyxfork.direct.control import DocumentReplica
from onyxfork.direct.telemetry import Telemetry
from onyxfork.settings import ControlSettings

MEMBERS = Members({"c1#0": "127.0.0.1:1"})
TIMEOUT_S = 20.0


class FillingFile:
    """File that takes half of a write and then fails while the disk is full."""

    def __init__(self, file):
        self.file = file
        self.is_full = False
        self.refused = 0

    def write(self, data):
        if self.is_full:
            self.refused += 1
            half = len(data) // 2
            if half:
                self.file.write(data[:half])
            raise OSError(errno.ENOSPC, "No space left on device")
        return self.file.write(data)

    def fileno(self):
        return self.file.fileno()

    def close(self):
        self.file.close()


def test_write_to_a_full_disk_leaves_no_trace_and_can_be_repeated(tmp_path):
    with open_storage(tmp_path, "test", "c1", "c1#0", MEMBERS) as storage:
        storage.log_file = FillingFile(storage.log_file)
        assert storage.write((1, "c1#0"), [Entry(1, 1, 0, b"a")]).is_ok()
        storage.log_file.is_full = True
        for _ in range(3):
            assert storage.write(None, [Entry(2, 1, 0, b"b" * 50)]).is_err()
        assert storage.is_full and storage.failure is None
        storage.log_file.is_full = False
        assert storage.write(None, [Entry(2, 1, 0, b"b" * 50)]).is_ok()
        assert not storage.is_full
    with open_storage(tmp_path, "test", "c1") as storage:
        assert [entry.data for entry in storage.recovered.log.entries] == [b"a", b"b" * 50]
        assert storage.recovered.truncated_bytes == 0


def test_snapshot_on_a_full_disk_keeps_the_log(tmp_path, monkeypatch):
    with open_storage(tmp_path, "test", "c1", "c1#0", MEMBERS) as storage:
        storage.write((1, "c1#0"), [Entry(1, 1, 0, b"a")])

        def refuse(file, data):
            raise OSError(errno.ENOSPC, "No space left on device")

        with monkeypatch.context() as patch:
            patch.setattr("onyxfork.control.storage.write_all", refuse)
            assert storage.save_snapshot(1, 1, MEMBERS, b"s", (1, ""), []).is_err()
        assert storage.failure is None
        assert storage.write(None, [Entry(2, 1, 0, b"b")]).is_ok()
    with open_storage(tmp_path, "test", "c1") as storage:
        assert [entry.data for entry in storage.recovered.log.entries] == [b"a", b"b"]


@asynccontextmanager
async def single_replica(folder):
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
    with open_storage(folder, "test", "c1", "c1#0", MEMBERS) as storage:
        storage.log_file = FillingFile(storage.log_file)
        replica = DocumentReplica.from_config(settings, storage, Telemetry("control", "c1", "a"))
        async with run_replica(replica) as driver:
            yield replica, driver


async def test_change_is_acknowledged_only_once_the_disk_has_room(tmp_path):
    async with single_replica(tmp_path) as (replica, driver):
        async with asyncio.timeout(TIMEOUT_S):
            while not await replica.configure(1, b"{}"):
                pass
            disk = replica.storage.log_file
            disk.is_full = True
            assert not await replica.configure(2, b"{2}")
            assert disk.refused > 0 and not driver.done()
            assert replica.state.version == 1
            disk.is_full = False
            while not await replica.configure(2, b"{2}"):
                pass
            document = await replica.read_document()
        assert (document.version, document.body) == (2, b"{2}")
    with open_storage(tmp_path, "test", "c1") as storage:
        recovered = DocumentReplica.load_state(storage.recovered.state)
        for entry in storage.recovered.log.entries:
            if entry.kind == 0:
                recovered.apply(entry.index, entry.data)
        assert recovered.version == 2


async def test_other_error_after_a_full_disk_ends_the_instance(tmp_path, monkeypatch):
    """The disk has room again, but a sync fails: what is on it is not known any more."""
    async with single_replica(tmp_path) as (replica, driver):
        async with asyncio.timeout(TIMEOUT_S):
            while not await replica.configure(1, b"{}"):
                pass
            disk = replica.storage.log_file
            disk.is_full = True
            assert not await replica.configure(2, b"{2}")

            def refuse(descriptor):
                raise OSError(errno.EIO, "Input/output error")

            with monkeypatch.context() as patch:
                patch.setattr("onyxfork.control.storage.os.fsync", refuse)
                disk.is_full = False
                await asyncio.wait([driver])
        assert "Input/output error" in str(driver.exception())
