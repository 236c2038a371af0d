"""Pairs of runs of one task that may have overlapped, and what logs do not tell about a job."""

from itertools import combinations

__all__ = ["describe_pairs", "describe_gaps"]

RUNS_IN_WORKER_LIST = ("done", "failed", "stopped")
"""Outcomes of runs whose end the worker has listed itself."""

NEVER_ARRIVED = "never arrived"
"""Reason of a returned run that its agent does not know; a former process may have started it."""

CLOCK_DIFFERENCE_S = 0.05
"""Overlaps below it are within what clocks of different machines differ by."""

AGENT_UNREACHABLE = "agent unreachable"
"""Reason of a run that its entry has concluded to have ended."""

REPORT_LINE_DELAY_S = 0.05
"""The line about a new lifetime follows those about the runs that were lost with the former one."""


# Pairs


def describe_pairs(trace):
    """Return a text for each pair of runs of a `JobTrace` that may have overlapped."""
    by_task = {}
    for run in trace.runs:
        by_task.setdefault(run.task, []).append(run)
    texts = []
    for runs in by_task.values():
        runs = [run for run in runs if not has_certainly_not_started(run)]
        for (position, first), (other, second) in combinations(enumerate(runs), 2):
            finding = find_overlap(trace, first, second, is_next=other == position + 1)
            if finding:
                texts.append(f"{describe_run(first)} and {describe_run(second)}: {finding}")
        if runs and runs[-1].runs_again:
            finding = find_unnamed_overlap(trace, runs[-1])
            if finding:
                texts.append(f"{describe_run(runs[-1])} and a run that no line names: {finding}")
    return texts


def describe_run(run):
    """Return a short name of a run with its entry and worker."""
    lifetime = f"{run.worker}@{run.worker_started_ms or '?'}" if run.worker else "?"
    return f"{run.task}/{run.run} (ordered by {run.entry or '?'}, at {run.agent or '?'} {lifetime})"


def find_overlap(trace, first, second, is_next):
    """Return what logs say about an overlap of two runs, empty if they rule it out.

    Parameters
    ----------
    trace : JobTrace
    first, second : TaskRun
        Runs of one task, `first` being the earlier one.
    is_next : bool
        Whether there is none between them. If the end of the first one was only concluded, this is
        told for the next run alone.
    """
    begins_s = second.ordered_s if second.ordered_s is not None else second.started_s
    if begins_s is None:
        begins_s = second.begins_s
    listed = describe_late_listing(first, begins_s, second.started_s)
    if listed:
        return listed
    end_s = first.known_end_s
    if end_s is None:
        return "may have overlapped: the end of the first one is not in the logs"
    follows = is_successor(first, second)
    if end_s > begins_s and not follows:
        return describe_late_end(first, second, begins_s, end_s)
    if first.outcome in RUNS_IN_WORKER_LIST or not is_next:
        return ""
    return describe_concluded_end(trace, first, begins_s)


def find_unnamed_overlap(trace, first):
    """Return what logs say about a run and its replacement, which no line names."""
    listed = describe_late_listing(first, first.learnt_s, None)
    if listed or first.outcome in RUNS_IN_WORKER_LIST:
        return listed
    return describe_concluded_end(trace, first, first.learnt_s)


def describe_late_listing(first, begins_s, started_s):
    """Return the text for a first run that its worker listed late, or an empty one.

    Parameters
    ----------
    first : TaskRun
    begins_s : float
        When the second run was ordered, or when its entry learnt that the first one had ended.
    started_s : float or None
        When the second run started.
    """
    late = [at_s for at_s, _ in first.seen_running if at_s >= begins_s]
    if not late:
        return ""
    both_ran = started_s is not None and started_s <= late[-1]
    text = (
        f"{'overlapped' if both_ran else 'may have overlapped'}: the worker still listed the first "
        f"one at {late[-1]:.3f} s, {since(begins_s, late[-1])} after the second one could be "
        f"ordered; its agent had counted it as {first.outcome or 'ended'} "
        f"({first.reason or 'no reason logged'})"
    )
    return f"{text}; the second one had started at {started_s:.3f} s" if both_ran else text


def is_successor(first, second):
    """Return whether an entry ordered the second run after it had learnt of the first one's end."""
    same_entry = (first.entry, first.process) == (second.entry, second.process)
    return same_entry and first.runs_again and second.run > first.run


def since(earlier_s, later_s):
    """Return the time between two times as text."""
    return f"{(later_s - earlier_s) * 1000:.0f} ms"


def has_certainly_not_started(run):
    """Return whether a run was returned before a worker can have started it."""
    outcome, reason = run.outcome, run.reason
    if run.agent_outcome:
        outcome, reason = run.agent_outcome, run.agent_reason
    return outcome == "returned" and run.started_s is None and reason != NEVER_ARRIVED


def describe_late_end(first, second, begins_s, end_s):
    """Return the text for a first run that ended, as logged, after the order of the second."""
    text = (
        f"may have overlapped for {since(begins_s, end_s)}: the first one was known to have ended "
        f"({first.outcome}) at {end_s:.3f} s, the second one was ordered at {begins_s:.3f} s"
    )
    if first.stop_s is not None:
        text += f"; the first one was being stopped since {first.stop_s:.3f} s"
    if second.started_s is not None and second.started_s >= end_s:
        text += f"; the start of the second one was confirmed only at {second.started_s:.3f} s"
    if end_s - begins_s < CLOCK_DIFFERENCE_S and first.agent != second.agent:
        text += "; clocks of different machines may differ by as much"
    return text


