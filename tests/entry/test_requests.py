"""Any request body is either read or rejected with the name of the invalid field."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from onyxfork.entry.requests import KEY_WINDOW_MS, read_request
from onyxfork.utils import new_id

WALL_MS = 1_700_000_000_000
json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=10),
    lambda children: st.lists(children, max_size=4)
    | st.dictionaries(st.text(max_size=8), children),
    max_leaves=10,
)


def make_body(**changes):
    body = {
        "submission": new_id(WALL_MS),
        "organisation": "bygdelag",
        "service": "meldingsbord",
        "job": "issue-proof",
        "tasks": [{"input": 1, "run_ms": 20}],
    }
    return {**body, **changes}


def test_valid_body_is_read():
    request = read_request(make_body(), WALL_MS).ok_value
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
def test_error_names_the_field(changes, field, code):
    rejected_field, refusal = read_request(make_body(**changes), WALL_MS).err_value
    assert (rejected_field, refusal.code) == (field, code)
    assert refusal.reason.startswith(f"{field}: ")


@given(st.sampled_from(sorted(make_body())), json_values)
def test_any_value_is_read_or_rejected(name, value):
    result = read_request(make_body(**{name: value}), WALL_MS)
    if result.is_err():
        assert result.err_value[0].startswith(name)


@given(st.dictionaries(st.text(max_size=12), json_values, max_size=5))
def test_any_object_is_rejected_with_a_reason(body):
    result = read_request(body, WALL_MS)
    assert result.is_err() and result.err_value[1].reason


def test_digest_ignores_wait_and_deadline():
    submission = new_id(WALL_MS)
    first = read_request(make_body(submission=submission, wait=False), WALL_MS).ok_value
    second = read_request(make_body(submission=submission, deadline_ms=50), WALL_MS).ok_value
    other = read_request(make_body(submission=submission, job="notice-check"), WALL_MS).ok_value
    assert first.digest == second.digest != other.digest
