"""Odd values at each border end with a value or with its typed error.

What passes a border is used by the decisions, which then raise nothing. A few
seconds a row in CI; `make soak` draws new values for minutes. A value that has
failed once stays as an example of its row.
"""

import asyncio
import collections.abc
import dataclasses
import math
import os
import types
from unittest import mock

import hypothesis
import msgspec
import pydantic
import pytest

from sesamejunction.border import callermessages
from sesamejunction.border import clients
from sesamejunction.border import framing
from sesamejunction.border import hostedsettings
from sesamejunction.border import linkcodec
from sesamejunction.border import packets as codec
from sesamejunction.border import pipelinedhttp
from sesamejunction.border import registrycodec
from sesamejunction.border import targetconnections
from sesamejunction.commands import hosting
from sesamejunction.decisions import rangeleases
from sesamejunction.decisions import rangeplanning
from sesamejunction.decisions import registry as folding
from sesamejunction.decisions import routing as deciding
from sesamejunction.decisions import topicnews
from sesamejunction import errors
from sesamejunction.model import leasing
from sesamejunction.model import linking
from sesamejunction.model import messages
from sesamejunction.model import ranges
from sesamejunction.model import registry
from sesamejunction.model import requests
from sesamejunction.model import state
from sesamejunction.platform import bounds
from sesamejunction.platform import config
from sesamejunction.platform import frontend
from sesamejunction.platform import heartbeathttp
from sesamejunction.platform import serverclient
from sesamejunction.platform import store
from sesamejunction.queries import routes
from sesamejunction.tasks import scheduler
from test import fuzzing
from test import test_oddentries
from test import test_platform

SECRET = b's' * 32
NOW = 100.0


@dataclasses.dataclass(frozen=True)
class Border:
    """One input of a node.

    ``read`` decodes bytes and may raise ``refusals``; ``use`` gives the value
    to the decisions that rest on it.
    """

    samples: tuple
    encode: collections.abc.Callable
    read: collections.abc.Callable
    refusals: tuple
    use: collections.abc.Callable = lambda value: None


# Records of the fleet's topic, as pairs of key and content.
RECORDS = tuple(
    [registrycodec.build_record_key(record), msgspec.to_builtins(record)]
    for record in (
        *(test_oddentries.MEMBER, test_oddentries.PLAN),
        *(test_oddentries.ALLOCATORS, test_oddentries.PLANNER),
        registry.SecretRecord('ab' * 16),
    )
)


def encode_record(pair):
    """Return the key, a zero byte and the value of a record."""
    usable = isinstance(pair, list) and len(pair) > 1
    key, content = pair[:2] if usable else ('member/x', pair)
    return str(key).encode() + b'\x00' + fuzzing.encode_msgpack(content)


def read_record(data):
    key, _, value = data.partition(b'\x00')
    return registrycodec.decode_record(key.decode('utf-8', 'replace'), value)


def use_record(record):
    records = (test_oddentries.MEMBER, record)
    current = folding.StateBuilder().build_state(
        records, test_platform.DECLARED, frozenset(), 1
    )
    service = state.Service('s', state.Routing.RANGE, 0)
    for key in ('0', '4096', '65535'):
        routes.list_owners(current, service, key)
    routes.list_targets(current, service)
    if isinstance(record, registry.PlanRecord):
        leases = rangeleases.RangeLeases(0.0)
        leases.take_plan(folding.build_plan(record), NOW)
        leases.renew(NOW, NOW)


def read_heartbeat(data):
    return heartbeathttp.decode_heartbeat('node', 'target', data)


def use_heartbeat(heartbeat):
    leases = rangeleases.RangeLeases(0.0)
    plan = folding.build_plan(test_oddentries.PLAN)
    leases.take_plan(plan, NOW)
    for later in (0.0, 0.5, 9.0):
        now = NOW + later
        if leases.accepts_heartbeat(heartbeat, now):
            leases.take_heartbeat(heartbeat, now)
        leases.renew(now, now)
        leases.list_claims(now)
        leases.answer_claim(
            leasing.AskRelease('s', 0, 9, 4, heartbeat.life), now
        )
    record = dataclasses.replace(
        test_oddentries.MEMBER, life=heartbeat.life, slots=heartbeat.slots
    )
    record = dataclasses.replace(record, name=heartbeat.life.member)
    registrycodec.decode_record(
        f'member/{record.name}', registrycodec.encode_record(record)
    )


def use_configuration(declared):
    current = folding.StateBuilder().build_state((), declared, frozenset(), 1)
    sequence = deciding.SplitSequence(lambda: 0.5)
    for route in declared.routes:
        found = deciding.find_route(current, route.host, route.prefix)
        if any(part.weight for part in found.parts):
            sequence.choose_part(found)
        deciding.find_rank(current, found, 'one')


