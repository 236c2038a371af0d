"""Collection of a job's runs from log lines of entries and agents.

An entry's log has the latest run of each task in ``job ended`` and each earlier one in ``task runs
again``. An agent's log has the runs that are out of the ordinary.
"""

import re

from onyxfork.workload.task_run_records import JobHold, TaskRun

__all__ = ["collect_runs"]

TASK_RUN_TEXT = re.compile(
    r"(?P<task>\d+\.\d+)/(?P<run>\d+) (?P<state>\S+) (?P<agent>\S+) (?P<lifetime>\S+) "
    r"(?P<ordered>[\d.]+|-) (?P<started>[\d.]+|-) (?P<ended>[\d.]+|-) (?P<age>[\d.]+|-)"
)
NAMED_RUN_TEXT = re.compile(r"(?P<name>\S+) run (?P<run>\d+)( .*)?")
STOPPED_RUN_TEXT = re.compile(r".* at (?P<lifetime>\S*@\d+) token (?P<token>\d+)")

ENDED_KINDS = ("done", "failed", "stopped", "lost", "returned")


def collect_runs(trace):
    """Collect events, holds and runs of a `JobTrace` from its lines."""
    trace.events = [line for line in trace.lines if names_target(trace, line)]
    open_holds = {}
    for line in trace.events:
        if line.message in ENTRY_HANDLERS:
            ENTRY_HANDLERS[line.message](trace, line, open_holds)
    for line in trace.events:
        if line.message in AGENT_HANDLERS:
            AGENT_HANDLERS[line.message](trace, line)
    trace.runs = [run for run in trace.runs if trace.task in ("", run.task)]
    for run in trace.runs:
        derive_token(trace, run)
    trace.runs.sort(key=lambda run: (run.begins_s, run.task, run.run))


def names_target(trace, line):
    """Return whether a line is about the job, and not only about other tasks of it."""
    fields = line.fields
    if fields.get("job") == trace.job:
        task = split_task(fields.get("task", ""))[1]
        return not trace.task or not task or task == trace.task
    names = [fields.get("task"), *list_of(fields, "runs"), *list_of(fields, "stopped")]
    if any(is_target(trace, name) for name in names):
        return True
    return trace.job in list_of(fields, "jobs")


def list_of(fields, name):
    """Return the list in a field; empty if the field is missing or not a list."""
    value = fields.get(name)
    return value if isinstance(value, list) else []


def split_task(name):
    """Return job (empty if missing) and task in ``[JOB.]STEP.INDEX``."""
    *job, step, index = str(name).split(" ")[0].rsplit(".", 2) if "." in str(name) else ("", "")
    return (job[0] if job else ""), (f"{step}.{index}" if step else "")


def is_target(trace, name):
    """Return whether a text begins with the full name of a task that was asked for."""
    job, task = split_task(name)
    return job == trace.job and trace.task in ("", task)


def split_lifetime(text):
    """Return worker and start of its lifetime in ``WORKER@STARTED_MS``."""
    worker, _, started_ms = text.rpartition("@")
    return worker, int(started_ms) if started_ms.isdigit() else 0


# Entries


def find_process(trace, line):
    """Return the incarnation of the entry's process that has written a line.

    Releases before the field log it only at the agents that the process connects to.
    """
    if "process" in line.fields:
        return line.fields["process"]
    connected = trace.latest_before("entry connected", line.at_s, entry=line.node)
    started = trace.latest_before("started", line.at_s, node=line.node)
    if connected is None or (started is not None and started.at_s > connected.at_s):
        return ""
    return connected.fields.get("incarnation", "")


def find_hold(trace, line, open_holds):
    """Return the open hold of the line's entry; begin one if there is none."""
    key = line.node, find_process(trace, line)
    if key not in open_holds:
        open_holds[key] = JobHold(*key)
        trace.holds.append(open_holds[key])
    return open_holds[key]


