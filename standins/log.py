"""Stand-in of the log service: append-only records with offsets in memory."""

import asyncio
import base64
import collections
import os
import time

import fire
import sanic
from sanic import response
import uvloop

from sesamejunction.border import loghttp


class InMemoryLog:
    """Records in memory, trimmed by age; faults can be switched on."""

    def __init__(self, retention_s: float):
        self.retention_s = retention_s
        self.oldest = 0
        self.records = []
        self.times = []
        self.arrived = asyncio.Condition()
        self.down = False
        self.partition = False
        self.delay_s = 0.0
        self.reply_delay_s = 0.0
        self.lose_replies = 0
        self.appends = 0
        self.appended_bytes = 0
        self.recent = collections.deque(maxlen=10_000)

    async def append(self, data: bytes) -> int:
        """Append a record and wake the readers."""
        self.trim()
        async with self.arrived:
            self.records.append(data)
            self.times.append(time.monotonic())
            self.appends += 1
            self.appended_bytes += len(data)
            self.recent.append(time.monotonic())
            self.arrived.notify_all()
            return self.oldest + len(self.records) - 1

    def trim(self) -> None:
        """Drop records that are older than the retention."""
        limit = time.monotonic() - self.retention_s
        keep = next(
            (i for i, at in enumerate(self.times) if at > limit),
            len(self.times),
        )
        self.oldest += keep
        del self.records[:keep]
        del self.times[:keep]

    def drop_before(self, offset: int) -> None:
        """Drop records as if their retention had passed."""
        keep = min(max(0, offset - self.oldest), len(self.records))
        self.oldest += keep
        del self.records[:keep]
        del self.times[:keep]

    def reset(self) -> None:
        """Forget all records and faults."""
        retention_s = self.retention_s
        arrived = self.arrived
        self.__init__(retention_s)
        self.arrived = arrived

    def count_rate(self, window_s: float = 1.0) -> float:
        """Return appends a second over the window that ends now."""
        since = time.monotonic() - window_s
        return sum(at > since for at in self.recent) / window_s

    async def apply_fault(self) -> bool:
        """Delay or hold a call; return whether the log is down."""
        await asyncio.sleep(self.delay_s)
        while self.partition:
            # The caller's timeout ends the call.
            await asyncio.sleep(3600)
        return self.down

    async def read(self, offset, wait_s, limit) -> loghttp.LogPage:
        """Return records from an offset, waiting for the first one."""
        try:
            async with asyncio.timeout(wait_s), self.arrived:
                await self.arrived.wait_for(
                    lambda: self.oldest + len(self.records) > offset
                )
        except TimeoutError:
            pass
        self.trim()
        first = max(offset, self.oldest)
        chosen = self.records[first - self.oldest :][:limit]
        return loghttp.LogPage(
            self.oldest,
            self.oldest + len(self.records),
            tuple(
                loghttp.LogRecord(first + i, data)
                for i, data in enumerate(chosen)
            ),
        )


def encode_page(page: loghttp.LogPage) -> dict:
    """Return the JSON shape of a page, as the log service sends it."""
    return {
        'oldest': page.oldest,
        'next': page.next,
        'records': [
            {
                'offset': one.offset,
                'data': base64.b64encode(one.data).decode('ascii'),
            }
            for one in page.records
        ],
    }


def build_app(records: InMemoryLog) -> sanic.Sanic:
    """Return the HTTP application over the records."""
    app = sanic.Sanic('standin-log', configure_logging=False)
    app.config.TOUCHUP = False
    app.config.ACCESS_LOG = False
    add_service(app, records)
    add_faults(app, records)
    return app


def add_service(app: sanic.Sanic, records: InMemoryLog) -> None:
    """Add the log service's own interface."""

    @app.post('/records')
    async def append(request):
        if await records.apply_fault():
            return response.empty(503)
        offset = await records.append(request.body)
        await asyncio.sleep(records.reply_delay_s)
        if records.lose_replies > 0:
            records.lose_replies -= 1
            request.transport.abort()
        return response.json({'offset': offset})

    @app.get('/records')
    async def read(request):
        if await records.apply_fault():
            return response.empty(503)
        page = await records.read(
            int(request.args.get('from', '0')),
            int(request.args.get('wait_ms', '0')) / 1000,
            int(request.args.get('limit', '1000')),
        )
        await asyncio.sleep(records.reply_delay_s)
        if records.down:
            return response.empty(503)
        return response.json(encode_page(page))


def add_faults(app: sanic.Sanic, records: InMemoryLog) -> None:
    """Add the interface by which tests set faults and read counters."""

    @app.post('/-/fault')
    async def set_fault(request):
        body = request.json
        if body.get('reset'):
            records.reset()
        records.drop_before(int(body.get('drop_before', 0)))
        records.partition = bool(body.get('partition', records.partition))
        records.down = bool(body.get('down', records.down))
        records.delay_s = float(body.get('delay_s', records.delay_s))
        # Replies that come so late after the call has taken effect.
        records.reply_delay_s = float(
            body.get('reply_delay_s', records.reply_delay_s)
        )
        records.lose_replies = int(
            body.get('lose_replies', records.lose_replies)
        )
        records.retention_s = float(
            body.get('retention_s', records.retention_s)
        )
        records.trim()
        return response.json({'next': records.oldest + len(records.records)})

    @app.get('/-/counts')
    async def read_counts(_request):
        return response.json(
            {
                'appends': records.appends,
                'bytes': records.appended_bytes,
                'appends_per_s': records.count_rate(),
                'oldest': records.oldest,
                'next': records.oldest + len(records.records),
            }
        )


async def serve(host: str, port: int, retention_s: float) -> None:
    """Serve until cancelled."""
    app = build_app(InMemoryLog(retention_s))
    server = await app.create_server(
        host=host, port=port, return_asyncio_server=True
    )
    await server.startup()
    await server.start_serving()
    await asyncio.Event().wait()


def main(host='127.0.0.1', port='7000', retention_s='86400') -> None:
    """Run the stand-in."""
    os.environ['UV_USE_IO_URING'] = '0'
    uvloop.run(serve(str(host), int(port), float(retention_s)))


if __name__ == '__main__':
    fire.Fire(main)
