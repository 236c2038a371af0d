"""All slopes of cost over size, measured by calling the product's code within this process.

Each slope is fitted over at least four sizes. Times are processor times; the capacity page also
states them as ratios to a reference operation of the same run, to compare runs on different
machines.
"""

import asyncio

from onyxfork.workload.slopes_connections import connection_slopes
from onyxfork.workload.slopes_control import (
    claim_slope,
    commit_slope,
    committed_claim_slope,
    fanout_slopes,
    snapshot_slope,
)
from onyxfork.workload.slopes_entry import (
    agent_task_slope,
    codec_slope,
    decision_slope,
    memory_slopes,
    worker_loss_slope,
)

__all__ = ["measure_slopes"]


def measure_slopes(out=print):
    """Measure every slope that needs no other process.

    Parameters
    ----------
    out : callable
        Prints progress.

    Returns
    -------
    dict of str to Slope
    """
    steps = [
        lambda: [decision_slope(workers) for workers in (11, 200, 2700)],
        lambda: [codec_slope(), agent_task_slope(), worker_loss_slope()],
        memory_slopes,
        lambda: [commit_slope(), snapshot_slope(), claim_slope(), committed_claim_slope()],
        fanout_slopes,
        lambda: asyncio.run(connection_slopes()),
    ]
    slopes = {}
    for step in steps:
        for slope in step():
            slopes[slope.name] = slope
            out(f"{slope.name}: {slope.per_unit:.2f} {slope.unit} (spread {slope.spread:.1%})")
    return slopes
