"""The rows of the capacity page: arithmetic from measured slopes to the size designed for."""

from attrs import define

__all__ = ["Size", "Row", "Facts", "work_out"]

MICRO = 1e-6
DAY_S = 86_400
ANSWERS_KEPT_S = 300.0
CLAIMS_KEPT_S = 600.0
ENDED_KEPT_S = 420.0
KEPT_OUTPUTS = 100_000
OUTPUT_BYTES = 150
ENTRY_MEMORY_BYTES = 512e6
CONNECTION_BYTES = 50_000
FOLLOWER_BEAT_BYTES_PER_S = 140.0
RACK_WORKERS = 24
IN_FORCE_S = 5.0
START_S = 2.0
LEADER_USE = 0.7
POOLED_SLOTS = 88
APART = 1.3


@define(frozen=True)
class Size:
    """The size that the users plan for, and what is assumed where they say nothing."""

    workers: int = 8_200
    starts_per_s: float = 690_000.0
    slots: int = 32
    mean_run_s: float = 0.3
    tasks_per_job: float = 20.0
    teams: int = 140
    zones: int = 8
    regions: int = 3
    changes_a_day: float = 15_000.0
    fails_a_day: float = 66.0
    restarts_a_day: float = 3_100.0
    control_instances: int = 9
    core_share: float = 0.013
    memory_bytes: float = 128e6
    bytes_per_s: float = 4_000.0
    entry_use: float = 0.6
    claimed_share: float = 0.01


@define
class Row:
    """One line of the page: what is needed against the bound, and what carries it."""

    role: str
    what: str
    mechanism: str
    arithmetic: str = ""
    value: str = ""
    bound: str = ""
    holds: bool = True


class Facts:
    """Slopes by name, the size, and what follows from both."""

    def __init__(self, measured, size):
        self.slopes = measured["slopes"]
        self.process_bytes = measured["process_bytes"]
        self.size = size

    def per(self, name):
        """Return a slope."""
        return self.slopes[name]["per_unit"]

    @property
    def job_us(self):
        """Processor time of a job at the entry."""
        slope = self.slopes["a job at the entry, by its tasks"]
        return max(0.0, slope["fixed"]) + slope["per_unit"] * self.size.tasks_per_job

    @property
    def jobs_per_s(self):
        """Jobs a second at the peak."""
        return self.size.starts_per_s / self.size.tasks_per_job

    @property
    def cores(self):
        """Cores that entries need at the peak."""
        return self.jobs_per_s * self.job_us * MICRO

    @property
    def entries(self):
        """Entries, each used to a share of its core."""
        return int(self.cores / self.size.entry_use) + 1

    @property
    def cell_workers(self):
        """Workers in one cell."""
        return self.size.workers / self.entries

    @property
    def nodes(self):
        """Nodes that follow control."""
        return self.size.workers + self.entries

    @property
    def followers(self):
        """Followers of one control instance."""
        return self.nodes / self.size.control_instances

    @property
    def membership_per_s(self):
        """Rows a second from starts and losses."""
        return 2 * (self.size.fails_a_day + self.size.restarts_a_day) / DAY_S

    @property
    def rows_per_s(self):
        """Changed rows a second."""
        return self.size.changes_a_day / DAY_S + self.membership_per_s

    @property
    def claims_per_s(self):
        """Claims a second."""
        return self.jobs_per_s * self.size.claimed_share


ROWS = []


def row(role, what, mechanism):
    """Register a function that works out arithmetic, value, bound and whether it holds."""

    def register(function):
        ROWS.append((role, what, mechanism, function))
        return function

    return register


def work_out(measured, size):
    """Return the rows of the page.

    Parameters
    ----------
    measured : dict
        From :func:`onyxfork.workload.bench_capacity.run_bench_capacity`.
    size : Size

    Returns
    -------
    list of Row
    """
    facts = Facts(measured, size)
    return [
        Row(role, what, mechanism, *function(facts)) for role, what, mechanism, function in ROWS
    ]


def bytes_text(value):
    """Return bytes as text."""
    return f"{value / 1e6:.0f} MB"


