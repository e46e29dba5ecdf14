"""Reads the values of a node that its metrics show."""

from sesamejunction.model import measuring
from sesamejunction.model import operating
from sesamejunction.queries import dumps


async def read_metrics(
    meter, status: operating.NodeStatus, tasks
) -> measuring.RenderedMetrics:
    """Return the metrics after a sample of every task's numbers."""
    sample = measuring.MetricsSample(status, await dumps.dump_tasks(tasks))
    return await meter.ask(measuring.GetMetrics(sample))
