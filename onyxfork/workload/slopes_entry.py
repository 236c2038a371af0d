"""Slopes of decisions, encoding and memory at an entry and an agent."""

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
from onyxfork.workload.fitting import REPEATS, fit_line, measure_held_bytes, min_processor_us

__all__ = [
    "measure_reference_us",
    "decision_slope",
    "codec_slope",
    "agent_task_slope",
    "worker_loss_slope",
    "memory_slopes",
    "make_state_with_nodes",
    "make_node_fields",
    "WALL_MS",
]

WALL_MS = 1_700_000_000_000
"""Wall clock time from which identifiers are made, in milliseconds since the Unix epoch."""


def measure_reference_us():
    """Measure the processor time of the reference operation: encoding and decoding one result."""
    message = [Results([make_result("s", 0)], 1, 1.0)]

    def work():
        for _ in range(20_000):
            unpack(pack(message))

    return min_processor_us(work) / 20_000


def make_result(name, index):
    """Return a successful result of a task."""
    return TaskResult(name, index, 1, "done", {"value": index}, None, 100.0, 0.1)


def make_dispatch(workers, slots=8):
    """Return the dispatch state of an owner that leads a number of workers."""
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
    """Accept, admit and enqueue one submission."""
    name = new_id(WALL_MS, state.rng)
    request = Request(name, "o", "", "s", "j", "d", now + 1e6, [None] * tasks, [100.0] * tasks)
    intake = accept_request(state, request, now).ok_value
    enqueue_admitted(state, intake.submission, now)
    return intake.submission


def run_tasks(state, jobs, tasks):
    """Dispatch jobs and apply their results at an owner, one job at a time, without I/O."""
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


def decision_slope(workers, sizes=(40, 80, 160, 320)):
    """Return the slope of an owner's decision time per task with a number of known workers."""
    state = make_dispatch(workers)
    points = [
        (jobs * 20, min_processor_us(lambda n=jobs: run_tasks(state, n, 20))) for jobs in sizes
    ]
    return fit_line(f"decisions a task, {workers} known workers", "µs", points)


def codec_slope(sizes=(1, 8, 32, 120)):
    """Return the slope of processor time per task to encode starts and decode results."""
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

        points.append((size, min_processor_us(work) / 200))
    return fit_line("codec a task at the entry", "µs", points)


def agent_task_slope(sizes=(250, 500, 1000, 2000)):
    """Return the slope of an agent's time per task for decisions and codec, without HTTP."""
    points = []
    for size in sizes:
        frames = make_start_frames(size)
        points.append((size, min_processor_us(lambda frames=frames: run_agent_tasks(frames))))
    return fit_line("decisions and codec a task at the agent", "µs", points)


def make_start_frames(count):
    """Return `count` encoded `Start` messages with one task each."""
    state = make_dispatch(1, slots=count)
    submit_single_tasks(state, count)
    (starts,) = tick(state, 0.0, True).starts.values()
    return [pack([Start("c", 1, 0.0, [start])]) for start in starts]


def run_agent_tasks(frames):
    """Accept, start and finish tasks at an agent, with a `Start` and a `Results` for each."""
    state = AgentState("i", slots=8)
    execution.lead(state, Lead("c", 1, "e", 0.0), 0.0)
    for frame in frames:
        execution.accept(state, unpack(frame)[0], 0.0)
        for task in execution.start_queued_tasks(state, 0.0):
            key = (task.submission, task.index)
            result = execution.finish(state, key, "done", None, None, 0.0)
            pack([Results([result], 1, 0.0)])


def worker_loss_slope(sizes=(64, 128, 256, 512)):
    """Return the slope of the time to remove a lost worker over its outstanding tasks."""
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
    return fit_line("loss of a worker, an outstanding task", "µs", points)


def memory_slopes():
    """Return a slope of memory per object for each kind of object that a process holds."""
    sizes = (500, 1000, 2000, 4000)

    def make_outstanding_tasks(count):
        state = make_dispatch(1, slots=count)
        for _ in range(count // 20):
            submit(state, 20)
        return state, tick(state, 0.0, True)

    def make_waiting_jobs(count):
        state = make_dispatch(1, slots=1)
        for _ in range(count):
            submit(state, 20)
        return state

    def make_answered_jobs(count):
        state = make_dispatch(1, slots=20)
        for _ in range(count):
            submission = submit(state, 20)
            for starts in tick(state, 0.0, True).starts.values():
                for start in starts:
                    result = make_result(start.submission, start.index)
                    apply_result(state, state.workers["worker-0"], result, 0.0)
            submission.answer.outputs = []
        return state

    def make_claims(count):
        state = ControlState()
        for number in range(count):
            key = new_id(WALL_MS, Random(number))
            state.apply(number + 1, pack([Claim(WALL_MS, key, "d" * 24, "entry-1", 1)]))
        return state

    def make_ended_tasks(count):
        state = AgentState("i", slots=count)
        owner = make_dispatch(1, slots=count)
        execution.lead(state, Lead("c", 1, "e", 0.0), 0.0)
        submit_single_tasks(owner, count)
        for starts in tick(owner, 0.0, True).starts.values():
            execution.accept(state, Start("c", 1, 0.0, starts), 0.0)
        for task in execution.start_queued_tasks(state, 0.0):
            key = (task.submission, task.index)
            execution.finish(state, key, "done", {"value": 1}, None, 0.0)
        return state

    builders = {
        "a known worker at the entry": make_dispatch,
        "an outstanding task at the entry": make_outstanding_tasks,
        "a waiting job of 20 tasks at the entry": make_waiting_jobs,
        "an answered job kept at the entry, outputs aside": make_answered_jobs,
        "an ended task remembered by the agent": make_ended_tasks,
        "a claim": make_claims,
        "a configuration row with its version": make_state_with_nodes,
    }
    return [
        fit_line(name, "bytes", [(size, measure_held_bytes(build, size)) for size in sizes])
        for name, build in builders.items()
    ]


def submit_single_tasks(state, count):
    """Accept, admit and enqueue submissions of one task."""
    for _ in range(count):
        submit(state, 1)


def make_state_with_nodes(count):
    """Return a control state with a number of node rows."""
    state = ControlState()
    nodes = [make_node_fields(number) for number in range(count)]
    state.apply(1, pack([Announce(WALL_MS, nodes)]))
    return state


def make_node_fields(number):
    """Return the fields of the node row of a worker."""
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
