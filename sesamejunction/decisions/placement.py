"""Plans slot orders: few moves, balanced owners, successors in other zones."""

import collections
import dataclasses
import heapq
import math

from sesamejunction.decisions import hotkeys
from sesamejunction.decisions import slotindex
from sesamejunction.decisions import slotorders
from sesamejunction.decisions import successors
from sesamejunction.model import records
from sesamejunction.model import state
from sesamejunction.model import valueclass

# Fraction of its slots that a member may give away a minute for balance.
BALANCE_FRACTION = 0.05
# Degraded orders that one plan replaces. Planners act about once a second, so
# after the loss of a zone, each node receives less than 10 KB/s until all are
# replaced.
MAX_DEGRADED = 256


@dataclasses.dataclass(slots=True)
class Plan:
    """Entries that are needed, and entries that only improve the balance."""

    needed: list[records.SlotEntry] = dataclasses.field(default_factory=list)
    balance: list[records.SlotEntry] = dataclasses.field(default_factory=list)


class SlotPlanCache:
    """Results of the previous plan of a service, to speed up the next one.

    A plan with the cache of any former state is the same as without it.
    """

    def __init__(self):
        self.index = slotindex.SlotIndex()
        self._candidates = successors.Candidates([])
        self._table = None
        self._members = None
        self._was_empty = False

    def find_candidates(self, eligible) -> successors.Candidates:
        """Return the candidates, the cached ones if they are the same."""
        if eligible != self._candidates.eligible:
            self._candidates = successors.Candidates(eligible)
            self._was_empty = False
        return self._candidates

    def needs_plan(self, current: state.State, table) -> bool:
        """Return whether the inputs changed or the last plan wasn't empty."""
        same = table is self._table and current.members is self._members
        return not (same and self._was_empty)

    def note_plan(self, current: state.State, table, plan: Plan) -> None:
        """Store the inputs of a plan and whether it was empty."""
        self._table = table
        self._members = current.members
        self._was_empty = not plan.needed and not plan.balance


def plan_slots(
    current: state.State, service: str, eligible, cache: SlotPlanCache
) -> Plan:
    """Return the entries that balance the slots with the fewest moves.

    The cost is proportional to the members and to the slots that have
    changed since the cached plan. Slots in transition are not changed,
    unless all members of their new order have ended.
    """
    count = slotorders.count_fixed_slots(current, service)
    if not eligible or not count:
        return Plan()
    candidates = cache.find_candidates(eligible)
    table = current.tables.get(service)
    if not cache.needs_plan(current, table):
        return Plan()
    plan = _plan_table(current, service, candidates, cache.index)
    cache.note_plan(current, table, plan)
    return plan


def _plan_table(current, service, candidates, index) -> Plan:
    count = slotorders.count_fixed_slots(current, service)
    table = current.tables.get(service) or state.SlotTable((None,) * count)
    index.update(current, table.orders[:count], candidates)
    fair_shares = find_fair_shares(candidates.eligible, count, service)
    picker = successors.SuccessorPicker(
        candidates, f'{service}:{current.offset}'
    )
    plan = Plan()
    if (
        index.ownerless
        or index.degraded
        or not is_balanced(fair_shares, index.slot_counts)
    ):
        _plan_fixed_slots(plan, table, index, fair_shares, picker)
    plan.needed += plan_hot_slots(current, service, table, picker, candidates)
    return plan


def _plan_fixed_slots(plan, table, index, fair_shares, picker) -> None:
    balancer = SlotBalancer(fair_shares, index.slot_counts)
    owners = {}
    left = len(index.ownerless)
    for slot in sorted(index.ownerless):
        former = _list_eligible_members(picker, table.orders[slot])
        owners[slot] = balancer.place(former, left)
        left -= 1
    moves = _choose_moves(index, balancer)
    degraded_slots = sorted(index.degraded - moves.keys())[:MAX_DEGRADED]
    owners.update({slot: index.get_owner(slot) for slot in degraded_slots})
    balance = {slot for slot, move in moves.items() if move.balance}
    owners.update({slot: move.receiver for slot, move in moves.items()})
    for slot in sorted(owners):
        entry = picker.build_entry(slot, table.orders[slot], owners[slot])
        (plan.balance if slot in balance else plan.needed).append(entry)


