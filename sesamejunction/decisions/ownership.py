"""Decides which slots a node serves, releases and claims.

Times are boot-clock seconds of the node. A term is one order of a slot with
its epoch; a slot in transition has an old and a new term.
"""

import collections.abc
import dataclasses
import math

from sesamejunction.decisions import slotorders
from sesamejunction.model import owning
from sesamejunction.model import requests
from sesamejunction.model import state
from sesamejunction.model import timing
from sesamejunction.model import valueclass

# A busy slot that a claimant has asked for accepts no new requests for this
# long. The claimant asks several times in this period. If it stops asking, the
# slot must accept requests again.
DRAIN_S = 1.0


@valueclass.define
class NodeView:
    """What a node knows that concerns all slots.

    ``ended`` maps an ended incarnation to the time when this node learned
    of its end; ``unfenced`` holds the services that have a target without
    grant checks.
    """

    incarnation: int
    ended: collections.abc.Mapping[int, float] = dataclasses.field(
        default_factory=dict
    )
    unfenced: frozenset[str] = frozenset()
    stopping: bool = False


@valueclass.define
class Slot:
    """State of one slot at a node.

    ``log_order`` is the slot's order in the log. ``released`` is the newest
    epoch that this node has released and no longer serves; ``releases``
    maps other members to theirs. ``token`` is set while the node is the
    owner, and ``since`` is when its ownership began. ``inherited`` holds
    requests of a hot key that still run in its fixed slot ``base``, which
    stays set after the key has returned there.

    ``known_since`` is the wall-clock time from which this node's idempotency
    records are complete, None if it has never served the slot; ``known``
    maps other members to the times sent with their newest releases.
    ``known_since`` is never before ``known_floor``. Records under this
    slot's own number date from ``given_since`` at the earliest; older ones
    of a hot key are under its base.
    """

    service: str
    number: int
    log_order: state.SlotOrder
    released: int = 0
    releases: collections.abc.Mapping[int, int] = dataclasses.field(
        default_factory=dict
    )
    token: requests.Token | None = None
    since: float = -math.inf
    running: frozenset[str] = frozenset()
    inherited: frozenset[str] = frozenset()
    draining_until: float = -math.inf
    base: int = -1
    known_since: float | None = None
    known_floor: float = -math.inf
    given_since: float = -math.inf
    known: collections.abc.Mapping[int, float] = dataclasses.field(
        default_factory=dict
    )


@valueclass.define
class Owns:
    """The node owns the slot with this token."""

    token: requests.Token


@valueclass.define
class OwnsFrom:
    """The node will own the slot from ``ready_at`` on."""

    ready_at: float


@valueclass.define
class NeedsReleases:
    """The node claims the slot and needs releases from other members.

    ``ask`` holds the members to ask for a release of ``epoch`` now;
    ``token`` is set while the node itself still owns the slot in the old
    term.
    """

    epoch: int
    ask: tuple[int, ...]
    token: requests.Token | None = None


@valueclass.define
class NotOwner:
    """Another member owns or claims the slot, or no member can."""

    owner: int | None


def find_role(view: NodeView, slot: Slot, now: float):
    """Return Owns, OwnsFrom, NeedsReleases or NotOwner.

    The first live member of the new term becomes the owner once every
    member of the old order has released the slot or ended. Until then the
    old term applies.
    """
    slot_order = slot.log_order
    role = _find_term_role(view, slot, slot_order.epoch, slot_order.order, now)
    if slot_order.previous is None:
        return role
    is_claimant = isinstance(role, Owns | OwnsFrom)
    missing = list_unreleased(view, slot) if is_claimant else []
    if is_claimant and not missing:
        return _wait_for_former(view, slot, role, now)
    old = _find_term_role(
        view, slot, slot_order.previous_epoch, slot_order.previous, now
    )
    if is_claimant:
        token = old.token if isinstance(old, Owns) else None
        asked = choose_members_to_ask(missing)
        return NeedsReleases(slot_order.previous_epoch, asked, token)
    return old if isinstance(old, Owns | OwnsFrom) else role


def list_unreleased(view: NodeView, slot: Slot) -> list[int]:
    """Return the members of the old order that may still serve the slot."""
    slot_order = slot.log_order
    return [
        other
        for other in slot_order.previous
        if other != view.incarnation
        and _find_ready(view, slot, other, slot_order.previous_epoch) is None
    ]


def choose_members_to_ask(missing) -> tuple[int, ...]:
    """Return the members to ask now: the owner only when no other is left."""
    return tuple(missing[1:] or missing)


