"""HTTP listeners that let running requests finish when they stop."""

import asyncio

import sanic

from sesamejunction.border import httpclient

POLL_INTERVAL_S = 0.02
# A caller may have sent a request on an idle connection just before it read
# "Connection: close"; after this wait such requests have arrived.
IDLE_GRACE_S = 0.25


class Listener:
    """Serves an application on a port; owns the sockets."""

    def __init__(self, app: sanic.Sanic, host: str, port: int):
        self._app = app
        self._host = host
        self._port = port
        self._server = None

    async def __aenter__(self):
        # A later incarnation in the same process registers the same name
        # again.
        sanic.Sanic.unregister_app(self._app)
        self._server = await self._app.create_server(
            sock=httpclient.bind_listener(self._host, self._port),
            return_asyncio_server=True,
        )
        await self._server.startup()
        await self._server.start_serving()
        return self

    async def __aexit__(self, *_exc):
        await self.shut_down(0.0)

    async def shut_down(self, limit_s: float) -> int:
        """Accept no new connections, answer running requests, then close.

        Returns the number of connections that were aborted after ``limit_s``
        seconds.
        """
        if self._server is None:
            return 0
        server, self._server = self._server, None
        closed = server.close()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + limit_s
        if limit_s > 0:
            await asyncio.sleep(min(IDLE_GRACE_S, limit_s))
        while True:
            for connection in list(server.connections):
                connection.close_if_idle()
            if not server.connections or loop.time() >= deadline:
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        aborted = len(server.connections)
        for connection in list(server.connections):
            connection.abort()
        await closed
        return aborted
