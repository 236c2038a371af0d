"""Interface of an agent to its worker, independent of the worker's protocol."""

from abc import ABC, abstractmethod

from attrs import define, field

__all__ = ["WorkerClient", "Reply", "LeaseReply"]


@define(slots=True)
class Reply:
    """Reply of a worker to a call.

    Parameters
    ----------
    answer : str
        ``ok`` or the reason of a refusal: ``room`` (not enough free capacity), ``old`` (a run of
        the task with the same or a higher number is known), ``late`` (the lease has expired),
        ``fence`` (a higher fencing token is known), ``unhealthy``, ``invalid`` (the order could
        not be parsed) or ``other-lifetime``. ``unanswered`` if there was no valid answer; the
        worker may have carried out the order, or may do so later. ``unsent`` instead for an order
        to start that certainly has not reached the worker, because it refused the connection.
    clock_ms : int or None
        The worker's monotonic clock when it answered.
    started_ms : int
        Start of the lifetime that answered, 0 if the answer does not state it. A lifetime that has
        the identifier of the one that was called carries out the call.
    connection_lost : bool
        Whether a call is unanswered because its connection failed, not because of a timeout.
    connection_refused : bool
        Whether nothing accepts connections at the worker's address: its process has ended.
    """

    answer: str
    clock_ms: int | None = None
    started_ms: int = 0
    connection_lost: bool = field(default=False, kw_only=True)
    connection_refused: bool = field(default=False, kw_only=True)

    @property
    def is_lost(self):
        """Whether there was no valid answer although the connection stayed open."""
        return self.answer == "unanswered" and not self.connection_lost


@define(slots=True)
class LeaseReply(Reply):
    """Reply of a worker to a renewal of the lease.

    Parameters
    ----------
    running : dict
        Progress in percent by `TaskRef`.
    ended_runs : list of (TaskRef, str)
        Ended runs with their outcomes.
    last_end : int
        Sequence number of the latest run in `ended_runs`.
    is_truncated : bool
        Whether further runs may have ended that `ended_runs` does not list.
    timed_out : bool
        Whether there was no answer within the time allowed, or until the request was given up. Set
        by :class:`onyxfork.direct.list_polls.ListPolls`.
    """

    running: dict = field(factory=dict)
    ended_runs: list = field(factory=list)
    last_end: int = 0
    is_truncated: bool = field(default=False, kw_only=True)
    timed_out: bool = field(default=False, kw_only=True)


class WorkerClient(ABC):
    """Calls to one worker. Network errors are returned as ``unanswered``, never raised."""

    @abstractmethod
    async def start(self, worker, order, until_ms, token, timeout_s):
        """Start a run; return a `Reply`.

        Parameters
        ----------
        worker : Worker
            The lifetime that the order is for; another one refuses it.
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
        """Stop a run, or prevent its start; return a `Reply` within `timeout_s`."""

    @abstractmethod
    async def renew_lease(self, worker, until_ms, token, last_end, wait_ms, fresh, timeout_s):
        """Renew the lease and return a `LeaseReply` with the lists of runs.

        Parameters
        ----------
        worker : Worker
        until_ms : int or None
            End of the lease by the worker's clock; None requests the lists without a renewal.
        token : int
        last_end : int
            High-water mark of ended runs: the worker drops those up to this number.
        wait_ms : int
            How long the worker may hold its answer until a run ends.
        fresh : bool
            Use a new connection, because open ones may be broken.
        timeout_s : float
            Time allowed for the answer, `wait_ms` included.
        """
