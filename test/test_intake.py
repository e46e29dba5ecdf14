"""Scheduling of large bodies, and simulated uploads over slow lines."""

import asyncio
import dataclasses
import heapq
import itertools
import random

import pytest

from sesamejunction.decisions import intake
from sesamejunction.model import gating
from sesamejunction.model import incomingbodies
from sesamejunction.model import requests
from sesamejunction.tasks import intake as tasks

LINE_MBPS = 5.0
LINE_BYTES_S = LINE_MBPS * tasks.BYTES_PER_MBIT
SENDER = 7
KB = 1000


def make_body(
    number, size=60 * KB, rank=1, latest=2.0, sender=SENDER, wanted=None
):
    wanted = latest if wanted is None else wanted
    return incomingbodies.OfferedBody(
        number, sender, size, rank, latest, wanted
    )


def make_intake(bytes_s=LINE_BYTES_S):
    return intake.Intake(intake.Line(bytes_s))


# Rows: accepted bodies as (size, rank, latest), the new body, and whether the
# new one is refused.
OFFERS = {
    'an idle line': ([], (60 * KB, 1, 2.0), False),
    'too large for its time': ([], (360 * KB, 1, 0.5), True),
    'too many before it': ([(340 * KB, 1, 2.0)] * 3, (60 * KB, 1, 2.0), True),
    'less urgent ones before it': (
        [(340 * KB, 2, 2.0)] * 3,
        (60 * KB, 1, 2.0),
        False,
    ),
    'it would make an accepted one late': (
        [(300 * KB, 1, 0.7)],
        (100 * KB, 1, 0.6),
        True,
    ),
    'it would make a less urgent one late': (
        [(300 * KB, 2, 0.7)],
        (100 * KB, 1, 0.6),
        False,
    ),
    'its time is over': ([], (60 * KB, 1, -0.1), True),
}
# Rows: accepted bodies as (size, rank, latest), then size, rank and objective
# of the new one, whose latest time is 3 s, and whether it is refused.
WANTED = {
    'an idle line': ([], (60 * KB, 1, 0.5), False),
    'too large for its objective alone': ([], (360 * KB, 1, 0.3), False),
    'large, and little before it': (
        [(60 * KB, 1, 2.0)],
        (360 * KB, 1, 0.3),
        False,
    ),
    'too much before it': ([(340 * KB, 1, 2.0)], (60 * KB, 1, 0.5), True),
    'less urgent ones before it': (
        [(340 * KB, 2, 2.0)],
        (60 * KB, 1, 0.5),
        False,
    ),
    'objective missed already': (
        [(340 * KB, 1, 2.0)],
        (60 * KB, 1, -0.1),
        False,
    ),
}


# Guards against uploads that wait on a full line until all of them are late,
# and against starvation of large ones.
@pytest.mark.parametrize(
    ('accepted', 'offered', 'refused'), WANTED.values(), ids=WANTED
)
def test_body_that_would_miss_its_objective_is_refused(
    accepted, offered, refused
):
    bodies = make_intake()
    for number, (size, rank, latest) in enumerate(accepted):
        bodies.push(make_body(number, size, rank, latest))
    size, rank, wanted = offered
    body = make_body(99, size, rank, 3.0, wanted=wanted)
    assert (bodies.find_refusal(body, 0.0) is not None) is refused


# Guards against bodies that use bandwidth although they will be late, or that
# make others late.
@pytest.mark.parametrize('known_speed', [True, False])
@pytest.mark.parametrize(
    ('accepted', 'offered', 'refused'), OFFERS.values(), ids=OFFERS
)
def test_body_that_would_be_late_is_refused(
    accepted, offered, refused, known_speed
):
    bodies = make_intake(LINE_BYTES_S if known_speed else 0.0)
    for number, (size, rank, latest) in enumerate(accepted):
        bodies.push(make_body(number, size, rank, latest))
    size, rank, latest = offered
    late = bodies.find_refusal(make_body(99, size, rank, latest), 0.0)
    if not known_speed:
        # Only a deadline that has passed is certain to be missed.
        refused = latest < 0.0
    assert (late is not None) is refused
    if refused:
        assert late.body.number == 99
        assert late.retry_after_s >= intake.MIN_RETRY_DELAY_S


