"""Actors that fold the fleet's records and append new ones."""

import eliot

from sesamejunction.border import registrycodec
from sesamejunction.decisions import eras
from sesamejunction.decisions import registry as folding
from sesamejunction import errors
from sesamejunction.model import journaling
from sesamejunction.model import registry
from sesamejunction.model import state
from sesamejunction.tasks import actor

# Delay before a failed registration is retried. It doubles with each failure
# up to the maximum, so that waiting nodes do not flood the log in an outage.
MIN_RETRY_S = 0.3
MAX_RETRY_S = 2.4
# Tick interval while no registration has to be written.
IDLE_S = 10.0


# Records that are only used if they were decided on in the present era.
DECIDED = (registry.PlanRecord, state.Allocators)


class Registry(actor.Actor):
    """Folds the fleet and operator topics into the state and publishes it.

    When the store has come back from an older copy, the plans and allocators
    that were known stay in force until they are in the topic again. So do
    members and zones out of service that the topic lacks.

    ``read_declared`` decodes the operator's records. It returns the
    declarations and the evacuated availability zones; for records that it
    cannot decode it returns the previous values.
    """

    name = 'registry'

    def __init__(self, fleet_topic: str, read_declared, subscribers):
        super().__init__()
        self._fleet_topic = fleet_topic
        self._read_declared = read_declared
        self._subscribers = subscribers
        self._state_builder = folding.StateBuilder()
        # Offset and decoded record by key of the fleet's topic.
        self._records = {}
        self._unreadable = frozenset()
        # Offset of the unreadable record by key that was logged last.
        self._skipped = {}
        self._declared = None
        self._evacuated = frozenset()
        self._end = 0
        self._declared_end = -1
        # Where the first copy of the present era ended, and its phase.
        self._era_start = 0
        self._phase = state.EraPhase.OPEN
        # Zones out of service that the topic has lost.
        self._lost_zones = frozenset()

    async def handle(self, message):
        """Handle one message."""
        match message:
            case registry.TopicChanged(topic=topic, copy=copy):
                if topic == self._fleet_topic:
                    self._take_fleet(copy)
                else:
                    self._take_declared(copy)
                self._publish()

    def _take_fleet(self, copy) -> None:
        self._note_phase(copy)
        records, unreadable = {}, set()
        for key, item in copy.items.items():
            known = self._records.get(key)
            if not self._is_usable(key):
                continue
            if known is not None and known[0] == item.offset:
                records[key] = known
                continue
            try:
                records[key] = item.offset, self._decode(copy, key, item)
            except errors.CodecError as error:
                self._log_skipped(key, item, error)
                unreadable.add(key)
                if known is not None and not eras.is_older(known[0], copy.end):
                    # What the key said before holds until a record that can
                    # be read replaces it.
                    records[key] = known
        if self._phase is not state.EraPhase.OPEN:
            self._add_lost(records)
        if self._phase is not state.EraPhase.LOST:
            self._end = copy.end
        self._records = records
        self._unreadable = frozenset(unreadable)

    def _is_usable(self, key) -> bool:
        """Return whether a key's record may be newer than what is known."""
        is_lost = self._phase is state.EraPhase.LOST
        return not is_lost or key.startswith(registrycodec.MEMBER_PREFIX)

    def _decode(self, copy, key, item) -> registry.Record:
        """Return a record; raises CodecError if it cannot be used."""
        record = registrycodec.decode_record(key, item.value)
        if isinstance(record, DECIDED):
            mark = registrycodec.decode_mark(item.value)
            if not eras.is_current_record(copy.end, mark):
                raise errors.CodecError(
                    f'record {key} was decided on before the store came back '
                    f'from an older copy; it is written again'
                )
        return record

    def _note_phase(self, copy) -> None:
        end, item = copy.end, copy.items.get('era')
        phase = eras.find_phase(end, registrycodec.decode_era(item))
        era = registry.find_era(end)
        if era != registry.find_era(self._era_start):
            self._era_start = end
        elif era:
            phase = eras.find_later(self._phase, phase)
        if phase is not self._phase:
            eliot.log_message(
                'journal: era phase',
                phase=phase,
                era=era + registry.FIRST_ERA,
                end=end,
            )
        self._phase = phase

    def _add_lost(self, records) -> None:
        """Add what is known and may be missing in the topic for a while."""
        is_lost = self._phase is state.EraPhase.LOST
        for key, known in self._records.items():
            is_member = isinstance(known[1], registry.MemberRecord)
            if not (is_lost or is_member):
                continue
            found = records.get(key)
            # Members write their records again before the plans are restored.
            if found is None or (is_lost and found[0] < self._era_start):
                records[key] = known

    def _log_skipped(self, key, item, error) -> None:
        """Log an unreadable record once."""
        if self._skipped.get(key) != item.offset:
            self._skipped[key] = item.offset
            eliot.log_message(
                'journal: record skipped',
                reason=str(error),
                offset=item.offset,
                size=len(item.value),
                known=key in self._records,
            )

    def _take_declared(self, copy) -> None:
        is_later = registry.find_era(copy.end) > registry.find_era(
            self._declared_end
        )
        self._declared_end = copy.end
        declared, evacuated = self._read_declared(copy, self._declared)
        if is_later:
            self._lost_zones = self._evacuated
        # The operator writes them again; then the topic holds.
        self._lost_zones -= evacuated
        evacuated |= self._lost_zones
        if evacuated != self._evacuated:
            eliot.log_message(
                'journal: zones out', zones=sorted(evacuated), end=copy.end
            )
        self._evacuated = evacuated
        before = self._declared
        if declared is None or declared is before:
            return
        if before is not None and declared.version < before.version:
            eliot.log_message(
                'journal: older declarations ignored',
                version=declared.version,
                in_force=before.version,
            )
            return
        self._declared = declared
        eliot.log_message(
            'journal: declarations in force',
            version=declared.version,
            routes=len(declared.routes),
            organisations=len(declared.organisations),
            end=copy.end,
        )

    def _publish(self) -> None:
        current = self._state_builder.build_state(
            (record for _, record in self._records.values()),
            self._declared,
            self._evacuated,
            self._end,
            self._declared_end,
            self._unreadable,
            self._phase,
        )
        changed = journaling.StateChanged(current)
        for subscriber in self._subscribers:
            subscriber.publish(changed)


