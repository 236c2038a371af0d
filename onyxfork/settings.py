"""Settings of the daemons: JSON files that are validated before a daemon starts.

All invalid, missing and unknown fields are reported together, with path and expected value.
"""

import json
from pathlib import Path
from types import NoneType, UnionType
from typing import get_args, get_origin

import attrs
import cattrs
from attrs import define, field

from onyxfork.addresses import Address, make_validator
from onyxfork.entities.tuning import Tuning
from onyxfork.errors import SettingsError

__all__ = [
    "Address",
    "TlsSettings",
    "EntrySettings",
    "AgentSettings",
    "ControlSettings",
    "UpstreamSettings",
    "ROLES",
    "advertised_address",
    "load_settings",
    "parse_settings",
]


def is_name(value):
    """Return whether a text can name a process, zone or cluster."""
    return 0 < len(value) <= 64 and value.isprintable() and not set(value) & set("/# ")


NAME = make_validator(is_name, "a name of 1 to 64 characters without slash, # or space")
POSITIVE = make_validator(lambda value: value > 0, "a number above 0")
NOT_NEGATIVE = make_validator(lambda value: value >= 0, "a number of at least 0")
NOT_EMPTY = make_validator(lambda value: len(value) > 0, "at least one item")
LEVEL = make_validator(
    lambda value: value in ("debug", "info", "warning", "error"),
    "one of debug, info, warning, error",
)


@define
class TlsSettings:
    """Paths of the TLS files; both sides of a connection present a certificate of the authority."""

    certificate: str
    key: str
    authority: str


@define
class TimingSettings:
    """Timeouts of connections, in seconds; see :class:`onyxfork.messages.connection.Timing`."""

    heartbeat_s: float = field(default=0.6, validator=POSITIVE)
    suspect_s: float = field(default=1.3, validator=POSITIVE)
    silent_s: float = field(default=2.0, validator=POSITIVE)
    connect_s: float = field(default=2.0, validator=POSITIVE)


@define
class CommonSettings:
    """Fields that the settings of every daemon of a cluster have.

    Parameters
    ----------
    listen : Address
        Listening address for the other processes of the cluster.
    advertise : Address or None
        Address at which other processes reach `listen`, if it is a different one.
    clock_file : str
        For experiments: path of a file with the milliseconds to add to the wall clock; empty for
        none.
    """

    role: str
    node: str = field(validator=NAME)
    cluster: str = field(validator=NAME)
    zone: str = field(validator=NAME)
    listen: Address
    http: Address
    advertise: Address | None = field(default=None, kw_only=True)
    log_level: str = field(default="info", validator=LEVEL, kw_only=True)
    clock_file: str = field(default="", kw_only=True)
    timing: TimingSettings = field(factory=TimingSettings, kw_only=True)
    tls: TlsSettings | None = field(default=None, kw_only=True)


@define
class EntrySettings(CommonSettings):
    """Settings of an entry.

    Parameters
    ----------
    policy : str
        Name of the placement policy.
    drain_s : float
        Upper bound on how long a planned stop waits for accepted work.
    announce_wait_s : float
        How long a planned stop fails the health check before the cells are handed over.
    """

    control: list[Address] = field(validator=NOT_EMPTY)
    policy: str = field(default="late-binding", kw_only=True)
    seed: int = field(default=0, kw_only=True)
    max_body_bytes: int = field(default=4 * 1024 * 1024, validator=POSITIVE, kw_only=True)
    tuning: Tuning = field(factory=Tuning, kw_only=True)
    drain_s: float = field(default=30.0, validator=NOT_NEGATIVE, kw_only=True)
    announce_wait_s: float = field(default=1.0, validator=NOT_NEGATIVE, kw_only=True)


@define
class AgentSettings(CommonSettings):
    """Settings of an agent; `http` is the address at which its upstream announces itself.

    Parameters
    ----------
    max_slots : int
        Upper bound on the slots that the upstream may announce.
    drain_s : float
        Upper bound on how long a planned stop waits for running tasks.
    """

    control: list[Address] = field(validator=NOT_EMPTY)
    rack: str = field(default="", kw_only=True)
    max_slots: int = field(default=64, validator=POSITIVE, kw_only=True)
    drain_s: float = field(default=30.0, validator=NOT_NEGATIVE, kw_only=True)


@define
class ControlSettings(CommonSettings):
    """Settings of a control instance; `http` serves the administration API.

    Parameters
    ----------
    snapshot_bytes : int
        Size of the log above which a snapshot is taken.
    lost_after_s : float
        A node that has been disconnected for this long is announced as lost.
    initial_token : str
        Token that is valid until there is an operator who may make changes; empty for none.
    most_voters : int
        With this many voters, a new member becomes a voter only in place of an unreachable one.
    """

    data_folder: str
    members: dict[str, Address] = field(validator=NOT_EMPTY)
    cells: int = field(default=1, validator=POSITIVE, kw_only=True)
    lease_s: float = field(default=2.0, validator=POSITIVE, kw_only=True)
    snapshot_bytes: int = field(default=1024 * 1024, validator=POSITIVE, kw_only=True)
    lost_after_s: float = field(default=15.0, validator=POSITIVE, kw_only=True)
    initial_token: str = field(default="", kw_only=True, repr=False)
    most_voters: int = field(default=9, validator=POSITIVE, kw_only=True)


