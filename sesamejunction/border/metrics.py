"""Collectors of a node's metrics and their text form."""

import dataclasses

import aioprometheus
from aioprometheus import histogram
from aioprometheus import renderer

from sesamejunction.model import measuring


class Metrics:
    """A registry of its own, so that two nodes may share a process."""

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
            found = self._latency.get_value(labels)
        except KeyError:
            found = histogram.Histogram(*measuring.LATENCY_BOUNDS_S)
            self._latency.set_value(labels, found)
        # The library takes one value at a time; its counts are cumulative.
        below = 0
        for bound, added in zip(
            measuring.LATENCY_BOUNDS_S, tally.counts, strict=True
        ):
            below += added
            found.buckets[bound] += below
        found.observations += count
        found.sum += tally.sum_s

    def count_lost_lease(self) -> None:
        """Count a lost lease."""
        self._lease_lost.inc({})

    def set_gauges(self, sample: measuring.MetricsSample) -> None:
        """Set the gauges."""
        status = sample.status
        self._offset.set({}, status.offset)
        self._members.set({}, status.members)
        if status.log_age_s is not None:
            self._log_age.set({}, status.log_age_s)
        for one in sample.tasks:
            labels = {'task': one.task}
            self._inbox.set(labels, one.queued)
            self._dropped.set(labels, one.dropped)
            for field, value in list_numbers(one.detail):
                self._values.set({'task': one.task, 'field': field}, value)

    def render(self) -> measuring.RenderedMetrics:
        """Return all metrics as text."""
        data, headers = renderer.render(self._registry, ['text/plain'])
        return measuring.RenderedMetrics(data, headers['Content-Type'])

    def _add_gauge(self, name, doc):
        return self._add(aioprometheus.Gauge, name, doc)

    def _add(self, kind, name, doc, **options):
        return kind(
            f'sesamejunction_{name}', doc, registry=self._registry, **options
        )


def list_numbers(detail) -> list[tuple[str, float]]:
    """Return the numeric fields of a data class, by name."""
    if not dataclasses.is_dataclass(detail):
        return []
    found = []
    for field in dataclasses.fields(detail):
        value = getattr(detail, field.name)
        if isinstance(value, int | float):
            found.append((field.name, float(value)))
    return found
