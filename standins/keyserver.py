"""Stand-in for a server that holds key ranges and reports them."""

import asyncio
import contextlib
import random
import time

import aiohttp
from aiohttp import web

HEARTBEAT_INTERVAL_S = 0.3
# Released keys are reported without waiting for the usual interval.
AFTER_RELEASE_INTERVAL_S = 0.05


class KeyServer:
    """Serves requests for the keys that its node has granted to it.

    Each granted range is appended to ``history`` as (time, server, first
    key, last key, fence, end of the hold).
    """

    def __init__(self, name, service, address, control, history):
        self.name = name
        self._service = service
        self._address = address
        self._control = control
        self._history = history
        self._started_at_ms = int(time.time() * 1000)
        self._sequence = 0
        self._released = []
        self._stack = contextlib.AsyncExitStack()
        self.work_s = 0.002
        # Share of the requests that run and get no answer.
        self.lost_share = 0.0
        self.response_body = b'whole'
        # Value of the load header, None to send none.
        self.load = None
        self.response_status = 200
        self.slots = 8
        # Monotonic time until which the server is cold, and the times at
        # which its node had acknowledged heartbeats that said so.
        self.cold_until = 0.0
        self.cold_told_at = []
        # Requests whose connection was closed while they were running.
        self.aborted_requests = 0
        self.holds = []
        self.held_until = 0.0
        self.received_requests = []
        self.is_ranged = True

    async def __aenter__(self):
        enter = self._stack.enter_async_context
        self._session = await enter(aiohttp.ClientSession())
        runner = web.ServerRunner(web.Server(self.handle, access_log=None))
        await runner.setup()
        self._stack.push_async_callback(runner.cleanup)
        host, port = self._address.split(':')
        await web.TCPSite(runner, host, int(port)).start()
        heartbeat_task = asyncio.ensure_future(self._send_heartbeats())
        self._stack.callback(heartbeat_task.cancel)
        return self

    async def __aexit__(self, *exc):
        self.holds = []
        return await self._stack.__aexit__(*exc)

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Serve a request if the server holds its key."""
        headers = {'X-Attempt-Id': request.headers.get('X-Attempt-Id', '')}
        key = request.headers.get('X-Shard-Key')
        if key is not None and not self.is_held(int(key)):
            return web.Response(
                status=421, headers={**headers, 'X-Not-Executed': '1'}
            )
        body = await request.read()
        self.received_requests.append(
            (time.monotonic(), dict(request.headers), body)
        )
        await asyncio.sleep(self.work_s)
        if request.transport is None or request.transport.is_closing():
            self.aborted_requests += 1
        if request.transport is not None and random.random() < self.lost_share:
            request.transport.abort()
        headers['X-Response-Signature'] = 'signed'
        if self.load is not None:
            headers['X-Server-Load'] = self.load
        return web.Response(
            status=self.response_status,
            body=self.response_body,
            headers=headers,
        )

    def is_held(self, key: int) -> bool:
        """Return whether the server holds a key at this moment."""
        return time.monotonic() < self.held_until and any(
            first <= key <= last for first, last, _ in self.holds
        )

    async def _send_heartbeats(self):
        while True:
            pause_s = HEARTBEAT_INTERVAL_S
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                if await self._send_heartbeat():
                    pause_s = AFTER_RELEASE_INTERVAL_S
            await asyncio.sleep(pause_s)

    async def _send_heartbeat(self) -> bool:
        """Send one heartbeat; return whether its reply revoked keys."""
        self._sequence += 1
        if time.monotonic() > self.held_until:
            self.holds = []
        sent_at = time.monotonic()
        heartbeat = {
            'address': self._address,
            'born': self._started_at_ms,
            'info': {
                'service': self._service,
                'version': 'v1',
                'zone': '',
                'slots': self.slots,
            },
            'status': {
                'state': 'ready',
                'sequence': self._sequence,
                'coldLeftS': max(0.0, self.cold_until - sent_at),
            },
            'holds': self.holds,
            'freed': self._released,
        }
        async with self._session.put(
            f'http://{self._control}/instances/{self.name}',
            json=heartbeat,
            timeout=aiohttp.ClientTimeout(total=1.0),
        ) as reply:
            reply_body = await reply.json()
        if sent_at < self.cold_until:
            self.cold_told_at.append(time.monotonic())
        self._released = []
        if 'holds' not in reply_body:
            return False
        return self._apply_grants(
            reply_body['holds'], reply_body['holdS'], sent_at
        )

    def _apply_grants(self, grant_rows, hold_s, sent_at) -> bool:
        granted = [
            [first, last, fence] for first, last, fence, _ in grant_rows
        ]
        revoked = [hold for hold in self.holds if hold not in granted]
        self._released = [
            [first, last, f'handover-{self.name}']
            for first, last, _ in revoked
        ]
        self.holds = granted
        self.held_until = sent_at + hold_s
        for first, last, fence in granted:
            self._history.append(
                (sent_at, self.name, first, last, fence, self.held_until)
            )
        return bool(revoked)
