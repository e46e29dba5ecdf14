"""Replay: measures, invalid traces and bounds, open-loop timing."""

import asyncio
import gzip
import hashlib
import json
import pathlib
import re
import time
import uuid

import pytest

from demo import traces as demo_traces
from sesamejunction.border import declarations
from sesamejunction.border import replayhttp
from sesamejunction.border import traces
from sesamejunction.commands import replays as commands
from sesamejunction import errors
from sesamejunction.model import replaying
from sesamejunction.model import state
from sesamejunction.queries import replays
from sesamejunction.queries import routes
from sesamejunction.ui import invocation
from sesamejunction.ui import replay

CallOutcome = replaying.CallOutcome


def make_result(at_s=0.0, fate=CallOutcome.ANSWERED, took_s=0.005, **fields):
    """Return the result of a call to the catalogue, with changed fields."""
    parts = {
        name: fields.pop(name)
        for name in ('status', 'code', 'owner', 'target', 'named')
        if name in fields
    }
    idempotency_key = fields.pop('idempotency_key', None)
    call = {
        'at_ms': at_s * 1000,
        'organisation': 'shop',
        'service': 'catalogue',
        'method': 'GET',
        'path': '/stock',
        'key': 'lot-1',
        'size': 0,
        'deadline_ms': 100,
        'once': False,
    }
    return replaying.Result(
        replaying.Call(**call | fields),
        replaying.Reply(fate, **parts),
        at_s,
        at_s,
        at_s + took_s,
        idempotency_key,
    )


def make_history(*keys, target='orders-0', organisation='shop'):
    """Return a target's history with runs of the given idempotency keys."""
    runs = tuple(
        replaying.Execution(
            'orders', target, str(n), key, None, organisation, n, n + 0.001
        )
        for n, key in enumerate(keys)
    )
    return replaying.History('orders', target, runs)


ORDER_CALL = {'service': 'orders', 'key': None, 'once': True}
OVER_RATE_REPLY = {
    'fate': CallOutcome.REFUSED,
    'status': 429,
    'code': 'over-rate',
}
MOVING_REPLY = {'fate': CallOutcome.REFUSED, 'status': 503, 'code': 'no-owner'}

ORDER_RESULTS = [make_result(**ORDER_CALL, idempotency_key='a')]
HISTORY_ON_OTHER_TARGET = make_history('a', target='orders-1')
HISTORY_OF_OTHER_ORGANISATION = make_history(
    'a', target='orders-1', organisation='other'
)
UNAVAILABLE = make_result(1.0, **MOVING_REPLY)


def make_row(results, *histories, **expected):
    """Return a row: results, histories and expected measures."""
    return results, list(histories), expected


# Each row guards against a failure that the measures do not show.
MEASURE_CASES = {
    'doubled order on one target': (
        make_row(ORDER_RESULTS, make_history('a', 'a'), orders_run_twice=1)
    ),
    'doubled order on two targets': (
        make_row(
            ORDER_RESULTS,
            make_history('a'),
            HISTORY_ON_OTHER_TARGET,
            orders_run_twice=1,
        )
    ),
    'same key of another organisation is another order': (
        make_row(
            ORDER_RESULTS,
            make_history('a'),
            HISTORY_OF_OTHER_ORGANISATION,
            orders_run_twice=0,
        )
    ),
    'no history is not zero': make_row(ORDER_RESULTS, orders_run_twice=None),
    'cut, lost and unknown answers': make_row(
        [
            make_result(fate=one)
            for one in (CallOutcome.CUT, CallOutcome.LOST, CallOutcome.UNKNOWN)
        ]
        + [
            make_result(),
            make_result(fate=CallOutcome.UNREACHED),
            make_result(**MOVING_REPLY),
        ],
        answers_lost_or_cut=3,
    ),
    'one of two answers belongs to another call': make_row(
        [
            make_result(named=True),
            make_result(fate=CallOutcome.CROSSED, named=True),
        ],
        answers_crossed=1,
        answers_lost_or_cut=0,
    ),
    'answers without a call id are not uncrossed': make_row(
        [make_result(), make_result(**MOVING_REPLY)], answers_crossed=None
    ),
    'key unavailable for 1.2 s, then for 0.3 s': make_row(
        [
            make_result(0.0),
            UNAVAILABLE,
            make_result(1.5, fate=CallOutcome.LOST),
            make_result(2.1, took_s=0.1),
        ]
        + [make_result(3.0, **MOVING_REPLY), make_result(3.2, took_s=0.1)]
        + [make_result(1.1, key='lot-2')],
        outages=[('catalogue', 'lot-1', 1.2, 1.5)],
    ),
    'key not served again': make_row(
        [UNAVAILABLE, make_result(4.0, key='lot-2', took_s=0.0)],
        outages=[('catalogue', 'lot-1', 3.0, 3.0)],
    ),
    'a refusal over rate is no outage': (
        make_row(
            [make_result(1.0, **OVER_RATE_REPLY), make_result(2.0)], outages=[]
        )
    ),
    'owner seen to change twice': make_row(
        [make_result(n, owner=one) for n, one in enumerate('aabba')]
        + [make_result(n, key='lot-2', owner='a') for n in range(3)],
        owner_changes=2,
        keys_with_owner_change=1,
    ),
    'refused within rate: burst 2, one more after 1 s': make_row(
        [
            make_result(0.0),
            make_result(0.0, **OVER_RATE_REPLY),
            make_result(0.1, **OVER_RATE_REPLY),
            make_result(1.0, **OVER_RATE_REPLY),
        ],
        refused_within_rate=2,
    ),
    'imbalance counts the idle target': make_row(
        [make_result()],
        *(make_history('a', 'b', 'c'), make_history(target='orders-1')),
        imbalances=[('orders', 2, 1.5, 3, 2.0)],
    ),
}


