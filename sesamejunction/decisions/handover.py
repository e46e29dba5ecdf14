"""Decides from when the idempotency records of a new owner are complete.

Times are wall-clock seconds.
"""

import dataclasses
import itertools
import math

from sesamejunction.decisions import idempotency
from sesamejunction.decisions import ownership
from sesamejunction.model import owning
from sesamejunction.model import requests
from sesamejunction.model import state

FIRST_TOKEN = requests.Token(1, 0)
# A call between nodes takes 8 MiB at most.
MAX_BATCH_BYTES = 2 * 1024 * 1024


def set_known_since(
    own: int, before: ownership.Slot, slot: ownership.Slot, now: float
) -> ownership.Slot:
    """Return the slot with ``known_since`` set if ownership begins.

    ``before`` is the slot before its last change.
    """
    if slot.token is None or before.token is not None:
        return slot
    known_since = slot.known_since
    if not continues_base(slot):
        known_since = find_known_since(own, slot, now)
    known_since = max(known_since, slot.known_floor)
    return dataclasses.replace(slot, known_since=known_since)


def inherit_records(
    slot: ownership.Slot, found: ownership.Slot | None, now: float
) -> ownership.Slot:
    """Return a hot slot that this node serves on from the fixed slot.

    The node still has the records of the fixed slot ``found``, so its
    knowledge of the key goes on. They stay there when the hot slot moves.
    """
    if (
        found is None
        or found.token is None
        or found.arranged.previous is not None
        or found.arranged.order != slot.arranged.previous
        or slot.token is not None
    ):
        return slot
    return dataclasses.replace(
        slot, known_since=found.known_since, given_since=now
    )


def find_given_since(slot: ownership.Slot) -> float:
    """Return from when the records given with a release are complete."""
    return max(slot.known_since, slot.given_since)


def find_known_since(own: int, slot: ownership.Slot, now: float) -> float:
    """Return from when the records of the owner ``own`` are complete.

    The last owner before is among the members whose evidence was relied on.
    If all of them released, it gave its records, and the largest time holds
    for all. An ended member's records are lost. A node that served before
    keeps its records, and nothing else of that time.
    """
    if is_first(slot):
        return -math.inf
    relied = list_relied(own, slot)
    if not all(slot.releases.get(one, 0) >= epoch for one, epoch in relied):
        return now
    given = [slot.known[one] for one, _ in relied if one in slot.known]
    if given and slot.known_since is not None:
        given.append(slot.known_since)
    return max(given, default=now)


def reset_known_since(slot: ownership.Slot, now: float) -> ownership.Slot:
    """Return a fixed slot after one of its keys has left its hot slot.

    Requests of that key have their records with the hot slot, so those of
    the fixed slot are complete only from now on.
    """
    known_since = slot.known_since
    if known_since is not None:
        known_since = max(known_since, now)
    return dataclasses.replace(slot, known_since=known_since, known_floor=now)


def list_returned_slots(
    old: state.SlotTable | None, table: state.SlotTable, fixed: int
) -> list[int]:
    """Return the fixed slots of keys that have left their hot slots."""
    before = old.hot_keys if old else {}
    return [one % fixed for one in before if one not in table.hot_keys]


def continues_base(slot: ownership.Slot) -> bool:
    """Return whether the slot's key is still served from its fixed slot on.

    Once released, the key may have been served elsewhere.
    """
    return (
        slot.given_since > -math.inf
        and slot.known_since is not None
        and slot.released < slot.arranged.previous_epoch
        and slot.token.epoch == slot.arranged.previous_epoch
    )


def is_first(slot: ownership.Slot) -> bool:
    """Return whether no other node can ever have served the slot.

    A hot slot is not new, since its key came from a fixed slot.
    """
    return (
        slot.arranged.previous is None
        and slot.token == FIRST_TOKEN
        and slot.base == slot.number
    )


def list_relied(own: int, slot: ownership.Slot) -> list[tuple[int, int]]:
    """Return (member, epoch) pairs whose evidence let ``own`` serve."""
    arranged, token = slot.arranged, slot.token
    previous = [
        (one, arranged.previous_epoch)
        for one in arranged.previous or ()
        if one != own
    ]
    if token.epoch != arranged.epoch:
        return previous[: token.place]
    current = [(one, token.epoch) for one in arranged.order[: token.place]]
    return current + previous


def limit_release_batch(releases) -> tuple[owning.SlotRelease, ...]:
    """Return as many of the releases as one call may carry, at least one."""
    releases = tuple(releases)
    sizes = itertools.accumulate(
        sum(map(idempotency.measure_entry, one.entries)) for one in releases
    )
    count = sum(size <= MAX_BATCH_BYTES for size in sizes)
    return releases[: max(count, 1)]
