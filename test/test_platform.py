"""Tests decoding and following of the platform's data."""

import asyncio
import collections
import dataclasses
import itertools
import json
import pathlib
import random
import re
import time
import types

import pydantic
import pytest

from sesamejunction.border import hostedsettings
from sesamejunction.border import registrycodec
from sesamejunction.decisions import registry as folding
from sesamejunction.decisions import routing as deciding
from sesamejunction import errors
from sesamejunction.model import leasing
from sesamejunction.model import ranges
from sesamejunction.model import registry
from sesamejunction.model import routing
from sesamejunction.model import state
from sesamejunction.platform import bounds
from sesamejunction.platform import config
from sesamejunction.platform import frontend
from sesamejunction.platform import heartbeathttp
from sesamejunction.platform import machines
from sesamejunction.platform import store
from sesamejunction.tasks import follower
from sesamejunction.tasks import registrar

CONFIG = {
    'version': 7,
    'unknown': [1, 2],
    'routes': [
        {
            'name': 'wide',
            'host': 'Shop.example',
            'pathPrefix': '/a/',
            'kind': 'idempotent',
            'timeoutS': 0.5,
            'targetLatencyS': 0.2,
            'priority': 2,
            'trafficSplit': [
                {'service': 'new', 'weight': 90},
                {'service': 'old', 'weight': 10},
            ],
            'maxAttempts': 2,
        },
        {
            'name': 'narrow',
            'host': 'shop.example',
            'pathPrefix': '/a/b/',
            'kind': 'upload',
            'timeoutS': 1,
            'targetLatencyS': 0.3,
            'service': 'files',
            'noAuth': True,
        },
    ],
    'services': [{'name': 'new', 'sharded': True, 'coldPerS': 38.0}],
    'tenants': [
        {'name': 'one', 'apiKeys': ['k'], 'ratePerS': 5, 'priority': 0}
    ],
}


def make_state(configuration=None):
    declared = config.decode_config(
        json.dumps(configuration or CONFIG).encode()
    )
    return folding.StateBuilder().build_state((), declared, frozenset(), 1)


def make_record(number, **fields):
    made = registry.MemberRecord(
        *(f'n{number}', number, 'a', '10.0.0.1', 1, 's', 1),
        *(ranges.Life(f'n{number}', 't', 1),),
    )
    return dataclasses.replace(made, **fields)


MEMBER = make_record(1)
PLAN = registry.PlanRecord('s', (ranges.Range(0, 9, 1, MEMBER.life),))
PLACES = state.Allocators((state.AllocatorPlace(1, 'n1', 1),))
MOVED_PLACES = state.Allocators((state.AllocatorPlace(1, 'n1', 2),))
DECLARED = config.decode_config(json.dumps(CONFIG).encode())
NEWER = config.decode_config(json.dumps({**CONFIG, 'version': 8}).encode())
BEFORE = (MEMBER, PLAN, PLACES)
DECLARED_PARTS = {'routes', 'services', 'organisations', 'caller_keys'}
CHANGES = {
    'nothing': (BEFORE, DECLARED, set()),
    'a member comes': ((*BEFORE, make_record(2)), DECLARED, {'members'}),
    'a member leaves': (
        (make_record(1, leaving=True), PLAN, PLACES),
        *(DECLARED, {'members'}),
    ),
    'a member goes': ((PLAN, PLACES), DECLARED, {'members'}),
    'another plan': (
        (MEMBER, registry.PlanRecord('s', ()), PLACES),
        *(DECLARED, {'ranges'}),
    ),
    'other allocators': (
        (MEMBER, PLAN, MOVED_PLACES),
        *(DECLARED, {'tables'}),
    ),
    'no allocators': ((MEMBER, PLAN), DECLARED, {'tables'}),
    'a configuration': (BEFORE, NEWER, DECLARED_PARTS),
}


# Guards against one changed record that makes every node rebuild all routes
# and plans, and against parts that stay although they changed.
@pytest.mark.parametrize(
    ('records', 'declared', 'changed'), CHANGES.values(), ids=CHANGES
)
def test_builds_only_what_has_changed(records, declared, changed):
    folder = folding.StateBuilder()
    before = folder.build_state(BEFORE, DECLARED, {'z'}, 3, 1)
    after = folder.build_state(records, declared, {'z'}, 4, 2)
    assert (after.offset, after.declared_end) == (4, 2)
    names = ('members', 'ranges', 'tables', 'zones', *sorted(DECLARED_PARTS))
    changed_parts = {
        part_name
        for part_name in names
        if getattr(after, part_name) is not getattr(before, part_name)
    }
    assert changed_parts == changed
    assert after == folding.StateBuilder().build_state(
        records, declared, {'z'}, 4, 2
    )