def within(value, bound, text, bound_text):
    """Return value, bound and whether it holds, as texts."""
    return text, bound_text, value <= bound


@row("entry", "entries at the peak", "cells with one owner each: systems/placement, entry/owner")
def entries_at_peak(facts):
    """Work out the row: entries at the peak."""
    arithmetic = (
        f"{facts.jobs_per_s:.0f} jobs/s × {facts.job_us:.0f} µs = {facts.cores:.0f} cores, "
        f"used to {facts.size.entry_use:.0%}"
    )
    return arithmetic, f"{facts.entries} entries", "scales by count", True


@row("entry", "workers in one cell", "rendezvous hashing of workers and keys: entry/front")
def workers_in_a_cell(facts):
    """Work out the row: workers in one cell."""
    slots = facts.cell_workers * facts.size.slots
    value = f"{facts.cell_workers:.0f} workers, {slots:.0f} slots"
    bound = f"at least {POOLED_SLOTS} slots pool well"
    return f"{facts.size.workers} ÷ {facts.entries}", value, bound, slots >= POOLED_SLOTS


@row("entry", "decisions a task by workers known", "buckets of free slots: entities/workers")
def decisions_by_workers(facts):
    """Work out the row: decisions a task by workers known."""
    costs = [facts.per(f"decisions a task, {n} known workers") for n in (11, 200, 2700)]
    apart = max(costs) / min(costs)
    arithmetic = " / ".join(f"{cost:.1f}" for cost in costs) + " µs at 11 / 200 / 2,700"
    return arithmetic, *within(apart, APART, f"{apart:.2f} apart", f"{APART}")


@row("entry", "memory", "answers kept 300 s within a bound: systems/results, systems/lifetimes")
def entry_memory(facts):
    """Work out the row: memory."""
    size = facts.size
    kept = facts.jobs_per_s / facts.entries * ANSWERS_KEPT_S
    in_flight = size.starts_per_s * size.mean_run_s / facts.entries
    used = (
        facts.process_bytes["entry"]
        + facts.cell_workers * (facts.per("a known worker at the entry") + CONNECTION_BYTES)
        + size.workers * facts.per("a configuration row with its version")
        + in_flight * facts.per("an outstanding task at the entry")
        + kept * facts.per("an answered job kept at the entry, outputs aside")
        + KEPT_OUTPUTS * OUTPUT_BYTES
    )
    arithmetic = (
        f"process + workers + node rows + {in_flight:.0f} tasks in flight + {kept:.0f} answers + "
        f"{KEPT_OUTPUTS} outputs of {OUTPUT_BYTES} B"
    )
    bound = f"{bytes_text(ENTRY_MEMORY_BYTES)}, its work being callers' requests"
    return arithmetic, *within(used, ENTRY_MEMORY_BYTES, bytes_text(used), bound)


@row("entry", "heartbeats at rest", "pings only where nothing else was sent: messages/connection")
def entry_heartbeats(facts):
    """Work out the row: heartbeats at rest."""
    cost = facts.per("processor time a second at rest, a connection end")
    used = facts.cell_workers * cost * MICRO
    arithmetic = f"{facts.cell_workers:.0f} connections × {cost:.0f} µs/s"
    share = facts.size.core_share
    return arithmetic, *within(used, share, f"{used:.2%} of a core", f"{share:.1%}")


@row("agent", "control traffic at rest", "one owner, one control instance: control/fanout")
def agent_traffic(facts):
    """Work out the row: control traffic at rest."""
    rest = facts.per("bytes a second at rest, a connection end")
    per_row = facts.per("bytes of a change or heartbeat for each follower")
    changes = facts.rows_per_s * per_row
    used = 2 * rest + FOLLOWER_BEAT_BYTES_PER_S + changes
    arithmetic = (
        f"2 connections × {rest:.0f} B/s + heartbeat {FOLLOWER_BEAT_BYTES_PER_S:.0f} B/s + "
        f"changes {changes:.0f} B/s"
    )
    bound = facts.size.bytes_per_s
    return arithmetic, *within(used, bound, f"{used:.0f} B/s", f"{bound:.0f} B/s")


