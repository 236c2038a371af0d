"""The capacity page, generated from measured slopes so that it agrees with the code."""

from tabulate import tabulate

from onyxfork.workload.capacity_rows import DesignSize, calculate_rows
from onyxfork.workload.platform_sweep import sweep_lines

__all__ = ["write_page"]


def write_page(measured, path, size=None, sweep=None):
    """Write the capacity page.

    Parameters
    ----------
    measured : dict
        From :func:`onyxfork.workload.bench_capacity.run_bench_capacity`.
    path : pathlib.Path
    size : DesignSize, optional
    sweep : pathlib.Path, optional
        Sweep of the users' platform over fleet sizes.
    """
    size = size or DesignSize()
    rows = calculate_rows(measured, size)
    lines = [
        "# Capacity",
        "",
        "Written by `onyxfork bench-capacity --page docs/CAPACITY.md`; do not edit by hand.",
        "",
        describe_size(size),
        "",
        *(sweep_lines(sweep) if sweep is not None else []),
        "## Bounds that are not met by the cell-based deployment",
        "",
        *unmet_bound_lines(rows),
        "",
        "## Demand at the design size",
        "",
        format_row_table(rows),
        "",
        "## Slopes",
        "",
        f"The reference operation, encoding and decoding one result, took "
        f"{measured['reference_us']:.2f} µs of processor time in this run.",
        "",
        format_slope_table(measured),
        "",
        describe_process_memory(measured),
        "",
    ]
    path.write_text("\n".join(lines))


def describe_size(size):
    """Return a paragraph that states the design size and which of its figures are assumed."""
    starts = size.starts_per_s / size.workers
    return (
        f"Design size: {size.workers} workers, {size.starts_per_s:.0f} task starts per second in "
        f"jobs of {size.tasks_per_job:.0f} tasks of {size.mean_run_s:g} s on average, "
        f"{size.slots_per_worker} slots per worker, {size.teams} teams, {size.regions} regions, "
        f"{size.zones} availability zones, {size.changes_per_day:.0f} changes per day, "
        f"{size.control_instances} control instances. Job sizes, run times, slots and the share of "
        f"non-idempotent jobs ({size.non_idempotent_share:.0%}) are assumed; {starts:.0f} starts "
        f"per second of that length need {starts * size.mean_run_s:.0f} slots on each worker."
    )


def unmet_bound_lines(rows):
    """Return a list item for each row whose bound is not met."""
    unmet = [row for row in rows if not row.holds]
    if not unmet:
        return ["Every bound is met."]
    return [
        f"- **{row.role}, {row.what}**: {row.value}; bound: {row.bound}. {row.mechanism}."
        for row in unmet
    ]


def format_row_table(rows):
    """Return the rows as a Markdown table."""
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


def format_slope_table(measured):
    """Return the slopes as a Markdown table, times also as ratios to the reference operation."""
    lines = []
    for slope in measured["slopes"].values():
        is_time = slope["unit"].startswith("µs")
        ratio = f"{slope['per_unit'] / measured['reference_us']:.2f}" if is_time else ""
        sizes = ", ".join(f"{size:g}" for size, _ in slope["points"])
        cost = f"{slope['per_unit']:.2f} {slope['unit']}"
        lines.append([slope["name"], cost, ratio, f"{slope['spread']:.1%}", sizes])
    headers = ["slope", "per unit", "ratio to reference", "spread", "fitted over"]
    return tabulate(lines, headers=headers, tablefmt="github")


def describe_process_memory(measured):
    """Return a sentence that states the memory of idle processes."""
    memory_by_role = measured["process_bytes"].items()
    texts = ", ".join(f"{role} {resident / 1e6:.0f} MB" for role, resident in memory_by_role)
    return f"Resident memory of one idle process: {texts}."
