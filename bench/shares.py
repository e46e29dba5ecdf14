"""Simulates rate shares: wrongly refused requests and messages sent.

The decision code runs in simulated time with a seeded generator, so that
results are reproducible. Run with ``python -m bench.shares``.
"""

import collections
import dataclasses
import heapq
import itertools
import random
import time

import msgspec

from sesamejunction.decisions import shares
from sesamejunction.decisions import tokenallocator
from sesamejunction.decisions import tokenholder
from sesamejunction.model import messages
from sesamejunction.model import requests
from sesamejunction.model import state
from sesamejunction.model import timing

# Interval of a node's periodic work.
TICK_S = 0.05
# Shortest and longest delay of a message between nodes.
DELAY_S = (0.0003, 0.001)
# Tag, two incarnations and counter of a datagram; IP and UDP headers.
FRAME_BYTES = 16 + 24 + 28
DURATION_S = 30.0
PULSE_LENGTH_S = 3.0
# Time from the loss of a node until its slots are served elsewhere
# (test/process/test_takeover).
TAKEOVER_GAP_S = 0.85


@dataclasses.dataclass(frozen=True)
class Load:
    """Demand of one organisation; ``part`` is its multiple of the rate.

    ``rate`` (requests per second) and ``burst`` (requests) are the declared
    ones. A fraction ``skew`` arrives at one node, which changes every
    ``moves_s`` seconds. With ``pause_s`` the demand comes in pulses of
    PULSE_LENGTH_S with pauses of that many seconds in between.
    """

    name: str
    rate: float
    burst: float
    part: float
    skew: float = 0.0
    moves_s: float = 2.0
    pause_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Case:
    """One row of the printed table.

    ``loss`` is the fraction of messages that are lost. At ``fails_at`` all
    allocators fail; others take over after ``gap_s``. Times are in seconds.
    """

    title: str
    nodes: int
    max_nodes: int
    loads: tuple[Load, ...]
    loss: float = 0.0
    fails_at: float | None = None
    gap_s: float = 0.0


class Node:
    """Token holder, allocator and waiting requests of one node."""

    def __init__(self, number):
        self.holder = tokenholder.TokenHolder(number)
        self.allocator = tokenallocator.Allocator(number)
        self.waiting = collections.defaultdict(collections.deque)


