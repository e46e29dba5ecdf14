"""Choice by expected finish beside the choice by latency, without network."""

import heapq
import itertools
import math
import random
import statistics

import pytest

from sesamejunction.model import choosing
from sesamejunction.model import gating
from sesamejunction.model import journaling
from sesamejunction.model import leasing
from sesamejunction.model import ranges
from sesamejunction.model import requests
from sesamejunction.model import state
from sesamejunction.tasks import chooser
from sesamejunction.tasks import clock as clocks
from sesamejunction.tasks import scheduler
from test import test_scheduler as scheduling_tests

SLOTS = 5
RUN_S = 0.1
DEADLINE_S = 2.0
# Duration of a slow spell, as design/uneven-servers.md describes them.
SPELL_S = 0.4
SECONDS = 20.0
# Requests that begin earlier only warm up the averages.
WARM_UP_S = 3.0
# A request to a node that is cut off fails after links.CONNECT_WAIT_S.
CUT_S = 0.5
# The platform's limit until a target that joins gets requests of other nodes.
JOIN_LIMIT_S = 4.0


class Fleet:
    """Nodes with real choosers and schedulers; only run times are made up.

    ``factors`` has each target's run time over the usual one, ``callers``
    each node's share of the requests.
    """

    def __init__(self, pattern, by_finish, clock):
        self.pattern = pattern
        self._clock = clock
        self._random = random.Random(5)
        self._events, self._numbers = [], itertools.count()
        self._count = len(pattern['factors'])
        self._by_finish = by_finish
        self.taken_s = []
        # Times of requests of other nodes, by target.
        self.arrivals = [[] for _ in range(self._count)]

    async def start(self):
        self.schedulers = [
            await self._make_scheduler() for _ in range(self._count)
        ]
        self.choosers = [
            chooser.Chooser(
                number + 1,
                self._find_zone(number),
                self._random.randrange,
                waits=Waits(self, number) if self._by_finish else None,
            )
            for number in range(self._count)
        ]
        await self._register(self._count - bool(self.pattern.get('joins')))

    async def _make_scheduler(self):
        made = scheduler.Scheduler(
            'orders', scheduling_tests.Holdings(), self._clock
        )
        life = ranges.Life('node', 'target', 1)
        await made.handle(leasing.TargetStatus(life, SLOTS, 0.0))
        return made

    async def _register(self, count):
        service = state.Service('orders', state.Routing.LOAD, 0)
        members = {
            number + 1: state.Member(
                *(number + 1, f'n{number}', self._find_zone(number), '', 1),
                *(2, 3, 'orders', SLOTS, SLOTS, True),
            )
            for number in range(count)
        }
        current = state.State(services={'orders': service}, members=members)
        for made in self.choosers:
            await made.handle(journaling.StateChanged(current))

    def _find_zone(self, number):
        if self.pattern.get('alone') and number == self._count - 1:
            return 'c'
        return 'a' if number < self._count // 2 else 'b'

    def find_slowness(self, number):
        """Return the present slowness of a target's machine."""
        if not self.pattern.get('spells'):
            return 1.0
        spell = int(self._clock.now / SPELL_S)
        return (
            3.0 if random.Random(spell * 99 + number).random() < 1 / 3 else 1
        )

    def _push(self, delay_s, event):
        at = self._clock.now + delay_s
        heapq.heappush(self._events, (at, next(self._numbers), event))

    async def run(self):
        start = self._clock.now
        self._push(0.0, (self._arrive,))
        if self.pattern.get('joins'):
            self._push(WARM_UP_S, (self._register, self._count))
        while self._events[0][0] < start + SECONDS:
            self._clock.now, _, event = heapq.heappop(self._events)
            await event[0](*event[1:])

    async def _arrive(self):
        capacity = sum(SLOTS / RUN_S / f for f in self.pattern['factors'])
        rate = capacity * self.pattern.get('use', 0.65)
        self._push(self._random.expovariate(rate), (self._arrive,))
        callers = self.pattern.get('callers', [1] * self._count)
        node = self._random.choices(range(self._count), callers)[0]
        head = scheduling_tests.make_head(
            next(self._numbers), left_s=DEADLINE_S, now=self._clock.now
        )
        made = self.choosers[node]
        reply = await made.handle(choosing.ChooseCandidate(head))
        while made._inbox:
            await made.handle(made._inbox.take().message)
        if not isinstance(reply, choosing.Chosen):
            reply = reply.result()
        number = reply.candidate.member.incarnation - 1
        if number != node:
            self.arrivals[number].append(self._clock.now)
        if number in self.pattern.get('cut', ()) and number != node:
            self._push(CUT_S, (self._end, node, number, head, None))
            return
        admitted = await self.schedulers[number].handle(gating.Admit(head))
        if isinstance(admitted, gating.Admitted):
            self._start_work(node, number, head)
        elif isinstance(admitted, requests.Refusal):
            self._record(head, DEADLINE_S)
        else:
            self._wait(node, number, head, admitted)

    def _wait(self, node, number, head, admitted):
        waiting = self.schedulers[number].waiting = getattr(
            self.schedulers[number], 'waiting', []
        )
        waiting.append((node, head, admitted))

    def _start_work(self, node, number, head):
        slowness = self.find_slowness(number)
        # Work is drawn from 0.5 to 1.5 times the usual run time.
        run_s = RUN_S * (0.5 + self._random.random())
        run_s *= self.pattern['factors'][number] * slowness
        self._push(run_s, (self._end, node, number, head, run_s))

    async def _end(self, node, number, head, run_s):
        taken_s = self._clock.now + DEADLINE_S - head.deadline
        self._record(head, taken_s if run_s else DEADLINE_S)
        load = None
        if run_s:
            made = self.schedulers[number]
            slowness = self.find_slowness(number)
            await made.handle(
                gating.WorkFinished(head.request_id, run_s, False, slowness)
            )
            load = made.load
            for one in list(getattr(made, 'waiting', ())):
                if one[2].done():
                    made.waiting.remove(one)
                    self._start_work(one[0], number, one[1])
        await self.choosers[node].handle(
            choosing.AttemptEnded(
                *('orders', number + 1, taken_s if run_s else None, load),
                failed=not run_s,
            )
        )

    def _record(self, head, taken_s):
        if head.deadline - DEADLINE_S > 1000.0 + WARM_UP_S:
            self.taken_s.append(taken_s)


