"""End-to-end routing over loopback with real servers and clients."""

import asyncio
import contextlib
import resource

import aiohttp
import pytest

from sesamejunction.border import httpclient
from sesamejunction.model import state
from test import loopback

SHORT_DEADLINE = {'SJ-Deadline-Ms': '300'}

# Guards against answers of other requests, truncated answers and wrong
# outcomes (H7, H8, H9). Columns: method, behaviour of the target, extra
# headers, (status, outcome) or 'cut', number of requests at the target. Each
# row runs at the owner and through another node.
FAULTS = {
    'answer': ('GET', 'ok', {}, (200, None), 1),
    'crossed, repeatable': (
        'GET',
        'crossed',
        SHORT_DEADLINE,
        (502, 'unknown'),
        None,
    ),
    'crossed, once': ('POST', 'crossed', {}, (502, 'unknown'), 1),
    'cut': ('GET', 'cut', {}, 'cut', 1),
    'stalled stream': ('GET', 'stall', {}, 'cut', 1),
    'lost, once': ('POST', 'drop', {}, (502, 'unknown'), 1),
    'lost, PUT': ('PUT', 'drop', {}, (502, 'unknown'), 1),
    'silent, once': ('POST', 'silent', SHORT_DEADLINE, (502, 'unknown'), 1),
    'shed': ('GET', 'shed', {}, (503, 'not-run'), 1),
    'shed, once': ('POST', 'shed', {}, (503, 'not-run'), 1),
    'outcome forged by target': ('GET', 'cookie', {}, (200, None), 1),
}


@pytest.mark.parametrize('entry', [0, 1], ids=['owner', 'hop'])
@pytest.mark.parametrize('case', FAULTS)
async def test_outcome(case, entry):
    method, mode, extra, expected, count = FAULTS[case]
    async with loopback.run_nodes() as nodes:
        found = await loopback.call(
            nodes[entry],
            mode,
            method,
            headers=loopback.build_once_headers() | extra,
        )
        seen = nodes[0].target.seen
        assert found[:2] == expected if expected != 'cut' else found == 'cut'
        assert count is None or len(seen) == count
        assert not nodes[1].target.seen
        # Requests reach the target with the organisation's name, but without
        # the caller's key.
        for one in seen:
            assert one.headers['sj-organisation'] == 'ana'
            assert loopback.KEY not in str(one.headers)


async def repeat_once(mode):
    """Return (first, second, runs) of a once-only request sent twice."""
    async with loopback.run_nodes() as nodes:
        headers = loopback.build_once_headers()
        first = await loopback.call(nodes[1], mode, 'POST', headers=headers)
        second = await loopback.call(nodes[0], mode, 'POST', headers=headers)
        return first, second, len(nodes[0].target.seen)


# Guards against a once-only request that runs twice when the caller repeats
# it, unless the first is known not to have run (H9).
@pytest.mark.parametrize(
    ('mode', 'second', 'runs'),
    [
        ('ok', (200, None), 1),
        ('drop', (502, 'unknown'), 1),
        ('crossed', (502, 'unknown'), 1),
        ('shed', (503, 'not-run'), 2),
    ],
)
async def test_repeat_of_once_only(mode, second, runs):
    first, again, seen = await repeat_once(mode)
    assert (again[:2], seen) == (second, runs)
    assert mode != 'ok' or first == again


async def test_disabled_request_id_check_is_detected(monkeypatch):
    # Checks the test itself: without the check of request ids, the caller
    # gets the answer of another request.
    monkeypatch.setattr(httpclient, 'matches_attempt', lambda *_: True)
    async with loopback.run_nodes() as nodes:
        assert (await loopback.call(nodes[0], 'crossed'))[0] == 200


async def allow_resend(request, handler):
    return await handler(request)


# Guards against the HTTP library, which resends a PUT when the connection
# breaks. The second row disables the safeguard.
@pytest.mark.parametrize(
    ('middleware', 'runs'), [(httpclient.prevent_resend, 1), (allow_resend, 2)]
)
async def test_hidden_resend_of_library(monkeypatch, middleware, runs):
    monkeypatch.setattr(httpclient, 'prevent_resend', middleware)
    async with loopback.run_nodes(1) as nodes:
        await loopback.call(
            nodes[0], 'drop', 'PUT', headers=loopback.build_once_headers()
        )
        assert len(nodes[0].target.seen) == runs


async def test_cookies_are_not_shared_between_callers():
    # Guards against one caller's cookie in another caller's request.
    async with loopback.run_nodes() as nodes:
        await loopback.call(nodes[1], 'cookie')
        await loopback.call(nodes[1], 'ok')
        assert 'cookie' not in nodes[0].target.seen[1].headers


