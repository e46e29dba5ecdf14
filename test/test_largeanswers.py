"""Large answers between two nodes over loopback, with running tasks."""

import asyncio
import dataclasses
import random

import msgspec
import pytest

from sesamejunction.border import hostedmetrics
from sesamejunction.border import linkcodec
from sesamejunction.commands import largeanswers
from sesamejunction.commands import wholebodies
from sesamejunction.decisions import linebudget
from sesamejunction import errors
from sesamejunction.model import outgoinganswers
from sesamejunction.model import requests
from sesamejunction.tasks import clock
from sesamejunction.tasks import incominganswer
from sesamejunction.tasks import line
from sesamejunction.tasks import linkserver
from test import test_bodies

LARGEST = 540_000
PART = linebudget.PART_BYTES
HEADERS = (('x-response-signature', 'signed'), ('x-other', '1'))


class SlowAnswers(test_bodies.SlowLine):
    """Also limits the total speed of the way back."""

    back_free_at = 0.0

    async def _pass_back(self, there, writer):
        loop = asyncio.get_running_loop()
        while data := await there.read(16 * 1024):
            begins = max(loop.time(), self.back_free_at)
            self.back_free_at = begins + len(data) / self._bytes_s
            loop.call_at(self.back_free_at, writer.write, data)
        loop.call_at(self.back_free_at, writer.close)


class NodePair(test_bodies.NodePair):
    """A requester, and a node whose target answers with ``body``."""

    def __init__(self, line_mbps=10.0, body=b'', **options):
        super().__init__(**options)
        self.body = body
        metrics = hostedmetrics.HostedMetrics()
        self.line = line.Line(line_mbps, metrics)

    async def __aenter__(self):
        await super().__aenter__()
        self.server_ports = dataclasses.replace(
            self.server_ports, answers=largeanswers.Ports(self.line)
        )
        self.line.find_heard_at = self.server_ports.find_heard_at
        running = asyncio.ensure_future(self.line.run())
        self.stack.callback(running.cancel)
        return self

    async def _host_request(self, head, body):
        self.ran.append(bytes(body))
        answer = b'small' if body == b'small' else self.body
        return wholebodies.build_answer(200, HEADERS, answer)

    def find_bulk(self):
        """Return the requester's connection for large bodies."""
        ((_, bulk),) = [
            item for item in self.links._links.items() if item[0][1]
        ]
        return bulk

    async def start(self):
        """Return a request whose answer is being passed on."""
        sending = self.send(b'get', 3.0)
        await self.wait_until(
            lambda: self.line.left_bytes < self.line.held_bytes
        )
        return sending


def encode_for_older(*args):
    return msgspec.structs.replace(ENCODE_WORK(*args), takes_parts=False)