class Waits:
    """Answers questions at once, from the schedulers of the fleet."""

    def __init__(self, fleet, own):
        self._fleet = fleet
        self._own = own

    def estimate_own(self, _service, route):
        made = self._fleet.schedulers[self._own]
        return None if made.load.work_s is None else made.estimate_wait(route)

    def ask(self, members, _service, route, on_end):
        numbers = [member.incarnation - 1 for member in members]
        on_end(
            {
                number + 1: (
                    self._fleet.schedulers[number].estimate_wait(route),
                    self._fleet._clock.now,
                )
                for number in numbers
                if number not in self._fleet.pattern.get('cut', ())
            }
        )


EVEN = [1.0] * 8
# Bounds on mean and 95th percentile, as parts of those of today's choice:
# patterns that it does not see must cost clearly less, none may cost more.
PATTERNS = {
    'even': ({'factors': EVEN}, 1.0, 1.0),
    'fast and slow': ({'factors': [1.0, 2.5] * 4}, 0.9, 0.9),
    'slow spells': ({'factors': EVEN, 'spells': True, 'use': 0.45}, 0.9, 0.9),
    'busy zone': ({'factors': EVEN, 'callers': [4] * 4 + [1] * 4}, 1.0, 1.0),
    'joining': ({'factors': EVEN, 'joins': True}, 1.0, 1.0),
    # Nodes of other zones are its only callers. Nothing waits here, so the
    # times differ by chance.
    'joining alone in its zone': (
        {'factors': EVEN, 'joins': True, 'alone': True, 'use': 0.15},
        1.05,
        1.05,
    ),
    'cut off': ({'factors': EVEN, 'cut': (1, 6), 'use': 0.4}, 0.9, 1.0),
}


async def measure(pattern, by_finish, monkeypatch):
    clock = scheduling_tests.Clock()
    monkeypatch.setattr(clocks, 'read_boot_clock', clock)
    fleet = Fleet(pattern, by_finish, clock)
    await fleet.start()
    await fleet.run()
    taken_s = sorted(fleet.taken_s)
    percentile_s = taken_s[int(len(taken_s) * 0.95)]
    return fleet, statistics.mean(taken_s), percentile_s


@pytest.mark.parametrize('name', PATTERNS)
async def test_patterns(name, monkeypatch):
    pattern, mean_bound, tail_bound = PATTERNS[name]
    _, mean_s, tail_s = await measure(pattern, False, monkeypatch)
    fleet, new_mean_s, new_tail_s = await measure(pattern, True, monkeypatch)
    print(
        f'{name}: mean {mean_s:.3f} -> {new_mean_s:.3f} s, '
        f'95th percentile {tail_s:.3f} -> {new_tail_s:.3f} s'
    )
    assert new_mean_s <= mean_s * mean_bound
    assert new_tail_s <= tail_s * tail_bound
    if pattern.get('joins'):
        joined_at = 1000.0 + WARM_UP_S
        assert (
            min(fleet.arrivals[-1], default=math.inf)
            <= joined_at + JOIN_LIMIT_S
        )
