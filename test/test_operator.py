"""Tests operator endpoints, state dump, metrics, logging and stops."""

import ast
import asyncio
import contextlib
import dataclasses
import hashlib
import json
import pathlib
import socket
from unittest import mock

import aiohttp
import pytest
import sanic
from sanic import response

from sesamejunction.border import callermiddleware
from sesamejunction.border import dispatch
from sesamejunction.border import listeners
from sesamejunction.border import logs
from sesamejunction.border import settings
from sesamejunction.model import journaling
from sesamejunction.model import measuring
from sesamejunction.model import operating
from sesamejunction.model import state
from sesamejunction.queries import dumps
from sesamejunction.tasks import actor
from sesamejunction.tasks import meter as meters
from sesamejunction.ui import node
from sesamejunction.ui import wiring
from standins import log as standin
from test import fakes

HOST = '127.0.0.1'
OPERATOR_KEY = 'operator-key-of-the-test'
SECRET = 'fleet-secret-of-the-test'
CALLER_DIGEST = hashlib.sha256(b'caller-key').hexdigest()
CALLER = {'Authorization': 'Bearer caller-key'}
ROOT = pathlib.Path(__file__).parent.parent


def find_free_ports(count):
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in sockets:
            sock.bind((HOST, 0))
        return [sock.getsockname()[1] for sock in sockets]


@contextlib.asynccontextmanager
async def run_one_node():
    """Run a node with a log; yields its settings and the running task."""
    log_port, caller, peer, operator = find_free_ports(4)
    checked = settings.NodeSettings(
        name='s-0',
        zone='a',
        host=HOST,
        caller_port=caller,
        peer_port=peer,
        operator_port=operator,
        log_url=f'http://{HOST}:{log_port}',
        fleet_secret=SECRET,
        operator_key_sha256=hashlib.sha256(OPERATOR_KEY.encode()).hexdigest(),
        stop_limit_s=5,
    )
    app = standin.build_app(standin.InMemoryLog(60.0))
    async with listeners.Listener(app, HOST, log_port):
        running = asyncio.create_task(node.run_node(checked))
        try:
            await fakes.wait_until(lambda: can_connect(operator), 10.0)
            yield checked, running
        finally:
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)


def can_connect(port):
    with contextlib.closing(socket.socket()) as sock:
        return sock.connect_ex((HOST, port)) == 0


async def call(checked, method, path, key=OPERATOR_KEY, **options):
    url = f'http://{HOST}:{checked.operator_port}{path}'
    headers = {'Authorization': f'Bearer {key}'} if key else {}
    async with aiohttp.ClientSession(headers=headers) as session:
        async with session.request(method, url, **options) as reply:
            return reply.status, await reply.read()


ANNOUNCEMENT = {'service': 's', 'zone': 'a', 'slots': 3, 'port': 1}


async def test_operator_endpoints():
    # Guards against an endpoint that answers without the operator key, and
    # against keys and secrets in a dump.
    async with run_one_node() as (checked, running):
        for method, path in (
            ('GET', '/status'),
            ('GET', '/dump'),
            ('GET', '/metrics'),
            ('GET', '/nothing'),
            ('POST', '/drain'),
        ):
            for key in (None, '', 'wrong', OPERATOR_KEY[:-1], SECRET):
                assert (await call(checked, method, path, key))[0] == 401
        announced = await call(checked, 'POST', '/announce', json=ANNOUNCEMENT)
        assert announced[0] == 204
        bad = {**ANNOUNCEMENT, 'slots': 0}
        assert (await call(checked, 'POST', '/announce', json=bad))[0] == 400
        _, dump = await call(checked, 'GET', '/dump')
        tasks = {
            task_dump['task']: task_dump
            for task_dump in json.loads(dump)['tasks']
        }
        assert {'journal', 'gate', 'membership', 'meter'} <= set(tasks)
        assert not [
            task_dump for task_dump in tasks.values() if task_dump['error']
        ]
        for secret_text in (SECRET, checked.operator_key_sha256):
            assert secret_text not in dump.decode()
        _, text = await call(checked, 'GET', '/metrics')
        assert b'sesamejunction_dropped_messages_total{task="gate"} 0' in text
        assert (await call(checked, 'POST', '/drain'))[0] == 202
        async with asyncio.timeout(10):
            await running
        assert not can_connect(checked.caller_port)


async def test_announcement_from_another_address():
    # Guards against announcements that another instance forges.
    async with run_one_node() as (checked, _):
        connector = aiohttp.TCPConnector(local_addr=('127.0.0.2', 0))
        async with aiohttp.ClientSession(connector=connector) as session:
            url = f'http://{HOST}:{checked.operator_port}/announce'
            async with session.post(url, json=ANNOUNCEMENT) as reply:
                assert reply.status == 403


