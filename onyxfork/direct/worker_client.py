"""What an agent asks of its worker, whatever the worker speaks."""

from abc import ABC, abstractmethod

from attrs import define, field

__all__ = ["WorkerClient", "Reply", "LeaseReply"]


@define(slots=True)
class Reply:
    """The answer to an order.

    Parameters
    ----------
    answer : str
        ``ok``, ``room``, ``old``, ``late``, ``fence``, ``unhealthy``, ``invalid``,
        ``other-lifetime`` or ``unanswered``. An unanswered order may have been carried out, or may
        be later.
    clock_ms : int or None
        The worker's clock when it answered.
    """

    answer: str
    clock_ms: int | None = None


@define(slots=True)
class LeaseReply(Reply):
    """The answer to a renewal of the lease.

    Parameters
    ----------
    started_ms : int
        Start of the worker's lifetime, 0 when it did not say.
    running : dict
        Progress in percent by `TaskRef`.
    ended_runs : list of (TaskRef, str)
    last_end : int
        Number of the latest end in `ended_runs`.
    """

    started_ms: int = 0
    running: dict = field(factory=dict)
    ended_runs: list = field(factory=list)
    last_end: int = 0


class WorkerClient(ABC):
    """Calls to one worker. No call raises for what the network does."""

    @abstractmethod
    async def start(self, worker, order, until_ms, token, timeout_s):
        """Order a run; return a `Reply`.

        Parameters
        ----------
        worker : Worker
            The lifetime that is meant.
        order : TaskOrder
        until_ms : int
            End of the lease by the worker's clock.
        token : int
            Fencing token.
        timeout_s : float
            How long to wait for the answer.
        """

    @abstractmethod
    async def stop(self, worker, ref, token, timeout_s):
        """Stop a run, or keep it from starting; return a `Reply` within a timeout."""

    @abstractmethod
    async def renew_lease(self, worker, until_ms, token, last_end, wait_ms, fresh):
        """Renew the lease and return a `LeaseReply`, at the latest after `wait_ms`.

        Parameters
        ----------
        worker : Worker
        until_ms : int or None
            None asks for the lists alone.
        token : int
        last_end : int
            Ends up to here are not needed any more.
        wait_ms : int
            How long the worker may wait for an end to report.
        fresh : bool
            Use a new connection, because open ones may have gone silent.
        """
