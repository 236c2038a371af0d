"""Filtering, grouping and ordering of rows, and their rendering as a table."""

from collections import defaultdict

from result import Err, Ok
from tabulate import tabulate

__all__ = ["select_rows", "render_rows"]

COMPARE = {
    "=": lambda have, want: have == want,
    "!=": lambda have, want: have != want,
    "<": lambda have, want: have < want,
    "<=": lambda have, want: have <= want,
    ">": lambda have, want: have > want,
    ">=": lambda have, want: have >= want,
    "~": lambda have, want: str(want) in str(have),
}


def select_rows(rows, query):
    """Return the rows that a query asks for.

    Parameters
    ----------
    rows : list of dict
        All with the same columns.
    query : Show

    Returns
    -------
    Result
        ``Ok(list of dict)``, or ``Err(reason)`` when a column does not exist.
    """
    columns = list(rows[0]) if rows else None
    named = [condition.column for condition in query.conditions] + list(query.group_by)
    for name in named:
        if columns is not None and name not in columns:
            return Err(f"no column {name!r}; {query.table} has {', '.join(columns)}")
    chosen = [row for row in rows if all(matches(row, one) for one in query.conditions)]
    if query.group_by:
        chosen = group_rows(chosen, query.group_by)
    if query.order_by is not None:
        if chosen and query.order_by not in chosen[0]:
            return Err(f"no column {query.order_by!r}; there are {', '.join(chosen[0])}")
        chosen.sort(key=lambda row: sort_key(row[query.order_by]), reverse=query.descending)
    return Ok(chosen[: query.limit])


def matches(row, condition):
    """Return whether a row meets a condition; values of different kinds never compare."""
    have, want = row[condition.column], condition.value
    if isinstance(have, str) != isinstance(want, str) and condition.operator != "~":
        have, want = str(have), str(want)
    try:
        return COMPARE[condition.operator](have, want)
    except TypeError:
        return False


def sort_key(value):
    """Return a key that orders missing values first, then numbers, then texts."""
    if value is None:
        return (0, 0)
    if isinstance(value, (int, float)):
        return (1, value)
    return (2, str(value))


def group_rows(rows, names):
    """Return one row for each combination of values, with a count and sums of numbers."""
    groups = defaultdict(list)
    for row in rows:
        groups[tuple(row[name] for name in names)].append(row)
    return [group_row(names, key, members) for key, members in groups.items()]


def group_row(names, key, members):
    """Return the row of one group."""
    row = {**dict(zip(names, key, strict=True)), "count": len(members)}
    for name, value in members[0].items():
        if name not in names and isinstance(value, (int, float)) and not isinstance(value, bool):
            row[f"sum_{name}"] = sum(member[name] or 0 for member in members)
    return row


def render_rows(rows):
    """Return rows as a table of text."""
    return tabulate(rows, headers="keys", tablefmt="simple") if rows else "(no rows)"
