"""Runs the followers of many nodes against a store in simulated time.

The actors are the real ones; the connections to the store, the datagrams and
the clock are replaced. A run is determined by its seed.
"""

import asyncio
import base64
import collections
import contextlib
import dataclasses
import json
import random
import selectors
import types

import msgspec

from sesamejunction.border import eraview
from sesamejunction.commands import ports as porting
from sesamejunction.decisions import sources
from sesamejunction import errors
from sesamejunction.model import leasing
from sesamejunction.model import packets
from sesamejunction.model import ranges
from sesamejunction.model import registry
from sesamejunction.model import state
from sesamejunction.platform import config
from sesamejunction.platform import store
from sesamejunction.tasks import clock
from sesamejunction.tasks import copyfetcher
from sesamejunction.tasks import follower
from sesamejunction.tasks import link
from sesamejunction.tasks import presence
from sesamejunction.tasks import rangeplanner
from sesamejunction.tasks import recovery
from sesamejunction.tasks import registrar
from sesamejunction.tasks import targetlease
from sesamejunction.tasks import topicsources
from sesamejunction.ui import hostedwiring

SERVICE = 'lookup'
CONFIG = {
    'version': 1,
    'routes': [],
    'services': [{'name': SERVICE, 'sharded': True}],
    'tenants': [{'name': 'one', 'apiKeys': ['k'], 'ratePerS': 5}],
}
# Duration of a call without long poll, and of a datagram.
CALL_TAKES_S = 0.005
DATAGRAM_TAKES_S = 0.002
# Bandwidth of a node's line in bytes per second: 5 Mbit/s.
LINE_BYTES = 625_000
PIECE_S = 0.05
HEARTBEAT_S = 1.0
ZONES = 'abc'
SAMPLE_S = 0.1


class Selector(selectors.DefaultSelector):
    """A selector that advances simulated time instead of waiting."""

    now = 1000.0

    def select(self, timeout=None):
        """Advance the time by the timeout and return at once."""
        if timeout is None:
            raise RuntimeError('nothing is due any more; the model stands')
        self.now += max(0.0, timeout)
        return super().select(0)


class Loop(asyncio.SelectorEventLoop):
    """An event loop with simulated time."""

    def __init__(self):
        self._times = Selector()
        super().__init__(self._times)

    def time(self):
        """Return the simulated time in seconds."""
        return self._times.now


@dataclasses.dataclass
class Line:
    """A node's line to the store.

    ``state`` is open, refused (calls fail) or silent (calls time out).
    """

    state: str = 'open'
    rate: float = LINE_BYTES


class Log:
    """The records of the store's topics, and call counters."""

    def __init__(self):
        self.records = collections.defaultdict(list)
        self.changed = collections.defaultdict(asyncio.Event)
        self.calls = collections.Counter()
        self.seconds = collections.Counter()
        self.bytes = 0
        self.era = 0
        self.times = collections.defaultdict(list)

    def count(self, kind):
        """Count a call by kind and second."""
        self.calls[kind] += 1
        self.seconds[int(clock.read_boot_clock())] += 1

    def append(self, topic, entry):
        """Append a record and end the long polls that wait for one."""
        self.records[topic].append(entry)
        self.times[topic].append(clock.read_boot_clock())
        self._wake(topic)
        return len(self.records[topic]) - 1

    def _wake(self, topic):
        self.changed[topic].set()
        del self.changed[topic]

    def drill(self, age_s):
        """Come back from a copy that is ``age_s`` old; polls under way end."""
        until = clock.read_boot_clock() - age_s
        for topic, times in self.times.items():
            count = sum(at <= until for at in times)
            del self.records[topic][count:], times[count:]
        self.era += 1
        for topic in list(self.changed):
            self._wake(topic)


