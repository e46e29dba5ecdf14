"""Finds from which time a new owner's idempotency records are complete.

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

# Token of a slot's first owner. Epochs start higher only after a loss of all
# state, when others may have served the slot.
FIRST_TOKEN = requests.Token(1, 0)
# Releases in one call; a call between nodes is limited to 8 MiB.
MAX_BATCH_BYTES = 2 * 1024 * 1024


def set_known_since(
    own: int, before: ownership.Slot, slot: ownership.Slot, now: float
) -> ownership.Slot:
    """Return the slot, with ``known_since`` set if ownership has begun.

    ``before`` is the slot before its last change, ``own`` is this
    node's incarnation.
    """
    if slot.token is None or before.token is not None:
        return slot
    known_since = slot.known_since
    if not continues_fixed_slot(slot):
        known_since = find_known_since(own, slot, now)
    known_since = max(known_since, slot.known_floor)
    return dataclasses.replace(slot, known_since=known_since)


def inherit_records(
    slot: ownership.Slot, fixed_slot: ownership.Slot | None, now: float
) -> ownership.Slot:
    """Return the hot slot, with complete records if this node served its key.

    A node that served the key in ``fixed_slot`` still has its records
    there, so they remain complete. They stay with the fixed slot when the
    hot slot moves. If the node did not serve the key, the hot slot is
    returned unchanged.
    """
    if (
        fixed_slot is None
        or fixed_slot.token is None
        or fixed_slot.log_order.previous is not None
        or fixed_slot.log_order.order != slot.log_order.previous
        or slot.token is not None
    ):
        return slot
    return dataclasses.replace(
        slot, known_since=fixed_slot.known_since, given_since=now
    )


def find_given_since(slot: ownership.Slot) -> float:
    """Return the time from which records sent with a release are complete."""
    return max(slot.known_since, slot.given_since)


def find_known_since(own: int, slot: ownership.Slot, now: float) -> float:
    """Return the time from which the records of the owner are complete.

    ``own`` is the owner's incarnation. Returns -inf for the first owner.

    The previous owner is among the members whose releases ``own`` relied
    on. If all of them released, it sent its records, and the latest of the
    reported times applies. The records of an ended member are lost. A node
    that owned the slot before keeps its own records, but has no others of
    the time in between.
    """
    if is_first_owner(slot):
        return -math.inf
    evidence = list_evidence(own, slot)
    if not all(
        slot.releases.get(member, 0) >= epoch for member, epoch in evidence
    ):
        return now
    known_times = [
        slot.known[member] for member, _ in evidence if member in slot.known
    ]
    if known_times and slot.known_since is not None:
        known_times.append(slot.known_since)
    return max(known_times, default=now)


def reset_known_since(slot: ownership.Slot, now: float) -> ownership.Slot:
    """Return a fixed slot after a key has returned to it from its hot slot.

    The records of that key's requests are with the hot slot, so those of
    the fixed slot are complete only from now on.
    """
    known_since = slot.known_since
    if known_since is not None:
        known_since = max(known_since, now)
    return dataclasses.replace(slot, known_since=known_since, known_floor=now)


def list_returned_slots(
    old: state.SlotTable | None, table: state.SlotTable, fixed: int
) -> list[int]:
    """Return the fixed slots to which keys have returned from hot slots."""
    before = old.hot_keys if old else {}
    return [
        key_hash % fixed
        for key_hash in before
        if key_hash not in table.hot_keys
    ]


def continues_fixed_slot(slot: ownership.Slot) -> bool:
    """Return whether this node has served the hot key without interruption.

    It then served the key in the fixed slot already. After a release, other
    nodes may have served the key.
    """
    return (
        slot.given_since > -math.inf
        and slot.known_since is not None
        and slot.released < slot.log_order.previous_epoch
        and slot.token.epoch == slot.log_order.previous_epoch
    )


def is_first_owner(slot: ownership.Slot) -> bool:
    """Return whether no other node can have served the slot before.

    This is never true of a hot slot, since its key came from a fixed slot.
    """
    return (
        slot.log_order.previous is None
        and slot.token == FIRST_TOKEN
        and slot.base == slot.number
    )


def list_evidence(own: int, slot: ownership.Slot) -> list[tuple[int, int]]:
    """Return each member that had to release the slot or end, and the epoch.

    ``own`` could only become the owner once all of them had released the
    slot up to that epoch, or ended.
    """
    slot_order, token = slot.log_order, slot.token
    previous = [
        (member, slot_order.previous_epoch)
        for member in slot_order.previous or ()
        if member != own
    ]
    if token.epoch != slot_order.epoch:
        return previous[: token.place]
    current = [
        (member, token.epoch) for member in slot_order.order[: token.place]
    ]
    return current + previous


def limit_release_batch(releases) -> tuple[owning.SlotRelease, ...]:
    """Return the first releases that fit into one call, at least one."""
    releases = tuple(releases)
    sizes = itertools.accumulate(
        sum(map(idempotency.measure_entry, release.entries))
        for release in releases
    )
    count = sum(size <= MAX_BATCH_BYTES for size in sizes)
    return releases[: max(count, 1)]
