"""Limits of jobs, services and teams, reduced to the leased shares that this owner holds."""

from onyxfork.entities.limits import UNLIMITED, Limit

__all__ = ["limits_of", "refresh_limits", "demand_by_limit"]


def limits_of(state, request):
    """Return the limits that tasks of a request count against: those of job, service and team."""
    names = (
        ("job", f"{request.organisation}/{request.service}/{request.job}"),
        ("service", f"{request.organisation}/{request.service}"),
        ("team", f"{request.organisation}/{request.team}"),
    )
    return [limit_for(state, table, key) for table, key in names]


def limit_for(state, table, key):
    """Return the limit of a row, creating it on first use."""
    name = f"{table} {key}"
    limit = state.limits.get(name)
    if limit is None:
        limit = Limit(name)
        state.limits[name] = limit
        set_from_row(state, limit, state.catalogue.tables[table].get(key))
    return limit


def set_from_row(state, limit, row):
    """Set a limit to this owner's share of its row; a value of 0 or no row means unlimited."""
    max_running = getattr(row, "max_running", 0) or UNLIMITED
    max_starts_per_s = getattr(row, "max_starts_per_s", 0.0) or UNLIMITED
    share = state.shares.get(limit.name, state.default_share)
    # The addend keeps a rounding error from lowering a whole product by one.
    limit.max_running = max_running if max_running == UNLIMITED else int(max_running * share + 1e-9)
    limit.starts_per_s = (
        max_starts_per_s if max_starts_per_s == UNLIMITED else max_starts_per_s * share
    )


def refresh_limits(state):
    """Update every limit to the catalogue and to the shares held now.

    Returns
    -------
    list of Limit
        Limits that were raised, and whose blocked lanes may therefore be ready.
    """
    raised = []
    for name, limit in state.limits.items():
        table, key = name.split(" ", 1)
        before = (limit.max_running, limit.starts_per_s)
        set_from_row(state, limit, state.catalogue.tables[table].get(key))
        if limit.max_running > before[0] or limit.starts_per_s > before[1]:
            raised.append(limit)
    return raised


def demand_by_limit(state):
    """Return the demand on each limit, by which shares are leased.

    Returns
    -------
    dict
        Maps a limit's name to its number of waiting and running tasks; limits without any are
        left out.
    """
    return {name: limit.demand for name, limit in state.limits.items() if limit.demand}
