"""Slopes of cost over size, measured on the product's own code with small stand-ins.

Each slope is fitted over at least four sizes. Times are processor times; they are also given as
ratios to a reference operation of the same run, so that they carry between machines.
"""

import asyncio
import gc
import time
import tracemalloc
from random import Random
from tempfile import TemporaryDirectory

import numpy as np
from attrs import define

from onyxfork.control.commands import Announce, Change, Claim
from onyxfork.control.fanout import Fanout, Follower
from onyxfork.control.raft import Raft
from onyxfork.control.raft_messages import Members
from onyxfork.control.state import ControlState
from onyxfork.control.storage import open_storage
from onyxfork.entities.agent_tasks import AgentState
from onyxfork.entities.catalogue import Catalogue, Job, Node
from onyxfork.entities.dispatch import Dispatch
from onyxfork.entities.submissions import Request
from onyxfork.messages import (
    PROTOCOL_VERSION,
    Hello,
    Lead,
    Led,
    Results,
    Start,
    TaskResult,
    Timing,
    open_connection,
    pack,
    serve,
    unpack,
)
from onyxfork.systems import execution
from onyxfork.systems.intake import let_in, take_in
from onyxfork.systems.membership import worker_led, worker_lost
from onyxfork.systems.policies import LateBinding
from onyxfork.systems.results import apply_result
from onyxfork.systems.tick import tick
from onyxfork.utils import SystemClock
from onyxfork.utils.ids import new_id

__all__ = ["Slope", "fit", "reference_us", "measure_slopes"]

WALL_MS = 1_700_000_000_000
REPEATS = 3


@define
class Slope:
    """A fitted line.

    Parameters
    ----------
    name, unit : str
    per_unit : float
        The slope.
    fixed : float
        The intercept.
    spread : float
        Standard error of the slope over the slope.
    points : list of (float, float)
    """

    name: str
    unit: str
    per_unit: float
    fixed: float
    spread: float
    points: list


def fit(name, unit, points):
    """Return the line through (size, cost) points."""
    sizes, costs = np.array(points, dtype=float).T
    per_unit, fixed = np.polyfit(sizes, costs, 1)
    residual = costs - (per_unit * sizes + fixed)
    freedom = max(1, len(points) - 2)
    error = np.sqrt(residual @ residual / freedom / ((sizes - sizes.mean()) ** 2).sum())
    spread = abs(error / per_unit) if per_unit else 0.0
    rounded = [(float(size), round(float(cost), 3)) for size, cost in points]
    return Slope(name, unit, float(per_unit), float(fixed), float(spread), rounded)


def processor_us(work):
    """Return the least processor time of a call over a few repeats, in microseconds."""
    times = []
    for _ in range(REPEATS):
        gc.collect()
        began = time.process_time_ns()
        work()
        times.append((time.process_time_ns() - began) / 1000)
    return min(times)


def reference_us():
    """Return the processor time of the reference operation: one result packed and unpacked."""
    message = [Results([make_result("s", 0)], 1, 1.0)]

    def work():
        for _ in range(20_000):
            unpack(pack(message))

    return processor_us(work) / 20_000


def held_bytes(make, size):
    """Return the bytes held by what `make(size)` returns."""
    gc.collect()
    tracemalloc.start()
    kept = make(size)
    gc.collect()
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return held


def make_result(name, index):
    """Return the result of a task."""
    return TaskResult(name, index, 1, "done", {"value": index}, None, 100.0, 0.1)


# Entry


def make_dispatch(workers, slots=8):
    """Return an owner that leads workers."""
    catalogue = Catalogue()
    catalogue.put("job", "o/s/j", Job("j", "s", "o", deadline_ms=60_000))
    state = Dispatch("c", LateBinding(), epoch=1, catalogue=catalogue, rng=Random(1))
    for number in range(workers):
        name = f"worker-{number}"
        node = Node(name, "agent", "127.0.0.1", 1, "z", incarnation="i", slots=slots)
        catalogue.put("node", name, node)
        led = Led("c", 1, "i", slots, False, [], 0.0, True, "serving")
        worker_led(state, node, led, 0.0)
    state.take_outbox()
    return state


def submit(state, tasks, now=0.0):
    """Let one submission in."""
    name = new_id(WALL_MS, state.rng)
    request = Request(name, "o", "", "s", "j", "d", now + 1e6, [None] * tasks, [100.0] * tasks)
    intake = take_in(state, request, now).ok_value
    let_in(state, intake.submission, now)
    return intake.submission


