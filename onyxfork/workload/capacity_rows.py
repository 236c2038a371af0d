"""Rows of the capacity page: demand at the design size, calculated from measured slopes."""

from attrs import define

__all__ = ["DesignSize", "Row", "CapacityModel", "calculate_rows"]

SECONDS_PER_US = 1e-6
DAY_S = 86_400
ANSWER_RETENTION_S = 300.0
"""Equals the default of `Tuning.answer_retention_s`."""

CLAIM_RETENTION_S = 600.0
"""Equals `CLAIM_RETENTION_MS` of `onyxfork.control.state`."""

ENDED_TASK_RETENTION_S = 420.0
"""Equals the default of `AgentState.retention_s`."""

MAX_RETAINED_OUTPUTS = 100_000
"""Equals the default of `Tuning.max_kept_outputs`."""

OUTPUT_BYTES = 150
"""Assumed size of one task output."""

MAX_ENTRY_MEMORY_BYTES = 512e6
"""Upper bound of the memory of an entry."""

CONNECTION_BYTES = 50_000
"""Upper bound of the memory of one connection end."""

FOLLOWER_HEARTBEAT_BYTES_PER_S = 140.0
"""Traffic of control heartbeats on the connection of one follower."""

WORKERS_PER_RACK = 24
"""Number of workers that are lost with a rack."""
MAX_PROPAGATION_S = 5.0
"""Upper bound of the time until a change is in force at all followers."""

MAX_STARTUP_S = 2.0
"""Upper bound of the time to load a snapshot."""

MAX_LEADER_CORE_SHARE = 0.7
"""Upper bound of the share of a core that a control instance uses."""

MIN_SLOTS_PER_CELL = 88
"""Lower bound of the slots of a cell: with fewer, random variation of the load leaves tasks queued
in one cell while others have free slots."""

MAX_COST_RATIO = 1.3
"""Upper bound of the cost with the most expensive over that with the cheapest number of workers."""


@define(frozen=True)
class DesignSize:
    """The load and cluster size that the design must carry, and the bounds set for it.

    Parameters
    ----------
    workers, slots_per_worker : int
    starts_per_s : float
        Task starts at the peak.
    mean_run_s : float
        Mean run time of a task.
    tasks_per_job : float
    teams, zones, regions : int
    changes_per_day : float
        Configuration changes by operators.
    failures_per_day, restarts_per_day : float
        Worker failures and planned worker restarts.
    control_instances : int
    max_core_share : float
        Upper bound of the share of a core that an agent or an entry uses for control traffic.
    max_memory_bytes : float
        Upper bound of the memory of an agent or a control instance.
    max_traffic_bytes_per_s : float
        Upper bound of the control traffic of an agent.
    entry_utilisation : float
        Share of its core that an entry may use at the peak.
    non_idempotent_share : float
        Share of jobs that are not idempotent and thus need a claim.
    """

    workers: int = 8_200
    starts_per_s: float = 690_000.0
    slots_per_worker: int = 32
    mean_run_s: float = 0.3
    tasks_per_job: float = 20.0
    teams: int = 140
    zones: int = 8
    regions: int = 3
    changes_per_day: float = 15_000.0
    failures_per_day: float = 66.0
    restarts_per_day: float = 3_100.0
    control_instances: int = 9
    max_core_share: float = 0.013
    max_memory_bytes: float = 128e6
    max_traffic_bytes_per_s: float = 4_000.0
    entry_utilisation: float = 0.6
    non_idempotent_share: float = 0.01


@define
class Row:
    """One row of the page: a demand, its bound and the mechanism that it relies on.

    Parameters
    ----------
    role : str
        "entry", "agent" or "control", or "event" for a load caused by a failure or a change.
    what : str
        The quantity.
    mechanism : str
        How the design meets the bound, with the modules that do it.
    arithmetic : str
        The calculation in words.
    value, bound : str
    holds : bool
        Whether the bound is met.
    """

    role: str
    what: str
    mechanism: str
    arithmetic: str = ""
    value: str = ""
    bound: str = ""
    holds: bool = True


