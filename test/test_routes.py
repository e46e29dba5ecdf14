"""Order of a request's candidates while a slot moves."""

import pytest

from sesamejunction.model import state
from sesamejunction.queries import routes

SERVICE = state.Service('catalogue', state.Routing.KEY, 1)
MEMBERS = {
    one: state.Member(one, f'n{one}', 'a', '', 1, 2, 3, 's', 1, 1, True)
    for one in (1, 2, 3)
}

# Guards against requests that wait for an unreachable new owner while the old
# one still serves. Seen with a node that returned with its outgoing packets
# blocked. Columns: order of the slot, expected (incarnation, epoch, place).
ORDERS = {
    'settled': (state.SlotOrder(4, (2, 3)), [(2, 4, 0), (3, 4, 1)]),
    'moving': (
        state.SlotOrder(5, (3, 1), (1, 2), 4),
        [(1, 4, 0), (2, 4, 1), (3, 5, 0)],
    ),
    'moving, old owner ended': (
        state.SlotOrder(5, (3, 2), (9, 2), 4),
        [(2, 4, 1), (3, 5, 0)],
    ),
}


@pytest.mark.parametrize('case', ORDERS)
def test_owners_in_order(case):
    slot_order, expected = ORDERS[case]
    current = state.State(
        members=MEMBERS, tables={SERVICE.name: state.SlotTable((slot_order,))}
    )
    found = routes.list_owners(current, SERVICE, 'lot-1')
    assert [
        (one.member.incarnation, one.token.epoch, one.token.place)
        for one in found
    ] == expected
