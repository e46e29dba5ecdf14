"""Collectors of a hosted node and their text form."""

import aioprometheus
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


class HostedMetrics:
    """Counters, gauges and histograms, labelled by outcome and reason."""

    def __init__(self):
        self._registry = aioprometheus.Registry()
        self.requests = self._add(
            aioprometheus.Counter,
            'requests_total',
            'Requests that began here, by outcome and reason',
        )
        self.hosted = self._add(
            aioprometheus.Counter,
            'hosted_requests_total',
            'Requests for the target of this node, by outcome',
        )
        self.log_calls = self._add(
            aioprometheus.Counter,
            'log_calls_total',
            "Calls to the platform's log by outcome",
        )
        self.reads_dropped = self._add(
            aioprometheus.Counter,
            'log_reads_dropped_total',
            'Reads of a topic that went silent while a peer was ahead',
        )
        self.key_moves = self._add(
            aioprometheus.Counter,
            'key_rows_granted_total',
            'Key ranges granted to the target after a change',
        )
        self._times = {
            name: self._add(
                aioprometheus.Histogram, name, text, buckets=TIME_BOUNDS_S
            )
            for name, text in (
                ('request_seconds', 'Time to the reply, by outcome'),
                ('queue_seconds', 'Wait for a place at the target'),
                ('target_seconds', 'Time at the target'),
                ('hop_seconds', 'Time of requests sent to another node'),
                ('connect_seconds', 'Time to connect to a node, by outcome'),
                ('body_seconds', 'Time until a large body came, by outcome'),
                ('loop_late_seconds', 'Lateness of the event loop'),
            )
        }
        self._gauges = {
            name: self._add(aioprometheus.Gauge, name, text)
            for name, text in (
                ('target_running', 'Requests at the target'),
                ('target_waiting', 'Requests waiting for the target'),
                ('members_silent', 'Members not heard of lately'),
                ('declared_version', 'Version of the declarations'),
                ('declared_age_seconds', 'Age of the declarations copy'),
                ('plan_age_seconds', 'Age of the copy of the key plans'),
                ('hold_margin_seconds', 'Time left of the latest hold'),
                ('link_sent_bytes', 'Sent to other nodes since the start'),
                ('link_received_bytes', 'Received from other nodes'),
            )
        }

    def observe(self, name: str, seconds: float, **labels) -> None:
        """Count one time."""
        self._times[name].observe(labels, seconds)

    def set(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauges[name].set({}, value)

    def render(self) -> str:
        """Return all metrics as text."""
        data, _ = renderer.render(self._registry, ['text/plain'])
        return data.decode()

    def _add(self, kind, name, text, **options):
        return kind(
            f'sesamejunction_{name}', text, registry=self._registry, **options
        )
