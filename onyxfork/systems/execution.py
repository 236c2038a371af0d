"""Decisions of an agent: which tasks start, in what order, and which are refused.

The agent alone decides whether a task has started. It starts a task at most once in an incarnation,
which is one lifetime of its process, because its tasks are kept in memory only. It starts tasks
only for the owner with the highest epoch seen, and only while that owner was in contact recently:
the agent sends the time of its monotonic clock, the owner echoes the latest value, and that value
must be at most `owner_timeout_s` old. The functions change an `AgentState` and return the messages
to send or the tasks to start; they read no clock and open no socket.

Notes
-----
An owner whose lease ended stops sending. What it sent before is refused once the last value of
the agent's clock that it echoed is older than `owner_timeout_s`, so a `Start` delayed in a socket
starts nothing later.
"""

from collections import defaultdict
from heapq import heappop

from attrs import evolve

from onyxfork.entities.agent_tasks import AgentTask, Leadership
from onyxfork.entities.outcomes import Outcome
from onyxfork.messages import KnownSubmission, Led, TaskResult

__all__ = [
    "lead",
    "accept",
    "start_queued_tasks",
    "finish",
    "revoke",
    "stop",
    "fetch",
    "leave",
    "drop_expired_tasks",
    "expire_queued_tasks",
]


def not_run_result(submission, index, attempt, reason):
    """Return the result of a task that did not start and never will in this attempt."""
    return TaskResult(submission, index, attempt, Outcome.NOT_RUN.value, None, reason, 0.0, 0.0)


def lead(state, message, now):
    """Accept or reject an entry as the owner of this worker's cell.

    When its epoch is higher than the one known, tasks queued by the former owner are dropped.

    Parameters
    ----------
    state : AgentState
    message : Lead
    now : float
        Monotonic seconds.

    Returns
    -------
    Led
        `accepted` is False when a higher epoch is known.
    """
    accepted = message.epoch >= state.lead.epoch
    if accepted and message.epoch > state.lead.epoch:
        drop_queued_tasks(state, "the owner of the cell changed", now)
    if accepted:
        state.lead = Leadership(message.cell, message.epoch, message.owner, message.echo)
    return Led(
        cell=message.cell,
        epoch=state.lead.epoch,
        incarnation=state.incarnation,
        slots=state.slots,
        leaving=state.leaving is not None,
        known_submissions=known_submissions(state) if accepted else [],
        clock=now,
        accepted=accepted,
        upstream="serving" if state.slots else "absent",
    )


def known_submissions(state):
    """Return the indexes of queued, running and ended tasks of each submission known.

    Tombstones, which never started, are left out.
    """
    indexes_by_submission = defaultdict(lambda: ([], [], []))
    for task in state.tasks.values():
        queued, running, ended = indexes_by_submission[task.submission]
        if task.state == "queued":
            queued.append(task.index)
        elif task.state == "running":
            running.append(task.index)
        elif task.started:
            ended.append(task.index)
    return [
        KnownSubmission(name, *indexes)
        for name, indexes in indexes_by_submission.items()
        if any(indexes)
    ]


def accept(state, message, now):
    """Queue the tasks of a `Start`.

    Parameters
    ----------
    state : AgentState
    message : Start
    now : float
        Monotonic seconds.

    Returns
    -------
    list of TaskResult
        Refusals, and results of tasks that had already ended.
    """
    reason = refusal_reason(state, message, now)
    replies = []
    for start in message.tasks:
        reply = accept_task(state, start, reason, now)
        if reply is not None:
            replies.append(reply)
    return replies


def refusal_reason(state, message, now):
    """Return why a `Start` is refused as a whole, or None when it is not."""
    if message.epoch < state.lead.epoch or message.cell != state.lead.cell:
        return "sent by a former owner of the cell"
    if now - message.echo > state.owner_timeout_s:
        return "the start was delayed for too long"
    if state.leaving is not None:
        return f"the worker is leaving: {state.leaving}"
    if not state.slots:
        return "no upstream has announced itself"
    return None


def accept_task(state, start, reason, now):
    """Queue one task.

    Returns
    -------
    TaskResult or None
        The result of a task that had ended, or a refusal; None when the task is queued or running.
    """
    key = (start.submission, start.index)
    known = state.tasks.get(key)
    if known is not None and (known.state != "ended" or known.started):
        return known.result
    if known is not None and start.attempt <= known.attempt:
        return known.result
    if reason is not None:
        return add_tombstone(state, key, start.attempt, reason, now)
    task = AgentTask(*key, start.attempt, "queued", start=start, queued_at=now)
    state.tasks[key] = task
    state.enqueue(task)
    return None


def add_tombstone(state, key, attempt, reason, now):
    """Replace a task that has not started by a tombstone and return its result, not run."""
    result = not_run_result(*key, attempt, reason)
    state.tasks[key] = AgentTask(*key, attempt, "ended", result=result, ended_at=now)
    state.ended.append((now, key))
    return result


def start_queued_tasks(state, now):
    """Mark queued tasks as running while there are free slots, in ascending `order` of the start.

    No task is started when the last value of this agent's clock that the owner echoed is older than
    `owner_timeout_s`.

    Parameters
    ----------
    state : AgentState
    now : float
        Monotonic seconds.

    Returns
    -------
    list of AgentTask
        Tasks to send to the upstream now.
    """
    started_tasks = []
    if now - state.lead.echo > state.owner_timeout_s:
        return started_tasks
    while state.queue and state.running < state.slots:
        _, _, key = heappop(state.queue)
        task = state.tasks.get(key)
        if task is None or task.state != "queued":
            continue
        task.state = "running"
        task.started = True
        task.started_at = now
        state.queued -= 1
        state.running += 1
        started_tasks.append(task)
    return started_tasks


