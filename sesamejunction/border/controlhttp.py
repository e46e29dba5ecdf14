"""HTTP server for heartbeats, readiness and metrics, with limited clients."""

import asyncio

from aiohttp import web
from aiohttp import web_protocol

from sesamejunction.border import clients as counting
from sesamejunction.decisions import clientbudget

# A head of the target or of the platform takes under 1 KB. The library's own
# limits hold for each line alone, so their number was not limited.
MAX_HEAD_BYTES = 1 << 14
# A heartbeat has about 30 bytes for each range of keys.
MAX_REQUEST_BYTES = 1 << 20
# Memory for each byte of a head: a line of 4 bytes makes several objects.
HEAD_COST = 48
# A body is kept in parts and then copied.
BODY_COST = 2
# Time for one request from its first byte to its answer.
REQUEST_LIMIT_S = 10.0
# Time that a connection may be idle. The target's heartbeats come every second
# or so.
IDLE_LIMIT_S = 15.0
# After an answer, the rest of the request is read for this time.
LINGER_S = 1.0


class ControlProtocol(web_protocol.RequestHandler):
    """One connection; it is counted among the clients of the process."""

    def __init__(self, clients, *arguments, **options):
        super().__init__(*arguments, **options)
        self._clients = clients
        self._holder = None
        self._pending_bytes = 0
        self._counted_bytes = 0
        self._request_timer = None

    def connection_made(self, transport):
        """Count the connection."""
        super().connection_made(transport)
        self._holder = self._clients.enter(
            self, clientbudget.Kind.CONTROL, transport
        )

    def connection_lost(self, exc):
        """Release what was held for the connection."""
        super().connection_lost(exc)
        self._cancel_timer()
        self._clients.leave(self._holder)

    def cut(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            counting.reset(self.transport)

    def data_received(self, data):
        """Parse bytes and count what the unfinished request takes."""
        super().data_received(data)
        if self.transport is None:
            return
        self._pending_bytes += len(data)
        is_in_head = self._current_request is None and not self._messages
        limit = MAX_HEAD_BYTES if is_in_head else MAX_REQUEST_BYTES
        if self._pending_bytes > limit:
            self._refuse('431' if is_in_head else '413')
            return
        self._count(
            self._pending_bytes * (HEAD_COST if is_in_head else BODY_COST)
        )
        if self._request_timer is None:
            self._request_timer = asyncio.get_running_loop().call_later(
                REQUEST_LIMIT_S, self._refuse, '408'
            )

    def finish_request(self) -> None:
        """Record that a request has been handled."""
        self._pending_bytes = 0
        self._cancel_timer()
        self._count(0)
        self._clients.note_progress(self._holder, False)

    def _count(self, count) -> None:
        change, self._counted_bytes = count - self._counted_bytes, count
        self._clients.hold(self._holder, change)

    def _refuse(self, reason) -> None:
        self._cancel_timer()
        self._clients.record_refusal(self._holder, reason)
        self.cut()

    def _cancel_timer(self) -> None:
        if self._request_timer is not None:
            self._request_timer.cancel()
            self._request_timer = None


class ControlServer(web.Server):
    """Server whose connections are ControlProtocols."""

    def __init__(self, handler, clients):
        super().__init__(self._handle)
        self._answer = handler
        self._clients = clients

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        protocol = request.protocol
        try:
            return await self._answer(request)
        finally:
            protocol.finish_request()

    def __call__(self) -> ControlProtocol:
        return ControlProtocol(
            self._clients,
            self,
            loop=asyncio.get_running_loop(),
            access_log=None,
            keepalive_timeout=IDLE_LIMIT_S,
            lingering_time=LINGER_S,
        )
