"""How much the clients of a process may use of its machine."""

from attrs import define, evolve

__all__ = ["MAX_HELD_TASKS", "ClientLimits"]

HELD_MEMORY_SHARE = 0.25
"""Share of the machine's memory that connections may hold, and share that tasks may."""

RESERVED_DESCRIPTORS, MIN_SOCKETS = 200, 128
"""Descriptors that are not for sockets, and lower bound on those that are."""

CALLERS_SHARE, OTHER_LISTENERS_SHARE = 0.75, 0.0625
"""Shares of the descriptors for sockets that callers, and the clients of each other listener, may
use. The rest is for the process's own connections."""

TASK_BYTES = 2048
"""What a task of an accepted job takes in memory."""

MIN_HELD_TASKS, MAX_HELD_TASKS = 10_000, 20_000
"""Bounds on the default number of tasks: the largest job is accepted, and an agent that has all of
them answers its entry about each within the silence after which their connection is closed."""


@define(frozen=True)
class ClientLimits:
    """Upper bounds on what clients use.

    Parameters
    ----------
    held_bytes : int
        What all connections hold together.
    connections, other_connections : int
        Connections of callers, and of the clients of each other listener.
    held_tasks : int
        Tasks of the jobs that an entry has.
    body_timeout_s : float
        How long the body of a request may take to arrive.
    turn_s : float
        Work for the clients of a listener in one turn of the event loop.
    unsent_bytes : int
        Unread responses of a connection beyond the kernel's buffer above which no more of its
        requests are handled.
    """

    held_bytes: int = 64 * 2**20
    connections: int = 1024
    other_connections: int = 64
    held_tasks: int = MAX_HELD_TASKS
    body_timeout_s: float = 15.0
    turn_s: float = 0.005
    unsent_bytes: int = 16384

    @classmethod
    def from_machine(cls, memory_bytes, descriptors):
        """Return the default limits on a machine.

        Parameters
        ----------
        memory_bytes : float
        descriptors : int
            How many the process may open.
        """
        held_bytes = int(HELD_MEMORY_SHARE * memory_bytes)
        sockets = max(MIN_SOCKETS, descriptors - RESERVED_DESCRIPTORS)
        return cls(
            held_bytes=held_bytes,
            connections=int(CALLERS_SHARE * sockets),
            other_connections=int(OTHER_LISTENERS_SHARE * sockets),
            held_tasks=min(max(MIN_HELD_TASKS, held_bytes // TASK_BYTES), MAX_HELD_TASKS),
        )

    def for_other_listener(self):
        """Return the limits of a listener that is not for callers."""
        return evolve(self, connections=self.other_connections)
