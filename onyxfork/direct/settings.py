"""Settings that entries, agents and control instances of direct dispatch share."""

from uuid import uuid4

from attrs import define, field

from onyxfork.addresses import Address
from onyxfork.messages import PROTOCOL_VERSION, Hello, Timing

__all__ = ["DirectSettings", "NODE_TIMING", "CONTROL_TIMING"]

NODE_TIMING = Timing(heartbeat_s=0.2, suspect_s=0.45, silent_s=0.7, connect_s=0.25)
"""A peer that is silent for 0.7 s is given up: a caller sends a job again 1.3 s after a broken
connection, and by then an agent has to have stopped what a lost entry ordered."""

CONTROL_TIMING = Timing(heartbeat_s=0.5, suspect_s=1.0, silent_s=1.6, connect_s=0.25)
"""No job waits for control; a configuration has to reach a node within 2 s of a sound network, and
a connection that has gone silent is replaced within that."""


@define
class DirectSettings:
    """Settings of one process.

    Parameters
    ----------
    node, zone, cluster : str
    listen : Address
        For the other processes of the cluster.
    advertise : Address or None
        Where the other processes reach this one, if not at `listen`: it stands behind a forwarder.
    clock_file : str
        File with milliseconds to add to the time of day, for experiments; empty for none.
    control : list of Address
        Control instances that are known from the start; more are learned from them.
    lease_ms : float
        The longest lease that a worker grants.
    drain_s : float
        How long a planned stop may wait for work inside.
    """

    node: str
    zone: str
    cluster: str
    listen: Address
    control: list[Address]
    lease_ms: float = 1000.0
    drain_s: float = 5.0
    advertise: Address | None = None
    clock_file: str = ""
    timing: Timing = NODE_TIMING
    control_timing: Timing = CONTROL_TIMING
    incarnation: str = field(factory=lambda: uuid4().hex[:12])

    @property
    def address(self):
        """Where the other processes reach this one."""
        return self.advertise or self.listen

    def hello(self, role, now):
        """Return what a process of these settings says of itself."""
        return Hello(
            version=PROTOCOL_VERSION,
            cluster=self.cluster,
            role=role,
            node=self.node,
            incarnation=self.incarnation,
            zone=self.zone,
            clock=now,
        )
