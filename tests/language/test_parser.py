"""The language: statements come out typed, errors say where and what was expected."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from onyxfork.language import Command, Condition, Show, parse, render_rows, select_rows


def test_query():
    text = 'show jobs where urgency = "urgent" and max_running > 3 order by name desc limit 5'
    query = parse(text).ok_value
    assert query == Show(
        "jobs",
        (Condition("urgency", "=", "urgent"), Condition("max_running", ">", 3)),
        order_by="name",
        descending=True,
        limit=5,
    )


def test_command():
    command = parse("alter job a/b/c set max_running=5, urgency=low if version 12").ok_value
    assert command == Command(
        "alter", "job", "a/b/c", {"max_running": 5, "urgency": "low"}, expected=12
    )


def test_dry_run():
    assert parse("dry run drain zone vestland-1").ok_value.dry_run


@pytest.mark.parametrize(
    "text,position,expected",
    [
        ("shwo jobs", (1, 1), "show"),
        ("show jobs limit x", (1, 17), "a whole number"),
        ("alter job a/b/c", (1, 16), "set"),
        ("show jobs where a ==", (1, 20), "a key"),
    ],
)
def test_errors(text, position, expected):
    error = parse(text).err_value
    assert (error.line, error.column) == position
    assert expected in error.expected


@given(st.text(max_size=80))
def test_any_text_is_parsed_or_refused(text):
    result = parse(text)
    assert result.is_ok() or str(result.err_value).startswith("line ")


ROWS = [
    {"job": "a", "urgency": "low", "tasks": 3},
    {"job": "b", "urgency": "low", "tasks": 5},
    {"job": "c", "urgency": "urgent", "tasks": 1},
]


def rows_of(text):
    return select_rows([dict(row) for row in ROWS], parse(text).ok_value)


def test_filter_order_limit():
    rows = rows_of("show jobs where tasks < 5 order by tasks limit 1").ok_value
    assert [row["job"] for row in rows] == ["c"]


def test_group():
    rows = rows_of("show jobs group by urgency order by count desc").ok_value
    assert rows[0] == {"urgency": "low", "count": 2, "sum_tasks": 8}


def test_unknown_column_is_named():
    assert "no column 'colour'" in rows_of("show jobs where colour = red").err_value


def test_table_of_text():
    assert render_rows(ROWS).splitlines()[0].split() == ["job", "urgency", "tasks"]
