"""The platform's settings file is decoded and converted to onyxfork's own settings."""

import pytest

from onyxfork.errors import SettingsError
from onyxfork.platform.settings import load_platform_settings

FILE = """
node = "core-a-1"
ip = "10.1.0.17"
zone = "a"
internalPorts = [7720, 7735]
seeds = ["10.1.0.17:8166", "10.2.0.34:8166"]
bootstrap = true
dataDir = "/data/x"
unknownField = [1, 2]
[listen]
control = "10.1.0.17:8166"
[bounds]
holdMaxMs = 1000
graceS = 6
[faultTolerance]
machines = 2
"""


def load(tmp_path, text):
    path = tmp_path / "boot.toml"
    path.write_text(text)
    return load_platform_settings(path)


def test_settings_are_decoded(tmp_path):
    settings = load(tmp_path, FILE)
    own = settings.control_settings()
    assert own.node == "10.1.0.17:7720"
    assert sorted(own.members) == ["10.1.0.17:7720", "10.2.0.34:7720"]
    assert own.most_voters == 5
    assert settings.is_first_member()
    assert [str(address) for address in settings.direct_settings(1).control] == sorted(own.members)


def test_zones_are_optional(tmp_path):
    assert load(tmp_path, FILE).zones == {}
    settings = load(tmp_path, FILE + '[zones]\na = "north"\n"b-2" = "south"\n')
    assert settings.zones == {"a": "north", "b-2": "south"}


def test_control_instance_not_among_the_seeds_is_not_a_first_member(tmp_path):
    settings = load(tmp_path, FILE.replace("10.1.0.17", "10.1.0.99", 1))
    assert not settings.is_first_member()


@pytest.mark.parametrize(
    ("old", "new", "named"),
    [
        ('node = "core-a-1"', "", "node"),
        ("[7720, 7735]", "[7720]", "internalPorts"),
        ('"10.1.0.17:8166"\n[bounds]', '"x"\n[bounds]', "'x'"),
        ("holdMaxMs = 1000", 'holdMaxMs = "long"', "holdMaxMs"),
        ("[listen]", "[listen", "boot.toml"),
        ("[listen]", "[zones]\na = 1\n[listen]", "zones.a"),
        ("[listen]", "zones = [1]\n[listen]", "zones: expected an object"),
    ],
)
def test_invalid_field_is_named(tmp_path, old, new, named):
    with pytest.raises(SettingsError, match=named.replace("[", r"\[")):
        load(tmp_path, FILE.replace(old, new))


def test_missing_file_is_named(tmp_path):
    with pytest.raises(SettingsError, match="none.toml"):
        load_platform_settings(tmp_path / "none.toml")
