"""The replicated log and its snapshots on disk.

A data folder holds ``identity`` (which cluster and which replica it belongs to), the latest
snapshot and one log file that continues it. A record is a magic number, its length, a CRC-32C and
msgpack bytes; it counts only once it is synced. A last record that is incomplete or damaged was
never acknowledged as synced and is cut off; a damaged record with sound ones after it is refused.
"""

import os
import struct
import uuid
from contextlib import contextmanager, suppress
from pathlib import Path

from attrs import define, field
from crc32c import crc32c
from result import Err, Ok

from onyxfork.control.raft_log import RaftLog
from onyxfork.control.raft_messages import Entry, Members
from onyxfork.errors import CorruptLogError, ForeignDataError, StorageError
from onyxfork.messages.codec import structure, unstructure
from onyxfork.utils.packing import from_bytes, to_bytes

__all__ = ["Storage", "Recovered", "open_storage", "read_records", "encode_record"]

MAGIC = b"OxF1"
HEADER = struct.Struct(">4sII")
MAX_RECORD_BYTES = 256 * 1024 * 1024
ENTRY_RECORD = 1
HARD_STATE_RECORD = 2


@define
class Recovered:
    """What a data folder held at start-up."""

    identity: str
    is_new: bool
    members: Members
    state: bytes | None
    log: RaftLog
    term: int = 0
    vote: str = ""
    truncated_bytes: int = 0


@define
class Storage:
    """An open data folder.

    Parameters
    ----------
    folder : pathlib.Path
    recovered : Recovered
    log_file : file object
        Opened for appending, unbuffered.
    """

    folder: Path
    recovered: Recovered
    log_file: object
    log_path: Path
    log_bytes: int = 0
    failure: str | None = field(default=None)

    def write(self, hard_state, entries):
        """Append records and sync them.

        Parameters
        ----------
        hard_state : tuple of (int, str) or None
        entries : list of Entry
            An entry at an index already written replaces it and everything after.

        Returns
        -------
        Result
            ``Ok(bytes written)`` or ``Err(reason)``; after an error nothing is written any more.
        """
        records = []
        if hard_state is not None:
            records.append(encode_record([HARD_STATE_RECORD, *hard_state]))
        records += [encode_record([ENTRY_RECORD, *unstructure(entry)]) for entry in entries]
        return self.append(b"".join(records))

    def append(self, data):
        """Append bytes to the log file and sync them."""
        if self.failure is not None:
            return Err(self.failure)
        try:
            write_all(self.log_file, data)
            os.fsync(self.log_file.fileno())
        except OSError as error:
            self.failure = f"{self.log_path.name}: {error.strerror}"
            return Err(self.failure)
        self.log_bytes += len(data)
        return Ok(len(data))

    def save_snapshot(self, index, term, members, state, hard_state, tail):
        """Write a snapshot and start a new log file with what follows it.

        Parameters
        ----------
        index, term : int
            The last entry that the snapshot covers.
        members : Members
        state : bytes
        hard_state : tuple of (int, str)
        tail : list of Entry

        Returns
        -------
        Result
        """
        if self.failure is not None:
            return Err(self.failure)
        old_log, old_snapshots = self.log_path, list(self.folder.glob("snapshot-*"))
        try:
            body = encode_record([index, term, unstructure(members), state])
            write_file(self.folder / f"snapshot-{index:020d}", body)
            self.log_file.close()
            self.log_path = self.folder / f"log-{index:020d}"
            records = [encode_record([HARD_STATE_RECORD, *hard_state])]
            records += [encode_record([ENTRY_RECORD, *unstructure(entry)]) for entry in tail]
            write_file(self.log_path, b"".join(records))
            self.log_file = open(self.log_path, "ab", buffering=0)
        except OSError as error:
            self.failure = f"snapshot {index}: {error.strerror}"
            return Err(self.failure)
        self.log_bytes = self.log_path.stat().st_size
        for path in [old_log, *old_snapshots]:
            if path not in (self.log_path, self.folder / f"snapshot-{index:020d}"):
                path.unlink(missing_ok=True)
        return Ok(index)


def write_all(file, data):
    """Write every byte to an unbuffered file."""
    view = memoryview(data)
    while view:
        view = view[file.write(view) :]


def write_file(path, data):
    """Write a file under a temporary name, sync it and its folder, and rename it."""
    temporary = path.with_suffix(".tmp")
    with open(temporary, "wb", buffering=0) as file:
        write_all(file, data)
        os.fsync(file.fileno())
    temporary.rename(path)
    sync_folder(path.parent)


