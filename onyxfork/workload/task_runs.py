"""The runs of one job or task from the logs of entries and agents, as ``onyxfork runs`` prints it.

Logs of releases that lack fields, incomplete lines and missing logs are accepted; the text tells
what is missing.
"""

import re
from datetime import datetime

from tabulate import tabulate

from onyxfork.errors import SettingsError
from onyxfork.workload.losses import find_origin, read_clock, split_line
from onyxfork.workload.task_run_lines import collect_runs
from onyxfork.workload.task_run_pairs import describe_gaps, describe_pairs
from onyxfork.workload.task_run_records import JobTrace, LogLine

__all__ = ["parse_target", "read_trace", "runs_text"]

TARGET = re.compile(r"([0-9A-Za-z]{1,64})(?:(?:\.[0-9]{1,9})?\.([0-9]{1,9})\.([0-9]{1,9}))?")

CONTEXT_MESSAGES = (
    "worker reported",
    "worker left",
    "worker does not answer",
    "worker answers again",
    "worker takeover complete",
    "reported lifetime refuted by the worker",
    "notice that the worker has left is ignored",
    "fencing token raised",
    "agent connected",
    "agent disconnected",
    "agent lost",
    "entry connected",
    "entry disconnected",
    "stale orders returned",
    "machine was suspended",
    "started",
    "stopping",
    "stopped",
)
"""Messages about processes and workers. They name no job."""

RELEVANT = re.compile("|".join([*(f'"{text}"' for text in CONTEXT_MESSAGES), "dropped_before"]))

WHOLE_FIELD = re.compile(r'"(\w+)": ("(?:[^"\\]|\\.)*"|-?[0-9.]+(?=[,}])|null|true|false)')
WHOLE_TASK_RUN = re.compile(r'"([0-9]+\.[0-9]+/[0-9]+ [^"]+)"')

TEXT_FIELDS = (
    *("message", "node", "process", "job", "task", "agent", "worker", "entry", "entry_process"),
    *("outcome", "reason", "incarnation"),
)
INTEGER_FIELDS = ("run", "worker_started_ms", "token", "dropped_before", "task_runs_omitted")
NUMBER_FIELDS = ("elapsed_ms", "run_ms", "ordered_ago_ms", "started_ago_ms", "news_age_ms")
"""Fields that are left out if they have another type, as in a line that was damaged."""

MARGIN_S = 1.0
"""How long before the first and after the last line about the job the table of events reaches."""

MAX_EVENTS = 200
"""Upper bound on the rows of the table of events."""

EVENT_FIELDS = (
    "task",
    "run",
    "agent",
    "entry",
    "entry_process",
    "incarnation",
    "worker",
    "worker_started_ms",
    "started_ms",
    "worker_state",
    "state",
    "answer",
    "answer_started_ms",
    "token",
    "before",
    "outcome",
    "reason",
    "elapsed_ms",
    "run_ms",
    "ordered_ago_ms",
    "started_ago_ms",
    "news_age_ms",
    "held_run",
    "held_entry",
    "held_entry_process",
    "silent_for_ms",
    "runs_kept",
    "runs",
    "orders",
    "waited_ms",
    "acknowledged",
    "lease_left_ms",
    "age_s",
    "retry_after_ms",
)
"""Fields of lines in the table of events, in this order."""


# Reading


def parse_target(text):
    """Return job and task (``STEP.INDEX``, empty for the whole job) in an identifier.

    Raises
    ------
    SettingsError
        If the text is neither ``JOB``, ``JOB.STEP.INDEX`` nor ``JOB.OCCURRENCE.STEP.INDEX``.
    """
    match = TARGET.fullmatch(text)
    if match is None:
        expected = "JOB, JOB.STEP.INDEX or JOB.OCCURRENCE.STEP.INDEX"
        raise SettingsError([f"TASK-OR-JOB: expected {expected}, got {text[:80]!r}"])
    job, step, index = match.groups()
    return job, "" if step is None else f"{int(step)}.{int(index)}"


