"""Decisions on what a process holds for its clients, without network."""

import pytest

from sesamejunction.decisions import clientbudget

LIMIT = 1000
CALLER = clientbudget.Kind.CALLER
CALM, PAUSE, REFUSE, CLOSE = clientbudget.Step
OLD, NEW = 0.0, 90.0


def build_budget(rows, single_bytes=0, limit=LIMIT, connections=10):
    """Return a budget and its holders by name.

    Rows are name, address, held bytes, time of the latest progress, and
    whether it is busy and has ever asked.
    """
    limits = clientbudget.Limits(
        limit, dict.fromkeys(clientbudget.Kind, connections)
    )
    budget = clientbudget.Budget(limits, lambda: single_bytes)
    holders = {}
    for name, address, held, since, *flags in rows:
        holder = holders[name] = budget.add(CALLER, address, since)
        budget.hold(holder, held)
        holder.is_busy, holder.has_asked = flags or (True, True)
    return budget, holders


# Guards against limits that leave no memory to the node itself, and against a
# machine too small to have any.
@pytest.mark.parametrize(
    ('memory_mb', 'descriptors', 'held_mb', 'callers', 'others'),
    [
        (200, 4096, 54, 2560, 256),
        (128, 200, 25, 125, 12),
        (64, 128, 8, 80, 8),
        (4096, 65536, 1612, 40960, 4096),
    ],
)
def test_limits_follow_the_machine(
    memory_mb, descriptors, held_mb, callers, others
):
    limits = clientbudget.derive_limits(memory_mb, descriptors)
    assert limits.held_bytes >> 20 == held_mb
    assert limits.connections[CALLER] == callers
    assert limits.connections[clientbudget.Kind.PEER] == others


# Guards against ordinary clients that are refused for the sake of a crowd, and
# a crowd that is not. Columns: bytes held by a crowd of 9, by one client, what
# that wants more, the largest request, the step.
@pytest.mark.parametrize(
    ('crowd', 'own', 'wanted', 'single_bytes', 'step'),
    [
        (0, 0, 0, 0, CALM),
        (0, 300, 0, 0, CALM),
        (0, 400, 0, 0, PAUSE),
        (50, 100, 0, 0, PAUSE),
        (50, 10, 0, 0, CALM),
        (80, 100, 0, 0, REFUSE),
        (80, 10, 0, 0, CALM),
        (80, 10, 200, 0, REFUSE),
        (80, 10, 2000, 0, CLOSE),
        (100, 200, 0, 0, CLOSE),
        (100, 200, 0, 10_000, CALM),
    ],
)
def test_heavy_clients_are_held_back_first(
    crowd, own, wanted, single_bytes, step
):
    rows = [(str(one), str(one), crowd, 0.0) for one in range(9)]
    budget, holders = build_budget([*rows, ('own', 'a', own, 0.0)],
                                   single_bytes)  # fmt: skip
    assert budget.find_step(holders['own'], wanted) is step


# Guards against a legal request that a small machine refuses or cuts although
# nothing else is going on. Columns: bytes held by one of four other clients,
# what has arrived of the request, what is still to come, the step.
@pytest.mark.parametrize(
    ('others', 'own', 'wanted', 'step'),
    [
        (30, 1, 989, CALM),
        (30, 990, 0, CALM),
        (30, 991, 0, CLOSE),
        (60, 1, 989, CLOSE),
        (60, 990, 0, CLOSE),
    ],
)
def test_largest_request_passes_in_calm(others, own, wanted, step):
    rows = [(str(one), 'x', others, OLD) for one in range(4)]
    budget, holders = build_budget([*rows, ('own', 'a', own, OLD)], 990)
    assert budget.find_step(holders['own'], wanted) is step
    is_cut = budget.find_heaviest(holders['own'], NEW) is not None
    assert is_cut is (step is CLOSE and not wanted)


