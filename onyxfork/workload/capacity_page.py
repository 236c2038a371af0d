"""The capacity page: arithmetic from measured slopes to the size that is designed for.

The page is written from the figures alone, so it can not drift from the code that measured them.
"""

from attrs import define
from tabulate import tabulate

__all__ = ["Size", "Row", "work_out", "write_page"]

MICRO = 1e-6
DAY_S = 86_400
ANSWERS_KEPT_S = 300.0
CLAIMS_KEPT_S = 600.0
KEPT_OUTPUTS = 100_000
OUTPUT_BYTES = 150
ENTRY_MEMORY_BYTES = 512e6


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
    result_bytes: float = 400.0
    key_window_s: float = 420.0
    claimed_share: float = 0.01


@define
class Row:
    """One line of the page: what is needed against the bound, and what carries it."""

    role: str
    what: str
    arithmetic: str
    value: str
    bound: str
    holds: bool
    mechanism: str


class Figures:
    """Slopes by name."""

    def __init__(self, measured):
        self.slopes = measured["slopes"]
        self.process_bytes = measured["process_bytes"]

    def per(self, name):
        """Return a slope."""
        return self.slopes[name]["per_unit"]

    def fixed(self, name):
        """Return an intercept, never less than 0."""
        return max(0.0, self.slopes[name]["fixed"])


def work_out(measured, size=None):
    """Return the rows of the page.

    Parameters
    ----------
    measured : dict
        From :func:`run_bench_capacity`.
    size : Size, optional

    Returns
    -------
    tuple of (list of Row, dict)
        The dict holds derived numbers such as the count of entries.
    """
    size = size or Size()
    figures = Figures(measured)
    derived = derive(figures, size)
    rows = [
        *entry_rows(figures, size, derived),
        *agent_rows(figures, size, derived),
        *control_rows(figures, size, derived),
        *event_rows(figures, size, derived),
    ]
    return rows, derived


def derive(figures, size):
    """Return counts that several rows need."""
    job = "a job at the entry, by its tasks"
    job_us = figures.fixed(job) + figures.per(job) * size.tasks_per_job
    jobs_per_s = size.starts_per_s / size.tasks_per_job
    cores = jobs_per_s * job_us * MICRO
    entries = int(cores / size.entry_use) + 1
    return {
        "job_us": job_us,
        "jobs_per_s": jobs_per_s,
        "cores": cores,
        "entries": entries,
        "workers_a_cell": size.workers / entries,
        "followers": (size.workers + entries) / size.control_instances,
        "changes_per_s": size.changes_a_day / DAY_S,
        "membership_per_s": 2 * (size.fails_a_day + size.restarts_a_day) / DAY_S,
    }


def entry_rows(figures, size, derived):
    """Return the rows of an entry."""
    workers = derived["workers_a_cell"]
    kept = derived["jobs_per_s"] / derived["entries"] * ANSWERS_KEPT_S
    in_flight = size.starts_per_s * size.mean_run_s / derived["entries"]
    memory = (
        figures.process_bytes["entry"]
        + workers * (figures.per("a known worker at the entry") + 50_000)
        + size.workers * figures.per("a configuration row with its version")
        + in_flight * figures.per("an outstanding task at the entry")
        + kept * figures.per("an answered job kept at the entry, outputs aside")
        + KEPT_OUTPUTS * OUTPUT_BYTES
    )
    rest = workers * figures.per("processor time a second at rest, a connection end") * MICRO
    decisions = [
        figures.per(f"decisions a task, {count} known workers") for count in (11, 200, 2700)
    ]
    return [
        Row(
            "entry",
            "entries at the peak",
            f"{derived['jobs_per_s']:.0f} jobs/s × {derived['job_us']:.0f} µs = "
            f"{derived['cores']:.0f} cores, used to {size.entry_use:.0%}",
            f"{derived['entries']} entries",
            "scales by count",
            True,
            "cells with one owner each: systems/placement, entry/owner",
        ),
        Row(
            "entry",
            "workers in one cell",
            f"{size.workers} ÷ {derived['entries']}",
            f"{workers:.0f} workers, {workers * size.slots:.0f} slots",
            "at least 88 slots pool well",
            workers * size.slots >= 88,
            "rendezvous hashing of workers and submissions: entry/front",
        ),
        Row(
            "entry",
            "decisions a task with workers known",
            " / ".join(f"{value:.1f}" for value in decisions) + " µs at 11 / 200 / 2,700",
            f"{max(decisions) / min(decisions):.2f} apart",
            "1.3",
            max(decisions) / min(decisions) <= 1.3,
            "buckets of free slots: entities/workers",
        ),
        Row(
            "entry",
            "memory",
            f"process + workers + all node rows + tasks in flight + {kept:.0f} answers of "
            f"{ANSWERS_KEPT_S:.0f} s + {KEPT_OUTPUTS} outputs of {OUTPUT_BYTES} B",
            f"{memory / 1e6:.0f} MB",
            f"{ENTRY_MEMORY_BYTES / 1e6:.0f} MB, its work being callers' requests",
            memory <= ENTRY_MEMORY_BYTES,
            "rows by key, answers kept 300 s: control/client, systems/lifetimes",
        ),
        Row(
            "entry",
            "processor time of heartbeats at rest",
            f"{workers:.0f} connections × "
            f"{figures.per('processor time a second at rest, a connection end'):.0f} µs/s",
            f"{rest:.3%} of a core",
            f"{size.core_share:.1%}",
            rest <= size.core_share,
            "pings only where nothing else was sent: messages/connection",
        ),
    ]


