"""Task that plans the owners of key ranges and the allocators of shares."""

import asyncio
import dataclasses

import eliot

from sesamejunction.decisions import rangeplanning
from sesamejunction.model import journaling
from sesamejunction.model import leasing
from sesamejunction.model import owning
from sesamejunction.model import ranges
from sesamejunction.model import registry
from sesamejunction.model import state
from sesamejunction.tasks import actor
from sesamejunction.tasks import clock

TICK_S = 0.1
# Other members look this often whether they plan; news of members comes with
# messages, so only the loss of a planner's log waits for it.
IDLE_S = 0.25
# The first plan waits until no new target has registered for this time.
SETTLE_S = 0.5
# A silent node may be starting again while its target goes on.
NODE_RESTART_S = 3.0
# A planner that hears less than half of the members may itself be cut off.
CUT_OFF_S = 8.0
# A node that was silent for so long is dropped; it registers again if it
# comes back.
FORGET_S = 20.0
ALLOCATORS = 4
# Loads are asked for this often; after a move the counts need some time.
LOAD_S = 0.5
MOVE_S = 1.2
# A proposal that failed is made again when the topic has grown or after this
# time: a record that came first has been read by then.
RETRY_S = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class LoadsCame:
    """The loads of the targets of a service, by life."""

    service: str
    loads: dict[ranges.Life, leasing.KeyLoadReport]


