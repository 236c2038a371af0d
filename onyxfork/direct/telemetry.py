"""Counters, gauges and latency histograms of one process.

Recording a value costs one dictionary access. The Prometheus library is imported on the first
scrape, so that a process that is never scraped does not load it.
"""

from bisect import bisect_left
from collections import Counter

__all__ = ["Telemetry", "BUCKETS_MS"]

BUCKETS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 300, 500, 750, 1000, 2000, 3000, 5000, 10000)


class Telemetry:
    """Metrics of one process.

    Parameters
    ----------
    role, node, zone : str
        Values of the labels that every series has.
    """

    def __init__(self, role, node, zone):
        self.labels = {"role": role, "node": node, "zone": zone}
        self.counters = Counter()
        self.buckets = {}
        self.sums = Counter()
        self.gauges = {}

    def count(self, name, amount=1, **labels):
        """Add to a counter."""
        self.counters[name, tuple(labels.items())] += amount

    def observe(self, name, value_ms, **labels):
        """Add a value to a histogram of milliseconds."""
        key = name, tuple(labels.items())
        bucket_counts = self.buckets.get(key)
        if bucket_counts is None:
            bucket_counts = self.buckets[key] = [0] * (len(BUCKETS_MS) + 1)
        bucket_counts[bisect_left(BUCKETS_MS, value_ms)] += 1
        self.sums[key] += value_ms

    def gauge(self, name, read, **labels):
        """Register a gauge whose value is returned by `read` on each scrape."""
        self.gauges[name, tuple(labels.items())] = read

    def make_message_counter(self, peer_role):
        """Return a function that counts the messages of a connection to a peer of a role.

        The bytes of a frame are counted for its first message.
        """
        labels = {}

        def count(direction, item, frame_bytes):
            key = direction, type(item)
            series = labels.get(key)
            if series is None:
                series = labels[key] = (
                    ("direction", direction),
                    ("peer", peer_role),
                    ("type", type(item).__name__),
                )
            self.counters["messages", series] += 1
            if frame_bytes:
                self.counters["message_bytes", series] += frame_bytes

        return count

    def collect(self):
        """Yield the metric families of a scrape."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        for (name, labels), value in sorted(self.counters.items()):
            names, values = self.label_columns(labels)
            family = CounterMetricFamily(f"onyxfork_{name}", name, labels=names)
            family.add_metric(values, value)
            yield family
        for (name, labels), bucket_counts in sorted(self.buckets.items()):
            names, values = self.label_columns(labels)
            family = HistogramMetricFamily(f"onyxfork_{name}", name, labels=names)
            family.add_metric(values, cumulative(bucket_counts), self.sums[name, labels])
            yield family
        for (name, labels), read in self.gauges.items():
            names, values = self.label_columns(labels)
            family = GaugeMetricFamily(f"onyxfork_{name}", name, labels=names)
            family.add_metric(values, read())
            yield family

    def label_columns(self, labels):
        """Return the names and the values of a series' labels, common ones included."""
        merged = {**self.labels, **dict(labels)}
        return list(merged), [str(value) for value in merged.values()]

    def render(self):
        """Return the response body of a scrape and its content type."""
        from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry), CONTENT_TYPE_LATEST


def cumulative(bucket_counts):
    """Return pairs of a bucket's upper bound and the cumulative count up to it."""
    bounds = [*map(str, BUCKETS_MS), "+Inf"]
    total, rows = 0, []
    for bound, bucket_count in zip(bounds, bucket_counts, strict=True):
        total += bucket_count
        rows.append((bound, total))
    return rows