ROUTES = {
    'longest prefix': ('shop.example', '/a/b/c', 'narrow'),
    'shorter prefix': ('shop.example', '/a/x', 'wide'),
    'not in a segment': ('shop.example', '/ab/', None),
    'other host': ('other.example', '/a/x', None),
}


@pytest.mark.parametrize(('host', 'path', 'name'), ROUTES.values(), ids=ROUTES)
def test_longest_prefix_wins(host, path, name):
    matched = deciding.find_route(make_state(), host, path)
    assert (matched and matched.name) == name


@pytest.mark.parametrize(
    ('point', 'service'),
    [(0.0, 'new'), (0.89, 'new'), (0.91, 'old'), (0.999, 'old')],
)
def test_split_follows_the_weights(point, service):
    route = deciding.find_route(make_state(), 'shop.example', '/a/x')
    assert deciding.choose_part(route, point) == service


def make_split(*weights):
    """Return the route of a configuration with these weights."""
    parts = [
        {'service': f's{number}', 'weight': weight}
        for number, weight in enumerate(weights)
    ]
    route = {**CONFIG['routes'][0], 'trafficSplit': parts}
    current = make_state({**CONFIG, 'routes': [route]})
    return deciding.find_route(current, 'shop.example', '/a/x')


# Guards against shares that miss the weights by more than 2% of the requests.
@pytest.mark.parametrize(
    'weights', [(90, 10), (1, 1, 1), (0, 5, 95), (0.5, 0.25, 0.25)]
)
def test_split_keeps_the_weights(weights):
    route, count = make_split(*weights), 10_000
    generator = random.Random(7)
    shares = collections.Counter(
        deciding.choose_part(route, generator.random()) for _ in range(count)
    )
    for number, weight in enumerate(weights):
        expected = count * weight / sum(weights)
        assert abs(shares[f's{number}'] - expected) < 0.02 * count
        assert bool(shares[f's{number}']) is bool(weight)


# Load: a fleet in which each node has only a few requests of a split route.
# Guards against shares that miss the weights by more than the platform allows
# in so many requests in a row, as random draws of each node did.
@pytest.mark.parametrize(('window', 'allowed'), [(200, 0.2), (300, 0.1)])
@pytest.mark.parametrize('nodes', [1, 12, 67, 195])
@pytest.mark.parametrize('weights', [(50, 50), (90, 10), (1, 1, 1), (0, 7, 3)])
def test_shares_of_short_windows_keep_the_weights(
    weights, nodes, window, allowed
):
    route, generator = make_split(*weights), random.Random(nodes)
    splits = [deciding.SplitSequence(generator.random) for _ in range(nodes)]
    chosen = [
        generator.choice(splits).choose_part(route) for _ in range(20_000)
    ]
    for number, weight in enumerate(weights):
        hits = [service == f's{number}' for service in chosen]
        counts = list(itertools.accumulate(hits, initial=0))
        shares = [
            (later - earlier) / window
            for earlier, later in zip(counts, counts[window:], strict=False)
        ]
        expected = weight / sum(weights)
        assert max(abs(share - expected) for share in shares) <= allowed


# Guards against 404 for a route that the configuration has, which callers
# take as final. Columns: weights, reason of the refusal.
@pytest.mark.parametrize(
    ('weights', 'reason'),
    [
        pytest.param((0, 0), 'leads to no service', id='weights sum to 0'),
        pytest.param((), 'leads to no service', id='no parts'),
        pytest.param((1,), 'is not declared', id='unknown service'),
    ],
)
def test_route_without_a_service_refuses_as_not_run(weights, reason):
    route = {
        **CONFIG['routes'][0],
        'trafficSplit': [
            {'service': 'unknown', 'weight': weight} for weight in weights
        ],
    }
    current = make_state({**CONFIG, 'routes': [route]})
    ports = types.SimpleNamespace(clock=lambda: 0.0)
    front = frontend.Frontend(
        frontend.FrontendContext(ports, None, 's', None, None)
    )
    request = types.SimpleNamespace(
        headers={'Host': 'shop.example'}, raw_path='/a/x'
    )
    with pytest.raises(frontend.RequestRefused) as refused:
        found = front._find_route(current, request)
        front._build_head(current, found, '', request, 0.0)
    assert refused.value.status == 503
    assert reason in str(refused.value)