def plan_hot_slots(current, service, table, picker, candidates) -> list:
    """Return entries for hot slots whose order has ineligible members."""
    entries = []
    for slot in table.hot_keys.values():
        slot_order = table.orders[slot]
        owner = successors.find_owner(current, slot_order)
        if not slotindex.may_change(slot_order, owner):
            continue
        if owner not in picker.zones:
            owner = hotkeys.choose_owner(
                current, service, tuple(picker.members), None
            )
        elif not candidates.is_degraded(slot_order):
            continue
        entries.append(picker.build_entry(slot, slot_order, owner))
    return entries


def find_fair_shares(eligible, count: int, service: str) -> dict[int, float]:
    """Return each member's fair number of slots by its target's capacity.

    The allocators' work does not depend on the target, so the slots of
    their service are spread evenly.
    """
    even = service == state.SHARES_SERVICE
    total = sum(1 if even else member.slots for member in eligible)
    return {
        member.incarnation: count * (1 if even else member.slots) / total
        for member in eligible
    }


def is_balanced(fair_shares, slot_counts) -> bool:
    """Return whether `SlotBalancer` would list no moves."""
    excess = [
        slot_counts[member] - share for member, share in fair_shares.items()
    ]
    high, low = max(excess), min(excess)
    return (high <= 1 and low >= -1) or high - low <= 1


@valueclass.define
class OwnerChange:
    """A slot's new owner; ``balance`` if the move only improves balance."""

    receiver: int
    balance: bool


class SlotBalancer:
    """Tracks by how many slots each member exceeds its fair share.

    The heaps may hold outdated values, which ``_peek`` updates.
    """

    def __init__(self, fair_shares, slot_counts):
        self.slot_counts = slot_counts
        self.fair_shares = fair_shares
        self._excess = {
            member: slot_counts[member] - share
            for member, share in fair_shares.items()
        }
        self._low = [
            (excess, member) for member, excess in self._excess.items()
        ]
        self._high = [
            (-excess, member) for member, excess in self._excess.items()
        ]
        heapq.heapify(self._low)
        heapq.heapify(self._high)
        # Slots needed so that no member is more than one below its share.
        self._missing_slots = sum(
            max(0, math.ceil(-1 - excess)) for excess in self._excess.values()
        )

    def place(self, preferred, left: int) -> int:
        """Return the owner for an ownerless slot; ``left`` such slots remain.

        A member of the slot's order is preferred while it is below its
        share, since it is the next owner anyway. But the remaining slots go
        first to members that would otherwise need a move.
        """
        chosen = self._peek(self._low, 1)
        if left > self._missing_slots:
            for member in preferred:
                if self._excess[member] < 0:
                    chosen = member
                    break
        self._missing_slots -= self._excess[chosen] < -1
        self._excess[chosen] += 1
        return chosen

    def list_moves(self) -> list[tuple[int, int]]:
        """Return the (giver, receiver) pairs that balance all members.

        Members are balanced within one slot of their share. Each move goes
        from the highest to the lowest member, so no shorter list exists.
        """
        moves = []
        while True:
            giver = self._peek(self._high, -1)
            receiver = self._peek(self._low, 1)
            high, low = self._excess[giver], self._excess[receiver]
            # If members that are not eligible own slots in transition, all
            # others can be below their share, and moves would not help.
            if (high <= 1 and low >= -1) or high - low <= 1:
                return moves
            self._excess[giver] -= 1
            self._excess[receiver] += 1
            moves.append((giver, receiver))

    def _peek(self, heap, sign) -> int:
        while True:
            value, member = heap[0]
            if value == sign * self._excess[member]:
                return member
            heapq.heapreplace(heap, (sign * self._excess[member], member))


def _choose_moves(index, balancer) -> dict[int, OwnerChange]:
    """Return the new owner of each slot to move, within the move limits."""
    slot_counts = index.slot_counts
    receivers = collections.defaultdict(collections.deque)
    for giver, receiver in balancer.list_moves():
        # A member that has joined or returned gets its slots at once.
        joined = slot_counts[receiver] < balancer.fair_shares[receiver] / 2
        if joined:
            receivers[giver].appendleft(OwnerChange(receiver, False))
        else:
            receivers[giver].append(OwnerChange(receiver, True))
    moves = {}
    for giver, changes in receivers.items():
        allowed = max(1, int(slot_counts[giver] * BALANCE_FRACTION))
        for slot in index.list_movable(giver):
            if not changes:
                break
            if changes[0].balance:
                if allowed == 0:
                    break
                allowed -= 1
            moves[slot] = changes.popleft()
    return moves


def _list_eligible_members(picker, slot_order):
    if slot_order is None:
        return ()
    return [member for member in slot_order.order if member in picker.zones]
