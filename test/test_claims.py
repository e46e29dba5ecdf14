"""Claims of a new owner for keys that a former one may still hold."""

import asyncio
import dataclasses

import pytest

from sesamejunction.model import leasing
from sesamejunction.model import ranges
from sesamejunction.model import state
from sesamejunction.tasks import clock
from test import fakes
from test import test_misdirected

FORMER = ranges.Life('a', 'u', 1)
PLAN = ranges.RangePlan(
    (ranges.Range(0, 65535, 7, test_misdirected.LIFE, (FORMER,)),)
)


class Links:
    """Answers claims, with ``released``, and counts them."""

    def __init__(self, released):
        self._reply = leasing.ReleaseResult(released)
        self.count = 0

    async def ask(self, _member, _claim):
        self.count += 1
        return self._reply


def make_state(life):
    """Return a state in which the former owner's node registered a life."""
    member = state.Member(
        *(1, 'a', 'z', '10.0.0.1', 1, 1, 1, 's', 8, 8, True), life=life
    )
    return dataclasses.replace(
        test_misdirected.STATES[state.Routing.RANGE],
        members={1: member},
        ranges={'s': PLAN},
    )


# Guards against a second holder of a key: the registration of another life, by
# an odd heartbeat or by a record that the store has executed late, does not
# show that the former life's hold is over.
@pytest.mark.parametrize(
    'life', [FORMER, ranges.Life('a', 'v', 2), None], ids=str
)
@pytest.mark.parametrize('released', [False, True])
async def test_only_the_former_owners_node_releases_keys(life, released):
    links = Links(released)
    lease = test_misdirected.make_lease()
    lease._links = links
    lease._apply_state(make_state(life), clock.read_boot_clock())
    async with fakes.run_actors(lease):
        renewal = await lease.ask(
            leasing.Heartbeat(
                *(test_misdirected.LIFE, 's', 'z', 8, 1, False, 0.0)
            )
        )
        await asyncio.sleep(0)
    assert links.count
    assert bool(renewal.rows) is released
