"""Reads of the store go on while they bring bytes and end when they do not."""

import asyncio
import time

import pytest

from sesamejunction import errors
from sesamejunction.model import registry
from sesamejunction.tasks import follower

RECORD_BYTES = 250_000
# A peer that is ahead says so this often.
ECHO_S = 0.1
PIECE_S = 0.05


class SlowTopic:
    """Brings one large record in pieces; ``plans`` has one for each read.

    A plan lists the pause before each piece; None is silence for good. The
    first read of a plan named 'gap' is answered with a gap, so that the
    newest records are read instead.
    """

    name = 'slow'

    def __init__(self, plans, has_gap=False):
        self.received = 0
        self.reads = 0
        self.reconnects = 0
        self._has_gap = has_gap
        self._plans = plans

    async def read_newest(self):
        """Return the copy of before the record, then that with it."""
        if self.reads == 0:
            return registry.Copy(1, {})
        await self._receive()
        return registry.Copy(2, {'a': registry.Item(1, bytes(RECORD_BYTES))})

    async def read(self, offset, wait_s):
        """Return the record once all its pieces have come."""
        self.reads += 1
        if offset > 1:
            await asyncio.sleep(wait_s)
            return registry.Batch((), offset)
        if self._has_gap:
            raise errors.RetentionGap('read the newest')
        await self._receive()
        return registry.Batch(
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
        """Note that the connections were replaced."""
        self.reconnects += 1


SLOW = [PIECE_S] * 24
AT_ONCE = [0.01]


# Guards against a download that each word of a peer that is ahead begins
# anew, so that it never ends (routes of a played day: in force 2.5 to 3.6 s
# late), and against a connection that went silent and is waited for.
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
