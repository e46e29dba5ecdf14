"""HTTP client with one connection pool for each address."""

import asyncio
import collections.abc
import contextlib
import socket

import aiohttp
import yarl

from sesamejunction.border import httpconnector
from sesamejunction.commands import uploads
from sesamejunction import errors
from sesamejunction.model import requests
from sesamejunction.model import timing
from sesamejunction.model import valueclass

# Limit for one address; a target accepts about 120 connections.
MAX_CONNECTIONS = 120
# Connecting takes about 1 ms; this limits the wait for a free or new
# connection.
CONNECT_TIMEOUT_S = 0.5
IDLE_TIMEOUT_S = 15.0
# Size limit of one answer body. The body is streamed, so this bounds time and
# not memory: four times the largest body that a node accepts from callers by
# default.
MAX_ANSWER_BYTES = 1 << 32
# Consecutive failures after which idle connections are considered dead.
MAX_CONSECUTIVE_FAILURES = 2
# A pool is closed after this time without a request.
POOL_IDLE_TIMEOUT_S = 120.0
REQUEST_ID = 'SJ-Request-Id'
# Success statuses without a body, and so without a length.
BODILESS_STATUSES = frozenset((204, 205))
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
# The only field with the sj- prefix that a target may set: its name, for
# traces.
TARGET_NAME_FIELD = 'sj-target'
# Fields that aiohttp would otherwise add to each request.
NO_AUTO_HEADERS = ('User-Agent', 'Accept', 'Accept-Encoding', 'Content-Type')


def make_socket(address_info) -> socket.socket:
    """Return a socket that fails if sent data stays unacknowledged."""
    family, kind, proto, _, _ = address_info
    sock = socket.socket(family, kind, proto)
    sock.setblocking(False)
    set_user_timeout(sock)
    return sock


def bind_listener(host: str, port: int) -> socket.socket:
    """Return a bound socket for callers and other nodes.

    It has no TCP_USER_TIMEOUT, which would reset the connections of callers
    that read slowly: the system counts the time in which their window is too
    small, also while they take bytes.
    """
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.setblocking(False)
    return sock


def set_user_timeout(connection: socket.socket) -> None:
    """Set TCP_USER_TIMEOUT, for connections whose peer always reads."""
    connection.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timing.TCP_USER_TIMEOUT_MS
    )


@valueclass.define
class Reply:
    """A reply as received; closing ``resources`` releases its connection."""

    status: int
    fields: collections.abc.Mapping[str, str]
    chunks: collections.abc.AsyncIterator[bytes]
    resources: contextlib.AsyncExitStack

    def to_answer(self, load=None) -> requests.Answer:
        """Return the answer with the end-to-end fields only."""
        return requests.Answer(
            self.status,
            filter_end_to_end(self.fields.items()),
            self.chunks,
            self.resources,
            load,
        )