def read_trace(target, paths):
    """Return what log files tell about a job or one of its tasks.

    Parameters
    ----------
    target : str
        See `parse_target`.
    paths : iterable of pathlib.Path
        Logs of any processes; text before the first brace of a line is allowed.

    Returns
    -------
    JobTrace

    Raises
    ------
    SettingsError
        If the target is invalid, or a file cannot be read.
    """
    trace, read = JobTrace(*parse_target(target)), []
    for path in paths:
        try:
            read += read_file(path, trace)
        except OSError as error:
            raise SettingsError([f"LOGS: {path}: {error.strerror}"]) from None
    trace.origin = find_origin([entry[:3] for entry in read])
    for prefix, clock, fields, is_incomplete in read:
        at_s = prefix if prefix is not None else (clock or trace.origin) - trace.origin
        trace.lines.append(LogLine(at_s, fields, is_incomplete))
    trace.lines.sort(key=lambda line: line.at_s)
    collect_runs(trace)
    return trace


def read_file(path, trace):
    """Return time prefix, clock, fields and incompleteness of the lines that may matter."""
    found, node, line_count = [], None, 0
    with path.open(encoding="utf-8", errors="replace") as file:
        for text in file:
            start = text.find("{")
            if start < 0:
                continue
            line_count += 1
            if node is not None and trace.job not in text and RELEVANT.search(text) is None:
                continue
            prefix, fields = split_line(text)
            is_incomplete = fields is False
            if is_incomplete:
                fields = recover_fields(text[start:])
                trace.incomplete_count += 1
            if not isinstance(fields, dict) or not fields:
                continue
            fields = drop_malformed(fields)
            node = fields.get("node", node)
            trace.dropped[node or "?"] += fields.get("dropped_before", 0)
            found.append((prefix, read_clock(fields), fields, is_incomplete))
    if node is not None:
        trace.nodes.add(node)
    if not line_count:
        trace.empty_files.append(path)
    trace.line_count += line_count
    return found


def drop_malformed(fields):
    """Return fields without those whose type is not the one that is logged."""
    return {
        name: value
        for name, value in fields.items()
        if (name not in TEXT_FIELDS or isinstance(value, str))
        and (name not in NUMBER_FIELDS or type(value) in (int, float))
        and (name not in INTEGER_FIELDS or type(value) is int)
    }


def recover_fields(text):
    """Return the whole fields of an incomplete JSON object."""
    fields = {}
    for name, value in WHOLE_FIELD.findall(text):
        fields[name] = decode_scalar(value)
    task_runs = WHOLE_TASK_RUN.findall(text)
    if task_runs:
        fields["task_runs"] = task_runs
    return fields


def decode_scalar(text):
    """Return the value of a JSON string, number or constant; None if it is neither."""
    if text.startswith('"'):
        return text[1:-1]
    if text in ("true", "false"):
        return text == "true"
    try:
        return float(text) if "." in text else int(text)
    except ValueError:
        return None


# Text


def runs_text(trace):
    """Return the tables of a `JobTrace`, the pairs of runs that may have overlapped, and the gaps.

    Times are seconds since the time that the first line states.
    """
    origin = datetime.fromtimestamp(trace.origin).isoformat(sep=" ", timespec="milliseconds")
    name = f"task {trace.task} of job {trace.job}" if trace.task else f"job {trace.job}"
    pairs = describe_pairs(trace)
    gaps = list(dict.fromkeys(describe_gaps(trace)))
    return "\n\n".join(
        [
            f"{name}; times in seconds since {origin}, by the clock of each process",
            "Entries that had the job\n\n" + hold_table(trace),
            "Runs\n\n" + run_table(trace),
            "Events\n\n" + event_table(trace),
            list_text("Pairs of runs that may have overlapped", pairs),
            list_text("Not in the logs", gaps),
        ]
    )


