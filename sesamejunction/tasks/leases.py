"""Task that holds the node's lease."""

import asyncio
import dataclasses
import math
import random

import eliot

from sesamejunction.decisions import isolation
from sesamejunction.decisions import nodelease
from sesamejunction.decisions import witness
from sesamejunction.decisions import witnessplanning
from sesamejunction import errors
from sesamejunction.model import journaling
from sesamejunction.model import messages
from sesamejunction.model import owning
from sesamejunction.model import packets
from sesamejunction.model import records
from sesamejunction.model import state
from sesamejunction.model import timing
from sesamejunction.tasks import actor
from sesamejunction.tasks import clock

CONTACT_POLL_S = 0.5
SETTLE_RETRY_S = 1.0
# While zones lose each other, the planner names silent witnesses again; this
# keeps 2,000 nodes below 70 appends a second.
REPLACE_RETRY_S = 30.0
# Statements of the own ending are repeated, since no other message says so
# before the witnesses' promises have run out.
FAREWELLS = 3
FAREWELL_PAUSE_S = 0.02
# Timers may fire a little early.
MIN_TICK_S = 0.002
MESSAGE_TYPES = (messages.LeasePromise, messages.WitnessRelease)


@dataclasses.dataclass(frozen=True, slots=True)
class LogContact:
    """The boot-clock time of this node's latest contact with the log."""

    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Ports:
    """Tasks that the lease and witness tasks talk to."""

    datagrams: actor.Actor
    appender: actor.Actor


async def forward_log_contact(journal: actor.Actor, subscribers) -> None:
    """Pass the journal's log contact on until cancelled.

    Runs beside the lease tasks, so that a busy journal cannot delay them.
    """
    while True:
        try:
            at = await journal.ask(journaling.GetLogContactTime())
        except errors.InboxFull:
            # The age of the last known contact goes on growing.
            at = None
        for one in subscribers if at is not None else ():
            one.publish(LogContact(at))
        await asyncio.sleep(CONTACT_POLL_S)


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseDump:
    """State of the task for operators; ``left_s`` is 0 without a lease."""

    left_s: float
    serves_callers: bool
    reason: str
    witness_version: int
    witnesses: tuple[int, ...]


