"""Large replies to callers, written in parts that the line grants."""

import asyncio
import dataclasses
import math
import types

import pytest

from sesamejunction.border import hostedmetrics
from sesamejunction.border import pipelinedhttp
from sesamejunction.commands import largeanswers
from sesamejunction.commands import wholebodies
from sesamejunction.decisions import linebudget
from sesamejunction.model import requests
from sesamejunction.platform import frontend
from sesamejunction.tasks import line
from test import requestfakes
from test import test_pipelinedhttp as plain

LARGE = b'x' * (1 << 20)
EXPECT = f'Expect: 100-continue\r\n{plain.CLOSE}'


class FakeLine:
    """Grants every part after ``delay_s``; records open answers."""

    def __init__(self):
        self.delay_s = 0.0
        self.open = set()
        self.granted = []
        self.error = None
        self.ports = self.handler = None

    def begin(self, size, rank, deadline):
        self.open.add(size)
        return size

    async def grant(self, size, rank, deadline, number=0):
        await asyncio.sleep(self.delay_s)
        self.granted.append(size)
        if self.error is not None and len(self.granted) > 3:
            raise self.error

    def end(self, number):
        self.open.remove(number)


@pytest.fixture
async def paced(unused_tcp_port):
    """Yield the port of a server and its line."""
    line, handler = FakeLine(), plain.Handler()
    ports = pipelinedhttp.ServerPorts(
        handler.handle,
        lambda request: request.method == 'GET',
        lambda: handler.stopping,
        lambda: plain.HEAD_LIMIT,
        asyncio.get_running_loop().time,
        line=line,
    )
    line.ports, line.handler = ports, handler
    server = pipelinedhttp.CallerServer(ports)
    await server.start(plain.HOST, unused_tcp_port, 10)
    yield unused_tcp_port, line
    await server.close()


async def exchange(port, parts):
    """Send texts 0.3 s apart and return what is read meanwhile and later."""
    reader, writer = await asyncio.open_connection(plain.HOST, port)
    received = asyncio.ensure_future(reader.read())
    for part in parts:
        writer.write(part.encode('latin-1'))
        await asyncio.sleep(0.3)
    async with asyncio.timeout(5.0):
        text = await received
    writer.close()
    return text.decode('latin-1')


# Rows: what the caller sends, and the statuses in their order.
PIPELINES = {
    'one': (plain.request('/large', fields=plain.CLOSE), [200]),
    'before a small one': (plain.request('/large') + plain.LAST, [200, 200]),
    'behind a slow one': (
        plain.request('/slow') + plain.request('/large') + plain.LAST,
        [200, 200, 200],
    ),
    'before a body that is asked for': (
        plain.request('/large') + plain.upload('/a', 3, 0, EXPECT) + '\0bbb',
        [200, 100, 200],
    ),
    'before an unreadable request': (
        plain.request('/large') + 'odd\r\n\r\n',
        [200, 400],
    ),
}


# Guards against bytes of another answer inside a large one, and against a
# large one that is cut by what follows it.
@pytest.mark.parametrize(
    ('sent', 'statuses'), PIPELINES.values(), ids=PIPELINES
)
async def test_large_reply_is_written_whole(paced, sent, statuses):
    port, line = paced
    line.delay_s = 0.003
    text = await exchange(port, sent.split('\0'))
    assert plain.list_statuses(text) == statuses
    assert LARGE.decode() in text
    assert sum(line.granted) > len(LARGE)
    assert max(line.granted) <= pipelinedhttp.REPLY_PART_BYTES
    assert not line.open


async def leave(writer, line):
    writer.transport.abort()


async def break_line(writer, line):
    line.error = ValueError('a fault')


# Guards against a broken reply that looks complete, and against an answer
# that stays counted.
@pytest.mark.parametrize('end', [leave, break_line])
async def test_reply_that_breaks_off(paced, end):
    port, line = paced
    line.delay_s = 0.01
    reader, writer = await asyncio.open_connection(plain.HOST, port)
    writer.write(plain.request('/large').encode())
    received = await reader.readuntil(b'xxx')
    await asyncio.sleep(0.05)
    assert line.open
    await end(writer, line)
    await asyncio.sleep(0.1)
    assert not line.open
    assert len(line.granted) < len(LARGE) / pipelinedhttp.REPLY_PART_BYTES
    if end is break_line:
        try:
            received += await reader.read()
        except ConnectionResetError:
            pass
        assert len(received) < len(LARGE)
    writer.transport.abort()


