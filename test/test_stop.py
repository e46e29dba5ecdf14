"""A planned stop of the hosted node waits for its callers."""

import asyncio
import types

import pytest

from sesamejunction.model import state
from sesamejunction.platform import frontend
from sesamejunction.ui import hostednode

STEP_S = 0.05


class Parts:
    """Counts requests that callers open in the steps of a stop."""

    def __init__(self, before, meanwhile):
        self._counts = {'finish': before, 'leave': meanwhile}
        self.open = 0

    def start_stop(self):
        pass

    def finish_work(self):
        self._begin('finish')

    async def leave_peers(self, _ends):
        self._begin('leave')

    def count_open(self):
        return self.open

    def _begin(self, step):
        self.open += self._counts[step]
        if self.open:
            asyncio.get_running_loop().call_later(STEP_S, self._end)

    def _end(self):
        self.open = 0


class Site:
    """Stands for the callers' listener."""

    stopped = False

    async def stop(self):
        self.stopped = True


# Guards against requests that are cut since they came on a kept connection
# after the others had ended, and against a stop without end: requests open
# when new work is refused, those that come afterwards, limit of the stop in
# seconds, and requests that are cut.
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
async def test_stop_waits(monkeypatch, before, meanwhile, limit_s, cut):
    monkeypatch.setattr(hostednode, 'LEAVE_S', 0.0)
    process = hostednode.Process(types.SimpleNamespace(stop_limit_s=limit_s))
    process._parts = parts = Parts(before, meanwhile)
    site = Site()
    process._callers_sites = [site]
    await process._stop()
    assert parts.open == cut
    assert site.stopped


# Guards against a stopping node that goes on taking requests of callers who
# have no other node to go to: it never has a moment without one, and cuts the
# last of them when the platform kills it.
@pytest.mark.parametrize('refusing', [False, True])
async def test_callers_are_refused_once_they_had_time_to_leave(refusing):
    asked = []

    class States:
        @property
        def current(self):
            asked.append(1)
            return state.State()

    ports = types.SimpleNamespace(
        clock=lambda: 0.0,
        states=States(),
    )
    one = frontend.Frontend(frontend.Context(ports, None, 's', None))
    one.refusing = refusing
    with pytest.raises(frontend.Refused) as refused:
        await one._handle(types.SimpleNamespace(headers={}))
    assert refused.value.status == 503
    assert refused.value.retry_after_s > 0
    assert bool(asked) is not refusing