def test_organisation_rank_overrides_route_rank():
    current = make_state()
    wide = deciding.find_route(current, 'shop.example', '/a/x')
    narrow = deciding.find_route(current, 'shop.example', '/a/b/')
    assert deciding.find_rank(current, wide, 'one') == 0
    assert deciding.find_rank(current, wide, 'other') == 2
    assert deciding.find_rank(current, narrow, '') == deciding.FIRST_RANK
    assert narrow.kind is routing.RouteKind.UPLOAD


UNREADABLE_CONFIGS = {
    'cut short': json.dumps(CONFIG)[:-9],
    'a list': '[]',
    'no kind': json.dumps({**CONFIG, 'routes': [{'name': 'x', 'host': 'h'}]}),
    'version of another type': json.dumps({**CONFIG, 'version': 'seven'}),
}


@pytest.mark.parametrize(
    'text', UNREADABLE_CONFIGS.values(), ids=UNREADABLE_CONFIGS
)
def test_unreadable_declarations_leave_the_known_ones(text):
    read = config.OperatorTopicDecoder()
    good = registry.TopicCopy(
        1, {'config': registry.TopicItem(0, json.dumps(CONFIG).encode())}
    )
    known, _ = read(good, None)
    bad = registry.TopicCopy(
        2, {'config': registry.TopicItem(1, text.encode())}
    )
    after, _ = read(bad, known)
    assert after is known


def change_route(**fields):
    """Return a configuration whose first route has other fields."""
    first, *others = CONFIG['routes']
    return {**CONFIG, 'version': 8, 'routes': [{**first, **fields}, *others]}


def change_service(**fields):
    """Return a configuration whose service has other fields."""
    service = {**CONFIG['services'][0], **fields}
    return {**CONFIG, 'version': 8, 'services': [service]}


INFINITE_PART = {'service': 'new', 'weight': float('inf')}
PARTLY_UNREADABLE = {
    'kind of a later version': (change_route(kind='stream'), 'route', 'kind'),
    'infinite weight': (
        change_route(trafficSplit=[INFINITE_PART]),
        *('route', 'trafficSplit.0.weight'),
    ),
    'no time limit': (change_route(timeoutS=0), 'route', 'timeoutS'),
    'rate that is no number': (
        change_service(coldPerS='many'),
        *('service', 'coldPerS'),
    ),
}


# Guards against one route or service of a later version that keeps a whole
# configuration out of force: 85 nodes without a known one never got ready.
@pytest.mark.parametrize(
    ('configured', 'part', 'field'),
    PARTLY_UNREADABLE.values(),
    ids=PARTLY_UNREADABLE,
)
def test_unreadable_part_leaves_the_others_in_force(configured, part, field):
    problems, counted = [], []
    text = json.dumps(configured).encode()
    config.decode_config(text, problems.append)
    assert [(one.part, one.field) for one in problems] == [(part, field)]
    read = config.OperatorTopicDecoder(counted.append)
    copy = registry.TopicCopy(1, {'config': registry.TopicItem(0, text)})
    declared, _ = read(copy, None)
    assert read(copy, declared)[0] is declared
    assert counted == [{'part': part}]
    current = folding.StateBuilder().build_state((), declared, frozenset(), 1)
    wide = deciding.find_route(current, 'shop.example', '/a/x')
    narrow = deciding.find_route(current, 'shop.example', '/a/b/c')
    assert narrow.parts[0].service == 'files'
    assert bool(wide.parts) == (part == 'service')
    assert (part == 'service') != ('new' in current.services)


def test_downloads_may_be_repeated():
    route = config.decode_config(
        json.dumps(change_route(kind='download')).encode()
    ).routes[0]
    assert route.kind is routing.RouteKind.DOWNLOAD
    assert route.kind.is_repeatable


class Subscriber:
    """Records the versions of published states."""

    def __init__(self):
        self.versions = []

    def publish(self, message):
        self.versions.append(message.state.declared_version)


