"""Settings for every test, and the tests that `KNOWN-RED.txt` lists as failing."""

import re
from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    max_examples=100,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)
settings.load_profile("ci")

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def pytest_collection_modifyitems(items):
    """Expect the listed tests to fail; they run, and the summary names each with its outcome."""
    listed = set(re.findall(r"^\s*pytest: (\S+)$", KNOWN_RED.read_text(), re.MULTILINE))
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))
