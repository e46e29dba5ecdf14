"""Hot keys of a keyed service under load are moved and moved back."""

import asyncio
import contextlib
import dataclasses
import itertools
import time

import pytest
import pytest_asyncio

from sesamejunction.decisions import hashing
from sesamejunction.model import state
from test.process import harness
from test.process import judge
from test.process import load

pytestmark = [
    pytest.mark.process,
    pytest.mark.asyncio(loop_scope='module'),
]
# Stated target: the hottest keys change within minutes.
MOVE_LIMIT_S = 120.0
# So many keys that each gets far less of the plain load than the 5% of a
# node's requests below which a hot key counts as quiet.
KEY_COUNT = 199
RATE = 80.0
HOT_RATE = 30.0
POLL_S = 0.2
AFTER_S = 1.0
SERVICE = 'catalogue'
SERVICES = (state.Service(SERVICE, state.Routing.KEY, 64),)
LAYOUT = ((SERVICE, 4),)


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One hot key; one of ``once_every`` calls is once-only."""

    name: str
    once_every: int

    def __str__(self):
        return self.name


ROWS = [Row('lookups', 10**9), Row('once-only', 2)]


@dataclasses.dataclass(frozen=True, slots=True)
class HotKeyRun:
    """History of one hot key from ``began``, in CLOCK_BOOTTIME seconds.

    ``owners`` are the owner of its fixed slot before, of its hot slot, and
    of its fixed slot at the end.
    """

    key: str
    owners: tuple[str, str, str]
    began: float


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """Both hot keys, all results and all histories."""

    runs: dict[Row, HotKeyRun]
    results: list
    entries: list


def find_order(current, key):
    """Return the slot order (owner and successors) of a key."""
    table = current.tables[SERVICE]
    slot = hashing.find_slot(current.services[SERVICE], table, key)
    return table.orders[slot]


def find_owner_name(current, key):
    """Return the name of the target that owns a key."""
    return current.members[find_order(current, key).order[0]].name


def choose_keys(current):
    """Return a key for each row, with different owners."""
    keys = {
        find_owner_name(current, f'lot-{number}'): f'lot-{number}'
        for number in range(KEY_COUNT)
    }
    return dict(zip(ROWS, sorted(keys.values()), strict=False))


def make_hot_load(running, row, key):
    def make(number):
        call = running.make_call(
            number, SERVICE, once=number % row.once_every == 1
        )
        headers = dict(call.headers) | {'SJ-Key': key}
        return dataclasses.replace(call, headers=tuple(headers.items()))

    return load.Load(HOT_RATE, make)


def make_plain_load(running):
    return load.Load(
        RATE,
        lambda number: running.make_call(
            number, SERVICE, once=number % 4 == 0, keys=KEY_COUNT
        ),
    )


async def wait_for_hot_slot(running, key, is_hot):
    """Wait until a key has a slot of its own, or no longer has one."""
    digest = hashing.hash_key(key)
    while True:
        current = await judge.read_state(running)
        if (digest in current.tables[SERVICE].hot_keys) is is_hot:
            if find_order(current, key).previous is None:
                return current
        await asyncio.sleep(POLL_S)


async def follow_key(running, row, key, results):
    """Send a hot load until a key has moved, then wait for its return."""
    before = find_owner_name(await judge.read_state(running), key)
    began = load.read_clock()
    async with make_hot_load(running, row, key) as hot:
        moved = await wait_for_hot_slot(running, key, True)
        placed = load.read_clock()
        await asyncio.sleep(AFTER_S)
    results += hot.results
    quiet = load.read_clock()
    returned = await wait_for_hot_slot(running, key, False)
    removed = load.read_clock()
    owners = (
        before,
        find_owner_name(moved, key),
        find_owner_name(returned, key),
    )
    print(
        f'{row}: {key} of {owners[0]} at {owners[1]} after '
        f'{placed - began:.1f} s, returned to {owners[2]} '
        f'{removed - quiet:.1f} s after its last hot request'
    )
    return HotKeyRun(key, owners, began)


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def scenario():
    """Both keys become hot at the same time, in one fleet under load."""
    declared = harness.make_declaration(*SERVICES)
    async with contextlib.AsyncExitStack() as stack:
        running = await stack.enter_async_context(
            harness.start_fleet(LAYOUT, declared, cold_slots=12)
        )
        keys = choose_keys(await judge.wait_until_stable(running))
        began, since = load.read_clock(), time.time()
        # Shows the cause of a third owner or a late return, such as a lost
        # lease or a plan that moved the fixed slot.
        stack.callback(
            judge.print_node_logs, running.fleet, running.instances, since
        )
        results = []
        async with (
            make_plain_load(running) as plain,
            asyncio.timeout(MOVE_LIMIT_S),
        ):
            runs = await asyncio.gather(
                *(
                    follow_key(running, row, key, results)
                    for row, key in keys.items()
                )
            )
            await asyncio.sleep(AFTER_S)
        results += plain.results
        judge.print_results('hot keys', results)
        entries = await judge.check_histories(running, began, results)
        yield Scenario(dict(zip(keys, runs, strict=True)), results, entries)


# Guards against a hot key that stays with its owner, is served by another
# node than the log states, or keeps its own slot when it is no longer hot.
@pytest.mark.parametrize('row', ROWS, ids=str)
async def test_hot_key_moves_and_returns(scenario, row):
    run = scenario.runs[row]
    first, hot, last = run.owners
    served = [
        entry for entry in scenario.entries if entry.route_key == run.key
    ]
    served.sort(key=lambda entry: entry.start)
    moved = min(entry.start for entry in served if entry.target == hot)
    print(f'{row}: first served at {hot} after {moved - run.began:.1f} s')
    assert first == last != hot
    serving_targets = [
        name for name, _ in itertools.groupby(o.target for o in served)
    ]
    assert serving_targets == [first, hot, first]


# Guards against lookups that fail while a key moves, in both directions. The
# histories are also checked for two owners and repeated once-only work.
@pytest.mark.parametrize('row', ROWS, ids=str)
async def test_no_lookup_is_lost(scenario, row):
    key = scenario.runs[row].key
    results = [
        result
        for result in scenario.results
        if judge.read_header(result.call, 'SJ-Key') == key
    ]
    lookups = [result for result in results if judge.is_lookup(result)]
    judge.print_results(str(row), results)
    assert {judge.read_code(result) for result in lookups} == {'answered'}
    assert [result for result in results if result.status is None] == []
