"""Renders the metrics of a node."""

from sesamejunction.model import measuring
from sesamejunction.model import operating
from sesamejunction.queries import dumps


async def read_metrics(
    meter, status: operating.NodeStatus, tasks
) -> measuring.RenderedMetrics:
    """Return the metrics, including values sampled from all tasks."""
    sample = measuring.MetricsSample(status, await dumps.dump_tasks(tasks))
    return await meter.ask(measuring.GetMetrics(sample))
