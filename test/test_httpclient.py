"""Guards against faulty targets of nodes that stream: floods, copies, cuts."""

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
LENGTH = HEAD + b'Content-Length: 12\r\n\r\n' + BODY
REFUSAL = (
    b'HTTP/1.1 503 X\r\nSJ-Request-Id: r1\r\nSJ-Not-Run: 1\r\n'
    b'Content-Length: 0\r\n\r\n'
)
OTHER = LENGTH.replace(b'r1', b'r2')
# 99 in 100 requests are answered in this time; no flood may hold the loop.
HELD_S = 0.012
ARRIVE_S = 0.03

FLOODS = {
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
    """Run under the loop of production, which reads in its own way."""
    return request.param()


async def send(http, port):
    """Send a request whose deadline is later than any test's end."""
    head = rawservers.make_head(None, method='POST')
    return await http.send(
        f'127.0.0.1:{port}', head, '/', {}, uploads.EMPTY, 20.0
    )


@pytest.fixture(autouse=True)
def patient(monkeypatch):
    """Let connections be late; the resolver's thread is, on a busy machine."""
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
                        # Only the end is of interest; a caller holds nothing.
                        body = (body + chunk)[-64:]
                return reply.status, body

            yield raw, call


async def measure_held(held):
    """Note the processor time that each turn of the loop takes."""
    while True:
        started = time.thread_time()
        await asyncio.sleep(0)
        held.append(time.thread_time() - started)


@pytest.mark.parametrize(('first', 'rest'), FLOODS.values(), ids=FLOODS)
async def test_answer_without_end_is_given_up(first, rest, monkeypatch):
    """Guards against hangs and a held loop in head and body."""
    monkeypatch.setattr(httpclient, 'MAX_ANSWER_BYTES', 1 << 23, raising=False)
    rest *= -(-(1 << 17) // len(rest))

    def serve(raw, one, _number):
        raw.read_head(one)
        raw.send(one, first)
        while True:
            raw.send(one, rest)

    async with call_server(serve) as (raw, call):
        held = []
        measure = asyncio.ensure_future(measure_held(held))
        async with asyncio.timeout(rawservers.LIMIT_S):
            with pytest.raises(errors.PeerConnectionLost):
                await call()
        await asyncio.sleep(0.05)
        sent = raw.sent
        await asyncio.sleep(0.05)
        measure.cancel()
        assert raw.sent == sent
        assert max(held) < HELD_S


# What connection 0 writes to two requests, in between, and whether the loop
# is kept from reading that; how many connections are made.
COPIES = {
    'none': ((REFUSAL, LENGTH), b'', False, 1),
    'while idle': ((REFUSAL, LENGTH), REFUSAL, False, 2),
    'unread at the send': ((REFUSAL, LENGTH), REFUSAL, True, 2),
    'in the same packet': ((REFUSAL + REFUSAL, LENGTH), b'', False, 2),
    'close unread at the send': ((REFUSAL,), b'close', True, 2),
}


# Guards against requests that are lost to, or refused by, a copy of an
# earlier refusal.
@pytest.mark.parametrize(
    ('answers', 'later', 'blocked', 'count'), COPIES.values(), ids=COPIES
)
async def test_copy_of_a_refusal_is_not_taken(answers, later, blocked, count):
    def serve(raw, one, number):
        for answer in answers if number == 0 else ():
            raw.read_head(one)
            raw.send(one, answer)
            if len(raw.heads) == 1 and later == b'close':
                one.close()
            elif len(raw.heads) == 1:
                time.sleep(ARRIVE_S / 3)
                raw.send(one, later)
        raw.read_head(one)
        raw.send(one, LENGTH)

    async with (
        call_server(serve) as (raw, call),
        asyncio.timeout(rawservers.LIMIT_S),
    ):
        assert await call() == (503, b'')
        if blocked:
            time.sleep(ARRIVE_S)
        elif later:
            await asyncio.sleep(ARRIVE_S)
        assert await call() == (200, BODY)
        assert raw.count == count


async def test_part_of_a_copy_is_no_answer():
    """Guards against a refusal put together from two requests' bytes."""

    def serve(raw, one, _number):
        raw.read_head(one)
        raw.send(one, REFUSAL + REFUSAL[:9])
        raw.read_head(one)
        raw.send(one, REFUSAL[9:])

    async with (
        call_server(serve) as (_, call),
        asyncio.timeout(rawservers.LIMIT_S),
    ):
        assert await call() == (503, b'')
        with pytest.raises(errors.PeerConnectionLost):
            await call()


async def test_large_answers_arrive_whole():
    """Guards against bytes lost or mixed between turns of the loop."""
    body = bytes(range(256)) * (1 << 13)
    digest = hashlib.sha256(body).digest()
    plain = HEAD + f'Content-Length: {len(body)}\r\n\r\n'.encode() + body
    chunked = CHUNKED + b'200000\r\n' + body + b'\r\n0\r\n\r\n'
    closed = HEAD + b'Connection: close\r\n\r\n' + body

    def serve(raw, one, _number):
        for answer in (plain, chunked, closed):
            raw.read_head(one)
            raw.send(one, answer)
        one.close()

    with rawservers.RawServer(serve) as raw:
        async with (
            httpclient.HttpClient() as http,
            asyncio.timeout(rawservers.LIMIT_S),
        ):
            for _ in range(3):
                reply = await send(http, raw.port)
                found = hashlib.sha256()
                async with reply.resources:
                    async for chunk in reply.chunks:
                        found.update(chunk)
                assert found.digest() == digest
            assert raw.count == 1


CUTS = {
    'with length': LENGTH,
    'chunked': CHUNKED + b'5\r\nwhole\r\n7;x=y\r\n answer\r\n0\r\n\r\n',
    'after an interim answer': b'HTTP/1.1 100 Continue\r\n\r\n' + LENGTH,
    'until close': HEAD + b'Connection: close\r\n\r\n' + BODY,
}


# Guards against a success with an empty or short body. A body without length
# that is cut by an orderly close cannot be told from a whole one.
@pytest.mark.parametrize('orderly', [True, False], ids=['close', 'reset'])
@pytest.mark.parametrize('name', CUTS)
async def test_cut_answer_is_lost_at_every_byte(name, orderly):
    answer = CUTS[name]
    sizes = range(
        len(answer) - (len(BODY) - 1 if name == 'until close' else 0)
    )
    cuts = iter(sizes)

    def serve(raw, one, _number):
        one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        raw.read_head(one)
        raw.send(one, answer[: next(cuts)])
        if orderly:
            one.close()
        else:
            time.sleep(0.002)
            rawservers.reset(one)

    async with call_server(serve) as (_, call), asyncio.timeout(30):
        found = []
        for _ in sizes:
            try:
                found.append(await call())
            except errors.PeerConnectionLost:
                found.append('lost')
        assert set(found) == {'lost'}


# Guards against "not run" for a request whose target says that it succeeded.
async def test_refusal_with_a_success_is_an_unknown_outcome():
    def serve(raw, one, _number):
        raw.read_head(one)
        raw.send(one, REFUSAL.replace(b'503', b'200'))
        raw.read_head(one)

    with rawservers.RawServer(serve) as raw:
        async with (
            httpclient.HttpClient() as http,
            targethttp.TargetTransport(
                http, '127.0.0.1', time.monotonic
            ) as to,
        ):
            to.port = raw.port
            grant = requests.Grant(time.monotonic() + 9)
            with pytest.raises(errors.PeerConnectionLost):
                await to.send(grant, rawservers.make_head(None), uploads.EMPTY)
