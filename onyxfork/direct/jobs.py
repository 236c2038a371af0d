"""Rows of an entry's tables: jobs and their tasks."""

from attrs import define, field

from onyxfork.direct.messages import TaskOrder, TaskRef

__all__ = ["Task", "Job", "make_job", "longest_chain_ms"]

BLOCKED = "blocked"
WAITING = "waiting"
PLACED = "placed"
RUNNING = "running"
DONE = "done"


@define(eq=False, slots=True)
class Task:
    """A task of a job.

    Parameters
    ----------
    state : str
        ``blocked`` (an earlier step is not done), ``waiting`` (for room), ``placed`` (sent to an
        agent), ``running`` or ``done``.
    run : int
        Number of the latest run; 0 before the first.
    failures : int
        Runs that failed.
    worker : str
        Node of the agent that holds the latest run.
    avoid : set of str
        Agents on which a run went wrong.
    """

    job: "Job"
    step: int
    index: int
    spec: object
    expected_ms: float
    state: str = BLOCKED
    run: int = 0
    failures: int = 0
    worker: str = ""
    avoid: set = field(factory=set)
    placed_at: float = 0.0
    started_at: float = 0.0
    may_have_started: bool = False
    withdrawn: bool = False
    recalled: bool = False

    @property
    def ref(self):
        """The latest run."""
        return TaskRef(self.job.id, self.step, self.index, self.run)

    @property
    def is_at_agent(self):
        """Whether the latest run is at an agent."""
        return self.state in (PLACED, RUNNING)

    def order(self, now):
        """Return the order for the latest run."""
        slack_ms = (self.job.latest_start(self) - now) * 1000
        spec = self.spec
        return TaskOrder(
            self.job.id,
            self.step,
            self.index,
            self.run,
            self.job.request.spec,
            spec.cpu,
            spec.memory_mb,
            spec.gpu,
            self.expected_ms,
            slack_ms,
        )


@define(eq=False, slots=True)
class Job:
    """A job whose caller waits.

    Parameters
    ----------
    due : float
        Monotonic seconds at which its latency objective ends.
    deadline : float
        Monotonic seconds at which the caller stops waiting.
    chain_ms : list of float
        For each step, the expected time from its start to the end of the job.
    open_tasks : list of int
        For each step, how many tasks are not done.
    outcome : JobOutcome or None
        Set once the caller has been answered.
    first_placed : float or None
        When the first run was ordered.
    """

    id: str
    request: object
    arrived_at: float
    due_at: float
    deadline: float
    tasks: list = field(factory=list)
    chain_ms: list = field(factory=list)
    open_tasks: list = field(factory=list)
    outcome: object = None
    first_placed_at: float | None = None

    @property
    def may_have_started(self):
        """Whether any task may have begun."""
        return any(task.may_have_started for task in self.tasks)

    @property
    def has_runs_at_agents(self):
        """Whether any run is at an agent."""
        return any(task.is_at_agent for task in self.tasks)

    def latest_start(self, task):
        """Return when `task` must start for the job to meet its objective (monotonic seconds)."""
        return self.due_at - self.chain_ms[task.step] / 1000

    def answer_expiry(self, factor):
        """Return until when an answer is of use: `factor` times the objective after arrival."""
        return self.arrived_at + factor * (self.due_at - self.arrived_at)


def chain_lengths(steps, expected_ms):
    """Return, for each step, the expected time from its start to the end of the longest chain.

    Parameters
    ----------
    steps : list of Step
        Steps refer to earlier ones only.
    expected_ms : list of float
        Expected run time of each step's tasks.

    Returns
    -------
    list of float
        Milliseconds.
    """
    tail = [0.0] * len(steps)
    lengths = [0.0] * len(steps)
    for position in range(len(steps) - 1, -1, -1):
        lengths[position] = expected_ms[position] + tail[position]
        for earlier in steps[position].depends_on:
            tail[earlier] = max(tail[earlier], lengths[position])
    return lengths


def longest_chain_ms(steps):
    """Return the estimated time of the longest chain of steps (milliseconds)."""
    return max(chain_lengths(steps, [step.expected_ms for step in steps]))


def make_job(request, now, estimates):
    """Return the rows of a new job.

    Parameters
    ----------
    request : JobRequest
    now : float
        Monotonic seconds.
    estimates : EstimateTable

    Returns
    -------
    Job
    """
    queue = request.queue.name
    expected = [estimates.predict_run_ms(queue, step.expected_ms) for step in request.steps]
    lengths = chain_lengths(request.steps, expected)
    objective_ms = request.queue.stretch * max(lengths) + request.queue.objective_ms
    deadline = now + request.caller_timeout_ms / 1000
    job = Job(request.job, request, now, now + objective_ms / 1000, deadline)
    job.chain_ms = lengths
    for position, step in enumerate(request.steps):
        job.open_tasks.append(step.count)
        state = BLOCKED if step.depends_on else WAITING
        job.tasks += [
            Task(job, position, index, step, expected[position], state)
            for index in range(step.count)
        ]
    return job
