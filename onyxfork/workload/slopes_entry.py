"""Slopes of the entry's and the agent's decisions, codec and memory."""

import time
from random import Random

from onyxfork.control.commands import Announce, Claim
from onyxfork.control.state import ControlState
from onyxfork.entities.agent_tasks import AgentState
from onyxfork.entities.catalogue import Catalogue, Job, Node
from onyxfork.entities.dispatch import Dispatch
from onyxfork.entities.submissions import Request
from onyxfork.messages import Lead, Led, Results, Start, TaskResult, pack, unpack
from onyxfork.systems import execution
from onyxfork.systems.intake import accept_request, enqueue_admitted
from onyxfork.systems.membership import register_worker, remove_lost_worker
from onyxfork.systems.policies import LateBinding
from onyxfork.systems.results import apply_result
from onyxfork.systems.tick import tick
from onyxfork.utils.ids import new_id
from onyxfork.workload.fitting import REPEATS, fit, held_bytes, processor_us

__all__ = [
    "reference_us",
    "decision_per_task",
    "codec_per_task",
    "agent_per_task",
    "loss_per_task",
    "memory_slopes",
    "make_rows",
    "node_fields",
    "WALL_MS",
]

WALL_MS = 1_700_000_000_000


def reference_us():
    """Return the processor time of the reference operation: one result packed and unpacked."""
    message = [Results([make_result("s", 0)], 1, 1.0)]

    def work():
        for _ in range(20_000):
            unpack(pack(message))

    return processor_us(work) / 20_000


def make_result(name, index):
    """Return the result of a task."""
    return TaskResult(name, index, 1, "done", {"value": index}, None, 100.0, 0.1)


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
        register_worker(state, node, led, 0.0)
    state.take_outbox()
    return state


def submit(state, tasks, now=0.0):
    """Let one submission in."""
    name = new_id(WALL_MS, state.rng)
    request = Request(name, "o", "", "s", "j", "d", now + 1e6, [None] * tasks, [100.0] * tasks)
    intake = accept_request(state, request, now).ok_value
    enqueue_admitted(state, intake.submission, now)
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
        state.answer_expiries.clear()


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
        for task in execution.start_queued_tasks(state, 0.0):
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
            remove_lost_worker(state, state.workers["worker-0"], "lost", 0.0)
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
        for task in execution.start_queued_tasks(state, 0.0):
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