class CapacityModel:
    """Quantities that follow from the measured slopes and the design size.

    Parameters
    ----------
    measured : dict
        From :func:`onyxfork.workload.bench_capacity.run_bench_capacity`.
    size : DesignSize
    """

    def __init__(self, measured, size):
        self.slopes = measured["slopes"]
        self.process_bytes = measured["process_bytes"]
        self.size = size

    def per_unit(self, name):
        """Return the cost per unit of the slope with this name."""
        return self.slopes[name]["per_unit"]

    @property
    def entry_us_per_job(self):
        """Processor time of a job of mean size at the entry, in microseconds."""
        slope = self.slopes["a job at the entry, by its tasks"]
        return max(0.0, slope["fixed"]) + slope["per_unit"] * self.size.tasks_per_job

    @property
    def jobs_per_s(self):
        """Jobs per second at the peak."""
        return self.size.starts_per_s / self.size.tasks_per_job

    @property
    def entry_cores(self):
        """Processor cores that all entries together use at the peak."""
        return self.jobs_per_s * self.entry_us_per_job * SECONDS_PER_US

    @property
    def entries(self):
        """Number of entries when each uses `entry_utilisation` of its core."""
        return int(self.entry_cores / self.size.entry_utilisation) + 1

    @property
    def workers_per_cell(self):
        """Mean number of workers in a cell; each entry owns one cell."""
        return self.size.workers / self.entries

    @property
    def nodes(self):
        """Number of nodes that follow the configuration from control."""
        return self.size.workers + self.entries

    @property
    def followers_per_instance(self):
        """Mean number of nodes that follow one control instance."""
        return self.nodes / self.size.control_instances

    @property
    def membership_rows_per_s(self):
        """Changed rows per second from worker failures and restarts, with two changes for each."""
        return 2 * (self.size.failures_per_day + self.size.restarts_per_day) / DAY_S

    @property
    def changed_rows_per_s(self):
        """Changed rows per second, from operators and from membership."""
        return self.size.changes_per_day / DAY_S + self.membership_rows_per_s

    @property
    def claims_per_s(self):
        """Claims of non-idempotent jobs per second."""
        return self.jobs_per_s * self.size.non_idempotent_share


ROWS = []
"""Role, quantity, mechanism and function of each registered row, in the order of the page."""


def register_row(role, what, mechanism):
    """Register a function that calculates a row's arithmetic, value, bound and whether it holds."""

    def register(function):
        ROWS.append((role, what, mechanism, function))
        return function

    return register


def calculate_rows(measured, size):
    """Calculate the rows of the page.

    Parameters
    ----------
    measured : dict
        From :func:`onyxfork.workload.bench_capacity.run_bench_capacity`.
    size : DesignSize

    Returns
    -------
    list of Row
    """
    model = CapacityModel(measured, size)
    return [
        Row(role, what, mechanism, *function(model)) for role, what, mechanism, function in ROWS
    ]


def format_megabytes(value):
    """Return a number of bytes as text in megabytes."""
    return f"{value / 1e6:.0f} MB"


def compare_with_bound(value, bound, value_text, bound_text):
    """Return the texts of value and bound, and whether the value is at most the bound."""
    return value_text, bound_text, value <= bound


@register_row("entry", "entries at the peak", "one owner per cell: systems/placement, entry/owner")
def entries_at_peak(model):
    """Calculate the number of entries needed at the peak."""
    arithmetic = (
        f"{model.jobs_per_s:.0f} jobs/s × {model.entry_us_per_job:.0f} µs = "
        f"{model.entry_cores:.0f} cores, at {model.size.entry_utilisation:.0%} utilisation"
    )
    return arithmetic, f"{model.entries} entries", "scales with the number of entries", True


@register_row("entry", "workers in one cell", "rendezvous hashing of workers and keys: entry/front")
def workers_in_a_cell(model):
    """Compare the slots of one cell with the lower bound."""
    slots = model.workers_per_cell * model.size.slots_per_worker
    value = f"{model.workers_per_cell:.0f} workers, {slots:.0f} slots"
    bound = f"at least {MIN_SLOTS_PER_CELL} slots to even out the load"
    return f"{model.size.workers} ÷ {model.entries}", value, bound, slots >= MIN_SLOTS_PER_CELL


