"""Counting hot keys, and giving them slots of their own."""

from unittest import mock

import pytest

from bench import fleets
from sesamejunction.decisions import hotkeys as rules
from sesamejunction.model import hotkeys
from sesamejunction.model import journaling
from sesamejunction.model import records
from sesamejunction.tasks import hotkeys as tasks

SLOTS = 16
KEY = 5


@pytest.mark.parametrize('others', [0, 100, 5_000])
def test_sketch_bounds(others):
    # Guards against a hot key that is missed among many rare ones, and
    # against memory that grows with the number of keys.
    sketch = rules.Sketch()
    for number in range(others):
        sketch.add(1_000 + number, 1, 0.0)
        if number % 3 == 0:
            sketch.add(KEY, 1, 0.0)
    sketch.add(KEY, 10, 0.0)
    total = 10 + others + -(-others // 3)
    first = sketch.read_counts(0.0)[0]
    assert len(sketch.read_counts(0.0)) <= rules.MAX_COUNTERS
    assert first.key_hash == KEY
    exact = 10 + -(-others // 3)
    assert exact <= first.count <= exact + total / rules.MAX_COUNTERS


@pytest.mark.parametrize(
    ('waited', 'left'), [(0, 1.0), (10, 0.5), (30, 0.125), (1_000, 0.0)]
)
def test_sketch_decay(waited, left):
    # Guards against a key that stays hot after its requests stopped, and
    # against weights that overflow on a node that runs for a long time.
    sketch = rules.Sketch()
    sketch.add(KEY, 800, 0.0)
    sketch.add_total(800, 0.0)
    counts = sketch.read_counts(float(waited))
    assert counts[0].count == pytest.approx(800 * left, abs=1e-6)
    assert sketch.read_total(float(waited)) == pytest.approx(
        800 * left, abs=1e-6
    )


def build():
    return fleets.build_fleet(SLOTS, 6, planned=True)


def find_order(fleet, slot=KEY):
    return fleet.state.tables['kv'].orders[slot]


def make_load(count, total=1_000.0):
    return hotkeys.KeyLoad('kv', total, (hotkeys.KeyCount(KEY, count),))


# Guards against slots spent on keys that are not hot, that another node owns,
# or that are already moving. Rows: the difference to a hot key, and whether
# the key is placed.
@pytest.mark.parametrize(
    ('case', 'placed'),
    [
        ('hot', True),
        ('below a fifth', False),
        ('few requests', False),
        ('other owner', False),
        ('moving', False),
        ('placed already', False),
    ],
)
def test_only_hot_keys_are_placed(case, placed):
    fleet = build()
    owner = find_order(fleet).order[0]
    load = make_load(199.0 if case == 'below a fifth' else 200.0)
    if case == 'few requests':
        load = make_load(50.0, 100.0)
    if case == 'other owner':
        owner = find_order(fleet).order[1]
    if case == 'moving':
        entry = records.SlotEntry(KEY, 1, find_order(fleet).order[::-1])
        fleet.append(records.SlotsArranged('kv', (entry,)))
    if case == 'placed already':
        fleet.append(rules.plan_placement(fleet.state, owner, load))
    record = rules.plan_placement(fleet.state, owner, load)
    assert (record is not None) is placed
    if placed:
        before = find_order(fleet)
        fleet.append(record)
        assert record.order[0] != owner
        assert fleet.state.tables['kv'].hot_keys == {KEY: SLOTS}
        assert find_order(fleet, SLOTS).previous == before.order


def test_owner_has_fewest_hot_keys_then_slots():
    # Guards against placing all hot keys on the node with the fewest slots.
    fleet = build()
    members = tuple(fleet.state.members)
    chosen = set()
    for key in range(SLOTS)[:5]:
        owner = find_order(fleet, key).order[0]
        pick = rules.choose_owner(fleet.state, 'kv', members, owner)
        load = hotkeys.KeyLoad('kv', 1e3, (hotkeys.KeyCount(key, 500.0),))
        record = rules.plan_placement(fleet.state, owner, load)
        assert record.order[0] == pick != owner
        fleet.append(record)
        fleet.complete_moves()
        chosen.add(pick)
    assert len(chosen) >= 4


# Guards against a key that moves back and forth, and against hot slots that
# are never removed. Rows: share of the owner's requests, seconds for which the
# hot and then the fixed owner has held the slot, and the steps to removal.
@pytest.mark.parametrize(
    ('count', 'owned_s', 'steps'),
    [
        (30.0, (30.0, 10.0), ['SlotsArranged', 'HotKeyRemoved']),
        (30.0, (30.0, 9.9), ['SlotsArranged']),
        (60.0, (30.0, 30.0), []),
        (30.0, (29.9, 30.0), []),
        (30.0, (), []),
    ],
)
def test_cold_key_returns_to_its_fixed_slot(count, owned_s, steps):
    fleet = build()
    owner = find_order(fleet).order[0]
    fleet.append(rules.plan_placement(fleet.state, owner, make_load(500.0)))
    fleet.complete_moves()
    proposed_kinds = []
    for _ in range(3):
        present = find_order(fleet, SLOTS).order[0]
        owned = {SLOTS: one for one in owned_s[present == owner :][:1]}
        record = rules.plan_removal(
            fleet.state, present, make_load(count), owned
        )
        if record is not None:
            proposed_kinds.append(type(record).__name__)
            fleet.append(record)
            fleet.complete_moves()
    assert proposed_kinds == steps
    assert bool(fleet.state.tables['kv'].hot_keys) is (len(steps) < 2)
    assert not fleet.plan_until_stable()


def test_lost_hot_slot_is_reassigned():
    # Guards against a hot key without an owner after members are lost.
    fleet = build()
    owner = find_order(fleet).order[0]
    fleet.append(rules.plan_placement(fleet.state, owner, make_load(500.0)))
    fleet.complete_moves()
    lost = find_order(fleet, SLOTS).order[:2]
    fleet.append(records.MembersEnded(lost))
    fleet.plan_until_stable()
    assert not set(lost) & set(find_order(fleet, SLOTS).order)


async def test_task_proposes_at_most_every_interval():
    # Guards against a proposal at every tick while the log is slow, and
    # against a message for each counted request.
    fleet = build()
    now = [100.0]
    appender = mock.Mock()
    owner = find_order(fleet).order[0]
    task = tasks.HotKeys(owner, appender, now=lambda: now[0])
    await task.handle(journaling.StateChanged(fleet.state))
    batches = mock.Mock()
    tally = tasks.BatchingKeyCounter(batches)
    for number in range(1_000):
        tally.count('kv', KEY if number % 2 else 10_000 + number, now[0])
        now[0] += 0.001
    batch_messages = [call.args[0] for call in batches.tell.call_args_list]
    assert len(batch_messages) <= 11
    assert sum(one.total for one in batch_messages) > 800
    assert all(len(one.counts) <= 100 for one in batch_messages)
    for batch in batch_messages:
        await task.handle(batch)
    for _ in range(9):
        await task.tick()
        now[0] += 1.0
    (call,) = appender.tell.call_args_list
    assert isinstance(call.args[0].record, records.HotKeyPlaced)
    assert task.dump().loads[0].counts[0].key_hash == KEY
