"""Callers' jobs are decoded, or refused with a reason that names the invalid field."""

import json

import pytest

from onyxfork.direct.configuration import Queue
from onyxfork.platform.jobs import UNSUPPORTED, decode_job, is_job_id

QUEUE = Queue("q", "h", "/p/", "s", 0, 2, 1.6, 60.0, 1500.0)
STEP = {"count": 2, "cpu": 500, "memMb": 256, "estimatedMs": 900}


def decode(timeout_header="2000", **fields):
    body = {"spec": "x", "bestEffort": True, "steps": [STEP], **fields}
    return decode_job("00000000000000a1", QUEUE, json.dumps(body).encode(), timeout_header)


def test_job_is_decoded():
    step = {**STEP, "affinity": "r1-3", "constraints": "a", "antiAffinity": 2, "dependsOn": []}
    request = decode(steps=[step]).ok_value
    (decoded,) = request.steps
    assert (decoded.count, decoded.cpu, decoded.memory_mb, decoded.expected_ms) == (
        2,
        500,
        256,
        900,
    )
    assert (decoded.rack, decoded.label, decoded.max_per_worker) == ("r1-3", "a", 2)
    assert request.caller_timeout_ms == 2000.0


@pytest.mark.parametrize(
    "fields",
    [
        {"bestEffort": False},
        {"repeatCount": 3},
        {"steps": [{**STEP, "gang": True}]},
        {"steps": [{**STEP, "longRunning": True}]},
        {"steps": [{**STEP, "image": "i"}]},
    ],
)
def test_job_with_an_unimplemented_feature_is_refused_as_unsupported(fields):
    assert decode(**fields).err_value.startswith(UNSUPPORTED)


@pytest.mark.parametrize(
    ("fields", "named"),
    [
        ({"spec": 7}, "spec"),
        ({"steps": []}, "steps"),
        ({"steps": [7]}, "step 0"),
        ({"steps": [{**STEP, "cpu": "much"}]}, "cpu"),
        ({"steps": [{**STEP, "cpu": -1}]}, "cpu"),
        ({"steps": [{**STEP, "dependsOn": [0]}]}, "dependsOn"),
        ({"spec": "x" * 4001}, "spec"),
        ({"timeout_header": "soon"}, "cannot be decoded"),
        ({"timeout_header": "nan"}, "cannot be decoded"),
        ({"timeout_header": "1e999"}, "cannot be decoded"),
        ({"timeout_header": "-1"}, "cannot be decoded"),
        ({"spec": "\ud800"}, "spec"),
        ({"steps": [{**STEP, "constraints": "\ud800"}]}, "constraints"),
        ({"steps": [{**STEP, "cpu": 10**400}]}, "cpu"),
        ({"steps": [{**STEP, "estimatedMs": float("inf")}]}, "estimatedMs"),
        ({"steps": [{**STEP, "count": 10**9}]}, "tasks"),
        ({"steps": [STEP], "more": json.loads("[" * 200 + "]" * 200)}, "nested"),
    ],
)
def test_invalid_field_is_named(fields, named):
    assert named in decode(**fields).err_value


def test_job_identifiers():
    assert is_job_id("5c0e7a21d94b36f8")
    assert not is_job_id("5c0e7a21d94b36f")
    assert not is_job_id("5c0e7a21d94b36f8/x")
