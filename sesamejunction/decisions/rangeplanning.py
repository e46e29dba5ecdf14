"""Plans which target owns which keys of a service divided by ranges."""

import collections
import dataclasses

from sesamejunction.model import ranges
from sesamejunction.model import state

# A plan with more ranges for each owner is compacted; the answer to a
# heartbeat holds about 80 rows.
MAX_RANGES_PER_OWNER = 24
# Former owners are named again if their keys move on within this time, since
# they may not have released them yet.
UNSETTLED_S = 8.0


# Shares of the targets' load are made even when the busiest has this much more
# of its capacity in use than the least busy one, and more than BUSY of it.
IMBALANCE = 0.12
BUSY = 0.35
# Below this rate, in requests a second, the measurement is too coarse.
LEAST_RATE = 4.0
# Moves in one plan; each one takes the moved keys away for a moment.
MOST_MOVES = 8


@dataclasses.dataclass(slots=True)
class OwnerLoad:
    """A life with its load in requests a second.

    ``segments`` are first key, last key and rate of neighbouring keys.
    """

    life: ranges.Life
    capacity: float
    segments: list[tuple[int, int, float]]

    @property
    def rate(self) -> float:
        """Return the requests a second for all keys."""
        return sum(rate for _, _, rate in self.segments)

    @property
    def utilization(self) -> float:
        """Return the part of the capacity that is in use."""
        return self.rate / self.capacity


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """Keys that go to another life."""

    first: int
    last: int
    life: ranges.Life


def list_owners(
    current: state.State, service: str, silent
) -> list[state.Member]:
    """Return the members whose targets may own keys of the service."""
    return sorted(
        (
            one
            for one in current.members.values()
            if one.service == service
            and one.life is not None
            and not one.leaving
            and one.incarnation not in silent
            and current.zones.get(one.zone) is not state.Standing.OUT
        ),
        key=lambda one: one.name,
    )


def plan_initial(
    lives: list[ranges.Life], epoch: int
) -> tuple[ranges.Range, ...]:
    """Return equal ranges for all lives."""
    count = len(lives)
    bounds = [
        place * (ranges.LAST_KEY + 1) // count for place in range(count + 1)
    ]
    return tuple(
        ranges.Range(bounds[place], bounds[place + 1] - 1, epoch, life)
        for place, life in enumerate(lives)
    )


def reassign_range(
    one: ranges.Range, life: ranges.Life, epoch: int, fresh: bool
) -> ranges.Range:
    """Return the range after it moved to another life.

    ``fresh`` tells that its present owner got it a short time ago, so that
    owners before it may still hold keys.
    """
    earlier = one.previous if fresh else ()
    previous = tuple(dict.fromkeys((one.owner, *earlier)))
    return ranges.Range(
        one.first,
        one.last,
        epoch,
        life,
        tuple(former for former in previous if former != life)
        if life == one.owner
        else previous,
    )


def replace_owners(
    owned: tuple[ranges.Range, ...],
    lives: list[ranges.Life],
    epoch: int,
    is_fresh,
) -> tuple[ranges.Range, ...]:
    """Return the ranges without owners that are not in ``lives``.

    Keys of an ended life go to the life after it at the same node; others
    to the lives that own the fewest keys. ``is_fresh`` tells whether a range
    moved a short time ago.
    """
    able = set(lives)
    successors = {one.member: one for one in lives}
    widths = dict.fromkeys(lives, 0)
    for one in owned:
        if one.owner in widths:
            widths[one.owner] += one.width
    result = []
    for one in owned:
        if one.owner in able:
            result.append(one)
            continue
        heir = successors.get(one.owner.member)
        if heir is not None:
            widths[heir] += one.width
            result.append(reassign_range(one, heir, epoch, is_fresh(one)))
            continue
        result += split_evenly(one, widths, epoch, is_fresh(one))
    return tuple(result)


def split_evenly(one, widths, epoch, fresh) -> list[ranges.Range]:
    """Return the range in parts for the lives that own the fewest keys."""
    target = (sum(widths.values()) + one.width) / len(widths)
    result, at = [], one.first
    for life in sorted(widths, key=lambda life: (widths[life], life)):
        if at > one.last:
            break
        room = max(1, round(target - widths[life]))
        last = min(one.last, at + room - 1)
        part = dataclasses.replace(one, first=at, last=last)
        result.append(reassign_range(part, life, epoch, fresh))
        widths[life] += last - at + 1
        at = last + 1
    if at <= one.last:
        last = result.pop()
        widths[last.owner] += one.last - at + 1
        result.append(dataclasses.replace(last, last=one.last))
    return result