# Rows: bodies as (rank, latest), and the order in which they are sent.
ORDERS = {
    'rank goes first': ([(2, 1.0), (1, 2.0), (0, 3.0)], [2, 1, 0]),
    'then the deadline': ([(1, 3.0), (1, 1.0), (1, 2.0)], [1, 2, 0]),
    'then the order of arrival': ([(1, 2.0)] * 3, [0, 1, 2]),
}


# Guards against a body that waits behind less urgent ones, and against so many
# concurrent transfers that small frames are delayed.
@pytest.mark.parametrize(('offered', 'order'), ORDERS.values(), ids=ORDERS)
def test_bodies_are_sent_by_rank_and_deadline(offered, order):
    bodies = make_intake()
    for number, (rank, latest) in enumerate(offered):
        bodies.push(make_body(number, KB, rank, latest))
    turns = []
    while bodies:
        started = [one.body.number for one in bodies.start_next(0.0)]
        assert bodies.under_way <= intake.MAX_UNDER_WAY
        turns += started
        bodies.receive(turns[len(turns) - bodies.under_way], SENDER, KB, 0.0)
    assert turns == order


PART = intake.PART_BYTES
# Rows: parts as (number, sender, size), and the receipt of the last one.
PARTS = {
    'the whole': ([(0, SENDER, PART), (0, SENDER, 1000)], 'WHOLE'),
    'the first part': ([(0, SENDER, PART)], 'NEXT'),
    'another size': ([(0, SENDER, PART - 1)], 'WRONG'),
    'a part too many': (
        [(0, SENDER, PART), (0, SENDER, 1000), (0, SENDER, 1)],
        'WRONG',
    ),
    'another sender': ([(0, SENDER + 1, PART)], 'WRONG'),
    'before its turn': ([(2, SENDER, PART)], 'WRONG'),
    'an unknown body': ([(9, SENDER, PART)], 'WRONG'),
    'a body that was given up': ([(1, SENDER, PART)], 'LEFT'),
    'a body that was given up, twice': ([(1, SENDER, PART)] * 2, 'WRONG'),
}


# Guards against unrequested data, and against a connection closed for a part
# that was in transit when its caller left.
@pytest.mark.parametrize(('parts', 'expected'), PARTS.values(), ids=PARTS)
def test_only_requested_parts_are_accepted(parts, expected):
    bodies = make_intake()
    for number in range(3):
        bodies.push(make_body(number, PART + 1000))
    bodies.start_next(0.0)
    bodies.remove(1)
    found = [bodies.receive(*part, 0.0) for part in parts]
    assert found[-1] is intake.Receipt[expected]


# Rows: measured speeds relative to the configured one, and the relative speed
# used for planning.
SPEEDS = {
    'as given': (1.0, intake.LINE_FRACTION),
    'faster': (4.0, intake.LINE_FRACTION),
    'slower': (0.7, 0.7),
    'slow senders': (0.1, intake.MIN_LINE_FRACTION),
}


# Guards against planning with a speed that the line does not reach.
@pytest.mark.parametrize(('seen', 'planned'), SPEEDS.values(), ids=SPEEDS)
def test_line_speed_is_measured_from_parts(seen, planned):
    line = intake.Line(LINE_BYTES_S)
    now, part_s = 0.0, PART / (LINE_BYTES_S * seen)
    for _ in range(20):
        line.record(PART, now, now + part_s)
        now += part_s
    assert line.speed == pytest.approx(LINE_BYTES_S * planned)


class Scheduler:
    """Records the number of expected bodies."""

    def __init__(self):
        self.expected = 0

    def publish(self, message):
        assert isinstance(message, gating.PendingBodyCount)
        self.expected = message.count


class Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