@pytest.mark.parametrize('later', [3, 6, 9])
async def test_versions_never_go_back(later):
    """The store may return stale reads or lose its history."""
    subscriber = Subscriber()
    topic_registry = registrar.Registry(
        'fleet', config.OperatorTopicDecoder(), [subscriber]
    )
    for offset, version in enumerate((7, later)):
        value = json.dumps({**CONFIG, 'version': version}).encode()
        copy = registry.TopicCopy(
            offset + 1, {'config': registry.TopicItem(offset, value)}
        )
        await topic_registry.handle(registry.TopicChanged('operator', copy))
    assert subscriber.versions == [7, max(7, later)]


BEAT = {
    'address': '10.0.0.1:80',
    'born': 1234,
    'info': {'service': 's', 'version': 'v1', 'zone': 'z', 'slots': 12},
    'status': {'state': 'ready', 'sequence': 4, 'coldLeftS': 1.5},
    'holds': [[0, 9, 5]],
    'freed': [[10, 19, 'pass']],
}


def test_heartbeat_is_decoded_whole():
    heartbeat = heartbeathttp.decode_heartbeat(
        'node', 'i-1', json.dumps(BEAT).encode()
    )
    assert heartbeat.life == ranges.Life('node', 'i-1', 1234)
    assert (heartbeat.slots, heartbeat.sequence, heartbeat.cold_left_s) == (
        12,
        4,
        1.5,
    )
    assert heartbeat.held == (leasing.HeldKeys(0, 9, 5),)
    assert heartbeat.freed == (ranges.ReleasedKeys(10, 19, 'pass'),)
    assert not heartbeat.draining


@pytest.mark.parametrize(
    ('state_name', 'draining'), [('ready', False), ('draining', True)]
)
def test_only_ready_targets_get_new_work(state_name, draining):
    beat = {**BEAT, 'status': {**BEAT['status'], 'state': state_name}}
    heartbeat = heartbeathttp.decode_heartbeat(
        'node', 'i-1', json.dumps(beat).encode()
    )
    assert heartbeat.draining is draining


INCOMPLETE_HEARTBEATS = {
    'no sequence': {**BEAT, 'status': {'state': 'ready'}},
    'slots of another type': {**BEAT, 'info': {'service': 's', 'slots': []}},
    'no information': {'status': BEAT['status']},
    'a state that is not known': {
        **BEAT,
        'status': {**BEAT['status'], 'state': 'paused'},
    },
}


@pytest.mark.parametrize(
    'beat', INCOMPLETE_HEARTBEATS.values(), ids=INCOMPLETE_HEARTBEATS
)
def test_incomplete_heartbeats_are_rejected(beat):
    with pytest.raises(pydantic.ValidationError):
        heartbeathttp.decode_heartbeat(
            'node', 'i-1', json.dumps(beat).encode()
        )


def test_renewal_without_rows_is_empty():
    assert heartbeathttp.encode_renewal(leasing.Renewal()) == {}
    row = leasing.GrantRow(0, 9, 5, 'pass')
    assert heartbeathttp.encode_renewal(leasing.Renewal((row,), 2.5)) == {
        'holds': [[0, 9, 5, 'pass']],
        'holdS': 2.5,
    }


RECORDS = [
    registry.MemberRecord(
        *('node', 9, 'z', '10.0.0.1', 1, 's', 12),
        ranges.Life('node', 'i-1', 3),
    ),
    registry.PlanRecord(
        's',
        (
            ranges.Range(
                0,
                65535,
                4,
                ranges.Life('node', 'i-1', 3),
                (ranges.Life('other', 'i-2', 2),),
            ),
        ),
    ),
    registry.SecretRecord('ab'),
]


@pytest.mark.parametrize('record', RECORDS, ids=lambda one: type(one).__name__)
def test_records_are_encoded_and_decoded(record):
    key = registrycodec.build_record_key(record)
    value = registrycodec.encode_record(record)
    assert registrycodec.decode_record(key, value) == record


def test_log_entries_are_encoded_and_decoded():
    entry = registry.Entry('member/a', b'value')
    body = store.POSITIONS.pack(5, 0) + store.encode_entry(entry) * 2
    assert store.decode_records(body) == registry.TopicBatch((entry, entry), 5)
    with pytest.raises(errors.LogUnavailable):
        store.decode_records(body[:10])


