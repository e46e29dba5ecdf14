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

# Tick interval while the ownership of a slot is not confirmed yet.
TICK_S = 0.1
# Tick interval otherwise. Only a new state or the end of a member changes the
# owned slots, and both make the next tick run at once.
IDLE_S = 5.0


class Allocators(actor.Actor):
    """Answers share requests while this node owns the organisation's slot.

    At each request it asks ``owners`` whether this node still owns the slot,
    so that a node that was paused past the end of its lease allocates
    nothing. ``datagrams`` sends the replies. ``own_shares``, set after
    construction, gets the replies to this node's own requests.

    An organisation's pool is opened when its slot is taken over, not at the
    first request: a new pool holds tokens back for some time after it was
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
        # Organisations whose pools are open; the dict is used as a set.
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
            first_allocator = shares.list_allocators(
                self._state, name, self._ended
            )[:1]
            if first_allocator != (self._incarnation,):
                self._opened.pop(name, None)
            elif name not in self._opened:
                async with contextlib.AsyncExitStack() as stack:
                    serving_by_slot = await self._enter_slots(
                        stack, (name,), 'open'
                    )
                    if self._open_pool(
                        name, serving_by_slot, clock.read_boot_clock()
                    ):
                        self._opened[name] = True
                    else:
                        self.tick_s = TICK_S

    async def _answer(self, request) -> None:
        names = [want.organisation for want in request.wants]
        async with contextlib.AsyncExitStack() as stack:
            serving_by_slot = await self._enter_slots(
                stack, names, f'share-{request.holder}-{request.sequence}'
            )
            # Read the clock after the slots are confirmed. A request handled
            # before the lease ends was also sent before it ends, so its
            # grant expires before the next allocator starts to allocate.
            now = clock.read_boot_clock()
            owned = [
                organisation_name
                for organisation_name in names
                if self._open_pool(organisation_name, serving_by_slot, now)
            ]
            if owned:
                self._send(
                    request, self._allocator.answer(request, owned, now)
                )

    async def _enter_slots(self, stack, names, request_id: str):
        """Enter the organisations' slots; the stack leaves them on exit.

        Returns the Serving reply by slot, for the slots that this node owns.
        """
        serving_by_slot = {}
        for slot in sorted(
            {
                shares.find_slot(organisation_name)
                for organisation_name in names
            }
        ):
            slot_request = (state.SHARES_SERVICE, slot, request_id)
            reply = await self._owners.ask(owning.EnterSlot(*slot_request))
            if isinstance(reply, owning.Serving):
                stack.callback(
                    self._owners.tell_reliably, owning.LeaveSlot(*slot_request)
                )
                serving_by_slot[slot] = reply
        return serving_by_slot

    def _open_pool(self, name: str, serving_by_slot, now: float) -> bool:
        """Open the pool if this node owns its slot; return whether it does."""
        organisation = self._state.organisations.get(name)
        serving = serving_by_slot.get(shares.find_slot(name))
        if organisation is None or serving is None:
            return False
        if now >= serving.lease_end:
            return False
        quota = shares.split_shared_quota(organisation, self._state.fleet)
        self._allocator.open_pool(
            name, quota, serving.token, now, serving.former_ended_at
        )
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
