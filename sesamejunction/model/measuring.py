"""Messages of the meter task."""

from sesamejunction.model import operating
from sesamejunction.model import valueclass


# Upper bounds of the histogram buckets, in seconds. 0.012 is the latency
# bound of docs/design.md section 1.7.
LATENCY_BOUNDS_S = (
    0.001,
    0.002,
    0.004,
    0.008,
    0.012,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    float('inf'),
)


@valueclass.define
class RequestTally:
    """Latency histogram of the requests with the same labels.

    Latency is the time to the head of the answer. ``hop`` is entry for
    requests of callers and forwarded for those of peers. ``outcome`` is
    answered, not-run or unknown. ``counts`` has the number of requests in
    each bucket of LATENCY_BOUNDS_S, ``sum_s`` their total latency.
    """

    service: str
    hop: str
    outcome: str
    counts: tuple[int, ...]
    sum_s: float


@valueclass.define
class RequestTallies:
    """Reports the requests completed since the previous message.

    They are batched, since a message per request would cost 35 us of CPU
    time.
    """

    tallies: tuple[RequestTally, ...]


@valueclass.define
class LeaseLost:
    """The node lost its lease while it was running."""


@valueclass.define
class MetricsSample:
    """Values collected from other tasks for one scrape."""

    status: operating.NodeStatus
    tasks: tuple[operating.TaskDump, ...]


@valueclass.define
class GetMetrics:
    """Requests the metrics as text, including the sampled values."""

    sample: MetricsSample


@valueclass.define
class RenderedMetrics:
    """Metrics in the Prometheus text format."""

    data: bytes
    content_type: str