class FakeTopic:
    """Returns scripted batches."""

    name = 'fleet'
    received = 0

    def __init__(self, batches):
        self.batches = batches

    async def read_newest(self):
        return registry.TopicCopy(1, {'a': registry.TopicItem(0, b'1')})

    async def read(self, offset, wait_s):
        return self.batches.pop(0)


async def test_copy_is_current_as_of_the_send_of_a_read_with_records():
    """Later records may exist by the time an answer arrives."""
    batch = registry.TopicBatch(
        (registry.Entry('a', b''), registry.Entry('b', b'2')), 3
    )
    topic_follower = follower.Follower(
        FakeTopic([batch]), (), lambda: 9, lambda _: None
    )
    await topic_follower._read()
    await topic_follower._read()
    copy = await topic_follower.handle(registry.GetCopy())
    assert copy == registry.TopicCopy(3, {'b': registry.TopicItem(2, b'2')})


# Guards against a copy that is taken for a current one although the answer
# left the newest records out: keys taken away were accepted (review/3).
# Columns: ends of the topic that the answers state, whether the copy is
# current after each.
@pytest.mark.parametrize(
    ('ends', 'current'),
    [
        pytest.param([2, 3], [True, True], id='whole'),
        pytest.param([3, 3], [False, True], id='second answer has the rest'),
        pytest.param([9, 9], [False, False], id='much is missing'),
    ],
)
async def test_copy_is_current_only_with_all_records(ends, current):
    batches = [
        registry.TopicBatch((registry.Entry('a', b'x'),), end) for end in ends
    ]
    made = follower.Follower(FakeTopic(batches), (), lambda: 9, lambda _: None)
    made.start_with(registry.TopicCopy(1, {}), 0.0)
    for is_current in current:
        made.view.as_of = 0.0
        assert await made._read()
        assert (made.view.as_of > 0.0) is is_current


class OvertakenTopic(FakeTopic):
    """Delivers a copy of a peer while a read is running."""

    follower = None
    copy = None

    async def read(self, offset, wait_s):
        await self.follower.handle(registry.TakeCopy(self.copy, 0.0))
        return await super().read(offset, wait_s)


# Guards against fetching a large record again because a peer's older copy
# arrived during the read, and against applying records twice.
@pytest.mark.parametrize(
    ('peer_end', 'end', 'has_grown'),
    [
        pytest.param(1, 4, True, id='no newer'),
        pytest.param(2, 4, True, id='has some of the records'),
        pytest.param(4, 4, False, id='has all of them'),
        pytest.param(5, 5, False, id='has more'),
    ],
)
async def test_records_beyond_a_peers_copy_are_kept(peer_end, end, has_grown):
    names = ('a', 'b', 'c', 'd', 'e')
    entries = [registry.Entry(name, name.encode()) for name in names]
    items = {
        name: registry.TopicItem(place, name.encode())
        for place, name in enumerate(names)
    }
    topic = OvertakenTopic([registry.TopicBatch(tuple(entries[1:4]), 4)])
    topic.copy = registry.TopicCopy(
        peer_end,
        {item_name: items[item_name] for item_name in names[:peer_end]},
    )
    topic_follower = topic.follower = follower.Follower(
        topic, (), lambda: 9, lambda _: None
    )
    await topic_follower._read()
    topic_follower._copy = registry.TopicCopy(1, {'a': items['a']})
    assert await topic_follower._read() is has_grown
    copy = await topic_follower.handle(registry.GetCopy())
    assert copy == registry.TopicCopy(
        end, {item_name: items[item_name] for item_name in names[:end]}
    )


class GrowingTopic(FakeTopic):
    """Adds a record every ``every_s``; reads wait for the next one."""

    def __init__(self, every_s, count):
        super().__init__([])
        self.reads = 0
        self._every_s = every_s
        self._count = count
        self._started_at = time.monotonic()

    async def read(self, offset, wait_s):
        self.reads += 1
        while True:
            passed = time.monotonic() - self._started_at
            end = 1 + min(self._count, int(passed / self._every_s))
            if end > offset:
                entry = registry.Entry('a', b'2')
                return registry.TopicBatch((entry,) * (end - offset), end)
            await asyncio.sleep(self._every_s / 4)