def finish(state, key, outcome, output, reason, now, output_bytes=0):
    """Record the end of a running task.

    Parameters
    ----------
    state : AgentState
    key : tuple of (str, int)
        Submission and index.
    outcome : str
        ``not_run`` only when it is certain that the upstream never started the task.
    output : object
        JSON value.
    reason : str or None
    now : float
        Monotonic seconds.
    output_bytes : int
        Approximate memory that the output takes.

    Returns
    -------
    TaskResult
    """
    task = state.tasks[key]
    result = TaskResult(
        submission=task.submission,
        index=task.index,
        attempt=task.attempt,
        outcome=outcome,
        output=output,
        reason=reason,
        run_ms=(now - task.started_at) * 1000,
        queue_ms=(task.started_at - task.queued_at) * 1000,
    )
    task.state = "ended"
    task.started = outcome != Outcome.NOT_RUN.value
    task.start = None
    task.result = result
    task.ended_at = now
    state.running -= 1
    state.ended.append((now, key))
    keep_output(state, task, output_bytes)
    return result


def keep_output(state, task, output_bytes):
    """Keep an output and drop the oldest ones beyond `max_output_bytes`.

    A task whose output was dropped stays recorded as ended, so that it never starts again.
    """
    state.outputs.append((task, output_bytes))
    state.output_bytes += output_bytes
    while state.output_bytes > state.max_output_bytes and len(state.outputs) > 1:
        oldest, oldest_bytes = state.outputs.popleft()
        state.output_bytes -= oldest_bytes
        if oldest.result.outcome == Outcome.DONE.value:
            reason = "it ran, but its output is no longer kept"
            oldest.result = evolve(
                oldest.result, outcome=Outcome.LOST.value, output=None, reason=reason
            )


def revoke(state, ids, reason, now):
    """Revoke tasks that have not started.

    Parameters
    ----------
    state : AgentState
    ids : list of TaskId
    reason : str
    now : float
        Monotonic seconds.

    Returns
    -------
    list of TaskResult
        ``not_run`` for each revoked task, the result for each ended one. For a running task there
        is none: its result is sent when it ends.
    """
    replies = []
    for task_id in ids:
        key = (task_id.submission, task_id.index)
        task = state.tasks.get(key)
        if task is None:
            replies.append(add_tombstone(state, key, task_id.attempt, reason, now))
        elif task.state == "queued":
            state.queued -= 1
            replies.append(
                add_tombstone(state, key, max(task.attempt, task_id.attempt), reason, now)
            )
        elif task.state == "ended":
            replies.append(renew_tombstone(state, task, task_id.attempt, reason, now))
    return replies


def renew_tombstone(state, task, attempt, reason, now):
    """Return the result of an ended task.

    A tombstone is first raised to the attempt asked for, so that this attempt never starts either.
    """
    if task.started or attempt <= task.attempt:
        return task.result
    return add_tombstone(state, (task.submission, task.index), attempt, reason, now)


def stop(state, ids, now):
    """Revoke queued tasks and find the running ones that the upstream should stop.

    Returns
    -------
    replies : list of TaskResult
        As :func:`revoke` returns them.
    running : list of (str, int)
        Submission and index of each running task.
    """
    replies = revoke(state, ids, "stopped before it started", now)
    keys = ((task_id.submission, task_id.index) for task_id in ids)
    running = [key for key in keys if key in state.tasks and state.tasks[key].state == "running"]
    return replies, running


def fetch(state, ids, now):
    """Return the results of tasks that the owner counts as outstanding here.

    A task that was never received gets a tombstone, so that the owner may place it elsewhere. For a
    queued or running task there is no result yet: it is sent when the task ends.
    """
    ended_or_unknown = [task_id for task_id in ids if not is_live(state, task_id)]
    return revoke(state, ended_or_unknown, "never received", now)


def is_live(state, task_id):
    """Return whether a task is queued or running here."""
    task = state.tasks.get((task_id.submission, task_id.index))
    return task is not None and task.state != "ended"


def leave(state, reason, now):
    """Refuse all further tasks and return the results of the queued ones, not run."""
    state.leaving = reason
    return drop_queued_tasks(state, f"the worker is leaving: {reason}", now)


def drop_queued_tasks(state, reason, now):
    """Replace every queued task by a tombstone and return the results."""
    queued_keys = [key for key, task in state.tasks.items() if task.state == "queued"]
    state.queue.clear()
    state.queued = 0
    return [add_tombstone(state, key, state.tasks[key].attempt, reason, now) for key in queued_keys]


def expire_queued_tasks(state, now):
    """Drop queued tasks when the clock value that the owner echoed last is too old.

    The limit is `owner_timeout_s`.
    """
    if state.queued and now - state.lead.echo > state.owner_timeout_s:
        return drop_queued_tasks(state, "the owner has timed out", now)
    return []


def drop_expired_tasks(state, now):
    """Drop tasks that ended `retention_s` ago or earlier, with their outputs.

    Returns
    -------
    int
        Number of entries removed from the list of ended tasks.
    """
    cutoff = now - state.retention_s
    count = 0
    for ended_at, key in state.ended:
        if ended_at > cutoff:
            break
        count += 1
        task = state.tasks.get(key)
        if task is not None and task.state == "ended" and task.ended_at <= cutoff:
            del state.tasks[key]
    del state.ended[:count]
    while state.outputs and state.outputs[0][0].ended_at <= cutoff:
        state.output_bytes -= state.outputs.popleft()[1]
    return count