def describe_concluded_end(trace, first, begins_s):
    """Return the text for a first run whose end its worker has not listed."""
    known = (first.known_end_s, first.learnt_s, begins_s)
    end_s = min(time for time in known if time is not None)
    text = (
        f"may have overlapped: the end of the first one ({first.outcome or 'outcome not logged'}"
        f"{': ' + first.reason if first.reason else ''}) was concluded at {end_s:.3f} s and not "
        f"listed by its worker; the second one was ordered {since(end_s, begins_s)} later"
    )
    wrong = [at_s for at_s, _ in first.seen_running if at_s >= (first.ended_s or end_s)]
    if wrong:
        text += f"; that was wrong, its worker listed it at {wrong[-1]:.3f} s"
    if first.reason == AGENT_UNREACHABLE:
        return f"{text}; {describe_silence(trace, first, end_s)}"
    return f"{text}; {describe_lifetime(trace, first)}"


def describe_silence(trace, first, end_s):
    """Return how long the entry of a run had no connection to its agent, as text."""
    lost = trace.latest_before("agent disconnected", end_s, node=first.entry, agent=first.agent)
    if lost is None:
        return "when its entry lost the connection to the agent is not logged"
    text = f"its entry had lost the connection to the agent {since(lost.at_s, end_s)} before"
    if first.ended_s is not None and first.ended_s > end_s:
        text += f", the agent concluded the end at {first.ended_s:.3f} s"
    return text


def describe_lifetime(trace, first):
    """Return whether the lifetime that had a run was the current one at its end, as text."""
    at_s = first.known_end_s + REPORT_LINE_DELAY_S
    latest = trace.latest_before("worker reported", at_s, node=first.agent)
    if latest is None:
        return "no lifetime of that worker is in the logs"
    began = latest.fields.get("started_ms")
    if not first.worker_started_ms or not began:
        return "which lifetime had it is not logged"
    if latest.fields.get("worker") == first.worker and began == first.worker_started_ms:
        return "the lifetime that had it was the agent's current one"
    return f"the lifetime that had it had been replaced by one that began at {began}"


# Gaps


def describe_gaps(trace):
    """Return a text for everything about the job that the logs of a `JobTrace` do not tell."""
    texts = [f"{path}: no log line" for path in trace.empty_files]
    if trace.incomplete_count:
        texts.append(f"{trace.incomplete_count} incomplete lines; their whole fields are used")
    for node, count in sorted(trace.dropped.items()):
        if count:
            texts.append(f"{node}: {count} lines dropped above the rate limit, of any jobs")
    named = {run.entry for run in trace.runs} | {run.agent for run in trace.runs}
    for node in sorted(named - trace.nodes - {"", "?"}):
        texts.append(f"{node}: its log is not among the files")
    for hold in trace.holds:
        texts += describe_hold_gaps(trace, hold)
    for run in trace.runs:
        texts += describe_run_gaps(run)
    return texts + describe_missing_numbers(trace)


def describe_hold_gaps(trace, hold):
    """Yield what is missing about an entry's time with the job."""
    name = f"{hold.entry} (process {hold.process or 'not logged'})"
    if hold.accepted_s is None:
        yield f"{name}: no line says when it accepted the job"
    if hold.ended_s is None:
        since_s = hold.accepted_s if hold.accepted_s is not None else 0.0
        later = [line for line in trace.lines if line.node == hold.entry and line.at_s > since_s]
        restart = next((line for line in later if line.message == "started"), None)
        why = "its log ends or lacks the line"
        if restart is not None:
            why = f"its next process started at {restart.at_s:.3f} s"
        yield f"{name}: no line says how it ended the job and names its ordinary runs; {why}"
    elif not hold.names_runs:
        counts = f"{hold.run_count} runs of {hold.task_count} tasks"
        yield f"{name}: the end of the job is logged without its runs ({counts})"
    elif hold.omitted_count:
        yield f"{name}: the latest runs of {hold.omitted_count} tasks are not named (bounded line)"


def describe_run_gaps(run):
    """Yield what is missing about a run."""
    missing = []
    if not run.entry:
        missing.append("who ordered it")
    if run.outcome != "returned":
        if run.ordered_s is None:
            missing.append("when it was ordered")
        if not run.worker_started_ms:
            missing.append("which lifetime had it")
        if not run.token:
            missing.append("its fencing token")
        if run.known_end_s is None:
            missing.append("its end")
    is_news = run.outcome != "returned" and run.reason != AGENT_UNREACHABLE
    if run.runs_again and is_news and run.news_age_ms is None:
        missing.append("how old the news of its end was")
    if missing:
        yield f"run {run.task}/{run.run} of {run.entry or '?'}: not logged: {', '.join(missing)}"


def describe_missing_numbers(trace):
    """Return a text for each number below a task's latest run that no line names."""
    numbers, texts = {}, []
    for run in trace.runs:
        key = run.task, run.entry, run.process
        numbers.setdefault(key, {})[run.run] = run
    for (task, entry, _), runs in sorted(numbers.items()):
        if not entry:
            continue
        is_jump = any(run.reason == "old" for run in runs.values())
        absent = [str(number) for number in range(1, max(runs)) if number not in runs]
        if absent and not is_jump:
            texts.append(
                f"task {task} of {entry}: no line about run {', '.join(absent)}, recalled "
                "before its start or not in these logs"
            )
    return texts
