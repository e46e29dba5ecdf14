"""Runs the actors of several nodes with simulated clocks and network.

The actors are the real ones; only their sockets, log and clock are replaced.
Nothing here sleeps or runs an event loop, so a run is determined by its seed.
"""

import dataclasses
import heapq
import math
import random

from sesamejunction.decisions import fold
from sesamejunction.model import journaling
from sesamejunction.model import owning
from sesamejunction.model import packets
from sesamejunction.model import records
from sesamejunction.model import state
from sesamejunction.tasks import clock
from sesamejunction.tasks import leases
from sesamejunction.tasks import once
from sesamejunction.tasks import owners
from sesamejunction.tasks import peercalls
from sesamejunction.tasks import witnesses

SERVICE = 'catalogue'
# Hash of the key that may get slot HOT_SLOT; its fixed slot is 0.
HOT_KEY, HOT_SLOT = 0, 2
WALL_START = 1_800_000_000.0
ZONES = ('a', 'b', 'c')


class EndedError(Exception):
    """The incarnation of a node has ended."""


def end_process(reason):
    """Replaces the node, which would start a new incarnation."""
    raise EndedError(reason)


@dataclasses.dataclass
class Port:
    """Replaces the datagram, log or grant actor of a node."""

    take: object

    def tell(self, message):
        self.take(message)

    publish = tell


@dataclasses.dataclass
class Calls:
    """Replaces the calls of Owners to peers."""

    fleet: object
    own: int

    def start_release_request(self, member, question, now):
        self.fleet.send(self.own, member.incarnation, question)

    def deliver_releases(self, member, given, now):
        message = owning.Releases(tuple(given))
        self.fleet.send(self.own, member.incarnation, message)


class OnceInbox:
    """Replaces the inbox of the Once actor; messages are handled at once."""

    def __init__(self):
        self.task = once.Once(lambda: clock.read_wall_clock())

    async def ask(self, message):
        return await self.task.handle(message)

    def tell_reliably(self, message):
        drive(self.task.handle(message))


@dataclasses.dataclass
class Wake:
    """Replaces the timer of an actor."""

    node: object
    task: object

    def __call__(self, seconds):
        due = self.node.read_clock() + seconds
        self.node.due[self.task] = min(self.node.due[self.task], due)