class Simulation:
    """A discrete-event simulation of one case."""

    def __init__(self, case: Case):
        self.case = case
        self.random = random.Random(1)
        self.events = []
        self.order = itertools.count()
        self.now = 0.0
        self.epoch = 1
        self.fleet = state.FleetSettings(max_nodes=case.max_nodes)
        self.all_nodes = [
            Node(node_number) for node_number in range(case.nodes)
        ]
        self.loads = {demand.name: demand for demand in case.loads}
        self.organisations = {
            demand.name: state.Organisation(
                demand.name, demand.rate, demand.burst
            )
            for demand in case.loads
        }
        self.seen = collections.Counter()
        self.refused = collections.Counter()
        # ``buckets`` holds the token bucket that each organisation would have
        # if the whole fleet had just one; ``within`` counts the requests that
        # it admits, ``wrongly_refused`` those of them that were refused.
        self.buckets = {
            demand.name: (demand.burst, 2.0) for demand in case.loads
        }
        self.within = collections.Counter()
        self.wrongly_refused = collections.Counter()
        self.delays = []
        # Times that refused requests had waited, in seconds.
        self.held = []
        self.sent = 0
        self.sent_bytes = 0
        self.failed_nodes = set()

    def run(self) -> None:
        """Run the case for DURATION_S of simulated time."""
        self.choose_allocators(0)
        for number in range(len(self.all_nodes)):
            self.push(TICK_S * self.random.random(), self.tick, number)
        for load in self.case.loads:
            self.push(2.0, self.arrive, load)
        if self.case.fails_at is not None:
            self.push(self.case.fails_at, self.lose_allocators)
            taken_over_at = self.case.fails_at + self.case.gap_s
            self.push(taken_over_at, self.choose_allocators, 1)
        while self.events:
            self.now, _, action, arguments = heapq.heappop(self.events)
            if self.now > DURATION_S:
                return
            action(*arguments)

    def push(self, at, action, *arguments) -> None:
        """Schedule an action for a time."""
        heapq.heappush(self.events, (at, next(self.order), action, arguments))

    def lose_allocators(self) -> None:
        """Fail the nodes of all allocators; others take over later."""
        self.epoch += 1
        self.failed_nodes = set(range(len(self.loads)))

    def choose_allocators(self, shift: int) -> None:
        """Assign an allocator to each organisation; a shift replaces all."""
        self.epoch += shift
        for index, (name, declared) in enumerate(self.organisations.items()):
            owner = (index + shift * len(self.loads)) % len(self.all_nodes)
            self.open_pool(self.all_nodes[owner], name)
            for node in self.all_nodes:
                node.holder.set_organisation(
                    name,
                    shares.split_local_quota(declared, self.fleet),
                    shares.split_shared_quota(declared, self.fleet),
                    (owner,),
                    self.now,
                )

    def open_pool(self, node: Node, name: str) -> None:
        """Start an allocator's pool for an organisation, or update it."""
        node.allocator.open_pool(
            name,
            shares.split_shared_quota(self.organisations[name], self.fleet),
            requests.Token(self.epoch, 0),
            self.now,
        )

    def arrive(self, load: Load) -> None:
        """Handle one request and schedule the next."""
        self.push(
            self.now + self.random.expovariate(load.rate * load.part),
            self.arrive,
            load,
        )
        if (
            load.pause_s
            and self.now % (PULSE_LENGTH_S + load.pause_s) > PULSE_LENGTH_S
        ):
            return
        number = self.random.randrange(len(self.all_nodes))
        while number in self.failed_nodes:
            number = self.random.randrange(len(self.all_nodes))
        if self.random.random() < load.skew:
            number = int(self.now / load.moves_s) % len(self.all_nodes)
        node = self.all_nodes[number]
        node.holder.count_demand(load.name, self.now)
        self.seen[load.name] += 1
        within = self.is_within(load)
        self.serve(node, load.name)
        queue = node.waiting[load.name]
        if not queue:
            if node.holder.spend_token(load.name, self.now) is not None:
                self.delays.append(0.0)
                return
        if not node.holder.may_wait(load.name, self.now):
            self.refuse(load.name, within, self.now)
            return
        queue.append((self.now, within))
        self.ask(number, (load.name,))

    def is_within(self, load: Load) -> bool:
        """Return whether a bucket for the whole fleet admits a request."""
        level, at = self.buckets[load.name]
        level = min(load.burst, level + (self.now - at) * load.rate)
        within = level >= 1
        self.buckets[load.name] = (level - within, self.now)
        self.within[load.name] += within
        return within

    def refuse(self, name: str, within: bool, at: float) -> None:
        """Count a refused request; ``at`` is its time of arrival."""
        self.refused[name] += 1
        self.wrongly_refused[name] += within
        self.held.append(self.now - at)

    def serve(self, node: Node, name: str) -> None:
        """Give tokens to waiting requests; refuse those that wait too long."""
        queue = node.waiting[name]
        while queue:
            at, within = queue[0]
            if self.now - at > tokenholder.MAX_WAIT_S:
                queue.popleft()
                self.refuse(name, within, at)
            elif node.holder.spend_token(name, self.now) is not None:
                queue.popleft()
                self.delays.append(self.now - at)
            else:
                break
        if node.holder.is_empty(name, self.now):
            for at, within in queue:
                self.refuse(name, within, at)
            queue.clear()
        node.holder.accounts[name].waiting = len(queue)

    def ask(self, number: int, names=None) -> None:
        """Send a node's token requests that are due, of these organisations.

        Without ``names`` those of all organisations are sent.
        """
        node = self.all_nodes[number]
        for name in names or ():
            node.holder.accounts[name].waiting = len(node.waiting[name])
        for receiver, request in node.holder.build_requests(self.now, names):
            self.send(number, receiver, request)

    def tick(self, number: int) -> None:
        """Do the periodic work of a node."""
        self.push(self.now + TICK_S, self.tick, number)
        for name in self.loads:
            self.serve(self.all_nodes[number], name)
        self.ask(number)

    def send(self, sender: int, receiver: int, message) -> None:
        """Deliver a message after a delay, or lose it."""
        delay = 0.0
        if sender != receiver:
            self.sent += 1
            self.sent_bytes += FRAME_BYTES + measure(message)
            delay = self.random.uniform(*DELAY_S)
            if self.random.random() < self.case.loss:
                return
        self.push(self.now + delay, self.deliver, receiver, message)

    def deliver(self, receiver: int, message) -> None:
        """Handle a message at its receiver."""
        if receiver in self.failed_nodes:
            return
        node = self.all_nodes[receiver]
        match message:
            case messages.ShareRequest(holder=holder, wants=wants):
                names = [wanted.organisation for wanted in wants]
                for name in names:
                    self.open_pool(node, name)
                reply = node.allocator.answer(message, names, self.now)
                if reply is not None:
                    self.send(receiver, holder, reply)
            case messages.ShareReply():
                for name in node.holder.take_reply(message, self.now):
                    self.serve(node, name)
                    self.ask(receiver, (name,))


