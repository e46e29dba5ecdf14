"""Actor that answers the target's heartbeats and renews its lease."""

import asyncio
import dataclasses

import eliot

from sesamejunction.border import registrycodec
from sesamejunction.commands import ports as porting
from sesamejunction.decisions import graceperiods
from sesamejunction.decisions import rangeleases as deciding
from sesamejunction.decisions import registry as folding
from sesamejunction import errors
from sesamejunction.model import journaling
from sesamejunction.model import leasing
from sesamejunction.model import ranges
from sesamejunction.model import registry
from sesamejunction.model import state
from sesamejunction.model import valueclass
from sesamejunction.tasks import actor
from sesamejunction.tasks import clock

# The answer to a heartbeat waits up to this time for changed grants, so that
# they are sent at once. A target accepts answers within 1 s.
ANSWER_WAIT_S = 0.5
# Delay before a release that was not given is requested again.
CLAIM_INTERVAL_S = 0.1
TICK_S = 0.1
# Maximum tick interval while no work is pending.
IDLE_S = 0.5
# A node registers without a target this long after the last heartbeat. The
# target has lost its keys by then, since its hold has expired.
TARGET_SILENCE_LIMIT_S = deciding.HOLD_S + 0.3
# After its zone returns, a target counts as cold for two heartbeats, since the
# first may have been sent before it became cold.
RETURN_COLD_S = 2.0
# A task that did not run for this long was paused with its process; it ticks
# every IDLE_S. Nobody has read the target's heartbeats meanwhile.
PAUSED_S = IDLE_S + 0.7
# A heartbeat that is read this soon after such a time may be older.
OLD_HEARTBEATS_S = 0.2


@valueclass.define
class NoTarget:
    """Replaces the former registration if this node was never registered."""

    life: None = None
    slots: int = 0
    leaving: bool = False


NO_TARGET = NoTarget()


@valueclass.define
class Identity:
    """Fields of this node's registration that never change."""

    name: str
    incarnation: int
    zone: str
    host: str
    peer_port: int
    service: str


