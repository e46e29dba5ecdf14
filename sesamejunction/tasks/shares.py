"""Actor that owns the rate limit tokens of this node."""

import asyncio
import collections

from sesamejunction.decisions import shares
from sesamejunction.decisions import tokenholder
from sesamejunction import errors
from sesamejunction.model import journaling
from sesamejunction.model import messages
from sesamejunction.model import owning
from sesamejunction.model import packets
from sesamejunction.model import sharing
from sesamejunction.model import state
from sesamejunction.model import valueclass
from sesamejunction.tasks import actor
from sesamejunction.tasks import clock

# Fraction of its remaining time that a request may wait for a token.
MAX_WAIT_SHARE = 0.5
RETRY_AFTER_S = 0.5
# Tick interval while tokens are requested or requests wait.
TICK_S = 0.05
# Tick interval otherwise. A new request brings the next tick forward.
IDLE_S = 1.0


@valueclass.define
class PurseDump:
    """Tokens of an organisation and its demand in requests per second.

    ``allocator`` is the incarnation that is asked for tokens.
    """

    organisation: str
    allocator: int | None
    unspent: float
    demand: float
    waiting: int


@valueclass.define
class SharesDump:
    """Request counters since the start, and the active organisations."""

    admitted: int
    refused: int
    waited: int
    purses: tuple[PurseDump, ...]


