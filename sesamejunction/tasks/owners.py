"""Actor that owns the slots that this node serves."""

import collections
import dataclasses
import itertools
import math
import operator

import eliot

from sesamejunction.decisions import handover
from sesamejunction.decisions import ownership
from sesamejunction.decisions import slotorders
from sesamejunction.model import journaling
from sesamejunction.model import owning
from sesamejunction.model import requests
from sesamejunction.model import state
from sesamejunction.model import timing
from sesamejunction.model import valueclass
from sesamejunction.tasks import actor
from sesamejunction.tasks import clock
from sesamejunction.tasks import handovers
from sesamejunction.tasks import peercalls
from sesamejunction.tasks import settlements

# Tick interval without pending calls; events make the next tick run at once.
IDLE_S = 1.0
# Tick interval while calls to peers must be repeated, or the node stops.
RETRY_INTERVAL_S = 0.05
# Interval of the records that mark slot moves as complete.
SETTLE_INTERVAL_S = 0.1
# Longest time for which a planned stop waits until other nodes own the idle
# slots. The planner runs several times in it.
SUCCESSOR_WAIT_S = 2.0
NO_TOKEN = requests.Token(0, 0)


@valueclass.define
class Ports:
    """Actors and peer calls that Owners uses."""

    peers: peercalls.Peers
    appender: actor.Actor
    grants: actor.Actor
    once: actor.Actor


