"""Plans the slot orders: few moves, even load, successors elsewhere."""

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

# Share of its slots that a member may give away a minute for balance.
BALANCE_PART = 0.05
# Orders a plan renews only for their successors. Planners act about once a
# second, so a lost zone costs each node under 10 KB/s until all are renewed.
MAX_WORN = 256


@dataclasses.dataclass(slots=True)
class Plan:
    """Entries that the state needs, and those that only serve balance."""

    needed: list[records.SlotEntry] = dataclasses.field(default_factory=list)
    balance: list[records.SlotEntry] = dataclasses.field(default_factory=list)


class SlotPlanCache:
    """What the previous plan of a service has found.

    It only saves work: a plan with the memory of any former state is the
    same as one without.
    """

    def __init__(self):
        self.survey = slotindex.Survey()
        self._candidates = successors.Candidates([])
        self._table = None
        self._members = None
        self._is_done = False

    def find_candidates(self, eligible) -> successors.Candidates:
        """Return the candidates, the former ones if they are the same."""
        if eligible != self._candidates.eligible:
            self._candidates = successors.Candidates(eligible)
            self._is_done = False
        return self._candidates

    def needs_plan(self, current: state.State, table) -> bool:
        """Return whether the service's inputs have changed.

        They also count as changed while the former plan was not empty.
        """
        same = table is self._table and current.members is self._members
        return not (same and self._is_done)

    def note(self, current: state.State, table, plan: Plan) -> None:
        """Note the inputs of a plan and whether it was empty."""
        self._table = table
        self._members = current.members
        self._is_done = not plan.needed and not plan.balance


def plan_slots(
    current: state.State, service: str, eligible, memory: SlotPlanCache
) -> Plan:
    """Return the entries that spread the slots with the fewest moves.

    The work grows with the members and with the slots that have changed
    since the memory's plan. Slots in transition are left alone, unless all
    members of their new order have ended.
    """
    count = slotorders.count_fixed_slots(current, service)
    if not eligible or not count:
        return Plan()
    candidates = memory.find_candidates(eligible)
    table = current.tables.get(service)
    if not memory.needs_plan(current, table):
        return Plan()
    plan = _plan_table(current, service, candidates, memory.survey)
    memory.note(current, table, plan)
    return plan


def _plan_table(current, service, candidates, survey) -> Plan:
    count = slotorders.count_fixed_slots(current, service)
    table = current.tables.get(service) or state.SlotTable((None,) * count)
    survey.update(current, table.orders[:count], candidates)
    shares = find_shares(candidates.eligible, count, service)
    picker = successors.Picker(candidates, f'{service}:{current.offset}')
    plan = Plan()
    if survey.homeless or survey.worn or not is_level(shares, survey.held):
        _plan_fixed_slots(plan, table, survey, shares, picker)
    plan.needed += plan_hot_slots(current, service, table, picker, candidates)
    return plan


def _plan_fixed_slots(plan, table, survey, shares, picker) -> None:
    level = Level(shares, survey.held)
    owners = {}
    left = len(survey.homeless)
    for slot in sorted(survey.homeless):
        former = _list_live(picker, table.orders[slot])
        owners[slot] = level.place(former, left)
        left -= 1
    moves = _choose_slots(survey, level)
    worn = sorted(survey.worn - moves.keys())[:MAX_WORN]
    owners.update({slot: survey.get_owner(slot) for slot in worn})
    balance = {slot for slot, move in moves.items() if move.balance}
    owners.update({slot: move.receiver for slot, move in moves.items()})
    for slot in sorted(owners):
        entry = picker.build_entry(slot, table.orders[slot], owners[slot])
        (plan.balance if slot in balance else plan.needed).append(entry)