def sync_folder(folder):
    """Sync the names in a folder."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def encode_record(value):
    """Return the bytes of one record.

    Parameters
    ----------
    value : list
        Plain msgpack values.

    Returns
    -------
    bytes
    """
    body = to_bytes(value)
    return HEADER.pack(MAGIC, len(body), crc32c(body)) + body


def read_record(data, offset):
    """Return the value at `offset` and the offset after it, or None when it is damaged."""
    if len(data) - offset < HEADER.size:
        return None
    magic, size, checksum = HEADER.unpack_from(data, offset)
    begin = offset + HEADER.size
    if magic != MAGIC or size > MAX_RECORD_BYTES or begin + size > len(data):
        return None
    body = data[begin : begin + size]
    if crc32c(body) != checksum:
        return None
    return from_bytes(body), begin + size


def read_records(data, name):
    """Return the records of a log file and the length of its sound part.

    Parameters
    ----------
    data : bytes
    name : str
        Of the file, for the error.

    Returns
    -------
    tuple of (list, int)

    Raises
    ------
    CorruptLogError
        When a damaged record is followed by a sound one.
    """
    values = []
    offset = 0
    while offset < len(data):
        found = read_record(data, offset)
        if found is None:
            later = find_sound_record(data, offset + 1)
            if later is not None:
                raise CorruptLogError(
                    f"{name}: damaged record at byte {offset}, sound records from byte {later}; "
                    "restore the folder from a backup or replace this replica"
                )
            break
        value, offset = found
        values.append(value)
    return values, offset


def find_sound_record(data, start):
    """Return the offset of the next sound record, or None."""
    offset = data.find(MAGIC, start)
    while offset != -1:
        if read_record(data, offset) is not None:
            return offset
        offset = data.find(MAGIC, offset + 1)
    return None


def load_identity(folder, cluster, node, identity, members):
    """Return the replica's identity, its first members, and whether the folder is new.

    Raises
    ------
    ForeignDataError
        When the folder belongs to another cluster or node.
    """
    path = folder / "identity"
    if not path.exists():
        if any(folder.glob("log-*")) or any(folder.glob("snapshot-*")):
            raise ForeignDataError(f"{folder}: log files without an identity file")
        write_file(path, encode_record([cluster, node, identity, unstructure(members)]))
        return identity, members, True
    found = read_record(path.read_bytes(), 0)
    if found is None:
        raise CorruptLogError(f"{path}: damaged identity file")
    (known_cluster, known_node, known_identity, *first), _ = found
    if (known_cluster, known_node) != (cluster, node):
        raise ForeignDataError(
            f"{folder}: belongs to replica {known_node!r} of cluster {known_cluster!r}, "
            f"not to {node!r} of {cluster!r}"
        )
    # Folders of earlier versions hold no members: their settings name them at every start.
    return known_identity, structure(first[0], Members) if first else members, False


def load_snapshot(folder):
    """Return (index, term, members, state) of the latest snapshot, or None."""
    paths = sorted(folder.glob("snapshot-*[0-9]"))
    if not paths:
        return None
    found = read_record(paths[-1].read_bytes(), 0)
    if found is None:
        raise CorruptLogError(f"{paths[-1].name}: damaged snapshot")
    index, term, members, state = found[0]
    return index, term, structure(members, Members), state


def load_log(path, log):
    """Read a log file into `log`; return term, vote and the length of the sound part."""
    term, vote = 0, ""
    values, sound = read_records(path.read_bytes(), path.name)
    for kind, *fields in values:
        if kind == HARD_STATE_RECORD:
            term, vote = fields
            continue
        entry = structure(fields, Entry)
        if entry.index <= log.base_index:
            continue
        if entry.index <= log.last_index:
            log.truncate(entry.index)
        if entry.index != log.last_index + 1:
            raise CorruptLogError(
                f"{path.name}: entry {entry.index} follows entry {log.last_index}"
            )
        log.entries.append(entry)
    return term, vote, sound


def recover(folder, cluster, node, new_identity, initial_members):
    """Read a data folder; return what it held and the path of its log file."""
    folder.mkdir(parents=True, exist_ok=True)
    for leftover in folder.glob("*.tmp"):
        leftover.unlink()
    found = load_identity(folder, cluster, node, new_identity, initial_members)
    identity, members, is_new = found
    recovered = Recovered(identity, is_new, members, None, RaftLog())
    snapshot = load_snapshot(folder)
    if snapshot is not None:
        index, term, recovered.members, recovered.state = snapshot
        recovered.log.reset(index, term)
    path = folder / f"log-{recovered.log.base_index:020d}"
    if not path.exists():
        logs = sorted(folder.glob("log-*[0-9]"))
        path = logs[-1] if logs else path
    if path.exists():
        recovered.term, recovered.vote, sound = load_log(path, recovered.log)
        recovered.truncated_bytes = path.stat().st_size - sound
        if recovered.truncated_bytes:
            os.truncate(path, sound)
    return recovered, path


@contextmanager
def open_storage(folder, cluster, node, new_identity=None, initial_members=None):
    """Open a data folder and yield its `Storage`.

    Parameters
    ----------
    folder : path-like
    cluster, node : str
        Whom the folder must belong to.
    new_identity : str, optional
        Identity of the replica when the folder is new; a fresh one when omitted.
    initial_members : Members, optional
        Members when the folder is new.

    Yields
    ------
    Storage

    Raises
    ------
    StorageError
        When the folder is damaged, foreign, or can not be written.
    """
    folder = Path(folder)
    identity = new_identity or f"{node}#{uuid.uuid4().hex[:8]}"
    try:
        recovered, path = recover(folder, cluster, node, identity, initial_members or Members())
        log_file = open(path, "ab", buffering=0)
        sync_folder(folder)
    except OSError as error:
        raise StorageError(f"{folder}: {error.strerror}") from error
    storage = Storage(folder, recovered, log_file, path, path.stat().st_size)
    try:
        yield storage
    finally:
        with suppress(OSError):
            storage.log_file.close()