def _wait_for_former(view, slot, role, now):
    slot_order = slot.log_order
    waits = [role.ready_at] if isinstance(role, OwnsFrom) else []
    for other in slot_order.previous:
        service_end = _find_ready(view, slot, other, slot_order.previous_epoch)
        if other != view.incarnation and service_end is not None:
            waits.append(service_end)
    ready_at = max(waits, default=-math.inf)
    return role if now >= ready_at else OwnsFrom(ready_at)


def _find_term_role(view, slot, epoch, order, now):
    own = view.incarnation
    ready_at = -math.inf
    for place, candidate in enumerate(order):
        if candidate == own:
            if slot.released >= epoch:
                continue
            if now < ready_at:
                return OwnsFrom(ready_at)
            return Owns(requests.Token(epoch, place))
        service_end = _find_ready(view, slot, candidate, epoch)
        if service_end is None:
            return NotOwner(candidate)
        ready_at = max(ready_at, service_end)
    return NotOwner(None)


def _find_ready(view, slot, member, epoch):
    """Return when the member certainly stopped serving, None if unknown.

    It is -inf for a member that has released the epoch.
    """
    if slot.releases.get(member, 0) >= epoch:
        return -math.inf
    learned_at = view.ended.get(member)
    if learned_at is None:
        return None
    if slot.service in view.unfenced:
        return learned_at + timing.UNFENCED_HOLD_S
    return learned_at


def update_ownership(view: NodeView, slot: Slot, now: float):
    """Return the slot with its token updated, and the node's role.

    If ownership continues from one term to the next, ``since`` is kept.
    """
    role = find_role(view, slot, now)
    match role:
        case Owns(token=token) | NeedsReleases(token=token):
            pass
        case _:
            token = None
    if token == slot.token:
        return slot, role
    since = slot.since
    if token is None:
        since = -math.inf
    elif since == -math.inf:
        since = now
    return dataclasses.replace(slot, token=token, since=since), role


def arrange_slot(slot: Slot | None, service, number, slot_order) -> Slot:
    """Return the slot with its current order from the log."""
    if slot is None:
        return Slot(service, number, slot_order, base=number)
    return dataclasses.replace(slot, log_order=slot_order)


def inherit_slot(slot: Slot, base: int, fixed_slot: Slot | None) -> Slot:
    """Return a hot slot that takes over the key's state from the fixed slot.

    ``fixed_slot`` is the fixed slot, None if the node is not a member of it. A
    node that has released the fixed slot must not serve the key in the old
    term, and requests running there may be for this key. Releases of the
    fixed slot by other members are no evidence here, since their senders
    may not have read the hot slot's record.
    """
    slot = dataclasses.replace(slot, base=base)
    if fixed_slot is None or slot.log_order.previous is None:
        return slot
    if slot.token and slot.token.epoch == slot.log_order.previous_epoch:
        # The hot slot itself moves; its key left the fixed slot earlier.
        return slot
    slot_order = fixed_slot.log_order
    moving = slot_order.previous is not None
    last = slot_order.previous_epoch if moving else slot_order.epoch
    released = slot.released
    if fixed_slot.released >= last:
        released = max(released, slot.log_order.previous_epoch)
    # No other node can have served the key since this node began to serve the
    # fixed slot, so its records of the key's requests are still complete.
    same = not moving and slot_order.order == slot.log_order.previous
    since = fixed_slot.since if fixed_slot.token and same else slot.since
    return dataclasses.replace(
        slot, released=released, since=since, inherited=fixed_slot.running
    )


def find_base(table: state.SlotTable, fixed: int, number: int) -> int | None:
    """Return the fixed slot of a hot slot's key, None if it has no key."""
    hashes = (
        candidate_hash
        for candidate_hash, hot_slot in table.hot_keys.items()
        if hot_slot == number
    )
    hashed_key = next(hashes, None)
    return None if hashed_key is None else hashed_key % fixed


def has_moved(current: state.State, question: owning.EnterSlot) -> bool:
    """Return whether the key is in another slot in the current state."""
    table = current.tables.get(question.service)
    if question.key_hash is None or table is None:
        return False
    count = slotorders.count_fixed_slots(current, question.service)
    fixed = question.key_hash % count
    return table.hot_keys.get(question.key_hash, fixed) != question.slot


def enter_slot(slot: Slot, request_id: str, now: float) -> Slot | None:
    """Return the slot with one more request, None if it accepts none."""
    if slot.token is None or now < slot.draining_until:
        return None
    running = slot.running | {request_id}
    return dataclasses.replace(slot, running=running)


