"""Durable storage of the replicated log and its snapshots.

A data folder holds the file ``identity`` (the cluster, node and replica it belongs to), the latest
snapshot, and one log file with the log entries after the snapshot and the hard state (term and
vote). A record consists of a magic number, the length and the CRC-32C of its body, and the body in
msgpack. What is written with one sync is one record. A last record that is incomplete or damaged
was never acknowledged as synced and is truncated. A damaged record that is followed by valid ones
is an error.
"""

import errno
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

RECORD_MAGIC = b"OxF1"
RECORD_HEADER = struct.Struct(">4sII")
MAX_RECORD_BYTES = 256 * 1024 * 1024
NO_SPACE_ERRORS = (errno.ENOSPC, errno.EDQUOT)

ENTRY_RECORD = 1
HARD_STATE_RECORD = 2
BATCH_RECORD = 3
"""A record with the bodies of several others. When power is lost before the sync, later blocks of a
write may be on the disk without the first ones."""


@define
class Recovered:
    """The contents of a data folder at start-up.

    Parameters
    ----------
    identity : str
        Identity of the replica.
    is_new : bool
        Whether the folder was created by this start.
    members : Members
        Members as of the snapshot, or the initial members.
    state : bytes or None
        State of the snapshot.
    log : RaftLog
        Entries after the snapshot.
    term : int
    vote : str
        Candidate voted for in `term`.
    truncated_bytes : int
        Length of an incomplete or damaged last record that was cut off the log file.
    """

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
    log_path : pathlib.Path
    log_bytes : int
        Length of the log file.
    failure : str or None
        First write error other than a full disk; nothing is written after it.
    is_full : bool
        Whether the latest write failed because the disk is full. It has left no trace, and may be
        tried again.
    """

    folder: Path
    recovered: Recovered
    log_file: object
    log_path: Path
    log_bytes: int = 0
    failure: str | None = field(default=None)
    is_full: bool = False

    def write(self, hard_state, entries):
        """Append hard state and entries to the log file and sync it.

        Parameters
        ----------
        hard_state : tuple of (int, str) or None
            Term and vote.
        entries : list of Entry
            An entry with an index already written replaces that entry and all later ones.

        Returns
        -------
        Result
            ``Ok(bytes written)`` or ``Err(reason)``; every write after an error fails, too,
            unless the error was a full disk.
        """
        bodies = [] if hard_state is None else [[HARD_STATE_RECORD, *hard_state]]
        bodies += [[ENTRY_RECORD, *unstructure(entry)] for entry in entries]
        if not bodies:
            return self.append(b"")
        return self.append(encode_record([BATCH_RECORD, *bodies] if bodies[1:] else bodies[0]))

    def append(self, data):
        """Append bytes to the log file and sync it."""
        if self.failure is not None:
            return Err(self.failure)
        try:
            write_all(self.log_file, data)
        except OSError as error:
            reason = f"{self.log_path.name}: {error.strerror}"
            self.is_full = error.errno in NO_SPACE_ERRORS and self.remove_partial_write()
            self.failure = None if self.is_full else reason
            return Err(reason)
        try:
            os.fsync(self.log_file.fileno())
        except OSError as error:
            self.is_full = False
            self.failure = f"{self.log_path.name}: {error.strerror}"
            return Err(self.failure)
        self.is_full = False
        self.log_bytes += len(data)
        return Ok(len(data))

    def remove_partial_write(self):
        """Remove the rest of a failed write from the log; return whether that succeeded."""
        try:
            os.ftruncate(self.log_file.fileno(), self.log_bytes)
        except OSError:
            return False
        return True

    def save_snapshot(self, index, term, members, state, hard_state, entries):
        """Write a snapshot and a new log file with the entries after it; delete the old files.

        If the disk is full, the old files stay in use.

        Parameters
        ----------
        index, term : int
            Index and term of the last entry that the snapshot covers.
        members : Members
        state : bytes
        hard_state : tuple of (int, str)
            Term and vote.
        entries : list of Entry
            Entries after `index`.

        Returns
        -------
        Result
            ``Ok(index)`` or ``Err(reason)``.
        """
        if self.failure is not None:
            return Err(self.failure)
        old_log, old_snapshots = self.log_path, list(self.folder.glob("snapshot-*"))
        snapshot_path = self.folder / f"snapshot-{index:020d}"
        log_path = self.folder / f"log-{index:020d}"
        try:
            body = encode_record([index, term, unstructure(members), state])
            write_file(snapshot_path, body)
            records = [encode_record([HARD_STATE_RECORD, *hard_state])]
            records += [encode_record([ENTRY_RECORD, *unstructure(entry)]) for entry in entries]
            write_file(log_path, b"".join(records))
            self.log_file.close()
            self.log_path = log_path
            self.log_file = open(self.log_path, "ab", buffering=0)
        except OSError as error:
            reason = f"snapshot {index}: {error.strerror}"
            self.is_full = error.errno in NO_SPACE_ERRORS and self.log_path != log_path
            self.failure = None if self.is_full else reason
            return Err(reason)
        self.is_full = False
        self.log_bytes = self.log_path.stat().st_size
        for path in [old_log, *old_snapshots]:
            if path not in (self.log_path, snapshot_path):
                path.unlink(missing_ok=True)
        return Ok(index)


def write_all(file, data):
    """Write every byte to an unbuffered file."""
    view = memoryview(data)
    while view:
        view = view[file.write(view) :]


def write_file(path, data):
    """Write a file atomically: write and sync a temporary file, rename it, sync the folder."""
    temporary = path.with_suffix(".tmp")
    try:
        with open(temporary, "wb", buffering=0) as file:
            write_all(file, data)
            os.fsync(file.fileno())
    except OSError:
        temporary.unlink(missing_ok=True)
        raise
    temporary.rename(path)
    sync_folder(path.parent)


def sync_folder(folder):
    """Sync the directory entries of a folder."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def encode_record(value):
    """Return one record as bytes.

    Parameters
    ----------
    value : list
        Body of the record; its items must be msgpack types.

    Returns
    -------
    bytes
    """
    body = to_bytes(value)
    return RECORD_HEADER.pack(RECORD_MAGIC, len(body), crc32c(body)) + body


