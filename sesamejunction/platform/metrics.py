"""Serves the metrics as text on the platform's metrics address."""

from aiohttp import web


class MetricsPage:
    """Serves the node's metrics; ``sample`` updates the gauges first."""

    def __init__(self, metrics, sample):
        self._metrics = metrics
        self._sample = sample

    def build_server(self) -> web.Server:
        """Return the aiohttp server."""
        return web.Server(self.handle, access_log=None)

    async def handle(self, _request: web.BaseRequest) -> web.Response:
        """Return the metrics as text."""
        self._sample()
        return web.Response(text=self._metrics.render())
