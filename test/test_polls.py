"""How often many nodes call the store, and how old their copies get."""

import asyncio
import random

import pytest

from sesamejunction.decisions import polls
from sesamejunction.model import registry
from sesamejunction.tasks import follower
from test import fakes
from test import storemodel
from test import test_reads


# Guards against a wait by a number of nodes that cannot keep each other
# current, and against more calls the more nodes there are.
@pytest.mark.parametrize(
    ('peers', 'doubtful', 'least_s', 'most_s'),
    [
        pytest.param(77, False, 4.2, 4.6, id='many'),
        pytest.param(11, False, 2.95, 3.05, id='some'),
        pytest.param(2, False, 1.5, 1.5, id='too few'),
        pytest.param(77, True, 0.0, 0.0, id='in doubt'),
    ],
)
def test_reads_wait_by_the_number_of_peers(peers, doubtful, least_s, most_s):
    draw = random.Random(1).random
    waits = [polls.choose_wait(peers, doubtful, draw) for _ in range(20_000)]
    assert least_s <= sum(waits) / len(waits) <= most_s
    assert max(waits) <= polls.LONGEST_WAIT_S


PHASES = ('start', 'settle', 'calm', 'records', 'large')


@pytest.fixture(scope='module', params=[12, 30])
def phases(request):
    """Return what the nodes did in each phase, and how many there are."""
    found = storemodel.run_model(request.param, 5, PHASES)
    return request.param, {one.name: one for one in found}


# Guards against calls that nothing needs, against copies that get old while
# the store is there, and against a large record that is fetched twice. The
# calls are those of all nodes: a tenth above what was measured, and below the
# former 613 of 30 nodes in the calm half minute.
@pytest.mark.parametrize(
    ('name', 'calls', 'oldest_s', 'longest_s'),
    [
        pytest.param('calm', {12: 260, 30: 540}, 2.5, 0.0, id='calm'),
        pytest.param('records', {12: 410, 30: 950}, 2.5, 0.3, id='records'),
        pytest.param('large', {12: 25, 30: 50}, 2.5, 1.8, id='large record'),
        pytest.param(
            *('start', {12: 310, 30: 820}, float('inf'), 0.0), id='start'
        ),
    ],
)
def test_nodes_call_the_store_seldom(phases, name, calls, oldest_s, longest_s):
    count, found = phases
    one = found[name]
    assert one.total <= calls[count]
    assert one.ages[-1] <= oldest_s
    assert max(one.waits, default=0.0) <= longest_s
    if name == 'large':
        assert one.bytes < 1.1 * 250_000 * count


class WaitingTopic(test_reads.SlowTopic):
    """Never has news; keeps how long each read was asked to wait."""

    def __init__(self):
        super().__init__([])
        self.waits = []

    async def read(self, offset, wait_s):
        """Return nothing after the wait."""
        self.waits.append(wait_s)
        await asyncio.sleep(wait_s)
        return registry.TopicBatch((), offset)


# Guards against a node that waits on with a copy of unknown age after it lost
# its peers, and one that plans on although the store takes no records of it.
@pytest.mark.parametrize(
    ('age_s', 'messages', 'renewed'),
    [
        pytest.param(0.0, (), False, id='current'),
        pytest.param(3.0, (), True, id='no word from anyone'),
        pytest.param(0.0, (registry.AppendFailed(),), True, id='not appended'),
        pytest.param(
            *(3.0, (registry.PeerPosition(7, 2, 0.0),), False),
            id='its answer may be on the way',
        ),
    ],
)
async def test_doubtful_copy_is_read_again_at_once(age_s, messages, renewed):
    topic = WaitingTopic()
    one = follower.Follower(topic, (), lambda: 9, lambda _: None)
    async with fakes.run_actors(one):
        following = asyncio.ensure_future(one.follow())
        try:
            await fakes.wait_until(lambda: topic.waits)
            one.view.as_of -= age_s
            for message in messages:
                one.tell(message)
            await asyncio.sleep(0.8)
            assert (0.0 in topic.waits) is renewed
            assert topic.waits.count(0.0) <= 1
            assert topic.reconnects == renewed
        finally:
            following.cancel()