class Node:
    """A process: its actors, its clock and its position in the log."""

    stays_witness = True

    def __init__(self, fleet, incarnation, port, rate, offset):
        self.fleet = fleet
        self.incarnation = incarnation
        self.port = port
        self.rate, self.clock_offset = rate, offset
        self.log_offset = 0
        self.paused = self.dead = self.lagging = False
        # An ended incarnation still acts as a witness, a dead process does
        # not.
        self.ended = False
        self.backlog = []
        fleet.current = self
        ignore = Port(lambda message: None)
        ports = leases.Ports(
            Port(lambda m: fleet.send(incarnation, m.incarnation, m.message)),
            Port(lambda m: fleet.append(m.record)),
        )
        self.once = OnceInbox()
        self.owners = owners.Owners(
            incarnation,
            owners.Ports(None, ports.appender, ignore, self.once),
        )
        self.owners._calls = Calls(fleet, incarnation)
        self.leases = leases.Leases(
            incarnation, ports, end_process, self.owners
        )
        self.witnesses = witnesses.Witnesses(
            incarnation, ports, (self.leases, self.owners)
        )
        self.tasks = (self.leases, self.witnesses, self.owners)
        self.due = dict.fromkeys(self.tasks, -math.inf)
        for task in self.tasks:
            task.tick_within = Wake(self, task)
        self.leases.journal = self.witnesses.journal = ignore
        self.leases.subscribe(self.witnesses)

    def read_clock(self):
        return self.clock_offset + self.rate * self.fleet.time

    def serves(self):
        """Return the slots whose requests this process would run."""
        if self.dead or self.read_clock() >= self.owners._lease.end:
            return set()
        return {k[1] for k, s in self.owners._slots.items() if s.token}

    def serves_key(self):
        """Return whether this process would run requests of the hot key."""
        table = self.owners._state.tables.get(SERVICE)
        if table is None:
            return False
        return table.hot_keys.get(HOT_KEY, HOT_KEY) in self.serves()

    def step(self):
        """Read the log, handle messages and run the ticks that are due."""
        self.fleet.current = self
        if not self.lagging and self.fleet.log_up:
            self.read_log()
        try:
            for sender, message in self.take_backlog():
                self.take(sender, message)
                self.pump()
            for task in self.tasks:
                if self.read_clock() >= self.due[task]:
                    drive(task.tick())
                    self.due[task] = self.read_clock() + task.tick_s
                    self.pump()
        except EndedError:
            self.ended = True
            self.dead = not self.stays_witness

    def read_log(self):
        if self.log_offset == len(self.fleet.states) - 1:
            return
        self.log_offset = len(self.fleet.states) - 1
        for task in self.tasks:
            task.publish(journaling.StateChanged(self.fleet.states[-1]))
        self.pump()

    def take_backlog(self):
        taken, self.backlog = self.backlog, []
        return taken

    def take(self, sender, message):
        match message:
            case owning.AskReleases():
                reply = drive(self.owners.handle(message))
                mine = tuple(
                    one
                    for one in reply.given
                    if one.member == self.incarnation
                )
                taken = peercalls.Delivered(-1, frozenset(mine))
                self.fleet.send(self.incarnation, sender, taken)
            case owning.Releases(given=given):
                if drive(self.owners.handle(message)) is not None:
                    taken = peercalls.Delivered(
                        self.incarnation, frozenset(given)
                    )
                    self.fleet.send(self.incarnation, sender, taken)
            case peercalls.Delivered(member=-1, given=given):
                self.owners.tell(owning.Releases(tuple(given)))
            case peercalls.Delivered():
                self.owners.tell(message)
            case _:
                received = packets.Received(sender, message, self.read_clock())
                for task, kinds in (
                    (self.leases, leases.MESSAGE_TYPES),
                    (self.witnesses, witnesses.MESSAGE_TYPES),
                ):
                    if isinstance(message, kinds):
                        task.tell(received)

    def pump(self):
        while any(task._inbox for task in self.tasks):
            for task in self.tasks:
                while task._inbox:
                    drive(task._dispatch(task._inbox.take()))


