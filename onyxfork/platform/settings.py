"""Decoding of the platform's settings file, and its conversion to onyxfork's own settings."""

import os
import tomllib
from pathlib import Path

import attrs
from attrs import define, field

from onyxfork.addresses import Address
from onyxfork.direct.client_limits import ClientLimits
from onyxfork.direct.settings import CONTROL_TIMING, DirectSettings, make_incarnation
from onyxfork.errors import SettingsError
from onyxfork.platform.client_limits import decode_client_limits
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
"""Environment variable with the path of the settings file."""

LISTEN_HOST_VARIABLE = "ONYXFORK_LISTEN_HOST"
"""Environment variable with the IP address to listen at for onyxfork's own protocol, for a process
that others reach through a forwarder, such as the fault proxy of a soak."""

CLOCK_FILE_VARIABLE = "ONYXFORK_CLOCK_FILE"
"""Environment variable with the path of a file that holds milliseconds to add to the time of day,
for experiments."""

CLUSTER = "platform"
"""Cluster name that processes exchange in onyxfork's own protocol."""

CONTROL_PORT, AGENT_PORT, ENTRY_PORT = 0, 1, 2
"""Port of each role for onyxfork's own protocol, as an offset from the first internal port."""

DRAIN_RESERVE_S = 0.7
"""Part of the grace period that is not used for draining, so that the process can exit before
SIGKILL."""


@define(frozen=True)
class PlatformSettings:
    """Decoded settings file.

    Parameters
    ----------
    node, zone, host : str
        Name of the machine, its availability zone and its IP address.
    internal_ports : tuple of (int, int)
        First and last port for onyxfork's own protocol.
    seeds : list of str
        ``ip:port`` of the control instances, as operators reach them.
    first_start : bool
        Whether the whole system starts for the first time, with empty disks.
    data_folder : str
        Where a control instance stores its data.
    callers, readiness, reports : Address or None
        Where to listen for callers; for the load balancer's readiness checks; and for reports of
        the worker (agent) or requests of operators (control instance).
    worker : Address or None
        Where the worker on this machine accepts orders.
    service : str
        The service that this worker belongs to.
    lease_ms : float
        Upper bound on a lease that a worker grants.
    grace_s : float
        Grace period from SIGTERM to SIGKILL.
    tolerated_losses : int
        How many control instances may lose their disks at the same time.
    listen_host : str
        IP address to listen at for onyxfork's own protocol; empty for `host`.
    clock_file : str
        File with milliseconds to add to the time of day; empty for none.
    zones : dict of str to str
        Region of each availability zone that operators may evacuate.
    client_limits : ClientLimits
    incarnation : str
        Identifies the process since its start, in its logs and, of an entry or agent, to its peers.
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
    zones: dict = field(factory=dict)
    client_limits: ClientLimits = field(factory=ClientLimits)
    incarnation: str = field(factory=make_incarnation, eq=False)

    def internal_address(self, port_offset, host=None):
        """Return the address for onyxfork's own protocol at a port offset.

        It is the address at which other processes connect, on this machine or on `host`.
        """
        return Address(host or self.host, self.internal_ports[0] + port_offset)

    def internal_listen_address(self, port_offset):
        """Return the address at which this process listens for onyxfork's own protocol."""
        return self.internal_address(port_offset, self.listen_host)

    def control_instances(self):
        """Return the internal addresses of the seeds.

        The internal ports are the same on every machine, so only the hosts of the seeds matter.
        """
        return [
            self.internal_address(CONTROL_PORT, parse_address(seed).host) for seed in self.seeds
        ]

    def direct_settings(self, port_offset):
        """Return the settings of an entry or agent, by the offset of its internal port."""
        return DirectSettings(
            node=self.node,
            zone=self.zone,
            cluster=CLUSTER,
            listen=self.internal_listen_address(port_offset),
            advertise=self.internal_address(port_offset),
            clock_file=self.clock_file,
            control=self.control_instances(),
            lease_ms=self.lease_ms,
            drain_s=self.grace_s - DRAIN_RESERVE_S,
            max_held_tasks=self.client_limits.held_tasks,
            incarnation=self.incarnation,
        )

    def control_settings(self):
        """Return the settings of a control instance, which is named by its internal address."""
        from onyxfork.settings import ControlSettings, TimingSettings

        own_address = self.internal_address(CONTROL_PORT)
        timing = TimingSettings(**attrs.asdict(CONTROL_TIMING))
        members = {str(address): address for address in [*self.control_instances(), own_address]}
        return ControlSettings(
            role="control",
            node=str(own_address),
            cluster=CLUSTER,
            zone=self.zone,
            listen=self.internal_listen_address(CONTROL_PORT),
            advertise=own_address,
            clock_file=self.clock_file,
            http=self.reports,
            data_folder=self.data_folder,
            members=members,
            most_voters=2 * self.tolerated_losses + 1,
            timing=timing,
        )

    def is_first_member(self):
        """Return whether this control instance is one of those that form the initial quorum."""
        return self.first_start and self.internal_address(CONTROL_PORT) in self.control_instances()


def parse_address(value):
    """Return the `Address` in a string ``ip:port``."""
    try:
        return Address.from_text(value)
    except ValueError as error:
        raise FieldError(f"{value!r}: {error}") from None


def optional_address(data, key):
    """Return the `Address` in a field, or None if the field is absent or empty."""
    value = read_string(data, key, "")
    return parse_address(value) if value else None


def decode_zones(data):
    """Return the region of each availability zone in the optional table ``zones``."""
    zones = read_object(data.get("zones", {}), "zones")
    for zone, region in zones.items():
        if not isinstance(region, str):
            raise FieldError(f"zones.{zone}: expected a string, got {type(region).__name__}")
    return zones


def decode_settings(data):
    """Return the `PlatformSettings` in a decoded TOML file.

    In the file, ``app`` is the worker, ``front`` the address for callers, ``hold`` a lease, and
    ``control`` under ``listen`` the address for the worker's reports or for operators.

    Raises
    ------
    FieldError
        If a field is missing or invalid.
    """
    bounds = read_object(data.get("bounds", {}), "bounds")
    listen = read_object(data.get("listen", {}), "listen")
    fault_tolerance = read_object(data.get("faultTolerance", {}), "faultTolerance")
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
        tolerated_losses=read_integer(fault_tolerance, "machines", 1),
        zones=decode_zones(data),
        client_limits=decode_client_limits(data),
    )


def load_platform_settings(path=None):
    """Return the settings in the platform's settings file.

    Parameters
    ----------
    path : str or pathlib.Path, optional
        By default the file that ``ONYXFORK_BOOT`` names, else ``/etc/onyxfork/boot.toml``.

    Raises
    ------
    SettingsError
        If the file cannot be read or decoded.
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