@pytest.mark.parametrize('row', MEASURE_CASES)
def test_measure(row):
    results, histories, expected = MEASURE_CASES[row]
    rates = (replaying.Rate('shop', 1.0, 2.0),)
    found = replays.measure_replay(
        results, histories, rates, replaying.Bounds()
    )
    for name, wanted in expected.items():
        value = getattr(found, name)
        if isinstance(wanted, list):
            value = [as_row(one) for one in value]
        assert value == wanted


def as_row(item):
    values = (getattr(item, name) for name in item.__slots__)
    return tuple(
        round(one, 6) if isinstance(one, float) else one for one in values
    )


def test_worst_served_ignores_what_is_over_rate():
    # Guards against blaming the router for calls above the declared rate.
    results = [make_result(organisation='greedy') for _ in range(2)]
    results += [
        make_result(organisation='greedy', **OVER_RATE_REPLY) for _ in range(8)
    ]
    results += [make_result(n, organisation='small') for n in range(3)]
    results += [make_result(9, organisation='small', took_s=0.2)]
    rates = [replaying.Rate(one, 1.0, 2.0) for one in ('greedy', 'small')]
    found = replays.measure_replay(results, (), rates, replaying.Bounds())
    assert found.worst_served.organisation == 'small'
    assert found.worst_served.share == 0.75


def test_latency_counts_from_the_schedule():
    results = [make_result(n / 100, took_s=0.001) for n in range(99)]
    results.append(make_result(1.0, took_s=0.5))
    row = replays.measure_latencies(results)[-1]
    assert row.p50_ms == pytest.approx(1.0, rel=0.01)
    assert row.p999_ms == pytest.approx(500, rel=0.01)


GOAL = (replaying.Goal('orders', None, 1, 0.99),)
VERDICTS = {
    'met': (replaying.Bounds(0, 0), [make_history('a')], False),
    'doubled': (replaying.Bounds(0, None), [make_history('a', 'a')], True),
    'not measured': (replaying.Bounds(0, None), [], True),
    'crossed not measured': (replaying.Bounds(answers_crossed=0), [], True),
    'goal missed': (replaying.Bounds(goals=GOAL), [], True),
    'goal only reported': (replaying.Bounds(report=GOAL), [], False),
}


@pytest.mark.parametrize('row', VERDICTS)
def test_verdict(row):
    # Guards against exit code 0 for an outcome that was not measured.
    bounds, histories, failed = VERDICTS[row]
    found = replays.measure_replay(ORDER_RESULTS, histories, (), bounds)
    assert replays.has_failed(found) is failed


LINE = (
    '{"at_ms": %s, "organisation": "shop", "service": "catalogue", '
    '"method": "GET", "path": "/a", "deadline_ms": 100%s}\n'
)
# Each row guards against an invalid trace that is replayed.
BAD_TRACES = {
    'empty': ('', 'no calls'),
    'not JSON': ('{"at_ms": 1\n', 'line 1'),
    'blank line': (LINE % (1, '') + '\n', 'line 2'),
    'time as text': (LINE % ('"1"', ''), 'at_ms'),
    'not sorted': (LINE % (5, '') + LINE % (4, ''), 'line 2: at_ms 4'),
    'unknown field': (LINE % (1, ', "caller_key": "x"'), 'caller_key'),
    'body on GET': (LINE % (1, ', "bytes": 5'), 'no bytes'),
    'once as number': (LINE % (1, ', "once": 1'), 'once'),
    'key with a line break': (LINE % (1, ', "key": "a\\nb"'), 'key'),
    'negative time': (LINE % (-1, ''), 'at_ms'),
    'no keys for it': ((LINE % (1, '')).replace('shop', 'new'), 'new'),
}


