"""Limits of jobs and services and quotas of teams, as shares that this owner holds."""

from onyxfork.entities.limits import UNLIMITED, Limit

__all__ = ["limits_of", "refresh_limits", "demand_by_limit"]


def limits_of(state, request):
    """Return the limits that count tasks of a request: job, service and team."""
    names = (
        ("job", f"{request.organisation}/{request.service}/{request.job}"),
        ("service", f"{request.organisation}/{request.service}"),
        ("team", f"{request.organisation}/{request.team}"),
    )
    return [limit_for(state, table, key) for table, key in names]


def limit_for(state, table, key):
    """Return the limit of one row, made when it is first needed."""
    name = f"{table} {key}"
    limit = state.limits.get(name)
    if limit is None:
        limit = Limit(name)
        state.limits[name] = limit
        set_from_row(state, limit, state.catalogue.tables[table].get(key))
    return limit


def set_from_row(state, limit, row):
    """Set a limit to this owner's share of what its row says."""
    running = getattr(row, "max_running", 0) or UNLIMITED
    starts = getattr(row, "max_starts_per_s", 0.0) or UNLIMITED
    share = state.shares.get(limit.name, state.default_share)
    limit.max_running = running if running == UNLIMITED else int(running * share + 1e-9)
    limit.starts_per_s = starts if starts == UNLIMITED else starts * share


def refresh_limits(state):
    """Bring every limit up to the catalogue and the shares held.

    Returns
    -------
    list of Limit
        Limits that have room they did not have before.
    """
    widened = []
    for name, limit in state.limits.items():
        table, key = name.split(" ", 1)
        before = (limit.max_running, limit.starts_per_s)
        set_from_row(state, limit, state.catalogue.tables[table].get(key))
        if limit.max_running > before[0] or limit.starts_per_s > before[1]:
            widened.append(limit)
    return widened


def demand_by_limit(state):
    """Return the demand for each limit that has any, for leased shares.

    Returns
    -------
    dict
        Maps a limit's name to tasks that wait or run.
    """
    return {name: limit.demand for name, limit in state.limits.items() if limit.demand}
