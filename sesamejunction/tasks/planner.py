"""Actor that proposes assignment records and writes checkpoints."""

import asyncio
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
from sesamejunction.model import valueclass
from sesamejunction.tasks import actor
from sesamejunction.tasks import clock

# Seed of the hash by which members are ranked as planners.
RANK_SEED = 'planner'
# Delay that batches bursts of changes, such as the start of a fleet.
BATCH_DELAY_S = 0.1
# Time for a proposal to be appended and read back before the next plan.
PROPOSAL_WAIT_S = 1.0
# Planning is repeated after this time in case proposals were lost.
REPLAN_S = 5.0
# Share of a CPU core that planning may use.
PLANNING_CPU_SHARE = 0.1
# Minimum interval between moves that balance the slots of a service.
BALANCE_INTERVAL_S = 60.0
# Delay per rank before a due checkpoint is written: writing the parts of a
# large state takes seconds.
CHECKPOINT_RANK_DELAY_S = 5.0
CHECKPOINT_RETRY_S = 30.0
# Fields of the state that planning depends on.
PLANNED_FIELDS = (
    'members',
    'witness_sets',
    'tables',
    'services',
    'zones',
    'targets',
)


@valueclass.define
class PlannerDump:
    """Planning counters; ``rank`` is None if this node does not plan."""

    rank: int | None
    plans: int
    proposed: int
    checkpoints: int
    latest_plan_ms: float


class Planner(actor.Actor):
    """Plans on the few highest ranked members, each after a delay by rank.

    Usually the first one's records are in the log before the others plan.
    Planning runs in a thread, one run at a time, since in a large fleet it
    would delay requests.
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
        self._plan_at = None
        self._hold_until = float('-inf')
        self._balanced = {}
        self._plan_cache = planning.PlanCache()
        self._checkpointed_at = now()
        self._checkpoint_due_at = None
        self._rank = None
        self._plans = 0
        self._proposed = 0
        self._checkpoints = 0
        self._latest_plan_ms = 0.0

    async def handle(self, message):
        """Handle one message."""
        match message:
            case journaling.StateChanged(state=current):
                self._apply_state(current)
            case journaling.OldestOffsetChanged(oldest=oldest):
                self._oldest = oldest

    def dump(self) -> PlannerDump:
        """Return this node's rank and its planning counters."""
        return PlannerDump(
            self._rank,
            self._plans,
            self._proposed,
            self._checkpoints,
            round(self._latest_plan_ms, 3),
        )

    async def tick(self) -> None:
        """Plan, and write a checkpoint if due, after the delay of the rank."""
        if self._rank is None:
            return
        now = self._now()
        delay = self._rank * timing.PLAN_RANK_DELAY_S
        if self._plan_at is not None and now >= self._hold_until:
            if now >= self._plan_at + delay:
                await self._plan(now)
        await self._check_checkpoint(now)

    def _apply_state(self, new) -> None:
        now = self._now()
        old, self._state = self._state, new
        if new.checkpoint_offset != old.checkpoint_offset:
            self._checkpointed_at = now
            self._checkpoint_due_at = None
        if new.members is not old.members:
            ranked = hashing.rank_members(RANK_SEED, new.members)
            ranked = ranked[: timing.PLAN_RANKS]
            own = self._incarnation
            self._rank = ranked.index(own) if own in ranked else None
            if self._rank is None:
                # Free the index, which takes several megabytes for 65,536
                # slots.
                self._plan_cache = planning.PlanCache()
        for service, table in new.tables.items():
            known = self._balanced.get(service)
            if known is None or known[0] != table.balanced:
                self._balanced[service] = (table.balanced, now)
        if any(
            getattr(new, field) is not getattr(old, field)
            for field in PLANNED_FIELDS
        ):
            self._schedule_plan(now + BATCH_DELAY_S)

    def _schedule_plan(self, at) -> None:
        if self._plan_at is None or at < self._plan_at:
            self._plan_at = at

    async def _plan(self, now) -> None:
        self._plan_at = None
        may_balance = {
            service
            for service, (_, since) in self._balanced.items()
            if now - since >= BALANCE_INTERVAL_S
        }
        started = time.perf_counter()
        planned = await asyncio.to_thread(
            planning.plan_records, self._state, may_balance, self._plan_cache
        )
        duration_s = time.perf_counter() - started
        self._latest_plan_ms = 1000 * duration_s
        # While the slots of a fleet settle, every record triggers planning;
        # the pause limits its CPU use.
        self._hold_until = now + duration_s / PLANNING_CPU_SHARE
        self._plans += 1
        self._proposed += len(planned.records)
        for record in planned.records:
            self._appender.tell(journaling.Propose(record))
        if planned.records:
            eliot.log_message(
                'plan: records proposed', records=len(planned.records)
            )
            self._hold_until = max(self._hold_until, now + PROPOSAL_WAIT_S)
        if planned.records or planned.deferred:
            self._schedule_plan(now + REPLAN_S)

    async def _check_checkpoint(self, now) -> None:
        current = self._state
        age = now - self._checkpointed_at
        due = checkpoints.find_due(
            current, self._oldest, age, self._retention_s
        )
        if due is None:
            self._checkpoint_due_at = None
            return
        if self._checkpoint_due_at is None:
            self._checkpoint_due_at = now
        if (
            now
            < self._checkpoint_due_at + self._rank * CHECKPOINT_RANK_DELAY_S
        ):
            return
        self._checkpoint_due_at = now + CHECKPOINT_RETRY_S
        data = await asyncio.to_thread(recordcodec.encode_state, current)
        eliot.log_message(
            'journal: writing a checkpoint', reason=due.value, bytes=len(data)
        )
        self._checkpoints += 1
        # Unique among writers, and within the codec's signed 64-bit range.
        number = secrets.randbits(62)
        for part in checkpoints.split_state(number, current.offset, data):
            self._appender.tell(journaling.Propose(part))
