"""Finds hot keys, and plans when their hot slots are added and removed."""

import collections
import heapq

from sesamejunction.decisions import slotorders
from sesamejunction.decisions import successors
from sesamejunction.model import hotkeys
from sesamejunction.model import records
from sesamejunction.model import state

MAX_COUNTERS = 256
HALF_LIFE_S = 10.0
# Weight exponent above which all counts are scaled down.
MAX_EXPONENT = 60.0
# A key with at least this share of its owner's requests gets a hot slot.
HOT_SHARE = 0.2
# Below this share of its owner's requests a key returns to its fixed slot.
COOL_SHARE = 0.05
# The share below which a hot slot is removed once it has the same order as the
# fixed slot. It may be higher, since the removal moves nothing.
REMOVE_SHARE = 0.1
# Decayed count of a node below which no key needs its own slot: about 14
# requests a second.
MIN_REQUESTS = 200.0
# A new owner counts for this long before it considers a key no longer hot.
COOL_WATCH_S = 30.0
# The same before a removal. It is shorter, since a removal moves nothing:
# after one half-life, a key above HOT_SHARE already exceeds REMOVE_SHARE.
REMOVE_WATCH_S = HALF_LIFE_S


class Sketch:
    """Space-saving counters with exponential decay.

    A count is too high by at most total / MAX_COUNTERS. Instead of scaling
    down old counts, newer requests get larger weights, so that no count has
    to be updated as time passes.
    """

    def __init__(self):
        self._counts = {}
        self._heap = []
        self._total = 0.0
        self._epoch = None

    def add(self, key_hash: int, count: float, now: float) -> None:
        """Count requests of a key; ``now`` is in boot-clock seconds."""
        weight = count * self._find_weight(now)
        if key_hash in self._counts:
            self._counts[key_hash] += weight
            return
        floor = 0.0
        if len(self._counts) >= MAX_COUNTERS:
            floor = self._evict()
        self._counts[key_hash] = floor + weight
        heapq.heappush(self._heap, (floor + weight, key_hash))

    def add_total(self, count: float, now: float) -> None:
        """Count requests of any key."""
        self._total += count * self._find_weight(now)

    def read_total(self, now: float) -> float:
        """Return the decayed number of requests."""
        return self._total / self._find_weight(now)

    def read_counts(self, now: float) -> tuple[hotkeys.KeyCount, ...]:
        """Return the decayed counts, largest first."""
        weight = self._find_weight(now)
        counts = [
            hotkeys.KeyCount(key, count / weight)
            for key, count in self._counts.items()
        ]
        return tuple(sorted(counts, key=lambda counted: -counted.count))

    def _find_weight(self, now) -> float:
        if self._epoch is None:
            self._epoch = now
        exponent = (now - self._epoch) / HALF_LIFE_S
        if exponent > MAX_EXPONENT:
            scale = 2.0**-exponent
            self._counts = {k: c * scale for k, c in self._counts.items()}
            self._heap = [(c, k) for k, c in self._counts.items()]
            heapq.heapify(self._heap)
            self._total *= scale
            self._epoch = now
            exponent = 0.0
        return 2.0**exponent

    def _evict(self) -> float:
        # Heap entries hold the count at their insertion. The lowest one is
        # updated until it is current.
        while True:
            count, key = self._heap[0]
            current_count = self._counts[key]
            if count == current_count:
                heapq.heappop(self._heap)
                del self._counts[key]
                return count
            heapq.heapreplace(self._heap, (current_count, key))


