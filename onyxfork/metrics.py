"""OpenTelemetry metrics of a process, exported in the Prometheus format.

Histograms are labelled with the organisation and the class of job. Messages are counted by
direction, peer, kind and whether they were useful, that is carried a task or the result of one
that ran.
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
    """Metric instruments of one process.

    Parameters
    ----------
    role, node, zone : str

    Attributes
    ----------
    messages : collections.Counter
        Messages sent and received, by (direction, peer role, kind, useful).
    bytes : collections.Counter
        Bytes of frames sent and received, by (direction, peer role).
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
        """Return an exporter that is registered with this process's registry only."""
        reader = PrometheusMetricReader(disable_target_info=False)
        REGISTRY.unregister(reader._collector)
        self.registry.register(reader._collector)
        return reader

    def observe_messages(self, _):
        """Yield the counts of messages sent and received."""
        for (direction, role, kind, useful), count in self.messages.items():
            labels = {"direction": direction, "peer": role, "kind": kind, "useful": useful}
            yield Observation(count, labels)

    def observe_bytes(self, _):
        """Yield the counts of bytes sent and received."""
        for (direction, role), count in self.bytes.items():
            yield Observation(count, {"direction": direction, "peer": role})

    def make_message_counter(self, peer_role):
        """Return the `counter` for a connection to a peer of the given role."""
        messages, byte_counts = self.messages, self.bytes

        def count(direction, item, frame_bytes):
            kind = type(item).__name__
            messages[direction, peer_role, kind, is_useful(item)] += 1
            byte_counts[direction, peer_role] += frame_bytes

        return count

    def count_wasted_messages(self):
        """Return the number of messages sent, other than to control, that were not useful."""
        return sum(
            count
            for (direction, role, _, useful), count in self.messages.items()
            if direction == "sent" and role not in CONTROL_ROLES and not useful
        )

    def gauge(self, name, unit, description, read_value):
        """Register a gauge whose value is read with `read_value` when scraped."""
        self.meter.create_observable_gauge(
            name, [lambda _: [Observation(read_value())]], unit, description
        )

    def render(self):
        """Return the body and the content type of the response to a scrape."""
        return generate_latest(self.registry), CONTENT_TYPE_LATEST


def is_useful(item):
    """Return whether a message carries a task or the result of one that ran."""
    kind = type(item).__name__
    if kind == "Results":
        return any(result.outcome != "not_run" for result in item.results)
    return kind in USEFUL_MESSAGES