async def test_cancel_when_the_caller_leaves():
    # Guards against work whose caller has left, also behind a forwarding node.
    async with loopback.run_nodes() as nodes:
        for node in nodes:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.1):
                    await loopback.call(node, 'silent')
        async with asyncio.timeout(2):
            while len(nodes[0].target.cancelled) < 2:
                await asyncio.sleep(0.01)
        names = {one.headers['sj-request-id'] for one in nodes[0].target.seen}
        assert set(nodes[0].target.cancelled) == names


def read_memory():
    """Return this process's resident memory in MiB."""
    with open('/proc/self/statm') as lines:
        return int(lines.read().split()[1]) * resource.getpagesize() / 2**20


async def test_upload_through_two_hops_in_bounded_memory():
    # Guards against a router that buffers a whole upload in memory.
    size, chunk, levels = 64 << 20, b'u' * 65536, []

    async def produce():
        for _ in range(size // len(chunk)):
            levels.append(read_memory())
            yield chunk

    async with loopback.run_nodes() as nodes:
        headers = loopback.build_once_headers() | {'SJ-Deadline-Ms': '60000'}
        found = await loopback.call(
            nodes[1], 'ok', 'POST', data=produce(), headers=headers
        )
        assert found == (200, None, f'ok {size}'.encode())
        assert max(levels) - levels[0] < 16
        assert [one.target.whole for one in nodes] == [1, 0]


async def test_truncated_upload_is_not_complete():
    # Guards against a truncated upload that looks complete to the target.
    async def produce():
        yield b'u' * 200_000
        raise ConnectionResetError

    async with loopback.run_nodes() as nodes:
        with contextlib.suppress(aiohttp.ClientError, ConnectionResetError):
            await loopback.call(
                nodes[1],
                'ok',
                'POST',
                data=produce(),
                headers=loopback.build_once_headers(),
            )
        await asyncio.sleep(0.1)
        assert [one.whole for one in (nodes[0].target,)] == [0]


# Guards against requests that wait on dead connections. Columns: consecutive
# results on one pool, and whether its idle connections are closed.
@pytest.mark.parametrize(
    ('modes', 'dropped'),
    [
        (('silent',), False),
        (('silent', 'silent'), True),
        (('silent', 'ok', 'silent'), False),
    ],
)
async def test_stale_pool_is_dropped(modes, dropped):
    async with loopback.run_nodes(1) as nodes:
        http = nodes[0].context.ports.target._http
        await loopback.call(nodes[0], 'ok')
        address = f'{loopback.HOST}:{nodes[0].target_port}'
        pool = http._pools[address]
        for number, mode in enumerate(modes):
            await loopback.call(
                *(nodes[0], mode, 'POST'),
                headers=loopback.build_once_headers(number)
                | {'SJ-Deadline-Ms': '60'},
            )
        assert (http._pools.get(address) is not pool) is dropped


async def test_second_try_after_p95():
    # Guards against a repeatable request that waits for one slow target (M3).
    async with loopback.run_nodes(2, state.Routing.LOAD) as nodes:
        for _ in range(80):
            await loopback.call(nodes[0], 'ok')
        nodes[0].target._reply = make_slow(nodes[0].target._reply)
        nodes[1].target._reply = make_slow(nodes[1].target._reply, 0)
        started = asyncio.get_running_loop().time()
        found = await loopback.call(nodes[0], 'ok', headers=loopback.AUTH)
        assert found[0] == 200
        assert asyncio.get_running_loop().time() - started < 0.5


def make_slow(reply, delay=1.0):
    async def answer(mode, seen, writer):
        await asyncio.sleep(delay)
        await reply(mode, seen, writer)

    return answer


async def test_owner_is_named():
    # Guards against callers that cannot find the owner (design 5.13).
    async with (
        loopback.run_nodes() as nodes,
        aiohttp.ClientSession(headers=loopback.KEYED) as session,
    ):
        owner = nodes[0].url.removeprefix('http://')
        async with session.get(f'{nodes[1].url}/s/ok') as reply:
            assert reply.headers['SJ-Owner'] == owner
            assert 'SJ-Load' not in reply.headers
            assert reply.headers['Connection'] == 'keep-alive'
        url = f'{nodes[1].url}/.well-known/sesamejunction/route'
        query = {'service': 's', 'key': 'lot-1'}
        async with session.get(url, params=query) as reply:
            assert await reply.json() == {'owner': owner}
