"""Requests, reports, orders and dispatchers for tests of direct dispatch."""

from random import Random

from onyxfork.direct.configuration import Queue
from onyxfork.direct.dispatcher import Dispatcher
from onyxfork.direct.messages import TaskEvent, TaskOrder, WorkerStatus
from onyxfork.direct.requests import JobRequest, Step
from onyxfork.direct.runs import Worker

QUEUE = Queue("checks", "h.example", "/c/", "desk", 0, 2, 1.6, 60.0, 1500.0)


def make_request(job="00000000000000a1", tasks=2, ms=100.0, cpu=1000, queue=QUEUE, **step):
    steps = [Step(count=tasks, cpu=cpu, expected_ms=ms, **step)]
    return JobRequest(job, queue, "x", steps, 2000.0)


def make_status(
    cpu_free=4000,
    cpu=4000,
    state="ready",
    orders_received=0,
    run_time_ratio=1.0,
    failure_share=0.0,
    labels=(),
    usual_run_time_ratio=1.0,
    cpu_by_priority=(),
):
    return WorkerStatus(
        "w1",
        "desk",
        state,
        cpu,
        65536,
        0,
        cpu_free,
        65536,
        0,
        orders_received,
        run_time_ratio,
        failure_share,
        list(labels),
        cpu_by_priority=list(cpu_by_priority),
        usual_run_time_ratio=usual_run_time_ratio,
    )


def make_dispatcher(workers=("s1",), now=0.0, **status):
    """Return a dispatcher whose workers are connected and have reported `status`."""
    dispatcher = Dispatcher(now, Random(1))
    for node in workers:
        dispatcher.on_connected(node, "a")
        dispatcher.on_status(node, make_status(**status), now)
    return dispatcher


def take_orders(dispatcher):
    """Return the collected orders by agent and clear them."""
    orders, dispatcher.orders = dispatcher.orders, {}
    return orders


def make_event(order, kind, reason=""):
    return TaskEvent(order.job, order.step, order.index, order.run, kind, reason)


def make_order(
    job="00000000000000a1",
    index=0,
    run=1,
    cpu=1000,
    ms=100.0,
    slack_ms=50.0,
    crashes=0,
    suspected=0,
):
    return TaskOrder(job, 0, index, run, "x", cpu, 64, 0, ms, slack_ms, crashes, suspected)


def make_worker(cpu=4000, state="ready", born_ms=1, sequence=1, id="w1"):
    return Worker(id, born_ms, "desk", state, cpu, 65536, 0, [], sequence)
