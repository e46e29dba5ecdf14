"""Actor that allocates rate limit tokens of the organisations it owns."""

import contextlib

from sesamejunction.decisions import shares
from sesamejunction.decisions import tokenallocator
from sesamejunction.model import journaling
from sesamejunction.model import messages
from sesamejunction.model import owning
from sesamejunction.model import packets
from sesamejunction.model import state
from sesamejunction.tasks import actor
from sesamejunction.tasks import clock

# Tick interval while the ownership of a slot is not confirmed yet, and
# otherwise: only a new state or the end of a member changes the owned slots,
# and both bring the next tick forward.
TICK_S = 0.1
IDLE_S = 5.0


class Allocators(actor.Actor):
    """Answers share requests while this node owns the organisation's slot.

    It asks the ownership actor for the slot at each request, so that a node
    that was paused past the end of its lease allocates nothing. ``owners``
    answers EnterSlot, ``datagrams`` handles SendTo, and ``own_shares`` gets
    the replies to this node's own requests.

    The pool of a slot is opened when the slot is taken over, not at the first
    request: the time in which a new pool holds tokens back starts when it is
    opened.
    """

    name = 'allocators'
    tick_s = TICK_S

    def __init__(self, incarnation, owners, datagrams):
        super().__init__()
        self._incarnation = incarnation
        self._owners = owners
        self._datagrams = datagrams
        self._state = state.State()
        self._allocator = tokenallocator.Allocator(incarnation)
        self._ended = set()
        self._opened = {}
        self.own_shares = None

    async def handle(self, message):
        """Handle one message."""
        match message:
            case journaling.StateChanged(state=current):
                self._state = current
                self._ended.intersection_update(current.members)
                self._allocator.keep_only(
                    current.organisations, current.members
                )
                self.tick_within(0.0)
            case owning.MemberEnded(incarnation=incarnation):
                self._ended.add(incarnation)
                self.tick_within(0.0)
            case packets.Received(sender, messages.ShareRequest() as request):
                if sender == request.holder:
                    await self._answer(request)

    async def tick(self) -> None:
        """Open the token pools of slots that this node has taken over."""
        self.tick_s = IDLE_S
        for name in self._state.organisations:
            first = shares.list_allocators(self._state, name, self._ended)[:1]
            if first != (self._incarnation,):
                self._opened.pop(name, None)
            elif name not in self._opened:
                async with contextlib.AsyncExitStack() as stack:
                    terms = await self._enter(stack, (name,), 'open')
                    if self._open(name, terms, clock.read_boot_clock()):
                        self._opened[name] = True
                    else:
                        self.tick_s = TICK_S

    async def _answer(self, request) -> None:
        names = [one.organisation for one in request.wants]
        async with contextlib.AsyncExitStack() as stack:
            terms = await self._enter(
                stack, names, f'share-{request.holder}-{request.sequence}'
            )
            # Read the clock after the slots are confirmed. A request handled
            # before the lease ends was also sent before it ends, so its
            # grant expires before the next allocator starts to allocate.
            now = clock.read_boot_clock()
            owned = [one for one in names if self._open(one, terms, now)]
            if owned:
                self._send(
                    request, self._allocator.answer(request, owned, now)
                )

    async def _enter(self, stack, names, request_id: str):
        """Enter the organisations' slots; the stack leaves them on exit."""
        terms = {}
        for slot in sorted({shares.find_slot(one) for one in names}):
            place = (state.SHARES_SERVICE, slot, request_id)
            reply = await self._owners.ask(owning.EnterSlot(*place))
            if isinstance(reply, owning.Serving):
                stack.callback(
                    self._owners.tell_reliably, owning.LeaveSlot(*place)
                )
                terms[slot] = reply
        return terms

    def _open(self, name: str, terms, now: float) -> bool:
        organisation = self._state.organisations.get(name)
        serving = terms.get(shares.find_slot(name))
        if organisation is None or serving is None:
            return False
        if now >= serving.lease_end:
            return False
        quota = shares.split_shared_quota(organisation, self._state.fleet)
        self._allocator.open_pool(name, quota, serving.token, now)
        return True

    def _send(self, request, reply) -> None:
        if reply is None:
            return
        if request.holder == self._incarnation:
            self.own_shares.tell(
                packets.Received(
                    self._incarnation, reply, clock.read_boot_clock()
                )
            )
        else:
            self._datagrams.tell(packets.SendTo(request.holder, reply))