@row("agent", "processor time for control", "messages/connection")
def agent_control_time(facts):
    """Work out the row: processor time for control."""
    used = 2 * facts.per("processor time a second at rest, a connection end") * MICRO
    share = facts.size.core_share
    return "2 connections at rest", *within(used, share, f"{used:.3%} of a core", f"{share:.1%}")


@row("agent", "processor time for tasks, HTTP aside", "systems/execution")
def agent_task_time(facts):
    """Work out the row: processor time for tasks, HTTP aside."""
    starts = facts.size.starts_per_s / facts.size.workers
    cost = facts.per("decisions and codec a task at the agent")
    value = f"{starts * cost * MICRO:.2%} of a core"
    return f"{starts:.0f} starts/s × {cost:.0f} µs", value, "the slot beside an upstream", True


@row("agent", "memory", "retention by time, outputs by bytes: systems/execution")
def agent_memory(facts):
    """Work out the row: memory."""
    kept = facts.size.starts_per_s / facts.size.workers * ENDED_KEPT_S
    each = facts.per("an ended task remembered by the agent")
    used = facts.process_bytes["agent"] + kept * each
    arithmetic = f"process + {kept:.0f} ended tasks of {ENDED_KEPT_S:.0f} s × {each:.0f} B"
    bound = facts.size.memory_bytes
    return arithmetic, *within(used, bound, bytes_text(used), bytes_text(bound))


@row("agent", "connections", "one owner a cell: entry/links")
def agent_connections(facts):
    """Work out the row: connections."""
    return "owner + control + a second owner during a hand-over", "3", "64 a worker", True


@row("control", "followers of one instance", "each node follows one: control/fanout")
def followers_of_one(facts):
    """Work out the row: followers of one instance."""
    arithmetic = f"({facts.size.workers} + {facts.entries}) ÷ {facts.size.control_instances}"
    return arithmetic, f"{facts.followers:.0f}", "9 instances", True


@row("control", "processor time at rest and for changes", "control/fanout, control/replica")
def control_time(facts):
    """Work out the row: processor time at rest and for changes."""
    each = (
        facts.rows_per_s * facts.per("a change for each follower")
        + facts.per("a heartbeat for each follower")
        + facts.per("processor time a second at rest, a connection end")
    )
    commits = facts.rows_per_s * facts.per("a change at one replica")
    used = (facts.followers * each + commits) * MICRO
    arithmetic = (
        f"{facts.followers:.0f} followers × {each:.0f} µs/s + {facts.rows_per_s:.2f} commits/s"
    )
    return arithmetic, *within(used, LEADER_USE, f"{used:.1%} of a core", "set aside")


@row("control", "one change to all followers of an instance", "control/fanout.flush")
def change_to_all(facts):
    """Work out the row: one change to all followers of an instance."""
    each = facts.per("a change for each follower")
    used = facts.followers * each * MICRO
    arithmetic = f"{facts.followers:.0f} × {each:.1f} µs"
    return arithmetic, *within(used, IN_FORCE_S, f"{used * 1000:.0f} ms", f"{IN_FORCE_S:g} s")


@row(
    "control",
    "memory, claims included",
    "claims live by the log's own time; a log for each region's cells and claims would divide "
    "them: control/state",
)
def control_memory(facts):
    """Work out the row: memory, claims included."""
    each = facts.per("a claim")
    claims = facts.claims_per_s * CLAIMS_KEPT_S
    used = (
        facts.process_bytes["control"]
        + facts.nodes * facts.per("a configuration row with its version")
        + facts.followers * CONNECTION_BYTES
        + claims * each
    )
    arithmetic = (
        f"process + {facts.nodes} rows + {facts.followers:.0f} connections + "
        f"{facts.claims_per_s:.0f} claims/s × {CLAIMS_KEPT_S:.0f} s × {each:.0f} B"
    )
    bound = facts.size.memory_bytes
    return arithmetic, *within(used, bound, bytes_text(used), bytes_text(bound))


