"""Value served by the order of work under several patterns of arrivals.

A small model of a target plays each pattern through the scheduler, with its
own queue and with simpler orders in its place.
"""

import dataclasses
import heapq
import math
import random

import pytest

from sesamejunction.decisions import scheduling
from sesamejunction.decisions import workorder
from sesamejunction.model import gating
from sesamejunction.model import leasing
from sesamejunction.model import ranges
from sesamejunction.model import requests
from sesamejunction.tasks import scheduler

PLAYED_S = 60.0
LATE_VALUE = 0.3
# A fifth of the time the target is three times slower.
SLOW_S = 0.4
SLOW_PERIOD_S = 2.0
SLOW_FACTOR = 3.0
STANDING = requests.Standing


@dataclasses.dataclass(frozen=True)
class Kind:
    """Requests of one kind; ``rate`` returns their rate at a time."""

    name: str
    rank: int
    value: float
    work_s: float
    objective_s: float
    deadline_s: float
    rate: object
    standing: STANDING = STANDING.NEW


# What the simpler orders know of a request. The objective only orders those
# of one rank here: by arrival if it is infinite.
KNOWN = {
    'first come': lambda one: {'rank': 0, 'objective': math.inf},
    'rank': lambda one: {'objective': math.inf},
    'deadline': lambda one: {'rank': 0, 'objective': one.deadline + 1e6},
}


class SimpleScheduler(scheduler.Scheduler):
    """Scheduler with a simpler order, in which no rank keeps a share."""

    def __init__(self, order, *args):
        super().__init__(*args)
        self._order = order
        self._queue.add_arrival = lambda _: None

    def _build_pending_request(self, head):
        known = super()._build_pending_request(head)
        return dataclasses.replace(
            known, standing=STANDING.NEW, **KNOWN[self._order](known)
        )


class Model:
    """A target behind a scheduler, and callers who come back once."""

    def __init__(self, kinds, slots, order, slowness=1.0):
        self.now = 1000.0
        self._random = random.Random(5)
        self._kinds = {kind.name: kind for kind in kinds}
        self._slots = slots
        self._slowness = slowness
        holdings = type('Holdings', (), {'rows': ()})
        arguments = 's', holdings, lambda: self.now
        if order is None:
            self._made = scheduler.Scheduler(*arguments)
        else:
            self._made = SimpleScheduler(order, *arguments)
        self._events = []
        self._number = 0
        self._waiting = {}
        self.arrived = dict.fromkeys(self._kinds, 0)
        self.served = dict.fromkeys(self._kinds, 0)
        self.values = dict.fromkeys(self._kinds, 0.0)

    async def play(self):
        life = ranges.Life('node', 'target', 1)
        await self._made.handle(leasing.TargetStatus(life, self._slots, 0.0))
        for kind in self._kinds.values():
            self._push(self.now, self._arrive, kind)
        self._push(self.now, self._review)
        while self._events[0][0] < 1000.0 + PLAYED_S:
            self.now, _, handle, values = heapq.heappop(self._events)
            await handle(*values)
            for head, reply in list(self._waiting.items()):
                if reply.done():
                    del self._waiting[head]
                    self._take(head, reply.result())
        return self

    def _push(self, at, handle, *values):
        self._number += 1
        heapq.heappush(self._events, (at, self._number, handle, values))

    async def _review(self):
        await self._made.tick()
        self._push(self.now + 0.05, self._review)

    async def _arrive(self, kind):
        rate = kind.rate(self.now - 1000.0)
        self._push(
            self.now + self._random.expovariate(max(rate, 0.1)),
            *(self._arrive, kind),
        )
        self.arrived[kind.name] += 1
        await self._send(
            requests.Head(
                *(str(self._number), 's', 'GET', '/', None, None, ''),
                deadline=self.now + kind.deadline_s,
                repeatable=True,
                route=kind.name,
                rank=kind.rank,
                objective=self.now + kind.objective_s,
                standing=kind.standing,
            )
        )

    async def _send(self, head):
        reply = await self._made.handle(gating.Admit(head))
        if isinstance(reply, gating.Admitted | requests.Refusal):
            self._take(head, reply)
        else:
            self._waiting[head] = reply

    def _take(self, head, reply):
        left_s = head.deadline - self.now
        match reply:
            case gating.Admitted():
                work_s = self._kinds[head.route].work_s * self._slowness
                work_s *= self._random.lognormvariate(-0.08, 0.4)
                if self.now % SLOW_PERIOD_S < SLOW_S:
                    work_s *= SLOW_FACTOR
                end = min(self.now + work_s, head.deadline)
                self._push(end, self._finish, head, self.now, work_s <= left_s)
            case requests.Refusal() if not head.headers:
                delay_s = reply.retry_after_s
                again = dataclasses.replace(
                    head,
                    request_id=f'{head.request_id}b',
                    headers=(('again', ''),),
                )
                if delay_s <= left_s / 3:
                    self._push(self.now + delay_s, self._send, again)

    async def _finish(self, head, started, is_answered):
        taken_s = self.now - started if is_answered else None
        if is_answered:
            kind = self._kinds[head.route]
            self.served[kind.name] += 1
            is_late = self.now > head.objective
            self.values[kind.name] += LATE_VALUE if is_late else 1.0
        await self._made.handle(gating.WorkFinished(head.request_id, taken_s))

    @property
    def value(self):
        return sum(
            kind.value * self.values[name]
            for name, kind in self._kinds.items()
        )

    def rate_kinds(self, totals):
        """Return the totals by arrived request, the highest rank first."""
        return [round(totals[name] / self.arrived[name], 2) for name in totals]