# Guards against each node reading the store once per record while all nodes
# register: 58 nodes made 7,004 calls in the first 20 s.
@pytest.mark.parametrize(
    ('every_s', 'count', 'reads'),
    [
        pytest.param(0.005, 60, 8, id='all nodes register'),
        pytest.param(0.2, 2, 3, id='rare records are read at once'),
    ],
)
async def test_records_in_quick_succession_are_read_together(
    every_s, count, reads
):
    topic = GrowingTopic(every_s, count)
    topic_follower = follower.Follower(topic, (), lambda: 9, lambda _: None)
    following = asyncio.ensure_future(topic_follower.follow())
    try:
        async with asyncio.timeout(every_s * count + 1.0):
            while topic_follower.view.end <= count:
                await asyncio.sleep(0.01)
        assert topic.reads <= reads
    finally:
        following.cancel()
        await asyncio.wait((following,))


POSITIONS = {
    'the same end': (1, 50.0, 50.0),
    'a peer behind': (0, 50.0, 50.0),
    'a peer ahead': (2, 50.0, 10.0),
}


@pytest.mark.parametrize(
    ('end', 'as_of', 'expected'), POSITIONS.values(), ids=POSITIONS
)
async def test_peers_make_a_copy_current(end, as_of, expected):
    """A copy is current only if a peer knows of nothing newer."""
    topic_follower = follower.Follower(
        FakeTopic([]), (), lambda: 9, lambda _: None
    )
    await topic_follower._read()
    topic_follower.view.as_of = 10.0
    await topic_follower.handle(registry.PeerPosition(1, end, as_of))
    assert topic_follower.view.as_of == expected


VARIABLES = {
    'NAME': 'node-1',
    'ZONE': 'a',
    'HOST': '10.0.0.1',
    'PEER_PORT': '7000',
    'CALLERS': '10.0.0.1:80',
    'READINESS': '10.0.0.1:81',
    'HEARTBEATS': '10.0.0.1:82',
    'TARGET': '10.0.0.1:83',
    'TARGET_SERVICE': 's',
    'LOG': '10.0.0.9:90',
}


def set_variables(monkeypatch, **changed):
    for name, value in {**VARIABLES, **changed}.items():
        if value is not None:
            monkeypatch.setenv(f'SESAMEJUNCTION_{name}', value)


def test_settings_come_from_a_file_and_the_environment(monkeypatch, tmp_path):
    path = tmp_path / 'node.settings'
    path.write_text(
        ''.join(f'SESAMEJUNCTION_{k}="{v}"\n' for k, v in VARIABLES.items())
    )
    monkeypatch.setenv('SESAMEJUNCTION_SETTINGS', str(path))
    monkeypatch.setenv('SESAMEJUNCTION_ZONE', 'b')
    loaded = hostedsettings.read_hosted_settings({'peer_port': '7001'})
    assert (loaded.zone, loaded.peer_port) == ('b', 7001)
    assert loaded.parse_address('log').port == 90


# Guards against limits that are never read because the file of settings cannot
# be parsed: the platform renders a table as JSON, a list with commas. Before,
# the JSON stood in double quotes, and each node kept the defaults.
@pytest.mark.parametrize(
    'rendered',
    [
        pytest.param(
            '{"strictRevoke":true,"configApplyS":3.5,"retrySlack":430}',
            id='table',
        ),
        pytest.param(
            'strictRevoke=true,configApplyS=3.5,retrySlack=430', id='list'
        ),
    ],
)
def test_limits_are_read_from_the_rendered_template(
    rendered, monkeypatch, tmp_path
):
    template = pathlib.Path(__file__).parent.parent / 'deploy/node.settings'
    values = {**VARIABLES, 'BOUNDS': rendered}
    text = re.sub(
        r'_([A-Z_]+)=(.)\{\{.*\}\}',
        lambda line: f'_{line[1]}={line[2]}{values.get(line[1], "")}',
        template.read_text(),
    )
    path = tmp_path / 'node.settings'
    path.write_text(text)
    monkeypatch.setenv('SESAMEJUNCTION_SETTINGS', str(path))
    loaded = hostedsettings.read_hosted_settings({})
    assert bounds.decode_retry_limits(loaded.bounds).fixed == 430.0
    assert bounds.decode_bounds(loaded.bounds).apply_s == 3.5


