"""Task that witnesses other nodes' leases and gathers their endings."""

import dataclasses
import math

import eliot

from sesamejunction.decisions import witness
from sesamejunction.model import journaling
from sesamejunction.model import messages
from sesamejunction.model import owning
from sesamejunction.model import packets
from sesamejunction.model import records
from sesamejunction.model import state
from sesamejunction.model import timing
from sesamejunction.tasks import actor
from sesamejunction.tasks import clock
from sesamejunction.tasks import leases

POLL_S = 1.0
# Each statement is repeated with growing pauses until the log shows it.
RETELL_FIRST_S = 0.1
RETELL_LONGEST_S = 5.0
# Witnesses of the ended node record it in turn; others only if they do not.
RECORD_DELAY_S = 0.4
RECORD_OTHERS_S = 2.0
RECORD_RETRY_S = 3.0
# After a pause of this length, queued renewals are read before declaring.
STALL_S = 0.1
MESSAGE_TYPES = (
    messages.RenewLease,
    messages.EndDeclaration,
    messages.EndedQuery,
    messages.WitnessRelease,
    messages.WitnessReleaseQuery,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Telling:
    """A statement that an incarnation ended, to be repeated to others."""

    message: messages.EndDeclaration
    due: float
    pause_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class WitnessDump:
    """State of the task for operators: holders watched and endings heard."""

    watching: int
    declared: int
    unrecorded: int


class Witnesses(actor.Actor):
    """Answers renewals, declares endings and passes evidence on."""

    name = 'witnesses'
    tick_s = timing.LEASE_RENEW_INTERVAL_S

    def __init__(self, incarnation, ports: leases.Ports, subscribers):
        super().__init__()
        self._incarnation = incarnation
        self._ports = ports
        self._subscribers = subscribers
        # The journal is built later, since it publishes to this task.
        self.journal = None
        self._state = state.State()
        self._watches = {}
        self._ledger = witness.Ledger()
        self._tellings = {}
        self._heard_at = {}
        self._recorded_at = {}
        self._contact = -math.inf
        # A node that cannot be reached never gets a first lease. It hears no
        # holder, and its declarations would stand for good against live ones.
        self._leased = False
        self._ticked_at = clock.read_boot_clock()
        self._poll_at = -math.inf

    async def handle(self, message):
        """Handle one message."""
        match message:
            case packets.Received(sender=sender, message=body, at=at):
                self._take(sender, body, at)
            case journaling.StateChanged(state=current):
                self._read_state(current, clock.read_boot_clock())
            case leases.LogContact(at=at):
                self._contact = at
            case owning.Lease(end=end):
                self._leased = self._leased or end > -math.inf

    async def tick(self) -> None:
        """Declare endings, repeat statements and record them."""
        now = clock.read_boot_clock()
        stalled = now - self._ticked_at > self.tick_s + STALL_S
        self._ticked_at = now
        if self._leased and not stalled:
            self._declare(now)
        if self._tellings:
            self._retell(now)
        if self._heard_at:
            self._record(now)
        if now >= self._poll_at:
            self._poll_at = now + POLL_S
            self._poll()
        self.tick_s = self._find_wait(now, stalled)

    def dump(self) -> WitnessDump:
        """Return how many holders are watched and have ended."""
        watches = self._watches.values()
        return WitnessDump(
            len(watches),
            sum(one.declared for one in watches),
            len(self._heard_at),
        )

    def _find_wait(self, now, stalled) -> float:
        """Return the seconds until the next declaration or repetition."""
        if stalled:
            return leases.MIN_TICK_S
        watches = self._watches.values() if self._leased else ()
        times = [witness.find_declaration_time(one) for one in watches]
        times += [one.due for one in self._tellings.values()]
        wait = min(times, default=math.inf) - now
        return max(min(wait, timing.LEASE_RENEW_INTERVAL_S), leases.MIN_TICK_S)

    def _take(self, sender, body, at) -> None:
        match body:
            case messages.RenewLease():
                self._answer_renewal(sender, body, at)
            case messages.WitnessReleaseQuery(asker=asker):
                self._answer_release(asker, body)
            case messages.WitnessRelease(witness=old, holder=holder):
                self._note_stopped(old, holder, body.version, at)
            case messages.EndDeclaration(witness=old, ended=ended):
                self._note_stopped(old, ended, body.version, at)
                self._note_declared(body, at)
            case messages.EndedQuery(asker=asker, incarnation=asked):
                for key, watch in self._watches.items():
                    if key[0] == asked and watch.declared:
                        self._send(asker, self._state_end(watch))

    def _answer_renewal(self, sender, renew, at) -> None:
        if renew.log_offset > self._state.offset:
            self.journal.tell(
                journaling.PeerOffset(sender, renew.log_offset, renew.log_age)
            )
        key = (renew.holder, renew.version)
        watch = self._watches.get(key)
        if watch is None:
            return
        self._watches[key] = watch = witness.take_renewal(watch, renew, at)
        if not witness.makes_promise(watch):
            self._send(sender, self._state_stop(watch))
            return
        promise = messages.LeasePromise(
            self._incarnation,
            renew.holder,
            renew.version,
            renew.sent_at,
            self._state.offset,
            at - self._contact,
        )
        self._send(sender, promise)

    def _answer_release(self, asker, query) -> None:
        key = (query.holder, query.version)
        watch = self._watches.get(key)
        if watch is None:
            return
        if asker == query.holder:
            self._watches[key] = watch = witness.release_watch(watch)
        if not witness.makes_promise(watch):
            self._send(asker, self._state_stop(watch))

    def _note_stopped(self, old, holder, version, at) -> None:
        key = (holder, version + 1)
        watch = self._watches.get(key)
        if watch is not None:
            self._watches[key] = witness.note_stopped(watch, {old}, at)

    def _note_declared(self, message, at) -> None:
        self._ledger = witness.note_declared(self._ledger, message)
        gone = message.ended
        if gone not in self._ledger.ended or gone in self._heard_at:
            return
        if gone not in self._state.members:
            return
        self._heard_at[gone] = at
        self._publish_ended(gone)
        eliot.log_message('lease: member ended', incarnation=gone)

    def _publish_ended(self, gone) -> None:
        for one in self._subscribers:
            one.tell(owning.MemberEnded(gone))

    def _declare(self, now) -> None:
        for key, watch in list(self._watches.items()):
            checked = witness.declare_if_due(watch, now)
            if checked is watch:
                continue
            self._watches[key] = checked
            message = self._state_end(checked)
            eliot.log_message('lease: declares', holder=key[0], version=key[1])
            self._tellings[key] = Telling(message, now, RETELL_FIRST_S)
            self._note_declared(message, now)

    def _retell(self, now) -> None:
        due = [key for key, one in self._tellings.items() if now >= one.due]
        if not due:
            return
        for key in due:
            one = self._tellings[key]
            for receiver in witness.list_receivers(self._state, key[0]):
                if receiver != self._incarnation:
                    self._send(receiver, one.message)
            self._tellings[key] = Telling(
                one.message,
                now + one.pause_s,
                min(2 * one.pause_s, RETELL_LONGEST_S),
            )

    def _poll(self) -> None:
        """Ask for stops and declarations that are still missing."""
        own = self._incarnation
        for watch in self._watches.values():
            if not witness.needs_poll(watch):
                continue
            query = messages.WitnessReleaseQuery(
                own, watch.holder, watch.version - 1
            )
            for one in watch.previous:
                self._send(one, query)
        for gone, _ in self._ledger.declared:
            found = self._state.witness_sets.get(gone)
            for one in found.witnesses if found else ():
                self._send(one, messages.EndedQuery(own, gone))
        for gone in self._heard_at:
            self._publish_ended(gone)

    def _record(self, now) -> None:
        """Propose a record of the endings that nobody has recorded yet."""
        due = []
        for gone, heard_at in self._heard_at.items():
            retry_at = self._recorded_at.get(gone, -math.inf) + RECORD_RETRY_S
            if now >= max(heard_at + self._find_delay(gone), retry_at):
                due.append(gone)
                self._recorded_at[gone] = now
        if due:
            self._ports.appender.tell(
                journaling.Propose(records.MembersEnded(tuple(due)))
            )

    def _find_delay(self, gone) -> float:
        own = self._incarnation
        found = self._state.witness_sets.get(gone)
        if found is not None and own in found.witnesses:
            return found.witnesses.index(own) * RECORD_DELAY_S
        return RECORD_OTHERS_S + own % 1000 / 1000

    def _read_state(self, current, now) -> None:
        self._state = current
        self._watches = {
            key: watch
            for key, watch in self._watches.items()
            if witness.needs_watch(current, *key)
        }
        for holder, found in current.witness_sets.items():
            if self._incarnation in found.witnesses:
                self._read_duty(holder, found, now)
        members = current.members
        self._ledger = witness.forget_ended(self._ledger, members)
        for mapping in (self._heard_at, self._recorded_at):
            for gone in mapping.keys() - members.keys():
                del mapping[gone]
        for key in [k for k in self._tellings if k[0] not in members]:
            del self._tellings[key]

    def _read_duty(self, holder, found, now) -> None:
        key = (holder, found.version)
        watch = self._watches.get(key)
        if watch is None:
            watch = witness.start_watch(holder, found, now)
        elif found.previous is None:
            watch = witness.note_settled(watch, now)
        self._watches[key] = watch

    def _state_end(self, watch) -> messages.EndDeclaration:
        return messages.EndDeclaration(
            self._incarnation, watch.holder, watch.version
        )

    def _state_stop(self, watch):
        if watch.declared:
            return self._state_end(watch)
        return messages.WitnessRelease(
            self._incarnation, watch.holder, watch.version
        )

    def _send(self, receiver, message) -> None:
        if receiver == self._incarnation:
            self._take(receiver, message, clock.read_boot_clock())
        else:
            self._ports.datagrams.tell(packets.SendTo(receiver, message))
