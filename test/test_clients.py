"""Limits for clients on real connections of the callers' server."""

import asyncio
import gc
import types
import weakref

import pytest

from sesamejunction.border import clients
from sesamejunction.border import pipelinedhttp
from sesamejunction.decisions import clientbudget
from sesamejunction.model import routing

HOST = '127.0.0.1'
HEAD_S, IDLE_S = 0.2, 0.6
LARGE = bytes(8 << 20)
REQUEST = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'
LARGE_REQUEST = REQUEST.replace(b'/a', b'/large')
UPLOAD_HEAD = b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9999\r\n\r\n'
HELD_BYTES = 20 << 20
BODY_BYTES = 6 << 20


async def handle(request):
    if (request.content_length or 0) > BODY_BYTES:
        return pipelinedhttp.CallerReply(413)
    if request.body_exists:
        await request.read_body(1 << 20)
    large = request.raw_path.startswith('/large')
    # A copy, so that each answer has its own memory.
    return pipelinedhttp.CallerReply(
        200, (), bytes(bytearray(LARGE)) if large else b'ok'
    )


@pytest.fixture
async def server(unused_tcp_port):
    kinds = dict.fromkeys(clientbudget.Kind, 3)
    refused = []
    counts = clients.Clients(
        clientbudget.Limits(HELD_BYTES, kinds),
        HOST,
        count_refused=refused.append,
    )
    ports = pipelinedhttp.ServerPorts(
        *(handle, lambda request: True, lambda: False, lambda: 2000),
        *(asyncio.get_running_loop().time,),
        lambda: routing.Limits(
            body_bytes=BODY_BYTES, head_s=HEAD_S, idle_s=IDLE_S
        ),
        counts,
    )
    server = pipelinedhttp.CallerServer(ports)
    await server.start(HOST, unused_tcp_port, 10)
    yield types.SimpleNamespace(
        port=unused_tcp_port, ports=ports, clients=counts, refused=refused
    )
    await server.close()


async def connect(server):
    return await asyncio.open_connection(HOST, server.port)


# Guards against clients that begin a head and never end it, also behind
# requests that they have sent whole. Columns: what is sent, the statuses that
# arrive before the connection closes.
@pytest.mark.parametrize(
    ('sent', 'statuses'),
    [
        (b'', []),
        (b'G', [408]),
        (b'\r\n', [408]),
        (b'GET / HTTP/1.1\r\nHost: h\r\n', [408]),
        (REQUEST, [200]),
        (REQUEST * 3 + REQUEST[:20], [200, 200, 200, 408]),
        (b'\r\n' * 4000, [431]),
        (b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n', [200]),
    ],
)
async def test_unfinished_head_ends_the_connection(server, sent, statuses):
    reader, writer = await connect(server)
    writer.write(sent)
    async with asyncio.timeout(5.0):
        received = await reader.read(-1)
    writer.close()
    parts = received.split(b'HTTP/1.1 ')[1:]
    assert [int(part[:3]) for part in parts] == statuses
    assert b'Retry-After' not in received


async def test_unfinished_head_ends_while_memory_is_short(server):
    """Guards against a crowd of heads that are neither read nor ended."""
    reader, writer = await connect(server)
    writer.write(REQUEST[:20])
    while server.clients.held_bytes <= clients.CONNECTION_BYTES:
        await asyncio.sleep(0.01)
    (connection,) = server.ports.connections
    server.clients.hold(connection.holder, HELD_BYTES * 5 // 8)
    connection.update_reading()
    async with asyncio.timeout(5.0):
        received = await reader.read(-1)
    assert received.startswith(b'HTTP/1.1 503 ')
    assert server.clients.held_bytes == 0
    writer.close()


# Guards against "busy, retry" for a body that is never accepted. Columns: the
# announced length, the status.
@pytest.mark.parametrize(
    ('length', 'status'), [(9, 200), (BODY_BYTES + 1, 413), (1 << 40, 413)]
)
async def test_too_large_body_is_no_overload(server, length, status):
    reader, writer = await connect(server)
    writer.write(UPLOAD_HEAD.replace(b'9999', b'%d' % length) + b'x' * 9)
    async with asyncio.timeout(5.0):
        assert await reader.readexactly(12) == b'HTTP/1.1 %d' % status
    writer.transport.abort()


async def test_caller_that_reads_nothing_is_cut(server, monkeypatch):
    """Guards against answers that are kept for a caller who never reads."""
    monkeypatch.setattr(clients, 'UNREAD_LIMIT_S', 0.4)
    reader, writer = await connect(server)
    writer.transport.pause_reading()
    writer.write(LARGE_REQUEST)
    async with asyncio.timeout(5.0):
        while not server.refused:
            await asyncio.sleep(0.05)
    assert server.refused[0]['reason'] == 'unread'
    assert server.clients.held_bytes == 0
    writer.transport.abort()


async def test_slow_callers_are_closed_for_the_sake_of_others(server):
    """Guards against a crowd whose answers take all memory."""
    slow = []
    for _ in range(2):
        reader, writer = await connect(server)
        writer.transport.pause_reading()
        writer.write(LARGE_REQUEST * 4)
        slow.append(writer)
        await asyncio.sleep(0.2)
        assert server.clients.held_bytes <= HELD_BYTES
    reader, writer = await connect(server)
    writer.write(LARGE_REQUEST)
    async with asyncio.timeout(5.0):
        received = await reader.readexactly(len(LARGE))
    assert received.startswith(b'HTTP/1.1 200 ')
    assert {one['reason'] for one in server.refused} <= {'memory', 'busy'}
    for one in (*slow, writer):
        one.transport.abort()


async def test_idle_connections_make_room(server):
    """Guards against half-open connections that keep callers out."""
    crowd = [await connect(server) for _ in range(8)]
    reader, writer = await connect(server)
    writer.write(REQUEST)
    async with asyncio.timeout(5.0):
        assert await reader.readexactly(12) == b'HTTP/1.1 200'
    assert len(server.ports.connections) <= 3
    for _, one in (*crowd, (reader, writer)):
        one.transport.abort()


# Guards against bodies that stay in memory until a collection of reference
# cycles. Columns: what a caller has sent when it leaves.
@pytest.mark.parametrize(
    'sent',
    [
        LARGE_REQUEST,
        REQUEST + LARGE_REQUEST * 2,
        UPLOAD_HEAD + LARGE[:500],
        REQUEST[:20],
    ],
)
async def test_memory_is_free_when_a_caller_leaves(server, sent):
    reader, writer = await connect(server)
    writer.transport.pause_reading()
    gc.collect()
    gc.disable()
    try:
        writer.write(sent)
        await asyncio.sleep(0.1)
        (connection,) = map(weakref.ref, server.ports.connections)
        writer.transport.abort()
        await asyncio.sleep(0.1)
        assert server.clients.held_bytes == 0
        assert connection() is None
    finally:
        gc.enable()