# Guards against limits of the platform that stand in the code as constants:
# other deployments have others. Columns: bounds, seconds for which a key, an
# evacuated zone and a leaving target are used.
@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        pytest.param('', (4.5, 3.0, 1.0), id='defaults'),
        pytest.param('revokeS=3,drainS=1', (2.5, 3.0, 0.5), id='shorter'),
        pytest.param('evacuateS=4,configApplyS=1', (4.5, 3.0, 1.0), id='both'),
        pytest.param('evacuateS=2,revokeS=0.2', (0.0, 0.0, 1.0), id='tiny'),
    ],
)
def test_times_to_stop_follow_the_platform(text, expected):
    found = bounds.decode_bounds(text)
    times = found.key_trust_s, found.zone_grace_s, found.leave_grace_s
    assert times == expected


SPEEDS = {'given': ('5.0', 5.0), 'empty': ('', 0.0), 'absent': (None, 0.0)}


@pytest.mark.parametrize(('text', 'mbps'), SPEEDS.values(), ids=SPEEDS)
def test_unknown_line_speed_is_accepted(text, mbps, monkeypatch):
    # Guards against a node that fails to start because the platform does not
    # state the speed of its line.
    set_variables(monkeypatch, LINE_MBPS=text)
    assert hostedsettings.read_hosted_settings({}).line_mbps == mbps


@pytest.mark.parametrize(
    ('memory', 'descriptors', 'expected'),
    [
        ('512', '8192', (512, 8192)),
        ('200.5', '64', (200.5, 64)),
        ('', '', (200, 4096)),
        ('0', '0', (200, 4096)),
        (None, None, (200, 4096)),
    ],
)
def test_unknown_size_of_a_machine_is_accepted(
    memory, descriptors, expected, monkeypatch
):
    # Guards against a node that does not start because the platform states no
    # size of its machine.
    set_variables(monkeypatch, MEMORY_MB=memory, MAX_DESCRIPTORS=descriptors)
    found = hostedsettings.read_hosted_settings({})
    assert (found.memory_mb, found.max_descriptors) == expected


# Rows: the platform's table, and the size beside settings of 512 MB and 64.
MACHINES = {
    'none': ('', (512.0, 64)),
    'both': ('{"memoryMb":200,"maxFds":4100,"cores":1}', (200.0, 4100)),
    'other values only': ('{"linkMbps":10.0}', (512.0, 64)),
    'memory only': ('{"memoryMb":300.5}', (300.5, 64)),
    'null': ('{"memoryMb":null,"maxFds":null}', (512.0, 64)),
    'no size': ('{"memoryMb":0,"maxFds":4100}', (512.0, 64)),
    'no JSON': ("{'memoryMb': 200}", (512.0, 64)),
}


@pytest.mark.parametrize(('text', 'size'), MACHINES.values(), ids=MACHINES)
def test_machine_size_is_read(text, size):
    # Guards against limits that do not follow the machine, and against a node
    # that does not start for a table of another version.
    found = machines.decode_machine(text, 512.0, 64)
    assert (found.memory_mb, found.descriptors) == size


def test_template_needs_no_size_of_the_machine():
    """Guards against settings that cannot be rendered, as in review/."""
    root = pathlib.Path(__file__).parent.parent
    template = (root / 'deploy/node.settings').read_text()
    names = set(re.findall(r'{{([\w.]+)}}', template))
    assert {name for name in names if name.startswith('limits')} == {
        'limits.linkMbps',
        'limits',
    }


BAD_SETTINGS = {
    'no port': ({'CALLERS': '10.0.0.1'}, '--callers'),
    'port out of range': ({'TARGET': '10.0.0.1:99999'}, '--target'),
    'missing': ({'LOG': None}, '--log'),
    'not a number': ({'PEER_PORT': 'x'}, '--peer-port'),
    'speed below 0': ({'LINE_MBPS': '-1'}, '--line-mbps'),
}


@pytest.mark.parametrize(
    ('changed', 'flag'), BAD_SETTINGS.values(), ids=BAD_SETTINGS
)
def test_bad_settings_give_a_one_line_error(changed, flag, monkeypatch):
    set_variables(monkeypatch, **changed)
    with pytest.raises(errors.SettingsError) as raised:
        hostedsettings.read_hosted_settings({})
    assert flag in str(raised.value)
    assert '\n' not in str(raised.value)
