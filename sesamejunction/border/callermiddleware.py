"""Counts requests and announces a planned stop on caller connections."""

import asyncio
import bisect
import dataclasses

from sesamejunction.border import forwardhttp
from sesamejunction.model import measuring

FLUSH_S = 0.25


@dataclasses.dataclass(slots=True)
class Pending:
    """Counts that the meter has not been told yet."""

    counts: list[int] = dataclasses.field(
        default_factory=lambda: [0] * len(measuring.LATENCY_BOUNDS_S)
    )
    sum_s: float = 0.0


class CallerMiddleware:
    """Watches the application for callers; ``stopping`` closes politely.

    ``meter`` is the task of the incarnation that serves, None without one;
    ``clock`` counts seconds.
    """

    def __init__(self, meter, clock):
        self._meter = meter
        self._clock = clock
        self._pending = {}
        self.stopping = False

    def attach(self, app) -> None:
        """Add the watch to an application."""
        app.register_middleware(self._start, 'request')
        app.register_middleware(self._end, 'response')

    def set_meter(self, meter) -> None:
        """Tell another meter from now on; None between two incarnations."""
        self.flush()
        self._meter = meter
        if self._pending:
            self.flush()

    async def _start(self, request) -> None:
        request.ctx.started = self._clock()

    async def _end(self, request, answer) -> None:
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
        """Count a request; the meter is told within FLUSH_S seconds."""
        if not self._pending:
            asyncio.get_running_loop().call_later(FLUSH_S, self.flush)
        key = (service, hop, outcome)
        pending = self._pending.get(key)
        if pending is None:
            pending = self._pending[key] = Pending()
        bounds = measuring.LATENCY_BOUNDS_S
        pending.counts[bisect.bisect_left(bounds, latency_s)] += 1
        pending.sum_s += latency_s

    def flush(self) -> None:
        """Tell the meter what was counted; without one, keep the counts."""
        if self._meter is None:
            return
        tallies = tuple(
            measuring.RequestTally(*key, tuple(one.counts), one.sum_s)
            for key, one in self._pending.items()
        )
        self._pending.clear()
        self._meter.tell(measuring.RequestTallies(tallies))