class Setup:
    """The actor with a clock that only tests advance."""

    def __init__(self):
        self.clock, self.scheduler = Clock(), Scheduler()
        self.task = tasks.Intake(LINE_MBPS, self.scheduler, self.clock)

    async def offer(self, number, **fields):
        """Return the reply to an offer, which may be a future."""
        return await self.task.handle(
            incomingbodies.OfferBody(make_body(number, **fields))
        )

    async def bring(self, number, size):
        await self.task.handle(
            incomingbodies.PartArrived(number, SENDER, b'x' * size)
        )

    async def leave(self, number):
        await self.task.handle(incomingbodies.WithdrawBody(number))

    async def wait_for(self, number):
        return await self.task.handle(incomingbodies.AwaitBodyPart(number))

    async def pass_time(self, seconds):
        self.clock.now += seconds
        await self.task.tick()


async def end_by_arrival(setup):
    await setup.bring(0, 20 * KB)


async def end_by_leaving(setup):
    await setup.leave(0)


async def end_by_silence(setup):
    await setup.pass_time(intake.PART_LIMIT_S)


ENDINGS = {
    'the body came': end_by_arrival,
    'its caller left': end_by_leaving,
    'its sender is silent': end_by_silence,
}


# Guards against a transfer slot that is never freed, after which the node
# accepts no more large bodies.
@pytest.mark.parametrize('end', ENDINGS.values(), ids=ENDINGS)
async def test_transfer_slot_is_freed(end):
    setup = Setup()
    offers = [
        await setup.offer(number, size=20 * KB, latest=5.0)
        for number in range(3)
    ]
    assert [one.done() for one in offers] == [True, True, False]
    assert setup.scheduler.expected == 3
    await end(setup)
    assert offers[2].result() == incomingbodies.PartRequest(0, 20 * KB)
    assert setup.scheduler.expected < 3


async def test_body_arrives_whole():
    # Guards against a body assembled in the wrong order or with a gap.
    setup = Setup()
    size = 2 * PART + 5
    first = await (await setup.offer(0, size=size))
    assert first == incomingbodies.PartRequest(0, PART)
    data = random.Random(1).randbytes(size)
    part = first
    while isinstance(part, incomingbodies.PartRequest):
        waiting = await setup.wait_for(0)
        sent = data[part.start : part.start + part.size]
        await setup.task.handle(incomingbodies.PartArrived(0, SENDER, sent))
        part = await waiting
    assert part == incomingbodies.CompleteBody(data)


async def test_waiting_body_is_refused_once_it_is_late():
    # Guards against a body that keeps waiting although it is known to be
    # late.
    setup = Setup()
    for number in range(intake.MAX_UNDER_WAY):
        await setup.offer(number, size=30 * KB, rank=1, latest=9.0)
    waiting = await setup.offer(8, size=60 * KB, latest=0.4)
    assert not waiting.done()
    await setup.pass_time(0.35)
    refusal = waiting.result()
    assert refusal.code is requests.Code.OVERLOADED
    assert refusal.outcome is requests.Outcome.NOT_RUN
    assert refusal.retry_after_s > 0
    assert {'needed_s', 'left_s', 'body_ahead'} <= dict(refusal.inputs).keys()


@dataclasses.dataclass(frozen=True)
class Day:
    """Uploads to a few lines; ``use`` is the load on their total bandwidth.

    ``refusing`` is the number of targets that refuse all work. The lines of
    the many senders are not modelled, since each sends only a small part.
    """

    lines: int
    use: float
    refusing: int = 0


DAYS = {
    '78 nodes to 8, 65%': Day(8, 0.65),
    '78 nodes to 8, 90%': Day(8, 0.9),
    '78 nodes to 8, 110%': Day(8, 1.1),
    '58 nodes to 6, 65%': Day(6, 0.65),
    '58 nodes to 6, 110%': Day(6, 1.1),
    '78 nodes to 8, one leaves, 90%': Day(8, 0.9, refusing=1),
}
DAY_S = 60.0
UPLOAD_S = 2.0
OBJECTIVE_S = 0.8
# A refused caller retries after about the time that it was told.
RETURN_S = 0.2
WORK_S = 0.2
MAX_TRIES = 3
TRIP_S = 0.001
SMALL_EVERY_S = 0.02