def on_accepted(trace, line, open_holds):
    """Begin a hold."""
    key = line.node, find_process(trace, line)
    open_holds.pop(key, None)
    find_hold(trace, line, open_holds).accepted_s = line.at_s


def on_refused(trace, line, open_holds):
    """Record a request that its entry has refused; it may have the job from another one."""
    process = find_process(trace, line)
    reason = line.fields.get("reason", "")
    hold = JobHold(line.node, process, line.at_s, line.at_s, "refused", reason, run_count=0)
    hold.names_runs = True
    trace.holds.append(hold)


def on_runs_again(trace, line, open_holds):
    """Record a run after which its entry has ordered the task again."""
    fields = line.fields
    hold = find_hold(trace, line, open_holds)
    run = TaskRun(split_task(fields.get("task", ""))[1], fields.get("run", 0))
    run.entry, run.process, run.agent = hold.entry, hold.process, fields.get("agent", "")
    run.worker = fields.get("worker", "")
    run.worker_started_ms = fields.get("worker_started_ms") or 0
    run.ordered_s = seconds_before(line, "ordered_ago_ms")
    run.started_s = seconds_before(line, "started_ago_ms")
    run.learnt_s, run.news_age_ms = line.at_s, fields.get("news_age_ms")
    run.outcome, run.reason = fields.get("outcome", ""), fields.get("reason", "")
    run.runs_again = True
    trace.runs.append(run)


def seconds_before(line, name):
    """Return the time that a field gives in milliseconds before its line, or None."""
    ago_ms = line.fields.get(name)
    return None if ago_ms is None else line.at_s - ago_ms / 1000


def on_ended(trace, line, open_holds):
    """End a hold, and record the latest run of each task that the line names."""
    fields = line.fields
    hold = find_hold(trace, line, open_holds)
    open_holds.pop((hold.entry, hold.process))
    hold.ended_s = line.at_s
    hold.outcome, hold.reason = fields.get("outcome", ""), fields.get("reason", "")
    hold.task_count, hold.run_count = fields.get("tasks"), fields.get("runs")
    hold.names_runs = "task_runs" in fields
    hold.omitted_count = fields.get("task_runs_omitted") or 0
    arrived_s = seconds_before(line, "elapsed_ms")
    for text in list_of(fields, "task_runs"):
        match = TASK_RUN_TEXT.match(text)
        if match is not None:
            add_latest_run(trace, hold, match.groupdict(), arrived_s)


def add_latest_run(trace, hold, words, arrived_s):
    """Record a run of a ``job ended`` line, unless a line of its own tells more."""
    task, number = words["task"], int(words["run"])
    for run in trace.runs:
        key = run.task, run.run, run.entry, run.process
        if key == (task, number, hold.entry, hold.process) and run.begins_s >= (arrived_s or 0.0):
            return
    run = TaskRun(task, number, hold.entry, hold.process, words["agent"])
    run.worker, run.worker_started_ms = split_lifetime(words["lifetime"])

    def at(name):
        text = words[name]
        return None if text == "-" or arrived_s is None else arrived_s + float(text) / 1000

    run.ordered_s, run.started_s, run.learnt_s = at("ordered"), at("started"), at("ended")
    run.news_age_ms = None if words["age"] == "-" else float(words["age"])
    if words["state"] in ENDED_KINDS and run.learnt_s is not None:
        run.outcome = words["state"]
    trace.runs.append(run)


ENTRY_HANDLERS = {
    "job accepted": on_accepted,
    "job refused": on_refused,
    "task runs again": on_runs_again,
    "job ended": on_ended,
}


# Agents


def find_line_run(trace, line):
    """Return the run that an agent's line is about, with what the line tells in any case."""
    fields = line.fields
    run = trace.find_run(
        split_task(fields.get("task", ""))[1],
        fields.get("run", 0),
        line.at_s,
        fields.get("entry", ""),
        fields.get("entry_process", ""),
        line.node,
    )
    run.add(
        agent=line.node,
        entry=fields.get("entry"),
        process=fields.get("entry_process"),
        worker=fields.get("worker"),
        worker_started_ms=fields.get("worker_started_ms"),
        token=fields.get("token"),
    )
    return run