class Calls:
    """Replaces platform.store.Store: the calls of one client."""

    def __init__(self, log, line, eras):
        self.received = 0
        self.eras = eras
        self._log = log
        self._line = line

    async def reconnect(self):
        """Do nothing; calls are cancelled before."""

    async def call(self, method, path, limit_s, query, data=None):
        """Return status and body."""
        self._log.count(path)
        match self._line.state:
            case 'refused':
                await asyncio.sleep(CALL_TAKES_S)
                self._log.calls['refused'] += 1
                return 503, b''
            case 'silent':
                await asyncio.sleep(store.CONNECT_TIMEOUT_S)
                self._log.calls['lost'] += 1
                raise errors.AppendOutcomeUnknown(
                    'no answer; check the network'
                )
        ends = clock.read_boot_clock() + limit_s
        await asyncio.sleep(CALL_TAKES_S)
        era = self._log.era
        status, body = await self._answer(path, query, data)
        if era != self._log.era:
            self._log.calls['lost'] += 1
            raise errors.AppendOutcomeUnknown('no answer; check the network')
        self.eras.learn(era, 'the model')
        if self._line.state != 'open':
            if self._line.state == 'silent':
                await asyncio.sleep(max(0, ends - clock.read_boot_clock()))
            self._log.calls['lost'] += 1
            raise errors.AppendOutcomeUnknown('no answer; check the network')
        await self._bring(len(body))
        return status, body

    async def _bring(self, size):
        self._log.bytes += size
        while size > 0:
            piece = min(size, self._line.rate * PIECE_S)
            if piece > 1000:
                await asyncio.sleep(piece / self._line.rate)
            self.received += piece
            size -= piece

    async def _answer(self, path, query, data):
        topic = query['topic']
        records = self._log.records[topic]
        match path:
            case '/log-newest':
                return 200, self._list_newest(records)
            case '/log-append':
                if query.get('asOf', len(records)) != len(records):
                    self._log.calls['conflict'] += 1
                    return 412, b'{}'
                entry = decode_entry(data)
                offset = self._log.append(topic, entry)
                return 200, json.dumps({'offset': offset}).encode()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(query['waitMs'] / 1000):
                era = self._log.era
                while len(records) <= query['from'] and era == self._log.era:
                    if self._line.state == 'refused':
                        return 503, b''
                    await self._log.changed[topic].wait()
        if query['from'] > len(records):
            return 410, b'{}'
        body = store.POSITIONS.pack(len(records), 0)
        found = map(store.encode_entry, records[query['from'] :])
        return 200, body + b''.join(found)

    def _list_newest(self, records):
        newest = {one.key: place for place, one in enumerate(records)}
        items = [
            {
                'key': key,
                'offset': place,
                'value': base64.b64encode(records[place].value).decode(),
            }
            for key, place in newest.items()
        ]
        return json.dumps({'items': items, 'end': len(records)}).encode()


def decode_entry(data):
    """Decode the record of an append."""
    (entry,) = store.decode_records(store.POSITIONS.pack(0, 0) + data).entries
    return entry


