"""Every slope of cost over size, measured on the product's own code with small stand-ins.

Each slope is fitted over at least four sizes. Times are processor times; they are also given as
ratios to a reference operation of the same run, so that they carry between machines.
"""

import asyncio

from onyxfork.workload.slopes_connections import connection_slopes
from onyxfork.workload.slopes_control import (
    agreed_claim_slope,
    claim_slope,
    commit_slope,
    fanout_slopes,
    snapshot_slope,
)
from onyxfork.workload.slopes_entry import (
    agent_per_task,
    codec_per_task,
    decision_per_task,
    loss_per_task,
    memory_slopes,
)

__all__ = ["measure_slopes"]


def measure_slopes(out=print):
    """Measure every slope that needs no other process.

    Returns
    -------
    dict of str to Slope
    """
    steps = [
        lambda: [decision_per_task(workers) for workers in (11, 200, 2700)],
        lambda: [codec_per_task(), agent_per_task(), loss_per_task()],
        memory_slopes,
        lambda: [commit_slope(), snapshot_slope(), claim_slope(), agreed_claim_slope()],
        fanout_slopes,
        lambda: asyncio.run(connection_slopes()),
    ]
    slopes = {}
    for step in steps:
        for slope in step():
            slopes[slope.name] = slope
            out(f"{slope.name}: {slope.per_unit:.2f} {slope.unit} (spread {slope.spread:.1%})")
    return slopes
