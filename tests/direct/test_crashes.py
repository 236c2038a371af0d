"""Attribution of a worker's crash to the runs that it held."""

import sys
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

sys.path.insert(0, str(Path(__file__).parent))
from builders import (  # noqa: E402
    make_dispatcher,
    make_event,
    make_order,
    make_request,
    make_worker,
    take_orders,
)

from onyxfork.direct.arbiter import Arbiter  # noqa: E402
from onyxfork.direct.arbiter_crashes import MAX_SUSPECT_WAIT_S  # noqa: E402
from onyxfork.direct.crashes import (  # noqa: E402
    MAX_RECORDS,
    RECORD_RETENTION_S,
    SUSPECT_AGE_S,
    CrashTable,
    Silence,
    describe_runs,
    find_exposed,
    find_suspects,
)
from onyxfork.direct.messages import CrashCount  # noqa: E402
from onyxfork.direct.runs import QUEUED, RUNNING, STARTING, STOPPING, Run  # noqa: E402


def make_run(job, ordered_at, state=RUNNING, **order):
    return Run(make_order(job=job, **order), None, 0.0, 1.0, state, ordered_at=ordered_at)


def test_only_runs_ordered_before_the_silence_are_exposed_youngest_first():
    runs = [
        make_run("old", 1.0),
        make_run("young", 1.95),
        make_run("after", 2.01),
        make_run("queued", 0.0, QUEUED),
    ]
    exposed = find_exposed(runs, Silence(2.0, 2.0))
    assert [run.order.job for run in exposed] == ["young", "old"]


def test_run_ordered_during_an_uncertain_silence_is_exposed():
    run = make_run("job", 2.1)
    silence = Silence(2.0, 2.3)
    assert find_exposed([run], silence) == [run]
    assert silence.age_s(run) == 0.0


# Guards against a job answered as failed for crashes of workers that its orders never reached.
def test_unanswered_order_that_was_sent_into_the_silence_is_not_exposed():
    silence = Silence(2.0, 2.3)
    unanswered = make_run("stopping", 2.1, STOPPING)
    unanswered.start_unconfirmed = True
    assert find_exposed([make_run("starting", 2.1, STARTING), unanswered], silence) == []
    earlier = make_run("earlier", 1.99, STARTING)
    assert find_exposed([earlier], silence) == [earlier]


def test_silence_that_is_not_dated_by_a_broken_connection_has_no_suspects():
    """The worker may have been cut off, and the runs may have ended before it crashed."""
    run = make_run("job", 2.1)
    assert find_suspects([run], Silence(2.1, 2.1 + SUSPECT_AGE_S)) == [run]
    assert find_suspects([run], Silence(2.0, 2.3)) == []


def test_description_is_bounded_and_has_ages():
    runs = [make_run("job", 1.5, index=index) for index in range(80)]
    texts = describe_runs(runs, [runs[1]], Silence(2.0, 2.0))
    assert texts[:2] == ["job.0.0 run 1 age 500", "job.0.1 run 1 age 500 suspect"]
    assert len(texts) == 50


def make_arbiter(cpu=8000):
    arbiter = Arbiter()
    arbiter.apply_worker_report(make_worker(cpu=cpu), 0.0)
    arbiter.on_renewal_answered(0.0)
    return arbiter, arbiter.connect("e1", "i", object())


def place(arbiter, session, now, slack_ms=5000.0, **order):
    arbiter.place(session, [make_order(slack_ms=slack_ms, **order)], now)
    return start(arbiter, now)


def start(arbiter, now):
    """Start what may start, and return the jobs of these runs."""
    arbiter.schedule(now)
    starts, arbiter.starts = arbiter.starts, []
    for run in starts:
        arbiter.on_start_reply(run, "started", now)
    return [run.order.job for run in starts]


def crash(arbiter, now):
    """Crash the worker and return the counts by job."""
    arbiter.on_renewal_missed(now, now)
    arbiter.set_responsive(False, now + 0.1)
    arbiter.on_lease_expired(now + 1.1)
    counts, arbiter.crash_counts = arbiter.crash_counts, []
    return {count.job: (count.crashes, count.suspected) for count in counts}


