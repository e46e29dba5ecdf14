"""Heartbeats that do not tell which keys their target holds."""

import json

import pytest

from sesamejunction.model import leasing
from sesamejunction.model import ranges
from sesamejunction.model import state
from sesamejunction.platform import heartbeathttp
from sesamejunction.tasks import clock
from test import test_misdirected
from test import test_oddentries

HELD = (leasing.HeldKeys(0, ranges.LAST_KEY, 4),)


def make_heartbeat(sequence, tells_held):
    return leasing.Heartbeat(
        *(test_misdirected.LIFE, 's', 'z', 8, sequence, False, 0.0),
        held=HELD if tells_held else (),
        tells_held=tells_held,
    )


# Guards against a missing list that is taken for an empty one. Columns: the
# fields that are left out, whether the heartbeat tells what is held.
@pytest.mark.parametrize(
    ('missing', 'tells_held'),
    [((), True), (('freed',), True), (('holds',), False)],
)
def test_missing_list_is_not_an_empty_one(missing, tells_held):
    beat = {
        name: value
        for name, value in test_oddentries.BEAT.items()
        if name not in missing
    }
    decoded = heartbeathttp.decode_heartbeat(
        'b', 't', json.dumps(beat).encode()
    )
    assert decoded.tells_held is tells_held


# Guards against two holders of the same keys: a heartbeat of another writer
# without the list counted as one of a target that holds nothing, so its keys
# were granted to another one (review/6). Targets of services that are not
# divided by key send no list. Columns: routing of the service, whether the
# heartbeat tells what is held, whether the target is known by it.
@pytest.mark.parametrize(
    ('routing', 'tells_held', 'is_known'),
    [
        (state.Routing.RANGE, True, True),
        (state.Routing.RANGE, False, False),
        (state.Routing.LOAD, False, True),
    ],
)
async def test_divided_services_need_the_list(routing, tells_held, is_known):
    lease = test_misdirected.make_lease()
    lease._apply_state(
        test_misdirected.STATES[routing], clock.read_boot_clock()
    )
    await lease.handle(make_heartbeat(1, tells_held))
    assert (lease.target_status.life is not None) is is_known


async def test_held_keys_stay_known_without_the_list():
    # Guards against an odd heartbeat that uses up the sequence number of the
    # target's next one.
    lease = test_misdirected.make_lease()
    lease._apply_state(
        test_misdirected.STATES[state.Routing.RANGE], clock.read_boot_clock()
    )
    await lease.handle(make_heartbeat(1, True))
    reply = await lease.handle(make_heartbeat(2, False))
    assert reply == leasing.Renewal()
    assert lease._heartbeat == make_heartbeat(1, True)
    await lease.handle(make_heartbeat(2, True))
    assert lease._heartbeat.sequence == 2


async def test_nothing_is_granted_before_the_list_is_known():
    # Guards against a grant to a target whose service is found to be divided
    # by key only after its heartbeat.
    lease = test_misdirected.make_lease()
    lease._apply_state(state.State(), clock.read_boot_clock())
    await lease.handle(make_heartbeat(1, False))
    lease._apply_state(
        test_misdirected.STATES[state.Routing.RANGE], clock.read_boot_clock()
    )
    await lease.tick()
    assert not lease.holdings.rows
    await lease.handle(make_heartbeat(2, True))
    assert lease.holdings.rows
