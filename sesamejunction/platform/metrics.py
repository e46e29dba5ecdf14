"""Serves the metrics as text on the platform's metrics address."""

from aiohttp import web


class MetricsPage:
    """Renders counters and gauges of the node."""

    def __init__(self, audit, scheduler):
        self._audit = audit
        self._scheduler = scheduler

    def build_server(self) -> web.Server:
        """Return the aiohttp server."""
        return web.Server(self.handle, access_log=None)

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Return the metrics."""
        lines = [
            f'requests_total{{outcome="{kind}"}} {count}'
            for kind, count in sorted(self._audit.outcomes.items())
        ]
        return web.Response(text='\n'.join(lines) + '\n')
