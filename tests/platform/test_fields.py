"""Bodies that would take far more memory than their bytes are refused before they are decoded."""

import tracemalloc

import pytest

from onyxfork.platform.fields import FieldError, decode_json
from onyxfork.platform.standin.crowds import nested_json

MAX_BODY_BYTES = 4 * 2**20
MAX_FACTOR = 16
"""Memory that decoding a body of 4 MiB may take, as a multiple of its bytes."""


@pytest.mark.parametrize(
    "body",
    [
        nested_json(MAX_BODY_BYTES, 30),
        nested_json(MAX_BODY_BYTES, 2),
        b"[" + b",".join([b'{"":0}'] * (MAX_BODY_BYTES // 8)) + b"]",
        b"[" + b",".join([b"1.5"] * (MAX_BODY_BYTES // 4)) + b"]",
        b"[" + b",".join([b'"ab"'] * (MAX_BODY_BYTES // 5)) + b"]",
        b"{" + b",".join(b'"%x":0' % number for number in range(MAX_BODY_BYTES // 9)) + b"}",
    ],
    ids=["nested lists", "empty lists", "objects", "numbers", "texts", "fields"],
)
def test_body_of_very_many_values_is_refused(body):
    tracemalloc.start()
    try:
        with pytest.raises(FieldError, match="more than"):
            decode_json(body)
        assert tracemalloc.get_traced_memory()[1] <= MAX_FACTOR * MAX_BODY_BYTES
    finally:
        tracemalloc.stop()


def test_long_body_of_few_values_is_decoded():
    body = b"[" + b",".join([b'"' + b"x" * 100 + b'"'] * (MAX_BODY_BYTES // 110)) + b"]"
    assert len(decode_json(body)) == MAX_BODY_BYTES // 110
