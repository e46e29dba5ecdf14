"""What a node reads from a store that has come back from an older copy."""

import asyncio
import contextlib
import json

from aiohttp import web
import msgspec
import pytest

from sesamejunction.border import eraview
from sesamejunction.border import registrycodec
from sesamejunction import errors
from sesamejunction.model import ranges
from sesamejunction.model import registry
from sesamejunction.model import state
from sesamejunction.platform import config
from sesamejunction.platform import store
from sesamejunction.tasks import follower
from sesamejunction.tasks import presence
from sesamejunction.tasks import rangeplanner
from sesamejunction.tasks import registrar
from standins import store as storing
from test import fakes

TOPIC = store.FLEET_TOPIC
LATER = registry.FIRST_ERA + 1


@contextlib.asynccontextmanager
async def open_topic(standin):
    """Yield a client of a stand-in and the counts of its era events."""
    counts = []
    runner = web.ServerRunner(standin.build_server())
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    host, port = site._server.sockets[0].getsockname()[:2]
    eras = eraview.EraView(counts.append)
    try:
        async with store.Store(
            f'{host}:{port}', lambda _: None, eras
        ) as calls:
            yield store.Topic(calls, TOPIC), eras, counts
    finally:
        await runner.cleanup()


# Guards against fences and offsets that repeat, and against a store without
# eras that no longer works. Columns: header, era in the client before and
# after, error, counted event.
@pytest.mark.parametrize(
    ('header', 'before', 'after', 'error', 'event'),
    [
        pytest.param(None, 0, 0, None, None, id='none'),
        pytest.param(registry.FIRST_ERA, 0, 0, None, None, id='first'),
        pytest.param(LATER, 0, 1, None, 'era', id='later'),
        pytest.param(
            *(LATER, 2, 2, errors.AppendOutcomeUnknown, 'late'), id='late'
        ),
        pytest.param(
            *(None, 2, 2, errors.AppendOutcomeUnknown, 'late'), id='missing'
        ),
        *(
            pytest.param(
                *(text, 1, 1, errors.EraUnreadable, 'unreadable'), id=text
            )
            for text in ('x', '-1', '1.5', '٣', '9' * 30, '2097152')
        ),
    ],
)
async def test_era_of_answers(header, before, after, error, event):
    standin = storing.Store()
    standin.era = header
    async with open_topic(standin) as (topic, eras, counts):
        eras.current = before
        expected = pytest.raises(error) if error else contextlib.nullcontext()
        with expected:
            copy = await topic.read_newest()
            assert registry.find_era(copy.end) == after
            assert registry.Position.unpack(copy.end).offset == 0
    assert eras.current == after
    assert counts == ([event] if event else [])


@pytest.mark.parametrize(
    ('era', 'current', 'event'),
    [
        (-1, 0, []),
        (registry.MAX_ERA, registry.MAX_ERA, ['era']),
        (registry.MAX_ERA + 1, 0, ['unreadable']),
        ((1 << 64) - 1, 0, ['unreadable']),
    ],
)
def test_eras_that_are_not_possible_are_not_learnt(era, current, event):
    """Guards against a peer after whose number no answer counts."""
    counts = []
    eras = eraview.EraView(counts.append)
    assert eras.learn(era, 'another node') == bool(current)
    assert (eras.current, counts) == (current, event)


async def drill(standin):
    """Lose all records and fill their offsets again."""
    await standin.drill(60.0, 0.0)
    for number in range(3):
        await standin.put(TOPIC, 'other', b'%d' % number)


# Guards against an answer that is taken for one of the era before. Columns:
# call that notices the new era, its error.
@pytest.mark.parametrize(
    ('call', 'error'),
    [
        pytest.param(
            *(lambda topic: topic.read(3, 0.0), errors.RetentionGap), id='read'
        ),
        pytest.param(
            lambda topic: topic.append(registry.Entry('k', b'v'), 3),
            errors.AppendOutcomeUnknown,
            id='append',
        ),
    ],
)
async def test_calls_over_a_change_of_era_fail(call, error):
    standin = storing.Store()
    standin.era = registry.FIRST_ERA
    for number in range(3):
        await standin.put(TOPIC, 'k', b'%d' % number)
    async with open_topic(standin) as (topic, eras, _):
        assert (await topic.read_newest()).end == 3
        await drill(standin)
        with pytest.raises(error):
            await call(topic)
        assert eras.current == 1
        # Without a call: the position is of the first era.
        with pytest.raises(errors.RetentionGap):
            await topic.read(3, 0.0)
        with pytest.raises(errors.AppendConflict):
            await topic.append(registry.Entry('k', b'v'), 3)
        copy = await topic.read_newest()
        assert copy.end > 3
        assert 'k' not in copy.items or error is errors.AppendOutcomeUnknown


async def test_read_beyond_the_end_leads_to_the_newest_records():
    """Guards against a node that waits for offsets that are given out again.

    Its copy ends beyond the end of the store; it does not know of the era.
    """
    standin = storing.Store()
    standin.era = registry.FIRST_ERA
    for number in range(9):
        await standin.put(TOPIC, 'k', b'%d' % number)
    async with open_topic(standin) as (topic, eras, _):
        made = follower.Follower(
            topic, (), lambda: 0, lambda _: None, eras=eras
        )
        eras.subscribers.append(made)
        async with fakes.run_actors(made):
            following = asyncio.ensure_future(made.follow())
            await fakes.wait_until(lambda: made.view.end == 9)
            await drill(standin)
            wanted = registry.Position(LATER, 3).pack()
            await fakes.wait_until(lambda: made.view.end == wanted)
            following.cancel()
        assert list(made.copy.items) == ['other']


