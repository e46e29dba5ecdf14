"""Plans which target owns which keys of a service with key ranges.

A life is one run of a target's process.
"""

import bisect
import collections
import dataclasses

from sesamejunction.model import ranges
from sesamejunction.model import state
from sesamejunction.model import valueclass

# A plan with more ranges per owner is compacted; the answer to a heartbeat
# holds about 80 rows.
MAX_RANGES_PER_OWNER = 24
# If keys move again within this time, their earlier owners stay listed as
# former owners, since they may not have released the keys yet.
UNSETTLED_S = 8.0


# Keys are moved if the utilization of the busiest target is this much higher
# than that of the least busy one, and at least BUSY_UTILIZATION.
MAX_IMBALANCE = 0.12
BUSY_UTILIZATION = 0.35
# Below this total rate, in requests a second, the measurement is too coarse.
MIN_TOTAL_RATE = 4.0
# Moves in one plan; each one interrupts service of the moved keys briefly.
# With many targets, more of them are overloaded at the same time.
MIN_MOVES_LIMIT = 8
MOVES_PER_TARGET = 0.5


@dataclasses.dataclass(slots=True)
class OwnerLoad:
    """Load of one life, in requests a second.

    ``segments`` holds the first key, last key and rate of each segment,
    ``rate`` is their sum.
    """

    life: ranges.Life
    capacity: float
    segments: list[tuple[int, int, float]]
    rate: float = 0.0

    def __post_init__(self):
        self.rate = sum(rate for _, _, rate in self.segments)

    def add_segment(self, segment) -> None:
        """Add a segment that has moved here."""
        self.segments.append(segment)
        self.rate += segment[2]

    def remove_segment(self, segment) -> None:
        """Remove a segment that moves away."""
        self.segments.remove(segment)
        self.rate -= segment[2]

    @property
    def utilization(self) -> float:
        """Return the fraction of the capacity that is in use."""
        return self.rate / self.capacity


@valueclass.define
class Move:
    """Keys that are reassigned to another life."""

    first: int
    last: int
    life: ranges.Life


def list_owners(
    current: state.State, service: str, silent
) -> list[state.Member]:
    """Return the members whose targets may own keys of the service.

    The incarnations in ``silent`` are excluded.
    """
    return sorted(
        (
            candidate_member
            for candidate_member in current.members.values()
            if candidate_member.service == service
            and candidate_member.life is not None
            and not candidate_member.leaving
            and candidate_member.incarnation not in silent
            and current.zones.get(candidate_member.zone)
            is not state.Standing.OUT
        ),
        key=lambda candidate_member: candidate_member.name,
    )


def plan_initial(
    lives: list[ranges.Life], epoch: int
) -> tuple[ranges.Range, ...]:
    """Return a first plan with ranges of equal width for all lives."""
    count = len(lives)
    bounds = [
        index * (ranges.LAST_KEY + 1) // count for index in range(count + 1)
    ]
    return tuple(
        ranges.Range(bounds[index], bounds[index + 1] - 1, epoch, life)
        for index, life in enumerate(lives)
    )


def reassign_range(
    key_range: ranges.Range, life: ranges.Life, epoch: int, fresh: bool
) -> ranges.Range:
    """Return the range assigned to another life.

    ``fresh`` is true if its present owner got it only recently, so that
    earlier owners may still hold keys.
    """
    earlier = key_range.previous if fresh else ()
    previous = tuple(dict.fromkeys((key_range.owner, *earlier)))
    return ranges.Range(
        key_range.first,
        key_range.last,
        epoch,
        life,
        tuple(former for former in previous if former != life)
        if life == key_range.owner
        else previous,
    )


def replace_owners(
    owned: tuple[ranges.Range, ...],
    lives: list[ranges.Life],
    epoch: int,
    moved_recently,
) -> tuple[ranges.Range, ...]:
    """Return the ranges, with owners that are not in ``lives`` replaced.

    Keys of an ended life go to the next life at the same node, others to the
    lives that own the fewest keys. ``moved_recently`` returns whether a
    range has moved recently.
    """
    eligible = set(lives)
    successors = {new_life.member: new_life for new_life in lives}
    key_counts = dict.fromkeys(lives, 0)
    for key_range in owned:
        if key_range.owner in key_counts:
            key_counts[key_range.owner] += key_range.width
    result = []
    for key_range in owned:
        if key_range.owner in eligible:
            result.append(key_range)
            continue
        successor = successors.get(key_range.owner.member)
        if successor is not None:
            key_counts[successor] += key_range.width
            result.append(
                reassign_range(
                    key_range, successor, epoch, moved_recently(key_range)
                )
            )
            continue
        result += split_evenly(
            key_range, key_counts, epoch, moved_recently(key_range)
        )
    return tuple(result)


