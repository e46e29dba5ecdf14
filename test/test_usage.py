"""Log fields about the event loop lag and the traffic of a node."""

import asyncio
import time

import pytest

from sesamejunction.border import hostedmetrics
from sesamejunction.border import logs
from sesamejunction.tasks import actor
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


class RestlessActor(actor.Actor):
    """Ticks once more in each turn of the loop, or every 0.1 s."""

    name = 'restless'

    def __init__(self, tick_s):
        super().__init__()
        self.tick_s = tick_s


@pytest.mark.parametrize(('tick_s', 'lines'), [(0.0, 1), (0.1, 0)])
async def test_task_that_does_not_wait_is_named(monkeypatch, tick_s, lines):
    # Guards against a process that turns without a wait and looks like an idle
    # one in its logs and metrics.
    written = []
    monkeypatch.setattr(
        logs.ThrottledLogger,
        'log_message',
        lambda _, kind, **fields: written.append((kind, fields)),
    )
    metrics, task = hostedmetrics.HostedMetrics(), RestlessActor(tick_s)
    process_usage = usage.ProcessUsage(
        usage.Traffic(), metrics, lambda: (task,)
    )
    running = [
        asyncio.ensure_future(one) for one in (task.run(), process_usage.run())
    ]
    await asyncio.sleep(1.3)
    for one in running:
        one.cancel()
    named = [
        fields['task']
        for kind, fields in written
        if kind == 'node: task does not wait'
    ]
    assert named == ['restless'] * lines
    assert 'task_ticks_total{task="restless"}' in metrics.render()
