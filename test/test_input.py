"""Tests input of callers and peers that is refused or not forwarded."""

import asyncio
import dataclasses
import json

import aiohttp
import pytest

from sesamejunction.border import forwardhttp
from sesamejunction.model import requests
from test import loopback

OLD_UUID = '0b2b8a4c-9f0e-4a53-8c55-0123456789ab'
FORGED = {'SJ-Peer-Tag': 'a' * 32, 'SJ-Peer-Time': '1'}
LARGE = {'X-Big': 'a' * 8000, 'X-More': 'b' * 8000}
TWICE = [*loopback.KEYED.items(), ('SJ-Key', 'b')]
ONCE = {'method': 'POST', 'headers': 'once'}


def keyed(headers, **options):
    """Return the options of a keyed call with additional header fields."""
    return {'headers': loopback.KEYED | headers} | options


# Guards against input that the router cannot handle, and against callers that
# reach what is not open to them: path, options, status, code.
BAD_INPUT = {
    'no key': ('ok', {'headers': {'SJ-Key': 'a'}}, 401, 'key-unknown'),
    'other key': (
        *('ok', keyed({'Authorization': 'Bearer no'}), 401, 'key-unknown'),
    ),
    'no routing key': (
        *('ok', {'headers': loopback.AUTH}, 400, 'route-key-missing'),
    ),
    'deadline of 0': (
        *('ok', keyed({'SJ-Deadline-Ms': '0'}), 400, 'request-bad'),
    ),
    'deadline over an hour': (
        *('ok', keyed({'SJ-Deadline-Ms': '3600001'}), 400, 'request-bad'),
    ),
    'old kind of idempotency key': (
        *('ok', keyed({'Idempotency-Key': OLD_UUID}, method='POST'), 400),
        'idempotency-key-bad',
    ),
    'no idempotency key': ('ok', {'method': 'POST'}, 400, None),
    'forged peer': ('ok', keyed(FORGED), 403, 'peer-forged'),
    'header too large': ('ok', keyed(LARGE), 413, 'request-bad'),
    'body too large': (
        *('ok', ONCE | {'data': b'a' * 300_000}, 400, 'request-bad'),
    ),
    'command of the target': ('-/drain', {}, 400, 'request-bad'),
    'hidden command': ('a/%2e%2e/%2D/drain', {}, 400, 'request-bad'),
    'routing key twice': ('ok', {'headers': TWICE}, 400, 'request-bad'),
}


@pytest.mark.parametrize('case', BAD_INPUT)
async def test_bad_input_is_refused(case):
    path, options, status, code = BAD_INPUT[case]
    if options.get('headers') == 'once':
        options = options | {'headers': loopback.build_once_headers()}
    async with loopback.run_nodes(1, max_body=200_000) as nodes:
        outcome = await loopback.call(nodes[0], path, **options)
        assert outcome[:2] == (status, 'not-run')
        assert code in (None, json.loads(outcome[2])['code'])
        assert not nodes[0].target.seen


RAW = (
    'POST /s/ok HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {key}\r\n'
    'SJ-Key: a\r\nIdempotency-Key: {once}\r\n{more}'
)


# Guards against request smuggling and against hanging on an invalid length:
# last header lines and body, and status of the reply.
@pytest.mark.parametrize(
    ('more', 'status'),
    [
        ('Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello', '400'),
        ('Content-Length: -5\r\n\r\n', '400'),
        ('Content-Length: x\r\n\r\n', '400'),
        (
            'Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
            '400',
        ),
        ('Transfer-Encoding: chunked\r\n\r\nzz\r\n', '400'),
        ('Content-Length: 50\r\n\r\nstalls', '400'),
    ],
)
async def test_bad_length(more, status):
    async with loopback.run_nodes(1) as nodes:
        reader, writer = await asyncio.open_connection(
            loopback.HOST, nodes[0].member.caller_port
        )
        writer.write(
            RAW.format(
                key=loopback.KEY, once=loopback.make_uuid7(), more=more
            ).encode()
        )
        line = await asyncio.wait_for(reader.readline(), 3)
        writer.close()
        assert line.split()[1].decode() == status
        assert not nodes[0].target.seen


async def test_caller_key_never_reaches_the_target():
    # Guards against a caller key forwarded in another header field (H5), and
    # against a caller that sets the router's own fields.
    headers = loopback.KEYED | {
        'X-Token': f'x {loopback.KEY}',
        'SJ-Organisation': 'rui',
        'SJ-Token': '9.0',
        'X-Drop': 'a',
        'Connection': 'keep-alive, x-drop',
        'X-Keep': 'kept',
    }
    async with loopback.run_nodes() as nodes:
        await loopback.call(nodes[1], 'ok?q=a%2Fb&c', headers=headers)
        seen = nodes[0].target.seen[0]
        assert loopback.KEY not in str(seen.headers)
        assert seen.headers['sj-organisation'] == 'ana'
        assert seen.headers['sj-token'] == '1.0'
        assert seen.headers['x-keep'] == 'kept'
        assert 'x-drop' not in seen.headers
        assert seen.path == '/ok?q=a%2Fb&c'


async def test_withdrawn_key_is_refused_on_an_open_connection():
    # Guards against a caller whose requests still succeed after its key was
    # withdrawn (H5).
    async with (
        loopback.run_nodes(1) as nodes,
        aiohttp.ClientSession(headers=loopback.KEYED) as session,
    ):
        statuses = []
        for keys in (None, {}):
            if keys is not None:
                loopback.publish(
                    nodes[0],
                    dataclasses.replace(
                        nodes[0].states.current, caller_keys=keys
                    ),
                )
            async with session.get(f'{nodes[0].url}/s/ok') as reply:
                statuses.append(reply.status)
        assert statuses == [200, 401]


HEAD = requests.Head(
    *('id.1', 's', 'GET', '/a', 'k', None, 'ana', 0.0, True),
)


# Guards against forged and replayed forwarded requests: changed fields of the
# head, seconds since it was sent, whether it is accepted.
@pytest.mark.parametrize(
    ('changes', 'age', 'accepted'),
    [
        ({}, 0.1, True),
        ({}, 2.4, True),
        ({}, 2.6, False),
        ({}, -0.6, False),
        ({'organisation': 'rui'}, 0.1, False),
        ({'path': '/b'}, 0.1, False),
        ({'service': 's/', 'path': 'a'}, 0.1, False),
        ({'request_id': 'id.2'}, 0.1, False),
    ],
)
def test_peer_tag(changes, age, accepted):
    tag = forwardhttp.sign_head(loopback.SECRET, HEAD, '2000', '1000000')
    head = dataclasses.replace(HEAD, **changes)
    is_valid = forwardhttp.verify_tag(
        loopback.SECRET, head, '2000', '1000000', tag, 1000 + age
    )
    assert is_valid is accepted