FIELDS = {
    'Host': 'shop.example',
    'X-Attempt-Id': 'a1',
    'X-Deadline-Ms': '900',
    'X-Shard-Key': '7',
    'Authorization': 'Token k',
    'Content-Length': '0',
    'Connection': 'keep-alive',
}
REQUEST = ['GET', '/a/b/c', *([name, FIELDS[name]] for name in FIELDS)]


def encode_request(content):
    """Return a request head of method, path and header fields."""
    content = content if isinstance(content, list) else [content]
    texts = [
        ': '.join(map(str, one)) if isinstance(one, list) else str(one)
        for one in content
    ]
    lines = [f'{" ".join(texts[:2])} HTTP/1.1', *texts[2:], '', '']
    return '\r\n'.join(lines).encode('utf-8', 'replace')


def build_frontend():
    current = test_platform.make_state()
    ports = types.SimpleNamespace(
        clock=lambda: NOW,
        states=types.SimpleNamespace(current=current),
        stop=types.SimpleNamespace(is_refusing=False, is_over=False),
    )
    declared = types.SimpleNamespace(find_as_of=lambda end: NOW)
    context = frontend.FrontendContext(
        ports, declared, 's', None, hosting.OpenRuns()
    )
    return frontend.Frontend(context), current


async def read_request(data):
    """Feed bytes to a caller's connection; return the requests it starts."""
    started = []

    async def handle(request):
        started.append(request)
        return callermessages.CallerReply(200)

    front, current = build_frontend()
    server_ports = front.build_server(clients.build_clients())._ports
    server_ports.handle = handle
    connection = pipelinedhttp.Connection(server_ports)
    transport = mock.Mock()
    transport.is_closing.return_value = False
    transport.get_write_buffer_size.return_value = 0
    transport.get_extra_info.return_value.fileno.return_value = -1
    connection.connection_made(transport)
    connection.data_received(data)
    await asyncio.sleep(0)
    connection.connection_lost(None)
    return front, current, started


def use_request(parsed):
    front, current, started = parsed
    for request in started:
        try:
            route = front._find_route(current, request)
            organisation = front._find_organisation(current, route, request)
            head = front._build_head(
                current, route, organisation, request, NOW
            )
        except frontend.RequestRefused:
            continue
        use_head(head)
        serverclient.encode_request(head, b'', 1, 'target')
        framing.ENCODER.encode(linkcodec.encode_work(1, head, b'', NOW))


ANSWER = [
    *('HTTP/1.1', '200', 'OK'),
    ['X-Attempt-Id', 'a1'],
    ['X-Response-Signature', 'sig'],
    ['X-Server-Load', '3,0,8,100'],
    ['Keep-Alive', 'timeout=5'],
    ['Content-Length', '2'],
]


def encode_answer(content):
    """Return an answer with a body of two bytes."""
    content = content if isinstance(content, list) else [content]
    texts = [
        ': '.join(map(str, one)) if isinstance(one, list) else str(one)
        for one in content
    ]
    lines = [' '.join(texts[:3]), *texts[3:], '', 'ok']
    return '\r\n'.join(lines).encode('utf-8', 'replace')


async def read_answer(data):
    """Return the decoded answer of a target that sends bytes and closes."""
    connection = targetconnections.Connection()
    transport = mock.Mock()
    transport.is_closing.return_value = False
    transport.get_extra_info.return_value = None
    connection.connection_made(transport)
    exchange = asyncio.ensure_future(
        connection.exchange(
            [b''], lambda answer: answer.find_values('x-attempt-id') == {'a1'}
        )
    )
    await asyncio.sleep(0)
    buffer = connection.get_buffer(-1)
    buffer[: len(data)] = data
    connection.buffer_updated(len(data))
    connection.eof_received()
    connection.connection_lost(None)
    raw = await exchange
    serverclient.find_idle_limit(raw)
    return serverclient.decode_answer(raw)


def use_answer(reply):
    if isinstance(reply, requests.Answer):
        encoded = callermessages.encode_reply_head(
            callermessages.CallerReply(reply.status, reply.headers), False
        )
        assert 200 <= reply.status <= 599
        assert encoded.startswith(f'HTTP/1.1 {reply.status} '.encode())


