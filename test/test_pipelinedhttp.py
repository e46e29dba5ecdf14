"""Pipelined requests over a real connection."""

import asyncio
import re
import types

import pytest

from sesamejunction.border import pipelinedhttp
from sesamejunction import errors

HOST = '127.0.0.1'
HEAD_LIMIT = 2000
BODY_LIMIT = 1000
# Time of a slow request. A quick one behind it must not add to it.
SLOW_S = 0.2


class Handler:
    """Answers requests by their paths and records what ran."""

    def __init__(self):
        self.started = []
        self.cancelled = []
        self.stopping = False

    async def handle(self, request):
        self.started.append(request.raw_path)
        try:
            return await self._answer(request)
        except asyncio.CancelledError:
            self.cancelled.append(request.raw_path)
            raise

    async def _answer(self, request):
        path = request.raw_path
        if path.startswith('/slow'):
            await asyncio.sleep(SLOW_S)
        if path.startswith('/fail'):
            raise ValueError('a fault')
        if path.startswith('/status'):
            return pipelinedhttp.CallerReply(int(path.removeprefix('/status')))
        if path.startswith('/early'):
            return pipelinedhttp.CallerReply(401, (), b'early')
        body = b''
        if request.body_exists:
            try:
                body = await request.read_body(BODY_LIMIT)
            except errors.UploadTooLarge:
                return pipelinedhttp.CallerReply(413)
            except errors.UploadAborted:
                return pipelinedhttp.CallerReply(400)
        if path.startswith('/large'):
            body = b'x' * (1 << 20)
        return pipelinedhttp.CallerReply(200, (), path.encode() + body)


@pytest.fixture
async def server(unused_tcp_port):
    handler = Handler()
    ports = pipelinedhttp.ServerPorts(
        handler.handle,
        lambda request: request.method == 'GET',
        lambda: handler.stopping,
        lambda: HEAD_LIMIT,
        asyncio.get_running_loop().time,
    )
    made = pipelinedhttp.CallerServer(ports)
    await made.start(HOST, unused_tcp_port, 10)
    yield types.SimpleNamespace(
        handler=handler, port=unused_tcp_port, connections=ports.connections
    )
    await made.close()


def request(path, method='GET', fields='', body=''):
    return f'{method} {path} HTTP/1.1\r\nHost: h\r\n{fields}\r\n{body}'


def upload(path, size, sent=None, fields=''):
    body = 'b' * (size if sent is None else sent)
    fields += f'Content-Length: {size}\r\n'
    return request(path, 'POST', fields, body)


def chunked(path, body):
    return request(path, 'POST', 'Transfer-Encoding: chunked\r\n', body)


async def exchange(port, *parts, wait_s=0.0, until=None):
    """Send texts, then read until the server closes or ``until`` arrives."""
    reader, writer = await asyncio.open_connection(HOST, port)
    received = b''
    try:
        for part in parts:
            writer.write(part.encode('latin-1'))
            await asyncio.sleep(wait_s)
        async with asyncio.timeout(5.0):
            while until is None or until not in received:
                data = await reader.read(1 << 16)
                if not data:
                    break
                received += data
    finally:
        writer.close()
    return received.decode('latin-1')


def list_statuses(text):
    return [int(status) for status in re.findall(r'HTTP/1\.1 (\d+)', text)]


