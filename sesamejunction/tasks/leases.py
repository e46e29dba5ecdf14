"""Actor that holds the node's lease."""

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
from sesamejunction.model import valueclass
from sesamejunction.tasks import actor
from sesamejunction.tasks import clock

CONTACT_POLL_S = 0.5
# Interval of proposals to record that the change of witnesses is complete.
SETTLE_RETRY_S = 1.0
# During a partition between zones, the planner keeps naming silent witnesses
# again. This interval keeps 2,000 nodes below 70 appends a second.
REPLACE_RETRY_S = 30.0
# A node announces the end of its own incarnation this many times: if all
# copies are lost, others learn of it only when the witnesses' promises expire.
END_ANNOUNCEMENTS = 3
END_ANNOUNCEMENT_PAUSE_S = 0.02
# Shortest tick interval, since timers may fire a little early.
MIN_TICK_S = 0.002
MESSAGE_TYPES = (messages.LeasePromise, messages.WitnessRelease)


@valueclass.define
class LogContact:
    """Boot-clock time of this node's latest contact with the log."""

    at: float


@valueclass.define
class Ports:
    """Actors that the lease and witness actors send messages to."""

    datagrams: actor.Actor
    appender: actor.Actor


async def forward_log_contact(journal: actor.Actor, subscribers) -> None:
    """Poll the journal's log contact and publish it until cancelled.

    A task of its own, so that a busy journal cannot delay the subscribers.
    """
    while True:
        try:
            at = await journal.ask(journaling.GetLogContactTime())
        except errors.InboxFull:
            # Subscribers keep the last known contact, whose age grows.
            at = None
        for subscribed_actor in subscribers if at is not None else ():
            subscribed_actor.publish(LogContact(at))
        await asyncio.sleep(CONTACT_POLL_S)


@valueclass.define
class LeaseDump:
    """State of the lease; ``left_s`` is 0 without one."""

    left_s: float
    serves_callers: bool
    reason: str
    witness_version: int
    witnesses: tuple[int, ...]


