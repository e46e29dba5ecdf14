"""Which nodes read a topic from the log, and how changes reach the others."""

import asyncio
import collections
import types

import pytest

from sesamejunction.border import linkcodec
from sesamejunction.decisions import sources
from sesamejunction.decisions import topicnews
from sesamejunction import errors
from sesamejunction.model import registry
from sesamejunction.model import state
from sesamejunction.tasks import follower
from sesamejunction.tasks import topicsources
from test import fakes
from test import storemodel

TOPIC = 'a topic'


def make_members(sizes, stopping=()):
    """Return members of zones with these sizes."""
    zones = [zone for zone, size in enumerate(sizes) for _ in range(size)]
    return {
        number: state.Member(
            *(number, f'n{number}', f'z{zone}', '10.0.0.1', 1, 2, 1, 's', 1),
            *(1, True),
            stopping=number in stopping,
        )
        for number, zone in enumerate(zones, 1)
    }


def choose(members, own, excluded=frozenset()):
    zone = members[own].zone
    return sources.choose_source(members, own, zone, TOPIC, excluded)


# Guards against calls to the log that grow with the number of nodes, and
# against a node that passes changes on to many. Columns: sizes of the zones,
# readers, most steps from a reader to a node.
@pytest.mark.parametrize(
    ('sizes', 'readers', 'steps'),
    [
        pytest.param([1], 1, 0, id='one node'),
        pytest.param([2, 1], 2, 1, id='small zones'),
        pytest.param([4, 4, 4], 3, 1, id='12 nodes'),
        pytest.param([39] * 5, 10, 3, id='195 nodes'),
        pytest.param([91] * 22, 44, 3, id='2,002 nodes'),
    ],
)
def test_few_nodes_of_a_zone_read_the_log(sizes, readers, steps):
    members = make_members(sizes)
    found = sources.list_readers(members, TOPIC)
    assert len(found) == readers
    # All zones are alike, so one of them is followed whole.
    parents = {
        number: choose(members, number)
        for number, member in members.items()
        if member.zone == 'z0'
    }
    children = collections.Counter()
    for number, source in parents.items():
        assert (source is sources.READ_LOG) is (number in found)
        count = 0
        while isinstance(source, sources.ReadPeer):
            assert source.member.zone == members[number].zone
            children[source.member.incarnation] += count == 0
            source = parents[source.member.incarnation]
            count += 1
        assert count <= steps
    assert max(children.values(), default=0) <= sources.FAN_OUT


@pytest.mark.parametrize('lost', ['silent', 'stopping', 'gone'])
def test_lost_readers_are_replaced(lost):
    """Guards against a zone that waits for a reader that does not answer."""
    members = make_members([9])
    gone = set(sources.list_readers(members, TOPIC))
    left = members.keys() - gone
    excluded = frozenset()
    match lost:
        case 'silent':
            excluded = gone
        case 'stopping':
            members = make_members([9], gone)
        case 'gone':
            members = {one: members[one] for one in left}
    chosen = {number: choose(members, number, excluded) for number in left}
    assert list(chosen.values()).count(sources.READ_LOG) == 1
    for source in chosen.values():
        if source is not sources.READ_LOG:
            assert source.member.incarnation in left


def item(offset):
    return registry.TopicItem(offset, b'%d' % offset)


COPY = registry.TopicCopy(5, {'a': item(1), 'b': item(4)})
NEWER = registry.TopicCopy(9, {'b': item(7), 'c': item(8)})


# Guards against keys that stay although they were removed, and against an
# older value that replaces a newer one. Columns: the copy that gets the news,
# the end for which they were asked, removals that the peer remembers.
@pytest.mark.parametrize(
    ('copy', 'asked', 'known'),
    [
        pytest.param(COPY, 5, True, id='changes'),
        pytest.param(COPY, 5, False, id='whole, removals unknown'),
        pytest.param(registry.TopicCopy(-1, {}), -1, False, id='from nothing'),
        pytest.param(
            registry.TopicCopy(8, {'b': item(7)}), 5, True, id='grown since'
        ),
    ],
)
def test_news_bring_a_copy_up_to_date(copy, asked, known):
    removed = topicnews.RemovedKeys()
    removed.add('a', 6)
    if not known:
        removed.forget(9)
    news = topicnews.build_news(NEWER, removed, asked)
    assert news.is_whole is not known
    frame = linkcodec.NewsEncoder().encode(
        1, TOPIC, registry.NewsAnswer(news, 1.5)
    )
    answer = linkcodec.decode_news(frame)
    assert answer.as_of_s == 1.5
    assert topicnews.apply_news(copy, answer.news) == NEWER


def test_removed_keys_are_bounded(monkeypatch):
    """Guards against memory for each key that was ever removed."""
    monkeypatch.setattr(topicnews, 'MAX_REMOVED', 3)
    removed = topicnews.RemovedKeys()
    for offset in range(9):
        removed.add(f'k{offset}', offset)
    assert [offset for _, offset in removed.list_since(0)] == [6, 7, 8]
    assert topicnews.build_news(NEWER, removed, 5).is_whole
    assert not topicnews.build_news(NEWER, removed, 6).is_whole


# Calls for two topics in half a minute: one in 0.5 s, and a tenth for reads
# that a copy of unknown age needs.
CALM_CALLS = 2 * 30 / 0.5 * 1.1