# Columns: rows of holders, the one that has grown, the one to close.
HEAVIEST = {
    'below the limit': (
        [('a', 'x', 500, OLD), ('b', 'y', 400, OLD)], 'b', None,
    ),
    'the largest': (
        [('a', 'x', 500, NEW), ('b', 'y', 600, NEW)], 'a', 'b',
    ),
    'the longest without progress': (
        [('a', 'x', 600, OLD), ('b', 'y', 600, NEW)], 'b', 'a',
    ),
    'a large one before a small old one': (
        [('a', 'x', 10, OLD), ('b', 'y', 995, NEW)], 'a', 'b',
    ),
    'an old one before a larger new one': (
        [('a', 'x', 300, OLD), ('b', 'y', 750, NEW + 5)], 'b', 'a',
    ),
    'one of an address that has its part': (
        [('a', 'x', 100, OLD), ('b', 'y', 400, NEW), ('c', 'y', 420, NEW)],
        'b', 'c',
    ),
    'a single address may use all': (
        [('a', 'x', 400, OLD), ('b', 'x', 590, NEW)], 'b', None,
    ),
}  # fmt: skip


# Guards against a crowd that makes a node close an ordinary client.
@pytest.mark.parametrize(
    ('rows', 'grown', 'closed'), HEAVIEST.values(), ids=HEAVIEST
)
def test_worst_client_is_closed_first(rows, grown, closed):
    budget, holders = build_budget(rows)
    worst = budget.find_heaviest(holders[grown], NEW + 5)
    assert worst is (closed and holders[closed])


IDLE, BUSY, SILENT = (False, True), (True, True), (False, False)
# Columns: rows of holders, of which the last is new; the one to close.
SURPLUS = {
    'within the limit': (
        [('a', 'x', 0, OLD, *SILENT), ('b', 'y', 0, NEW, *SILENT)], None,
    ),
    'one that never asked': (
        [('a', 'x', 0, OLD, *IDLE), ('b', 'y', 0, NEW, *SILENT),
         ('c', 'z', 9, OLD, *BUSY), ('d', 'w', 0, NEW, *SILENT)], 'b',
    ),
    'the one that is idle for the longest': (
        [('a', 'x', 0, NEW, *IDLE), ('b', 'y', 0, OLD, *IDLE),
         ('c', 'z', 9, OLD, *BUSY), ('d', 'w', 0, NEW, *SILENT)], 'b',
    ),
    'a busy one only if there is no other': (
        [('a', 'x', 9, NEW, *BUSY), ('b', 'y', 9, OLD, *BUSY),
         ('c', 'z', 9, NEW, *BUSY), ('d', 'w', 0, NEW, *SILENT)], 'b',
    ),
    'one of an address that has its part': (
        [('a', 'x', 0, OLD, *SILENT), ('b', 'y', 0, OLD, *IDLE),
         ('c', 'y', 0, NEW, *IDLE), ('d', 'y', 0, NEW, *IDLE),
         ('e', 'y', 0, NEW, *SILENT)], 'b',
    ),
}  # fmt: skip


# Guards against half-open connections that take the place of callers.
@pytest.mark.parametrize(('rows', 'closed'), SURPLUS.values(), ids=SURPLUS)
def test_idle_client_makes_room_for_a_new_one(rows, closed):
    # The last row has more connections than one address may have.
    limit = 5 if len(rows) == 5 else 3
    budget, holders = build_budget(rows, connections=limit)
    found = budget.find_surplus(holders[rows[-1][0]])
    assert found is (closed and holders[closed])


def test_closed_client_holds_nothing():
    """Guards against counts that grow with each connection ever made."""
    budget, holders = build_budget([('a', 'x', 5, OLD), ('b', 'x', 7, OLD)])
    budget.remove(holders['a'])
    budget.remove(holders['a'])
    assert budget.held == 7
    budget.remove(holders['b'])
    assert (budget.held, budget._addresses) == (0, {})
