"""The operator's configuration document is decoded as a whole or refused with a reason."""

import json

import pytest

from onyxfork.direct.configuration import QueueTable
from onyxfork.platform.configuration import decode_configuration


def make_route(name="r1", prefix="/a/", **fields):
    route = {"name": name, "host": "H.example", "pathPrefix": prefix, "service": "desk"}
    return {**route, "timeoutMs": 1500, "targetLatencyMs": 60, "stretch": 1.6, **fields}


def decode(routes, services=({"name": "desk"},), **fields):
    document = {"version": 7, "routes": routes, "services": list(services), **fields}
    return decode_configuration(json.dumps(document).encode())


def test_document_is_decoded():
    configuration = decode([make_route()], limits={"maxBodyBytes": 9}).ok_value
    assert configuration.version == 7
    assert configuration.queues[0].objective_ms == 60
    assert configuration.limits.body_bytes == 9


@pytest.mark.parametrize(
    ("routes", "reason"),
    [
        ([make_route(service="elsewhere")], "unknown service"),
        ([make_route("r1"), make_route("r2")], "same host and prefix"),
        ([make_route(timeoutMs=0)], "timeout"),
        ([make_route(timeoutMs=None)], "timeoutMs"),
        ([{"name": "r1"}], "host"),
        (["r1"], "route"),
    ],
)
def test_invalid_document_is_refused(routes, reason):
    assert reason in decode(routes).err_value


@pytest.mark.parametrize(
    ("fields", "reason"),
    [
        ({"version": 10**400}, "version"),
        ({"version": 2**53}, "version"),
        ({"more": json.loads("[" * 200 + "]" * 200)}, "nested"),
        ({"limits": {"maxBodyBytes": 10**30}}, "maxBodyBytes"),
        ({"limits": {"idleTimeoutMs": float("nan")}}, "idleTimeoutMs"),
    ],
)
def test_document_that_not_every_instance_could_read_is_refused(fields, reason):
    """Guards against a document that control accepts and an entry cannot use."""
    document = {"version": 1, "routes": [], "services": [], **fields}
    assert reason in decode_configuration(json.dumps(document).encode()).err_value


def test_document_truncated_at_any_length_is_refused():
    document = json.dumps({"version": 7, "routes": [make_route()], "services": [{"name": "desk"}]})
    for length in range(len(document)):
        assert decode_configuration(document[:length].encode()).is_err()


def test_longest_prefix_finds_the_queue():
    routes = [make_route("short", "/a/"), make_route("long", "/a/b/")]
    table = QueueTable(decode(routes).ok_value.queues)
    assert table.find("h.example", "/a/b/c").name == "long"
    assert table.find("h.EXAMPLE", "/a/x").name == "short"
    assert table.find("other.example", "/a/x") is None
    assert table.find("h.example", "/z") is None