def agent_rows(figures, size, derived):
    """Return the rows of an agent."""
    starts = size.starts_per_s / size.workers
    kept = starts * size.key_window_s
    memory = figures.process_bytes["agent"] + kept * figures.per(
        "an ended task remembered by the agent"
    )
    rest = figures.per("bytes a second at rest, a connection end")
    heartbeat = 2 * 70.0
    changes = (derived["changes_per_s"] + derived["membership_per_s"]) * figures.per(
        "bytes of a change or heartbeat for each follower"
    )
    control_bytes = 2 * rest + heartbeat + changes
    cpu = figures.per("decisions and codec a task at the agent") * starts * MICRO
    control_cpu = 2 * figures.per("processor time a second at rest, a connection end") * MICRO
    return [
        Row(
            "agent",
            "control traffic at rest",
            f"2 connections × {rest:.0f} B/s + heartbeat {heartbeat:.0f} B/s + "
            f"changes {changes:.0f} B/s",
            f"{control_bytes:.0f} B/s",
            f"{size.bytes_per_s:.0f} B/s",
            control_bytes <= size.bytes_per_s,
            "one owner, one control instance: messages/connection, control/fanout",
        ),
        Row(
            "agent",
            "processor time for control",
            "2 connections at rest",
            f"{control_cpu:.3%} of a core",
            f"{size.core_share:.1%}",
            control_cpu <= size.core_share,
            "messages/connection",
        ),
        Row(
            "agent",
            "processor time for tasks, HTTP aside",
            f"{starts:.0f} starts/s × "
            f"{figures.per('decisions and codec a task at the agent'):.0f} µs",
            f"{cpu:.2%} of a core",
            "the slot beside an upstream",
            True,
            "systems/execution",
        ),
        Row(
            "agent",
            "memory",
            f"process + {kept:.0f} ended tasks of {size.key_window_s:.0f} s",
            f"{memory / 1e6:.0f} MB",
            f"{size.memory_bytes / 1e6:.0f} MB",
            memory <= size.memory_bytes,
            "retention by time: systems/execution.forget",
        ),
        Row(
            "agent",
            "connections",
            "owner + control + a second owner during a hand-over",
            "3",
            "64 a worker",
            True,
            "one owner a cell: entry/links",
        ),
    ]


