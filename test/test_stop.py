"""A planned stop of a hosted node waits for its callers."""

import asyncio
import types

import pytest

from sesamejunction.commands import hosting
from sesamejunction.commands import ports as porting
from sesamejunction.model import state
from sesamejunction.platform import frontend
from sesamejunction.ui import hostednode
from test import requestfakes

STEP_S = 0.05


class FakeComponents:
    """Simulates requests that arrive in the steps of a planned stop."""

    def __init__(self, before, meanwhile):
        self._counts = {'finish': before, 'leave': meanwhile}
        self.open = 0
        self.ended = 0

    def end_requests(self):
        self.ended = self.open

    def begin_stop(self):
        pass

    def refuse_new_work(self):
        self._begin('finish')

    async def close_peer_connections(self, _ends):
        self._begin('leave')

    def count_open_requests(self):
        return self.open

    def _begin(self, step):
        self.open += self._counts[step]
        if self.open:
            asyncio.get_running_loop().call_later(STEP_S, self._end)

    def _end(self):
        self.open = 0


class FakeSite:
    """Stands in for the listener of callers, who have all their answers."""

    stopped = False
    is_answering = False

    def count_answering(self):
        return 0

    async def stop(self):
        self.stopped = True


# Guards against cut requests that arrived on a kept-alive connection after the
# others had ended, and against a stop without a limit. Columns: requests open
# when new work is refused, requests that arrive afterwards, limit of the stop
# in seconds, requests cut.
@pytest.mark.parametrize(
    ('before', 'meanwhile', 'limit_s', 'cut'),
    [
        pytest.param(0, 0, 1.0, 0, id='none'),
        pytest.param(2, 0, 1.0, 0, id='before'),
        pytest.param(0, 1, 1.0, 0, id='meanwhile'),
        pytest.param(2, 1, 1.0, 0, id='both'),
        pytest.param(0, 1, 0.02, 1, id='longer than the limit'),
    ],
)
async def test_planned_stop_waits_for_open_requests(
    monkeypatch, before, meanwhile, limit_s, cut
):
    monkeypatch.setattr(hostednode, 'CALLER_LEAVE_S', 0.0)
    process = hostednode.Process(
        types.SimpleNamespace(stop_limit_s=limit_s, bounds='')
    )
    process._components = components = FakeComponents(before, meanwhile)
    site = FakeSite()
    process._caller_sites = [site]
    await process._stop()
    assert components.ended == cut
    assert site.stopped


# Guards against a stopping node that accepts requests of callers without
# another node to use: some are always open, and the last are cut when the
# platform kills the node.
@pytest.mark.parametrize('refusing', [False, True])
async def test_callers_are_refused_once_they_had_time_to_leave(refusing):
    state_reads = []

    class RecordingStates:
        @property
        def current(self):
            state_reads.append(1)
            return state.State()

    ports = types.SimpleNamespace(
        clock=lambda: 0.0,
        states=RecordingStates(),
        stop=porting.StopProgress(),
    )
    node_front = frontend.Frontend(
        frontend.FrontendContext(ports, None, 's', None, hosting.OpenRuns())
    )
    if refusing:
        node_front.refuse_new_work()
    with pytest.raises(frontend.RequestRefused) as refused:
        await node_front._handle(
            types.SimpleNamespace(headers={}, arrived_at=0.0)
        )
    assert refused.value.status == 503
    assert refused.value.retry_after_s > 0
    assert bool(state_reads) is not refusing


# Guards against a stop that outlasts the grace time of the platform, which
# then kills the process with requests open. Columns: limit of the settings,
# bounds, limit of the stop in seconds.
@pytest.mark.parametrize(
    ('limit_s', 'bounds', 'expected'),
    [
        (5.0, '', 5.0),
        (5.0, 'graceS=3', 2.5),
        (2.0, 'graceS=30', 2.0),
        (5.0, 'graceS=soon,retrySlack=1', 5.0),
    ],
)
def test_stop_ends_within_the_grace_time(limit_s, bounds, expected):
    process = hostednode.Process(
        types.SimpleNamespace(stop_limit_s=limit_s, bounds=bounds)
    )
    assert process._find_stop_limit() == pytest.approx(expected)


