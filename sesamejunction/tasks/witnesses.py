"""Actor that witnesses other nodes' leases and records their ends."""

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
from sesamejunction.model import valueclass
from sesamejunction.tasks import actor
from sesamejunction.tasks import clock
from sesamejunction.tasks import leases

# Interval of queries for releases and declarations that are still missing.
POLL_S = 1.0
# Pauses between repetitions of a declaration, which double until the log shows
# that the member has ended.
MIN_REPEAT_S = 0.1
MAX_REPEAT_S = 5.0
# Delays before an end is recorded: witnesses of the ended node take turns, and
# other members record it only if the witnesses do not.
RECORD_RANK_DELAY_S = 0.4
RECORD_OTHERS_DELAY_S = 2.0
RECORD_RETRY_S = 3.0
# If a tick is this late, queued renewals are read before the next declaration.
LATE_TICK_S = 0.1
MESSAGE_TYPES = (
    messages.RenewLease,
    messages.EndDeclaration,
    messages.EndedQuery,
    messages.WitnessRelease,
    messages.WitnessReleaseQuery,
)


@valueclass.define
class RepeatedDeclaration:
    """A declaration that an incarnation ended, which is sent repeatedly."""

    message: messages.EndDeclaration
    due: float
    pause_s: float


@valueclass.define
class WitnessDump:
    """Number of watched holders, declared ends and unrecorded ends."""

    watching: int
    declared: int
    unrecorded: int


