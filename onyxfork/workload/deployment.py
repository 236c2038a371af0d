"""Sample deployments and the settings of their processes on loopback."""

import os
import socket
from itertools import cycle

from attrs import define

from onyxfork.settings import (
    Address,
    AgentSettings,
    ControlSettings,
    EntrySettings,
    UpstreamSettings,
)

__all__ = [
    "Deployment",
    "JobKind",
    "BYGDELAG",
    "GUJARAT",
    "DEPLOYMENTS",
    "DEMO_TOKEN",
    "free_port",
    "setup_statements",
    "control_settings",
    "entry_settings",
    "agent_settings",
    "upstream_settings",
]

LOOPBACK = "127.0.0.1"
FIRST_PORT = 10_000
PORT_BLOCK_COUNT = 150
PORTS_PER_BLOCK = 140
DEMO_TOKEN = "demo-token-for-loopback-only"


@define(frozen=True)
class JobKind:
    """A job that callers can submit, with the options of the operator's ``create job``."""

    name: str
    urgency: str
    idempotent: bool = True
    deadline_ms: int = 10_000


@define(frozen=True)
class Deployment:
    """A customer's service and the workers that it runs on.

    Parameters
    ----------
    zones : tuple of str
    workers : int
    slots, processors, memory_mb : int or float
        Capacity of each worker.
    rack_size : int
        Workers in a rack; racks are assigned to zones in turn.
    zone_delay_ms, client_delay_ms : float
        One-way delay between two zones, and between a caller and an entry.
    """

    cluster: str
    organisation: str
    service: str
    team: str
    jobs: tuple
    zones: tuple
    workers: int
    slots: int
    processors: float
    memory_mb: float
    rack_size: int
    zone_delay_ms: float
    client_delay_ms: float

    def worker_name(self, number):
        """Return the name of a worker; numbers start at 0."""
        return f"worker-{number + 1}"

    def rack_of(self, number):
        """Return the rack of a worker."""
        return f"rack-{number // self.rack_size + 1}"

    def zone_of(self, number):
        """Return the availability zone of a worker's rack."""
        return self.zones[(number // self.rack_size) % len(self.zones)]


BYGDELAG = Deployment(
    cluster="bygdelag",
    organisation="bygdelag",
    service="meldingsbord",
    team="branches",
    jobs=(
        JobKind("notice-check", "urgent"),
        JobKind("issue-proof", "highest"),
        JobKind("roll-lookup", "urgent"),
        JobKind("notice-billing", "urgent", idempotent=False),
    ),
    zones=("vestland-1", "vestland-2", "vestland-3", "vestland-4"),
    workers=11,
    slots=8,
    processors=32.0,
    memory_mb=65536.0,
    rack_size=3,
    zone_delay_ms=1.5,
    client_delay_ms=1.0,
)

GUJARAT = Deployment(
    cluster="gujarat",
    organisation="garden-designers",
    service="client-register",
    team="designers",
    jobs=(
        JobKind("client-lookup", "urgent"),
        JobKind("quote-update", "urgent", idempotent=False),
        JobKind("visit-booking", "urgent", idempotent=False),
    ),
    zones=("gujarat-west-1", "gujarat-west-2", "gujarat-west-3"),
    workers=11,
    slots=8,
    processors=64.0,
    memory_mb=262144.0,
    rack_size=3,
    zone_delay_ms=1.0,
    client_delay_ms=3.0,
)

DEPLOYMENTS = {"bygdelag": BYGDELAG, "gujarat": GUJARAT}


def candidate_ports():
    """Yield ports below the ephemeral range, endlessly, starting at a block chosen by process id.

    Benchmarks and scenarios may run concurrently, and another run may bind a port after this run
    has found it free and before it uses it. Different starting blocks make that unlikely.
    """
    block = os.getpid() * 37 % PORT_BLOCK_COUNT
    yield from cycle(
        FIRST_PORT + (block * PORTS_PER_BLOCK + number) % (PORT_BLOCK_COUNT * PORTS_PER_BLOCK)
        for number in range(PORT_BLOCK_COUNT * PORTS_PER_BLOCK)
    )


def free_port():
    """Return a free TCP port of the loopback address; successive calls return different ports."""
    for port in PORT_CANDIDATES:
        with socket.socket() as probe:
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                continue
            return port


PORT_CANDIDATES = candidate_ports()


def setup_statements(deployment):
    """Return the statements that create a deployment's organisation, service and jobs."""
    service_path = f"{deployment.organisation}/{deployment.service}"
    statements = [
        f"create organisation {deployment.organisation}",
        f"create team {deployment.organisation}/{deployment.team}",
        f"create service {service_path}",
    ]
    for job in deployment.jobs:
        idempotent = "true" if job.idempotent else "false"
        statements.append(
            f"create job {service_path}/{job.name} with urgency={job.urgency}, "
            f"idempotent={idempotent}, deadline_ms={job.deadline_ms}"
        )
    return statements


def loopback_address_any_port():
    """Return the loopback address with port 0, for which the system chooses a port."""
    return Address(LOOPBACK, 0)


def control_settings(deployment, number, members, data_folder, cells=1):
    """Return the settings of a control instance.

    Parameters
    ----------
    deployment : Deployment
    number : int
        Number of the instance, from 0.
    members : dict of str to Address
    data_folder : path-like
    cells : int
        Number of cells that the cluster is created with.
    """
    name = f"control-{number + 1}"
    return ControlSettings(
        role="control",
        node=name,
        cluster=deployment.cluster,
        zone=deployment.zones[number % len(deployment.zones)],
        listen=members[name],
        http=loopback_address_any_port(),
        data_folder=str(data_folder),
        members=members,
        cells=cells,
        initial_token=DEMO_TOKEN,
    )


def entry_settings(deployment, number, control, policy="late-binding", seed=0):
    """Return the settings of an entry."""
    return EntrySettings(
        role="entry",
        node=f"entry-{number + 1}",
        cluster=deployment.cluster,
        zone=deployment.zones[number % len(deployment.zones)],
        listen=loopback_address_any_port(),
        http=loopback_address_any_port(),
        control=list(control),
        policy=policy,
        seed=seed,
        announce_wait_s=0.0,
    )


def agent_settings(deployment, number, control):
    """Return the settings of one worker's agent."""
    return AgentSettings(
        role="agent",
        node=deployment.worker_name(number),
        cluster=deployment.cluster,
        zone=deployment.zone_of(number),
        rack=deployment.rack_of(number),
        listen=loopback_address_any_port(),
        http=loopback_address_any_port(),
        control=list(control),
    )


def upstream_settings(deployment, number, agent, journal="", speed=1.0, fail_share=0.0):
    """Return the settings of one worker's stand-in upstream.

    Parameters
    ----------
    deployment : Deployment
    number : int
        Number of the worker, from 0.
    agent : Address
        HTTP address of the worker's agent.
    journal : path-like
        File to which starts and ends of tasks are written; empty for none.
    speed : float
        Factor on run times.
    fail_share : float
        Share of tasks that fail.
    """
    return UpstreamSettings(
        role="upstream",
        node=deployment.worker_name(number),
        http=loopback_address_any_port(),
        agent=agent,
        slots=deployment.slots,
        processors=deployment.processors,
        memory_mb=deployment.memory_mb,
        speed=speed,
        fail_share=fail_share,
        seed=number,
        journal=str(journal),
    )