class Registrar(actor.Actor):
    """Appends proposals and this node's registration to the fleet's topic.

    A registration is retried until it is written, a proposal is not.
    ``follower`` is notified of appended proposals, and when an append fails.
    The first copy of each era tells whether the registration is lost. An
    append without an answer may be done seconds later and replace a newer
    registration, which is then written again.
    """

    name = 'registrar'
    tick_s = MIN_RETRY_S

    def __init__(self, topic, follower):
        super().__init__()
        self._topic = topic
        self._follower = follower
        self._registration = None
        self._written = None
        self._written_at = 0
        self._pause_s = MIN_RETRY_S

    async def handle(self, message):
        """Handle one message."""
        match message:
            case registry.Register(record=record):
                self._registration = record
                await self._write_registration()
            case registry.TopicChanged(copy=copy):
                self._check_registration(copy)
                await self._write_registration()
            case registry.RegistrationLost(end=end):
                await self._restore_registration(end)
            case registry.Propose(record=record, end=end):
                return await self._propose(record, end)

    async def tick(self) -> None:
        """Append the registration again if that has failed."""
        await self._write_registration()
        is_written = self._registration == self._written
        self.tick_s = IDLE_S if is_written else self._pause_s

    def _check_registration(self, copy) -> None:
        """Note whether a copy of a new era lacks the registration."""
        if self._written is None:
            return
        item = copy.items.get(registrycodec.build_record_key(self._written))
        wanted = registrycodec.encode_record(self._written)
        if item is None or item.value != wanted:
            self._written = None

    async def _restore_registration(self, end) -> None:
        """Write the registration again if it was removed or replaced."""
        if self._written is None or end <= self._written_at:
            # An append that has failed is repeated by a tick, and the copy
            # may be older than the latest append.
            return
        eliot.log_message(
            'journal: registration lost',
            written_at=self._written_at,
            end=end,
        )
        self._written = None
        await self._write_registration()

    async def _write_registration(self) -> None:
        wanted = self._registration
        if wanted is None or wanted == self._written:
            return
        try:
            offset = await self._append(wanted, None)
        except errors.LogUnavailable as error:
            eliot.log_message(
                'journal: registration failed', reason=str(error)
            )
            self._follower.tell(registry.AppendFailed())
            self._pause_s = min(MAX_RETRY_S, 2 * self._pause_s)
            self.tick_within(self._pause_s)
            return
        self._pause_s = MIN_RETRY_S
        self._written, self._written_at = wanted, offset
        eliot.log_message(
            'journal: registered',
            life=wanted.life,
            leaving=wanted.leaving,
            offset=offset,
        )

    async def _propose(
        self, record, end
    ) -> int | registry.ProposalRejected | None:
        try:
            offset = await self._append(record, end)
        except errors.LogUnavailable as error:
            eliot.log_message(
                'plan: append failed',
                key=registrycodec.build_record_key(record),
                end=end,
                size=len(registrycodec.encode_record(record)),
                reason=str(error),
            )
            match error:
                case errors.RecordRejected():
                    return registry.ProposalRejected()
                case errors.AppendConflict():
                    self._follower.tell(registry.TopicGrown(end))
                    return None
            self._follower.tell(registry.AppendFailed())
            return None
        eliot.log_message(
            'plan: appended',
            key=registrycodec.build_record_key(record),
            offset=offset,
        )
        self._follower.tell(registry.TopicGrown(offset))
        return offset

    async def _append(self, record, end) -> int:
        entry = registry.Entry(
            registrycodec.build_record_key(record),
            registrycodec.encode_record(
                record, registry.find_era(end) if end is not None else 0
            ),
        )
        return await self._topic.append(entry, end)
