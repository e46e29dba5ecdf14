"""Keeps how a service's fixed slots are held, by what has changed."""

import collections
import enum
import itertools
import operator

from sesamejunction.decisions import successors


class Holding(enum.Enum):
    """What a slot needs; a slot in transition can get no other order."""

    SETTLED = 'settled'
    WORN = 'worn'
    HOMELESS = 'homeless'
    MOVING = 'moving'


class Survey:
    """How the fixed slots are held.

    ``held`` counts slots by eligible owner. ``homeless`` holds slots that
    need another owner, ``worn`` those whose order needs other successors. An
    update judges the slots whose order has changed and those that name a
    member whose liveness, eligibility or zone has; what it yields does not
    depend on the states before.
    """

    def __init__(self):
        self._clear((), None)

    def update(self, current, orders, candidates) -> None:
        """Take over the state's orders of the fixed slots."""
        changed = self._find_changed(current.members, orders, candidates)
        if changed is None:
            self._clear(orders, candidates.spread)
            changed = range(len(orders))
        for slot in changed:
            self._take(slot, current, orders[slot], candidates)
        self._orders = orders
        self._members = current.members
        self._zones = candidates.zones

    def get_owner(self, slot: int) -> int | None:
        """Return the slot's owner, None when it is not eligible."""
        return self._owners[slot]

    def list_movable(self, owner: int) -> list[int]:
        """Return the slots of an eligible owner that are settled."""
        return sorted(
            slot
            for slot in self._naming.get(owner, ())
            if self._owners[slot] == owner
            and self._holdings[slot] is not Holding.MOVING
        )

    def _clear(self, orders, spread) -> None:
        self.held = collections.Counter()
        self.homeless = set()
        self.worn = set()
        self._spread = spread
        self._orders = (None,) * len(orders)
        self._members = {}
        self._zones = {}
        self._owners = [None] * len(orders)
        self._holdings = [None] * len(orders)
        # Slots by the members that their orders name.
        self._naming = {}

    def _find_changed(self, members, orders, candidates) -> set | None:
        """Return the slots to judge again, None when these are all."""
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
            touched |= {one for one, _ in differing}
        for one in touched:
            changed |= self._naming.get(one, set())
        return changed

    def _take(self, slot, current, arranged, candidates) -> None:
        former = self._orders[slot]
        if arranged is not former or self._holdings[slot] is None:
            for one in former.order if former else ():
                self._naming[one].discard(slot)
            for one in arranged.order if arranged else ():
                self._naming.setdefault(one, set()).add(slot)
        self.homeless.discard(slot)
        self.worn.discard(slot)
        if self._owners[slot] is not None:
            self.held[self._owners[slot]] -= 1
        holding, owner = judge_slot(current, arranged, candidates)
        self._holdings[slot] = holding
        self._owners[slot] = owner
        if owner is not None:
            self.held[owner] += 1
        match holding:
            case Holding.HOMELESS:
                self.homeless.add(slot)
            case Holding.WORN:
                self.worn.add(slot)


def judge_slot(current, arranged, candidates) -> tuple[Holding, int | None]:
    """Return what a slot needs, and its owner if that is eligible."""
    if arranged is None:
        return Holding.HOMELESS, None
    owner = arranged.order[0]
    if owner not in current.members:
        owner = successors.find_owner(current, arranged)
    eligible = owner if owner in candidates.zones else None
    if not may_change(arranged, owner):
        return Holding.MOVING, eligible
    if eligible is None:
        return Holding.HOMELESS, None
    worn = candidates.is_worn(arranged)
    return Holding.WORN if worn else Holding.SETTLED, owner


def may_change(arranged, owner) -> bool:
    """Return whether a slot with this owner may get another order.

    ``owner`` is None when all members of the order have ended, and then
    nobody could complete a transition.
    """
    return arranged is None or arranged.previous is None or owner is None
