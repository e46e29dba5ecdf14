"""Guards against answers that are passed on although they were cut."""

import asyncio
import socket
import time

import pytest
import uvloop

from sesamejunction.commands import wholebodies
from sesamejunction import errors
from sesamejunction.model import requests
from test import rawservers

START = b'HTTP/1.1 200 OK\r\n'
FIELDS = b'X-Attempt-Id: a\r\nX-Response-Signature: s\r\n'
HEAD = START + FIELDS
LENGTH = HEAD + b'Content-Length: 12\r\n\r\n'
BODY = b'whole answer'
CLOSE = HEAD + b'Connection: close\r\n\r\n'
# What was sent has arrived before the reset, which would drop it.
ARRIVE_S = 0.002

ANSWERS = {
    'with length': LENGTH + BODY,
    'length first': START + b'Content-Length: 12\r\n' + FIELDS + b'\r\n'
    + BODY,
    'empty body': HEAD + b'Content-Length: 0\r\n\r\n',
    'no content': b'HTTP/1.1 204 No Content\r\n' + FIELDS + b'\r\n',
    'chunked': HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
    b'5\r\nwhole\r\n7;x=y\r\n answer\r\n0\r\n\r\n',
    'trailers': HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
    b'c\r\nwhole answer\r\n0\r\nX-Sum: 1\r\n\r\n',
    'length and close': HEAD + b'Connection: close\r\n'
    b'Content-Length: 12\r\n\r\n' + BODY,
    'after interim answers': b'HTTP/1.1 100 Continue\r\n\r\n'
    b'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n' + LENGTH + BODY,
    'refusal': rawservers.encode_refusal(),
}  # fmt: skip


@pytest.fixture(params=[uvloop.EventLoopPolicy], ids=['uvloop'])
def event_loop_policy(request):
    """Run under the loop of production, which reads in its own way."""
    return request.param()


def shut(one):
    """Close as a process does that ends in order."""
    one.close()


def reset(one):
    """Close as a process does that is killed with bytes unread."""
    time.sleep(ARRIVE_S)
    rawservers.reset(one)


class Outcomes:
    """Sends a request and returns what the caller's node would get."""

    def __init__(self, close):
        self.answer = b''

        def serve(raw, one, _number):
            raw.read_head(one)
            raw.send(one, self.answer)
            close(one)

        self.raw = rawservers.RawServer(serve)

    async def find(self, answer):
        """Return the body, the refusal's outcome, or 'lost'."""
        self.answer = answer
        port = self.raw.build_client()
        head = rawservers.make_head(method='POST', repeatable=False)
        try:
            async with asyncio.timeout(rawservers.LIMIT_S):
                reply = await port.send(head, b'')
        except errors.PeerConnectionLost:
            return 'lost'
        finally:
            port.close_idle()
        if isinstance(reply, requests.Refusal):
            return reply.outcome
        return await wholebodies.read_answer(reply)


# Guards against a success, or "not run", from an answer cut at any byte.
@pytest.mark.parametrize('close', [shut, reset])
@pytest.mark.parametrize('answer', ANSWERS.values(), ids=ANSWERS)
async def test_cut_answer_is_lost_at_every_byte(answer, close):
    outcomes = Outcomes(close)
    with outcomes.raw:
        found = {
            cut: await outcomes.find(answer[:cut])
            for cut in range(len(answer))
        }
        assert set(found.values()) == {'lost'}
        if close is shut:
            assert await outcomes.find(answer) != 'lost'


# Guards against a head without length that is taken for a whole answer: its
# body is empty, or ends with a reset. HTTP cannot tell a body that was cut by
# an orderly close from a whole one, so those cuts are not in the table.
@pytest.mark.parametrize('close', [shut, reset])
async def test_answer_until_close_is_lost_in_its_head(close):
    outcomes, answer = Outcomes(close), CLOSE + BODY
    cuts = range(len(CLOSE) + 1 if close is shut else len(answer) + 1)
    with outcomes.raw:
        found = {cut: await outcomes.find(answer[:cut]) for cut in cuts}
        assert set(found.values()) == {'lost'}
        if close is shut:
            assert await outcomes.find(answer) == BODY


