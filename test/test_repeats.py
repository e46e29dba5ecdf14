"""Guards against duplicate refusals sent by a target."""

import asyncio
import dataclasses
import time

import pytest
import uvloop

from sesamejunction.border import targetconnections
from sesamejunction.commands import wholebodies
from sesamejunction import errors
from sesamejunction.model import requests
from test import rawservers

REFUSAL = rawservers.encode_refusal()
WHOLE = rawservers.encode_success()
WHOLE_B = rawservers.encode_success(attempt='b')
NO_ID = rawservers.encode_refusal(attempt=None)
# Long enough for bytes to arrive over loopback.
ARRIVAL_TIME_S = 0.03


@dataclasses.dataclass(frozen=True)
class Case:
    """What connection 0 writes to its first and second request.

    ``later`` is sent unasked, before the second request. ``blocked`` keeps
    the loop from reading it. Other connections answer ``b`` and ``a`` like a
    correct target. ``second`` is the id of the second request,
    ``connections`` the total number of connections.
    """

    answers: tuple[bytes, ...]
    later: bytes = b''
    blocked: bool = False
    first: str | None = 'a'
    second: str | None = 'b'
    connections: int = 2


CASES = {
    # A new connection costs about 1 ms; only a repeated id needs one.
    'no copy, another id': Case((REFUSAL, WHOLE_B), connections=1),
    'copy in place of an answer': Case((REFUSAL, REFUSAL), second='a'),
    'copy before the answer': Case((REFUSAL, REFUSAL + WHOLE), second='a'),
    'copy of 421': Case((rawservers.encode_refusal(421),) * 2, second='a'),
    'copy of 429': Case((rawservers.encode_refusal(429),) * 2, second='a'),
    'copy without ids': Case((NO_ID, NO_ID), first=None, second=None),
    'copy while idle': Case((REFUSAL, REFUSAL), REFUSAL, second='a'),
    'copy unread at the send': Case((REFUSAL,) * 2, REFUSAL, True, second='a'),
    'copy unread, another id': Case((REFUSAL, b''), REFUSAL, True),
    'copy without id unread': Case((REFUSAL, b''), NO_ID, True),
    'copy in the same packet': Case((REFUSAL + REFUSAL, b'')),
    'part of a copy': Case((REFUSAL + REFUSAL[:9], REFUSAL[9:])),
    'line ends behind a refusal': Case((REFUSAL, b''), b'\r\n', True),
    'close unread at the send': Case((REFUSAL,), b'close', True),
    'copy for another id': Case(
        (REFUSAL, REFUSAL + WHOLE_B), connections=1
    ),
}  # fmt: skip


@pytest.fixture(
    params=[asyncio.DefaultEventLoopPolicy, uvloop.EventLoopPolicy],
    ids=['asyncio', 'uvloop'],
)
def event_loop_policy(request):
    """Use asyncio's and the production event loop, whose reads differ."""
    return request.param()


def serve_case(case):
    def serve(raw, connection, number):
        for answer in case.answers if number == 0 else ():
            raw.read_head(connection)
            raw.send(connection, answer)
            if len(raw.heads) == 1 and case.later == b'close':
                connection.close()
            elif len(raw.heads) == 1:
                time.sleep(ARRIVAL_TIME_S / 3)
                raw.send(connection, case.later)
        while True:
            sent = b'X-Attempt-Id: b' in raw.read_head(connection)
            attempt = case.second and ('b' if sent else 'a')
            raw.send(connection, rawservers.encode_success(attempt=attempt))

    return rawservers.RawServer(serve)


# Guards against "not run" for a request that runs, and against requests that
# fail because of extra bytes after an earlier answer.
@pytest.mark.parametrize('case', CASES.values(), ids=CASES)
async def test_duplicate_refusal_is_ignored(case):
    with serve_case(case) as raw:
        port = raw.build_client()
        async with asyncio.timeout(rawservers.LIMIT_S):
            found = await send(port, case.first)
            assert isinstance(found, requests.Refusal)
            if case.blocked:
                time.sleep(ARRIVAL_TIME_S)
            elif case.later:
                await asyncio.sleep(ARRIVAL_TIME_S)
            found = await send(port, case.second)
            assert await wholebodies.read_answer(found) == b'whole'
        assert raw.count == case.connections
        port.close_idle()


async def send(port, attempt):
    """Send a request that may not be repeated."""
    head = rawservers.make_head(attempt, method='POST', repeatable=False)
    return await port.send(head, b'')


CONTRADICTIONS = {
    'refusal, then the answer': REFUSAL + WHOLE,
    'refusal with a success': rawservers.encode_answer(
        200, 'X-Not-Executed: 1'
    ),
    'signed refusal with a success': rawservers.encode_answer(
        200, 'X-Not-Executed: 1', 'X-Response-Signature: s'
    ),
    'refusal of two requests': rawservers.encode_answer(
        503, 'X-Not-Executed: 1', 'X-Attempt-Id: b'
    ),
    'refusal without the id': NO_ID,
}


# Guards against "not run" from a refusal that may belong to another request.
@pytest.mark.parametrize('answer', CONTRADICTIONS.values(), ids=CONTRADICTIONS)
async def test_ambiguous_refusal_is_an_unknown_outcome(answer):
    def serve(raw, connection, _number):
        raw.read_head(connection)
        raw.send(connection, answer)
        time.sleep(ARRIVAL_TIME_S)
        connection.shutdown(rawservers.socket.SHUT_WR)
        assert rawservers.is_closed(connection)

    with rawservers.RawServer(serve) as raw:
        port = raw.build_client()
        async with asyncio.timeout(rawservers.LIMIT_S):
            with pytest.raises(errors.PeerConnectionLost):
                await send(port, 'a')
        port.close_idle()


async def test_refused_ids_of_a_connection_are_bounded():
    """Guards against a list of ids that grows or drops ids."""
    limit = targetconnections.MAX_REFUSED_IDS

    def serve(raw, connection, _number):
        while True:
            head = raw.read_head(connection).decode()
            attempt = head.partition('X-Attempt-Id: ')[2].split('\r\n')[0]
            raw.send(connection, rawservers.encode_refusal(attempt=attempt))

    with rawservers.RawServer(serve) as raw:
        port = raw.build_client()
        async with asyncio.timeout(rawservers.LIMIT_S):
            for number in range(3 * limit):
                found = await send(port, str(number))
                assert isinstance(found, requests.Refusal)
        assert raw.count == 3
        port.close_idle()