@dataclasses.dataclass
class Upload:
    size: int
    deadline: float
    objective: float
    wanted: float
    tried: tuple = ()
    returns: int = 1


class World:
    """Lines that transfer bytes in order; counts the results of uploads.

    A small frame waits for the bytes sent on its line before it.
    """

    def __init__(self, day, seed=5):
        self.day = day
        self.now = 0.0
        self.free_at = [0.0] * day.lines
        self.random = random.Random(seed)
        self.served = self.offered = self.in_time = 0
        self.wasted = self.carried = 0
        self.waits = []
        self._events = []
        self._order = itertools.count()

    def at(self, when, call, *arguments):
        heapq.heappush(
            self._events, (when, next(self._order), call, arguments)
        )

    def carry(self, line, size):
        """Send bytes over a line and return their time of arrival."""
        self.carried += size
        begins = max(self.now, self.free_at[line])
        self.free_at[line] = begins + size / LINE_BYTES_S
        return self.free_at[line] + TRIP_S

    def choose(self, upload):
        """Return a line that was not tried, None if there is none."""
        left = sorted(set(range(self.day.lines)) - set(upload.tried))
        if len(upload.tried) >= MAX_TRIES or not left:
            return None
        line = self.random.choice(left)
        upload.tried = (*upload.tried, line)
        return line

    def retry_upload(self, send, upload):
        """Retry an upload that all lines have refused."""
        if upload.returns and self.now + RETURN_S < upload.deadline:
            upload.returns -= 1
            upload.tried = ()
            # The objective counts from the new arrival.
            upload.wanted = self.now + RETURN_S + OBJECTIVE_S
            self.at(self.now + RETURN_S, send, upload)

    def refuses(self, line, upload):
        late = self.now + WORK_S > upload.deadline
        return line < self.day.refusing or late

    def take(self, line, upload):
        """Run an upload whose body has arrived; return whether it ran."""
        if self.refuses(line, upload):
            self.wasted += upload.size
            return False
        self.served += 1
        self.in_time += self.now + WORK_S <= upload.objective
        return True

    def run(self, send):
        rate = self.day.use * self.day.lines * LINE_BYTES_S / (60 * KB)
        at = 0.0
        while (at := at + self.random.expovariate(rate)) < DAY_S:
            size = int(min(360 * KB, self.random.expovariate(1 / (60 * KB))))
            self.offered += 1
            size = max(16 * 1024, size)
            objective = at + OBJECTIVE_S
            upload = Upload(size, at + UPLOAD_S, objective, objective)
            self.at(at, send, upload)
        for tick in range(int(DAY_S / SMALL_EVERY_S)):
            self.at(tick * SMALL_EVERY_S, self._note_waits)
        while self._events:
            self.now, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)

    def _note_waits(self):
        self.waits += [max(0.0, one - self.now) for one in self.free_at]

    def find_wait(self, part):
        return sorted(self.waits)[int(part * (len(self.waits) - 1))]


def push_whole(world):
    """Return a sender that puts the whole body in the first frame."""

    def send(upload):
        line = world.choose(upload)
        if line is None:
            world.retry_upload(send, upload)
        elif world.now < upload.deadline:
            world.at(world.carry(line, upload.size), take, line, upload)

    def take(line, upload):
        if not world.take(line, upload):
            send(upload)

    return send


def wait_for_deadlines(world):
    """Return a sender by turns that ignores the objectives."""
    return send_by_turns(world, by_objective=False)