class Fleet:
    """Nodes, network and log; ``check`` fails if a slot has two owners."""

    def __init__(self, monkeypatch, count, slots=2, step_s=0.01, seed=0):
        self.random = random.Random(seed)
        self.time, self.step_s = 0.0, step_s
        self.current = None
        self.nodes = {}
        self.states = [state.State()]
        self.log_up = True
        self.loss, self.delay_s = 0.0, 0.002
        self.cut_links = set()
        self.in_flight = []
        self.sent = 0
        self.ended = set()

        async def skip(_):
            return None

        monkeypatch.setattr(
            clock, 'read_boot_clock', lambda: self.current.read_clock()
        )
        monkeypatch.setattr(
            clock, 'read_wall_clock', lambda: WALL_START + self.time
        )
        monkeypatch.setattr(leases.random, 'random', self.random.random)
        monkeypatch.setattr(leases.asyncio, 'sleep', skip)
        self.append(
            records.TicketApplied(
                1,
                '',
                '',
                services=(state.Service(SERVICE, state.Routing.KEY, slots),),
            )
        )
        for number in range(1, count + 1):
            self.start(number, number)

    def start(self, incarnation, port, rate=1.0, fenced=True):
        """Start a process on an address; it replaces a former one there."""
        offset = self.random.uniform(0, 1000)
        node = Node(self, incarnation, port, rate, offset)
        self.nodes[incarnation] = node
        member = state.Member(
            incarnation,
            f'node-{port}',
            ZONES[port % 3],
            '127.0.0.1',
            port,
            port,
            port,
            SERVICE,
            12,
            2,
            fenced,
        )
        last = self.states[-1]
        former = fold.find_member_at_address(last, member)
        self.append(records.MemberJoined(member, former, last.offset))

    def append(self, record):
        if self.log_up:
            last = self.states[-1]
            self.states.append(fold.apply_record(last, last.offset, record))

    def name_witnesses(self, holder, *chosen):
        old = self.states[-1].witness_sets.get(holder)
        version = old.version + 1 if old else 1
        entry = records.WitnessEntry(holder, version, chosen)
        self.append(records.WitnessesNamed((entry,)))

    def arrange(self, slot, *order):
        table = self.states[-1].tables.get(SERVICE)
        old = table.orders[slot] if table else None
        entry = records.SlotEntry(slot, old.epoch if old else 0, order)
        self.append(records.SlotsArranged(SERVICE, (entry,)))

    def place_hot_key(self, *order):
        base = self.states[-1].tables[SERVICE].orders[0]
        self.append(
            records.HotKeyPlaced(SERVICE, HOT_KEY, HOT_SLOT, base.epoch, order)
        )

    def remove_hot_key(self):
        orders = self.states[-1].tables[SERVICE].orders
        if len(orders) > HOT_SLOT:
            epoch = orders[HOT_SLOT].epoch
            self.append(records.HotKeyRemoved(SERVICE, HOT_KEY, epoch))

    def send(self, sender, receiver, message):
        if self.random.random() < self.loss:
            return
        at = self.time + self.random.uniform(0.0002, self.delay_s)
        self.sent += 1
        heapq.heappush(
            self.in_flight, (at, self.sent, sender, receiver, message)
        )

    def isolate(self, one, *others):
        """Cut the links between a node and some others, or all others."""
        for other in others or self.nodes:
            self.cut_links |= {(one, other), (other, one)}

    def run(self, seconds):
        """Advance the simulated time; check the invariants at each step."""
        for _ in range(round(seconds / self.step_s)):
            self.time += self.step_s
            while self.in_flight and self.in_flight[0][0] <= self.time:
                _, _, sender, receiver, message = heapq.heappop(self.in_flight)
                node = self.nodes.get(receiver)
                if node and (sender, receiver) not in self.cut_links:
                    node.backlog.append((sender, message))
            for node in list(self.nodes.values()):
                if not (node.paused or node.dead):
                    node.step()
            self.check()

    def run_until(self, condition, limit_s):
        """Return the seconds until the condition holds, inf on timeout."""
        started = self.time
        while self.time - started < limit_s:
            self.run(self.step_s)
            if condition():
                return self.time - started
        return math.inf

    def find_servers(self, slot):
        return [n for n, one in self.nodes.items() if slot in one.serves()]

    def check(self):
        """Fail if a slot has two servers or an ended node serves."""
        served = {}
        for incarnation, node in self.nodes.items():
            self.ended |= node.witnesses._ledger.ended
            for slot in node.serves():
                served.setdefault(slot, []).append(incarnation)
        holders = [n for n, one in self.nodes.items() if one.serves_key()]
        assert len(holders) <= 1, f'the hot key is served by {holders}'
        for slot, found in served.items():
            assert len(found) == 1, f'slot {slot} is served by {found}'
            assert not self.ended & set(found), f'{found} ended but serves'


def enter_slot(node, slot, request_id):
    """Return the reply to a request that enters a slot of a node."""
    question = owning.EnterSlot(SERVICE, slot, request_id, None)
    return drive(node.owners.handle(question))


def drive(coroutine):
    """Run a coroutine that never suspends, and return its result."""
    try:
        coroutine.send(None)
    except StopIteration as stopped:
        return stopped.value
    raise AssertionError('the task waited for something')
