"""Actor that assigns owners to key ranges and allocators to shares."""

import asyncio
import dataclasses

import eliot

from sesamejunction.border import registrycodec
from sesamejunction.decisions import eras
from sesamejunction.decisions import rangeplanning
from sesamejunction.model import journaling
from sesamejunction.model import leasing
from sesamejunction.model import owning
from sesamejunction.model import ranges
from sesamejunction.model import registry
from sesamejunction.model import state
from sesamejunction.model import valueclass
from sesamejunction.tasks import actor
from sesamejunction.tasks import clock

TICK_S = 0.1
# Tick interval of members that do not plan. Changes of members trigger a tick;
# the interval limits how late it is noticed that the planner has lost the log.
IDLE_S = 0.25
# The first plan is made once no new target has registered for this time.
FIRST_PLAN_DELAY_S = 0.5
# A silent node may be restarting while its target keeps running, so its target
# keeps its keys for this time.
NODE_RESTART_S = 3.0
# Replaces NODE_RESTART_S if more than half of the members are silent: then the
# planner may itself be cut off.
PARTITION_WAIT_S = 8.0
# A planner with silent members announces itself this often, so that a node on
# the other side of a partition does not plan as well.
ANNOUNCE_INTERVAL_S = PARTITION_WAIT_S / 2
# Without an answer to a probe for this time, a node may be cut off even if it
# still hears others.
ECHO_LIMIT_S = 2.0
# A node that was silent for this time is removed; it registers again if it
# returns.
REMOVE_AFTER_S = 20.0
# Members that allocate rate limit tokens.
ALLOCATOR_COUNT = 4
# Interval of load queries, and the delay after a move in which the key counts
# adapt to it.
LOAD_INTERVAL_S = 0.5
MOVE_INTERVAL_S = 1.2
# Part of the targets whose loads must be known to move keys between them.
REPORTS_NEEDED = 0.75
# A failed proposal is made again when the topic has grown, or after this time:
# a conflicting record has been read by then.
PROPOSAL_RETRY_S = 0.3
# Largest record that the log takes, unless the settings name another limit.
DEFAULT_RECORD_BYTES = 262_144
# Part of it that the key of a record and its length may take.
KEY_BYTES = 256


@valueclass.define
class LoadsReceived:
    """The loads of a service's targets, by life (process run)."""

    service: str
    loads: dict[ranges.Life, leasing.KeyLoadReport]