class Node:
    """The actors of a node that use the store."""

    def __init__(self, fleet, number):
        self.name = f'node-{number:03}'
        self.incarnation = number + 1
        self.line = Line()
        self._fleet = fleet
        self._running = []
        self.eras = eraview.EraView()
        self._topics = {
            name: store.Topic(Calls(fleet.log, self.line, self.eras), name)
            for name in (store.OPERATOR_TOPIC, store.FLEET_TOPIC)
        }
        self.view = presence.PresenceView()
        self._subscribers = []
        self.zone = ZONES[number % len(ZONES)]
        self.states = porting.StateView()
        # Whether peers get no answer, as from a frozen process.
        self.is_frozen = False
        self.sources = topicsources.TopicSources(
            *(self.incarnation, self.zone, self.states, self.view, self)
        )
        self.followers = tuple(
            follower.Follower(
                one,
                self._subscribers,
                self.view.count_reachable,
                self._drop,
                self.sources,
            )
            for one in self._topics.values()
        )
        appending = store.Topic(
            Calls(fleet.log, self.line, self.eras), store.FLEET_TOPIC
        )
        self._registrar = registrar.Registrar(appending, self.followers[1])
        self.lease = targetlease.TargetLease(
            targetlease.Identity(
                *(self.name, self.incarnation, self.zone),
                *('10.0.0.1', 1, SERVICE),
            ),
            *(self.followers[1].view, self._registrar, self, fleet),
        )
        self._planner = rangeplanner.RangePlanner(
            *(self.name, self.incarnation, self.view, self._registrar, self)
        )
        self.recovery = recovery.Recovery(
            *(self.incarnation, self.followers[1], appending, self.states),
            *(self.view, self, self.eras, self._planner.plans),
            self._registrar,
        )
        self.eras.subscribers += (*self.followers, self.recovery)
        # An actor more would change the order of random draws, and so the
        # figures of the other phases.
        recovering = (self.recovery,) if fleet.has_drills else ()
        fetchers = tuple(
            copyfetcher.CopyFetcher(one, self) for one in self.followers
        )
        self.presence = presence.Presence(
            *(self.incarnation, self, self.view, self.followers),
            *((self._planner,), fetchers),
        )
        readers = (self.lease, self._planner, self.presence)
        registering = registrar.Registry(
            *(store.FLEET_TOPIC, config.OperatorTopicDecoder()),
            (self.states, *readers),
        )
        self._subscribers += (registering, *recovering)
        self._tasks = (
            *(*self.followers, *fetchers, registering, self._registrar),
            *(*recovering, *readers),
        )

    def _drop(self, _labels):
        self._fleet.log.calls['dropped'] += 1

    def tell(self, message):
        """Send a datagram; the node replaces the datagram actor."""
        self._fleet.send(self.incarnation, message)

    async def ask(self, member, message):
        """Ask a peer; the node replaces the links."""
        await asyncio.sleep(DATAGRAM_TAKES_S)
        pair = self.incarnation, member.incarnation
        if not all(self._fleet.reaches(*one) for one in (pair, pair[::-1])):
            raise errors.PeerUnavailable('cut off; ask another')
        peer = self._fleet.find(member.incarnation)
        if peer.is_frozen:
            await asyncio.sleep(2 * link.SILENCE_LIMIT_S)
            raise errors.PeerUnavailable('silent; ask another')
        answer = await peer.answer(message)
        if isinstance(message, registry.AskNews) and answer.news is not None:
            await self._bring_news(peer, answer)
        return answer

    async def _bring_news(self, peer, answer):
        """Let news take their time on the peer's line; configs shrink."""
        size = sum(len(one.value) for one in answer.news.items.values()) / 10
        self._fleet.log.calls['news bytes'] += size
        await asyncio.sleep(DATAGRAM_TAKES_S + size / peer.line.rate)

    async def answer(self, message):
        """Answer a peer's question."""
        match message:
            case registry.GetCopy(topic=topic):
                place = list(self._topics).index(topic)
                copy = await self.followers[place].ask(message)
                as_of = self.followers[place].view.as_of
                self._fleet.log.calls['copy from a peer'] += 1
                return types.SimpleNamespace(
                    body=copy, age=clock.read_boot_clock() - as_of
                )
            case registry.AskNews(topic=topic):
                self._fleet.log.calls['news'] += 1
                place = list(self._topics).index(topic)
                return await self.followers[place].ask(message)
            case leasing.AskRelease():
                return await self.lease.ask(message)
            case registry.AskFloor():
                floor = await self.recovery.ask(message)
                self._fleet.log.calls['floors'] += 1
                size = len(msgspec.msgpack.encode(floor))
                self._fleet.log.calls['floor bytes'] += size
                return floor
        raise errors.PeerUnavailable('not modelled; ask another')

    async def run(self, begin_s):
        """Start like HostedComponents, then run all actors."""
        await asyncio.sleep(begin_s)
        start = types.SimpleNamespace(
            _fleet_topic=self._topics[store.FLEET_TOPIC]
        )
        (
            _,
            *copied,
        ) = await hostedwiring.HostedComponents._fetch_or_create_secret(start)
        self.followers[1].start_with(*copied)
        async with asyncio.TaskGroup() as group:
            for one in self._tasks:
                group.create_task(one.run())
            for one in self.followers:
                group.create_task(one.follow())
            group.create_task(self._beat())

    async def _beat(self):
        await asyncio.sleep(self._fleet.draw.uniform(0.0, HEARTBEAT_S))
        life = ranges.Life(self.name, f't-{self.name}', 1)
        for sequence in range(10**6):
            beat = leasing.Heartbeat(
                *(life, SERVICE, 'a', 8, sequence, False, 0.0)
            )
            await self.lease.ask(beat)
            await asyncio.sleep(HEARTBEAT_S)