@register_row(
    "entry", "decisions a task by workers known", "buckets of free slots: entities/workers"
)
def decisions_by_workers(model):
    """Compare the cost of decisions for few and for many known workers."""
    costs = [model.per_unit(f"decisions a task, {n} known workers") for n in (11, 200, 2700)]
    ratio = max(costs) / min(costs)
    arithmetic = " / ".join(f"{cost:.1f}" for cost in costs) + " µs at 11 / 200 / 2,700"
    return arithmetic, *compare_with_bound(
        ratio, MAX_COST_RATIO, f"ratio of {ratio:.2f}", f"{MAX_COST_RATIO}"
    )


@register_row(
    "entry",
    "memory",
    "answers retained for 300 s, bounded outputs: systems/results, systems/lifetimes",
)
def entry_memory(model):
    """Calculate the memory of an entry at the peak."""
    size = model.size
    retained = model.jobs_per_s / model.entries * ANSWER_RETENTION_S
    in_flight = size.starts_per_s * size.mean_run_s / model.entries
    used = (
        model.process_bytes["entry"]
        + model.workers_per_cell
        * (model.per_unit("a known worker at the entry") + CONNECTION_BYTES)
        + size.workers * model.per_unit("a configuration row with its version")
        + in_flight * model.per_unit("an outstanding task at the entry")
        + retained * model.per_unit("an answered job kept at the entry, outputs aside")
        + MAX_RETAINED_OUTPUTS * OUTPUT_BYTES
    )
    arithmetic = (
        f"process + workers + node rows + {in_flight:.0f} tasks in flight + "
        f"{retained:.0f} answers + {MAX_RETAINED_OUTPUTS} outputs of {OUTPUT_BYTES} B"
    )
    bound = f"{format_megabytes(MAX_ENTRY_MEMORY_BYTES)} (serves callers' requests)"
    return arithmetic, *compare_with_bound(
        used, MAX_ENTRY_MEMORY_BYTES, format_megabytes(used), bound
    )


@register_row("entry", "heartbeats at rest", "pings only on idle connections: messages/connection")
def entry_heartbeats(model):
    """Calculate the processor time of an entry for its idle connections."""
    cost = model.per_unit("processor time a second at rest, a connection end")
    used = model.workers_per_cell * cost * SECONDS_PER_US
    arithmetic = f"{model.workers_per_cell:.0f} connections × {cost:.0f} µs/s"
    share = model.size.max_core_share
    return arithmetic, *compare_with_bound(used, share, f"{used:.2%} of a core", f"{share:.1%}")


@register_row(
    "agent",
    "control traffic at rest",
    "an agent follows one owner and one control instance: control/fanout",
)
def agent_traffic(model):
    """Calculate the control traffic of an agent that runs no task."""
    idle = model.per_unit("bytes a second at rest, a connection end")
    per_row = model.per_unit("bytes of a change or heartbeat for each follower")
    changes = model.changed_rows_per_s * per_row
    used = 2 * idle + FOLLOWER_HEARTBEAT_BYTES_PER_S + changes
    arithmetic = (
        f"2 connections × {idle:.0f} B/s + heartbeat {FOLLOWER_HEARTBEAT_BYTES_PER_S:.0f} B/s + "
        f"changes {changes:.0f} B/s"
    )
    bound = model.size.max_traffic_bytes_per_s
    return arithmetic, *compare_with_bound(used, bound, f"{used:.0f} B/s", f"{bound:.0f} B/s")


@register_row("agent", "processor time for control", "messages/connection")
def agent_control_processor_time(model):
    """Calculate the processor time of an agent for its idle connections."""
    used = 2 * model.per_unit("processor time a second at rest, a connection end") * SECONDS_PER_US
    share = model.size.max_core_share
    return "2 idle connections", *compare_with_bound(
        used, share, f"{used:.3%} of a core", f"{share:.1%}"
    )


@register_row("agent", "processor time for tasks, HTTP aside", "systems/execution")
def agent_task_processor_time(model):
    """Calculate the processor time of an agent for tasks, without HTTP to the upstream."""
    starts = model.size.starts_per_s / model.size.workers
    cost = model.per_unit("decisions and codec a task at the agent")
    value = f"{starts * cost * SECONDS_PER_US:.2%} of a core"
    return f"{starts:.0f} starts/s × {cost:.0f} µs", value, "runs beside one upstream", True


