"""Planner task: ranks, rate of plans, balance and checkpoints."""

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


def make_planner(fleet, rank, clock, retention_s=1e9):
    ranked = hashing.rank_members(planner.RANK_SEED, fleet.state.members)
    proposed_records = []
    appender = types.SimpleNamespace(
        tell=lambda one: proposed_records.append(one.record)
    )
    task = planner.Planner(
        ranked[rank], appender, retention_s, now=lambda: clock.now
    )
    return task, proposed_records


# Guards against many nodes that append the same plan, and against a plan that
# no node appends after the loss of the first ranks. Rows: rank, seconds,
# whether it planned.
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
    task, proposed_records = make_planner(fleet, rank, clock)
    await task.handle(journaling.StateChanged(fleet.state))
    await run_until(task, clock, 1_000.0 + waited)
    assert bool(proposed_records) is planned
    assert task.dump().proposed == len(proposed_records)


@pytest.mark.parametrize('busy', [False, True])
async def test_one_plan_at_a_time(busy):
    # Guards against a plan for every change while the records of the first
    # are being appended, and against a planner that never plans while there
    # are always new records.
    clock = types.SimpleNamespace(now=1_000.0)
    fleet = fleets.build_fleet(16, 9)
    task, proposed_records = make_planner(fleet, 0, clock)
    for step in range(9):
        if busy:
            fleet.append(records.MemberLeaving(1 + step))
        await task.handle(journaling.StateChanged(fleet.state))
        await run_until(task, clock, clock.now + 0.1)
    assert (
        sum(isinstance(r, records.WitnessesNamed) for r in proposed_records)
        == 1
    )


async def test_satisfied_need_is_not_planned():
    # Guards against duplicate plans by lower ranks after the first has acted.
    clock = types.SimpleNamespace(now=1_000.0)
    fleet = fleets.build_fleet(16, 9)
    task, proposed_records = make_planner(fleet, 1, clock)
    await task.handle(journaling.StateChanged(fleet.state))
    fleet.plan_until_stable()
    await task.handle(journaling.StateChanged(fleet.state))
    await run_until(task, clock, 1_020.0)
    assert not proposed_records


@pytest.mark.parametrize(('waited', 'moved'), [(50.0, False), (70.0, True)])
async def test_balance_once_a_minute(waited, moved):
    # Guards against moves for balance that follow each other too fast.
    clock = types.SimpleNamespace(now=1_000.0)
    fleet = fleets.build_fleet(16, 9)
    fleet.plan_until_stable()
    fleet.append(records.MembersEnded((1, 2, 4)))
    fleet.plan_until_stable(frozenset())
    task, proposed_records = make_planner(fleet, 0, clock)
    await task.handle(journaling.StateChanged(fleet.state))
    await run_until(task, clock, 1_000.0 + waited)
    assert (
        any(getattr(one, 'balance', False) for one in proposed_records)
        is moved
    )


# Guards against a log without a checkpoint after its first records have been
# deleted by the retention. Rows: rank, oldest offset of the log, seconds,
# whether a checkpoint is written.
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
    task, proposed_records = make_planner(fleet, rank, clock, retention_s=60.0)
    await task.handle(journaling.StateChanged(fleet.state))
    await task.handle(journaling.OldestOffsetChanged(oldest))
    await run_until(task, clock, 1_000.0 + waited)
    assert bool(proposed_records) is written
    if written:
        part = proposed_records[0]
        assert recordcodec.decode_state(part.data) == fleet.state
        for one in proposed_records:
            fleet.append(one)
        assert fleet.state.checkpoint_offset == part.covers
        assert not fold.is_needed(fleet.state, part)