CLOSE = 'Connection: close\r\n'
LAST = request('/last', fields=CLOSE)
# Columns: what the caller sends, the statuses of the answers, the paths that
# ran. The connection closes after them.
EXCHANGES = {
    'side by side': (
        *(request('/slow') + request('/a') + LAST, [200, 200, 200]),
        ['/slow', '/a', '/last'],
    ),
    'in pieces': (
        *('GET /a HT\0TP/1.1\r\nHo\0st: h\r\n\r\n' + LAST, [200, 200]),
        ['/a', '/last'],
    ),
    'upload before a lookup': (
        *(upload('/up', 5) + LAST, [200, 200], ['/up', '/last']),
    ),
    'upgrade is ignored': (
        request('/a', fields='Connection: upgrade\r\nUpgrade: h2c\r\n') + LAST,
        *([200, 200], ['/a', '/last']),
    ),
    'expects to be asked': (
        upload('/up', 3, 0, f'Expect: 100-continue\r\n{CLOSE}') + '\0bbb',
        *([100, 200], ['/up']),
    ),
    'not asked for a refused body': (
        upload('/early', 3, 0, 'Expect: 100-continue\r\n'),
        *([401], ['/early']),
    ),
    'statuses that are none': (
        ''.join(
            request(f'/status{status}')
            for status in (0, 99, 100, 101, 600, 999, 1000, -1, 599)
        )
        + LAST,
        *([502] * 8 + [599, 200], None),
    ),
    'behind a closing request': (LAST + request('/a'), [200], ['/last']),
    'old version': ('GET /a HTTP/1.0\r\n\r\n', [200], ['/a']),
    'fault of the handler': (request('/fail') + LAST, [500, 200], None),
    'rest of a refused body is dropped': (
        *(upload('/early', 900) + LAST, [401, 200], ['/early', '/last']),
    ),
    'malformed in its place': (
        *(request('/slow') + request('/a') + 'NO\r\n\r\n' + LAST,),
        *([200, 200, 400], ['/slow', '/a']),
    ),
    'malformed body': (chunked('/up', 'zz\r\n') + LAST, [400], ['/up']),
    'two lengths': (
        request('/up', 'POST', 'Content-Length: 1\r\nContent-Length: 2\r\n'),
        *([400], []),
    ),
    'two hosts': (request('/a', fields='Host: i\r\n'), [400], []),
    'long head': (
        *(request('/a', fields=f'X: {"x" * HEAD_LIMIT}\r\n'), [431], []),
    ),
    'short lines up to the limit': (
        *(request('/a', fields='a:\r\n' * 480 + CLOSE), [200], ['/a']),
    ),
    'endless head': ('GET /a HTTP/1.1\r\nX: ' + 'x' * 99_999, [431], []),
    'long body': (
        *(upload('/up', BODY_LIMIT + 1) + LAST, [413, 200], ['/up', '/last']),
    ),
    'endless body': (
        chunked('/up', '800\r\n' + 'x' * 2048 + '\r\n') + '800\r\n',
        *([413], ['/up']),
    ),
    'endless trailer': (
        *(chunked('/up', '0\r\nX: ' + 'x' * 199_999), [400], ['/up']),
    ),
}


# Guards against answers out of order, a second request that is lost, starved
# or smuggled, and input that no bound ends.
@pytest.mark.parametrize(
    ('sent', 'statuses', 'ran'), EXCHANGES.values(), ids=EXCHANGES
)
async def test_answers_come_in_the_order_of_requests(
    server, sent, statuses, ran
):
    received = await exchange(server.port, *sent.split('\0'), wait_s=0.01)
    assert list_statuses(received) == statuses
    if ran is not None:
        assert server.handler.started == ran


async def test_requests_of_one_connection_run_side_by_side(server):
    """Guards against four lookups that take four times as long as one."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    sent = ''.join(request(f'/slow{number}') for number in range(4))
    received = await exchange(server.port, sent, until=b'/slow3')
    assert [received.index(f'/slow{number}') for number in range(4)] == sorted(
        received.index(f'/slow{number}') for number in range(4)
    )
    assert loop.time() - began < 2 * SLOW_S


async def test_caller_who_leaves_cancels_all_requests(server):
    """Guards against targets that work for callers who have left."""
    sent = request('/slow1') + request('/slow2') + upload('/slow3', 1)
    reader, writer = await asyncio.open_connection(HOST, server.port)
    writer.write(sent.encode())
    await asyncio.sleep(SLOW_S / 4)
    writer.transport.abort()
    await asyncio.sleep(SLOW_S * 2)
    assert server.handler.cancelled == ['/slow1', '/slow2']
    assert server.handler.started == ['/slow1', '/slow2']
    assert not server.connections


# Guards against a stop that cuts requests, or that runs some behind the
# answer that closes the connection. Columns: sent before the stop and after
# it, statuses, paths that ran.
@pytest.mark.parametrize(
    ('before', 'after', 'statuses', 'ran'),
    [
        (request('/slow') + request('/a'), LAST, [200, 200], ['/slow', '/a']),
        (request('/slow') + upload('/u', 1), LAST, [200], ['/slow']),
        ('', request('/a') + LAST, [200], ['/a']),
    ],
)
async def test_stop_ends_behind_the_requests_that_run(
    server, before, after, statuses, ran
):
    async def stop():
        await asyncio.sleep(SLOW_S / 4)
        server.handler.stopping = True

    stopping = asyncio.ensure_future(stop())
    received = await exchange(server.port, before, after, wait_s=SLOW_S / 2)
    await stopping
    assert list_statuses(received) == statuses
    assert 'Connection: close' in received
    assert server.handler.started == ran


async def test_caller_who_does_not_read_is_held_back(server):
    """Guards against a caller whose unread answers fill the memory."""
    reader, writer = await asyncio.open_connection(HOST, server.port)
    writer.transport.pause_reading()
    for number in range(200):
        writer.write(request(f'/large{number}').encode())
    await asyncio.sleep(0.5)
    assert len(server.handler.started) < 60
    # All requests are answered once the caller reads again.
    writer.transport.resume_reading()
    received = 0
    async with asyncio.timeout(10.0):
        while received < 200 << 20:
            received += len(await reader.read(1 << 20))
    assert len(server.handler.started) == 200
    writer.transport.abort()
