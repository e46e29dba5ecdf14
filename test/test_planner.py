"""Planner task: ranks, one plan at a time, balance and checkpoints."""

import types

import pytest

from bench import fleets
from sesamejunction.border import recordcodec
from sesamejunction.decisions import fold
from sesamejunction.decisions import hashing
from sesamejunction.model import journaling
from sesamejunction.model import records
from sesamejunction.tasks import planner


async def run_until(task, clock, until):
    while clock.now < until:
        await task.tick()
        clock.now += 0.1


def make(fleet, rank, clock, retention_s=1e9):
    ranked = hashing.rank_members(planner.RANK_SEED, fleet.state.members)
    told = []
    appender = types.SimpleNamespace(tell=lambda one: told.append(one.record))
    task = planner.Planner(
        ranked[rank], appender, retention_s, now=lambda: clock.now
    )
    return task, told


# Guards against many nodes that append the same plan, and against no node
# that does when the first ones are gone: rank, seconds, whether it planned.
@pytest.mark.parametrize(
    ('rank', 'waited', 'planned'),
    [
        (0, 0.05, False),
        (0, 0.35, True),
        (2, 0.8, False),
        (2, 1.2, True),
        (5, 9.0, False),
    ],
)
async def test_rank_delay(rank, waited, planned):
    clock = types.SimpleNamespace(now=1_000.0)
    fleet = fleets.build_fleet(16, 9)
    task, told = make(fleet, rank, clock)
    await task.handle(journaling.StateChanged(fleet.state))
    await run_until(task, clock, 1_000.0 + waited)
    assert bool(told) is planned
    assert task.dump().proposed == len(told)


@pytest.mark.parametrize('busy', [False, True])
async def test_one_plan_at_a_time(busy):
    # Guards against a plan for every change while the first is under way,
    # and against a planner that never plans on a busy log.
    clock = types.SimpleNamespace(now=1_000.0)
    fleet = fleets.build_fleet(16, 9)
    task, told = make(fleet, 0, clock)
    for step in range(9):
        if busy:
            fleet.append(records.MemberLeaving(1 + step))
        await task.handle(journaling.StateChanged(fleet.state))
        await run_until(task, clock, clock.now + 0.1)
    assert sum(isinstance(r, records.WitnessesNamed) for r in told) == 1


async def test_satisfied_need_is_not_planned():
    # Guards against duplicates from lower ranks once the first has acted.
    clock = types.SimpleNamespace(now=1_000.0)
    fleet = fleets.build_fleet(16, 9)
    task, told = make(fleet, 1, clock)
    await task.handle(journaling.StateChanged(fleet.state))
    fleet.plan_until_stable()
    await task.handle(journaling.StateChanged(fleet.state))
    await run_until(task, clock, 1_020.0)
    assert not told


@pytest.mark.parametrize(('waited', 'moved'), [(50.0, False), (70.0, True)])
async def test_balance_once_a_minute(waited, moved):
    # Guards against the moves that only balance asks for following each
    # other at once.
    clock = types.SimpleNamespace(now=1_000.0)
    fleet = fleets.build_fleet(16, 9)
    fleet.plan_until_stable()
    fleet.append(records.MembersEnded((1, 2, 4)))
    fleet.plan_until_stable(frozenset())
    task, told = make(fleet, 0, clock)
    await task.handle(journaling.StateChanged(fleet.state))
    await run_until(task, clock, 1_000.0 + waited)
    assert any(getattr(one, 'balance', False) for one in told) is moved


# Guards against a log whose records nobody can read from the start once the
# retention has passed: what the log has dropped, seconds, checkpoint written.
@pytest.mark.parametrize(
    ('rank', 'oldest', 'waited', 'written'),
    [
        (0, 0, 20.0, False),
        (0, 0, 35.0, True),
        (0, 3, 0.3, True),
        (1, 3, 4.0, False),
        (1, 3, 6.0, True),
    ],
)
async def test_checkpoint(rank, oldest, waited, written):
    clock = types.SimpleNamespace(now=1_000.0)
    fleet = fleets.build_fleet(16, 9)
    fleet.plan_until_stable()
    task, told = make(fleet, rank, clock, retention_s=60.0)
    await task.handle(journaling.StateChanged(fleet.state))
    await task.handle(journaling.OldestOffsetChanged(oldest))
    await run_until(task, clock, 1_000.0 + waited)
    assert bool(told) is written
    if written:
        part = told[0]
        assert recordcodec.decode_state(part.data) == fleet.state
        for one in told:
            fleet.append(one)
        assert fleet.state.checkpoint_offset == part.covers
        assert not fold.is_needed(fleet.state, part)