def run_tasks(state, jobs, tasks):
    """Place and finish jobs in the decision core, one job at a time."""
    for _ in range(jobs):
        submission = submit(state, tasks)
        while submission.answer is None:
            outbox = tick(state, 0.0, True)
            for name, starts in outbox.starts.items():
                worker = state.workers[name]
                for start in starts:
                    apply_result(state, worker, make_result(start.submission, start.index), 0.0)
        state.submissions.clear()
        state.deadlines.clear()
        state.retained.clear()


def decision_per_task(workers, sizes=(40, 80, 160, 320)):
    """Return the processor time a task of the decision core with a number of known workers."""
    state = make_dispatch(workers)
    points = [(jobs * 20, processor_us(lambda n=jobs: run_tasks(state, n, 20))) for jobs in sizes]
    return fit(f"decisions a task, {workers} known workers", "µs", points)


def codec_per_task(sizes=(1, 8, 32, 120)):
    """Return the processor time a task of packing starts and unpacking results at the entry."""
    points = []
    for size in sizes:
        state = make_dispatch(1, slots=size)
        submit(state, size)
        (starts,) = tick(state, 0.0, True).starts.values()
        message = [Start("c", 1, 1.0, starts)]
        answer = pack([Results([make_result("s" * 36, n) for n in range(size)], 1, 1.0)])

        def work(message=message, answer=answer):
            for _ in range(200):
                pack(message)
                unpack(answer)

        points.append((size, processor_us(work) / 200))
    return fit("codec a task at the entry", "µs", points)


def agent_per_task(sizes=(250, 500, 1000, 2000)):
    """Return the processor time a task of the agent's decisions and codec, HTTP aside."""
    points = []
    for size in sizes:
        frames = start_frames(size)
        points.append((size, processor_us(lambda frames=frames: run_agent_tasks(frames))))
    return fit("decisions and codec a task at the agent", "µs", points)


def start_frames(count):
    """Return frames of starts, one task each."""
    state = make_dispatch(1, slots=count)
    submit_many(state, count)
    (starts,) = tick(state, 0.0, True).starts.values()
    return [pack([Start("c", 1, 0.0, [start])]) for start in starts]


def run_agent_tasks(frames):
    """Accept, begin and finish tasks one message each."""
    state = AgentState("i", slots=8)
    execution.lead(state, Lead("c", 1, "e", 0.0), 0.0)
    for frame in frames:
        execution.accept(state, unpack(frame)[0], 0.0)
        for task in execution.begin_ready(state, 0.0):
            key = (task.submission, task.index)
            result = execution.finish(state, key, "done", None, None, 0.0)
            pack([Results([result], 1, 0.0)])


def loss_per_task(sizes=(64, 128, 256, 512)):
    """Return the processor time for each outstanding task when its worker is lost."""
    points = []
    for size in sizes:

        def work(size=size):
            state = make_dispatch(1, slots=size)
            for _ in range(size):
                submit(state, 1)
            tick(state, 0.0, True)
            began = time.process_time_ns()
            worker_lost(state, state.workers["worker-0"], "lost", 0.0)
            return (time.process_time_ns() - began) / 1000

        points.append((size, min(work() for _ in range(REPEATS))))
    return fit("loss of a worker, an outstanding task", "µs", points)


