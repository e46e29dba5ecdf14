"""Plans which target owns which keys of a service divided by ranges."""

import dataclasses

from sesamejunction.model import ranges
from sesamejunction.model import state

# A plan with more ranges is joined where neighbours have one owner; a
# target's answer to a heartbeat holds about 80 rows.
MAX_RANGES_PER_OWNER = 24
# Former owners are named again if their keys move on within this time, since
# they may not have released them yet.
UNSETTLED_S = 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class Segment:
    """Neighbouring keys and the requests a second for them."""

    first: int
    last: int
    rate: float


@dataclasses.dataclass(frozen=True, slots=True)
class Owner:
    """A life that may own keys.

    ``capacity`` is in requests a second; ``segments`` cover its keys.
    """

    life: ranges.Life
    capacity: float
    segments: tuple[Segment, ...] = ()


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


def plan_first(
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


def give(
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
            result.append(give(one, heir, epoch, is_fresh(one)))
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
        result.append(give(part, life, epoch, fresh))
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
                give(moved, life, epoch, is_fresh(one)),
            ]
            needed -= cut
    return tuple(result)


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
) -> tuple[int, ...]:
    """Return the members that hand out shares, keeping present ones.

    A later process of the same node takes the place of an earlier one.
    """
    able = [one.incarnation for one in candidates]
    kept = [one for one in (present.members if present else ()) if one in able]
    for one in able:
        if len(kept) >= count:
            break
        if one not in kept:
            kept.append(one)
    return tuple(kept[:count])