# An answer that arrives in two pieces is the same as in one; guards against
# state that is lost between reads.
@pytest.mark.parametrize(
    'name', ['with length', 'chunked', 'after interim answers']
)
async def test_answer_in_two_pieces_is_whole(name):
    answer, cuts = ANSWERS[name], iter(range(1, len(ANSWERS[name])))

    def serve(raw, one, _number):
        one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for cut in cuts:
            raw.read_head(one)
            raw.send(one, answer[:cut])
            time.sleep(ARRIVE_S)
            raw.send(one, answer[cut:])

    with rawservers.RawServer(serve) as raw:
        port = raw.build_client()
        async with asyncio.timeout(rawservers.LIMIT_S):
            for _ in range(1, len(answer)):
                reply = await port.send(rawservers.make_head(), b'')
                assert await wholebodies.read_answer(reply) == BODY
        assert raw.count == 1
        port.close_idle()


# Answers that end as a whole one does, but are not: what the target writes.
BROKEN = {
    'line end within the length': HEAD + b'Content-Length: 1\r\n',
    'head ends within the length': HEAD + b'Content-Length: 1\r\n\r\n',
    'body behind a cut length': HEAD + b'Content-Length: 1\r\n\r\n' + BODY,
    'length without digits': HEAD + b'Content-Length: \r\n\r\n',
    'length without digits, body': HEAD + b'Content-Length:\r\n\r\n' + BODY,
    'head ends before the length': HEAD + b'\r\n',
    'body without length': HEAD + b'\r\n' + BODY,
    'close, no body': CLOSE,
    'no empty line': HEAD + b'Content-Length: 12\r\n' + BODY,
    'no empty line, no body': HEAD + b'Content-Length: 0\r\n',
    'status line only': START,
    'status line and empty line': START + b'\r\n',
    'status line without line end': b'HTTP/1.1 200 OK\r',
    'field without value': HEAD + b'Content-Le\r\n\r\n',
    'two lengths': HEAD + b'Content-Length: 1\r\nContent-Length: 12\r\n\r\n'
    + BODY,
    'length and chunks': HEAD + b'Transfer-Encoding: chunked\r\n'
    b'Content-Length: 1\r\n\r\n' + BODY,
    'unknown encoding': HEAD + b'Transfer-Encoding: chunke\r\n\r\n' + BODY,
    'chunk without last chunk': HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
    b'c\r\nwhole answer\r\n',
    'interim answer only': b'HTTP/1.1 100 Continue\r\n\r\n',
    'interim answer, cut head': b'HTTP/1.1 100 Continue\r\n\r\n' + HEAD,
    'line feeds only': LENGTH.replace(b'\r\n', b'\n'),
    'no signature': rawservers.encode_answer(200, body=BODY),
    'no signature, no content': rawservers.encode_answer(204),
    'signature without value': rawservers.encode_answer(
        200, 'X-Response-Signature: ', body=BODY
    ),
    'no signature, until close': START + b'X-Attempt-Id: a\r\n'
    b'Connection: close\r\n\r\n' + BODY,
}  # fmt: skip


# Guards against a success with an empty or short body, or from elsewhere.
@pytest.mark.parametrize('answer', BROKEN.values(), ids=BROKEN)
async def test_broken_success_is_lost(answer):
    outcomes = Outcomes(shut)
    with outcomes.raw:
        assert await outcomes.find(answer) == 'lost'


# Guards against a check that loses the target's own errors: only a success
# needs the signature.
@pytest.mark.parametrize('status', [304, 404, 409, 500, 503])
async def test_errors_of_the_target_are_passed_on(status):
    outcomes = Outcomes(shut)
    body = b'' if status == 304 else BODY
    with outcomes.raw:
        assert (
            await outcomes.find(rawservers.encode_answer(status, body=body))
            == body
        )
