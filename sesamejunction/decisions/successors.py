"""Finds the eligible owners of slots and picks successors in other zones."""

import random

from sesamejunction.model import records
from sesamejunction.model import state

ORDER_LENGTH = 3
# Random draws before a member is picked by zone; only fleets with nearly all
# members in one zone need more.
MAX_DRAWS = 64
# In larger fleets, the numbers of takeovers are not balanced.
MAX_BALANCED_MEMBERS = 256


def list_eligible(current: state.State, service: str) -> list[state.Member]:
    """Return the members that may own slots, sorted by incarnation."""
    out = state.Standing.OUT
    return sorted(
        (
            member
            for member in filter_eligible(current.members.values(), service)
            if member.incarnation in current.witness_sets
            and not member.leaving
            and current.zones.get(member.zone) is not out
            and current.targets.get(member.name) is not out
        ),
        key=lambda member: member.incarnation,
    )


def filter_eligible(members, service: str) -> list[state.Member]:
    """Return the members that serve the service.

    All of them serve the shares service, since allocators run beside the
    targets of every service.
    """
    if service == state.SHARES_SERVICE:
        return list(members)
    return [member for member in members if member.service == service]


def find_owner(current: state.State, slot_order) -> int | None:
    """Return the first live member of the order, None if all have ended."""
    if slot_order is None:
        return None
    members = current.members
    for member in slot_order.order:
        if member in members:
            return member
    return None


class Candidates:
    """Members that may own a service's slots, by zone.

    ``spread`` is the number of members that an order should have, and the
    number of zones.
    """

    def __init__(self, eligible):
        self.eligible = eligible
        self.zones = {member.incarnation: member.zone for member in eligible}
        self.by_zone = {}
        for member in eligible:
            self.by_zone.setdefault(member.zone, []).append(member.incarnation)
        self.spread = min(ORDER_LENGTH, len(eligible)), len(self.by_zone)
        self.weighted_members = _weigh_members(eligible)

    def is_degraded(self, slot_order) -> bool:
        """Return whether the order has too few eligible members or zones."""
        find = self.zones.get
        order = slot_order.order
        length, zone_count = self.spread
        if len(order) < length:
            return True
        if len(order) == 3 and zone_count >= 3:
            # The usual case, unrolled because it runs for each slot.
            first, second, third = map(find, order)
            if first is None or second is None or third is None:
                return True
            return first == second or first == third or second == third
        order_zones = {find(member) for member in order}
        return None in order_zones or len(order_zones) < min(
            zone_count, length
        )


class SuccessorPicker:
    """Picks successors in other zones, spread over the members.

    An owner's first successors are drawn at random and balanced, so that
    its slots go to many members when it ends. Ranking all members for each
    of 65,536 slots would take minutes.
    """

    def __init__(self, candidates: Candidates, seed: str):
        self.members = list(candidates.zones)
        self.zones = candidates.zones
        self._length, self._zone_count = candidates.spread
        self._by_zone = candidates.by_zone
        # Seeded, so that planners with the same state make the same plan.
        self._random = random.Random(seed)
        self._weighted_members = candidates.weighted_members
        self._takeovers = {}
        # In larger fleets, two slots of an owner rarely draw the same member.
        self._balances_takeovers = len(self.members) <= MAX_BALANCED_MEMBERS

    def build_entry(self, slot, slot_order, owner) -> records.SlotEntry:
        """Return an entry that keeps as many successors as possible."""
        zones = self.zones
        order = [owner]
        used = [zones[owner]]
        former = slot_order.order if slot_order is not None else ()
        for member in former:
            zone = zones.get(member)
            if zone is None or zone in used or len(order) == self._length:
                continue
            order.append(member)
            used.append(zone)
        if len(order) == 1 < self._length and self._balances_takeovers:
            # The first successor takes over, so of two draws the member that
            # would take over fewer of the owner's slots is chosen.
            first = self._draw_member(order, used)
            other = self._draw_member(order, used)
            takeovers = self._takeovers.setdefault(owner, {})
            if takeovers.get(other, 0) < takeovers.get(first, 0):
                first = other
            takeovers[first] = takeovers.get(first, 0) + 1
            order.append(first)
            used.append(zones[first])
        while len(order) < self._length:
            chosen = self._draw_member(order, used)
            order.append(chosen)
            used.append(zones[chosen])
        epoch = slot_order.epoch if slot_order is not None else 0
        return records.SlotEntry(slot, epoch, tuple(order))

    def _draw_member(self, order, used) -> int:
        if self._zone_count <= len(used) and self._zone_count <= len(
            set(used)
        ):
            used = ()
        draw, weighted_members, zones = (
            self._random.random,
            self._weighted_members,
            self.zones,
        )
        size = len(weighted_members)
        for _ in range(MAX_DRAWS):
            member = weighted_members[int(draw() * size)]
            if zones[member] not in used and member not in order:
                return member
        left = [zone for zone in self._by_zone if zone not in used]
        zone = self._random.choice(left)
        others = [
            member for member in self._by_zone[zone] if member not in order
        ]
        return self._random.choice(
            others
            or [member for member in self.members if member not in order]
        )


def _weigh_members(eligible) -> list[int]:
    # Members with larger targets appear up to eight times, so they are drawn
    # more often.
    least = min((member.slots for member in eligible), default=1)
    return [
        member.incarnation
        for member in eligible
        for _ in range(min(8, round(member.slots / least)))
    ]