def plan_hot_slots(current, service, table, picker, candidates) -> list:
    """Return entries for hot slots whose order lost an eligible member."""
    entries = []
    for slot in table.hot_keys.values():
        arranged = table.orders[slot]
        owner = successors.find_owner(current, arranged)
        if not slotindex.may_change(arranged, owner):
            continue
        if owner not in picker.zones:
            owner = hotkeys.choose_owner(
                current, service, tuple(picker.members), None
            )
        elif not candidates.is_worn(arranged):
            continue
        entries.append(picker.build_entry(slot, arranged, owner))
    return entries


def find_shares(eligible, count: int, service: str) -> dict[int, float]:
    """Return each member's share of the slots by its target's size.

    The allocators' work does not depend on the target, so their service is
    spread evenly.
    """
    even = service == state.SHARES_SERVICE
    total = sum(1 if even else one.slots for one in eligible)
    return {
        one.incarnation: count * (1 if even else one.slots) / total
        for one in eligible
    }


def is_level(shares, held) -> bool:
    """Return whether no moves are needed for balance (`Level`)."""
    over = [held[one] - share for one, share in shares.items()]
    high, low = max(over), min(over)
    return (high <= 1 and low >= -1) or high - low <= 1


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """A slot's new owner; ``balance`` when only balance asks for it."""

    receiver: int
    balance: bool


class Level:
    """Keeps how far each member is above its share, in slots.

    The heaps hold outdated values too; ``_peek`` renews what it meets.
    """

    def __init__(self, shares, held):
        self.held = held
        self.shares = shares
        self._over = {one: held[one] - share for one, share in shares.items()}
        self._low = [(over, one) for one, over in self._over.items()]
        self._high = [(-over, one) for one, over in self._over.items()]
        heapq.heapify(self._low)
        heapq.heapify(self._high)
        # Slots that the members too far below their shares lack.
        self._lacking = sum(
            max(0, math.ceil(-1 - over)) for over in self._over.values()
        )

    def place(self, preferred, left: int) -> int:
        """Return the owner for a slot without one; ``left`` slots remain.

        A member of the slot's order is preferred while it is below its
        share, since it would own the slot next anyway. Members that would
        otherwise need a move go first.
        """
        chosen = self._peek(self._low, 1)
        if left > self._lacking:
            for one in preferred:
                if self._over[one] < 0:
                    chosen = one
                    break
        self._lacking -= self._over[chosen] < -1
        self._over[chosen] += 1
        return chosen

    def list_moves(self) -> list[tuple[int, int]]:
        """Return (giver, receiver) pairs until all are within one slot.

        Each pair takes from the highest and gives to the lowest, so no
        shorter list exists.
        """
        moves = []
        while True:
            giver = self._peek(self._high, -1)
            receiver = self._peek(self._low, 1)
            high, low = self._over[giver], self._over[receiver]
            # With slots in transition to members that may not own them all
            # others can be too low, and moves would not help.
            if (high <= 1 and low >= -1) or high - low <= 1:
                return moves
            self._over[giver] -= 1
            self._over[receiver] += 1
            moves.append((giver, receiver))

    def _peek(self, heap, sign) -> int:
        while True:
            value, one = heap[0]
            if value == sign * self._over[one]:
                return one
            heapq.heapreplace(heap, (sign * self._over[one], one))


def _choose_slots(survey, level) -> dict[int, Move]:
    """Return the slots that change owner, at most the allowed ones."""
    held = survey.held
    receivers = collections.defaultdict(collections.deque)
    for giver, receiver in level.list_moves():
        # A member that joined or returned is filled at once.
        joined = held[receiver] < level.shares[receiver] / 2
        if joined:
            receivers[giver].appendleft(Move(receiver, False))
        else:
            receivers[giver].append(Move(receiver, True))
    moves = {}
    for giver, waiting in receivers.items():
        allowed = max(1, int(held[giver] * BALANCE_PART))
        for slot in survey.list_movable(giver):
            if not waiting:
                break
            if waiting[0].balance:
                if allowed == 0:
                    break
                allowed -= 1
            moves[slot] = waiting.popleft()
    return moves


def _list_live(picker, arranged):
    if arranged is None:
        return ()
    return [one for one in arranged.order if one in picker.zones]