async def test_port_in_use_fails_the_start():
    # Guards against a node that keeps running with only some listeners.
    async with run_one_node() as (checked, _):
        with pytest.raises((OSError, ExceptionGroup)):
            await node.run_node(checked)


class Stub(actor.Actor):
    """A task with a state, or one that hangs."""

    name = 'stub'

    def __init__(self, hangs=False):
        super().__init__()
        self._hangs = hangs

    async def handle(self, message):
        if self._hangs:
            await asyncio.Event().wait()

    def dump(self):
        return operating.SlotCount('s', 1, 2, 3)


async def test_dump_of_a_hanging_task(monkeypatch):
    # Guards against a dump in which one hanging task hides all others.
    monkeypatch.setattr(dumps, 'REPLY_TIMEOUT_S', 0.05)
    stubs = (Stub(), Stub(hangs=True))
    async with fakes.run_actors(*stubs):
        stubs[1].tell('hang')
        fine, hanging = await dumps.dump_tasks(stubs)
    assert (fine.detail, fine.error) == (stubs[0].dump(), '')
    assert 'no reply' in hanging.error


def test_state_summary_hides_digests():
    current = state.State(
        caller_keys={CALLER_DIGEST: state.CallerKey(CALLER_DIGEST, 'o')}
    )
    summary = dumps.summarise_state(current, float('inf'))
    assert CALLER_DIGEST not in repr(summary)


OWN = state.Member(1, 'n', 'z', 'h', 1, 2, 3, 's', 3, 1, True)


def make_state(incarnation):
    """Return a state in which the incarnation serves ``s`` by load."""
    member = dataclasses.replace(OWN, incarnation=incarnation)
    return state.State(
        members={incarnation: member},
        services={'s': state.Service('s', state.Routing.LOAD, 1)},
        organisations={'o': state.Organisation('o', 9.0, 9.0)},
        caller_keys={CALLER_DIGEST: state.CallerKey(CALLER_DIGEST, 'o')},
    )


# Guards against a closed caller port between two incarnations, and against
# requests that are aborted then: why an incarnation ends, whether a planned
# stop follows, and whether the node keeps running.
@pytest.mark.parametrize(
    ('reason', 'drained', 'runs_on'),
    [
        (operating.StopReason.LEASE_LOST, False, True),
        (operating.StopReason.LEASE_LOST, True, False),
        (operating.StopReason.TARGET_LOST, False, True),
        (operating.StopReason.TARGET_LOST, True, False),
    ],
)
async def test_listeners_stay_open_between_incarnations(
    monkeypatch, reason, drained, runs_on
):
    built = []

    class Components(wiring.Components):
        def __init__(self, checked, incarnation, stack, stop):
            super().__init__(checked, incarnation, stack, stop)
            built.append((incarnation, self, stop))

    monkeypatch.setattr(wiring, 'Components', Components)
    async with run_one_node() as (checked, running):
        url = f'http://{HOST}:{checked.caller_port}/s/a'
        incarnation, components, stop = built[0]
        components.build_request_ports().states.publish(
            journaling.StateChanged(make_state(incarnation))
        )
        reader, writer = await asyncio.open_connection(
            HOST, checked.caller_port
        )
        # A running request, whose body has not arrived completely.
        writer.write(
            b'GET /s/a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n'
            b'Authorization: Bearer caller-key\r\n\r\nab'
        )
        await asyncio.sleep(0.1)
        stop.request(reason)
        await asyncio.sleep(0.2)
        async with aiohttp.ClientSession(headers=CALLER) as session:
            for _ in range(8):
                async with session.get(url) as reply:
                    observed = reply.status, reply.headers['Retry-After']
                    assert observed == (503, '1')
                    assert (await reply.json())['code'] == 'no-lease'
                assert can_connect(checked.operator_port)
                await asyncio.sleep(0.05)
        if drained:
            await call(checked, 'POST', '/drain')
        writer.write(b'cd')
        assert b'no-lease' in await reader.readuntil(b'}')
        writer.close()
        if not runs_on:
            async with asyncio.timeout(10):
                await running
            assert not can_connect(checked.caller_port)
            return
        await fakes.wait_until(lambda: len(built) == 2, 10.0)
        await asyncio.sleep(0.1)
        observed, body = await call(checked, 'GET', '/status')
        assert observed == 200
        assert json.loads(body)['incarnation'] == built[1][0] != incarnation


def build_slow_app(waits):
    app = sanic.Sanic('slow', configure_logging=False)
    app.config.TOUCHUP = False

    @app.get('/<seconds:str>')
    async def answer(_request, seconds):
        waits.append(seconds)
        await asyncio.sleep(float(seconds))
        return response.text('whole')

    return app


