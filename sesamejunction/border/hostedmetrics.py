"""Metrics of a hosted node and their text format."""

import bisect

import aioprometheus
from aioprometheus import histogram
from aioprometheus import renderer

# Upper bounds in seconds.
TIME_BOUNDS_S = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.4,
    0.8,
    1.6,
    3.2,
    float('inf'),
)


class BufferedCounter:
    """Counter that buffers its increments until ``flush``.

    aioprometheus encodes the labels as JSON twice for each increment, which
    takes 6 us.
    """

    def __init__(self, collector: aioprometheus.Counter):
        self._collector = collector
        self._counts = {}

    def inc(self, labels: dict[str, str]) -> None:
        """Increment the counter by one."""
        self.add(labels, 1)

    def add(self, labels: dict[str, str], count: int) -> None:
        """Increase the counter."""
        key = tuple(labels.items())
        self._counts[key] = self._counts.get(key, 0) + count

    def flush(self) -> None:
        """Add the buffered counts to the collector."""
        counts, self._counts = self._counts, {}
        for key, count in counts.items():
            self._collector.add(dict(key), count)


class HistogramCounts:
    """Observations of one label set: counts by bucket, and sum in seconds."""

    __slots__ = ('counts', 'sum_s')

    def __init__(self):
        self.counts = [0] * len(TIME_BOUNDS_S)
        self.sum_s = 0.0


class BufferedHistogram:
    """Histogram that buffers its observations until ``flush``."""

    def __init__(self, collector: aioprometheus.Histogram):
        self._collector = collector
        self._tallies = {}

    def observe(self, labels: dict[str, str], seconds: float) -> None:
        """Record one duration."""
        key = tuple(labels.items())
        label_counts = self._tallies.get(key)
        if label_counts is None:
            label_counts = self._tallies[key] = HistogramCounts()
        label_counts.counts[bisect.bisect_left(TIME_BOUNDS_S, seconds)] += 1
        label_counts.sum_s += seconds

    def flush(self) -> None:
        """Add the buffered observations to the collector."""
        tallies, self._tallies = self._tallies, {}
        for key, tally in tallies.items():
            self._add(dict(key), tally)

    def _add(self, labels, tally: HistogramCounts) -> None:
        try:
            current = self._collector.get_value(labels)
        except KeyError:
            current = histogram.Histogram(*TIME_BOUNDS_S)
            self._collector.set_value(labels, current)
        # The library accepts one value at a time, so the cumulative bucket
        # counts are updated directly.
        cumulative_count = 0
        for bound, added in zip(TIME_BOUNDS_S, tally.counts, strict=True):
            cumulative_count += added
            current.buckets[bound] += cumulative_count
        current.observations += cumulative_count
        current.sum += tally.sum_s