class Witnesses(actor.Actor):
    """Promises lease renewals and declares incarnations ended.

    It also collects the declarations of other witnesses, and proposes to
    record the ends in the log.
    """

    name = 'witnesses'
    tick_s = timing.LEASE_RENEW_INTERVAL_S

    def __init__(self, incarnation, ports: leases.Ports, subscribers):
        super().__init__()
        self._incarnation = incarnation
        self._ports = ports
        self._subscribers = subscribers
        # Set later, since the journal is built after its subscribers.
        self.journal = None
        self._state = state.State()
        self._watches = {}
        self._ledger = witness.Ledger()
        self._declarations = {}
        self._end_known_at = {}
        self._recorded_at = {}
        self._log_contact_at = -math.inf
        # A node that cannot be reached never gets a first lease. It receives
        # no renewals, so it must not declare live holders ended: declarations
        # are never revoked.
        self._leased = False
        self._ticked_at = clock.read_boot_clock()
        self._poll_at = -math.inf

    async def handle(self, message):
        """Handle one message."""
        match message:
            case packets.Received(sender=sender, message=body, at=at):
                self._handle_message(sender, body, at)
            case journaling.StateChanged(state=current):
                self._apply_state(current, clock.read_boot_clock())
            case leases.LogContact(at=at):
                self._log_contact_at = at
            case owning.Lease(end=end):
                self._leased = self._leased or end > -math.inf

    async def tick(self) -> None:
        """Declare ends, repeat declarations and propose records of ends."""
        now = clock.read_boot_clock()
        stalled = now - self._ticked_at > self.tick_s + LATE_TICK_S
        self._ticked_at = now
        if self._leased and not stalled:
            self._declare_ends(now)
        if self._declarations:
            self._repeat_declarations(now)
        if self._end_known_at:
            self._propose_ends(now)
        if now >= self._poll_at:
            self._poll_at = now + POLL_S
            self._poll()
        self.tick_s = self._find_tick_delay(now, stalled)

    def dump(self) -> WitnessDump:
        """Return the number of watched holders and of known ends."""
        watches = self._watches.values()
        return WitnessDump(
            len(watches),
            sum(held_watch.declared for held_watch in watches),
            len(self._end_known_at),
        )

    def _find_tick_delay(self, now, stalled) -> float:
        """Return the seconds until the next declaration or repetition."""
        if stalled:
            return leases.MIN_TICK_S
        watches = self._watches.values() if self._leased else ()
        times = [
            witness.find_declaration_time(held_watch) for held_watch in watches
        ]
        times += [
            declaration.due for declaration in self._declarations.values()
        ]
        wait = min(times, default=math.inf) - now
        return max(min(wait, timing.LEASE_RENEW_INTERVAL_S), leases.MIN_TICK_S)

    def _handle_message(self, sender, body, at) -> None:
        match body:
            case messages.RenewLease():
                self._answer_renewal(sender, body, at)
            case messages.WitnessReleaseQuery(asker=asker):
                self._answer_release(asker, body)
            case messages.WitnessRelease(
                witness=stopped_witness, holder=holder
            ):
                self._note_stopped(stopped_witness, holder, body.version, at)
            case messages.EndDeclaration(witness=stopped_witness, ended=ended):
                self._note_stopped(stopped_witness, ended, body.version, at)
                self._note_declared(body, at)
            case messages.EndedQuery(asker=asker, incarnation=asked):
                for key, watch in self._watches.items():
                    if key[0] == asked and watch.declared:
                        self._send(asker, self._build_declaration(watch))

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
            self._send(sender, self._build_stop_reply(watch))
            return
        promise = messages.LeasePromise(
            self._incarnation,
            renew.holder,
            renew.version,
            renew.sent_at,
            self._state.offset,
            at - self._log_contact_at,
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
            self._send(asker, self._build_stop_reply(watch))

    def _note_stopped(self, stopped_witness, holder, version, at) -> None:
        key = (holder, version + 1)
        watch = self._watches.get(key)
        if watch is not None:
            self._watches[key] = witness.note_stopped(
                watch, {stopped_witness}, at
            )

    def _note_declared(self, message, at) -> None:
        self._ledger = witness.note_declared(self._ledger, message)
        gone = message.ended
        if gone not in self._ledger.ended or gone in self._end_known_at:
            return
        if gone not in self._state.members:
            return
        self._end_known_at[gone] = at
        self._publish_ended(gone)
        eliot.log_message('lease: member ended', incarnation=gone)

    def _publish_ended(self, gone) -> None:
        for subscribed_actor in self._subscribers:
            subscribed_actor.tell(owning.MemberEnded(gone))

    def _declare_ends(self, now) -> None:
        for key, watch in list(self._watches.items()):
            checked = witness.declare_if_due(watch, now)
            if checked is watch:
                continue
            self._watches[key] = checked
            message = self._build_declaration(checked)
            eliot.log_message(
                'lease: declared ended', holder=key[0], version=key[1]
            )
            self._declarations[key] = RepeatedDeclaration(
                message, now, MIN_REPEAT_S
            )
            self._note_declared(message, now)

    def _repeat_declarations(self, now) -> None:
        due = [
            key
            for key, declaration in self._declarations.items()
            if now >= declaration.due
        ]
        if not due:
            return
        for key in due:
            declaration = self._declarations[key]
            for receiver in witness.list_receivers(self._state, key[0]):
                if receiver != self._incarnation:
                    self._send(receiver, declaration.message)
            self._declarations[key] = RepeatedDeclaration(
                declaration.message,
                now + declaration.pause_s,
                min(2 * declaration.pause_s, MAX_REPEAT_S),
            )

    def _poll(self) -> None:
        """Ask for releases and declarations that are still missing."""
        own = self._incarnation
        for watch in self._watches.values():
            if not witness.needs_poll(watch):
                continue
            query = messages.WitnessReleaseQuery(
                own, watch.holder, watch.version - 1
            )
            for former_witness in watch.previous:
                self._send(former_witness, query)
        for gone, _ in self._ledger.declared:
            witness_set = self._state.witness_sets.get(gone)
            for witness_id in witness_set.witnesses if witness_set else ():
                self._send(witness_id, messages.EndedQuery(own, gone))
        for gone in self._end_known_at:
            self._publish_ended(gone)

    def _propose_ends(self, now) -> None:
        """Propose a record of the ends that are not in the log yet."""
        due = []
        for gone, known_at in self._end_known_at.items():
            retry_at = self._recorded_at.get(gone, -math.inf) + RECORD_RETRY_S
            if now >= max(known_at + self._find_delay(gone), retry_at):
                due.append(gone)
                self._recorded_at[gone] = now
        if due:
            self._ports.appender.tell(
                journaling.Propose(records.MembersEnded(tuple(due)))
            )

    def _find_delay(self, gone) -> float:
        own = self._incarnation
        witness_set = self._state.witness_sets.get(gone)
        if witness_set is not None and own in witness_set.witnesses:
            return witness_set.witnesses.index(own) * RECORD_RANK_DELAY_S
        return RECORD_OTHERS_DELAY_S + own % 1000 / 1000

    def _apply_state(self, current, now) -> None:
        self._state = current
        self._watches = {
            key: watch
            for key, watch in self._watches.items()
            if witness.needs_watch(current, *key)
        }
        for holder, witness_set in current.witness_sets.items():
            if self._incarnation in witness_set.witnesses:
                self._update_watch(holder, witness_set, now)
        members = current.members
        self._ledger = witness.forget_ended(self._ledger, members)
        for mapping in (self._end_known_at, self._recorded_at):
            for gone in mapping.keys() - members.keys():
                del mapping[gone]
        for key in [
            declared_key
            for declared_key in self._declarations
            if declared_key[0] not in members
        ]:
            del self._declarations[key]

    def _update_watch(self, holder, witness_set, now) -> None:
        key = (holder, witness_set.version)
        watch = self._watches.get(key)
        if watch is None:
            watch = witness.start_watch(holder, witness_set, now)
        elif witness_set.previous is None:
            watch = witness.note_settled(watch, now)
        self._watches[key] = watch

    def _build_declaration(self, watch) -> messages.EndDeclaration:
        return messages.EndDeclaration(
            self._incarnation, watch.holder, watch.version
        )

    def _build_stop_reply(self, watch):
        if watch.declared:
            return self._build_declaration(watch)
        return messages.WitnessRelease(
            self._incarnation, watch.holder, watch.version
        )

    def _send(self, receiver, message) -> None:
        if receiver == self._incarnation:
            self._handle_message(receiver, message, clock.read_boot_clock())
        else:
            self._ports.datagrams.tell(packets.SendTo(receiver, message))