def steady(rate):
    return lambda _: rate


def swing(rate):
    return lambda at: rate * (1 + 0.5 * math.sin(at * math.tau / 15))


def burst(rate, factor):
    return lambda at: rate * (factor if 10 <= at < 50 else 1.0)


BOOKING = Kind('booking', 0, 4.0, 0.14, 0.5, 2.0, steady(10))
READ = Kind('read', 1, 2.0, 0.05, 0.4, 1.5, steady(30))
IMPORT = Kind('import', 2, 1.0, 0.27, 1.0, 4.0, steady(6))
CALL = Kind('call', 0, 4.0, 0.032, 0.12, 0.41, steady(20), STANDING.BEGUN)


def vary(kind, rate):
    return dataclasses.replace(kind, rate=rate)


# The usual load of one target with 8 slots: booking 1.4, read 1.5 and import
# 1.6 seconds of work a second, and 1.4 times as much with the slow times.
PATTERNS = {
    'swing': (
        [
            vary(BOOKING, swing(13)), vary(READ, swing(40)),
            vary(IMPORT, swing(6)),
        ], 6, 1.0,
    ),
    'lowest rank bursts': ([BOOKING, READ, vary(IMPORT, burst(6, 2.4))], 7, 1),
    'highest rank bursts': (
        [vary(BOOKING, burst(18, 1.7)), READ, IMPORT], 7, 1,
    ),
    'calls against imports': ([CALL, vary(IMPORT, steady(18))], 6, 1),
    'calls above capacity': (
        [vary(CALL, steady(160)), vary(IMPORT, steady(6))], 6, 1,
    ),
    'all slow': ([BOOKING, READ, IMPORT], 7, 1.8),
}  # fmt: skip


# Guards against an order that serves less value than a simpler one, that
# starves a kind, or that serves a kind less often than a less urgent one.
@pytest.mark.parametrize(
    ('kinds', 'slots', 'slowness'), PATTERNS.values(), ids=PATTERNS
)
async def test_value_of_the_order_of_work(kinds, slots, slowness):
    played = {
        order: await Model(kinds, slots, order, slowness).play()
        for order in (None, *KNOWN)
    }
    for order, model in played.items():
        served = model.rate_kinds(model.served)
        print(f'{order or "chosen"}: {model.value:.0f}, {served}')
    chosen = played.pop(None)
    assert chosen.value >= 0.97 * max(one.value for one in played.values())
    whole = sum(chosen.served.values()) / sum(chosen.arrived.values())
    served = chosen.rate_kinds(chosen.served)
    values = chosen.rate_kinds(chosen.values)
    assert min(served) >= 0.25 * whole
    for index in range(1, len(kinds)):
        assert served[index] <= served[index - 1] + 0.05
        assert values[index] <= values[index - 1] + 0.15


# Guards against refused callers who all return at the same time, and against
# delays that callers do not keep. Columns: wait and time left in seconds.
@pytest.mark.parametrize(('wait_s', 'left_s'), [(0.4, 2.0), (3.0, 1.5)])
def test_refused_callers_return_apart_and_in_time(wait_s, left_s):
    delays = [
        workorder.choose_retry_delay(wait_s, left_s, f'{number:x}.1.1')
        for number in range(200)
    ]
    assert max(delays) <= left_s / 3
    assert max(delays) - min(delays) >= 0.5 * max(delays)
    assert len({round(delay, 3) for delay in delays}) >= 50


# Guards against a scheduler that ends, with its node, on the check of a
# request whose lane has not met a queue for long: its share of the arrivals
# had become too small for a division.
def test_lane_without_arrivals_for_long():
    queue = workorder.WorkQueue(scheduling.ServiceTimes())
    rare, usual = (
        scheduling.PendingRequest(f'r{rank}', '', 'read', rank, 10.0)
        for rank in (2, 0)
    )
    queue.add_arrival(rare)
    for _ in range(150_000):
        queue.add_arrival(usual)
    queue.push(usual, 0.0)
    assert queue.measure_ahead(rare, 0.0).count == 1
