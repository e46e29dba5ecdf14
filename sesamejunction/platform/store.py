"""Client of the platform's store, which keeps the newest value per key."""

import asyncio
import base64
import contextlib
import dataclasses
import struct
import urllib.parse

import aiohttp
import msgspec

from sesamejunction.border import eraview
from sesamejunction import errors
from sesamejunction.model import registry

# Longest gap without a byte of an answer, in addition to the requested wait; a
# slow store takes 0.4 s.
CALL_TIMEOUT_S = 1.5
# Longest time from the first to the last byte of an answer, so that a trickle
# cannot hold a read forever: 250,000 bytes, a configuration of 1,560 routes,
# take this long at a twentieth of the slowest network line, 5 Mbit/s.
MAX_ANSWER_S = 8.0
# Connecting takes a few milliseconds on an idle line. On a saturated one it
# waits behind other traffic, so each consecutive failure doubles the timeout.
CONNECT_TIMEOUT_S = 0.5
MAX_CONNECT_TIMEOUT_S = 2.0
# Longer numbers are no eras.
MAX_ERA_DIGITS = 10
# Of an answer that is an error, this much is quoted in log lines.
MAX_REASON_BYTES = 200
# Answers to an append that the store will give to the same record again.
REJECTED_STATUSES = (400, 413)
LENGTH = struct.Struct('>I')
POSITIONS = struct.Struct('>QQ')
CONNECT_ERRORS = (aiohttp.ConnectionTimeoutError, aiohttp.ClientConnectorError)
# Every answer names the era of the store in this header, if the store has any.
ERA_HEADER = 'Store-Era'
OPERATOR_TOPIC = 'keyed.op'
FLEET_TOPIC = 'keyed.sesamejunction'


class NewestItem(msgspec.Struct):
    """One record of log-newest; the value is base64."""

    key: str
    offset: int
    value: str = ''


class NewestPage(msgspec.Struct):
    """Answer of log-newest."""

    end: int
    items: list[NewestItem] = []
    hasMore: bool = False  # noqa: N815


class Appended(msgspec.Struct):
    """Answer of log-append."""

    offset: int


def parse_era(text: str | None) -> int | None:
    """Return the eras before that of a header, None without a header.

    Raises EraUnreadable unless the header is a whole number in range.
    """
    if text is None:
        return None
    is_number = text.isascii() and text.isdigit()
    if is_number and len(text) <= MAX_ERA_DIGITS:
        era = int(text) - registry.FIRST_ERA
        if 0 <= era <= registry.MAX_ERA:
            return era
    raise errors.EraUnreadable(
        f'{ERA_HEADER} is {text[:MAX_REASON_BYTES]!r}, not a whole number up '
        f'to {registry.MAX_ERA}; check the store and what is in between'
    )


