"""Tests the streaming HTTP client with faulty targets.

The targets send endless answers, duplicate refusals and truncated answers.
"""

import asyncio
import contextlib
import hashlib
import socket
import time

import pytest
import uvloop

from sesamejunction.border import httpclient
from sesamejunction.border import targethttp
from sesamejunction.commands import uploads
from sesamejunction import errors
from sesamejunction.model import requests
from test import rawservers

HEAD = b'HTTP/1.1 200 OK\r\nSJ-Request-Id: r1\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
BODY = b'whole answer'
SUCCESS = HEAD + b'Content-Length: 12\r\n\r\n' + BODY
REFUSAL = (
    b'HTTP/1.1 503 X\r\nSJ-Request-Id: r1\r\nSJ-Not-Run: 1\r\n'
    b'Content-Length: 0\r\n\r\n'
)
OTHER = SUCCESS.replace(b'r1', b'r2')
# 99 % of requests are answered in this time; no endless answer may block the
# event loop for longer.
MAX_TURN_S = 0.012
ARRIVAL_WAIT_S = 0.03

ENDLESS_ANSWERS = {
    'status line': (b'HTTP/1.1 200 ', b'x' * 4096),
    'header name': (b'HTTP/1.1 200 OK\r\nX', b'x' * 4096),
    'header value': (b'HTTP/1.1 200 OK\r\nX: ', b'x' * 4096),
    'header lines': (b'HTTP/1.1 200 OK\r\n', b'X: a\r\n' * 600),
    'interim answers': (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 200),
    'blank lines': (b'', b'\r\n' * 2048),
    'chunk size': (CHUNKED, b'0' * 4096),
    'chunk extension': (CHUNKED + b'2;', b'x' * 4096),
    'chunk extensions': (CHUNKED, (b'1;' + b'x' * 99 + b'\r\na\r\n') * 40),
    'trailer': (CHUNKED + b'2\r\nok\r\n0\r\nX: ', b'x' * 4096),
    'trailers': (CHUNKED + b'2\r\nok\r\n0\r\n', b'X: a\r\n' * 600),
    'chunks of a byte': (CHUNKED, b'1\r\nx\r\n' * 600),
    'declared body': (
        HEAD + b'Content-Length: 999999999999\r\n\r\n', bytes(1 << 16),
    ),
    'body until close': (
        HEAD + b'Connection: close\r\n\r\n', bytes(1 << 16),
    ),
    'answers to others': (b'', OTHER * 50),
}  # fmt: skip


@pytest.fixture(params=[uvloop.EventLoopPolicy], ids=['uvloop'])
def event_loop_policy(request):
    """Run on uvloop, as in production; it reads in its own way."""
    return request.param()


async def send(http, port):
    """Send a request whose deadline is after the end of any test."""
    head = rawservers.make_head(None, method='POST')
    return await http.send(
        f'127.0.0.1:{port}', head, '/', {}, uploads.EMPTY, 20.0
    )


@pytest.fixture(autouse=True)
def allow_slow_connects(monkeypatch):
    """Allow slow connects; on a busy machine the resolver thread is slow."""
    monkeypatch.setattr(httpclient, 'CONNECT_TIMEOUT_S', rawservers.LIMIT_S)


@contextlib.asynccontextmanager
async def call_server(serve):
    """Yield the server and a function that sends a request to it."""
    with rawservers.RawServer(serve) as raw:
        async with httpclient.HttpClient() as http:

            async def call():
                reply = await send(http, raw.port)
                async with reply.resources:
                    body = b''
                    async for chunk in reply.chunks:
                        # Keep only the end, since a caller buffers nothing
                        # either.
                        body = (body + chunk)[-64:]
                return reply.status, body

            yield raw, call


async def measure_turns(turns_s):
    """Record the processor time that each turn of the loop takes."""
    while True:
        started = time.thread_time()
        await asyncio.sleep(0)
        turns_s.append(time.thread_time() - started)