# Duration of a request, time limit of the stop, aborted connections.
@pytest.mark.parametrize(
    ('duration_s', 'limit', 'aborted'), [('0.5', 5.0, 0), ('5', 0.4, 1)]
)
async def test_listener_finishes_requests(duration_s, limit, aborted):
    waits = []
    app = build_slow_app(waits)
    meter = fakes.FakeTask()
    middleware = callermiddleware.CallerMiddleware(
        meter, asyncio.get_running_loop().time
    )
    middleware.attach(app)
    port = find_free_ports(1)[0]
    async with (
        listeners.Listener(app, HOST, port) as listener,
        aiohttp.ClientSession() as session,
    ):
        async with session.get(f'http://{HOST}:{port}/0') as reply:
            assert reply.headers['connection'] == 'keep-alive'
        running = asyncio.create_task(
            session.get(f'http://{HOST}:{port}/{duration_s}')
        )
        await fakes.wait_until(lambda: duration_s in waits, 10.0)
        middleware.stopping = True
        assert await listener.shut_down(limit) == aborted
        if aborted:
            with pytest.raises(aiohttp.ClientError):
                await running
        else:
            reply = await running
            assert reply.headers['connection'] == 'close'
            assert await reply.text() == 'whole'
            middleware.flush()
            tally = meter.messages[-1].tallies[-1]
            assert tally.service == duration_s
            assert tally.sum_s >= float(duration_s)


# Guards against requests that an ending incarnation aborts before the time
# limit or runs beyond it: duration of a request, limit, requests aborted.
@pytest.mark.parametrize(
    ('duration_s', 'limit', 'aborted'),
    [(0.2, 5.0, 0), (5.0, 0.1, 1), (5.0, 0.0, 1)],
)
async def test_ended_incarnation_finishes_requests(duration_s, limit, aborted):
    dispatcher = dispatch.Dispatcher()
    request = mock.Mock()

    async def handle(context, _request):
        await asyncio.sleep(duration_s if context else 0)
        return context

    async with dispatch.ActiveRequests(dispatcher, 'first') as calls:
        running = asyncio.create_task(dispatcher.run(handle, request))
        request.transport.abort = running.cancel
        await asyncio.sleep(0)
        assert await calls.finish_requests(limit) == aborted
        assert running.done()
        assert running.cancelled() == bool(aborted)
        assert await dispatcher.run(handle, request) is None


async def test_requests_are_measured():
    # Guards against latencies in the wrong bucket, counts lost between
    # messages, and label values that callers make up.
    task = meters.Meter()
    await task.handle(
        journaling.StateChanged(state.State(services={'s': None}))
    )
    fake_meter = fakes.FakeTask()
    middleware = callermiddleware.CallerMiddleware(fake_meter, None)
    for service, outcome, latency_s in (
        ('s', 'answered', 0.012),
        ('s', 'answered', 0.0121),
        ('s', 'not-run', 9.0),
        ('made-up', 'not-run', 0.0),
    ):
        middleware.count_request(service, 'entry', outcome, latency_s)
        middleware.flush()
        await task.handle(fake_meter.messages[-1])
    status = operating.NodeStatus(1, '', '', 7, 0, '', 0, True, False, 1.5)
    rendered = await task.handle(
        measuring.GetMetrics(measuring.MetricsSample(status, ()))
    )
    values = dict(
        line.rsplit(' ', 1)
        for line in rendered.data.decode().splitlines()
        if not line.startswith('#')
    )
    for name, expected in (
        ('requests_total{hop="entry",outcome="answered",service="s"}', 2),
        (
            'requests_total{hop="entry",outcome="not-run",service="_unknown"}',
            1,
        ),
        ('request_seconds_bucket{hop="entry",le="0.012",service="s"}', 1),
        ('request_seconds_bucket{hop="entry",le="0.025",service="s"}', 2),
        ('request_seconds_bucket{hop="entry",le="+Inf",service="s"}', 3),
        ('request_seconds_count{hop="entry",service="s"}', 3),
        ('log_offset', 7),
        ('log_contact_age_seconds', 1.5),
        ('lease_lost_total', 0),
    ):
        assert float(values[f'sesamejunction_{name}']) == expected, name


def test_log_prefixes():
    # Guards against log lines without the prefix of their component.
    for path in (ROOT / 'sesamejunction').rglob('*.py'):
        for syntax_node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(syntax_node, ast.Call):
                continue
            if getattr(syntax_node.func, 'attr', '') != 'log_message':
                continue
            text = syntax_node.args[0].value
            assert text.startswith(logs.PREFIXES), f'{path}: {text}'