class Fleet:
    """Nodes that share a store."""

    def __init__(self, count, seed, has_drills=False):
        self.has_drills = has_drills
        self.draw = random.Random(seed)
        self.log = Log()
        self.write_config(1)
        self.nodes = [Node(self, number) for number in range(count)]
        self.ages = []
        self.key_rows_granted = self
        # Whether datagrams and calls from one incarnation reach another.
        self.reaches = lambda sender, receiver: True

    def inc(self, _labels):
        """Replace a metric."""

    def write_config(self, version, size=0):
        """Write the declarations, with ``size`` more bytes."""
        text = json.dumps({**CONFIG, 'version': version, 'pad': 'x' * size})
        return self.log.append(
            store.OPERATOR_TOPIC, registry.Entry('config', text.encode())
        )

    def find(self, incarnation):
        """Return the node of an incarnation."""
        return self.nodes[incarnation - 1]

    def send(self, sender, message):
        """Deliver a datagram after a delay."""
        if not self.reaches(sender, message.incarnation):
            return
        asyncio.get_running_loop().call_later(
            DATAGRAM_TAKES_S,
            self.find(message.incarnation).presence.tell,
            packets.Received(sender, message.message, 0.0),
        )

    async def sample(self):
        """Record the ages of all copies until cancelled."""
        while True:
            await asyncio.sleep(SAMPLE_S)
            now = clock.read_boot_clock()
            self.ages += [
                now - one.view.as_of
                for node in self.nodes
                for one in node.followers
            ]

    async def wait_until_read(self, place, end, nodes=None):
        """Return the seconds until the nodes have read a topic to an end."""
        started = clock.read_boot_clock()
        while any(
            one.followers[place].view.end < end for one in nodes or self.nodes
        ):
            await asyncio.sleep(0.005)
        return clock.read_boot_clock() - started


@dataclasses.dataclass(frozen=True, slots=True)
class Phase:
    """Measurements of a phase; ``ages`` and ``waits`` in seconds."""

    name: str
    calls: collections.Counter
    busiest: int
    bytes: int
    ages: list[float]
    waits: list[float]

    @property
    def total(self) -> int:
        """Return the number of calls to the store."""
        return sum(self.calls[one] for one in PATHS)


PATHS = ('/log-read', '/log-newest', '/log-append')


async def run_phase(fleet, name, steps):
    """Run the steps of a phase and return its measurements."""
    fleet.log.calls.clear()
    fleet.log.seconds.clear()
    fleet.ages.clear()
    before = fleet.log.bytes
    waits = await steps(fleet)
    return Phase(
        *(name, fleet.log.calls.copy(), max(fleet.log.seconds.values())),
        *(fleet.log.bytes - before, sorted(fleet.ages), sorted(waits or [])),
    )


async def stay_calm(fleet):
    """Change nothing for half a minute."""
    await asyncio.sleep(30.0)


async def settle(fleet):
    """Wait until former owners are removed from the plan."""
    await asyncio.sleep(15.0)


async def start_all(fleet):
    """Let all nodes start, and run for ten seconds."""
    await asyncio.sleep(10.0)


async def write_records(fleet):
    """Write 20 records of the fleet at random times within 20 s."""
    ends = asyncio.get_running_loop().time() + 20.0
    waits = []
    for number in range(20):
        await asyncio.sleep(fleet.draw.expovariate(2.0))
        entry = registry.Entry('other', b'%d' % number)
        end = fleet.log.append(store.FLEET_TOPIC, entry) + 1
        waits.append(await fleet.wait_until_read(1, end))
    await asyncio.sleep(max(0.0, ends - asyncio.get_running_loop().time()))
    return waits


def lose_store(state):
    """Return steps: four outages of 6 s, each followed by a new config."""

    async def steps(fleet):
        waits = []
        for version in range(2, 6):
            set_lines(fleet, state)
            await asyncio.sleep(6.0)
            set_lines(fleet, 'open')
            end = fleet.write_config(version) + 1
            waits.append(await fleet.wait_until_read(0, end))
            await asyncio.sleep(6.0)
        return waits

    return steps


def cut_off(state):
    """Return steps: one node is cut off while the config changes."""

    async def steps(fleet):
        one = fleet.nodes[-1]
        waits = []
        for version in range(3, 8):
            one.line.state = state
            await asyncio.sleep(fleet.draw.uniform(0.0, 4.0))
            end = fleet.write_config(version) + 1
            waits.append(await fleet.wait_until_read(0, end, [one]))
            one.line.state = 'open'
            await asyncio.sleep(6.0)
        return waits

    return steps


async def freeze_readers(fleet):
    """Freeze both readers of a zone while the config changes, three times."""
    waits = []
    for version in range(40, 43):
        members = fleet.nodes[0].states.current.members
        frozen = [
            one
            for one in fleet.nodes
            if one.zone == 'a'
            and one.incarnation
            in sources.list_readers(members, store.OPERATOR_TOPIC)
        ]
        ids = {one.incarnation for one in frozen}
        fleet.reaches = lambda sender, receiver: (
            sender not in ids and receiver not in ids
        )
        for one in frozen:
            one.is_frozen, one.line.state = True, 'silent'
        await asyncio.sleep(fleet.draw.uniform(0.0, 1.0))
        end = fleet.write_config(version) + 1
        others = [one for one in fleet.nodes if one not in frozen]
        waits.append(await fleet.wait_until_read(0, end, others))
        await asyncio.sleep(3.0)
        fleet.reaches = lambda sender, receiver: True
        for one in frozen:
            one.is_frozen, one.line.state = False, 'open'
        await asyncio.sleep(6.0)
    return waits


