"""Log lines of an agent about single runs, from which `onyxfork runs` tells who ran a task where.

An ordinary run, the first of its task that ends as done, has no line of its own.
"""

import logging

__all__ = [
    "run_log_fields",
    "log_start",
    "log_stop",
    "log_slow_stop",
    "log_end",
    "log_refused_orders",
    "describe_stopped_runs",
]

log = logging.getLogger(__name__)

MAX_REFUSALS_LOGGED = 50
"""Upper bound on the refused orders of one message that have a line each."""

MAX_RUNS_LOGGED = 50
"""Upper bound on the runs named in one log line."""

SLOW_STOP_S = 0.3
"""A stop that takes this long has a line of its own; a worker answers an order in milliseconds."""


def run_log_fields(run):
    """Return log fields that identify a run, its entry, its worker and its fencing token.

    The token is that of the latest order to start it, 0 if there was none.

    Parameters
    ----------
    run : Run

    Returns
    -------
    dict
    """
    order, (worker, worker_started_ms) = run.order, run.lifetime
    return {
        "job": order.job,
        "task": f"{order.step}.{order.index}",
        "run": order.run,
        "entry": run.session.entry,
        "entry_process": run.session.incarnation,
        "worker": worker,
        "worker_started_ms": worker_started_ms,
        "token": run.token,
    }


def log_start(run):
    """Log the confirmed start of a run that is not the first of its task."""
    if run.order.run > 1:
        log.info("run started", extra=run_log_fields(run))


def log_stop(run, reason):
    """Log why a run is to be stopped."""
    log.info("stopping run", extra={**run_log_fields(run), "reason": reason})


def log_slow_stop(run, orders, waited_s, acknowledged, lease_left_s):
    """Log how often a run had to be ordered to stop, if the first orders were of no effect.

    Parameters
    ----------
    run : Run
    orders : int
        Orders to stop that were sent.
    waited_s : float
        Time from the first order until the stop was settled.
    acknowledged : bool
        Whether the worker has acknowledged an order; else the run has ended in another way.
    lease_left_s : float
        Time until the latest end of the worker's lease; negative after it.
    """
    if waited_s < SLOW_STOP_S:
        return
    fields = {
        **run_log_fields(run),
        "orders": orders,
        "waited_ms": round(waited_s * 1000),
        "acknowledged": acknowledged,
        "lease_left_ms": round(lease_left_s * 1000),
    }
    log.info("run stopped slowly", extra=fields)


def log_end(run, event):
    """Log the end of a run, unless it is an ordinary one.

    Parameters
    ----------
    run : Run
    event : TaskEvent
        The event of the end.
    """
    is_first = run.order.run == 1 and not run.reason and run.session.connection is not None
    if event.kind == "done" and is_first:
        return
    fields = {
        **run_log_fields(run),
        "outcome": event.kind,
        "reason": event.reason,
        "run_ms": round(event.run_ms),
        "queue_ms": round(event.queue_ms),
        "entry_connected": run.session.connection is not None,
    }
    log.info("run ended", extra=fields)


def log_refused_orders(session, refusals):
    """Log the runs of one message that an entry has ordered or expects and that are not started.

    Parameters
    ----------
    session : Session
    refusals : list of (TaskRef, str, Run or None)
        Each run, why it is refused, and the run of the same task that is here.
    """
    for ref, reason, held in refusals[:MAX_REFUSALS_LOGGED]:
        fields = {
            "job": ref.job,
            "task": f"{ref.step}.{ref.index}",
            "run": ref.run,
            "entry": session.entry,
            "entry_process": session.incarnation,
            "reason": reason,
        }
        if held is not None:
            fields["held_run"] = held.order.run
            fields["held_entry"] = held.session.entry
            fields["held_entry_process"] = held.session.incarnation
        log.info("order refused", extra=fields)
    if len(refusals) > MAX_REFUSALS_LOGGED:
        fields = {"entry": session.entry, "orders": len(refusals) - MAX_REFUSALS_LOGGED}
        log.info("further orders refused", extra=fields)


def describe_stopped_runs(runs):
    """Return a text for each run: task, number, state, worker's lifetime and fencing token."""
    texts = []
    for run in runs[:MAX_RUNS_LOGGED]:
        job, step, index = run.key
        worker, worker_started_ms = run.lifetime
        texts.append(
            f"{job}.{step}.{index} run {run.order.run} {run.state} "
            f"at {worker}@{worker_started_ms} token {run.token}"
        )
    return texts
