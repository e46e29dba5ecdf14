"""Finds keys that take too much of a node and places them apart."""

import collections
import heapq

from sesamejunction.decisions import slotorders
from sesamejunction.decisions import successors
from sesamejunction.model import hotkeys
from sesamejunction.model import records
from sesamejunction.model import state

MAX_COUNTERS = 256
HALF_LIFE_S = 10.0
# Largest weight exponent before all counts are scaled down.
MAX_EXPONENT = 60.0
PLACE_SHARE = 0.2
# Below this share of its owner a key goes back to its fixed slot.
QUIET_SHARE = 0.05
# Once both slots have the same order, removal moves nothing.
REMOVE_SHARE = 0.1
# About 14 requests a second; fewer need no slot of their own.
MIN_TOTAL = 200.0
# A new owner has not counted long enough to call a key quiet.
WATCH_S = 30.0
# The removal moves nothing, and after one half-life a key that is above
# PLACE_SHARE already shows more than REMOVE_SHARE.
REMOVE_WATCH_S = HALF_LIFE_S


class Sketch:
    """Space-saving counters with exponential decay.

    A count is too high by at most total / 256. Newer requests weigh more
    instead of older ones less, so nothing is touched as time passes.
    """

    def __init__(self):
        self._counts = {}
        self._heap = []
        self._total = 0.0
        self._epoch = None

    def add(self, key_hash: int, count: float, now: float) -> None:
        """Count a key; ``now`` is boot-clock seconds."""
        weight = count * self._weigh(now)
        if key_hash in self._counts:
            self._counts[key_hash] += weight
            return
        floor = 0.0
        if len(self._counts) >= MAX_COUNTERS:
            floor = self._evict()
        self._counts[key_hash] = floor + weight
        heapq.heappush(self._heap, (floor + weight, key_hash))

    def add_total(self, count: float, now: float) -> None:
        """Count requests, whether or not their keys are known."""
        self._total += count * self._weigh(now)

    def read_total(self, now: float) -> float:
        """Return the decayed number of requests."""
        return self._total / self._weigh(now)

    def read_counts(self, now: float) -> tuple[hotkeys.KeyCount, ...]:
        """Return the decayed counts, largest first."""
        weight = self._weigh(now)
        counts = [
            hotkeys.KeyCount(key, count / weight)
            for key, count in self._counts.items()
        ]
        return tuple(sorted(counts, key=lambda one: -one.count))

    def _weigh(self, now) -> float:
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
        # Heap entries hold the count at their insertion; renew the lowest
        # until it is up to date.
        while True:
            count, key = self._heap[0]
            present = self._counts[key]
            if count == present:
                heapq.heappop(self._heap)
                del self._counts[key]
                return count
            heapq.heapreplace(self._heap, (present, key))


def plan_placement(
    current: state.State, node: int, load: hotkeys.KeyLoad
) -> records.HotKeyPlaced | None:
    """Return the record for the hottest key that needs its own slot."""
    table = current.tables.get(load.service)
    count = slotorders.count_fixed_slots(current, load.service)
    if table is None or count == 0 or load.total < MIN_TOTAL:
        return None
    for one in load.counts:
        if one.count < PLACE_SHARE * load.total:
            return None
        base = table.orders[one.key_hash % count]
        if one.key_hash in table.hot_keys or base is None:
            continue
        if base.previous is not None:
            continue
        if successors.find_owner(current, base) != node:
            continue
        return _build_placing(current, load.service, one.key_hash, node)
    return None


def plan_removal(
    current: state.State, node: int, load: hotkeys.KeyLoad, owned_s
) -> records.HotKeyRemoved | records.SlotsArranged | None:
    """Return the next step for a key that no longer needs its own slot.

    ``owned_s`` maps the hot slots that this node owns to the seconds since.
    First the hot slot moves to the order of the fixed one, then the key is
    removed.
    """
    table = current.tables.get(load.service)
    count = slotorders.count_fixed_slots(current, load.service)
    if table is None or count == 0:
        return None
    shares = {one.key_hash: one.count for one in load.counts}
    for key_hash, slot in table.hot_keys.items():
        own = table.orders[slot]
        base = table.orders[key_hash % count]
        if slot not in owned_s or base is None:
            continue
        if own.previous is not None or base.previous is not None:
            continue
        same = own.order == base.order
        limit = (REMOVE_SHARE if same else QUIET_SHARE) * load.total
        if owned_s[slot] < (REMOVE_WATCH_S if same else WATCH_S):
            continue
        if shares.get(key_hash, 0.0) > limit:
            continue
        if same:
            return records.HotKeyRemoved(load.service, key_hash, own.epoch)
        if all(one in current.members for one in base.order):
            entry = records.SlotEntry(slot, own.epoch, base.order)
            return records.SlotsArranged(load.service, (entry,))
    return None


def choose_owner(
    current: state.State, service: str, candidates, present: int | None
) -> int | None:
    """Return the candidate with the fewest hot keys, then fewest slots.

    ``present`` is the overloaded owner, which is left out.
    """
    table = current.tables[service]
    hot = set(table.hot_keys.values())
    count = slotorders.count_fixed_slots(current, service)
    keys = collections.Counter()
    slots = collections.Counter()
    for slot, arranged in enumerate(table.orders):
        if slot < count or slot in hot:
            owner = successors.find_owner(current, arranged)
            (keys if slot in hot else slots)[owner] += 1
    return min(
        (one for one in candidates if one != present),
        key=lambda one: (keys[one], slots[one], one),
        default=None,
    )


def _build_placing(current, service, key_hash, node):
    table = current.tables[service]
    count = slotorders.count_fixed_slots(current, service)
    slot = _find_free(table, count)
    eligible = successors.list_eligible(current, service)
    picker = successors.Picker(successors.Candidates(eligible), service)
    owner = choose_owner(current, service, picker.members, node)
    if slot is None or owner is None:
        return None
    former = table.orders[slot] if slot < len(table.orders) else None
    base = table.orders[key_hash % count]
    entry = picker.build_entry(slot, base, owner)
    return records.HotKeyPlaced(
        service,
        key_hash,
        slot,
        base.epoch,
        entry.order,
        former.epoch if former else 0,
    )


def _find_free(table, count) -> int | None:
    taken = set(table.hot_keys.values())
    return next(
        (
            one
            for one in range(count, count + state.MAX_HOT_KEYS)
            if one not in taken
        ),
        None,
    )