def measure(message) -> int:
    """Return the encoded size of a message without field names."""
    return len(msgspec.msgpack.encode(list_fields(message)))


def list_fields(value):
    """Return the values of nested data classes as lists."""
    if dataclasses.is_dataclass(value):
        return [
            list_fields(getattr(value, field_name))
            for field_name in value.__slots__
        ]
    return (
        [list_fields(item) for item in value]
        if isinstance(value, tuple)
        else value
    )


def list_cases() -> list[Case]:
    """Return the cases to simulate."""
    cases = []
    for nodes, node_limit in ((4, 32), (12, 32), (100, 128)):
        for part in (0.5, 0.75, 0.95):
            load = Load('moving', 1000.0, 500.0, part, skew=0.9)
            title = f'90% at a node that changes, {part:.0%} of the rate'
            cases.append(Case(title, nodes, node_limit, (load,)))
    even = Load('even', 1000.0, 500.0, 0.75)
    over = Load('over', 1000.0, 500.0, 5.0)
    small = Load('small', 40.0, 40.0, 0.6)
    ample = Load('ample', 1000.0, 2700.0, 0.75)
    for nodes, node_limit in ((4, 32), (12, 32), (100, 128)):
        cases.append(
            Case('one at 5x its rate', nodes, node_limit, (even, small, over))
        )
    # The rate of this organisation was lowered to a third of its demand.
    lowered = Load('lowered', 43.0, 43.0, 3.0)
    cases.append(Case('one at 3x its rate', 12, 32, (lowered,)))
    hot = Load('hot', 243.0, 243.0, 5.0)
    cases.append(Case('one at 5x a rate of 243', 14, 64, (hot,)))
    label = Load('label', 20.0, 20.0, 4.0, pause_s=5.0)
    cases.append(Case('pulses of 4x its rate', 12, 32, (label,)))
    cases.append(Case('5% loss', 12, 32, (even, small), loss=0.05))
    calm = Load('calm', 40.0, 40.0, 0.75)
    lost = {'fails_at': 15.0, 'gap_s': TAKEOVER_GAP_S}
    for nodes, node_limit in ((5, 8), (12, 32)):
        loads = (calm, dataclasses.replace(calm, name='busy', part=5.0))
        cases.append(Case('allocators lost', nodes, node_limit, loads, **lost))
    loads = (even, ample)
    cases.append(Case('allocators lost', 12, 32, loads, **lost))
    return cases


def time_answers(holders: int) -> float:
    """Return an allocator's processor time for a request, in seconds.

    All holders request more than is available, which is the slowest case.
    """
    allocator = tokenallocator.Allocator(0)
    quota = shares.Quota(1000.0, 500.0)
    allocator.open_pool('one', quota, requests.Token(1, 0), 0.0)
    rounds = 3 + 3000 // holders
    started = time.process_time()
    for turn in range(rounds):
        for holder in range(holders):
            want = messages.ShareWant('one', 1.0, 50.0)
            asked = messages.ShareRequest(holder, turn + 1, turn, (want,))
            now = (turn + holder / holders) * timing.SHARE_INTERVAL_S
            allocator.answer(asked, ('one',), now)
    return (time.process_time() - started) / (rounds * holders)


def main() -> None:
    """Run and print all cases."""
    for holders in (12, 100, 2000):
        spent = time_answers(holders) * 1e6
        print(f'{holders} holders: {spent:.1f} us a request')
    print('Refused: of the requests that one bucket for the fleet admits,')
    print('and in brackets all admitted requests as a part of those.')
    print(f'nodes max  {"refused":51}wait p99  msg/s  B/s  held')
    for case in list_cases():
        started = time.process_time()
        sim = Simulation(case)
        sim.run()
        # Requests are sent from 2.0 s on.
        seconds = DURATION_S - 2.0
        refused = ', '.join(
            f'{name} {sim.wrongly_refused[name] / sim.within[name]:.2%}'
            f' ({(sim.seen[name] - sim.refused[name]) / sim.within[name]:.0%})'
            for name in sim.loads
        )
        sim.delays.sort()
        wait = sim.delays[int(len(sim.delays) * 0.99)] * 1000
        print(
            f'{case.nodes:5} {case.max_nodes:3}  {refused:50}'
            f'{wait:6.1f} ms {sim.sent / seconds / case.nodes:6.1f}'
            f' {sim.sent_bytes / seconds / case.nodes:6.0f}'
            f' {sum(sim.held) / max(1, len(sim.held)) * 1000:5.0f} ms'
            f'  {case.title} ({time.process_time() - started:.1f} s cpu)'
        )


if __name__ == '__main__':
    main()