class Store(contextlib.AsyncExitStack):
    """HTTP connections to the store.

    ``count`` is called with the outcome of each call. ``eras`` is the view of
    the store's era that all clients of this process share.
    """

    def __init__(self, address: str, count, eras=None):
        super().__init__()
        self._count = count
        self.eras = eras or eraview.EraView()
        self._base_url = f'http://{address}'
        self._session = None
        self._connect_s = CONNECT_TIMEOUT_S
        # Body bytes of all answers with status 200; also increases while an
        # answer arrives.
        self.received = 0

    async def __aenter__(self):
        await super().__aenter__()
        self._open()
        self.push_async_callback(self._close)
        return self

    def _open(self):
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=30),
            auto_decompress=False,
        )

    async def _close(self):
        await self._session.close()

    async def reconnect(self) -> None:
        """Replace all connections; calls that use them fail."""
        old = self._session
        self._open()
        await old.close()

    async def call(
        self, method: str, path: str, limit_s: float, query, data=None
    ) -> tuple[int, bytes]:
        """Return the status and the body of an answer.

        The head may take ``limit_s``, each further part CALL_TIMEOUT_S, and
        the body MAX_ANSWER_S in all. Raises AppendOutcomeUnknown, which is a
        LogUnavailable, without a complete answer.
        """
        url = f'{self._base_url}{path}?{urllib.parse.urlencode(query)}'
        extra_s = self._connect_s - CONNECT_TIMEOUT_S
        try:
            async with (
                asyncio.timeout(limit_s + extra_s) as limit,
                self._session.request(
                    method, url, data=data, timeout=self._build_timeout()
                ) as reply,
            ):
                self._connect_s = CONNECT_TIMEOUT_S
                self._check_era(reply.headers.get(ERA_HEADER), path)
                body = await self._read_body(reply, limit)
                self._check_era(reply.headers.get(ERA_HEADER), path)
                self._count(str(reply.status))
                return reply.status, body
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self._count('lost')
            if isinstance(error, CONNECT_ERRORS):
                self._connect_s = min(
                    MAX_CONNECT_TIMEOUT_S, 2 * self._connect_s
                )
            raise errors.AppendOutcomeUnknown(
                f'no answer from the store to {path} ({error!r}); check its '
                f'address and the network'
            ) from error

    def _check_era(self, header, path) -> None:
        """Learn the era of an answer.

        Raises AppendOutcomeUnknown for an answer of an earlier era, which has
        come late, and EraUnreadable.
        """
        try:
            era = parse_era(header)
        except errors.EraUnreadable as error:
            self._count('era-unreadable')
            self.eras.note_unreadable(str(error))
            raise
        if self.eras.learn(era or 0, 'an answer of the store'):
            return
        self._count('late')
        self.eras.note_late(path)
        raise errors.AppendOutcomeUnknown(
            f'the answer of the store to {path} is of an earlier era; read '
            f'the newest records'
        )

    def _build_timeout(self) -> aiohttp.ClientTimeout:
        return aiohttp.ClientTimeout(total=None, sock_connect=self._connect_s)

    async def _read_body(self, reply, limit) -> bytes:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + MAX_ANSWER_S
        chunks = []
        limit.reschedule(min(deadline, loop.time() + CALL_TIMEOUT_S))
        async for chunk in reply.content.iter_any():
            limit.reschedule(min(deadline, loop.time() + CALL_TIMEOUT_S))
            if reply.status == 200:
                self.received += len(chunk)
            chunks.append(chunk)
        return b''.join(chunks)


