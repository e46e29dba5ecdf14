"""Planned changes under load: rolling restart, zones and slow targets."""

import asyncio
import signal
import time

import pytest
import pytest_asyncio

from sesamejunction.model import records
from sesamejunction.model import state
from sesamejunction.model import timing
from test.process import harness
from test.process import judge
from test.process import load

pytestmark = [
    pytest.mark.process,
    pytest.mark.asyncio(loop_scope='module'),
]
RATE = 60.0
STOP_LIMIT_S = 20.0
# A zone out of service gets no new work after the grace period and a second in
# which nodes read the ticket.
ZONE_OUT_LIMIT_S = timing.ZONE_OUT_GRACE_S + 1.0
# A configuration is in force at all nodes within this (two-year target).
CONFIG_LIMIT_S = 5.0
LOAD_S = 3.0
ZONE = 'recife-a'
SLOTS = 12
WORK_MS = 20.0
SERVICES = (
    state.Service('catalogue', state.Routing.KEY, 32),
    state.Service('orders', state.Routing.LOAD, 32),
)
# Each service has one target in each zone.
LAYOUT = (('catalogue', 3), ('orders', 3))


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def running():
    declared = harness.make_declaration(*SERVICES)
    async with harness.start_fleet(
        LAYOUT, declared, slots=SLOTS, work_ms=WORK_MS, cold_slots=SLOTS
    ) as made:
        yield made


def make_load(running, rate=RATE, nodes=None):
    return load.Load(
        rate, running.mix_calls('catalogue', 'orders', nodes=nodes)
    )


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def rolled(running):
    """Return the results of a rolling restart of all nodes under load."""
    await judge.wait_until_stable(running)
    codes = []
    began, began_wall = load.read_clock(), time.time()
    async with make_load(running) as sent:
        for name in running.instances:
            running.signal_node(name, signal.SIGTERM)
            codes.append(await running.wait_stopped(name, STOP_LIMIT_S))
            running.start_node(name)
            await judge.wait_until_stable(running)
    print(f'rolling restart took {load.read_clock() - began:.1f} s')
    judge.print_results('rolling', sent.results)
    if any(not (result.answered or result.not_run) for result in sent.results):
        judge.print_causes(running, sent.results, began_wall)
    assert codes == [0] * len(running.instances)
    await judge.check_histories(running, began, sent.results)
    return sent.results


# Guards against planned stops that cut requests or leave their outcome
# unknown. A refused connection to the stopped node does not count as cut.
@pytest.mark.parametrize('method', ['GET', 'POST'])
async def test_rolling_restart_cuts_no_request(rolled, method):
    results = [result for result in rolled if result.call.method == method]
    cut = [
        result for result in results if not (result.answered or result.not_run)
    ]
    judge.print_results(f'cut {len(cut)} of {len(results)}', cut)
    assert any(result.answered for result in results)
    assert cut == []


async def apply_zone(running, number, standing):
    """Apply a ticket for the zone; return the time of its acceptance."""
    await running.apply(
        records.TicketApplied(
            number, f'zone-{number}', 'test', zones=((ZONE, standing),)
        )
    )
    return load.read_clock()


# Guards against new work in a zone that is out of service, requests lost in
# other zones meanwhile, and a zone that gets no work after its return.
async def test_zone_leaves_and_returns(running):
    await judge.wait_until_stable(running)
    zone = [one.name for one in running.instances.values() if one.zone == ZONE]
    rest = [name for name in running.instances if name not in zone]
    began = load.read_clock()
    async with make_load(running, nodes=rest) as sent:
        await asyncio.sleep(0.5)
        out = await apply_zone(running, 2, state.Standing.OUT)
        await asyncio.sleep(ZONE_OUT_LIMIT_S + 1.0)
        back = await apply_zone(running, 3, state.Standing.IN)
        await asyncio.sleep(CONFIG_LIMIT_S)
    entries = await judge.check_histories(running, began, sent.results)
    judge.print_results('zone', sent.results)
    for name in zone:
        starts = [one.start for one in entries if one.target == name]
        last = max(one for one in starts if one < back) - out
        first = min((one for one in starts if one > back), default=None)
        print(f'{name}: last work {last:.3f} s after out')
        assert last < ZONE_OUT_LIMIT_S
        assert first is not None
        print(f'{name}: first work {first - back:.3f} s after back')
    lookups = [one for one in sent.results if judge.is_lookup(one)]
    assert {judge.read_code(one) for one in lookups} == {'answered'}


# Guards against a slow target that still gets an equal part of the requests.
async def test_slow_target_gets_less(running):
    await judge.wait_until_stable(running)
    slow = 'orders-1'
    tails = []
    began = load.read_clock()
    for factor in (1, 10):
        await running.set_target_fault(slow, slow=factor)
        began = load.read_clock()
        async with make_load(running) as sent:
            await asyncio.sleep(LOAD_S)
        tails.append(load.find_percentile(sent.results, 0.99))
        assert {judge.read_code(one) for one in sent.results} == {'answered'}
    await running.set_target_fault(slow, slow=1)
    entries = await judge.check_histories(running, began, sent.results)
    runs = [
        one
        for one in entries
        if one.service == 'orders' and not one.idempotency_key
    ]
    part = sum(one.target == slow for one in runs) / len(runs)
    print(f'p99 {tails[0]:.3f} s, with a slow target {tails[1]:.3f} s')
    print(f'part of the slow target {part:.3f}')
    assert part < 1 / 3


# Guards against a load under which a cold target fails repeatedly. Its first
# failure cannot be predicted.
async def test_target_becomes_cold_again(running):
    await judge.wait_until_stable(running)
    cold = 'orders-1'
    began = load.read_clock()
    async with make_load(running) as sent:
        await asyncio.sleep(1.0)
        await running.set_target_fault(cold, cold=True, work_ms=100)
        await asyncio.sleep(LOAD_S)
        ended = load.read_clock()
        await asyncio.sleep(1.0)
    await running.set_target_fault(cold, work_ms=WORK_MS)
    judge.print_results('cold', sent.results)
    await judge.check_histories(running, began, sent.results)
    late = [result for result in sent.results if result.at > ended]
    assert {judge.read_code(result) for result in late} == {'answered'}
    seen = await running.read_load(cold)
    print('falls', seen['falls'], 'limit', seen['limit'])
    assert seen['falls'] <= 1