class Owners(actor.Actor):
    """Serves slots that former owners have released, while the lease holds.

    A former owner has released a slot when it says so or its incarnation has
    ended.
    """

    name = 'owners'
    tick_s = IDLE_S

    def __init__(self, incarnation: int, ports: Ports):
        super().__init__()
        self._incarnation = incarnation
        self._ports = ports
        self._state = state.State()
        self._view = ownership.NodeView(incarnation)
        self._lease = owning.Lease(-math.inf, False)
        # Slots by service and number, and the keys of the slots to advance.
        self._slots = {}
        self._pending = set()
        # Releases by the member that has not recorded them yet.
        self._undelivered = collections.defaultdict(set)
        self._calls = peercalls.PeerCalls(ports.peers, self.tell)
        self._handovers = handovers.Handovers(ports.once)
        self._settlements = settlements.Settlements()
        self._settle_at = -math.inf
        self._next_tick_at = -math.inf
        self._stopped_at = math.inf

    async def run(self) -> None:
        """Handle messages until cancelled."""
        try:
            await super().run()
        finally:
            self._calls.close()

    async def handle(self, message):
        """Handle one message."""
        now = clock.read_boot_clock()
        match message:
            case owning.EnterSlot():
                return self._enter_slot(message, now)
            case owning.LeaveSlot():
                return self._leave_slot(message)
            case owning.Lease():
                self._lease = message
                self._publish_grant()
            case owning.CountHeldSlots():
                return self._count_held()
            case owning.ListHeldSlots():
                return self._list_held()
            case _:
                # All other messages may change the owner of a slot.
                self.tick_within(0.0)
                return await self._handle_change(message, now)

    async def _handle_change(self, message, now):
        match message:
            case owning.MemberEnded(incarnation=gone):
                self._note_ended((gone,), now)
            case journaling.StateChanged(state=current):
                self._apply_state(current, now)
            case owning.AskReleases(wanted=wanted):
                return await self._grant_releases(wanted, now)
            case owning.Releases(given=given):
                return self._record_releases(given)
            case peercalls.Delivered(member=member, given=given):
                self._undelivered[member] -= given
            case owning.StopOwning():
                self._view = dataclasses.replace(self._view, stopping=True)
                self._stopped_at = now
                self._pending.update(self._slots)

    async def tick(self) -> None:
        """Advance the pending slots and call the peers that they wait for."""
        now = clock.read_boot_clock()
        wanted = collections.defaultdict(set)
        self._next_tick_at = now + IDLE_S
        if self._view.stopping:
            await self._release_idle_groups()
        for key in list(self._pending):
            self._advance_slot(key, now, wanted)
        if wanted or any(self._undelivered.values()) or self._view.stopping:
            self._next_tick_at = min(
                self._next_tick_at, now + RETRY_INTERVAL_S
            )
        # Without a lease this node could not serve a slot released to it.
        claims = wanted if now < self._lease.end else {}
        self._call_peers(claims, now)
        if now >= self._settle_at:
            self._settle_at = now + SETTLE_INTERVAL_S
            self._propose_settled(now)
        elif self._pending:
            self._next_tick_at = min(self._next_tick_at, self._settle_at)
        self.tick_s = max(self._next_tick_at - now, 0.0)

    def _enter_slot(self, question, now):
        slot = self._slots.get((question.service, question.slot))
        if slot is None:
            return owning.NotServing(None, 0)
        entered = None
        moved = ownership.has_moved(self._state, question)
        if now < self._lease.end and not moved:
            entered = ownership.enter_slot(slot, question.request_id, now)
        if entered is None:
            owner = ownership.find_owner(self._view, slot, now)
            ready_in_s = ownership.find_wait(self._view, slot, now)
            return owning.NotServing(owner, slot.log_order.epoch, ready_in_s)
        self._slots[question.service, question.slot] = entered
        end = self._lease.end
        is_unfenced = slot.service in self._view.unfenced
        return owning.Serving(
            entered.token,
            end,
            end + timing.UNFENCED_HOLD_S if is_unfenced else end,
            entered.known_since,
        )

    def _leave_slot(self, message) -> None:
        table = self._state.tables.get(message.service)
        numbers = {message.slot}
        # A request of a hot key may still run in the key's fixed slot.
        numbers.update(table.hot_keys.values() if table else ())
        for number in numbers:
            key = (message.service, number)
            if key in self._slots:
                self._slots[key] = ownership.leave_slot(
                    self._slots[key], message.request_id
                )

    async def _grant_releases(self, wanted, now) -> owning.Releases:
        given = []
        for wanted_release in wanted:
            key = (wanted_release.service, wanted_release.slot)
            before = after = self._slots.get(key)
            if before is None:
                released = (
                    slotorders.find_epoch(self._state, *key)
                    > wanted_release.epoch
                )
            else:
                after, released = ownership.give_release(
                    before, wanted_release.epoch, now
                )
                self._slots[key] = after
                self._pending.add(key)
            if released:
                own = dataclasses.replace(
                    wanted_release, member=self._incarnation
                )
                given.append(
                    await self._handovers.add_records(own, before, after)
                )
        return owning.Releases(handover.limit_release_batch(given))

    def _record_releases(self, given) -> owning.Releases | None:
        """Record releases and return them.

        Returns None if this node has not read the epoch of one of them; the
        sender then sends them again.
        """
        all_known = True
        for received_release in given:
            key = (received_release.service, received_release.slot)
            slot = self._slots.get(key)
            self._handovers.take(received_release)
            if slot is not None:
                self._slots[key] = ownership.note_release(
                    slot, received_release
                )
                self._pending.add(key)
            all_known &= (
                slotorders.find_epoch(self._state, *key)
                >= received_release.epoch
            )
        return owning.Releases(given) if all_known else None

    def _note_ended(self, gone, now) -> None:
        ended = dict(self._view.ended)
        newly_ended = {
            member_id for member_id in gone if member_id not in ended
        }
        if not newly_ended:
            return
        ended.update((member_id, now) for member_id in newly_ended)
        self._view = dataclasses.replace(self._view, ended=ended)
        for key, slot in self._slots.items():
            log_order = slot.log_order
            if newly_ended.intersection(
                log_order.order + (log_order.previous or ())
            ):
                self._pending.add(key)

    def _apply_state(self, current, now) -> None:
        before, self._state = self._state, current
        unfenced = self._view.unfenced | {
            joined_member.service
            for joined_member in current.members.values()
            if not joined_member.checks_grants
        }
        self._view = dataclasses.replace(self._view, unfenced=unfenced)
        # Orders name only members that have joined, so a member that is
        # missing from the state was ended by a record.
        missing = set()
        for service, table in current.tables.items():
            old = before.tables.get(service)
            if table is not old:
                self._apply_table(service, old, table)
        for slot in self._slots.values():
            log_order = slot.log_order
            missing.update(log_order.order, log_order.previous or ())
        self._note_ended(missing - current.members.keys(), now)

    def _apply_table(self, service, old, table) -> None:
        before = old.orders if old else ()
        before += (None,) * (len(table.orders) - len(before))
        fixed = slotorders.count_fixed_slots(self._state, service)
        for number in handover.list_returned_slots(old, table, fixed):
            key = (service, number)
            if key in self._slots:
                self._slots[key] = handover.reset_known_since(
                    self._slots[key], clock.read_wall_clock()
                )
        changed = map(operator.is_not, table.orders, before)
        for number in itertools.compress(itertools.count(), changed):
            log_order = table.orders[number]
            if log_order is None:
                continue
            self._apply_order(service, number, log_order)
            if number >= fixed:
                self._inherit_base((service, number), table, fixed)

    def _apply_order(self, service, number, log_order) -> None:
        key = (service, number)
        slot = self._slots.get(key)
        if slot is not None or ownership.is_member(self._view, log_order):
            self._slots[key] = ownership.arrange_slot(
                slot, service, number, log_order
            )
            self._pending.add(key)

    def _inherit_base(self, key, table, fixed) -> None:
        """Carry the state of a hot key's fixed slot over to its hot slot."""
        slot = self._slots.get(key)
        base = ownership.find_base(table, fixed, key[1])
        if slot is None or base is None:
            return
        base_slot = self._slots.get((key[0], base))
        slot = ownership.inherit_slot(slot, base, base_slot)
        self._slots[key] = handover.inherit_records(
            slot, base_slot, clock.read_wall_clock()
        )

    def _advance_slot(self, key, now, wanted) -> None:
        slot = self._slots.get(key)
        if slot is None:
            self._pending.discard(key)
            return
        before = slot
        slot, role = ownership.update_ownership(self._view, slot, now)
        slot = handover.set_known_since(
            self._incarnation, before, slot, clock.read_wall_clock()
        )
        self._slots[key] = slot
        if slot.token != before.token:
            self._log_change(slot)
        match role:
            case ownership.NeedsReleases(epoch=epoch, ask=ask):
                for member_id in ask:
                    wanted[member_id].add(
                        owning.SlotRelease(*key, epoch, member_id)
                    )
            case ownership.OwnsFrom(ready_at=ready_at):
                self._next_tick_at = min(self._next_tick_at, ready_at)
            case _ if ownership.is_finished(self._view, slot):
                del self._slots[key]
                self._handovers.forget(key)
            case _ if not self._view.stopping:
                if not ownership.needs_settling(slot):
                    self._pending.discard(key)

    def _log_change(self, slot) -> None:
        token = slot.token
        eliot.log_message(
            'owner: slot changed',
            service=slot.service,
            slot=slot.number,
            token=f'{token.epoch}.{token.place}' if token else None,
        )

    async def _release_idle_groups(self) -> None:
        """Release the groups of slots that have no running requests."""
        groups = collections.defaultdict(list)
        for key in self._slots:
            groups[key[0], self._slots[key].base].append(key)
        for keys in groups.values():
            before = [self._slots[key] for key in keys]
            stopped = ownership.release_group(self._view, before)
            for key, old, new in zip(keys, before, stopped, strict=True):
                self._slots[key] = new
                if new.released != old.released:
                    await self._push_release(old, new)

    async def _push_release(self, before, slot) -> None:
        log_order = slot.log_order
        release = owning.SlotRelease(
            slot.service, slot.number, slot.released, self._incarnation
        )
        release = await self._handovers.add_records(release, before, slot)
        for member_id in {*log_order.order, *(log_order.previous or ())}:
            if member_id != self._incarnation:
                self._undelivered[member_id].add(release)

    def _call_peers(self, wanted, now) -> None:
        for member_id in [
            receiver
            for receiver in self._undelivered
            if self._is_gone(receiver)
        ]:
            del self._undelivered[member_id]
        for member_id, given in self._undelivered.items():
            if given:
                member = self._state.members[member_id]
                batch = frozenset(handover.limit_release_batch(given))
                self._calls.deliver_releases(member, batch, now)
        for member_id, releases in wanted.items():
            if not self._is_gone(member_id):
                question = owning.AskReleases(
                    self._incarnation, tuple(releases)
                )
                self._calls.start_release_request(
                    self._state.members[member_id], question, now
                )

    def _is_gone(self, member) -> bool:
        return member in self._view.ended or member not in self._state.members

    def _propose_settled(self, now) -> None:
        slots = [self._slots.get(key) for key in self._pending]
        for record in self._settlements.collect(slots, now):
            self._ports.appender.tell(journaling.Propose(record))

    def _publish_grant(self) -> None:
        floor = min(
            (
                slot_state.token
                for slot_state in self._slots.values()
                if slot_state.token
            ),
            key=lambda token: (token.epoch, token.place),
            default=NO_TOKEN,
        )
        self._ports.grants.publish(
            owning.TargetGrant(self._incarnation, floor, self._lease.end)
        )

    def _count_held(self) -> int:
        """Return what a planned stop still waits for.

        That is the number of owned slots and of undelivered releases. When
        the wait for successors or the lease is over, it is the number of
        running requests.
        """
        now = clock.read_boot_clock()
        if now > min(self._stopped_at + SUCCESSOR_WAIT_S, self._lease.end):
            return sum(
                len(slot_state.running) for slot_state in self._slots.values()
            )
        held = sum(
            slot_state.token is not None for slot_state in self._slots.values()
        )
        return held + sum(map(len, self._undelivered.values()))

    def dump(self) -> owning.OwnersDump:
        """Return the owned slots and the amount of pending work."""
        return owning.OwnersDump(
            self._list_held(),
            len(self._pending),
            sum(map(len, self._undelivered.values())),
        )

    def _list_held(self) -> tuple[owning.HeldSlot, ...]:
        if clock.read_boot_clock() >= self._lease.end:
            return ()
        return tuple(
            owning.HeldSlot(
                slot_state.service,
                slot_state.number,
                slot_state.token,
                slot_state.since,
                len(slot_state.running),
            )
            for slot_state in self._slots.values()
            if slot_state.token is not None
        )