class Leases(actor.Actor):
    """Renews the lease and publishes it.

    ``lost`` is called once, with the reason, when the node's own incarnation
    has ended; the node then finishes its requests and starts a new one.
    """

    name = 'leases'
    tick_s = timing.LEASE_RENEW_INTERVAL_S

    def __init__(self, incarnation, ports: Ports, lost, *subscribers):
        super().__init__()
        self._incarnation = incarnation
        self._lost = lost
        self._ports = ports
        self._subscribers = list(subscribers)
        # The journal is built later, since it publishes to this task.
        self.journal = None
        self._state = state.State()
        self._joined = False
        self._declared = False
        self._stopping = False
        self._renewing = True
        self._left = False
        self._published = None
        self._holder = nodelease.LeaseHolder(incarnation)
        self._peers = {}
        self._contact = -math.inf
        self._behind_since = None
        self._settled_at = -math.inf
        self._replaced_at = -math.inf
        self._renew_at = (
            clock.read_boot_clock()
            + random.random() * timing.LEASE_RENEW_INTERVAL_S
        )

    def subscribe(self, subscriber: actor.Actor) -> None:
        """Publish the lease to one more task; call before the task runs."""
        self._subscribers.append(subscriber)

    async def handle(self, message):
        """Handle one message."""
        match message:
            case packets.Received(sender=sender, message=body, at=at):
                self._take(sender, body, at)
            case journaling.StateChanged(state=current):
                self._read_state(current)
            case LogContact(at=at):
                self._contact = at
            case owning.MemberEnded(incarnation=gone):
                self._declared = self._declared or gone == self._incarnation
            case owning.StopOwning():
                self._stopping = True
            case owning.StopRenewing():
                self._renewing = False
            case owning.EndIncarnation():
                await self._leave()

    async def tick(self) -> None:
        """Renew the lease, or end the incarnation when it is lost."""
        if self._left:
            return
        now = clock.read_boot_clock()
        self._holder = nodelease.end_if_expired(self._holder, now)
        reason = self._find_ending()
        if reason is not None:
            await self._leave()
            if not self._stopping:
                self._lost(reason)
            return
        if self._renewing and now >= self._renew_at:
            self._renew_at = now + timing.LEASE_RENEW_INTERVAL_S
            self._renew(now)
            self._settle(now)
            self._replace_silent(now)
        self.tick_s = self._find_wait(now)

    def _find_wait(self, now) -> float:
        """Return the seconds until the next renewal or the lease's end."""
        wait = (
            self._renew_at - now
            if self._renewing
            else timing.LEASE_RENEW_INTERVAL_S
        )
        if self._holder.end > now:
            wait = min(wait, self._holder.end - now)
        return max(wait, MIN_TICK_S)

    def dump(self) -> LeaseDump:
        """Return the lease and its witnesses."""
        now = clock.read_boot_clock()
        described = self._describe(now)
        return LeaseDump(
            max(0.0, described.end - now),
            described.serves_callers,
            described.reason,
            self._holder.version,
            self._holder.witnesses,
        )

    def _take(self, sender, body, at) -> None:
        match body:
            case messages.LeasePromise():
                self._note_peer(sender, body, at)
                self._hold(nodelease.take_promise(self._holder, body))
            case messages.WitnessRelease():
                self._hold(nodelease.take_release(self._holder, body))

    def _hold(self, holder) -> None:
        before, self._holder = self._holder, holder
        if holder.end > before.end:
            self._publish(clock.read_boot_clock())

    def _publish(self, now) -> None:
        described = self._describe(now)
        if described == self._published:
            return
        self._published = described
        for one in self._subscribers:
            one.publish(described)

    def _find_ending(self) -> str | None:
        if self._holder.ended:
            if self._holder.end == nodelease.NEVER:
                return 'no witnesses have granted a first lease'
            return 'the lease is lost'
        if self._joined and self._incarnation not in self._state.members:
            return 'the log says that this incarnation has ended'
        if self._declared:
            return 'two witnesses declared this incarnation ended'
        return None

    async def _leave(self) -> None:
        """State to all concerned that this incarnation has ended."""
        if self._left:
            return
        self._left = True
        own = self._incarnation
        self._holder = dataclasses.replace(self._holder, ended=True)
        self._publish(clock.read_boot_clock())
        message = messages.EndDeclaration(own, own, self._holder.version)
        receivers = witness.list_receivers(self._state, own)
        for _ in range(FAREWELLS):
            for one in receivers:
                self._send(one, message)
            await asyncio.sleep(FAREWELL_PAUSE_S)

    def _renew(self, now) -> None:
        planned = nodelease.list_renewals(
            self._holder, now, self._state.offset, now - self._contact
        )
        for receiver, message in planned:
            self._send(receiver, message)
        self._track_behind(now)
        self._publish(now)

    def _settle(self, now) -> None:
        if now < self._settled_at + SETTLE_RETRY_S:
            return
        if nodelease.may_settle_set(self._holder, now):
            self._settled_at = now
            record = records.WitnessesSettled(
                self._incarnation, self._holder.version
            )
            self._ports.appender.tell(journaling.Propose(record))

    def _replace_silent(self, now) -> None:
        if now < self._replaced_at + REPLACE_RETRY_S:
            return
        silent = nodelease.list_silent_witnesses(self._holder, now)
        if not silent:
            return
        self._replaced_at = now
        entry = witnessplanning.replace_silent(
            self._state, self._incarnation, silent
        )
        if entry is not None:
            eliot.log_message('lease: replaces silent witness', gone=silent)
            record = records.WitnessesNamed((entry,))
            self._ports.appender.tell(journaling.Propose(record))

    def _read_state(self, current) -> None:
        self._state = current
        own = self._incarnation
        self._joined = self._joined or own in current.members
        if own in current.witness_sets:
            found = current.witness_sets[own]
            now = clock.read_boot_clock()
            self._hold(nodelease.adopt_witness_set(self._holder, found, now))
        for gone in self._peers.keys() - current.members.keys():
            del self._peers[gone]

    def _note_peer(self, sender, body, at) -> None:
        self._peers[sender] = (body.log_offset, at - body.log_age)
        if body.log_offset > self._state.offset:
            self.journal.tell(
                journaling.PeerOffset(sender, body.log_offset, body.log_age)
            )

    def _track_behind(self, now) -> None:
        newest = max((one for one, _ in self._peers.values()), default=0)
        if newest <= self._state.offset:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now

    def _describe(self, now) -> owning.Lease:
        behind = self._behind_since
        peer_contact = max(
            (at for _, at in self._peers.values()), default=-math.inf
        )
        judged = isolation.check_contact(
            isolation.Contact(
                nodelease.holds_lease(self._holder, now),
                now - self._contact,
                now - peer_contact,
                0.0 if behind is None else now - behind,
                self._state.fleet.offline_limit_s,
            )
        )
        end = -math.inf if self._holder.ended else self._holder.end
        match judged:
            case isolation.Refuses(reason=reason):
                return owning.Lease(end, False, reason)
            case _:
                return owning.Lease(end)

    def _send(self, receiver, message) -> None:
        self._ports.datagrams.tell(packets.SendTo(receiver, message))
