"""Settings shared by entries, agents and control instances of direct dispatch."""

from uuid import uuid4

from attrs import define, field

from onyxfork.addresses import Address
from onyxfork.direct.client_limits import MAX_HELD_TASKS
from onyxfork.messages import PROTOCOL_VERSION, Hello, Timing

__all__ = ["DirectSettings", "make_incarnation", "NODE_TIMING", "CONTROL_TIMING"]

NODE_TIMING = Timing(heartbeat_s=0.2, suspect_s=0.45, silent_s=0.69, connect_s=0.25)
"""A connection is closed after 0.7 s of silence, the time to read what has arrived included: a
caller retries a job 1.3 s after its connection has broken, and by then an agent must have stopped
the runs of a lost entry."""

CONTROL_TIMING = Timing(heartbeat_s=0.5, suspect_s=1.0, silent_s=1.6, connect_s=0.25)
"""No job waits for control. A configuration must reach a node within 2 s after the network has
recovered, and a silent connection is replaced within that time."""


def make_incarnation():
    """Return a new identifier of a process since its start."""
    return uuid4().hex[:12]


@define
class DirectSettings:
    """Settings of one process.

    Parameters
    ----------
    node, zone, cluster : str
    listen : Address
        Where this process accepts connections from other processes of the cluster.
    advertise : Address or None
        Address at which other processes reach this one, if it is a different one than `listen`, for
        instance behind a forwarder.
    clock_file : str
        For experiments: path of a file with the milliseconds to add to the wall clock; empty for
        none.
    control : list of Address
        Addresses of control instances; those of further ones are received from these.
    lease_ms : float
        Upper bound on the lease that a worker grants.
    drain_s : float
        Upper bound on how long a planned stop waits for accepted work.
    timing, control_timing : Timing
        Timeouts of connections between entries and agents, and to control.
    max_held_tasks : int
        Upper bound on the tasks of the jobs that an entry has.
    incarnation : str
        Identifies the process since its start; each restart gets a new one.
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
    max_held_tasks: int = MAX_HELD_TASKS
    incarnation: str = field(factory=make_incarnation)

    @property
    def address(self):
        """Address at which other processes reach this one."""
        return self.advertise or self.listen

    def hello(self, role, now):
        """Return the `Hello` that introduces this process to a peer.

        Parameters
        ----------
        role : str
        now : float
            Monotonic seconds.
        """
        return Hello(
            version=PROTOCOL_VERSION,
            cluster=self.cluster,
            role=role,
            node=self.node,
            incarnation=self.incarnation,
            zone=self.zone,
            clock=now,
        )
