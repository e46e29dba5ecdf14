"""A planned stop of a hosted node waits for its callers."""

import asyncio
import types

import pytest

from sesamejunction.commands import hosting
from sesamejunction.model import state
from sesamejunction.platform import frontend
from sesamejunction.ui import hostednode

STEP_S = 0.05


class FakeComponents:
    """Simulates requests that arrive in the steps of a planned stop."""

    def __init__(self, before, meanwhile):
        self._counts = {'finish': before, 'leave': meanwhile}
        self.open = 0

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
    """Stands in for the listener of callers."""

    stopped = False

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
    process = hostednode.Process(types.SimpleNamespace(stop_limit_s=limit_s))
    process._components = components = FakeComponents(before, meanwhile)
    site = FakeSite()
    process._caller_sites = [site]
    await process._stop()
    assert components.open == cut
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
    )
    node_front = frontend.Frontend(
        frontend.FrontendContext(ports, None, 's', None, hosting.OpenRuns())
    )
    node_front.refusing = refusing
    with pytest.raises(frontend.RequestRefused) as refused:
        await node_front._handle(types.SimpleNamespace(headers={}))
    assert refused.value.status == 503
    assert refused.value.retry_after_s > 0
    assert bool(state_reads) is not refusing
