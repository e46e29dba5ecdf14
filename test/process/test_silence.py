"""Open connections between nodes stall while new ones work."""

import asyncio

import pytest

from sesamejunction.model import state
from test.process import harness
from test.process import load

pytestmark = pytest.mark.process
# A silent connection has been given up after the default request deadline,
# which limits the first byte, plus the progress limit of 1 s.
GIVE_UP_S = 2.0 + 1.0
RATE = 60.0
SERVICES = (
    state.Service('catalogue', state.Routing.KEY, 16),
    state.Service('orders', state.Routing.LOAD, 16),
)
LAYOUT = (('catalogue', 2), ('orders', 2))


async def test_open_peer_connections_go_silent():
    # Guards against nodes that go on using a connection on which nothing
    # arrives any more, and against relays that carry no traffic.
    declared = harness.make_declaration(*SERVICES)
    async with harness.start_fleet(
        LAYOUT, declared, cold_slots=12, relayed=True
    ) as running:
        await check_recovery(running)


async def check_recovery(running):
    async with load.Load(RATE, running.mix_calls('catalogue', 'orders')):
        await asyncio.sleep(1.0)
    for one in running.relays.values():
        assert one.caller_tcp.accepted_count > 0
        one.caller_tcp.stall_open_connections()
    silent = load.read_clock()
    async with load.Load(
        RATE, running.mix_calls('catalogue', 'orders')
    ) as sent:
        await asyncio.sleep(GIVE_UP_S + 2.0)
    late = [one for one in sent.results if one.at > silent + GIVE_UP_S]
    print(load.count_outcomes(sent.results), load.count_outcomes(late))
    assert len(late) > RATE
    assert set(load.count_outcomes(late)) == {(200, None, '')}
    assert await running.find_violations() == []
