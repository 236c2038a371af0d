"""Frames: packed messages are unpacked unchanged; other bytes raise `ProtocolError`."""

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from onyxfork.errors import ProtocolError
from onyxfork.messages import MESSAGE_TYPES, Results, Start, TaskResult, TaskStart, pack, unpack

values = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**63) | st.text() | st.binary(),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=12,
)


def test_round_trip():
    task = TaskStart("s", 3, "issue-proof", "bygdelag", 120.0, 1.5, 1, {"page": [1, None]})
    result = TaskResult("s", 3, 1, "done", {"ok": True}, None, 118.2, 0.1)
    items = [Start("cell-0", 4, 2.5, [task]), Results([result], 7, 9.0)]
    assert unpack(pack(items)) == items


@given(st.binary(max_size=200))
def test_random_bytes_are_decoded_or_rejected(frame):
    try:
        unpack(frame)
    except ProtocolError as error:
        assert str(error)


@given(st.sampled_from(sorted(MESSAGE_TYPES)), st.lists(values, max_size=8))
def test_random_fields_are_decoded_or_rejected(number, fields):
    try:
        frame = msgpack.packb([[number, *fields]])
    except (OverflowError, ValueError):
        return
    try:
        unpack(frame)
    except ProtocolError as error:
        assert str(error)


def test_error_names_the_field():
    with pytest.raises(ProtocolError, match=r"Ping.echo: expected a number, got str"):
        unpack(msgpack.packb([[3, 1.0, "x"]]))


def test_unknown_message_number_is_rejected():
    with pytest.raises(ProtocolError, match="unknown message number 999"):
        unpack(msgpack.packb([[999]]))
