"""Actor that reads the log and owns the folded state."""

import asyncio
import collections
import time

import eliot

from sesamejunction.border import loghttp
from sesamejunction.border import recordcodec
from sesamejunction.decisions import checkpoints
from sesamejunction.decisions import fold
from sesamejunction import errors
from sesamejunction.model import journaling
from sesamejunction.model import operating
from sesamejunction.model import records
from sesamejunction.model import state
from sesamejunction.model import valueclass
from sesamejunction.queries import dumps
from sesamejunction.tasks import actor
from sesamejunction.tasks import clock
from sesamejunction.tasks import fetcher

# Long-poll limit. Each reply counts as contact with the log, and a node whose
# latest contact is more than 2 s old may have to refuse new requests.
READ_WAIT_S = 1.0
RETRY_S = 0.25
# Time that a read may take in addition to its wait.
MIN_READ_MARGIN_S = 2.0
MAX_READ_MARGIN_S = 16.0
# Size of the newest records that are kept for peers.
BUFFER_BYTES = 4 << 20
# Size of the records in one reply to a peer. A gRPC message may have 4 MB.
MAX_REPLY_BYTES = 1 << 20
# A peer is often ahead for the few milliseconds that a read takes, so the
# journal fetches from it only after this time.
BEHIND_GRACE_S = 0.5
# Longest time for which folding blocks the event loop.
MAX_FOLD_SLICE_S = 0.005


@valueclass.define
class PageRead:
    """Passes on a page of the log; the reply is the next offset to read."""

    page: loghttp.LogPage


class RecordBuffer:
    """The most recent encoded records, bounded by their total size."""

    def __init__(self, limit_bytes: int = BUFFER_BYTES):
        self._limit = limit_bytes
        self._data = collections.deque()
        self._size = 0
        self._next = 0

    def add(self, offset: int, data: bytes) -> None:
        """Add the record at an offset; a gap discards all older ones."""
        if offset != self._next:
            self._data.clear()
            self._size = 0
        self._data.append(data)
        self._next = offset + 1
        self._size += len(data)
        while self._size > self._limit:
            self._size -= len(self._data.popleft())

    def read(self, offset: int, limit: int) -> journaling.Records:
        """Return up to ``limit`` records, none if the offset is not kept."""
        first = self._next - len(self._data)
        chosen = []
        size = 0
        if first <= offset < self._next:
            for index in range(offset - first, len(self._data)):
                size += len(self._data[index])
                if chosen and (size > MAX_REPLY_BYTES or len(chosen) >= limit):
                    break
                chosen.append(self._data[index])
        return journaling.Records(offset, tuple(chosen))