# Guards against calls to the log that grow with the number of nodes, and
# against changes that reach a zone late because its readers are frozen or cut
# off. Columns: phase, longest time until all others have a change, calls, age
# of the oldest copy (that of frozen nodes gets old).
@pytest.mark.parametrize('count', [12, 58])
@pytest.mark.parametrize(
    ('name', 'longest_s', 'most_calls', 'oldest_s'),
    [
        pytest.param('calm', 0.0, CALM_CALLS, 2.5, id='calm'),
        pytest.param('frozen readers', 1.5, 330, 9.0, id='frozen readers'),
        pytest.param('zone refused', 1.5, 600, 2.5, id='zone cut from log'),
    ],
)
def test_calls_do_not_grow_with_the_fleet(
    count, name, longest_s, most_calls, oldest_s
):
    _, _, phase = storemodel.run_model(count, 3, ('start', 'settle', name))
    assert phase.total <= most_calls
    assert max(phase.waits, default=0.0) <= longest_s
    assert phase.ages[-1] <= oldest_s


# Seconds until a change is in force at nodes that reach the log and each
# other (configApplyS of the platform).
APPLY_S = 2.0


# Guards against changes that reach nodes late because the nodes that read for
# their zones have lost the log, in all zones at once.
@pytest.mark.parametrize('count', [12, 30])
@pytest.mark.parametrize('name', ['readers refused', 'readers silent'])
def test_changes_arrive_in_time_without_the_readers(count, name):
    _, _, phase = storemodel.run_model(count, 3, ('start', 'settle', name))
    assert max(phase.waits) <= APPLY_S


# Guards against a node that waits for members which ended before it started,
# as after a loss of power everywhere. Columns: members that this node has
# heard from, members that it may ask.
@pytest.mark.parametrize(
    ('heard', 'asked'), [((), set()), ((2, 3), {2, 3}), (range(2, 9), None)]
)
def test_members_never_heard_of_are_not_asked(heard, asked):
    members = make_members([8])
    view = types.SimpleNamespace(
        silent=frozenset(), last_heard_at=dict.fromkeys(heard, 1.0)
    )
    states = types.SimpleNamespace(
        current=types.SimpleNamespace(members=members)
    )
    made = topicsources.TopicSources(1, 'z0', states, view, None)
    found = {made.choose(f'topic {number}') for number in range(50)}
    found.discard(sources.READ_LOG)
    found = {source.member.incarnation for source in found}
    assert found == set(heard) if asked is None else found <= asked
    assert bool(found) is bool(heard)


# Guards against a node that leaves the peer it gets news from because it has
# read a record of its own before the peer. Columns: end that is asked for, end
# of the peer's copy, whether the peer answers when its copy is confirmed.
@pytest.mark.parametrize(
    ('asked', 'end', 'answers'),
    [
        pytest.param(5, 5, True, id='confirmed'),
        pytest.param(6, 5, False, id='peer is behind'),
        pytest.param(4, 5, True, id='news'),
    ],
)
async def test_peer_that_is_behind_waits_for_the_records(asked, end, answers):
    made = follower.Follower(GrowingTopic(), (), lambda: 9, lambda _: None)
    made.start_with(registry.TopicCopy(end, {}), 1.0)
    async with fakes.run_actors(made):
        asking = asyncio.ensure_future(
            made.ask(registry.AskNews('growing', asked, 0.3))
        )
        await asyncio.sleep(0.02)
        made.tell(registry.PeerPosition(7, end, 9.0))
        await asyncio.sleep(0.05)
        assert asking.done() is answers
        assert (await asking).news.end == end


class GrowingTopic:
    """Has one more record at each read."""

    name, received = 'growing', 0

    def __init__(self):
        self.reads = 0

    async def read_newest(self):
        return registry.TopicCopy(0, {})

    async def read(self, _offset, _wait_s):
        self.reads += 1
        return registry.TopicBatch((registry.Entry('k', b'v'),), self.reads)

    async def reconnect(self):
        pass


@pytest.mark.parametrize('offset', [0, 1])
async def test_record_that_this_node_needs_is_read_at_once(offset):
    """Guards against plans that are made, or made again, 0.1 s apart."""
    topic = GrowingTopic()
    made = follower.Follower(topic, (), lambda: 9, lambda _: None)
    async with fakes.run_actors(made):
        following = asyncio.ensure_future(made.follow())
        await fakes.wait_until(lambda: made.view.end == 1)
        made.tell(registry.TopicGrown(offset))
        await asyncio.sleep(0.03)
        following.cancel()
        # The copy holds the first record already.
        assert topic.reads == (2 if offset else 1)


class RefusingTopic(GrowingTopic):
    """Refuses all reads."""

    async def read(self, _offset, _wait_s):
        raise errors.LogUnavailable('503; wait')


# Guards against a node that waits for news from a peer which cannot get any.
# Columns: whether the peer loses the log before it is asked, end that is asked
# for, whether the answer has news.
@pytest.mark.parametrize('is_lost_before', [True, False])
@pytest.mark.parametrize(('end', 'has_news'), [(5, False), (4, True)])
async def test_peer_without_the_log_says_so(is_lost_before, end, has_news):
    made = follower.Follower(RefusingTopic(), (), lambda: 9, lambda _: None)
    made.start_with(registry.TopicCopy(5, {}), 1.0)
    question = registry.AskNews('growing', end, 3.0)
    async with fakes.run_actors(made):
        asking = None if is_lost_before else made.ask(question)
        if asking is not None:
            asking = asyncio.ensure_future(asking)
            await asyncio.sleep(0.01)
        following = asyncio.ensure_future(made.follow())
        await fakes.wait_until(lambda: not made.is_connected)
        async with asyncio.timeout(0.5):
            answer = await (asking or made.ask(question))
        following.cancel()
    assert (answer.news is not None) is has_news
