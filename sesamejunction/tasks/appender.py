"""Tasks that append records to the log in batches."""

import asyncio
import collections
import dataclasses
import random
import uuid

import eliot

from sesamejunction.border import loghttp
from sesamejunction.border import recordcodec
from sesamejunction.decisions import fold
from sesamejunction import errors
from sesamejunction.model import journaling
from sesamejunction.model import records
from sesamejunction.tasks import actor
from sesamejunction.tasks import clock

MAX_QUEUED = 1024
MAX_QUEUED_BYTES = 16 << 20
MAX_BATCH = 256
# One checkpoint part fits into a batch.
MAX_BATCH_BYTES = 320 << 10
# A caller of Append gets a typed error after this time.
APPEND_TIMEOUT_S = 10.0
MIN_RETRY_PAUSE_S = 0.1
# 2,000 nodes that retry every 2.5 s on average make 800 appends a second,
# about what the log takes.
MAX_RETRY_PAUSE_S = 5.0


@dataclasses.dataclass(slots=True, eq=False)
class Pending:
    """A queued record; ``reply`` and ``expires`` belong to an Append."""

    record: records.Record
    frame: bytes
    reply: asyncio.Future | None = None
    expires: float = float('inf')
    may_be_written: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """Tells the writer to append these bytes."""

    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Written:
    """Tells the appender how the latest write ended."""

    offset: int | None
    error: errors.LogUnavailable | None


@dataclasses.dataclass(frozen=True, slots=True)
class AppenderDump:
    """Queue and counters for operators; counters start with the process."""

    queued: int
    queued_bytes: int
    sending: int
    refused: int
    obsolete: int
    retried: int


class Writer(actor.Actor):
    """Owns the appending connection and writes one batch at a time."""

    name = 'writer'

    def __init__(self, client: loghttp.LogClient, owner: actor.Actor):
        super().__init__()
        self._client = client
        self._owner = owner

    async def handle(self, message):
        """Handle one message."""
        match message:
            case Write(data=data):
                try:
                    written = Written(await self._client.append(data), None)
                except errors.LogUnavailable as error:
                    written = Written(None, error)
                self._owner.publish(written)


