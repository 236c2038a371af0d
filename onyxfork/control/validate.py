"""Validation of configuration rows: field types, choices, keys and references."""

from types import UnionType

import attrs
from result import Err, Ok

from onyxfork.entities.catalogue import TABLES, URGENCIES

__all__ = ["build_row", "row_key", "KEY_FIELDS"]

KEY_FIELDS = {
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
MAX_TEXT_CHARACTERS = 200
MAX_TASKS_PER_SUBMISSION = 120


def row_key(table, fields):
    """Return the key of a row: its key fields, joined by slashes."""
    return "/".join(str(fields.get(name, "")) for name in KEY_FIELDS[table])


def build_row(catalogue, table, key, fields, current=None):
    """Return the row that a change results in, or the field at fault and the reason.

    Parameters
    ----------
    catalogue : Catalogue
        Looked up for the row's parent.
    table, key : str
    fields : dict
    current : attrs instance, optional
        Row to alter; without it, missing fields take their defaults.

    Returns
    -------
    Result
        ``Ok(row)`` or ``Err((field, reason))``.
    """
    cls = TABLES[table]
    values = attrs.asdict(current) if current is not None else dict(key_fields_from_key(table, key))
    known_fields = attrs.fields_dict(cls)
    for name, value in fields.items():
        if name not in known_fields:
            return Err((name, f"{table} has no field {name!r}; it has {', '.join(known_fields)}"))
        checked = check_value(table, name, known_fields[name].type, value)
        if checked.is_err():
            return checked
        values[name] = checked.ok_value
    missing = [
        field_name
        for field_name, attribute in known_fields.items()
        if attribute.default is attrs.NOTHING and field_name not in values
    ]
    if missing:
        return Err((missing[0], f"{missing[0]} is required"))
    if row_key(table, values) != key:
        return Err(("name", f"the key {key!r} does not match the fields"))
    return check_references(catalogue, table, cls(**values))


def key_fields_from_key(table, key):
    """Return (name, value) of the key fields that a key consists of."""
    names = KEY_FIELDS[table]
    return zip(names, key.split("/", len(names) - 1), strict=False)


def check_value(table, name, expected_type, value):
    """Return ``Ok(value)`` in the type of its field, or ``Err((field, reason))``."""
    if expected_type is float and type(value) is int:
        value = float(value)
    if isinstance(expected_type, UnionType) or type(value) is not expected_type:
        return Err(
            (name, f"expected {expected_type.__name__}, got {type(value).__name__} {value!r}")
        )
    if expected_type in (int, float) and not 0 <= value < 1e12:
        return Err((name, f"expected a number from 0 to below 1e12, got {value}"))
    if expected_type is str and (len(value) > MAX_TEXT_CHARACTERS or not value.isprintable()):
        return Err((name, f"expected up to {MAX_TEXT_CHARACTERS} printable characters"))
    choices = CHOICES.get((table, name))
    if choices is not None and value not in choices:
        return Err((name, f"expected one of {', '.join(choices)}, got {value!r}"))
    if (table, name) == ("job", "max_tasks") and not 1 <= value <= MAX_TASKS_PER_SUBMISSION:
        return Err((name, f"expected 1 to {MAX_TASKS_PER_SUBMISSION}, got {value}"))
    if (table, name) == ("organisation", "weight") and value <= 0:
        return Err((name, f"expected a number above 0, got {value}"))
    return Ok(value)


def check_references(catalogue, table, row):
    """Check that the key fields are well formed and that the row's parent exists."""
    if any(
        "/" in getattr(row, key_field) or not getattr(row, key_field)
        for key_field in KEY_FIELDS[table]
    ):
        return Err(("name", "names must not be empty or contain a slash"))
    if table in PARENTS:
        parent, names = PARENTS[table]
        key = "/".join(getattr(row, name) for name in names)
        if key not in catalogue.tables[parent]:
            return Err((names[-1], f"{parent} {key} does not exist"))
    return Ok(row)


def find_dependent_row(catalogue, table, key):
    """Return ``table key`` of the first row that has the given row as its parent, or None."""
    for child, (parent, _) in PARENTS.items():
        if parent != table:
            continue
        for child_key in catalogue.tables[child]:
            if child_key.startswith(key + "/"):
                return f"{child} {child_key}"
    return None
