"""Ejection of workers that fail what they are given, with a cautious way back.

A worker that fails every task at once looks idle and would draw all work. It is ejected by its
weighted share of failures, comes back with one task at a time, and stays away longer each time.
At most a share of the cell is ever ejected, so a fault of the tasks themselves can not empty it.
"""

from onyxfork.systems.placement import reindex

__all__ = ["update_ejection", "probe_ejected_workers", "may_eject"]


def update_ejection(state, worker, now):
    """Eject or readmit a worker by the tasks that have ended on it."""
    tuning = state.tuning
    if worker.state == "probing":
        end_probe(state, worker, now)
    elif (
        worker.state == "serving"
        and worker.failures >= tuning.eject_failures
        and worker.ended_badly >= tuning.eject_min_bad
        and fails_more_than_others(state, worker)
        and may_eject(state)
    ):
        eject(state, worker, now)


def fails_more_than_others(state, worker):
    """Return whether a worker fails clearly more than the others do on average."""
    others = [other.failures for other in serving_sample(state) if other is not worker]
    if not others:
        return False
    return worker.failures > 2 * sum(others) / len(others)


def serving_sample(state, max_workers=16):
    """Return up to `most` workers of the index."""
    found = []
    for buckets in state.index.buckets_by_capacity.values():
        for workers in buckets.values():
            for worker in workers.values():
                found.append(worker)
                if len(found) == max_workers:
                    return found
    return found


def may_eject(state):
    """Return whether one more ejection stays within the bound."""
    ejected = sum(1 for worker in state.workers.values() if worker.state in ("ejected", "probing"))
    return ejected + 1 <= state.tuning.max_ejected_share * len(state.workers)


def eject(state, worker, now):
    """Take a worker out for a time that doubles with each ejection."""
    tuning = state.tuning
    worker.ejections += 1
    worker.state = "ejected"
    pause_s = min(tuning.eject_s * 2 ** (worker.ejections - 1), tuning.max_eject_s)
    worker.ejected_until = now + pause_s
    state.ejected_workers[worker.name] = worker
    reindex(state, worker)


def end_probe(state, worker, now):
    """Decide by the one task of a probe."""
    if worker.failures > 0:
        eject(state, worker, now)
        return
    worker.state = "serving"
    worker.ended_badly = 0
    worker.slots = worker.probe_slots
    state.ejected_workers.pop(worker.name, None)
    reindex(state, worker)


def probe_ejected_workers(state, now):
    """Let ejected workers whose pause is over take one task."""
    for worker in list(state.ejected_workers.values()):
        if worker.state != "ejected" or now < worker.ejected_until or worker.outstanding:
            continue
        worker.state = "probing"
        worker.failures = 0.0
        if worker.slots != 1:
            worker.probe_slots = worker.slots
        worker.slots = 1
        reindex(state, worker)
