"""Sanic middleware that counts requests and ends keep-alive in a stop."""

import asyncio
import bisect
import dataclasses

from sesamejunction.border import forwardhttp
from sesamejunction.model import measuring

FLUSH_INTERVAL_S = 0.25


@dataclasses.dataclass(slots=True)
class PendingCounts:
    """Counts that have not been sent to the meter yet.

    ``counts`` has one entry for each bound in LATENCY_BOUNDS_S; ``sum_s`` is
    the sum of the latencies.
    """

    counts: list[int] = dataclasses.field(
        default_factory=lambda: [0] * len(measuring.LATENCY_BOUNDS_S)
    )
    sum_s: float = 0.0


class CallerMiddleware:
    """Counts requests by latency, and ends keep-alive in a planned stop.

    While ``stopping`` is set, connections close after their next answer.
    ``meter`` is the meter task of the current incarnation, None between
    incarnations; ``clock`` returns seconds.
    """

    def __init__(self, meter, clock):
        self._meter = meter
        self._clock = clock
        self._pending = {}
        self.stopping = False

    def attach(self, app) -> None:
        """Register the middleware with an application."""
        app.register_middleware(self._on_request, 'request')
        app.register_middleware(self._on_response, 'response')

    def set_meter(self, meter) -> None:
        """Flush to the old meter and set the new one, which may be None."""
        self.flush()
        self._meter = meter
        if self._pending:
            self.flush()

    async def _on_request(self, request) -> None:
        request.ctx.started = self._clock()

    async def _on_response(self, request, answer) -> None:
        if self.stopping and request.stream is not None:
            request.stream.keep_alive = False
        started = getattr(request.ctx, 'started', None)
        if started is None:
            return
        self.count_request(
            request.path.lstrip('/').partition('/')[0],
            'forwarded'
            if forwardhttp.PEER_TAG in request.headers
            else 'entry',
            answer.headers.get(forwardhttp.OUTCOME, 'answered'),
            self._clock() - started,
        )

    def count_request(self, service, hop, outcome, latency_s) -> None:
        """Count a request; counts are flushed within FLUSH_INTERVAL_S."""
        if not self._pending:
            asyncio.get_running_loop().call_later(FLUSH_INTERVAL_S, self.flush)
        key = (service, hop, outcome)
        pending = self._pending.get(key)
        if pending is None:
            pending = self._pending[key] = PendingCounts()
        bounds = measuring.LATENCY_BOUNDS_S
        pending.counts[bisect.bisect_left(bounds, latency_s)] += 1
        pending.sum_s += latency_s

    def flush(self) -> None:
        """Send the pending counts to the meter; keep them without a meter."""
        if self._meter is None:
            return
        tallies = tuple(
            measuring.RequestTally(
                *key, tuple(pending_counts.counts), pending_counts.sum_s
            )
            for key, pending_counts in self._pending.items()
        )
        self._pending.clear()
        self._meter.tell(measuring.RequestTallies(tallies))
