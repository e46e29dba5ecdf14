"""Actors of a hosted node rarely wake up while idle."""

import asyncio
import types

import pytest

from sesamejunction import errors
from sesamejunction.model import journaling
from sesamejunction.model import leasing
from sesamejunction.model import owning
from sesamejunction.model import ranges
from sesamejunction.model import registry
from sesamejunction.model import sharing
from sesamejunction.model import state
from sesamejunction.tasks import allocators
from sesamejunction.tasks import clock
from sesamejunction.tasks import follower
from sesamejunction.tasks import presence
from sesamejunction.tasks import rangeplanner
from sesamejunction.tasks import registrar
from sesamejunction.tasks import shares
from sesamejunction.tasks import targetlease
from test import fakes

IDLE_TEST_S = 1.05
# Without longer idle ticks each actor wakes up ten times a second or more.
MOST_TICKS = 6
BUSY_TICKS = 7
LIFE = ranges.Life('b', 't', 1)
OTHER = ranges.Life('c', 't', 1)


def make_member(number, name):
    life = ranges.Life(name, 't', 1)
    return state.Member(
        *(number, name, 'z', '10.0.0.1', 1, 1, 1, 's', 1, 1, True),
        life=life,
    )


def make_state(previous=()):
    order = state.SlotOrder(1, (1,))
    plan = ranges.RangePlan(
        (ranges.Range(0, ranges.LAST_KEY, 4, LIFE, previous),)
    )
    return state.State(
        offset=4,
        members={1: make_member(1, 'a'), 2: make_member(2, 'b')},
        services={'s': state.Service('s', state.Routing.RANGE, 0)},
        organisations={'one': state.Organisation('one', 100.0, 100.0)},
        tables={state.SHARES_SERVICE: state.SlotTable((order,) * 64)},
        ranges={'s': plan},
    )


class Terms(fakes.FakeTask):
    """Confirms all slots of shares, or none."""

    def __init__(self, confirms):
        super().__init__()
        self._confirms = confirms

    async def ask(self, message):
        return (
            owning.Serving(None, 1e12, 1e12, 0.0)
            if self._confirms
            else owning.NotServing(None, 1)
        )

    tell_reliably = fakes.FakeTask.tell


def make_shares():
    return shares.Shares(1, fakes.FakeTask(), fakes.FakeTask())


def make_allocators(confirms):
    return allocators.Allocators(1, Terms(confirms), fakes.FakeTask())


def make_planner(name):
    return rangeplanner.RangePlanner(
        *(name, 1, presence.PresenceView(), fakes.FakeTask()),
        types.SimpleNamespace(ask=fakes.FakeTask().ask),
    )


class Topic:
    """Accepts all appends, or fails them all."""

    def __init__(self, fails):
        self._fails = fails

    async def append(self, _entry, _end):
        if self._fails:
            raise errors.LogUnavailable('no')
        return 1


def make_lease():
    view = follower.PositionView()
    view.end, view.as_of = 4, clock.read_boot_clock()
    links = types.SimpleNamespace(ask=fakes.FakeTask(None).ask)
    metrics = types.SimpleNamespace(
        key_rows_granted=types.SimpleNamespace(inc=lambda _: None)
    )
    identity = targetlease.Identity('b', 2, 'z', '10.0.0.1', 1, 's')
    return targetlease.TargetLease(
        identity, view, fakes.FakeTask(), links, metrics
    )


RECORD = registry.MemberRecord('a', 1, 'z', 'h', 1, 's', 1, LIFE)
BEAT = leasing.Heartbeat(LIFE, 's', 'z', 8, 1, False, 0.0, (), ())
SPEND = sharing.TakeToken('one', 1e12)
MOVED = make_state((OTHER,))
CASES = {
    'shares without demand': (make_shares, (), False),
    'shares with a waiting request': (make_shares, (SPEND,), True),
    'allocator, confirmed': (lambda: make_allocators(True), (), False),
    'allocator, not confirmed': (lambda: make_allocators(False), (), True),
    'another member plans': (lambda: make_planner('b'), (), False),
    'this one plans': (lambda: make_planner('a'), (), True),
    'registered': (
        lambda: registrar.Registrar(Topic(False), fakes.FakeTask()),
        (registry.Register(RECORD),),
        False,
    ),
    'target holds its keys': (make_lease, (BEAT,), False),
    'keys wait for a release': (
        make_lease,
        (journaling.StateChanged(MOVED), BEAT),
        True,
    ),
}


# Guards against actors that wake up many times a second without work, which on
# 80 small machines costs more than the work itself, and against actors that do
# not check again while something waits for time to pass.
@pytest.mark.parametrize(('make', 'told', 'busy'), CASES.values(), ids=CASES)
async def test_wakes_up_only_while_something_waits(make, told, busy):
    task, ticks = make(), []
    tick = task.tick

    async def count():
        ticks.append(1)
        await tick()

    task.tick = count
    task.publish(journaling.StateChanged(make_state()))
    async with fakes.run_actors(task):
        for one in told:
            task.tell(one)
        await asyncio.sleep(IDLE_TEST_S)
    assert (len(ticks) >= BUSY_TICKS) is busy, len(ticks)
    assert busy or len(ticks) <= MOST_TICKS


async def test_failed_registration_is_repeated_soon():
    # Guards against a retry delayed by the idle interval of a registered
    # node.
    made = registrar.Registrar(Topic(False), fakes.FakeTask())
    async with fakes.run_actors(made):
        made.tell(registry.Register(RECORD))
        await asyncio.sleep(0.1)
        made._topic = Topic(True)
        made.tell(registry.RegistrationLost(2))
        await asyncio.sleep(0.1)
        made._topic = Topic(False)
        assert made._written is None
        await fakes.wait_until(lambda: made._written == RECORD, 1.0)
