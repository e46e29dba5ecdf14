"""Actor that joins the fleet while the target announces itself."""

import collections.abc
import dataclasses

import eliot

from sesamejunction.decisions import fold
from sesamejunction.model import gating
from sesamejunction.model import journaling
from sesamejunction.model import operating
from sesamejunction.model import owning
from sesamejunction.model import records
from sesamejunction.model import state
from sesamejunction.model import timing
from sesamejunction.model import valueclass
from sesamejunction.tasks import actor
from sesamejunction.tasks import clock

# Interval of proposals to join until the log shows this node as a member.
JOIN_RETRY_S = 2.0
TICK_S = 0.2
# Shortest tick interval, since timers may fire a little early.
MIN_TICK_S = 0.005


@valueclass.define
class Identity:
    """Settings of this node that are part of its member record."""

    incarnation: int
    name: str
    zone: str
    host: str
    caller_port: int
    peer_port: int
    operator_port: int


@valueclass.define
class MembershipDump:
    """Whether the node has joined, and its target's latest announcement."""

    joined: bool
    target: gating.TargetAnnounced | None
    announced_ago_s: float | None


class Membership(actor.Actor):
    """Appends the member record and detects the loss of the target.

    ``stop`` is called once with TARGET_LOST when a member's target has not
    announced itself for ANNOUNCE_TIMEOUT_S. The node then leaves and restarts
    as a new incarnation, since an ended incarnation cannot join again.
    """

    name = 'membership'
    tick_s = TICK_S

    def __init__(
        self,
        identity: Identity,
        appender: actor.Actor,
        stop: collections.abc.Callable[[operating.StopReason], None],
        read_clock=clock.read_boot_clock,
    ):
        super().__init__()
        self._identity = identity
        self._appender = appender
        self._stop = stop
        self._clock = read_clock
        self._state = state.State()
        self._target = None
        self._announced_at = float('-inf')
        self._proposed_at = float('-inf')
        self._has_ended = False

    async def handle(self, message):
        """Handle one message."""
        match message:
            case journaling.StateChanged(state=current):
                self._state = current
            case owning.StopOwning():
                # An ended incarnation must not join again.
                self._has_ended = True
            case gating.TargetAnnounced():
                self._target = message
                self._announced_at = self._clock()

    def dump(self) -> MembershipDump:
        """Return whether the node has joined, and the announcement."""
        ago = self._clock() - self._announced_at
        return MembershipDump(
            self._is_member(),
            self._target,
            None if self._target is None else round(ago, 3),
        )

    async def tick(self) -> None:
        """Propose the member record, or stop if the target is lost."""
        now = self._clock()
        self.tick_s = TICK_S
        if self._target is None or self._has_ended:
            return
        limit = self._announced_at + timing.ANNOUNCE_TIMEOUT_S
        if now > limit:
            self._handle_lost_target()
            return
        self.tick_s = max(MIN_TICK_S, min(TICK_S, limit - now))
        if now - self._proposed_at >= JOIN_RETRY_S and not self._is_member():
            self._proposed_at = now
            self._propose_join()

    def _handle_lost_target(self) -> None:
        self._target = None
        eliot.log_message(
            'node: target lost',
            limit_s=timing.ANNOUNCE_TIMEOUT_S,
            remedy='start the target; the node joins again when it announces',
        )
        # A proposed join may still be folded after this check, so the node
        # leaves even if it is not a member yet.
        if self._proposed_at > float('-inf'):
            self._has_ended = True
            self._stop(operating.StopReason.TARGET_LOST)

    def _propose_join(self) -> None:
        if self._is_full():
            eliot.log_message(
                'node: cannot join, the fleet is full',
                max_nodes=self._state.fleet.max_nodes,
                remedy='raise max_nodes in fleet.yaml and apply it, or run '
                'sesamejunction-ctl forget for nodes that are gone',
            )
            return
        eliot.log_message('node: joining')
        member = self._build_member()
        former = fold.find_member_at_address(self._state, member)
        self._appender.tell(
            journaling.Propose(
                records.MemberJoined(member, former, self._state.offset)
            )
        )

    def _is_member(self) -> bool:
        return self._identity.incarnation in self._state.members

    def _is_full(self) -> bool:
        # The fold ends a former process on the same address, so it does not
        # count.
        own = (self._identity.host, self._identity.peer_port)
        others = [
            other
            for other in self._state.members.values()
            if (other.host, other.peer_port) != own
        ]
        return len(others) >= self._state.fleet.max_nodes

    def _build_member(self) -> state.Member:
        target = self._target
        return state.Member(
            **dataclasses.asdict(self._identity),
            service=target.service,
            slots=target.slots,
            cold_slots=target.cold_slots,
            checks_grants=target.checks_grants,
        )
