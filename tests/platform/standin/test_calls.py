"""The adapter decodes the settings, configurations and jobs that the stand-ins encode."""

import pytest

from onyxfork.addresses import Address
from onyxfork.platform.configuration import decode_configuration
from onyxfork.platform.jobs import decode_job
from onyxfork.platform.settings import (
    CLOCK_FILE_VARIABLE,
    LISTEN_HOST_VARIABLE,
    load_platform_settings,
)
from onyxfork.platform.standin.calls import (
    agent_settings,
    control_settings,
    encode_configuration,
    encode_job,
    entry_settings,
    make_invalid_configurations,
    node_settings,
)

QUEUES = {"notice-check": 0, "roll-lookup": 1}
SEEDS = ["127.9.0.1:8166", "127.9.0.2:8166"]


def load(tmp_path, text):
    path = tmp_path / "settings.toml"
    path.write_text(text)
    return load_platform_settings(path)


def fields(bootstrap=True):
    return node_settings("n-1", "zone-1", "127.9.0.5", (7720, 7725), SEEDS, bootstrap)


def test_settings_of_an_entry(tmp_path):
    callers, ready = Address("127.9.0.5", 8161), Address("127.9.0.5", 8167)
    settings = load(tmp_path, entry_settings(fields(), callers, ready, 6.0))
    assert (settings.callers, settings.readiness) == (callers, ready)
    assert [str(address) for address in settings.control_instances()] == [
        "127.9.0.1:7720",
        "127.9.0.2:7720",
    ]


def test_settings_of_an_agent(tmp_path):
    reports, worker = Address("127.9.0.5", 8166), Address("127.9.0.5", 8168)
    settings = load(tmp_path, agent_settings(fields(), reports, worker, "desk", 6.0))
    assert (settings.reports, settings.worker, settings.service) == (reports, worker, "desk")


def test_settings_of_a_control_instance_with_an_empty_disk(tmp_path):
    operators = Address("127.9.0.5", 8166)
    text = control_settings(fields(bootstrap=False), operators, tmp_path / "data", 6.0, 1)
    settings = load(tmp_path, text)
    assert not settings.is_first_member()
    assert settings.control_settings().most_voters == 3


def test_process_behind_a_forwarder_listens_at_another_host_than_it_advertises(
    tmp_path, monkeypatch
):
    monkeypatch.setenv(LISTEN_HOST_VARIABLE, "127.9.1.5")
    monkeypatch.setenv(CLOCK_FILE_VARIABLE, "clock")
    operators = Address("127.9.0.5", 8166)
    settings = load(tmp_path, control_settings(fields(), operators, tmp_path, 6.0, 1))
    direct, control = settings.direct_settings(1), settings.control_settings()
    assert (str(direct.listen), str(direct.address)) == ("127.9.1.5:7721", "127.9.0.5:7721")
    assert (str(control.listen), str(control.advertise)) == ("127.9.1.5:7720", "127.9.0.5:7720")
    assert control.node == "127.9.0.5:7720"
    assert direct.clock_file == control.clock_file == "clock"


def test_configuration_is_valid_and_its_invalid_variants_are_refused():
    valid_body = encode_configuration(7, "desk", QUEUES, "h.example", extra_queues=3)
    decoded = decode_configuration(valid_body).ok_value
    assert decoded.version == 7 and len(decoded.queues) == 5
    invalid_bodies = make_invalid_configurations(valid_body)
    assert len(invalid_bodies) == 3 and all(
        decode_configuration(body).is_err() for body in invalid_bodies
    )


@pytest.mark.parametrize("timeout_header", ["1500", None])
def test_job_is_decoded_with_its_step(timeout_header):
    queue = decode_configuration(encode_configuration(1, "desk", QUEUES, "h")).ok_value.queues[0]
    body = encode_job("3100 120", 8, 3100, 64, 150.0)
    request = decode_job("00000000000000a1", queue, body, timeout_header).ok_value
    step = request.steps[0]
    assert (step.count, step.cpu, step.memory_mb, step.expected_ms) == (8, 3100, 64, 150.0)
    assert request.spec == "3100 120"