@define
class UpstreamSettings:
    """Settings of the stand-in upstream."""

    role: str
    node: str = field(validator=NAME)
    http: Address
    agent: Address
    slots: int = field(default=8, validator=POSITIVE, kw_only=True)
    processors: float = field(default=32.0, validator=NOT_NEGATIVE, kw_only=True)
    memory_mb: float = field(default=65536.0, validator=NOT_NEGATIVE, kw_only=True)
    accelerators: float = field(default=0.0, validator=NOT_NEGATIVE, kw_only=True)
    speed: float = field(default=1.0, validator=POSITIVE, kw_only=True)
    fail_share: float = field(default=0.0, validator=NOT_NEGATIVE, kw_only=True)
    seed: int = field(default=0, kw_only=True)
    journal: str = field(default="", kw_only=True)
    log_level: str = field(default="info", validator=LEVEL, kw_only=True)


ROLES = {
    "entry": EntrySettings,
    "agent": AgentSettings,
    "control": ControlSettings,
    "upstream": UpstreamSettings,
}

converter = cattrs.Converter()
TYPE_NAMES = {str: "text", int: "a whole number", float: "a number", bool: "true or false"}


def make_strict_hook(kind):
    """Return a cattrs hook that accepts only values of type `kind`, and integers for floats."""

    def structure(value, _):
        if kind is float and type(value) is int:
            return float(value)
        if type(value) is not kind:
            raise TypeError(f"expected {TYPE_NAMES[kind]}, got {type(value).__name__}")
        return value

    return structure


for _kind in TYPE_NAMES:
    converter.register_structure_hook(_kind, make_strict_hook(_kind))


def build_value(kind, value, path, problems):
    """Convert `value` to the type `kind`, and collect all problems with their paths.

    Parameters
    ----------
    kind : type
        A primitive, an attrs class, or a list or dict of one, or a union of one of these and None.
    value : object
        As decoded from JSON.
    path : str
        Path of `value` in the document, for the error messages.
    problems : list of str
        Problems are appended; the returned value is usable only if none were.
    """
    if isinstance(kind, UnionType):
        inner = next(arg for arg in get_args(kind) if arg is not NoneType)
        return None if value is None else build_value(inner, value, path, problems)
    if attrs.has(kind):
        return build_object(kind, value, path, problems)
    if get_origin(kind) is list and type(value) is list:
        inner = get_args(kind)[0]
        items = enumerate(value)
        return [build_value(inner, item, f"{path}[{index}]", problems) for index, item in items]
    if get_origin(kind) is dict and type(value) is dict:
        inner = get_args(kind)[1]
        return {
            name: build_value(inner, item, f"{path}.{name}", problems)
            for name, item in value.items()
        }
    if get_origin(kind) in (list, dict):
        expected = "a list" if get_origin(kind) is list else "an object"
        problems.append(f"{path}: expected {expected}, got {type(value).__name__}")
        return None
    try:
        return converter.structure(value, kind)
    except TypeError as error:
        problems.append(f"{path}: {error}")
        return None


def build_object(cls, value, path, problems):
    """Return an instance of an attrs class, or None after appending its problems."""
    if type(value) is not dict:
        problems.append(f"{path}: expected an object, got {type(value).__name__}")
        return None
    fields = attrs.fields_dict(cls)
    problem_count = len(problems)
    problems += [f"{path}.{name}: unknown field" for name in value if name not in fields]
    values = {}
    for name, attribute in fields.items():
        if name in value:
            values[name] = build_field(attribute, value[name], f"{path}.{name}", problems)
        elif attribute.default is attrs.NOTHING:
            problems.append(f"{path}.{name}: required field is missing")
    return cls(**values) if len(problems) == problem_count else None


def build_field(attribute, value, path, problems):
    """Convert and validate the value of one field; append the problem if it is invalid."""
    problem_count = len(problems)
    built = build_value(attribute.type, value, path, problems)
    if attribute.validator is not None and len(problems) == problem_count:
        try:
            attribute.validator(None, attribute, built)
        except ValueError as error:
            problems.append(f"{path}: {error}")
    return built


def parse_settings(text, role=None, name="settings"):
    """Parse and validate the settings in a JSON text.

    Parameters
    ----------
    text : str
    role : str, optional
        The role that the settings must have; any if omitted.
    name : str
        Name of the file, for error messages.

    Returns
    -------
    EntrySettings, AgentSettings, ControlSettings or UpstreamSettings

    Raises
    ------
    SettingsError
        With every problem found.

    Examples
    --------
    >>> parse_settings('{"role": "pilot"}')
    Traceback (most recent call last):
    ...
    onyxfork.errors.SettingsError: settings: $.role: expected one of entry, agent, control, \
upstream, got 'pilot'
    """
    try:
        data = json.loads(text)
    except (json.JSONDecodeError, RecursionError) as error:
        raise SettingsError([f"{name}: not JSON: {error}"]) from None
    if type(data) is not dict:
        raise SettingsError([f"{name}: $: expected an object, got {type(data).__name__}"])
    file_role = data.get("role")
    if not isinstance(file_role, str) or file_role not in ROLES:
        raise SettingsError(
            [f"{name}: $.role: expected one of {', '.join(ROLES)}, got {file_role!r}"]
        )
    if role is not None and file_role != role:
        raise SettingsError([f"{name}: $.role: expected {role!r}, got {file_role!r}"])
    problems = []
    settings = build_value(ROLES[file_role], data, "$", problems)
    if problems:
        raise SettingsError([f"{name}: {problem}" for problem in problems])
    return settings


def advertised_address(settings, port):
    """Return the address at which other processes reach a daemon that listens on `port`."""
    return settings.advertise or Address(settings.listen.host, port)


def load_settings(path, role=None):
    """Read, parse and validate the settings in a file.

    Raises
    ------
    SettingsError
        When the file cannot be read or its settings are invalid.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError([f"{path}: {error}"]) from None
    return parse_settings(text, role, str(path))