class Appender(actor.Actor):
    """Queues records and appends them in order, one batch at a time.

    Every record is a compare-and-set, so after a failure or a lost reply
    the batch is appended again until the log takes it. A proposal that
    would no longer change the folded state is dropped. The offset that an
    Append gets is that of the attempt whose reply arrived; an earlier
    attempt may already have taken effect.
    """

    name = 'appender'
    tick_s = 0.05

    def __init__(self, client: loghttp.LogClient, jitter=random.random):
        super().__init__()
        self._writer = Writer(client, self)
        self._jitter = jitter
        self._state = None
        self._queue = collections.deque()
        self._queued_bytes = 0
        # Proposals queued or being sent, so that a repeat is not queued.
        self._proposed = set()
        self._sending = []
        self._retry_s = MIN_RETRY_PAUSE_S
        self._retry_at = float('-inf')
        self.refused = 0
        self.obsolete = 0
        self.retried = 0

    async def ask(self, message):
        """Queue a record and return its offset once it is on the log.

        Raises InboxFull when the queue is full, LogUnavailable when the log
        took nothing in time and AppendUnknown when it may have.
        """
        answer = await super().ask(message)
        return await answer if isinstance(answer, asyncio.Future) else answer

    def dump(self) -> AppenderDump:
        """Return the queue's size and what became of records."""
        return AppenderDump(
            len(self._queue),
            self._queued_bytes,
            len(self._sending),
            self.refused,
            self.obsolete,
            self.retried,
        )

    async def run(self) -> None:
        """Append until cancelled."""
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._writer.run())
                tasks.create_task(super().run())
        finally:
            for one in [*self._sending, *self._queue]:
                self._fail(one, errors.TaskStopped('appender has stopped'))

    async def handle(self, message):
        """Handle one message."""
        match message:
            case journaling.StateChanged(state=current):
                self._state = current
            case journaling.Append(record=record):
                return self._accept(record)
            case journaling.Propose(record=record):
                self._propose(record)
            case Written():
                self._finish(message)
        self._send()

    async def tick(self) -> None:
        """Fail overdue appends and retry when it is time."""
        now = clock.read_boot_clock()
        for one in list(self._queue):
            if one.expires <= now:
                self._discard(one)
                self._fail(one, self._explain(one))
        self._send()

    def _accept(self, record) -> asyncio.Future:
        pending = self._build(record)
        if not self._has_room(pending):
            self.refused += 1
            raise errors.InboxFull('appender queue is full; retry later')
        pending.reply = asyncio.get_running_loop().create_future()
        pending.expires = clock.read_boot_clock() + APPEND_TIMEOUT_S
        self._push(pending)
        self._send()
        return pending.reply

    def _propose(self, record) -> None:
        if record in self._proposed:
            return
        pending = self._build(record)
        if not self._has_room(pending):
            self.refused += 1
            return
        self._proposed.add(record)
        self._push(pending)

    def _build(self, record) -> Pending:
        frame = recordcodec.encode_frame(uuid.uuid4().hex, record)
        return Pending(record, frame)

    def _has_room(self, pending) -> bool:
        total = self._queued_bytes + len(pending.frame)
        return len(self._queue) < MAX_QUEUED and total <= MAX_QUEUED_BYTES

    def _push(self, pending) -> None:
        self._queue.append(pending)
        self._queued_bytes += len(pending.frame)

    def _discard(self, pending) -> None:
        self._queue.remove(pending)
        self._queued_bytes -= len(pending.frame)

    def _send(self) -> None:
        if self._sending or clock.read_boot_clock() < self._retry_at:
            return
        batch = self._take_batch()
        if batch:
            self._sending = batch
            frames = tuple(one.frame for one in batch)
            self._writer.tell(Write(recordcodec.join_frames(frames)))

    def _take_batch(self) -> list[Pending]:
        batch = []
        size = 0
        while self._queue and len(batch) < MAX_BATCH:
            pending = self._queue[0]
            if batch and size + len(pending.frame) > MAX_BATCH_BYTES:
                break
            self._queue.popleft()
            self._queued_bytes -= len(pending.frame)
            if self._is_needed(pending):
                batch.append(pending)
                size += len(pending.frame)
            else:
                self._proposed.discard(pending.record)
                self.obsolete += 1
        return batch

    def _is_needed(self, pending) -> bool:
        if pending.reply is not None:
            return not pending.reply.done()
        if self._state is None:
            return True
        match pending.record:
            case records.CheckpointPart(covers=covers):
                # Later parts change nothing before the first is folded.
                return covers > self._state.checkpoint_offset
            case _:
                return fold.is_needed(self._state, pending.record)

    def _finish(self, written) -> None:
        batch, self._sending = self._sending, []
        if written.error is None:
            self._retry_s = MIN_RETRY_PAUSE_S
            self._retry_at = float('-inf')
            for one in batch:
                self._proposed.discard(one.record)
                if one.reply is not None and not one.reply.done():
                    one.reply.set_result(written.offset)
            return
        eliot.log_message('journal: append failed', reason=str(written.error))
        self.retried += 1
        unknown = isinstance(written.error, errors.AppendOutcomeUnknown)
        for one in reversed(batch):
            one.may_be_written |= unknown
            self._queue.appendleft(one)
            self._queued_bytes += len(one.frame)
        # Jitter keeps the nodes from retrying together after an outage.
        wait = self._retry_s * (0.5 + 0.5 * self._jitter())
        self._retry_at = clock.read_boot_clock() + wait
        self._retry_s = min(2 * self._retry_s, MAX_RETRY_PAUSE_S)

    def _explain(self, pending) -> errors.LogUnavailable:
        if pending.may_be_written:
            return errors.AppendOutcomeUnknown(
                'log gave no usable reply to an append; read the log to '
                'learn whether it took effect'
            )
        return errors.LogUnavailable(
            'log took no record in time; retry when it is back'
        )

    def _fail(self, pending, error) -> None:
        if pending.reply is not None and not pending.reply.done():
            pending.reply.set_exception(error)
