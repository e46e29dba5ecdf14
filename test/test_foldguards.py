"""Properties of the fold, and the failure that each safeguard prevents."""

import dataclasses

import hypothesis
from hypothesis import strategies
import pytest

from bench import fleets
from sesamejunction.border import recordcodec
from sesamejunction.decisions import checkpoints
from sesamejunction.decisions import fold
from sesamejunction.decisions import planning
from sesamejunction.decisions import slotorders
from sesamejunction.model import records
from sesamejunction.model import state
from sesamejunction.tasks import journal
from test import logs


def fold_all(entries, current=None, start=0):
    current = current or state.State()
    for offset, record in enumerate(entries, start):
        current = fold.apply_record(current, offset, record)
    return current


def strip_offsets(current):
    """Return the state without values that depend on offsets alone."""
    return dataclasses.replace(
        current,
        offset=0,
        ended=dict.fromkeys(current.ended, 0),
        tables={
            name: dataclasses.replace(table, balanced=0)
            for name, table in current.tables.items()
        },
    )


def ticket(number, digest='a', services=()):
    return records.TicketApplied(number, digest, 'ana', services=services)


KV = state.Service('kv', state.Routing.KEY, 2)
BASE = (
    ticket(1, services=(KV,)),
    *(
        fleets.make_join_record(number, 'abc'[number % 3])
        for number in range(1, 6)
    ),
)


def arrange(epoch, *order, slot=0):
    entry = records.SlotEntry(slot, epoch, order)
    return records.SlotsArranged('kv', (entry,))


def settle(epoch, slot=0):
    return records.SlotsSettled('kv', (records.SettledEntry(slot, epoch),))


def find_order(current, slot=0):
    return current.tables['kv'].orders[slot]


def repeats_change_nothing(*entries):
    # The last record repeats an earlier one.
    whole = fold_all((*BASE, *entries))
    once = fold_all((*BASE, *entries[:-1]))
    return strip_offsets(whole) == strip_offsets(once)


HOT = records.HotKeyPlaced('kv', 4, 2, 1, (2, 3, 1))


def check_repeated_order():
    return repeats_change_nothing(
        arrange(0, 1, 2, 3),
        arrange(1, 2, 3, 1),
        settle(2),
        arrange(1, 2, 3, 1),
    )


def check_order_in_transition():
    current = fold_all((*BASE, arrange(0, 1, 2, 3), arrange(1, 2, 3, 1)))
    current = fold.fold_record(current, arrange(2, 4, 5, 1))
    # Member 2 may already have got all releases and be serving.
    return find_order(current).order == (2, 3, 1)


def check_dead_order_is_replaced():
    ended = records.MembersEnded((2, 3))
    current = fold_all((*BASE, arrange(0, 1, 4, 5), arrange(1, 2, 3), ended))
    current = fold.fold_record(current, arrange(2, 4, 5, 1))
    new = find_order(current)
    # Members 2 and 3 may have served, so their ends count as evidence.
    return new.order == (4, 5, 1) and new.previous == (1, 4, 5, 2, 3)


def check_dead_members_in_order():
    ended = records.MembersEnded((2,))
    current = fold_all((*BASE, ended, arrange(0, 2, 3, 1)))
    return 'kv' not in current.tables


def check_ticket():
    current = fold_all((*BASE, ticket(5, 'new'), ticket(4, 'old')))
    return current.last_ticket_digest == 'new'


def check_ended_stays_ended():
    return repeats_change_nothing(records.MembersEnded((1,)), BASE[1])


def check_late_join():
    again = fleets.make_join_record(9, 'a', replaces=1)
    again = dataclasses.replace(
        again,
        member=dataclasses.replace(again.member, host=BASE[1].member.host),
    )
    late = dataclasses.replace(
        BASE[1], member=dataclasses.replace(BASE[1].member, incarnation=77)
    )
    return repeats_change_nothing(again, late)


def check_old_join():
    ended = records.MembersEnded((1,))
    current = fold_all((*BASE, ended))
    far = dataclasses.replace(current, offset=fold.JOIN_WINDOW + 100)
    far = fold.apply_record(far, far.offset, records.MembersEnded((2,)))
    return 1 not in fold.fold_record(far, BASE[1]).members


def check_hot_key():
    return repeats_change_nothing(
        arrange(0, 1, 2, 3),
        HOT,
        settle(3, 2),
        arrange(3, 1, 2, 3, slot=2),
        settle(4, 2),
        records.HotKeyRemoved('kv', 4, 4),
        HOT,
    )


def check_covers():
    task = journal.Journal(logs.FakeLog(), ())
    task._state = fold_all([ticket(number) for number in range(1, 6)])
    older = fold_all([ticket(1), ticket(2)])
    task._adopt(2, recordcodec.encode_state(older))
    return task._state.last_ticket == 5