def plan_placement(
    current: state.State, node: int, load: hotkeys.KeyLoad
) -> records.HotKeyPlaced | None:
    """Return the record that gives the hottest key its own slot.

    Only keys whose fixed slot is settled and owned by ``node`` are
    considered. Returns None if none of them is hot, or no slot or other
    owner is available.
    """
    table = current.tables.get(load.service)
    count = slotorders.count_fixed_slots(current, load.service)
    if table is None or count == 0 or load.total < MIN_REQUESTS:
        return None
    for key_count in load.counts:
        if key_count.count < HOT_SHARE * load.total:
            return None
        fixed_order = table.orders[key_count.key_hash % count]
        if key_count.key_hash in table.hot_keys or fixed_order is None:
            continue
        if fixed_order.previous is not None:
            continue
        if successors.find_owner(current, fixed_order) != node:
            continue
        return _build_placement(
            current, load.service, key_count.key_hash, node
        )
    return None


def plan_removal(
    current: state.State, node: int, load: hotkeys.KeyLoad, owned_s
) -> records.HotKeyRemoved | records.SlotsArranged | None:
    """Return the next record for a key that no longer needs its own slot.

    Returns None if there is no such key.

    ``owned_s`` maps the hot slots that this node owns to the seconds since
    it became the owner. The hot slot first moves to the order of the fixed
    one; then the hot key is removed.
    """
    table = current.tables.get(load.service)
    count = slotorders.count_fixed_slots(current, load.service)
    if table is None or count == 0:
        return None
    shares = {counted.key_hash: counted.count for counted in load.counts}
    for key_hash, slot in table.hot_keys.items():
        hot_order = table.orders[slot]
        fixed_order = table.orders[key_hash % count]
        if slot not in owned_s or fixed_order is None:
            continue
        if hot_order.previous is not None or fixed_order.previous is not None:
            continue
        same = hot_order.order == fixed_order.order
        limit = (REMOVE_SHARE if same else COOL_SHARE) * load.total
        if owned_s[slot] < (REMOVE_WATCH_S if same else COOL_WATCH_S):
            continue
        if shares.get(key_hash, 0.0) > limit:
            continue
        if same:
            return records.HotKeyRemoved(
                load.service, key_hash, hot_order.epoch
            )
        if all(member in current.members for member in fixed_order.order):
            entry = records.SlotEntry(slot, hot_order.epoch, fixed_order.order)
            return records.SlotsArranged(load.service, (entry,))
    return None


def choose_owner(
    current: state.State, service: str, candidates, overloaded: int | None
) -> int | None:
    """Return the candidate with the fewest hot keys, then fewest slots.

    ``overloaded`` is excluded; None excludes no candidate. Returns None if
    no candidate is left.
    """
    table = current.tables[service]
    hot = set(table.hot_keys.values())
    count = slotorders.count_fixed_slots(current, service)
    keys = collections.Counter()
    slots = collections.Counter()
    for slot, slot_order in enumerate(table.orders):
        if slot < count or slot in hot:
            owner = successors.find_owner(current, slot_order)
            (keys if slot in hot else slots)[owner] += 1
    return min(
        (candidate for candidate in candidates if candidate != overloaded),
        key=lambda candidate: (keys[candidate], slots[candidate], candidate),
        default=None,
    )


def _build_placement(current, service, key_hash, node):
    table = current.tables[service]
    count = slotorders.count_fixed_slots(current, service)
    slot = _find_free_slot(table, count)
    eligible = successors.list_eligible(current, service)
    picker = successors.SuccessorPicker(
        successors.Candidates(eligible), service
    )
    owner = choose_owner(current, service, picker.members, node)
    if slot is None or owner is None:
        return None
    former = table.orders[slot] if slot < len(table.orders) else None
    fixed_order = table.orders[key_hash % count]
    entry = picker.build_entry(slot, fixed_order, owner)
    return records.HotKeyPlaced(
        service,
        key_hash,
        slot,
        fixed_order.epoch,
        entry.order,
        former.epoch if former else 0,
    )


def _find_free_slot(table, count) -> int | None:
    taken = set(table.hot_keys.values())
    return next(
        (
            free_slot
            for free_slot in range(count, count + state.MAX_HOT_KEYS)
            if free_slot not in taken
        ),
        None,
    )
