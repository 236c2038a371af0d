"""Decisions of an agent: which tasks start, in what order, and what is refused.

The agent is the only authority on whether a task started. A task is started at most once in the
life of an agent's memory, only for the owner with the highest epoch seen, and only while that owner
has proved within `owner_timeout_s` that it is still there. The functions change an `AgentState` and
return what has to be sent or done; they read no clock and open no socket.

Notes
-----
An owner whose lease ended stops sending. Whatever it sent before is refused `owner_timeout_s` after
the last agent time that it echoed, so a start delayed in a socket can not begin later than that.
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
    "forget",
    "expire_queued_tasks",
]


def not_run_result(submission, index, attempt, reason):
    """Return the result of a task that did not start and never will under this attempt."""
    return TaskResult(submission, index, attempt, Outcome.NOT_RUN.value, None, reason, 0.0, 0.0)


def lead(state, message, now):
    """Accept or refuse an entry as the owner of this worker's cell.

    Parameters
    ----------
    state : AgentState
    message : Lead
    now : float
        Monotonic seconds.

    Returns
    -------
    Led
        `accepted` is false when a higher epoch is known.
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
    """Return every submission of which a task was seen, with indexes by state."""
    found = defaultdict(lambda: ([], [], []))
    for task in state.tasks.values():
        queued, running, ended = found[task.submission]
        if task.state == "queued":
            queued.append(task.index)
        elif task.state == "running":
            running.append(task.index)
        elif task.started:
            ended.append(task.index)
    return [KnownSubmission(name, *lists) for name, lists in found.items() if any(lists)]


def accept(state, message, now):
    """Queue the tasks of a `Start`.

    Parameters
    ----------
    state : AgentState
    message : Start
    now : float

    Returns
    -------
    list of TaskResult
        Refusals, and results of tasks that had ended before.
    """
    reason = refusal_reason(state, message, now)
    replies = []
    for start in message.tasks:
        reply = accept_task(state, start, reason, now)
        if reply is not None:
            replies.append(reply)
    return replies


def refusal_reason(state, message, now):
    """Return why the whole `Start` is refused, or None."""
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
    """Queue one task and return None, or return its refusal or earlier result."""
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
    """Leave a tombstone for a task that has not started and return its result."""
    result = not_run_result(*key, attempt, reason)
    state.tasks[key] = AgentTask(*key, attempt, "ended", result=result, ended_at=now)
    state.ended.append((now, key))
    return result


def start_queued_tasks(state, now):
    """Move queued tasks into free slots.

    Parameters
    ----------
    state : AgentState
    now : float

    Returns
    -------
    list of AgentTask
        Tasks that must be handed to the upstream now.
    """
    begun = []
    if now - state.lead.echo > state.owner_timeout_s:
        return begun
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
        begun.append(task)
    return begun


def finish(state, key, outcome, output, reason, now, output_bytes=0):
    """Record the end of a running task.

    Parameters
    ----------
    state : AgentState
    key : tuple of (str, int)
        Submission and index.
    outcome : str
        ``not_run`` only when the upstream certainly never began it.
    output : object
        JSON value.
    reason : str or None
    now : float
    output_bytes : int
        How much memory the output takes, about.

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
    """Keep an output within the bound, dropping the oldest ones; that tasks ran is kept."""
    state.outputs.append((task, output_bytes))
    state.output_bytes += output_bytes
    while state.output_bytes > state.max_output_bytes and len(state.outputs) > 1:
        oldest, size = state.outputs.popleft()
        state.output_bytes -= size
        if oldest.result.outcome == Outcome.DONE.value:
            reason = "it ran, but its output is no longer kept"
            oldest.result = evolve(
                oldest.result, outcome=Outcome.LOST.value, output=None, reason=reason
            )


def revoke(state, ids, reason, now):
    """Take back tasks that have not started.

    Parameters
    ----------
    state : AgentState
    ids : list of TaskId
    reason : str
    now : float

    Returns
    -------
    list of TaskResult
        ``not_run`` for those taken back, the result for those that had ended; a running task is
        answered when it ends.
    """
    replies = []
    for item in ids:
        key = (item.submission, item.index)
        task = state.tasks.get(key)
        if task is None:
            replies.append(add_tombstone(state, key, item.attempt, reason, now))
        elif task.state == "queued":
            state.queued -= 1
            replies.append(add_tombstone(state, key, max(task.attempt, item.attempt), reason, now))
        elif task.state == "ended":
            replies.append(renew_tombstone(state, task, item.attempt, reason, now))
    return replies


def renew_tombstone(state, task, attempt, reason, now):
    """Return the result of an ended task, as of the attempt asked for."""
    if task.started or attempt <= task.attempt:
        return task.result
    return add_tombstone(state, (task.submission, task.index), attempt, reason, now)


def stop(state, ids, now):
    """Drop queued tasks and name the running ones that the upstream should stop.

    Returns
    -------
    tuple of (list of TaskResult, list of (str, int))
    """
    replies = revoke(state, ids, "stopped before it started", now)
    keys = ((item.submission, item.index) for item in ids)
    running = [key for key in keys if key in state.tasks and state.tasks[key].state == "running"]
    return replies, running


def fetch(state, ids, now):
    """Answer for tasks that an owner believes outstanding.

    A task that never arrived gets a tombstone, so that the owner may place it elsewhere; one that
    is queued or running is answered when it ends.
    """
    live = [item for item in ids if not is_live(state, item)]
    return revoke(state, live, "never received", now)


def is_live(state, item):
    """Return whether a task is queued or running here."""
    task = state.tasks.get((item.submission, item.index))
    return task is not None and task.state != "ended"


def leave(state, reason, now):
    """Stop taking work and return the queued tasks as not run."""
    state.leaving = reason
    return drop_queued_tasks(state, f"the worker is leaving: {reason}", now)


def drop_queued_tasks(state, reason, now):
    """Bury every queued task and return the results."""
    queued = [key for key, task in state.tasks.items() if task.state == "queued"]
    state.queue.clear()
    state.queued = 0
    return [add_tombstone(state, key, state.tasks[key].attempt, reason, now) for key in queued]


def expire_queued_tasks(state, now):
    """Bury queued tasks once their owner has been silent for `owner_timeout_s`."""
    if state.queued and now - state.lead.echo > state.owner_timeout_s:
        return drop_queued_tasks(state, "the owner has gone silent", now)
    return []


def forget(state, now):
    """Drop ended tasks that are older than the retention.

    Returns
    -------
    int
        How many were dropped.
    """
    limit = now - state.retention_s
    count = 0
    for ended_at, key in state.ended:
        if ended_at > limit:
            break
        count += 1
        task = state.tasks.get(key)
        if task is not None and task.state == "ended" and task.ended_at <= limit:
            del state.tasks[key]
    del state.ended[:count]
    while state.outputs and state.outputs[0][0].ended_at <= limit:
        state.output_bytes -= state.outputs.popleft()[1]
    return count