@register_row("agent", "memory", "retention bounded in time, outputs in bytes: systems/execution")
def agent_memory(model):
    """Calculate the memory of an agent at the peak."""
    retained = model.size.starts_per_s / model.size.workers * ENDED_TASK_RETENTION_S
    each = model.per_unit("an ended task remembered by the agent")
    used = model.process_bytes["agent"] + retained * each
    arithmetic = (
        f"process + {retained:.0f} ended tasks of {ENDED_TASK_RETENTION_S:.0f} s × {each:.0f} B"
    )
    bound = model.size.max_memory_bytes
    return arithmetic, *compare_with_bound(
        used, bound, format_megabytes(used), format_megabytes(bound)
    )


@register_row("agent", "connections", "one owner per cell: entry/links")
def agent_connections(model):
    """State the largest number of connections of an agent."""
    return "owner + control + a second owner during a handover", "3", "64 per worker", True


@register_row(
    "control", "followers of one instance", "each node follows one instance: control/fanout"
)
def followers_of_one_instance(model):
    """Calculate the number of followers of one control instance."""
    arithmetic = f"({model.size.workers} + {model.entries}) ÷ {model.size.control_instances}"
    return arithmetic, f"{model.followers_per_instance:.0f}", "9 instances", True


@register_row(
    "control", "processor time at rest and for changes", "control/fanout, control/replica"
)
def control_processor_time(model):
    """Calculate the processor time of a control instance without claims."""
    each = (
        model.changed_rows_per_s * model.per_unit("a change for each follower")
        + model.per_unit("a heartbeat for each follower")
        + model.per_unit("processor time a second at rest, a connection end")
    )
    commits = model.changed_rows_per_s * model.per_unit("a change at one replica")
    used = (model.followers_per_instance * each + commits) * SECONDS_PER_US
    arithmetic = (
        f"{model.followers_per_instance:.0f} followers × {each:.0f} µs/s + "
        f"{model.changed_rows_per_s:.2f} commits/s"
    )
    return arithmetic, *compare_with_bound(
        used, MAX_LEADER_CORE_SHARE, f"{used:.1%} of a core", "core reserved for control"
    )


@register_row("control", "one change to all followers of an instance", "control/fanout.flush")
def change_to_all_followers(model):
    """Calculate how long a control instance takes to send one change to its followers."""
    each = model.per_unit("a change for each follower")
    used = model.followers_per_instance * each * SECONDS_PER_US
    arithmetic = f"{model.followers_per_instance:.0f} × {each:.1f} µs"
    return arithmetic, *compare_with_bound(
        used, MAX_PROPAGATION_S, f"{used * 1000:.0f} ms", f"{MAX_PROPAGATION_S:g} s"
    )


@register_row(
    "control",
    "memory, claims included",
    "claims expire by log time; a log per region for its cells and claims would divide them: "
    "control/state",
)
def control_memory(model):
    """Calculate the memory of a control instance, claims included."""
    each = model.per_unit("a claim")
    claims = model.claims_per_s * CLAIM_RETENTION_S
    used = (
        model.process_bytes["control"]
        + model.nodes * model.per_unit("a configuration row with its version")
        + model.followers_per_instance * CONNECTION_BYTES
        + claims * each
    )
    arithmetic = (
        f"process + {model.nodes} rows + {model.followers_per_instance:.0f} connections + "
        f"{model.claims_per_s:.0f} claims/s × {CLAIM_RETENTION_S:.0f} s × {each:.0f} B"
    )
    bound = model.size.max_memory_bytes
    return arithmetic, *compare_with_bound(
        used, bound, format_megabytes(used), format_megabytes(bound)
    )


@register_row("control", "start from a snapshot", "control/state.from_snapshot")
def start_from_snapshot(model):
    """Calculate how long a control instance takes to load a snapshot of all nodes."""
    each = model.per_unit("start from a snapshot, a row")
    used = model.nodes * each * SECONDS_PER_US
    arithmetic = f"{model.nodes} rows × {each:.0f} µs"
    return arithmetic, *compare_with_bound(
        used, MAX_STARTUP_S, f"{used:.2f} s", f"{MAX_STARTUP_S:g} s"
    )


@register_row("control", "claims of non-idempotent jobs", "group commit: control/replica")
def claim_processor_time(model):
    """Calculate the processor time of the control leader for claims."""
    each = model.per_unit("a claim agreed, in batches")
    used = 2 * model.claims_per_s * each * SECONDS_PER_US
    arithmetic = (
        f"{model.jobs_per_s:.0f} jobs/s × {model.size.non_idempotent_share:.0%} × "
        f"2 log entries per claim × {each:.0f} µs"
    )
    return arithmetic, *compare_with_bound(
        used, MAX_LEADER_CORE_SHARE, f"{used:.2f} of a core", f"{MAX_LEADER_CORE_SHARE:.0%}"
    )