def on_run_started(trace, line):
    """Record a confirmed start."""
    find_line_run(trace, line).add(started_s=line.at_s)


def on_stopping_run(trace, line):
    """Record the beginning of a stop."""
    find_line_run(trace, line).add(stop_s=line.at_s)


def on_run_ended(trace, line):
    """Record the end of a run, which its agent knows before its entry does."""
    run, fields = find_line_run(trace, line), line.fields
    outcome, reason = fields.get("outcome"), fields.get("reason")
    run.add(ended_s=line.at_s, outcome=outcome, reason=reason)
    run.add(agent_outcome=outcome, agent_reason=reason)
    if fields.get("run_ms"):
        run.add(started_s=line.at_s - fields["run_ms"] / 1000)


def on_start_failed(trace, line):
    """Record a run whose order to start was refused or not answered."""
    if "run" in line.fields:
        find_line_run(trace, line)


def on_order_refused(trace, line):
    """Record a run that its agent has returned, or does not know."""
    run, reason = find_line_run(trace, line), line.fields.get("reason")
    run.add(ended_s=line.at_s, outcome="returned", reason=reason)
    run.add(agent_outcome="returned", agent_reason=reason)


def on_runs_of_entry_stopped(trace, line):
    """Record the stop of the runs of a lost entry."""
    fields = line.fields
    for run, text in named_runs(trace, line, "stopped"):
        run.add(stop_s=line.at_s, reason=fields.get("reason"))
        match = STOPPED_RUN_TEXT.match(text)
        if match is not None:
            worker, started_ms = split_lifetime(match["lifetime"])
            run.add(worker=worker, worker_started_ms=started_ms, token=int(match["token"]))


def on_runs_lost(trace, line):
    """Record runs that were counted as lost with their worker."""
    for run, _ in named_runs(trace, line, "runs"):
        run.add(ended_s=line.at_s, outcome="lost", reason=line.fields.get("reason"))


def named_runs(trace, line, name):
    """Yield the runs that the texts in a field name, and the texts."""
    fields = line.fields
    who = fields.get("entry", ""), fields.get("entry_process", ""), line.node
    for text in list_of(fields, name):
        match = NAMED_RUN_TEXT.match(text)
        if match is not None and is_target(trace, text):
            task = split_task(match["name"])[1]
            run = trace.find_run(task, int(match["run"]), line.at_s, *who)
            run.add(agent=line.node)
            yield run, text


def on_unknown_run(trace, line):
    """Record that a worker lists a run which its agent has counted as ended, or never ordered."""
    task = split_task(line.fields.get("task", ""))[1]
    at_agent = [
        run
        for run in trace.runs
        if run.task == task
        and run.agent == line.node
        and line.fields.get("run") in (None, run.run)
        and run.begins_s <= line.at_s
    ]
    if at_agent:
        at_agent[-1].seen_running.append((line.at_s, line.node))


AGENT_HANDLERS = {
    "run started": on_run_started,
    "stopping run": on_stopping_run,
    "run ended": on_run_ended,
    "start order failed": on_start_failed,
    "order refused": on_order_refused,
    "runs of an entry stopped": on_runs_of_entry_stopped,
    "runs lost with their worker": on_runs_lost,
    "stopping a run that this agent did not order": on_unknown_run,
}


def derive_token(trace, run):
    """Set the token of a run without a line of its own from the tokens that its agent logged."""
    at_s = run.started_s if run.started_s is not None else run.ordered_s
    if run.token or not run.agent or at_s is None:
        return
    messages = ("worker takeover complete", "fencing token raised")
    known = [trace.latest_before(message, at_s, node=run.agent) for message in messages]
    known = [line for line in known if line is not None and line.fields.get("token")]
    if known:
        run.token = max(known, key=lambda line: line.at_s).fields["token"]
        run.token_is_derived = True
