"""Planners of a partitioned fleet whose sides all reach the store."""

import asyncio
import random
import types

import pytest

from sesamejunction.border import registrycodec
from sesamejunction.model import ranges
from sesamejunction.model import state
from sesamejunction.platform import store
from sesamejunction.tasks import clock
from sesamejunction.tasks import presence
from sesamejunction.tasks import rangeplanner
from test import storemodel

NODES = 12
START_S = 15.0
CUT_S = 20.0
PLAN_KEY = f'plan/{storemodel.SERVICE}'


def separate(*cut):
    """Return which nodes still reach each other if ``cut`` form a side."""
    return lambda sender, receiver: (sender in cut) == (receiver in cut)


def silence(*mute):
    """Return which nodes still reach each other if nobody hears ``mute``."""
    return lambda sender, receiver: sender not in mute


def list_plans(fleet, start):
    return [
        registrycodec.decode_record(entry.key, entry.value)
        for entry in fleet.log.records[store.FLEET_TOPIC][start:]
        if entry.key == PLAN_KEY
    ]


async def play(reaches):
    """Return the plans written during a cut and after it."""
    fleet = storemodel.Fleet(NODES, 7)
    running = [asyncio.ensure_future(one.run(0.1)) for one in fleet.nodes]
    found = []
    await asyncio.sleep(START_S)
    for reaching in (reaches, lambda sender, receiver: True):
        fleet.reaches = reaching
        start = len(fleet.log.records[store.FLEET_TOPIC])
        await asyncio.sleep(CUT_S)
        found.append(list_plans(fleet, start))
    for one in running:
        one.cancel()
    await asyncio.gather(*running, return_exceptions=True)
    return found


def run_model(reaches, monkeypatch):
    loop = storemodel.Loop()
    monkeypatch.setattr(clock, 'read_boot_clock', loop.time)
    random.seed(7)
    try:
        return loop.run_until_complete(play(reaches))
    finally:
        loop.close()


# Guards against planners on both sides of a partition that undo each other's
# plans until the store refuses the record (issue 20: seven plans in 0.4 s, the
# lowest names were cut off). Columns: who reaches whom, nodes that own keys at
# the end of the cut.
@pytest.mark.parametrize(
    ('reaches', 'owners'),
    [
        pytest.param(separate(1, 2, 5), 9, id='lowest names cut off'),
        pytest.param(separate(10, 11), 10, id='highest names cut off'),
        pytest.param(separate(1, 2, 3, 4, 5, 6), 6, id='two halves'),
        pytest.param(silence(1), 11, id='nobody hears the planner'),
    ],
)
def test_one_side_of_a_partition_plans(reaches, owners, monkeypatch):
    during, after = run_model(reaches, monkeypatch)
    assert len(during) + len(after) <= 8
    assert len({one.owner for one in during[-1].ranges}) == owners
    assert len({one.owner for one in after[-1].ranges}) == NODES
    most = NODES * rangeplanner.rangeplanning.MAX_RANGES_PER_OWNER
    assert max(len(plan.ranges) for plan in during + after) <= most
    assert after[-1].ranges[-1].last == ranges.LAST_KEY


# Guards against a node that plans although it may be cut off, and against one
# that has just started and waits for an answer to its first probe: after a
# kill of all nodes, no rate tokens were granted for 0.6 s. Columns: number of
# this node, silent nodes, seconds since an answer or the start, whether it may
# plan at once.
@pytest.mark.parametrize(
    ('own', 'silent', 'echo_s', 'expected'),
    [
        pytest.param(0, (), None, True, id='just started'),
        pytest.param(0, (), 0.4, True, id='all heard'),
        pytest.param(0, (), 9.0, False, id='no probe is answered'),
        pytest.param(0, (1, 2), 0.4, True, id='half, with the lowest name'),
        pytest.param(2, (0, 1), 0.4, False, id='the other half'),
        pytest.param(1, (0,), 0.4, True, id='most'),
        pytest.param(0, (1, 2, 3), 0.4, False, id='few'),
    ],
)
async def test_planner_hears_most_members(own, silent, echo_s, expected):
    now = clock.read_boot_clock()
    members = {
        number: types.SimpleNamespace(name=f'n{number}', life=None)
        for number in range(4)
    }
    view = presence.PresenceView()
    presence.Presence(own, None, view, (), (), ())
    if echo_s is not None:
        view.echoed_at = now - echo_s
    view.silent = frozenset(silent)
    planner = rangeplanner.RangePlanner(f'n{own}', own, view, None, None)
    planner._state = state.State(members=members)
    assert planner._is_planner(now) is expected
    later = now + rangeplanner.PARTITION_WAIT_S
    view.echoed_at = later if expected else view.echoed_at
    assert planner._is_planner(later)
