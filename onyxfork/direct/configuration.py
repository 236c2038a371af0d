"""The operator's configuration: queues, services, limits, and how a request finds its queue."""

from attrs import define, field

__all__ = [
    "Queue",
    "Service",
    "RequestLimits",
    "Configuration",
    "QueueTable",
    "find_configuration_error",
]


@define(frozen=True, slots=True)
class Queue:
    """Jobs of one kind.

    Parameters
    ----------
    name, host, prefix : str
        Requests to `host` whose path begins with `prefix` belong to the queue.
    service : str
        Whose workers run the tasks.
    priority : int
        0 comes first.
    attempts : int
        Runs of a task that may fail before the job has failed.
    stretch : float
        A job's latency objective is this many times its longest chain of tasks, and
        `objective_ms` more.
    objective_ms, timeout_ms : float
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int
    attempts: int
    stretch: float
    objective_ms: float
    timeout_ms: float


@define(frozen=True, slots=True)
class Service:
    """A kind of worker; without `guards_capacity` a worker starts whatever it is told to."""

    name: str
    rejects_overload: bool = True


@define(frozen=True, slots=True)
class RequestLimits:
    """Limits on callers' requests, in bytes and seconds."""

    header_bytes: int = 16384
    body_bytes: int = 262144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@define(frozen=True)
class Configuration:
    """One version of the configuration; a higher version replaces a lower one as a whole."""

    version: int
    queues: list[Queue]
    services: list[Service] = field(factory=list)
    limits: RequestLimits = field(factory=RequestLimits)


def find_configuration_error(configuration):
    """Return what is wrong with a configuration, or None.

    Parameters
    ----------
    configuration : Configuration

    Returns
    -------
    str or None
        Names the queue or service at fault.
    """
    services = {service.name for service in configuration.services}
    if len(services) < len(configuration.services):
        return "two services have the same name"
    places, names = {}, set()
    for queue in configuration.queues:
        if queue.service not in services:
            return f"queue {queue.name}: unknown service {queue.service!r}"
        if queue.timeout_ms <= 0:
            return f"queue {queue.name}: timeout must be above 0, got {queue.timeout_ms:g} ms"
        if queue.name in names:
            return f"queue {queue.name}: the name is used twice"
        place = (queue.host, queue.prefix)
        if place in places:
            return f"queue {queue.name}: same host and prefix as queue {places[place]}"
        places[place] = queue.name
        names.add(queue.name)
    return None


class QueueTable:
    """Finds the queue of a request by host and longest prefix.

    Parameters
    ----------
    queues : list of Queue
    """

    def __init__(self, queues):
        self.by_host = {}
        for queue in sorted(queues, key=lambda queue: -len(queue.prefix)):
            self.by_host.setdefault(queue.host.lower(), []).append(queue)

    def find(self, host, path):
        """Return the queue of a request, or None."""
        for queue in self.by_host.get(host.lower(), ()):
            if path.startswith(queue.prefix):
                return queue
        return None
