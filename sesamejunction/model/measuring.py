"""Messages of the meter task."""

import dataclasses

from sesamejunction.model import operating


# Upper bounds in seconds; 0.012 is the bound of docs/design.md section 1.7.
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


@dataclasses.dataclass(frozen=True, slots=True)
class RequestTally:
    """Requests with the same labels; latency ends at the answer's head.

    ``hop`` is entry for callers' requests and forwarded for peers';
    ``outcome`` is answered, not-run or unknown. ``counts`` holds the number
    of requests in each interval of LATENCY_BOUNDS_S.
    """

    service: str
    hop: str
    outcome: str
    counts: tuple[int, ...]
    sum_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RequestTallies:
    """Requests that were answered since the last message.

    One message for each request would cost 35 us of processor time.
    """

    tallies: tuple[RequestTally, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseLost:
    """The node's lease ended although it still ran."""


@dataclasses.dataclass(frozen=True, slots=True)
class MetricsSample:
    """Values read from the other tasks at the time of a scrape."""

    status: operating.NodeStatus
    tasks: tuple[operating.TaskDump, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class GetMetrics:
    """Asks for the metrics as text, with these sampled values."""

    sample: MetricsSample


@dataclasses.dataclass(frozen=True, slots=True)
class RenderedMetrics:
    """Metrics in the text format of Prometheus."""

    data: bytes
    content_type: str
