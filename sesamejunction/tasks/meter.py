"""Task that owns the node's metrics."""

import dataclasses

from sesamejunction.border import metrics
from sesamejunction.model import journaling
from sesamejunction.model import measuring
from sesamejunction.tasks import actor

# Stands for services that are not declared, so that callers cannot make
# up label values without limit.
UNKNOWN_SERVICE = '_unknown'


class Meter(actor.Actor):
    """Counts what other tasks tell it and renders the metrics."""

    name = 'meter'

    def __init__(self, kept: metrics.Metrics | None = None):
        super().__init__()
        self._metrics = kept or metrics.Metrics()
        self._services = frozenset()

    async def handle(self, message):
        """Handle one message."""
        match message:
            case journaling.StateChanged(state=current):
                self._services = frozenset(current.services)
            case measuring.RequestTallies(tallies=tallies):
                for one in tallies:
                    if one.service not in self._services:
                        one = dataclasses.replace(one, service=UNKNOWN_SERVICE)
                    self._metrics.count_requests(one)
            case measuring.LeaseLost():
                self._metrics.count_lost_lease()
            case measuring.GetMetrics(sample=sample):
                self._metrics.set_gauges(sample)
                return self._metrics.render()
