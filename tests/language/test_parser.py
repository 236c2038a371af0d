"""The operators' language: typed statements, errors with position, selection of rows."""

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
def test_error_gives_position_and_expected_words(text, position, expected):
    error = parse(text).err_value
    assert (error.line, error.column) == position
    assert expected in error.expected


@given(st.text(max_size=80))
def test_any_text_is_parsed_or_gives_an_error(text):
    result = parse(text)
    assert result.is_ok() or str(result.err_value).startswith("line ")


ROWS = [
    {"job": "a", "urgency": "low", "tasks": 3},
    {"job": "b", "urgency": "low", "tasks": 5},
    {"job": "c", "urgency": "urgent", "tasks": 1},
]


def select_from_text(text):
    return select_rows([dict(row) for row in ROWS], parse(text).ok_value)


def test_filter_order_limit():
    rows = select_from_text("show jobs where tasks < 5 order by tasks limit 1").ok_value
    assert [row["job"] for row in rows] == ["c"]


def test_group_by():
    rows = select_from_text("show jobs group by urgency order by count desc").ok_value
    assert rows[0] == {"urgency": "low", "count": 2, "sum_tasks": 8}


def test_error_names_an_unknown_column():
    assert "no column 'colour'" in select_from_text("show jobs where colour = red").err_value


def test_rows_are_rendered_as_a_table():
    assert render_rows(ROWS).splitlines()[0].split() == ["job", "urgency", "tasks"]
