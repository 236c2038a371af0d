"""Decoding of the platform's settings file, and its conversion to onyxfork's own settings."""

import os
import resource
import tomllib
from pathlib import Path

import attrs
from attrs import define, field

from onyxfork.addresses import Address
from onyxfork.direct.settings import CONTROL_TIMING, DirectSettings, make_incarnation
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


HELD_MEMORY_SHARE = 0.25
"""Share of the machine's memory that client connections may hold."""

MAX_DESCRIPTORS = 65536
"""Descriptors of a process for which the system sets no limit."""

RESERVED_DESCRIPTORS, MIN_SOCKETS = 200, 128
"""Descriptors that are not for sockets, and lower bound on those that are."""

CALLERS_SHARE, OTHER_LISTENERS_SHARE = 0.75, 0.0625
"""Shares of the descriptors for sockets that callers, and the clients of each other listener, may
use."""

MIN_HELD_MB = 1
"""Lower bound on what client connections may hold, so that a request of any legal size fits."""


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
    max_held_bytes : int
        Upper bound on what all client connections hold in memory.
    max_connections, max_other_connections : int
        Upper bounds on callers' connections, and on those of each other listener.
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
    max_held_bytes: int = 64 * 2**20
    max_connections: int = 1024
    max_other_connections: int = 64
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


def decode_max_held_bytes(data):
    """Return the upper bound on what client connections hold, by default a share of the memory."""
    machine = read_object(data.get("limits", {}), "limits")
    own = read_object(data.get("onyxfork", {}), "onyxfork")
    memory_mb = read_number(machine, "memoryMb", 0) or physical_memory_mb()
    max_held_mb = read_number(own, "maxHeldMb", HELD_MEMORY_SHARE * memory_mb)
    if max_held_mb < MIN_HELD_MB:
        raise FieldError(f"maxHeldMb: expected at least {MIN_HELD_MB}, got {max_held_mb}")
    return int(max_held_mb * 2**20)


def decode_max_connections(data):
    """Return the upper bounds on callers' connections and on those of each other listener.

    The rest of the descriptors is for the process's own connections and files.
    """
    machine = read_object(data.get("limits", {}), "limits")
    own = read_object(data.get("onyxfork", {}), "onyxfork")
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if allowed == resource.RLIM_INFINITY:
        allowed = MAX_DESCRIPTORS
    descriptors = min(read_integer(machine, "maxFds", allowed), allowed)
    available = max(MIN_SOCKETS, descriptors - RESERVED_DESCRIPTORS)
    most = int(CALLERS_SHARE * available)
    callers = read_integer(own, "maxConnections", most)
    if not 1 <= callers <= most:
        raise FieldError(f"maxConnections: expected 1 to {most}, got {callers}")
    return callers, int(OTHER_LISTENERS_SHARE * available)


def physical_memory_mb():
    """Return the memory of this machine."""
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") / 2**20


def decode_settings(data):
    """Return the `PlatformSettings` in a decoded TOML file.

    The optional table ``onyxfork`` has this project's own fields.

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
    max_connections, max_other_connections = decode_max_connections(data)
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
        max_held_bytes=decode_max_held_bytes(data),
        max_connections=max_connections,
        max_other_connections=max_other_connections,
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
