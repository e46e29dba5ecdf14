"""Stand-in of the platform's store: keyed topics of one partition."""

import asyncio
import base64
import collections
import struct

from aiohttp import web

LENGTH = struct.Struct('>I')
POSITIONS = struct.Struct('>QQ')


class Topic:
    """Records of one topic, and the newest offset of each key."""

    def __init__(self):
        self.records = []
        self.first = 0
        self.newest = {}

    @property
    def end(self) -> int:
        """Return the offset of the next record."""
        return self.first + len(self.records)

    def append(self, content: bytes) -> None:
        """Append one record with key and value."""
        key = content[1 : 1 + content[0]].decode()
        value = content[1 + content[0] :]
        if value:
            self.newest[key] = (self.end, value)
        else:
            self.newest.pop(key, None)
        self.records.append(content)

    def drop_history(self) -> None:
        """Forget all records; the newest of each key stay."""
        self.first, self.records = self.end, []


class Store:
    """Answers the calls that the node makes.

    While ``silent`` is set no call is answered; the callers named in
    ``turned_away`` get no answer either. ``callers`` names them by the
    address at which they call. ``lose_replies`` loses so many answers to
    appends, after they took effect.
    """

    def __init__(self):
        self.topics = collections.defaultdict(Topic)
        self.silent = False
        self.turned_away = set()
        self.callers = {}
        self.lose_replies = 0
        self.calls = collections.Counter()
        self._changed = asyncio.Condition()

    def build_server(self) -> web.Server:
        """Return the aiohttp server."""
        return web.Server(self.handle, access_log=None)

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Write a record as the operator does."""
        await self._append(topic, (encode(key, value),))

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Answer one call."""
        self.calls[request.path] += 1
        if self.silent:
            await asyncio.sleep(3600)
        if self._is_turned_away(request):
            return web.Response(status=503)
        reply = await self._dispatch(request)
        if self._is_turned_away(request):
            request.transport.abort()
        return reply

    def _is_turned_away(self, request) -> bool:
        host = (
            request.transport
            and request.transport.get_extra_info('sockname')[0]
        )
        found = self.callers.get(host) in self.turned_away
        self.calls['turned away'] += found
        return found

    async def _dispatch(self, request):
        handlers = {
            '/log-append': self._take_append,
            '/log-read': self._read,
            '/log-newest': self._list_newest,
        }
        return await handlers[request.path](request)

    async def _take_append(self, request):
        topic = self.topics[request.query['topic']]
        body = await request.read()
        if 'asOf' in request.query and int(request.query['asOf']) != topic.end:
            return web.json_response({'end': topic.end}, status=412)
        offset = topic.end
        records, at = [], 0
        while at < len(body):
            (size,) = LENGTH.unpack_from(body, at)
            records.append(body[at + 4 : at + 4 + size])
            at += 4 + size
        await self._append(request.query['topic'], records)
        if self.lose_replies:
            self.lose_replies -= 1
            await asyncio.sleep(3600)
        return web.json_response({'offset': offset, 'end': topic.end})

    async def _append(self, name, records):
        async with self._changed:
            for content in records:
                self.topics[name].append(content)
            self._changed.notify_all()

    async def _read(self, request):
        topic = self.topics[request.query['topic']]
        offset = int(request.query['from'])
        wait_s = int(request.query.get('waitMs', 0)) / 1000
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(lambda: topic.end > offset)
        except TimeoutError:
            pass
        if offset < topic.first:
            return web.json_response({'first': topic.first}, status=410)
        body = POSITIONS.pack(topic.end, topic.first)
        for content in topic.records[offset - topic.first :]:
            body += LENGTH.pack(len(content)) + content
        return web.Response(body=body)

    async def _list_newest(self, request):
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


def encode(key: str, value: bytes) -> bytes:
    """Return the content of a record."""
    name = key.encode()
    return bytes((len(name),)) + name + value