def test_young_runs_are_suspects_and_old_ones_are_only_counted():
    arbiter, session = make_arbiter()
    place(arbiter, session, 1.0, job="old")
    place(arbiter, session, 1.99, job="young")
    assert crash(arbiter, 2.0) == {"young": (1, 1), "old": (1, 0)}


def test_crash_that_a_former_suspect_explains_counts_against_it_alone():
    arbiter, session = make_arbiter()
    place(arbiter, session, 1.0, job="old")
    place(arbiter, session, 2.0, job="again", crashes=1, suspected=1)
    assert crash(arbiter, 2.01) == {"again": (2, 2)}


def test_former_suspect_that_has_run_for_longer_explains_nothing():
    arbiter, session = make_arbiter()
    place(arbiter, session, 1.0, job="again", crashes=1, suspected=1)
    place(arbiter, session, 1.99, job="young")
    assert crash(arbiter, 2.0) == {"young": (1, 1), "again": (2, 1)}


# Guards against a second crash that is dated to the first one, before the runs that it ended.
def test_crash_right_after_the_return_of_a_worker_is_counted():
    arbiter, session = make_arbiter()
    place(arbiter, session, 1.0, job="first")
    arbiter.on_renewal_missed(1.01, 1.01)
    arbiter.apply_worker_report(make_worker(born_ms=2, id="w2"), 1.05)
    arbiter.crash_counts = []
    place(arbiter, session, 1.06, job="second")
    arbiter.apply_worker_report(make_worker(born_ms=3, id="w3"), 1.09)
    assert [(count.job, count.suspected) for count in arbiter.crash_counts] == [("second", 1)]


def test_worker_that_left_as_planned_is_not_counted_as_crashed():
    arbiter, session = make_arbiter()
    place(arbiter, session, 1.0, job="job")
    arbiter.end_lifetime("the worker has left", 1.01)
    assert arbiter.crash_counts == []


def test_lease_that_expired_during_a_pause_of_the_agent_is_not_counted_as_a_crash():
    arbiter, session = make_arbiter()
    place(arbiter, session, 1.0, job="job")
    arbiter.on_renewal_missed(1.01, 3.0)
    arbiter.on_lease_expired(3.0)
    assert not arbiter.runs and arbiter.crash_counts == []


def test_new_lifetime_without_a_missed_renewal_counts_as_a_crash():
    arbiter, session = make_arbiter()
    place(arbiter, session, 1.0, job="job")
    arbiter.on_renewal_answered(1.02)
    arbiter.apply_worker_report(make_worker(born_ms=2, id="w2"), 1.06)
    assert [(count.crashes, count.suspected) for count in arbiter.crash_counts] == [(1, 1)]


# Guards against innocent runs that are given up because they start again with the cause of a crash.
def test_suspects_of_two_jobs_do_not_start_together():
    arbiter, session = make_arbiter()
    assert place(arbiter, session, 1.0, job="a", crashes=1, suspected=1) == ["a"]
    assert place(arbiter, session, 1.01, job="b", crashes=1, suspected=1) == []
    assert place(arbiter, session, 1.01, job="a", index=1, crashes=1, suspected=1) == ["a"]
    assert start(arbiter, arbiter.wake_at) == []
    assert arbiter.wake_at == 1.01 + SUSPECT_AGE_S
    assert start(arbiter, arbiter.wake_at) == ["b"]


def test_run_without_a_crash_does_not_start_beside_a_suspect():
    arbiter, session = make_arbiter()
    place(arbiter, session, 1.0, job="a", crashes=1, suspected=1)
    assert place(arbiter, session, 1.02, job="fresh") == []
    assert start(arbiter, 1.0 + SUSPECT_AGE_S) == ["fresh"]


def test_suspect_starts_on_a_worker_that_starts_runs_all_the_time():
    arbiter, session = make_arbiter(cpu=200000)
    started, now = [], 1.0
    for number in range(60):
        now += 0.01
        started += place(arbiter, session, now, job=f"fresh-{number}")
        if number == 0:
            started += place(arbiter, session, now, job="a", crashes=1, suspected=1)
    assert "a" in started
    held = start(arbiter, now + SUSPECT_AGE_S)
    assert len(started) + len(held) == 61