def read_record(data, offset):
    """Return the body of the record at `offset` and the offset after it.

    Return None when the record is incomplete or damaged.
    """
    if len(data) - offset < RECORD_HEADER.size:
        return None
    magic, size, checksum = RECORD_HEADER.unpack_from(data, offset)
    begin = offset + RECORD_HEADER.size
    # The header of a torn write may be zero after the magic number: CRC-32C of no bytes is 0.
    if magic != RECORD_MAGIC or not 0 < size <= MAX_RECORD_BYTES or begin + size > len(data):
        return None
    body = data[begin : begin + size]
    if crc32c(body) != checksum:
        return None
    return from_bytes(body), begin + size


def read_records(data, name):
    """Return the bodies of the records of a log file and the length of its valid part.

    Those within a record of several are returned one by one.

    Parameters
    ----------
    data : bytes
    name : str
        Name of the file, for the error message.

    Returns
    -------
    tuple of (list, int)

    Raises
    ------
    CorruptLogError
        When a damaged record is followed by a valid one.
    """
    values = []
    offset = 0
    while offset < len(data):
        record = read_record(data, offset)
        if record is None:
            valid_offset = find_valid_record(data, offset + 1)
            if valid_offset is not None:
                raise CorruptLogError(
                    f"{name}: damaged record at byte {offset}, "
                    f"valid records from byte {valid_offset}; "
                    "restore the folder from a backup or replace this replica"
                )
            break
        value, offset = record
        values += value[1:] if value[0] == BATCH_RECORD else [value]
    return values, offset


def find_valid_record(data, start):
    """Return the offset of the next valid record from `start` on, or None."""
    offset = data.find(RECORD_MAGIC, start)
    while offset != -1:
        if read_record(data, offset) is not None:
            return offset
        offset = data.find(RECORD_MAGIC, offset + 1)
    return None


