"""Serves the metrics as text on the platform's metrics address."""

from aiohttp import web


class MetricsPage:
    """Serves the node's metrics.

    ``update_gauges`` is called before each rendering.
    """

    def __init__(self, metrics, update_gauges):
        self._metrics = metrics
        self._update_gauges = update_gauges

    def build_server(self) -> web.Server:
        """Return the aiohttp server."""
        return web.Server(self.handle, access_log=None)

    async def handle(self, _request: web.BaseRequest) -> web.Response:
        """Return the metrics as text."""
        self._update_gauges()
        return web.Response(text=self._metrics.render())
