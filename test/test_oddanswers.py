"""Answers whose status or length is none, from targets to both clients."""

import asyncio

import pytest

from sesamejunction.border import httpclient
from sesamejunction.commands import uploads
from sesamejunction.commands import wholebodies
from sesamejunction import errors
from test import rawservers

FIELDS = 'X-Attempt-Id: a\r\nX-Response-Signature: s\r\nSJ-Request-Id: r1\r\n'


def encode(status, *fields, body='', version='HTTP/1.1'):
    """Return an answer to the request of these tests."""
    lines = ''.join(f'{field}\r\n' for field in fields)
    return f'{version} {status}\r\n{FIELDS}{lines}\r\n{body}'.encode()


LENGTH = 'Content-Length: 2'
CHUNKED = 'Transfer-Encoding: chunked'
CHUNKS = '2\r\nok\r\n0\r\n\r\n'
# Answers, whether the target closes after them, and the status and body that
# are passed on, None if the answer is lost.
ANSWERS = {
    **{
        f'status {status or "empty"}': (
            encode(status, LENGTH, body='ok'), False, None,
        )
        for status in (
            '000 X', '00 X', '001 X', '099 X', '600 X', '700 X', '999 X',
            '1000 X', '2000 X', '-200 X', '+200 X', '20 X', '2 X', 'OK',
            'two X', '2e2 X', '0x1 X', '20O X', '', ' ',
        )
    },
    'status 200 without a phrase': (
        encode('200', LENGTH, body='ok'), False, (200, b'ok'),
    ),
    'status 599': (encode('599 X', LENGTH, body='ok'), False, (599, b'ok')),
    'old version': (
        encode('200 X', LENGTH, body='ok', version='HTTP/1.0'), True,
        (200, b'ok'),
    ),
    'old version, kept open': (
        encode('200 X', LENGTH, body='ok', version='HTTP/1.0'), False,
        (200, b'ok'),
    ),
    'old version, cut': (
        encode('200 X', LENGTH, body='o', version='HTTP/1.0'), True, None,
    ),
    'old version without length': (
        encode('200 X', body='ok', version='HTTP/1.0'), True, None,
    ),
    'unknown version': (
        encode('200 X', LENGTH, body='ok', version='HTTP/3.7'), False, None,
    ),
    'two lengths': (
        encode('200 X', LENGTH, 'Content-Length: 3', body='ok!'), False, None,
    ),
    'negative length': (
        encode('200 X', 'Content-Length: -2', body='ok'), False, None,
    ),
    'length and chunks': (
        encode('200 X', LENGTH, CHUNKED, body=CHUNKS), False, None,
    ),
    'chunks and length': (
        encode('200 X', CHUNKED, LENGTH, body=CHUNKS), False, None,
    ),
    'interim answers without end': (
        b'HTTP/1.1 102 X\r\n\r\n' * 500, False, None,
    ),
    'change of protocol': (
        encode('101 X', 'Upgrade: h2c', 'Connection: upgrade'), False, None,
    ),
}  # fmt: skip
# An answer that has no body whatever its length says. What follows it may be
# seen before it is passed on, and then it is lost.
BODILESS = {
    f'{status} with {name}': encode(f'{status} X', *fields, body=body)
    for status in (204, 304)
    for name, fields, body in (
        ('a length', (LENGTH,), 'ok'),
        ('chunks', (CHUNKED,), CHUNKS),
        ('a body', (), 'ok'),
    )
}


async def call_target(port):
    """Send a request as a hosted node does; return status and body."""
    client = rawservers.RawServer.build_client(port)
    try:
        answer = await client.send(rawservers.make_head(), b'')
        return answer.status, await wholebodies.read_answer(answer)
    finally:
        client.close_idle()


async def call_plain(raw):
    """Send a request as a plain node does; return status and body."""
    async with httpclient.HttpClient() as http:
        reply = await http.send(
            *(f'127.0.0.1:{raw.port}', rawservers.make_head(None), '/', {}),
            *(uploads.EMPTY, 5.0),
        )
        async with reply.resources:
            body = b''.join([chunk async for chunk in reply.chunks])
        return reply.status, body


CLIENTS = {'target': call_target, 'plain': call_plain}


def serve_answer(answer, closes):
    def serve(raw, sock, _number):
        raw.read_head(sock)
        sock.sendall(answer)
        if closes:
            sock.close()
        else:
            raw.read_head(sock)

    return rawservers.RawServer(serve)


# Guards against callers that get a status that is none, or a body whose
# length two readers understand in different ways.
@pytest.mark.parametrize('call', CLIENTS.values(), ids=CLIENTS)
@pytest.mark.parametrize(
    ('answer', 'closes', 'expected'), ANSWERS.values(), ids=ANSWERS
)
async def test_odd_answer_is_lost(call, answer, closes, expected):
    with serve_answer(answer, closes) as raw:
        async with asyncio.timeout(rawservers.LIMIT_S):
            if expected is None:
                with pytest.raises(errors.PeerConnectionLost):
                    await call(raw)
            else:
                assert await call(raw) == expected


# Guards against a body behind an answer that has none: it is the start of the
# next answer to whoever reads it so.
@pytest.mark.parametrize('call', CLIENTS.values(), ids=CLIENTS)
@pytest.mark.parametrize('answer', BODILESS.values(), ids=BODILESS)
async def test_answer_without_a_body_has_none(call, answer):
    with serve_answer(answer, False) as raw:
        async with asyncio.timeout(rawservers.LIMIT_S):
            try:
                _, body = await call(raw)
            except errors.PeerConnectionLost:
                return
        assert body == b''
