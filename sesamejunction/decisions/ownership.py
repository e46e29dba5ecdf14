"""Decides which slots a node serves, releases and claims.

Times are boot-clock seconds of the node. A term is one order of a slot at
one epoch; a slot in transition has an old and a new term.
"""

import collections.abc
import dataclasses
import math

from sesamejunction.decisions import slotorders
from sesamejunction.model import owning
from sesamejunction.model import requests
from sesamejunction.model import state
from sesamejunction.model import timing

# A claimant asks again several times in this period; one that has gone away
# must not keep the slot closed to new requests.
DRAIN_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class NodeView:
    """What a node knows beyond one slot.

    ``ended`` maps an ended incarnation to the time when this node learned
    of it; ``unfenced`` names the services that have a target without grant
    checks.
    """

    incarnation: int
    ended: collections.abc.Mapping[int, float] = dataclasses.field(
        default_factory=dict
    )
    unfenced: frozenset[str] = frozenset()
    stopping: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Slot:
    """One slot as a node sees it.

    ``released`` is the newest epoch that this node has promised not to
    serve any more; ``releases`` holds those heard from others. ``token`` is
    set while the node serves, ``since`` is when its ownership began.
    ``inherited`` are requests of a hot key that still run in its fixed slot
    ``base``, which is kept after the key has returned there. ``known_since``
    is the wall-clock time from which this node's idempotency records are
    complete, None before it has served; ``known`` holds those that others
    gave with their newest release. ``known_since`` is ``known_floor`` or
    later. Records kept under this slot's own number go back to
    ``given_since`` at most; those of a hot key before are with its base.
    """

    service: str
    number: int
    arranged: state.SlotOrder
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


@dataclasses.dataclass(frozen=True, slots=True)
class Owns:
    """The node is the owner of the slot with this token."""

    token: requests.Token


@dataclasses.dataclass(frozen=True, slots=True)
class OwnsFrom:
    """The node is the owner from ``ready_at`` on."""

    ready_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class NeedsReleases:
    """The node is the claimant and needs evidence from these members.

    ``ask`` are those to be asked for a release of ``epoch`` now; ``token``
    is set while the node itself still owns the slot in the old term.
    """

    epoch: int
    ask: tuple[int, ...]
    token: requests.Token | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Follows:
    """Another member owns or claims the slot, or nobody can."""

    owner: int | None


def find_role(view: NodeView, slot: Slot, now: float):
    """Return Owns, Holds, Lacks or Follows.

    The new term counts for its first live member once every member of the
    old order has released or ended; until then the old term goes on.
    """
    arranged = slot.arranged
    turn = _judge_term(view, slot, arranged.epoch, arranged.order, now)
    if arranged.previous is None:
        return turn
    claims = isinstance(turn, Owns | OwnsFrom)
    missing = list_unreleased(view, slot) if claims else []
    if claims and not missing:
        return _wait_for_old(view, slot, turn, now)
    old = _judge_term(
        view, slot, arranged.previous_epoch, arranged.previous, now
    )
    if claims:
        token = old.token if isinstance(old, Owns) else None
        asked = choose_asked(missing)
        return NeedsReleases(arranged.previous_epoch, asked, token)
    return old if isinstance(old, Owns | OwnsFrom) else turn


def list_unreleased(view: NodeView, slot: Slot) -> list[int]:
    """Return members of the old order that may still serve it."""
    arranged = slot.arranged
    return [
        one
        for one in arranged.previous
        if one != view.incarnation
        and _find_ready(view, slot, one, arranged.previous_epoch) is None
    ]


def choose_asked(missing) -> tuple[int, ...]:
    """Return the members to ask now: successors first, the owner last."""
    return tuple(missing[1:] or missing)


def _wait_for_old(view, slot, turn, now):
    arranged = slot.arranged
    waits = [turn.ready_at] if isinstance(turn, OwnsFrom) else []
    for one in arranged.previous:
        found = _find_ready(view, slot, one, arranged.previous_epoch)
        if one != view.incarnation and found is not None:
            waits.append(found)
    ready_at = max(waits, default=-math.inf)
    return turn if now >= ready_at else OwnsFrom(ready_at)


def _judge_term(view, slot, epoch, order, now):
    own = view.incarnation
    ready_at = -math.inf
    for place, one in enumerate(order):
        if one == own:
            if slot.released >= epoch:
                continue
            if now < ready_at:
                return OwnsFrom(ready_at)
            return Owns(requests.Token(epoch, place))
        found = _find_ready(view, slot, one, epoch)
        if found is None:
            return Follows(one)
        ready_at = max(ready_at, found)
    return Follows(None)


def _find_ready(view, slot, member, epoch):
    """Return from when the member's part is over, None without evidence."""
    if slot.releases.get(member, 0) >= epoch:
        return -math.inf
    learned_at = view.ended.get(member)
    if learned_at is None:
        return None
    if slot.service in view.unfenced:
        return learned_at + timing.UNFENCED_HOLD_S
    return learned_at


def update_ownership(view: NodeView, slot: Slot, now: float):
    """Return (slot, turn) after a look at the evidence.

    Ownership that goes on from one term to the next keeps its start.
    """
    turn = find_role(view, slot, now)
    match turn:
        case Owns(token=token) | NeedsReleases(token=token):
            pass
        case _:
            token = None
    if token == slot.token:
        return slot, turn
    since = slot.since
    if token is None:
        since = -math.inf
    elif since == -math.inf:
        since = now
    return dataclasses.replace(slot, token=token, since=since), turn