@row("control", "start from a snapshot", "control/state.from_snapshot")
def start_from_snapshot(facts):
    """Work out the row: start from a snapshot."""
    each = facts.per("start from a snapshot, a row")
    used = facts.nodes * each * MICRO
    arithmetic = f"{facts.nodes} rows × {each:.0f} µs"
    return arithmetic, *within(used, START_S, f"{used:.2f} s", f"{START_S:g} s")


@row("control", "claims of non-idempotent jobs", "group commit: control/replica")
def claim_time(facts):
    """Work out the row: claims of non-idempotent jobs."""
    each = facts.per("a claim agreed, in batches")
    used = 2 * facts.claims_per_s * each * MICRO
    arithmetic = (
        f"{facts.jobs_per_s:.0f} jobs/s × {facts.size.claimed_share:.0%} × 2 entries a claim × "
        f"{each:.0f} µs"
    )
    return arithmetic, *within(used, LEADER_USE, f"{used:.2f} of a core", f"{LEADER_USE:.0%}")


@row("event", "a zone lost, load on the rest", "what would be late is refused: systems/admission")
def zone_lost(facts):
    """Work out the row: a zone lost, load on the rest."""
    size = facts.size
    use = size.starts_per_s * size.mean_run_s / size.workers / size.slots
    rest = use * size.zones / (size.zones - 1)
    arithmetic = (
        f"{size.starts_per_s:.0f} × {size.mean_run_s:g} s ÷ ({size.workers} × {size.slots}) = "
        f"{use:.0%} of slots, × {size.zones}/{size.zones - 1}"
    )
    return arithmetic, *within(rest, 1.0, f"{rest:.0%} of the slots left", "100 %")


@row("event", "a rack lost", "systems/membership.worker_lost")
def rack_lost(facts):
    """Work out the row: a rack lost."""
    each = facts.per("loss of a worker, an outstanding task")
    used = RACK_WORKERS * facts.size.slots * each * MICRO
    arithmetic = f"{RACK_WORKERS} workers × {facts.size.slots} tasks × {each:.0f} µs"
    return arithmetic, *within(used, 1.0, f"{used * 1000:.1f} ms at one owner", "seconds")


@row("event", "a zone's rows change", "rows of one batch leave together: control/fanout")
def zone_rows(facts):
    """Work out the row: a zone's rows change."""
    changed = facts.size.workers // facts.size.zones
    used = changed * facts.followers * facts.per("a change for each follower") * MICRO
    arithmetic = f"{changed} rows × {facts.followers:.0f} followers"
    value = f"{used:.1f} s of one core if sent one by one"
    return arithmetic, *within(used, IN_FORCE_S, value, f"{IN_FORCE_S:g} s")


@row("event", "every agent announces itself at once", "group commit: control/replica")
def all_announce(facts):
    """Work out the row: every agent announces itself at once."""
    each = facts.per("a change at one replica")
    used = facts.size.workers * each * MICRO
    arithmetic = f"{facts.size.workers} entries × {each:.0f} µs"
    return arithmetic, *within(used, IN_FORCE_S, f"{used:.1f} s at the leader", f"{IN_FORCE_S:g} s")


@row("event", "3,100 restarts a day", "announcements with sequence numbers: control/state")
def restarts(facts):
    """Work out the row: 3,100 restarts a day."""
    arithmetic = f"2 × ({facts.size.restarts_a_day:.0f} + {facts.size.fails_a_day:.0f}) ÷ {DAY_S}"
    return arithmetic, f"{facts.membership_per_s:.3f} rows/s", "as changes", True


@row("event", "an entry lost", "control/leases, systems/membership.adopt")
def entry_lost(facts):
    """Work out the row: an entry lost."""
    arithmetic = f"{facts.cell_workers:.0f} agents led anew, after the lease of 2 s"
    return arithmetic, "2 to 4 s for its cell", "callers' requests are held and taken over", True


@row(
    "event",
    "a region cut off for minutes",
    "one log for all regions; a log for cells and claims in each region would let the side that "
    "is cut off go on, and needs keys that name their region",
)
def region_cut_off(facts):
    """Work out the row: a region cut off for minutes."""
    arithmetic = "the side without a quorum of control renews no lease"
    value = "its entries refuse as not run after 2 s; running tasks end"
    return arithmetic, value, "each side goes on", False
