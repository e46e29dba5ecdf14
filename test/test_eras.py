"""Explores the orders of events around drills of the store.

The model runs the real folding, recovery, leases and planner of three nodes
in simulated time. The store, the links and the targets are replaced.
"""

import asyncio
import dataclasses
import itertools
import types
from unittest import mock

import pytest

from sesamejunction.border import eraview
from sesamejunction.border import registrycodec
from sesamejunction.decisions import eras
from sesamejunction.decisions import rangeleases
from sesamejunction.decisions import rangeplanning
from sesamejunction import errors
from sesamejunction.model import leasing
from sesamejunction.model import ranges
from sesamejunction.model import registry
from sesamejunction.model import state
from sesamejunction.tasks import clock
from sesamejunction.tasks import follower
from sesamejunction.tasks import rangeplanner
from sesamejunction.tasks import recovery
from sesamejunction.tasks import registrar
from test import fakes

STEP_S = 0.5
START = 1000.0
DRILL_AT = 20.0
HORIZON_S = 60.0
SERVICE = 's'
MIDDLE = 32768
LIVES = [ranges.Life(f'n{one}', f't{one}', 1) for one in range(3)]
UNSETTLED_S = rangeplanning.UNSETTLED_S
NEVER = (0.0, 0.0)
LOST = state.EraPhase.LOST


@dataclasses.dataclass(frozen=True)
class Script:
    """When things happen, in seconds.

    The store loses what came after ``lost_from`` and is away for ``away_s``.
    ``moves`` are (time, keys from the middle, new owner); ``cuts`` and
    ``restarts`` are by node. At ``stale_at``, a plan that was decided on
    before the drill is appended. No keys may be without a holder for longer
    than ``gap_s`` after the first plan.
    """

    lost_from: float
    away_s: float = 0.5
    moves: tuple = ()
    cuts: tuple = (NEVER, NEVER, NEVER)
    restarts: tuple = (0.0, 0.0, 0.0)
    second_at: float = 0.0
    stale_at: float = 0.0
    gap_s: float = 30.0


class Violation(AssertionError):
    """A rule of docs/design/store-era.md is broken."""


class Node:
    """The decisions of one node, and its target's holds."""

    topic_name = 'fleet'

    def __init__(self, world, number):
        self._world, self.number = world, number
        self.name, self.sequence = f'n{number}', 0
        self.held, self.until = (), 0.0
        self.start()

    def start(self):
        """Start a process of the node; the target runs on."""
        self.copy, self.view = None, follower.PositionView()
        self.eras = eraview.EraView()
        self.lease = rangeleases.RangeLeases(self._world.now)
        self.registry = registrar.Registry(self.topic_name, None, ())
        self.planner = rangeplanner.RangePlanner(
            *(self.name, self.number, self, fakes.FakeTask(), None)
        )
        states = types.SimpleNamespace(
            current=types.SimpleNamespace(members=dict(enumerate(LIVES)))
        )
        self.recovery = recovery.Recovery(
            *(self.number, self, self, states, self, self, self.eras),
            *(self.is_planner, fakes.FakeTask()),
        )
        self.eras.subscribers.append(self.recovery)

    def is_cut(self):
        first, last = self._world.script.cuts[self.number]
        return first <= self._world.time < last

    def is_planner(self):
        reachable = [one for one in self._world.nodes if not one.is_cut()]
        return self in reachable[:1]

    @property
    def silent(self):
        """Return the nodes that do not answer this one."""
        return {one.number for one in self._world.nodes if one.is_cut()}

    def tell(self, _message):
        """Replace the follower and the registrar."""

    async def ask(self, member, question):
        """Replace the links."""
        peer = self._world.nodes[LIVES.index(member)]
        return await peer.recovery.handle(question)

    async def append(self, entry, end):
        """Replace the topic."""
        return self._world.append(entry, end)

    async def read(self):
        """Read the whole topic and fold it."""
        if self.is_cut() or self._world.is_away():
            return
        if self._world.era > self.eras.current:
            self.eras.learn(self._world.era, 'test')
            await self.recovery.handle(registry.EraChanged(self._world.era))
        copy = self._world.build_copy()
        self.copy = copy
        self.view.move_to(copy.end)
        self.view.as_of = self._world.now
        self.recovery._note_copy()
        self.registry._take_fleet(copy)
        plan = self.registry._records.get(f'plan/{SERVICE}')
        self.lease.take_era(self.registry._phase, self.registry._end)
        plans = {}
        if plan is not None:
            plans[SERVICE] = ranges.RangePlan(plan[1].ranges)
        if plan is not None or self.registry._phase is not LOST:
            self.lease.take_plan(
                plans.get(SERVICE, ranges.RangePlan(())), self._world.now
            )
        self.planner._state = state.State(
            offset=self.registry._end,
            ranges=plans,
            unreadable=self.registry._unreadable,
            era_phase=self.registry._phase,
        )

    async def write(self):
        """Write what the recovery or the planner wants next."""
        if self.is_cut() or self._world.is_away():
            return
        await self.recovery.tick()
        if self.recovery._running is not None:
            await self.recovery._running
        current = self.planner._state
        if current.era_phase is LOST:
            return
        record = self.planner._find_restoration()
        record = record or self.planner._find_renewal(
            self.lease.list_refused()
        )
        if record is None and self.is_planner():
            record = self._world.find_move(current)
        if record is not None:
            self._world.propose(record, current.offset)

    def beat(self):
        """Send the target's heartbeat and apply its answer."""
        now, lease = self._world.now, self.lease
        if now > self.until:
            self.held = ()
        self.sequence += 1
        beat = leasing.Heartbeat(
            *(LIVES[self.number], SERVICE, 'a', 8, self.sequence, False, 0.0),
            held=tuple(
                leasing.HeldKeys(row.first, row.last, row.epoch)
                for row in self.held
            ),
        )
        lease.take_heartbeat(beat, now)
        for claim in lease.list_claims(now):
            peer = self._world.find_owner(claim.life)
            if peer is self or not (self.is_cut() or peer.is_cut()):
                answer = peer.lease.answer_claim(claim, now)
                if answer.released:
                    lease.take_release(claim, answer)
        granted = lease.renew(self.view.find_as_of(self.registry._end), now)
        if granted.rows is not None:
            self._world.check_fences(self, granted.rows)
            self.held, self.until = granted.rows, now + granted.hold_s


