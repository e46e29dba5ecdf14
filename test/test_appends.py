"""Failed appends are retried slowly and reported to the follower."""

import asyncio
import dataclasses
import types

import pytest

from sesamejunction.border import eraview
from sesamejunction.border import registrycodec
from sesamejunction.decisions import registry as folding
from sesamejunction import errors
from sesamejunction.model import journaling
from sesamejunction.model import leasing
from sesamejunction.model import ranges
from sesamejunction.model import registry
from sesamejunction.model import state
from sesamejunction.tasks import clock
from sesamejunction.tasks import follower
from sesamejunction.tasks import presence
from sesamejunction.tasks import rangeplanner
from sesamejunction.tasks import recovery
from sesamejunction.tasks import registrar
from test import fakes
from test import storemodel
from test import test_misdirected

SPAN_S = 10.0
RECORD = registry.MemberRecord(
    *('a', 1, 'z', '10.0.0.1', 1, 's', 8, ranges.Life('a', 't', 1))
)


class Topic:
    """Fails each append with the given error, or accepts it."""

    def __init__(self, error):
        self.appends = 0
        self._error = error

    async def append(self, _entry, _end):
        """Count the append and return its offset."""
        self.appends += 1
        if self._error is not None:
            raise self._error
        return 5


def run_simulated(coroutine_of, monkeypatch):
    """Run a coroutine in simulated time."""
    loop = storemodel.Loop()
    monkeypatch.setattr(clock, 'read_boot_clock', loop.time)
    try:
        return loop.run_until_complete(coroutine_of())
    finally:
        loop.close()


async def send_to_registrar(topic, message):
    """Return the messages that the follower gets within SPAN_S."""
    follower = fakes.FakeTask()
    task = registrar.Registrar(topic, follower)
    async with fakes.run_actors(task):
        await task.ask(message)
        await asyncio.sleep(SPAN_S)
    return follower.messages


LOST = errors.AppendOutcomeUnknown('no answer; check the network')
CONFLICT = errors.AppendConflict('the topic has grown; read on')


# Guards against 3 calls a second from each node that waits to register, and
# against a planner that continues with a dead connection.
@pytest.mark.parametrize(
    ('message', 'error', 'most', 'tells'),
    [
        pytest.param(registry.Register(RECORD), None, 1, False, id='taken'),
        pytest.param(registry.Register(RECORD), LOST, 8, True, id='lost'),
        pytest.param(
            registry.Propose(RECORD, 3), LOST, 1, True, id='plan lost'
        ),
        pytest.param(
            registry.Propose(RECORD, 3), CONFLICT, 1, False, id='conflict'
        ),
    ],
)
def test_failed_appends_are_repeated_slowly(
    message, error, most, tells, monkeypatch
):
    topic = Topic(error)
    messages = run_simulated(
        lambda: send_to_registrar(topic, message), monkeypatch
    )
    assert 1 <= topic.appends <= most
    assert (registry.AppendFailed() in messages) is tells


# Guards against a late append that replaces a newer registration for good, and
# against a repeat because a copy is older than the append. Rows: the end of
# the copy with another registration, and the appends in all.
@pytest.mark.parametrize(('end', 'appends'), [(5, 1), (6, 2)])
async def test_replaced_registration_is_written_again(end, appends):
    topic = Topic(None)
    task = registrar.Registrar(topic, fakes.FakeTask())
    async with fakes.run_actors(task):
        await task.ask(registry.Register(RECORD))
        await task.ask(registry.RegistrationLost(end))
    assert topic.appends == appends


async def test_failing_registration_is_not_repeated_by_each_state():
    """Guards against an append for each state while the store fails."""
    topic = Topic(LOST)
    task = registrar.Registrar(topic, fakes.FakeTask())
    async with fakes.run_actors(task):
        await task.ask(registry.Register(RECORD))
        before = topic.appends
        for end in range(9, 19):
            await task.ask(registry.RegistrationLost(end))
    assert topic.appends == before


# Guards against a server that the plan no longer knows: a late append put the
# life of its former process back, perhaps before this process had read its
# own registration. Rows: the incarnation and the life in the newest copy, and
# whether the registrar is told of it.
@pytest.mark.parametrize(
    ('incarnation', 'born', 'is_told'),
    [
        pytest.param(2, 2, False, id='same'),
        pytest.param(2, 1, True, id='earlier'),
        pytest.param(1, 1, True, id='former process'),
    ],
)
async def test_earlier_registration_is_noticed(incarnation, born, is_told):
    lease = test_misdirected.make_lease()
    lease._registrar = registering = fakes.FakeTask()
    life = ranges.Life('b', 't', 2)
    await lease.handle(journaling.StateChanged(state.State(offset=1)))
    await lease.handle(leasing.Heartbeat(life, 's', 'z', 8, 1, False, 0.0))
    written = registering.messages[-1].record
    assert written.life == life
    found = dataclasses.replace(
        written,
        incarnation=incarnation,
        life=ranges.Life('b', 't', born),
    )
    members = {incarnation: folding.build_member(found)}
    del registering.messages[:]
    await lease.handle(
        journaling.StateChanged(state.State(offset=9, members=members))
    )
    told = [registry.RegistrationLost(9)] if is_told else []
    assert registering.messages == told


class Registrar:
    """Counts proposals and answers them."""

    def __init__(self, offset):
        self.asked = 0
        self._offset = offset

    async def ask(self, _proposal):
        """Return the offset of the proposal, None if it failed."""
        self.asked += 1
        return self._offset


