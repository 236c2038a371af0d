"""The platform's settings file, as settings of onyxfork's own."""

import os
import tomllib
from pathlib import Path

import attrs
from attrs import define

from onyxfork.addresses import Address
from onyxfork.direct.settings import CONTROL_TIMING, DirectSettings
from onyxfork.errors import SettingsError
from onyxfork.platform.fields import (
    FieldError,
    read_integer,
    read_list,
    read_number,
    read_object,
    read_string,
)

__all__ = ["PlatformSettings", "load_platform_settings", "SETTINGS_VARIABLE"]

SETTINGS_VARIABLE = "ONYXFORK_BOOT"
LISTEN_HOST_VARIABLE = "ONYXFORK_LISTEN_HOST"
"""IP number for the project's own protocol on a host that others reach through a forwarder."""

CLOCK_FILE_VARIABLE = "ONYXFORK_CLOCK_FILE"
"""File with milliseconds to add to the time of day, for experiments."""

CLUSTER = "platform"
CONTROL_PORT, AGENT_PORT, ENTRY_PORT = 0, 1, 2
"""Positions within the machine's range of internal ports."""

DRAIN_RESERVE_S = 0.7
"""Kept of the time before SIGKILL, for the process to end by itself."""


@define(frozen=True)
class PlatformSettings:
    """What the settings file says, decoded.

    Parameters
    ----------
    node, zone, host : str
        Name of the machine, its availability zone, its IP number.
    internal_ports : tuple of (int, int)
        First and last port for the project's own protocol.
    seeds : list of str
        ``ip:port`` of control instances as the operator sees them.
    first_start : bool
        The whole system starts with empty disks.
    data_folder : str
    callers, readiness, reports : Address or None
        Where callers, the balancer's checks, and workers or operators arrive.
    worker : Address or None
        Where the worker of this machine takes orders.
    service : str
        The service of that worker.
    lease_ms : float
        Longest lease that a worker grants.
    grace_s : float
        From SIGTERM to SIGKILL.
    losses : int
        Disks that may be lost at the same time.
    listen_host : str
        IP number to listen at for the project's own protocol, if not `host`.
    clock_file : str
    """

    node: str
    zone: str
    host: str
    internal_ports: tuple
    seeds: list
    first_start: bool
    data_folder: str
    callers: Address | None
    readiness: Address | None
    reports: Address | None
    worker: Address | None
    service: str
    lease_ms: float
    grace_s: float
    tolerated_losses: int
    listen_host: str = ""
    clock_file: str = ""

    def internal_address(self, position, host=None):
        """Return an internal address of this or another machine, as others reach it."""
        return Address(host or self.host, self.internal_ports[0] + position)

    def internal_listen_address(self, position):
        """Return the address at which this process listens for others."""
        return self.internal_address(position, self.listen_host)

    def control_instances(self):
        """Return the internal addresses of the seeds; ports are the same on every machine."""
        return [
            self.internal_address(CONTROL_PORT, parse_address(seed).host) for seed in self.seeds
        ]

    def direct_settings(self, position):
        """Return the settings of an entry or agent."""
        return DirectSettings(
            node=self.node,
            zone=self.zone,
            cluster=CLUSTER,
            listen=self.internal_listen_address(position),
            advertise=self.internal_address(position),
            clock_file=self.clock_file,
            control=self.control_instances(),
            lease_ms=self.lease_ms,
            drain_s=self.grace_s - DRAIN_RESERVE_S,
        )

    def control_settings(self):
        """Return the settings of a control instance; instances are named by their address."""
        from onyxfork.settings import ControlSettings, TimingSettings

        own = self.internal_address(CONTROL_PORT)
        timing = TimingSettings(**attrs.asdict(CONTROL_TIMING))
        members = {str(address): address for address in [*self.control_instances(), own]}
        return ControlSettings(
            role="control",
            node=str(own),
            cluster=CLUSTER,
            zone=self.zone,
            listen=self.internal_listen_address(CONTROL_PORT),
            advertise=own,
            clock_file=self.clock_file,
            http=self.reports,
            data_folder=self.data_folder,
            members=members,
            most_voters=2 * self.tolerated_losses + 1,
            timing=timing,
        )

    def is_first_member(self):
        """Whether this instance is one of those that form the first quorum."""
        return self.first_start and self.internal_address(CONTROL_PORT) in self.control_instances()


def parse_address(value):
    """Return the `Address` in ``ip:port``."""
    try:
        return Address.from_text(value)
    except ValueError as error:
        raise FieldError(f"{value!r}: {error}") from None


def optional_address(data, key):
    """Return the `Address` under a key, or None."""
    value = read_string(data, key, "")
    return parse_address(value) if value else None


def decode_settings(data):
    """Return the `PlatformSettings` in a decoded file.

    Raises
    ------
    FieldError
    """
    bounds = read_object(data.get("bounds", {}), "bounds")
    listen = read_object(data.get("listen", {}), "listen")
    tolerated = read_object(data.get("faultTolerance", {}), "faultTolerance")
    ports = read_list(data, "internalPorts")
    if len(ports) != 2 or not all(isinstance(port, int) for port in ports):
        raise FieldError("internalPorts: expected two ports")
    return PlatformSettings(
        node=read_string(data, "node"),
        zone=read_string(data, "zone"),
        host=read_string(data, "ip"),
        internal_ports=tuple(ports),
        seeds=[str(seed) for seed in read_list(data, "seeds")],
        first_start=bool(data.get("bootstrap", False)),
        data_folder=read_string(data, "dataDir", ""),
        callers=optional_address(listen, "front"),
        readiness=optional_address(listen, "ready"),
        reports=optional_address(listen, "control"),
        worker=optional_address(data, "app"),
        service=read_string(data, "service", ""),
        lease_ms=read_number(bounds, "holdMaxMs", 1000),
        grace_s=read_number(bounds, "graceS", 6),
        tolerated_losses=read_integer(tolerated, "machines", 1),
    )


def load_platform_settings(path=None):
    """Return the settings in the platform's file.

    Raises
    ------
    SettingsError
    """
    path = path or os.environ.get(SETTINGS_VARIABLE, "/etc/onyxfork/boot.toml")
    try:
        data = tomllib.loads(Path(path).read_text(encoding="utf-8"))
        settings = decode_settings(data)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError, FieldError) as error:
        raise SettingsError([f"{path}: {error}"]) from None
    return attrs.evolve(
        settings,
        listen_host=os.environ.get(LISTEN_HOST_VARIABLE, ""),
        clock_file=os.environ.get(CLOCK_FILE_VARIABLE, ""),
    )
