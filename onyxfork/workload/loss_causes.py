"""Why a job was not answered within its latency objective, from the fields of its log lines."""

__all__ = [
    "CAUSES",
    "REFUSED_WAIT",
    "REFUSED_SHARE",
    "REFUSED_NO_WORKER",
    "REFUSED_OTHER",
    "ABANDONED",
    "LATE_ENTRY",
    "LATE_AGENT",
    "LATE_SLOW_WORKER",
    "LATE_LONG_RUN",
    "LATE_RUN",
    "LATE_SECOND_RUN",
    "LATE_MAYBE_SECOND_RUN",
    "LATE_AFTER_ORDER",
    "LATE_NOT_LOGGED",
    "FAILED",
    "UNKNOWN",
    "NOT_ENDED",
    "find_cause",
    "find_objective_ms",
    "find_refusal_cause",
]

REFUSED_WAIT = "refused: would wait"
REFUSED_SHARE = "refused: over its share"
REFUSED_NO_WORKER = "refused: no worker ready"
REFUSED_OTHER = "refused otherwise"
ABANDONED = "abandoned untried"
LATE_ENTRY = "late by waiting at the entry"
LATE_AGENT = "late by waiting at the agent"
LATE_SLOW_WORKER = "late by the run itself on a slow worker"
LATE_LONG_RUN = "late by the run itself, worker not slow"
LATE_RUN = "late by the run itself, speed of the worker not logged"
LATE_SECOND_RUN = "late by a second run"
LATE_MAYBE_SECOND_RUN = "late after the first order, a task ran again"
LATE_AFTER_ORDER = "late after the first order, cause not logged"
LATE_NOT_LOGGED = "late, cause not logged"
FAILED = "failed"
UNKNOWN = "unknown"
NOT_ENDED = "accepted, its end is not in the log"

CAUSES = (
    REFUSED_WAIT,
    REFUSED_SHARE,
    REFUSED_NO_WORKER,
    REFUSED_OTHER,
    ABANDONED,
    LATE_ENTRY,
    LATE_AGENT,
    LATE_SLOW_WORKER,
    LATE_LONG_RUN,
    LATE_RUN,
    LATE_SECOND_RUN,
    LATE_MAYBE_SECOND_RUN,
    LATE_AFTER_ORDER,
    LATE_NOT_LOGGED,
    FAILED,
    UNKNOWN,
    NOT_ENDED,
)


def find_refusal_cause(fields):
    """Return the cause of a `job refused` line."""
    reason = fields.get("reason", "")
    if reason.startswith("would wait"):
        return REFUSED_WAIT
    if "share" in reason or "reserve" in reason:
        return REFUSED_SHARE
    return REFUSED_NO_WORKER if reason == "no worker is ready" else REFUSED_OTHER


def find_cause(fields, reruns):
    """Return the cause of the loss of a job that has ended, empty if it is not lost.

    Parameters
    ----------
    fields : dict
        Fields of its `job ended` line, and of `job accepted` where that line lacks them.
    reruns : int
        Runs of it that had been ordered again according to the log.

    Returns
    -------
    str
    """
    outcome = fields.get("outcome")
    if outcome == "refused":
        return ABANDONED
    if outcome == "failed":
        return FAILED
    if outcome != "completed":
        return UNKNOWN
    objective_ms = find_objective_ms(fields)
    if objective_ms is None or "elapsed_ms" not in fields:
        return LATE_NOT_LOGGED
    return find_late_cause(fields, reruns) if fields["elapsed_ms"] > objective_ms else ""


def find_objective_ms(fields):
    """Return the objective of a job by its measured run times, or else by its estimate, or None."""
    measured_ms = fields.get("measured_objective_ms")
    return fields.get("objective_ms") if measured_ms is None else measured_ms


def find_late_cause(fields, reruns):
    """Return the cause of a late answer.

    The task that ended last decides: the cause is a second run of it, or else the longest of its
    wait at the entry, its wait at the agent and the excess of its run time. Where these are not
    known, a first order after the slack had passed is known to have made the job late.
    """
    placed, slack = fields.get("placed_ms"), fields.get("slack_ms")
    if placed is None or slack is None:
        return LATE_NOT_LOGGED
    if fields.get("last_started_runs") is None or fields.get("last_start_ms") is None:
        undecidable = LATE_MAYBE_SECOND_RUN if reruns else LATE_AFTER_ORDER
        return LATE_ENTRY if placed > slack else undecidable
    if fields["last_started_runs"] > 1:
        return LATE_ENTRY if placed > slack else LATE_SECOND_RUN
    parts = late_parts(fields)
    longest = max(parts, key=parts.get)
    return longest if longest != LATE_RUN else find_run_cause(fields)


def late_parts(fields):
    """Return the parts of the delay of the task that ended last, by cause (milliseconds).

    The steps before its own are allowed for at their expected run time. When runs of the task were
    returned before one started, the wait since the job's first order counts as one at the agents.
    """
    before_ms = fields["objective_ms"] - fields["slack_ms"] - fields["last_expected_ms"]
    before_ms = max(0.0, before_ms)
    returned = fields.get("last_run", 1) > 1
    ordered_ms = max(before_ms, fields["placed_ms"]) if returned else fields["last_placed_ms"]
    usual_ms = fields.get("last_usual_run_ms") or fields["last_expected_ms"]
    return {
        LATE_ENTRY: ordered_ms - before_ms,
        LATE_AGENT: fields["last_start_ms"] - ordered_ms,
        LATE_RUN: fields["elapsed_ms"] - fields["last_start_ms"] - usual_ms,
    }


def find_run_cause(fields):
    """Return whether a long run was due to its worker.

    It was if the answer would have been in time had the run been shorter by the worker's run time
    ratio.
    """
    pace = fields.get("last_pace")
    if pace is None:
        return LATE_RUN
    run_ms = fields["elapsed_ms"] - fields["last_start_ms"]
    allowed_ms = find_objective_ms(fields) - fields["last_start_ms"]
    return LATE_SLOW_WORKER if run_ms / max(pace, 1.0) <= allowed_ms else LATE_LONG_RUN