def memory_slopes():
    """Return bytes held for each kind of row."""
    sizes = (500, 1000, 2000, 4000)

    def outstanding(count):
        state = make_dispatch(1, slots=count)
        for _ in range(count // 20):
            submit(state, 20)
        return state, tick(state, 0.0, True)

    def waiting(count):
        state = make_dispatch(1, slots=1)
        for _ in range(count):
            submit(state, 20)
        return state

    def answered(count):
        state = make_dispatch(1, slots=20)
        for _ in range(count):
            submission = submit(state, 20)
            for starts in tick(state, 0.0, True).starts.values():
                for start in starts:
                    result = make_result(start.submission, start.index)
                    apply_result(state, state.workers["worker-0"], result, 0.0)
            submission.answer.outputs = []
        return state

    def claims(count):
        state = ControlState()
        for number in range(count):
            key = new_id(WALL_MS, Random(number))
            state.apply(number + 1, pack([Claim(WALL_MS, key, "d" * 24, "entry-1", 1)]))
        return state

    def ended(count):
        state = AgentState("i", slots=count)
        owner = make_dispatch(1, slots=count)
        execution.lead(state, Lead("c", 1, "e", 0.0), 0.0)
        submit_many(owner, count)
        for starts in tick(owner, 0.0, True).starts.values():
            execution.accept(state, Start("c", 1, 0.0, starts), 0.0)
        for task in execution.begin_ready(state, 0.0):
            key = (task.submission, task.index)
            execution.finish(state, key, "done", {"value": 1}, None, 0.0)
        return state

    makers = {
        "a known worker at the entry": make_dispatch,
        "an outstanding task at the entry": outstanding,
        "a waiting job of 20 tasks at the entry": waiting,
        "an answered job kept at the entry, outputs aside": answered,
        "an ended task remembered by the agent": ended,
        "a claim": claims,
        "a configuration row with its version": make_rows,
    }
    return [
        fit(name, "bytes", [(size, held_bytes(make, size)) for size in sizes])
        for name, make in makers.items()
    ]


def submit_many(state, count):
    """Let single-task submissions in."""
    for _ in range(count):
        submit(state, 1)


def make_rows(count):
    """Return a control state with node rows."""
    state = ControlState()
    nodes = [node_fields(number) for number in range(count)]
    state.apply(1, pack([Announce(WALL_MS, nodes)]))
    return state


def node_fields(number):
    """Return the fields of a node row."""
    return {
        "name": f"worker-{number}",
        "role": "agent",
        "host": "127.0.0.1",
        "port": 7000,
        "zone": f"zone-{number % 8}",
        "rack": f"rack-{number // 24}",
        "incarnation": "0123456789ab",
        "cell": "",
        "slots": 8,
        "sequence": 1,
    }


# Control


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
            raft.persisted(entry.index, entry.term, 10.0)
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
        beats.append((size, processor_us(lambda fanout=fanout: fanout.beat(True))))
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


# Connections


def make_hello():
    """Return a `Hello`."""
    return Hello(PROTOCOL_VERSION, "c", "entry", "n", "i", "z", time.monotonic())


async def connection_slopes(sizes=(25, 50, 100, 200), seconds=4.0):
    """Return memory, bytes a second at rest and processor time at rest of one connection end."""
    memory, traffic, cpu = [], [], []
    for size in sizes:
        tracemalloc.start()
        held, _, _ = await hold_connections(size, 0.1)
        tracemalloc.stop()
        _, rate, used = await hold_connections(size, seconds)
        memory.append((2 * size, held))
        traffic.append((2 * size, rate))
        cpu.append((2 * size, used))
    return [
        fit("an open connection end", "bytes", memory),
        fit("bytes a second at rest, a connection end", "bytes/s", traffic),
        fit("processor time a second at rest, a connection end", "µs/s", cpu),
    ]


async def hold_connections(size, seconds):
    """Hold connections at rest; return bytes held, bytes a second and µs a second, all ends."""
    sent = 0

    def counter(direction, _, frame_bytes):
        nonlocal sent
        if direction == "sent" and frame_bytes:
            sent += frame_bytes + 4

    async def accept(connection):
        connection.counter = counter
        await connection.run(lambda *_: None)

    gc.collect()
    before = tracemalloc.get_traced_memory()[0]
    async with serve("127.0.0.1", 0, make_hello, Timing(), accept) as port:
        stop = asyncio.Event()
        clients = [
            asyncio.create_task(hold_one(("127.0.0.1", port), counter, stop)) for _ in range(size)
        ]
        await asyncio.sleep(1.5)
        held, first = tracemalloc.get_traced_memory()[0] - before, sent
        began = time.process_time_ns()
        await asyncio.sleep(seconds)
        used = (time.process_time_ns() - began) / 1000 / seconds
        rate = (sent - first) / seconds
        stop.set()
        await asyncio.gather(*clients)
    return held, rate, used


async def hold_one(address, counter, stop):
    """Keep one connection open until told."""
    async with open_connection(address, make_hello(), Timing(), counter) as connection:
        reading = asyncio.create_task(connection.run(lambda *_: None))
        await stop.wait()
        reading.cancel()


def measure_slopes(out=print):
    """Measure every slope that needs no other process.

    Returns
    -------
    dict of str to Slope
    """
    steps = [
        lambda: [decision_per_task(workers) for workers in (11, 200, 2700)],
        lambda: [codec_per_task(), agent_per_task(), loss_per_task()],
        memory_slopes,
        lambda: [commit_slope(), snapshot_slope(), claim_slope(), agreed_claim_slope()],
        fanout_slopes,
        lambda: asyncio.run(connection_slopes()),
    ]
    slopes = {}
    for step in steps:
        for slope in step():
            slopes[slope.name] = slope
            out(f"{slope.name}: {slope.per_unit:.2f} {slope.unit} (spread {slope.spread:.1%})")
    return slopes
