"""Log fields about the event loop lag and the traffic of a node."""

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
    # Guards against log lines that do not distinguish a late event loop from
    # a saturated line, so that the cause of a timeout remains unknown.
    written = []
    monkeypatch.setattr(
        logs.ThrottledLogger,
        'log_message',
        lambda _, kind, **fields: written.append((kind, fields)),
    )
    traffic = usage.Traffic()
    process_usage = usage.ProcessUsage(traffic, hostedmetrics.HostedMetrics())
    running = asyncio.ensure_future(process_usage.run())
    await asyncio.sleep(0.01)
    traffic.sent += sent
    time.sleep(blocked_s)
    await asyncio.sleep(0.15)
    running.cancel()
    summary = process_usage.describe()
    assert (summary['loop_late_s'] >= 0.2) is (blocked_s > 0)
    assert (summary['sent_kb_s'] > 0) is (sent > 0)
    assert [kind for kind, _ in written] == ['node: loop late'] * lines
