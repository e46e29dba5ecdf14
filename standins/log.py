"""Stand-in for the log service: records with offsets, kept in memory."""

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
    """Append-only records with a retention period and injectable faults.

    While ``down`` is set calls get 503, while ``partition`` is set none is
    answered. ``delay_s`` delays calls, ``reply_delay_s`` their replies only.
    The next ``lose_replies`` appends take effect, but their connection is
    aborted. ``oldest`` is the offset of the first record that is kept.
    """

    def __init__(self, retention_s: float):
        self.retention_s = retention_s
        self.oldest = 0
        self.records = []
        self.append_times = []
        self.record_appended = asyncio.Condition()
        self.down = False
        self.partition = False
        self.delay_s = 0.0
        self.reply_delay_s = 0.0
        self.lose_replies = 0
        self.appends = 0
        self.appended_bytes = 0
        self.recent_append_times = collections.deque(maxlen=10_000)

    async def append(self, data: bytes) -> int:
        """Append a record, wake waiting readers and return the offset."""
        self.trim()
        async with self.record_appended:
            self.records.append(data)
            self.append_times.append(time.monotonic())
            self.appends += 1
            self.appended_bytes += len(data)
            self.recent_append_times.append(time.monotonic())
            self.record_appended.notify_all()
            return self.oldest + len(self.records) - 1

    def trim(self) -> None:
        """Drop records that are older than the retention period."""
        limit = time.monotonic() - self.retention_s
        dropped_count = next(
            (i for i, at in enumerate(self.append_times) if at > limit),
            len(self.append_times),
        )
        self.oldest += dropped_count
        del self.records[:dropped_count]
        del self.append_times[:dropped_count]

    def drop_before(self, offset: int) -> None:
        """Drop records below an offset, as after their retention period."""
        dropped_count = min(max(0, offset - self.oldest), len(self.records))
        self.oldest += dropped_count
        del self.records[:dropped_count]
        del self.append_times[:dropped_count]

    def reset(self) -> None:
        """Remove all records and faults."""
        retention_s = self.retention_s
        record_appended = self.record_appended
        self.__init__(retention_s)
        self.record_appended = record_appended

    def measure_append_rate(self, window_s: float = 1.0) -> float:
        """Return the appends per second over the most recent window."""
        since = time.monotonic() - window_s
        return sum(at > since for at in self.recent_append_times) / window_s

    async def apply_fault(self) -> bool:
        """Apply delay and partition; return whether the log is down."""
        await asyncio.sleep(self.delay_s)
        while self.partition:
            # No reply is sent; the call ends by the caller's timeout.
            await asyncio.sleep(3600)
        return self.down

    async def read(self, offset, wait_s, limit) -> loghttp.LogPage:
        """Return records from an offset; wait until there is one."""
        try:
            async with asyncio.timeout(wait_s), self.record_appended:
                await self.record_appended.wait_for(
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
    """Return a page in the JSON form that the log service sends."""
    return {
        'oldest': page.oldest,
        'next': page.next,
        'records': [
            {
                'offset': record.offset,
                'data': base64.b64encode(record.data).decode('ascii'),
            }
            for record in page.records
        ],
    }


def build_app(memory_log: InMemoryLog) -> sanic.Sanic:
    """Return the HTTP application that serves the records."""
    app = sanic.Sanic('standin-log', configure_logging=False)
    app.config.TOUCHUP = False
    app.config.ACCESS_LOG = False
    add_log_routes(app, memory_log)
    add_test_routes(app, memory_log)
    return app


def add_log_routes(app: sanic.Sanic, memory_log: InMemoryLog) -> None:
    """Add the routes of the log service."""

    @app.post('/records')
    async def append(request):
        if await memory_log.apply_fault():
            return response.empty(503)
        offset = await memory_log.append(request.body)
        await asyncio.sleep(memory_log.reply_delay_s)
        if memory_log.lose_replies > 0:
            memory_log.lose_replies -= 1
            request.transport.abort()
        return response.json({'offset': offset})

    @app.get('/records')
    async def read(request):
        if await memory_log.apply_fault():
            return response.empty(503)
        page = await memory_log.read(
            int(request.args.get('from', '0')),
            int(request.args.get('wait_ms', '0')) / 1000,
            int(request.args.get('limit', '1000')),
        )
        await asyncio.sleep(memory_log.reply_delay_s)
        if memory_log.down:
            return response.empty(503)
        return response.json(encode_page(page))


def add_test_routes(app: sanic.Sanic, memory_log: InMemoryLog) -> None:
    """Add the routes by which tests set faults and read counters."""

    @app.post('/-/fault')
    async def set_fault(request):
        body = request.json
        if body.get('reset'):
            memory_log.reset()
        memory_log.drop_before(int(body.get('drop_before', 0)))
        memory_log.partition = bool(
            body.get('partition', memory_log.partition)
        )
        memory_log.down = bool(body.get('down', memory_log.down))
        memory_log.delay_s = float(body.get('delay_s', memory_log.delay_s))
        # Delays the reply only; the call takes effect at once.
        memory_log.reply_delay_s = float(
            body.get('reply_delay_s', memory_log.reply_delay_s)
        )
        memory_log.lose_replies = int(
            body.get('lose_replies', memory_log.lose_replies)
        )
        memory_log.retention_s = float(
            body.get('retention_s', memory_log.retention_s)
        )
        memory_log.trim()
        return response.json(
            {'next': memory_log.oldest + len(memory_log.records)}
        )

    @app.get('/-/counts')
    async def read_counts(_request):
        return response.json(
            {
                'appends': memory_log.appends,
                'bytes': memory_log.appended_bytes,
                'appends_per_s': memory_log.measure_append_rate(),
                'oldest': memory_log.oldest,
                'next': memory_log.oldest + len(memory_log.records),
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
