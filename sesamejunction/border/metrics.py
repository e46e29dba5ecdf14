"""Metrics of a node and their text format."""

import dataclasses

import aioprometheus
from aioprometheus import histogram
from aioprometheus import renderer

from sesamejunction.model import measuring


class Metrics:
    """Metrics of one node.

    Each node has a registry of its own, since two nodes may share a process.
    """

    def __init__(self):
        self._registry = aioprometheus.Registry()
        self._requests = self._add(
            aioprometheus.Counter,
            'requests_total',
            'Requests by service, hop and outcome',
        )
        self._latency = self._add(
            aioprometheus.Histogram,
            'request_seconds',
            'Time from a request to the head of its answer',
            buckets=measuring.LATENCY_BOUNDS_S,
        )
        self._lease_lost = self._add(
            aioprometheus.Counter, 'lease_lost_total', 'Leases lost'
        )
        self._offset = self._add_gauge(
            'log_offset', 'Next log offset expected'
        )
        self._log_age = self._add_gauge(
            'log_contact_age_seconds',
            'Seconds since the last contact with the log',
        )
        self._members = self._add_gauge(
            'members', 'Members in the folded state'
        )
        self._inbox = self._add_gauge(
            'inbox_messages', 'Messages waiting by task'
        )
        self._dropped = self._add(
            aioprometheus.Counter,
            'dropped_messages_total',
            'Messages dropped because an inbox was full, by task',
        )
        self._values = self._add_gauge(
            'task_value', 'Numbers in the state dump of each task'
        )
        self._lease_lost.set({}, 0)

    def count_requests(self, tally: measuring.RequestTally) -> None:
        """Count requests and their latencies."""
        labels = {'service': tally.service, 'hop': tally.hop}
        count = sum(tally.counts)
        self._requests.add({**labels, 'outcome': tally.outcome}, count)
        try:
            latency = self._latency.get_value(labels)
        except KeyError:
            latency = histogram.Histogram(*measuring.LATENCY_BOUNDS_S)
            self._latency.set_value(labels, latency)
        # The library accepts one value at a time, so the cumulative bucket
        # counts are updated directly.
        cumulative_count = 0
        for bound, added in zip(
            measuring.LATENCY_BOUNDS_S, tally.counts, strict=True
        ):
            cumulative_count += added
            latency.buckets[bound] += cumulative_count
        latency.observations += count
        latency.sum += tally.sum_s

    def count_lost_lease(self) -> None:
        """Count a lost lease."""
        self._lease_lost.inc({})

    def set_gauges(self, sample: measuring.MetricsSample) -> None:
        """Set the gauges from a sample."""
        status = sample.status
        self._offset.set({}, status.offset)
        self._members.set({}, status.members)
        if status.log_age_s is not None:
            self._log_age.set({}, status.log_age_s)
        for task_sample in sample.tasks:
            labels = {'task': task_sample.task}
            self._inbox.set(labels, task_sample.queued)
            self._dropped.set(labels, task_sample.dropped)
            for field, value in list_numeric_fields(task_sample.detail):
                self._values.set(
                    {'task': task_sample.task, 'field': field}, value
                )

    def render(self) -> measuring.RenderedMetrics:
        """Return all metrics in the Prometheus text format."""
        data, headers = renderer.render(self._registry, ['text/plain'])
        return measuring.RenderedMetrics(data, headers['Content-Type'])

    def _add_gauge(self, name, help_text):
        return self._add(aioprometheus.Gauge, name, help_text)

    def _add(self, kind, name, help_text, **options):
        return kind(
            f'sesamejunction_{name}',
            help_text,
            registry=self._registry,
            **options,
        )


def list_numeric_fields(detail) -> list[tuple[str, float]]:
    """Return name and value of the numeric fields of a data class."""
    if not dataclasses.is_dataclass(detail):
        return []
    numbers = []
    for field in dataclasses.fields(detail):
        value = getattr(detail, field.name)
        if isinstance(value, int | float):
            numbers.append((field.name, float(value)))
    return numbers