def add_owners(
    owned: tuple[ranges.Range, ...],
    lives: list[ranges.Life],
    epoch: int,
    is_fresh,
) -> tuple[ranges.Range, ...]:
    """Return the ranges after lives without any have got their part.

    Each takes an equal part of the keys, cut from the end of the widest
    ranges, so that nothing else moves.
    """
    result = list(owned)
    have = {one.owner for one in owned}
    part = (ranges.LAST_KEY + 1) // len(lives)
    for life in lives:
        if life in have:
            continue
        needed = part
        while needed > 0:
            place = max(
                (
                    place
                    for place, one in enumerate(result)
                    if one.owner != life
                ),
                key=lambda place: result[place].width,
            )
            one = result[place]
            cut = min(needed, max(1, one.width // 2))
            kept = dataclasses.replace(one, last=one.last - cut)
            moved = dataclasses.replace(one, first=one.last - cut + 1)
            result[place : place + 1] = [
                kept,
                reassign_range(moved, life, epoch, is_fresh(one)),
            ]
            needed -= cut
    return tuple(result)


def choose_moves(owners: list[OwnerLoad]) -> list[Move]:
    """Return the moves that make the use of the targets' capacity even.

    Busy narrow segments go first, so that few keys move.
    """
    moves = []
    if len(owners) < 2 or sum(one.rate for one in owners) < LEAST_RATE:
        return moves
    while len(moves) < MOST_MOVES:
        busiest = max(owners, key=lambda one: one.utilization)
        idlest = min(owners, key=lambda one: one.utilization)
        if (
            busiest.utilization < BUSY
            or busiest.utilization - idlest.utilization < IMBALANCE
        ):
            break
        # This much makes the use of the two equal.
        surplus = (
            busiest.rate * idlest.capacity - idlest.rate * busiest.capacity
        ) / (idlest.capacity + busiest.capacity)
        fitting = [one for one in busiest.segments if 0 < one[2] <= surplus]
        if not fitting:
            break
        segment = max(fitting, key=lambda one: one[2] / _width(one))
        busiest.segments.remove(segment)
        idlest.segments.append(segment)
        moves.append(Move(segment[0], segment[1], idlest.life))
    return moves


def _width(segment) -> int:
    return segment[1] - segment[0] + 1


def apply_moves(
    owned: tuple[ranges.Range, ...], moves: list[Move], epoch: int, is_fresh
) -> tuple[ranges.Range, ...]:
    """Return the ranges after the moves."""
    result = list(owned)
    for move in moves:
        after = []
        for one in result:
            first, last = max(one.first, move.first), min(one.last, move.last)
            if first > last or one.owner == move.life:
                after.append(one)
                continue
            if one.first < first:
                after.append(dataclasses.replace(one, last=first - 1))
            moved = dataclasses.replace(one, first=first, last=last)
            after.append(
                reassign_range(moved, move.life, epoch, is_fresh(one))
            )
            if last < one.last:
                after.append(dataclasses.replace(one, first=last + 1))
        result = after
    return tuple(result)


def drop_settled_owners(owned, is_fresh) -> tuple:
    """Return ranges or places without former owners that are done with.

    Otherwise a later planner, which does not know how old a move is, would
    have the next owner wait for them again.
    """
    return tuple(
        dataclasses.replace(one, previous=())
        if one.previous and not is_fresh(one)
        else one
        for one in owned
    )


def compact_ranges(
    owned: tuple[ranges.Range, ...], epoch: int, is_fresh
) -> tuple[ranges.Range, ...]:
    """Return the ranges with settled neighbours of one owner joined.

    The joined range has a higher epoch, so that it stays one grant. Ranges
    that move in the same plan are not settled.
    """
    result, run = [], []
    for one in owned:
        settled = one.epoch != epoch and not is_fresh(one)
        if run and not (settled and run[0].owner == one.owner):
            result.append(_join_run(run, epoch))
            run = []
        if settled:
            run.append(one)
        else:
            result.append(one)
    if run:
        result.append(_join_run(run, epoch))
    return tuple(result)


def _join_run(run, epoch) -> ranges.Range:
    if len(run) == 1:
        return run[0]
    return ranges.Range(run[0].first, run[-1].last, epoch, run[0].owner)


def join_ranges(
    owned: tuple[ranges.Range, ...],
) -> tuple[ranges.Range, ...]:
    """Return the ranges with equal neighbours joined."""
    joined = []
    for one in owned:
        last = joined[-1] if joined else None
        if (
            last is not None
            and (last.owner, last.epoch, last.previous)
            == (one.owner, one.epoch, one.previous)
            and last.last + 1 == one.first
        ):
            joined[-1] = dataclasses.replace(last, last=one.last)
        else:
            joined.append(one)
    return tuple(joined)


def choose_allocators(
    candidates: list[state.Member],
    present: state.Allocators | None,
    count: int,
    epoch: int,
    is_fresh,
) -> state.Allocators | None:
    """Return who hands out shares, keeping what can stay.

    A later process of the same node takes the place of an earlier one; other
    places go to the candidates that have the fewest, in the availability
    zones that have the fewest, so that the loss of a zone leaves allocators.
    Returns None when there is no candidate.
    """
    if not candidates:
        return None
    able = {one.incarnation for one in candidates}
    by_name = {one.name: one for one in candidates}
    zones = {one.incarnation: one.zone for one in candidates}
    had = collections.Counter()
    places = list(present.places) if present else [None] * count
    for one in places:
        if one is not None and one.member in able:
            had.update((one.member, zones[one.member]))
    for number, one in enumerate(places):
        if one is not None and one.member in able:
            continue
        heir = by_name.get(one.name) if one else None
        if heir is None:
            heir = min(
                candidates,
                key=lambda two: (
                    had[two.incarnation],
                    had[two.zone],
                    two.name,
                ),
            )
        had.update((heir.incarnation, heir.zone))
        previous = ()
        if one is not None:
            earlier = one.previous if is_fresh(one) else ()
            previous = tuple(dict.fromkeys((one.member, *earlier)))
        places[number] = state.AllocatorPlace(
            heir.incarnation, heir.name, epoch, previous
        )
    return state.Allocators(tuple(places))