async def test_nothing_runs_behind_the_last_answer(paced):
    # Guards against a request that arrives while the last answer of a stopping
    # node leaves: its caller sends it again elsewhere, so it would run twice.
    port, line = paced
    line.delay_s, line.handler.stopping = 0.02, True
    reader, writer = await asyncio.open_connection(plain.HOST, port)
    writer.write(plain.request('/large').encode())
    received = await reader.readuntil(b'xxx')
    assert b'Connection: close' in received
    writer.write(plain.upload('/again', 3).encode())
    received += await reader.read(-1)
    assert received.endswith(LARGE)
    assert plain.list_statuses(received.decode()) == [200]
    assert line.handler.started == ['/large']
    writer.close()


async def test_connection_is_busy_between_parts(paced):
    # Guards against a large answer that is cut as an idle connection, and
    # against parts that count as progress of a slow reader.
    port, line = paced
    line.delay_s = 0.02
    reader, writer = await asyncio.open_connection(plain.HOST, port)
    writer.write(plain.request('/large').encode())
    await reader.readuntil(b'xxx')
    (connection,) = line.ports.connections
    since = connection.holder.since
    for _ in range(5):
        connection.pause_writing()
        connection.resume_writing()
        await asyncio.sleep(0.02)
        assert line.open
        assert (connection.holder.is_busy, connection.holder.since) == (
            True,
            since,
        )
    writer.transport.abort()


async def test_line_waits_for_no_caller_that_does_not_read(paced):
    # Guards against parts that wait in memory, and take turns on the line, for
    # a caller that does not read.
    port, line = paced
    _, writer = await asyncio.open_connection(plain.HOST, port, limit=1)
    writer.write(plain.request('/large').encode() * 30)
    granted = -1
    async with asyncio.timeout(5):
        while granted != len(line.granted):
            granted = len(line.granted)
            await asyncio.sleep(0.2)
    assert len(line.open) == 1
    assert sum(line.granted) < 30 * len(LARGE)
    writer.transport.abort()


# Rows: size of earlier answers of the route and of this one, whether the
# request is routed, and the deadline of the reply's parts, if it has any.
ENTRIES = {
    'nothing known': (0, 90_000, True, 9.0),
    'expected': (90_000, 90_000, True, 9.0),
    'turns out small': (90_000, 100, True, math.inf),
    'one turn': (20_000, 20_000, True, math.inf),
    'cannot leave': (12_000_000, 90_000, False, None),
}


# Guards against requests sent to another node although their answers cannot
# leave this one, and against answers that stay counted.
@pytest.mark.parametrize(
    ('known', 'size', 'is_routed', 'deadline'), ENTRIES.values(), ids=ENTRIES
)
async def test_answer_is_admitted_where_it_began(
    known, size, is_routed, deadline, monkeypatch
):
    answer = wholebodies.build_answer(200, (), bytes(size))
    routed = []

    async def route(*_):
        routed.append(task.held_bytes)
        return answer

    monkeypatch.setattr(frontend.commands, 'route_request', route)
    task = line.Line(10.0, hostedmetrics.HostedMetrics(), clock=lambda: 0.0)
    running = asyncio.ensure_future(task.run())
    answers = largeanswers.Ports(task)
    if known:
        answers.sizes.record('', known)
    ports = types.SimpleNamespace(clock=lambda: 0.0)
    front = frontend.Frontend(
        frontend.FrontendContext(
            *(ports, None, 's', None, None), answers=answers
        )
    )
    head = dataclasses.replace(requestfakes.HEAD, deadline=9.0)
    outcome = await front._route(None, head, None)
    assert routed == ([known] if is_routed else [])
    if not is_routed:
        assert outcome.outcome is requests.Outcome.NOT_RUN
        assert outcome.code is requests.Code.OVERLOADED
    else:
        body = await wholebodies.read_answer(outcome)
        reply = pipelinedhttp.CallerReply(200, (), body)
        if size >= linebudget.LARGE_ANSWER_BYTES:
            reply = await front._pace_reply(head, reply)
        assert (reply.body, reply.deadline) == (body, deadline)
    await asyncio.sleep(0)
    assert not (task.held_bytes or task.open_answers)
    running.cancel()