def split_evenly(key_range, key_counts, epoch, fresh) -> list[ranges.Range]:
    """Return the range split among the lives that own the fewest keys."""
    fair_width = (sum(key_counts.values()) + key_range.width) / len(key_counts)
    result, at = [], key_range.first
    for life in sorted(key_counts, key=lambda life: (key_counts[life], life)):
        if at > key_range.last:
            break
        missing = max(1, round(fair_width - key_counts[life]))
        last = min(key_range.last, at + missing - 1)
        part = dataclasses.replace(key_range, first=at, last=last)
        result.append(reassign_range(part, life, epoch, fresh))
        key_counts[life] += last - at + 1
        at = last + 1
    if at <= key_range.last:
        last = result.pop()
        key_counts[last.owner] += key_range.last - at + 1
        result.append(dataclasses.replace(last, last=key_range.last))
    return result


def add_owners(
    owned: tuple[ranges.Range, ...],
    lives: list[ranges.Life],
    epoch: int,
    moved_recently,
) -> tuple[ranges.Range, ...]:
    """Return the ranges after lives without any have got their share.

    Each gets an equal share of the keys, taken from the ends of the widest
    ranges, so that no other keys move.
    """
    result = list(owned)
    owners_before = {key_range.owner for key_range in owned}
    equal_share = (ranges.LAST_KEY + 1) // len(lives)
    for life in lives:
        if life in owners_before:
            continue
        needed = equal_share
        while needed > 0:
            index = max(
                (
                    index
                    for index, key_range in enumerate(result)
                    if key_range.owner != life
                ),
                key=lambda index: result[index].width,
            )
            key_range = result[index]
            cut = min(needed, max(1, key_range.width // 2))
            kept = dataclasses.replace(key_range, last=key_range.last - cut)
            moved = dataclasses.replace(
                key_range, first=key_range.last - cut + 1
            )
            result[index : index + 1] = [
                kept,
                reassign_range(moved, life, epoch, moved_recently(key_range)),
            ]
            needed -= cut
    return tuple(result)


def choose_moves(owners: list[OwnerLoad]) -> list[Move]:
    """Return the moves that balance the utilization of the targets.

    Narrow segments with a high rate go first, so that few keys move. The
    segments in ``owners`` are moved accordingly.
    """
    moves = []
    if (
        len(owners) < 2
        or sum(owner_load.rate for owner_load in owners) < MIN_TOTAL_RATE
    ):
        return moves
    limit = max(MIN_MOVES_LIMIT, int(len(owners) * MOVES_PER_TARGET))
    while len(moves) < limit:
        busiest = max(owners, key=lambda owner_load: owner_load.utilization)
        least_busy = min(owners, key=lambda owner_load: owner_load.utilization)
        if (
            busiest.utilization < BUSY_UTILIZATION
            or busiest.utilization - least_busy.utilization < MAX_IMBALANCE
        ):
            break
        # The rate whose move would make both utilizations equal.
        surplus = (
            busiest.rate * least_busy.capacity
            - least_busy.rate * busiest.capacity
        ) / (least_busy.capacity + busiest.capacity)
        fitting = [
            candidate_segment
            for candidate_segment in busiest.segments
            if 0 < candidate_segment[2] <= surplus
        ]
        if not fitting:
            break
        segment = max(
            fitting,
            key=lambda candidate_segment: (
                candidate_segment[2] / _width(candidate_segment)
            ),
        )
        busiest.remove_segment(segment)
        least_busy.add_segment(segment)
        moves.append(Move(segment[0], segment[1], least_busy.life))
    return moves


def _width(segment) -> int:
    return segment[1] - segment[0] + 1


def apply_moves(
    owned: tuple[ranges.Range, ...],
    moves: list[Move],
    epoch: int,
    moved_recently,
) -> tuple[ranges.Range, ...]:
    """Return the ranges after the moves."""
    result = list(owned)
    for move in moves:
        # Ranges are in order and cover all keys.
        start = bisect.bisect_right(result, move.first, key=_get_first) - 1
        end = bisect.bisect_right(result, move.last, key=_get_first)
        after = []
        for key_range in result[start:end]:
            first, last = (
                max(key_range.first, move.first),
                min(key_range.last, move.last),
            )
            if first > last or key_range.owner == move.life:
                after.append(key_range)
                continue
            if key_range.first < first:
                after.append(dataclasses.replace(key_range, last=first - 1))
            moved = dataclasses.replace(key_range, first=first, last=last)
            after.append(
                reassign_range(
                    moved, move.life, epoch, moved_recently(key_range)
                )
            )
            if last < key_range.last:
                after.append(dataclasses.replace(key_range, first=last + 1))
        result[start:end] = after
    return tuple(result)


def _get_first(key_range: ranges.Range) -> int:
    return key_range.first


def drop_settled_owners(owned, moved_recently) -> tuple:
    """Return ranges or places without former owners of moves long past.

    Otherwise a later planner, which does not know how old a move is, would
    make the next owner wait for them again.
    """
    return tuple(
        dataclasses.replace(item, previous=())
        if item.previous and not moved_recently(item)
        else item
        for item in owned
    )


def compact_ranges(
    owned: tuple[ranges.Range, ...], epoch: int, moved_recently
) -> tuple[ranges.Range, ...]:
    """Return the ranges, with adjacent settled ranges of one owner joined.

    A joined range gets the plan's higher epoch, so that it stays one grant.
    Ranges that move in the same plan are not settled.
    """
    result, run = [], []
    for key_range in owned:
        settled = key_range.epoch != epoch and not moved_recently(key_range)
        if run and not (settled and run[0].owner == key_range.owner):
            result.append(_join_run(run, epoch))
            run = []
        if settled:
            run.append(key_range)
        else:
            result.append(key_range)
    if run:
        result.append(_join_run(run, epoch))
    return tuple(result)


def limit_ranges(
    owned: tuple[ranges.Range, ...], limit: int, epoch: int, moved_recently
) -> tuple[ranges.Range, ...]:
    """Return the ranges, joined until at most ``limit`` remain.

    Settled neighbours of one owner are joined first, then all neighbours of
    one owner. Then narrow ranges go to the owner of a neighbour, which waits
    for all that may hold their keys. Each owner keeps a range, so ``limit``
    must be at least twice the number of owners.
    """
    if len(owned) <= limit:
        return owned
    result = compact_ranges(owned, epoch, moved_recently)
    width = 1
    while len(result) > limit and width <= ranges.LAST_KEY + 1:
        result = _join_narrow(result, limit, width, epoch, moved_recently)
        width *= 2
    return tuple(result)


def _join_narrow(owned, limit, width, epoch, moved_recently):
    """Return the ranges after joining those below a width to a neighbour.

    Neighbours of one owner are joined whatever their width. Stops when
    ``limit`` is reached.
    """
    counts = collections.Counter(key_range.owner for key_range in owned)
    excess = len(owned) - limit
    result = [owned[0]]
    for key_range in owned[1:]:
        narrow, wide = sorted((result[-1], key_range), key=_get_width)
        may_join = narrow.owner == wide.owner or (
            narrow.width < width and counts[narrow.owner] > 1
        )
        if excess > 0 and may_join:
            counts[narrow.owner] -= 1
            excess -= 1
            result[-1] = _join_pair(
                result[-1], key_range, wide.owner, epoch, moved_recently
            )
        else:
            result.append(key_range)
    return result


def _get_width(key_range: ranges.Range) -> int:
    return key_range.width


def _join_pair(left, right, owner, epoch, moved_recently) -> ranges.Range:
    """Return one range of the owner, which waits for all other holders."""
    holders = []
    for key_range in (left, right):
        holders.append(key_range.owner)
        if moved_recently(key_range):
            holders += key_range.previous
    return ranges.Range(
        left.first,
        right.last,
        epoch,
        owner,
        tuple(life for life in dict.fromkeys(holders) if life != owner),
    )


def _join_run(run, epoch) -> ranges.Range:
    if len(run) == 1:
        return run[0]
    return ranges.Range(run[0].first, run[-1].last, epoch, run[0].owner)


def join_ranges(
    owned: tuple[ranges.Range, ...],
) -> tuple[ranges.Range, ...]:
    """Return the ranges, with adjacent ranges joined if they are equal."""
    joined = []
    for key_range in owned:
        last = joined[-1] if joined else None
        if (
            last is not None
            and (last.owner, last.epoch, last.previous)
            == (key_range.owner, key_range.epoch, key_range.previous)
            and last.last + 1 == key_range.first
        ):
            joined[-1] = dataclasses.replace(last, last=key_range.last)
        else:
            joined.append(key_range)
    return tuple(joined)


def choose_allocators(
    candidates: list[state.Member],
    present: state.Allocators | None,
    count: int,
    epoch: int,
    moved_recently,
) -> state.Allocators | None:
    """Return the allocator of each place, with as few changes as possible.

    A later process of the same node replaces an earlier one. Other places go
    to the candidates with the fewest places, then in the availability zones
    with the fewest, so that allocators remain after the loss of a zone.
    Returns None if there is no candidate.
    """
    if not candidates:
        return None
    eligible = {eligible_member.incarnation for eligible_member in candidates}
    by_name = {
        eligible_member.name: eligible_member for eligible_member in candidates
    }
    zones = {
        eligible_member.incarnation: eligible_member.zone
        for eligible_member in candidates
    }
    place_counts = collections.Counter()
    places = list(present.places) if present else [None] * count
    for allocator_place in places:
        if allocator_place is not None and allocator_place.member in eligible:
            place_counts.update(
                (allocator_place.member, zones[allocator_place.member])
            )
    for number, allocator_place in enumerate(places):
        if allocator_place is not None and allocator_place.member in eligible:
            continue
        successor = (
            by_name.get(allocator_place.name) if allocator_place else None
        )
        if successor is None:
            successor = min(
                candidates,
                key=lambda candidate: (
                    place_counts[candidate.incarnation],
                    place_counts[candidate.zone],
                    candidate.name,
                ),
            )
        place_counts.update((successor.incarnation, successor.zone))
        previous = ()
        if allocator_place is not None:
            earlier = (
                allocator_place.previous
                if moved_recently(allocator_place)
                else ()
            )
            previous = tuple(dict.fromkeys((allocator_place.member, *earlier)))
        places[number] = state.AllocatorPlace(
            successor.incarnation, successor.name, epoch, previous
        )
    return state.Allocators(tuple(places))
