"""Task that proposes the records and checkpoints that the state needs."""

import asyncio
import dataclasses
import secrets
import time

import eliot

from sesamejunction.border import recordcodec
from sesamejunction.decisions import checkpoints
from sesamejunction.decisions import hashing
from sesamejunction.decisions import planning
from sesamejunction.model import journaling
from sesamejunction.model import state
from sesamejunction.model import timing
from sesamejunction.tasks import actor
from sesamejunction.tasks import clock

RANK_SEED = 'planner'
# Collects the changes of a burst, such as a fleet that starts.
SETTLE_S = 0.1
# Time for a proposal to be appended and read before the next plan.
HOLD_S = 1.0
# A plan whose records were lost is made again after this time.
REPEAT_S = 5.0
# Part of a core that planning may use.
PLAN_PART = 0.1
BALANCE_S = 60.0
# Writing the parts of a large state takes seconds.
CHECKPOINT_RANK_S = 5.0
CHECKPOINT_REPEAT_S = 30.0
# Fields of the state that a plan depends on.
PLANNED_FIELDS = (
    'members',
    'witness_sets',
    'tables',
    'services',
    'zones',
    'targets',
)


@dataclasses.dataclass(frozen=True, slots=True)
class PlannerDump:
    """Duty and counters for operators; ``rank`` is None without duty."""

    rank: int | None
    plans: int
    proposed: int
    checkpoints: int
    latest_plan_ms: float


class Planner(actor.Actor):
    """Plans after a delay by rank, so that usually one node appends.

    One plan is made at a time, in a thread, since a large fleet's plan
    would hold up requests.
    """

    name = 'planner'
    tick_s = 0.1

    def __init__(
        self,
        incarnation: int,
        appender: actor.Actor,
        retention_s: float = 86_400.0,
        now=clock.read_boot_clock,
    ):
        super().__init__()
        self._incarnation = incarnation
        self._appender = appender
        self._retention_s = retention_s
        self._now = now
        self._state = state.State()
        self._oldest = 0
        self._plan_from = None
        self._hold_until = float('-inf')
        self._balanced = {}
        self._memory = planning.PlanCache()
        self._checkpoint_at = now()
        self._checkpoint_from = None
        self._rank = None
        self._plans = 0
        self._proposed = 0
        self._checkpoints = 0
        self._latest_plan_ms = 0.0

    async def handle(self, message):
        """Handle one message."""
        match message:
            case journaling.StateChanged(state=current):
                self._take_state(current)
            case journaling.OldestOffsetChanged(oldest=oldest):
                self._oldest = oldest

    def dump(self) -> PlannerDump:
        """Return this node's duty and what it has planned."""
        return PlannerDump(
            self._rank,
            self._plans,
            self._proposed,
            self._checkpoints,
            round(self._latest_plan_ms, 3),
        )

    async def tick(self) -> None:
        """Propose what is needed when this node's turn has come."""
        if self._rank is None:
            return
        now = self._now()
        delay = self._rank * timing.PLAN_RANK_DELAY_S
        if self._plan_from is not None and now >= self._hold_until:
            if now >= self._plan_from + delay:
                await self._plan(now)
        await self._check_checkpoint(now)

    def _take_state(self, new) -> None:
        now = self._now()
        old, self._state = self._state, new
        if new.checkpoint_offset != old.checkpoint_offset:
            self._checkpoint_at = now
            self._checkpoint_from = None
        if new.members is not old.members:
            ranked = hashing.rank_members(RANK_SEED, new.members)
            ranked = ranked[: timing.PLAN_RANKS]
            own = self._incarnation
            self._rank = ranked.index(own) if own in ranked else None
            if self._rank is None:
                # An index of 65,536 slots takes several megabytes.
                self._memory = planning.PlanCache()
        for service, table in new.tables.items():
            known = self._balanced.get(service)
            if known is None or known[0] != table.balanced:
                self._balanced[service] = (table.balanced, now)
        if any(
            getattr(new, field) is not getattr(old, field)
            for field in PLANNED_FIELDS
        ):
            self._plan_by(now + SETTLE_S)

    def _plan_by(self, at) -> None:
        if self._plan_from is None or at < self._plan_from:
            self._plan_from = at

    async def _plan(self, now) -> None:
        self._plan_from = None
        may_balance = {
            service
            for service, (_, since) in self._balanced.items()
            if now - since >= BALANCE_S
        }
        started = time.perf_counter()
        planned = await asyncio.to_thread(
            planning.plan_records, self._state, may_balance, self._memory
        )
        took = time.perf_counter() - started
        self._latest_plan_ms = 1000 * took
        # While a fleet's slots settle, each record asks for a plan.
        self._hold_until = now + took / PLAN_PART
        self._plans += 1
        self._proposed += len(planned.records)
        for record in planned.records:
            self._appender.tell(journaling.Propose(record))
        if planned.records:
            eliot.log_message('plan: proposed', records=len(planned.records))
            self._hold_until = max(self._hold_until, now + HOLD_S)
        if planned.records or planned.deferred:
            self._plan_by(now + REPEAT_S)

    async def _check_checkpoint(self, now) -> None:
        current = self._state
        age = now - self._checkpoint_at
        due = checkpoints.find_due(
            current, self._oldest, age, self._retention_s
        )
        if due is None:
            self._checkpoint_from = None
            return
        if self._checkpoint_from is None:
            self._checkpoint_from = now
        if now < self._checkpoint_from + self._rank * CHECKPOINT_RANK_S:
            return
        self._checkpoint_from = now + CHECKPOINT_REPEAT_S
        data = await asyncio.to_thread(recordcodec.encode_state, current)
        eliot.log_message(
            'journal: writing a checkpoint', reason=due.value, bytes=len(data)
        )
        self._checkpoints += 1
        # A number that no other writer has, below the codec's signed limit.
        number = secrets.randbits(62)
        for part in checkpoints.split_state(number, current.offset, data):
            self._appender.tell(journaling.Propose(part))
