"""The operator's configuration (queues, services, limits) and the routing of requests to queues."""

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
    """A queue: jobs that share a route, a service and a latency objective.

    Parameters
    ----------
    name, host, prefix : str
        Requests to `host` whose path begins with `prefix` belong to the queue.
    service : str
        The service whose workers run the tasks.
    priority : int
        0 is the highest: when capacity is short, its jobs start first and others are refused.
    attempts : int
        Number of failed runs of a task at which the job fails.
    stretch : float
        Factor of the latency objective: it is `stretch` times the expected run time of the job's
        longest chain of steps, plus `objective_ms`.
    objective_ms : float
        Constant part of the latency objective.
    timeout_ms : float
        The operator's timeout; only validated, callers state their own in the request.
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
    """A kind of worker; without `rejects_overload` it starts tasks that exceed its capacity."""

    name: str
    rejects_overload: bool = True


@define(frozen=True, slots=True)
class RequestLimits:
    """Limits on the HTTP requests of callers."""

    header_bytes: int = 16384
    body_bytes: int = 262144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@define(frozen=True)
class Configuration:
    """One version of the configuration; a higher version replaces a lower one entirely."""

    version: int
    queues: list[Queue]
    services: list[Service] = field(factory=list)
    limits: RequestLimits = field(factory=RequestLimits)


def find_configuration_error(configuration):
    """Return a description of the first error in a configuration, or None.

    Parameters
    ----------
    configuration : Configuration

    Returns
    -------
    str or None
        For an error in a queue, the description names it.
    """
    services = {service.name for service in configuration.services}
    if len(services) < len(configuration.services):
        return "two services have the same name"
    routes, names = {}, set()
    for queue in configuration.queues:
        if queue.service not in services:
            return f"queue {queue.name}: unknown service {queue.service!r}"
        if queue.timeout_ms <= 0:
            return f"queue {queue.name}: timeout must be above 0, got {queue.timeout_ms:g} ms"
        if queue.name in names:
            return f"queue {queue.name}: the name is used twice"
        route = (queue.host, queue.prefix)
        if route in routes:
            return f"queue {queue.name}: same host and prefix as queue {routes[route]}"
        routes[route] = queue.name
        names.add(queue.name)
    return None


class QueueTable:
    """Find the queue of a request by its host and the longest matching prefix of its path.

    Parameters
    ----------
    queues : list of Queue
    """

    def __init__(self, queues):
        self.by_host = {}
        for queue in sorted(queues, key=lambda queue: -len(queue.prefix)):
            self.by_host.setdefault(queue.host.lower(), []).append(queue)

    def find(self, host, path):
        """Return the queue of a request, or None if no route matches."""
        for queue in self.by_host.get(host.lower(), ()):
            if path.startswith(queue.prefix):
                return queue
        return None
