"""Limits on clients follow from the machine, or are set."""

import pytest

from onyxfork.direct.client_limits import ClientLimits
from onyxfork.platform.client_limits import decode_client_limits
from onyxfork.platform.fields import FieldError

MACHINE = {"limits": {"memoryMb": 300, "maxFds": 600}}


def test_limits_follow_from_the_machine():
    limits = decode_client_limits(MACHINE)
    assert limits == ClientLimits(75 * 2**20, 300, 25, 20_000)
    assert limits.for_other_listener().connections == 25


def test_small_machine_accepts_the_largest_job():
    assert decode_client_limits({"limits": {"memoryMb": 32, "maxFds": 10}}).held_tasks == 10_000


def test_limits_without_a_machine_in_the_settings_are_positive():
    limits = decode_client_limits({})
    assert limits.held_bytes > 0 and limits.connections > limits.other_connections > 0


def test_limits_are_set():
    own = {
        "maxHeldMb": 12.5,
        "maxConnections": 7,
        "maxHeldTasks": 5,
        "bodyTimeoutS": 2,
        "maxTurnMs": 10,
        "maxUnsentBytes": 100,
    }
    limits = decode_client_limits({**MACHINE, "onyxfork": own})
    assert limits == ClientLimits(int(12.5 * 2**20), 7, 25, 5, 2, 0.01, 100)


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("maxHeldMb", 0),
        ("maxConnections", 0),
        ("maxConnections", 301),
        ("maxConnections", "x"),
        ("maxHeldTasks", 0),
        ("bodyTimeoutS", 0),
        ("maxTurnMs", -1),
        ("maxUnsentBytes", True),
    ],
)
def test_invalid_limit_is_refused_by_its_name(name, value):
    with pytest.raises(FieldError, match=name):
        decode_client_limits({**MACHINE, "onyxfork": {name: value}})
