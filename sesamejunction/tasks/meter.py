"""Actor that owns the node's metrics."""

import dataclasses

from sesamejunction.border import metrics
from sesamejunction.model import journaling
from sesamejunction.model import measuring
from sesamejunction.tasks import actor

# Label value for all undeclared services, so that callers cannot create an
# unlimited number of label values.
UNKNOWN_SERVICE = '_unknown'


class Meter(actor.Actor):
    """Counts events reported by other actors and renders the metrics."""

    name = 'meter'

    def __init__(self, collector: metrics.Metrics | None = None):
        super().__init__()
        self._metrics = collector or metrics.Metrics()
        self._services = frozenset()

    async def handle(self, message):
        """Handle one message."""
        match message:
            case journaling.StateChanged(state=current):
                self._services = frozenset(current.services)
            case measuring.RequestTallies(tallies=tallies):
                for tally in tallies:
                    if tally.service not in self._services:
                        tally = dataclasses.replace(
                            tally, service=UNKNOWN_SERVICE
                        )
                    self._metrics.count_requests(tally)
            case measuring.LeaseLost():
                self._metrics.count_lost_lease()
            case measuring.GetMetrics(sample=sample):
                self._metrics.set_gauges(sample)
                return self._metrics.render()