class World:
    """The store, the nodes and the rules that are checked."""

    def __init__(self, script):
        self.script, self.time = script, 0.0
        self.era, self.log = 0, []
        self._fences = {}
        self._moves = list(script.moves)
        self._stale = self._unreadable_since = None
        self.nodes = [Node(self, number) for number in range(3)]

    @property
    def now(self):
        return START + self.time

    def is_away(self):
        drills = (DRILL_AT, self.script.second_at)
        return any(
            at - self.script.away_s < self.time < at for at in drills if at
        )

    def end(self):
        return registry.Position(self.era, len(self.log)).pack()

    def build_copy(self):
        items = {}
        for offset, (_, entry) in enumerate(self.log):
            position = registry.Position(self.era, offset).pack()
            items[entry.key] = registry.TopicItem(position, entry.value)
        return registry.TopicCopy(self.end(), items)

    def append(self, entry, end):
        if end != self.end():
            raise errors.AppendConflict('the topic has grown; read on')
        self.log.append((self.time, entry))
        return end

    def propose(self, record, end):
        if end == self.end():
            self.append(encode(record, registry.find_era(end)), end)

    def find_owner(self, life):
        return self.nodes[LIVES.index(life)]

    def find_move(self, current):
        """Return the plan of the next planned move that is due."""
        plan = current.ranges.get(SERVICE)
        epoch = current.offset + 1
        if plan is None:
            if current.unreadable and self._unreadable_since is None:
                self._unreadable_since = self.time
            since = self._unreadable_since
            if since is not None and self.time - since < UNSETTLED_S:
                return None
            owned = rangeplanning.plan_initial(LIVES[:2], epoch)
            return registry.PlanRecord(SERVICE, owned)
        if not self._moves or self.time < self._moves[0][0]:
            return None
        _, index, owner = self._moves.pop(0)
        key_range = plan.ranges[index]
        moved = rangeplanning.reassign_range(
            key_range, LIVES[owner], epoch, True
        )
        owned = (*plan.ranges[:index], moved, *plan.ranges[index + 1 :])
        return registry.PlanRecord(SERVICE, owned)

    def drill(self, lost_from):
        """Forget the records after a time."""
        if self.log:
            self._stale = self.log[-1][1]
        self.log = [one for one in self.log if one[0] <= lost_from]
        self.era += 1

    def check_fences(self, node, rows):
        for row in rows:
            if any(is_part(row, held) for held in node.held):
                continue
            for half in (0, MIDDLE):
                if not row.first <= half <= row.last:
                    continue
                epoch, holder = self._fences.get(half, (0, node))
                if row.epoch < epoch or (
                    row.epoch == epoch and holder is not node
                ):
                    raise Violation(f'fence {row.epoch} after {epoch}')
                self._fences[half] = row.epoch, node

    def check_holders(self):
        for half in (0, MIDDLE):
            holders = [
                one.name
                for one in self.nodes
                if self.now < one.until
                and any(row.first <= half <= row.last for row in one.held)
            ]
            if len(holders) > 1:
                raise Violation(f'{holders} hold {half} at {self.time}')
        return all(
            any(
                self.now < one.until
                and any(row.first <= half <= row.last for row in one.held)
                for one in self.nodes
            )
            for half in (0, MIDDLE)
        )

    async def run(self):
        """Run the script; raises Violation."""
        script, served_at = self.script, 5.0
        while self.time < HORIZON_S:
            if self.time == DRILL_AT:
                self.drill(script.lost_from)
            if script.second_at and self.time == script.second_at:
                self.drill(self.time - 1.0)
            if self.time == script.stale_at and self._stale:
                self.log.append((self.time, self._stale))
            for one in self.nodes:
                if self.time and self.time == script.restarts[one.number]:
                    one.start()
            for one in self.nodes:
                await one.read()
            for one in self.nodes:
                await one.write()
            for one in self.nodes:
                one.beat()
                served = self.check_holders()
            if served:
                served_at = self.time
            if self.time - served_at > script.gap_s:
                raise Violation(f'keys are not served at {self.time}')
            self.time += STEP_S


