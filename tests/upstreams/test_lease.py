"""Announcements of an upstream are read, or refused with a short reason that names the field."""

import json

import pytest

from onyxfork.upstreams.lease import read_announcement

MAX_SLOTS = 64
VALID = {"url": "http://127.0.0.1:8080", "slots": 8, "processors": 4.0, "lease_s": 3.0}
NESTED = json.loads("[" * 400 + "]" * 400)


def test_announcement_is_read():
    lease = read_announcement(VALID, 10.0, MAX_SLOTS)
    assert (lease.url, lease.slots, lease.until) == ("http://127.0.0.1:8080", 8, 13.0)


# Guards against an agent that leaves its upstream for an address that nobody can have.
@pytest.mark.parametrize("name", ["url", "slots", "processors", "memory_mb", "lease_s"])
@pytest.mark.parametrize(
    "value", [NESTED, 10**400, -1, float("nan"), "\ud800", "x" * 100_000, True]
)
def test_odd_field_is_refused_with_a_short_reason(name, value):
    check_refusal({**VALID, name: value}, name)


HOSTS = ["127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1", "[:80", "a b:80", "127.0.0.1:80/path"]


@pytest.mark.parametrize("host", [*HOSTS, "127.0.0.1: 80", "\ud800:80", ""])
def test_url_that_names_no_ip_address_and_port_is_refused(host):
    check_refusal({**VALID, "url": f"http://{host}"}, "url")


def check_refusal(body, name):
    with pytest.raises(ValueError) as refusal:
        read_announcement(body, 10.0, MAX_SLOTS)
    text = str(refusal.value)
    assert text.startswith(f"{name}: ") and len(text.encode()) < 200