def test_suspect_that_does_not_fit_holds_back_nothing():
    arbiter, session = make_arbiter(cpu=8000)
    place(arbiter, session, 0.9, job="long", cpu=4000)
    place(arbiter, session, 1.0, job="fresh")
    place(arbiter, session, 1.01, job="a", cpu=6000, crashes=1, suspected=1)
    now = 1.02 + MAX_SUSPECT_WAIT_S
    assert place(arbiter, session, now, job="next", slack_ms=50.0) == ["next"]


def test_counts_are_bounded_and_forgotten():
    table = CrashTable()
    table.update([CrashCount(f"job-{number}", 0, 0, 1, 1) for number in range(MAX_RECORDS)], 0.0)
    table.update([CrashCount("job-0", 0, 0, 2, 1), CrashCount("last", 0, 0, 1, 1)], 1.0)
    jobs = [count.job for count in table.recent(2.0)]
    assert len(jobs) == MAX_RECORDS and "job-1" not in jobs and "job-0" in jobs
    assert [count.job for count in table.recent(RECORD_RETENTION_S + 0.5)] == ["job-0", "last"]
    assert table.recent(RECORD_RETENTION_S + 2.0) == []


def test_older_count_does_not_lower_a_newer_one():
    table = CrashTable()
    table.update([CrashCount("job", 0, 0, 3, 1)], 0.0)
    table.update([CrashCount("job", 0, 0, 1, 1)], 1.0)
    assert [(count.crashes, count.suspected) for count in table.recent(1.0)] == [(3, 1)]


# Guards against a job that crashes workers again at the entry that receives it next.
def test_job_with_an_exhausted_task_is_answered_failed_at_once():
    dispatcher = make_dispatcher()
    request = make_request(tasks=2)
    dispatcher.on_crash_report([CrashCount(request.job, 0, 1, 2, 2)], 0.0)
    job = dispatcher.submit(request, 0.0)
    assert job.outcome.state == "failed"
    assert dispatcher.finished_jobs == [job] and not dispatcher.jobs
    assert not take_orders(dispatcher)


def test_job_inside_is_failed_when_its_task_is_exhausted():
    dispatcher = make_dispatcher()
    job = dispatcher.submit(make_request(tasks=1), 0.0)
    (order,) = take_orders(dispatcher)["s1"]
    dispatcher.on_crash_report([CrashCount(job.id, 0, 0, 1, 1)], 0.1)
    assert job.outcome is None
    dispatcher.on_crash_report([CrashCount(job.id, 0, 0, 2, 2)], 0.2)
    assert job.outcome.state == "failed"
    dispatcher.on_events("s1", [make_event(order, "lost")], 0.2)
    assert not dispatcher.jobs and not take_orders(dispatcher)


def test_late_count_of_a_task_that_is_done_does_not_fail_its_job():
    dispatcher = make_dispatcher()
    job = dispatcher.submit(make_request(tasks=2), 0.0)
    done, _ = take_orders(dispatcher)["s1"]
    dispatcher.on_events("s1", [make_event(done, "started"), make_event(done, "done")], 0.1)
    dispatcher.on_crash_report([CrashCount(job.id, 0, done.index, 2, 2)], 0.2)
    assert job.outcome is None


def test_next_order_of_a_lost_task_carries_its_crashes():
    dispatcher = make_dispatcher(("s1", "s2"))
    job = dispatcher.submit(make_request(tasks=1), 0.0)
    ((node, (order,)),) = take_orders(dispatcher).items()
    dispatcher.on_crash_report([CrashCount(job.id, 0, 0, 1, 1)], 0.1)
    dispatcher.on_events(node, [make_event(order, "lost")], 0.1)
    (orders,) = take_orders(dispatcher).values()
    assert [(order.run, order.crashes, order.suspected) for order in orders] == [(2, 1, 1)]


counts = st.lists(st.tuples(st.integers(0, 5), st.integers(0, 4), st.integers(0, 4)))


@given(st.lists(counts))
def test_counts_of_the_table_never_fall(reports):
    table, highest = CrashTable(), {}
    for now, report in enumerate(reports):
        table.update([CrashCount(str(job), 0, 0, *numbers) for job, *numbers in report], now * 0.1)
        for job, crashes, suspected in report:
            known = highest.get(str(job), (0, 0))
            highest[str(job)] = max(known[0], crashes), max(known[1], suspected)
    held = {count.job: (count.crashes, count.suspected) for count in table.recent(0.0)}
    assert held == highest
