"""Filtering, grouping and ordering of rows, and their rendering as a table."""

from collections import defaultdict

from result import Err, Ok
from tabulate import tabulate

__all__ = ["select_rows", "render_rows"]

COMPARISONS = {
    "=": lambda value, operand: value == operand,
    "!=": lambda value, operand: value != operand,
    "<": lambda value, operand: value < operand,
    "<=": lambda value, operand: value <= operand,
    ">": lambda value, operand: value > operand,
    ">=": lambda value, operand: value >= operand,
    "~": lambda value, operand: str(operand) in str(value),
}


def select_rows(rows, query):
    """Filter, group, order and limit rows as a query says.

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
    used_columns = [condition.column for condition in query.conditions] + list(query.group_by)
    for name in used_columns:
        if columns is not None and name not in columns:
            return Err(f"no column {name!r}; {query.table} has {', '.join(columns)}")
    selected = [row for row in rows if all(matches(row, item) for item in query.conditions)]
    if query.group_by:
        selected = group_rows(selected, query.group_by)
    if query.order_by is not None:
        if selected and query.order_by not in selected[0]:
            return Err(f"no column {query.order_by!r}; there are {', '.join(selected[0])}")
        selected.sort(key=lambda row: sort_key(row[query.order_by]), reverse=query.descending)
    return Ok(selected[: query.limit])


def matches(row, condition):
    """Return whether a row meets a condition.

    A text and a value of another type are compared as texts; values that cannot be compared do not
    meet a condition.
    """
    value, operand = row[condition.column], condition.value
    if isinstance(value, str) != isinstance(operand, str) and condition.operator != "~":
        value, operand = str(value), str(operand)
    try:
        return COMPARISONS[condition.operator](value, operand)
    except TypeError:
        return False


def sort_key(value):
    """Return a sort key that orders missing values first, then numbers, then texts."""
    if value is None:
        return (0, 0)
    if isinstance(value, (int, float)):
        return (1, value)
    return (2, str(value))


def group_rows(rows, names):
    """Return one row per combination of values of the columns `names`."""
    groups = defaultdict(list)
    for row in rows:
        groups[tuple(row[name] for name in names)].append(row)
    return [group_row(names, key, members) for key, members in groups.items()]


def group_row(names, key, members):
    """Return the row of one group: its values, its count and the sums of numeric columns."""
    row = {**dict(zip(names, key, strict=True)), "count": len(members)}
    for name, value in members[0].items():
        if name not in names and isinstance(value, (int, float)) and not isinstance(value, bool):
            row[f"sum_{name}"] = sum(member[name] or 0 for member in members)
    return row


def render_rows(rows):
    """Render rows as a plain text table."""
    return tabulate(rows, headers="keys", tablefmt="simple") if rows else "(no rows)"