class HostedMetrics:
    """Counters, gauges and histograms of a hosted node."""

    def __init__(self):
        self._registry = aioprometheus.Registry()
        self._buffered = []
        self.requests = self._add_counts(
            'requests_total',
            'Requests that began here, by outcome and reason',
        )
        self.target_requests = self._add_counts(
            'hosted_requests_total',
            'Requests for the target of this node, by outcome and refuser',
        )
        self.retries = self._add_counts(
            'retries_total',
            'Further attempts wanted for requests that began here',
        )
        self.log_calls = self._add_counts(
            'log_calls_total',
            "Calls to the platform's log by outcome",
        )
        self.reads_dropped = self._add_counts(
            'log_reads_dropped_total',
            'Reads of a topic that went silent while a peer was ahead',
        )
        self.heartbeats_refused = self._add_counts(
            'heartbeats_refused_total',
            'Heartbeats that named no usable target, by the odd field',
        )
        self.clients_refused = self._add_counts(
            'clients_refused_total',
            'Clients that were refused or closed, by reason, port, address',
        )
        self.declarations_unreadable = self._add_counts(
            'declarations_unreadable_total',
            'Parts of configurations that could not be read, by part',
        )
        self.choices = self._add_counts(
            'target_choices_total',
            'Targets chosen by expected finish, by what was known of them',
        )
        self.loads_unreadable = self._add_counts(
            'target_loads_unreadable_total',
            'Load headers of the target that could not be read',
        )
        self.key_rows_granted = self._add_counts(
            'key_rows_granted_total',
            'Key ranges granted to the target after a change',
        )
        self.work_refusals = self._add_counts(
            'work_refusals_total',
            'Refused requests for the target, by rank, standing and reason',
        )
        self.answers_refused = self._add_counts(
            'answers_refused_total',
            'Requests not run since their answer could not leave, by reason',
        )
        self.answers_dropped = self._add_counts(
            'answers_dropped_total',
            'Large answers that their requester did not fetch, by reason',
        )
        self.era_events = self._add_counts(
            'store_era_events_total',
            'New eras of the store, late and unreadable ones, by event',
        )
        self.facts_restored = self._add_counts(
            'facts_restored_total',
            'Records written again after the store came back',
        )
        self.task_ticks = self._add_counts(
            'task_ticks_total', 'Periodic work of a task, by task'
        )
        self.task_messages = self._add_counts(
            'task_messages_total', 'Messages that a task handled, by task'
        )
        self._times = {
            name: self._add_times(name, help_text)
            for name, help_text in (
                ('request_seconds', 'Time to the reply, by outcome'),
                ('queue_seconds', 'Wait for a place at the target'),
                ('target_seconds', 'Time at the target'),
                ('beyond_expected_seconds', 'Time there beyond expectation'),
                ('hop_seconds', 'Time of requests sent to another node'),
                ('connect_seconds', 'Time to connect to a node, by outcome'),
                ('body_seconds', 'Time until a large body came, by outcome'),
                ('start_slack_seconds', 'Time to the objective at the start'),
                ('loop_late_seconds', 'Lateness of the event loop'),
                (
                    'task_longest_seconds',
                    'Longest message or tick of a task in each second',
                ),
                (
                    'answer_line_seconds',
                    'Time of large answers until their last part may leave',
                ),
            )
        }
        self._gauges = {
            name: self._add(aioprometheus.Gauge, name, help_text)
            for name, help_text in (
                ('target_running', 'Requests at the target'),
                ('target_waiting', 'Requests waiting for the target'),
                ('target_limit', 'Requests that the target may get at once'),
                ('target_abandoned', 'Abandoned requests that may run there'),
                ('target_slowness', 'Times slower than usual, as reported'),
                ('target_cold_rate', 'Requests a second while it is cold'),
                ('target_sent_last_second', 'Requests sent to the target'),
                ('members_silent', 'Members not heard of lately'),
                ('declared_version', 'Version of the declarations'),
                ('declared_age_seconds', 'Age of the declarations copy'),
                ('plan_age_seconds', 'Age of the copy of the key plans'),
                ('store_era', 'Latest known era of the store'),
                ('hold_margin_seconds', 'Time left of the latest hold'),
                ('link_sent_bytes', 'Sent to other nodes since the start'),
                ('link_received_bytes', 'Received from other nodes'),
                ('answer_held_bytes', 'Large answers expected or held'),
                ('answer_left_bytes', 'Of these, still to leave'),
                ('answers_open', 'Large answers that are leaving'),
                ('clients_connected', 'Connections of clients'),
                ('clients_held_bytes', 'Memory held for clients'),
                ('clients_paused', 'Clients that are not read for now'),
            )
        }

    def observe(self, name: str, seconds: float, **labels) -> None:
        """Record one duration in the histogram of that name."""
        self._times[name].observe(labels, seconds)

    def set(self, name: str, value: float) -> None:
        """Set the gauge of that name."""
        self._gauges[name].set({}, value)

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        for collector_buffer in self._buffered:
            collector_buffer.flush()
        data, _ = renderer.render(self._registry, ['text/plain'])
        return data.decode()

    def _add_counts(self, name, help_text) -> BufferedCounter:
        buffered = BufferedCounter(
            self._add(aioprometheus.Counter, name, help_text)
        )
        self._buffered.append(buffered)
        return buffered

    def _add_times(self, name, help_text) -> BufferedHistogram:
        buffered = BufferedHistogram(
            self._add(
                aioprometheus.Histogram, name, help_text, buckets=TIME_BOUNDS_S
            )
        )
        self._buffered.append(buffered)
        return buffered

    def _add(self, kind, name, help_text, **options):
        return kind(
            f'sesamejunction_{name}',
            help_text,
            registry=self._registry,
            **options,
        )
