"""Rate limits of organisations hold across nodes and under load."""

import asyncio
import collections
import dataclasses
import signal

import pytest
import pytest_asyncio

from sesamejunction.decisions import shares
from sesamejunction.model import state
from test.process import harness
from test.process import load

pytestmark = [
    pytest.mark.process,
    pytest.mark.asyncio(loop_scope='module'),
]
RATES = {'busy': 40.0, 'calm': 40.0, 'quiet': 40.0, 'moving': 60.0}
BURST_S = 1.0
CALM_LOAD_FRACTION = 0.75
BUSY_FACTOR = 5.0
LOAD_S = 3.0
SETTLE_S = 2.5
STOP_LIMIT_S = 20.0
# Issue 5: the others' p99 rises by no more than a tenth. It is printed and not
# asserted: on a shared machine the same load alone varies by more than that.
STATED_P99_RATIO = 1.1
SERVICES = (
    state.Service('catalogue', state.Routing.KEY, 64),
    state.Service('orders', state.Routing.LOAD, 64),
)
LAYOUT = (('catalogue', 3), ('orders', 2))


def make_declaration():
    first = harness.make_declaration(*SERVICES)
    return dataclasses.replace(
        first,
        organisations=first.organisations
        + tuple(
            state.Organisation(name, rate, rate * BURST_S)
            for name, rate in RATES.items()
        ),
        caller_keys=first.caller_keys
        + tuple(
            state.CallerKey(harness.make_digest(f'key-{name}'), name)
            for name in RATES
        ),
    )


def find_excess(entries, name):
    """Return the largest excess of runs over rate x length of a window."""
    lowest = most = 0.0
    starts = sorted(one.start for one in entries if one.organisation == name)
    for number, at in enumerate(starts):
        level = number - RATES[name] * at
        lowest = level if number == 0 else min(lowest, level)
        most = max(most, level - lowest + 1)
    return most


# Guards against a check that misses an exceeded rate.
@pytest.mark.parametrize(
    ('starts', 'excess'),
    [
        ([], 0),
        ([5.0], 1),
        ([0, 0, 0], 3),
        ([0, 0.1, 0.2], 1),
        ([0, 9, 9.005, 9.01], 2.6),
    ],
)
async def test_find_excess(starts, excess):
    runs = [Run('busy', at) for at in starts]
    assert find_excess(runs, 'busy') == pytest.approx(excess)


Run = collections.namedtuple('Run', ('organisation', 'start'))


