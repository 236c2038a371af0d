"""Records of `onyxfork runs`: log lines, the entries that had a job, and the runs of its tasks."""

from collections import Counter

from attrs import define, field

__all__ = ["LogLine", "JobHold", "TaskRun", "JobTrace"]

MATCH_TOLERANCE_S = 0.05
"""How much earlier than the order at its entry an agent's line about a run may be, because the
clocks of their machines differ."""


@define
class LogLine:
    """One line of a log.

    Parameters
    ----------
    at_s : float
        Seconds, as in :func:`onyxfork.workload.losses.read_logs`.
    fields : dict
        Those that are whole, if the line is incomplete.
    is_incomplete : bool
    """

    at_s: float
    fields: dict
    is_incomplete: bool = False

    @property
    def message(self):
        """The message of the line, empty if it is missing."""
        return self.fields.get("message", "")

    @property
    def node(self):
        """The node whose process has written the line."""
        return self.fields.get("node", "?")


@define(eq=False)
class JobHold:
    """The time in which one entry had the job.

    Parameters
    ----------
    entry, process : str
        Node, and incarnation of its process; empty if it is not known.
    accepted_s, ended_s : float or None
    outcome, reason : str
        As answered to the caller; empty if that is not in the logs.
    task_count, run_count : int or None
        None if not logged.
    omitted_count : int
        Tasks whose runs are not named, because the line is bounded.
    names_runs : bool
        Whether the end of the job is logged with the runs of its tasks.
    """

    entry: str
    process: str
    accepted_s: float | None = None
    ended_s: float | None = None
    outcome: str = ""
    reason: str = ""
    task_count: int | None = None
    run_count: int | None = None
    omitted_count: int = 0
    names_runs: bool = False


@define(eq=False)
class TaskRun:
    """One run of a task; what no log tells is None, 0 or empty.

    Parameters
    ----------
    task : str
        Step and index.
    run : int
    entry, process : str
        Who has ordered it.
    agent, worker : str
    worker_started_ms : int
        Start of the worker's lifetime.
    token : int
        Fencing token of the order to start it.
    token_is_derived : bool
        Whether that is the token that its agent had at the time, and not logged with the run.
    ordered_s, started_s : float or None
        As its entry knows it, or else its agent.
    ended_s : float or None
        When its agent learnt of the end.
    learnt_s, news_age_ms : float or None
        When its entry learnt of the end, and how old that news was.
    outcome, reason : str
        How it ended, and why it did if it was not by itself.
    agent_outcome, agent_reason : str
        The same as its agent has logged it.
    stop_s : float or None
        When its agent began to stop it.
    runs_again : bool
        Whether its entry has ordered the task again because of this end.
    seen_running : list of (float, str)
        When, and on which node, a worker still listed it although its agent had counted it as
        ended.
    """

    task: str
    run: int
    entry: str = ""
    process: str = ""
    agent: str = ""
    worker: str = ""
    worker_started_ms: int = 0
    token: int = 0
    token_is_derived: bool = False
    ordered_s: float | None = None
    started_s: float | None = None
    ended_s: float | None = None
    learnt_s: float | None = None
    news_age_ms: float | None = None
    outcome: str = ""
    reason: str = ""
    agent_outcome: str = ""
    agent_reason: str = ""
    stop_s: float | None = None
    runs_again: bool = False
    seen_running: list = field(factory=list)

    @property
    def begins_s(self):
        """The earliest time that is known of it; 0 if there is none."""
        times = (self.ordered_s, self.started_s, self.stop_s, self.ended_s, self.learnt_s)
        return min((time for time in times if time is not None), default=0.0)

    @property
    def known_end_s(self):
        """When its end was known at its agent, or else at its entry; None if it is not logged."""
        if self.ended_s is not None:
            return self.ended_s
        if self.learnt_s is None:
            return None
        return self.learnt_s - (self.news_age_ms or 0.0) / 1000

    def add(self, **values):
        """Set attributes that are not known yet."""
        for name, value in values.items():
            if value not in (None, "", 0) and getattr(self, name) in (None, "", 0):
                setattr(self, name, value)


@define(eq=False)
class JobTrace:
    """What logs tell about one job.

    Parameters
    ----------
    job, task : str
        What was asked for; `task` is empty for the whole job.
    origin : float
        Wall clock (seconds since the epoch) at second 0.
    lines : list of LogLine
        Lines that name the job or tell about processes and workers, by time.
    events : list of LogLine
        Those of them that name the job, or the task if one was asked for.
    holds : list of JobHold
    runs : list of TaskRun
        By time.
    nodes : set of str
        Nodes whose logs were read.
    dropped : Counter
        Lines dropped above the rate limit, by node.
    line_count, incomplete_count : int
        All lines, and incomplete ones that may be about the job.
    empty_files : list of pathlib.Path
        Files without a log line.
    """

    job: str
    task: str
    origin: float = 0.0
    lines: list = field(factory=list)
    events: list = field(factory=list)
    holds: list = field(factory=list)
    runs: list = field(factory=list)
    nodes: set = field(factory=set)
    dropped: Counter = field(factory=Counter)
    line_count: int = 0
    incomplete_count: int = 0
    empty_files: list = field(factory=list)

    def find_run(self, task, run, at_s, entry="", process="", agent=""):
        """Return the run that an agent's line is about; add it if no entry's log has it."""
        known = [
            item
            for item in self.runs
            if (item.task, item.run) == (task, run)
            and entry in ("", item.entry)
            and (not process or item.process in ("", process))
            and (not agent or item.agent in ("", agent))
        ]
        earlier = [item for item in known if item.begins_s <= at_s + MATCH_TOLERANCE_S]
        if known:
            return max(earlier or known, key=lambda item: item.begins_s)
        found = TaskRun(task, run, entry, process, agent)
        self.runs.append(found)
        return found

    def latest_before(self, message, at_s, **fields):
        """Return the latest line with a message and fields that is not after a time, or None."""
        found = None
        for line in self.lines:
            if line.at_s > at_s:
                break
            if line.message == message and fields.items() <= line.fields.items():
                found = line
        return found
