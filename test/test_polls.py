"""How often many nodes call the store, and the age of their copies."""

import asyncio
import itertools
import random

import pytest

from sesamejunction.decisions import polls
from sesamejunction.model import registry
from sesamejunction.tasks import follower
from test import fakes
from test import storemodel
from test import test_reads


# Guards against long waits with too few nodes to keep each other's copies
# current, and against a rate of calls that grows with the number of nodes.
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


# Guards against changes that are in force later than the platform asks: a node
# that reaches the log reads it early enough for the read to end in time.
@pytest.mark.parametrize(
    ('apply_s', 'expected'),
    [(2.0, 1.5), (1.5, 1.0), (30.0, polls.LONGEST_RENEW_S), (0.1, 0.75)],
)
def test_copies_are_renewed_within_the_time_to_apply(apply_s, expected):
    assert polls.compute_renewal_age(apply_s) == expected


# Guards against readers whose reads end together, so that all copies get old
# between them. Columns: number of readers, seconds since the latest record at
# which one of them starts to read again.
@pytest.mark.parametrize('count', [1, 3, 6, 10, 44])
@pytest.mark.parametrize('restart_s', [0.0, 0.3, 7.7])
def test_reads_of_the_readers_end_one_after_the_other(count, restart_s):
    ends = []
    for rank in range(count):
        now = restart_s * rank / count
        while now < 60.0:
            now += polls.choose_reader_wait(count, rank, now)
            ends.append(now)
    ends = sorted(end for end in ends if 20.0 < end < 60.0)
    gaps = [later - end for end, later in itertools.pairwise(ends)]
    assert max(gaps) <= max(polls.WAIT_ALONE_S / count, 0.5) + 1e-6


PHASES = ('start', 'settle', 'calm', 'records', 'large')


@pytest.fixture(scope='module', params=[12, 30])
def phases(request):
    """Return the number of nodes and the measurements of each phase."""
    found = storemodel.run_model(request.param, 5, PHASES)
    return request.param, {one.name: one for one in found}


# Guards against unnecessary calls, against copies that get old although the
# store is available, and against a large record that is fetched twice. The
# limits are for the calls of all nodes: 10% above the measured numbers, and
# below the former 613 calls of 30 nodes in the calm half minute.
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
def test_calls_and_ages_of_copies_stay_low(
    phases, name, calls, oldest_s, longest_s
):
    count, found = phases
    phase = found[name]
    assert phase.total <= calls[count]
    assert phase.ages[-1] <= oldest_s
    assert max(phase.waits, default=0.0) <= longest_s
    if name == 'large':
        assert phase.bytes < 1.1 * 250_000 * count


class WaitingTopic(test_reads.SlowTopic):
    """Never returns records; stores the requested wait of each read."""

    def __init__(self):
        super().__init__([])
        self.waits = []

    async def read(self, offset, wait_s):
        """Return nothing after the wait."""
        self.waits.append(wait_s)
        await asyncio.sleep(wait_s)
        return registry.TopicBatch((), offset)


# Guards against a node that continues a long read with a copy of unknown age
# after it has lost its peers, or after the store has not accepted its records.
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
    task = follower.Follower(topic, (), lambda: 9, lambda _: None)
    async with fakes.run_actors(task):
        following = asyncio.ensure_future(task.follow())
        try:
            await fakes.wait_until(lambda: topic.waits)
            task.view.as_of -= age_s
            for message in messages:
                task.tell(message)
            await asyncio.sleep(0.8)
            assert (0.0 in topic.waits) is renewed
            assert topic.waits.count(0.0) <= 1
            assert topic.reconnects == renewed
        finally:
            following.cancel()