@pytest.mark.parametrize('row', BAD_TRACES)
def test_bad_trace_is_one_line(row, tmp_path, capsys, monkeypatch):
    text, named = BAD_TRACES[row]
    path = tmp_path / 'trace.jsonl'
    path.write_text(text)
    monkeypatch.setenv('SESAMEJUNCTION_CALLER_KEYS', '{"shop": "k"}')
    with pytest.raises(SystemExit) as stopped:
        invocation.run_command(
            replay.replay, [str(path), '--nodes=127.0.0.1:1']
        )
    printed = capsys.readouterr().err
    assert stopped.value.code == 2
    assert len(printed.splitlines()) == 1 and named in printed


BAD_BOUNDS = ('outcomes: {orders: 0}', 'report: [{service: a}]', '{', '- 1')


@pytest.mark.parametrize('text', BAD_BOUNDS)
def test_bad_bounds_are_refused(text, tmp_path):
    # Guards against a misspelt outcome that is silently ignored.
    path = tmp_path / 'bounds.yaml'
    path.write_text(text)
    with pytest.raises(errors.TraceError):
        traces.read_bounds(str(path))


class StalledSender:
    """Fake sender that stalls the first call until the last one is sent."""

    def __init__(self, count):
        self.sent = []
        self._count = count
        self._last = asyncio.Event()

    async def send(self, call, address, idempotency_key):
        self.sent.append((call.at_ms, address, idempotency_key))
        if len(self.sent) == self._count:
            self._last.set()
        if call.at_ms == 0:
            await self._last.wait()
        return replaying.Reply(CallOutcome.ANSWERED, owner='owner:1')


@pytest.mark.parametrize(
    ('follow', 'nodes'),
    [(False, ['a:1', 'b:1', 'a:1']), (True, ['a:1', 'b:1', 'owner:1'])],
)
async def test_stalled_reply_delays_no_later_call(follow, nodes):
    # Guards against closed-loop timing, which hides the delay of calls that
    # follow a stalled one.
    now = 0.0

    async def sleep(seconds):
        # Lets calls that are already scheduled start before time advances.
        nonlocal now
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        now += seconds

    calls = [make_result(n, once=True).call for n in range(3)]
    sender = StalledSender(3)
    keys = iter('xyz')
    ports = commands.Ports(
        sender, lambda: now, sleep, lambda: next(keys), lambda _: None
    )
    addresses = commands.NodeSelector(('a:1', 'b:1'), follow)
    async with asyncio.timeout(5):
        results = await commands.Replay(ports, addresses).run(calls)
    assert [one.sent_s for one in results] == [0.0, 1.0, 2.0]
    assert results[0].latency_s == 2.0
    assert [one[1] for one in sender.sent] == nodes
    assert [one[2] for one in sender.sent] == list('xyz')


async def answer_raw(reader, writer, data):
    head = await reader.readuntil(b'\r\n\r\n')
    call_id = head.partition(b'Call-Id: ')[2].partition(b'\r\n')[0]
    writer.write(data.replace(b'SAME', call_id))
    await writer.drain()
    writer.close()


OK = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: close\r\n'
REFUSED = b'HTTP/1.1 %d X\r\nContent-Length: 21\r\nSJ-Outcome: %s\r\n\r\n%s'
RAW_ANSWERS = {
    'whole': (OK + b'SJ-Owner: a:1\r\n\r\n12345', CallOutcome.ANSWERED, ''),
    'own': (OK + b'Call-Id: SAME\r\n\r\n12345', CallOutcome.ANSWERED, ''),
    'crossed': (
        OK + b'Call-Id: b\r\n\r\n12345',
        CallOutcome.CROSSED,
        'crossed',
    ),
    'cut': (OK + b'\r\n123', CallOutcome.CUT, 'cut'),
    'lost': (b'', CallOutcome.LOST, 'connection-broken'),
    'over rate': (
        REFUSED % (429, b'not-run', b'{"code": "over-rate"}'),
        CallOutcome.REFUSED,
        'over-rate',
    ),
    'outcome unknown': (
        REFUSED % (502, b'unknown', b'{"code": "lost"}     '),
        CallOutcome.UNKNOWN,
        'lost',
    ),
    'fault without a statement': (
        OK.replace(b'200', b'500') + b'\r\n12345',
        CallOutcome.UNKNOWN,
        'status-500',
    ),
}


