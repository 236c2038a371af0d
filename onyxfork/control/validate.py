"""Checks of rows before they are accepted into the configuration."""

from types import UnionType

import attrs
from result import Err, Ok

from onyxfork.entities.catalogue import TABLES, URGENCIES

__all__ = ["build_row", "row_key", "NAME_FIELDS"]

NAME_FIELDS = {
    "organisation": ("name",),
    "team": ("organisation", "name"),
    "service": ("organisation", "name"),
    "job": ("organisation", "service", "name"),
    "node": ("name",),
    "cell": ("name",),
    "drain": ("kind", "name"),
    "operator": ("name",),
}
PARENTS = {
    "team": ("organisation", ("organisation",)),
    "service": ("organisation", ("organisation",)),
    "job": ("service", ("organisation", "service")),
}
CHOICES = {
    ("job", "urgency"): URGENCIES,
    ("drain", "kind"): ("worker", "rack", "zone"),
    ("operator", "role"): ("read", "change"),
}
MAX_TEXT = 200
MAX_TASKS = 120


def row_key(table, fields):
    """Return the key of a row from its fields."""
    return "/".join(str(fields.get(name, "")) for name in NAME_FIELDS[table])


def build_row(catalogue, table, key, fields, current=None):
    """Return the row that a change would make.

    Parameters
    ----------
    catalogue : Catalogue
        To check what the row refers to.
    table, key : str
    fields : dict
    current : attrs instance, optional
        The row that is altered.

    Returns
    -------
    Result
        ``Ok(row)`` or ``Err((field, reason))``.
    """
    cls = TABLES[table]
    values = attrs.asdict(current) if current is not None else dict(name_values(table, key))
    known = attrs.fields_dict(cls)
    for name, value in fields.items():
        if name not in known:
            return Err((name, f"{table} has no field {name!r}; it has {', '.join(known)}"))
        checked = check_value(table, name, known[name].type, value)
        if checked.is_err():
            return checked
        values[name] = checked.ok_value
    missing = [n for n, f in known.items() if f.default is attrs.NOTHING and n not in values]
    if missing:
        return Err((missing[0], f"{missing[0]} is required"))
    if row_key(table, values) != key:
        return Err(("name", f"the key {key!r} does not match the fields"))
    return check_references(catalogue, table, cls(**values))


def name_values(table, key):
    """Return the naming fields that a key stands for."""
    names = NAME_FIELDS[table]
    return zip(names, key.split("/", len(names) - 1), strict=False)


def check_value(table, name, kind, value):
    """Return the value in its field's type, or what is wrong with it."""
    if kind is float and type(value) is int:
        value = float(value)
    if isinstance(kind, UnionType) or type(value) is not kind:
        return Err((name, f"expected {kind.__name__}, got {type(value).__name__} {value!r}"))
    if kind in (int, float) and not 0 <= value < 1e12:
        return Err((name, f"expected a number from 0 on, got {value}"))
    if kind is str and (len(value) > MAX_TEXT or not value.isprintable()):
        return Err((name, f"expected up to {MAX_TEXT} printable characters"))
    choices = CHOICES.get((table, name))
    if choices is not None and value not in choices:
        return Err((name, f"expected one of {', '.join(choices)}, got {value!r}"))
    if (table, name) == ("job", "max_tasks") and not 1 <= value <= MAX_TASKS:
        return Err((name, f"expected 1 to {MAX_TASKS}, got {value}"))
    if (table, name) == ("organisation", "weight") and value <= 0:
        return Err((name, f"expected more than 0, got {value}"))
    return Ok(value)


def check_references(catalogue, table, row):
    """Check that a row's parent exists."""
    if any("/" in getattr(row, n) or not getattr(row, n) for n in NAME_FIELDS[table]):
        return Err(("name", "names must not be empty or hold a slash"))
    if table in PARENTS:
        parent, names = PARENTS[table]
        key = "/".join(getattr(row, name) for name in names)
        if key not in catalogue.tables[parent]:
            return Err((names[-1], f"no {parent} {key}"))
    return Ok(row)


def children_of(catalogue, table, key):
    """Return the first row that depends on a row, as text, or None."""
    for child, (parent, _) in PARENTS.items():
        if parent != table:
            continue
        for child_key in catalogue.tables[child]:
            if child_key.startswith(key + "/"):
                return f"{child} {child_key}"
    return None
