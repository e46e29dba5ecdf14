"""Members detect silent members in time, with little traffic."""

import collections
import random
import types

import msgspec
import pytest

from sesamejunction.border import packets as codec
from sesamejunction.decisions import memberages
from sesamejunction.model import journaling
from sesamejunction.model import messages
from sesamejunction.model import packets
from sesamejunction.model import state
from sesamejunction.tasks import clock
from sesamejunction.tasks import presence
from test import fakes

STEP_S = 0.02
# Share of probes and echoes that are lost.
LOSS = 0.1
WARM_S = 2.5
SEED = 7


def make_members(numbers):
    return {
        one: state.Member(
            *(one, f'n{one}', 'z', '10.0.0.1', 1, 1, 1, 's', 1, 1, True)
        )
        for one in numbers
    }


class Network:
    """Presence actors that share a clock; datagrams may be lost."""

    def __init__(self, numbers, monkeypatch, loss=0.0):
        self.now = 1000.0
        self.loss = loss
        self.random = random.Random(SEED)
        self.nodes = {}
        self.dead = set()
        self.queue = collections.deque()
        monkeypatch.setattr(clock, 'read_boot_clock', lambda: self.now)
        monkeypatch.setattr(random, 'sample', self.random.sample)
        monkeypatch.setattr(random, 'randrange', self.random.randrange)
        for one in numbers:
            view = presence.PresenceView()
            port = types.SimpleNamespace(
                tell=lambda sent, sender=one: self.queue.append((sender, sent))
            )
            self.nodes[one] = presence.Presence(
                one, port, view, (), (fakes.FakeTask(),), ()
            )
            self.nodes[one].view = view
            for subscriber in self.nodes[one]._subscribers:
                subscriber.publish = subscriber.tell
        self.due = {
            one: self.now + self.random.random() * presence.PROBE_INTERVAL_S
            for one in self.nodes
        }

    async def know(self, one, numbers):
        current = state.State(members=make_members(numbers))
        await self.nodes[one].handle(journaling.StateChanged(current))

    async def deliver(self):
        """Deliver datagrams and return those delivered."""
        found = []
        while self.queue:
            sender, sent = self.queue.popleft()
            target = sent.incarnation
            gone = target in self.dead or target not in self.nodes
            if gone or self.random.random() < self.loss:
                continue
            found.append(sent.message)
            await self.nodes[target].handle(
                packets.Received(sender, sent.message, self.now)
            )
        return found

    async def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            for one, at in self.due.items():
                if at <= self.now and one not in self.dead:
                    await self.nodes[one].tick()
                    self.due[one] = at + self.nodes[one].tick_s
            await self.deliver()

    def count_silent(self):
        return collections.Counter(
            silent
            for one, node in self.nodes.items()
            if one not in self.dead
            for silent in node.view.silent
        )


# Guards against live members of a large fleet that are treated as silent
# because an echo reports only 60 members, and against late detection of a lost
# one.
@pytest.mark.parametrize('count', [10, 78, 150])
async def test_only_lost_members_are_silent(monkeypatch, count):
    network = Network(range(1, count + 1), monkeypatch, LOSS)
    for one in network.nodes:
        await network.know(one, network.nodes)
    await network.run(WARM_S)
    for _ in range(5):
        await network.run(0.3)
        assert not network.count_silent()
    network.dead.add(3)
    await network.run(
        presence.SILENCE_LIMIT_S + presence.PROBE_INTERVAL_S + 2 * STEP_S
    )
    assert network.count_silent() == {3: count - 1}


ORDER = tuple(range(1, 71))
DIGEST = memberages.digest_members(ORDER)
# Rows: members known to the prober, the digest in its probe, and whether the
# ages are packed without names.
PROBERS = {
    'the same members': (ORDER, DIGEST, True),
    'other members': (
        ORDER[:-1],
        memberages.digest_members(ORDER[:-1]),
        False,
    ),
    'an earlier version': (ORDER, 0, False),
    'members that came meanwhile': ((*ORDER, 99), DIGEST, True),
}


