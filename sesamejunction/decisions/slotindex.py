"""Incremental index of a service's fixed slots: owners and conditions."""

import collections
import enum
import itertools
import operator

from sesamejunction.decisions import successors


class SlotCondition(enum.Enum):
    """What a slot needs.

    DEGRADED slots need other successors, OWNERLESS ones another owner. A
    MOVING slot is in transition, and its order can't be replaced.
    """

    SETTLED = 'settled'
    DEGRADED = 'degraded'
    OWNERLESS = 'ownerless'
    MOVING = 'moving'


class SlotIndex:
    """Owners and conditions of the fixed slots.

    ``slot_counts`` counts slots by eligible owner. ``ownerless`` holds slots
    that need another owner, ``degraded`` those whose order needs other
    successors. An update only checks slots whose order has changed, and
    slots with a member whose liveness, eligibility or zone has changed. The
    result does not depend on earlier states.
    """

    def __init__(self):
        self._reset((), None)

    def update(self, current, orders, candidates) -> None:
        """Update the index to the state's orders of the fixed slots."""
        changed = self._find_changed(current.members, orders, candidates)
        if changed is None:
            self._reset(orders, candidates.spread)
            changed = range(len(orders))
        for slot in changed:
            self._update_slot(slot, current, orders[slot], candidates)
        self._orders = orders
        self._members = current.members
        self._zones = candidates.zones

    def get_owner(self, slot: int) -> int | None:
        """Return the slot's owner, None if it is not eligible."""
        return self._owners[slot]

    def list_movable(self, owner: int) -> list[int]:
        """Return the slots of an eligible owner that are not in transition."""
        return sorted(
            slot
            for slot in self._slots_by_member.get(owner, ())
            if self._owners[slot] == owner
            and self._conditions[slot] is not SlotCondition.MOVING
        )

    def _reset(self, orders, spread) -> None:
        self.slot_counts = collections.Counter()
        self.ownerless = set()
        self.degraded = set()
        self._spread = spread
        self._orders = (None,) * len(orders)
        self._members = {}
        self._zones = {}
        self._owners = [None] * len(orders)
        self._conditions = [None] * len(orders)
        # Maps a member to the slots whose orders contain it.
        self._slots_by_member = {}

    def _find_changed(self, members, orders, candidates) -> set | None:
        """Return the slots to check again, None if all must be checked."""
        if len(orders) != len(self._orders):
            return None
        if candidates.spread != self._spread:
            return None
        changed = set()
        if orders is not self._orders:
            differs = map(operator.is_not, self._orders, orders)
            changed.update(itertools.compress(itertools.count(), differs))
        touched = self._members.keys() ^ members.keys()
        if candidates.zones is not self._zones:
            differing = self._zones.items() ^ candidates.zones.items()
            touched |= {member for member, _ in differing}
        for member in touched:
            changed |= self._slots_by_member.get(member, set())
        return changed

    def _update_slot(self, slot, current, slot_order, candidates) -> None:
        former = self._orders[slot]
        if slot_order is not former or self._conditions[slot] is None:
            for member in former.order if former else ():
                self._slots_by_member[member].discard(slot)
            for member in slot_order.order if slot_order else ():
                self._slots_by_member.setdefault(member, set()).add(slot)
        self.ownerless.discard(slot)
        self.degraded.discard(slot)
        if self._owners[slot] is not None:
            self.slot_counts[self._owners[slot]] -= 1
        condition, owner = find_condition(current, slot_order, candidates)
        self._conditions[slot] = condition
        self._owners[slot] = owner
        if owner is not None:
            self.slot_counts[owner] += 1
        match condition:
            case SlotCondition.OWNERLESS:
                self.ownerless.add(slot)
            case SlotCondition.DEGRADED:
                self.degraded.add(slot)


def find_condition(
    current, slot_order, candidates
) -> tuple[SlotCondition, int | None]:
    """Return the condition of a slot, and its owner if that is eligible."""
    if slot_order is None:
        return SlotCondition.OWNERLESS, None
    owner = slot_order.order[0]
    if owner not in current.members:
        owner = successors.find_owner(current, slot_order)
    eligible = owner if owner in candidates.zones else None
    if not may_change(slot_order, owner):
        return SlotCondition.MOVING, eligible
    if eligible is None:
        return SlotCondition.OWNERLESS, None
    degraded = candidates.is_degraded(slot_order)
    return SlotCondition.DEGRADED if degraded else SlotCondition.SETTLED, owner


def may_change(slot_order, owner) -> bool:
    """Return whether a slot with this owner may get another order.

    ``owner`` is None if all members of the order have ended; then no member
    could complete a transition.
    """
    return slot_order is None or slot_order.previous is None or owner is None