def encode(record, era):
    return registry.Entry(
        registrycodec.build_record_key(record),
        registrycodec.encode_record(record, era),
    )


def is_part(row, held):
    return (
        held.epoch == row.epoch
        and held.first <= row.first
        and row.last <= held.last
    )


MOVES = {
    'none': ((), 18.5),
    'lost': (((19.0, 0, 2),), 18.5),
    'waited out': (((10.0, 0, 2),), 9.5),
    'twice': (((10.0, 0, 1), (19.0, 0, 2)), 18.5),
    'later': (((24.0, 0, 2),), 18.5),
}
CUTS = {
    'none': (NEVER, NEVER, NEVER),
    'new owner': (NEVER, NEVER, (19.5, 27.0)),
    'new owner, old one before': ((9.5, 20.0), NEVER, (19.5, 29.0)),
    'old owner': ((9.5, 20.0), NEVER, NEVER),
    'both': ((19.5, 22.0), NEVER, (19.5, 26.0)),
}
RESTARTS = {
    'none': (0.0, 0.0, 0.0),
    'old owner': (20.0, 0.0, 0.0),
    'all': (20.0, 20.0, 20.0),
}
SECOND = (0.0, 21.0, 25.0)
STALE = (0.0, 20.0, 30.0)
AWAY_S = (0.5, 6.0)
# Each of the orders takes 30 ms, so that CI runs a part of them; the whole
# table passed when it was written.
PART = 13


def list_scripts():
    """Return all orders of the tables above."""
    return [
        Script(lost_from, away_s, moves, cuts, restarts, second, stale)
        for (moves, lost_from), cuts, restarts, second, stale, away_s in (
            itertools.product(
                *(MOVES.values(), CUTS.values(), RESTARTS.values()),
                *(SECOND, STALE, AWAY_S),
            )
        )
    ]