class TargetLease(actor.Actor):
    """Owns the state of the target beside this node.

    ``position`` is the view of the fleet topic's follower, ``registrar``
    appends this node's registration, ``links`` sends questions to other
    nodes. ``subscribers`` get its TargetStatus. A life is one run of the
    target's process. A claim asks the node of a former owner to release keys.
    """

    name = 'target lease'
    tick_s = TICK_S

    def __init__(
        self, identity: Identity, position, registrar, links, metrics
    ):
        super().__init__()
        self._identity = identity
        self._position = position
        self._registrar = registrar
        self._links = links
        self._metrics = metrics
        self._state = state.State()
        self._lease = deciding.RangeLeases(clock.read_boot_clock())
        self._heartbeat = None
        # Future of the answer to the latest heartbeat, and when it is due.
        self._waiting = None
        self._answer_at = float('-inf')
        # Claims sent to other nodes whose answers are awaited; the values are
        # infinite.
        self._asked_at = {}
        # Received claims, each with the future of its answer and the time at
        # which it is answered in any case.
        self._claimants = []
        self._stopping = False
        # That the target leaves, in the life that was heard last.
        self._leaving = graceperiods.Condition()
        self._leaving_life = None
        self._zone_out = graceperiods.Condition()
        self._cold_until = float('-inf')
        # What told of the present cold start, and when.
        self._cold_source = leasing.ColdSource.HEARTBEAT
        self._cold_told_at = float('-inf')
        self._is_silent = False
        self._last_answer = leasing.Renewal()
        self._return_cold_until = float('-inf')
        # Until when heartbeats do not end the cold time: they may have been
        # sent before a pause of the process.
        self._doubted_until = float('-inf')
        self._ran_at = None
        self._registered = None
        self._had_heartbeat = False
        # Registration of the process that ran before this one.
        self._predecessor = None
        self.holdings = porting.HoldingsView()
        self.subscribers = ()
        self.target_status = None

    async def handle(self, message):
        """Handle one message."""
        now = clock.read_boot_clock()
        self._note_process_pause(now)
        self.tick_within(TICK_S)
        match message:
            case leasing.Heartbeat():
                return self._handle_heartbeat(message, now)
            case leasing.AskRelease():
                return self._answer_claim(message, now)
            case leasing.TargetLeaving(target=target):
                self._handle_leave(target, now)
            case leasing.TargetUnreachable():
                self._end_target('its port refused a connection')
            case leasing.KeyNotHeld(key=key):
                self._withdraw_key(key, now)
            case journaling.StateChanged(state=current):
                self._apply_state(current, now)
            case leasing.StopNode():
                self._stopping = True
                self._register()
            case leasing.ReleaseAnswered(claim=claim, reply=reply):
                self._asked_at.pop(claim, None)
                if reply is not None and reply.released:
                    self._lease.take_release(claim, reply)
                    eliot.log_message(
                        'owner: release came', claim=claim, pieces=reply.pieces
                    )
                    self._answer_if_changed(now)

    async def tick(self) -> None:
        """Answer waiting heartbeats and claims; request releases."""
        now = clock.read_boot_clock()
        self._note_process_pause(now)
        if self._waiting is not None and now >= self._answer_at:
            self._answer(now)
        else:
            self._answer_if_changed(now)
        self._request_releases(now)
        self._serve_claimants(now)
        self.holdings.waiting = self._lease.list_waiting(now)
        last_heartbeat_at = self._lease.heard_at
        if (
            (self._lease.life is not None or not self._had_heartbeat)
            and now - last_heartbeat_at > TARGET_SILENCE_LIMIT_S
            and now > self._lease.hold_end
            and not self._is_silent
        ):
            self._is_silent = True
            self._register()
        self.tick_s = self._find_pause(now)

    def _note_process_pause(self, now) -> None:
        """Expect a cold target after a pause of this process.

        Its zone may have been taken out of service and back, or it may have
        started again, and nobody has read its heartbeats.
        """
        ran_at, self._ran_at = self._ran_at, now
        if ran_at is None or now - ran_at < PAUSED_S:
            return
        self._doubted_until = now + OLD_HEARTBEATS_S
        self._extend_cold_time(
            now + RETURN_COLD_S, leasing.ColdSource.PAUSED, now
        )

    def _extend_cold_time(self, until, source, now) -> None:
        """Take the target for cold until then, at least."""
        if until > self._cold_until:
            self._set_cold_until(until, source, now)
            self._publish()

    def _find_pause(self, now) -> float:
        """Return the seconds until the next tick."""
        answers = self._waiting is not None
        if (
            self.holdings.waiting
            or self._claimants
            or self._lease.is_releasing
            # The copy of the topic may be confirmed as current at any time,
            # which allows a grant.
            or (answers and not self._last_answer.rows)
        ):
            return TICK_S
        due = now + IDLE_S
        if answers:
            due = min(due, self._answer_at)
        if not self._is_silent:
            end = self._lease.heard_at + TARGET_SILENCE_LIMIT_S
            due = min(due, max(end, self._lease.hold_end))
        return max(TICK_S, due - now)

    def _handle_heartbeat(self, heartbeat, now):
        lease = self._lease
        if heartbeat.service != self._identity.service:
            return leasing.Renewal()
        if self._is_ranged and not heartbeat.tells_held:
            eliot.log_message(
                'owner: heartbeat ignored',
                reason='it does not tell which keys its target holds',
                life=heartbeat.life,
                sequence=heartbeat.sequence,
                present=lease.life,
            )
            return leasing.Renewal()
        if not lease.accepts_heartbeat(heartbeat, now):
            eliot.log_message(
                'owner: heartbeat ignored',
                life=heartbeat.life,
                sequence=heartbeat.sequence,
                present=lease.life,
            )
            # It may be the target that runs: one that started again under its
            # former name, or with a clock that was set back.
            self._extend_cold_time(
                now + heartbeat.cold_left_s, leasing.ColdSource.IGNORED, now
            )
            return leasing.Renewal()
        if heartbeat.life != lease.life:
            eliot.log_message(
                'owner: new target life',
                life=heartbeat.life,
                before=lease.life,
            )
        if heartbeat.life != self._leaving_life:
            self._leaving_life = heartbeat.life
            self._leaving = graceperiods.Condition()
        lease.take_heartbeat(heartbeat, now)
        self._heartbeat = heartbeat
        self._had_heartbeat = True
        self._is_silent = False
        cold_until = now + heartbeat.cold_left_s
        if now >= self._doubted_until or cold_until > self._cold_until:
            self._set_cold_until(cold_until, leasing.ColdSource.HEARTBEAT, now)
        if self._cold_until < self._return_cold_until:
            self._set_cold_until(
                self._return_cold_until, leasing.ColdSource.ZONE_RETURN, now
            )
        self._note_leaving(
            heartbeat.draining or self._had_left(heartbeat.life), now
        )
        self._register()
        self._publish()
        self._serve_claimants(now)
        if self._waiting is not None and not self._waiting.done():
            self._waiting.cancel()
        self._waiting = asyncio.get_running_loop().create_future()
        self._answer_at = now + ANSWER_WAIT_S
        self._request_releases(now)
        if self._is_urgent():
            self._answer(now)
            return self._last_answer
        if not self._answer_if_changed(now):
            return self._waiting
        return self._last_answer

    def _is_urgent(self) -> bool:
        """Return whether a heartbeat must be answered at once."""
        return (
            self._leaving.since is not None
            or self._lease.is_releasing
            or not self._is_ranged
        )

    @property
    def _is_ranged(self) -> bool:
        """Return whether the target's service is routed by key ranges."""
        service = self._state.services.get(self._identity.service)
        return service is not None and service.routing is state.Routing.RANGE

    @property
    def _may_grant(self) -> bool:
        """Return whether the target's keys may be granted.

        Not after a heartbeat that did not tell what the target holds.
        """
        return self._heartbeat is None or self._heartbeat.tells_held

    def _answer_if_changed(self, now) -> bool:
        """Answer the waiting heartbeat if the granted keys have changed."""
        if self._waiting is None or not self._may_grant:
            return False
        before = self._lease.granted_rows
        as_of = self._find_as_of()
        new_renewal = self._lease.renew(as_of, now)
        if new_renewal.rows is not None and new_renewal.rows != before:
            self._metrics.key_rows_granted.inc({})
            eliot.log_message(
                'owner: keys granted',
                life=self._lease.life,
                rows=new_renewal.rows,
                hold_s=round(new_renewal.hold_s, 2),
                plan_age_s=round(now - as_of, 2),
                left_out=self._lease.left_out,
            )
            self._send(new_renewal, now)
            return True
        return False

    def _answer(self, now) -> None:
        if self._waiting is None:
            return
        renewal = leasing.Renewal()
        if self._may_grant:
            renewal = self._lease.renew(self._find_as_of(), now)
        self._send(renewal, now)

    def _find_as_of(self) -> float:
        # The time of the copy that was folded, not of a newer one, whose plan
        # may assign the keys to another node.
        return self._position.find_as_of(self._state.offset)

    def _send(self, renewal, now) -> None:
        if not self._is_ranged:
            renewal = leasing.Renewal()
        waiting, self._waiting = self._waiting, None
        self._last_answer = renewal
        if renewal.rows is not None:
            self.holdings.rows = deciding.merge_rows(renewal.rows)
            self.holdings.until = now + renewal.hold_s
        if not waiting.done():
            waiting.set_result(renewal)
        self._serve_claimants(now)

    def _answer_claim(self, claim, now):
        reply = self._lease.answer_claim(claim, now)
        if reply.released:
            return reply
        reply_future = asyncio.get_running_loop().create_future()
        self._claimants.append((claim, reply_future, now + ANSWER_WAIT_S))
        return reply_future

    def _serve_claimants(self, now) -> None:
        remaining = []
        for claim, reply_future, until in self._claimants:
            reply = self._lease.answer_claim(claim, now)
            if reply_future.done():
                continue
            if reply.released or now >= until:
                reply_future.set_result(reply)
            else:
                remaining.append((claim, reply_future, until))
        self._claimants = remaining

    def _request_releases(self, now) -> None:
        for claim in self._lease.list_claims(now):
            claim = dataclasses.replace(claim, service=self._identity.service)
            if (
                self._asked_at.get(claim, float('-inf')) + CLAIM_INTERVAL_S
                > now
            ):
                continue
            self._asked_at[claim] = float('inf')
            asyncio.ensure_future(self._request_release(claim))

    async def _request_release(self, claim) -> None:
        member = next(
            (
                registered_member
                for registered_member in self._state.members.values()
                if registered_member.name == claim.life.member
            ),
            None,
        )
        reply = None
        if claim.life.member == self._identity.name:
            reply = self._lease.answer_claim(claim, clock.read_boot_clock())
        elif member is not None:
            try:
                reply = await self._links.ask(member, claim)
            except errors.PeerUnavailable:
                await asyncio.sleep(CLAIM_INTERVAL_S)
        if reply is None or not reply.released:
            await asyncio.sleep(CLAIM_INTERVAL_S)
        self.tell_reliably(leasing.ReleaseAnswered(claim, reply))

    def _handle_leave(self, target, now) -> None:
        if not self._had_heartbeat:
            self._handle_early_leave(target)
            return
        if self._lease.life is None or self._lease.life.target != target:
            return
        eliot.log_message('owner: target leaving', life=self._lease.life)
        self._note_leaving(True, now)
        self._register()
        self._publish()

    def _handle_early_leave(self, target) -> None:
        """Register that a target leaves before this process has heard it."""
        before = self._predecessor or NO_TARGET
        if before.life is None or before.life.target != target:
            return
        eliot.log_message('owner: target leaving', life=before.life)
        self._predecessor = dataclasses.replace(before, leaving=True)
        self._register()

    def _note_leaving(self, is_leaving, now) -> None:
        """Note whether the target leaves; it does until its life ends."""
        leaving = self._leaving
        leaving.update(is_leaving or leaving.since is not None, now)

    def _had_left(self, life) -> bool:
        """Return whether a life began to leave under a former process."""
        before = self._predecessor or NO_TARGET
        return before.leaving and before.life == life

    def _withdraw_key(self, key, now) -> None:
        """Send the target no requests for keys that it denies to hold.

        The answer to its next heartbeat grants them again if it may hold
        them.
        """
        if not self.holdings.holds(key, now):
            return
        eliot.log_message(
            'owner: target denies a key',
            life=self._lease.life,
            key=key,
            rows=len(self.holdings.rows),
        )
        self.holdings.withdraw(key)

    def _end_target(self, reason) -> None:
        if self._lease.life is None:
            return
        eliot.log_message(
            'owner: target ended', life=self._lease.life, reason=reason
        )
        self._lease.end_life(clock.read_boot_clock())
        self._heartbeat = None
        self.holdings.rows = ()
        if self._waiting is not None and not self._waiting.done():
            self._waiting.set_result(leasing.Renewal())
        self._waiting = None
        self._register()
        self._publish()
        self._serve_claimants(clock.read_boot_clock())

    def list_refused(self) -> frozenset[ranges.Range]:
        """Return the owned ranges that are never granted by their epoch."""
        return self._lease.list_refused()

    def _apply_state(self, current, now) -> None:
        before, self._state = self._state, current
        is_lost = current.era_phase is state.EraPhase.LOST
        if self._predecessor is None and (current.offset > 0 or is_lost):
            self._load_predecessor(current, now)
        self._note_membership(current)
        self._lease.take_era(current.era_phase, current.offset)
        service = self._identity.service
        plan = current.ranges.get(service)
        if plan is not None and plan != before.ranges.get(service):
            self._lease.take_plan(plan, now)
        elif (
            plan is None and not is_lost and registry.find_era(current.offset)
        ):
            # A plan of an earlier era no longer holds.
            self._lease.take_plan(ranges.RangePlan(()), now)
        out = current.zones.get(self._identity.zone) is state.Standing.OUT
        was_out = self._zone_out.since is not None
        # A state without the declarations does not tell that it is in service.
        if out or current.declared_version or self._zone_out.is_known:
            self._zone_out.update(out, now)
        if was_out and not out:
            # The target may have become cold while its zone was out of
            # service.
            declared_service = current.services.get(service)
            cold_s = declared_service.cold_s if declared_service else 0.0
            self._return_cold_until = now + RETURN_COLD_S
            self._extend_cold_time(
                now + max(RETURN_COLD_S, cold_s),
                *(leasing.ColdSource.ZONE_RETURN, now),
            )
        self._publish()
        if self._heartbeat is not None:
            self._answer_if_changed(now)
            self._request_releases(now)
            self._serve_claimants(now)

    def _set_cold_until(self, until, source, now) -> None:
        self._cold_until = until
        self._cold_source, self._cold_told_at = source, now

    def _note_membership(self, current) -> None:
        """Tell the registrar if this node's record was removed or replaced.

        Other members remove a silent node; another writer may leave a record
        that cannot be read; the store may do an earlier append of this
        process, or one of the process before it, late.
        """
        if self._registered is None:
            return
        key = registrycodec.build_record_key(self._registered)
        known = current.members.get(self._identity.incarnation)
        wanted = folding.build_member(self._registered)
        if key in current.unreadable or known != wanted:
            self._registrar.tell(registry.RegistrationLost(current.offset))

    def _load_predecessor(self, current, now) -> None:
        """Register this process with its predecessor's view of the target."""
        self._predecessor = next(
            (
                registered_member
                for registered_member in current.members.values()
                if registered_member.name == self._identity.name
            ),
            NO_TARGET,
        )
        if self._heartbeat and self._had_left(self._heartbeat.life):
            self._leaving = graceperiods.Condition()
            self._note_leaving(True, now)
        self._register()

    def _register(self) -> None:
        own_identity = self._identity
        before = self._predecessor or NO_TARGET
        record = registry.MemberRecord(
            own_identity.name,
            own_identity.incarnation,
            own_identity.zone,
            own_identity.host,
            own_identity.peer_port,
            own_identity.service,
            self._heartbeat.slots if self._heartbeat else before.slots,
            self._find_life(before),
            leaving=self._leaving.since is not None
            or (self._heartbeat is None and before.leaving),
            stopping=self._stopping,
        )
        if record != self._registered:
            self._registered = record
            self._registrar.tell(registry.Register(record))

    def _find_life(self, before):
        """Return the life to register, None if there is no target.

        Until the first heartbeat a new process keeps the life that the former
        process registered, so that a restart does not move keys.
        """
        if self._is_silent:
            return None
        if self._heartbeat is None and self._had_heartbeat is False:
            return before.life
        return self._lease.life

    def _publish(self) -> None:
        standing = leasing.TargetStatus(
            self._lease.life,
            self._heartbeat.slots if self._heartbeat else 0,
            self._cold_until,
            self._leaving.since,
            self._zone_out.since,
            self._cold_source,
            self._cold_told_at,
        )
        if standing != self.target_status:
            self.target_status = standing
            for subscribed_actor in self.subscribers:
                subscribed_actor.publish(standing)