class Journal(actor.Actor):
    """Folds the log into a State and publishes each new state.

    Records are fetched from ``peers`` while the log is unavailable;
    ``watchers`` get an OldestOffsetChanged when the oldest record of the log
    changes.
    """

    name = 'journal'

    def __init__(
        self,
        client: loghttp.LogClient,
        subscribers,
        peers: fetcher.PeerPort | None = None,
        watchers=(),
    ):
        super().__init__()
        self._client = client
        self._subscribers = subscribers
        self._watchers = watchers
        self._fetcher = fetcher.Fetcher(peers, self) if peers else None
        self._fetching = False
        self._state = state.State()
        self._buffer = RecordBuffer()
        self._contact_at = float('-inf')
        self._behind_since = None
        self._oldest = 0
        self._assembler = None
        self._scan_offset = 0
        self._snapshot = None

    async def run(self) -> None:
        """Handle messages until cancelled."""
        if self._fetcher is None:
            return await super().run()
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._fetcher.run())
            tasks.create_task(super().run())

    async def handle(self, message):
        """Handle one message."""
        match message:
            case PageRead(page=page):
                return await self._handle_page(page)
            case journaling.GetState():
                return self._state
            case journaling.GetLogContactTime():
                return self._contact_at
            case journaling.GetRecords(offset=offset, limit=limit):
                return self._buffer.read(offset, limit)
            case journaling.GetSnapshot():
                return await self._encode_snapshot()
            case journaling.PeerOffset():
                self._fetch_if_behind(message)
            case fetcher.Fetched(result=result):
                self._fetching = False
                await self._handle_fetched(result)

    def dump(self) -> operating.JournalDump:
        """Return a summary of the folded state."""
        age = clock.read_boot_clock() - self._contact_at
        return dumps.summarise_state(self._state, age)

    async def follow(self) -> None:
        """Read the log from its start until cancelled."""
        offset = 0
        margin_s = MIN_READ_MARGIN_S
        while True:
            started = clock.read_boot_clock()
            try:
                page = await self._client.read(
                    offset, READ_WAIT_S, margin_s=margin_s
                )
            except errors.LogUnavailable:
                # A slow log needs a longer timeout, but the timeout starts
                # short so that a dead connection is noticed soon.
                margin_s = min(2 * margin_s, MAX_READ_MARGIN_S)
                await asyncio.sleep(RETRY_S)
                continue
            duration_s = clock.read_boot_clock() - started
            if duration_s < READ_WAIT_S + MIN_READ_MARGIN_S / 2:
                margin_s = MIN_READ_MARGIN_S
            offset = await self.ask(PageRead(page))

    async def _handle_page(self, page) -> int:
        applied = self._state.offset
        gap = checkpoints.find_gap(applied, page.oldest, page.next)
        if gap is checkpoints.Gap.LOG_BEHIND:
            eliot.log_message(
                'journal: the log has lost records',
                applied=applied,
                next=page.next,
            )
            return applied
        self._contact_at = clock.read_boot_clock()
        self._publish_oldest(page.oldest)
        if gap is checkpoints.Gap.LOST:
            return await self._search_checkpoint(page)
        self._assembler = None
        self._behind_since = None
        await self._fold_entries(
            (entry.offset, entry.data) for entry in page.records
        )
        return self._state.offset

    def _publish_oldest(self, oldest) -> None:
        if oldest != self._oldest:
            self._oldest = oldest
            for watcher in self._watchers:
                watcher.publish(journaling.OldestOffsetChanged(oldest))

    async def _search_checkpoint(self, page) -> int:
        """Search for a checkpoint after a retention gap; fold nothing."""
        if self._assembler is None:
            eliot.log_message(
                'journal: retention gap',
                applied=self._state.offset,
                oldest=page.oldest,
            )
            self._assembler = checkpoints.Assembler()
            self._scan_offset = page.oldest
        for entry in page.records:
            if entry.offset != max(self._scan_offset, page.oldest):
                continue
            self._scan_offset = entry.offset + 1
            for record in _decode_records(entry.data):
                if not isinstance(record, records.CheckpointPart):
                    continue
                complete = self._assembler.add(record)
                if complete is not None and self._adopt(
                    complete.covers, complete.data
                ):
                    self._assembler = None
                    return self._state.offset
        return max(self._scan_offset, page.oldest)

    def _adopt(self, covers, data) -> bool:
        applied = self._state.offset
        if not checkpoints.may_adopt(applied, self._oldest, covers):
            return False
        try:
            adopted = recordcodec.decode_state(data)
        except errors.CodecError as error:
            eliot.log_message('journal: invalid checkpoint', reason=str(error))
            return False
        if adopted.offset != covers:
            return False
        eliot.log_message('journal: adopted a state', covers=covers)
        self._replace_state(adopted)
        return True

    async def _fold_entries(self, entries) -> None:
        before = self._state
        current = before
        started = time.perf_counter()
        for offset, data in entries:
            if offset != current.offset:
                continue
            current = fold.apply_batch(current, offset, _decode_records(data))
            self._buffer.add(offset, data)
            if time.perf_counter() - started > MAX_FOLD_SLICE_S:
                await asyncio.sleep(0)
                started = time.perf_counter()
        if current is not before:
            self._replace_state(current)

    def _replace_state(self, new) -> None:
        self._state = new
        for subscriber in self._subscribers:
            subscriber.publish(journaling.StateChanged(new))

    def _fetch_if_behind(self, peer) -> None:
        if peer.offset <= self._state.offset:
            return
        now = clock.read_boot_clock()
        if self._behind_since is None:
            self._behind_since = now
        if now - self._behind_since < BEHIND_GRACE_S:
            return
        if self._fetcher is None or self._fetching:
            return
        member = self._state.members.get(peer.member)
        if member is not None:
            self._fetching = True
            self._fetcher.tell(fetcher.Fetch(member, self._state.offset))

    async def _handle_fetched(self, result) -> None:
        match result:
            case journaling.Records(first=first, data=data):
                await self._fold_entries(enumerate(data, first))
            case journaling.Snapshot(covers=covers, data=data):
                # Unlike a checkpoint, a snapshot may precede the log's oldest
                # record; it only has to be newer than the folded state.
                if covers > self._state.offset:
                    self._adopt_snapshot(covers, data)

    def _adopt_snapshot(self, covers, data) -> None:
        try:
            adopted = recordcodec.decode_state(data)
        except errors.CodecError as error:
            eliot.log_message('journal: invalid snapshot', reason=str(error))
            return
        if adopted.offset == covers:
            eliot.log_message('journal: took a snapshot', covers=covers)
            self._replace_state(adopted)

    async def _encode_snapshot(self) -> journaling.Snapshot:
        current = self._state
        if self._snapshot is None or self._snapshot.covers != current.offset:
            # In a thread, since compressing the state of a large fleet takes
            # long enough to delay requests.
            data = await asyncio.to_thread(recordcodec.encode_state, current)
            self._snapshot = journaling.Snapshot(current.offset, data)
        return self._snapshot


def _decode_records(data) -> tuple[records.Record | None, ...]:
    try:
        entries = recordcodec.decode_records(data)
        if any(entry.record is None for entry in entries):
            eliot.log_message('journal: ignored a record of unknown kind')
        return tuple(entry.record for entry in entries)
    except errors.CodecError as error:
        eliot.log_message('journal: invalid record', reason=str(error))
        return ()
