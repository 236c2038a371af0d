"""Deployments of the brief's users, with loopback addresses."""

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
PORT_BLOCKS = 150
PORTS_A_BLOCK = 140
DEMO_TOKEN = "demo-token-for-loopback-only"


@define(frozen=True)
class JobKind:
    """A job of a service, as an operator would create it."""

    name: str
    urgency: str
    idempotent: bool = True
    deadline_ms: int = 10_000


@define(frozen=True)
class Deployment:
    """An organisation's service and the workers that it runs on.

    Parameters
    ----------
    zones : tuple of str
    workers : int
    slots : int
        Of each worker.
    rack_size : int
    zone_delay_ms, client_delay_ms : float
        One way.
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
        """Return the name of a worker."""
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
    """Yield ports below the range that the system gives out, from a place that varies by process.

    Several tools may run at once, and a port that was only probed may be taken meanwhile; blocks
    that differ by process keep them apart.
    """
    block = os.getpid() * 37 % PORT_BLOCKS
    yield from cycle(
        FIRST_PORT + (block * PORTS_A_BLOCK + number) % (PORT_BLOCKS * PORTS_A_BLOCK)
        for number in range(PORT_BLOCKS * PORTS_A_BLOCK)
    )


def free_port():
    """Return a TCP port of the loopback address that nothing listens on, never twice in a row."""
    for port in PORTS:
        with socket.socket() as probe:
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                continue
            return port


PORTS = candidate_ports()


def setup_statements(deployment):
    """Return the statements that create a deployment's organisation, service and jobs."""
    place = f"{deployment.organisation}/{deployment.service}"
    statements = [
        f"create organisation {deployment.organisation}",
        f"create team {deployment.organisation}/{deployment.team}",
        f"create service {place}",
    ]
    for job in deployment.jobs:
        idempotent = "true" if job.idempotent else "false"
        statements.append(
            f"create job {place}/{job.name} with urgency={job.urgency}, "
            f"idempotent={idempotent}, deadline_ms={job.deadline_ms}"
        )
    return statements


def anywhere():
    """Return a loopback address whose port the system chooses."""
    return Address(LOOPBACK, 0)


def control_settings(deployment, number, members, data_folder, cells=1):
    """Return the settings of a control instance.

    Parameters
    ----------
    deployment : Deployment
    number : int
        From 0 on.
    members : dict of str to Address
    data_folder : path-like
    cells : int
    """
    name = f"control-{number + 1}"
    return ControlSettings(
        role="control",
        node=name,
        cluster=deployment.cluster,
        zone=deployment.zones[number % len(deployment.zones)],
        listen=members[name],
        http=anywhere(),
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
        listen=anywhere(),
        http=anywhere(),
        control=list(control),
        policy=policy,
        seed=seed,
        announce_wait_s=0.0,
    )


def agent_settings(deployment, number, control):
    """Return the settings of the agent beside one worker."""
    return AgentSettings(
        role="agent",
        node=deployment.worker_name(number),
        cluster=deployment.cluster,
        zone=deployment.zone_of(number),
        rack=deployment.rack_of(number),
        listen=anywhere(),
        http=anywhere(),
        control=list(control),
    )


def upstream_settings(deployment, number, agent, journal="", speed=1.0, fail_share=0.0):
    """Return the settings of the stand-in upstream on one worker."""
    return UpstreamSettings(
        role="upstream",
        node=deployment.worker_name(number),
        http=anywhere(),
        agent=agent,
        slots=deployment.slots,
        processors=deployment.processors,
        memory_mb=deployment.memory_mb,
        speed=speed,
        fail_share=fail_share,
        seed=number,
        journal=str(journal),
    )