def leave_slot(slot: Slot, request_id: str) -> Slot:
    """Return the slot after a request has ended."""
    return dataclasses.replace(
        slot,
        running=slot.running - {request_id},
        inherited=slot.inherited - {request_id},
    )


def note_release(slot: Slot, release: owning.SlotRelease) -> Slot:
    """Return the slot after another member has released it."""
    if slot.releases.get(release.member, 0) >= release.epoch:
        return slot
    releases = {**slot.releases, release.member: release.epoch}
    known = {**slot.known, release.member: release.known_since}
    if release.known_since is None:
        del known[release.member]
    return dataclasses.replace(slot, releases=releases, known=known)


def give_release(slot: Slot, epoch: int, now: float) -> tuple[Slot, bool]:
    """Return the slot and whether it is released up to the epoch.

    A member releases only after it has read the record of a newer epoch. A
    slot with running requests is not released yet, and accepts no new ones
    in the meantime.
    """
    if slot.released >= epoch:
        return slot, True
    if slot.log_order.epoch <= epoch:
        return slot, False
    if _has_requests_up_to(slot, epoch):
        until = now + DRAIN_S
        return dataclasses.replace(slot, draining_until=until), False
    return _release(slot, epoch), True


def release_group(view: NodeView, group: list[Slot]) -> list[Slot]:
    """Return a fixed slot and its hot slots, released for a planned stop.

    They are released together once none of them has running requests. If
    they were released one by one, a hot key that returns to its fixed slot
    could have two owners until both have read the record. They are not
    released while a slot has no other live member to take over, since the
    planner may still assign one.
    """
    held = [
        group_slot
        for group_slot in group
        if group_slot.released < group_slot.log_order.epoch
    ]
    if not held or not all(
        list_successors(view, group_slot) for group_slot in held
    ):
        return group
    if any(group_slot.running or group_slot.inherited for group_slot in group):
        return [
            dataclasses.replace(group_slot, draining_until=math.inf)
            for group_slot in group
        ]
    return [
        _release(group_slot, group_slot.log_order.epoch)
        for group_slot in group
    ]


def list_successors(view: NodeView, slot: Slot) -> list[int]:
    """Return the other live members of the newest order that may take over."""
    slot_order = slot.log_order
    return [
        other
        for other in slot_order.order
        if other != view.incarnation
        and other not in view.ended
        and slot.releases.get(other, 0) < slot_order.epoch
    ]


def is_member(view: NodeView, slot_order: state.SlotOrder) -> bool:
    """Return whether the node is a member of the slot's new or old order."""
    return view.incarnation in slot_order.order + (slot_order.previous or ())


def is_finished(view: NodeView, slot: Slot) -> bool:
    """Return whether this node need not track the slot any more."""
    busy = slot.running or slot.inherited
    return not busy and not is_member(view, slot.log_order)


def needs_settling(slot: Slot) -> bool:
    """Return whether this node owns the slot in a term not yet settled."""
    return (
        slot.log_order.previous is not None
        and slot.token is not None
        and slot.token.epoch == slot.log_order.epoch
    )


def find_owner(view: NodeView, slot: Slot, now: float) -> int | None:
    """Return the member that owns the slot as far as this node knows."""
    match find_role(view, slot, now):
        case Owns() | OwnsFrom():
            return view.incarnation
        case NeedsReleases(token=token) if token is not None:
            return view.incarnation
        case NeedsReleases(epoch=epoch):
            order = slot.log_order.previous
            return next(
                (
                    other
                    for other in order
                    if other != view.incarnation
                    and _find_ready(view, slot, other, epoch) is None
                ),
                None,
            )
        case NotOwner(owner=owner):
            return owner


def find_wait(view: NodeView, slot: Slot, now: float) -> float | None:
    """Return the seconds until this node owns the slot.

    Returns None unless its role is OwnsFrom.
    """
    match find_role(view, slot, now):
        case OwnsFrom(ready_at=ready_at):
            return max(0.0, ready_at - now)
        case _:
            return None


def _has_requests_up_to(slot, epoch):
    if slot.inherited:
        return True
    token = slot.token
    return bool(slot.running) and (token is None or token.epoch <= epoch)


def _release(slot, epoch):
    token = slot.token
    if token is not None and token.epoch <= epoch:
        token = None
    since = slot.since if token else -math.inf
    return dataclasses.replace(
        slot,
        released=epoch,
        token=token,
        since=since,
        draining_until=-math.inf,
    )