def arrange_slot(slot: Slot | None, service, number, arranged) -> Slot:
    """Return the slot with the order that the log now shows."""
    if slot is None:
        return Slot(service, number, arranged, base=number)
    return dataclasses.replace(slot, arranged=arranged)


def inherit_slot(slot: Slot, base: int, found: Slot | None) -> Slot:
    """Return a hot slot whose key comes from a fixed slot.

    ``found`` is that fixed slot, None when the node is no member of it. A
    node that has released it must not serve the key in the old term, and
    requests that run there may be for this key. Releases that others gave of
    the fixed slot prove nothing here, since their senders may not have read
    of the hot slot.
    """
    slot = dataclasses.replace(slot, base=base)
    if found is None or slot.arranged.previous is None:
        return slot
    if slot.token and slot.token.epoch == slot.arranged.previous_epoch:
        # The hot slot itself moves; its key came from the fixed slot before.
        return slot
    arranged = found.arranged
    moving = arranged.previous is not None
    last = arranged.previous_epoch if moving else arranged.epoch
    released = slot.released
    if found.released >= last:
        released = max(released, slot.arranged.previous_epoch)
    # Nobody else can have served the key since the node began to serve the
    # fixed slot, so what it knows of the key's requests stays complete.
    same = not moving and arranged.order == slot.arranged.previous
    since = found.since if found.token and same else slot.since
    return dataclasses.replace(
        slot, released=released, since=since, inherited=found.running
    )


def find_base(table: state.SlotTable, fixed: int, number: int) -> int | None:
    """Return the fixed slot of a hot slot, None while it has no key."""
    hashes = (one for one, at in table.hot_keys.items() if at == number)
    found = next(hashes, None)
    return None if found is None else found % fixed


def has_moved(current: state.State, question: owning.EnterSlot) -> bool:
    """Return whether the key has another slot by this newer state."""
    table = current.tables.get(question.service)
    if question.key_hash is None or table is None:
        return False
    count = slotorders.count_fixed_slots(current, question.service)
    fixed = question.key_hash % count
    return table.hot_keys.get(question.key_hash, fixed) != question.slot


def enter_slot(slot: Slot, request_id: str, now: float) -> Slot | None:
    """Return the slot with one more request, None when it takes none."""
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

    A member releases only after it has read the record of a newer epoch.
    Running requests are waited for; meanwhile the slot takes no new ones.
    """
    if slot.released >= epoch:
        return slot, True
    if slot.arranged.epoch <= epoch:
        return slot, False
    if _runs_below(slot, epoch):
        until = now + DRAIN_S
        return dataclasses.replace(slot, draining_until=until), False
    return _release(slot, epoch), True


def release_group(view: NodeView, group: list[Slot]) -> list[Slot]:
    """Return a fixed slot and its hot slots in a planned stop.

    They are released together once nothing runs in any of them. Released
    apart, a hot key that returns to its fixed slot could have two owners
    until both have read of it. They are kept while no other live member
    could take them, since the planner may still name one.
    """
    held = [one for one in group if one.released < one.arranged.epoch]
    if not held or not all(list_heirs(view, one) for one in held):
        return group
    if any(one.running or one.inherited for one in group):
        return [
            dataclasses.replace(one, draining_until=math.inf) for one in group
        ]
    return [_release(one, one.arranged.epoch) for one in group]


def list_heirs(view: NodeView, slot: Slot) -> list[int]:
    """Return live members of the newest order that may own the slot."""
    arranged = slot.arranged
    return [
        one
        for one in arranged.order
        if one != view.incarnation
        and one not in view.ended
        and slot.releases.get(one, 0) < arranged.epoch
    ]


def is_member(view: NodeView, arranged: state.SlotOrder) -> bool:
    """Return whether the node is a member of a term of the slot."""
    return view.incarnation in arranged.order + (arranged.previous or ())


def is_finished(view: NodeView, slot: Slot) -> bool:
    """Return whether the slot no longer concerns this node."""
    busy = slot.running or slot.inherited
    return not busy and not is_member(view, slot.arranged)


def needs_settling(slot: Slot) -> bool:
    """Return whether the move is complete here but not yet in the log."""
    return (
        slot.arranged.previous is not None
        and slot.token is not None
        and slot.token.epoch == slot.arranged.epoch
    )


def find_owner(view: NodeView, slot: Slot, now: float) -> int | None:
    """Return the member that this node believes to own the slot."""
    match find_role(view, slot, now):
        case Owns() | OwnsFrom():
            return view.incarnation
        case NeedsReleases(token=token) if token is not None:
            return view.incarnation
        case NeedsReleases(epoch=epoch):
            order = slot.arranged.previous
            return next(
                (
                    one
                    for one in order
                    if one != view.incarnation
                    and _find_ready(view, slot, one, epoch) is None
                ),
                None,
            )
        case Follows(owner=owner):
            return owner


def find_wait(view: NodeView, slot: Slot, now: float) -> float | None:
    """Return the seconds until this node serves, None unless it only waits."""
    match find_role(view, slot, now):
        case OwnsFrom(ready_at=ready_at):
            return max(0.0, ready_at - now)
        case _:
            return None


def _runs_below(slot, epoch):
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