@pytest.mark.parametrize('row', RAW_ANSWERS)
async def test_reply_is_classified(row):
    # Guards against a truncated answer, or that of another call, that counts
    # as answered.
    data, fate, code = RAW_ANSWERS[row]
    server = await asyncio.start_server(
        lambda reader, writer: answer_raw(reader, writer, data), '127.0.0.1', 0
    )
    port = server.sockets[0].getsockname()[1]
    async with server, replayhttp.CallSender({'shop': 'k'}, 1.0) as sender:
        call = make_result(service='orders', method='POST', size=3).call
        reply = await sender.send(call, f'127.0.0.1:{port}', 'a')
    assert (reply.fate, reply.code) == (fate, code)
    assert reply.named is (b'Call-Id' in data)


def test_idempotency_key_is_a_uuid_of_version_7():
    key = uuid.UUID(replayhttp.make_idempotency_key())
    assert key.version == 7 and key.variant == uuid.RFC_4122
    assert abs((key.int >> 80) / 1000 - time.time()) < 5


DEMO = pathlib.Path(demo_traces.__file__).parent


@pytest.mark.parametrize('name', demo_traces.WORKLOADS)
def test_committed_trace_fits_generator_and_declarations(name):
    # Guards against traces with names, rates or keys that are not declared.
    workload = demo_traces.WORKLOADS[name]
    path = demo_traces.TRACE_DIRECTORY / f'{name}.jsonl.gz'
    text = demo_traces.format_trace(demo_traces.build_trace(workload))
    assert gzip.decompress(path.read_bytes()).decode() == text
    calls = traces.read_trace(str(path))
    declared = declarations.read_declarations(
        str(DEMO / 'declarations' / name)
    )
    services = {one.name: one for one in declared.services}
    traces.check_declared_names(
        calls, {one.name for one in declared.organisations}, services
    )
    assert {one.name: one.rate for one in workload.senders} == {
        one.name: one.rate for one in declared.organisations
    }
    granted = {
        one.organisation: (one.digest, one.services)
        for one in declared.caller_keys
    }
    for call in calls:
        digest, allowed = granted[call.organisation]
        key = f'demo-key-{call.organisation}'
        assert hashlib.sha256(key.encode()).hexdigest() == digest
        assert not allowed or call.service in allowed
        service = services[call.service]
        by_key = service.routing is state.Routing.KEY
        assert by_key == (call.key is not None)
        repeatable = routes.is_repeatable(service, call.method, call.path)
        assert by_key or call.once != repeatable
    bounds = traces.read_bounds(
        str(demo_traces.TRACE_DIRECTORY / f'{name}.bounds.yaml')
    )
    assert bounds.orders_run_twice == bounds.answers_lost_or_cut == 0
    assert bounds.answers_crossed == 0


async def test_tool_replays_and_judges(tmp_path, monkeypatch, capsys):
    # Guards against exit code 0 after an order ran twice, and a leaked key.
    seen = []

    async def answer(reader, writer):
        head = (await reader.readuntil(b'\r\n\r\n')).decode()
        seen.append(head)
        body = b'12345'
        if '/-/history' in head:
            run = {
                'idempotency_key': find_idempotency_key(seen[0]),
                'organisation': 'shop',
            }
            body = (json.dumps(run | {'start': 1.0}) + '\n').encode() * 2
        writer.write(OK.replace(b'5', b'%d' % len(body)) + b'\r\n' + body)
        await writer.drain()
        writer.close()

    trace = tmp_path / 'trace.jsonl'
    line = (LINE % (1, ', "once": true')).replace('"GET"', '"POST"')
    trace.write_text(line)
    bounds = tmp_path / 'bounds.yaml'
    bounds.write_text('outcomes: {orders_run_twice: 0}')
    monkeypatch.setenv('SESAMEJUNCTION_CALLER_KEYS', '{"shop": "secret-k"}')
    server = await asyncio.start_server(answer, '127.0.0.1', 0)
    address = '127.0.0.1:%d' % server.sockets[0].getsockname()[1]
    flags = [str(trace), f'--nodes={address}', f'--bounds={bounds}']
    flags += [f'--histories=catalogue=http://{address}', '--output=json']
    async with server:
        with pytest.raises(SystemExit) as stopped:
            await asyncio.to_thread(
                invocation.run_command, replay.replay, flags
            )
    printed = capsys.readouterr()
    found = json.loads(printed.out)
    assert stopped.value.code == 1
    assert found['orders_run_twice'] == 1 and found['calls'] == 1
    assert 'authorization: bearer secret-k' in seen[0].lower()
    assert 'secret-k' not in printed.out + printed.err


def find_idempotency_key(head):
    found = re.search(r'idempotency-key: (\S+)', head, re.IGNORECASE)
    return found[1]
