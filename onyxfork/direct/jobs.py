"""Jobs of an entry and their tasks, with expected run times and latest starts."""

from attrs import define, field

from onyxfork.direct.messages import TaskOrder, TaskRef
from onyxfork.direct.precedence import start_key

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
    step, index : int
        Position of the step in the job and of the task in the step.
    spec : Step
        What the task needs.
    expected_ms : float
        Expected run time: the caller's estimate, corrected by earlier runs of the queue.
    state : str
        ``blocked`` (a step that it depends on is not done), ``waiting`` (for free capacity),
        ``placed`` (its agent has been sent an order), ``running`` or ``done``.
    run : int
        Number of the latest run; 0 before the first.
    failures : int
        Runs that failed.
    worker : str
        Node of the agent that holds the latest run.
    avoid : set of str
        Nodes of agents on which a run failed or did not complete.
    placed_at, started_at : float
        Monotonic seconds of the latest run's order and of its start event.
    may_have_started : bool
        Whether any run started or was lost.
    withdrawn, recalled : bool
        Whether the latest run has been withdrawn or recalled.
    crashes, suspected : int
        Workers that have crashed while they ran the task, and those of them in whose crash it is a
        suspect.
    started_runs : int
        Runs of which a start event has arrived.
    run_ms : float
        Measured run time of the run that was done; 0 before.
    lifetime : (str, int)
        Identifier and start of the worker's lifetime that had the latest run, as far as known.
    end_kind : str
        Kind of the event that ended the latest run; empty while none has arrived.
    end_run : int
        Number of that run.
    end_learnt_at : float
        Monotonic seconds at which that event arrived.
    end_news_age_ms : float or None
        How long before that its agent learnt of the end; None if it is not known.
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
    crashes: int = 0
    suspected: int = 0
    started_runs: int = 0
    run_ms: float = 0.0
    lifetime: tuple = ("", 0)
    end_kind: str = ""
    end_run: int = 0
    end_learnt_at: float = 0.0
    end_news_age_ms: float | None = None

    def record_order(self, node, now):
        """Begin the record of a new run, ordered at the agent `node`."""
        self.run += 1
        self.state, self.worker, self.placed_at = PLACED, node, now
        self.withdrawn = self.recalled = False
        self.lifetime, self.end_kind, self.end_news_age_ms = ("", 0), "", None

    @property
    def started_ago_ms(self):
        """Time from the start event of the latest run to the news of its end; None without one."""
        if self.started_at < self.placed_at:
            return None
        return (self.end_learnt_at - self.started_at) * 1000

    def record_end(self, kind, now, news_age_ms=None):
        """Record how and when this entry learnt that the latest run has ended, for log lines."""
        self.end_kind, self.end_run = kind, self.run
        self.end_learnt_at, self.end_news_age_ms = now, news_age_ms

    @property
    def ordered_ago_ms(self):
        """Time from the latest run's order to the news of its end, in milliseconds."""
        return (self.end_learnt_at - self.placed_at) * 1000

    def record_crashes(self, count):
        """Raise the numbers of crashes to those of a `CrashCount`."""
        self.crashes = max(self.crashes, count.crashes)
        self.suspected = max(self.suspected, count.suspected)

    @property
    def ref(self):
        """Reference to the latest run."""
        return TaskRef(self.job.id, self.step, self.index, self.run)

    @property
    def is_at_agent(self):
        """Whether an agent holds the latest run."""
        return self.state in (PLACED, RUNNING)

    def order(self, now):
        """Return the `TaskOrder` of the latest run."""
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
            self.crashes,
            self.suspected,
            self.job.priority,
        )


@define(eq=False, slots=True)
class Job:
    """A job whose caller waits.

    Parameters
    ----------
    due_at : float
        Monotonic seconds at which the latency objective ends.
    deadline : float
        Monotonic seconds at which the caller times out.
    chain_ms : list of float
        For each step, the expected time from its start to the end of the longest chain of steps
        that begins with it.
    open_tasks : list of int
        For each step, the number of tasks that are not done.
    outcome : JobOutcome or None
        None until the job has finished.
    first_placed_at : float or None
        Monotonic seconds at which the first run was ordered.
    latest_worker : str
        Node of the agent that was sent the latest order.
    first_started_at, last_ended_at : float or None
        Monotonic seconds of the first start event of a run and of the latest event that ends one.
    last_ended_task : Task or None
        The task of that latest event.
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
    latest_worker: str = ""
    first_started_at: float | None = None
    last_ended_at: float | None = None
    last_ended_task: Task | None = None

    def record_event(self, task, event, now):
        """Record when runs start and end, for the log line that explains a late answer.

        Parameters
        ----------
        task : Task
        event : TaskEvent
        now : float
            Monotonic seconds.
        """
        if event.kind == "started":
            task.started_runs += 1
            if self.first_started_at is None:
                self.first_started_at = now
        elif event.kind != "returned":
            self.last_ended_at, self.last_ended_task = now, task
            if event.kind == "done":
                task.run_ms = event.run_ms

    @property
    def priority(self):
        """Priority of the job's queue, 0 is the highest."""
        return self.request.queue.priority

    @property
    def may_have_started(self):
        """Whether any task may have started."""
        return any(task.may_have_started for task in self.tasks)

    @property
    def has_runs_at_agents(self):
        """Whether an agent holds a run of any task."""
        return any(task.is_at_agent for task in self.tasks)

    def latest_start(self, task):
        """Return the latest start of `task` that meets the job's objective (monotonic seconds)."""
        return self.due_at - self.chain_ms[task.step] / 1000

    def start_key(self, task):
        """Return the key by which `task` is ordered among waiting tasks."""
        return start_key(self.latest_start(task), self.priority)

    @property
    def waiting_millicores(self):
        """Thousandths of a core that the tasks that wait for free capacity need."""
        return sum(task.spec.cpu for task in self.tasks if task.state == WAITING)

    @property
    def work(self):
        """Expected work of all tasks, in thousandths of a core times milliseconds."""
        return sum(task.spec.cpu * task.expected_ms for task in self.tasks)

    def answer_expiry(self, factor):
        """Return the time `factor` latency objectives after the arrival (monotonic seconds)."""
        return self.arrived_at + factor * (self.due_at - self.arrived_at)


def chain_lengths(steps, expected_ms):
    """Return, for each step, the expected run time of the longest chain that begins with it.

    Parameters
    ----------
    steps : list of Step
        Steps depend on earlier ones only.
    expected_ms : list of float
        Expected run time of each step's tasks.

    Returns
    -------
    list of float
        Milliseconds.
    """
    longest_after = [0.0] * len(steps)
    lengths = [0.0] * len(steps)
    for position in range(len(steps) - 1, -1, -1):
        lengths[position] = expected_ms[position] + longest_after[position]
        for earlier in steps[position].depends_on:
            longest_after[earlier] = max(longest_after[earlier], lengths[position])
    return lengths


def longest_chain_ms(steps):
    """Return the caller's estimate for the longest chain of steps (milliseconds)."""
    return max(chain_lengths(steps, [step.expected_ms for step in steps]))


def make_job(request, now, estimates):
    """Return a new job with its tasks.

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