HEAD = requests.Head(
    *('a1.1', 's', 'GET', '/a', '7', None, 'one', NOW + 1, True),
    headers=(('X-Attempt-Id', 'a1'),),
    route='wide',
)
LOAD = requests.Load(1, 2, 3, 0.1)
NEWS = registry.TopicNews(9, False, {'k': registry.TopicItem(4, b'v')})
FRAMES = (
    linkcodec.encode_work(1, HEAD, b'x', NOW),
    linkcodec.encode_offer(1, HEAD, 99, NOW),
    linking.WorkAnswer(1, 200, (('a', 'b'),), b'x', (1, 2, 3, 0.1)),
    linking.WorkRefused(1, 'shed', 'not-run', 'm', 0.1, (1, 2, 3, 0.1)),
    linking.ReleaseQuestion(
        1, leasing.AskRelease('s', 0, 9, 4, test_oddentries.LIFE)
    ),
    linking.LoadReply(1, leasing.KeyLoadReport(((0, 9, 1.0),), 4.0)),
    linking.NewsQuestion(1, 'fleet', 4, 100),
    linkcodec.NewsEncoder().encode(1, 'fleet', registry.NewsAnswer(NEWS, 0.1)),
)


class FrameRecorder(framing.FrameProtocol):
    """Records the frames that are read."""

    def __init__(self):
        super().__init__()
        self.frames = []
        self.transport = mock.Mock()
        self.transport.is_closing.return_value = False

    def handle_frame(self, frame):
        self.frames.append(frame)


def read_frames(data):
    recorder = FrameRecorder()
    recorder.data_received(framing.LENGTH.pack(len(data)) + data)
    return recorder.frames


def use_frames(frames):
    for frame in frames:
        match frame:
            case linking.Work() | linking.WorkOffer():
                use_head(linkcodec.decode_work(frame, NOW))
            case linking.WorkAnswer() | linking.WorkRefused():
                try:
                    linkcodec.decode_reply(frame)
                except errors.PeerConnectionLost:
                    continue
            case linking.LoadReply():
                try:
                    use_load(linkcodec.decode_question_reply(frame))
                except errors.PeerUnavailable:
                    continue
            case linking.NewsReply():
                try:
                    answer = linkcodec.decode_news(frame)
                except errors.PeerUnavailable:
                    continue
                if answer.news is not None:
                    copy = registry.TopicCopy(4, {})
                    topicnews.apply_news(copy, answer.news)


def use_load(report):
    """Balance the keys of a target with those of an idle one."""
    other = dataclasses.replace(test_oddentries.LIFE, member='other')
    busy = rangeplanning.OwnerLoad(
        test_oddentries.LIFE,
        max(1.0, report.capacity),
        list(report.segments),
    )
    rangeplanning.choose_moves(
        [busy, rangeplanning.OwnerLoad(other, 1.0, [(10, 19, 1.0)])]
    )
    round(report.capacity)


def use_head(head):
    """Admit a request at the scheduler of a full target."""
    made = scheduler.Scheduler(
        's', types.SimpleNamespace(rows=()), clock=lambda: NOW
    )
    life = ranges.Life('node', 'target', 1)
    asyncio.run(admit(made, leasing.TargetStatus(life, 1, 0.0), head))


async def admit(made, status, head):
    await made.handle(status)
    for number in range(3):
        changed = dataclasses.replace(head, request_id=f'id.{number}')
        await made.handle(scheduler.gating.CheckAdmission(changed))
        reply = await made.handle(scheduler.gating.Admit(changed))
        if isinstance(reply, asyncio.Future):
            reply.cancel()
    await made.tick()
    assert made.load.limit == 1


MESSAGES = (
    messages.Probe(1, 9.0, (messages.TopicAge(4, 0.5),), 7),
    messages.Echo(1, 9.0, (messages.TopicAge(4, 0.5),), ((2, 0.1),), True),
    messages.Echo(
        *(1, 9.0, (messages.TopicAge(4, 0.5),), (), True),
        messages.PackedAges(7, 0, b'\x01\x02'),
    ),
    messages.ShareRequest(1, 4, 3, (messages.ShareWant('one', 1.0, 2.0, 0),)),
    messages.ShareReply(1, 2, 4, (messages.ShareGrant('one', 1.0, 1.0, 0.1),)),
)
PACKETS = tuple(
    msgspec.msgpack.decode(msgspec.msgpack.encode(codec.encode_body(one)))
    for one in MESSAGES
)


def read_packet(body):
    """Return the message of a packet whose tag fits its body."""
    sender = codec.PacketCodec(SECRET, 1)
    counter = codec.split_counter(1)
    tag = sender._make_tag(1, 2, counter, body)
    data = codec.HEADER.pack(1, *counter) + tag + body
    return codec.PacketCodec(SECRET, 2).decode(data, NOW)