class Leases(actor.Actor):
    """Renews the lease and publishes it.

    ``on_lost`` is called once, with the reason, when this node's incarnation
    has ended; the node then finishes its requests and starts a new
    incarnation.
    """

    name = 'leases'
    tick_s = timing.LEASE_RENEW_INTERVAL_S

    def __init__(self, incarnation, ports: Ports, on_lost, *subscribers):
        super().__init__()
        self._incarnation = incarnation
        self._on_lost = on_lost
        self._ports = ports
        self._subscribers = list(subscribers)
        # Set later, since the journal is built after its subscribers.
        self.journal = None
        self._state = state.State()
        self._joined = False
        self._declared_ended = False
        self._stopping = False
        self._may_renew = True
        self._announced_end = False
        self._published = None
        self._holder = nodelease.LeaseHolder(incarnation)
        # Log offset and boot-clock time of the log contact of each peer.
        self._peers = {}
        self._log_contact_at = -math.inf
        self._behind_since = None
        self._settled_at = -math.inf
        self._replaced_at = -math.inf
        self._renew_at = (
            clock.read_boot_clock()
            + random.random() * timing.LEASE_RENEW_INTERVAL_S
        )

    def subscribe(self, subscriber: actor.Actor) -> None:
        """Add a subscriber of the lease; call before the task runs."""
        self._subscribers.append(subscriber)

    async def handle(self, message):
        """Handle one message."""
        match message:
            case packets.Received(sender=sender, message=body, at=at):
                self._handle_packet(sender, body, at)
            case journaling.StateChanged(state=current):
                self._apply_state(current)
            case LogContact(at=at):
                self._log_contact_at = at
            case owning.MemberEnded(incarnation=gone):
                self._declared_ended = (
                    self._declared_ended or gone == self._incarnation
                )
            case owning.StopOwning():
                self._stopping = True
            case owning.StopRenewing():
                self._may_renew = False
            case owning.EndIncarnation():
                await self._announce_end()

    async def tick(self) -> None:
        """Renew the lease, or end the incarnation if the lease is lost."""
        if self._announced_end:
            return
        now = clock.read_boot_clock()
        self._holder = nodelease.end_if_expired(self._holder, now)
        reason = self._find_end_reason()
        if reason is not None:
            await self._announce_end()
            if not self._stopping:
                self._on_lost(reason)
            return
        if self._may_renew and now >= self._renew_at:
            self._renew_at = now + timing.LEASE_RENEW_INTERVAL_S
            self._renew(now)
            self._propose_settled(now)
            self._replace_silent(now)
        self.tick_s = self._find_tick_delay(now)

    def _find_tick_delay(self, now) -> float:
        """Return the seconds until the next renewal or the lease's end."""
        wait = (
            self._renew_at - now
            if self._may_renew
            else timing.LEASE_RENEW_INTERVAL_S
        )
        if self._holder.end > now:
            wait = min(wait, self._holder.end - now)
        return max(wait, MIN_TICK_S)

    def dump(self) -> LeaseDump:
        """Return the lease and its witnesses."""
        now = clock.read_boot_clock()
        described = self._describe_lease(now)
        return LeaseDump(
            max(0.0, described.end - now),
            described.serves_callers,
            described.reason,
            self._holder.version,
            self._holder.witnesses,
        )

    def _handle_packet(self, sender, body, at) -> None:
        match body:
            case messages.LeasePromise():
                self._record_peer(sender, body, at)
                self._set_holder(nodelease.take_promise(self._holder, body))
            case messages.WitnessRelease():
                self._set_holder(nodelease.take_release(self._holder, body))

    def _set_holder(self, holder) -> None:
        before, self._holder = self._holder, holder
        if holder.end > before.end:
            self._publish(clock.read_boot_clock())

    def _publish(self, now) -> None:
        described = self._describe_lease(now)
        if described == self._published:
            return
        self._published = described
        for subscribed_actor in self._subscribers:
            subscribed_actor.publish(described)

    def _find_end_reason(self) -> str | None:
        if self._holder.ended:
            if self._holder.end == nodelease.NEVER:
                return 'no witnesses have granted a first lease'
            return 'the lease is lost'
        if self._joined and self._incarnation not in self._state.members:
            return 'the log says that this incarnation has ended'
        if self._declared_ended:
            return 'two witnesses declared this incarnation ended'
        return None

    async def _announce_end(self) -> None:
        """Announce the end of this incarnation to all other members."""
        if self._announced_end:
            return
        self._announced_end = True
        own = self._incarnation
        self._holder = dataclasses.replace(self._holder, ended=True)
        self._publish(clock.read_boot_clock())
        message = messages.EndDeclaration(own, own, self._holder.version)
        receivers = witness.list_receivers(self._state, own)
        for _ in range(END_ANNOUNCEMENTS):
            for other_member in receivers:
                self._send(other_member, message)
            await asyncio.sleep(END_ANNOUNCEMENT_PAUSE_S)

    def _renew(self, now) -> None:
        planned = nodelease.list_renewals(
            self._holder, now, self._state.offset, now - self._log_contact_at
        )
        for receiver, message in planned:
            self._send(receiver, message)
        self._track_behind(now)
        self._publish(now)

    def _propose_settled(self, now) -> None:
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
            eliot.log_message('lease: replacing silent witnesses', gone=silent)
            record = records.WitnessesNamed((entry,))
            self._ports.appender.tell(journaling.Propose(record))

    def _apply_state(self, current) -> None:
        self._state = current
        own = self._incarnation
        self._joined = self._joined or own in current.members
        if own in current.witness_sets:
            witness_set = current.witness_sets[own]
            now = clock.read_boot_clock()
            self._set_holder(
                nodelease.adopt_witness_set(self._holder, witness_set, now)
            )
        for gone in self._peers.keys() - current.members.keys():
            del self._peers[gone]

    def _record_peer(self, sender, body, at) -> None:
        self._peers[sender] = (body.log_offset, at - body.log_age)
        if body.log_offset > self._state.offset:
            self.journal.tell(
                journaling.PeerOffset(sender, body.log_offset, body.log_age)
            )

    def _track_behind(self, now) -> None:
        newest = max(
            (peer_offset for peer_offset, _ in self._peers.values()), default=0
        )
        if newest <= self._state.offset:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now

    def _describe_lease(self, now) -> owning.Lease:
        behind = self._behind_since
        peer_contact = max(
            (at for _, at in self._peers.values()), default=-math.inf
        )
        contact_result = isolation.check_contact(
            isolation.Contact(
                nodelease.holds_lease(self._holder, now),
                now - self._log_contact_at,
                now - peer_contact,
                0.0 if behind is None else now - behind,
                self._state.fleet.offline_limit_s,
            )
        )
        end = -math.inf if self._holder.ended else self._holder.end
        match contact_result:
            case isolation.Refuses(reason=reason):
                return owning.Lease(end, False, reason)
            case _:
                return owning.Lease(end)

    def _send(self, receiver, message) -> None:
        self._ports.datagrams.tell(packets.SendTo(receiver, message))
