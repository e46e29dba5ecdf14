"""Actors that append records to the log in batches."""

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
from sesamejunction.model import valueclass
from sesamejunction.tasks import actor
from sesamejunction.tasks import clock

# Limits of the queue and of one batch, in records and bytes.
MAX_QUEUED = 1024
MAX_QUEUED_BYTES = 16 << 20
MAX_BATCH = 256
# Must hold at least one checkpoint part.
MAX_BATCH_BYTES = 320 << 10
# An Append that has not been written after this time fails.
APPEND_TIMEOUT_S = 10.0
MIN_RETRY_PAUSE_S = 0.1
# 2,000 nodes that retry every 2.5 s on average make 800 appends a second,
# about the capacity of the log.
MAX_RETRY_PAUSE_S = 5.0


@dataclasses.dataclass(slots=True, eq=False)
class Pending:
    """A queued record.

    ``reply`` and ``expires``, in boot-clock seconds, are set for an Append
    only. ``may_be_written`` is set after an attempt of unknown outcome.
    """

    record: records.Record
    frame: bytes
    reply: asyncio.Future | None = None
    expires: float = float('inf')
    may_be_written: bool = False


@valueclass.define
class WriteBatch:
    """Asks the writer to append encoded frames."""

    data: bytes


@valueclass.define
class WriteResult:
    """Reports the result of a write to the appender.

    ``offset`` is the offset in the log, None if the write failed with
    ``error``.
    """

    offset: int | None
    error: errors.LogUnavailable | None


@valueclass.define
class AppenderDump:
    """Queue size and counters since the start of the process."""

    queued: int
    queued_bytes: int
    sending: int
    refused: int
    obsolete: int
    retried: int


class Writer(actor.Actor):
    """Owns the connection for appends and writes one batch at a time."""

    name = 'writer'

    def __init__(self, client: loghttp.LogClient, owner: actor.Actor):
        super().__init__()
        self._client = client
        self._owner = owner

    async def handle(self, message):
        """Handle one message."""
        match message:
            case WriteBatch(data=data):
                try:
                    result = WriteResult(await self._client.append(data), None)
                except errors.LogUnavailable as error:
                    result = WriteResult(None, error)
                self._owner.publish(result)


class Appender(actor.Actor):
    """Queues records and appends them in order, one batch at a time.

    An Append is answered with the offset of its record; a Propose gets no
    reply.

    Every record is a compare-and-set, so it is safe to retry a batch after a
    failure or a lost reply until the log accepts it. A proposal that would no
    longer change the folded state is dropped. The offset returned for an
    Append is that of the attempt whose reply arrived; an earlier attempt may
    already have taken effect.
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
        # Proposals queued or in flight; duplicates of them are not queued.
        self._proposed = set()
        self._sending = []
        self._retry_s = MIN_RETRY_PAUSE_S
        self._retry_at = float('-inf')
        self.refused = 0
        self.obsolete = 0
        self.retried = 0

    async def ask(self, message):
        """Append a record and return its offset in the log.

        Raises InboxFull if the queue is full, LogUnavailable if the record
        was not written in time, and AppendOutcomeUnknown if it may have been
        written.
        """
        answer = await super().ask(message)
        return await answer if isinstance(answer, asyncio.Future) else answer

    def dump(self) -> AppenderDump:
        """Return the queue size and the counters."""
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
            for entry in [*self._sending, *self._queue]:
                self._fail_append(
                    entry, errors.TaskStopped('appender has stopped')
                )

    async def handle(self, message):
        """Handle one message."""
        match message:
            case journaling.StateChanged(state=current):
                self._state = current
            case journaling.Append(record=record):
                return self._queue_append(record)
            case journaling.Propose(record=record):
                self._queue_proposal(record)
            case WriteResult():
                self._handle_result(message)
        self._send_batch()

    async def tick(self) -> None:
        """Fail expired appends and retry the batch when it is due."""
        now = clock.read_boot_clock()
        for entry in list(self._queue):
            if entry.expires <= now:
                self._remove(entry)
                self._fail_append(entry, self._build_timeout_error(entry))
        self._send_batch()

    def _queue_append(self, record) -> asyncio.Future:
        pending = self._encode(record)
        if not self._has_room(pending):
            self.refused += 1
            raise errors.InboxFull('appender queue is full; retry later')
        pending.reply = asyncio.get_running_loop().create_future()
        pending.expires = clock.read_boot_clock() + APPEND_TIMEOUT_S
        self._enqueue(pending)
        self._send_batch()
        return pending.reply

    def _queue_proposal(self, record) -> None:
        if record in self._proposed:
            return
        pending = self._encode(record)
        if not self._has_room(pending):
            self.refused += 1
            return
        self._proposed.add(record)
        self._enqueue(pending)

    def _encode(self, record) -> Pending:
        frame = recordcodec.encode_frame(uuid.uuid4().hex, record)
        return Pending(record, frame)

    def _has_room(self, pending) -> bool:
        total = self._queued_bytes + len(pending.frame)
        return len(self._queue) < MAX_QUEUED and total <= MAX_QUEUED_BYTES

    def _enqueue(self, pending) -> None:
        self._queue.append(pending)
        self._queued_bytes += len(pending.frame)

    def _remove(self, pending) -> None:
        self._queue.remove(pending)
        self._queued_bytes -= len(pending.frame)

    def _send_batch(self) -> None:
        if self._sending or clock.read_boot_clock() < self._retry_at:
            return
        batch = self._take_batch()
        if batch:
            self._sending = batch
            frames = tuple(entry.frame for entry in batch)
            self._writer.tell(WriteBatch(recordcodec.join_frames(frames)))

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
                # fold.is_needed would drop parts other than the first: they
                # change the state only after the first is folded.
                return covers > self._state.checkpoint_offset
            case _:
                return fold.is_needed(self._state, pending.record)

    def _handle_result(self, result) -> None:
        batch, self._sending = self._sending, []
        if result.error is None:
            self._retry_s = MIN_RETRY_PAUSE_S
            self._retry_at = float('-inf')
            for entry in batch:
                self._proposed.discard(entry.record)
                if entry.reply is not None and not entry.reply.done():
                    entry.reply.set_result(result.offset)
            return
        eliot.log_message('journal: append failed', reason=str(result.error))
        self.retried += 1
        is_unknown = isinstance(result.error, errors.AppendOutcomeUnknown)
        for entry in reversed(batch):
            entry.may_be_written |= is_unknown
            self._queue.appendleft(entry)
            self._queued_bytes += len(entry.frame)
        # Jitter keeps the nodes from retrying all at once after an outage.
        wait = self._retry_s * (0.5 + 0.5 * self._jitter())
        self._retry_at = clock.read_boot_clock() + wait
        self._retry_s = min(2 * self._retry_s, MAX_RETRY_PAUSE_S)

    def _build_timeout_error(self, pending) -> errors.LogUnavailable:
        if pending.may_be_written:
            return errors.AppendOutcomeUnknown(
                'log gave no usable reply to an append; read the log to '
                'learn whether it took effect'
            )
        return errors.LogUnavailable(
            'log took no record in time; retry when it is back'
        )

    def _fail_append(self, pending, error) -> None:
        if pending.reply is not None and not pending.reply.done():
            pending.reply.set_exception(error)
