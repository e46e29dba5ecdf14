"""Speed that a target reports: header, expected times, work on the wire."""

import msgspec
import pytest

from sesamejunction.border import linkcodec
from sesamejunction.commands import ports as porting
from sesamejunction.commands import wholebodies
from sesamejunction.decisions import keyload
from sesamejunction.decisions import rangeplanning
from sesamejunction.decisions import scheduling
from sesamejunction.model import gating
from sesamejunction.model import linking
from sesamejunction.model import ranges
from sesamejunction.model import requests
from sesamejunction.platform import serverclient
from test import rawservers
from test import test_scheduler as scheduling_tests

# Guards against a header that fails the answer, or whose odd value makes all
# expected times useless.
HEADERS = {
    '1, 2, 6': requests.TargetReport(1, 2, 6),
    '1,2,6,300': requests.TargetReport(1, 2, 6, 3.0),
    '0, 0, 6, 50': requests.TargetReport(0, 0, 6, 0.5),
    '': None,
    '1, 2': None,
    '1, 2, 6, 0': None,
    '1, 2, 6, 99999': None,
    '1, 2, 6, -5': None,
    '1, 2, 6, 1e3': None,
    '1, 2, 6, nan': None,
    '1, 2, 6, 100, 9': None,
    f'1, 2, {"9" * 400}': None,
    '\u0661, 2, 6': None,
}


@pytest.mark.parametrize('text', HEADERS)
def test_load_header(text):
    assert serverclient.decode_load(text) == HEADERS[text]


@pytest.mark.parametrize(
    ('text', 'slowness', 'odd'), [('0, 0, 6, 250', 2.5, 0), ('odd', None, 1)]
)
async def test_answer_carries_the_report(text, slowness, odd):
    def serve(server, sock, _number):
        server.read_head(sock)
        server.send(
            sock,
            rawservers.encode_answer(
                *(200, 'X-Response-Signature: s', f'X-Server-Load: {text}'),
                body=b'whole',
            ),
        )

    with rawservers.RawServer(serve) as server:
        client, counted = server.build_client(), []
        client._count_odd_load = lambda: counted.append(1)
        answer = await client.send(rawservers.make_head(), b'')
        assert answer.status == 200
        assert getattr(answer.report, 'slowness', None) == slowness
        assert len(counted) == odd


# Guards against averages that follow a slow spell and outlast it, and against
# a spell that makes long work look slow to its end. Columns: slowness reported
# with each of 200 answers, their usual time and the pause between them, the
# seconds since the last one, and the expected time.
SPELLS = {
    'usual': (1.0, 0.1, 0.0, 0.0, 0.1),
    'short work in a spell': (3.0, 0.02, 0.0, 0.0, 0.06),
    'long work in a spell': (3.0, 0.5, 0.0, 0.0, 0.5 + 0.2 * 2 / 3),
    'slow for long': (3.0, 0.5, 0.4, 0.0, 1.5),
    'slow, without news since': (3.0, 0.1, 0.0, 0.6, 0.1),
    'not reported': (None, 0.1, 0.0, 0.0, 0.1),
}


@pytest.mark.parametrize('spell', SPELLS)
def test_expected_times_follow_the_slowness(spell):
    slowness, usual_s, pause_s, passed_s, expected_s = SPELLS[spell]
    clock = scheduling_tests.Clock()
    times = scheduling.ServiceTimes(clock)
    for _ in range(200):
        clock.now += pause_s
        if slowness is not None:
            times.report_slowness(slowness)
        times.record('order', usual_s * (slowness or 1.0), slowness)
    clock.now += passed_s
    assert times.expect('order') == pytest.approx(expected_s, rel=0.01)
    assert times.mean == pytest.approx(expected_s, rel=0.03)


async def test_load_has_the_work_left():
    """Work in progress counts with its rest, queued work with the average."""
    made, clock = await scheduling_tests.make_scheduler()
    assert made.load.work_s is None
    for number in range(3):
        head = scheduling_tests.make_head(number, left_s=9.0)
        await scheduling_tests.admit(made, head)
    clock.now += 0.05
    await made.handle(gating.WorkFinished('r0', 0.05, False, 2.0))
    # Base 0.05 s + 5% of (0.025 s - 0.05 s) overall, and 0.025 s of the
    # route, twice as slow; r1 has run as long as expected, r2 has just begun.
    rest_s = 0.05 * scheduling.MIN_REMAINING_FRACTION + 0.05
    assert made.load.work_s == pytest.approx(rest_s)


LOAD = requests.Load(3, 9, 4, 0.02, 0.25)
REPLIES = {
    'answer': wholebodies.build_answer(200, (), b'whole', LOAD),
    'refusal': porting.refuse(requests.Code.SHED, 'full', load=LOAD),
}
TYPES = linking.WorkAnswer | linking.WorkRefused


# Guards against loads that nodes of earlier versions cannot read: they take
# exactly four figures, and no field after those they know.
@pytest.mark.parametrize('kind', REPLIES)
async def test_work_is_sent_as_a_trailing_field(kind):
    sent = await linkcodec.encode_reply(7, REPLIES[kind])
    data = msgspec.msgpack.encode(sent)
    frame = msgspec.msgpack.decode(data, type=TYPES)
    assert linkcodec.decode_reply(frame).load == LOAD
    assert len(frame.load) == 4
    older = msgspec.convert(msgspec.msgpack.decode(data)[:-1], TYPES)
    assert linkcodec.decode_reply(older).load.work_s is None


def report_for(times, clock, seconds, find_slowness):
    """Let a target answer every 20 ms for some seconds."""
    ends = clock.now + seconds
    while clock.now < ends:
        clock.now += 0.02
        slowness = find_slowness(clock.now)
        times.report_slowness(slowness)
        times.record('order', 0.1 * slowness, slowness)


# Guards against keys that move with each slow spell of 0.4 s, and against hot
# keys that stay at a target that is slow for longer. Columns: slowness at a
# time, and whether the keys of two equal targets move if one has it.
LASTING = {
    'usual': (lambda now: 1.0, False),
    'a spell': (lambda now: 3.0 if now > 1029.6 else 1.0, False),
    'slow': (lambda now: 3.0, True),
    'recovered': (lambda now: 3.0 if now < 1005.0 else 1.0, False),
}


@pytest.mark.parametrize('case', LASTING)
def test_keys_move_to_the_faster_target(case):
    find_slowness, moves = LASTING[case]
    owners = []
    for number, pattern in enumerate((find_slowness, lambda now: 1.0)):
        clock = scheduling_tests.Clock()
        times = scheduling.ServiceTimes(clock)
        report_for(times, clock, 30.0, pattern)
        capacity = keyload.estimate_capacity(5, times.lasting_mean)
        first = number * 100
        segments = [(first + one, first + one, 2.5) for one in range(10)]
        life = ranges.Life(f'n{number}', 'target', 1)
        owners.append(rangeplanning.OwnerLoad(life, capacity, segments))
    found = rangeplanning.choose_moves(owners)
    assert bool(found) is moves
    assert {move.life.member for move in found} <= {'n1'}
