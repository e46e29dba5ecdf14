"""Withdrawn keys at isolated nodes, racing tickets and forged input."""

import asyncio
import contextlib
import dataclasses
import os
import sys
import time

import aiohttp
from grpc import aio
import pytest
import pytest_asyncio
import yaml

from demo import fleet
from sesamejunction.border import packets
from sesamejunction.border import peertags
from sesamejunction.border.proto import peers_pb2
from sesamejunction.border.proto import peers_pb2_grpc
from sesamejunction.model import messages
from sesamejunction.model import records
from sesamejunction.model import state
from test.process import harness
from test.process import load
from test.process import relay

pytestmark = [
    pytest.mark.process,
    pytest.mark.asyncio(loop_scope='module'),
]
# Each configuration is in force everywhere within this (two-year target).
CONFIG_LIMIT_S = 5.0
# An isolated node stops within this time, since its keys are served anew.
CUT_OFF_LIMIT_S = 1.0
RATE = 40.0
CUT_OFF_NODE = 'catalogue-0'
KEYS = ('key-log-cut', 'key-all-cut')
OTHER_ORGANISATION = 'papel'
SERVICES = (
    state.Service('catalogue', state.Routing.KEY, 32),
    state.Service('orders', state.Routing.LOAD, 32),
)
LAYOUT = (('catalogue', 3), ('orders', 2))
REFUSED_STATUS = 'UNAUTHENTICATED'


def make_declaration():
    first = harness.make_declaration(*SERVICES, keys=KEYS)
    digest = harness.make_digest(f'key-{OTHER_ORGANISATION}')
    return dataclasses.replace(
        first,
        organisations=(
            *first.organisations,
            state.Organisation(OTHER_ORGANISATION, 1000.0, 1000.0),
        ),
        caller_keys=(
            *first.caller_keys,
            state.CallerKey(digest, OTHER_ORGANISATION),
        ),
    )


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def running():
    async with harness.start_fleet(
        LAYOUT,
        make_declaration(),
        cold_slots=12,
        relayed=True,
        log_relayed=(CUT_OFF_NODE,),
    ) as made:
        yield made


def write_declarations(folder, weight):
    """Write the declarations in force, with another weight."""
    declared = make_declaration()
    organisations = [
        {
            'name': one.name,
            'rate': one.rate,
            'burst': one.burst,
            'weight': weight,
            'caller_keys': [
                {'name': f'key-{number}', 'sha256': key.digest}
                for number, key in enumerate(declared.caller_keys)
                if key.organisation == one.name
            ],
        }
        for one in declared.organisations
    ]
    services = [
        {
            'name': one.name,
            'routing': one.routing.value,
            'slot_count': one.slot_count,
        }
        for one in SERVICES
    ]
    files = {
        'organisations': {'organisations': organisations},
        'services': {'services': services},
        'standing': {'zones': dict.fromkeys(harness.ZONES, 'in')},
        'fleet': {'max_nodes': 8},
    }
    folder.mkdir()
    for name, body in files.items():
        (folder / f'{name}.yaml').write_text(yaml.safe_dump(body))
    return folder


