"""Slopes of agreement, fan-out, claims and start-up of control."""

import time
from random import Random
from tempfile import TemporaryDirectory

from onyxfork.control.commands import Announce, Change, Claim
from onyxfork.control.fanout import Fanout, Follower
from onyxfork.control.raft import Raft
from onyxfork.control.raft_messages import Members
from onyxfork.control.state import ControlState
from onyxfork.control.storage import open_storage
from onyxfork.messages import pack
from onyxfork.utils import SystemClock
from onyxfork.utils.ids import new_id
from onyxfork.workload.fitting import REPEATS, fit, processor_us
from onyxfork.workload.slopes_entry import WALL_MS, make_rows, node_fields

__all__ = [
    "commit_slope",
    "agreed_claim_slope",
    "claim_slope",
    "fanout_slopes",
    "snapshot_slope",
]


def commit_slope(sizes=(50, 100, 200, 400)):
    """Return the processor time of one change, agreed, synced and applied by one replica."""
    points = []
    for size in sizes:
        with TemporaryDirectory(prefix="onyxfork-commit-") as folder:
            began = time.process_time_ns()
            commit_changes(folder, size)
            points.append((size, (time.process_time_ns() - began) / 1000))
    return fit("a change at one replica", "µs", points)


def commit_changes(folder, count):
    """Agree on changes one after the other."""
    members = Members({"c#0": "127.0.0.1:1"})
    state = ControlState()
    with open_storage(folder, "c", "c", "c#0", members) as storage:
        raft = Raft("c#0", members, rng=Random(1))
        raft.tick(10.0)
        drain(raft, storage, state)
        for number in range(count):
            fields = {"weight": float(number + 1)}
            command = new_id(WALL_MS, Random(number))
            change = Change(command, "o", WALL_MS, "organisation", "o", "put", fields)
            raft.propose(pack([change]), 10.0)
            drain(raft, storage, state)


def drain(raft, storage, state):
    """Carry out what a single replica is ready for."""
    while raft.has_ready():
        ready = raft.take_ready()
        if ready.must_sync:
            storage.write(ready.hard_state, ready.entries)
        for entry in ready.entries[-1:]:
            raft.mark_durable(entry.index, entry.term, 10.0)
        for entry in ready.committed:
            if entry.data:
                state.apply(entry.index, entry.data)


class CountingConnection:
    """Packs what it is given, as a connection would."""

    def __init__(self):
        self.bytes = 0

    def send(self, message):
        self.bytes += len(pack([message])) + 4


def fanout_slopes(sizes=(100, 200, 400, 800)):
    """Return the processor time and bytes of one change and of one heartbeat a follower."""
    changes, beats, sent = [], [], []
    for size in sizes:
        state = make_rows(10)
        fanout = Fanout(state, "c", SystemClock())
        for _ in range(size):
            connection = CountingConnection()
            follower = Follower(connection, ("node", "job"), sent=state.version)
            fanout.followers[connection] = follower

        def change(state=state, fanout=fanout):
            node = {**node_fields(1), "sequence": state.applied + 5}
            state.apply(state.applied + 1, pack([Announce(WALL_MS, [node])]))
            fanout.flush()

        changes.append((size, processor_us(change)))
        beats.append((size, processor_us(lambda fanout=fanout: fanout.send_updates(True))))
        sent.append((size, sum(c.bytes for c in fanout.followers) / 2 / REPEATS))
    return [
        fit("a change for each follower", "µs", changes),
        fit("a heartbeat for each follower", "µs", beats),
        fit("bytes of a change or heartbeat for each follower", "bytes", sent),
    ]


def snapshot_slope(sizes=(1000, 2000, 4000, 8000)):
    """Return the processor time to start from a snapshot, for each row."""
    points = []
    for size in sizes:
        body = make_rows(size).to_snapshot()
        points.append((size, processor_us(lambda body=body: ControlState.from_snapshot(body))))
    return fit("start from a snapshot, a row", "µs", points)


def agreed_claim_slope(sizes=(512, 1024, 2048, 4096)):
    """Return the processor time of a claim agreed at one replica, 64 sharing each sync."""
    points = []
    for size in sizes:
        with TemporaryDirectory(prefix="onyxfork-claims-") as folder:
            began = time.process_time_ns()
            commit_claims(folder, size, 64)
            points.append((size, (time.process_time_ns() - began) / 1000))
    return fit("a claim agreed, in batches", "µs", points)


def commit_claims(folder, count, batch):
    """Agree on claims, several a sync."""
    members = Members({"c#0": "127.0.0.1:1"})
    state = ControlState()
    with open_storage(folder, "c", "c", "c#0", members) as storage:
        raft = Raft("c#0", members, rng=Random(1))
        raft.tick(10.0)
        drain(raft, storage, state)
        for first in range(0, count, batch):
            for number in range(first, first + batch):
                key = new_id(WALL_MS, Random(number))
                raft.propose(pack([Claim(WALL_MS, key, "d" * 24, "entry-1", 1)]), 10.0)
            drain(raft, storage, state)


def claim_slope(sizes=(250, 500, 1000, 2000)):
    """Return the processor time to apply one claim."""

    def work(count):
        state = ControlState()
        for number in range(count):
            key = new_id(WALL_MS, Random(number))
            state.apply(number + 1, pack([Claim(WALL_MS, key, "d" * 24, "entry-1", 1)]))

    return fit("a claim applied", "µs", [(n, processor_us(lambda n=n: work(n))) for n in sizes])