class Shares(actor.Actor):
    """Spends tokens for requests and asks the allocators for more.

    ``allocators`` is this node's Allocators actor, which answers the share
    requests of all nodes; ``datagrams`` handles SendTo.
    """

    name = 'shares'
    tick_s = TICK_S

    def __init__(self, incarnation, allocators, datagrams):
        super().__init__()
        self._incarnation = incarnation
        self._allocators = allocators
        self._datagrams = datagrams
        self._state = state.State()
        self._ended = set()
        self._holder = tokenholder.TokenHolder(incarnation)
        self._waiting = collections.defaultdict(collections.deque)
        self._leaving = False
        self._admitted = 0
        self._refused = 0
        self._waited = 0

    def dump(self) -> SharesDump:
        """Return the counters and the active organisations."""
        now = clock.read_boot_clock()
        purses = tuple(
            PurseDump(
                name,
                account.allocator,
                self._holder.count_unspent(account, now),
                round(account.demand.read(now), 1),
                account.waiting,
            )
            for name, account in self._holder.accounts.items()
            if account.demand.read(now) or account.batches
        )
        return SharesDump(self._admitted, self._refused, self._waited, purses)

    async def run(self) -> None:
        """Handle messages until cancelled."""
        try:
            await super().run()
        finally:
            for queue in self._waiting.values():
                for queued_waiter in queue:
                    if not queued_waiter.done():
                        queued_waiter.set_exception(
                            errors.TaskStopped(
                                'shares has stopped; retry at another node'
                            )
                        )

    async def handle(self, message):
        """Handle one message."""
        now = clock.read_boot_clock()
        match message:
            case sharing.TakeToken():
                return self._spend_token(message, now)
            case sharing.ReturnToken(organisation=name, receipt=receipt):
                self._holder.return_token(name, receipt, now)
                self._serve_waiting(name, now)
            case sharing.ReturnAllTokens():
                self._leaving = True
                self._send_requests(self._holder.return_unspent(now))
            case journaling.StateChanged(state=current):
                self._state = current
                self._apply_state(now)
            case owning.MemberEnded(incarnation=incarnation):
                self._ended.add(incarnation)
                self._apply_state(now)
            case packets.Received(message=messages.ShareRequest()):
                self._allocators.tell(message)
            case packets.Received(sender, messages.ShareReply() as reply):
                if (sender, self._incarnation) == (
                    reply.allocator,
                    reply.holder,
                ):
                    self._handle_reply(reply, now)

    async def tick(self) -> None:
        """Serve waiting requests from local tokens and request more."""
        now = clock.read_boot_clock()
        for name, queue in list(self._waiting.items()):
            if queue:
                self._serve_waiting(name, now)
        if not self._leaving:
            self._send_requests(self._holder.build_requests(now))
        has_demand = self._holder.is_active or any(self._waiting.values())
        self.tick_s = TICK_S if has_demand else IDLE_S

    def _spend_token(self, message: sharing.TakeToken, now: float):
        name = message.organisation
        if name not in self._holder.accounts:
            return sharing.OverRate(RETRY_AFTER_S)
        self._holder.count_demand(name, now)
        self.tick_within(TICK_S)
        self._serve_waiting(name, now)
        if not self._waiting[name]:
            receipt = self._holder.spend_token(name, now)
            if receipt is not None:
                self._admitted += 1
                return sharing.TokenTaken(receipt)
        if message.deadline <= now or not self._holder.may_wait(name, now):
            self._refused += 1
            return self._refuse(name, now)
        waiter = self._create_waiter(name, message.deadline, now)
        self._waiting[name].append(waiter)
        self._holder.accounts[name].waiting += 1
        self._request_tokens(name, now)
        return waiter

    def _create_waiter(
        self, name: str, deadline: float, now: float
    ) -> asyncio.Future:
        """Return a future that resolves to a refusal after the longest wait.

        Only waiting requests get a timer, since asyncio.timeout around every
        request takes 8 us.
        """
        loop = asyncio.get_running_loop()
        waiter = loop.create_future()
        longest_s = (
            tokenholder.MAX_WAIT_S
            if self._holder.is_answered(name)
            else tokenholder.UNANSWERED_WAIT_S
        )
        limit_s = min(longest_s, (deadline - now) * MAX_WAIT_SHARE)
        timer = loop.call_later(limit_s, self._end_wait, name, waiter, now)
        waiter.add_done_callback(lambda _: timer.cancel())
        return waiter

    def _refuse(self, name: str, now: float) -> sharing.OverRate:
        return sharing.OverRate(
            RETRY_AFTER_S,
            self._holder.list_refusal_inputs(name, now),
            self._holder.is_answered(name),
        )

    def _end_wait(self, name, waiter: asyncio.Future, since: float) -> None:
        """Refuse a request that has waited for a token as long as it may."""
        if waiter.done():
            return
        waited_s = round(clock.read_boot_clock() - since, 3)
        is_certain = (
            name not in self._holder.accounts or self._holder.is_answered(name)
        )
        waiter.set_result(
            sharing.OverRate(
                RETRY_AFTER_S, (('waited_s', waited_s),), is_certain
            )
        )

    def _handle_reply(self, reply, now: float) -> None:
        for name in self._holder.take_reply(reply, now):
            self._serve_waiting(name, now)
            self._request_tokens(name, now)

    def _serve_waiting(self, name: str, now: float) -> None:
        account = self._holder.accounts.get(name)
        if account is None:
            return
        queue = self._waiting[name]
        while queue:
            if queue[0].done():
                # Its wait has timed out, or the caller has gone away.
                queue.popleft()
                self._refused += 1
                continue
            receipt = self._holder.spend_token(name, now)
            if receipt is None:
                break
            queue.popleft().set_result(sharing.TokenTaken(receipt))
            self._admitted += 1
            self._waited += 1
        if self._holder.is_empty(name, now):
            for waiter in queue:
                if not waiter.done():
                    waiter.set_result(self._refuse(name, now))
            self._refused += len(queue)
            queue.clear()
        account.waiting = len(queue)

    def _request_tokens(self, name: str, now: float) -> None:
        if not self._leaving:
            self._send_requests(self._holder.build_requests(now, (name,)))

    def _send_requests(self, addressed_requests) -> None:
        for allocator, request in addressed_requests:
            if allocator == self._incarnation:
                self._allocators.tell(
                    packets.Received(
                        allocator, request, clock.read_boot_clock()
                    )
                )
            else:
                self._datagrams.tell(packets.SendTo(allocator, request))

    def _apply_state(self, now: float) -> None:
        current = self._state
        self._ended.intersection_update(current.members)
        for name, organisation in current.organisations.items():
            self._holder.set_organisation(
                name,
                shares.split_local_quota(organisation, current.fleet),
                shares.split_shared_quota(organisation, current.fleet),
                shares.list_allocators(current, name, self._ended),
                now,
            )
        self._holder.keep_only(current.organisations, current.members)
        for name in [
            waiting_name
            for waiting_name in self._waiting
            if waiting_name not in current.organisations
        ]:
            for waiter in self._waiting.pop(name):
                if not waiter.done():
                    waiter.set_result(sharing.OverRate(RETRY_AFTER_S))