class OrganisationLoads:
    """Loads of several organisations on one fleet."""

    def __init__(self, running):
        self.running = running

    def load(self, name, rate, choose=None):
        """Return a load of lookups by one organisation."""

        def make(number):
            nodes = choose and choose()
            return self.running.make_call(
                number,
                SERVICES[number // 5 % 2].name,
                key=f'key-{name}',
                nodes=nodes,
            )

        return load.Load(rate, make)

    async def check_rates(self, title):
        """Check the rate of every organisation since the start."""
        entries = await self.running.read_history()
        for name, rate in RATES.items():
            runs = sum(one.organisation == name for one in entries)
            most = find_excess(entries, name)
            print(f'{title}: {name} {runs} runs, {most:.1f} above the rate')
            assert most <= rate * BURST_S, name

    async def find_allocator(self, name):
        """Return the node that allocates an organisation's tokens."""
        slot = shares.find_slot(name)
        for instance in self.running.instances.values():
            found = await self.running.read_dump(instance.name, 'owners')
            if any(
                (one['service'], one['slot']) == (state.SHARES_SERVICE, slot)
                for one in found['detail']['held']
            ):
                return instance.name
        raise AssertionError(f'nobody owns the share of {name}')


def report(title, results):
    """Print a summary of results; return the percentage over rate."""
    over = [result for result in results if result.status == 429]
    part = 100 * len(over) / len(results)
    p50, p99 = (load.find_percentile(results, p) for p in (0.5, 0.99))
    print(
        f'{title}: {len(results)} requests, {part:.2f}% over rate,'
        f' p50 {p50 * 1000:.1f} ms, p99 {p99 * 1000:.1f} ms',
        dict(load.count_outcomes(results)),
    )
    return part


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def tenants():
    async with harness.start_fleet(
        LAYOUT, make_declaration(), cold_slots=12
    ) as running:
        # New allocators grant nothing for one grant period.
        await asyncio.sleep(SETTLE_S)
        yield OrganisationLoads(running)


async def run_calm(tenants, title, extra=()):
    loads = [
        tenants.load(name, RATES[name] * CALM_LOAD_FRACTION)
        for name in ('calm', 'quiet')
    ]
    async with loads[0], loads[1]:
        if extra:
            async with extra[0]:
                await asyncio.sleep(LOAD_S)
            report(f'{title} busy', extra[0].results)
        else:
            await asyncio.sleep(LOAD_S)
    results = loads[0].results + loads[1].results
    return report(title, results), load.find_percentile(results, 0.99)


async def test_busy_organisation_leaves_others_alone(tenants):
    # Guards against a rate that is exceeded across several nodes (H6), and
    # against refusals of others that are within their rate (M4, M5).
    refused, alone = await run_calm(tenants, 'alone')
    assert refused == 0
    busy = tenants.load('busy', RATES['busy'] * BUSY_FACTOR)
    refused, beside = await run_calm(tenants, 'beside', (busy,))
    print(f'p99 beside/alone {beside / alone:.2f}, stated {STATED_P99_RATIO}')
    answered = sum(one.answered for one in busy.results)
    assert answered >= RATES['busy'] * LOAD_S * 0.8
    assert refused == 0
    await tenants.check_rates('busy')


async def test_demand_moves(tenants):
    # Guards against tokens that do not follow the demand to another node.
    names = list(tenants.running.instances)
    started = load.read_clock()

    def choose():
        return [names[int((load.read_clock() - started) // 1.5) % 3]]

    sent = tenants.load('moving', RATES['moving'] * CALM_LOAD_FRACTION, choose)
    async with sent:
        await asyncio.sleep(4.5)
    assert report('moving', sent.results) == 0
    await tenants.check_rates('moving')


async def test_log_outage_does_not_stop_admission(tenants):
    # Guards against admission, routing or planned stops that need the log.
    stopped = 'orders-1'
    busy = tenants.load('busy', RATES['busy'] * BUSY_FACTOR)
    calm = tenants.load('quiet', RATES['quiet'] * CALM_LOAD_FRACTION)
    await tenants.running.set_log_fault(down=True)
    try:
        async with busy, calm:
            await asyncio.sleep(1.5)
            stop = load.read_clock()
            tenants.running.signal_node(stopped, signal.SIGTERM)
            code = await tenants.running.wait_stopped(stopped, STOP_LIMIT_S)
            taken = load.read_clock() - stop
            await asyncio.sleep(1.0)
    finally:
        await tenants.running.set_log_fault(down=False)
    tenants.running.start_node(stopped)
    await tenants.running.wait_ready()
    report('log down busy', busy.results)
    report('log down calm', calm.results)
    print(f'planned stop took {taken:.2f} s')
    sent = busy.results + calm.results
    cut = [
        result for result in sent if not (result.answered or result.not_run)
    ]
    assert (code, cut) == (0, [])
    early = [result for result in calm.results if result.at < stop - 0.5]
    assert early and all(result.answered for result in early)
    await tenants.check_rates('log down')


async def test_allocator_is_killed(tenants):
    # Guards against tokens that are granted twice around a takeover of the
    # allocator, and against an organisation that gets none afterwards.
    lost = await tenants.find_allocator('busy')
    others = [one for one in tenants.running.instances if one != lost]
    busy = tenants.load('busy', RATES['busy'] * BUSY_FACTOR, lambda: others)
    name = 'calm'
    calm = tenants.load(name, RATES[name] * CALM_LOAD_FRACTION, lambda: others)
    async with busy, calm:
        await asyncio.sleep(1.5)
        tenants.running.signal_node(lost, signal.SIGKILL)
        killed = load.read_clock()
        await asyncio.sleep(4.5)
    late = [one for one in busy.results if one.at > killed]
    answered = sum(one.answered for one in late)
    report('takeover busy', busy.results)
    report('takeover calm', calm.results)
    share = answered / (RATES['busy'] * 4.5)
    print(f'lost {lost}: busy got {100 * share:.0f}% of its rate after it')
    await tenants.check_rates('takeover')
    last = [one for one in late if one.at > killed + 3.5]
    assert sum(one.answered for one in last) > 0
    assert await tenants.running.find_violations() == []