def make_state(offset):
    """Return a state with one member."""
    member = types.SimpleNamespace(name='a', incarnation=1, life=None)
    return state.State(offset=offset, members={1: member})


async def propose(proposals, grows_at):
    """Run a planner for a second, in which the topic grows once."""
    view = presence.PresenceView()
    task = rangeplanner.RangePlanner('a', 1, view, proposals, None)
    task._find_record = lambda _now: RECORD
    async with fakes.run_actors(task):
        task.publish(journaling.StateChanged(make_state(3)))
        await asyncio.sleep(grows_at)
        task.publish(journaling.StateChanged(make_state(4)))
        await asyncio.sleep(1.05 - grows_at)
    return proposals.asked


# Guards against ten proposals a second to a log that does not accept them, and
# against a planner that waits although the topic has grown.
@pytest.mark.parametrize(
    ('offset', 'grows_at', 'asked'),
    [
        pytest.param(4, 0.2, 2, id='each from its own state'),
        pytest.param(None, 1.04, 5, id='fails'),
        pytest.param(None, 0.02, 5, id='grows soon after the failure'),
    ],
)
def test_failed_proposals_are_repeated_slowly(
    offset, grows_at, asked, monkeypatch
):
    proposals = Registrar(offset)
    found = run_simulated(lambda: propose(proposals, grows_at), monkeypatch)
    assert found == asked


async def recover(topic):
    """Run the recovery of a later era at the only node for SPAN_S."""
    view = follower.PositionView()
    end = registry.Position(registry.FIRST_ERA + 1, 0).pack()
    view.move_to(end)
    fleet = fakes.FakeTask()
    fleet.view, fleet.copy = view, registry.TopicCopy(end, {})
    fleet.topic_name = 'fleet'
    states = types.SimpleNamespace(current=state.State())
    task = recovery.Recovery(
        *(1, fleet, topic, states, presence.PresenceView(), None),
        *(eraview.EraView(), lambda: True, fakes.FakeTask()),
    )
    task._settled = registry.TopicCopy(1, {})
    task._as_of = clock.read_boot_clock()
    async with fakes.run_actors(task):
        task.tell(registry.TopicChanged('fleet', fleet.copy))
        await asyncio.sleep(SPAN_S)


# Guards against 3 calls a second to a store that accepts nothing.
@pytest.mark.parametrize(
    'error', [LOST, errors.RecordRejected('too long; make it smaller')]
)
def test_recovery_retries_slowly(error, monkeypatch):
    topic = Topic(error)
    run_simulated(lambda: recover(topic), monkeypatch)
    assert 2 <= topic.appends <= 8


REJECTED = errors.RecordRejected('too long; make it smaller')


class SmallLog:
    """Takes plans of at most ``limit`` bytes; keeps the sizes proposed."""

    def __init__(self, limit):
        self.sizes = []
        self.taken = []
        self._limit = limit

    async def append(self, entry, _end):
        """Return the offset, or raise RecordRejected."""
        self.sizes.append(len(entry.value))
        if len(entry.value) > self._limit:
            raise REJECTED
        self.taken.append(registrycodec.decode_record(entry.key, entry.value))
        return 5


def make_split_state():
    """Return a state whose plan is split finely, and one owner more."""
    lives = [ranges.Life(f'm{one}', f't{one}', one) for one in range(6)]
    width = 64
    owned = tuple(
        ranges.Range(
            first, first + width - 1, 9, lives[first // width % 5], lives[:5]
        )
        for first in range(0, ranges.LAST_KEY + 1, width)
    )
    members = {
        one: types.SimpleNamespace(
            name='a' if one == 0 else f'm{one}',
            **{'incarnation': one, 'life': life, 'service': 's'},
            **{'leaving': False, 'zone': 'z'},
        )
        for one, life in enumerate(lives)
    }
    return state.State(
        offset=3,
        members=members,
        services={'s': state.Service('s', state.Routing.RANGE, 0)},
        ranges={'s': ranges.RangePlan(owned)},
    )


class NoPeers:
    """Links to peers that do not answer."""

    async def ask(self, _member, _message):
        """Raise the error of a silent peer."""
        raise errors.PeerUnavailable('silent; ask another')


async def plan_for(log, record_limit):
    view = presence.PresenceView()
    follower = fakes.FakeTask()
    appending = registrar.Registrar(log, follower)
    task = rangeplanner.RangePlanner(
        'a', 0, view, appending, NoPeers(), record_limit
    )
    async with fakes.run_actors(appending, task):
        task.publish(journaling.StateChanged(make_split_state()))
        await asyncio.sleep(SPAN_S)
    return follower.messages


# Guards against a plan that the log will never take and that is proposed again
# and again as it is, so that no owner changes any more (issue 20). Columns:
# bytes that the log takes, bytes that the planner expects, appends at most.
@pytest.mark.parametrize(
    ('takes', 'expected', 'most'),
    [(262_144, 262_144, 1), (20_000, 20_000, 1), (8_000, 262_144, 8)],
)
def test_plan_is_small_enough_for_the_log(takes, expected, most, monkeypatch):
    log = SmallLog(takes)
    messages = run_simulated(lambda: plan_for(log, expected), monkeypatch)
    assert len(log.sizes) <= most
    assert log.sizes == sorted(log.sizes, reverse=True)
    (plan,) = log.taken
    assert len({one.owner for one in plan.ranges}) == 6
    assert registry.AppendFailed() not in messages