async def prevent_resend(request, handler):
    """Client middleware that keeps aiohttp from sending a request again.

    aiohttp retries GET, PUT and DELETE by itself when a connection breaks,
    which could run a request twice. Raises PeerConnectionLost instead of the
    errors that trigger such a retry.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise errors.PeerConnectionLost(
            f'{request.url.authority} broke the connection; it may have run'
        ) from error


class ConnectionPool:
    """Connections to one address, closed when retired and unused.

    ``users`` is the number of exchanges in progress, ``failures`` that of
    consecutive failed exchanges, and ``used_at`` the loop time of the last
    request.
    """

    def __init__(self, now: float):
        self.session = aiohttp.ClientSession(
            connector=httpconnector.CheckedConnector(
                limit=MAX_CONNECTIONS,
                keepalive_timeout=IDLE_TIMEOUT_S,
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
        self.failures = 0
        self.users = 0
        self.retired = False

    async def finish_reply(self, reply: aiohttp.ClientResponse) -> None:
        """Close a reply and end its use of the pool; aborts an unread body."""
        reply.close()
        await self.leave()

    async def leave(self) -> None:
        """End one use of the pool; the last one closes a retired pool."""
        self.users -= 1
        if self.retired and self.users == 0:
            await self.session.close()


class HttpClient:
    """Sends requests over pooled connections and streams the answers."""

    def __init__(self):
        self._pools = {}
        self._last_sweep_at = 0.0

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

        ``timeout_s`` limits the time to the head of the answer. Raises
        PeerUnavailable when no connection was made, so that nothing ran, and
        PeerConnectionLost when the answer is missing or not for this request.
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
        resources.push_async_callback(pool.finish_reply, reply)
        if not matches_attempt(reply.headers, head) or is_truncated_head(
            reply
        ):
            await resources.aclose()
            raise errors.PeerConnectionLost(
                f'{address} answered another request, or not whole; '
                'connection closed'
            )
        pool.failures = 0
        return Reply(
            reply.status,
            reply.headers,
            self._read_chunks(pool, reply),
            resources,
        )

    async def post(self, address: str, path: str) -> None:
        """Post without a body and read the reply; the status is ignored.

        Raises the errors of aiohttp.
        """
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
            self._count_failure(address, pool)
            raise errors.PeerUnavailable(
                f'no connection to {address}; nothing ran'
            ) from error
        except errors.PeerConnectionLost:
            self._count_failure(address, pool)
            raise
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self._count_failure(address, pool)
            raise errors.PeerConnectionLost(
                f'no answer from {address}; it may have run'
            ) from error

    async def _read_chunks(self, pool, reply):
        """Yield the body.

        Raises PeerConnectionLost after PROGRESS_TIMEOUT_S without a byte.
        """
        content, remaining = reply.content, MAX_ANSWER_BYTES
        try:
            while not content.at_eof():
                chunk = content.read_nowait()
                if not chunk:
                    async with asyncio.timeout(timing.PROGRESS_TIMEOUT_S):
                        chunk = await content.readany()
                remaining -= len(chunk)
                if remaining < 0:
                    raise errors.PeerConnectionLost('the answer does not end')
                if chunk:
                    yield chunk
            if remaining == MAX_ANSWER_BYTES and is_success_until_close(reply):
                raise errors.PeerConnectionLost(
                    'the answer was cut before its body'
                )
            if content.exception() is not None:
                raise content.exception()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            pool.failures += 1
            raise errors.PeerConnectionLost('the answer was cut') from error
        # Read completely, so the connection can be reused.
        reply.release()

    async def _enter_pool(self, address: str) -> ConnectionPool:
        now = asyncio.get_running_loop().time()
        if now - self._last_sweep_at > POOL_IDLE_TIMEOUT_S:
            await self._close_idle_pools(now)
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = ConnectionPool(now)
        pool.used_at = now
        pool.users += 1
        return pool

    async def _close_idle_pools(self, now) -> None:
        self._last_sweep_at = now
        for address, pool in list(self._pools.items()):
            if not pool.users and now - pool.used_at > POOL_IDLE_TIMEOUT_S:
                del self._pools[address]
                await pool.session.close()

    def _count_failure(self, address, pool) -> None:
        """Retire the pool after two consecutive failures.

        A new pool replaces it; requests that still run on the old one finish
        there.
        """
        pool.failures += 1
        if pool.failures >= MAX_CONSECUTIVE_FAILURES and not pool.retired:
            pool.retired = True
            self._pools.pop(address, None)


def matches_attempt(fields, head: requests.Head) -> bool:
    """Return whether the reply carries the request id of this attempt."""
    return fields.get(REQUEST_ID) == head.request_id


def is_success_until_close(reply) -> bool:
    """Return whether the reply is a success whose body ends by a close.

    If the close is orderly, a truncation of the body goes unnoticed.
    """
    return (
        200 <= reply.status < 300
        and reply.status not in BODILESS_STATUSES
        and reply.method != 'HEAD'
        and 'Content-Length' not in reply.headers
        and 'Transfer-Encoding' not in reply.headers
    )


def is_truncated_head(reply) -> bool:
    """Return whether a success has no length and announces no close.

    The head must then have been truncated, since a complete one has one of
    these fields.
    """
    connection_field = reply.headers.get('Connection', '').lower()
    return is_success_until_close(reply) and 'close' not in connection_field


async def watch_upload(chunks, limit: asyncio.Timeout):
    """Yield the chunks and abort the request when they stall.

    ``limit`` is moved so that it expires PROGRESS_TIMEOUT_S after the last
    progress, but not after its original time.
    """
    loop = asyncio.get_running_loop()
    deadline = limit.when()
    async for chunk in chunks:
        limit.reschedule(
            min(deadline, loop.time() + timing.PROGRESS_TIMEOUT_S)
        )
        yield chunk
        limit.reschedule(
            min(deadline, loop.time() + timing.PROGRESS_TIMEOUT_S)
        )
    limit.reschedule(deadline)


def filter_end_to_end(items) -> tuple[tuple[str, str], ...]:
    """Return the fields of an answer that may be forwarded.

    Drops hop-by-hop fields and the router's own, which a target must not set.
    """
    return tuple(
        (name, value)
        for name, value in items
        if (lower := name.lower()) not in HOP_BY_HOP
        and (lower == TARGET_NAME_FIELD or not lower.startswith('sj-'))
    )
