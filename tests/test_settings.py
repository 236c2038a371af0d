"""Settings are validated as a whole: every problem is reported with its path."""

import json
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from onyxfork.errors import SettingsError
from onyxfork.settings import EntrySettings, load_settings, parse_settings
from onyxfork.tls import TlsContexts

EXAMPLES = sorted(Path(__file__).parent.parent.glob("examples/*/*.json"))
VALID = json.loads((EXAMPLES[0].parent / "entry-1.json").read_text())
json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=10),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=8,
)


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda path: f"{path.parent.name}-{path.stem}")
def test_example_is_valid(path):
    assert load_settings(path).node


def test_every_problem_is_reported_with_its_path():
    bad = {**VALID, "zone": 4, "listen": {"host": "x", "port": 70000}, "control": [], "extra": 1}
    del bad["node"]
    with pytest.raises(SettingsError) as caught:
        parse_settings(json.dumps(bad))
    text = str(caught.value)
    for path in ("$.zone", "$.listen.host", "$.listen.port", "$.control", "$.extra", "$.node"):
        assert f"{path}:" in text


def test_wrong_role_is_rejected():
    with pytest.raises(SettingsError, match=r"\$.role: expected 'agent', got 'entry'"):
        parse_settings(json.dumps(VALID), "agent")


@given(st.text(max_size=60))
def test_any_text_is_parsed_or_rejected(text):
    try:
        parse_settings(text)
    except SettingsError as error:
        assert str(error)


@given(st.sampled_from(sorted(VALID)), json_values)
def test_any_value_of_a_field_is_parsed_or_rejected(name, value):
    try:
        settings = parse_settings(json.dumps({**VALID, name: value}))
    except SettingsError as error:
        assert f"$.{name}" in str(error)
    else:
        assert isinstance(settings, EntrySettings)


def test_missing_certificate_is_a_settings_error(tmp_path):
    missing = str(tmp_path / "missing.pem")
    tls = {"certificate": missing, "key": missing, "authority": missing}
    settings = parse_settings(json.dumps({**VALID, "tls": tls}))
    with pytest.raises(SettingsError, match=r"\$.tls"):
        TlsContexts.from_config(settings)