def list_text(title, texts):
    """Return a heading and a line for each text."""
    return "\n".join([f"{title}: {len(texts) or 'none'}", *(f"- {text}" for text in texts)])


def make_table(headers, rows):
    """Return a table as text."""
    return tabulate(rows, headers=headers, tablefmt="github", disable_numparse=True)


def seconds(value):
    """Return a time for a table."""
    return "-" if value is None else f"{value:.3f}"


def hold_table(trace):
    """Return the table of the entries that had the job, by time."""
    headers = ["accepted", "ended", "entry", "process", "outcome", "reason", "tasks", "runs"]
    rows = []
    for hold in trace.holds:
        counts = [hold.task_count, hold.run_count]
        rows.append(
            [
                seconds(hold.accepted_s),
                seconds(hold.ended_s),
                hold.entry,
                hold.process or "-",
                hold.outcome or "not logged",
                hold.reason,
                *("-" if count is None else count for count in counts),
            ]
        )
    return make_table(headers, rows)


def run_table(trace):
    """Return the table of runs by time.

    ``end known`` is when the agent knew that the run had ended, ``learnt`` when its entry did.
    """
    headers = ["ordered", "run", "entry", "process", "agent", "worker", "lifetime", "token"]
    headers += ["started", "end known", "learnt", "age ms", "outcome", "reason", "then"]
    rows = []
    for run in trace.runs:
        rows.append(
            [
                seconds(run.ordered_s),
                f"{run.task}/{run.run}",
                run.entry or "?",
                run.process or "-",
                run.agent or "?",
                run.worker or "-",
                run.worker_started_ms or "-",
                f"{run.token}{'*' if run.token_is_derived else ''}" if run.token else "-",
                seconds(run.started_s),
                seconds(run.known_end_s),
                seconds(run.learnt_s),
                "-" if run.news_age_ms is None else f"{run.news_age_ms:.0f}",
                run.outcome or "-",
                run.reason,
                "runs again" if run.runs_again else "",
            ]
        )
    table = make_table(headers, rows)
    if any(run.token_is_derived for run in trace.runs):
        table += "\n\n(* the token that the agent had when the run started)"
    return table


def event_table(trace):
    """Return the table of the lines about the job and about the processes that took part in it."""
    if not trace.events:
        return "none"
    start, end = trace.events[0].at_s - MARGIN_S, trace.events[-1].at_s + MARGIN_S
    agents = {run.agent for run in trace.runs}
    entries = {hold.entry for hold in trace.holds} | {run.entry for run in trace.runs}
    named = set(map(id, trace.events))
    shown = [
        line
        for line in trace.lines
        if start <= line.at_s <= end and (id(line) in named or is_context(line, agents, entries))
    ]
    rows = [
        [seconds(line.at_s), line.node, line.fields.get("process", "-"), line.message or "?"]
        + [describe_fields(line)]
        for line in shown[:MAX_EVENTS]
    ]
    table = make_table(["at", "node", "process", "message", "fields"], rows)
    if len(shown) > MAX_EVENTS:
        table += f"\n\n({len(shown) - MAX_EVENTS} more)"
    return table


def is_context(line, agents, entries):
    """Return whether a line tells about an agent or an entry that took part, or their link."""
    if line.message not in CONTEXT_MESSAGES:
        return False
    if "agent" in line.fields:
        return line.node in entries and line.fields["agent"] in agents
    if "entry" in line.fields:
        return line.node in agents and line.fields["entry"] in entries
    return line.node in agents | entries


def describe_fields(line):
    """Return the fields of a line that tell about runs, as text."""
    texts = [
        f"{name}={line.fields[name]}"
        for name in EVENT_FIELDS
        if line.fields.get(name) not in (None, "") and not isinstance(line.fields[name], list)
    ]
    mark = ["(incomplete line)"] if line.is_incomplete else []
    return " ".join([*texts, *mark])
