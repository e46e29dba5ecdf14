"""Guards against answers that break off and look complete."""

import asyncio
import contextlib
import socket
import threading
import time

import pytest
import uvloop

from sesamejunction.border import httpclient
from sesamejunction.border import httpconnector
from sesamejunction.border import targetconnections
from sesamejunction.commands import uploads
from sesamejunction import errors
from test import rawservers

# More than the buffers of both sockets, so that a part of it is never sent.
UPLOAD = bytes(32 << 20)
# Each interleaving is played as often, since the loop and the kernel decide
# what comes first.
ROUNDS = 4
UNFRAMED = (
    b'HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Response-Signature: s\r\n'
    b'SJ-Request-Id: r1\r\nConnection: close\r\n\r\n'
)


@pytest.fixture(
    params=[asyncio.DefaultEventLoopPolicy, uvloop.EventLoopPolicy],
    ids=['asyncio', 'uvloop'],
)
def event_loop_policy(request):
    """Use both event loops, which read and write in their own ways."""
    return request.param()


async def call_target(raw, upload=UPLOAD):
    """Send the upload as a hosted node does."""
    port = raw.build_client()
    head = rawservers.make_head(method='POST', repeatable=False)
    try:
        return await port.send(head, upload)
    finally:
        port.close_idle()


async def call_plain(raw, upload=UPLOAD):
    """Send the upload as a plain node does."""
    async with httpclient.HttpClient() as http:
        head = rawservers.make_head(None, method='POST')
        reply = await http.send(
            f'127.0.0.1:{raw.port}', head, '/', {}, uploads.Upload(upload), 9.0
        )
        async with reply.resources:
            return [chunk async for chunk in reply.chunks]


CLIENTS = {'target': call_target, 'plain': call_plain}
# Columns: bytes of the part, seconds from the head to the part and from the
# part to the reset, bytes of the upload that are read, seconds for which the
# loop is blocked after the head.
INTERLEAVINGS = {
    'reset at once': (2, 0.0, 0.0, 0, 0.0),
    'reset later': (2, 0.0, 0.02, 0, 0.0),
    'reset behind the head': (0, 0.0, 0.01, 0, 0.0),
    'part later': (2, 0.02, 0.0, 0, 0.0),
    'long part': (200_000, 0.0, 0.0, 0, 0.0),
    'long part, reset later': (200_000, 0.0, 0.02, 0, 0.0),
    'a part of the upload is read': (2, 0.0, 0.01, 1 << 20, 0.0),
    'all at once for a busy loop': (2, 0.0, 0.0, 0, 0.05),
    'long part for a busy loop': (40_000, 0.0, 0.005, 1 << 19, 0.05),
    'reset while the loop is busy': (2, 0.01, 0.01, 1 << 19, 0.05),
}


@pytest.mark.parametrize('call', CLIENTS.values(), ids=CLIENTS)
@pytest.mark.parametrize(
    ('size', 'part_s', 'reset_s', 'taken', 'blocked_s'),
    INTERLEAVINGS.values(),
    ids=INTERLEAVINGS,
)
async def test_reset_during_an_upload_never_completes_an_answer(
    call, size, part_s, reset_s, taken, blocked_s
):
    """Guards against a reset that a write has consumed.

    The next read then returns an end of stream that looks orderly.
    """

    def serve(raw, sock, _number):
        raw.read_head(sock)
        sock.sendall(UNFRAMED)
        time.sleep(part_s)
        sock.sendall(b'x' * size)
        left = taken
        while left > 0:
            left -= len(sock.recv(min(left, 1 << 16)))
        time.sleep(reset_s)
        rawservers.reset(sock)

    async def block_loop():
        while True:
            await asyncio.sleep(0.001)
            time.sleep(blocked_s)

    for _ in range(ROUNDS):
        with rawservers.RawServer(serve) as raw:
            blocking = asyncio.ensure_future(block_loop())
            async with asyncio.timeout(rawservers.LIMIT_S):
                with pytest.raises(errors.PeerConnectionLost):
                    await call(raw)
            blocking.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await blocking


@pytest.mark.parametrize('call', CLIENTS.values(), ids=CLIENTS)
@pytest.mark.parametrize('size', (2, 100_000))
async def test_consumed_reset_does_not_complete_an_answer(
    call, size, monkeypatch
):
    """Guards against an end of stream where another call took the error.

    Reading SO_ERROR consumes the pending error as a write does, but at a
    moment that this test chooses.
    """
    may_reset, was_reset = threading.Event(), threading.Event()
    received = []

    def serve(raw, sock, _number):
        raw.read_head(sock)
        sock.sendall(UNFRAMED + b'x' * size)
        may_reset.wait(rawservers.LIMIT_S)
        rawservers.reset(sock)
        was_reset.set()

    def consume_error(protocol):
        received.append(protocol)
        may_reset.set()
        was_reset.wait(rawservers.LIMIT_S)
        time.sleep(0.01)
        sock = protocol.transport.get_extra_info('socket')
        sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)

    target = targetconnections.Connection.buffer_updated
    plain = httpconnector.CheckedResponseHandler.data_received

    def update(protocol, nbytes):
        target(protocol, nbytes)
        if not received and protocol.transport is not None:
            consume_error(protocol)

    def receive(protocol, data):
        plain(protocol, data)
        if not received and protocol.transport is not None:
            consume_error(protocol)

    monkeypatch.setattr(targetconnections.Connection, 'buffer_updated', update)
    monkeypatch.setattr(
        httpconnector.CheckedResponseHandler, 'data_received', receive
    )
    with rawservers.RawServer(serve) as raw:
        async with asyncio.timeout(rawservers.LIMIT_S):
            with pytest.raises(errors.PeerConnectionLost):
                await call(raw, b'short')
    assert received