ENCODE_WORK = linkcodec.encode_work
# Rows: size of the answer, whether the requester takes parts, whether the
# line's speed is known, and whether the answer came in parts.
SIZES = {
    'small': (PART // 2 - 1, True, True, False),
    'just large': (PART // 2, True, True, True),
    'one part': (PART, True, True, True),
    'one byte more': (PART + 1, True, True, True),
    'the largest': (LARGEST, True, True, True),
    'earlier version': (LARGEST, False, True, False),
    'unknown speed': (LARGEST, True, False, False),
}


# Guards against corrupted bodies, lost signatures, bytes that stay counted,
# and requesters of an earlier version that cannot read the reply.
@pytest.mark.parametrize(
    ('size', 'takes_parts', 'knows_speed', 'in_parts'),
    SIZES.values(),
    ids=SIZES,
)
async def test_answer_arrives_whole(
    size, takes_parts, knows_speed, in_parts, monkeypatch
):
    if not takes_parts:
        monkeypatch.setattr(linkcodec, 'encode_work', encode_for_older)
    body = random.Random(size).randbytes(size)
    async with NodePair(80.0, body) as pair:
        if not knows_speed:
            pair.server_ports = dataclasses.replace(
                pair.server_ports, answers=None
            )
        answer = await pair.send(b'get')
        assert (answer.status, answer.headers) == (200, HEADERS)
        assert await wholebodies.read_answer(answer) == body
        assert len(pair.server_ports.connections) == 1 + in_parts
        await pair.wait_until(lambda: not pair.line.held_bytes)
        assert not pair.line.open_answers


# Guards against answers that fill the memory of the requester uncounted. Rows:
# size of earlier answers of the route, and the bytes counted for this one.
@pytest.mark.parametrize(
    ('known', 'counted'), [(0, LARGEST), (500_000, 40_000), (LARGEST, 0)]
)
async def test_requester_counts_unexpected_bytes(known, counted):
    async with NodePair(10.0, bytes(LARGEST)) as pair:
        own = line.Line(10.0, hostedmetrics.HostedMetrics())
        running = asyncio.ensure_future(own.run())
        pair.links.answers = largeanswers.Ports(own)
        pair.links.answers.sizes.record('', known)
        sending = await pair.start()
        await pair.wait_until(lambda: pair.line.left_bytes < LARGEST / 2)
        assert own.held_bytes == counted
        await sending
        await pair.wait_until(lambda: not own.held_bytes)
        running.cancel()


async def leave(pair, sending):
    sending.cancel()


async def cut_all(pair, sending):
    for link in pair.links._links.values():
        link.transport.abort()
    sending.cancel()


async def cut_bulk(pair, sending):
    pair.find_bulk().transport.abort()


async def mute_requester(pair, sending):
    """Drop all that the requester sends, as a cut line does."""
    for link in pair.links._links.values():
        link.send_frame = lambda _: None
    pair.links._connect = refuse_connection


async def refuse_connection(*_args):
    raise errors.PeerUnavailable('no connection')


async def lose_holder(pair, sending):
    pair.links._connect = refuse_connection
    pair.cut()


async def stop_holder(pair, sending):
    ends_at = asyncio.get_running_loop().time() + 3.0
    await linkserver.close_connections(pair.server_ports, ends_at)
    pair.cut()


# Rows: what happens, the result, and the longest time in seconds until the
# holder has freed the body.
FAILURES = {
    'the caller leaves': (leave, 'cancelled', 0.2),
    'the requester is lost': (cut_all, 'cancelled', 0.2),
    'one connection is lost': (cut_bulk, 'whole', 1.0),
    'the line of the requester is cut': (mute_requester, 'lost', 1.5),
    'the holder is lost': (lose_holder, 'lost', 0.2),
    'the holder stops': (stop_holder, 'whole', 1.0),
}


# Guards against answers that are cut although they could be delivered, against
# a broken answer reported as "not run" or as complete, and against bodies that
# stay in memory.
@pytest.mark.parametrize(
    ('fail', 'result', 'freed_s'), FAILURES.values(), ids=FAILURES
)
async def test_failures_halfway(fail, result, freed_s):
    body = random.Random(1).randbytes(LARGEST)
    async with NodePair(10.0, body) as pair:
        sending = await pair.start()
        started = clock.read_boot_clock()
        await fail(pair, sending)
        await pair.wait_until(lambda: not pair.line.held_bytes)
        assert clock.read_boot_clock() - started <= freed_s
        assert not (pair.line.open_answers or pair.line.left_bytes)
        match result:
            case 'whole':
                answer = await sending
                assert await wholebodies.read_answer(answer) == body
            case 'lost':
                with pytest.raises(errors.PeerConnectionLost):
                    await sending
            case 'cancelled':
                with pytest.raises(asyncio.CancelledError):
                    await sending
        assert len(pair.ran) == 1


# Guards against a requester that gets another's answer, and against one that
# waits for an answer that was dropped. Rows: requester, number, start, size.
@pytest.mark.parametrize(
    ('requester', 'number', 'start', 'size'),
    [
        pytest.param(7, 1, 0, 9, id='another requester'),
        pytest.param(11, 2, 0, 9, id='another answer'),
        pytest.param(11, 1, 100, 9, id='after the end'),
        pytest.param(11, 1, -1, 9, id='before the start'),
        pytest.param(11, 1, 0, 0, id='nothing'),
    ],
)
async def test_only_held_parts_are_given(requester, number, start, size):
    task = line.Line(10.0, hostedmetrics.HostedMetrics())
    held = outgoinganswers.ExpectedAnswer(1, 100, 1, 9.0)
    await task.handle(outgoinganswers.HoldAnswer(held, 11, bytes(100)))
    part = outgoinganswers.TakePart(number, requester, start, size)
    assert await task.handle(part) == b''


# Guards against an answer dropped since this node was paused itself, or since
# its requester is busy with others. Rows: seconds between checks, when the
# requester was last heard of, and whether the answer is held after 2 s.
@pytest.mark.parametrize(
    ('step_s', 'heard_at', 'is_held'),
    [
        pytest.param(0.1, 0.0, False, id='silent'),
        pytest.param(0.1, 1.5, True, id='heard of'),
        pytest.param(2.0, 0.0, True, id='paused'),
    ],
)
async def test_silent_requester_frees_the_answer(step_s, heard_at, is_held):
    now = [0.0]
    task = line.Line(10.0, hostedmetrics.HostedMetrics(), clock=lambda: now[0])
    task.find_heard_at = lambda _: heard_at
    held = outgoinganswers.ExpectedAnswer(1, 100, 1, 9.0)
    await task.handle(outgoinganswers.HoldAnswer(held, 11, bytes(100)))
    await task.tick()
    while now[0] < 2.0:
        now[0] += step_s
        await task.tick()
    assert bool(task.held_bytes) is is_held


async def test_small_answers_pass_beside_large_ones():
    # Guards against small answers that are late because large ones at 110% of
    # the line's speed leave over the same line.
    mbps, count = 10.0, 60
    async with NodePair(mbps, bytes(90_000)) as pair:
        slow = SlowAnswers(pair.member.peer_port, mbps * line.BYTES_PER_MBIT)
        port = await pair.stack.enter_async_context(slow)
        pair.member = dataclasses.replace(pair.member, peer_port=port)
        large, small = [], []
        for _ in range(count):
            if len(small) % 5 == 0:
                large += [pair.send(b'get', 5.0) for _ in range(4)]
            small.append(
                asyncio.ensure_future(
                    test_bodies.measure(pair.send(b'small', 1.0))
                )
            )
            await asyncio.sleep(0.05)
        times = sorted(await asyncio.gather(*small))
        answers = await asyncio.gather(*large)
        assert all(isinstance(one, requests.Answer) for one in answers)
        print(f'small: median {times[count // 2]:.3f} s, {times[-1]:.3f} s')
        # Two parts, and the request frames on their way to the node.
        assert times[-1] <= 0.1


async def test_lone_answer_uses_the_line():
    # Guards against a line that idles while parts wait for a timer.
    mbps = 10.0
    async with NodePair(mbps, bytes(LARGEST)) as pair:
        taken_s = await test_bodies.measure(pair.send(b'get', 5.0))
        planned = mbps * line.BYTES_PER_MBIT * linebudget.LINE_FRACTION
        assert taken_s <= LARGEST / planned / 0.8


async def test_own_line_bounds_parts_under_way():
    # Guards against parts of many answers that arrive together.
    async with NodePair(1000.0, bytes(90_000)) as pair:
        asked, most = 0, 0
        ask = incominganswer.AnswerFetcher._ask

        async def count_asked(fetcher, start, size):
            nonlocal asked, most
            asked += 1
            most = max(most, asked)
            try:
                return await ask(fetcher, start, size)
            finally:
                asked -= 1

        with pytest.MonkeyPatch.context() as patched:
            patched.setattr(incominganswer.AnswerFetcher, '_ask', count_asked)
            await asyncio.gather(*(pair.send(b'get') for _ in range(20)))
        assert most == incominganswer.MAX_PARTS_OF_PEER
