"""HTTP client with one pool of connections for each address."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import socket

import aiohttp
import yarl

from sesamejunction.border import httpconnector
from sesamejunction.commands import uploads
from sesamejunction import errors
from sesamejunction.model import requests
from sesamejunction.model import timing

# Connections to one address; targets take about 120.
CONNECTIONS = 120
# A connection takes about 1 ms; this bounds the wait for a free or new one.
CONNECT_TIMEOUT_S = 0.5
IDLE_S = 15.0
# Body of one answer. It is streamed, so this bounds time and not memory: four
# times the largest body that a node takes from callers by default.
MAX_ANSWER_BYTES = 1 << 32
# Misses in a row after which idle connections are taken for silent.
STALE_MISSES = 2
# Pools to addresses that were not used for this time are closed.
POOL_IDLE_S = 120.0
REQUEST_ID = 'SJ-Request-Id'
# Successes that have no body and so no length.
BODILESS = frozenset((204, 205))
HOP_BY_HOP = frozenset(
    (
        'connection',
        'host',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
# The one field of this prefix that a target may set: its name, for traces.
TARGET_NAME = 'sj-target'
NO_AUTO_HEADERS = ('User-Agent', 'Accept', 'Accept-Encoding', 'Content-Type')


def make_socket(info) -> socket.socket:
    """Return a socket that fails when sent data is not acknowledged."""
    family, kind, proto, _, _ = info
    made = socket.socket(family, kind, proto)
    made.setblocking(False)
    set_user_timeout(made)
    return made


def bind_listener(host: str, port: int) -> socket.socket:
    """Return a bound socket whose connections have the same timeout."""
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    made = socket.socket(family, socket.SOCK_STREAM)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    set_user_timeout(made)
    made.bind((host, port))
    made.setblocking(False)
    return made


def set_user_timeout(one: socket.socket) -> None:
    """Set TCP_USER_TIMEOUT; sockets accepted by a listener inherit it."""
    one.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timing.TCP_USER_TIMEOUT_MS
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A reply as it came; closing ``resources`` ends its use."""

    status: int
    fields: collections.abc.Mapping[str, str]
    chunks: collections.abc.AsyncIterator[bytes]
    resources: contextlib.AsyncExitStack

    def pass_on(self, load=None) -> requests.Answer:
        """Return the answer with the end-to-end fields only."""
        return requests.Answer(
            self.status,
            keep_end_to_end(self.fields.items()),
            self.chunks,
            self.resources,
            load,
        )