async def run_ctl(running, *arguments):
    """Return the exit code and the output of the operator's tool."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'sesamejunction.ui.ctl',
        *map(str, arguments),
        f'--log-url={running.fleet.log_url}',
        '--author=test',
        env=os.environ | {'SESAMEJUNCTION_OPERATOR_KEY': fleet.OPERATOR_KEY},
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    try:
        async with asyncio.timeout(20.0):
            output, _ = await process.communicate()
    finally:
        if process.returncode is None:
            process.kill()
    return process.returncode, output.decode()


async def read_last_ticket(running):
    return (await running.read_status('orders-0'))['last_ticket']


async def test_tickets_race_repeat_and_lose_replies(running, tmp_path):
    # Guards against two racing tickets that are both reported as accepted, a
    # repeated ticket that is applied twice, an older one that reverts the
    # configuration, and a lost reply that is reported as a failure (H12).
    first, second = (
        write_declarations(tmp_path / str(weight), float(weight))
        for weight in (2, 3)
    )
    number = await read_last_ticket(running) + 1
    raced = await asyncio.gather(
        *(
            run_ctl(running, 'apply', one, f'--number={number}')
            for one in (first, second)
        )
    )
    print('race', raced)
    codes = [code for code, _ in raced]
    assert sorted(code == 0 for code in codes) == [False, True]
    winner, loser = (first, second)[:: 1 if codes[0] == 0 else -1]
    lost = raced[codes.index(0) - 1][1]
    assert 'accepted with other content' in lost
    assert 'nothing changed' in lost
    assert await read_last_ticket(running) == number
    cases = (
        (winner, number, True, 'already in force'),
        (loser, number, False, 'nothing changed'),
        (loser, number - 1, False, 'nothing changed'),
    )
    for folder, given, good, part in cases:
        code, output = await run_ctl(
            running, 'apply', folder, f'--number={given}'
        )
        print(given, code, output)
        assert ((code == 0), part in output) == (good, True)
        assert await read_last_ticket(running) == number
    await running.set_log_fault(lose_replies=1)
    code, output = await run_ctl(running, 'apply', loser)
    print('lost reply', code, output)
    assert (code, f'ticket {number + 1}: accepted' in output) == (0, True)
    assert await read_last_ticket(running) == number + 1


async def test_forged_and_replayed_datagrams(running):
    # Guards against an attacker who ends a lease, moves a slot or takes tokens
    # by forged datagrams, and against replayed datagrams.
    victim = 'orders-0'
    before = await running.read_status(victim)
    own = before['incarnation']
    other = (await running.read_status('orders-1'))['incarnation']
    forger = packets.PacketCodec(b'another-secret-0001', other)
    sent = {
        'replayed': list(running.relays[victim].peer_udp.forwarded),
        'meant for another': list(
            running.relays['orders-1'].peer_udp.forwarded
        ),
        'forged': [
            forger.encode(own, one)
            for one in (
                messages.EndDeclaration(other, own, 1),
                messages.WitnessRelease(other, own, 1),
                messages.ShareRequest(
                    other,
                    1,
                    0,
                    (messages.ShareWant(OTHER_ORGANISATION, 0.0, 900.0),),
                ),
            )
        ],
        'noise': [b'', b'x', bytes(29), bytes(60), b'\xff' * 1400],
    }
    await asyncio.sleep(0.1)
    start = await read_task(running, victim, 'datagrams')
    address = (fleet.HOST, running.instances[victim].peer_port)
    count = 0
    with contextlib.closing(relay.open_datagrams((fleet.HOST, 0))) as socket:
        for title, data in sent.items():
            assert data, title
            for one in data:
                socket.sendto(one, address)
                count += 1
                await asyncio.sleep(0.001)
    await asyncio.sleep(1.0)
    end = await read_task(running, victim, 'datagrams')
    print('rejected', end['rejected'] - start['rejected'], 'of', count)
    assert end['rejected'] - start['rejected'] == count
    assert (await running.read_status(victim))['incarnation'] == own
    await check_service(running)


async def read_task(running, name, task):
    status, body = await call_operator(running, name, 'GET', '/dump')
    assert status == 200
    return {one['task']: one['detail'] for one in body['tasks']}[task]


async def call_operator(running, name, method, path, key=None, source=None):
    port = running.instances[name].operator_port
    connector = aiohttp.TCPConnector(
        local_addr=(source, 0) if source else None
    )
    headers = harness.OPERATOR if key is None else {'Authorization': key}
    async with (
        aiohttp.ClientSession(connector=connector) as session,
        session.request(
            method,
            f'http://{fleet.HOST}:{port}{path}',
            headers=headers,
            data=b'{}' if method == 'POST' else None,
        ) as reply,
    ):
        is_json = 'json' in reply.content_type
        return reply.status, await (reply.json() if is_json else reply.text())


async def check_service(running):
    """Check that requests are answered at every node."""

    def make(number):
        return running.make_call(number, SERVICES[number // 5 % 2].name)

    async with load.Load(RATE, make) as sent:
        await asyncio.sleep(0.5)
    assert set(load.count_outcomes(sent.results)) == {(200, None, '')}


# Guards against peer calls without the fleet's secret, and against a recorded
# call that is accepted for another node, method, body or time.
@pytest.mark.parametrize(
    'case', ['untagged', 'other secret', 'other node', 'method', 'body', 'old']
)
async def test_forged_peer_calls(running, case):
    own = (await running.read_status('orders-0'))['incarnation']
    other = (await running.read_status('orders-1'))['incarnation']
    secret = fleet.SECRET.encode()
    if case == 'other secret':
        secret = b'another-secret-0001'
    ago = 60.0 if case == 'old' else 0.0
    credentials = peertags.Credentials(
        secret, other, lambda: time.time() - ago
    )
    calls = {
        'FetchRecords': peers_pb2.RecordsRequest(offset=0, limit=10),
        'ReleaseSlots': peers_pb2.ReleaseRequest(claimant=other),
        'TakeReleases': peers_pb2.ReleaseReply(
            given=[
                peers_pb2.SlotRelease(
                    service='orders', slot=0, epoch=1, member=own
                )
            ]
        ),
    }
    port = running.instances['orders-0'].peer_port
    async with aio.insecure_channel(f'{fleet.HOST}:{port}') as channel:
        stub = peers_pb2_grpc.PeersStub(channel)
        for method, request in calls.items():
            body = request.SerializeToString(deterministic=True)
            metadata = peertags.sign_call(
                credentials,
                other if case == 'other node' else own,
                'FetchSnapshot' if case == 'method' else method,
                body + b'x' if case == 'body' else body,
            )
            with pytest.raises(aio.AioRpcError) as refused:
                await getattr(stub, method)(
                    request,
                    metadata=() if case == 'untagged' else metadata,
                    timeout=2.0,
                )
            assert refused.value.code().name == REFUSED_STATUS, method


# Guards against operator endpoints that work without the operator key.
@pytest.mark.parametrize('path', ['/status', '/dump', '/metrics', '/drain'])
@pytest.mark.parametrize(
    'key',
    ['', 'Bearer', f'Bearer {harness.CALLER_KEY}', f'Basic {"x" * 5000}'],
    ids=['none', 'empty', 'caller', 'long'],
)
async def test_operator_key_is_needed(running, path, key):
    method = 'POST' if path == '/drain' else 'GET'
    status, _ = await call_operator(running, 'orders-0', method, path, key)
    assert status == 401
    assert not (await running.read_status('orders-0'))['stopping']


async def test_announcement_of_a_stranger(running):
    # Guards against an attacker who announces a target at another address.
    status, _ = await call_operator(
        running, 'orders-0', 'POST', '/announce', source='127.0.0.2'
    )
    assert status == 403
    await check_service(running)


async def test_idempotency_key_of_another_organisation(running):
    # Guards against an answer that is kept for one organisation and returned
    # to another with the same idempotency key (H5, H7).
    call = running.make_call(0, 'orders', once=True)
    found = []
    async with aiohttp.ClientSession() as session:
        for key in (
            harness.CALLER_KEY,
            f'key-{OTHER_ORGANISATION}',
            harness.CALLER_KEY,
        ):
            headers = dict(call.headers) | {'Authorization': f'Bearer {key}'}
            async with session.post(
                call.base + call.path, headers=headers, data=call.body
            ) as reply:
                found.append((reply.status, await reply.json()))
    print(found)
    assert [status for status, _ in found] == [200] * 3
    assert found[1][1]['organisation'] == OTHER_ORGANISATION
    assert found[2][1] == found[0][1]
    idempotency_key = dict(call.headers)['Idempotency-Key']
    ran = [
        one.organisation
        for one in await running.read_history()
        if one.idempotency_key == idempotency_key
    ]
    assert sorted(ran) == ['embalagens', OTHER_ORGANISATION]


# Guards against a withdrawn key that still works at a node without access to
# the log (H5, H12), and against an isolated node that still serves (H1).
@pytest.mark.parametrize('is_alone', [False, True], ids=['log', 'all'])
async def test_key_withdrawn_while_a_node_is_cut_off(running, is_alone):
    key = KEYS[is_alone]
    removal = records.Removal('caller_key', harness.make_digest(key))
    number = await read_last_ticket(running) + 1
    ticket = records.TicketApplied(
        number, f'withdraw {key}', 'test', removals=(removal,)
    )

    def make(count):
        service = SERVICES[count % 2].name
        return running.make_call(count, service, key=key, nodes=[CUT_OFF_NODE])

    async with load.Load(RATE, make) as sent:
        await asyncio.sleep(0.7)
        running.log_relays[CUT_OFF_NODE].switch.set(relay.Mode.DROP)
        if is_alone:
            harness.isolate(running.relays, CUT_OFF_NODE)
        cut = load.read_clock()
        await running.apply(ticket)
        accepted = load.read_clock()
        await asyncio.sleep(CONFIG_LIMIT_S + 0.5)
    before = [one for one in sent.results if one.at + 0.5 < cut]
    worked = [one.at for one in sent.results if one.answered]
    late = [one for one in sent.results if one.at > accepted + CONFIG_LIMIT_S]
    print('last accepted', max(worked) - accepted, 's after the ticket,')
    print(max(worked) - cut, 's after the cut', load.count_outcomes(late))
    assert before and all(one.answered for one in before)
    assert late
    assert max(worked) - accepted < CONFIG_LIMIT_S
    if is_alone:
        runs = [
            one.start
            for one in await running.read_history()
            if one.target == CUT_OFF_NODE
        ]
        print('last run at its target', max(runs) - cut, 's after the cut')
        assert max(worked) - cut < CUT_OFF_LIMIT_S
        assert max(runs) - cut < CUT_OFF_LIMIT_S
    assert all(one.not_run or one.status == 401 for one in late)
    running.log_relays[CUT_OFF_NODE].switch.set(relay.Mode.PASS)
    assert await running.find_violations() == []
