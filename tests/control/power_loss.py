"""A disk that loses what was not synced when its machine loses power.

`LossyDisk` follows the calls of `onyxfork.control.storage` on real folders. A sync of a file makes
its content durable, a sync of a folder the names in it. Everything later is kept, lost or torn by
itself when power is lost.
"""

import os
from pathlib import Path
from random import Random

from attrs import define, field

from onyxfork.control import storage

__all__ = ["LossyDisk", "PowerLost", "install_disk"]

BLOCK_BYTES = 64
"""Unit in which a torn write is present or missing, below the length of a batch of records."""


class PowerLost(BaseException):
    """Ends a function that uses the disk, at the moment at which power is lost."""


@define(eq=False)
class LossyDisk:
    """Contents of files and folders as of their last sync.

    Attributes
    ----------
    mode : str
        What happens to unsynced operations: ``lost``, ``kept`` or ``random``.
    contents : dict of int to bytes
        Durable content of each file by inode number.
    names : dict of str to dict of str to int
        Durable names in each folder, and their inode numbers.
    steps_left : float
        Operations until power is lost.
    """

    folder: Path
    rng: Random
    mode: str = "random"
    contents: dict = field(factory=dict)
    names: dict = field(factory=dict)
    steps_left: float = float("inf")

    def step(self):
        """Count one operation, or raise `PowerLost` in its place."""
        if self.steps_left <= 0:
            raise PowerLost
        self.steps_left -= 1

    def interrupt(self, function, *arguments):
        """Call a function that loses power after a random number of operations."""
        self.steps_left = self.rng.randrange(12)
        try:
            function(*arguments)
        except PowerLost:
            pass
        finally:
            self.steps_left = float("inf")

    # Operations

    def fsync(self, descriptor):
        """Make the content of a file, or the names in a folder, durable."""
        self.step()
        path = Path(os.readlink(f"/proc/self/fd/{descriptor}"))
        if path.is_dir():
            self.names[str(path)] = {entry.name: entry.inode() for entry in os.scandir(path)}
            for name in self.names[str(path)]:
                self.pin(path / name)
        else:
            inode = self.pin(path)
            self.contents[inode] = path.read_bytes()

    def pin(self, path):
        """Return the inode number of a file, which no other file gets from now on."""
        inode = path.stat().st_ino
        pinned = self.folder / str(inode)
        if not pinned.exists():
            os.link(path, pinned)
        return inode

    def write_all(self, file, data):
        """Write all bytes, or a prefix of them if power is lost meanwhile."""
        try:
            self.step()
        except PowerLost:
            file.write(data[: self.rng.randrange(len(data) + 1)])
            raise
        file.write(data)

    # Loss of power

    def lose_power(self, folder):
        """Replace a folder of a process that has been killed by what is left of it."""
        durable = self.names.get(str(folder), {})
        current = {entry.name: entry.inode() for entry in os.scandir(folder)}
        for name in current:
            self.pin(folder / name)
        left = {}
        for name in sorted({*durable, *current}):
            inode = self.choose(durable.get(name), current.get(name))
            if inode is not None:
                left[name] = self.choose_content(inode)
        for name in current:
            (folder / name).unlink()
        for name, content in left.items():
            (folder / name).write_bytes(content)
        self.names[str(folder)] = {name: self.pin(folder / name) for name in left}
        self.contents |= {inode: left[name] for name, inode in self.names[str(folder)].items()}

    def choose(self, durable, current):
        """Return the value before or after an operation that was not synced."""
        if self.mode == "random":
            return self.rng.choice([durable, current])
        return durable if self.mode == "lost" else current

    def choose_content(self, inode):
        """Return what is left of a file: the synced content and parts of what was written later."""
        durable = self.contents.get(inode, b"")
        current = (self.folder / str(inode)).read_bytes()
        if self.mode != "random" or not current.startswith(durable):
            return self.choose(durable, current)
        tail = current[len(durable) :]
        tail = tail[: self.rng.choice([0, len(tail), self.rng.randrange(len(tail) + 1)])]
        is_sparse = self.rng.random() < 0.5
        blocks = [tail[at : at + BLOCK_BYTES] for at in range(0, len(tail), BLOCK_BYTES)]
        for number, block in enumerate(blocks):
            if is_sparse and self.rng.random() < 0.5:
                blocks[number] = bytes(len(block))
        return durable + b"".join(blocks)


def install_disk(monkeypatch, disk):
    """Let `onyxfork.control.storage` use a `LossyDisk`."""
    disk.folder.mkdir()

    class DiskPath(type(Path())):
        """Path whose changes of names are operations of the disk."""

        def rename(self, target):
            disk.step()
            return super().rename(target)

        def unlink(self, missing_ok=False):
            disk.step()
            super().unlink(missing_ok)

    def truncate(path, size):
        disk.step()
        Path(path).write_bytes(Path(path).read_bytes()[:size])

    monkeypatch.setattr(storage, "Path", DiskPath)
    monkeypatch.setattr(storage, "write_all", disk.write_all)
    monkeypatch.setattr(storage.os, "fsync", disk.fsync)
    monkeypatch.setattr(storage.os, "truncate", truncate)
