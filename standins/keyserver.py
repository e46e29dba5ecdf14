"""Stand-in of a server that holds key ranges and says so in heartbeats."""

import asyncio
import contextlib
import time

import aiohttp
from aiohttp import web

BEAT_S = 0.3
RELEASE_S = 0.05


class KeyServer:
    """Serves work on the keys that its node has granted.

    ``history`` gets (time, server, first, last, fence, end) of each hold.
    """

    def __init__(self, name, service, address, control, history):
        self.name = name
        self._service = service
        self._address = address
        self._control = control
        self._history = history
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._freed = []
        self._stack = contextlib.AsyncExitStack()
        self.work_s = 0.002
        self.answer = b'whole'
        # Requests whose connection was closed while they ran.
        self.cut = 0
        self.holds = []
        self.hold_until = 0.0
        self.ran = []
        self.is_ranged = True

    async def __aenter__(self):
        enter = self._stack.enter_async_context
        self._session = await enter(aiohttp.ClientSession())
        runner = web.ServerRunner(web.Server(self.handle, access_log=None))
        await runner.setup()
        self._stack.push_async_callback(runner.cleanup)
        host, port = self._address.split(':')
        await web.TCPSite(runner, host, int(port)).start()
        beats = asyncio.ensure_future(self._beat())
        self._stack.callback(beats.cancel)
        return self

    async def __aexit__(self, *exc):
        self.holds = []
        return await self._stack.__aexit__(*exc)

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Run one request if its key is held."""
        headers = {'X-Attempt-Id': request.headers.get('X-Attempt-Id', '')}
        key = request.headers.get('X-Shard-Key')
        if key is not None and not self.is_held(int(key)):
            return web.Response(
                status=421, headers={**headers, 'X-Not-Executed': '1'}
            )
        body = await request.read()
        self.ran.append((time.monotonic(), dict(request.headers), body))
        await asyncio.sleep(self.work_s)
        if request.transport is None or request.transport.is_closing():
            self.cut += 1
        headers['X-Response-Signature'] = 'signed'
        return web.Response(body=self.answer, headers=headers)

    def is_held(self, key: int) -> bool:
        """Return whether the key is held now."""
        return time.monotonic() < self.hold_until and any(
            first <= key <= last for first, last, _ in self.holds
        )

    async def _beat(self):
        while True:
            pause_s = BEAT_S
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                if await self._send_beat():
                    pause_s = RELEASE_S
            await asyncio.sleep(pause_s)

    async def _send_beat(self) -> bool:
        """Send one heartbeat; returns whether keys were given up."""
        self._sequence += 1
        if time.monotonic() > self.hold_until:
            self.holds = []
        sent_at = time.monotonic()
        beat = {
            'address': self._address,
            'born': self._born,
            'info': {
                'service': self._service,
                'version': 'v1',
                'zone': '',
                'slots': 8,
            },
            'status': {
                'state': 'ready',
                'sequence': self._sequence,
                'coldLeftS': 0,
            },
            'holds': self.holds,
            'freed': self._freed,
        }
        async with self._session.put(
            f'http://{self._control}/instances/{self.name}',
            json=beat,
            timeout=aiohttp.ClientTimeout(total=1.0),
        ) as reply:
            found = await reply.json()
        self._freed = []
        if 'holds' not in found:
            return False
        return self._take(found['holds'], found['holdS'], sent_at)

    def _take(self, rows, hold_s, sent_at) -> bool:
        granted = [[first, last, fence] for first, last, fence, _ in rows]
        gone = [one for one in self.holds if one not in granted]
        self._freed = [
            [first, last, f'handover-{self.name}'] for first, last, _ in gone
        ]
        self.holds = granted
        self.hold_until = sent_at + hold_s
        for first, last, fence in granted:
            self._history.append(
                (sent_at, self.name, first, last, fence, self.hold_until)
            )
        return bool(gone)
