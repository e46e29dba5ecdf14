"""Tests the target stand-in that process tests rely on."""

import asyncio
import contextlib

import aiohttp
import pytest
import sanic

from demo import fleet
from standins import target as targets
from standins import work

NOW = 100.0


def make_work(**fields):
    return work.Work('r', slot=3, **fields)


def make_admission(**fields):
    chosen = {'slots': 4, 'cold_slots': 4, 'checks_grants': True} | fields
    return work.WorkAdmission(work.Profile('t', 's', **chosen))


# Guards against a stand-in that runs work which a real target would reject by
# its fencing token.
@pytest.mark.parametrize(
    ('fields', 'grant', 'given', 'reason'),
    [
        ({}, (1, 0, 101.0), {'token': (1, 0)}, None),
        ({}, (1, 0, 100.0), {'token': (1, 0)}, 'grant-ended'),
        ({}, (2, 0, 101.0), {'token': (1, 2)}, 'token-old'),
        ({}, None, {'token': (1, 0)}, None),
        ({'needs_grant': True}, None, {}, 'no-grant'),
        ({'checks_grants': False}, (9, 0, 1.0), {'token': (1, 0)}, None),
        ({'checks_grants': False}, None, {'start_before': 100.0}, 'too-late'),
        ({'checks_grants': False}, None, {'end': 99.0}, 'too-late'),
        ({}, None, {'start_before': 100.1, 'end': 100.2}, None),
    ],
)
def test_fencing(fields, grant, given, reason):
    admission = make_admission(**fields)
    if grant is not None:
        epoch, place, end = grant
        admission.update_grant(work.Grant((epoch, place), end))
    match admission.start(make_work(**given), NOW):
        case work.Refused(result):
            assert result.value == reason
        case result:
            assert isinstance(result, work.Accepted) and reason is None


def test_an_older_token_of_a_slot_is_fenced():
    admission = make_admission()
    admission.start(make_work(token=(2, 1)), NOW)
    assert admission.start(make_work(token=(2, 0)), NOW) == work.Refused(
        work.Reason.TOKEN_OLD
    )
    other = work.Work('r', slot=4, token=(2, 0))
    assert isinstance(admission.start(other, NOW), work.Accepted)


# Guards against a cold target that accepts more than it can handle, or that
# stays cold.
@pytest.mark.parametrize(
    ('cold', 'held', 'expected'),
    [
        (4, 4, work.Refused(work.Reason.SHED)),
        (1, 1, work.Accepted),
        (1, 2, work.Overloaded()),
    ],
)
def test_load_limits(cold, held, expected):
    admission = make_admission(cold_slots=cold)
    for _ in range(held):
        assert isinstance(admission.start(make_work(), NOW), work.Accepted)
    result = admission.start(make_work(), NOW)
    assert result == expected or isinstance(result, work.Accepted)
    if isinstance(expected, work.Overloaded):
        assert admission.start(make_work(), NOW + 0.9) == work.Overloaded()
        later = admission.start(make_work(), NOW + 1.0)
        assert (
            not isinstance(later, work.Overloaded)
            or admission.overload_failures == 2
        )
    elif expected is work.Accepted:
        assert result.slowdown == 2.0


def test_served_work_warms_up_and_reports_lag():
    admission = make_admission(cold_slots=1)
    for step in range(10):
        at = NOW + step
        run = admission.start(make_work(), at).run
        admission.finish(run, at, True)
    assert admission.limit == 4
    assert admission.read_load(NOW + 10, 0).limit == 4
    assert admission.read_load(NOW + 10, 7.0).limit == 3
    assert admission.read_load(NOW + 10, 9.5).limit == 2
    admission.reset_to_cold()
    assert admission.limit == 1


@contextlib.asynccontextmanager
async def start_target(**fields):
    chosen = {'slots': 4, 'cold_slots': 4, 'checks_grants': False} | fields
    target = targets.Target(work.Profile('t', 's', **chosen), 1.0)
    app = targets.build_app(target)
    with fleet.PortAllocator() as ports:
        port = ports.allocate(1)[0]
        server = await app.create_server(
            host=fleet.HOST, port=port, return_asyncio_server=True
        )
        await server.startup()
        await server.start_serving()
        base = f'http://{fleet.HOST}:{port}'
        try:
            async with aiohttp.ClientSession(base) as session:
                yield target, session
        finally:
            server.close()
            sanic.Sanic.unregister_app(app)


async def fetch(session, path='/w', **fields):
    """Return status, header fields and body."""
    method = fields.pop('method', 'GET')
    fields.setdefault('headers', {'SJ-Request-Id': 'r1'})
    limit = aiohttp.ClientTimeout(total=0.4)
    async with session.request(method, path, timeout=limit, **fields) as reply:
        return reply.status, reply.headers, await reply.read()


# Guards against faults that behave differently from what tests assume.
@pytest.mark.parametrize(
    ('fault', 'outcome'),
    [
        ({}, 'good'),
        ({'crossed': 1}, 'crossed'),
        ({'late': 1, 'late_s': 0.1}, 'good'),
        ({'late': 1}, 'timeout'),
        ({'slow': 1000}, 'timeout'),
        ({'silent': True}, 'timeout'),
    ],
)
async def test_faults(fault, outcome):
    async with start_target() as (_, session):
        await fetch(session)
        await fetch(session, '/-/fault', method='POST', json=fault)
        observed = 'timeout'
        with contextlib.suppress(TimeoutError):
            status, fields, _ = await fetch(session)
            assert status == 200
            same = fields['SJ-Request-Id'] == 'r1'
            observed = 'good' if same else 'crossed'
        assert observed == outcome
        if fault == {'silent': True}:
            # The client has closed the silent connection, so this one is new.
            assert (await fetch(session))[0] == 200


# Guards against work that continues after its end or a cancel.
@pytest.mark.parametrize('ended_by', ['end', 'cancel'])
async def test_running_work_is_aborted(ended_by):
    async with start_target() as (target, session):
        target.set_faults(b'{"work_ms": 5000}')
        fields = {'SJ-Request-Id': 'r2'}
        if ended_by == 'end':
            fields['SJ-End'] = str(int(targets.read_boot_clock() * 1000) + 150)
        # The client would retry a GET by itself.
        running = asyncio.create_task(
            fetch(session, method='POST', headers=fields)
        )
        while not target.running:
            await asyncio.sleep(0.005)
        if ended_by == 'cancel':
            await fetch(session, '/-/cancel/r2', method='POST')
        with pytest.raises(aiohttp.ClientError):
            await running
        _, _, lines = await fetch(session, '/-/history')
        assert lines.count(b'\n') == 1 and b'"finished":false' in lines


async def test_bodies_are_streamed_and_counted():
    async with start_target() as (target, session):
        data = bytes(3 << 20)
        headers = {'SJ-Request-Id': 'r', 'X-Note': 'demo-key-x'}
        _, _, body = await fetch(
            session, method='POST', data=data, headers=headers
        )
        assert b'"bytes":%d' % len(data) in body.replace(b' ', b'')
        assert target.admission.history[0].key_seen
        _, _, body = await fetch(session, '/w?bytes=200000')
        assert len(body) == 200_000
        assert not target.admission.history[1].key_seen
