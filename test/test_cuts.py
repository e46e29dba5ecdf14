"""Guards against truncated answers that are passed on as complete."""

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
UNTIL_CLOSE_HEAD = HEAD + b'Connection: close\r\n\r\n'
# Time for sent bytes to arrive before a reset, which would discard them.
ARRIVAL_TIME_S = 0.002

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
    """Use the event loop of production, whose reads differ from asyncio's."""
    return request.param()


def close_orderly(connection):
    """Close like a process that ends in an orderly way."""
    connection.close()


def reset(connection):
    """Close like a process that is killed with unread bytes."""
    time.sleep(ARRIVAL_TIME_S)
    rawservers.reset(connection)


class AnswerClassifier:
    """Sends a request and returns what the caller's node would receive."""

    def __init__(self, close):
        self.answer = b''

        def serve(raw, connection, _number):
            raw.read_head(connection)
            raw.send(connection, self.answer)
            close(connection)

        self.raw = rawservers.RawServer(serve)

    async def classify(self, answer):
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


# Guards against an answer truncated at any byte that counts as a success or
# as "not run".
@pytest.mark.parametrize('close', [close_orderly, reset])
@pytest.mark.parametrize('answer', ANSWERS.values(), ids=ANSWERS)
async def test_cut_answer_is_lost_at_every_byte(answer, close):
    classifier = AnswerClassifier(close)
    with classifier.raw:
        found = {
            cut: await classifier.classify(answer[:cut])
            for cut in range(len(answer))
        }
        assert set(found.values()) == {'lost'}
        if close is close_orderly:
            assert await classifier.classify(answer) != 'lost'


# Guards against a truncated answer without length that counts as complete,
# because its body is empty or ends with a reset. HTTP cannot distinguish a
# body truncated by an orderly close from a complete one, so these cuts are
# left out.
@pytest.mark.parametrize('close', [close_orderly, reset])
async def test_answer_until_close_is_lost_in_its_head(close):
    classifier, answer = AnswerClassifier(close), UNTIL_CLOSE_HEAD + BODY
    cuts = range(
        len(UNTIL_CLOSE_HEAD) + 1
        if close is close_orderly
        else len(answer) + 1
    )
    with classifier.raw:
        found = {cut: await classifier.classify(answer[:cut]) for cut in cuts}
        assert set(found.values()) == {'lost'}
        if close is close_orderly:
            assert await classifier.classify(answer) == BODY


# Guards against parser state that is lost between reads, with answers that
# arrive in two pieces.
@pytest.mark.parametrize(
    'name', ['with length', 'chunked', 'after interim answers']
)
async def test_answer_in_two_pieces_is_whole(name):
    answer, cuts = ANSWERS[name], iter(range(1, len(ANSWERS[name])))

    def serve(raw, connection, _number):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for cut in cuts:
            raw.read_head(connection)
            raw.send(connection, answer[:cut])
            time.sleep(ARRIVAL_TIME_S)
            raw.send(connection, answer[cut:])

    with rawservers.RawServer(serve) as raw:
        port = raw.build_client()
        async with asyncio.timeout(rawservers.LIMIT_S):
            for _ in range(1, len(answer)):
                reply = await port.send(rawservers.make_head(), b'')
                assert await wholebodies.read_answer(reply) == BODY
        assert raw.count == 1
        port.close_idle()


# Answers that are invalid or incomplete although the connection is closed in
# an orderly way.
INVALID_ANSWERS = {
    'line end within the length': HEAD + b'Content-Length: 1\r\n',
    'head ends within the length': HEAD + b'Content-Length: 1\r\n\r\n',
    'body behind a cut length': HEAD + b'Content-Length: 1\r\n\r\n' + BODY,
    'length without digits': HEAD + b'Content-Length: \r\n\r\n',
    'length without digits, body': HEAD + b'Content-Length:\r\n\r\n' + BODY,
    'head ends before the length': HEAD + b'\r\n',
    'body without length': HEAD + b'\r\n' + BODY,
    'close, no body': UNTIL_CLOSE_HEAD,
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


# Guards against a success with an empty or short body, or without the
# signature of the target.
@pytest.mark.parametrize(
    'answer', INVALID_ANSWERS.values(), ids=INVALID_ANSWERS
)
async def test_invalid_success_is_lost(answer):
    classifier = AnswerClassifier(close_orderly)
    with classifier.raw:
        assert await classifier.classify(answer) == 'lost'


# Guards against a signature check that drops the target's own errors: only a
# success needs the signature.
@pytest.mark.parametrize('status', [304, 404, 409, 500, 503])
async def test_errors_of_the_target_are_passed_on(status):
    classifier = AnswerClassifier(close_orderly)
    body = b'' if status == 304 else BODY
    with classifier.raw:
        assert (
            await classifier.classify(
                rawservers.encode_answer(status, body=body)
            )
            == body
        )
