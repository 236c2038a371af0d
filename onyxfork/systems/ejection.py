"""Ejection of workers on which tasks fail, and their return after a successful probe.

A worker that fails every task immediately has free slots all the time and would attract all work.
It is ejected by the moving average of its failures, returns with a probe of one task at a time, and
is ejected for longer each time. Only a bounded share of the cell is ejected at the same time, so
that tasks that fail everywhere do not leave the cell without workers.
"""

from onyxfork.systems.placement import reindex

__all__ = ["update_ejection", "probe_ejected_workers", "may_eject"]


def update_ejection(state, worker, now):
    """Eject a worker, or end its probe, after a task has ended on it."""
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
    """Return whether a worker's share of failures is above twice the average of the others."""
    others = [other.failures for other in serving_sample(state) if other is not worker]
    if not others:
        return False
    return worker.failures > 2 * sum(others) / len(others)


def serving_sample(state, max_workers=16):
    """Return up to `max_workers` workers of the index."""
    sample = []
    for buckets in state.index.buckets_by_capacity.values():
        for workers in buckets.values():
            for worker in workers.values():
                sample.append(worker)
                if len(sample) == max_workers:
                    return sample
    return sample


def may_eject(state):
    """Return whether one more ejection stays within `max_ejected_share` of the workers."""
    ejected = sum(1 for worker in state.workers.values() if worker.state in ("ejected", "probing"))
    return ejected + 1 <= state.tuning.max_ejected_share * len(state.workers)


def eject(state, worker, now):
    """Eject a worker for a time that doubles with each ejection, up to `max_eject_s`."""
    tuning = state.tuning
    worker.ejections += 1
    worker.state = "ejected"
    pause_s = min(tuning.eject_s * 2 ** (worker.ejections - 1), tuning.max_eject_s)
    worker.ejected_until = now + pause_s
    state.ejected_workers[worker.name] = worker
    reindex(state, worker)


def end_probe(state, worker, now):
    """Eject a worker again when the task of its probe failed; otherwise let it serve again."""
    if worker.failures > 0:
        eject(state, worker, now)
        return
    worker.state = "serving"
    worker.ended_badly = 0
    worker.slots = worker.probe_slots
    state.ejected_workers.pop(worker.name, None)
    reindex(state, worker)


def probe_ejected_workers(state, now):
    """Start a probe of one slot on each empty worker whose ejection has lasted long enough."""
    for worker in list(state.ejected_workers.values()):
        if worker.state != "ejected" or now < worker.ejected_until or worker.outstanding:
            continue
        worker.state = "probing"
        worker.failures = 0.0
        if worker.slots != 1:
            worker.probe_slots = worker.slots
        worker.slots = 1
        reindex(state, worker)
