"""Profiles of soaks: the number of processes, the workers, the load and the callers' behavior."""

from attrs import define, evolve, field

from onyxfork.errors import SettingsError
from onyxfork.workload.soak.schedule import SoakSize

__all__ = ["JobKind", "SoakProfile", "PROFILE_NAMES", "CRASHING", "WORKER_CPU"]

CALLER_TIMEOUT_S = 8.0
"""How long a caller waits for its job unless its kind says otherwise; also sent in the deadline
header."""

CRASHING = "crash"
"""Last word of the spec of a job whose first task crashes each worker that starts it."""

WORKER_CPU, WORKER_MEMORY_MB = 32000, 65536
"""Usual thousandths of a core and memory of a worker."""

USUAL_RUN_MS = 120, 1800, 400
"""Run times of the three kinds of jobs: a small check, a large build and a lookup."""

SHORT_TIMEOUTS_S = 2.0, 6.0, 2.5
"""Timeouts of callers that wait for a small multiple of the latency objective."""


@define(frozen=True)
class JobKind:
    """Jobs of one queue; their rates have the proportions of the users' load.

    Parameters
    ----------
    queue : str
    priority : int
        0 is the highest.
    jobs_per_s : float
    tasks : int
    run_ms : int
        Usual run time of a task.
    cpu : int
        Thousandths of a core that a task needs.
    timeout_s : float
        How long a caller waits for the answer to one attempt.
    """

    queue: str
    priority: int
    jobs_per_s: float
    tasks: int
    run_ms: int
    cpu: int = 3100
    timeout_s: float = CALLER_TIMEOUT_S

    def spec(self, crashing=False):
        """Return the spec of a job, from which the stand-in worker reads what a task does."""
        return f"{self.cpu} {self.run_ms}" + (f" {CRASHING}" if crashing else "")


@define(frozen=True)
class SoakProfile:
    """Shape and load of a deployment in a soak.

    Parameters
    ----------
    name : str
    size : SoakSize
    kinds : tuple of JobKind
    worker_cpu : int
        Thousandths of a core of a worker.
    worker_memory_mb : int
    max_attempts : int or None
        How often a caller sends a job that is not answered in time, each time with a timeout of its
        own. None if the timeout of the first attempt covers all.
    busy : int
        Processes that keep cores of the machine busy meanwhile.
    """

    name: str
    size: SoakSize
    kinds: tuple = field(factory=tuple)
    worker_cpu: int = WORKER_CPU
    worker_memory_mb: int = WORKER_MEMORY_MB
    max_attempts: int | None = None
    busy: int = 0

    @classmethod
    def small(cls):
        """Return the default profile: few processes, low load, patient callers."""
        rates, names = (2.9, 0.5, 8.4), ("notice-check", "issue-proof", "roll-lookup")
        return cls("small", SoakSize(), make_kinds(names, rates, 3100, (CALLER_TIMEOUT_S,) * 3))

    @classmethod
    def long_runs(cls):
        """Return a profile whose runs mostly outlast the delay after which callers send again."""
        names = "notice-check", "issue-proof", "roll-lookup"
        kinds = make_kinds(names, (1.0, 3.6, 2.0), 3100, (CALLER_TIMEOUT_S,) * 3)
        kinds = kinds[0], evolve(kinds[1], run_ms=2300), kinds[2]
        return cls("long-runs", SoakSize(), kinds, max_attempts=4)

    @classmethod
    def four_zones(cls):
        """Return a profile with an entry in each of four zones, and workers near capacity."""
        size = SoakSize(controls=3, entries=4, agents=11, zone_count=4)
        names = "notice-check", "issue-proof", "roll-lookup"
        return cls("four-zones", size, make_kinds(names, USUAL_RATES, 3100), max_attempts=4)

    @classmethod
    def large_workers(cls):
        """Return a profile with large workers and large tasks, near capacity."""
        names = "client-lookup", "quote-update", "visit-booking"
        kinds = make_kinds(names, USUAL_RATES, 6200)
        return cls("large-workers", ELEVEN_AGENTS, kinds, 64000, 262144, 4)

    @classmethod
    def small_workers(cls):
        """Return a profile with small workers and small tasks, near capacity."""
        names = "stop-lookup", "bridge-plan", "roster-check"
        kinds = make_kinds(names, USUAL_RATES, 1600)
        return cls("small-workers", ELEVEN_AGENTS, kinds, 16000, 32768, 4)

    @classmethod
    def many_workers(cls):
        """Return a profile with many agents.

        One process plays all workers, callers and links. It can't start 1,600 tasks a second, so
        there are fewer and larger tasks: a fifth of the users' rates with five times the cores.
        """
        size = SoakSize(controls=5, entries=8, agents=54)
        names = "stop-lookup", "bridge-plan", "roster-check"
        kinds = make_kinds(names, (22.0, 5.0, 65.0), 6500, (2.1, 6.2, 2.6))
        return cls("many-workers", size, kinds, 16000, 32768, 4)

    @classmethod
    def from_name(cls, name):
        """Return the profile with a name.

        Raises
        ------
        SettingsError
            If there is none.
        """
        if name not in PROFILE_NAMES:
            raise SettingsError([f"profile: expected one of {', '.join(PROFILE_NAMES)}"])
        return getattr(cls, name.replace("-", "_"))()

    @property
    def cores_needed(self):
        """Return how many cores the load needs on average, without its bursts."""
        return sum(
            kind.jobs_per_s * kind.tasks * kind.run_ms * kind.cpu / 1e6 for kind in self.kinds
        )


PROFILE_NAMES = (
    "small",
    "long-runs",
    "four-zones",
    "large-workers",
    "small-workers",
    "many-workers",
)

USUAL_RATES = 17.2, 3.1, 50.0
"""Jobs a second of the three kinds, which use about 70 % of eleven workers."""

ELEVEN_AGENTS = SoakSize(controls=3, entries=3, agents=11)


def make_kinds(names, rates, cpu, timeouts_s=SHORT_TIMEOUTS_S):
    """Return the three kinds of jobs: small checks, large builds and lookups."""
    priorities, tasks = (0, 2, 1), (8, 4, 2)
    columns = zip(names, priorities, rates, tasks, USUAL_RUN_MS, timeouts_s, strict=True)
    return tuple(
        JobKind(name, priority, rate, count, run_ms, cpu, timeout_s)
        for name, priority, rate, count, run_ms, timeout_s in columns
    )
