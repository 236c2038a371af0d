"""The capacity page, written from measured slopes alone, so that it can not drift from the code."""

from tabulate import tabulate

from onyxfork.workload.capacity_rows import Size, work_out

__all__ = ["write_page"]


def write_page(measured, path, size=None):
    """Write the capacity page.

    Parameters
    ----------
    measured : dict
        From :func:`onyxfork.workload.bench_capacity.run_bench_capacity`.
    path : pathlib.Path
    size : Size, optional
    """
    size = size or Size()
    rows = work_out(measured, size)
    lines = [
        "# Capacity",
        "",
        "Written by `onyxfork bench-capacity --page docs/CAPACITY.md`; do not edit by hand.",
        "",
        size_text(size),
        "",
        "## What does not hold today",
        "",
        *broken_lines(rows),
        "",
        "## From slopes to the size",
        "",
        row_table(rows),
        "",
        "## Slopes",
        "",
        f"The reference operation, one result packed and unpacked, took "
        f"{measured['reference_us']:.2f} µs of processor time in this run.",
        "",
        slope_table(measured),
        "",
        memory_text(measured),
        "",
    ]
    path.write_text("\n".join(lines))


def size_text(size):
    """Return the size and what is assumed, in words."""
    starts = size.starts_per_s / size.workers
    return (
        f"The size: {size.workers} workers, {size.starts_per_s:.0f} task starts a second in jobs "
        f"of {size.tasks_per_job:.0f} tasks of {size.mean_run_s:g} s on average, {size.slots} "
        f"slots a worker, {size.teams} teams, {size.regions} regions, {size.zones} availability "
        f"zones, {size.changes_a_day:.0f} changes a day, {size.control_instances} control "
        f"instances. Sizes of jobs, run times, slots and the share of non-idempotent jobs "
        f"({size.claimed_share:.0%}) are assumed; {starts:.0f} starts a second of that length "
        f"need {starts * size.mean_run_s:.0f} slots on each worker."
    )


def broken_lines(rows):
    """Return a line for each row that does not hold."""
    broken = [row for row in rows if not row.holds]
    if not broken:
        return ["Every row holds."]
    return [
        f"- **{row.role}, {row.what}**: {row.value}; wanted: {row.bound}. {row.mechanism}."
        for row in broken
    ]


def row_table(rows):
    """Return the rows as a table."""
    headers = ["role", "what", "arithmetic", "value", "bound", "holds", "mechanism"]
    lines = [
        [
            row.role,
            row.what,
            row.arithmetic,
            row.value,
            row.bound,
            "yes" if row.holds else "**no**",
            row.mechanism,
        ]
        for row in rows
    ]
    return tabulate(lines, headers=headers, tablefmt="github")


def slope_table(measured):
    """Return the slopes as a table, times also as ratios to the reference operation."""
    lines = []
    for slope in measured["slopes"].values():
        timed = slope["unit"].startswith("µs")
        ratio = f"{slope['per_unit'] / measured['reference_us']:.2f}" if timed else ""
        sizes = ", ".join(f"{size:g}" for size, _ in slope["points"])
        cost = f"{slope['per_unit']:.2f} {slope['unit']}"
        lines.append([slope["name"], cost, ratio, f"{slope['spread']:.1%}", sizes])
    headers = ["slope", "per unit", "over reference", "spread", "fitted over"]
    return tabulate(lines, headers=headers, tablefmt="github")


def memory_text(measured):
    """Return the memory of idle processes, in words."""
    found = measured["process_bytes"].items()
    texts = ", ".join(f"{role} {used / 1e6:.0f} MB" for role, used in found)
    return f"Resident memory of one idle process: {texts}."