def send_by_turns(world, by_objective=True):
    """Return a sender of parts on request of the receiver."""
    numbers = itertools.count()
    lines = [make_intake() for _ in range(world.day.lines)]
    uploads = {}

    def send(upload):
        line = world.choose(upload)
        if line is None:
            world.retry_upload(send, upload)
        if line is None or world.now >= upload.deadline:
            return
        bodies, number = lines[line], next(numbers)
        latest = upload.deadline - WORK_S
        wanted = upload.wanted - WORK_S if by_objective else latest
        body = make_body(number, upload.size, 1, latest, wanted=wanted)
        if world.refuses(line, upload):
            send(upload)
        elif bodies.find_refusal(body, world.now) is not None:
            send(upload)
        else:
            uploads[number] = upload
            bodies.push(body)
            proceed(line)

    def proceed(line):
        bodies = lines[line]
        for late in bodies.list_late(world.now):
            bodies.remove(late.body.number)
            send(uploads.pop(late.body.number))
        for started in bodies.start_next(world.now):
            ask(line, started.body.number, started.part)

    def ask(line, number, part):
        arrives = world.carry(line, part.size)
        world.at(arrives, arrive, line, number, part)

    def arrive(line, number, part):
        receipt = lines[line].receive(number, SENDER, part.size, world.now)
        match receipt:
            case intake.Receipt.LEFT:
                world.wasted += part.start + part.size
            case intake.Receipt.NEXT:
                ask(line, number, lines[line].find_part(number))
            case intake.Receipt.WHOLE:
                if not world.take(line, uploads[number]):
                    send(uploads[number])
        proceed(line)

    return send


def play(day, way):
    world = World(day)
    world.run(way(world))
    return world


# Uploads of a fleet saturate the few lines of the nodes that receive them.
# Guards against uploads that are refused after their transfer, and against
# small frames (limit 0.4 s) and connections (limit 0.5 s) that wait behind
# uploads.
@pytest.mark.parametrize('day', DAYS.values(), ids=DAYS)
def test_uploads_of_a_fleet_onto_a_few_slow_lines(day):
    before, after = play(day, push_whole), play(day, send_by_turns)
    for name, world in (('whole', before), ('turns', after)):
        print(
            f'{name}: served {world.served / world.offered:.3f},'
            f' wasted {world.wasted / max(1, world.carried):.3f},'
            f' wait of small frames p50 {world.find_wait(0.5):.3f}'
            f' p99 {world.find_wait(0.99):.3f} max {max(world.waits):.3f}'
        )
    # A small request has 0.4 s for both directions of such a line.
    assert max(after.waits) <= 0.2
    assert after.wasted <= 0.01 * after.carried
    assert after.served >= before.served
    lines = day.lines - day.refusing
    capacity = lines * LINE_BYTES_S * intake.LINE_FRACTION * DAY_S
    assert after.served * 60 * KB >= 0.85 * min(
        capacity, day.use * day.lines * LINE_BYTES_S * DAY_S
    )


# A standing queue in front of a saturated line makes all uploads late without
# more throughput. Guards against waits up to the deadline.
@pytest.mark.parametrize('day', DAYS.values(), ids=DAYS)
def test_uploads_onto_a_full_line_are_served_in_time(day):
    waiting, by_turns = play(day, wait_for_deadlines), play(day, send_by_turns)
    for name, world in (('deadlines', waiting), ('objectives', by_turns)):
        print(
            f'{name}: served {world.served / world.offered:.3f},'
            f' in time {world.in_time / world.offered:.3f}'
        )
    assert by_turns.in_time >= waiting.in_time
    assert by_turns.served >= 0.95 * waiting.served
    assert by_turns.in_time >= 0.8 * by_turns.served


async def test_questions_are_answered_by_the_running_task():
    # Guards against the reply of a cancelled question being left over.
    setup = Setup()
    running = asyncio.ensure_future(setup.task.run())
    asked = [
        asyncio.ensure_future(
            setup.task.ask(
                incomingbodies.OfferBody(make_body(number, latest=9.0))
            )
        )
        for number in range(4)
    ]
    await asyncio.sleep(0.02)
    assert [one.done() for one in asked] == [True, True, False, False]
    asked[2].cancel()
    setup.task.tell_reliably(incomingbodies.WithdrawBody(2))
    setup.task.tell_reliably(incomingbodies.WithdrawBody(0))
    assert isinstance(await asked[3], incomingbodies.PartRequest)
    running.cancel()