class Topic:
    """One keyed topic of the store.

    Offsets and ends are packed positions: those of the store in its first
    era, and above all earlier ones in each later era.
    """

    def __init__(self, store: Store, name: str):
        self._store = store
        self.name = name

    @property
    def received(self) -> int:
        """Return the bytes that the store has sent for all its topics."""
        return self._store.received

    async def read_newest(self) -> registry.TopicCopy:
        """Return the newest record of each key.

        The topic may grow between two pages. The copy has the smallest end of
        all pages, so that reading on from there misses no record. Raises
        LogUnavailable.
        """
        items, end, after = {}, None, None
        era = None
        while True:
            query = {'topic': self.name, 'part': 0}
            if after is not None:
                query['after'] = after
            status, body = await self._store.call(
                'GET', '/log-newest', CALL_TIMEOUT_S, query
            )
            era = self._check_same_era(era)
            page = self._decode(status, body, NewestPage)
            for item in page.items:
                items[item.key] = registry.TopicItem(
                    pack_offset(era, item.offset),
                    base64.b64decode(item.value),
                )
                after = item.key
            page_end = pack_offset(era, page.end)
            end = page_end if end is None else min(end, page_end)
            if not page.hasMore or not page.items:
                return registry.TopicCopy(end, items)

    async def read(self, offset: int, wait_s: float) -> registry.TopicBatch:
        """Return the records from an offset; waits up to ``wait_s`` for one.

        Raises RetentionGap when the offset is no longer kept or of an earlier
        era, otherwise LogUnavailable.
        """
        position = registry.Position.unpack(offset)
        era = registry.find_era(offset)
        if era != self._store.eras.current:
            raise errors.RetentionGap(
                f'offset {position.offset} of {self.name} is of era '
                f'{position.era}; read the newest records'
            )
        status, body = await self._store.call(
            'GET',
            '/log-read',
            wait_s + CALL_TIMEOUT_S,
            {
                'topic': self.name,
                'part': 0,
                'from': position.offset,
                'waitMs': int(wait_s * 1000),
            },
        )
        if status == 410:
            raise errors.RetentionGap(
                f'{self.name} no longer keeps offset {offset}; read the '
                f'newest records'
            )
        self._check_same_era(era, errors.RetentionGap)
        self._raise_for_status(status, body)
        batch = decode_records(body)
        return dataclasses.replace(batch, end=pack_offset(era, batch.end))

    async def append(self, entry, end=None) -> int:
        """Append a record and return its offset.

        With ``end``, raises AppendConflict unless the topic ends there. Raises
        AppendOutcomeUnknown when the answer is missing, otherwise
        LogUnavailable.
        """
        query = {'topic': self.name, 'part': 0}
        era = self._store.eras.current
        if end is not None:
            if registry.find_era(end) != era:
                raise errors.AppendConflict(
                    f'{self.name} is in a later era than {end}; read the '
                    f'newest records and retry'
                )
            query['asOf'] = registry.Position.unpack(end).offset
        status, body = await self._store.call(
            'POST', '/log-append', CALL_TIMEOUT_S, query, encode_entry(entry)
        )
        self._check_same_era(era)
        if status == 412:
            raise errors.AppendConflict(
                f'{self.name} does not end at {end}; read on and retry'
            )
        if status in REJECTED_STATUSES:
            raise errors.RecordRejected(
                f'the store answered {status} ({quote_reason(body)}) to a '
                f'record of {len(entry.value)} bytes; make it smaller'
            )
        return pack_offset(era, self._decode(status, body, Appended).offset)

    async def reconnect(self) -> None:
        """Replace open connections, which may be dead."""
        await self._store.reconnect()

    def _check_same_era(self, era, error=errors.AppendOutcomeUnknown) -> int:
        """Return the present era; raises the error if it is another."""
        current = self._store.eras.current
        if era not in (None, current):
            raise error(
                f'the store has come back from an older copy during a call '
                f'for {self.name}; read the newest records'
            )
        return current

    def _decode(self, status, body, kind):
        self._raise_for_status(status, body)
        try:
            return msgspec.json.decode(body, type=kind)
        except msgspec.MsgspecError as error:
            raise errors.LogUnavailable(
                f'unreadable answer of the store ({error}); check its version'
            ) from error

    def _raise_for_status(self, status, body):
        if status != 200:
            raise errors.LogUnavailable(
                f'the store answered {status} ({quote_reason(body)}); it may '
                f'be down or reject this instance'
            )


def pack_offset(era: int, offset: int) -> int:
    """Return the packed position of an offset; ``era`` counts from 0."""
    return registry.Position(era + registry.FIRST_ERA, offset).pack()


def quote_reason(body: bytes) -> str:
    """Return the begin of an answer that is an error, for a log line."""
    return body[:MAX_REASON_BYTES].decode('utf-8', 'replace')


def encode_entry(entry: registry.Entry) -> bytes:
    """Return the bytes of a record: its length, key and value."""
    key = entry.key.encode()
    content = bytes((len(key),)) + key + entry.value
    return LENGTH.pack(len(content)) + content


def decode_records(body: bytes) -> registry.TopicBatch:
    """Return the records of log-read; raises LogUnavailable if truncated."""
    entries = []
    try:
        end, _first = POSITIONS.unpack_from(body)
        position = POSITIONS.size
        while position < len(body):
            (size,) = LENGTH.unpack_from(body, position)
            content = body[
                position + LENGTH.size : position + LENGTH.size + size
            ]
            position += LENGTH.size + size
            value_start = 1 + content[0]
            entries.append(
                registry.Entry(
                    content[1:value_start].decode('utf-8', 'replace'),
                    content[value_start:],
                )
            )
    except (struct.error, IndexError) as error:
        raise errors.LogUnavailable(
            'the answer of the store is truncated; read again'
        ) from error
    return registry.TopicBatch(tuple(entries), end)