# Orders in which one safeguard alone prevents a violation.
LOST_MOVE = Script(16.5, moves=((17.0, 0, 2),))
# The move is known to its new owner only, which is cut off and holds keys.
UNKNOWN_MOVE = dataclasses.replace(
    LOST_MOVE,
    cuts=(NEVER, (16.5, 20.0), (19.5, 29.0)),
    restarts=(20.0, 0.0, 0.0),
)
OWNER_RETURNS = dataclasses.replace(
    LOST_MOVE, cuts=((19.5, 21.5), (16.5, 20.0), (19.5, 29.0))
)
# The new owner has waited out the former one, or is about to.
WAITED_OUT = Script(
    *(9.5, 0.5, ((10.0, 0, 2),)),
    cuts=((9.5, 20.0), NEVER, (19.5, 29.0)),
    restarts=(0.0, 20.0, 0.0),
)
STILL_WAITING = Script(
    *(15.5, 0.5, ((16.0, 0, 2),)),
    cuts=((16.0, 20.0), NEVER, (19.5, 29.0)),
    restarts=(0.0, 20.0, 0.0),
)
ALL_RESTART = Script(*(9.5, 0.5, ((10.0, 0, 2),)), restarts=(20.0, 20.0, 20.0))
LATE_APPEND = Script(18.5, away_s=6.0, stale_at=30.0)
# The planner has not read the move, the others have.
PLANNER_BEHIND = Script(
    *(16.5, 0.5, ((17.0, 1, 2),)),
    cuts=((16.5, 20.0), NEVER, NEVER),
    gap_s=4.0,
)
ORDERS = [
    *(LOST_MOVE, UNKNOWN_MOVE, OWNER_RETURNS, WAITED_OUT, STILL_WAITING),
    *(ALL_RESTART, LATE_APPEND, PLANNER_BEHIND),
    *list_scripts()[::PART],
]


def explore(script):
    """Return the violation of an order of events, None if there is none."""
    world = World(script)
    try:
        with mock.patch.object(clock, 'read_boot_clock', lambda: world.now):
            asyncio.run(world.run())
    except Violation as violation:
        return str(violation)
    return None


def test_no_order_of_events_breaks_a_rule():
    """Guards against two holders, repeated fences and keys without owner."""
    found = {script: explore(script) for script in ORDERS}
    assert {
        script: violation
        for script, violation in found.items()
        if violation is not None
    } == {}


def open_at_once(end, record):
    """Replace find_phase; nobody waits for grants of lost plans."""
    is_lost = record is None or record.era != registry.find_era(end)
    return LOST if is_lost and registry.find_era(end) else state.EraPhase.OPEN


def has_same_epoch(known, wanted):
    """Replace covers_keys; one plan gives many ranges the same epoch."""
    return known.epoch == wanted.epoch


async def ask_nobody(_self, _member, _question):
    """Replace a question to another node."""


def settle(settlement):
    """Return a replacement of choose_settlement."""
    return lambda outlook, now: settlement


# Guards against a model that cannot see the lack of a safeguard. Columns:
# where it is, what replaces it, an order that must break a rule without it.
SAFEGUARDS = {
    'positions count eras': (
        *(registry.Position, 'pack', lambda self: self.offset),
        dataclasses.replace(LOST_MOVE, stale_at=30.0, away_s=6.0),
    ),
    'records tell their era': (
        *(eras, 'is_current_record', lambda end, mark: True),
        LATE_APPEND,
    ),
    'lost plans run out': (eras, 'find_phase', open_at_once, UNKNOWN_MOVE),
    'only old rights at first': (
        *(eras.Rights, 'may_use', lambda self, right: True),
        UNKNOWN_MOVE,
    ),
    'rights are to keys': (
        *(eras, 'covers_keys', has_same_epoch),
        OWNER_RETURNS,
    ),
    'epochs of lost plans are passed over': (
        *(eras, 'is_older', lambda epoch, end: False),
        UNKNOWN_MOVE,
    ),
    'old floors are waited out': (
        *(eras, 'choose_settlement', settle(eras.Settlement.KEEP)),
        WAITED_OUT,
    ),
    'epochs are renewed after that': (
        *(recovery, 'renew_epochs', lambda record, epoch: record),
        WAITED_OUT,
    ),
    'waits need a confirmed copy': (
        *(eras, 'is_confirmed', lambda seen_at, as_of: True),
        STILL_WAITING,
    ),
    'nothing is known after restarts': (eras, 'HOLD_MAX_S', 0.0, ALL_RESTART),
    'peers tell floors': (
        *(recovery.Recovery, '_ask', ask_nobody),
        PLANNER_BEHIND,
    ),
}


@pytest.mark.parametrize(
    ('owner', 'name', 'replacement', 'script'),
    SAFEGUARDS.values(),
    ids=SAFEGUARDS,
)
def test_each_safeguard_is_needed(owner, name, replacement, script):
    assert explore(script) is None
    with mock.patch.object(owner, name, replacement):
        assert explore(script) is not None