class HangingPeers(requestfakes.FakeTransport):
    """Fake peers that never reply."""

    def __init__(self, with_tasks):
        super().__init__()
        self._with_tasks = with_tasks

    def reports_silence(self, _candidate):
        return self._with_tasks

    async def send(self, where, head, upload, on_silent=None):
        self.sent.append((where, head))
        await asyncio.sleep(60)


# Guards against requests that a stop cuts without an answer (issue 20, a
# report of other operators), and against "not run" for one that was sent.
# Columns: members offered, whether the attempt has a task of its own, whether
# the stop is over, attempts made, reply; None if the caller had left.
@pytest.mark.parametrize(
    ('offers', 'with_tasks', 'over', 'sent', 'expected'),
    [
        pytest.param([2], True, True, 1, 'lost unknown', id='sent'),
        pytest.param([2], False, True, 1, 'lost unknown', id='sent, no task'),
        pytest.param([None] * 99, True, True, 0, 'stopping not-run', id='new'),
        pytest.param([2], True, False, 1, None, id='caller left'),
    ],
)
async def test_open_requests_are_answered_at_the_end_of_a_stop(
    offers, with_tasks, over, sent, expected
):
    ports = requestfakes.make_ports(
        chooser=requestfakes.ScriptedChooser(offers),
        peers=HangingPeers(with_tasks),
    )
    running = asyncio.ensure_future(requestfakes.route(ports))
    await asyncio.sleep(0.02)
    ports.stop.is_over = over
    running.cancel()
    if expected is None:
        with pytest.raises(asyncio.CancelledError):
            await running
    else:
        assert await running == expected
    assert len(ports.peers.sent) == sent


async def test_no_attempt_starts_late_in_a_stop():
    """Guards against a request that waits for its owner and is then sent.

    Its attempt could outlast the stop.
    """
    ports = requestfakes.make_ports(
        chooser=requestfakes.ScriptedChooser([None, None, 2]),
        peers=requestfakes.FakeTransport(requestfakes.answer()),
    )
    ports.stop.is_refusing = True
    assert await requestfakes.route(ports) == 'no-owner not-run'
    assert not ports.peers.sent


class SlowBody:
    """Content of a request whose body arrives after the stop has begun."""

    def __init__(self, node_front, arrives):
        self._front = node_front
        self._arrives = arrives

    async def read_body(self, _limit):
        self._front.refuse_new_work()
        if not self._arrives:
            await asyncio.sleep(60)
        return b'whole'


# Guards against a long upload that arrives late in a stop, is passed on and
# then cut. The second row is one that has not arrived when the stop is over.
@pytest.mark.parametrize('arrives', [True, False])
async def test_late_body_is_refused(monkeypatch, arrives):
    passed_on = []

    async def route(*_):
        passed_on.append(1)

    monkeypatch.setattr(frontend.commands, 'route_request', route)
    ports = types.SimpleNamespace(
        clock=lambda: 0.0,
        states=types.SimpleNamespace(current=state.State()),
        stop=porting.StopProgress(),
    )
    audit = types.SimpleNamespace(record_refusal=lambda *_: None)
    node_front = frontend.Frontend(
        frontend.FrontendContext(ports, None, 's', audit, hosting.OpenRuns())
    )
    monkeypatch.setattr(node_front, '_find_route', lambda *_: None)
    monkeypatch.setattr(node_front, '_find_organisation', lambda *_: '')
    monkeypatch.setattr(
        node_front, '_build_head', lambda *_: requestfakes.HEAD
    )
    request = types.SimpleNamespace(
        headers={},
        body_exists=True,
        content_length=5,
        arrived_at=0.0,
        read_body=SlowBody(node_front, arrives).read_body,
    )
    running = asyncio.ensure_future(node_front.handle(request))
    await asyncio.sleep(0.02)
    assert node_front.open_requests == (0 if arrives else 1)
    node_front.end_requests()
    reply = await running
    assert reply.status == 503
    assert float(dict(reply.headers)['Retry-After']) > 0
    assert not passed_on