class RangePlanner(actor.Actor):
    """Plans on the reachable member with the lowest name.

    ``presence`` is the view of the members heard of; ``registrar`` takes
    proposals, which fail when the fleet's topic has grown since the state
    was folded, so that two planners cannot both succeed.
    """

    name = 'planner'
    tick_s = TICK_S

    def __init__(self, member: str, incarnation, presence, registrar, links):
        super().__init__()
        self._member = member
        self._incarnation = incarnation
        self._presence = presence
        self._registrar = registrar
        self._links = links
        self._loads = {}
        self._asked_at = float('-inf')
        self._moved_at = float('-inf')
        self._state = state.State()
        self._changed_at = clock.read_boot_clock()
        self._silent_since = {}
        self._seen = {}
        self._lives = frozenset()
        self._proposed_end = None
        self._retry_at = float('-inf')

    async def handle(self, message):
        """Handle one message."""
        match message:
            case journaling.StateChanged(state=current):
                self._take_state(current)
                self.tick_within(0.0)
            case owning.MembersSilent(incarnations=silent):
                now = clock.read_boot_clock()
                self._silent_since = {
                    one: self._silent_since.get(one, now) for one in silent
                }
                self.tick_within(0.0)
            case LoadsCame(service=service, loads=loads):
                self._loads[service] = loads

    async def tick(self) -> None:
        """Propose what the state still needs, one record at a time."""
        current = self._state
        is_planner = bool(current.members) and self._is_planner()
        self.tick_s = TICK_S if is_planner else IDLE_S
        if not is_planner:
            return
        now = clock.read_boot_clock()
        if self._proposed_end == self._state.offset and now < self._retry_at:
            # The proposal that was made from here is still to be read.
            return
        self._ask_loads(now)
        record = self._find_record(now)
        if record is None:
            return
        end = self._state.offset
        offset = await self._registrar.ask(registry.Propose(record, end))
        self._proposed_end, self._retry_at = end, float('inf')
        if offset is None:
            self._retry_at = clock.read_boot_clock() + RETRY_S

    def _take_state(self, current) -> None:
        now = clock.read_boot_clock()
        self._state = current
        lives = frozenset(
            one.life for one in current.members.values() if one.life
        )
        if lives != self._lives:
            self._lives = lives
            self._changed_at = now
        epochs = {
            one.epoch
            for plan in current.ranges.values()
            for one in plan.ranges
        }
        if current.allocators is not None:
            epochs.update(one.epoch for one in current.allocators.places)
        self._seen = {one: self._seen.get(one, now) for one in epochs}

    def _is_planner(self) -> bool:
        able = self._state.members.keys() - self._presence.silent
        # A member that the log turns away cannot append.
        able -= self._presence.without_log
        return self._member == min(
            (self._state.members[one].name for one in able),
            default=None,
        )

    def _list_gone(self, now) -> frozenset[int]:
        """Return the members whose targets must be given up."""
        members = self._state.members
        wait_s = NODE_RESTART_S
        if 2 * len(self._presence.silent) > len(members):
            wait_s = CUT_OFF_S
        return frozenset(
            one
            for one, since in self._silent_since.items()
            if now - since >= wait_s
        )

    def _is_fresh(self, one) -> bool:
        # An epoch that was never seen is that of the plan being made.
        now = clock.read_boot_clock()
        return now - self._seen.get(one.epoch, now) < rangeplanning.UNSETTLED_S

    def _find_record(self, now):
        gone = self._list_gone(now)
        for service in self._state.services.values():
            if service.routing is state.Routing.RANGE:
                record = self._plan_service(service.name, gone, now)
                if record is not None:
                    return record
        return self._plan_allocators(gone, now) or self._forget(now)

    def _forget(self, now):
        """Return the record that drops a node which is gone for good."""
        members = self._state.members
        owners = {
            one.owner.member
            for plan in self._state.ranges.values()
            for one in plan.ranges
        }
        for one, since in self._silent_since.items():
            member = members.get(one)
            if (
                member is not None
                and now - since > FORGET_S
                and member.name not in owners
            ):
                eliot.log_message('plan: member forgotten', name=member.name)
                return registry.MemberGone(member.name)
        return None

    def _plan_service(self, service, gone, now):
        current = self._state
        owners = rangeplanning.list_owners(current, service, gone)
        if not owners:
            return None
        lives = [one.life for one in owners]
        epoch = self._state.offset + 1
        plan = current.ranges.get(service)
        if plan is None:
            if now - self._changed_at < SETTLE_S:
                return None
            planned = rangeplanning.plan_initial(lives, epoch)
        else:
            planned = rangeplanning.replace_owners(
                plan.ranges, lives, epoch, self._is_fresh
            )
            planned = rangeplanning.add_owners(
                planned, lives, epoch, self._is_fresh
            )
            if planned == plan.ranges:
                planned = self._balance(service, planned, lives, epoch, now)
                planned = rangeplanning.drop_settled_owners(
                    planned, self._is_fresh
                )
            planned = rangeplanning.join_ranges(planned)
            if planned == plan.ranges:
                return None
        eliot.log_message(
            'plan: owners change',
            service=service,
            epoch=epoch,
            owners=[one.name for one in owners],
            gone=sorted(gone),
            end=self._state.offset,
        )
        return registry.PlanRecord(service, planned)

    def _balance(self, service, owned, lives, epoch, now):
        """Return the ranges after keys were moved by load."""
        loads = self._loads.pop(service, None)
        if loads is None or now - self._moved_at < MOVE_S:
            return owned
        if set(loads) != set(lives):
            return owned
        owners = [
            rangeplanning.OwnerLoad(
                life, max(1.0, found.capacity), list(found.segments)
            )
            for life, found in loads.items()
        ]
        moves = rangeplanning.choose_moves(owners)
        if not moves:
            return owned
        self._moved_at = now
        eliot.log_message(
            'plan: load is made even',
            service=service,
            moves=moves,
            capacities={
                life.member: round(found.capacity)
                for life, found in loads.items()
            },
        )
        planned = rangeplanning.apply_moves(
            owned, moves, epoch, self._is_fresh
        )
        limit = rangeplanning.MAX_RANGES_PER_OWNER * len(lives)
        if len(planned) > limit:
            planned = rangeplanning.compact_ranges(
                planned, epoch, self._is_fresh
            )
        return planned

    def _ask_loads(self, now) -> None:
        if now - self._asked_at < LOAD_S:
            return
        self._asked_at = now
        for service in self._state.services.values():
            if service.routing is state.Routing.RANGE:
                owners = rangeplanning.list_owners(
                    self._state, service.name, self._presence.silent
                )
                asyncio.ensure_future(self._gather(service.name, owners))

    async def _gather(self, service, owners) -> None:
        found = await asyncio.gather(
            *(self._links.ask(one, leasing.AskKeyLoad()) for one in owners),
            return_exceptions=True,
        )
        loads = {
            one.life: report
            for one, report in zip(owners, found, strict=True)
            if isinstance(report, leasing.KeyLoadReport)
        }
        self.tell(LoadsCame(service, loads))

    def _plan_allocators(self, gone, now):
        current = self._state
        if not current.organisations:
            return None
        candidates = sorted(
            (
                one
                for one in current.members.values()
                if one.incarnation not in gone
                and not (one.leaving or one.stopping)
            ),
            key=lambda one: one.name,
        )
        present = current.allocators
        if present is None and now - self._changed_at < SETTLE_S:
            return None
        chosen = rangeplanning.choose_allocators(
            candidates,
            present,
            ALLOCATORS,
            self._state.offset + 1,
            self._is_fresh,
        )
        if chosen is None:
            return None
        if chosen == present:
            chosen = state.Allocators(
                rangeplanning.drop_settled_owners(
                    present.places, self._is_fresh
                )
            )
            if chosen == present:
                return None
        eliot.log_message(
            'plan: allocators change',
            places=[(one.name, one.epoch) for one in chosen.places],
        )
        return chosen
