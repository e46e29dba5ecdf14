"""Tasks that fold the fleet's records and append new ones."""

import eliot

from sesamejunction.border import registrycodec
from sesamejunction.decisions import registry as folding
from sesamejunction import errors
from sesamejunction.model import journaling
from sesamejunction.model import registry
from sesamejunction.tasks import actor

# Pause before a record whose append failed is appended again. It doubles with
# each failure up to the longest, so that an outage does not bring calls of all
# nodes that wait to register.
RETRY_S = 0.3
LONGEST_RETRY_S = 2.4
# Ticks have nothing to do once the record is written.
IDLE_S = 10.0


class Registry(actor.Actor):
    """Folds both topics into the state and publishes it.

    ``read_declared`` decodes the operator's records; it returns the
    declarations and the evacuated availability zones, and keeps what it has
    for records that it cannot read.
    """

    name = 'registry'

    def __init__(self, fleet_topic: str, read_declared, subscribers):
        super().__init__()
        self._fleet_topic = fleet_topic
        self._read_declared = read_declared
        self._subscribers = subscribers
        self._folder = folding.StateBuilder()
        self._records = {}
        self._declared = None
        self._evacuated = frozenset()
        self._end = 0
        self._declared_end = -1

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
        records = {}
        for key, item in copy.items.items():
            known = self._records.get(key)
            if known is not None and known[0] == item.offset:
                records[key] = known
                continue
            try:
                record = registrycodec.decode_record(key, item.value)
            except errors.CodecError as error:
                eliot.log_message('journal: record skipped', reason=str(error))
                continue
            records[key] = item.offset, record
        self._records = records
        self._end = copy.end

    def _take_declared(self, copy) -> None:
        self._declared_end = copy.end
        declared, evacuated = self._read_declared(copy, self._declared)
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
        current = self._folder.build_state(
            (record for _, record in self._records.values()),
            self._declared,
            self._evacuated,
            self._end,
            self._declared_end,
        )
        changed = journaling.StateChanged(current)
        for one in self._subscribers:
            one.publish(changed)


class Registrar(actor.Actor):
    """Appends records; owns this node's own registration.

    ``follower`` is told when the log does not take a record.
    """

    name = 'registrar'
    tick_s = RETRY_S

    def __init__(self, topic, follower):
        super().__init__()
        self._topic = topic
        self._follower = follower
        self._wanted = None
        self._written = None
        self._pause_s = RETRY_S

    async def handle(self, message):
        """Handle one message."""
        match message:
            case registry.Register(record=record, is_retry=again):
                self._wanted = record
                if again:
                    self._written = None
                await self._write()
                if self._wanted != self._written:
                    self.tick_within(self._pause_s)
            case registry.Propose(record=record, end=end):
                return await self._propose(record, end)

    async def tick(self) -> None:
        """Append the registration again if its append has failed."""
        await self._write()
        done = self._wanted == self._written
        self.tick_s = IDLE_S if done else self._pause_s

    async def _write(self) -> None:
        wanted = self._wanted
        if wanted is None or wanted == self._written:
            return
        try:
            offset = await self._append(wanted, None)
        except errors.LogUnavailable as error:
            eliot.log_message('journal: not registered yet', reason=str(error))
            self._follower.tell(registry.AppendFailed())
            self._pause_s = min(LONGEST_RETRY_S, 2 * self._pause_s)
            return
        self._pause_s = RETRY_S
        self._written = wanted
        eliot.log_message(
            'journal: registered',
            life=wanted.life,
            leaving=wanted.leaving,
            offset=offset,
        )

    async def _propose(self, record, end) -> int | None:
        try:
            offset = await self._append(record, end)
        except errors.LogUnavailable as error:
            eliot.log_message(
                'plan: not appended',
                key=registrycodec.build_record_key(record),
                end=end,
                reason=str(error),
            )
            if not isinstance(error, errors.AppendConflict):
                self._follower.tell(registry.AppendFailed())
            return None
        eliot.log_message(
            'plan: appended',
            key=registrycodec.build_record_key(record),
            offset=offset,
        )
        return offset

    async def _append(self, record, end) -> int:
        entry = registry.Entry(
            registrycodec.build_record_key(record),
            registrycodec.encode_record(record),
        )
        return await self._topic.append(entry, end)