LIFE = ranges.Life('n', 't', 1)
PLAN = registry.PlanRecord('s', (ranges.Range(0, 65535, 7, LIFE),))
PLACES = state.Allocators((state.AllocatorPlace(1, 'n', 7),))
# Values that the version before wrote for these records.
SAMPLES = {
    'plan': (
        PLAN,
        '82a773657276696365a173a672616e6765739185a5666972737400a46c617374'
        'cdffffa565706f636807a56f776e657283a66d656d626572a16ea67461726765'
        '74a174a4626f726e01a870726576696f757390',
    ),
    'allocators': (
        PLACES,
        '81a6706c616365739184a66d656d62657201a46e616d65a16ea565706f636807'
        'a870726576696f757390',
    ),
}


@pytest.mark.parametrize(('record', 'sample'), SAMPLES.values(), ids=SAMPLES)
def test_records_of_the_first_era_are_as_before(record, sample):
    """Guards against records that nodes of the version before cannot read."""
    assert registrycodec.encode_record(record).hex() == sample
    key = registrycodec.build_record_key(record)
    for era in (0, 3):
        value = registrycodec.encode_record(record, era)
        assert registrycodec.decode_mark(value) == era
        assert registrycodec.decode_record(key, value) == record


# Guards against a record of another writer that ends the node.
@pytest.mark.parametrize('mark', [None, 'x', 1.5, [], -1, 1 << 40])
async def test_record_with_an_odd_era_is_skipped(mark):
    fields = {'service': 's', 'ranges': [], 'era': mark}
    value = msgspec.msgpack.encode(fields)
    states = fakes.FakeTask()
    published = []
    states.publish = published.append
    made = registrar.Registry(TOPIC, None, (states,))
    items = {'plan/s': registry.TopicItem(0, value)}
    await made.handle(
        registry.TopicChanged(TOPIC, registry.TopicCopy(1, items))
    )
    assert published[-1].state.unreadable == {'plan/s'}


# Guards against a removal in each round from the restoration to the opening of
# an era, since a member whose record is gone stays in the state for that time.
@pytest.mark.parametrize(('is_open', 'removed'), [(False, 0), (True, 1)])
async def test_members_are_removed_once_in_an_era(is_open, removed):
    made = registrar.Registry(TOPIC, None, (published := fakes.FakeTask(),))
    published.publish = published.tell
    planner = rangeplanner.RangePlanner(
        *('a', 1, presence.PresenceView(), published, None)
    )
    planner._silent_since = {2: float('-inf')}
    start = registry.Position(LATER, 0).pack()
    records = [
        *(registry.EraRecord(1, is_open), make_member('a', 1)),
        make_member('b', 2),
    ]
    items = {
        registrycodec.build_record_key(record): registry.TopicItem(
            start + place, registrycodec.encode_record(record)
        )
        for place, record in enumerate(records)
    }
    removals = 0
    for end in range(start + 3, start + 6):
        copy = registry.TopicCopy(end, dict(items))
        await made.handle(registry.TopicChanged(TOPIC, copy))
        await planner.handle(published.messages[-1])
        record = planner._find_removal(0.0)
        if record is not None:
            items.pop(registrycodec.build_record_key(record))
            removals += 1
    assert removals == removed


def make_member(name, incarnation):
    return registry.MemberRecord(
        *(name, incarnation, 'z', '10.0.0.1', 1, 's', 8, None)
    )


def make_operator_copy(era, version, *zones):
    items = {f'evacuate/{zone}': b'{}' for zone in zones}
    if version:
        empty = {'routes': [], 'services': [], 'tenants': []}
        items['config'] = json.dumps({'version': version, **empty}).encode()
    start = registry.Position(era, 10 * version).pack()
    return registry.TopicChanged(
        store.OPERATOR_TOPIC,
        registry.TopicCopy(
            start + 9,
            {
                key: registry.TopicItem(start + place, value)
                for place, (key, value) in enumerate(items.items())
            },
        ),
    )


# Guards against a version that goes back, with the caller keys withdrawn in
# between, and a zone that returns to service because its record was lost.
# Columns: copies as (era, version, zones), version and zones out in the end.
@pytest.mark.parametrize(
    ('copies', 'version', 'out'),
    [
        pytest.param([(0, 2, 'a'), (0, 3)], 3, '', id='no drill'),
        pytest.param([(0, 3, 'a'), (1, 2)], 3, 'a', id='older'),
        pytest.param([(0, 3, 'a'), (1, 0)], 3, 'a', id='none'),
        pytest.param(
            [(0, 3, 'a'), (1, 2), (1, 3, 'a')], 3, 'a', id='written again'
        ),
        pytest.param(
            [(0, 3, 'a'), (1, 2), (1, 3, 'a'), (1, 4)], 4, '', id='withdrawn'
        ),
        pytest.param([(0, 3), (1, 2, 'a')], 3, 'a', id='withdrawal lost'),
    ],
)
async def test_operator_topic_never_goes_back(copies, version, out):
    states = fakes.FakeTask()
    published = []
    states.publish = published.append
    made = registrar.Registry(TOPIC, config.OperatorTopicDecoder(), (states,))
    for era, copy_version, *zones in copies:
        await made.handle(
            make_operator_copy(registry.FIRST_ERA + era, copy_version, *zones)
        )
    assert published[-1].state.declared_version == version
    assert ''.join(published[-1].state.zones) == out
