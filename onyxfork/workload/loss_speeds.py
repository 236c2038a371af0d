"""Run time ratios of workers over whole logs.

The ratio that an agent reports is an average over its latest runs and begins at 1. For the first
runs of a slow worker it is too low, and the objective by measured run times that an entry logs is
then too long. With whole logs at hand the ratio is known from the start.
"""

from math import exp, log
from statistics import fmean, median

__all__ = ["find_ratios", "correct_fields"]

MIN_RUNS = 10
"""Below this number of runs of a worker in the logs its reported ratio is used; the run times and
estimates of single runs are off by 40 %, so the mean of ten by about 20 %."""


def find_ratios(ended):
    """Return the run time ratio of each worker relative to the median worker.

    Parameters
    ----------
    ended : iterable of dict
        Fields of `job ended` lines. Each has the run of one task, the last of its job. Such runs
        are longer than others; this is so on all workers and cancels out.

    Returns
    -------
    dict of str to float
        By the node name of the agent; without those with fewer than `MIN_RUNS` runs.
    """
    logs = {}
    for fields in ended:
        run_ms, expected_ms = fields.get("last_run_ms"), fields.get("last_expected_ms")
        if run_ms and expected_ms:
            logs.setdefault(fields.get("last_agent"), []).append(log(run_ms / expected_ms))
    ratios = {agent: exp(fmean(of)) for agent, of in logs.items() if len(of) >= MIN_RUNS}
    middle = median(ratios.values()) if ratios else 1.0
    return {agent: ratio / middle for agent, ratio in ratios.items()}


def correct_fields(fields, ratios):
    """Return the fields of a `job ended` line with the ratios of whole logs where they are higher.

    A reported ratio that is higher is kept, as a worker may have slowed down for a while.
    """
    corrected = dict(fields)
    rise = find_rise(fields.get("longest_agent"), fields.get("longest_pace"), ratios)
    measured_ms = fields.get("measured_objective_ms")
    if measured_ms is not None and rise > 1.0:
        base_ms = fields["objective_base_ms"]
        corrected["measured_objective_ms"] = base_ms + (measured_ms - base_ms) / rise
    rise = find_rise(fields.get("last_agent"), fields.get("last_pace"), ratios)
    if fields.get("last_usual_run_ms") and rise > 1.0:
        corrected["last_usual_run_ms"] = fields["last_usual_run_ms"] / rise
        corrected["last_pace"] = fields["last_pace"] * rise
    return corrected


def find_rise(agent, reported, ratios):
    """Return by which factor the ratio of whole logs is above the reported one, at least 1."""
    return max(1.0, ratios[agent] / reported) if reported and agent in ratios else 1.0