def control_rows(figures, size, derived):
    """Return the rows of a control instance."""
    followers = derived["followers"]
    rate = derived["changes_per_s"] + derived["membership_per_s"]
    fan_cpu = followers * (
        rate * figures.per("a change for each follower")
        + figures.per("a heartbeat for each follower")
        + figures.per("processor time a second at rest, a connection end")
    )
    commit_cpu = rate * figures.per("a change at one replica")
    total_cpu = (fan_cpu + commit_cpu) * MICRO
    rows = size.workers + derived["entries"]
    claims_per_s = derived["jobs_per_s"] * size.claimed_share
    claims = claims_per_s * CLAIMS_KEPT_S
    claim_cores = 2 * claims_per_s * figures.per("a claim agreed, in batches") * MICRO
    memory = (
        figures.process_bytes["control"]
        + rows * figures.per("a configuration row with its version")
        + followers * 50_000
    )
    claim_bytes = claims * figures.per("a claim")
    start_s = rows * figures.per("start from a snapshot, a row") * MICRO
    storm = followers * figures.per("a change for each follower") * MICRO
    return [
        Row(
            "control",
            "followers of one instance",
            f"({size.workers} + {derived['entries']}) ÷ {size.control_instances}",
            f"{followers:.0f}",
            "9 instances",
            True,
            "each node follows one instance: control/fanout",
        ),
        Row(
            "control",
            "processor time at rest and for changes",
            f"{followers:.0f} followers × heartbeats and {rate:.2f} changes/s, "
            f"{rate:.2f} commits/s",
            f"{total_cpu:.1%} of a core",
            "set aside",
            total_cpu < 0.7,
            "control/fanout, control/replica",
        ),
        Row(
            "control",
            "one change to all followers of an instance",
            f"{followers:.0f} × {figures.per('a change for each follower'):.1f} µs",
            f"{storm * 1000:.0f} ms",
            "5 s",
            storm < 5.0,
            "control/fanout.flush",
        ),
        Row(
            "control",
            "memory",
            f"process + {rows} rows + {followers:.0f} connections",
            f"{memory / 1e6:.0f} MB",
            f"{size.memory_bytes / 1e6:.0f} MB",
            memory <= size.memory_bytes,
            "control/state, snapshots: control/storage",
        ),
        Row(
            "control",
            "memory of claims",
            f"{claims_per_s:.0f} claims/s × {CLAIMS_KEPT_S:.0f} s × "
            f"{figures.per('a claim'):.0f} B",
            f"{claim_bytes / 1e6:.0f} MB",
            f"{size.memory_bytes / 1e6:.0f} MB",
            claim_bytes <= size.memory_bytes,
            "claims live by the log's own time; a floor refuses older keys: control/state",
        ),
        Row(
            "control",
            "start from a snapshot",
            f"{rows} rows × {figures.per('start from a snapshot, a row'):.0f} µs",
            f"{start_s:.2f} s",
            "2 s",
            start_s <= 2.0,
            "control/state.from_snapshot",
        ),
        Row(
            "control",
            "claims of non-idempotent jobs",
            f"{derived['jobs_per_s']:.0f} jobs/s × {size.claimed_share:.0%} × 2 entries a claim × "
            f"{figures.per('a claim agreed, in batches'):.0f} µs",
            f"{claim_cores:.2f} of the leader's core",
            f"{size.entry_use:.0%}",
            claim_cores <= size.entry_use,
            "control/replica; a log for each region's cells and claims would divide it",
        ),
    ]


def event_rows(figures, size, derived):
    """Return the rows of what happens now and then."""
    slots = size.workers * size.slots
    use = size.starts_per_s * size.mean_run_s / slots
    zone = use * size.zones / (size.zones - 1)
    reconnects = derived["workers_a_cell"]
    storm = (size.workers / size.zones) * figures.per("a change for each follower") * MICRO
    rack_tasks = 24 * size.slots
    rack_ms = rack_tasks * figures.per("loss of a worker, an outstanding task") / 1000
    announce_s = size.workers * figures.per("a change at one replica") * MICRO
    return [
        Row(
            "event",
            "a zone lost, load on the rest",
            f"{size.starts_per_s:.0f} × {size.mean_run_s:g} s ÷ ({size.workers} × {size.slots}) = "
            f"{use:.0%} of slots, × {size.zones}/{size.zones - 1}",
            f"{zone:.0%} of the slots left",
            "100 %",
            zone <= 1.0,
            "admission refuses what would be late: systems/admission",
        ),
        Row(
            "event",
            "a rack lost",
            f"24 workers × {size.slots} tasks × "
            f"{figures.per('loss of a worker, an outstanding task'):.0f} µs",
            f"{rack_ms:.1f} ms at one owner",
            "seconds",
            rack_ms < 1000,
            "systems/membership.worker_lost",
        ),
        Row(
            "event",
            "a zone's rows change",
            f"{size.workers // size.zones} rows in batches × followers",
            f"{storm * derived['followers']:.1f} s of one core if sent one by one",
            "5 s",
            storm * derived["followers"] <= 5.0,
            "rows of one batch leave together: control/fanout",
        ),
        Row(
            "event",
            "every agent announces itself at once",
            f"{size.workers} entries × {figures.per('a change at one replica'):.0f} µs",
            f"{announce_s:.1f} s at the leader",
            "5 s",
            announce_s <= 5.0,
            "group commit: control/replica",
        ),
        Row(
            "event",
            "3,100 restarts a day",
            f"2 × {size.restarts_a_day:.0f} ÷ {DAY_S}",
            f"{derived['membership_per_s']:.3f} rows/s",
            "as changes",
            True,
            "announcements with sequence numbers: control/state",
        ),
        Row(
            "event",
            "an entry lost",
            f"{reconnects:.0f} agents led anew, after the lease of 2 s",
            "2 to 4 s for its cell",
            "callers' requests are held and taken over",
            True,
            "control/leases, systems/membership.adopt",
        ),
        Row(
            "event",
            "a region cut off for minutes",
            "the side without a quorum of control renews no lease",
            "its entries refuse as not run after 2 s; running tasks end",
            "each side goes on",
            False,
            "one log for all regions; a log for cells and claims in each region would let the "
            "side that is cut off go on",
        ),
    ]


