"""Reads of the store continue while data arrives, and else are dropped."""

import asyncio
import socket
import time

import pytest

from sesamejunction import errors
from sesamejunction.model import registry
from sesamejunction.platform import store
from sesamejunction.tasks import follower

RECORD_BYTES = 250_000
# Interval in which a peer reports that it is ahead.
ECHO_S = 0.1
PIECE_S = 0.05


class SlowTopic:
    """Delivers one large record in pieces; ``plans`` has one for each read.

    A plan lists the pause before each piece; None means that nothing follows.
    With ``has_gap`` reads fail with a retention gap, so that the newest
    records are read instead.
    """

    name = 'slow'

    def __init__(self, plans, has_gap=False):
        self.received = 0
        self.reads = 0
        self.reconnects = 0
        self._has_gap = has_gap
        self._plans = plans

    async def read_newest(self):
        """Return the copy without the record first, and then with it."""
        if self.reads == 0:
            return registry.TopicCopy(1, {})
        await self._receive()
        return registry.TopicCopy(
            2, {'a': registry.TopicItem(1, bytes(RECORD_BYTES))}
        )

    async def read(self, offset, wait_s):
        """Return the record when all its pieces have arrived."""
        self.reads += 1
        if offset > 1:
            await asyncio.sleep(wait_s)
            return registry.TopicBatch((), offset)
        if self._has_gap:
            raise errors.RetentionGap('read the newest')
        await self._receive()
        return registry.TopicBatch(
            (registry.Entry('a', bytes(RECORD_BYTES)),), offset + 1
        )

    async def _receive(self):
        plan = self._plans.pop(0) if len(self._plans) > 1 else self._plans[0]
        for pause_s in plan:
            if pause_s is None:
                await asyncio.Event().wait()
            await asyncio.sleep(pause_s)
            self.received += RECORD_BYTES // len(plan)

    async def reconnect(self):
        """Count reconnects."""
        self.reconnects += 1


SLOW = [PIECE_S] * 24
AT_ONCE = [0.01]


# Guards against a download that is restarted whenever a peer reports to be
# ahead, so that it never ends (in a simulated day routes came into force 2.5
# to 3.6 s late), and against waiting on a dead connection.
@pytest.mark.parametrize(
    ('plans', 'has_gap', 'least_s', 'most_s', 'reconnects'),
    [
        pytest.param([SLOW], False, 1.1, 1.7, 0, id='slow record'),
        pytest.param([SLOW], True, 1.1, 1.7, 0, id='slow newest page'),
        pytest.param([[0.8, 0.01]], False, 0.8, 1.2, 0, id='slow first byte'),
        pytest.param(
            *([[None], AT_ONCE], False, 0.9, 1.4, 1), id='silent from start'
        ),
        pytest.param(
            *([[0.1, 0.1, None], AT_ONCE], False, 1.1, 1.6, 1),
            id='silent in the middle',
        ),
        pytest.param(
            *([[None], [1.3, 0.01]], False, 2.2, 2.8, 1),
            id='next read is given longer',
        ),
    ],
)
async def test_read_is_dropped_only_when_it_went_silent(
    plans, has_gap, least_s, most_s, reconnects
):
    topic = SlowTopic(plans, has_gap)
    one = follower.Follower(topic, (), lambda: 9, lambda _: None)
    running = [
        asyncio.ensure_future(one.run()),
        asyncio.ensure_future(one.follow()),
    ]
    started = time.monotonic()
    try:
        async with asyncio.timeout(most_s):
            while one.view.end < 2:
                one.tell(registry.PeerPosition(7, 2, 0.0))
                await asyncio.sleep(ECHO_S)
        assert time.monotonic() - started >= least_s
        assert topic.reconnects == reconnects
    finally:
        for task in running:
            task.cancel()
        await asyncio.wait(running)


class SlowServer:
    """Answers HTTP calls with pieces of a body and a pause before each."""

    def __init__(self, pauses):
        self._pauses = pauses

    async def answer(self, reader, writer):
        """Answer one call."""
        await reader.readuntil(b'\r\n\r\n')
        size = 100 * len(self._pauses)
        head = f'HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n'
        data = head.encode()
        try:
            for pause_s in self._pauses:
                await asyncio.sleep(pause_s)
                writer.write(data + bytes(100))
                data = b''
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()


# Guards against a slow large answer that is aborted and restarted, against
# waiting for a silent one, and against a trickle that blocks a read forever.
@pytest.mark.parametrize(
    ('pauses', 'limit_s', 'comes'),
    [
        pytest.param([0.1] * 8, 0.3, True, id='slow but coming'),
        pytest.param([0.5, 0.0], 0.3, False, id='nothing comes'),
        pytest.param([0.0, 0.5], 0.3, False, id='stops in the middle'),
        pytest.param([0.45, 0.1], 0.6, True, id='waited for its first byte'),
        pytest.param([0.1] * 40, 0.3, False, id='a trickle without end'),
    ],
)
async def test_calls_are_limited_by_progress(
    pauses, limit_s, comes, monkeypatch
):
    monkeypatch.setattr(store, 'CALL_TIMEOUT_S', 0.3)
    monkeypatch.setattr(store, 'MAX_ANSWER_S', 1.5, raising=False)
    server = await asyncio.start_server(
        SlowServer(pauses).answer, '127.0.0.1', 0
    )
    host, port = server.sockets[0].getsockname()
    started = time.monotonic()
    async with (
        server,
        store.Store(f'{host}:{port}', lambda _: None) as calls,
    ):
        if comes:
            _, body = await calls.call('GET', '/log-read', limit_s, {})
            assert len(body) == calls.received == 100 * len(pauses)
        else:
            with pytest.raises(errors.LogUnavailable):
                await calls.call('GET', '/log-read', limit_s, {})
            assert time.monotonic() - started < 2.5


class FullListener:
    """A listener with a full queue, which drops new connections."""

    def __init__(self):
        self._taken = []
        self._server = socket.socket()

    def __enter__(self):
        self._server.bind(('127.0.0.1', 0))
        self._server.listen(0)
        for _ in range(4):
            one = socket.socket()
            one.setblocking(False)
            one.connect_ex(self._server.getsockname())
            self._taken.append(one)
        return self

    def __exit__(self, *exc):
        for one in (*self._taken, self._server):
            one.close()

    @property
    def address(self):
        """Return host and port."""
        return '%s:%d' % self._server.getsockname()


# Guards against a node on a saturated line that abandons each connection
# before it is established, and against long waits after the first failure.
async def test_connections_get_longer_with_each_failure(monkeypatch):
    monkeypatch.setattr(store, 'CONNECT_TIMEOUT_S', 0.1)
    monkeypatch.setattr(store, 'MAX_CONNECT_TIMEOUT_S', 0.4)
    took = []
    with FullListener() as listener:
        async with store.Store(listener.address, lambda _: None) as calls:
            for _ in range(4):
                started = time.monotonic()
                with pytest.raises(errors.LogUnavailable):
                    await calls.call('GET', '/log-read', 1.0, {})
                took.append(time.monotonic() - started)
    assert took == pytest.approx([0.1, 0.2, 0.4, 0.4], abs=0.08)