# Guards against the removal of a safeguard in a later change. Rows: the
# function, the result that disables it, and a check that must then fail.
SAFEGUARDS = {
    'base epoch': (slotorders, 'fits_epoch', True, check_repeated_order),
    'settled': (slotorders, 'may_replace', True, check_order_in_transition),
    'dead order': (
        slotorders,
        'may_replace',
        False,
        check_dead_order_is_replaced,
    ),
    'live members': (
        slotorders,
        'are_live',
        True,
        check_dead_members_in_order,
    ),
    'ticket number': (fold, 'accepts_ticket', True, check_ticket),
    'ended': (fold, 'is_new', True, check_ended_stays_ended),
    'address': (fold, 'knows_former', True, check_late_join),
    'join window': (fold, 'is_timely', True, check_old_join),
    'former epoch': (slotorders, 'follows_former', True, check_hot_key),
    'covers': (checkpoints, 'may_adopt', True, check_covers),
}


@pytest.mark.parametrize('name', SAFEGUARDS)
def test_safeguard(name, monkeypatch):
    module, function, answer, check = SAFEGUARDS[name]
    assert check()
    monkeypatch.setattr(module, function, lambda *_: answer)
    assert not check()


def name_witnesses(member, version, *others):
    entry = records.WitnessEntry(member, version, others)
    return records.WitnessesNamed((entry,))


MEMBER = strategies.integers(1, 6)
ORDER = strategies.lists(MEMBER, min_size=1, max_size=3, unique=True).map(
    tuple
)
EPOCH = strategies.integers(0, 4)
SLOT = strategies.integers(0, 2)
KV_ONLY = strategies.just('kv')
TWO = strategies.just(2)
BUILDERS = (
    (fleets.make_join_record, MEMBER, strategies.sampled_from('abc')),
    (records.MemberLeaving, MEMBER),
    (records.MembersEnded, strategies.tuples(MEMBER)),
    (name_witnesses, MEMBER, EPOCH, MEMBER, MEMBER, MEMBER),
    (records.WitnessesSettled, MEMBER, EPOCH),
    (lambda s, e, o: arrange(e, *o, slot=s), SLOT, EPOCH, ORDER),
    (settle, EPOCH, SLOT),
    (records.HotKeyPlaced, KV_ONLY, SLOT, TWO, EPOCH, ORDER, EPOCH),
    (records.HotKeyRemoved, KV_ONLY, SLOT, EPOCH),
    (ticket, strategies.integers(1, 8)),
    (
        records.CheckpointPart,
        strategies.integers(1, 2),
        strategies.integers(0, 9),
        strategies.integers(0, 1),
        TWO,
        strategies.just(b''),
    ),
)
RECORD = strategies.one_of(
    *(strategies.builds(build, *parts) for build, *parts in BUILDERS)
)
HISTORY = strategies.lists(RECORD, max_size=30)


@hypothesis.given(
    HISTORY,
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 40), strategies.integers(0, 10)
        ),
        max_size=6,
    ),
)
def test_repeats_property(history, repeats):
    # Guards against an append that takes effect twice because it was repeated
    # after a lost reply. In the log, a repeat comes after the first copy,
    # which comes before any record that depends on it.
    entries = [*BASE, *history]
    effective = []
    current = state.State()
    for record in entries:
        if fold.is_needed(current, record):
            effective.append(record)
        current = fold.fold_record(current, record)
    repeated = list(effective)
    for first, distance in repeats:
        first %= len(effective)
        repeated.insert(
            min(
                len(repeated), repeated.index(effective[first]) + distance + 1
            ),
            effective[first],
        )
    assert strip_offsets(fold_all(repeated)) == strip_offsets(
        fold_all(effective)
    )


@hypothesis.given(HISTORY, strategies.integers(0, 40))
def test_checkpoint_property(history, cut):
    # Guards against a node whose state from a checkpoint differs from that of
    # a node that read all records, and against tickets, epochs or ended
    # incarnations that are reverted.
    entries = [*BASE, *history]
    cut %= len(entries)
    before = fold_all(entries[:cut])
    restored = recordcodec.decode_state(recordcodec.encode_state(before))
    assert restored == before
    whole = fold_all(entries)
    assert fold_all(entries[cut:], restored, cut) == whole
    assert whole.last_ticket >= before.last_ticket
    assert not before.ended.keys() & whole.members.keys()
    numbers = [r.number for r in entries if isinstance(r, type(BASE[0]))]
    assert whole.last_ticket == max(numbers)
    for name, table in before.tables.items():
        for old, new in zip(
            table.orders, whole.tables[name].orders, strict=False
        ):
            assert old is None or new.epoch >= old.epoch


@hypothesis.given(
    strategies.lists(strategies.integers(1, 9), max_size=4, unique=True),
    strategies.randoms(use_true_random=False),
)
def test_racing_planners_property(ended, random):
    # Guards against planners that revert each other's plans: they plan from
    # states of different age, and their records arrive in any order.
    fleet = fleets.build_fleet(16, 9, planned=True)
    late = planning.plan_records(fleet.state, fleets.ALL_SERVICES).records
    fleet.append(records.MembersEnded(tuple(ended[:2])))
    first = planning.plan_records(fleet.state, fleets.ALL_SERVICES).records
    fleet.append(records.MembersEnded(tuple(ended[2:])))
    second = planning.plan_records(fleet.state, fleets.ALL_SERVICES).records
    racing = [*late, *first, *second, *first]
    random.shuffle(racing)
    for record in racing:
        fleet.append(record)
    fleet.complete_moves()
    fleet.plan_until_stable(limit=20)
    for one in fleet.state.tables['kv'].orders:
        assert one.previous is None
        assert all(m in fleet.state.members for m in one.order)