def write_page(measured, path, size=None):
    """Write the capacity page.

    Parameters
    ----------
    measured : dict
    path : pathlib.Path
    size : Size, optional
    """
    size = size or Size()
    rows, derived = work_out(measured, size)
    broken = [row for row in rows if not row.holds]
    lines = [
        "# Capacity",
        "",
        "Written by `onyxfork bench-capacity --page docs/CAPACITY.md`; do not edit by hand.",
        "",
        f"The size: {size.workers} workers, {size.starts_per_s:.0f} task starts a second in jobs "
        f"of {size.tasks_per_job:.0f} tasks of {size.mean_run_s:g} s on average, {size.slots} slots "
        f"a worker (assumed: {size.starts_per_s / size.workers:.0f} starts a second of that length "
        f"need {size.starts_per_s / size.workers * size.mean_run_s:.0f}), {size.teams} teams, {size.regions} "
        f"regions, {size.zones} availability zones, {size.changes_a_day:.0f} changes a day, "
        f"{size.control_instances} control instances.",
        "",
        "## What does not hold today",
        "",
        *[f"- **{row.role}, {row.what}**: {row.value} against {row.bound}. {row.mechanism}."
          for row in broken],
        "" if broken else "Every row holds.\n",
        "## From slopes to the size",
        "",
        table(rows),
        "",
        "## Slopes",
        "",
        f"The reference operation, one result packed and unpacked, took "
        f"{measured['reference_us']:.2f} µs of processor time in this run.",
        "",
        slope_table(measured),
        "",
        "Resident memory of one idle process: "
        + ", ".join(f"{role} {size / 1e6:.0f} MB" for role, size in
                    measured["process_bytes"].items()) + ".",
        "",
    ]  # fmt: skip
    path.write_text("\n".join(lines))


def table(rows):
    """Return the rows as a table."""
    return tabulate(
        [
            [r.role, r.what, r.arithmetic, r.value, r.bound, "yes" if r.holds else "**no**",
             r.mechanism]
            for r in rows
        ],  # fmt: skip
        headers=["role", "what", "arithmetic", "value", "bound", "holds", "mechanism"],
        tablefmt="github",
    )


def slope_table(measured):
    """Return the slopes as a table."""
    reference = measured["reference_us"]
    lines = []
    for slope in measured["slopes"].values():
        timed = slope["unit"].startswith("µs")
        ratio = f"{slope['per_unit'] / reference:.2f}" if timed else ""
        sizes = ", ".join(f"{size:g}" for size, _ in slope["points"])
        lines.append(
            [slope["name"], f"{slope['per_unit']:.2f} {slope['unit']}", ratio,
             f"{slope['spread']:.1%}", sizes]
        )  # fmt: skip
    headers = ["slope", "per unit", "over reference", "spread", "fitted over"]
    return tabulate(lines, headers=headers, tablefmt="github")