def read_or_create_identity(folder, cluster, node, identity, members):
    """Return the replica's identity, its initial members, and whether the folder is new.

    A new folder gets an identity file with the given identity and members.

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
    record = read_record(path.read_bytes(), 0)
    if record is None:
        raise CorruptLogError(f"{path}: damaged identity file")
    (stored_cluster, stored_node, stored_identity, *stored_members), _ = record
    if (stored_cluster, stored_node) != (cluster, node):
        raise ForeignDataError(
            f"{folder}: belongs to replica {stored_node!r} of cluster {stored_cluster!r}, "
            f"not to {node!r} of {cluster!r}"
        )
    # Folders of earlier versions store no members; the settings name them at each start.
    return (
        stored_identity,
        structure(stored_members[0], Members) if stored_members else members,
        False,
    )


def read_snapshot(folder):
    """Return (index, term, members, state) of the latest snapshot, or None."""
    paths = sorted(folder.glob("snapshot-*[0-9]"))
    if not paths:
        return None
    record = read_record(paths[-1].read_bytes(), 0)
    if record is None:
        raise CorruptLogError(f"{paths[-1].name}: damaged snapshot")
    index, term, members, state = record[0]
    return index, term, structure(members, Members), state


def read_log(path, log):
    """Read a log file into `log`; return term, vote and the length of the valid part."""
    term, vote = 0, ""
    values, valid_bytes = read_records(path.read_bytes(), path.name)
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
                f"{path.name}: entry {entry.index} follows entry {log.last_index}; "
                "entries are missing"
            )
        log.entries.append(entry)
    return term, vote, valid_bytes


def recover(folder, cluster, node, new_identity, initial_members):
    """Read a data folder; return its `Recovered` contents and the path of its log file.

    Deletes temporary files of interrupted writes and truncates an incomplete last record.
    """
    folder.mkdir(parents=True, exist_ok=True)
    for temporary in folder.glob("*.tmp"):
        temporary.unlink()
    contents = read_or_create_identity(folder, cluster, node, new_identity, initial_members)
    identity, members, is_new = contents
    recovered = Recovered(identity, is_new, members, None, RaftLog())
    snapshot = read_snapshot(folder)
    if snapshot is not None:
        index, term, recovered.members, recovered.state = snapshot
        recovered.log.reset(index, term)
    path = folder / f"log-{recovered.log.base_index:020d}"
    if not path.exists():
        logs = sorted(folder.glob("log-*[0-9]"))
        path = logs[-1] if logs else path
    if path.exists():
        recovered.term, recovered.vote, valid_bytes = read_log(path, recovered.log)
        recovered.truncated_bytes = path.stat().st_size - valid_bytes
        if recovered.truncated_bytes:
            os.truncate(path, valid_bytes)
    return recovered, path


@contextmanager
def open_storage(folder, cluster, node, new_identity=None, initial_members=None):
    """Open a data folder and yield its `Storage`.

    Parameters
    ----------
    folder : path-like
    cluster, node : str
        Cluster and node that the folder must belong to.
    new_identity : str, optional
        Identity of the replica when the folder is new; a random one when omitted.
    initial_members : Members, optional
        Members when the folder is new.

    Yields
    ------
    Storage

    Raises
    ------
    StorageError
        When the folder is damaged, belongs to another replica, or cannot be written.
    """
    folder = Path(folder)
    identity = new_identity or f"{node}#{uuid.uuid4().hex[:8]}"
    try:
        recovered, path = recover(folder, cluster, node, identity, initial_members or Members())
        log_file = open(path, "ab", buffering=0)
        # A process killed before its sync leaves writes that have been read, but are not durable.
        os.fsync(log_file.fileno())
        sync_folder(folder)
    except OSError as error:
        raise StorageError(f"{folder}: {error.strerror}") from error
    storage = Storage(folder, recovered, log_file, path, path.stat().st_size)
    try:
        yield storage
    finally:
        with suppress(OSError):
            storage.log_file.close()