def lose_readers(state):
    """Return steps: all readers lose the store while the config changes."""

    async def steps(fleet):
        waits = []
        for version in range(60, 68):
            members = fleet.nodes[0].states.current.members
            readers = sources.list_readers(members, store.OPERATOR_TOPIC)
            cut = [fleet.find(one) for one in readers]
            for one in cut:
                one.line.state = state
            # All at once, or after the readers have noticed.
            await asyncio.sleep(fleet.draw.choice((0.02, 0.5, 1.0, 3.0)))
            end = fleet.write_config(version) + 1
            others = [one for one in fleet.nodes if one not in cut]
            waits.append(await fleet.wait_until_read(0, end, others))
            for one in cut:
                one.line.state = 'open'
            await asyncio.sleep(8.0)
        return waits

    return steps


async def drill(fleet):
    """Lose the records of three seconds; return the time until all know."""
    fleet.log.drill(3.0)
    started = clock.read_boot_clock()
    waits = []
    for phase in (state.EraPhase.RESTORED, state.EraPhase.OPEN):
        while not all(
            one.states.current.era_phase is phase
            and registry.find_era(one.states.current.offset) == fleet.log.era
            for one in fleet.nodes
        ):
            await asyncio.sleep(0.02)
        waits.append(clock.read_boot_clock() - started)
    return waits


async def refuse_zone(fleet):
    """Let the store refuse a whole zone while the config changes."""
    waits = []
    zone = [one for one in fleet.nodes if one.zone == 'b']
    for one in zone:
        one.line.state = 'refused'
    for version in range(50, 56):
        await asyncio.sleep(fleet.draw.uniform(1.0, 4.0))
        end = fleet.write_config(version) + 1
        waits.append(await fleet.wait_until_read(0, end, zone))
    for one in zone:
        one.line.state = 'open'
    return waits


async def write_large(fleet):
    """Write a configuration of 250,000 bytes while most lines are busy."""
    for number, one in enumerate(fleet.nodes):
        one.line.rate = LINE_BYTES / (1, 2, 4)[number % 3]
    end = fleet.write_config(20, 250_000) + 1
    try:
        async with asyncio.timeout(20.0):
            return [await fleet.wait_until_read(0, end)]
    except TimeoutError:
        return [float('inf')]


def set_lines(fleet, state):
    """Set the state of all lines and wake up waiting polls."""
    for one in fleet.nodes:
        one.line.state = state
    if state == 'refused':
        for topic in list(fleet.log.changed):
            fleet.log.changed.pop(topic).set()


PHASES = {
    'start': start_all,
    'settle': settle,
    'calm': stay_calm,
    'records': write_records,
    'refused': lose_store('refused'),
    'silent': lose_store('silent'),
    'one refused': cut_off('refused'),
    'one silent': cut_off('silent'),
    'large': write_large,
    'frozen readers': freeze_readers,
    'drill': drill,
    'zone refused': refuse_zone,
    'readers refused': lose_readers('refused'),
    'readers silent': lose_readers('silent'),
}


async def run_phases(count, seed, phases):
    """Run the named phases and return a Phase for each, in order."""
    fleet = Fleet(count, seed, 'drill' in phases)
    running = [
        asyncio.ensure_future(one.run(fleet.draw.uniform(0.0, 0.5)))
        for one in fleet.nodes
    ]
    running.append(asyncio.ensure_future(fleet.sample()))
    found = []
    try:
        for name in phases:
            found.append(await run_phase(fleet, name, PHASES[name]))
            for one in running:
                if one.done():
                    one.result()
    finally:
        for one in running:
            one.cancel()
        await asyncio.gather(*running, return_exceptions=True)
    return found


def run_model(count, seed, phases=tuple(PHASES)):
    """Run ``count`` nodes in simulated time and return the phases."""
    loop = Loop()
    former = clock.read_boot_clock
    clock.read_boot_clock = loop.time
    random.seed(seed)
    try:
        return loop.run_until_complete(run_phases(count, seed, phases))
    finally:
        clock.read_boot_clock = former
        loop.close()
