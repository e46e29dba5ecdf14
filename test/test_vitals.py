"""What a node tells of its own loop and line."""

import asyncio
import time

import pytest

from sesamejunction.border import hostedmetrics
from sesamejunction.border import logs
from sesamejunction.tasks import usage


@pytest.mark.parametrize(
    ('blocked_s', 'sent', 'lines'),
    [
        pytest.param(0.0, 0, 0, id='idle'),
        pytest.param(0.0, 500_000, 0, id='busy line'),
        pytest.param(0.4, 0, 1, id='late loop'),
    ],
)
async def test_late_loop_differs_from_busy_line(
    monkeypatch, blocked_s, sent, lines
):
    # Guards against a node whose lines cannot tell a late loop from a full
    # line, so that a connection that timed out has no cause.
    written = []
    monkeypatch.setattr(
        logs.ThrottledLogger,
        'log_message',
        lambda _, kind, **fields: written.append((kind, fields)),
    )
    traffic = usage.Traffic()
    one = usage.ProcessUsage(traffic, hostedmetrics.HostedMetrics())
    running = asyncio.ensure_future(one.run())
    await asyncio.sleep(0.01)
    traffic.sent += sent
    time.sleep(blocked_s)
    await asyncio.sleep(0.15)
    running.cancel()
    told = one.describe()
    assert (told['loop_late_s'] >= 0.2) is (blocked_s > 0)
    assert (told['sent_kb_s'] > 0) is (sent > 0)
    assert [kind for kind, _ in written] == ['node: loop late'] * lines
