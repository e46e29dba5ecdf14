"""Folding of log records: which change the state and which are ignored."""

import pytest

from sesamejunction.decisions import fold
from sesamejunction.model import records
from sesamejunction.model import state


def make_member(incarnation, port=1000, zone='a', service='catalogue'):
    return state.Member(
        incarnation,
        f'node-{incarnation}',
        zone,
        '127.0.0.1',
        port,
        port + incarnation,
        port,
        service,
        12,
        2,
        True,
    )


def fold_all(*entries):
    current = state.State()
    for offset, record in enumerate(entries):
        current = fold.apply_record(current, offset, record)
    return current


SERVICE = state.Service('catalogue', state.Routing.KEY, 4)
TICKET = records.TicketApplied(2, 'second', 'ana', services=(SERVICE,))
JOINED = tuple(records.MemberJoined(make_member(i)) for i in (1, 2, 3))


def arrange(base_epoch, *order):
    entry = records.SlotEntry(0, base_epoch, order)
    return records.SlotsArranged('catalogue', (entry,))


# Guards against effects of concurrent planners or operators, and of repeated
# appends after a lost reply. Rows: records and the resulting order of slot 0
# as (epoch, order, previous order).
ORDER_CASES = {
    'first order': ([arrange(0, 1, 2)], (1, (1, 2), None)),
    'repeat ignored': (
        [arrange(0, 1, 2), arrange(0, 1, 2)],
        (1, (1, 2), None),
    ),
    'racing order ignored': (
        [arrange(0, 1, 2), arrange(0, 2, 1)],
        (1, (1, 2), None),
    ),
    'move starts a transition': (
        [arrange(0, 1, 2), arrange(1, 2, 1)],
        (2, (2, 1), (1, 2)),
    ),
    'no move while in transition': (
        [arrange(0, 1, 2), arrange(1, 2, 1), arrange(2, 3, 1)],
        (2, (2, 1), (1, 2)),
    ),
}


@pytest.mark.parametrize('case', ORDER_CASES)
def test_slot_orders(case):
    entries, expected = ORDER_CASES[case]
    current = fold_all(TICKET, *JOINED, *entries)
    found = current.tables['catalogue'].orders[0]
    assert (found.epoch, found.order, found.previous) == expected


# Guards against older tickets that revert newer ones. Ticket 2 is applied
# before; rows: number and digest of the next ticket, and those in force then.
@pytest.mark.parametrize(
    ('number', 'digest', 'expected'),
    [
        (3, 'newer', (3, 'newer')),
        (2, 'other', (2, 'second')),
        (1, 'late', (2, 'second')),
    ],
)
def test_ticket_numbers(number, digest, expected):
    ticket = records.TicketApplied(number, digest, 'rui')
    current = fold_all(TICKET, ticket)
    assert (current.last_ticket, current.last_ticket_digest) == expected


def test_rejoin_on_same_address_ends_older_incarnation():
    # A process can only bind an address after the former one has ended.
    again = make_member(9)
    again = state.Member(
        *(9, *[getattr(JOINED[0].member, f) for f in again.__slots__[1:]])
    )
    current = fold_all(*JOINED, records.MemberJoined(again, replaces=1))
    assert sorted(current.members) == [2, 3, 9]
