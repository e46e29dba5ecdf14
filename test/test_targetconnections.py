"""Tests targets that read slowly, or whose answers are faulty."""

import asyncio
import time

import pytest

from sesamejunction.border import targetconnections
from sesamejunction import errors
from test import rawservers

OWN = b'HTTP/1.1 200 OK\r\nid: a\r\nContent-Length: 2\r\n\r\nok'
OTHER = b'HTTP/1.1 200 OK\r\nid: b\r\nContent-Length: 3\r\n\r\nbad'
UNFRAMED = b'HTTP/1.1 200 OK\r\nid: a\r\nConnection: close\r\n\r\nwhole'
CUT = b'HTTP/1.1 200 OK\r\nid: a\r\nContent-Length: 9\r\n\r\nok'
CHUNKED = (
    b'HTTP/1.1 200 OK\r\nid: a\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'2\r\nok\r\n0\r\n\r\n'
)
CHUNKS_CUT = CHUNKED[:-5]
EARLY = b'HTTP/1.1 100 Continue\r\n\r\n' + OWN

ANSWERS = {
    'whole': ((OWN,), False, b'ok', True),
    'in two pieces': ((OWN[:30], OWN[30:]), False, b'ok', True),
    'chunked': ((CHUNKED,), False, b'ok', True),
    'after an interim answer': ((EARLY,), False, b'ok', True),
    'a late answer before it': ((OTHER, OWN), False, b'ok', False),
    'an extra answer after it': ((OWN + OTHER,), False, b'ok', False),
    'without length': ((UNFRAMED,), True, b'whole', False),
    'cut': ((CUT,), True, None, False),
    'chunks cut': ((CHUNKS_CUT,), True, None, False),
    'unreadable': ((b'\x00\x01 no answer\r\n\r\n',), False, None, False),
    'only another answer': ((OTHER,), True, None, False),
    'nothing': ((), True, None, False),
}


@pytest.mark.parametrize(
    ('pieces', 'closes', 'body', 'reusable'), ANSWERS.values(), ids=ANSWERS
)
async def test_only_complete_matching_answers_are_accepted(
    pieces, closes, body, reusable
):
    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0.01)
        if closes:
            writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    connections = targetconnections.TargetConnectionPool('127.0.0.1', port)
    connection = await connections.acquire(False)
    exchange = connection.exchange(
        [b'GET / HTTP/1.1\r\n\r\n'], lambda raw: raw.get_header('id') == 'a'
    )
    async with asyncio.timeout(2):
        if body is None:
            with pytest.raises(errors.PeerConnectionLost):
                await exchange
        else:
            assert bytes((await exchange).body) == body
            await asyncio.sleep(0.03)
            assert connection.is_usable is reusable
    connection.abort()
    server.close()


async def test_bytes_on_an_idle_connection_prevent_reuse():
    """A late answer must not be taken for the next request's answer."""

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(OWN)
        await asyncio.sleep(0.05)
        writer.write(OTHER)
        await writer.drain()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    connections = targetconnections.TargetConnectionPool('127.0.0.1', port)
    connection = await connections.acquire(False)
    await connection.exchange([b'GET / HTTP/1.1\r\n\r\n'], lambda raw: True)
    connections.release(connection, None)
    await asyncio.sleep(0.1)
    assert not connection.is_usable
    assert await connections.acquire(False) is not connection
    connections.close_idle()
    server.close()


async def test_closed_port_raises_connection_refused():
    server = await asyncio.start_server(lambda r, w: None, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    server.close()
    await server.wait_closed()
    connections = targetconnections.TargetConnectionPool('127.0.0.1', port)
    with pytest.raises(errors.TargetConnectionRefused):
        await connections.acquire(False)


UPLOAD_BYTES = 1 << 19
# The upload takes 3.5 s to read.
READ_RATE = 150_000
READ_BYTES = 1 << 12
RECEIVE_BYTES = 1 << 15


def read_slowly(server, sock, _number):
    server.read_head(sock)
    left = UPLOAD_BYTES
    while left and (data := sock.recv(READ_BYTES)):
        left -= len(data)
        time.sleep(len(data) / READ_RATE)
    server.send(sock, rawservers.encode_success(b'ok'))


async def test_target_that_reads_slowly_gets_the_whole_upload():
    """Guards against a limit of the system that resets such a connection.

    It counted 2 s in which the target's window was too small.
    """
    with rawservers.RawServer(read_slowly) as server:
        server.limit_receive_buffer(RECEIVE_BYTES)
        head = rawservers.make_head(
            method='POST', repeatable=False, left_s=rawservers.LIMIT_S
        )
        client = server.build_client()
        async with asyncio.timeout(rawservers.LIMIT_S):
            answer = await client.send(head, bytes(UPLOAD_BYTES))
    assert answer.status == 200
