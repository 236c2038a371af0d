"""Admission under overload: what counts as waiting, and what counts as free.

Patterns: several entries fill the same agents, so that runs wait there and not at the entry; tasks
whose size leaves a remainder on every worker.
"""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
from builders import (  # noqa: E402
    make_dispatcher,
    make_event,
    make_request,
    make_status,
    take_orders,
)

from onyxfork.direct.admission import Refusal  # noqa: E402


def dispatcher_with_runs_queued_at_its_agent():
    """One worker whose four cores run four tasks, and two more that its agent has queued."""
    dispatcher = make_dispatcher(cpu_free=6000, cpu=4000)
    dispatcher.submit(make_request("00000000000000b1", tasks=6, ms=400.0), 0.0)
    orders = take_orders(dispatcher)["s1"]
    dispatcher.on_events("s1", [make_event(order, "started") for order in orders[:4]], 0.01)
    dispatcher.on_status("s1", make_status(cpu_free=-2000, orders_received=6), 0.05)
    return dispatcher


def test_runs_queued_at_agents_count_as_waiting():
    """Nothing waits at the entry itself, but the next job's tasks would come after two others."""
    dispatcher = dispatcher_with_runs_queued_at_its_agent()
    assert not dispatcher.waiting_tasks
    assert len(dispatcher.tasks_queued_at_agents(0.05)) == 2
    refusal = dispatcher.submit(make_request("00000000000000b2", tasks=4, ms=400.0), 0.05)
    assert isinstance(refusal, Refusal)


def test_run_is_not_counted_as_queued_once_it_has_started():
    dispatcher = dispatcher_with_runs_queued_at_its_agent()
    job = next(iter(dispatcher.jobs.values()))
    events = [make_event(task.order(0.0), "started") for task in job.tasks[4:]]
    dispatcher.on_events("s1", events, 0.06)
    assert not dispatcher.tasks_queued_at_agents(0.2)


def test_job_that_fits_into_free_capacity_is_accepted_while_a_run_is_queued_elsewhere():
    dispatcher = dispatcher_with_runs_queued_at_its_agent()
    for node in ("s2", "s3"):
        dispatcher.on_connected(node, "a")
        dispatcher.on_status(node, make_status(cpu_free=4000), 0.05)
    result = dispatcher.submit(make_request("00000000000000b2", tasks=4, ms=400.0), 0.05)
    assert not isinstance(result, Refusal)


def test_wait_follows_from_what_runs_of_all_entries_release():
    """Other entries' runs use all sixteen cores, and one more is queued. Runs of 100 ms release 160
    cores a second, so that eight tasks start within a tenth of their slack and sixty do not."""
    dispatcher = make_dispatcher(now=-10.0, cpu_free=0, cpu=16000)
    queued = make_status(cpu_free=-1000, cpu=16000, cpu_by_priority=[17000])
    dispatcher.on_status("s1", queued, 0.0)
    dispatcher.tick(0.01)
    job = make_request("00000000000000b1", tasks=8, ms=1000.0)
    assert not isinstance(dispatcher.submit(job, 0.02), Refusal)
    wide = make_request("00000000000000b2", tasks=60, ms=1000.0)
    assert isinstance(dispatcher.submit(wide, 0.02), Refusal)


def test_running_work_beyond_a_shrunk_capacity_is_not_queued():
    shrunk = make_status(cpu_free=-12000, cpu=16000, cpu_by_priority=[16000])
    dispatcher = make_dispatcher()
    dispatcher.on_status("s1", shrunk, 0.0)
    assert dispatcher.workers["s1"].cpu_queued == 0


def test_free_cores_of_a_failing_worker_do_not_count():
    """Its entry places at most one task there at a time."""
    dispatcher = make_dispatcher(("s1", "s2"), cpu_free=0, cpu=4000)
    dispatcher.on_status("s1", make_status(cpu_free=4000, cpu=4000, failure_share=0.4), 0.0)
    dispatcher.on_status("s2", make_status(cpu_free=-1000, cpu=4000), 0.0)
    refusal = dispatcher.submit(make_request(tasks=4, ms=100.0), 0.0)
    assert isinstance(refusal, Refusal)


def test_remainders_that_no_task_fits_do_not_count_as_free():
    """Ten workers with half a core free each have no room for a task of one core."""
    dispatcher = make_dispatcher([f"s{number}" for number in range(10)], cpu_free=500)
    job = dispatcher.submit(make_request(tasks=2, ms=100.0), 0.0)
    views = list(dispatcher.workers.values())
    assert dispatcher.free_millicores(job, views) == 0
    dispatcher.workers["s0"].update_status(make_status(cpu_free=2900))
    assert dispatcher.free_millicores(job, views) == 2000


def test_refusal_makes_the_entry_ask_for_more_agents():
    dispatcher = dispatcher_with_runs_queued_at_its_agent()
    dispatcher.shortages.clear()
    assert isinstance(
        dispatcher.submit(make_request("00000000000000b2", tasks=4, ms=400.0), 0.05), Refusal
    )
    assert dispatcher.shortages == {"": 0.05}
