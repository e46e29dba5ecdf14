"""Stand-in for the platform's store: keyed topics of one partition each."""

import asyncio
import base64
import bisect
import collections
import struct
import time

from aiohttp import web

# Length of an encoded record in bytes, sent before the record.
LENGTH = struct.Struct('>I')
# Offsets of the next and of the first record of a topic.
POSITIONS = struct.Struct('>QQ')


class Topic:
    """Records of one topic, and the newest record of each key.

    ``newest`` holds (offset, value) by key.
    """

    def __init__(self):
        self.records = []
        self.first_offset = 0
        self.newest = {}
        # When each record came, and the newest ones before them.
        self._times = []
        self._newest_before = {}

    @property
    def end(self) -> int:
        """Return the offset of the next record."""
        return self.first_offset + len(self.records)

    def append(self, content: bytes) -> None:
        """Append an encoded record; an empty value removes the key."""
        key = content[1 : 1 + content[0]].decode()
        value = content[1 + content[0] :]
        if value:
            self.newest[key] = (self.end, value)
        else:
            self.newest.pop(key, None)
        self.records.append(content)
        self._times.append(time.monotonic())

    def drop_records(self) -> None:
        """Drop all records; the newest of each key can still be listed."""
        self.first_offset, self.records = self.end, []
        self._times, self._newest_before = [], dict(self.newest)

    def go_back(self, until: float) -> None:
        """Forget the records that came later than a monotonic time."""
        count = bisect.bisect_right(self._times, until)
        kept, times = self.records[:count], self._times[:count]
        self.records, self.newest = [], dict(self._newest_before)
        for content in kept:
            self.append(content)
        self._times = times


class Store:
    """Answers calls of nodes to the store, with injectable faults.

    While ``silent`` is set no call is answered. Callers named in
    ``rejected_callers`` get 503, and their pending calls are aborted;
    ``callers_by_address`` maps the local address of a connection to the
    caller's name. The next ``lose_replies`` appends take effect but get no
    reply. Answers name the ``era`` unless it is None. While ``away`` is set,
    connections are closed without an answer. Reads of a topic by a caller
    get no answer while (caller, topic) is in ``withheld``.
    """

    def __init__(self):
        self.topics = collections.defaultdict(Topic)
        self.silent = False
        self.rejected_callers = set()
        self.callers_by_address = {}
        self.lose_replies = 0
        self.era = None
        self.away = False
        self.withheld = set()
        self.calls = collections.Counter()
        self._changed = asyncio.Condition()

    def build_server(self) -> web.Server:
        """Return the aiohttp server."""
        return web.Server(self.handle, access_log=None)

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a record without an HTTP call."""
        await self._append(topic, (encode_record(key, value),))

    async def drill(self, age_s: float, away_s: float) -> None:
        """Come back after ``away_s`` from a copy that was ``age_s`` old.

        The offsets of forgotten records are given out again.
        """
        until = time.monotonic() - age_s
        self.away = True
        await asyncio.sleep(away_s)
        async with self._changed:
            for topic in self.topics.values():
                topic.go_back(until)
            self.era += 1
            self.away = False
            self._changed.notify_all()

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Answer one call."""
        self.calls[request.path] += 1
        topic = request.query.get('topic')
        if self.silent or (self._find_caller(request), topic) in self.withheld:
            await asyncio.sleep(3600)
        era = self.era
        if self._is_rejected(request):
            reply = web.Response(status=503)
        else:
            reply = await self._dispatch(request)
        # Calls under way end with the connection when the store goes away.
        is_ended = self.away or era != self.era
        if (self._is_rejected(request) or is_ended) and request.transport:
            request.transport.abort()
        if era is not None:
            reply.headers['Store-Era'] = str(era)
        return reply

    def _find_caller(self, request) -> str | None:
        host = (
            request.transport
            and request.transport.get_extra_info('sockname')[0]
        )
        return self.callers_by_address.get(host)

    def _is_rejected(self, request) -> bool:
        rejected = self._find_caller(request) in self.rejected_callers
        self.calls['rejected'] += rejected
        return rejected

    async def _dispatch(self, request):
        handlers = {
            '/log-append': self._handle_append,
            '/log-read': self._handle_read,
            '/log-newest': self._handle_newest,
        }
        return await handlers[request.path](request)

    async def _handle_append(self, request):
        topic = self.topics[request.query['topic']]
        body = await request.read()
        if 'asOf' in request.query and int(request.query['asOf']) != topic.end:
            return web.json_response({'end': topic.end}, status=412)
        offset = topic.end
        records, position = [], 0
        while position < len(body):
            (size,) = LENGTH.unpack_from(body, position)
            records.append(body[position + 4 : position + 4 + size])
            position += 4 + size
        await self._append(request.query['topic'], records)
        if self.lose_replies:
            self.lose_replies -= 1
            await asyncio.sleep(3600)
        return web.json_response({'offset': offset, 'end': topic.end})

    async def _append(self, topic_name, records):
        async with self._changed:
            for content in records:
                self.topics[topic_name].append(content)
            self._changed.notify_all()

    async def _handle_read(self, request):
        topic = self.topics[request.query['topic']]
        offset = int(request.query['from'])
        wait_s = int(request.query.get('waitMs', 0)) / 1000
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(lambda: topic.end > offset)
        except TimeoutError:
            pass
        if offset < topic.first_offset or offset > topic.end:
            return web.json_response({'first': topic.first_offset}, status=410)
        body = POSITIONS.pack(topic.end, topic.first_offset)
        for content in topic.records[offset - topic.first_offset :]:
            body += LENGTH.pack(len(content)) + content
        return web.Response(body=body)

    async def _handle_newest(self, request):
        topic = self.topics[request.query['topic']]
        items = [
            {
                'key': key,
                'offset': offset,
                'value': base64.b64encode(value).decode(),
            }
            for key, (offset, value) in topic.newest.items()
        ]
        return web.json_response(
            {'items': items, 'hasMore': False, 'end': topic.end}
        )


def encode_record(key: str, value: bytes) -> bytes:
    """Return an encoded record: length of the key, key, value."""
    key_bytes = key.encode()
    return bytes((len(key_bytes),)) + key_bytes + value
