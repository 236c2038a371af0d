"""Benchmark results as tables, JSON files and report pages."""

import json
from pathlib import Path

from tabulate import tabulate

__all__ = ["print_results", "write_json", "write_report"]

COLUMNS = (
    "jobs_submitted",
    "jobs_complete",
    "jobs_failed",
    "jobs_not_run",
    "double_starts",
    "partial_answers",
    "false_not_run",
    "lost_jobs",
    "schedule_ratio",
    "schedule_ratio_less_path",
    "slowdown_mean",
    "slowdown_p50",
    "slowdown_p99",
    "messages_per_task",
    "wasted_messages_per_task",
    "failed_tasks_share",
    "goodput",
    "refusal_p99_ms",
    "given_up_waiting",
    "entry_cpu_us_per_task",
    "agent_cpu_us_per_task",
)


def print_results(results, out=print):
    """Print a table with one column per policy, then the figures of each class of jobs."""
    rows = [[name, *(r.figures.get(name) for r in results)] for name in COLUMNS]
    out(tabulate(rows, headers=["figure", *(r.policy for r in results)]))
    for result in results:
        rows = [{"class": name, **values} for name, values in result.by_class.items()]
        out(f"\n{result.policy}, by class")
        out(tabulate(rows, headers="keys"))
        out(f"wasted messages by kind: {result.figures['wasted_kinds']}")


def write_json(results, path, **about):
    """Write results as JSON; `about` holds further keys, such as the seed."""
    body = {
        **about,
        "policies": {r.policy: {**r.figures, "by_class": r.by_class} for r in results},
    }
    if len(results) == 1:
        body |= results[0].figures
    Path(path).write_text(json.dumps(body, indent=2) + "\n")


def write_report(results, folder, title):
    """Write a page with a table of figures and a plot of slowdowns for each class of jobs.

    Parameters
    ----------
    results : list of BenchResult
    folder : path-like
    title : str
    """
    folder = Path(folder)
    folder.mkdir(parents=True, exist_ok=True)
    rows = [[name, *(r.figures.get(name) for r in results)] for name in COLUMNS]
    lines = [f"# {title}", ""]
    lines.append(
        tabulate(rows, headers=["figure", *(r.policy for r in results)], tablefmt="github")
    )
    for name in sorted({name for result in results for name in result.slowdowns}):
        file_name = f"slowdown-{name}.png"
        plot_slowdowns(results, name, folder / file_name)
        lines += ["", f"## {name}", "", f"![slowdown of {name}]({file_name})"]
    (folder / "README.md").write_text("\n".join(lines) + "\n")


def plot_slowdowns(results, name, path):
    """Plot the cumulative distribution of one class's slowdowns under each policy."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    figure, axes = plt.subplots(figsize=(8, 4))
    for result in results:
        values = sorted(result.slowdowns.get(name, []))
        shares = [(number + 1) / len(values) for number in range(len(values))]
        axes.step(values, shares, label=result.policy)
    axes.set_xscale("log")
    axes.set_xlabel("response time / longest task")
    axes.set_ylabel("share of jobs")
    axes.set_title(name)
    axes.legend()
    axes.grid(True, alpha=0.3)
    figure.tight_layout()
    figure.savefig(path)
    plt.close(figure)
