"""Metrics of a process, by OpenTelemetry, served for scraping.

Histograms are kept for each organisation and class of job; messages are counted by kind and by
whether they carried a task that ran or its result.
"""

from collections import Counter

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from opentelemetry.sdk.resources import Resource
from prometheus_client import CONTENT_TYPE_LATEST, REGISTRY, CollectorRegistry, generate_latest

__all__ = ["Metrics", "USEFUL_MESSAGES", "CONTROL_ROLES"]

BUCKETS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 300, 500, 750, 1000, 2000, 5000, 10000, 30000)
USEFUL_MESSAGES = {"Start", "Results", "Submit", "Answer"}
CONTROL_ROLES = {"control"}


class Metrics:
    """Instruments of one process.

    Parameters
    ----------
    role, node, zone : str

    Attributes
    ----------
    messages : collections.Counter
        Messages sent by (peer role, kind).
    wasted : int
        Messages sent or received that carried neither a task that ran nor a result, control
        traffic aside.
    """

    def __init__(self, role, node, zone=""):
        self.registry = CollectorRegistry()
        self.messages = Counter()
        self.bytes = Counter()
        resource = Resource({"service.name": f"onyxfork-{role}", "node": node, "zone": zone})
        buckets = ExplicitBucketHistogramAggregation(BUCKETS_MS)
        self.provider = MeterProvider(
            metric_readers=[self.make_reader()],
            resource=resource,
            shutdown_on_exit=False,
            views=[View(instrument_name="*_ms", aggregation=buckets)],
        )
        meter = self.provider.get_meter("onyxfork")
        self.response_ms = meter.create_histogram("response_ms", "ms", "Response time of jobs")
        self.queue_ms = meter.create_histogram("queue_ms", "ms", "Time a task waited")
        self.run_ms = meter.create_histogram("run_ms", "ms", "Run time of tasks")
        self.answers = meter.create_counter("answers", "1", "Answers by state and code")
        self.tasks = meter.create_counter("tasks", "1", "Ended tasks by outcome")
        self.meter = meter
        meter.create_observable_counter("messages", [self.observe_messages], "1", "By kind")
        meter.create_observable_counter("message_bytes", [self.observe_bytes], "By", "By role")

    def make_reader(self):
        """Return the reader that the exporter's library scrapes through this registry."""
        reader = PrometheusMetricReader(disable_target_info=False)
        REGISTRY.unregister(reader._collector)
        self.registry.register(reader._collector)
        return reader

    def observe_messages(self, _):
        """Yield the counts of messages sent."""
        for (direction, role, kind, useful), count in self.messages.items():
            labels = {"direction": direction, "peer": role, "kind": kind, "useful": useful}
            yield Observation(count, labels)

    def observe_bytes(self, _):
        """Yield the bytes sent and received."""
        for (direction, role), count in self.bytes.items():
            yield Observation(count, {"direction": direction, "peer": role})

    def make_message_counter(self, peer_role):
        """Return a function that counts the messages of a connection."""
        messages, sizes = self.messages, self.bytes

        def count(direction, item, frame_bytes):
            kind = type(item).__name__
            messages[direction, peer_role, kind, is_useful(item)] += 1
            sizes[direction, peer_role] += frame_bytes

        return count

    def count_wasted_messages(self):
        """Return messages sent between entries and agents that carried no task or result."""
        return sum(
            count
            for (direction, role, _, useful), count in self.messages.items()
            if direction == "sent" and role not in CONTROL_ROLES and not useful
        )

    def gauge(self, name, unit, description, read):
        """Register a gauge that calls `read` when scraped."""
        self.meter.create_observable_gauge(
            name, [lambda _: [Observation(read())]], unit, description
        )

    def render(self):
        """Return the text for a scrape and its content type."""
        return generate_latest(self.registry), CONTENT_TYPE_LATEST


def is_useful(item):
    """Return whether a message carried a task or the result of one that ran."""
    kind = type(item).__name__
    if kind == "Results":
        return any(result.outcome != "not_run" for result in item.results)
    return kind in USEFUL_MESSAGES
