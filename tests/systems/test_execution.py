"""An agent starts each task at most once, and only for an owner that recently echoed its time."""

from onyxfork.entities.agent_tasks import AgentState
from onyxfork.messages import Lead, Start, TaskId, TaskStart
from onyxfork.systems import execution


def make_state(slots=1, epoch=1):
    state = AgentState(incarnation="a", slots=slots)
    execution.lead(state, Lead("c", epoch, "entry-1", 0.0), 0.0)
    return state


def start(name="s", index=0, attempt=1, epoch=1, echo=0.0, order=0.0):
    task = TaskStart(name, index, "job", "org", 10.0, order, attempt, None)
    return Start("c", epoch, echo, [task])


def begun(state, now=0.0):
    return [(task.submission, task.index) for task in execution.start_queued_tasks(state, now)]


def test_duplicated_start_begins_once():
    state = make_state(slots=2)
    execution.accept(state, start(), 0.0)
    execution.accept(state, start(), 0.0)
    execution.accept(state, start(attempt=2), 0.0)
    assert begun(state) == [("s", 0)]


def test_ended_task_is_answered_again_not_started():
    state = make_state()
    execution.accept(state, start(), 0.0)
    begun(state)
    result = execution.finish(state, ("s", 0), "done", 1, None, 0.5)
    assert execution.accept(state, start(attempt=9), 0.6) == [result]
    assert begun(state, 0.6) == []


def test_revoke_before_start_arrives_leaves_a_tombstone():
    state = make_state()
    (reply,) = execution.revoke(state, [TaskId("s", 0, 1)], "revoked", 0.0)
    assert reply.outcome == "not_run"
    assert execution.accept(state, start(attempt=1), 0.1)[0].outcome == "not_run"
    assert execution.accept(state, start(attempt=2), 0.1) == []
    assert begun(state, 0.1) == [("s", 0)]


def test_former_owner_is_refused():
    state = make_state(epoch=3)
    (reply,) = execution.accept(state, start(epoch=2), 0.0)
    assert reply.outcome == "not_run" and "former owner" in reply.reason


def test_new_owner_drops_queued_tasks_of_the_former():
    state = make_state(slots=1)
    execution.accept(state, start("a"), 0.0)
    execution.accept(state, start("b"), 0.0)
    assert begun(state) == [("a", 0)]
    led = execution.lead(state, Lead("c", 2, "entry-2", 0.0), 0.1)
    assert [(item.submission, item.running) for item in led.known_submissions] == [("a", [0])]
    execution.finish(state, ("a", 0), "done", None, None, 0.2)
    assert begun(state, 0.2) == []


def test_delayed_start_is_refused():
    state = make_state()
    (reply,) = execution.accept(state, start(echo=0.0), 2.5)
    assert reply.outcome == "not_run" and "delayed" in reply.reason


def test_queued_task_does_not_begin_for_a_silent_owner():
    state = make_state()
    execution.accept(state, start("a"), 0.0)
    execution.accept(state, start("b"), 0.0)
    begun(state)
    execution.finish(state, ("a", 0), "done", None, None, 2.5)
    assert begun(state, 2.5) == []
    assert [result.submission for result in execution.expire_queued_tasks(state, 2.5)] == ["b"]


def test_leaving_returns_queued_work_and_keeps_running_work():
    state = make_state()
    execution.accept(state, start("a"), 0.0)
    execution.accept(state, start("b"), 0.0)
    begun(state)
    assert [result.outcome for result in execution.leave(state, "drained", 0.1)] == ["not_run"]
    assert execution.accept(state, start("c"), 0.2)[0].outcome == "not_run"
    assert execution.finish(state, ("a", 0), "done", None, None, 0.3).outcome == "done"


def test_lower_order_begins_first():
    state = make_state(slots=0)
    state.slots = 1
    execution.accept(state, start("late", order=2.0), 0.0)
    execution.accept(state, start("early", order=1.0), 0.0)
    assert begun(state) == [("early", 0)]


def test_stop_names_running_tasks():
    state = make_state()
    execution.accept(state, start("a"), 0.0)
    execution.accept(state, start("b"), 0.0)
    begun(state)
    replies, running = execution.stop(state, [TaskId("a", 0, 1), TaskId("b", 0, 1)], 0.1)
    assert [reply.submission for reply in replies] == ["b"]
    assert running == [("a", 0)]


def test_kept_outputs_are_bounded_but_a_task_never_runs_again():
    state = make_state(slots=1)
    state.max_output_bytes = 100
    for number in range(3):
        execution.accept(state, start(f"s{number}"), 0.0)
        begun(state)
        execution.finish(state, (f"s{number}", 0), "done", "x", None, 0.5, 60)
    (reply,) = execution.accept(state, start("s0", attempt=9), 0.6)
    assert reply.outcome == "lost" and "no longer kept" in reply.reason
    (reply,) = execution.accept(state, start("s2", attempt=9), 0.6)
    assert reply.outcome == "done"
    execution.drop_expired_tasks(state, 0.5 + state.retention_s)
    assert state.output_bytes == 0


def test_memory_is_bounded_by_retention():
    state = make_state(slots=1)
    for number in range(100):
        execution.accept(state, start(f"s{number}"), 0.0)
        begun(state)
        execution.finish(state, (f"s{number}", 0), "done", None, None, 1.0)
    execution.drop_expired_tasks(state, 1.0 + state.retention_s)
    assert not state.tasks and not state.ended
