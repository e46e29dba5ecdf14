"""Serves the metrics as text on the platform's metrics address."""

from aiohttp import web

from sesamejunction.border import controlhttp


class MetricsPage:
    """Serves the node's metrics.

    ``update_gauges`` is called before each rendering.
    """

    def __init__(self, metrics, update_gauges):
        self._metrics = metrics
        self._update_gauges = update_gauges

    def build_server(self, clients) -> web.Server:
        """Return the server; ``clients`` counts what connections hold."""
        return controlhttp.ControlServer(self.handle, clients)

    async def handle(self, _request: web.BaseRequest) -> web.Response:
        """Return the metrics as text."""
        self._update_gauges()
        return web.Response(text=self._metrics.render())