@register_row(
    "event",
    "a zone lost, load on the rest",
    "jobs that would miss their deadline are refused: systems/admission",
)
def zone_lost(model):
    """Calculate the share of the remaining slots in use after the loss of a zone."""
    size = model.size
    use = size.starts_per_s * size.mean_run_s / size.workers / size.slots_per_worker
    use_after_loss = use * size.zones / (size.zones - 1)
    arithmetic = (
        f"{size.starts_per_s:.0f} × {size.mean_run_s:g} s ÷ "
        f"({size.workers} × {size.slots_per_worker}) = "
        f"{use:.0%} of slots, × {size.zones}/{size.zones - 1}"
    )
    return arithmetic, *compare_with_bound(
        use_after_loss, 1.0, f"{use_after_loss:.0%} of the slots left", "100 %"
    )


@register_row("event", "a rack lost", "systems/membership.remove_lost_worker")
def rack_lost(model):
    """Calculate how long an owner takes to process the loss of a rack."""
    each = model.per_unit("loss of a worker, an outstanding task")
    used = WORKERS_PER_RACK * model.size.slots_per_worker * each * SECONDS_PER_US
    arithmetic = f"{WORKERS_PER_RACK} workers × {model.size.slots_per_worker} tasks × {each:.0f} µs"
    return arithmetic, *compare_with_bound(
        used, 1.0, f"{used * 1000:.1f} ms at one owner", "seconds"
    )


@register_row(
    "event",
    "a zone's rows change",
    "rows changed by one batch of log entries are sent together: control/fanout",
)
def zone_rows_changed(model):
    """Calculate how long an instance takes to send the changed rows of a whole zone."""
    changed = model.size.workers // model.size.zones
    used = (
        changed
        * model.followers_per_instance
        * model.per_unit("a change for each follower")
        * SECONDS_PER_US
    )
    arithmetic = f"{changed} rows × {model.followers_per_instance:.0f} followers"
    value = f"{used:.1f} s of one core if sent one by one"
    return arithmetic, *compare_with_bound(
        used, MAX_PROPAGATION_S, value, f"{MAX_PROPAGATION_S:g} s"
    )


@register_row("event", "every agent announces itself at once", "group commit: control/replica")
def all_agents_announce(model):
    """Calculate how long the leader takes to commit an announcement of every agent."""
    each = model.per_unit("a change at one replica")
    used = model.size.workers * each * SECONDS_PER_US
    arithmetic = f"{model.size.workers} log entries × {each:.0f} µs"
    return arithmetic, *compare_with_bound(
        used, MAX_PROPAGATION_S, f"{used:.1f} s at the leader", f"{MAX_PROPAGATION_S:g} s"
    )


@register_row("event", "3,100 restarts a day", "announcements with sequence numbers: control/state")
def worker_restarts(model):
    """Calculate the rate of changed rows due to failures and restarts."""
    arithmetic = (
        f"2 × ({model.size.restarts_per_day:.0f} + {model.size.failures_per_day:.0f}) ÷ {DAY_S}"
    )
    return arithmetic, f"{model.membership_rows_per_s:.3f} rows/s", "counted as changes", True


@register_row("event", "an entry lost", "control/leases, systems/membership.take_over_begun_tasks")
def entry_lost(model):
    """State the time until a cell has a new owner after the loss of its entry."""
    arithmetic = (
        f"{model.workers_per_cell:.0f} agents get a new owner after the lease of 2 s has ended"
    )
    return arithmetic, "2 to 4 s for its cell", "requests of callers are held and taken over", True


@register_row(
    "event",
    "a region cut off for minutes",
    "all regions share one log; a log per region for its cells and claims would let the side that "
    "is cut off continue, and would need keys that name their region",
)
def region_cut_off(model):
    """State what happens while a region is cut off from the others."""
    arithmetic = "the side without a quorum of control renews no lease"
    value = "its entries refuse jobs as not run after 2 s; running tasks end"
    return arithmetic, value, "each side continues", False