@pytest.mark.parametrize(
    ('first', 'rest'), ENDLESS_ANSWERS.values(), ids=ENDLESS_ANSWERS
)
async def test_endless_answer_is_aborted(first, rest, monkeypatch):
    """Guards against hangs and a blocked event loop in head and body."""
    monkeypatch.setattr(httpclient, 'MAX_ANSWER_BYTES', 1 << 23, raising=False)
    rest *= -(-(1 << 17) // len(rest))

    def serve(raw, sock, _number):
        raw.read_head(sock)
        raw.send(sock, first)
        while True:
            raw.send(sock, rest)

    async with call_server(serve) as (raw, call):
        turns_s = []
        measure = asyncio.ensure_future(measure_turns(turns_s))
        async with asyncio.timeout(rawservers.LIMIT_S):
            with pytest.raises(errors.PeerConnectionLost):
                await call()
        await asyncio.sleep(0.05)
        sent = raw.sent
        await asyncio.sleep(0.05)
        measure.cancel()
        assert raw.sent == sent
        assert max(turns_s) < MAX_TURN_S


# What connection 0 writes for two requests, what it writes between them,
# whether the event loop is blocked meanwhile so that this stays unread, and
# the number of connections made.
DUPLICATES = {
    'none': ((REFUSAL, SUCCESS), b'', False, 1),
    'while idle': ((REFUSAL, SUCCESS), REFUSAL, False, 2),
    'unread at the send': ((REFUSAL, SUCCESS), REFUSAL, True, 2),
    'in the same packet': ((REFUSAL + REFUSAL, SUCCESS), b'', False, 2),
    'close unread at the send': ((REFUSAL,), b'close', True, 2),
}


# Guards against requests that are lost or refused because of a duplicate of an
# earlier refusal.
@pytest.mark.parametrize(
    ('answers', 'later', 'blocked', 'count'),
    DUPLICATES.values(),
    ids=DUPLICATES,
)
async def test_duplicate_refusal_is_not_accepted(
    answers, later, blocked, count
):
    def serve(raw, sock, number):
        for answer in answers if number == 0 else ():
            raw.read_head(sock)
            raw.send(sock, answer)
            if len(raw.heads) == 1 and later == b'close':
                sock.close()
            elif len(raw.heads) == 1:
                time.sleep(ARRIVAL_WAIT_S / 3)
                raw.send(sock, later)
        raw.read_head(sock)
        raw.send(sock, SUCCESS)

    async with (
        call_server(serve) as (raw, call),
        asyncio.timeout(rawservers.LIMIT_S),
    ):
        assert await call() == (503, b'')
        if blocked:
            time.sleep(ARRIVAL_WAIT_S)
        elif later:
            await asyncio.sleep(ARRIVAL_WAIT_S)
        assert await call() == (200, BODY)
        assert raw.count == count


async def test_partial_duplicate_refusal_is_not_accepted():
    """Guards against a refusal assembled from bytes of two answers."""

    def serve(raw, sock, _number):
        raw.read_head(sock)
        raw.send(sock, REFUSAL + REFUSAL[:9])
        raw.read_head(sock)
        raw.send(sock, REFUSAL[9:])

    async with (
        call_server(serve) as (_, call),
        asyncio.timeout(rawservers.LIMIT_S),
    ):
        assert await call() == (503, b'')
        with pytest.raises(errors.PeerConnectionLost):
            await call()


async def test_large_answers_arrive_whole():
    """Guards against bytes lost or reordered between turns of the loop."""
    body = bytes(range(256)) * (1 << 13)
    digest = hashlib.sha256(body).digest()
    plain = HEAD + f'Content-Length: {len(body)}\r\n\r\n'.encode() + body
    chunked = CHUNKED + b'200000\r\n' + body + b'\r\n0\r\n\r\n'
    closed = HEAD + b'Connection: close\r\n\r\n' + body

    def serve(raw, sock, _number):
        for answer in (plain, chunked, closed):
            raw.read_head(sock)
            raw.send(sock, answer)
        sock.close()

    with rawservers.RawServer(serve) as raw:
        async with (
            httpclient.HttpClient() as http,
            asyncio.timeout(rawservers.LIMIT_S),
        ):
            for _ in range(3):
                reply = await send(http, raw.port)
                received = hashlib.sha256()
                async with reply.resources:
                    async for chunk in reply.chunks:
                        received.update(chunk)
                assert received.digest() == digest
            assert raw.count == 1


TRUNCATED_ANSWERS = {
    'with length': SUCCESS,
    'chunked': CHUNKED + b'5\r\nwhole\r\n7;x=y\r\n answer\r\n0\r\n\r\n',
    'after an interim answer': b'HTTP/1.1 100 Continue\r\n\r\n' + SUCCESS,
    'until close': HEAD + b'Connection: close\r\n\r\n' + BODY,
}


# Guards against a success with an empty or truncated body. If an orderly close
# truncates a body without a length, it looks complete.
@pytest.mark.parametrize('orderly', [True, False], ids=['close', 'reset'])
@pytest.mark.parametrize('name', TRUNCATED_ANSWERS)
async def test_truncated_answer_is_lost_at_every_byte(name, orderly):
    answer = TRUNCATED_ANSWERS[name]
    sizes = range(
        len(answer) - (len(BODY) - 1 if name == 'until close' else 0)
    )
    cuts = iter(sizes)

    def serve(raw, sock, _number):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        raw.read_head(sock)
        raw.send(sock, answer[: next(cuts)])
        if orderly:
            sock.close()
        else:
            time.sleep(0.002)
            rawservers.reset(sock)

    async with call_server(serve) as (_, call), asyncio.timeout(30):
        outcomes = []
        for _ in sizes:
            try:
                outcomes.append(await call())
            except errors.PeerConnectionLost:
                outcomes.append('lost')
        assert set(outcomes) == {'lost'}


# Guards against "not run" for a request that its target answers with a
# success.
async def test_refusal_with_a_success_is_an_unknown_outcome():
    def serve(raw, sock, _number):
        raw.read_head(sock)
        raw.send(sock, REFUSAL.replace(b'503', b'200'))
        raw.read_head(sock)

    with rawservers.RawServer(serve) as raw:
        async with (
            httpclient.HttpClient() as http,
            targethttp.TargetTransport(
                http, '127.0.0.1', time.monotonic
            ) as transport,
        ):
            transport.port = raw.port
            grant = requests.Grant(time.monotonic() + 9)
            with pytest.raises(errors.PeerConnectionLost):
                await transport.send(
                    grant, rawservers.make_head(None), uploads.EMPTY
                )
