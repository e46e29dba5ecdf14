"""Task that confirms which shares this node may hand out, and until when."""

import asyncio
import dataclasses
import time

import eliot

from sesamejunction.decisions import leasing as deciding
from sesamejunction import errors
from sesamejunction.model import journaling
from sesamejunction.model import leasing
from sesamejunction.model import owning
from sesamejunction.model import requests
from sesamejunction.model import state
from sesamejunction.tasks import actor
from sesamejunction.tasks import clock

ASK_PAUSE_S = 0.1


class Terms(actor.Actor):
    """Answers EnterSlot for the shares service.

    A new allocator waits until the former ones have stopped: they say so, a
    later process runs in their place, or their authority has run out.
    ``position`` is the view of the fleet topic.
    """

    name = 'terms'
    tick_s = 0.1

    def __init__(self, incarnation: int, position, links):
        super().__init__()
        self._incarnation = incarnation
        self._position = position
        self._links = links
        self._state = state.State()
        self._epoch = 0
        self._seen_at = float('inf')
        self._owed = set()

    async def handle(self, message):
        """Handle one message."""
        now = clock.read_boot_clock()
        match message:
            case journaling.StateChanged(state=current):
                self._take_state(current, now)
            case owning.EnterSlot(slot=slot):
                return self._enter(slot, now)
            case leasing.AskTerm(epoch=epoch):
                return leasing.Released(self._epoch >= epoch)
            case TermReleased(epoch=epoch, member=member):
                if epoch == self._epoch:
                    self._owed.discard(member)
                    eliot.log_message(
                        'share: former allocator stopped',
                        epoch=epoch,
                        former=member,
                    )

    def _take_state(self, current, now) -> None:
        self._state = current
        record = current.allocators
        if record is None or record.epoch == self._epoch:
            return
        self._epoch = record.epoch
        self._seen_at = now
        self._owed = set()
        if self._incarnation not in record.members:
            return
        self._owed = set(record.previous) - {self._incarnation}
        for one in list(self._owed):
            if one not in current.members:
                # Its node has registered a later process since.
                self._owed.discard(one)
            else:
                asyncio.ensure_future(self._ask(record.epoch, one))

    async def _ask(self, epoch, incarnation) -> None:
        while epoch == self._epoch and incarnation in self._owed:
            member = self._state.members.get(incarnation)
            if member is None:
                break
            try:
                reply = await self._links.ask(member, leasing.AskTerm(epoch))
                if reply.released:
                    break
            except errors.PeerUnavailable:
                pass
            await asyncio.sleep(ASK_PAUSE_S)
        self.give_back(TermReleased(epoch, incarnation))

    def _enter(self, slot, now):
        table = self._state.tables.get(state.SHARES_SERVICE)
        arranged = table.orders[slot] if table else None
        if arranged is None or arranged.order[0] != self._incarnation:
            return owning.NotServing(None, self._epoch)
        if self._owed and now - self._seen_at < deciding.WAIT_S:
            return owning.NotServing(None, self._epoch)
        end = self._position.as_of + deciding.AUTHORITY_S
        return owning.Serving(
            requests.Token(self._epoch, 0), end, end, time.time()
        )


@dataclasses.dataclass(frozen=True, slots=True)
class TermReleased:
    """A former allocator has stopped."""

    epoch: int
    member: int
