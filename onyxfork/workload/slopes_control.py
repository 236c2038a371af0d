"""Slopes of control: commits, fan-out to followers, claims and loading a snapshot."""

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
from onyxfork.workload.fitting import REPEATS, fit_line, min_processor_us
from onyxfork.workload.slopes_entry import WALL_MS, make_node_fields, make_state_with_nodes

__all__ = [
    "commit_slope",
    "committed_claim_slope",
    "claim_slope",
    "fanout_slopes",
    "snapshot_slope",
]


def commit_slope(sizes=(50, 100, 200, 400)):
    """Return the slope of processor time per change committed and applied by one replica."""
    points = []
    for size in sizes:
        with TemporaryDirectory(prefix="onyxfork-commit-") as folder:
            began = time.process_time_ns()
            commit_changes(folder, size)
            points.append((size, (time.process_time_ns() - began) / 1000))
    return fit_line("a change at one replica", "µs", points)


def commit_changes(folder, count):
    """Commit changes at a single replica, with a sync for each."""
    members = Members({"c#0": "127.0.0.1:1"})
    state = ControlState()
    with open_storage(folder, "c", "c", "c#0", members) as storage:
        raft = Raft("c#0", members, rng=Random(1))
        raft.tick(10.0)
        process_ready(raft, storage, state)
        for number in range(count):
            fields = {"weight": float(number + 1)}
            command = new_id(WALL_MS, Random(number))
            change = Change(command, "o", WALL_MS, "organisation", "o", "put", fields)
            raft.propose(pack([change]), 10.0)
            process_ready(raft, storage, state)


def process_ready(raft, storage, state):
    """Write, mark as durable and apply what a single replica is ready for."""
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
    """Encodes messages as a connection does and counts the bytes instead of sending them."""

    def __init__(self):
        self.sent_bytes = 0

    def send(self, message):
        self.sent_bytes += len(pack([message])) + 4


def fanout_slopes(sizes=(100, 200, 400, 800)):
    """Return slopes of the processor time and bytes per follower of a change and a heartbeat."""
    changes, heartbeats, sent = [], [], []
    for size in sizes:
        state = make_state_with_nodes(10)
        fanout = Fanout(state, "c", SystemClock())
        for _ in range(size):
            connection = CountingConnection()
            follower = Follower(connection, ("node", "job"), sent=state.version)
            fanout.followers[connection] = follower

        def change(state=state, fanout=fanout):
            node = {**make_node_fields(1), "sequence": state.applied + 5}
            state.apply(state.applied + 1, pack([Announce(WALL_MS, [node])]))
            fanout.flush()

        changes.append((size, min_processor_us(change)))
        heartbeats.append((size, min_processor_us(lambda fanout=fanout: fanout.send_updates(True))))
        sent.append((size, sum(receiver.sent_bytes for receiver in fanout.followers) / 2 / REPEATS))
    return [
        fit_line("a change for each follower", "µs", changes),
        fit_line("a heartbeat for each follower", "µs", heartbeats),
        fit_line("bytes of a change or heartbeat for each follower", "bytes", sent),
    ]


def snapshot_slope(sizes=(1000, 2000, 4000, 8000)):
    """Return the slope of processor time per row to load a snapshot."""
    points = []
    for size in sizes:
        body = make_state_with_nodes(size).to_snapshot()
        points.append((size, min_processor_us(lambda body=body: ControlState.from_snapshot(body))))
    return fit_line("start from a snapshot, a row", "µs", points)


def committed_claim_slope(sizes=(512, 1024, 2048, 4096)):
    """Return the slope of processor time per claim committed at one replica, 64 claims per sync."""
    points = []
    for size in sizes:
        with TemporaryDirectory(prefix="onyxfork-claims-") as folder:
            began = time.process_time_ns()
            commit_claims(folder, size, 64)
            points.append((size, (time.process_time_ns() - began) / 1000))
    return fit_line("a claim agreed, in batches", "µs", points)


def commit_claims(folder, count, batch):
    """Commit claims at a single replica, `batch` claims per sync."""
    members = Members({"c#0": "127.0.0.1:1"})
    state = ControlState()
    with open_storage(folder, "c", "c", "c#0", members) as storage:
        raft = Raft("c#0", members, rng=Random(1))
        raft.tick(10.0)
        process_ready(raft, storage, state)
        for first in range(0, count, batch):
            for number in range(first, first + batch):
                key = new_id(WALL_MS, Random(number))
                raft.propose(pack([Claim(WALL_MS, key, "d" * 24, "entry-1", 1)]), 10.0)
            process_ready(raft, storage, state)


def claim_slope(sizes=(250, 500, 1000, 2000)):
    """Return the slope of processor time per claim applied to the state."""

    def work(count):
        state = ControlState()
        for number in range(count):
            key = new_id(WALL_MS, Random(number))
            state.apply(number + 1, pack([Claim(WALL_MS, key, "d" * 24, "entry-1", 1)]))

    return fit_line(
        "a claim applied", "µs", [(n, min_processor_us(lambda n=n: work(n))) for n in sizes]
    )