async def prevent_resend(request, handler):
    """Client middleware that keeps aiohttp from sending a request again.

    aiohttp repeats GET, PUT and DELETE by itself when a connection breaks,
    which could run a request twice. Raises PeerLost instead of the errors
    after which it does.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise errors.PeerConnectionLost(
            f'{request.url.authority} broke the connection; it may have run'
        ) from error


class Pool:
    """Connections to one address, closed when retired and not in use."""

    def __init__(self, now: float):
        self.session = aiohttp.ClientSession(
            connector=httpconnector.Connector(
                limit=CONNECTIONS,
                keepalive_timeout=IDLE_S,
                socket_factory=make_socket,
            ),
            # A shared jar would send one caller's cookies with another's
            # request.
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=NO_AUTO_HEADERS,
            middlewares=(prevent_resend,),
            timeout=aiohttp.ClientTimeout(connect=CONNECT_TIMEOUT_S),
        )
        self.used_at = now
        self.misses = 0
        self.users = 0
        self.retired = False

    async def finish(self, reply: aiohttp.ClientResponse) -> None:
        """Cut a reply that was not read to its end, and end its use."""
        reply.close()
        await self.leave()

    async def leave(self) -> None:
        """End one use; the last one closes a retired pool."""
        self.users -= 1
        if self.retired and self.users == 0:
            await self.session.close()


class HttpClient:
    """Sends requests over pooled connections and streams the answers."""

    def __init__(self):
        self._pools = {}
        self._swept_at = 0.0

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_exc):
        for pool in list(self._pools.values()):
            await pool.session.close()

    async def send(
        self,
        address: str,
        head: requests.Head,
        path: str,
        fields: dict[str, str],
        upload: uploads.Upload,
        timeout_s: float,
    ) -> Reply:
        """Send a request and return the reply's head and stream.

        ``timeout_s`` bounds the time to the head of the answer. Raises
        PeerUnavailable when no connection was made, so that nothing ran,
        and PeerLost when the answer is missing or not for this request.
        """
        pool = await self._enter_pool(address)
        try:
            reply = await self._exchange(
                pool, address, head, path, fields, upload, timeout_s
            )
        except BaseException:
            await pool.leave()
            raise
        resources = contextlib.AsyncExitStack()
        resources.push_async_callback(pool.finish, reply)
        if not matches_attempt(reply.headers, head) or is_cut_head(reply):
            await resources.aclose()
            raise errors.PeerConnectionLost(
                f'{address} answered another request, or not whole; '
                'connection closed'
            )
        pool.misses = 0
        return Reply(
            reply.status,
            reply.headers,
            self._read_chunks(pool, reply),
            resources,
        )

    async def post(self, address: str, path: str) -> None:
        """Post without a body and wait for the end of the reply."""
        pool = await self._enter_pool(address)
        try:
            async with pool.session.post(f'http://{address}{path}') as reply:
                await reply.read()
        finally:
            await pool.leave()

    async def _exchange(
        self, pool, address, head, path, fields, upload, timeout_s
    ) -> aiohttp.ClientResponse:
        if upload.size is not None and upload.is_streamed:
            fields['Content-Length'] = str(upload.size)
        try:
            async with asyncio.timeout(timeout_s) as limit:
                body = upload.open()
                if upload.is_streamed:
                    body = watch_upload(body, limit)
                return await pool.session.request(
                    head.method,
                    yarl.URL(f'http://{address}{path}', encoded=True),
                    headers=fields,
                    data=body,
                    allow_redirects=False,
                )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            self._count_miss(address, pool)
            raise errors.PeerUnavailable(
                f'no connection to {address}; nothing ran'
            ) from error
        except errors.PeerConnectionLost:
            self._count_miss(address, pool)
            raise
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self._count_miss(address, pool)
            raise errors.PeerConnectionLost(
                f'no answer from {address}; it may have run'
            ) from error

    async def _read_chunks(self, pool, reply):
        """Yield the body; raises PeerLost after 1 s without a byte."""
        content, left = reply.content, MAX_ANSWER_BYTES
        try:
            while not content.at_eof():
                chunk = content.read_nowait()
                if not chunk:
                    async with asyncio.timeout(timing.PROGRESS_TIMEOUT_S):
                        chunk = await content.readany()
                left -= len(chunk)
                if left < 0:
                    raise errors.PeerConnectionLost('the answer does not end')
                if chunk:
                    yield chunk
            if left == MAX_ANSWER_BYTES and is_success_until_close(reply):
                raise errors.PeerConnectionLost(
                    'the answer was cut before its body'
                )
            if content.exception() is not None:
                raise content.exception()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            pool.misses += 1
            raise errors.PeerConnectionLost('the answer was cut') from error
        # Read to its end, so the connection can be used again.
        reply.release()

    async def _enter_pool(self, address: str) -> Pool:
        now = asyncio.get_running_loop().time()
        if now - self._swept_at > POOL_IDLE_S:
            await self._sweep(now)
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = Pool(now)
        pool.used_at = now
        pool.users += 1
        return pool

    async def _sweep(self, now) -> None:
        self._swept_at = now
        for address, pool in list(self._pools.items()):
            if not pool.users and now - pool.used_at > POOL_IDLE_S:
                del self._pools[address]
                await pool.session.close()

    def _count_miss(self, address, pool) -> None:
        """Drop the idle connections after two misses in a row.

        The pool is replaced; requests that still run on the old one finish
        there.
        """
        pool.misses += 1
        if pool.misses >= STALE_MISSES and not pool.retired:
            pool.retired = True
            self._pools.pop(address, None)


def matches_attempt(fields, head: requests.Head) -> bool:
    """Return whether the reply names the attempt that it answers."""
    return fields.get(REQUEST_ID) == head.request_id


def is_success_until_close(reply) -> bool:
    """Return whether only a close ends the success, which may be a cut."""
    return (
        200 <= reply.status < 300
        and reply.status not in BODILESS
        and reply.method != 'HEAD'
        and 'Content-Length' not in reply.headers
        and 'Transfer-Encoding' not in reply.headers
    )


def is_cut_head(reply) -> bool:
    """Return whether the head ends before a length or announced close."""
    said = reply.headers.get('Connection', '').lower()
    return is_success_until_close(reply) and 'close' not in said


async def watch_upload(chunks, limit: asyncio.Timeout):
    """Yield the chunks; moves the limit so that a stalled upload is cut."""
    loop = asyncio.get_running_loop()
    ends = limit.when()
    async for chunk in chunks:
        limit.reschedule(min(ends, loop.time() + timing.PROGRESS_TIMEOUT_S))
        yield chunk
        limit.reschedule(min(ends, loop.time() + timing.PROGRESS_TIMEOUT_S))
    limit.reschedule(ends)


def keep_end_to_end(items) -> tuple[tuple[str, str], ...]:
    """Return the fields of an answer that may be passed on.

    Fields of the router itself are dropped; a target must not set them.
    """
    return tuple(
        (name, value)
        for name, value in items
        if (lower := name.lower()) not in HOP_BY_HOP
        and (lower == TARGET_NAME or not lower.startswith('sj-'))
    )
