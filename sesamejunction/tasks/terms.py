"""Actor that confirms which shares this node may allocate, and how long."""

import asyncio
import time

import eliot

from sesamejunction.decisions import eras
from sesamejunction.decisions import rangeleases as deciding
from sesamejunction import errors
from sesamejunction.model import journaling
from sesamejunction.model import leasing
from sesamejunction.model import owning
from sesamejunction.model import requests
from sesamejunction.model import state
from sesamejunction.model import valueclass
from sesamejunction.tasks import actor
from sesamejunction.tasks import clock

# Delay before a former allocator is asked again.
ASK_PAUSE_S = 0.1


class Terms(actor.Actor):
    """Answers EnterSlot for the shares service.

    Each slot of that service covers part of the organisations. A new
    allocator of a slot waits until the former ones have stopped: they confirm
    it, a later process replaces them, or the time has passed in which they
    may allocate without news from the log. ``position`` is the view of the
    fleet topic's follower. ``former_end`` is a boot-clock time by which all
    processes that ran under ``member_name`` before had ended, None if that is
    not known. The time at which this process was started is none: it may have
    been prepared while a former one still granted tokens.
    """

    name = 'terms'

    def __init__(
        self,
        incarnation: int,
        position,
        links,
        member_name: str = '',
        former_end: float | None = None,
    ):
        super().__init__()
        self._member_name = member_name
        self._former_end = former_end
        # Incarnations of this member that were registered before this one.
        self._predecessors = set()
        self._incarnation = incarnation
        self._position = position
        self._links = links
        self._state = state.State()
        self._seen_at = {}
        self._rights = eras.Rights()
        self._unconfirmed = {}

    async def handle(self, message):
        """Handle one message."""
        now = clock.read_boot_clock()
        match message:
            case journaling.StateChanged(state=current):
                self._apply_state(current, now)
            case owning.EnterSlot(slot=slot):
                return self._enter(slot, now)
            case leasing.AskAllocatorStop(epoch=epoch):
                # A node that has read the epoch no longer allocates under
                # the previous one.
                return leasing.ReleaseResult(epoch in self._seen_at)
            case TermReleased(epoch=epoch, member=member):
                self._unconfirmed.get(epoch, set()).discard(member)
                eliot.log_message(
                    'share: former allocator stopped',
                    epoch=epoch,
                    former=member,
                )

    def list_refused(self) -> frozenset[eras.PlaceRight]:
        """Return the rights to own places that are never used here."""
        return frozenset(
            right
            for right, member in list_rights(self._state.allocators)
            if member == self._incarnation and self._rights.is_refused(right)
        )

    def _apply_state(self, current, now) -> None:
        self._rights.take_era(
            current.era_phase,
            current.offset,
            (right for right, _ in list_rights(self._state.allocators)),
        )
        self._state = current
        self._predecessors |= {
            member.incarnation
            for member in current.members.values()
            if member.name == self._member_name
            and member.incarnation != self._incarnation
        }
        if current.allocators is None:
            return
        places = {
            listed_place.epoch: listed_place
            for listed_place in current.allocators.places
        }
        for epoch, place in places.items():
            if epoch in self._seen_at:
                continue
            self._seen_at[epoch] = now
            if place.member == self._incarnation:
                self._confirm_former(place)
        for epoch in self._seen_at.keys() - places.keys():
            del self._seen_at[epoch]
            self._unconfirmed.pop(epoch, None)

    def _confirm_former(self, place) -> None:
        """Ask former allocators of a place to confirm that they stopped."""
        unconfirmed = {
            member_id
            for member_id in place.previous
            # One that is no longer a member was replaced by a later process.
            if member_id != self._incarnation
            and member_id in self._state.members
        }
        self._unconfirmed[place.epoch] = unconfirmed
        for member_id in unconfirmed:
            asyncio.ensure_future(self._await_stop(place.epoch, member_id))

    async def _await_stop(self, epoch, incarnation) -> None:
        while incarnation in self._unconfirmed.get(epoch, ()):
            member = self._state.members.get(incarnation)
            if member is None:
                break
            try:
                reply = await self._links.ask(
                    member, leasing.AskAllocatorStop(epoch)
                )
                if reply.released:
                    break
            except errors.PeerUnavailable:
                # Retried until the member confirms or is removed.
                pass
            await asyncio.sleep(ASK_PAUSE_S)
        self.tell_reliably(TermReleased(epoch, incarnation))

    def _enter(self, slot, now):
        table = self._state.tables.get(state.SHARES_SERVICE)
        log_order = table.orders[slot] if table else None
        if log_order is None or log_order.order[0] != self._incarnation:
            return owning.NotServing(None, 0)
        epoch = log_order.epoch
        seen_at = self._seen_at.get(epoch, now)
        as_of = self._position.find_as_of(self._state.offset)
        is_waited_out = (
            now - seen_at >= deciding.FORMER_OWNER_WAIT_S
            and eras.is_confirmed(seen_at, as_of)
        )
        if (
            self._unconfirmed.get(epoch) and not is_waited_out
        ) or not self._may_use(slot, epoch):
            return owning.NotServing(None, epoch)
        end = as_of + deciding.AUTHORITY_S
        return owning.Serving(
            *(requests.Token(epoch, 0), end, end, time.time()),
            self._find_former_end(epoch),
        )

    def _may_use(self, slot, epoch) -> bool:
        allocators = self._state.allocators
        place = slot % len(allocators.places) if allocators else 0
        return self._rights.may_use(eras.PlaceRight(place, epoch))

    def _find_former_end(self, epoch) -> float | None:
        """Return when all former allocators of a place had ended, if known.

        Those that ran as this member have ended by ``former_end``.
        """
        places = self._state.allocators and self._state.allocators.places
        for place in places or ():
            if place.epoch == epoch and self._predecessors.issuperset(
                place.previous
            ):
                return self._former_end
        return None


def list_rights(allocators: state.Allocators | None):
    """Return the right to each place with the member that has it."""
    return [
        (eras.PlaceRight(number, place.epoch), place.member)
        for number, place in enumerate(allocators.places if allocators else ())
    ]


@valueclass.define
class TermReleased:
    """Reports that a former allocator has stopped."""

    epoch: int
    member: int