SETTINGS = {
    'NAME': 'node-1',
    'ZONE': 'a',
    'HOST': '10.0.0.1',
    'PEER_PORT': '7000',
    'CALLERS': '10.0.0.1:1',
    'READINESS': '10.0.0.1:2',
    'HEARTBEATS': '10.0.0.1:3',
    'TARGET': '10.0.0.1:4',
    'TARGET_SERVICE': 's',
    'LOG': '10.0.0.1:5',
    'LINE_MBPS': '10',
    'BOUNDS': 'configApplyS=2,retrySlack=60',
}


def encode_settings(content):
    """Return lines of NAME="VALUE"."""
    if not isinstance(content, dict):
        return str(content).encode('utf-8', 'replace')
    lines = [f'{name}="{content[name]}"\n' for name in content]
    return ''.join(lines).encode('utf-8', 'replace')


def read_settings(data):
    values = {}
    for line in data.decode('utf-8', 'replace').splitlines():
        name, _, value = line.partition('=')
        if '\x00' not in name + value and name:
            values[f'SESAMEJUNCTION_{name}'] = value.strip('"')
    with mock.patch.dict(os.environ, values):
        return hostedsettings.read_hosted_settings({})


def use_settings(read):
    limits = bounds.decode_bounds(read.bounds)
    assert limits.key_trust_s >= 0
    bounds.decode_retry_limits(read.bounds)
    read.parse_address('target')


RECORDS_BATCH = [[0, 1, 2], ['config', 'plan/s']]


def encode_batch(content):
    """Return the bytes of a read of the store's log."""
    entries = [
        registry.Entry('k', str(one).encode()[:200]) for one in (content, 1)
    ]
    return store.POSITIONS.pack(9, 0) + b''.join(
        map(store.encode_entry, entries)
    )


INVALID = (pydantic.ValidationError,)
BORDERS = {
    'records of the fleet': Border(
        *(RECORDS, encode_record, read_record),
        *((errors.CodecError,), use_record),
    ),
    'heartbeats': Border(
        *((test_oddentries.BEAT,), fuzzing.encode_json, read_heartbeat),
        *(INVALID, use_heartbeat),
    ),
    'configurations': Border(
        *((test_platform.CONFIG,), fuzzing.encode_json, config.decode_config),
        *(INVALID, use_configuration),
    ),
    'reads of the log': Border(
        *((RECORDS_BATCH,), encode_batch, store.decode_records),
        (errors.LogUnavailable,),
    ),
    'heads of requests': Border(
        *((REQUEST,), encode_request),
        *(lambda data: asyncio.run(read_request(data)), (), use_request),
    ),
    'answers of targets': Border(
        *((ANSWER,), encode_answer),
        lambda data: asyncio.run(read_answer(data[:9000])),
        *((errors.PeerConnectionLost,), use_answer),
    ),
    'frames of nodes': Border(
        tuple(
            msgspec.msgpack.decode(framing.ENCODER.encode(one))
            for one in FRAMES
        ),
        *(fuzzing.encode_msgpack, read_frames, (), use_frames),
    ),
    'datagrams of nodes': Border(
        *(PACKETS, fuzzing.encode_msgpack, read_packet),
        (errors.CodecError, errors.ForgedMessageError),
    ),
    'settings': Border(
        *((SETTINGS,), encode_settings, read_settings),
        *((errors.SettingsError,), use_settings),
    ),
}
# Values that failed once, with their border.
FAILED_ONCE = tuple(
    (
        'frames of nodes',
        framing.ENCODER.encode(
            linking.LoadReply(1, leasing.KeyLoadReport(segments, capacity))
        ),
    )
    for segments, capacity in (
        (((0, 9, 1.0),), math.nan),
        (((0, 9, 1.0),), math.inf),
        (((0, 9, math.nan),), 4.0),
    )
)


def check(border, data):
    try:
        value = border.read(data)
    except border.refusals:
        return
    border.use(value)


# Guards against one odd value of another writer or of a caller that ends a
# node's process, or leaves it wrong.
@pytest.mark.parametrize('border', BORDERS.values(), ids=BORDERS)
def test_property_odd_values_are_refused_or_used(border):
    @hypothesis.settings(
        max_examples=hypothesis.settings().max_examples,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(
        fuzzing.odd_bytes(fuzzing.odd_contents(border.samples), border.encode)
    )
    def check_one(data):
        check(border, data)

    check_one()


@pytest.mark.parametrize('border', BORDERS.values(), ids=BORDERS)
def test_samples_are_read(border):
    """Guards against rows whose samples are refused, which test nothing."""
    for sample in border.samples:
        border.use(border.read(border.encode(sample)))


@pytest.mark.parametrize(
    ('name', 'data'), FAILED_ONCE, ids=range(len(FAILED_ONCE))
)
def test_values_that_failed_once(name, data):
    check(BORDERS[name], data)
