"""The history checker finds exactly the violations in a history."""

import pytest

from standins import work
from test.process import history


def make_entry(start, end, target='a', **fields):
    base = {
        'service': 'catalogue',
        'request_id': 'r',
        'organisation': 'o',
        'route_key': 'k',
        'idempotency_key': None,
        'slot': 1,
        'token': (1, 0),
        'key_seen': False,
        'finished': end is not None,
    }
    return history.Entry(**base | fields, target=target, start=start, end=end)


# Guards against a checker that misses violations or reports false ones.
@pytest.mark.parametrize(
    ('entries', 'kinds'),
    [
        ([], []),
        ([(0, 5), (1, 4)], []),
        ([(0, 1), (1, 2, 'b')], []),
        ([(0, 2), (1, 3, 'b')], [history.Overlap]),
        ([(1, 3, 'b'), (0, 2)], [history.Overlap]),
        ([(0, None), (9, 10, 'b')], [history.Overlap]),
        ([(0, 9), (1, 2), (3, 4, 'b')], [history.Overlap]),
        ([(0, 2), (1, 3, 'b', {'route_key': 'other'})], []),
        ([(0, 2), (1, 3, 'b', {'service': 'orders'})], []),
        (
            [
                (0, 2, 'a', {'service': 'sheets'}),
                (1, 3, 'b', {'service': 'sheets'}),
            ],
            [],
        ),
        ([(0, 1), (2, 3, 'b', {'token': (1, 1)})], []),
        ([(0, 1, 'b', {'token': (1, 1)}), (2, 3)], [history.OlderToken]),
        # A hot key returns to its fixed slot, which must have the same owner.
        ([(0, 1, 'a', {'slot': 8, 'token': (4, 0)}), (1, 2)], []),
        (
            [(0, 1, 'a', {'slot': 8, 'token': (4, 0)}), (1, 2, 'b')],
            [history.OlderToken],
        ),
        (
            [
                (0, 1, 'a', {'slot': 8, 'token': (4, 0)}),
                (1, 2, 'a', {'token': (2, 0)}),
                (2, 3),
            ],
            [history.OlderToken],
        ),
        (
            [(0, 1, 'a', {'token': (4, 0)}), (1, 2, 'a', {'slot': 8})],
            [history.OlderToken],
        ),
        (
            [
                (0, 1, 'a', {'token': (2, 0)}),
                (1, 2, 'a', {'token': None}),
                (2, 3, 'a', {'token': (1, 2)}),
                (3, 4, 'a', {'token': (2, 0)}),
            ],
            [history.OlderToken],
        ),
        (
            [
                (0, 1, 'a', {'idempotency_key': 'i', 'route_key': None}),
                (5, 6, 'b', {'idempotency_key': 'i', 'route_key': None}),
            ],
            [history.RanTwice],
        ),
        (
            [
                (0, 1, 'a', {'idempotency_key': 'i', 'finished': False}),
                (5, 6, 'a', {'idempotency_key': 'i'}),
            ],
            [history.RanTwice],
        ),
        (
            [
                (0, 1, 'a', {'idempotency_key': 'i'}),
                (5, 6, 'a', {'idempotency_key': 'i', 'organisation': 'p'}),
            ],
            [],
        ),
        ([(0, 1, 'a', {'key_seen': True})], [history.CallerKeySeen]),
    ],
)
def test_violations(entries, kinds):
    made = []
    for one in entries:
        fields = one[3] if len(one) > 3 else {}
        made.append(make_entry(*one[:3], **fields))
    found = history.find_violations(made, {'catalogue', 'orders'})
    assert [type(one) for one in found] == kinds


def test_entry_has_the_fields_of_a_run():
    # Guards against history lines that the checker cannot decode.
    assert history.Entry.__slots__ == work.Run.__slots__