class RangePlanner(actor.Actor):
    """Plans if this node is the reachable member with the lowest name.

    A node that hears less than half of the members only plans when nobody
    else has announced itself as planner in the log for PARTITION_WAIT_S.

    ``presence`` is the view of member liveness. ``registrar`` appends
    proposals, of at most ``record_limit`` bytes. ``list_refused`` returns the
    ranges and rights of earlier eras of the store that are not used here. A
    proposal fails if the fleet's topic has grown since the state was folded,
    so that of two planners only one succeeds.
    """

    name = 'planner'
    tick_s = TICK_S

    def __init__(
        self,
        member: str,
        incarnation,
        presence,
        registrar,
        links,
        record_limit: int = DEFAULT_RECORD_BYTES,
        list_refused=frozenset,
    ):
        super().__init__()
        self._list_refused = list_refused
        self._record_limit = record_limit - KEY_BYTES
        # Limit of the next plan of a service whose last one was rejected.
        self._range_limits = {}
        self._member = member
        self._incarnation = incarnation
        self._presence = presence
        self._registrar = registrar
        self._links = links
        self._loads = {}
        self._loads_asked_at = float('-inf')
        self._moved_at = float('-inf')
        self._state = state.State()
        self._changed_at = clock.read_boot_clock()
        # Since when each key's newest record cannot be read.
        self._unreadable_since = {}
        self._silent_since = {}
        self._seen_at = {}
        self._lives = frozenset()
        self._proposed_end = None
        self._retry_at = float('-inf')
        self._minority_since = None
        self._announced_at = float('-inf')

    async def handle(self, message):
        """Handle one message."""
        match message:
            case journaling.StateChanged(state=current):
                self._apply_state(current)
                self.tick_within(0.0)
            case owning.MembersSilent(incarnations=silent):
                now = clock.read_boot_clock()
                self._silent_since = {
                    member_id: self._silent_since.get(member_id, now)
                    for member_id in silent
                }
                self.tick_within(0.0)
            case LoadsReceived(service=service, loads=loads):
                self._loads[service] = loads

    async def tick(self) -> None:
        """Propose the next record that the state needs, if any."""
        current = self._state
        now = clock.read_boot_clock()
        is_planner = bool(current.members) and self._is_planner(now)
        self.tick_s = TICK_S if is_planner else IDLE_S
        refused = self._list_refused()
        if not is_planner and not current.unreadable and not refused:
            return
        if current.era_phase is state.EraPhase.LOST:
            # What earlier plans have said is not in the topic yet.
            return
        if self._proposed_end == self._state.offset and now < self._retry_at:
            # The latest proposal was based on this state and is not read
            # yet.
            return
        record = self._find_restoration()
        if record is None and refused:
            record = self._find_renewal(refused)
        if record is None and is_planner:
            self._request_loads(now)
            record = self._find_record(now)
        if record is None:
            return
        end = self._state.offset
        reply = await self._registrar.ask(registry.Propose(record, end))
        self._proposed_end, self._retry_at = end, float('inf')
        if reply is None or isinstance(reply, registry.ProposalRejected):
            self._retry_at = clock.read_boot_clock() + PROPOSAL_RETRY_S
        self._adapt_range_limit(record, reply)

    def _adapt_range_limit(self, record, reply) -> None:
        """Halve the size of a plan that the log has rejected."""
        match record, reply:
            case registry.PlanRecord(), registry.ProposalRejected():
                self._range_limits[record.service] = len(record.ranges) // 2
            case registry.PlanRecord(), int():
                self._range_limits.pop(record.service, None)

    def _apply_state(self, current) -> None:
        now = clock.read_boot_clock()
        before, self._state = self._state, current
        self._note_other_planner(before.planner, now)
        lives = frozenset(
            registered_member.life
            for registered_member in current.members.values()
            if registered_member.life
        )
        if lives != self._lives:
            self._lives = lives
            self._changed_at = now
        self._unreadable_since = {
            key: self._unreadable_since.get(key, now)
            for key in current.unreadable
        }
        epochs = {
            planned_range.epoch
            for plan in current.ranges.values()
            for planned_range in plan.ranges
        }
        if current.allocators is not None:
            epochs.update(place.epoch for place in current.allocators.places)
        self._seen_at = {
            seen_epoch: self._seen_at.get(seen_epoch, now)
            for seen_epoch in epochs
        }

    def _is_planner(self, now) -> bool:
        eligible = self._state.members.keys() - self._presence.silent
        # A member that cannot reach the log cannot append.
        eligible -= self._presence.without_log
        is_first = self._member == self._find_lowest_name(eligible)
        if self._hears_majority(now):
            self._minority_since = None
            return is_first
        # The others may have ended, or have a planner of their own; then this
        # node reads its announcements.
        if self._minority_since is None:
            self._minority_since = now
        return is_first and now - self._minority_since >= PARTITION_WAIT_S

    def _find_lowest_name(self, member_ids) -> str | None:
        return min(
            (self._state.members[member_id].name for member_id in member_ids),
            default=None,
        )

    def _hears_majority(self, now) -> bool:
        """Return whether this node hears more than half of the members.

        Of two halves, the one with the lowest name counts as the majority.
        """
        members = self._state.members
        heard = {
            member_id
            for member_id, member in members.items()
            if member.name == self._member
        }
        if now - self._presence.echoed_at <= ECHO_LIMIT_S:
            heard |= members.keys() - self._presence.silent
        if 2 * len(heard) != len(members):
            return 2 * len(heard) > len(members)
        return self._find_lowest_name(heard) == self._find_lowest_name(members)

    def _note_other_planner(self, before, now) -> None:
        """Wait again if another planner has announced itself."""
        planner = self._state.planner
        if planner in (None, before) or planner.name == self._member:
            return
        if self._minority_since is not None:
            self._minority_since = now

    def _find_announcement(self, now) -> state.ActivePlanner | None:
        """Return the record that shows other nodes that this one plans."""
        silent = self._state.members.keys() & self._presence.silent
        if not silent or now - self._announced_at < ANNOUNCE_INTERVAL_S:
            return None
        self._announced_at = now
        latest = self._state.planner
        return state.ActivePlanner(
            self._member, latest.round + 1 if latest is not None else 1
        )

    def _list_lost_members(self, now) -> frozenset[int]:
        """Return the members whose targets must be replaced."""
        members = self._state.members
        wait_s = NODE_RESTART_S
        if 2 * len(self._presence.silent) > len(members):
            wait_s = PARTITION_WAIT_S
        return frozenset(
            member_id
            for member_id, since in self._silent_since.items()
            if now - since >= wait_s
        )

    def _is_fresh(self, assignment) -> bool:
        """Return whether its epoch was first seen within UNSETTLED_S."""
        # An epoch that was not seen yet belongs to the plan being made.
        now = clock.read_boot_clock()
        return (
            now - self._seen_at.get(assignment.epoch, now)
            < rangeplanning.UNSETTLED_S
        )

    def _find_restoration(self):
        """Return a record that holds here but was replaced in the log.

        Another writer has left one that cannot be read. Any node restores it,
        since the planner may have started after that.
        """
        current = self._state
        known = [
            registry.PlanRecord(service, plan.ranges)
            for service, plan in current.ranges.items()
        ]
        if current.allocators is not None:
            known.append(current.allocators)
        for record in known:
            if registrycodec.build_record_key(record) in current.unreadable:
                return record
        return None

    def _find_renewal(self, refused):
        """Return a record with new epochs for what is refused here."""
        if not refused:
            # Large plans take long to look through, ten times a second.
            return None
        current, epoch = self._state, self._state.offset + 1
        for service, plan in current.ranges.items():
            renewed = tuple(
                dataclasses.replace(key_range, epoch=epoch, previous=())
                if key_range in refused
                else key_range
                for key_range in plan.ranges
            )
            if renewed != plan.ranges:
                return registry.PlanRecord(service, renewed)
        places = current.allocators.places if current.allocators else ()
        renewed = tuple(
            dataclasses.replace(place, epoch=epoch, previous=(place.member,))
            if eras.PlaceRight(number, place.epoch) in refused
            else place
            for number, place in enumerate(places)
        )
        return None if renewed == places else state.Allocators(renewed)

    def plans(self) -> bool:
        """Return whether this node is the planner."""
        now = clock.read_boot_clock()
        return bool(self._state.members) and self._is_planner(now)

    def _find_record(self, now):
        announcement = self._find_announcement(now)
        if announcement is not None:
            return announcement
        gone = self._list_lost_members(now)
        # Requests of all services wait for tokens of an allocator that has
        # restarted.
        record = self._plan_allocators(gone, now)
        if record is not None:
            return record
        for service in self._state.services.values():
            if service.routing is state.Routing.RANGE:
                record = self._plan_service(service.name, gone, now)
                if record is not None:
                    return record
        return self._find_removal(now)

    def _find_removal(self, now):
        """Return a record that removes a silent node, None if not needed.

        A node is removed after REMOVE_AFTER_S of silence if its target owns
        no ranges. Until the era of the store is open, members stay in the
        state although their records are gone, so a removal would be repeated.
        """
        if self._state.era_phase is not state.EraPhase.OPEN:
            return None
        members = self._state.members
        owners = {
            planned_range.owner.member
            for plan in self._state.ranges.values()
            for planned_range in plan.ranges
        }
        for silent_id, since in self._silent_since.items():
            member = members.get(silent_id)
            if (
                member is not None
                and now - since > REMOVE_AFTER_S
                and member.name not in owners
            ):
                eliot.log_message('plan: member removed', name=member.name)
                return registry.MemberGone(member.name)
        return None

    def _plan_service(self, service, gone, now):
        """Return a record with new owners, None if there is none."""
        current = self._state
        owners = rangeplanning.list_owners(current, service, gone)
        if not owners:
            return None
        lives = [owning_member.life for owning_member in owners]
        epoch = self._state.offset + 1
        plan = current.ranges.get(service)
        if plan is None:
            # Owners of a plan that this node cannot read may hold keys until
            # their plan is too old, unless another node restores it before.
            since = self._unreadable_since.get(f'plan/{service}')
            if since is not None and now - since < rangeplanning.UNSETTLED_S:
                return None
            if now - self._changed_at < FIRST_PLAN_DELAY_S:
                return None
            planned = rangeplanning.plan_initial(lives, epoch)
        else:
            planned = rangeplanning.replace_owners(
                plan.ranges, lives, epoch, self._is_fresh
            )
            planned = rangeplanning.add_owners(
                planned, lives, epoch, self._is_fresh
            )
            is_open = current.era_phase is state.EraPhase.OPEN
            if planned == plan.ranges and is_open:
                planned = self._balance_load(
                    service, planned, lives, epoch, now
                )
                planned = rangeplanning.drop_settled_owners(
                    planned, self._is_fresh
                )
            planned = rangeplanning.join_ranges(planned)
            if planned == plan.ranges:
                return None
        record = self._limit_plan(service, planned, len(lives), epoch)
        eliot.log_message(
            'plan: owners change',
            service=service,
            epoch=epoch,
            owners=[owning_member.name for owning_member in owners],
            gone=sorted(gone),
            end=self._state.offset,
            ranges=len(record.ranges),
            split=len(planned),
        )
        return record

    def _limit_plan(self, service, planned, owners, epoch):
        """Return the record of a plan, small enough for the log to take.

        Many changes within seconds, as of owners that come and go, split
        ranges faster than they settle and can be joined.
        """
        # Fewer would leave an owner without keys.
        least = 2 * owners
        limit = self._range_limits.get(
            service, rangeplanning.MAX_RANGES_PER_OWNER * owners
        )
        while True:
            limit = max(least, limit)
            record = registry.PlanRecord(
                service,
                rangeplanning.limit_ranges(
                    planned, limit, epoch, self._is_fresh
                ),
            )
            size = len(registrycodec.encode_record(record))
            if size <= self._record_limit or limit == least:
                return record
            limit //= 2

    def _balance_load(self, service, owned, lives, epoch, now):
        """Return the ranges after moving keys to balance the load."""
        loads = self._loads.pop(service, None)
        if loads is None or now - self._moved_at < MOVE_INTERVAL_S:
            return owned
        # Of many targets, one or another gives no report. It keeps its keys.
        owners = [
            rangeplanning.OwnerLoad(
                life,
                max(1.0, load_report.capacity),
                list(load_report.segments),
            )
            for life, load_report in loads.items()
            if life in lives
        ]
        if len(owners) < REPORTS_NEEDED * len(lives):
            return owned
        moves = rangeplanning.choose_moves(owners)
        if not moves:
            return owned
        self._moved_at = now
        eliot.log_message(
            'plan: load is made even',
            service=service,
            moves=moves,
            capacities={
                life.member: round(load_report.capacity)
                for life, load_report in loads.items()
            },
        )
        return rangeplanning.apply_moves(owned, moves, epoch, self._is_fresh)

    def _request_loads(self, now) -> None:
        if now - self._loads_asked_at < LOAD_INTERVAL_S:
            return
        self._loads_asked_at = now
        for service in self._state.services.values():
            if service.routing is state.Routing.RANGE:
                owners = rangeplanning.list_owners(
                    self._state, service.name, self._presence.silent
                )
                asyncio.ensure_future(self._gather_loads(service.name, owners))

    async def _gather_loads(self, service, owners) -> None:
        replies = await asyncio.gather(
            *(self._links.ask(peer, leasing.AskKeyLoad()) for peer in owners),
            return_exceptions=True,
        )
        loads = {
            peer.life: report
            for peer, report in zip(owners, replies, strict=True)
            if isinstance(report, leasing.KeyLoadReport)
        }
        self.tell(LoadsReceived(service, loads))

    def _plan_allocators(self, gone, now):
        """Return a record with new allocators, None if there is none."""
        current = self._state
        if not current.organisations:
            return None
        candidates = sorted(
            (
                candidate
                for candidate in current.members.values()
                if candidate.incarnation not in gone
                and not (candidate.leaving or candidate.stopping)
            ),
            key=lambda candidate: candidate.name,
        )
        present = current.allocators
        if present is None and now - self._changed_at < FIRST_PLAN_DELAY_S:
            return None
        chosen = rangeplanning.choose_allocators(
            candidates,
            present,
            ALLOCATOR_COUNT,
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
            places=[(place.name, place.epoch) for place in chosen.places],
        )
        return chosen
