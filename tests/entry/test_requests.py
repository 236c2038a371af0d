"""Callers' bodies: what is wrong is named, whatever is sent."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from onyxfork.entry.requests import KEY_WINDOW_MS, read_request
from onyxfork.utils import new_id

WALL_MS = 1_700_000_000_000
json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=10),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=10,
)


def good(**changes):
    body = {
        "submission": new_id(WALL_MS),
        "organisation": "bygdelag",
        "service": "meldingsbord",
        "job": "issue-proof",
        "tasks": [{"input": 1, "run_ms": 20}],
    }
    return {**body, **changes}


def test_good_body():
    request = read_request(good(), WALL_MS).ok_value
    assert (request.job, request.inputs, request.run_ms) == ("issue-proof", [1], [20.0])


@pytest.mark.parametrize(
    "changes,field,code",
    [
        ({"submission": "x"}, "submission", "bad-request"),
        ({"submission": new_id(WALL_MS - KEY_WINDOW_MS - 1)}, "submission", "expired-key"),
        ({"submission": new_id(WALL_MS + 10_000)}, "submission", "expired-key"),
        ({"tasks": []}, "tasks", "bad-request"),
        ({"tasks": [{}] * 121}, "tasks", "too-large"),
        ({"tasks": [{}, {"run_ms": -1}]}, "tasks[1].run_ms", "bad-request"),
        ({"tasks": [{"imput": 1}]}, "tasks[0].imput", "bad-request"),
        ({"resources": {"gpus": 1}}, "resources.gpus", "bad-request"),
        ({"deadline_ms": 0}, "deadline_ms", "bad-request"),
        ({"wait": "yes"}, "wait", "bad-request"),
        ({"job": "a/b"}, "job", "bad-request"),
        ({"colour": 1}, "colour", "bad-request"),
    ],
)
def test_problem_names_the_field(changes, field, code):
    found, refusal = read_request(good(**changes), WALL_MS).err_value
    assert (found, refusal.code) == (field, code)
    assert refusal.reason.startswith(f"{field}: ")


@given(st.sampled_from(sorted(good())), json_values)
def test_any_value_is_read_or_refused(name, value):
    result = read_request(good(**{name: value}), WALL_MS)
    if result.is_err():
        assert result.err_value[0].startswith(name)


@given(st.dictionaries(st.text(max_size=12), json_values, max_size=5))
def test_any_object_is_refused_with_a_field(body):
    result = read_request(body, WALL_MS)
    assert result.is_err() and result.err_value[1].reason


def test_digest_ignores_what_does_not_change_the_meaning():
    submission = new_id(WALL_MS)
    one = read_request(good(submission=submission, wait=False), WALL_MS).ok_value
    two = read_request(good(submission=submission, deadline_ms=50), WALL_MS).ok_value
    other = read_request(good(submission=submission, job="notice-check"), WALL_MS).ok_value
    assert one.digest == two.digest != other.digest
