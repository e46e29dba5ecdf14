"""Ticks of actors run when they are due, regardless of the inbox."""

import asyncio

import pytest

from sesamejunction.tasks import actor


class Ticking(actor.Actor):
    """Counts ticks; the message 'soon' brings the next one forward."""

    def __init__(self, tick_s):
        super().__init__()
        self.tick_s = tick_s
        self.ticks = 0
        self.handled = 0

    async def handle(self, message):
        self.handled += 1
        if message == 'soon':
            self.tick_within(0.0)
        if message == 'again':
            self.tell('again')
            await asyncio.sleep(0)

    async def tick(self):
        self.ticks += 1


# Guards against leases that are not renewed because the inbox is always or
# never empty, and against events that wait for the next regular tick.
@pytest.mark.parametrize(
    ('tick_s', 'message', 'least', 'most'),
    [
        (0.02, None, 4, 12),
        (0.02, 'again', 4, 12),
        (60.0, 'soon', 2, 2),
        (60.0, 'other', 1, 1),
    ],
)
async def test_ticks_run_when_due(tick_s, message, least, most):
    task = Ticking(tick_s)
    running = asyncio.create_task(task.run())
    await asyncio.sleep(0.02)
    if message is not None:
        task.tell(message)
    await asyncio.sleep(0.2)
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    assert least <= task.ticks <= most
    assert task.dropped == 0