@pytest.mark.parametrize(
    ('known', 'digest', 'is_packed'), PROBERS.values(), ids=PROBERS
)
async def test_ages_belong_to_their_members(
    monkeypatch, known, digest, is_packed
):
    # Guards against ages assigned to the wrong members while the two nodes
    # know different sets of members.
    network = Network((1, 2), monkeypatch)
    await network.know(1, known)
    await network.know(2, ORDER)
    for one in ORDER[2:50]:
        network.nodes[2].view.last_heard_at[one] = network.now - one / 100
    probe = messages.Probe(1, network.now, (), digest)
    network.queue.append((1, packets.SendTo(2, probe)))
    _, echo = await network.deliver()
    assert (echo.packed is not None) is is_packed
    assert bool(echo.heard) is not is_packed
    heard = network.nodes[1].view.last_heard_at
    if known == (*ORDER, 99):
        assert heard == {2: network.now}
        return
    assert heard.keys() - {1} == {2, *ORDER[2:50]} & set(known)
    for one in ORDER[2:50]:
        age = network.now - heard[one]
        assert one / 100 - 1e-6 <= age <= one / 100 + 0.011


@pytest.mark.parametrize(
    ('age_s', 'unit'),
    [(0.0, 1), (-1.0, 0), (0.011, 2), (2.53, 254), (2.6, 255), (9e9, 255)],
)
def test_age_never_seems_more_recent(age_s, unit):
    # Guards against an age that is rounded down at each hop.
    assert memberages.pack_ages((1,), {1: 100.0}, 100.0 + age_s)[0] >= unit
    found = dict(memberages.unpack_ages((1,), bytes([unit])))
    assert not found if unit == 255 else found[1] >= age_s


@pytest.mark.parametrize(
    ('first', 'count', 'members'),
    [(0, 9, (1, 2, 3)), (1, 2, (2, 3)), (2, 2, (3, 1)), (0, 2, (1, 2))],
)
def test_selected_members_wrap_around(first, count, members):
    found = memberages.select_members((1, 2, 3), first, count)
    assert tuple(found) == members


# Guards against members treated as silent because this node's own loop was
# late. Rows: seconds for which the loop was blocked while it waited for
# echoes, members that end meanwhile, and the silent members after the
# following checks.
@pytest.mark.parametrize(
    ('pause_s', 'dead', 'silent'),
    [
        pytest.param(0.0, [], set(), id='in time'),
        pytest.param(1.0, [], set(), id='late'),
        pytest.param(2.0, [], set(), id='later than a member may be silent'),
        pytest.param(2.0, [3], {3}, id='one is gone'),
    ],
)
async def test_late_loop_makes_no_member_silent(
    monkeypatch, pause_s, dead, silent
):
    network = Network(range(1, 11), monkeypatch)
    for one in network.nodes:
        await network.know(one, network.nodes)
    await network.run(WARM_S)
    late = network.nodes[1]
    while not late._awaits_echoes:
        await network.run(STEP_S)
    network.dead.update(dead)
    network.dead.add(1)
    await network.run(pause_s)
    network.dead.remove(1)
    seen = set()
    network.due[1] = network.now
    for _ in range(12):
        await network.run(STEP_S)
        seen |= late.view.silent
    assert seen == silent


class EarlierEcho(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """The body of an echo in earlier versions."""

    sent_at: float
    topics: tuple[tuple[int, int], ...]
    heard: tuple[tuple[int, int], ...]
    has_log: bool = True


def test_echo_passes_between_versions():
    # Guards against new nodes that seem silent to nodes of an older version.
    packed = messages.PackedAges(DIGEST, 3, b'\x01\xff')
    echo = messages.Echo(2, 1.5, (), ((4, 0.5),), False, packed)
    sender = codec.PacketCodec(b's', 2)
    data = sender.encode(1, echo)
    assert codec.PacketCodec(b's', 1).decode(data, 0.0).message == echo
    body = data[codec.HEADER_BYTES :]
    earlier = msgspec.msgpack.decode(body, type=EarlierEcho)
    assert earlier.heard == ((4, 500),)
    old = msgspec.msgpack.encode(EarlierEcho(1.5, (), ((4, 500),), False))
    wire = msgspec.msgpack.decode(old, type=codec.WireEcho)
    assert codec.decode_body(2, 1, wire) == messages.Echo(
        2, 1.5, (), ((4, 0.5),), False
    )
